#pragma once

#include "peridotramp/core.h"
#include "peridotramp/ownership.h"

#include <set>
#include <unordered_map>

namespace peridotramp {

/// Returns the partition that the top 16 bits of a program id name.
PartitionId partitionOf(ProgramId program);
/// Returns the program id made of a partition and the low 48 bits of `serial`.
ProgramId makeProgramId(PartitionId partition, std::uint64_t serial);
/// Returns digest_n = SHA-256(digest_{n-1}, program, turn, input, output). The digest before turn 1 is all zeros.
Digest turnDigest(
    const Digest& previous, ProgramId program, TurnNumber turn, std::string_view input, std::string_view output);

/// Evidence that nothing of a call was written to an endpoint. Only code that can tell builds one.
class NotRunProof {
    NotRunProof() = default;
    friend class ProgramTable;
    friend class WriteGuard;
};

/// Returns an error with the outcome `NotRun`. This is the only place that sets this outcome for a call.
Error notRun(const NotRunProof& proof, ErrorKind kind, std::string detail = {}, Milliseconds retryAfter = {});

/// Stands between a dispatched call and its endpoint. The endpoint client calls `beginWriting` before it hands the
/// first byte to the connection; after that the call can no longer be reported as not run.
class WriteGuard {
public:
    WriteGuard() = default;
    WriteGuard(const WriteGuard&) = delete;
    WriteGuard& operator=(const WriteGuard&) = delete;

    void beginWriting() { this->written = true; }
    /// Returns the proof that nothing was written; empty once writing has begun.
    std::optional<NotRunProof> proof() const;

private:
    std::atomic<bool> written = false;
};

/// What a node may do for a partition at this moment.
struct Authority {
    /// `PartitionLease::mayAct` at this moment.
    bool mayAct = false;
    /// The last append or read succeeded.
    bool logAvailable = false;
};

/// Asks for a new program.
struct BeginRequest {
    PartitionId partition;
    WorkspaceId workspace;
    /// Program that the new one is a child of; invalid for none. Must be in the same partition.
    ProgramId parent;
    Budget budget;
};

/// A program that has begun.
struct BegunProgram {
    ProgramId program;
    /// Records to append, in order and before any later record of the partition.
    std::vector<PartitionRecord> records;
};

/// Turn that the caller completed but that was not confirmed in the log when it got the answer.
struct ResentTurn {
    TurnNumber turn;
    CallId call;
    std::string input;
    std::string output;
};

/// Asks whether a call may run.
struct CallRequest {
    ProgramId program;
    WorkspaceId workspace;
    CallId call;
    /// Turn that the call would become: the last turn plus 1.
    TurnNumber turn;
    /// Digest of the chain up to the turn before.
    Digest previous;
    /// Turns after the last confirmed one that the caller knows, in order.
    std::vector<ResentTurn> unconfirmed;
    /// Delta that the call adds to the history.
    std::string input;
    /// Most tokens that the call can use, prompt included.
    TokenCount worstCaseTokens;
    bool idempotent = true;
    /// An earlier request for the same call had no answer or an unknown outcome.
    bool repeated = false;
    TimePoint deadline = TimePoint::max();
};

/// The call may be dispatched now.
struct DispatchNow {
    AttemptNumber attempt;
    /// Records to append while the call runs.
    std::vector<PartitionRecord> records;
};

/// The call may be dispatched once the last of these records is confirmed; report that with `claimResolved`.
struct ClaimFirst {
    AttemptNumber attempt;
    /// Records to append, in order. Never empty.
    std::vector<PartitionRecord> records;
};

/// The call has an outcome already.
struct ReplayOutcome {
    Outcome outcome = Outcome::Unknown;
    TurnNumber turn;
    Digest digest;
    /// The answer; empty when it exceeds the limit for recorded answers.
    std::optional<std::string> answer;
    /// SHA-256 of the answer, for an answer that exceeds the limit.
    Digest answerDigest;
};

/// The call is running, or waits for its claim; the caller gets the same answer.
struct JoinRunning {
    AttemptNumber attempt;
};

/// The call is refused. The error's outcome says what is known of the call id, not only of this request.
struct RefuseCall {
    Error error;
    /// Records to append, for example to clear a claim.
    std::vector<PartitionRecord> records;
};

using CallDecision = std::variant<DispatchNow, ClaimFirst, ReplayOutcome, JoinRunning, RefuseCall>;

/// The call ran to its end.
struct CallCompleted {
    std::string output;
    TokenCount usedTokens;
};

/// Nothing of the call was written to an endpoint.
struct CallNotRun {
    NotRunProof proof;
};

/// The call may have run, in part or in whole.
struct CallUnknown {
    /// Tokens that it may have used; the whole worst case when this is not known.
    std::optional<TokenCount> usedTokens;
};

using CallResult = std::variant<CallCompleted, CallNotRun, CallUnknown>;

/// State of a program after a call.
struct FinishedCall {
    /// What the caller is told: `Unknown` for an attempt that did not run when an earlier one may have.
    Outcome outcome = Outcome::Unknown;
    TurnNumber turn;
    Digest digest;
    /// Last turn that was read back from the log; the caller keeps and resends later ones.
    TurnNumber confirmedTurn;
    std::vector<PartitionRecord> records;
};

/// A program that was ended, with its descendants, so that their KV memory can be released.
struct EndedPrograms {
    EndReason reason = EndReason::Finished;
    /// The program and its descendants, the innermost first.
    std::vector<ProgramId> programs;
    /// Running calls of these programs, to be cancelled.
    std::vector<std::pair<ProgramId, CallId>> running;
    std::vector<PartitionRecord> records;
};

struct ProgramSettings {
    /// Part of a budget that the owner reserves in the log at a time.
    Spending chunk { { 65536 }, { 8 } };
    /// Longest answer that is returned for a repeated call.
    ByteCount recordedAnswer { 64 * 1024 };
    /// A program without a running call or live child ends after this.
    Milliseconds idle { 30 * 60 * 1000 };
    /// Time for which an ended program still answers repeated calls.
    Milliseconds keepEnded { 60 * 60 * 1000 };
    /// Age of a program's oldest record at which it is written as a checkpoint: half the log's retention.
    Milliseconds checkpointAfter { 12 * 60 * 60 * 1000 };
    /// Live and ended programs of one shard; more are refused with `Overloaded`.
    std::size_t maxPrograms = 65536;
    /// Unix time at `TimePoint {}`, by which records carry times from one owner to the next.
    UnixTime unixAtZero { 0 };
};

struct ProgramStats {
    std::size_t live = 0;
    std::size_t ended = 0;
    std::size_t runningCalls = 0;
    std::size_t turns = 0;
    std::uint64_t begun = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t replayed = 0;
    std::uint64_t joined = 0;
    std::uint64_t refused = 0;
    /// Replayed records that did not fit the state, for example a digest that does not continue the chain.
    std::uint64_t mismatches = 0;
};

/// One line of the dump.
struct ProgramRow {
    ProgramId program;
    WorkspaceId workspace;
    ProgramId parent;
    TurnNumber turn;
    TurnNumber confirmedTurn;
    Digest digest;
    Budget budget;
    Spending spent;
    Spending reserved;
    /// Invalid when no call runs.
    CallId running;
    std::size_t openClaims = 0;
    /// Claims whose outcome is unknown for good.
    std::size_t unknownClaims = 0;
    std::optional<EndReason> ended;
};

/// Programs of one shard. A partition and all its programs are in the same shard.
///
/// For a partition that this node does not own, `replay` builds the state from the log; `takeOver` makes the node its
/// owner, after which `confirm` reports the node's own records as they are read back. Returned records must be appended
/// in the order in which the calls returned them.
class ProgramTable {
public:
    explicit ProgramTable(ProgramSettings settings = {});
    ProgramTable(ProgramTable&&) noexcept;
    ProgramTable& operator=(ProgramTable&&) noexcept;
    ~ProgramTable();

