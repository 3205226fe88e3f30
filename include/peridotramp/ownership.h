#pragma once

#include "peridotramp/core.h"

#include <deque>
#include <set>
#include <unordered_map>

namespace peridotramp {

/// Number of a claim or dispatch within the owner's table. A retry of a call gets a new number.
using AttemptNumber = Quantity<struct AttemptNumberTag>;
/// Handle of a record in an `AppendQueue`.
using AppendTicket = Id<struct AppendTicketTag>;
/// Time since the Unix epoch, as records carry it from one owner to the next.
using UnixTime = std::chrono::milliseconds;

/// Takes a partition. The group that carries it names the epoch that it replaces; the first such record in the log
/// wins, and its offset is the new epoch.
struct OwnershipRecord {
    NodeId node;
    Incarnation incarnation;
    /// Nodes whose majority can promise this owner its lease.
    std::vector<NodeId> electorate;

    bool operator==(const OwnershipRecord&) const = default;
};

/// Gives a partition up. The owner stops before it appends this; the next owner acts at once.
struct HandoverRecord {
    NodeId node;
    /// State of other modules for the next owner, opaque here.
    std::string state;

    bool operator==(const HandoverRecord&) const = default;
};

/// Limits of a program. Children draw on the budget of their parent.
struct Budget {
    TokenCount tokens { 0 };
    CallCount calls { 0 };
    Milliseconds wallTime { 0 };
    /// Levels of child programs that are allowed below the program.
    Depth depth { 0 };

    bool operator==(const Budget&) const = default;
};

/// Tokens and calls that are drawn from a budget.
struct Spending {
    TokenCount tokens { 0 };
    CallCount calls { 0 };

    bool operator==(const Spending&) const = default;
    Spending& operator+=(Spending other);
    Spending& operator-=(Spending other);
    friend Spending operator+(Spending a, Spending b) { return a += b; }
    friend Spending operator-(Spending a, Spending b) { return a -= b; }
    /// Returns whether neither amount exceeds that of `limit`.
    bool fitsIn(Spending limit) const;
};

/// Begins a program. `reserved` is the part of its budget that the owner holds from the start.
struct ProgramBegun {
    ProgramId program;
    WorkspaceId workspace;
    /// Invalid for a program without a parent.
    ProgramId parent;
    Budget budget;
    Spending reserved;
    UnixTime began { 0 };

    bool operator==(const ProgramBegun&) const = default;
};

/// Adds a completed call to the history. `input` and `output` are deltas.
struct TurnCommitted {
    ProgramId program;
    TurnNumber turn;
    CallId call;
    /// Digest of the chain up to and including this turn.
    Digest digest;
    std::string input;
    std::string output;

    bool operator==(const TurnCommitted&) const = default;
};

/// Claims a non-idempotent call. It may be dispatched once this record is read back.
struct CallClaimed {
    ProgramId program;
    CallId call;
    AttemptNumber attempt;

    bool operator==(const CallClaimed&) const = default;
};

/// Ends a claim without a turn: `NotRun` clears the claim, `Unknown` closes the call id for good.
struct CallFinished {
    ProgramId program;
    CallId call;
    AttemptNumber attempt;
    Outcome outcome = Outcome::Unknown;

    bool operator==(const CallFinished&) const = default;
};

/// Sets the part of the budget that the owner holds. `reserved` is the total since the program began, so the record is
/// harmless when it is repeated.
struct BudgetReserved {
    ProgramId program;
    Spending reserved;

    bool operator==(const BudgetReserved&) const = default;
};

/// Why a program ended.
enum class EndReason : std::uint8_t { Finished, WallTime, Idle, ParentEnded, Operator, Count };

/// Returns `finished`, `wall_time`, `idle`, `parent_ended` or `operator`.
std::string_view toString(EndReason reason);

/// Ends a program. `spent` includes its children and is never less than what it used.
struct ProgramEnded {
    ProgramId program;
    EndReason reason = EndReason::Finished;
    Spending spent;

