// Load reports, cache events, orders, and the leaving and return of a failure domain.
#include "fleet.h"

#include <algorithm>

namespace measure {

using namespace peridotramp;

namespace {

constexpr DomainId transitionDomain { 0 };
// Delay in seconds until a load report and cache events arrive.
constexpr double reportLag = 1;
// One in so many batches of cache events is lost.
constexpr std::uint64_t lostEventBatches = 20;
// Delay in seconds until an order is executed.
constexpr double orderDelay = 0.05;
// 160 KB per token at about 8 GB/s between engines.
constexpr double transferSecondsPerToken = 0.00002;

} // namespace

double FleetSimulation::domainShare(DomainId domain) const
{
    if (domain != transitionDomain || !this->transitionAt)
        return 1;
    return this->policy.rampHook({ this->leaving, toDuration(this->loop.now() - *this->transitionAt) });
}

void FleetSimulation::refresh(Endpoint& endpoint)
{
    if (!this->hasAdmissionControl)
        return;
    const auto state = this->pool.view(this->now(), endpoint.id);
    const EngineSpec spec;
    const auto window
        = std::max<std::int64_t>(1, std::min(state->window.value, state->held.value + state->available.value));
    const auto load = state->held.value + static_cast<std::int64_t>(endpoint.queue.size());
    const auto excess = static_cast<double>(std::max<std::int64_t>(0, load + 1 - window)) / static_cast<double>(window);
    const auto prefill = static_cast<double>(std::max<std::int64_t>(0, endpoint.prefillBacklog)) * spec.prefillPerToken;
    EndpointView view { endpoint.id, endpoint.domain, toDuration(prefill + excess * endpoint.meanService) };
    view.prefillPerThousand = toDuration(1000 * spec.prefillPerToken);
    view.share = this->domainShare(endpoint.domain);
    view.usable = !state->breakerOpen && state->state != EndpointState::Leaving;
    this->placementIndexes[endpoint.group].update(view);
}

void FleetSimulation::beginLeaving()
{
    this->transitionAt = this->loop.now();
    this->leaving = true;
}

void FleetSimulation::returnToService()
{
    this->transitionAt = this->loop.now();
    this->leaving = false;
    this->domainClosed = false;
    for (auto& endpoint : this->endpoints) {
        if (endpoint.domain == transitionDomain)
            endpoint.engine.restart();
    }
    this->pool.setDomain(this->now(), transitionDomain, DomainState::In);
}

void FleetSimulation::requeueCalls(Endpoint& endpoint)
{
    const auto queued = std::exchange(endpoint.queued, {});
    for (const auto& [call, index] : queued) {
        endpoint.queue.cancel(call);
        this->loop.after(0, [this, index] { this->enqueue(index); });
    }
    endpoint.prefillBacklog = endpoint.runningPrefill;
}

void FleetSimulation::movePrefix(Endpoint& endpoint, std::size_t index)
{
    QueuedCall call { CallId { 0 }, ProgramId { index } };
    call.domain = DomainId { this->programs[index].spec->domain };
    const auto target = this->chooseEndpoint(call, endpoint.group);
    if (target.isValid() && target != endpoint.id)
        this->cacheIndex.importPrefix(this->now(), endpoint.id, target, call.program);
}

void FleetSimulation::executeOrder(const Order& order)
{
    auto& engine = this->endpoints[order.endpoint.value].engine;
    if (const auto* release = std::get_if<ReleaseProgram>(&order.wanted))
        engine.evict(release->program);
    const auto* hold = std::get_if<HoldProgram>(&order.wanted);
    if (!hold)
        return;
    const auto tokens = this->endpoints[hold->source.value].engine.cached(hold->program);
    const auto delay = transferSecondsPerToken * static_cast<double>(tokens);
    this->loop.after(delay, [&engine, program = hold->program, tokens] {
        if (tokens > 0)
            engine.import(program, tokens);
    });
}

// Reports and cache events arrive a second late, and some batches of events are lost.
void FleetSimulation::sendReports(Endpoint& endpoint)
{
    const auto report = endpoint.engine.loadReport(this->now());
    const auto start = endpoint.engine.engineStart();
    auto events = endpoint.engine.takeEvents();
    const auto batch = static_cast<std::uint64_t>(this->loop.now());
    const std::array<std::uint64_t, 3> key { this->seed, endpoint.id.value, batch };
    const bool isLost = hashBytes({ reinterpret_cast<const char*>(key.data()), sizeof(key) }) % lostEventBatches == 0;
    std::optional<KvReport> full;
    // Full reports also confirm releases, so they are requested every ten seconds even without a gap.
    if (this->cacheIndex.needsReport(endpoint.id) || (batch + endpoint.id.value) % 10 == 0)
        full = endpoint.engine.kvReport();
    this->loop.after(reportLag, [this, &endpoint, report, start, events = std::move(events), isLost, full] {
        this->pool.applyReport(this->now(), report);
        if (!isLost)
            this->cacheIndex.applyEvents(this->now(), endpoint.id, start, events);
        if (full)
            this->cacheIndex.reconcile(this->now(), *full);
    });
}

void FleetSimulation::tick()
{
    const bool isDone = this->activePrograms == 0 && this->loop.now() > this->deployment.duration;
    if (isDone)
        return;
    this->loop.after(tickInterval, [this] { this->tick(); });
    if (!this->hasAdmissionControl)
        return;
    const auto tickNumber = static_cast<std::uint64_t>(this->loop.now() / tickInterval);
    if (tickNumber % 4 == 0) {
        for (auto& endpoint : this->endpoints)
            this->sendReports(endpoint);
        this->pool.tick(this->now());
        this->cacheIndex.tick(this->now());
        for (const auto& order : this->cacheIndex.dueOrders(this->now()))
            this->loop.after(orderDelay, [this, order] { this->executeOrder(order); });
    }
    const bool closes = this->leaving && !this->domainClosed && this->domainShare(transitionDomain) <= 0;
    if (closes) {
        this->domainClosed = true;
        this->pool.setDomain(this->now(), transitionDomain, DomainState::Out);
    }
    for (auto& endpoint : this->endpoints) {
        this->refresh(endpoint);
        if (closes && endpoint.domain == transitionDomain) {
            this->requeueCalls(endpoint);
            for (std::size_t index = 0; index < this->programs.size(); ++index) {
                const bool isHere = this->cacheIndex.cachedTokens(endpoint.id, ProgramId { index }).value > 0;
                if (isHere && !this->programs[index].ended)
                    this->pauseBetweenTurns(endpoint, index);
            }
        }
        this->drain(endpoint);
    }
}

} // namespace measure