    /// Applies a valid record of a partition that this node does not own. Other kinds of record change nothing.
    void replay(TimePoint now, PartitionId partition, const PartitionRecord& record);
    /// Makes this node the owner after it has replayed the stream up to its ownership record. `complete` says that the
    /// stream was replayed from its first record ever, not from the start of the log's retention.
    void takeOver(TimePoint now, PartitionId partition, Epoch epoch, bool complete);
    /// Goes on under a new epoch of this node, after it renewed its own ownership.
    void renew(PartitionId partition, Epoch epoch);
    /// Applies a valid record of this node's own that was read back.
    void confirm(TimePoint now, PartitionId partition, const PartitionRecord& record);
    /// Forgets a partition that another node has taken or that was never owned. Returns the calls that were running or
    /// waiting; their outcome is unknown here.
    std::vector<std::pair<ProgramId, CallId>> forget(PartitionId partition);
    /// Stops admission before a planned handover and returns the records that give back what is left of the chunks.
    /// Call it when no call of the partition runs.
    std::vector<PartitionRecord> handOver(PartitionId partition);
    bool owns(PartitionId partition) const;

    /// Begins a program. Errors (not run): `LeaseLapsed`, `NotOwner`, `Overloaded`, `BudgetExceeded`, `ProgramEnded`,
    /// `UnknownProgram`, `Forbidden`, `InvalidRequest`.
    Result<BegunProgram> begin(TimePoint now, const BeginRequest& request, Authority authority);
    /// Decides on a call.
    CallDecision admitCall(TimePoint now, const CallRequest& request, Authority authority);
    /// Reports the fate of the last record of a `ClaimFirst`: returns `DispatchNow` or `RefuseCall`, and `JoinRunning`
    /// while the fate is not known.
    CallDecision claimResolved(
        TimePoint now, ProgramId program, CallId call, AttemptNumber attempt, AppendState state, Authority authority);
    /// Gives up a call that waits for its claim, for example at the caller's deadline. Returns `DeadlineExceeded` with
    /// the records that clear the claim; empty when the call does not wait (any more).
    std::optional<RefuseCall> abandonClaim(
        TimePoint now, ProgramId program, CallId call, AttemptNumber attempt, Authority authority);
    /// Ends a dispatched call. Errors: `UnknownProgram`, `UnknownCall` for an attempt that is not running,
    /// `ProgramEnded`.
    Result<FinishedCall> finishCall(TimePoint now, ProgramId program, CallId call, AttemptNumber attempt,
        const CallResult& result, Authority authority);
    /// Ends a program and its descendants. Ending an ended program again returns no programs.
    Result<EndedPrograms> end(TimePoint now, ProgramId program, EndReason reason, Authority authority);
    /// Ends the programs that exceeded their wall time or were idle too long, at most `most` of them.
    std::vector<EndedPrograms> expire(TimePoint now, std::size_t most = 256);
    /// Returns checkpoints of programs whose oldest record nears the end of the log's retention, at most `most`.
    std::vector<PartitionRecord> checkpoints(TimePoint now, std::size_t most = 64);

    /// Returns the workspace of a program; empty when the program is not known.
    std::optional<WorkspaceId> workspaceOf(ProgramId program) const;
    /// Returns the turns of a program, oldest first; null when the program is not known. Valid until the next change.
    const std::vector<Turn>* history(ProgramId program) const;
    std::optional<ProgramRow> row(ProgramId program) const;
    std::vector<ProgramRow> rows() const;
    ProgramStats stats() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace peridotramp
