#pragma once

#include "peridotramp/core.h"

// Used by the ingress on the platform, whose instances share a program's token budget through the metadata store. The
// scheduler and the gateway use `programs.h` instead.

namespace peridotramp {

/// Identifies the tokens that are held for one turn. Chosen by the instance that handles the turn's request, and never
/// used for another turn, so that reports of the turn's end are idempotent and may arrive before the tokens are held.
using HoldId = Id<struct HoldTag>;

/// Request to hold tokens for one turn.
struct TokenRequest {
    HoldId hold;
    /// Budget of the program as the caller states it.
    TokenCount budget;
    /// Maximum number of tokens that the turn may generate.
    TokenCount maxTokens;
    /// Time after which the turn delivers no more tokens to its caller.
    TimePoint deadline;
};

/// The part of a program's token budget that one incarnation of an instance has reserved. The entry of an owner with
/// the highest revision replaces the others, whatever comes last in the log; between owners, the order of the log
/// decides which reservations are valid.
struct TokenReservation {
    ProgramId program;
    /// Instance and incarnation that own the reservation.
    std::string owner;
    TokenCount reserved;
    /// Tokens of `reserved` that callers have received.
    TokenCount used;
    /// Incremented with each change by the owner; a record that arrives late does not replace a newer one.
    std::uint64_t revision = 0;

    bool operator==(const TokenReservation&) const = default;
};

/// Revisions of an owner's reservation, from `first` up to but without `end`.
struct RevisionRange {
    std::uint64_t first = 1;
    std::uint64_t end = 1;
};

/// A program whose account was dropped, with the revisions of this owner that the log may still contain.
struct ExpiredProgram {
    ProgramId program;
    RevisionRange revisions;
};

/// Result of an attempt to admit a turn of a program that has a token budget.
enum class TokenAdmission : std::uint8_t {
    /// The reservation of this instance covers the turn.
    Admitted,
    /// The budget covers the turn, but the log has to confirm a larger reservation first.
    Reserve,
    /// Other instances may have reserved more than they need; ask them to release the rest.
    Reclaim,
    /// The budget does not cover the turn in addition to the tokens that callers have received or may still receive
    /// from turns in progress.
    Exhausted,
    /// The end of the turn has already been reported; nobody waits for its tokens.
    Ended,
    Count
};

/// Usage of one program's token budget as one instance knows it; explains a refusal.
struct TokenAccount {
    TokenCount budget;
    /// Tokens that callers of this instance have received.
    TokenCount used;
    /// Tokens that the log has confirmed for this instance.
    TokenCount reserved;
    /// Part of `reserved` that turns in progress may still use.
    TokenCount held;
    int turnsInProgress = 0;
    /// Turns in progress that can deliver nothing more, so that the report of their end is overdue.
    int overdueTurns = 0;
    /// Newest known reservation of each other owner.
    std::vector<TokenReservation> others;
};

/// Token budgets of programs, as one instance knows them.
///
/// An instance delivers tokens only from what it has reserved in the log, so that the budget is kept across instances,
/// network partitions and restarts. What a lost instance had reserved counts as spent.
class TokenLedger {
public:
    struct Init {
        /// Owner name of this incarnation.
        std::string owner;
    };

    explicit TokenLedger(Init init);

