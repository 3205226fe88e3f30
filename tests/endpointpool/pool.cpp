#include "fixture.h"

using namespace peridotramp;

TEST_CASE("a new endpoint gets one call at a time until calls succeed at normal latency")
{
    auto pool = ownedPool(8);
    const auto first = pool.tryAcquire(at({}), request(engineA, 1));
    REQUIRE(first);
    REQUIRE(pool.tryAcquire(at({}), request(engineA, 2)).refusal == PermitRefusal::WindowFull);
    pool.release(at(Seconds(9)), *first.permit, answered(Seconds(9)));
    REQUIRE(pool.view(at(Seconds(9)), engineA)->state == EndpointState::Cold);
    REQUIRE(pool.view(at(Seconds(9)), engineA)->window.value == 1);
    REQUIRE(warmUp(pool, at(Seconds(10)), 8) < 50);
    REQUIRE(pool.view(at(Seconds(10)), engineA)->state == EndpointState::Warm);
}

TEST_CASE("a warm endpoint that shows that it has become cold falls back to one call at a time")
{
    const auto now = at(Seconds(1));
    auto pool = ownedPool(8);
    warmUp(pool, now, 8);
    std::vector<EndpointPermit> held;
    for (std::uint64_t call = 1; call <= 8; ++call)
        held.push_back(*pool.tryAcquire(now, request(engineA, call)).permit);
    SECTION("slow first token") { pool.release(now, held.back(), answered(Seconds(8))); }
    SECTION("refusal") { pool.release(now, held.back(), { EndpointResult::Refused }); }
    SECTION("new start in the load report")
    {
        pool.applyReport(now, { engineA, EngineStart { 1 }, at({}), { 8 }, {} });
        pool.applyReport(at(Seconds(2)), { engineA, EngineStart { 2 }, now, { 0 }, {} });
    }
    REQUIRE(pool.view(now, engineA)->state == EndpointState::Cold);
    REQUIRE(pool.view(now, engineA)->window.value == 1);
    REQUIRE(pool.tryAcquire(now, request(engineA, 99)).refusal == PermitRefusal::WindowFull);
}