    bool operator==(const ProgramEnded&) const = default;
};

/// Turn of a program's history.
struct Turn {
    CallId call;
    std::string input;
    std::string output;

    bool operator==(const Turn&) const = default;
};

/// Non-idempotent call whose claim has no turn yet.
struct Claim {
    CallId call;
    AttemptNumber attempt;
    /// The outcome cannot be known; the call id is never dispatched again.
    bool closed = false;

    bool operator==(const Claim&) const = default;
};

/// Whole state of a program, so that its earlier records may leave the log's retention.
struct ProgramCheckpoint {
    ProgramBegun begun;
    std::vector<Turn> turns;
    Digest digest;
    std::vector<Claim> claims;
    std::optional<ProgramEnded> ended;
    UnixTime written { 0 };

    bool operator==(const ProgramCheckpoint&) const = default;
};

using PartitionRecord = std::variant<OwnershipRecord, HandoverRecord, ProgramBegun, TurnCommitted, CallClaimed,
    CallFinished, BudgetReserved, ProgramEnded, ProgramCheckpoint>;

/// Records that are appended to a partition's stream as one log record.
struct RecordGroup {
    /// Increases within an epoch, so that a reader needs to remember only the last one.
    AppendId appendId;
    /// Epoch under which the group was written; for an ownership record, the epoch that it replaces.
    Epoch epoch;
    std::vector<PartitionRecord> records;

    bool operator==(const RecordGroup&) const = default;
};

/// One ownership record that took effect.
struct Ownership {
    Epoch epoch;
    OwnershipRecord record;
    /// A later group of this epoch shows that the owner had its lease.
    bool acted = false;
    bool handedOver = false;
    /// Nobody can hold an earlier lease: the partition is new, or its last owner handed it over.
    bool mayActAtOnce = false;
};

enum class GroupVerdict : std::uint8_t {
    Valid,
    /// The epoch was not the newest one at the group's place in the log.
    VoidEpoch,
    /// The append id does not exceed the last one of the epoch.
    Repeated,
    /// The offset has been applied before.
    Replayed,
    Count
};

/// What a reader makes of one group.
struct AppliedGroup {
    Offset offset;
    AppendId appendId;
    Epoch epoch;
    GroupVerdict verdict = GroupVerdict::Valid;
    /// Valid records; empty unless the verdict is `Valid`.
    std::vector<PartitionRecord> records;
};

/// Reader of one partition's stream: decides which groups count and who owns the partition.
class PartitionLog {
public:
    /// Applies the group at `offset`. Groups must come in offset order; an offset below `next()` changes nothing.
    AppliedGroup apply(Offset offset, RecordGroup group);

    /// Returns the offset from which the log must be read next.
    Offset next() const { return this->nextOffset; }
    /// Returns the current epoch; invalid when the partition never had an owner.
    Epoch epoch() const;
    /// Returns the newest ownership; empty when the partition never had an owner.
    const std::optional<Ownership>& current() const { return this->newest; }
    /// Returns the earlier ownerships whose owner may still hold a lease, oldest first.
    const std::vector<Ownership>& contenders() const { return this->earlier; }
    /// Returns whether records before the first read one have left the log's retention.
    bool isTruncated() const { return this->truncated; }
    /// Returns the state that the last owner handed over; empty unless it did and nobody has taken the partition since.
    std::optional<HandoverRecord> handover() const;

private:
    bool takesOwnership(const RecordGroup& group) const;
    void takeOwnership(Offset offset, const OwnershipRecord& record);
    void noteActs(const RecordGroup& group);
    GroupVerdict judge(const RecordGroup& group) const;

