#include "node_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

constexpr Milliseconds tickPeriod { 100 };
constexpr Milliseconds tableQueryPeriod { 1000 };
constexpr Seconds instanceListPeriod { 2 };

void receive(Node& node, const MembershipMessage& message)
{
    node.sendAll(node.membership.with(
        0, [&](const std::unique_ptr<Membership>& table) { return table->receive(RuntimeClock::now(), message); }));
}

void mergeTable(Node& node, const RoutingTableReply& reply)
{
    node.membership.with(
        0, [&](const std::unique_ptr<Membership>& table) { table->merge(RuntimeClock::now(), reply.members); });
    for (const auto& owner : reply.owners) {
        node.owners.with(owner.partition.value, [&](auto& owners) {
            auto& known = owners[owner.partition];
            if (!known.epoch.isValid() || known.epoch < owner.epoch)
                known = owner;
        });
    }
}

// Requests the tables of one live member of each failure domain.
void queryTables(Node& node)
{
    for (std::uint64_t index = 0; index < node.init.domains.size(); ++index) {
        auto members = node.liveNodes(DomainId { index });
        std::erase(members, node.self);
        if (members.empty())
            continue;
        const auto member = node.member(members[node.nextSerial() % members.size()]);
        if (!member)
            continue;
        node.rpc.call(
            member->update.addresses.tcp, RoutingTableQuery {}, Seconds(2), [&node](Result<Message> answer, bool) {
                const auto* table = answer ? std::get_if<RoutingTableReply>(&answer.value()) : nullptr;
                if (table)
                    mergeTable(node, *table);
            });
    }
}

// Marks the voters that are missing from the instance list as absent in the leases, so that a failure domain can take
// over its partitions after all its nodes have been replaced. Without a current list no voter counts as absent.
void setAbsentVoters(Node& node, const std::optional<std::set<NodeId>>& listed)
{
    const auto now = RuntimeClock::now();
    node.partitions.forEach([&](PartitionMap& map) {
        for (auto& [id, state] : map) {
            for (const auto& ownership : state.log.earlierOwnerships()) {
                for (const auto voter : ownership.record.electorate) {
                    const bool isAbsent = listed && !listed->contains(voter);
                    state.lease->setAbsent(voter, isAbsent ? std::optional(now) : std::nullopt);
                }
            }
        }
    });
}

void readInstanceList(Node& node)
{
    listInstances(node.http, *node.init.instanceListAddress, [&node](const Result<std::vector<ListedInstance>>& rows) {
        if (!rows)
            return setAbsentVoters(node, std::nullopt);
        std::set<NodeId> listed;
        for (const auto& row : *rows)
            listed.insert(idFromName<NodeId>(row.name));
        setAbsentVoters(node, listed);
        std::vector<Address> addresses;
        std::ranges::transform(*rows, std::back_inserter(addresses), &ListedInstance::address);
        node.membership.with(
            0, [&](const std::unique_ptr<Membership>& table) { table->setInstanceHints(std::move(addresses)); });
    });
}

} // namespace

static void receiveDatagram(Node& node, std::string_view bytes)
{
    if (const auto message = decodeMembershipDatagram(bytes))
        receive(node, *message);
    else
        log(LogLevel::Warning, message.error().message(), { { "from", "gossip" } });
}

void startMembership(Node& node)
{
    DatagramSocket::Init socket { node.init.gossipAddress,
        [&node](const Address& address) { return node.isCut(address); } };
    node.gossip = std::make_unique<DatagramSocket>(
        node.runtime, socket, [&node](std::string_view bytes) { receiveDatagram(node, bytes); });
    Membership::Init init;
    init.node = node.self;
    init.incarnation = node.incarnation;
    init.domain = node.domain;
    init.addresses = { node.server->address(), node.gossip->address(), node.admin->address() };
    init.seeds = node.init.seeds;
    init.randomSeed = node.self.value ^ node.incarnation.value;
    node.membership.with(0,
        [&](std::unique_ptr<Membership>& table) { table = std::make_unique<Membership>(init, RuntimeClock::now()); });
    node.timers.push_back(node.runtime.every(tickPeriod, [&node] {
        node.sendAll(node.membership.with(
            0, [](const std::unique_ptr<Membership>& table) { return table->tick(RuntimeClock::now()); }));
    }));
    node.timers.push_back(node.runtime.every(tableQueryPeriod, [&node] { queryTables(node); }));
    if (node.init.instanceListAddress)
        node.timers.push_back(node.runtime.every(instanceListPeriod, [&node] { readInstanceList(node); }));
}

void leaveMembership(Node& node)
{
    node.sendAll(node.membership.with(
        0, [](const std::unique_ptr<Membership>& table) { return table->leave(RuntimeClock::now()); }));
}

RoutingTableReply tableOf(Node& node)
{
    RoutingTableReply reply;
    const auto members
        = node.membership.with(0, [](const std::unique_ptr<Membership>& table) { return table->members(); });
    std::ranges::transform(members, std::back_inserter(reply.members), &Member::update);
    std::map<PartitionId, PartitionOwner> owners;
    node.owners.forEach([&](const auto& shard) { owners.insert(shard.begin(), shard.end()); });
    node.partitions.forEach([&](const PartitionMap& map) {
        for (const auto& [id, state] : map) {
            if (const auto& current = state.log.current(); current && !current->handedOver)
                owners[id] = { id, current->record.node, current->epoch };
        }
    });
    for (const auto& [id, owner] : owners)
        reply.owners.push_back(owner);
    return reply;
}

} // namespace peridotramp
