#include "peridotramp/scheduling.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace peridotramp;

namespace {

constexpr WorkspaceId quiet { 1 };
constexpr WorkspaceId busy { 2 };

TimePoint at(Duration sinceStart) { return TimePoint {} + Seconds(1000) + sinceStart; }

QueuedCall makeCall(std::uint64_t id, WorkspaceId workspace, Duration arrival = {}, std::int64_t prefill = 1000)
{
    QueuedCall call { CallId { id }, ProgramId { id }, workspace };
    call.arrival = at(arrival);
    call.expected.prefill.value = prefill;
    return call;
}

FairQueue makeQueue(Policy policy) { return FairQueue({ std::move(policy) }); }

std::vector<std::uint64_t> popAll(FairQueue& queue)
{
    std::vector<std::uint64_t> order;
    while (const auto call = queue.pop(at({})))
        order.push_back(call->call.value);
    return order;
}

} // namespace

TEST_CASE("the baseline pops calls by arrival time, and equal ones in the order in which they were pushed")
{
    auto queue = makeQueue(baselinePolicy());
    const std::vector<std::pair<std::uint64_t, int>> calls { { 1, 5 }, { 2, 3 }, { 3, 5 }, { 4, 3 }, { 5, 1 } };
    for (const auto& [id, arrival] : calls)
        queue.push(at({}), makeCall(id, id % 2 ? quiet : busy, Seconds(arrival), 100 * arrival));
    REQUIRE(popAll(queue) == std::vector<std::uint64_t> { 5, 2, 4, 1, 3 });
}

TEST_CASE("within a workspace the program with less attained service goes first")
{
    auto queue = makeQueue(longgrassPolicy());
    auto longRunning = makeCall(1, quiet);
    longRunning.attained = Seconds(300);
    queue.push(at({}), longRunning);
    queue.push(at({}), makeCall(2, quiet, Seconds(1)));
    REQUIRE(popAll(queue) == std::vector<std::uint64_t> { 2, 1 });
}

TEST_CASE("a call near its deadline goes before a call with less attained service")
{
    auto queue = makeQueue(longgrassPolicy());
    auto urgent = makeCall(1, quiet);
    urgent.attained = Seconds(300);
    urgent.deadline = at(Seconds(4));
    queue.push(at({}), makeCall(2, quiet));
    queue.push(at({}), urgent);
    REQUIRE(popAll(queue) == std::vector<std::uint64_t> { 1, 2 });
}

