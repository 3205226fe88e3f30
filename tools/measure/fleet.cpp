#include "fleet.h"

#include <algorithm>
#include <cmath>

namespace measure {

using namespace peridotramp;

namespace {

// Times are in seconds.

// Longest wait of a request for a token of its workspace's bucket.
constexpr double maxBucketWait = 0.5;
constexpr double minRetryDelay = 0.5;
constexpr double maxRetryDelay = 5;
constexpr int maxRefusals = 8;
constexpr double failureRetryDelay = 0.2;
// Network delay before an admitted call is queued at an endpoint; the policy also requests a permit from the endpoint's
// owner.
constexpr double baselineHopDelay = 0.002;
constexpr double policyHopDelay = 0.006;
// Time after the last arrival for which the run continues, so that programs can end.
constexpr double drainTime = 1200;
// Weight of the newest service time in the moving average of an endpoint.
constexpr double serviceGain = 0.1;

std::uint64_t mix(std::initializer_list<std::uint64_t> parts)
{
    const std::vector<std::uint64_t> values(parts);
    return hashBytes({ reinterpret_cast<const char*>(values.data()), values.size() * sizeof(std::uint64_t) });
}

} // namespace

void FakeBucket::refill(double now)
{
    this->level = std::min(this->burst, this->level + this->rate * (now - this->updated));
    this->updated = now;
}

std::optional<double> FakeBucket::take(double now, double maxWait, double& retryAfter)
{
    this->refill(now);
    const auto wait = std::max(0.0, (1 - this->level) / this->rate);
    retryAfter = wait;
    if (wait > maxWait)
        return std::nullopt;
    this->level -= 1;
    return wait;
}

FleetSimulation::FleetSimulation(
    const Deployment& deployment, const Policy& policy, const std::vector<ProgramSpec>& programs, std::uint64_t seed)
    : deployment(deployment)
    , policy(policy)
    , specs(programs)
    , seed(seed)
    , hasAdmissionControl(policy.admissionHook(1) == 1)
    , placementIndexes(deployment.groups.size())
    , programs(programs.size())
{
    this->result.slowdowns.resize(deployment.workspaces.size());
    this->addEndpoints();
    this->addBuckets();
}

Duration FleetSimulation::toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void FleetSimulation::addEndpoints()
{
    constexpr Duration leaseForRun = Seconds(1'000'000);
    std::uint64_t next = 0;
    double granted = 0;
    for (const auto& workspace : this->deployment.workspaces)
        granted += workspace.requestRate;
    for (std::size_t group = 0; group < this->deployment.groups.size(); ++group) {
        const auto& spec = this->deployment.groups[group];
        for (std::size_t index = 0; index < spec.endpoints; ++index) {
            const EndpointId id { next++ };
            const DomainId domain { index % this->deployment.domains };
            const EngineSpec engine { spec.slots, spec.cacheTokens };
            this->endpoints.push_back(
                { id, domain, group, FakeEngine(this->loop, engine, id), FairQueue({ this->policy }) });
            // The share that a workspace is entitled to follows its grant; the mean weight is 1.
            const auto workspaces = this->deployment.workspaces.size();
            for (std::size_t workspace = 0; workspace < workspaces; ++workspace) {
                const auto share = this->deployment.workspaces[workspace].requestRate / granted;
                this->endpoints.back().queue.setWeight(
                    WorkspaceId { workspace }, share * static_cast<double>(workspaces));
            }
            const std::vector models { ModelId { group } };
            this->pool.configure(
                this->now(), { id, domain, EndpointGroupId { group }, EndpointKind::Engine, models, { spec.slots } });
            this->pool.beginOwnership(this->now(), id, Epoch { 1 }, this->now() + leaseForRun);
            this->cacheIndex.beginOwnership(id, Epoch { 1 });
            this->refresh(this->endpoints.back());
        }
    }
}

void FleetSimulation::addBuckets()
{
    const auto nodes = static_cast<double>(this->deployment.instances);
    for (const auto& workspace : this->deployment.workspaces) {
        const FakeBucket shared { workspace.requestRate, workspace.requestBurst, workspace.requestBurst };
        const FakeBucket local { shared.rate / nodes, shared.burst / nodes, shared.burst / nodes };
        this->sharedBuckets.push_back(shared);
        this->localBuckets.emplace_back(this->deployment.instances, local);
    }
}

RunResult FleetSimulation::run()
{
    for (std::size_t index = 0; index < this->specs.size(); ++index) {
        if (!this->specs[index].isChild)
            this->loop.after(this->specs[index].arrival, [this, index] { this->begin(index, std::nullopt); });
    }
    this->loop.after(this->deployment.leavesAt, [this] { this->beginLeaving(); });
    this->loop.after(this->deployment.returnsAt, [this] { this->returnToService(); });
    this->loop.after(tickInterval, [this] { this->tick(); });
    this->loop.run(this->deployment.duration + drainTime);
    this->result.unfinished = this->activePrograms;
    for (std::size_t group = 0; group < this->deployment.groups.size(); ++group) {
        double used = 0;
        for (const auto& endpoint : this->endpoints)
            used += endpoint.group == group ? endpoint.engine.usedSeconds() : 0;
        const auto engines = static_cast<double>(this->deployment.groups[group].endpoints);
        this->result.utilisation.push_back(used / (engines * this->deployment.duration));
    }
    this->result.coldDetections = this->pool.stats().coldDetections;
    for (const auto& endpoint : this->endpoints)
        this->result.crashes += endpoint.engine.crashes();
    return this->result;
}

void FleetSimulation::begin(std::size_t index, std::optional<std::size_t> parent)
{
    auto& program = this->programs[index];
    program.spec = &this->specs[index];
    program.parent = parent;
    program.started = this->loop.now();
    ++this->activePrograms;
    this->service.begin(ProgramId { index }, parent ? std::optional(ProgramId { *parent }) : std::nullopt);
    this->request(index);
}

void FleetSimulation::request(std::size_t index)
{
    auto& program = this->programs[index];
    const auto workspace = program.spec->workspace;
    const auto time = this->loop.now();
    const bool exceedsGrant = this->deployment.workspaces[workspace].demandFactor > 1;
    this->result.requests += exceedsGrant ? 0 : 1;
    auto& shared = this->sharedBuckets[workspace];
    const auto node = mix({ this->seed, index, program.turn, program.calls++ }) % this->deployment.instances;
    double retryAfter = 0;
    const auto wait = this->hasAdmissionControl ? shared.take(time, maxBucketWait, retryAfter)
                                                : this->localBuckets[workspace][node].take(time, 0, retryAfter);
    if (wait) {
        program.refusals = 0;
        if (!this->hasAdmissionControl) {
            // Only charges the shared bucket, whose level tells below whether a refusal is wrongful. The wait does not
            // apply, as the local bucket has admitted the request.
            double unused = 0;
            shared.take(time, std::numeric_limits<double>::infinity(), unused);
        }
        this->loop.after(*wait + (this->hasAdmissionControl ? policyHopDelay : baselineHopDelay),
            [this, index] { this->enqueue(index); });
        return;
    }
    shared.refill(time);
    this->result.refusals += exceedsGrant ? 0 : 1;
    this->result.wrongfulRefusals += !exceedsGrant && shared.level >= 1 ? 1 : 0;
    if (exceedsGrant && ++program.refusals >= maxRefusals) {
        this->end(index, false);
        return;
    }
    this->loop.after(std::clamp(retryAfter, minRetryDelay, maxRetryDelay), [this, index] { this->request(index); });
}

EndpointId FleetSimulation::chooseEndpoint(const QueuedCall& call, std::size_t group)
{
    std::vector<std::pair<EndpointId, TokenCount>> holders;
    if (this->hasAdmissionControl) {
        for (const auto id : this->cacheIndex.holders(call.program)) {
            if (this->endpoints[id.value].group == group)
                holders.emplace_back(id, this->cacheIndex.cachedTokens(id, call.program));
        }
        return this->placementIndexes[group].place(this->policy, call, holders);
    }
    std::vector<EndpointView> views;
    for (const auto& endpoint : this->endpoints) {
        if (endpoint.group == group)
            views.push_back({ endpoint.id, endpoint.domain, {}, {}, {}, this->domainShare(endpoint.domain) });
    }
    return place(this->policy, call, views);
}

void FleetSimulation::enqueue(std::size_t index)
{
    auto& program = this->programs[index];
    if (program.ended)
        return;
    const auto& turn = this->turnOf(program);
    QueuedCall call { CallId { program.calls++ * this->programs.size() + index }, ProgramId { index },
        WorkspaceId { program.spec->workspace }, ModelId { turn.group }, DomainId { program.spec->domain } };
    call.arrival = this->now();
    call.attained = this->service.attained(call.program);
    call.history.value = turn.group == 0 ? program.history : 0;
    const auto id = this->chooseEndpoint(call, turn.group);
    auto& endpoint = this->endpoints[id.value];
    const auto cached = std::min(call.history.value, this->cacheIndex.cachedTokens(id, call.program).value);
    call.expected = { { turn.input + call.history.value - cached }, { std::llround(this->deployment.outputMedian) } };
    endpoint.queue.push(this->now(), call);
    endpoint.queued.emplace(call.call, index);
    endpoint.prefillBacklog += call.expected.prefill.value;
    this->drain(endpoint);
}

void FleetSimulation::drain(Endpoint& endpoint)
{
    while (!endpoint.queue.isEmpty()) {
        if (this->hasAdmissionControl) {
            const auto view = this->pool.view(this->now(), endpoint.id);
            const auto allowed = this->policy.admissionHook(view->window.value) - view->held.value;
            if (view->available.value <= 0 || allowed <= 0)
                break;
        }
        const auto call = *endpoint.queue.pop(this->now());
        const auto index = endpoint.queued.at(call.call);
        endpoint.queued.erase(call.call);
        if (this->dispatch(endpoint, call, index))
            continue;
        // The retry was refused; the caller sends the call again.
        endpoint.prefillBacklog -= call.expected.prefill.value;
        this->programs[index].attempt = 0;
        this->loop.after(1, [this, index] { this->request(index); });
    }
    this->refresh(endpoint);
}

bool FleetSimulation::dispatch(Endpoint& endpoint, const QueuedCall& call, std::size_t index)
{
    auto& program = this->programs[index];
    const auto& turn = this->turnOf(program);
    auto dispatch = std::make_shared<Dispatch>(Dispatch { index, call, std::nullopt, this->loop.now() });
    if (this->hasAdmissionControl) {
        const auto answer = this->pool.tryAcquire(
            this->now(), { endpoint.id, NodeId { 0 }, Incarnation { 1 }, call.call, program.attempt, true });
        if (!answer)
            return false;
        dispatch->permit = answer.permit;
    }
    ++endpoint.inFlight;
    EngineCall request { call.program, program.spec->workspace, this->deployment.sharedPrefixTokens, call.history.value,
        turn.input, turn.output };
    if (turn.group != 0)
        request.sharedPrefixTokens = 0;
    endpoint.runningPrefill += call.expected.prefill.value;
    dispatch->ahead = endpoint.runningPrefill;
    request.firstToken = [&endpoint, dispatch] {
        dispatch->prefilling = false;
        endpoint.prefillBacklog -= dispatch->call.expected.prefill.value;
        endpoint.runningPrefill -= dispatch->call.expected.prefill.value;
    };
    request.done
        = [this, &endpoint, dispatch](const EngineAnswer& answer) { this->handleAnswer(endpoint, *dispatch, answer); };
    endpoint.engine.submit(std::move(request));
    return true;
}

void FleetSimulation::handleAnswer(Endpoint& endpoint, Dispatch dispatch, const EngineAnswer& answer)
{
    auto& program = this->programs[dispatch.program];
    --endpoint.inFlight;
    if (dispatch.prefilling) {
        endpoint.prefillBacklog -= dispatch.call.expected.prefill.value;
        endpoint.runningPrefill -= dispatch.call.expected.prefill.value;
    }
    const bool succeeded = answer.result == EndpointResult::Succeeded;
    if (this->hasAdmissionControl) {
        CallReport report { answer.result };
        if (succeeded)
            report = { answer.result, toDuration(answer.firstToken), { dispatch.ahead } };
        this->pool.release(this->now(), *dispatch.permit, report);
    }
    if (succeeded)
        this->handleSuccess(endpoint, dispatch, answer);
    else {
        ++program.attempt;
        this->loop.after(failureRetryDelay, [this, index = dispatch.program] { this->enqueue(index); });
    }
    this->drain(endpoint);
}

void FleetSimulation::handleSuccess(Endpoint& endpoint, const Dispatch& dispatch, const EngineAnswer& answer)
{
    auto& program = this->programs[dispatch.program];
    const auto turn = this->turnOf(program);
    const TokenUse actual { { answer.prefilled }, { turn.output } };
    endpoint.queue.correctCharge(dispatch.call.workspace, dispatch.call.expected, actual);
    const auto served = this->loop.now() - dispatch.at;
    endpoint.meanService += serviceGain * (served - endpoint.meanService);
    this->service.add(dispatch.call.program, toDuration(served));
    this->result.promptTokens += dispatch.call.history.value + turn.input;
    this->result.recomputedTokens += answer.recomputed;
    if (turn.group == 0)
        program.history += turn.input + turn.output;
    program.attempt = 0;
    this->cacheIndex.recordUse(
        this->now(), endpoint.id, dispatch.call.program, { dispatch.call.history.value + turn.input + turn.output });
    ++program.turn;
    if (program.turn < program.spec->turns.size())
        this->pauseBetweenTurns(endpoint, dispatch.program);
    program.childrenLeft = turn.children.size();
    for (const auto child : turn.children)
        this->begin(child, dispatch.program);
    if (turn.children.empty())
        this->nextTurn(dispatch.program);
}

void FleetSimulation::pauseBetweenTurns(Endpoint& endpoint, std::size_t index)
{
    const auto cached = this->cacheIndex.cachedTokens(endpoint.id, ProgramId { index });
    const EngineSpec spec;
    ToolPause pause { ProgramId { index }, cached, toDuration(this->deployment.pauseMedian) };
    pause.recompute = toDuration(static_cast<double>(cached.value) * spec.prefillPerToken);
    pause.memoryUsed = endpoint.engine.memoryUsed();
    pause.leaving = this->domainShare(endpoint.domain) <= 0;
    switch (this->policy.retentionHook(pause)) {
    case Retention::Move:
        this->movePrefix(endpoint, index);
        break;
    case Retention::Release:
        this->cacheIndex.releasePrefix(this->now(), endpoint.id, ProgramId { index });
        break;
    default:
        break;
    }
}

void FleetSimulation::nextTurn(std::size_t index)
{
    const auto& program = this->programs[index];
    if (program.ended)
        return;
    if (program.turn >= program.spec->turns.size()) {
        this->end(index, true);
        return;
    }
    this->loop.after(this->turnOf(program).pause, [this, index] { this->request(index); });
}

double FleetSimulation::idealLatency(std::size_t index) const
{
    const EngineSpec spec;
    double total = 0;
    for (const auto& turn : this->specs[index].turns) {
        const auto perToken = spec.stepBase + spec.stepPerSequence;
        total += turn.pause + static_cast<double>(turn.input) * spec.prefillPerToken
            + static_cast<double>(turn.output) * perToken;
        double children = 0;
        for (const auto child : turn.children)
            children = std::max(children, this->idealLatency(child));
        total += children;
    }
    return total;
}

void FleetSimulation::end(std::size_t index, bool completed)
{
    auto& program = this->programs[index];
    const auto workspace = program.spec->workspace;
    program.ended = true;
    --this->activePrograms;
    this->cacheIndex.markProgramEnded(this->now(), ProgramId { index });
    this->service.end(ProgramId { index });
    if (!completed)
        ++this->result.abandoned;
    if (program.parent) {
        if (--this->programs[*program.parent].childrenLeft == 0)
            this->nextTurn(*program.parent);
        return;
    }
    const bool isWithinGrant = this->deployment.workspaces[workspace].demandFactor <= 1;
    if (!completed || !isWithinGrant)
        return;
    const auto latency = this->loop.now() - program.started;
    this->result.latencies.push_back(latency);
    if (this->loop.now() >= this->deployment.leavesAt && this->loop.now() < this->deployment.transitionEnds)
        this->result.transitionLatencies.push_back(latency);
    this->result.slowdowns[workspace].first += latency / this->idealLatency(index);
    ++this->result.slowdowns[workspace].second;
}

} // namespace measure
