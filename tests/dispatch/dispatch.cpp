#include "peridotramp/dispatch.h"

#include <catch2/catch.hpp>
#include <set>

using namespace peridotramp;

namespace {

const TimePoint start { Seconds(100) };

EndpointRecord record(const std::string& name, const std::string& domain, std::int64_t sequence = 1)
{
    EndpointRecord entry;
    entry.name = name;
    entry.service = "engines";
    entry.address = { "127.0.0.1", 1000 };
    entry.domain = domain;
    entry.slots = 4;
    entry.startedAt = 10;
    entry.sequence = sequence;
    return entry;
}

EndpointDirectory directoryOf(std::initializer_list<EndpointRecord> records)
{
    EndpointDirectory directory({ "a" });
    directory.setService("engines", 100, 10, true);
    directory.setColdShare([](std::string_view, double) { return 1.0; });
    for (const auto& entry : records)
        directory.apply(entry, start);
    return directory;
}

DispatchRequest request(std::vector<PromptPart> prompt = {})
{
    DispatchRequest wanted;
    wanted.service = "engines";
    wanted.prompt = std::move(prompt);
    return wanted;
}

const std::vector<PromptPart> longPrompt { { { 1 }, { 12'000 } }, { { 2 }, { 500 } } };

} // namespace

TEST_CASE("a repeated prompt is sent to the endpoint that has it cached until that endpoint is busy")
{
    auto directory = directoryOf({ record("x", "a"), record("y", "a") });
    const auto first = directory.choose(request(longPrompt), start);
    directory.finish(*first, DispatchResult::Served, longPrompt, start);
    const auto second = directory.choose(request(longPrompt), start);
    REQUIRE(second->name == first->name);
    REQUIRE(second->cached == TokenCount { 12'500 });
    std::set<std::string> used;
    for (int index = 0; index < 30; ++index)
        used.insert(directory.choose(request(longPrompt), start)->name);
    REQUIRE(used.size() == 2);
}

TEST_CASE("draining, excluded and disallowed endpoints are not chosen")
{
    auto leaving = record("x", "a", 2);
    leaving.draining = true;
    auto directory = directoryOf({ record("x", "a"), leaving, record("y", "a"), record("z", "b") });
    auto wanted = request();
    wanted.excluded = { "y" };
    REQUIRE(directory.choose(wanted, start)->name == "z");
    wanted.domainAllowed = [](std::string_view domain) { return domain != "b"; };
    REQUIRE_FALSE(directory.choose(wanted, start));
}

// Guards against a late record that makes a draining endpoint eligible again.
TEST_CASE("records of an earlier start or sequence are ignored")
{
    auto leaving = record("x", "a", 5);
    leaving.draining = true;
    auto directory = directoryOf({ leaving, record("x", "a", 4) });
    REQUIRE_FALSE(directory.choose(request(), start));
    auto restarted = record("x", "a", 1);
    restarted.startedAt = 11;
    directory.apply(restarted, start);
    REQUIRE(directory.choose(request(), start));
}

// Guards against overloading a cold endpoint: its rate applies to every second.
// Guards against requests to an endpoint that is about to exit: while the store is unavailable, or when the endpoint
// never reports that it drains, its record does not tell.
TEST_CASE("an endpoint whose answer says that it is leaving is not chosen again")
{
    auto directory = directoryOf({ record("x", "a") });
    const auto choice = directory.choose(request(), start);
    REQUIRE(choice);
    directory.finish(*choice, DispatchResult::Served, {}, start);
    REQUIRE(directory.markLeaving(*choice, start));
    REQUIRE_FALSE(directory.markLeaving(*choice, start));
    REQUIRE_FALSE(directory.choose(request(), start));
    SECTION("whatever later records of the same start say")
    {
        directory.apply(record("x", "a", 2), start + Seconds(1));
        REQUIRE_FALSE(directory.choose(request(), start + Seconds(1)));
    }
    SECTION("also when its record expires and returns")
    {
        directory.remove("x");
        directory.apply(record("x", "a", 3), start + Seconds(5));
        REQUIRE_FALSE(directory.choose(request(), start + Seconds(5)));
    }
    SECTION("until it has started again, after which late answers of the earlier start count no more")
    {
        auto restarted = record("x", "a", 1);
        restarted.startedAt += 5;
        directory.apply(restarted, start + Seconds(5));
        REQUIRE(directory.choose(request(), start + Seconds(5)));
        REQUIRE_FALSE(directory.markLeaving(*choice, start + Seconds(5)));
        REQUIRE(directory.choose(request(), start + Seconds(5)));
    }
}

TEST_CASE("requests to a cold endpoint stay within its rate")
{
    auto cold = record("x", "a");
    cold.coldLeft = Seconds(10);
    auto directory = directoryOf({ cold });
    int sent = 0;
    for (int step = 0; step < 5000; ++step) {
        const auto now = start + Milliseconds(step);
        if (const auto choice = directory.choose(request(), now)) {
            ++sent;
            directory.finish(*choice, DispatchResult::Served, {}, now);
        }
    }
    REQUIRE(sent >= 45);
    REQUIRE(sent <= 52);
    directory.setColdShare([](std::string_view, double) { return 0.0; });
    REQUIRE_FALSE(directory.choose(request(), start + Seconds(6)));
    REQUIRE(directory.choose(request(), start + Seconds(11)));
}

TEST_CASE("an endpoint that just failed is not chosen while another one is available")
{
    auto directory = directoryOf({ record("x", "a"), record("y", "b") });
    const auto first = directory.choose(request(), start);
    REQUIRE(first->name == "x");
    directory.finish(*first, DispatchResult::Failed, {}, start);
    REQUIRE(directory.choose(request(), start)->name == "y");
    REQUIRE(directory.remove("y"));
    REQUIRE(directory.choose(request(), start)->name == "x");
}

// An endpoint serves for 2 s after it leaves. Guards against using it for longer when it leaves soon after the store
// came back: the delay must end when expired records have been renewed, no matter when the removal is noticed.
TEST_CASE("an endpoint without a record is kept only until expired records are renewed")
{
    REQUIRE(removalDelay(Seconds(0)) >= Seconds(2));
    for (auto since = Milliseconds(0); since <= Milliseconds(4000); since += Milliseconds(100))
        REQUIRE(since + removalDelay(since) <= std::max(since, Milliseconds(2500)));
    REQUIRE(removalDelay(Milliseconds(2500)) == Duration(0));
    REQUIRE(removalDelay(Duration::max()) == Duration(0));
}

// Guards against sending requests across a network partition while reachable endpoints are available.
TEST_CASE("endpoints of an unreachable domain are chosen last")
{
    auto directory = directoryOf({ record("x", "b"), record("y", "c") });
    const auto first = directory.choose(request(longPrompt), start);
    directory.finish(*first, DispatchResult::Served, longPrompt, start);
    directory.setUnreachableDomains({ first->domain });
    REQUIRE(directory.choose(request(longPrompt), start)->name != first->name);
    directory.setUnreachableDomains({ "b", "c" });
    REQUIRE(directory.choose(request(longPrompt), start)->name == first->name);
}

TEST_CASE("the choice takes the load of other instances into account")
{
    auto directory = directoryOf({ record("x", "a"), record("y", "a") });
    const auto x = idFromName<EndpointId>("x");
    const auto y = idFromName<EndpointId>("y");
    directory.applyFleetLoad({ { x, 6 } });
    REQUIRE(directory.choose(request(), start)->name == "y");
    directory.applyFleetLoad({ { y, 9 } });
    REQUIRE(directory.choose(request(), start)->name == "x");
}

// Guards against an instance that counts its own reported requests twice and so avoids the endpoints that it uses.
TEST_CASE("the load that an instance reported itself is not counted twice")
{
    auto directory = directoryOf({ record("x", "a"), record("y", "a") });
    const auto x = idFromName<EndpointId>("x");
    const auto first = directory.choose(request(), start);
    directory.finish(*first, DispatchResult::Served, {}, start);
    std::vector<DispatchChoice> held;
    for (int index = 0; index < 4; ++index)
        held.push_back(*directory.choose(request(), start));
    auto loads = directory.reportLoad();
    std::ranges::sort(loads, {}, &EndpointLoad::endpoint);
    REQUIRE(loads.size() == 2);
    REQUIRE(loads[0].outstanding == 2);
    directory.applyFleetLoad(loads);
    for (const auto& choice : held)
        directory.finish(choice, DispatchResult::Served, {}, start);
    // The instance's own requests have ended, and the other instances have none.
    REQUIRE(directory.reportLoad().empty());
    directory.applyFleetLoad({ { x, 1 } });
    REQUIRE(directory.choose(request(), start)->name == "y");
}

TEST_CASE("the fleet load is the sum of the recent reports of instances and other domains")
{
    LoadTable table;
    table.applyInstanceLoad({ 1 }, { { { 7 }, 2 } }, start);
    table.applyInstanceLoad({ 2 }, { { { 7 }, 1 }, { { 8 }, 3 } }, start);
    table.applyInstanceLoad({ 2 }, { { { 7 }, 4 } }, start + Milliseconds(500));
    table.applyDomainLoad("b", { { { 9 }, 5 } }, start + Milliseconds(500));
    const auto domain = table.domainLoad(start + Milliseconds(600));
    REQUIRE(domain.size() == 1);
    REQUIRE(domain[0].outstanding == 6);
    const auto fleet = table.fleetLoad(start + Milliseconds(1000));
    REQUIRE(fleet.size() == 2);
    REQUIRE(fleet[0].outstanding == 4);
    REQUIRE(fleet[1].outstanding == 5);
}

TEST_CASE("connections to an endpoint stay within the share of this instance")
{
    auto directory = directoryOf({ record("x", "a") });
    directory.setConnectionShare(0.05);
    for (int index = 0; index < 5; ++index)
        REQUIRE(directory.choose(request(), start));
    REQUIRE_FALSE(directory.choose(request(), start));
}

TEST_CASE("the baseline takes endpoints in turn")
{
    EndpointDirectory::Init init;
    init.cost = roundRobinCost();
    EndpointDirectory directory(init);
    directory.setService("engines", 100, 0, true);
    for (const auto* name : { "x", "y", "z" })
        directory.apply(record(name, "a"), start);
    std::map<std::string, int> counts;
    for (int index = 0; index < 9; ++index)
        ++counts[directory.choose(request(longPrompt), start)->name];
    REQUIRE(counts == std::map<std::string, int> { { "x", 3 }, { "y", 3 }, { "z", 3 } });
}
