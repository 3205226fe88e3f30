#include "node_p.h"

namespace peridotramp {

namespace {

constexpr Milliseconds pollPeriod { 500 };
constexpr std::size_t readLimit = 512;
constexpr Seconds republishPeriod { 10 };

void applyChanges(Node& node, const std::vector<ChangeResult>& results)
{
    for (const auto& result : results) {
        if (result.isInForce())
            log(LogLevel::Info, "configuration change in force",
                { { "team", result.team }, { "version", result.offset } });
        else
            log(LogLevel::Warning, "configuration change rejected",
                { { "team", result.team }, { "reason", result.error.message() } });
    }
    bool changed = false;
    const auto version = node.configuration.with(0, [&](ConfigurationShard& shard) {
        const auto snapshot = shard.state.snapshot();
        if (snapshot && snapshot.value() != shard.current) {
            shard.current = snapshot.value();
            changed = true;
        }
        return shard.state.version();
    });
    if (!changed)
        return;
    node.sendAll(node.membership.with(0, [&](const std::unique_ptr<Membership>& table) {
        return table->setConfigurationVersion(RuntimeClock::now(), version);
    }));
    const auto configuration = node.configurationNow();
    node.partitions.forEach([&](PartitionMap& map) {
        for (auto& [id, state] : map)
            configurePartition(node, state, *configuration, RuntimeClock::now());
    });
    recheckKeys(node);
}

void poll(Node& node)
{
    const auto from = node.configuration.with(0, [](ConfigurationShard& shard) {
        return std::exchange(shard.reading, true) ? std::optional<Offset>() : std::optional(shard.state.next());
    });
    if (!from)
        return;
    node.log.read(std::string(configurationStream), *from, readLimit, [&node, from](Result<LogRead> read) {
        std::vector<ChangeResult> results;
        node.configuration.with(0, [&](ConfigurationShard& shard) {
            shard.reading = false;
            if (!read)
                return;
            shard.lastRead = RuntimeClock::now();
            results = shard.state.apply(RuntimeClock::now(), toConfigurationRead(*from, *read));
        });
        applyChanges(node, results);
        if (read && !read->reachedTail())
            poll(node);
    });
}

// Fetches the configuration from a peer that has a newer one, or from any peer while this node has none.
void fetchFromPeer(Node& node)
{
    const auto newest
        = node.membership.with(0, [](const std::unique_ptr<Membership>& table) { return table->newestVersion(); });
    if (!newest || newest->holder == node.self || !newest->version.isValid())
        return;
    const auto local = node.configuration.with(
        0, [](ConfigurationShard& shard) { return std::pair(shard.state.version(), shard.state.applied()); });
    if (local.first.isValid() && local.first >= newest->version)
        return;
    const auto holder = node.member(newest->holder);
    if (!holder)
        return;
    node.rpc.call(holder->update.addresses.tcp, ConfigurationQuery { local.second }, Seconds(2),
        [&node](Result<Message> answer, bool) {
            auto* reply = answer ? std::get_if<ConfigurationReply>(&answer.value()) : nullptr;
            if (!reply)
                return;
            const auto results = node.configuration.with(0, [&](ConfigurationShard& shard) {
                return shard.state.import(RuntimeClock::now(), std::move(reply->transfer));
            });
            applyChanges(node, results);
        });
}

} // namespace

ConfigurationReply configurationFor(Node& node, Offset appliedUpTo)
{
    return node.configuration.with(0, [&](ConfigurationShard& shard) {
        return ConfigurationReply { shard.state.exportSince(RuntimeClock::now(), appliedUpTo) };
    });
}

void republishDocuments(Node& node)
{
    const auto partition = node.partitionsOf(node.domain).front();
    const bool owner = node.withPartition(partition,
        [](PartitionState* state) { return state && state->lease && state->lease->mayAct(RuntimeClock::now()); });
    if (!owner)
        return;
    const auto due = node.configuration.with(0, [&](ConfigurationShard& shard) {
        return shard.state.dueRepublications(RuntimeClock::now(), node.init.logRetention, node.init.domain);
    });
    for (const auto& document : due) {
        const AppendId id { node.nextSerial() };
        node.log.append(
            std::string(configurationStream), id, encodeConfiguration(document), [](const Result<Offset>&) { });
    }
}

void startConfiguration(Node& node)
{
    poll(node);
    node.timers.push_back(node.runtime.every(pollPeriod, [&node] {
        poll(node);
        fetchFromPeer(node);
    }));
    node.timers.push_back(node.runtime.every(republishPeriod, [&node] { republishDocuments(node); }));
}

} // namespace peridotramp
