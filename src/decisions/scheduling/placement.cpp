#include "peridotramp/scheduling.h"

#include <algorithm>

namespace peridotramp {

namespace {

constexpr std::uint64_t shareSteps = 1000;

// The result depends only on the program, the failure domain and its share, so that during a ramp a program moves once
// and not with every call.
bool isWithinShare(const QueuedCall& call, const EndpointView& view)
{
    if (view.share >= 1)
        return true;
    const std::array<std::uint64_t, 2> key { call.program.value, view.domain.value };
    const auto hash = hashBytes({ reinterpret_cast<const char*>(key.data()), sizeof(key) });
    return static_cast<double>(hash % shareSteps) < view.share * static_cast<double>(shareSteps);
}

} // namespace

EndpointId place(const Policy& policy, const QueuedCall& call, std::span<const EndpointView> endpoints)
{
    std::vector<EndpointView> usable;
    usable.reserve(endpoints.size());
    std::ranges::copy_if(endpoints, std::back_inserter(usable),
        [&call](const EndpointView& view) { return view.usable && isWithinShare(call, view); });
    if (usable.empty()) {
        // A ramp only shifts load: a call without another endpoint may use the ramping failure domain.
        std::ranges::copy_if(endpoints, std::back_inserter(usable),
            [](const EndpointView& view) { return view.usable && view.share > 0; });
    }
    return usable.empty() ? EndpointId {} : policy.placementHook(call, usable);
}

PlacementIndex::PlacementIndex()
    : PlacementIndex(Init {})
{
}

PlacementIndex::PlacementIndex(Init init)
    : init(init)
{
}

void PlacementIndex::update(const EndpointView& view)
{
    this->remove(view.endpoint);
    auto& stored = this->views.emplace(view.endpoint, view).first->second;
    stored.cached = {};
    if (!view.usable || view.share <= 0)
        return;
    this->allByWait.emplace(view.queueWait, view.endpoint);
    this->byDomain[view.domain].emplace(view.queueWait, view.endpoint);
}

void PlacementIndex::remove(EndpointId endpoint)
{
    const auto found = this->views.find(endpoint);
    if (found == this->views.end())
        return;
    const std::pair key { found->second.queueWait, endpoint };
    this->allByWait.erase(key);
    const auto domain = this->byDomain.find(found->second.domain);
    if (domain != this->byDomain.end()) {
        domain->second.erase(key);
        if (domain->second.empty())
            this->byDomain.erase(domain);
    }
    this->views.erase(found);
}

void PlacementIndex::addShortestWaits(const WaitOrder& order, std::vector<EndpointView>& candidates) const
{
    auto left = this->init.shortlist;
    for (auto entry = order.begin(); entry != order.end() && left > 0; ++entry, --left) {
        const auto isListed = [entry](const EndpointView& view) { return view.endpoint == entry->second; };
        if (std::ranges::none_of(candidates, isListed))
            candidates.push_back(this->views.at(entry->second));
    }
}

EndpointId PlacementIndex::place(
    const Policy& policy, const QueuedCall& call, std::span<const std::pair<EndpointId, TokenCount>> holders) const
{
    std::vector<EndpointView> candidates;
    candidates.reserve(holders.size() + 2 * this->init.shortlist);
    for (const auto& [endpoint, cached] : holders) {
        const auto found = this->views.find(endpoint);
        if (found == this->views.end())
            continue;
        candidates.push_back(found->second);
        candidates.back().cached = cached;
    }
    if (const auto domain = this->byDomain.find(call.domain); domain != this->byDomain.end())
        this->addShortestWaits(domain->second, candidates);
    this->addShortestWaits(this->allByWait, candidates);
    return peridotramp::place(policy, call, candidates);
}

} // namespace peridotramp
