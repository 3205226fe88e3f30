#include "peridotramp/routing.h"

#include <algorithm>
#include <numeric>

namespace peridotramp {

std::string_view toString(CallKind kind)
{
    switch (kind) {
    case CallKind::NonIdempotent:
        return "non_idempotent";
    case CallKind::Stream:
        return "stream";
    case CallKind::Idempotent:
    case CallKind::Count:
        break;
    }
    return "idempotent";
}

namespace {

std::string toLower(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](unsigned char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                    : static_cast<char>(character);
    });
    return lower;
}

bool contains(const std::vector<std::string>& names, std::string_view name)
{
    return std::ranges::find(names, name) != names.end();
}

} // namespace

RouteTable::RouteTable(DesiredState state)
    : desired(std::move(state))
{
    for (const auto& route : this->desired.routes)
        this->routesByHost[toLower(route.host)].push_back(&route);
    for (auto& [host, routes] : this->routesByHost)
        std::ranges::stable_sort(
            routes, std::ranges::greater(), [](const HttpRoute* route) { return route->pathPrefix.size(); });
    for (const auto& workspace : this->desired.workspaces) {
        this->workspacesByName[workspace.name] = &workspace;
        for (const auto& key : workspace.keys)
            this->workspacesByKey[key] = &workspace;
    }
    for (const auto& service : this->desired.services)
        this->servicesByName[service.name] = &service;
}

const HttpRoute* RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto routes = this->routesByHost.find(toLower(host.substr(0, host.find(':'))));
    if (routes == this->routesByHost.end())
        return nullptr;
    const auto found = std::ranges::find_if(
        routes->second, [&](const HttpRoute* route) { return path.starts_with(route->pathPrefix); });
    return found == routes->second.end() ? nullptr : *found;
}

const HttpWorkspace* RouteTable::workspaceOfKey(std::string_view key) const
{
    const auto found = this->workspacesByKey.find(key);
    return found == this->workspacesByKey.end() ? nullptr : found->second;
}

const HttpWorkspace* RouteTable::workspace(std::string_view name) const
{
    const auto found = this->workspacesByName.find(name);
    return found == this->workspacesByName.end() ? nullptr : found->second;
}

const HttpService* RouteTable::service(std::string_view name) const
{
    const auto found = this->servicesByName.find(name);
    return found == this->servicesByName.end() ? nullptr : found->second;
}

const std::string& pickService(const HttpRoute& route, std::uint64_t hash)
{
    const auto total = std::accumulate(route.services.begin(), route.services.end(), 0.0,
        [](double sum, const WeightedService& entry) { return sum + std::max(entry.weight, 0.0); });
    // The upper 53 bits give a uniformly distributed number in [0, 1).
    auto point = static_cast<double>(hash >> 11) * 0x1.0p-53 * total;
    const auto found = std::ranges::find_if(route.services, [&](const WeightedService& entry) {
        point -= std::max(entry.weight, 0.0);
        return point < 0;
    });
    return found == route.services.end() ? route.services.back().service : found->service;
}

bool regionAllowed(const HttpRoute& route, const HttpWorkspace* workspace, std::string_view region)
{
    const bool byRoute = route.regions.empty() || contains(route.regions, region);
    const bool byWorkspace = !workspace || workspace->regions.empty() || contains(workspace->regions, region);
    return byRoute && byWorkspace;
}

} // namespace peridotramp
