#include "node_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

constexpr Milliseconds pollPeriod { 1000 };

struct OwnedEngine {
    PartitionId partition;
    EndpointId endpoint;
    Address address;
    std::uint64_t nextEvent = 1;
    bool needsReport = false;
};

std::vector<OwnedEngine> ownedEngines(Node& node)
{
    const auto configuration = node.configurationNow();
    std::vector<OwnedEngine> engines;
    if (!configuration)
        return engines;
    node.partitions.forEach([&](PartitionMap& map) {
        for (auto& [id, state] : map) {
            if (!state.lease->mayAct(RuntimeClock::now()))
                continue;
            for (const auto endpoint : state.pool.endpoints()) {
                const auto* entry = configuration->findEndpoint(endpoint);
                if (entry && entry->kind == EndpointEntry::Kind::Engine)
                    engines.push_back({ id, endpoint, entry->address, state.lastKvEventRead[endpoint] + 1,
                        state.kv.needsReport(endpoint) });
            }
        }
    });
    return engines;
}

void pollEvents(Node& node, const OwnedEngine& engine)
{
    node.endpoints.fetchEvents(engine.address, engine.nextEvent,
        [&node, engine](const Result<std::pair<EngineStart, std::vector<KvEvent>>>& events) {
            if (!events)
                return;
            node.withPartition(engine.partition, [&](PartitionState* state) {
                if (!state)
                    return;
                const auto& [start, list] = events.value();
                state->kv.applyEvents(RuntimeClock::now(), engine.endpoint, start, list);
                if (!list.empty())
                    state->lastKvEventRead[engine.endpoint] = list.back().sequence;
            });
        });
}

void pollLoad(Node& node, const OwnedEngine& engine)
{
    node.endpoints.fetchLoad(engine.address, engine.endpoint, [&node, engine](const Result<LoadReport>& report) {
        if (!report)
            return;
        node.withPartition(engine.partition, [&](PartitionState* state) {
            if (state)
                state->pool.applyReport(RuntimeClock::now(), report.value());
        });
    });
}

// Asks the owners of programs that are unknown to a KV cache index whether these programs are still alive.
void queryProgramsAlive(Node& node, PartitionId indexPartition, const std::vector<ProgramId>& programs)
{
    std::map<PartitionId, std::vector<ProgramId>> byPartition;
    for (const auto program : programs)
        byPartition[partitionOf(program)].push_back(program);
    for (auto& [partition, ids] : byPartition) {
        const auto deadline = RuntimeClock::now() + Seconds(1);
        callOwner(node, partition, ProgramsAliveQuery { std::move(ids) }, deadline,
            [&node, indexPartition](Result<Message> answer, bool) {
                const auto* reply = answer ? std::get_if<ProgramsAliveReply>(&answer.value()) : nullptr;
                if (!reply)
                    return;
                node.withPartition(indexPartition, [&](PartitionState* state) {
                    if (!state)
                        return;
                    std::ranges::for_each(
                        reply->alive, [&](ProgramId program) { state->kv.markProgramAlive(program); });
                    std::ranges::for_each(reply->gone,
                        [&](ProgramId program) { state->kv.markProgramEnded(RuntimeClock::now(), program); });
                });
            });
    }
}

void pollReport(Node& node, const OwnedEngine& engine)
{
    node.endpoints.fetchCacheContent(engine.address, engine.endpoint, [&node, engine](const Result<KvReport>& report) {
        if (!report)
            return;
        const auto unknown = node.withPartition(engine.partition, [&](PartitionState* state) {
            return state ? state->kv.reconcile(RuntimeClock::now(), report.value()) : std::vector<ProgramId> {};
        });
        queryProgramsAlive(node, engine.partition, unknown);
    });
}

void sendOrders(Node& node)
{
    std::vector<Order> orders;
    node.partitions.forEach([&](PartitionMap& map) {
        for (auto& [id, state] : map) {
            if (!state.lease->mayAct(RuntimeClock::now()))
                continue;
            auto due = state.kv.dueOrders(RuntimeClock::now());
            orders.insert(orders.end(), due.begin(), due.end());
        }
    });
    const auto configuration = node.configurationNow();
    for (const auto& order : orders) {
        const auto* entry = configuration ? configuration->findEndpoint(order.endpoint) : nullptr;
        if (entry)
            node.endpoints.sendOrder(entry->address, order, [](ErrorKind) { });
    }
}

} // namespace

void startKv(Node& node)
{
    node.timers.push_back(node.runtime.every(pollPeriod, [&node] {
        for (const auto& engine : ownedEngines(node)) {
            pollEvents(node, engine);
            pollLoad(node, engine);
            if (engine.needsReport || node.nextSerial() % 5 == 0)
                pollReport(node, engine);
        }
        sendOrders(node);
    }));
}

void notifyProgramsEnded(Node& node, PartitionId partition, const std::vector<ProgramId>& programs)
{
    std::set<std::pair<DomainId, DispatchGroupKey>> groups;
    node.withPartition(partition, [&](PartitionState* state) {
        if (!state)
            return;
        for (const auto program : programs) {
            auto used = state->groupsUsed.extract(program);
            if (!used.empty())
                groups.merge(used.mapped());
        }
    });
    for (const auto& [domain, key] : groups)
        callOwner(node, node.groupPartition(key, domain), ProgramsEndedNotice { programs, domain, key.team, key.name },
            RuntimeClock::now() + Seconds(5), [](const Result<Message>&, bool) { });
}

void handleProgramsEnded(Node& node, const ProgramsEndedNotice& notice)
{
    node.withPartition(node.groupPartition({ notice.team, notice.name }, notice.domain), [&](PartitionState* state) {
        if (!state)
            return;
        for (const auto program : notice.programs)
            state->kv.markProgramEnded(RuntimeClock::now(), program);
    });
}

ProgramsAliveReply handleProgramsAlive(Node& node, const ProgramsAliveQuery& query)
{
    ProgramsAliveReply reply;
    for (const auto program : query.programs) {
        node.withPartition(partitionOf(program), [&](PartitionState* state) {
            // Only an owner with a valid lease knows whether a program is gone; other nodes leave it out of the reply.
            if (!state || !state->lease->mayAct(RuntimeClock::now()))
                return;
            const auto row = state->programs.row(program);
            (row && !row->ended ? reply.alive : reply.gone).push_back(program);
        });
    }
    return reply;
}

} // namespace peridotramp
