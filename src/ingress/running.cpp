#include "ingress_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Part of the grace period that is left after requests have been ended, for their answers, for the last records of the
// store and for the log.
constexpr Milliseconds shutdownMargin { 900 };
// In a short grace period, the margin and the delay of the load balancer take at most these fractions (1/8 and 1/3).
constexpr int marginDivisor = 8;
constexpr int balancerDivisor = 3;

} // namespace

DrainSchedule makeDrainSchedule(Milliseconds gracePeriod, Milliseconds loadBalancerDelay)
{
    return { std::min(loadBalancerDelay, gracePeriod / balancerDivisor),
        gracePeriod - std::min(shutdownMargin, gracePeriod / marginDivisor) };
}

RunningRequests::Key RunningRequests::add(RunningRequest request)
{
    const auto key = ++this->lastKey;
    this->shards.with(key, [&](auto& shard) { shard.emplace(key, std::move(request)); });
    ++this->count;
    return key;
}

void RunningRequests::describe(Key key, std::string_view request, std::string_view route)
{
    this->shards.with(key, [&](auto& shard) {
        const auto found = shard.find(key);
        if (found == shard.end())
            return;
        found->second.request = request;
        found->second.route = route;
    });
}

void RunningRequests::remove(Key key)
{
    this->count -= this->shards.with(key, [&](auto& shard) { return shard.erase(key); });
}

std::vector<RunningRequest> RunningRequests::oldest(std::size_t maxCount)
{
    std::vector<RunningRequest> all;
    this->shards.forEach([&](const auto& shard) {
        std::ranges::transform(shard, std::back_inserter(all), [](const auto& entry) { return entry.second; });
    });
    std::ranges::sort(all, {}, &RunningRequest::since);
    all.resize(std::min(all.size(), maxCount));
    return all;
}

void RunningRequests::stopAll()
{
    for (const auto& request : this->oldest(this->count))
        request.stop();
}

} // namespace peridotramp
