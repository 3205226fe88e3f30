#pragma once

#include "queue_p.h"
#include "terms_p.h"

#include <deque>
#include <unordered_map>

namespace peridotramp {

/// A loan given to another failure domain.
struct LentLoan {
    ActiveTerms terms {};
    std::uint64_t lastTerm = 0;
    /// Sent again in response to a repeated request.
    LoanReply lastReply {};
    /// Time from which the loan is dropped once it has ended.
    TimePoint dropAt {};
};

/// Loan that a bucket has from one other failure domain, and what is known of that lender.
struct Borrowing {
    LoanId loan {};
    std::uint64_t lastTerm = 0;
    /// Time of the newest request by the local clock; a loan ends `Limits::loanDuration` after it.
    TimePoint requestedAt {};
    double requestedRate = 0;
    double requestedBurst = 0;
    bool awaitsReply = false;
    ActiveTerms terms {};
    bool isSpareKnown = false;
    double spareRate = 0;
    double spareBurst = 0;
};

using LenderKey = std::pair<DomainId, LoanId>;

/// A token bucket at its owner, with its loans, demand, queue and uncorrected permits.
class Bucket {
public:
    Bucket(const BucketKey& key, Epoch epoch, GrantLease lease, TimePoint now);

    /// Fills the bucket up to `now` and ends the loans that are due, in the order of their ends.
    void advance(TimePoint now);
    /// Sets the base share. Call `advance` before.
    void setBase(GrantLimit share);
    /// Recomputes rate and burst after a change of loans or base, and caps the level at the burst.
    void recompute();

    /// Takes an amount, even if the level becomes negative, and returns the position in the history for `returnUnused`.
    std::uint64_t take(TimePoint now, std::int64_t amount);
    /// Adds level that came with a loan.
    void addLevel(double amount);
    /// Returns the unused part of a permit that was taken at position `since`, up to the minimum free capacity of the
    /// bucket since then.
    void returnUnused(double amount, std::uint64_t since);
    /// Returns when the level reaches `amount`, or `TimePoint::max()` if it never does.
    TimePoint whenFilled(double amount) const;

    void recordDemand(TimePoint now, std::int64_t amount, Duration window);
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
    /// Largest amount that recently had to wait or was refused, and until when it counts.
    std::int64_t unmetAmount = 0;
    TimePoint unmetUntil {};

    struct OpenPermit {
        TimePoint issuedAt {};
        std::uint64_t position = 0;
    };
    std::unordered_map<PermitId, OpenPermit> permits {};
    std::deque<PermitId> permitOrder {};

private:
    /// Minimum free capacity (burst minus level) after the position of the previous entry up to `last`. Entries are
    /// kept only if all later ones are greater, so that each is the minimum since its position.
    struct FreeCapacity {
        std::uint64_t last = 0;
        double amount = 0;
    };

    void fill(TimePoint until);
    void recordFreeCapacity();
    void thinFreeCapacities();

    std::vector<FreeCapacity> freeCapacities {};
    std::uint64_t lastPosition = 0;
    TimePoint nextChange = TimePoint::max();
    double demandSum = 0;
    TimePoint demandRecordedAt {};
};

} // namespace peridotramp
