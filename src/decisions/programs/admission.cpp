#include "programs_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

constexpr Milliseconds leaseRetryDelay { 1000 };
constexpr Milliseconds logRetryDelay { 2000 };
constexpr Milliseconds callRetryDelay { 200 };

RefuseCall refuseUnknown(ErrorKind kind, std::string detail = {}, Milliseconds retryAfter = {})
{
    return { { kind, Outcome::Unknown, std::move(detail), retryAfter }, {} };
}

std::string expectedTurn(const Program& program)
{
    return "expected turn " + std::to_string(program.turns.size() + 1) + " after digest " + program.digest().toHex();
}

/// End of the digest chain after the turns that the caller resends.
struct ChainEnd {
    TurnNumber turn;
    Digest digest;
    /// Resent turns that the program does not have yet, with their digests.
    std::vector<std::pair<Turn, Digest>> missing;
};

bool isRecorded(const Program& program, const ResentTurn& resent)
{
    const auto& known = program.turns[static_cast<std::size_t>(resent.turn.value) - 1];
    return known.call == resent.call && known.input == resent.input && known.output == resent.output;
}

/// Follows the resent turns from the program's last turn; empty when they do not continue it.
std::optional<ChainEnd> followChain(const Program& program, const CallRequest& request)
{
    ChainEnd end { program.lastTurn(), program.digest(), {} };
    for (const auto& resent : request.unconfirmed) {
        if (resent.turn.value < 1)
            return std::nullopt;
        if (resent.turn <= program.lastTurn()) {
            if (!isRecorded(program, resent))
                return std::nullopt;
            continue;
        }
        const bool isNext = resent.turn.value == end.turn.value + 1;
        const bool isNewCall = resent.call != request.call && program.findTurn(resent.call) == nullptr;
        if (!isNext || !isNewCall || !program.acceptsResentTurns)
            return std::nullopt;
        end.turn = resent.turn;
        end.digest = turnDigest(end.digest, program.id(), end.turn, resent.input, resent.output);
        end.missing.emplace_back(Turn { resent.call, resent.input, resent.output }, end.digest);
    }
    if (request.turn.value != end.turn.value + 1 || request.previous != end.digest)
        return std::nullopt;
    return end;
}

std::vector<PartitionRecord> commitResent(Program& program, ChainEnd& end)
{
    std::vector<PartitionRecord> records;
    for (auto& [turn, digest] : end.missing) {
        TurnCommitted record { program.id(), {}, turn.call, digest, turn.input, turn.output };
        program.commit(std::move(turn), digest);
        record.turn = program.lastTurn();
        records.emplace_back(std::move(record));
    }
    return records;
}

ReplayOutcome replayTurn(const Program& program, const Turn& turn, ByteCount limit)
{
    const auto index = static_cast<std::size_t>(&turn - program.turns.data());
    ReplayOutcome replay;
    replay.outcome = Outcome::Completed;
    replay.turn = TurnNumber { static_cast<std::int64_t>(index) + 1 };
    replay.digest = program.digests[index];
    if (static_cast<std::int64_t>(turn.output.size()) <= limit.value)
        replay.answer = turn.output;
    else
        replay.answerDigest = sha256(turn.output);
    return replay;
}

/// Returns the outcome or the running attempt of a call that the program knows already.
std::optional<CallDecision> knownCall(Program& program, CallId call, ByteCount limit)
{
    if (const auto* turn = program.findTurn(call))
        return replayTurn(program, *turn, limit);
    if (program.running && program.running->call == call)
        return JoinRunning { program.running->attempt };
    if (program.findClaim(call) != nullptr)
        return ReplayOutcome { Outcome::Unknown, program.lastTurn(), program.digest(), std::nullopt, {} };
    return std::nullopt;
}

struct Refusal {
    ErrorKind kind = ErrorKind::None;
    std::string detail;
    Milliseconds retryAfter { 0 };
};

std::optional<Refusal> checkBudget(TimePoint now, const Program& program, Spending worstCase)
{
    if (now >= program.wallTimeEnd())
        return Refusal { ErrorKind::BudgetExceeded, "wall time", {} };
    if (worstCase.tokens.value < 0)
        return Refusal { ErrorKind::InvalidRequest, "worst-case tokens must not be negative", {} };
    const auto needed = program.allocated() + worstCase;
    if (needed.tokens > program.budget().tokens)
        return Refusal { ErrorKind::BudgetExceeded, "tokens", {} };
    if (needed.calls > program.budget().calls)
        return Refusal { ErrorKind::BudgetExceeded, "calls", {} };
    return std::nullopt;
}

