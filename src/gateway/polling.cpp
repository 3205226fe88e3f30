#include "gateway_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

constexpr Milliseconds pollPeriod { 300 };
constexpr Milliseconds queryTimeout { 1000 };

void mergeTable(GatewayState& gateway, const RoutingTableReply& reply)
{
    gateway.routes.with(0, [&](RoutingTable& table) {
        for (const auto& member : reply.members) {
            auto& known = table.members[member.node];
            if (!known.node.isValid()
                || std::tie(known.incarnation, known.state) <= std::tie(member.incarnation, member.state))
                known = member;
        }
        for (const auto& owner : reply.owners) {
            auto& known = table.owners[owner.partition];
            if (!known.epoch.isValid() || known.epoch <= owner.epoch)
                known = owner;
        }
    });
}

void importConfiguration(GatewayState& gateway, ConfigurationTransfer transfer)
{
    gateway.configuration.with(0, [&](GatewayConfiguration& configuration) {
        configuration.state.import(RuntimeClock::now(), std::move(transfer));
        const auto snapshot = configuration.state.snapshot();
        if (snapshot)
            configuration.current = snapshot.value();
    });
}

void pollScheduler(GatewayState& gateway)
{
    const auto scheduler = gateway.schedulerAt(gateway.nextSerial());
    gateway.rpc.call(scheduler, RoutingTableQuery {}, queryTimeout, [&gateway](Result<Message> answer, bool) {
        const auto* reply = answer ? std::get_if<RoutingTableReply>(&answer.value()) : nullptr;
        if (reply)
            mergeTable(gateway, *reply);
    });
    const auto applied = gateway.configuration.with(
        0, [](GatewayConfiguration& configuration) { return configuration.state.applied(); });
    gateway.rpc.call(scheduler, ConfigurationQuery { applied }, queryTimeout, [&gateway](Result<Message> answer, bool) {
        auto* reply = answer ? std::get_if<ConfigurationReply>(&answer.value()) : nullptr;
        if (reply)
            importConfiguration(gateway, std::move(reply->transfer));
    });
}

} // namespace

void startPolling(GatewayState& gateway)
{
    pollScheduler(gateway);
    gateway.timers.push_back(gateway.runtime.every(pollPeriod, [&gateway] { pollScheduler(gateway); }));
}

GatewayState::GatewayState(Runtime& runtime, GatewayInit settings)
    : init(std::move(settings))
    , runtime(runtime)
    , rpc(runtime, { Milliseconds(500), std::size_t { 4 } * 1024 * 1024, {} })
    , serials(hashBytes(this->init.listen.toString(),
          static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count())))
{
}

ConfigurationPointer GatewayState::configurationNow()
{
    return this->configuration.with(0, [](const GatewayConfiguration& state) { return state.current; });
}

std::optional<Address> GatewayState::ownerOf(PartitionId partition)
{
    return this->routes.with(0, [&](const RoutingTable& table) -> std::optional<Address> {
        const auto owner = table.owners.find(partition);
        if (owner == table.owners.end())
            return std::nullopt;
        const auto member = table.members.find(owner->second.node);
        if (member == table.members.end() || member->second.state >= MemberState::Dead)
            return std::nullopt;
        return member->second.addresses.tcp;
    });
}

Address GatewayState::schedulerAt(std::size_t index) const
{
    return this->init.schedulers[index % this->init.schedulers.size()];
}

void GatewayState::forgetOwner(PartitionId partition)
{
    this->routes.with(0, [&](RoutingTable& table) { table.owners.erase(partition); });
}

void GatewayState::applyOwnerHint(PartitionId partition, const ErrorMessage& hint)
{
    this->routes.with(0, [&](RoutingTable& table) {
        if (!hint.owner.isValid()) {
            table.owners.erase(partition);
            return;
        }
        table.owners[partition] = { partition, hint.owner, {} };
        auto& member = table.members[hint.owner];
        member.node = hint.owner;
        member.addresses.tcp = hint.ownerAddress;
        member.state = MemberState::Alive;
    });
}

std::vector<PartitionId> GatewayState::partitionsForNewPrograms()
{
    const auto current = this->configurationNow();
    const auto usable = [&](std::uint64_t domain) {
        const auto* entry = current ? current->findDomain(DomainId { domain }) : nullptr;
        return !entry || entry->state == DomainEntry::State::In;
    };
    const auto localDomain = current ? current->domainId(this->init.domain) : DomainId {};
    const auto owners = this->routes.with(0, [](const RoutingTable& table) { return table.owners; });
    std::vector<PartitionId> local;
    std::vector<PartitionId> other;
    for (const auto& [partition, owner] : owners) {
        const auto domain = domainOf(partition);
        if (!usable(domain.value) || !this->ownerOf(partition))
            continue;
        (domain == localDomain ? local : other).push_back(partition);
    }
    return local.empty() ? other : local;
}

} // namespace peridotramp
