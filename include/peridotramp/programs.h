#pragma once

#include "peridotramp/core.h"
#include "peridotramp/ownership.h"

#include <set>
#include <unordered_map>

// Used by the scheduler, whose partition owners keep the state, budgets and turns of programs, and by the gateway in
// its messages. The ingress on the platform keeps token budgets in `tokens.h` and turns in `conversations.h` instead.

namespace peridotramp {

/// Returns the partition of a program, which is the top 16 bits of its id.
PartitionId partitionOf(ProgramId program);
/// Returns the program id made of a partition and the low 48 bits of `serial`.
ProgramId makeProgramId(PartitionId partition, std::uint64_t serial);
/// Returns digest_n = SHA-256(digest_{n-1}, program, turn, input, output). The digest before turn 1 is all zeros.
Digest turnDigest(
    const Digest& previous, ProgramId program, TurnNumber turn, std::string_view input, std::string_view output);

/// Evidence that nothing of a call was written to an endpoint. Only classes that can establish this may create one.
class NotRunProof {
    NotRunProof() = default;
    friend class ProgramTable;
    friend class WriteGuard;
};

/// Returns an error with the outcome `NotRun`. `ProgramTable` creates its errors with this outcome only here; other
/// parts of the system set it themselves.
Error notRun(const NotRunProof& proof, ErrorKind kind, std::string detail = {}, Milliseconds retryAfter = {});

/// Records whether a dispatched call may have reached its endpoint. The endpoint client calls `beginWriting` before it
/// passes the first byte to the connection; after that the call can no longer be reported as not run.
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

/// What a node may do for a partition at present.
struct Authority {
    /// The present value of `PartitionLease::mayAct`.
    bool mayAct = false;
    /// The last append or read succeeded.
    bool logAvailable = false;
};

/// Request for a new program.
struct BeginRequest {
    PartitionId partition;
    WorkspaceId workspace;
    /// Parent of the new program, in the same partition; invalid for none.
    ProgramId parent;
    Budget budget;
};

/// A program that has begun.
struct BegunProgram {
    ProgramId program;
    /// Records to append, in order and before any later record of the partition.
    std::vector<PartitionRecord> records;
};

/// Turn whose answer the caller has, but that was not confirmed in the log when the answer was sent.
struct ResentTurn {
    TurnNumber turn;
    CallId call;
    std::string input;
    std::string output;
};

/// Request to run a call.
struct CallRequest {
    ProgramId program;
    WorkspaceId workspace;
    CallId call;
    /// Number of the turn that the call adds: the last turn plus 1.
    TurnNumber turn;
    /// Digest of the chain up to the turn before.
    Digest previous;
    /// The caller's turns after the last confirmed one, in order.
    std::vector<ResentTurn> unconfirmed;
    /// Input that the call adds to the history.
    std::string input;
    /// Maximum number of tokens that the call can use, including the prompt.
    TokenCount worstCaseTokens;
    bool idempotent = true;
    /// An earlier request for the same call got no answer or an unknown outcome.
    bool repeated = false;
    TimePoint deadline = TimePoint::max();
};

/// The call may be dispatched now.
struct DispatchNow {
    AttemptNumber attempt;
    /// Records to append while the call runs.
    std::vector<PartitionRecord> records;
};

/// The call may be dispatched once the last of these records is confirmed, which `resolveClaim` handles.
struct ClaimFirst {
    AttemptNumber attempt;
    /// Records to append, in order. Never empty.
    std::vector<PartitionRecord> records;
};

/// The call already has an outcome.
struct ReplayOutcome {
    Outcome outcome = Outcome::Unknown;
    TurnNumber turn;
    Digest digest;
    /// The answer; empty when it exceeds `ProgramSettings::maxRecordedAnswer`.
    std::optional<std::string> answer;
    /// SHA-256 of an answer that exceeds this limit.
    Digest answerDigest;
};

/// The call is running or waits for its claim; the caller gets the same answer as the first request.
struct JoinRunning {
    AttemptNumber attempt;
};

/// The call is refused. The error's outcome covers all requests with this call id, not only this one.
struct RefuseCall {
    Error error;
    /// Records to append, for example to clear a claim.
    std::vector<PartitionRecord> records;
};

using CallDecision = std::variant<DispatchNow, ClaimFirst, ReplayOutcome, JoinRunning, RefuseCall>;

/// The call completed.
struct CallCompleted {
    std::string output;
    TokenCount usedTokens;
};

/// Nothing of the call was written to an endpoint.
struct CallNotRun {
    NotRunProof proof;
};

/// The call may have run, partly or completely.
struct CallUnknown {
    /// Tokens that it may have used; the worst case is assumed when empty.
    std::optional<TokenCount> usedTokens;
};

using CallResult = std::variant<CallCompleted, CallNotRun, CallUnknown>;

/// State of a program after a call.
struct FinishedCall {
    /// Outcome for the caller. `Unknown` also for an attempt that did not run, if an earlier attempt may have run.
    Outcome outcome = Outcome::Unknown;
    TurnNumber turn;
    Digest digest;
    /// Last turn that was read back from the log. The caller keeps later turns to resend them.
    TurnNumber confirmedTurn;
    std::vector<PartitionRecord> records;
};

/// A program that was ended with its descendants. Their cached prefixes can be released.
struct EndedPrograms {
    EndReason reason = EndReason::Finished;
    /// The program and its descendants, children before parents.
    std::vector<ProgramId> programs;
    /// Running calls of these programs, to be cancelled.
    std::vector<std::pair<ProgramId, CallId>> running;
    std::vector<PartitionRecord> records;
};

struct ProgramSettings {
    /// Amount of a budget that the owner reserves in the log at a time.
    Spending reservationChunk { { 65536 }, { 8 } };
    /// Longest answer that is returned for a repeated call.
    ByteCount maxRecordedAnswer { 65536 };
    /// Time after which a program without a running call or live child ends.
    Milliseconds idleTimeout { 30 * 60 * 1000 };
    /// Time for which an ended program still answers repeated calls.
    Milliseconds endedRetention { 60 * 60 * 1000 };
    /// Age of a program's oldest record at which a checkpoint is written: half the log's retention.
    Milliseconds checkpointAge { 12 * 60 * 60 * 1000 };
    /// Maximum number of live and ended programs of one shard; more are refused with `Overloaded`.
    std::size_t maxPrograms = 65536;
    /// Unix time at `TimePoint {}`. Records contain Unix times, because the origin of `TimePoint` differs between
    /// owners.
    UnixTime unixTimeOrigin { 0 };
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
    /// Replayed records that are inconsistent with the state, for example with a digest that does not continue the
    /// chain.
    std::uint64_t mismatches = 0;
};

/// Summary of a program for the dump.
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
    /// Claims whose outcome will remain unknown.
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
    /// Makes this node the owner after it has replayed the stream up to its ownership record. `complete` is true when
    /// the replay began with the first record ever written, not with the oldest one that the log has retained.
    void takeOver(TimePoint now, PartitionId partition, Epoch epoch, bool complete);
    /// Continues under a new epoch after this node renewed its ownership.
    void renew(PartitionId partition, Epoch epoch);
    /// Applies a valid record that this node appended and has read back.
    void confirm(TimePoint now, PartitionId partition, const PartitionRecord& record);
    /// Removes a partition that another node has taken over or that was never owned. Returns the calls that were
    /// running or waiting; their outcome is unknown to this node.
    std::vector<std::pair<ProgramId, CallId>> forget(PartitionId partition);
    /// Stops admission before a planned handover and returns the records that release the unused part of the
    /// reservations. Call it when no call of the partition is running.
    std::vector<PartitionRecord> handOver(PartitionId partition);
    bool owns(PartitionId partition) const;

