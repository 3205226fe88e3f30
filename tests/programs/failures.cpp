// Each test injects one failure and checks the guarantees that must hold after it.

#include "../../tools/fuzz-programs/host.h"

#include <catch2/catch.hpp>

using namespace peridotramp;
using fuzz::PartitionHost;

namespace {

const PartitionId partition { 260 };
const WorkspaceId workspace { 9 };
const TimePoint start { Seconds(1000) };
constexpr Authority acting { true, true };
constexpr Authority withoutLog { true, false };
constexpr Authority withoutLease { false, true };

struct Fleet {
    std::vector<RecordGroup> stream;
    PartitionHost a = makeHost(1);
    PartitionHost b = makeHost(2);
    ProgramId program;
    TimePoint now = start;

    explicit Fleet(Authority authority = acting, Budget budget = { { 100000 }, { 20 }, Seconds(600), { 2 } })
    {
        this->takeOver(this->a, 1);
        auto begun = this->a.table.begin(this->now, { partition, workspace, ProgramId {}, budget }, authority);
        REQUIRE(begun);
        this->program = begun->program;
        this->a.push(begun->records);
    }

    static PartitionHost makeHost(std::uint64_t node)
    {
        ProgramSettings settings;
        settings.reservationChunk = { { 1000 }, { 4 } };
        settings.maxRecordedAnswer = { 16 };
        return { partition, NodeId { node }, Incarnation { 1 }, settings };
    }

    void takeOver(PartitionHost& host, std::uint64_t appendId)
    {
        host.read(this->now, this->stream, withoutLease);
        this->stream.push_back(host.takeover({}, AppendId { appendId }));
        host.read(this->now, this->stream, acting);
    }

    /// Appends the host's next queued batch to the log without reading it back.
    void append(PartitionHost& host)
    {
        this->now += Seconds(1);
        if (auto group = host.queue ? host.queue->poll(this->now) : std::nullopt)
            this->stream.push_back(std::move(*group));
    }

    fuzz::HostEvents appendAndRead(PartitionHost& host, Authority authority = acting)
    {
        this->append(host);
        return host.read(this->now, this->stream, authority);
    }

    CallRequest request(std::uint64_t call, bool idempotent, const PartitionHost& host) const
    {
        const auto row = host.table.row(this->program);
        CallRequest request { this->program, workspace, CallId { call }, { 1 }, {}, {}, "in", { 100 }, idempotent };
        if (row) {
            request.turn = { row->turn.value + 1 };
            request.previous = row->digest;
        }
        return request;
    }

    /// Runs one call from request to confirmation.
    FinishedCall runCall(PartitionHost& host, std::uint64_t call, bool idempotent = true, std::string output = "out")
    {
        auto events = host.request(this->now, this->request(call, idempotent, host), acting);
        if (events.dispatches.empty())
            events = this->appendAndRead(host);
        REQUIRE(events.dispatches.size() == 1);
        const auto finished = host.finish(this->now, events.dispatches[0], CallCompleted { output, { 10 } }, acting);
        REQUIRE(finished);
        this->appendAndRead(host);
        return *finished;
    }
};

Outcome onlyOutcome(const fuzz::HostEvents& events)
{
    REQUIRE(events.dispatches.empty());
    REQUIRE(events.answers.size() == 1);
    return events.answers[0].outcome;
}

ErrorKind onlyKind(const fuzz::HostEvents& events)
{
    REQUIRE(events.dispatches.empty());
    REQUIRE(events.answers.size() == 1);
    return events.answers[0].kind;
}

} // namespace

TEST_CASE("if the owner is killed before the claim, the call runs once at the next owner")
{
    Fleet fleet;
    fleet.appendAndRead(fleet.a);
    fleet.a.request(fleet.now, fleet.request(5, false, fleet.a), acting);
    fleet.takeOver(fleet.b, 2);
    auto retry = fleet.request(5, false, fleet.b);
    retry.repeated = true;
    REQUIRE(fleet.b.request(fleet.now, retry, acting).dispatches.empty());
    REQUIRE(fleet.appendAndRead(fleet.b).dispatches.size() == 1);
    // The first owner resumes. Its claim has an old epoch, so it must not dispatch the call.
    fleet.append(fleet.a);
    REQUIRE(onlyOutcome(fleet.a.read(fleet.now, fleet.stream, withoutLease)) == Outcome::Unknown);
}

