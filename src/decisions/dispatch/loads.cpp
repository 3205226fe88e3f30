#include "peridotramp/dispatch.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Reports older than this are dropped; most of their requests have ended.
constexpr Milliseconds maxReportAge { 900 };

template <typename Reports>
void addRecentReports(std::map<EndpointId, std::int32_t>& sums, Reports& reports, TimePoint now)
{
    std::erase_if(reports, [&](const auto& entry) { return now - entry.second.receivedAt > maxReportAge; });
    for (const auto& [source, report] : reports) {
        for (const auto& load : report.loads)
            sums[load.endpoint] += load.outstanding;
    }
}

std::vector<EndpointLoad> toLoads(const std::map<EndpointId, std::int32_t>& sums)
{
    std::vector<EndpointLoad> loads;
    loads.reserve(sums.size());
    std::ranges::transform(
        sums, std::back_inserter(loads), [](const auto& entry) { return EndpointLoad { entry.first, entry.second }; });
    return loads;
}

} // namespace

void LoadTable::applyInstanceLoad(NodeId instance, std::vector<EndpointLoad> loads, TimePoint now)
{
    this->instances[instance] = { std::move(loads), now };
}

void LoadTable::applyDomainLoad(const std::string& domain, std::vector<EndpointLoad> loads, TimePoint now)
{
    this->domains[domain] = { std::move(loads), now };
}

std::vector<EndpointLoad> LoadTable::domainLoad(TimePoint now)
{
    std::map<EndpointId, std::int32_t> sums;
    addRecentReports(sums, this->instances, now);
    return toLoads(sums);
}

std::vector<EndpointLoad> LoadTable::fleetLoad(TimePoint now)
{
    std::map<EndpointId, std::int32_t> sums;
    addRecentReports(sums, this->instances, now);
    addRecentReports(sums, this->domains, now);
    return toLoads(sums);
}

} // namespace peridotramp
