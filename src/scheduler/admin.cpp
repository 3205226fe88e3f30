#include "node_p.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace peridotramp {

namespace json = boost::json;

namespace {

/// Collects rows of one section.
class SectionRows {
public:
    SectionRows(std::vector<DescriptionRow>& rows, std::string section)
        : rows(rows)
        , section(std::move(section))
    {
    }

    template <typename Value> void add(std::string_view key, const Value& value)
    {
        this->rows.push_back({ this->section, std::string(key), fmt::format("{}", value) });
    }

private:
    std::vector<DescriptionRow>& rows;
    std::string section;
};

void describeEndpoints(std::vector<DescriptionRow>& rows, const PartitionState& state, TimePoint now)
{
    for (const auto endpoint : state.pool.endpoints()) {
        const auto view = state.pool.view(now, endpoint);
        if (!view)
            continue;
        SectionRows section(rows, fmt::format("endpoint {}", endpoint.value));
        section.add("state", toString(view->state));
        section.add("window", view->window.value);
        section.add("held", view->held.value);
        section.add("breaker_open", view->breakerOpen);
    }
}

void describePartition(std::vector<DescriptionRow>& rows, PartitionState& state, TimePoint now)
{
    SectionRows section(rows, fmt::format("partition {}", state.id.value));
    const auto stats = state.programs.stats();
    section.add("next_offset", state.log.next().value);
    section.add("is_owner", state.lease->isOwner());
    section.add("may_act", state.lease->mayAct(now));
    if (const auto& current = state.log.current()) {
        section.add("epoch", current->epoch.value);
        section.add("owner_node", current->record.node.value);
    }
    section.add("queued_records", state.queue ? state.queue->size() : 0);
    section.add("running_calls", state.calls.size());
    section.add("live_programs", stats.live);
    section.add("ended_programs", stats.ended);
    section.add("turns", stats.turns);
    section.add("dispatched", stats.dispatched);
    section.add("replayed", stats.replayed);
    section.add("refused", stats.refused);
    section.add("pending_releases", state.kv.pendingReleases());
    for (const auto& [key, group] : state.groups)
        section.add("waiting_for_" + key.name, group.waiting.size());
    describeEndpoints(rows, state, now);
}

void describeMembers(Node& node, std::vector<DescriptionRow>& rows)
{
    const auto members
        = node.membership.with(0, [](const std::unique_ptr<Membership>& table) { return table->members(); });
    for (const auto& member : members) {
        SectionRows section(rows, fmt::format("member {}", member.update.node.value));
        section.add("domain", member.update.domain.value);
        section.add("state", toString(member.update.state));
        section.add("incarnation", member.update.incarnation.value);
        section.add("tcp", member.update.addresses.tcp.toString());
        section.add("admin", member.update.addresses.admin.toString());
    }
}

ProcessStatus statusOf(Node& node)
{
    ProcessStatus status;
    status.process = node.init.name;
    status.domain = node.init.domain;
    status.isDraining = node.draining;
    node.configuration.with(0, [&](ConfigurationShard& shard) {
        status.isReady = shard.current != nullptr && !status.isDraining;
        status.version = shard.state.version();
        status.age = shard.state.age(RuntimeClock::now());
    });
    if (!status.isReady)
        status.detail = status.isDraining
            ? "the node is draining"
            : "the node has no configuration; check that the log or a peer can be reached";
    return status;
}

// Replaces the set of blocked addresses; a test hook that simulates a network partition.
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

// Serves the test hooks. Returns false for other requests, which the admin server handles.
bool serveOther(Node& node, const HttpRequest& request, const HttpExchange& exchange)
{
    if (request.path() != "/cuts" || request.method != "POST")
        return false;
    setCuts(node, request, exchange);
    return true;
}

} // namespace

std::vector<DescriptionRow> dumpOf(Node& node)
{
    const auto now = RuntimeClock::now();
    std::vector<DescriptionRow> rows;
    SectionRows section(rows, "node");
    section.add("name", node.init.name);
    section.add("node", node.self.value);
    section.add("incarnation", node.incarnation.value);
    section.add("domain", node.init.domain);
    section.add("draining", node.draining.load());
    if (const auto configuration = node.configurationNow()) {
        const auto described = describe(*configuration);
        rows.insert(rows.end(), described.begin(), described.end());
    }
    describeMembers(node, rows);
    node.partitions.forEach([&](PartitionMap& map) {
        for (auto& [id, state] : map)
            describePartition(rows, state, now);
    });
    return rows;
}

void startAdmin(Node& node)
{
    AdminHooks hooks;
    hooks.status = [&node] { return statusOf(node); };
    hooks.metrics = [&node] { return node.metrics.toText(); };
    hooks.dump = [&node] { return dumpOf(node); };
    hooks.serveOther = [&node](const HttpRequest& request, const HttpExchange& exchange) {
        return serveOther(node, request, exchange);
    };
    hooks.setDraining = [&node](bool isDraining) { return setDraining(node, isDraining); };
    node.admin = std::make_unique<AdminServer>(node.runtime, node.init.adminAddress, std::move(hooks));
}

} // namespace peridotramp
