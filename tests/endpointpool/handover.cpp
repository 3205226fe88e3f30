#include "fixture.h"

#include <algorithm>
#include <set>

using namespace peridotramp;

namespace {

constexpr std::int64_t slots = 2;
constexpr Duration leaseEnd = Seconds(5);

enum class Takeover { Planned, AfterLease };

// One endpoint, its old and its new owner, the calls that run on it, and whether the new owner had a load report.
struct World {
    Takeover takeover = Takeover::AfterLease;
    Duration now {};
    EndpointPool oldOwner;
    EndpointPool newOwner;
    std::optional<EndpointHandover> handover {};
    std::vector<EndpointPermit> running {};
    std::set<PermitId> seen {};
    std::uint64_t nextCall = 1;
    bool successorActs = false;
    bool reported = false;
};

World makeWorld(Takeover takeover)
{
    World world { takeover };
    for (auto* pool : { &world.oldOwner, &world.newOwner })
        pool->configure(at({}), describe(engineA, slots));
    world.oldOwner.beginOwnership(at({}), engineA, Epoch { 1 }, at(leaseEnd));
    warmUp(world.oldOwner, at({}), slots);
    return world;
}

// Maximum number of running calls: a successor without the handover state adds its window of 1 until a report shows the
// other calls.
std::int64_t allowedLoad(const World& world) { return slots + (world.takeover == Takeover::AfterLease ? 1 : 0); }

void acquire(World& world, EndpointPool& pool)
{
    const auto answer = pool.tryAcquire(at(world.now), request(engineA, world.nextCall++));
    if (!answer)
        return;
    REQUIRE(world.seen.insert(answer.permit->permit).second);
    const bool byOldOwner = &pool == &world.oldOwner;
    REQUIRE_FALSE((byOldOwner && (world.successorActs || world.now >= leaseEnd)));
    REQUIRE_FALSE((!byOldOwner && !world.successorActs));
    // Once a report has shown the old owner's calls, the successor never exceeds the slots.
    if (!byOldOwner && world.reported)
        REQUIRE(static_cast<std::int64_t>(world.running.size()) < slots);
    world.running.push_back(*answer.permit);
    REQUIRE(static_cast<std::int64_t>(world.running.size()) <= allowedLoad(world));
}

// Ends the oldest call. Its release reaches both owners, because the holder cannot know which one is current.
void finish(World& world)
{
    if (world.running.empty())
        return;
    const auto permit = world.running.front();
    world.running.erase(world.running.begin());
    world.oldOwner.release(at(world.now), permit, answered());
    world.newOwner.release(at(world.now), permit, answered());
}

void beginOwnership(World& world)
{
    const bool mayAct = world.takeover == Takeover::Planned ? world.handover.has_value() : world.now > leaseEnd;
    if (!mayAct || world.successorActs)
        return;
    world.successorActs = true;
    world.newOwner.beginOwnership(at(world.now), engineA, Epoch { 9 }, at(world.now + Seconds(60)), world.handover);
}

using Step = void (*)(World&);

// The steps of each actor keep their order; the steps of different actors interleave in every way.
const std::vector<std::vector<Step>>& actors()
{
    static const Step oldAcquires = [](World& world) { acquire(world, world.oldOwner); };
    static const Step newAcquires = [](World& world) { acquire(world, world.newOwner); };
    static const Step clock = [](World& world) { world.now += Seconds(3); };
    static const Step report = [](World& world) {
        const auto running = static_cast<std::int64_t>(world.running.size());
        world.newOwner.applyReport(at(world.now), { engineA, EngineStart { 1 }, at(world.now), { running }, {} });
        world.reported = world.successorActs;
    };
    static const Step handOver = [](World& world) {
        if (world.takeover == Takeover::Planned)
            world.handover = world.oldOwner.handOver(at(world.now), engineA);
    };
    static const std::vector<std::vector<Step>> steps {
        { oldAcquires, oldAcquires, handOver, oldAcquires },
        { beginOwnership, newAcquires, beginOwnership, newAcquires, newAcquires },
        { clock, clock },
        { finish },
        { report },
    };
    return steps;
}

std::uint64_t explore(const World& world, const std::vector<std::size_t>& done)
{
    std::uint64_t ends = 0;
    for (std::size_t actor = 0; actor < actors().size(); ++actor) {
        if (done[actor] == actors()[actor].size())
            continue;
        auto next = world;
        actors()[actor][done[actor]](next);
        auto progress = done;
        ++progress[actor];
        ends += explore(next, progress);
    }
    return std::max<std::uint64_t>(ends, 1);
}

} // namespace

TEST_CASE("during a change of owner the two owners never exceed the allowed load, in any interleaving")
{
    const auto takeover = GENERATE(Takeover::Planned, Takeover::AfterLease);
    // 13 steps of five actors: 13! / (4! 5! 2!).
    REQUIRE(explore(makeWorld(takeover), std::vector<std::size_t>(actors().size())) == 1'081'080);
}

TEST_CASE(
    "an owner whose lease has expired neither grants permits nor hands over state, even when its renewal arrives late")
{
    EndpointPool pool;
    pool.configure(at({}), describe(engineA, 4));
    pool.beginOwnership(at({}), engineA, Epoch { 1 }, at(Seconds(5)));
    REQUIRE(pool.tryAcquire(at(Seconds(5)), request(engineA, 1)).refusal == PermitRefusal::LeaseLapsed);
    REQUIRE_FALSE(pool.handOver(at(Seconds(5)), engineA).has_value());
    pool.beginOwnership(at(Seconds(20)), engineA, Epoch { 9 }, at(Seconds(25)));
    pool.renew(engineA, Epoch { 1 }, at(Seconds(99)));
    REQUIRE(pool.tryAcquire(at(Seconds(30)), request(engineA, 2)).refusal == PermitRefusal::LeaseLapsed);
}
