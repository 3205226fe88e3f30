#include "../../tools/bench-membership/fleet_p.h"

#include <catch2/catch.hpp>

using namespace peridotramp;

namespace {

constexpr std::uint64_t seed = 20261204;

Fleet makeFleet(std::size_t nodes = 12, std::size_t domains = 3, std::uint64_t fleetSeed = seed)
{
    UNSCOPED_INFO("seed " << fleetSeed);
    return Fleet({ nodes, domains, fleetSeed });
}

auto cutBetween(std::uint64_t a, std::uint64_t b, bool bothWays)
{
    return [=](DomainId from, DomainId to) {
        return (from.value == a && to.value == b) || (bothWays && from.value == b && to.value == a);
    };
}

} // namespace

TEST_CASE("a crashed node is declared dead by all others, and no other node is")
{
    auto fleet = makeFleet();
    fleet.run(Seconds(5));
    fleet.kill(4);
    const auto taken = fleet.runUntil([&] { return fleet.allList(4, MemberState::Dead); }, Seconds(30));
    REQUIRE(taken);
    REQUIRE(*taken > Seconds(3));
    fleet.run(Seconds(30));
    REQUIRE(fleet.hasConverged());
    REQUIRE(fleet.sum(&Membership::Stats::suspicions) <= 11);
}

TEST_CASE("a node that stalls for less than the suspicion timeout is not declared dead")
{
    auto fleet = makeFleet();
    fleet.run(Seconds(5));
    for (std::size_t node = 0; node < 12; ++node) {
        fleet.stall(node);
        fleet.run(Milliseconds(2500));
        fleet.resume(node);
        fleet.run(Seconds(10));
    }
    REQUIRE(fleet.sum(&Membership::Stats::deaths) == 0);
    REQUIRE(fleet.sum(&Membership::Stats::suspicions) > 0);
    REQUIRE(fleet.sum(&Membership::Stats::stalls) == 0);
    REQUIRE(fleet.hasConverged());
}

TEST_CASE("a node that stalled for longer than its lease raises its incarnation and rejoins")
{
    auto fleet = makeFleet();
    fleet.run(Seconds(5));
    const auto before = fleet.nodes[7].membership->incarnation();
    fleet.stall(7);
    fleet.run(Seconds(20));
    REQUIRE(fleet.allList(7, MemberState::Dead));
    fleet.resume(7);
    REQUIRE(fleet.nodes[7].membership->lastStall() == fleet.now);
    REQUIRE(fleet.nodes[7].membership->incarnation() > before);
    REQUIRE(fleet.runUntil([&] { return fleet.hasConverged(); }, Seconds(10)));
    // The resumed node must not declare others dead for acknowledgements that it missed during its own stall.
    REQUIRE(fleet.sum(&Membership::Stats::deaths) <= 11);
    REQUIRE(fleet.nodes[7].membership->stats().deaths == 0);
}

TEST_CASE("a partition between two failure domains causes no deaths while a third reaches both")
{
    for (const bool bothWays : { false, true }) {
        auto fleet = makeFleet();
        fleet.run(Seconds(5));
        fleet.isPartitioned = cutBetween(0, 1, bothWays);
        fleet.run(std::chrono::minutes(3));
        REQUIRE(fleet.sum(&Membership::Stats::deaths) == 0);
        fleet.isPartitioned = nullptr;
        REQUIRE(fleet.runUntil([&] { return fleet.hasConverged(); }, Seconds(10)));
    }
}

TEST_CASE("failure domains rejoin after a partition heals, and the healing causes no deaths")
{
    for (const bool bothWays : { false, true }) {
        for (const auto length : { std::chrono::minutes(2), std::chrono::minutes(90) }) {
            auto fleet = makeFleet(12, 2);
            fleet.run(Seconds(5));
            fleet.isPartitioned = cutBetween(0, 1, bothWays);
            fleet.run(length);
            REQUIRE(fleet.allList(0, MemberState::Alive) == false);
            for (std::size_t node = 0; node < 12; ++node)
                REQUIRE(fleet.nodes[node].membership->liveNodes(DomainId { node % 2 }).size() == 6);
            const auto deaths = fleet.sum(&Membership::Stats::deaths);
            fleet.isPartitioned = nullptr;
            REQUIRE(fleet.runUntil([&] { return fleet.hasConverged(); }, Seconds(30)));
            REQUIRE(fleet.sum(&Membership::Stats::deaths) == deaths);
        }
    }
}

TEST_CASE("message loss of up to 30 % causes no false deaths and does not hide a crash")
{
    for (const double loss : { 0.0, 0.01, 0.1, 0.2, 0.3 }) {
        INFO("loss " << loss);
        auto fleet = makeFleet();
        fleet.loss = loss;
        fleet.run(std::chrono::minutes(5));
        REQUIRE(fleet.sum(&Membership::Stats::deaths) == 0);
        fleet.kill(3);
        REQUIRE(fleet.runUntil([&] { return fleet.allList(3, MemberState::Dead); }, Seconds(30)));
        REQUIRE(fleet.sum(&Membership::Stats::deaths) <= 11);
    }
}