TEST_CASE("no call starves behind a steady stream of calls with less attained service or with deadlines")
{
    const auto policy = GENERATE(as<std::string> {}, "kalahari", "longgrass");
    const auto timeLeft = GENERATE(Seconds(1), Seconds(1'000'000));
    auto queue = makeQueue(policy == "kalahari" ? kalahariPolicy() : longgrassPolicy());
    auto old = makeCall(1, quiet);
    old.attained = Seconds(100'000);
    queue.push(at({}), old);
    int second = 0;
    std::uint64_t popped = 0;
    // Two calls arrive for each call that is popped, so the queue grows without bound.
    while (popped != 1 && second < 1000) {
        for (const std::uint64_t id : { 2 * second + 2, 2 * second + 3 }) {
            auto call = makeCall(id, quiet, Seconds(second));
            call.deadline = at(Seconds(second) + timeLeft);
            queue.push(at(Seconds(second)), call);
        }
        popped = queue.pop(at(Seconds(second)))->call.value;
        ++second;
    }
    // 30 s of penalty, 5 s of deadline slack and two arrivals for each call that is popped.
    REQUIRE(second <= 2 * (30 + 5) + 1);
}

TEST_CASE("a workspace that sends nine times as many calls gets no more service than the other")
{
    auto queue = makeQueue(kalahariPolicy());
    std::uint64_t id = 0;
    for (int index = 0; index < 900; ++index)
        queue.push(at({}), makeCall(++id, busy));
    for (int index = 0; index < 100; ++index)
        queue.push(at({}), makeCall(++id, quiet));
    int fromQuiet = 0;
    for (int served = 0; served < 200; ++served)
        fromQuiet += queue.pop(at({}))->workspace == quiet ? 1 : 0;
    REQUIRE(fromQuiet >= 95);
}

TEST_CASE("workspaces get service in proportion to their weights")
{
    auto queue = makeQueue(kalahariPolicy());
    queue.setWeight(busy, 3);
    std::uint64_t id = 0;
    for (int index = 0; index < 1000; ++index) {
        queue.push(at({}), makeCall(++id, busy));
        queue.push(at({}), makeCall(++id, quiet));
    }
    int fromBusy = 0;
    for (int served = 0; served < 400; ++served)
        fromBusy += queue.pop(at({}))->workspace == busy ? 1 : 0;
    REQUIRE(std::abs(fromBusy - 300) <= 6);
}

TEST_CASE("a workspace gets no credit for the time in which it was idle")
{
    auto queue = makeQueue(kalahariPolicy());
    std::uint64_t id = 0;
    for (int index = 0; index < 500; ++index) {
        queue.push(at({}), makeCall(++id, busy));
        queue.pop(at({}));
    }
    for (int index = 0; index < 100; ++index) {
        queue.push(at({}), makeCall(++id, busy));
        queue.push(at({}), makeCall(++id, quiet));
    }
    int fromBusy = 0;
    for (int served = 0; served < 60; ++served)
        fromBusy += queue.pop(at({}))->workspace == busy ? 1 : 0;
    REQUIRE(fromBusy >= 25);
}

TEST_CASE("the charge is corrected to the actual tokens")
{
    auto queue = makeQueue(kalahariPolicy());
    queue.push(at({}), makeCall(1, busy));
    const auto call = queue.pop(at({}));
    const auto charged = queue.counter(busy);
    queue.correctCharge(busy, call->expected, { { 5000 }, { 100 } });
    REQUIRE(queue.counter(busy) == Approx(charged + 4000 + 4 * 100));
    queue.correctCharge(WorkspaceId { 99 }, {}, { { 5000 }, {} });
    REQUIRE(queue.counter(WorkspaceId { 99 }) == 0);
}

TEST_CASE("cancelled and expired calls leave the queue without a charge and are never popped")
{
    auto queue = makeQueue(kalahariPolicy());
    auto expiring = makeCall(1, quiet);
    expiring.deadline = at(Seconds(2));
    queue.push(at({}), expiring);
    queue.push(at({}), makeCall(2, quiet));
    queue.push(at({}), makeCall(3, busy));
    REQUIRE(queue.cancel(CallId { 2 }));
    REQUIRE_FALSE(queue.cancel(CallId { 2 }));
    REQUIRE(queue.removeExpired(at(Seconds(1))).empty());
    REQUIRE(queue.removeExpired(at(Seconds(2))).front().call == CallId { 1 });
    REQUIRE(queue.counter(quiet) == 0);
    REQUIRE(popAll(queue) == std::vector<std::uint64_t> { 3 });
    REQUIRE(queue.expectedUse().prefill.value == 0);
}

TEST_CASE("refused calls are reported as not run")
{
    FairQueue queue({ kalahariPolicy(), { 1 } });
    auto late = makeCall(1, quiet);
    late.deadline = at({});
    REQUIRE(queue.push(at({}), late).error().kind == ErrorKind::DeadlineExceeded);
    REQUIRE(queue.push(at({}), makeCall(2, quiet)));
    REQUIRE(queue.push(at({}), makeCall(2, quiet)).error().kind == ErrorKind::CallInProgress);
    REQUIRE(queue.push(at({}), makeCall(3, quiet)).error().kind == ErrorKind::Overloaded);
    REQUIRE(queue.push(at({}), makeCall(3, quiet)).error().outcome == Outcome::NotRun);
}

namespace {

// RapidCheck reads its configuration at first use and prints it. A fixed seed makes every run check the same cases.
const int configured = setenv("RC_PARAMS", "seed=11 max_success=200", 1);

} // namespace

TEST_CASE("property: every pushed call leaves the queue exactly once")
{
    REQUIRE(configured == 0);
    REQUIRE(
        rc::check("push, pop, cancel and expire", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps) {
            auto queue = makeQueue(kalahariPolicy());
            std::set<std::uint64_t> waiting;
            std::uint64_t id = 0;
            const auto leave = [&waiting](CallId call) { RC_ASSERT(waiting.erase(call.value) == 1U); };
            for (const auto& [kind, value] : steps) {
                const auto now = at(Seconds(id));
                if (kind % 5 < 2) {
                    auto call = makeCall(++id, WorkspaceId { value % 3U }, Seconds(id), 1 + value);
                    if (value % 2)
                        call.deadline = now + Seconds(1 + value % 7);
                    RC_ASSERT(queue.push(now, call).hasValue());
                    waiting.insert(id);
                } else if (kind % 5 == 2) {
                    if (const auto call = queue.pop(now))
                        leave(call->call);
                } else if (kind % 5 == 3) {
                    const CallId call { value % (id + 1) };
                    if (queue.cancel(call))
                        leave(call);
                } else {
                    for (const auto& call : queue.removeExpired(now))
                        leave(call.call);
                }
                RC_ASSERT(queue.size() == waiting.size());
            }
            for (const auto call : popAll(queue))
                leave(CallId { call });
            RC_ASSERT(waiting.empty());
            RC_ASSERT(queue.expectedUse().prefill.value == 0);
        }));
}

TEST_CASE("property: the counters of backlogged workspaces differ by at most a quantum and the largest charge")
{
    REQUIRE(rc::check("fairness bound", [](const std::vector<std::uint16_t>& sizes) {
        auto queue = makeQueue(kalahariPolicy());
        const auto bound = kalahariPolicy().fairnessQuantum + std::numeric_limits<std::uint16_t>::max() + 1;
        std::uint64_t id = 0;
        for (const auto size : sizes) {
            for (const auto workspace : { quiet, busy })
                queue.push(at({}), makeCall(++id, workspace, {}, 1 + (workspace == busy ? size : size / 7)));
        }
        while (queue.size(quiet) > 0 && queue.size(busy) > 0) {
            queue.pop(at({}));
            RC_ASSERT(std::abs(queue.counter(quiet) - queue.counter(busy)) <= bound);
        }
    }));
}
