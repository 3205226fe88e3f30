#pragma once

#include "peridotramp/core.h"

#include <deque>
#include <set>
#include <unordered_map>

namespace peridotramp {

/// Sequence number of a claim or dispatch within the owner's table. A retry of a call gets a new number.
using AttemptNumber = Quantity<struct AttemptNumberTag>;
/// Handle of a record in an `AppendQueue`.
using AppendTicket = Id<struct AppendTicketTag>;
/// Time since the Unix epoch. Used in records, because monotonic clocks differ between owners.
using UnixTime = std::chrono::milliseconds;

/// Takes ownership of a partition. The group with this record states the epoch that it replaces; the first such record
/// in the log wins, and its offset is the new epoch.
struct OwnershipRecord {
    NodeId node;
    Incarnation incarnation;
    /// Voters; a majority of them can promise this owner its lease.
    std::vector<NodeId> electorate;

    bool operator==(const OwnershipRecord&) const = default;
};

/// Releases a partition. The owner stops acting before it appends this record, so the next owner need not wait for the
/// lease to expire.
struct HandoverRecord {
    NodeId node;
    /// Opaque state of other modules for the next owner.
    std::string state;

    bool operator==(const HandoverRecord&) const = default;
};

/// Limits of a program. Children draw on the budget of their parent.
struct Budget {
    TokenCount tokens { 0 };
    CallCount calls { 0 };
    Milliseconds wallTime { 0 };
    /// Maximum number of levels of child programs below the program.
    Depth depth { 0 };

    bool operator==(const Budget&) const = default;
};

/// Tokens and calls drawn from a budget.
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

/// Starts a program. `reserved` is the part of its budget that the owner reserves at the start.
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

/// Adds a completed call to the history. `input` and `output` contain only what the turn added.
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

/// Ends a claim without a turn: `NotRun` clears the claim, `Unknown` closes the call id permanently.
struct CallFinished {
    ProgramId program;
    CallId call;
    AttemptNumber attempt;
    Outcome outcome = Outcome::Unknown;

    bool operator==(const CallFinished&) const = default;
};

/// Sets the part of the budget that the owner has reserved. `reserved` is the total since the start of the program, so
/// the record is idempotent.
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

/// One turn in the history of a program.
struct Turn {
    CallId call;
    std::string input;
    std::string output;

    bool operator==(const Turn&) const = default;
};

/// Claim of a non-idempotent call that has no committed turn yet.
struct Claim {
    CallId call;
    AttemptNumber attempt;
    /// Whether the outcome cannot be determined; the call id is then never dispatched again.
    bool closed = false;

    bool operator==(const Claim&) const = default;
};

/// Complete state of a program; its earlier records may then expire from the log.
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

/// Records that are appended atomically to a partition's stream, as one log record.
struct RecordGroup {
    /// Increases within an epoch, so that a reader detects duplicates by the last id alone.
    AppendId appendId;
    /// Epoch in which the group was written; for an ownership record, the epoch that it replaces.
    Epoch epoch;
    std::vector<PartitionRecord> records;

    bool operator==(const RecordGroup&) const = default;
};

/// An ownership record that took effect.
struct Ownership {
    Epoch epoch;
    OwnershipRecord record;
    /// Whether a later group of this epoch proves that the owner had its lease.
    bool acted = false;
    bool handedOver = false;
    /// Whether no earlier lease can be held: the partition is new, or its last owner handed it over.
    bool mayActAtOnce = false;
};

enum class GroupStatus : std::uint8_t {
    Valid,
    /// The group has no effect: its epoch was not the current one at its position in the log, it follows the handover
    /// of that epoch, it contains an ownership record among others, or the partition has no owner yet and the group
    /// does not take ownership.
    StaleEpoch,
    /// The append id is not greater than the last one of the epoch.
    Duplicate,
    /// The offset was applied before.
    AlreadyApplied,
    Count
};

/// Result of applying a group.
struct AppliedGroup {
    Offset offset;
    AppendId appendId;
    Epoch epoch;
    GroupStatus status = GroupStatus::Valid;
    /// Valid records; empty unless the status is `Valid`.
    std::vector<PartitionRecord> records;
};

/// Reader of one partition's stream: decides which groups are valid and which node owns the partition.
class PartitionLog {
public:
    /// Applies the group at `offset`. Groups must be applied in offset order; an offset below `next()` has no effect.
    AppliedGroup apply(Offset offset, RecordGroup group);