TEST_CASE("if the owner is killed after the claim, the call is unknown at the next owner and not dispatched again")
{
    Fleet fleet;
    fleet.appendAndRead(fleet.a);
    const auto request = fleet.request(5, false, fleet.a);
    fleet.a.request(fleet.now, request, acting);
    SECTION("between claim and dispatch") { fleet.append(fleet.a); }
    SECTION("between dispatch and outcome") { REQUIRE(fleet.appendAndRead(fleet.a).dispatches.size() == 1); }
    SECTION("between outcome and its record")
    {
        const auto events = fleet.appendAndRead(fleet.a);
        fleet.a.finish(fleet.now, events.dispatches[0], CallCompleted { "out", { 10 } }, acting);
    }
    fleet.takeOver(fleet.b, 2);
    REQUIRE(onlyOutcome(fleet.b.request(fleet.now, request, acting)) == Outcome::Unknown);
    // The program continues with another call.
    fleet.b.request(fleet.now, fleet.request(6, false, fleet.b), acting);
    REQUIRE(fleet.appendAndRead(fleet.b).dispatches.size() == 1);
}

TEST_CASE("a turn that the caller resends resolves the claim at the next owner")
{
    Fleet fleet;
    fleet.appendAndRead(fleet.a);
    fleet.a.request(fleet.now, fleet.request(5, false, fleet.a), acting);
    const auto events = fleet.appendAndRead(fleet.a);
    const auto done = fleet.a.finish(fleet.now, events.dispatches[0], CallCompleted { "out", { 10 } }, acting);
    REQUIRE(done->confirmedTurn == TurnNumber { 0 });
    fleet.takeOver(fleet.b, 2);
    auto next = fleet.request(6, true, fleet.b);
    next.turn = { 2 };
    next.previous = done->digest;
    REQUIRE(onlyKind(fleet.b.request(fleet.now, next, acting)) == ErrorKind::TurnConflict);
    next.unconfirmed = { { { 1 }, CallId { 5 }, "in", "changed" } };
    REQUIRE(onlyKind(fleet.b.request(fleet.now, next, acting)) == ErrorKind::TurnConflict);
    next.unconfirmed = { { { 1 }, CallId { 5 }, "in", "out" } };
    fleet.b.request(fleet.now, next, acting);
    REQUIRE(fleet.appendAndRead(fleet.b).dispatches.size() == 1);
    REQUIRE(onlyOutcome(fleet.b.request(fleet.now, fleet.request(5, false, fleet.b), acting)) == Outcome::Completed);
}

TEST_CASE("if the answer to a claim's append is lost, the retry with the same id confirms the claim once")
{
    Fleet fleet;
    fleet.appendAndRead(fleet.a);
    fleet.a.request(fleet.now, fleet.request(5, false, fleet.a), acting);
    fleet.append(fleet.a);
    fleet.append(fleet.a);
    REQUIRE(fleet.stream[fleet.stream.size() - 1].appendId == fleet.stream[fleet.stream.size() - 2].appendId);
    REQUIRE(fleet.a.read(fleet.now, fleet.stream, acting).dispatches.size() == 1);
}

TEST_CASE("a late confirmation of an abandoned claim does not dispatch the second attempt")
{
    Fleet fleet;
    fleet.appendAndRead(fleet.a);
    const auto request = fleet.request(5, false, fleet.a);
    fleet.a.request(fleet.now, request, acting);
    const auto first = fleet.a.claims;
    REQUIRE(onlyOutcome(fleet.a.abandon(fleet.now, acting)) == Outcome::NotRun);
    fleet.a.request(fleet.now, request, acting);
    const auto& stale = first.begin()->second;
    const auto decision = fleet.a.table.resolveClaim(
        fleet.now, stale.program, stale.call, stale.attempt, AppendState::Confirmed, acting);
    REQUIRE(std::holds_alternative<RefuseCall>(decision));
}

TEST_CASE("if two nodes that both consider themselves owners claim a call, only one dispatches it")
{
    Fleet fleet;
    fleet.appendAndRead(fleet.a);
    const auto request = fleet.request(5, false, fleet.a);
    fleet.a.request(fleet.now, request, acting);
    fleet.takeOver(fleet.b, 2);
    fleet.b.request(fleet.now, request, acting);
    fleet.append(fleet.a);
    fleet.append(fleet.b);
    const auto atA = fleet.a.read(fleet.now, fleet.stream, acting);
    const auto atB = fleet.b.read(fleet.now, fleet.stream, acting);
    REQUIRE(atA.dispatches.size() == 0);
    REQUIRE(atB.dispatches.size() == 1);
}

