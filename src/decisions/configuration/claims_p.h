#pragma once

#include "peridotramp/configuration.h"

#include <unordered_map>

namespace peridotramp {

/// Registry of the names that must be unique across teams, with the team that holds each: workspaces, endpoints and
/// their addresses, key digests and routes.
class Claims {
public:
    /// Replaces the claims of a team's old document with those of its new one. Names held by other teams stay theirs.
    void replace(const Document* before, const Document& after);
    /// Returns whether `after` claims nothing that `before` did not claim.
    static bool containsAll(const Document& before, const Document& after);
    /// Returns an `InvalidDocument` error that lists the claims of `document` that another team holds.
    Status check(const Document& document) const;

private:
    std::unordered_map<std::string, std::string> teamByClaim;
};

/// Returns an error unless one team's list of failure domains is a prefix of the other's. Partition numbers are derived
/// from the order.
Status checkDomainOrder(const TeamEntry& other, const TeamEntry& team);
/// Returns an error unless the old list of failure domains is a prefix of the new one.
Status checkDomainsAppended(const TeamEntry& before, const TeamEntry& after);

/// Returns the failure domain that republishes the document: the home or, if that is removed, the first one that is
/// not.
std::string homeDomainOf(const Document& document);

} // namespace peridotramp