    /// Tries to hold the maximum number of tokens that a turn may generate. After `Admitted` they are held until
    /// `settle`; a repeated request with the same hold id holds no more.
    TokenAdmission admit(ProgramId program, const TokenRequest& request, TimePoint now);
    /// Returns the reservation to append to the log after `Reserve`. It states the total of this instance.
    TokenReservation prepareReservation(ProgramId program, TokenCount maxTokens);
    /// Makes a reservation of this instance usable, once the log has been read up to its record or the other failure
    /// domains have taken it.
    void confirm(const TokenReservation& record);
    /// Notes that the log may contain a larger reservation of this instance than it knows of, because the answer to an
    /// append was lost or the log could not be read up to it. The next `releaseUnused` then writes a lower reservation
    /// even if none is known to be unused.
    void markUncertain(ProgramId program);
    /// Returns all reservations of a program that this instance knows of, its own unconfirmed one included.
    std::vector<TokenReservation> knownReservations(ProgramId program) const;
    /// Returns all programs with a reservation for which `isWanted` holds.
    std::vector<ProgramId> programsWhere(const std::function<bool(ProgramId)>& isWanted) const;
    /// Applies a record of another owner. Returns whether it is newer than what this instance knew of that owner; only
    /// then does it show that the program is in use.
    bool apply(const TokenReservation& record, TimePoint now);
    /// Ends a turn of which `used` tokens reached the caller, and releases its hold. Further reports of the same end
    /// change nothing. A hold that is settled before `admit` is refused there.
    void settle(ProgramId program, HoldId hold, TokenCount used, TimePoint now);
    /// Lowers the reservation of this instance to what is used and held. Returns the record to append, or nothing when
    /// there is nothing to release.
    std::optional<TokenReservation> releaseUnused(ProgramId program, TimePoint now);
    /// Whether tokens are held for turns that may still deliver some.
    bool hasActiveHolds(TimePoint now) const;
    /// Whether a reservation of this instance awaits confirmation, so that it is not known yet how much can be
    /// released.
    bool hasPendingReservation(ProgramId program) const;
    /// Returns the other owners that have not used all of their reservation of the program.
    std::vector<std::string> ownersWithUnused(ProgramId program) const;
    /// Returns the revisions before `record` that have not been deleted from the log yet.
    RevisionRange supersededBy(const TokenReservation& record) const;
    /// Notes that the log has a record and the deletions of those that it supersedes.
    void markSupersededDeleted(const TokenReservation& record);
    /// Returns a new revision of each own reservation from which turns have been admitted, or tokens delivered, since
    /// its last record, if that is from `recordedBefore` or earlier. They have to be appended to the log: other
    /// instances see no use of a reservation that does not grow, and would forget the program. Leaves out programs for
    /// which `isReserving` holds, whose next record is on its way.
    std::vector<TokenReservation> renew(TimePoint recordedBefore, const std::function<bool(ProgramId)>& isReserving);
    /// Returns the programs that no instance is known to have used since `before`.
    std::vector<ProgramId> expirable(TimePoint before) const;
    /// Drops the programs among `expirable` for which `mayExpire` holds, and returns those for which this instance has
    /// an entry in the log.
    std::vector<ExpiredProgram> expire(
        TimePoint before, const std::function<bool(ProgramId)>& mayExpire = [](ProgramId) { return true; });
    bool contains(ProgramId program) const { return this->programs.contains(program); }
    /// Returns the usage of a program's budget; empty values for an unknown program.
    TokenAccount account(ProgramId program, TimePoint now) const;
    /// Returns whether turns of the program have run or are in progress, as far as this instance knows.
    bool hasBegun(ProgramId program) const;
    std::size_t size() const { return this->programs.size(); }

private:
    struct Hold {
        TokenCount maxTokens;
        TimePoint deadline;
    };

    struct Account {
        std::map<std::string, TokenReservation> others;
        // Confirmed by the log.
        TokenCount ownReserved;
        // The newest total requested from the log; may be unconfirmed.
        TokenCount ownRequested;
        TokenCount ownUsed;
        std::uint64_t ownRevision = 0;
        // The oldest revision that has not been deleted from the log.
        std::uint64_t ownOldestRevision = 1;
        // Whether the log may contain a larger reservation of this instance.
        bool ownUncertain = false;
        std::map<HoldId, Hold> holds;
        // Sum of the holds.
        TokenCount held;
        // Turns whose end has been reported, with the time of the report.
        std::map<HoldId, TimePoint> ended;
        TokenCount budget;
        // When this instance has last used the program, or has learned of a newer reservation of another owner.
        TimePoint lastUse;
        // When turns were last admitted, or tokens delivered, from the reservation of this instance.
        TimePoint ownUse;
        // Use up to this time is known to whoever reads the own records in the log.
        TimePoint ownRecordedUse;
    };

    static bool isExpirable(const Account& account, TimePoint before);

    Init init;
    std::map<ProgramId, Account> programs;
};

} // namespace peridotramp
