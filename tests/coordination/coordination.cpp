#include "peridotramp/coordination.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace peridotramp;

namespace {

const TimePoint start { Seconds(1000) };
constexpr Milliseconds period { 100 };

FleetMember memberOf(const std::string& name, double capacity = 1, const std::string& domain = "a")
{
    return { name, domain, { "10.0.0.1", 1 }, capacity };
}

NodeId idOf(const std::string& name) { return idFromName<NodeId>(name); }

// Members in order of preference as coordinators: m4, m3, m2, m1.
std::vector<FleetMember> fourMembers()
{
    return coordinatorOrder({ memberOf("m1", 1), memberOf("m2", 2), memberOf("m3", 3), memberOf("m4", 4) });
}

} // namespace

TEST_CASE("coordinators are ordered by capacity, independent of the input order")
{
    const auto order = fourMembers();
    REQUIRE(order.front().name == "m4");
    REQUIRE(order.back().name == "m1");
    const auto equal = coordinatorOrder({ memberOf("x"), memberOf("y"), memberOf("z") });
    REQUIRE(coordinatorOrder({ memberOf("z"), memberOf("x"), memberOf("y") }) == equal);
}

// Guards against two active coordinators in a domain whose instances start at the same time.
TEST_CASE("a started instance waits for a preferred coordinator before it becomes active")
{
    CoordinatorElection election({ .self = idOf("m3") });
    const auto order = fourMembers();
    // It reports to the preferred one, which may be running, and to all that may be the second coordinator.
    REQUIRE(election.elect(order, start) == std::vector { idOf("m4"), idOf("m3"), idOf("m2"), idOf("m1") });
    REQUIRE_FALSE(election.active(start).isValid());
    election.recordDigest(idOf("m4"), true, start + period);
    election.elect(order, start + period);
    REQUIRE(election.active(start + period) == idOf("m4"));
    REQUIRE(election.isCoordinator());

    CoordinatorElection alone({ .self = idOf("m3") });
    for (auto now = start; now <= start + Milliseconds(400); now += period)
        alone.elect(order, now);
    REQUIRE(alone.active(start + Milliseconds(400)) == idOf("m3"));
}

// Guards against a domain that has no active coordinator for longer than the digest timeout.
TEST_CASE("the second coordinator takes over after the digest timeout and steps down when the first returns")
{
    CoordinatorElection election({ .self = idOf("m3") });
    const auto order = fourMembers();
    auto now = start;
    for (; now < start + Seconds(1); now += period) {
        election.recordDigest(idOf("m4"), true, now);
        election.elect(order, now);
    }
    REQUIRE(election.active(now) == idOf("m4"));
    now += Milliseconds(400);
    election.elect(order, now);
    REQUIRE(election.active(now) == idOf("m3"));
    election.recordDigest(idOf("m4"), true, now + period);
    election.elect(order, now + period);
    REQUIRE(election.active(now + period) == idOf("m4"));
}

TEST_CASE("an instance that is no coordinator follows the first coordinator whose recent digest says it is active")
{
    CoordinatorElection election({ .self = idOf("m1") });
    const auto order = fourMembers();
    election.recordDigest(idOf("m4"), true, start);
    election.recordDigest(idOf("m3"), false, start);
    REQUIRE(election.elect(order, start) == std::vector { idOf("m4"), idOf("m3") });
    REQUIRE(election.active(start) == idOf("m4"));
    // The first one is lost; there is no active coordinator until the second one declares itself active.
    auto now = start + Milliseconds(400);
    election.recordDigest(idOf("m3"), false, now);
    election.recordDigest(idOf("m2"), false, now);
    election.elect(order, now);
    REQUIRE_FALSE(election.active(now).isValid());
    election.recordDigest(idOf("m3"), true, now + period);
    election.elect(order, now + period);
    REQUIRE(election.active(now + period) == idOf("m3"));
    REQUIRE_FALSE(election.isCoordinator());
}

// Guards against a lost coordinator that gets a report from every instance in every period, and against one whose
// return is never detected.
TEST_CASE("an unresponsive coordinator is probed periodically, and without delay after any message from it")
{
    CoordinatorElection election({ .self = idOf("m1") });
    const auto order = fourMembers();
    auto now = start;
    const auto step = [&] {
        election.recordDigest(idOf("m3"), true, now);
        election.recordDigest(idOf("m2"), false, now);
        const auto targets = election.elect(order, now);
        now += period;
        return std::ranges::find(targets, idOf("m4")) != targets.end();
    };
    while (now < start + Seconds(1))
        step();
    int tries = 0;
    while (now < start + Seconds(11))
        tries += step() ? 1 : 0;
    REQUIRE(tries == 5);
    while (step()) { }
    election.recordAlive(idOf("m4"));
    REQUIRE(step());
}