    /// Begins a program. Errors (not run): `LeaseLapsed`, `NotOwner`, `Overloaded`, `BudgetExceeded`, `ProgramEnded`,
    /// `UnknownProgram`, `Forbidden`, `InvalidRequest`.
    Result<BegunProgram> begin(TimePoint now, const BeginRequest& request, Authority authority);
    /// Decides whether and how a call may run.
    CallDecision admitCall(TimePoint now, const CallRequest& request, Authority authority);
    /// Handles the append state of the last record of a `ClaimFirst`. Returns `DispatchNow` or `RefuseCall`, or
    /// `JoinRunning` while the append is not resolved.
    CallDecision resolveClaim(
        TimePoint now, ProgramId program, CallId call, AttemptNumber attempt, AppendState state, Authority authority);
    /// Cancels a call that waits for its claim, for example at the caller's deadline. Returns `DeadlineExceeded` with
    /// the records that clear the claim; empty when the call does not wait for its claim.
    std::optional<RefuseCall> abandonClaim(
        TimePoint now, ProgramId program, CallId call, AttemptNumber attempt, Authority authority);
    /// Records the result of a dispatched call. Without authority, an idempotent call that was not sent is reported as
    /// unknown. Errors: `UnknownProgram`, `UnknownCall` for an attempt that is not running, `ProgramEnded`.
    Result<FinishedCall> finishCall(TimePoint now, ProgramId program, CallId call, AttemptNumber attempt,
        const CallResult& result, Authority authority = {});
    /// Ends a program and its descendants. Ending an ended program again returns no programs.
    Result<EndedPrograms> end(TimePoint now, ProgramId program, EndReason reason, Authority authority);
    /// Ends programs that have exceeded their wall time or idle time. Checks at most `limit` programs.
    std::vector<EndedPrograms> expire(TimePoint now, std::size_t limit = 256);
    /// Returns checkpoints of programs whose oldest record nears the end of the log's retention. Checks at most `limit`
    /// programs.
    std::vector<PartitionRecord> checkpoints(TimePoint now, std::size_t limit = 64);

    /// Returns the workspace of a program; empty when the program is not known.
    std::optional<WorkspaceId> workspaceOf(ProgramId program) const;
    /// Returns the turns of a program, oldest first; null when the program is not known. Valid until the table changes.
    const std::vector<Turn>* history(ProgramId program) const;
    std::optional<ProgramRow> row(ProgramId program) const;
    std::vector<ProgramRow> rows() const;
    ProgramStats stats() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace peridotramp
