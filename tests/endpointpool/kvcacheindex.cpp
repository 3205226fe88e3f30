#include "fixture.h"

#include <algorithm>
#include <random>

using namespace peridotramp;

namespace {

constexpr ProgramId alive { 100 };
constexpr ProgramId gone { 200 };

// An engine with a prefix cache. It may ignore fencing tokens.
struct FakeEngine {
    Fencing fencing = Fencing::Obeyed;
    EngineStart start { 1 };
    Epoch newestEpoch { 0 };
    std::map<ProgramId, TokenCount> cache {};
    std::vector<ModelId> models {};
    std::set<OrderId> ordersSeen {};
    std::uint64_t sequence = 0;

    KvEvent store(ProgramId program, TokenCount tokens)
    {
        this->cache[program] = tokens;
        return { ++this->sequence, KvEventKind::Stored, program, tokens };
    }

    void applyOrder(const Order& order)
    {
        const bool isOld = order.epoch < this->newestEpoch;
        if ((isOld && this->fencing == Fencing::Obeyed) || !this->ordersSeen.insert(order.order).second)
            return;
        this->newestEpoch = std::max(this->newestEpoch, order.epoch);
        if (const auto* release = std::get_if<ReleaseProgram>(&order.wanted)) {
            if (this->cache.erase(release->program) > 0)
                ++this->sequence;
        } else if (const auto* serve = std::get_if<ServeModels>(&order.wanted))
            this->models = serve->models;
    }

    KvReport report() const
    {
        return { engineA, this->start, this->sequence, { this->cache.begin(), this->cache.end() } };
    }
};

KvCacheIndex trackedIndex()
{
    KvCacheIndex index;
    index.beginOwnership(engineA, Epoch { 1 });
    index.beginOwnership(engineB, Epoch { 1 });
    return index;
}

} // namespace

TEST_CASE("release orders for an ended program's prefix are repeated until the engine no longer reports it")
{
    auto index = trackedIndex();
    FakeEngine engine;
    index.recordUse(at({}), engineA, gone, { 500 });
    engine.store(gone, { 500 });
    index.markProgramEnded(at(Seconds(1)), gone);
    REQUIRE(index.dueOrders(at(Seconds(1))).size() == 1);
    index.reconcile(at(Seconds(2)), engine.report());
    REQUIRE(index.pendingReleases() == 1);
    REQUIRE(index.dueOrders(at(Seconds(2))).empty());
    const auto repeated = index.dueOrders(at(Seconds(3)));
    REQUIRE(repeated.size() == 1);
    engine.applyOrder(repeated.front());
    index.reconcile(at(Seconds(4)), engine.report());
    REQUIRE(index.pendingReleases() == 0);
    REQUIRE(index.dueOrders(at(Seconds(60))).empty());
}

TEST_CASE("a prefix that appears after its program's end is released as well")
{
    auto index = trackedIndex();
    FakeEngine engine;
    index.markProgramEnded(at({}), gone);
    SECTION("late event")
    {
        index.applyEvents(at(Seconds(1)), engineA, engine.start, std::array { engine.store(gone, { 9 }) });
    }
    SECTION("late answer") { index.recordUse(at(Seconds(1)), engineA, gone, { 9 }); }
    SECTION("late report")
    {
        engine.store(gone, { 9 });
        REQUIRE(index.reconcile(at(Seconds(1)), engine.report()).empty());
    }
    REQUIRE(index.pendingReleases() == 1);
}

TEST_CASE("prefixes of programs whose owner died are returned by each report until resolved, and then released")
{
    auto index = trackedIndex();
    FakeEngine engine;
    engine.store(gone, { 700 });
    engine.store(alive, { 300 });
    const std::vector expected { alive, gone };
    REQUIRE(index.reconcile(at(Seconds(1)), engine.report()) == expected);
    REQUIRE(index.reconcile(at(Seconds(2)), engine.report()) == expected);
    index.markProgramAlive(alive);
    index.markProgramEnded(at(Seconds(3)), gone);
    const auto orders = index.dueOrders(at(Seconds(3)));
    REQUIRE(orders.size() == 1);
    REQUIRE(orders.front().wanted == WantedState { ReleaseProgram { gone } });
    engine.applyOrder(orders.front());
    REQUIRE(index.reconcile(at(Seconds(4)), engine.report()).empty());
    REQUIRE(index.pendingReleases() == 0);
    REQUIRE(index.cachedTokens(engineA, alive).value == 300);
}

