#include "peridotramp/scheduling.h"

#include <catch2/catch.hpp>

using namespace peridotramp;

namespace {

constexpr DomainId localDomain { 1 };
constexpr DomainId otherDomain { 2 };

EndpointView makeView(std::uint64_t id, DomainId domain, Duration wait = {}, std::int64_t cached = 0)
{
    EndpointView view { EndpointId { id }, domain, wait };
    view.cached.value = cached;
    return view;
}

QueuedCall makeCall(std::uint64_t program = 1, std::int64_t history = 10'000)
{
    QueuedCall call { CallId { 1 }, ProgramId { program }, WorkspaceId { 1 }, ModelId { 1 }, localDomain };
    call.history.value = history;
    return call;
}

} // namespace

TEST_CASE("placement weighs the cached prefix against the queue wait")
{
    const auto policy = longgrassPolicy();
    const std::vector nearly { makeView(1, localDomain, Milliseconds(500), 10'000), makeView(2, localDomain) };
    REQUIRE(place(policy, makeCall(), nearly) == EndpointId { 1 });
    const std::vector crowded { makeView(1, localDomain, Seconds(30), 10'000), makeView(2, localDomain) };
    REQUIRE(place(policy, makeCall(), crowded) == EndpointId { 2 });
}

TEST_CASE("placement prefers the call's failure domain unless another is much better")
{
    const auto policy = kalahariPolicy();
    REQUIRE(place(policy, makeCall(), std::vector { makeView(1, otherDomain), makeView(2, localDomain) })
        == EndpointId { 2 });
    const std::vector busy { makeView(1, otherDomain), makeView(2, localDomain, Seconds(1)) };
    REQUIRE(place(policy, makeCall(), busy) == EndpointId { 1 });
}

TEST_CASE("the baseline takes endpoints in turn")
{
    const auto policy = baselinePolicy();
    const std::vector views { makeView(1, localDomain), makeView(2, localDomain) };
    REQUIRE(place(policy, makeCall(), views) == EndpointId { 1 });
    REQUIRE(place(policy, makeCall(), views) == EndpointId { 2 });
    REQUIRE(place(policy, makeCall(), views) == EndpointId { 1 });
}

TEST_CASE("unusable endpoints and endpoints of failure domains with a share of 0 are not chosen")
{
    auto broken = makeView(1, localDomain);
    broken.usable = false;
    auto leaving = makeView(2, localDomain);
    leaving.share = 0;
    const auto policy = GENERATE(as<bool> {}, false, true) ? baselinePolicy() : longgrassPolicy();
    REQUIRE_FALSE(place(policy, makeCall(), std::vector { broken, leaving }).isValid());
    REQUIRE(place(policy, makeCall(), std::vector { broken, leaving, makeView(3, otherDomain) }) == EndpointId { 3 });
    REQUIRE_FALSE(place(policy, makeCall(), {}).isValid());
}

TEST_CASE("a ramp moves programs gradually, and none of them moves back")
{
    const auto policy = longgrassPolicy();
    std::size_t before = 0;
    std::set<std::uint64_t> moved;
    for (const auto share : { 0.25, 0.5, 0.75, 1.0 }) {
        auto returning = makeView(1, localDomain);
        returning.share = share;
        std::size_t count = 0;
        for (std::uint64_t program = 0; program < 1000; ++program) {
            const bool isReturning
                = place(policy, makeCall(program), std::vector { returning, makeView(2, otherDomain) })
                == EndpointId { 1 };
            REQUIRE((isReturning || !moved.contains(program)));
            if (isReturning)
                moved.insert(program);
            count += isReturning ? 1 : 0;
        }
        REQUIRE(std::abs(static_cast<double>(count) - 1000 * share) < 60);
        REQUIRE(count > before);
        before = count;
    }
}

TEST_CASE("the ramp of a leaving failure domain ends within two seconds")
{
    for (const auto& policy : { baselinePolicy(), kalahariPolicy(), longgrassPolicy() }) {
        REQUIRE(policy.rampHook({ true, Seconds(2) }) == 0);
        REQUIRE(policy.rampHook({ false, Seconds(60) }) == 1);
    }
}

TEST_CASE("the index chooses the same endpoint as a search of the whole fleet")
{
    const auto policy = longgrassPolicy();
    PlacementIndex index;
    std::vector<EndpointView> fleet;
    for (std::uint64_t id = 0; id < 200; ++id) {
        fleet.push_back(makeView(id, id % 2 ? localDomain : otherDomain, Milliseconds(37 * (id * 7919 % 101))));
        index.update(fleet.back());
    }
    for (std::uint64_t holder = 0; holder < 200; ++holder) {
        fleet[holder].cached.value = 8000;
        const std::vector<std::pair<EndpointId, TokenCount>> holders { { EndpointId { holder }, { 8000 } } };
        REQUIRE(index.place(policy, makeCall(), holders) == place(policy, makeCall(), fleet));
        fleet[holder].cached.value = 0;
    }
    for (std::uint64_t id = 0; id < 200; ++id)
        index.remove(EndpointId { id });
    REQUIRE(index.size() == 0);
    REQUIRE_FALSE(index.place(policy, makeCall(), {}).isValid());
}

TEST_CASE("a prefix is kept in a short pause, released in a long one if memory is scarce, moved if the endpoint leaves")
{
    const auto policy = longgrassPolicy();
    const ToolPause shortPause { ProgramId { 1 }, { 10'000 }, Seconds(2), Seconds(1), 0.99 };
    REQUIRE(policy.retentionHook(shortPause) == Retention::Keep);
    ToolPause longPause = shortPause;
    longPause.expected = Seconds(300);
    REQUIRE(policy.retentionHook(longPause) == Retention::Release);
    longPause.memoryUsed = 0.3;
    REQUIRE(policy.retentionHook(longPause) == Retention::Keep);
    longPause.leaving = true;
    REQUIRE(policy.retentionHook(longPause) == Retention::Move);
    REQUIRE(baselinePolicy().retentionHook(longPause) == Retention::Keep);
}

TEST_CASE("parallel sub-agents are counted once in the critical path of their parent")
{
    AttainedServiceTracker tracker;
    const ProgramId parent { 1 };
    tracker.begin(parent, std::nullopt);
    tracker.add(parent, Seconds(10));
    for (const std::uint64_t child : { 2, 3, 4 }) {
        tracker.begin(ProgramId { child }, parent);
        REQUIRE(tracker.attained(ProgramId { child }) == Seconds(10));
        tracker.add(ProgramId { child }, Seconds(child));
    }
    for (const std::uint64_t child : { 4, 2, 3 })
        tracker.end(ProgramId { child });
    REQUIRE(tracker.attained(parent) == Seconds(14));
    tracker.end(parent);
    REQUIRE(tracker.size() == 0);
    REQUIRE(tracker.attained(parent) == Duration {});
}