TEST_CASE("a restarted node rejoins under a new incarnation at the same address")
{
    for (const auto pause : { Milliseconds(200), Milliseconds(8000) }) {
        auto fleet = makeFleet();
        fleet.run(Seconds(5));
        const auto before = fleet.nodes[5].membership->incarnation();
        fleet.kill(5);
        fleet.run(pause);
        fleet.start(5);
        const auto allSeeTheNewRun = [&] {
            bool all = fleet.hasConverged();
            fleet.forEachView([&](std::size_t, const Member& member) {
                all = all && (member.update.node.value != 5 || member.update.incarnation > before);
            });
            return all;
        };
        REQUIRE(fleet.runUntil(allSeeTheNewRun, Seconds(20)));
    }
}

TEST_CASE("a node whose clock stepped back before its restart replaces its earlier incarnation")
{
    auto fleet = makeFleet();
    fleet.run(Seconds(5));
    const auto before = fleet.nodes[5].membership->incarnation();
    fleet.kill(5);
    fleet.now -= Seconds(1);
    fleet.start(5);
    fleet.now += Seconds(1);
    REQUIRE(fleet.runUntil(
        [&] { return fleet.hasConverged() && fleet.nodes[5].membership->incarnation() > before; }, Seconds(20)));
}

TEST_CASE("a rolling replacement of all nodes keeps every node known and purges the old ones")
{
    // 110 replacements per day in a fleet of 360 nodes replace each node every 79 h; here, one node is replaced every
    // 10 s, and half of the replaced nodes crash.
    Membership::Limits limits;
    limits.purgeAfter = std::chrono::minutes(3);
    Fleet fleet({ 12, 3, seed, limits });
    for (std::size_t old = 3; old < 63; ++old) {
        if (old % 2 == 0)
            fleet.sendAll(old, fleet.nodes[old].membership->leave(fleet.now));
        fleet.kill(old);
        const auto domain = fleet.nodes[old].domain;
        const auto fresh = fleet.add(domain, old % 5 == 0 ? std::optional(fleet.nodes[old].addresses) : std::nullopt);
        REQUIRE(fleet.runUntil([&] { return fleet.hasConverged(); }, Seconds(30)));
        REQUIRE(fleet.allList(fresh, MemberState::Alive));
        fleet.run(Seconds(10));
    }
    REQUIRE(fleet.hasConverged());
    fleet.run(std::chrono::minutes(5));
    fleet.forEachView([&](std::size_t, const Member& member) { REQUIRE(member.update.state == MemberState::Alive); });
    REQUIRE(fleet.nodes.back().membership->members().size() == 12);
}

TEST_CASE("a node joins through a stale instance list when all seeds are dead")
{
    auto fleet = makeFleet();
    const auto joined = fleet.add(DomainId { 1 });
    // The seeds die before the new node has sent a message, and most instances in the list no longer exist.
    for (const std::size_t dead : { 0, 1, 2 })
        fleet.kill(dead);
    std::vector<Address> hints;
    for (int gone = 0; gone < 20; ++gone)
        hints.push_back({ "10.9.9." + std::to_string(gone), 7002 });
    hints.push_back(fleet.nodes[8].addresses.udp);
    fleet.nodes[joined].membership->setInstanceHints(hints);
    REQUIRE(fleet.runUntil([&] { return fleet.hasConverged(); }, Seconds(60)));
}

TEST_CASE("a planned stop is disseminated within seconds, and no node declares the leaving one dead")
{
    auto fleet = makeFleet(60, 5);
    fleet.run(Seconds(5));
    fleet.sendAll(9, fleet.nodes[9].membership->leave(fleet.now));
    fleet.run(Seconds(3));
    fleet.kill(9);
    REQUIRE(fleet.runUntil([&] { return fleet.allList(9, MemberState::Left); }, Seconds(8)));
    REQUIRE(fleet.sum(&Membership::Stats::deaths) == 0);
}

TEST_CASE("a configuration version known to one node per failure domain reaches all nodes within 6 s")
{
    // With a fan-out of 0, no node forwards the version, and probes and acknowledgements alone must spread it in time.
    for (const std::uint32_t fanout : { 0u, 3u }) {
        Membership::Limits limits;
        limits.forwardFanout = fanout;
        Fleet fleet({ 60, 5, seed, limits });
        fleet.run(Seconds(5));
        for (std::size_t node = 0; node < 5; ++node)
            fleet.setVersion(node, Offset { 77 });
        const auto known = [&] {
            return std::ranges::all_of(fleet.nodes, [](auto& node) { return node.version == Offset { 77 }; });
        };
        REQUIRE(fleet.runUntil(known, Seconds(6)));
        REQUIRE(fleet.nodes[17].membership->newestVersion()->version == Offset { 77 });
    }
}