TEST_CASE("after late, missing and repeated cache events a report restores the engine's true state")
{
    const std::uint32_t seed = GENERATE(range(1U, 21U));
    INFO("seed " << seed);
    std::mt19937 random(seed);
    auto index = trackedIndex();
    FakeEngine engine;
    index.reconcile(at({}), engine.report());
    REQUIRE_FALSE(index.needsReport(engineA));
    std::vector<KvEvent> sent;
    for (int step = 0; step < 200; ++step) {
        const ProgramId program { random() % 8 };
        sent.push_back(engine.store(program, { static_cast<std::int64_t>(random() % 1000) }));
        const auto first = random() % sent.size();
        const auto last = std::min<std::size_t>(sent.size(), first + 1 + random() % 4);
        index.applyEvents(at(Seconds(step)), engineA, engine.start, std::span(sent).subspan(first, last - first));
    }
    REQUIRE(index.stats().gaps > 0);
    REQUIRE(index.needsReport(engineA));
    index.reconcile(at(Seconds(300)), engine.report());
    REQUIRE_FALSE(index.needsReport(engineA));
    // Events that the report covers arrive again.
    index.applyEvents(at(Seconds(301)), engineA, engine.start, sent);
    for (const auto& [program, tokens] : engine.cache)
        REQUIRE(index.cachedTokens(engineA, program) == tokens);
}

TEST_CASE("a restart of the engine clears the estimate, and a report of the earlier start is ignored")
{
    auto index = trackedIndex();
    FakeEngine engine;
    engine.store(alive, { 300 });
    const auto old = engine.report();
    index.reconcile(at({}), old);
    index.applyEvents(at(Seconds(1)), engineA, EngineStart { 2 }, {});
    REQUIRE(index.holders(alive).empty());
    index.reconcile(at(Seconds(2)), old);
    REQUIRE(index.holders(alive).empty());
}

TEST_CASE("an import order names its source and is dropped when it never succeeds")
{
    auto index = trackedIndex();
    index.recordUse(at({}), engineA, alive, { 300 });
    index.importPrefix(at({}), engineA, engineB, alive);
    const auto orders = index.dueOrders(at({}));
    REQUIRE(orders.front().endpoint == engineB);
    REQUIRE(orders.front().wanted == WantedState { HoldProgram { alive, engineA, { 300 } } });
    REQUIRE(index.holders(alive).size() == 2);
    index.tick(at(Seconds(60)));
    REQUIRE(index.dueOrders(at(Seconds(90))).empty());
    REQUIRE(index.holders(alive).empty());
}

TEST_CASE(
    "an engine converges to the wanted models although old orders arrive late and twice, even if it ignores fencing")
{
    const auto fencing = GENERATE(Fencing::Obeyed, Fencing::Ignored);
    FakeEngine engine { fencing };
    ModelReconciler oldOwner;
    ModelReconciler newOwner;
    oldOwner.setWantedModels(engineA, Epoch { 1 }, { ModelId { 1 } });
    const auto late = oldOwner.dueOrders(at({}));
    oldOwner.setWantedModels(engineA, Epoch { 1 }, { ModelId { 2 } });
    const auto later = oldOwner.dueOrders(at({}));
    newOwner.setWantedModels(engineA, Epoch { 9 }, { ModelId { 3 } });
    for (const auto& order : newOwner.dueOrders(at(Seconds(10))))
        engine.applyOrder(order);
    newOwner.applyReport(engineA, at(Seconds(11)), engine.models);
    REQUIRE(newOwner.hasConverged(engineA));
    for (const auto* orders : { &late, &later, &late })
        engine.applyOrder(orders->front());
    REQUIRE((engine.models == std::vector { ModelId { 3 } }) == (fencing == Fencing::Obeyed));
    newOwner.applyReport(engineA, at(Seconds(12)), engine.models);
    for (const auto& order : newOwner.dueOrders(at(Seconds(13))))
        engine.applyOrder(order);
    REQUIRE(engine.models == std::vector { ModelId { 3 } });
    newOwner.applyReport(engineA, at(Seconds(14)), engine.models);
    REQUIRE(newOwner.hasConverged(engineA));
}

TEST_CASE("an order whose effect was replaced before any report is issued again under a new id")
{
    FakeEngine engine { Fencing::Ignored };
    ModelReconciler oldOwner;
    ModelReconciler newOwner;
    oldOwner.setWantedModels(engineA, Epoch { 1 }, { ModelId { 1 } });
    newOwner.setWantedModels(engineA, Epoch { 9 }, { ModelId { 3 } });
    engine.applyOrder(newOwner.dueOrders(at({})).front());
    engine.applyOrder(oldOwner.dueOrders(at({})).front());
    for (int second = 1; second <= 6; ++second) {
        newOwner.applyReport(engineA, at(Seconds(second)), engine.models);
        for (const auto& order : newOwner.dueOrders(at(Seconds(second))))
            engine.applyOrder(order);
    }
    REQUIRE(engine.models == std::vector { ModelId { 3 } });
}