TEST_CASE("a call whose claim was rejected for its epoch is unknown, because the new owner may have run it")
{
    Fleet fleet;
    fleet.appendAndRead(fleet.a);
    fleet.a.request(fleet.now, fleet.request(5, false, fleet.a), acting);
    const auto& waiting = fleet.a.claims.begin()->second;
    const auto decision = fleet.a.table.resolveClaim(
        fleet.now, waiting.program, waiting.call, waiting.attempt, AppendState::Rejected, acting);
    REQUIRE(std::get<RefuseCall>(decision).error.outcome == Outcome::Unknown);
}

TEST_CASE(
    "an idempotent call that was not sent is unknown at a node without the lease, because another may have run it")
{
    Fleet fleet;
    fleet.appendAndRead(fleet.a);
    const bool idempotent = GENERATE(true, false);
    auto events = fleet.a.request(fleet.now, fleet.request(5, idempotent, fleet.a), acting);
    if (!idempotent)
        events = fleet.appendAndRead(fleet.a);
    const WriteGuard guard;
    const auto finished
        = fleet.a.finish(fleet.now, events.dispatches.at(0), CallNotRun { *guard.proof() }, withoutLease);
    REQUIRE(finished->outcome == (idempotent ? Outcome::Unknown : Outcome::NotRun));
}

TEST_CASE("an owner that stalled past its lease neither dispatches a call nor reports it as not run")
{
    Fleet fleet;
    fleet.appendAndRead(fleet.a);
    const auto request = fleet.request(5, false, fleet.a);
    REQUIRE(onlyOutcome(fleet.a.request(fleet.now, request, withoutLease)) == Outcome::Unknown);
    fleet.a.request(fleet.now, request, acting);
    fleet.append(fleet.a);
    const auto woken = fleet.a.read(fleet.now, fleet.stream, withoutLease);
    REQUIRE(woken.dispatches.empty());
}

TEST_CASE("while the log is unavailable a non-idempotent call is refused as not run, immediately or at its deadline")
{
    Fleet fleet;
    fleet.appendAndRead(fleet.a);
    auto request = fleet.request(5, false, fleet.a);
    const auto refused = fleet.a.request(fleet.now, request, withoutLog);
    REQUIRE(onlyKind(refused) == ErrorKind::LogUnavailable);
    REQUIRE(onlyOutcome(refused) == Outcome::NotRun);
    request.deadline = fleet.now + Seconds(5);
    REQUIRE(fleet.a.request(fleet.now, request, withoutLog).answers.empty());
    REQUIRE(onlyOutcome(fleet.a.abandon(fleet.now + Seconds(5), withoutLog)) == Outcome::NotRun);
    // The claim is appended later, followed by the record that clears it, and the call can run.
    fleet.appendAndRead(fleet.a);
    fleet.a.request(fleet.now, fleet.request(5, false, fleet.a), acting);
    REQUIRE(fleet.appendAndRead(fleet.a).dispatches.size() == 1);
}

TEST_CASE("a program begun while the log is unavailable has its whole budget at its owner and is unknown elsewhere")
{
    Fleet fleet(withoutLog);
    auto request = fleet.request(5, true, fleet.a);
    request.worstCaseTokens = { 90000 };
    REQUIRE(fleet.a.request(fleet.now, request, withoutLog).dispatches.size() == 1);
    fleet.takeOver(fleet.b, 2);
    const auto elsewhere = fleet.b.request(fleet.now, fleet.request(6, false, fleet.b), acting);
    REQUIRE(onlyKind(elsewhere) == ErrorKind::UnknownProgram);
    REQUIRE(onlyOutcome(elsewhere) == Outcome::NotRun);
}

TEST_CASE("a call beyond the reserved budget waits for the log and is refused while the log is unavailable")
{
    Fleet fleet;
    fleet.appendAndRead(fleet.a);
    auto request = fleet.request(5, true, fleet.a);
    request.worstCaseTokens = { 5000 };
    REQUIRE(onlyKind(fleet.a.request(fleet.now, request, withoutLog)) == ErrorKind::LogUnavailable);
    REQUIRE(fleet.a.request(fleet.now, request, acting).dispatches.empty());
    REQUIRE(fleet.appendAndRead(fleet.a).dispatches.size() == 1);
    request.call = CallId { 6 };
    REQUIRE(onlyKind(fleet.a.request(fleet.now, request, acting)) == ErrorKind::CallInProgress);
}

