#include "peridotramp/reachability.h"

#include <catch2/catch.hpp>

using namespace peridotramp;

namespace {

const ReachabilityLimits limits;
constexpr Milliseconds fresh { 100 };
constexpr Milliseconds old { 2000 };

} // namespace

// Guards against requests that wait for endpoints behind a network partition until their connections time out.
TEST_CASE("a domain is unreachable if none of its instances was heard within the timeout")
{
    const std::vector<PeerContact> contacts { { "a", old }, { "b", old }, { "b", fresh }, { "c", old }, { "c", old } };
    REQUIRE(unreachableDomains(contacts, "a", limits) == std::set<std::string, std::less<>> { "c" });
    REQUIRE(unreachableDomains({}, "a", limits).empty());
}

// Guards against an instance that keeps its callers while it can store nothing, and against a fleet in which every
// instance refuses callers because only the store is unavailable.
TEST_CASE("an instance is isolated only if it reaches neither the store nor any other domain")
{
    const std::vector<PeerContact> allUnreachable { { "a", fresh }, { "b", old }, { "c", old } };
    const std::vector<PeerContact> oneReachable { { "a", fresh }, { "b", old }, { "c", fresh } };
    REQUIRE(isIsolated(allUnreachable, "a", false, limits));
    REQUIRE_FALSE(isIsolated(allUnreachable, "a", true, limits));
    REQUIRE_FALSE(isIsolated(oneReachable, "a", false, limits));
    REQUIRE_FALSE(isIsolated({ { "a", old } }, "a", false, limits));
    REQUIRE_FALSE(isIsolated({}, "a", false, limits));
}
