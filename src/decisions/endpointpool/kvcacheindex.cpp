#include "endpointpool_p.h"

#include <algorithm>

namespace peridotramp {

KvCacheIndex::KvCacheIndex()
    : KvCacheIndex(Init {})
{
}

KvCacheIndex::KvCacheIndex(Init init)
    : init(init)
{
}

void KvCacheIndex::beginOwnership(EndpointId endpoint, Epoch epoch)
{
    auto& engine = this->engines[endpoint];
    if (!engine.epoch.isValid() || engine.epoch < epoch)
        engine.epoch = epoch;
}

void KvCacheIndex::forget(EndpointId endpoint)
{
    const auto found = this->engines.find(endpoint);
    if (found == this->engines.end())
        return;
    this->clear(endpoint, found->second);
    this->engines.erase(found);
}

void KvCacheIndex::setPrefix(EndpointId endpoint, Engine& engine, ProgramId program, const Prefix& prefix)
{
    if (prefix.tokens.value <= 0) {
        this->erasePrefix(endpoint, engine, program);
        return;
    }
    if (!engine.prefixes.contains(program) && engine.prefixes.size() >= this->init.programsPerEndpoint)
        return;
    engine.prefixes[program] = prefix;
    this->holdersOf[program].insert(endpoint);
}

void KvCacheIndex::erasePrefix(EndpointId endpoint, Engine& engine, ProgramId program)
{
    if (engine.prefixes.erase(program) == 0)
        return;
    const auto holders = this->holdersOf.find(program);
    holders->second.erase(endpoint);
    if (holders->second.empty())
        this->holdersOf.erase(holders);
}

void KvCacheIndex::clear(EndpointId endpoint, Engine& engine)
{
    while (!engine.prefixes.empty())
        this->erasePrefix(endpoint, engine, engine.prefixes.begin()->first);
}

void KvCacheIndex::restart(EndpointId endpoint, Engine& engine, EngineStart start)
{
    this->clear(endpoint, engine);
    engine.start = start;
    engine.appliedThrough = 0;
}

void KvCacheIndex::requestRelease(TimePoint now, Engine& engine, ProgramId program)
{
    const auto found = engine.pendingOrders.find(program);
    if (found == engine.pendingOrders.end() || !std::holds_alternative<ReleaseProgram>(found->second.wanted))
        engine.pendingOrders.insert_or_assign(program, PendingOrder { {}, ReleaseProgram { program }, now });
}

void KvCacheIndex::recordUse(TimePoint now, EndpointId endpoint, ProgramId program, TokenCount tokens)
{
    const auto found = this->engines.find(endpoint);
    if (found == this->engines.end())
        return;
    // The last answer of a program can arrive after its end; the prefix that it left is released as well.
    if (this->endedPrograms.contains(program)) {
        this->requestRelease(now, found->second, program);
        return;
    }
    this->alivePrograms.insert(program);
    found->second.pendingOrders.erase(program);
    this->setPrefix(endpoint, found->second, program, { tokens, now, false });
}

void KvCacheIndex::applyEvent(TimePoint now, EndpointId endpoint, Engine& engine, const KvEvent& event)
{
    switch (event.kind) {
    case KvEventKind::Stored:
    case KvEventKind::Evicted:
        this->setPrefix(endpoint, engine, event.program, { event.tokens, now, true });
        if (event.tokens.value > 0 && this->endedPrograms.contains(event.program))
            this->requestRelease(now, engine, event.program);
        break;
    case KvEventKind::Cleared:
        this->clear(endpoint, engine);
        break;
    default:
        break;
    }
}

bool KvCacheIndex::applyEvents(TimePoint now, EndpointId endpoint, EngineStart start, std::span<const KvEvent> events)
{
    const auto found = this->engines.find(endpoint);
    if (found == this->engines.end())
        return false;
    auto& engine = found->second;
    if (engine.start.isValid() && start < engine.start)
        return engine.reportNeeded;
    if (engine.start != start)
        this->restart(endpoint, engine, start);
    for (const auto& event : events) {
        if (event.sequence <= engine.appliedThrough) {
            ++this->counters.eventsRepeated;
            continue;
        }
        if (event.sequence != engine.appliedThrough + 1) {
            ++this->counters.gaps;
            engine.reportNeeded = true;
        }
        engine.appliedThrough = event.sequence;
        ++this->counters.eventsApplied;
        this->applyEvent(now, endpoint, engine, event);
    }
    return engine.reportNeeded;
}

void KvCacheIndex::confirmReleases(Engine& engine, const KvReport& report)
{
    std::unordered_set<ProgramId> listed;
    for (const auto& [program, tokens] : report.held)
        listed.insert(program);
    this->counters.ordersConfirmed += std::erase_if(engine.pendingOrders, [&](const auto& entry) {
        const auto& [program, pending] = entry;
        const bool isRelease = std::holds_alternative<ReleaseProgram>(pending.wanted);
        return pending.sentAt && isRelease != listed.contains(program);
    });
}

std::vector<ProgramId> KvCacheIndex::reconcile(TimePoint now, const KvReport& report)
{
    const auto found = this->engines.find(report.endpoint);
    if (found == this->engines.end())
        return {};
    auto& engine = found->second;
    const bool isOld = engine.start.isValid()
        && (report.start < engine.start
            || (report.start == engine.start && report.throughSequence < engine.appliedThrough));
    if (isOld)
        return {};
    ++this->counters.reports;
    if (engine.start != report.start)
        this->restart(report.endpoint, engine, report.start);
    engine.appliedThrough = report.throughSequence;
    engine.reportNeeded = false;
    this->clear(report.endpoint, engine);
    std::vector<ProgramId> unknown;
    for (const auto& [program, tokens] : report.held) {
        this->setPrefix(report.endpoint, engine, program, { tokens, now, true });
        if (this->endedPrograms.contains(program))
            this->requestRelease(now, engine, program);
        else if (!this->alivePrograms.contains(program))
            unknown.push_back(program);
    }
    this->confirmReleases(engine, report);
    return unknown;
}

void KvCacheIndex::markProgramAlive(ProgramId program)
{
    if (!this->endedPrograms.contains(program))
        this->alivePrograms.insert(program);
}

void KvCacheIndex::markProgramEnded(TimePoint now, ProgramId program)
{
    this->alivePrograms.erase(program);
    this->endedPrograms.emplace(program, now);
    for (auto& [endpoint, engine] : this->engines) {
        if (engine.prefixes.contains(program) || engine.pendingOrders.contains(program))
            this->requestRelease(now, engine, program);
        this->erasePrefix(endpoint, engine, program);
    }
}

void KvCacheIndex::releasePrefix(TimePoint now, EndpointId endpoint, ProgramId program)
{
    const auto found = this->engines.find(endpoint);
    if (found == this->engines.end())
        return;
    this->requestRelease(now, found->second, program);
    this->erasePrefix(endpoint, found->second, program);
}

void KvCacheIndex::importPrefix(TimePoint now, EndpointId from, EndpointId to, ProgramId program)
{
    const auto target = this->engines.find(to);
    const auto tokens = this->cachedTokens(from, program);
    if (target == this->engines.end() || tokens.value == 0 || this->endedPrograms.contains(program))
        return;
    target->second.pendingOrders[program] = PendingOrder { {}, HoldProgram { program, from, tokens }, now };
    this->setPrefix(to, target->second, program, { tokens, now, false });
}

std::vector<Order> KvCacheIndex::dueOrders(TimePoint now)
{
    std::vector<Order> orders;
    for (auto& [endpoint, engine] : this->engines) {
        for (auto& [program, pending] : engine.pendingOrders) {
            if (pending.sentAt && now - *pending.sentAt < this->init.repeatAfter)
                continue;
            // An order that was sent and has had no effect gets a new id, because engines may drop repeated ids.
            if (!pending.order.isValid() || pending.sentAt)
                pending.order = numberedId<OrderId>(IdSource::Prefixes, endpoint, engine.epoch, this->sequence++);
            pending.sentAt = now;
            ++this->counters.ordersSent;
            orders.push_back({ pending.order, endpoint, engine.epoch, pending.wanted });
        }
    }
    return orders;
}

void KvCacheIndex::tick(TimePoint now)
{
    for (auto& [endpoint, engine] : this->engines) {
        std::vector<ProgramId> old;
        for (const auto& [program, prefix] : engine.prefixes) {
            if (!prefix.confirmed && now - prefix.updatedAt >= this->init.unconfirmedLifetime)
                old.push_back(program);
        }
        // An import whose source has lost the prefix can never succeed.
        std::erase_if(engine.pendingOrders, [&](const auto& entry) {
            const bool isImport = std::holds_alternative<HoldProgram>(entry.second.wanted);
            return isImport && now - entry.second.wantedAt >= this->init.unconfirmedLifetime;
        });
        std::ranges::for_each(old, [&](ProgramId program) { this->erasePrefix(endpoint, engine, program); });
    }
    std::erase_if(
        this->endedPrograms, [&](const auto& entry) { return now - entry.second >= this->init.endedRetention; });
}

TokenCount KvCacheIndex::cachedTokens(EndpointId endpoint, ProgramId program) const
{
    const auto engine = this->engines.find(endpoint);
    if (engine == this->engines.end())
        return {};
    const auto prefix = engine->second.prefixes.find(program);
    return prefix == engine->second.prefixes.end() ? TokenCount {} : prefix->second.tokens;
}

std::vector<EndpointId> KvCacheIndex::holders(ProgramId program) const
{
    const auto found = this->holdersOf.find(program);
    if (found == this->holdersOf.end())
        return {};
    return { found->second.begin(), found->second.end() };
}

bool KvCacheIndex::needsReport(EndpointId endpoint) const
{
    const auto found = this->engines.find(endpoint);
    return found != this->engines.end() && found->second.reportNeeded;
}

std::size_t KvCacheIndex::pendingReleases() const
{
    std::size_t count = 0;
    for (const auto& [endpoint, engine] : this->engines) {
        count += static_cast<std::size_t>(std::ranges::count_if(engine.pendingOrders,
            [](const auto& entry) { return std::holds_alternative<ReleaseProgram>(entry.second.wanted); }));
    }
    return count;
}

} // namespace peridotramp
