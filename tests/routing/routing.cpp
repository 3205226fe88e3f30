#include "peridotramp/routing.h"

#include <catch2/catch.hpp>

using namespace peridotramp;

namespace {

DesiredState sampleState()
{
    DesiredState state;
    state.version = 7;
    HttpRoute shorter;
    shorter.name = "short";
    shorter.host = "Shop.example";
    shorter.pathPrefix = "/a/";
    shorter.services = { { "one", 1 } };
    auto longer = shorter;
    longer.name = "long";
    longer.pathPrefix = "/a/b/";
    longer.services = { { "one", 90 }, { "two", 10 } };
    state.routes = { shorter, longer };
    state.workspaces = { { "w", { "key-1", "key-2" }, { 10 }, { 5 }, {} } };
    state.services = { { "one", 10, { 0 }, std::nullopt } };
    return state;
}

} // namespace

// Guards against selecting a route by its position in the document instead of by the length of its prefix.
TEST_CASE("the route with the longest matching prefix is selected")
{
    const RouteTable table(sampleState());
    REQUIRE(table.match("shop.example:8080", "/a/b/c")->name == "long");
    REQUIRE(table.match("SHOP.example", "/a/x")->name == "short");
    REQUIRE(table.match("shop.example", "/a") == nullptr);
    REQUIRE(table.match("other.example", "/a/b/c") == nullptr);
}

TEST_CASE("each key maps to its workspace and an unknown key to none")
{
    const RouteTable table(sampleState());
    REQUIRE(table.workspaceOfKey("key-2")->name == "w");
    REQUIRE(table.workspaceOfKey("key-3") == nullptr);
    REQUIRE(table.workspaceOfKey("") == nullptr);
}

// Guards against a split that sends everything to one service or depends on the order of calls.
TEST_CASE("services of a route are picked by weight and the same hash gives the same service")
{
    const auto state = sampleState();
    int second = 0;
    for (std::uint64_t index = 0; index < 10'000; ++index) {
        const auto hash = hashBytes(std::to_string(index));
        second += pickService(state.routes[1], hash) == "two" ? 1 : 0;
        REQUIRE(pickService(state.routes[1], hash) == pickService(state.routes[1], hash));
    }
    REQUIRE(second > 850);
    REQUIRE(second < 1150);
}

TEST_CASE("an endpoint's region must be allowed by both the route and the workspace")
{
    HttpRoute route;
    HttpWorkspace workspace;
    REQUIRE(regionAllowed(route, &workspace, "north"));
    route.regions = { "north", "south" };
    workspace.regions = { "south" };
    REQUIRE_FALSE(regionAllowed(route, &workspace, "north"));
    REQUIRE(regionAllowed(route, &workspace, "south"));
    REQUIRE(regionAllowed(route, nullptr, "north"));
}