    Offset nextOffset { 0 };
    bool truncated = false;
    std::optional<Ownership> newest;
    std::vector<Ownership> earlier;
    AppendId lastAppend;
    std::optional<HandoverRecord> lastHandover;
};

struct LeaseSettings {
    /// L of the design.
    Milliseconds length { 5000 };
    /// A successor waits this much longer, for clocks that run at different speeds.
    Milliseconds driftMargin { 50 };
    /// A voter that the instance list has not named for this long counts as released.
    Milliseconds absence { 60000 };
    /// Time between two questions to the same voter.
    Milliseconds askEvery { 1000 };
};

enum class LeaseQuestionKind : std::uint8_t { Promise, Release, Count };

/// Question of an owner or successor to a voter.
struct LeaseQuestion {
    LeaseQuestionKind kind = LeaseQuestionKind::Promise;
    PartitionId partition;
    NodeId voter;
    /// Epoch of the asking node.
    Epoch epoch;
    /// Time of the asking node, which keeps it with the question; not sent to the voter.
    TimePoint askedAt {};
};

/// Answer of a voter.
struct LeaseAnswer {
    bool granted = false;
    /// Time after which a repeated question can be granted; zero when it never will be.
    Milliseconds retryAfter { 0 };
};

/// Decides what a node promises about the leases of other nodes. Forgets everything when the process restarts, which is
/// why a restarted voter answers no question for L.
class LeaseVoter {
public:
    /// `startedAt` is the start of the process.
    LeaseVoter(TimePoint startedAt, LeaseSettings settings = {});

    LeaseAnswer answer(TimePoint now, const LeaseQuestion& question);

private:
    struct Vote {
        /// Older epochs get no promise.
        Epoch oldestHelped { 0 };
        Epoch promisedTo { 0 };
        TimePoint promisedUntil {};
    };

    LeaseAnswer promise(TimePoint now, Epoch epoch, Vote& vote) const;
    LeaseAnswer release(TimePoint now, Epoch epoch, Vote& vote) const;

    TimePoint votesFrom;
    LeaseSettings settings;
    std::unordered_map<PartitionId, Vote> votes;
};

/// Lease of one node on one partition. Answers whether the node may act on time-bound facts.
class PartitionLease {
public:
    PartitionLease(PartitionId partition, NodeId self, Incarnation incarnation, LeaseSettings settings = {});

    /// Reports a read of the stream that ended at `now`; `log` is the stream as it is known after that read.
    void logRead(TimePoint now, TimePoint began, bool reachedTail, const PartitionLog& log);
    /// Reports a voter's answer.
    void answered(TimePoint now, const LeaseQuestion& question, const LeaseAnswer& answer);
    /// Reports that the instance list has not named the node since `since`; empty when it names the node again.
    void setAbsent(NodeId node, std::optional<TimePoint> since);
    /// Gives up the lease at once, for example because the process was paused or hands over.
    void drop();

    /// Returns whether the node holds the lease. Call it after every wait, just before acting.
    bool mayAct(TimePoint now);
    /// Returns whether the node's own ownership record is the newest one that it knows.
    bool isOwner() const { return this->owned.has_value(); }
    /// Returns the epoch of the node's own ownership; invalid when it has none.
    Epoch epoch() const;
    /// Returns the time at which the lease ends if nothing renews it; empty when the node may not act.
    std::optional<TimePoint> actsUntil(TimePoint now);
    /// Returns for a successor the earliest time at which it may act; empty while releases are missing.
    std::optional<TimePoint> mayActFrom(TimePoint now);
    /// Returns the questions to send now; each voter is asked again after `askEvery`.
    std::vector<LeaseQuestion> questions(TimePoint now);

private:
    void update(TimePoint now);
    void renewFromPromises();
    void adopt(TimePoint now, const PartitionLog& log);
    bool isOwn(const std::optional<Ownership>& ownership) const;
    bool holds(TimePoint now) const { return this->succeeded && now < this->leaseUntil; }
    std::vector<NodeId> votersToAsk(TimePoint now) const;
    bool hasReleases(TimePoint now) const;
    bool isReleased(TimePoint now, NodeId voter) const;