TEST_CASE("an unconfirmed reservation cannot be spent")
{
    Fleet fleet;
    fleet.appendAndRead(fleet.a);
    auto request = fleet.request(5, true, fleet.a);
    request.worstCaseTokens = { 600 };
    const auto dispatch = fleet.a.request(fleet.now, request, acting).dispatches.at(0);
    fleet.a.finish(fleet.now, dispatch, CallCompleted { "out", { 600 } }, acting);
    REQUIRE(fleet.a.queue->size() > 0);
    auto next = fleet.request(6, true, fleet.a);
    next.worstCaseTokens = { 600 };
    REQUIRE(fleet.a.request(fleet.now, next, acting).dispatches.empty());
    REQUIRE(fleet.appendAndRead(fleet.a).dispatches.size() == 1);
}

TEST_CASE("calls with a wrong turn or digest are refused as not run with the expected turn")
{
    Fleet fleet;
    fleet.runCall(fleet.a, 5);
    auto request = fleet.request(6, true, fleet.a);
    SECTION("turn") { request.turn = { 5 }; }
    SECTION("digest") { request.previous = sha256("other"); }
    const auto decision = fleet.a.table.admitCall(fleet.now, request, acting);
    const auto& error = std::get<RefuseCall>(decision).error;
    REQUIRE(error.kind == ErrorKind::TurnConflict);
    REQUIRE(error.outcome == Outcome::NotRun);
    REQUIRE(error.detail.find("turn 2") != std::string::npos);
    REQUIRE(error.detail.find(fleet.a.table.row(fleet.program)->digest.toHex()) != std::string::npos);
}

TEST_CASE("a repeated call joins the running one or returns the recorded answer, as a digest beyond the size limit")
{
    Fleet fleet;
    fleet.appendAndRead(fleet.a);
    const auto request = fleet.request(5, true, fleet.a);
    const auto running = fleet.a.request(fleet.now, request, acting).dispatches.at(0);
    REQUIRE(std::holds_alternative<JoinRunning>(fleet.a.table.admitCall(fleet.now, request, acting)));
    const std::string output = GENERATE(as<std::string> {}, "short", "longer than sixteen bytes");
    fleet.a.finish(fleet.now, running, CallCompleted { output, { 10 } }, acting);
    const auto replay = std::get<ReplayOutcome>(fleet.a.table.admitCall(fleet.now, request, acting));
    REQUIRE(replay.outcome == Outcome::Completed);
    REQUIRE(replay.answer.has_value() == (output.size() <= 16));
    REQUIRE((replay.answer || replay.answerDigest == sha256(output)));
}

TEST_CASE("the reservation of a crashed owner counts as spent, at each step of a call")
{
    Fleet fleet(acting, { { 2500 }, { 20 }, Seconds(600), { 2 } });
    fleet.appendAndRead(fleet.a);
    auto request = fleet.request(5, true, fleet.a);
    request.worstCaseTokens = { 1500 };
    const auto steps = GENERATE(0, 1, 2, 3);
    if (steps > 0)
        fleet.a.request(fleet.now, request, acting);
    const auto events = steps > 1 ? fleet.appendAndRead(fleet.a) : fuzz::HostEvents {};
    if (steps > 2)
        fleet.a.finish(fleet.now, events.dispatches.at(0), CallCompleted { "out", { 1500 } }, acting);
    fleet.takeOver(fleet.b, 2);
    // The first chunk of 1,000 counts as spent, or 2,500 once the call's reservation is in the log.
    const auto spent = fleet.b.table.row(fleet.program)->spent.tokens.value;
    REQUIRE(spent == (steps > 1 ? 2500 : 1000));
    request.call = CallId { 6 };
    request.worstCaseTokens = { 2500 - spent + 1 };
    REQUIRE(onlyKind(fleet.b.request(fleet.now, request, acting)) == ErrorKind::BudgetExceeded);
}