    /// Returns the offset of the next record to read.
    Offset next() const { return this->nextOffset; }
    /// Returns the current epoch; invalid if the partition has never had an owner.
    Epoch epoch() const;
    /// Returns the newest ownership; empty if the partition has never had an owner.
    const std::optional<Ownership>& current() const { return this->newest; }
    /// Returns the earlier ownerships whose owner may still hold a lease, oldest first.
    const std::vector<Ownership>& earlierOwnerships() const { return this->earlier; }
    /// Returns whether records before the first one read have expired from the log.
    bool isTruncated() const { return this->truncated; }
    /// Returns the state that the last owner handed over; empty if it did not, or if the partition has an owner again.
    std::optional<HandoverRecord> handover() const;

private:
    bool takesOwnership(const RecordGroup& group) const;
    void takeOwnership(Offset offset, const OwnershipRecord& record);
    void recordActs(const RecordGroup& group);
    GroupStatus classify(const RecordGroup& group) const;

    Offset nextOffset { 0 };
    bool truncated = false;
    std::optional<Ownership> newest;
    std::vector<Ownership> earlier;
    AppendId lastAppend;
    std::optional<HandoverRecord> lastHandover;
};

struct LeaseSettings {
    /// Duration of a lease.
    Milliseconds length { 5000 };
    /// Extra time that a successor waits, to allow for clocks that run at different rates.
    Milliseconds driftMargin { 50 };
    /// A voter that has been missing from the instance list for this long counts as having released the successor.
    Milliseconds absenceTimeout { 60000 };
    /// Time between two requests to the same voter.
    Milliseconds requestPeriod { 1000 };
};

enum class LeaseVoteKind : std::uint8_t { Promise, Release, Count };

/// Request to a voter: an owner asks it to promise the lease, a successor asks it to release the previous owner's.
struct LeaseVoteRequest {
    LeaseVoteKind kind = LeaseVoteKind::Promise;
    PartitionId partition;
    NodeId voter;
    /// Epoch of the requesting node.
    Epoch epoch;
    /// Send time on the requester's clock, which keeps it with the request; not sent to the voter.
    TimePoint sentAt {};
};

/// Reply of a voter.
struct LeaseVoteReply {
    bool granted = false;
    /// Time after which a repeated request can be granted; zero if it never will be.
    Milliseconds retryAfter { 0 };
};

/// Votes on the leases of other nodes. The votes are kept in memory only; a restarted voter therefore refuses all
/// requests until every promise or release from before the restart has expired.
class LeaseVoter {
public:
    /// `startedAt` is the start of the process.
    LeaseVoter(TimePoint startedAt, LeaseSettings settings = {});

    LeaseVoteReply reply(TimePoint now, const LeaseVoteRequest& request);

private:
    struct Vote {
        /// Requests of older epochs are refused.
        Epoch minEpoch { 0 };
        Epoch promisedTo { 0 };
        TimePoint promisedUntil {};
    };

    LeaseVoteReply promise(TimePoint now, Epoch epoch, Vote& vote) const;
    LeaseVoteReply release(TimePoint now, Epoch epoch, Vote& vote) const;

    TimePoint votesFrom;
    LeaseSettings settings;
    std::unordered_map<PartitionId, Vote> votes;
};

/// Lease of one node on one partition. The node may act as the owner only while it holds the lease.
class PartitionLease {
public:
    PartitionLease(PartitionId partition, NodeId self, Incarnation incarnation, LeaseSettings settings = {});

    /// Records a read of the stream that ended at `now`; `log` is the state of the stream after that read.
    void recordRead(TimePoint now, TimePoint began, bool reachedTail, const PartitionLog& log);
    /// Records a voter's reply.
    void recordReply(TimePoint now, const LeaseVoteRequest& request, const LeaseVoteReply& reply);
    /// Records that the node has been missing from the instance list since `since`; empty if it is listed again.
    void setAbsent(NodeId node, std::optional<TimePoint> since);
    /// Drops the lease immediately, for example after a pause of the process or for a handover.
    void drop();

