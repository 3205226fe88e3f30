#include "peridotramp/reachability.h"

#include <algorithm>

namespace peridotramp {

std::set<std::string, std::less<>> unreachableDomains(
    const std::vector<PeerContact>& contacts, std::string_view ownDomain, ReachabilityLimits limits)
{
    std::set<std::string, std::less<>> unreachable;
    for (const auto& contact : contacts) {
        if (contact.domain != ownDomain)
            unreachable.insert(contact.domain);
    }
    for (const auto& contact : contacts) {
        if (contact.timeSinceHeard <= limits.domainTimeout)
            unreachable.erase(contact.domain);
    }
    return unreachable;
}

bool isIsolated(const std::vector<PeerContact>& contacts, std::string_view ownDomain, bool storeReachable,
    ReachabilityLimits limits)
{
    const auto isElsewhere = [&](const PeerContact& contact) { return contact.domain != ownDomain; };
    const auto isUnreachable
        = [&](const PeerContact& contact) { return contact.timeSinceHeard > limits.isolationTimeout; };
    const bool othersUnreachable = std::ranges::any_of(contacts, isElsewhere)
        && std::ranges::all_of(
            contacts, [&](const PeerContact& contact) { return !isElsewhere(contact) || isUnreachable(contact); });
    return othersUnreachable && !storeReachable;
}

} // namespace peridotramp
