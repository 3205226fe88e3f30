#pragma once

#include "peridotramp/core.h"

#include <set>

namespace peridotramp {

/// Time since the last message from another instance.
struct PeerContact {
    std::string domain;
    Duration timeSinceHeard {};
};

struct ReachabilityLimits {
    /// Time without a message from any instance of a failure domain after which its endpoints count as
    /// unreachable.
    Milliseconds domainTimeout { 450 };
    /// Time without a message from any instance of another failure domain after which this instance may be isolated.
    Milliseconds isolationTimeout { 900 };
};

/// Returns the failure domains, other than `ownDomain`, from which no instance was heard within the timeout.
std::set<std::string, std::less<>> unreachableDomains(
    const std::vector<PeerContact>& contacts, std::string_view ownDomain, ReachabilityLimits limits);

/// Returns whether this instance can reach neither another failure domain nor the metadata store, so that callers
/// should use other instances. Always false if no other failure domain is known.
bool isIsolated(const std::vector<PeerContact>& contacts, std::string_view ownDomain, bool storeReachable,
    ReachabilityLimits limits);

} // namespace peridotramp
