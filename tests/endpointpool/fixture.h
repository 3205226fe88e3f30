#pragma once

#include "peridotramp/endpointpool.h"

#include <catch2/catch.hpp>
#include <numeric>

namespace peridotramp {

constexpr EndpointId engineA { 1 };
constexpr EndpointId engineB { 2 };
constexpr DomainId domainA { 7 };
constexpr EndpointGroupId group { 3 };
constexpr NodeId node { 5 };

inline TimePoint at(Duration sinceStart) { return TimePoint {} + Seconds(1000) + sinceStart; }

inline EndpointDescription describe(EndpointId endpoint, std::int64_t slots)
{
    return { endpoint, domainA, group, EndpointKind::Engine, { ModelId { 1 } }, { slots } };
}

inline EndpointPermitRequest request(EndpointId endpoint, std::uint64_t call, std::int32_t attempt = 0)
{
    return { endpoint, node, Incarnation { 1 }, CallId { call }, attempt, true };
}

inline EndpointPool ownedPool(std::int64_t slots, EndpointPool::Init init = {})
{
    EndpointPool pool(std::move(init));
    pool.configure(at({}), describe(engineA, slots));
    pool.beginOwnership(at({}), engineA, Epoch { 1 }, at(Seconds(1'000'000)));
    return pool;
}

inline CallReport answered(Duration firstToken = Milliseconds(300))
{
    return { EndpointResult::Succeeded, firstToken };
}

// Runs calls until the window is fully open. Returns the number of calls.
inline int warmUp(EndpointPool& pool, TimePoint now, std::int64_t slots)
{
    std::uint64_t call = 1'000'000;
    int calls = 0;
    while (pool.view(now, engineA)->window.value < slots && calls < 10'000) {
        std::vector<EndpointPermit> held;
        while (auto answer = pool.tryAcquire(now, request(engineA, ++call)))
            held.push_back(*answer.permit);
        for (const auto& permit : held)
            pool.release(now, permit, answered());
        calls += static_cast<int>(held.size());
    }
    return calls;
}

} // namespace peridotramp
