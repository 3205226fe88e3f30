#pragma once

#include "peridotramp/configuration.h"

#include <unordered_map>

namespace peridotramp {

/// Which team holds each name that must be unique over all teams: workspaces, endpoints, their addresses, key digests
/// and routes.
class Claims {
public:
    /// Replaces what the team held with the claims of its new document. A name that another team holds stays there.
    void replace(const Document* before, const Document& after);
    /// Returns whether `after` claims nothing that `before` did not claim.
    static bool covers(const Document& before, const Document& after);
    /// Returns an `InvalidDocument` error that lists the claims of `document` that another team holds.
    Status check(const Document& document) const;

private:
    std::unordered_map<std::string, std::string> teamByClaim;
};

/// Returns an error when one list is not the beginning of the other: partition numbers follow from the order.
Status checkSameOrder(const TeamEntry& other, const TeamEntry& team);
/// Returns an error when the new list does not begin with the whole old one.
Status checkGrown(const TeamEntry& before, const TeamEntry& after);

/// Returns the failure domain that restates the document: the home, or the first one that is not removed.
std::string homeOf(const Document& document);

} // namespace peridotramp