TEST_CASE("a child's budget counts as spent by its parent until the end of the child is confirmed")
{
    Fleet fleet;
    fleet.appendAndRead(fleet.a);
    const Budget half { { 60000 }, { 5 }, Seconds(9000), { 1 } };
    const auto child = fleet.a.table.begin(fleet.now, { partition, workspace, fleet.program, half }, acting);
    REQUIRE(child);
    REQUIRE(fleet.a.table.row(child->program)->budget.wallTime <= Seconds(600));
    fleet.a.push(child->records);
    const auto second = fleet.a.table.begin(fleet.now, { partition, workspace, fleet.program, half }, acting);
    REQUIRE(second.error().kind == ErrorKind::BudgetExceeded);
    auto call = fleet.request(5, true, fleet.a);
    call.program = child->program;
    // The child must not spend before the parent's reservation is in the log.
    REQUIRE(fleet.a.request(fleet.now, call, acting).dispatches.empty());
    const auto events = fleet.appendAndRead(fleet.a);
    fleet.a.finish(fleet.now, events.dispatches.at(0), CallCompleted { "out", { 70 } }, acting);
    auto ended = fleet.a.table.end(fleet.now, child->program, EndReason::Finished, acting);
    fleet.a.push(ended->records);
    REQUIRE(fleet.a.table.row(fleet.program)->spent.tokens == TokenCount { 60000 });
    fleet.appendAndRead(fleet.a);
    REQUIRE(fleet.a.table.row(fleet.program)->spent.tokens == TokenCount { 70 });
    const Budget deep { { 10 }, { 1 }, Seconds(9), { 2 } };
    REQUIRE_FALSE(fleet.a.table.begin(fleet.now, { partition, workspace, fleet.program, deep }, acting));
}

TEST_CASE("replaying the stream twice, or from a checkpoint, gives the same programs")
{
    Fleet fleet;
    fleet.runCall(fleet.a, 5);
    fleet.runCall(fleet.a, 6, false);
    fleet.a.request(fleet.now, fleet.request(7, false, fleet.a), acting);
    fleet.appendAndRead(fleet.a);
    ProgramTable twice;
    for (int round = 0; round < 2; ++round) {
        PartitionLog log;
        for (std::uint64_t offset = 0; offset < fleet.stream.size(); ++offset)
            for (const auto& record : log.apply(Offset { offset }, fleet.stream[offset]).records)
                twice.replay(fleet.now, partition, record);
    }
    ProgramTable checkpointed;
    const auto records = fleet.a.table.checkpoints(fleet.now + Seconds(24 * 3600));
    REQUIRE(records.size() == 1);
    checkpointed.replay(fleet.now, partition, records[0]);
    for (auto* table : { &twice, &checkpointed }) {
        table->takeOver(fleet.now, partition, Epoch { 99 }, true);
        const auto row = table->row(fleet.program);
        REQUIRE(row->digest == fleet.a.table.row(fleet.program)->digest);
        REQUIRE(*table->history(fleet.program) == *fleet.a.table.history(fleet.program));
        REQUIRE(row->unknownClaims == 1);
        REQUIRE(table->stats().mismatches == 0);
    }
}

TEST_CASE("a program ends with its children after its wall time or idle time and records the reason")
{
    Fleet fleet(acting, { { 100000 }, { 20 }, Seconds(7200), { 2 } });
    const Budget small { { 100 }, { 2 }, Seconds(60), { 0 } };
    const auto child = fleet.a.table.begin(fleet.now, { partition, workspace, fleet.program, small }, acting);
    REQUIRE(fleet.a.table.expire(fleet.now + Seconds(59)).empty());
    const auto byWall = fleet.a.table.expire(fleet.now + Seconds(61));
    REQUIRE(byWall.size() == 1);
    REQUIRE(byWall[0].programs == std::vector { child->program });
    REQUIRE(byWall[0].reason == EndReason::WallTime);
    fleet.a.push(child->records);
    fleet.a.push(byWall[0].records);
    fleet.appendAndRead(fleet.a);
    const auto byIdleness = fleet.a.table.expire(fleet.now + Seconds(3600));
    REQUIRE(byIdleness.size() == 1);
    REQUIRE(byIdleness[0].reason == EndReason::Idle);
    const auto late = fleet.a.request(fleet.now + Seconds(3600), fleet.request(5, true, fleet.a), acting);
    REQUIRE(onlyKind(late) == ErrorKind::ProgramEnded);
}

TEST_CASE("a planned handover releases the unused reservations, and the next owner may act at once")
{
    Fleet fleet;
    fleet.runCall(fleet.a, 5);
    auto records = fleet.a.table.handOver(partition);
    records.emplace_back(HandoverRecord { NodeId { 1 }, "buckets" });
    fleet.a.push(std::move(records));
    fleet.append(fleet.a);
    fleet.takeOver(fleet.b, 2);
    REQUIRE(fleet.b.log.current()->mayActAtOnce);
    REQUIRE(fleet.b.table.row(fleet.program)->spent.tokens == TokenCount { 10 });
}

TEST_CASE("a write guard returns no proof after writing has begun")
{
    WriteGuard guard;
    REQUIRE(guard.proof());
    guard.beginWriting();
    REQUIRE_FALSE(guard.proof());
}