/// Checks that do not depend on the history. `needsLog` is true when a record must be confirmed before dispatch.
std::optional<Refusal> checkCall(
    TimePoint now, const Program& program, const CallRequest& request, bool needsLog, Authority authority)
{
    if (program.running)
        return Refusal { ErrorKind::CallInProgress, {}, callRetryDelay };
    if (now >= request.deadline)
        return Refusal { ErrorKind::DeadlineExceeded, {}, {} };
    if (auto refusal = checkBudget(now, program, { request.worstCaseTokens, { 1 } }))
        return refusal;
    // A call with a deadline may wait for the log; a call without one would block its program while the log is
    // unavailable.
    const bool waits = !request.idempotent && request.deadline != TimePoint::max();
    if (needsLog && !authority.logAvailable && !waits)
        return Refusal { ErrorKind::LogUnavailable, {}, logRetryDelay };
    return std::nullopt;
}

} // namespace

CallDecision ProgramTable::admitCall(TimePoint now, const CallRequest& request, Authority authority)
{
    const NotRunProof nothingWritten;
    auto& table = *this->state;
    const auto refuse = [&](const Program* program, const Refusal& refusal) -> CallDecision {
        ++table.stats.refused;
        if (program != nullptr && program->mayHaveRun(request.call, request.idempotent))
            return refuseUnknown(refusal.kind, refusal.detail, refusal.retryAfter);
        return RefuseCall { notRun(nothingWritten, refusal.kind, refusal.detail, refusal.retryAfter), {} };
    };
    // Without authority, another node may be running the call.
    const auto* partition = table.ownedPartition(request.program);
    if (partition == nullptr)
        return refuseUnknown(ErrorKind::NotOwner);
    if (!authority.mayAct)
        return refuseUnknown(ErrorKind::LeaseLapsed, {}, leaseRetryDelay);
    auto* program = table.find(request.program);
    if (program == nullptr && request.repeated && (request.idempotent || partition->incomplete))
        return refuseUnknown(ErrorKind::UnknownProgram);
    if (program == nullptr)
        return refuse(program, { ErrorKind::UnknownProgram, {}, {} });
    if (program->begun.workspace != request.workspace)
        return refuseUnknown(ErrorKind::Forbidden);
    if (auto known = knownCall(*program, request.call, table.settings.maxRecordedAnswer)) {
        ++(std::holds_alternative<JoinRunning>(*known) ? table.stats.joined : table.stats.replayed);
        return *known;
    }
    if (program->ended)
        return refuse(program, { ErrorKind::ProgramEnded, std::string(toString(program->ended->reason)), {} });
    if (partition->handoverStarted)
        return refuse(program, { ErrorKind::ShuttingDown, {}, leaseRetryDelay });

    const Spending worstCase { request.worstCaseTokens, { 1 } };
    const bool needsReservation = !(program->allocated() + worstCase).fitsIn(program->usableReservation());
    const bool needsLog = needsReservation || !request.idempotent;
    if (const auto refusal = checkCall(now, *program, request, needsLog, authority))
        return refuse(program, *refusal);
    auto chain = followChain(*program, request);
    if (!chain)
        return refuse(program, { ErrorKind::TurnConflict, expectedTurn(*program), {} });

    auto records = commitResent(*program, *chain);
    table.stats.turns += records.size();
    const auto attempt = table.nextAttempt();
    if (needsReservation)
        records.emplace_back(program->reserve(worstCase, table.settings.reservationChunk));
    program->running = RunningCall { request.call, attempt, request.idempotent, needsLog, worstCase, request.input,
        request.deadline };
    program->lastActive = now;
    ++table.stats.runningCalls;
    if (!request.idempotent) {
        program->claims.push_back({ request.call, attempt, false });
        records.emplace_back(CallClaimed { program->id(), request.call, attempt });
    }
    if (needsLog)
        return ClaimFirst { attempt, std::move(records) };
    ++table.stats.dispatched;
    if (const auto adjusted = program->adjustReservation(table.settings.reservationChunk))
        records.emplace_back(*adjusted);
    return DispatchNow { attempt, std::move(records) };
}

namespace {

/// Cancels a call that was never dispatched. Returns the records that clear its claim.
std::vector<PartitionRecord> cancelWaitingCall(Program& program)
{
    const auto call = *program.running;
    program.running.reset();
    if (call.idempotent)
        return {};
    program.removeClaim(call.call);
    return { CallFinished { program.id(), call.call, call.attempt, Outcome::NotRun } };
}

bool isWaitingFor(const Program* program, CallId call, AttemptNumber attempt)
{
    return program != nullptr && program->running && program->running->waitsForClaim && program->running->call == call
        && program->running->attempt == attempt;
}

} // namespace

