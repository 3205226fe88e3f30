#include "node_p.h"

#include <boost/json.hpp>

namespace peridotramp {

namespace json = boost::json;

namespace {

json::object describe(PartitionState& state, TimePoint now)
{
    const auto stats = state.programs.stats();
    json::object object { { "partition", state.id.value }, { "next_offset", state.log.next().value },
        { "owner", state.lease->isOwner() }, { "may_act", state.lease->mayAct(now) },
        { "running_calls", state.calls.size() }, { "live_programs", stats.live }, { "ended_programs", stats.ended },
        { "turns", stats.turns }, { "dispatched", stats.dispatched }, { "replayed", stats.replayed },
        { "refused", stats.refused } };
    if (const auto& current = state.log.current()) {
        object["epoch"] = current->epoch.value;
        object["owner_node"] = current->record.node.value;
    }
    if (state.queue)
        object["queued_records"] = state.queue->size();
    json::array groups;
    for (const auto& [key, group] : state.groups)
        groups.push_back(json::object {
            { "name", key.name }, { "endpoints", group.endpoints.size() }, { "waiting", group.waiting.size() } });
    object["groups"] = std::move(groups);
    json::array endpoints;
    for (const auto endpoint : state.pool.endpoints()) {
        const auto view = state.pool.view(now, endpoint);
        if (view)
            endpoints.push_back(json::object { { "endpoint", endpoint.value }, { "state", toString(view->state) },
                { "window", view->window.value }, { "held", view->held.value },
                { "breaker_open", view->breakerOpen } });
    }
    object["endpoints"] = std::move(endpoints);
    return object;
}

json::array membersOf(Node& node)
{
    json::array rows;
    const auto members
        = node.membership.with(0, [](const std::unique_ptr<Membership>& table) { return table->members(); });
    for (const auto& member : members) {
        rows.push_back(json::object { { "node", member.row.node.value }, { "domain", member.row.domain.value },
            { "state", toString(member.row.state) }, { "incarnation", member.row.incarnation.value },
            { "tcp", member.row.addresses.tcp.toString() }, { "admin", member.row.addresses.admin.toString() } });
    }
    return rows;
}

json::object configurationStatus(Node& node)
{
    return node.configuration.with(0, [](ConfigurationShard& shard) {
        json::object object { { "ready", shard.current != nullptr } };
        if (shard.state.version().isValid())
            object["version"] = shard.state.version().value;
        if (const auto age = shard.state.age(RuntimeClock::now()))
            object["age_ms"] = std::chrono::duration_cast<Milliseconds>(*age).count();
        json::object teams;
        if (shard.current) {
            for (const auto& document : shard.current->documents())
                teams[document->document.team.name] = document->version.value;
        }
        object["teams"] = std::move(teams);
        return object;
    });
}

// Replaces the set of addresses from which this node is cut off; a test hook.
void setCuts(Node& node, const HttpRequest& request, const HttpExchange& exchange)
{
    if (!node.init.testHooks)
        return exchange.respond(textResponse(404, "test hooks are off; set test_hooks in the settings\n"));
    std::set<Address> cuts;
    boost::system::error_code error;
    const auto value = json::parse(request.body, error);
    if (error || !value.is_array())
        return exchange.respond(textResponse(400, "send a JSON array of addresses\n"));
    for (const auto& item : value.as_array()) {
        const auto address = item.is_string() ? Address::parse(std::string_view(item.as_string())) : std::nullopt;
        if (address)
            cuts.insert(*address);
    }
    node.cuts.with(0, [&](std::set<Address>& current) { current = std::move(cuts); });
    node.rpc.closeCutConnections();
    exchange.respond(jsonResponse(200, "{}"));
}

void serve(Node& node, const HttpRequest& request, const HttpExchange& exchange)
{
    const auto path = request.path();
    if (path == "/live")
        return exchange.respond(textResponse(200, "live\n"));
    if (path == "/ready") {
        const bool ready = node.configurationNow() && !node.draining;
        return exchange.respond(textResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
    }
    if (path == "/metrics")
        return exchange.respond(textResponse(200, node.metrics.toText()));
    if (path == "/dump")
        return exchange.respond(jsonResponse(200, dumpOf(node)));
    if (path == "/version")
        return exchange.respond(jsonResponse(200, json::serialize(configurationStatus(node))));
    if (path == "/cuts" && request.method == "POST")
        return setCuts(node, request, exchange);
    exchange.respond(textResponse(404, "use /live, /ready, /metrics, /dump or /version\n"));
}

} // namespace

std::string dumpOf(Node& node)
{
    const auto now = RuntimeClock::now();
    json::object object { { "name", node.init.name }, { "node", node.self.value },
        { "incarnation", node.incarnation.value }, { "domain", node.init.domain },
        { "draining", node.draining.load() } };
    object["configuration"] = configurationStatus(node);
    object["members"] = membersOf(node);
    json::array partitions;
    node.partitions.forEach([&](PartitionMap& map) {
        for (auto& [id, state] : map)
            partitions.push_back(describe(state, now));
    });
    object["partitions"] = std::move(partitions);
    return json::serialize(object);
}

void startAdmin(Node& node)
{
    HttpServer::Init init;
    init.listen = node.init.admin;
    node.admin = std::make_unique<HttpServer>(node.runtime, init,
        [&node](const HttpRequest& request, const HttpExchange& exchange) { serve(node, request, exchange); });
}

} // namespace peridotramp