TEST_CASE("a first token that is late because of a long prompt does not indicate a cold endpoint")
{
    const auto now = at(Seconds(1));
    auto pool = ownedPool(8);
    warmUp(pool, now, 8);
    const auto answer = pool.tryAcquire(now, request(engineA, 1));
    pool.release(now, *answer.permit, { EndpointResult::Succeeded, Seconds(8), { 60'000 } });
    REQUIRE(pool.stats().coldDetections == 0);
    REQUIRE(pool.view(now, engineA)->window.value == 8);
}

TEST_CASE("a wrong initial latency is corrected, so that endpoints of a slow model do not stay cold forever")
{
    auto pool = ownedPool(4);
    for (std::uint64_t call = 1; call <= 200; ++call) {
        const auto answer = pool.tryAcquire(at(Seconds(call)), request(engineA, call));
        pool.release(at(Seconds(call)), *answer.permit, answered(Seconds(3)));
    }
    REQUIRE(pool.view(at(Seconds(201)), engineA)->state == EndpointState::Warm);
}

TEST_CASE("a flapping endpoint gets one trial call per breaker opening, and its breaker stays open longer each time")
{
    auto pool = ownedPool(4);
    std::uint64_t call = 0;
    int granted = 0;
    for (int tenth = 0; tenth < 10 * 600; ++tenth) {
        const auto now = at(Milliseconds(100) * tenth);
        if (const auto answer = pool.tryAcquire(now, request(engineA, ++call))) {
            ++granted;
            // One success between the failures must not reset the breaker's open time.
            pool.release(now, *answer.permit, granted % 7 == 0 ? answered() : CallReport { EndpointResult::Failed });
        }
    }
    REQUIRE(pool.stats().breakerOpened >= 10);
    // With a breaker whose open time does not grow, several hundred of the 6,000 attempts would reach the endpoint.
    REQUIRE(granted < 120);
}

TEST_CASE("a half-open breaker lets one trial through and closes when it succeeds")
{
    auto pool = ownedPool(4);
    for (std::uint64_t call = 1; call <= 5; ++call)
        pool.release(at({}), *pool.tryAcquire(at({}), request(engineA, call)).permit, { EndpointResult::Failed });
    REQUIRE(pool.tryAcquire(at({}), request(engineA, 9)).refusal == PermitRefusal::BreakerOpen);
    const auto trial = pool.tryAcquire(at(Seconds(2)), request(engineA, 10));
    REQUIRE(trial);
    REQUIRE(pool.tryAcquire(at(Seconds(2)), request(engineA, 11)).refusal == PermitRefusal::BreakerOpen);
    pool.release(at(Seconds(2)), *trial.permit, answered());
    REQUIRE(pool.tryAcquire(at(Seconds(2)), request(engineA, 12)));
}

TEST_CASE("retries stay within the budget when all endpoints fail")
{
    EndpointPool::Init init;
    init.breakerFailures = 1'000'000;
    auto pool = ownedPool(64, init);
    std::uint64_t firsts = 0;
    std::uint64_t retries = 0;
    for (std::uint64_t call = 1; call <= 3000; ++call) {
        const auto now = at(Milliseconds(10) * call);
        for (std::int32_t attempt = 0; attempt <= 5; ++attempt) {
            const auto answer = pool.tryAcquire(now, request(engineA, call, attempt));
            if (!answer)
                break;
            (attempt == 0 ? firsts : retries) += 1;
            pool.release(now, *answer.permit, { EndpointResult::Failed });
        }
    }
    REQUIRE(firsts == 3000);
    REQUIRE(retries > 0);
    REQUIRE(retries * 10 <= firsts);
}

TEST_CASE("only retryable calls are retried, at most twice")
{
    auto pool = ownedPool(4);
    auto unsafe = request(engineA, 1, 1);
    unsafe.retryable = false;
    REQUIRE(pool.tryAcquire(at({}), unsafe).refusal == PermitRefusal::NotRetryable);
    REQUIRE(pool.tryAcquire(at({}), request(engineA, 1, 3)).refusal == PermitRefusal::TooManyAttempts);
    REQUIRE(pool.tryAcquire(at({}), request(engineA, 1, 1)).refusal == PermitRefusal::RetryBudgetSpent);
    REQUIRE(pool.tryAcquire(at({}), request(engineA, 1, 1)).error().outcome == Outcome::NotRun);
}

TEST_CASE("a leaving endpoint gets no new permits, and its running calls finish")
{
    auto pool = ownedPool(4);
    const auto running = pool.tryAcquire(at({}), request(engineA, 1));
    auto leaving = describe(engineA, 4);
    leaving.inService = false;
    pool.configure(at(Seconds(1)), leaving);
    REQUIRE(pool.tryAcquire(at(Seconds(1)), request(engineA, 2)).refusal == PermitRefusal::Leaving);
    pool.remove(at(Seconds(2)), engineA);
    REQUIRE(pool.view(at(Seconds(2)), engineA)->held.value == 1);
    pool.release(at(Seconds(3)), *running.permit, answered());
    REQUIRE_FALSE(pool.view(at(Seconds(3)), engineA).has_value());
    REQUIRE(pool.tryAcquire(at(Seconds(3)), request(engineA, 3)).refusal == PermitRefusal::UnknownEndpoint);
}

TEST_CASE("a failure domain out of service gets no permits and returns cold and in steps")
{
    auto pool = ownedPool(8);
    warmUp(pool, at({}), 8);
    pool.setDomain(at(Seconds(1)), domainA, DomainState::Out);
    REQUIRE(pool.tryAcquire(at(Seconds(1)), request(engineA, 1)).refusal == PermitRefusal::DomainOutOfService);
    REQUIRE(pool.view(at(Seconds(1)), engineA)->state == EndpointState::Leaving);
    pool.setDomain(at(Seconds(60)), domainA, DomainState::In);
    REQUIRE(pool.view(at(Seconds(60)), engineA)->window.value == 1);
    warmUp(pool, at(Seconds(60)), 3);
    // A quarter of 8 slots, although the window has opened further.
    REQUIRE(pool.view(at(Seconds(61)), engineA)->available.value == 2);
    warmUp(pool, at(Seconds(90)), 8);
    REQUIRE(pool.view(at(Seconds(90)), engineA)->available.value == 8);
}

TEST_CASE("a repeated request gets the same permit, and a repeated release changes nothing")
{
    auto pool = ownedPool(4);
    const auto first = pool.tryAcquire(at({}), request(engineA, 1));
    REQUIRE(pool.tryAcquire(at({}), request(engineA, 1)).permit->permit == first.permit->permit);
    pool.release(at({}), *first.permit, answered());
    pool.release(at({}), *first.permit, { EndpointResult::Refused });
    REQUIRE(pool.stats().staleReleases == 1);
    REQUIRE(pool.stats().coldDetections == 0);
}

TEST_CASE("permits of a dead holder count until the engine is idle, has restarted, or the timeout has passed")
{
    auto pool = ownedPool(4);
    pool.tryAcquire(at({}), request(engineA, 1));
    pool.applyReport(at(Milliseconds(500)), { engineA, EngineStart { 1 }, at(Milliseconds(400)), { 1 }, {} });
    pool.markHolderDead(at(Seconds(1)), node, Incarnation { 0 });
    pool.tick(at(Seconds(100)));
    REQUIRE(pool.view(at(Seconds(100)), engineA)->held.value == 1);
    pool.markHolderDead(at(Seconds(100)), node, Incarnation { 1 });
    pool.applyReport(at(Seconds(102)), { engineA, EngineStart { 1 }, at(Seconds(99)), { 0 }, {} });
    pool.applyReport(at(Seconds(103)), { engineA, EngineStart { 1 }, at(Seconds(101)), { 1 }, {} });
    pool.tick(at(Seconds(129)));
    REQUIRE(pool.view(at(Seconds(129)), engineA)->held.value == 1);
    SECTION("stated time") { pool.tick(at(Seconds(130))); }
    SECTION("idle") { pool.applyReport(at(Seconds(120)), { engineA, EngineStart { 1 }, at(Seconds(119)), { 0 }, {} }); }
    SECTION("restart")
    {
        pool.applyReport(at(Seconds(120)), { engineA, EngineStart { 2 }, at(Seconds(119)), { 1 }, {} });
    }
    REQUIRE(pool.view(at(Seconds(130)), engineA)->held.value == 0);
}

TEST_CASE("late load reports never allow more calls, and external calls reduce the available permits")
{
    auto pool = ownedPool(4);
    warmUp(pool, at({}), 4);
    pool.applyReport(at(Seconds(30)), { engineA, EngineStart { 1 }, at(Seconds(29)), { 3 }, {} });
    // The report may show calls of the last ten seconds, so the pool's own peak in that time hides external calls.
    pool.tick(at(Seconds(31)));
    pool.applyReport(at(Seconds(50)), { engineA, EngineStart { 1 }, at(Seconds(49)), { 3 }, {} });
    REQUIRE(pool.view(at(Seconds(50)), engineA)->external.value == 3);
    REQUIRE(pool.view(at(Seconds(50)), engineA)->available.value == 1);
    pool.applyReport(at(Seconds(51)), { engineA, EngineStart { 1 }, at(Seconds(45)), { 0 }, {} });
    REQUIRE(pool.view(at(Seconds(51)), engineA)->external.value == 3);
    REQUIRE(pool.stats().staleReports == 1);
    // A queue at the engine shows that the window is too wide.
    pool.applyReport(at(Seconds(52)), { engineA, EngineStart { 1 }, at(Seconds(51)), { 2 }, { 1 } });
    REQUIRE(pool.view(at(Seconds(52)), engineA)->window.value == 2);
}
