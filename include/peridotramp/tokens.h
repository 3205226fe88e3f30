#pragma once

#include "peridotramp/core.h"

namespace peridotramp {

/// Names the tokens that are set aside for one turn. Chosen by the instance that has the turn's request, and never used
/// for another turn, so that the end of the turn can be reported more than once and also before the tokens are set
/// aside.
using HoldId = Id<struct HoldTag>;

/// Asks for the tokens of one turn.
struct TokenRequest {
    HoldId hold;
    /// Budget of the program as the caller states it.
    TokenCount budget;
    /// Most tokens that the turn may generate.
    TokenCount most;
    /// Time after which the turn hands out nothing more.
    TimePoint until;
};

/// What one incarnation of an instance has reserved of the token budget of one program. The newest entry of an owner
/// replaces its earlier ones; the order of the log decides which reservations hold.
struct TokenReservation {
    ProgramId program;
    /// Instance and incarnation that hold the reservation.
    std::string owner;
    TokenCount reserved;
    /// Tokens of `reserved` that callers have received.
    TokenCount used;
    /// Counts the changes by the owner; a record that arrives late does not replace a newer one.
    std::uint64_t revision = 0;

    bool operator==(const TokenReservation&) const = default;
};

/// What is to be done with a turn of a program that has a token budget.
enum class TokenVerdict : std::uint8_t {
    /// The reservation of this instance covers the turn.
    Covered,
    /// The budget has room, but the log has to confirm a larger reservation first.
    Reserve,
    /// Other instances hold reservations that they may not need; ask them to give the rest back.
    Reclaim,
    /// What callers have received and may still receive from turns under way leaves no room for the turn.
    Spent,
    /// The end of the turn has been reported already; nobody waits for its tokens.
    Ended,
    Count
};

/// What an instance knows of the token budget of one program, to explain a refusal.
struct TokenAccount {
    TokenCount budget;
    /// Tokens that callers of this instance have received.
    TokenCount used;
    /// Tokens that the log has confirmed for this instance.
    TokenCount reserved;
    /// Part of these that turns under way may still use.
    TokenCount setAside;
    int turnsUnderWay = 0;
    /// Turns under way that can hand out nothing more, so that the report of their end is overdue.
    int turnsOverdue = 0;
    /// Newest known reservation of each other owner.
    std::vector<TokenReservation> others;
};

/// Token budgets of programs, as one instance knows them.
///
/// An instance hands out tokens only from what it has reserved in the log, so the budget holds across instances,
/// network partitions and restarts: what a lost instance had reserved counts as spent.
class TokenLedger {
public:
    struct Init {
        /// Owner name of this incarnation.
        std::string owner;
    };

    explicit TokenLedger(Init init);

    /// Asks for the most tokens that a turn may generate. With `Covered` they are set aside until `settle`; asking
    /// again for the same hold sets nothing more aside.
    TokenVerdict admit(ProgramId program, const TokenRequest& request, TimePoint now);
    /// Returns the reservation to append after `Reserve`: the whole amount that this instance then holds.
    TokenReservation request(ProgramId program, TokenCount most);
    /// Makes a reservation of this instance usable, once the log has been read up to its record or the other failure
    /// domains have taken it.
    void confirm(const TokenReservation& record);
    /// Notes that the log may hold more for this instance than it knows of, because the answer to an append was lost or
    /// the log could not be read up to it. The next `giveBack` then lowers it, also when nothing else is to be given.
    void abandon(ProgramId program);
    /// Returns all reservations of a program that this instance knows of, those that it has asked for included.
    std::vector<TokenReservation> known(ProgramId program) const;
    /// Returns all programs with a reservation for which `isWanted` holds.
    std::vector<ProgramId> programsWhere(const std::function<bool(ProgramId)>& isWanted) const;
    /// Applies a record of another owner.
    void apply(const TokenReservation& record, TimePoint now);
    /// Ends a turn of which `used` tokens reached the caller, and releases what was set aside for it. Further reports
    /// of the same end change nothing. A hold that is not known yet is never set aside afterwards.
    void settle(ProgramId program, HoldId hold, TokenCount used, TimePoint now);
    /// Lowers the reservation of this instance to what is used and set aside. Returns the record to append, or nothing
    /// when there is nothing to give back.
    std::optional<TokenReservation> giveBack(ProgramId program, TimePoint now);
    /// Whether tokens are set aside for turns that may still hand some out.
    bool hasHolds(TimePoint now) const;
    /// Whether a reservation of this instance is being confirmed, so that it is not known yet how much can be given
    /// back.
    bool isReserving(ProgramId program) const;
    /// Owners other than this one with a reservation of the program that is not wholly used.
    std::vector<std::string> holders(ProgramId program) const;
    /// Drops programs unused since `before` and returns the keys of this instance's entries of the log.
    std::vector<ProgramId> expire(TimePoint before);
    /// Returns what is known of a program; empty values when nothing is.
    TokenAccount account(ProgramId program, TimePoint now) const;
    /// Returns whether turns of the program have run or are under way, as far as this instance knows.
    bool hasBegun(ProgramId program) const;
    std::size_t size() const { return this->programs.size(); }

private:
    struct Hold {
        TokenCount most;
        TimePoint until;
    };

    struct Account {
        std::map<std::string, TokenReservation> others;
        // Confirmed by the log.
        TokenCount ownReserved;
        // The newest that was asked for.
        TokenCount ownRequested;
        TokenCount ownUsed;
        std::uint64_t ownRevision = 0;
        // The log may hold a larger reservation of this instance.
        bool ownUncertain = false;
        std::map<HoldId, Hold> holds;
        // Sum of the holds.
        TokenCount setAside;
        // Turns whose end has been reported, with the time of the report.
        std::map<HoldId, TimePoint> ended;
        TokenCount budget;
        TimePoint lastUse;
    };

    Init init;
    std::map<ProgramId, Account> programs;
};

} // namespace peridotramp
