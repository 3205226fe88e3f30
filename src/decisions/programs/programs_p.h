#pragma once

#include "peridotramp/programs.h"

namespace peridotramp {

/// A call that runs, or waits for its claim or reservation.
struct RunningCall {
    CallId call;
    AttemptNumber attempt;
    bool idempotent = true;
    /// The last record of its `ClaimFirst` is not yet confirmed.
    bool waitsForClaim = false;
    Spending worstCase;
    std::string input;
    TimePoint deadline = TimePoint::max();
};

/// State of one program.
struct Program {
    ProgramBegun begun;
    TimePoint began {};
    std::vector<Turn> turns;
    /// Digest after each turn.
    std::vector<Digest> digests;
    TurnNumber confirmedTurn;
    std::vector<Claim> claims;
    /// Idempotent calls without an outcome that may have run.
    std::vector<CallId> attempted;
    std::optional<RunningCall> running;

    /// Spending of ended calls and ended children.
    Spending spent;
    /// Budgets of children whose end is not confirmed.
    Spending childBudgets;
    std::vector<ProgramId> liveChildren;
    /// The reservation that may be used, followed by those that are not yet confirmed.
    std::vector<Spending> reservations;
    /// Whether the record that begins the program is confirmed.
    bool beginConfirmed = false;

    /// Another owner, or this node under an earlier epoch, may have run calls of the program.
    bool inherited = false;
    /// No call has completed since the takeover, so the caller may have turns that are missing in the log.
    bool acceptsResentTurns = false;

    std::optional<ProgramEnded> ended;
    bool endConfirmed = false;
    TimePoint endedAt {};
    TimePoint lastActive {};
    TimePoint oldestRecord {};
    TimePoint timer {};

    ProgramId id() const { return this->begun.program; }
    TurnNumber lastTurn() const { return { static_cast<std::int64_t>(this->turns.size()) }; }
    Digest digest() const { return this->digests.empty() ? Digest {} : this->digests.back(); }
    /// Returns the part of the budget that is spent, held by the running call or assigned to children.
    Spending allocated() const;
    /// Returns the part of the budget that may be used without a further reservation.
    Spending usableReservation() const;
    Spending budget() const { return { this->begun.budget.tokens, this->begun.budget.calls }; }
    TimePoint wallTimeEnd() const { return this->began + this->begun.budget.wallTime; }

    const Turn* findTurn(CallId call) const;
    Claim* findClaim(CallId call);
    void removeClaim(CallId call);
    bool mayHaveRun(CallId call, bool idempotent) const;
    void commit(Turn turn, const Digest& digest);
    /// Adds an unconfirmed reservation and returns its record.
    BudgetReserved reserve(Spending extra, Spending chunk);
    /// Returns a reservation to append in the background when the reserved part is nearly used up or much too large.
    std::optional<BudgetReserved> adjustReservation(Spending chunk);
    ProgramCheckpoint checkpoint(UnixTime written) const;
};

/// State of a partition.
struct PartitionState {
    Epoch epoch;
    bool owned = false;
    bool handoverStarted = false;
    /// The state of some earlier programs has been dropped.
    bool incomplete = false;
    /// Counter in the serial number of the next program id; starts at 0 in each epoch.
    std::uint64_t idCounter = 0;
};

struct ProgramTable::State {
    ProgramSettings settings;
    std::unordered_map<ProgramId, Program> programs;
    std::unordered_map<PartitionId, PartitionState> partitions;
    /// Time of the next check of each program for its wall time, idle time or removal. A check may be early, never
    /// late.
    std::set<std::pair<TimePoint, ProgramId>> timers;
    std::set<std::pair<TimePoint, ProgramId>> checkpointTimers;
    AttemptNumber lastAttempt;
    ProgramStats stats;

    Program* find(ProgramId program);
    const Program* find(ProgramId program) const;
    const PartitionState* ownedPartition(ProgramId program) const;

    AttemptNumber nextAttempt();
    ProgramId nextId(PartitionId id, PartitionState& partition) const;
    void setTimer(Program& program, TimePoint at);
    TimePoint nextCheck(const Program& program, TimePoint now) const;
    void addProgram(Program program, TimePoint now);
    void removeProgram(ProgramId program);
    void markEnded(TimePoint now, Program& program, const ProgramEnded& record);
    void clearRunning(Program& program);
    UnixTime unixTime(TimePoint now) const;
    TimePoint fromUnix(UnixTime time) const;
    EndedPrograms endSubtree(TimePoint now, ProgramId root, EndReason reason);

    void replayRecord(TimePoint now, const ProgramBegun& record);
    void replayRecord(TimePoint now, const TurnCommitted& record);
    void replayRecord(TimePoint now, const CallClaimed& record);
    void replayRecord(TimePoint now, const CallFinished& record);
    void replayRecord(TimePoint now, const BudgetReserved& record);
    void replayRecord(TimePoint now, const ProgramEnded& record);
    void replayRecord(TimePoint now, const ProgramCheckpoint& record);
    template <typename Record> void replayRecord(TimePoint, const Record&) { }

    void confirmRecord(const ProgramBegun& record);
    void confirmRecord(const TurnCommitted& record);
    void confirmRecord(const BudgetReserved& record);
    void confirmRecord(const ProgramEnded& record);
    template <typename Record> void confirmRecord(const Record&) { }
};

inline Spending componentMin(Spending a, Spending b)
{
    return { std::min(a.tokens, b.tokens), std::min(a.calls, b.calls) };
}

inline Spending componentMax(Spending a, Spending b)
{
    return { std::max(a.tokens, b.tokens), std::max(a.calls, b.calls) };
}

} // namespace peridotramp