    /// Returns whether the node holds the lease. Call it after every wait, immediately before acting.
    bool mayAct(TimePoint now);
    /// Returns whether the newest known ownership record is the node's own.
    bool isOwner() const { return this->owned.has_value(); }
    /// Returns the epoch of the node's own ownership; invalid if it is not the owner.
    Epoch epoch() const;
    /// Returns the time at which the lease expires unless renewed; empty if the node may not act.
    std::optional<TimePoint> actsUntil(TimePoint now);
    /// Returns the earliest time at which a successor may act; empty while it lacks releases.
    std::optional<TimePoint> mayActFrom(TimePoint now);
    /// Returns the requests to send now; requests to the same voter are `requestPeriod` apart.
    std::vector<LeaseVoteRequest> voteRequests(TimePoint now);

private:
    void update(TimePoint now);
    void renewFromPromises();
    void beginTakeover(TimePoint now, const PartitionLog& log);
    bool isOwn(const std::optional<Ownership>& ownership) const;
    bool holds(TimePoint now) const { return this->takeoverDone && now < this->leaseUntil; }
    std::vector<NodeId> votersToAsk(TimePoint now) const;
    bool hasReleases(TimePoint now) const;
    bool isReleased(TimePoint now, NodeId voter) const;

    PartitionId partition;
    NodeId self;
    Incarnation incarnation;
    LeaseSettings settings;
    std::optional<Ownership> owned;
    /// Electorates of earlier owners. Before the successor may act, so many voters of each must release it that the
    /// others are no majority.
    std::vector<std::vector<NodeId>> electorates;
    bool takeoverDone = false;
    Epoch droppedEpoch;
    TimePoint readBackAt {};
    TimePoint leaseUntil {};
    std::map<NodeId, TimePoint> promises;
    std::map<NodeId, TimePoint> releases;
    std::map<NodeId, TimePoint> absentSince;
    std::map<NodeId, TimePoint> lastRequested;
};

/// State of a record in an `AppendQueue`.
enum class AppendState : std::uint8_t {
    /// Not sent yet; it can still be cancelled.
    Waiting,
    /// Sent, with the outcome not known yet.
    Unknown,
    /// Read back in the owner's epoch.
    Confirmed,
    /// The owner lost the epoch first; the record will never take effect.
    Rejected,
    Count
};

/// A record whose outcome has become known.
struct AppendResolution {
    AppendTicket ticket;
    AppendState state = AppendState::Unknown;
    PartitionRecord record;
};

struct AppendLimits {
    /// Appends per second of the partition: the fleet's append budget divided by the number of partitions.
    double appendsPerSecond = 25;
    /// Maximum burst of appends after an idle period.
    double burst = 2;
    /// Maximum number of records that wait or are in flight; further ones are refused with `Overloaded`.
    std::size_t maxRecords = 4096;
    /// Maximum number of records in one group.
    std::size_t maxGroup = 512;
    /// Time after which an unanswered append is sent again with the same id.
    Milliseconds retryAfter { 500 };
};

/// Batches the records of one partition into groups within its append rate. At most one group is in flight.
///
/// An owner renews its ownership by pushing an `OwnershipRecord`; once that is read back, the queue continues in the
/// new epoch. A partition that is taken over from another owner needs a new queue.
class AppendQueue {
public:
    AppendQueue(Epoch epoch, AppendLimits limits = {});

    /// Queues a record. Returns `Overloaded` if the queue is full and `EpochLost` if the owner has lost the epoch.
    Result<AppendTicket> push(PartitionRecord record);
    /// Queues records that must take effect atomically, in one group.
    Result<std::vector<AppendTicket>> push(std::vector<PartitionRecord> records);
    /// Returns the group to send now: a new one, or the one in flight if its answer is overdue.
    std::optional<RecordGroup> poll(TimePoint now);
    /// Returns when `poll` can next return a group; empty while there is nothing to send.
    std::optional<TimePoint> nextPoll(TimePoint now) const;
    /// Records that an append failed or was not answered, so that the next `poll` may send it again.
    void recordFailure(TimePoint now, AppendId appendId);
    /// Records a group that `PartitionLog` applied and returns the records whose outcome it determines.
    std::vector<AppendResolution> recordApplied(const AppliedGroup& group);
    /// Cancels a record that has not been sent. Returns false if it has been sent and may take effect. Meant for
    /// claims; cancelling a budget record leaves its program without the reservation.
    bool cancel(AppendTicket ticket);
    /// Returns `Waiting` for a record that has not been sent and `Unknown` for one in flight. The queue does not keep
    /// resolved or cancelled records; for these, the result is also `Unknown`.
    AppendState state(AppendTicket ticket) const;
    std::size_t size() const { return this->waiting.size() + this->inFlight.size(); }
    Epoch epoch() const { return this->ownEpoch; }

private:
    struct Entry {
        AppendTicket ticket;
        PartitionRecord record;
        /// Entries with the same batch number go into the same group.
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
    /// Number of appends that the rate limit allows now; the level of a token bucket.
    double availableAppends = 0;
    std::optional<TimePoint> refilledAt;
    bool lost = false;
};

} // namespace peridotramp