TEST_CASE("an instance is reachable until its last reported message is older than the timeout")
{
    MemberTable table(memberOf("self"));
    REQUIRE_FALSE(table.addOrUpdate(memberOf("self"), start));
    REQUIRE(table.addOrUpdate(memberOf("m1"), start));
    REQUIRE_FALSE(table.addOrUpdate(memberOf("m1"), start));
    REQUIRE(table.addOrUpdate(memberOf("m2", 1, "b"), start));
    REQUIRE(table.size() == 3);
    REQUIRE(table.reachable(start).empty());
    // An instance that was never announced is ignored.
    REQUIRE_FALSE(table.recordContact(idOf("stranger"), start, {}, start));
    REQUIRE(table.recordContact(idOf("m1"), start, { true, false }, start));
    REQUIRE_FALSE(table.recordContact(idOf("m1"), start - Seconds(1), {}, start));
    REQUIRE(table.find(idOf("m1"))->state.storeReachable);
    REQUIRE(table.reachable(start + peerTimeout).size() == 1);
    REQUIRE(table.reachable(start + peerTimeout + Milliseconds(1)).empty());
    REQUIRE(table.ofDomain("b").size() == 1);
    table.remove(idOf("m1"));
    REQUIRE(table.size() == 2);
}

// Guards against programs whose state moves although its holder is still a member, and against small instances that
// hold as much as large ones.
TEST_CASE("weighted rendezvous hashing moves only the keys of a leaving member and spreads keys by capacity")
{
    const std::vector<FleetMember> members { memberOf("m1", 0.5), memberOf("m2", 0.5), memberOf("m3", 0.125) };
    constexpr int keys = 4000;
    std::map<std::string, int> kept;
    int moved = 0;
    for (int key = 0; key < keys; ++key) {
        const auto order = weightedRendezvousOrder(members, static_cast<std::uint64_t>(key));
        REQUIRE(order.size() == 3);
        ++kept[order.front().name];
        const auto rest = weightedRendezvousOrder({ members[0], members[2] }, static_cast<std::uint64_t>(key));
        if (order.front().name != "m2")
            moved += rest.front().name == order.front().name ? 0 : 1;
        else
            REQUIRE(rest.front().name == order[1].name);
    }
    REQUIRE(moved == 0);
    // m3 has a ninth of the capacity; its number of keys may deviate by 20 %.
    REQUIRE(kept["m3"] > keys / 9 * 8 / 10);
    REQUIRE(kept["m3"] < keys / 9 * 12 / 10);
    REQUIRE(std::abs(kept["m1"] - kept["m2"]) < keys / 10);
}

// Guards against an instance that never notices that its reads have stopped, and against requests for records that
// arrive a moment later anyway.
TEST_CASE("an instance lags once another one has been ahead for the tolerance without progress here")
{
    const TimePoint start { Seconds(100) };
    ReadLag lag(Milliseconds(150));
    SECTION("one that has applied nothing lags behind any other")
    {
        REQUIRE_FALSE(lag.recordReported({}, start));
        REQUIRE_FALSE(lag.recordReported({ 1 }, start));
        REQUIRE(lag.recordReported({ 1 }, start + Milliseconds(150)));
    }
    SECTION("equal and older reports are no lag")
    {
        lag.recordApplied({ 7 });
        REQUIRE_FALSE(lag.recordReported({ 7 }, start));
        REQUIRE_FALSE(lag.recordReported({ 6 }, start + Seconds(9)));
        REQUIRE(lag.applied() == Offset { 7 });
    }
    SECTION("progress starts the tolerance again")
    {
        lag.recordApplied({ 7 });
        REQUIRE_FALSE(lag.recordReported({ 9 }, start));
        lag.recordApplied({ 8 });
        REQUIRE_FALSE(lag.recordReported({ 9 }, start + Milliseconds(200)));
        REQUIRE(lag.recordReported({ 9 }, start + Milliseconds(350)));
    }
    SECTION("an older offset takes nothing back")
    {
        lag.recordApplied({ 7 });
        lag.recordApplied({ 3 });
        lag.recordApplied({});
        REQUIRE(lag.applied() == Offset { 7 });
    }
}
