#include "claims_p.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <unordered_set>

namespace peridotramp {

namespace {

std::vector<std::string> claimsOf(const Document& document)
{
    std::vector<std::string> claims;
    claims.reserve(
        document.workspaces.size() + document.keys.size() + 2 * document.endpoints.size() + document.routes.size());
    for (const auto& workspace : document.workspaces)
        claims.push_back("workspace " + workspace.name);
    for (const auto& key : document.keys)
        claims.push_back("key digest " + key.digest.toHex());
    for (const auto& endpoint : document.endpoints) {
        claims.push_back("endpoint " + endpoint.name);
        claims.push_back("address " + endpoint.address.toString());
    }
    for (const auto& route : document.routes)
        claims.push_back("route " + route.path);
    return claims;
}

bool beginsWith(const std::vector<std::string>& whole, const std::vector<std::string>& part)
{
    return part.size() <= whole.size() && std::equal(part.begin(), part.end(), whole.begin());
}

Error invalid(std::string detail) { return { ErrorKind::InvalidDocument, Outcome::NotRun, std::move(detail) }; }

} // namespace

void Claims::replace(const Document* before, const Document& after)
{
    if (before != nullptr) {
        for (const auto& claim : claimsOf(*before)) {
            const auto held = this->teamByClaim.find(claim);
            if (held != this->teamByClaim.end() && held->second == before->team.name)
                this->teamByClaim.erase(held);
        }
    }
    for (auto& claim : claimsOf(after))
        this->teamByClaim.emplace(std::move(claim), after.team.name);
}

bool Claims::containsAll(const Document& before, const Document& after)
{
    const auto held = claimsOf(before);
    const std::unordered_set<std::string> known(held.begin(), held.end());
    return std::ranges::all_of(claimsOf(after), [&](const auto& claim) { return known.contains(claim); });
}

Status Claims::check(const Document& document) const
{
    std::vector<std::string> taken;
    for (const auto& claim : claimsOf(document)) {
        const auto held = this->teamByClaim.find(claim);
        if (held != this->teamByClaim.end() && held->second != document.team.name)
            taken.push_back(fmt::format("{} is declared by team {}", claim, held->second));
    }
    if (taken.empty())
        return std::monostate {};
    return invalid(fmt::format("{}; use other names, or have that team give them up first", fmt::join(taken, ", ")));
}

Status checkDomainOrder(const TeamEntry& other, const TeamEntry& team)
{
    if (beginsWith(other.domains, team.domains) || beginsWith(team.domains, other.domains))
        return std::monostate {};
    return invalid(fmt::format("team {} lists the failure domains as {}, team {} as {}; list them in the same order",
        other.name, fmt::join(other.domains, ", "), team.name, fmt::join(team.domains, ", ")));
}

Status checkDomainsAppended(const TeamEntry& before, const TeamEntry& after)
{
    if (beginsWith(after.domains, before.domains))
        return std::monostate {};
    return invalid(fmt::format("the failure domains were {}; keep them in this order, add new ones at the end, and set "
                               "state = removed in [domain NAME] to remove one",
        fmt::join(before.domains, ", ")));
}

std::string homeDomainOf(const Document& document)
{
    const auto isHome = [&](const DomainEntry& entry) { return entry.name == document.team.home; };
    const auto home = std::ranges::find_if(document.domains, isHome);
    if (home != document.domains.end() && home->state != DomainEntry::State::Removed)
        return home->name;
    const auto isPresent = [](const DomainEntry& entry) { return entry.state != DomainEntry::State::Removed; };
    const auto first = std::ranges::find_if(document.domains, isPresent);
    return first == document.domains.end() ? document.team.home : first->name;
}

Status checkMerge(const Configuration& configuration, const Document& document)
{
    Claims claims;
    for (const auto& other : configuration.documents()) {
        const auto& team = other->document.team;
        const auto order = team.id == document.team.id ? checkDomainsAppended(team, document.team)
                                                       : checkDomainOrder(team, document.team);
        if (!order)
            return order;
        claims.replace(nullptr, other->document);
    }
    return claims.check(document);
}

} // namespace peridotramp
