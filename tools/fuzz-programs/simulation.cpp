#include "simulation.h"

#include <algorithm>
#include <fmt/format.h>

namespace peridotramp::fuzz {

namespace {

const WorkspaceId workspace { 4 };
const Budget rootBudget { { 4000 }, { 30 }, Seconds(600), { 1 } };
const Budget childBudget { { 900 }, { 6 }, Seconds(300), { 0 } };
constexpr std::int64_t turnsPerProgram = 8;

} // namespace

Simulation::Simulation(std::uint64_t seed)
    : random(seed)
{
    for (int node = 0; node < nodeCount; ++node) {
        this->nodes.push_back({ Incarnation { 1 }, {}, LeaseVoter(this->now), {}, {}, {} });
        this->restart(node);
    }
    for (int caller = 0; caller < callerCount; ++caller)
        this->callers.push_back({ this->randomBelow(partitionCount) });
}

PartitionHost Simulation::makeHost(int node, int partition, Incarnation incarnation) const
{
    ProgramSettings programs;
    programs.reservationChunk = { { 500 }, { 4 } };
    AppendLimits appends;
    appends.burst = 2;
    return { PartitionId { static_cast<std::uint64_t>(partition) }, NodeId { static_cast<std::uint64_t>(node) },
        incarnation, programs, appends };
}

/// All state of a node is lost when it restarts.
void Simulation::restart(int node)
{
    auto& restarted = this->nodes[node];
    restarted = { Incarnation { restarted.incarnation.value + 1 }, this->now, LeaseVoter(this->now), {}, {}, {} };
    for (int partition = 0; partition < partitionCount; ++partition)
        restarted.hosts.push_back(this->makeHost(node, partition, restarted.incarnation));
}

Authority Simulation::authority(int node, int partition)
{
    return { this->nodes[node].hosts[partition].lease.mayAct(this->now), this->nodes[node].logAvailable[partition] };
}

void Simulation::fail(const std::string& what)
{
    if (this->report.violation.empty())
        this->report.violation = fmt::format("at {} ms: {}", this->now.time_since_epoch() / Milliseconds(1), what);
}

Report Simulation::run()
{
    for (int count = 0; count < steps && this->report.violation.empty(); ++count) {
        this->now += step;
        if (count < steps * 3 / 4)
            this->injectFaults();
        this->stepLog();
        this->stepVotes();
        for (int node = 0; node < nodeCount; ++node)
            this->stepNode(node);
        this->stepExecutions();
        // A caller's step may add a caller.
        for (std::size_t index = 0; index < this->callers.size(); ++index) // NOLINT(modernize-loop-convert)
            this->stepCaller(this->callers[index]);
        this->checkLeases();
    }
    this->checkHistory();
    return this->report;
}

void Simulation::injectFaults()
{
    if (this->chance(0.004))
        this->restart(this->randomBelow(nodeCount));
    if (this->chance(0.008))
        this->nodes[this->randomBelow(nodeCount)].stalledUntil = this->now + this->randomDelay(15000);
    if (this->chance(0.003))
        this->logUnavailableUntil = this->now + this->randomDelay(20000);
}

void Simulation::stepLog()
{
    const auto isDue = [this](const DelayedAppend& append) { return append.storedAt <= this->now; };
    for (auto& append : this->appends | std::views::filter(isDue))
        this->streams[append.partition].push_back(append.group);
    std::erase_if(this->appends, isDue);
}

/// An append can fail, be stored at once, or be stored long after the sender's timeout.
void Simulation::sendAppend(int partition, RecordGroup group)
{
    if (this->now < this->logUnavailableUntil || this->chance(0.05))
        return;
    const auto delay = this->chance(0.1) ? this->randomDelay(12000) : this->randomDelay(200);
    this->appends.push_back({ partition, std::move(group), this->now + delay });
}

void Simulation::stepNode(int node)
{
    if (this->now < this->nodes[node].stalledUntil)
        return;
    for (int partition = 0; partition < partitionCount; ++partition)
        this->stepHost(node, partition);
}

void Simulation::stepHost(int node, int partition)
{
    this->readLog(node, partition);
    this->tryTakeover(node, partition);
    auto& host = this->nodes[node].hosts[partition];
    for (const auto& request : host.lease.voteRequests(this->now)) {
        if (!this->chance(0.1))
            this->votes.push_back({ node, this->nodes[node].incarnation, partition, request, std::nullopt,
                this->now + this->randomDelay(400) });
    }
    for (auto& ended : host.table.expire(this->now))
        host.push(std::move(ended.records));
    if (this->chance(0.002))
        host.push(host.table.checkpoints(this->now + Seconds(24 * 3600)));
    if (this->chance(0.01))
        this->handle(node, partition, host.abandon(this->now, this->authority(node, partition)));
    if (host.queue) {
        if (auto group = host.queue->poll(this->now))
            this->sendAppend(partition, std::move(*group));
    }
}

void Simulation::readLog(int node, int partition)
{
    auto& read = this->nodes[node].reads[partition];
    auto& host = this->nodes[node].hosts[partition];
    if (!read) {
        if (this->now < this->logUnavailableUntil)
            this->nodes[node].logAvailable[partition] = false;
        else if (this->chance(0.6))
            read = { this->now, this->now + (this->chance(0.1) ? this->randomDelay(3000) : this->randomDelay(100)),
                this->streams[partition].size() };
        return;
    }
    if (this->now < read->endsAt)
        return;
    const auto& stream = this->streams[partition];
    const std::vector<RecordGroup> seen(stream.begin(), stream.begin() + static_cast<std::ptrdiff_t>(read->groupCount));
    this->nodes[node].logAvailable[partition] = true;
    // The lease must know of a newer owner before any claim is resolved.
    auto updatedLog = host.log;
    while (updatedLog.next().value < seen.size())
        updatedLog.apply(updatedLog.next(), seen[updatedLog.next().value]);
    host.lease.recordRead(this->now, read->startedAt, true, updatedLog);
    read.reset();
    this->handle(node, partition, host.read(this->now, seen, this->authority(node, partition)));
}

void Simulation::tryTakeover(int node, int partition)
{
    auto& host = this->nodes[node].hosts[partition];
    const bool vacant = !host.log.current().has_value();
    if (host.lease.isOwner() || !this->chance(vacant ? 0.05 : 0.003))
        return;
    std::vector<NodeId> electorate;
    electorate.reserve(nodeCount);
    for (std::uint64_t voter = 0; voter < nodeCount; ++voter)
        electorate.push_back(NodeId { voter });
    ++this->report.takeovers;
    this->sendAppend(partition, host.takeover(electorate, AppendId { this->nextAppend++ }));
}

void Simulation::stepVotes()
{
    for (auto& vote : this->votes) {
        const auto voter = static_cast<int>(vote.request.voter.value);
        const int target = vote.reply ? vote.requester : voter;
        if (vote.arrivesAt > this->now || this->now < this->nodes[target].stalledUntil)
            continue;
        if (!vote.reply) {
            vote.reply = this->nodes[voter].voter.reply(this->now, vote.request);
            vote.arrivesAt = this->chance(0.1) ? TimePoint::max() : this->now + this->randomDelay(400);
            continue;
        }
        if (this->nodes[vote.requester].incarnation == vote.requesterIncarnation)
            this->nodes[vote.requester].hosts[vote.partition].lease.recordReply(this->now, vote.request, *vote.reply);
        vote.arrivesAt = TimePoint::max();
    }
    std::erase_if(this->votes, [](const Vote& vote) { return vote.arrivesAt == TimePoint::max(); });
}

void Simulation::checkLeases()
{
    for (int partition = 0; partition < partitionCount; ++partition) {
        int acting = 0;
        for (const auto& node : this->nodes) {
            auto lease = node.hosts[partition].lease;
            acting += lease.mayAct(this->now);
        }
        if (acting > 1)
            this->fail("two nodes hold the lease of a partition");
    }
}

void Simulation::handle(int node, int partition, const HostEvents& events)
{
    for (const auto& dispatch : events.dispatches)
        this->execute(node, partition, dispatch);
    for (const auto& each : events.answers)
        this->answer(each);
}

/// Runs a call at the endpoint. It is counted at once; its answer arrives later.
void Simulation::execute(int node, int partition, const Dispatch& dispatch)
{
    const auto incarnation = this->nodes[node].incarnation;
    const auto overlaps = [&](const Execution& other) {
        return other.dispatch.program == dispatch.program && other.node == node && other.incarnation == incarnation;
    };
    if (std::ranges::any_of(this->executions, overlaps))
        this->fail("I1: two calls of a program run at one owner");
    const bool written = !this->chance(0.1);
    this->executions.push_back(
        { node, incarnation, partition, dispatch, written, this->now + this->randomDelay(2000) });
    if (!written)
        return;
    ++this->report.executions;
    if (++this->executionCounts[dispatch.call] > 1 && !this->idempotent[dispatch.call])
        this->fail("I13: a non-idempotent call ran twice");
    const auto turn = this->nodes[node].hosts[partition].table.row(dispatch.program)->turn.value + 1;
    auto& last = this->lastExecutedTurn[dispatch.program];
    if (turn < last)
        this->fail("I1: a call ran after one of a later turn");
    last = std::max(last, turn);
}

void Simulation::stepExecutions()
{
    const auto due = [this](const Execution& execution) {
        return execution.endsAt <= this->now && this->now >= this->nodes[execution.node].stalledUntil;
    };
    std::vector<Execution> ended;
    std::ranges::copy_if(this->executions, std::back_inserter(ended), due);
    std::erase_if(this->executions, due);
    for (const auto& execution : ended)
        this->finish(execution);
}

void Simulation::finish(const Execution& execution)
{
    auto* caller = this->callerOf(execution.dispatch.program);
    const auto used = this->randomBelow(static_cast<int>(maxCallTokens) + 1);
    if (execution.written && caller != nullptr) {
        auto& budgetUse = this->budgetUseByRoot[caller->root];
        budgetUse.tokens += used;
        ++budgetUse.calls;
        if (budgetUse.tokens > rootBudget.tokens.value || budgetUse.calls > rootBudget.calls.value)
            this->fail("I3: a program exceeded its budget");
    }
    if (this->nodes[execution.node].incarnation != execution.incarnation)
        return;
    auto& host = this->nodes[execution.node].hosts[execution.partition];
    WriteGuard guard;
    if (execution.written)
        guard.beginWriting();
    const auto output = fmt::format("out{}-{}", execution.dispatch.call.value, this->randomBelow(1000));
    CallResult result = CallCompleted { output, { used } };
    if (const auto proof = guard.proof())
        result = CallNotRun { *proof };
    else if (this->chance(0.1))
        result = CallUnknown {};
    const auto finished
        = host.finish(this->now, execution.dispatch, result, this->authority(execution.node, execution.partition));
    if (!finished || caller == nullptr)
        return;
    if (finished->outcome == Outcome::NotRun && this->executionCounts[execution.dispatch.call] > 0)
        this->fail("I12: an attempt of a call that ran was reported as not run");
    if (finished->outcome != Outcome::Completed || this->chance(0.15) || !caller->call
        || caller->call->request.call != execution.dispatch.call)
        return;
    caller->confirmed = std::max(caller->confirmed, finished->confirmedTurn.value);
    this->completeCall(*caller, output, finished->digest);
}

Simulation::Caller* Simulation::callerOf(ProgramId program)
{
    const auto found = std::ranges::find(this->callers, program, &Caller::program);
    return found == this->callers.end() ? nullptr : &*found;
}

void Simulation::completeCall(Caller& caller, const std::string& output, const Digest& digest)
{
    const auto& request = caller.call->request;
    const auto expected = turnDigest(request.previous, caller.program, request.turn, request.input, output);
    if (digest != expected)
        this->fail("I2: the owner's digest differs from the caller's");
    caller.turns.push_back({ { request.turn, request.call, request.input, output }, digest });
    caller.call.reset();
    ++this->report.completed;
}

void Simulation::answer(const Answer& answer)
{
    if (answer.outcome == Outcome::NotRun && this->executionCounts[answer.call] > 0)
        this->fail(fmt::format("I12: a call that ran was refused as not run ({})", toString(answer.kind)));
    auto* caller = this->callerOf(answer.program);
    if (caller == nullptr || !caller->call || caller->call->request.call != answer.call || this->chance(0.1))
        return;
    if (answer.kind == ErrorKind::None && answer.outcome == Outcome::Completed)
        this->completeCall(*caller, answer.replay.answer.value_or(""), answer.replay.digest);
    else if (answer.kind == ErrorKind::None)
        // The call has its final outcome; the program continues with another call.
        caller->call.reset();
    else if (answer.kind == ErrorKind::TurnConflict || answer.kind == ErrorKind::BudgetExceeded
        || answer.kind == ErrorKind::ProgramEnded || answer.kind == ErrorKind::UnknownProgram) {
        caller->done = true;
        ++this->report.abandoned;
    }
}

int Simulation::findOwner(int partition)
{
    const int node = this->randomBelow(nodeCount);
    const bool owns
        = this->nodes[node].hosts[partition].table.owns(PartitionId { static_cast<std::uint64_t>(partition) });
    return this->now < this->nodes[node].stalledUntil || !owns ? -1 : node;
}

void Simulation::stepCaller(Caller& caller)
{
    if (caller.done)
        return;
    if (!caller.program.isValid())
        this->begin(caller);
    else if (caller.call && this->now >= caller.call->retryAt)
        this->sendCall(caller);
    else if (!caller.call && static_cast<std::int64_t>(caller.turns.size()) >= turnsPerProgram)
        this->endProgram(caller);
    else if (!caller.call && this->chance(0.2))
        this->startCall(caller);
    else if (!caller.parent.isValid() && this->callers.size() < maxCallers && this->chance(0.01))
        this->beginChild(caller);
}

void Simulation::begin(Caller& caller)
{
    const int node = this->findOwner(caller.partition);
    if (node < 0)
        return;
    auto& host = this->nodes[node].hosts[caller.partition];
    const auto budget = caller.parent.isValid() ? childBudget : rootBudget;
    const BeginRequest request { PartitionId { static_cast<std::uint64_t>(caller.partition) }, workspace, caller.parent,
        budget };
    auto started = host.table.begin(this->now, request, this->authority(node, caller.partition));
    if (!started) {
        caller.done = caller.parent.isValid();
        return;
    }
    host.push(started->records);
    caller.program = started->program;
    caller.root = caller.parent.isValid() ? caller.parent : caller.program;
}

void Simulation::beginChild(Caller& caller)
{
    Caller child { caller.partition };
    child.parent = caller.program;
    // Invalidates `caller`.
    this->callers.push_back(std::move(child));
}

void Simulation::endProgram(Caller& caller)
{
    const int node = this->findOwner(caller.partition);
    if (node < 0)
        return;
    auto& host = this->nodes[node].hosts[caller.partition];
    auto ended
        = host.table.end(this->now, caller.program, EndReason::Finished, this->authority(node, caller.partition));
    if (!ended)
        return;
    host.push(ended->records);
    caller.done = true;
}

void Simulation::startCall(Caller& caller)
{
    CallRequest request;
    request.program = caller.program;
    request.workspace = workspace;
    request.call = CallId { this->nextCall++ };
    request.turn = { static_cast<std::int64_t>(caller.turns.size()) + 1 };
    request.previous = caller.turns.empty() ? Digest {} : caller.turns.back().digest;
    request.input = fmt::format("in{}", request.call.value);
    request.worstCaseTokens = { maxCallTokens };
    request.idempotent = this->chance(0.5);
    this->idempotent[request.call] = request.idempotent;
    caller.call = PendingCall { std::move(request), this->now };
}

void Simulation::sendCall(Caller& caller)
{
    const int node = this->findOwner(caller.partition);
    if (node < 0)
        return;
    auto request = caller.call->request;
    request.deadline = this->chance(0.5) ? this->now + this->randomDelay(6000) : TimePoint::max();
    for (const auto& turn : caller.turns | std::views::drop(caller.confirmed))
        request.unconfirmed.push_back(turn.turn);
    caller.call->request.repeated = true;
    caller.call->retryAt = this->now + Seconds(1) + this->randomDelay(3000);
    auto& host = this->nodes[node].hosts[caller.partition];
    this->handle(node, caller.partition, host.request(this->now, request, this->authority(node, caller.partition)));
}

/// A new reader of the log must find every turn that was reported to a caller as confirmed.
void Simulation::checkHistory()
{
    for (int partition = 0; partition < partitionCount; ++partition) {
        const PartitionId id { static_cast<std::uint64_t>(partition) };
        ProgramTable table;
        PartitionLog log;
        for (const auto& group : this->streams[partition])
            for (const auto& record : log.apply(log.next(), group).records)
                table.replay(this->now, id, record);
        if (table.stats().mismatches > 0)
            this->fail("I2: the log holds a turn that does not continue its program");
        for (const auto& caller : this->callers) {
            if (caller.partition != partition || caller.confirmed == 0)
                continue;
            const auto* history = table.history(caller.program);
            const auto loggedTurns = history == nullptr ? 0 : static_cast<std::int64_t>(history->size());
            if (loggedTurns < caller.confirmed)
                this->fail("I2: a confirmed turn is not in the log");
            for (std::int64_t turn = 0; turn < std::min(loggedTurns, caller.confirmed); ++turn) {
                const auto& callerTurn = caller.turns[static_cast<std::size_t>(turn)].turn;
                const auto& logged = (*history)[static_cast<std::size_t>(turn)];
                if (logged.call != callerTurn.call || logged.input != callerTurn.input
                    || logged.output != callerTurn.output)
                    this->fail("I2: a turn in the log differs from the one that the caller received");
            }
            this->report.confirmedTurns += static_cast<std::size_t>(caller.confirmed);
        }
    }
}

} // namespace peridotramp::fuzz