CallDecision ProgramTable::resolveClaim(
    TimePoint now, ProgramId program, CallId call, AttemptNumber attempt, AppendState state, Authority authority)
{
    auto& table = *this->state;
    auto* found = table.find(program);
    if (!isWaitingFor(found, call, attempt))
        return refuseUnknown(ErrorKind::Cancelled, "the call no longer waits for this claim");
    if (state == AppendState::Waiting || state == AppendState::Unknown)
        return JoinRunning { attempt };
    const bool idempotent = found->running->idempotent;
    const bool expired = now >= found->running->deadline;
    if (state == AppendState::Confirmed && authority.mayAct && !expired) {
        found->running->waitsForClaim = false;
        ++table.stats.dispatched;
        return DispatchNow { attempt, {} };
    }
    --table.stats.runningCalls;
    ++table.stats.refused;
    auto records = cancelWaitingCall(*found);
    // The owner of the newer epoch may have run the call.
    if (state == AppendState::Rejected)
        return refuseUnknown(ErrorKind::EpochLost, {}, callRetryDelay);
    const auto kind = authority.mayAct ? ErrorKind::DeadlineExceeded : ErrorKind::LeaseLapsed;
    // A confirmed claim prevents every other owner from running the call.
    const bool mayHaveRun = found->mayHaveRun(call, idempotent) || (idempotent && !authority.mayAct);
    auto error = mayHaveRun ? refuseUnknown(kind).error : notRun(NotRunProof {}, kind, {}, leaseRetryDelay);
    return RefuseCall { std::move(error), std::move(records) };
}

std::optional<RefuseCall> ProgramTable::abandonClaim(
    TimePoint now, ProgramId program, CallId call, AttemptNumber attempt, Authority authority)
{
    auto& table = *this->state;
    auto* found = table.find(program);
    if (!isWaitingFor(found, call, attempt))
        return std::nullopt;
    const bool idempotent = found->running->idempotent;
    --table.stats.runningCalls;
    ++table.stats.refused;
    auto records = cancelWaitingCall(*found);
    found->lastActive = now;
    if (!authority.mayAct || found->mayHaveRun(call, idempotent))
        return RefuseCall { refuseUnknown(ErrorKind::DeadlineExceeded).error, std::move(records) };
    return RefuseCall { notRun(NotRunProof {}, ErrorKind::DeadlineExceeded), std::move(records) };
}

namespace {

void finishCompleted(Program& program, const RunningCall& call, const CallCompleted& result, FinishedCall& finished)
{
    Turn turn { call.call, call.input, result.output };
    const TurnNumber number { program.lastTurn().value + 1 };
    const auto digest = turnDigest(program.digest(), program.id(), number, turn.input, turn.output);
    finished.records.emplace_back(TurnCommitted { program.id(), number, call.call, digest, turn.input, turn.output });
    finished.outcome = Outcome::Completed;
    program.commit(std::move(turn), digest);
    program.spent += { result.usedTokens, { 1 } };
    program.acceptsResentTurns = false;
}

void finishNotRun(Program& program, const RunningCall& call, Authority authority, FinishedCall& finished)
{
    // An idempotent call has no claim that would prevent a new owner from running it.
    const bool elsewhere = call.idempotent && !authority.mayAct;
    const bool mayHaveRun = elsewhere || program.mayHaveRun(call.call, call.idempotent);
    finished.outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    if (call.idempotent)
        return;
    program.removeClaim(call.call);
    finished.records.emplace_back(CallFinished { program.id(), call.call, call.attempt, Outcome::NotRun });
}

void finishUnknown(Program& program, const RunningCall& call, const CallUnknown& result, FinishedCall& finished)
{
    finished.outcome = Outcome::Unknown;
    program.spent += { result.usedTokens.value_or(call.worstCase.tokens), { 1 } };
    if (call.idempotent) {
        program.attempted.push_back(call.call);
        return;
    }
    program.findClaim(call.call)->closed = true;
    finished.records.emplace_back(CallFinished { program.id(), call.call, call.attempt, Outcome::Unknown });
}

} // namespace

Result<FinishedCall> ProgramTable::finishCall(
    TimePoint now, ProgramId program, CallId call, AttemptNumber attempt, const CallResult& result, Authority authority)
{
    auto& table = *this->state;
    auto* found = table.find(program);
    if (found == nullptr)
        return Error { ErrorKind::UnknownProgram, Outcome::Unknown };
    if (found->ended)
        return Error { ErrorKind::ProgramEnded, Outcome::Unknown };
    const bool runs = found->running && !found->running->waitsForClaim && found->running->call == call
        && found->running->attempt == attempt;
    if (!runs)
        return Error { ErrorKind::UnknownCall, Outcome::Unknown, "this attempt is not running" };
    const auto running = *std::exchange(found->running, std::nullopt);
    --table.stats.runningCalls;
    found->lastActive = now;
    FinishedCall finished;
    if (const auto* completed = std::get_if<CallCompleted>(&result)) {
        finishCompleted(*found, running, *completed, finished);
        ++table.stats.turns;
    } else if (const auto* unknown = std::get_if<CallUnknown>(&result))
        finishUnknown(*found, running, *unknown, finished);
    else
        finishNotRun(*found, running, authority, finished);
    if (const auto adjusted = found->adjustReservation(table.settings.reservationChunk))
        finished.records.emplace_back(*adjusted);
    finished.turn = found->lastTurn();
    finished.digest = found->digest();
    finished.confirmedTurn = found->confirmedTurn;
    return finished;
}

} // namespace peridotramp
