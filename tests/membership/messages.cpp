#include "../../tools/bench-membership/fleet_p.h"

#include <catch2/catch.hpp>
#include <numeric>

using namespace peridotramp;

TEST_CASE("no message exceeds 1,200 bytes, even with the longest addresses and many concurrent changes")
{
    const std::string longest(39, 'f');
    const MemberAddresses addresses { { longest, 7001 }, { longest, 7002 }, { longest, 7003 } };
    const TimePoint start { Seconds(1) };
    Membership node({ NodeId { 0 }, Incarnation { 1 }, DomainId { 0 }, addresses }, start);
    std::vector<MemberUpdate> updates;
    for (std::uint64_t other = 1; other < 400; ++other)
        updates.push_back(
            { NodeId { other }, Incarnation { 1 }, DomainId { other % 5 }, addresses, MemberState::Alive });
    node.merge(start, updates);
    std::size_t sent = 0;
    for (auto now = start; now < start + Seconds(60); now += Milliseconds(100)) {
        for (const auto& outgoing : node.tick(now)) {
            REQUIRE(estimatedSize(outgoing.message) <= ByteCount { 1200 });
            sent += outgoing.message.updates.size();
        }
    }
    REQUIRE(sent > 400);
}

TEST_CASE("a new row is sent before rows that were sent more often")
{
    Fleet fleet({ 30, 3, 7 });
    fleet.run(Seconds(60));
    const TimePoint now = fleet.now;
    const MemberUpdate added { NodeId { 500 }, Incarnation { 1 }, DomainId { 0 }, {}, MemberState::Alive };
    auto& node = *fleet.nodes[0].membership;
    MembershipMessage hello;
    hello.kind = MembershipMessageKind::Announce;
    hello.sender = added;
    node.receive(now, hello);
    const auto out = node.tick(now + Seconds(1));
    REQUIRE_FALSE(out.empty());
    REQUIRE(out.front().message.updates.front() == added);
}

TEST_CASE("one probe in ten goes to another failure domain while all failure domains are reachable")
{
    Fleet fleet({ 30, 3, 7 });
    std::size_t cross = 0;
    std::size_t total = 0;
    auto& node = *fleet.nodes[0].membership;
    for (TimePoint now = fleet.now; now < fleet.now + Seconds(1000); now += Milliseconds(100)) {
        for (const std::size_t other : { 1, 2 }) {
            MembershipMessage hello;
            hello.kind = MembershipMessageKind::Announce;
            hello.sender = fleet.nodes[other].membership->find(NodeId { other })->update;
            node.receive(now, hello);
        }
        for (const auto& outgoing : node.tick(now)) {
            if (outgoing.message.kind != MembershipMessageKind::Probe)
                continue;
            ++total;
            cross += outgoing.to.value % 3 != 0 ? 1 : 0;
            // Every probe is acknowledged, so that no suspicion adds probes.
            MembershipMessage answer;
            answer.kind = MembershipMessageKind::ProbeAck;
            answer.sequence = outgoing.message.sequence;
            answer.target = outgoing.to;
            answer.sender = fleet.nodes[outgoing.to.value].membership->find(outgoing.to)->update;
            node.receive(now, answer);
        }
    }
    REQUIRE(total == 1000);
    REQUIRE(cross == 100);
}

TEST_CASE("an acknowledgement from another node at the target's address does not count as the target's")
{
    Membership node({ NodeId { 0 }, Incarnation { 1 }, DomainId { 0 } }, TimePoint { Seconds(1) });
    const Address address { "10.0.0.1", 7002 };
    const MemberUpdate old { NodeId { 1 }, Incarnation { 1 }, DomainId { 0 }, { {}, address, {} }, MemberState::Alive };
    node.merge(TimePoint { Seconds(1) }, { &old, 1 });
    for (TimePoint now { Seconds(1) }; now < TimePoint { Seconds(20) }; now += Milliseconds(100)) {
        for (const auto& outgoing : node.tick(now)) {
            MembershipMessage answer { MembershipMessageKind::ProbeAck, outgoing.message.sequence, NodeId { 2 } };
            answer.sender
                = { NodeId { 2 }, Incarnation { 1 }, DomainId { 0 }, { {}, address, {} }, MemberState::Alive };
            node.receive(now, answer);
        }
    }
    REQUIRE(node.find(NodeId { 1 })->update.state == MemberState::Dead);
    REQUIRE(node.find(NodeId { 2 })->update.state == MemberState::Alive);
}

TEST_CASE("a purged row is not reintroduced by a node that still lists the member as dead")
{
    Membership node({ NodeId { 0 }, Incarnation { 1 }, DomainId { 0 } }, TimePoint { Seconds(1) });
    const MemberUpdate dead { NodeId { 1 }, Incarnation { 1 }, DomainId { 0 }, {}, MemberState::Dead };
    node.merge(TimePoint { Seconds(1) }, { &dead, 1 });
    REQUIRE(node.members().size() == 1);
}

TEST_CASE("rendezvous hashing moves only the keys of an added or removed member and spreads keys evenly")
{
    constexpr std::uint64_t keys = 10000;
    for (const std::size_t size : { 3, 12, 72 }) {
        std::vector<NodeId> nodes(size);
        std::ranges::generate(nodes, [next = std::uint64_t { 0 }]() mutable { return NodeId { next++ }; });
        const std::span<const NodeId> without(nodes.begin(), nodes.end() - 1);
        std::map<NodeId, std::uint64_t> held;
        for (std::uint64_t key = 0; key < keys; ++key) {
            const auto owner = rendezvous(key, nodes);
            ++held[owner];
            const auto order = rendezvousOrder(key, nodes);
            REQUIRE(order.front() == owner);
            REQUIRE(order.size() == size);
            // The keys of the removed node move to their second choice; no other key moves.
            REQUIRE(rendezvous(key, without) == (owner == nodes.back() ? order[1] : owner));
        }
        // 6 standard deviations of a binomial distribution.
        const double mean = static_cast<double>(keys) / static_cast<double>(size);
        for (const auto& [node, count] : held)
            REQUIRE(std::abs(static_cast<double>(count) - mean) < 6 * std::sqrt(mean));
    }
    REQUIRE_FALSE(rendezvous(1, {}).isValid());
}
