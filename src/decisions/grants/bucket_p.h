#pragma once

#include "queue_p.h"
#include "terms_p.h"

#include <deque>
#include <unordered_map>

namespace peridotramp {

/// A loan given to another failure domain.
struct LentLoan {
    TermStack terms {};
    std::uint64_t lastTerm = 0;
    /// Repeated for a repeated request.
    LoanReply lastReply {};
    /// When the loan is forgotten.
    TimePoint forget {};
};

/// What a bucket borrows from one other failure domain, and what it knows of that lender.
struct Borrowing {
    LoanId loan {};
    std::uint64_t lastTerm = 0;
    /// The own time t_b of the newest request; the loan ends at this time plus D.
    TimePoint requestedAt {};
    double askedRate = 0;
    double askedBurst = 0;
    bool outstanding = false;
    TermStack terms {};
    bool hintKnown = false;
    double spareRate = 0;
    double spareBurst = 0;
};

using LenderKey = std::pair<DomainId, LoanId>;

/// One bucket at its owner: level, loans, demand, queue and uncorrected permits.
class Bucket {
public:
    Bucket(const BucketKey& key, Epoch epoch, GrantLease lease, TimePoint now);

    /// Fills the bucket up to `now`, loan by loan as they end.
    void advance(TimePoint now);
    /// Sets the base share. Call `advance` before.
    void setBase(GrantLimit share);
    /// Recomputes rate and burst after a change of loans or base, and cuts the level off at the burst.
    void recompute();

    /// Takes an amount, into debt if need be, and returns the moment for `putBack`.
    std::uint64_t takeOut(TimePoint now, std::int64_t amount);
    /// Adds level that came with a loan.
    void putIn(double amount);
    /// Returns the unused part of a permit taken at the moment `since`, as far as the bucket had room for it ever
    /// since.
    void putBack(double amount, std::uint64_t since);
    /// Returns when the level reaches `amount`, or the greatest time when it never will.
    TimePoint whenFilled(double amount) const;

    void noteDemand(TimePoint now, std::int64_t amount, Duration window);
    /// Returns the observed demand per second.
    double demandAt(TimePoint now, Duration window) const;

    double lentRate() const;
    double lentBurst() const;
    double borrowedRate() const;
    double borrowedBurst() const;

    BucketKey key {};
    Epoch epoch {};
    GrantLease lease {};
    GrantLimit base {};
    double level = 0;
    double rate = 0;
    double burst = 0;
    TimePoint filledAt {};

    std::map<LenderKey, LentLoan> lent {};
    std::map<DomainId, Borrowing> borrowed {};
    WaitQueue queue {};
    /// Largest amount that could not be given lately, and until when it counts.
    std::int64_t unmet = 0;
    TimePoint unmetUntil {};

    struct OpenPermit {
        TimePoint given {};
        std::uint64_t moment = 0;
    };
    std::unordered_map<PermitId, OpenPermit> permits {};
    std::deque<PermitId> permitOrder {};

private:
    /// Least room below the burst from the previous entry's last moment up to this entry's. Rooms rise from entry to
    /// entry, so that each is the least of all from there on.
    struct Room {
        std::uint64_t last = 0;
        double room = 0;
    };

    void fill(TimePoint until);
    void noteRoom();
    void thinRooms();

    std::vector<Room> rooms {};
    std::uint64_t roomCount = 0;
    TimePoint nextChange = TimePoint::max();
    double demandSum = 0;
    TimePoint demandNoted {};
};

} // namespace peridotramp