    PartitionId partition;
    NodeId self;
    Incarnation incarnation;
    LeaseSettings settings;
    std::optional<Ownership> owned;
    /// Electorates that must release the successor.
    std::vector<std::vector<NodeId>> electorates;
    bool succeeded = false;
    Epoch droppedEpoch;
    TimePoint readBackAt {};
    TimePoint leaseUntil {};
    std::map<NodeId, TimePoint> promises;
    std::map<NodeId, TimePoint> releases;
    std::map<NodeId, TimePoint> absentSince;
    std::map<NodeId, TimePoint> lastAsked;
};

/// What is known of a record that was given to an `AppendQueue`.
enum class AppendState : std::uint8_t {
    /// Not yet sent; it can still be cancelled.
    Waiting,
    /// Sent, and neither read back nor ruled out.
    Unknown,
    /// Read back under the owner's epoch.
    Confirmed,
    /// The epoch was lost first; the record will never count.
    Rejected,
    Count
};

/// A record whose fate has become known.
struct AppendResolution {
    AppendTicket ticket;
    AppendState state = AppendState::Unknown;
    PartitionRecord record;
};

struct AppendLimits {
    /// Appends per second of the partition: the fleet's append budget divided by the number of partitions.
    double appendsPerSecond = 25;
    /// Appends that an idle partition may do at once.
    double burst = 2;
    /// Records that wait or are in flight; more are refused with `Overloaded`.
    std::size_t maxRecords = 4096;
    /// Records in one group.
    std::size_t maxGroup = 512;
    /// Time after which an unanswered append is sent again with the same id.
    Milliseconds retryAfter { 500 };
};

/// Groups the records of one partition under its append rate. At most one group is in flight.
///
/// An owner renews its ownership by pushing an `OwnershipRecord`; the queue goes on under the new epoch once the record
/// is read back. A partition that is taken from another owner needs a new queue.
class AppendQueue {
public:
    AppendQueue(Epoch epoch, AppendLimits limits = {});

    /// Queues a record. Returns `Overloaded` when the queue is full and `EpochLost` when the epoch is.
    Result<AppendTicket> push(PartitionRecord record);
    /// Queues records that must take effect in one group, all of them or none.
    Result<std::vector<AppendTicket>> push(std::vector<PartitionRecord> records);
    /// Returns the group to send now: a new one, or the one in flight when its answer is overdue.
    std::optional<RecordGroup> poll(TimePoint now);
    /// Returns when `poll` can next return a group; empty while there is nothing to send.
    std::optional<TimePoint> nextPoll(TimePoint now) const;
    /// Reports that an append was not answered or failed, so that it is sent again without waiting.
    void failed(TimePoint now, AppendId appendId);
    /// Reports a group that `PartitionLog` applied and returns the records whose fate it settles.
    std::vector<AppendResolution> applied(const AppliedGroup& group);
    /// Withdraws a record that has not been sent. Returns false when it has been, and may take effect. Meant for
    /// claims; a withdrawn budget record leaves its program without the reservation.
    bool cancel(AppendTicket ticket);
    /// Returns what is known of an unresolved record; a resolved one is `Unknown` here.
    AppendState state(AppendTicket ticket) const;
    std::size_t size() const { return this->waiting.size() + this->inFlight.size(); }
    Epoch epoch() const { return this->ownEpoch; }

private:
    struct Entry {
        AppendTicket ticket;
        PartitionRecord record;
        /// Entries with the same batch go into the same group.
        std::uint64_t batch = 0;
    };

    void refill(TimePoint now);
    void fillGroup();
    RecordGroup groupInFlight() const;
    std::vector<AppendResolution> resolveInFlight(AppendState state);
    std::vector<AppendResolution> rejectAll();

    Epoch ownEpoch;
    AppendLimits limits;
    std::deque<Entry> waiting;
    std::vector<Entry> inFlight;
    AppendId inFlightId;
    std::uint64_t groups = 0;
    std::uint64_t tickets = 0;
    std::uint64_t batches = 0;
    TimePoint sendAgainAt {};
    double tokens = 0;
    std::optional<TimePoint> refilledAt;
    bool lost = false;
};

} // namespace peridotramp
