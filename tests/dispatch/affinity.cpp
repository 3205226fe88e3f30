#include "peridotramp/dispatch.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace peridotramp;

namespace {

const TimePoint start { Seconds(100) };
constexpr std::int32_t slots = 6;

EndpointRecord serviceRecord(int number, const std::string& domain)
{
    EndpointRecord record;
    record.name = "endpoint-" + std::to_string(number);
    record.service = "desk";
    record.domain = domain;
    record.slots = slots;
    return record;
}

EndpointDirectory::Init directoryInit(const EndpointCostHook& cost)
{
    EndpointDirectory::Init init { "a" };
    init.cost = cost;
    return init;
}

// Returns a cost function that takes no account of objects.
EndpointCostHook withoutAffinity()
{
    DispatchWeights weights;
    weights.objectDistanceMs = 0;
    weights.objectGainMs = 0;
    return expectedTimeCost(weights);
}

DispatchRequest requestFor(ObjectId object)
{
    DispatchRequest request;
    request.service = "desk";
    request.object = object;
    return request;
}

struct LoadInit {
    std::size_t instances = 5;
    int endpoints = 8;
    int objects = 60;
    // Fraction of the requests that concern one and the same object.
    double hotFraction = 0;
    EndpointCostHook cost = expectedTimeCost({});
    unsigned seed = 1;
};

struct LoadResult {
    int requests = 0;
    // Requests for an object that its endpoint had handled before.
    int returned = 0;
    std::int32_t maxOutstanding = 0;
    std::set<std::string> hotEndpoints;
};

// Plays the pattern "callers that come back to an object through any instance": 40 requests a second of 60 ms each, at
// random instances. Instances learn of each other's requests in progress every 100 ms.
LoadResult playReturningCallers(const LoadInit& init)
{
    std::mt19937 random(init.seed);
    struct Running {
        TimePoint endsAt;
        std::size_t instance;
        DispatchChoice choice;
    };
    std::vector<EndpointDirectory> instances;
    for (std::size_t index = 0; index < init.instances; ++index) {
        auto& directory = instances.emplace_back(directoryInit(init.cost));
        directory.setService("desk", 1000, 0, false);
        for (int number = 0; number < init.endpoints; ++number)
            directory.apply(serviceRecord(number, "a"), start);
    }
    std::deque<Running> running;
    std::map<std::string, std::set<ObjectId>> handled;
    std::map<std::string, std::int32_t> outstanding;
    LoadResult result;
    constexpr Milliseconds interval { 25 };
    for (TimePoint now = start; now < start + Seconds(30); now += interval) {
        while (!running.empty() && running.front().endsAt <= now) {
            const auto& ended = running.front();
            instances[ended.instance].finish(ended.choice, DispatchResult::Served, {}, now);
            --outstanding[ended.choice.name];
            running.pop_front();
        }
        if ((now - start) % Milliseconds(100) == Duration(0)) {
            std::map<EndpointId, std::int32_t> sums;
            for (auto& instance : instances) {
                for (const auto& load : instance.reportLoad())
                    sums[load.endpoint] += load.outstanding;
            }
            std::vector<EndpointLoad> loads;
            for (const auto& [endpoint, total] : sums)
                loads.push_back({ endpoint, total });
            for (auto& instance : instances)
                instance.applyFleetLoad(loads);
        }
        const bool isHot = std::bernoulli_distribution(init.hotFraction)(random);
        const ObjectId object { isHot ? 0 : 1 + random() % static_cast<unsigned>(init.objects) };
        const auto instance = random() % init.instances;
        const auto choice = instances[instance].choose(requestFor(object), now);
        REQUIRE(choice);
        ++result.requests;
        result.returned += handled[choice->name].contains(object) ? 1 : 0;
        handled[choice->name].insert(object);
        if (isHot)
            result.hotEndpoints.insert(choice->name);
        result.maxOutstanding = std::max(result.maxOutstanding, ++outstanding[choice->name]);
        running.push_back({ now + Milliseconds(60), instance, *choice });
    }
    return result;
}

// A directory with an endpoint for each of the given domains.
EndpointDirectory directoryOf(const std::vector<std::string>& domains)
{
    EndpointDirectory directory(directoryInit(expectedTimeCost({})));
    directory.setService("desk", 1000, 2, false);
    directory.setColdShare([](std::string_view, double) { return 1.0; });
    for (std::size_t number = 0; number < domains.size(); ++number)
        directory.apply(serviceRecord(static_cast<int>(number), domains[number]), start);
    return directory;
}

} // namespace

// Guards against placement that ignores objects, so that an endpoint rarely handles an object twice.
TEST_CASE("callers that come back to an object reach an endpoint that has handled it")
{
    for (const unsigned seed : { 1U, 2U, 3U }) {
        const auto baseline = playReturningCallers({ .cost = withoutAffinity(), .seed = seed });
        const auto result = playReturningCallers({ .seed = seed });
        INFO("seed " << seed << ": " << result.returned << " of " << result.requests << " returned, without affinity "
                     << baseline.returned);
        // Of 60 objects, each is new once to its endpoint.
        CHECK(result.returned * 10 >= (result.requests - 60) * 9);
        CHECK(result.returned > baseline.returned);
        CHECK(result.maxOutstanding <= slots);
    }
}

// Guards against an object of many callers that fills one endpoint while others are idle.
TEST_CASE("requests for a hot object are spread over endpoints before one of them is full")
{
    const auto result = playReturningCallers({ .instances = 1, .hotFraction = 0.8 });
    REQUIRE(result.maxOutstanding <= slots);
    EndpointDirectory directory = directoryOf({ "a", "a", "a" });
    std::map<std::string, int> chosen;
    for (int index = 0; index < 3 * slots; ++index)
        ++chosen[directory.choose(requestFor({ 1 }), start)->name];
    REQUIRE(chosen.size() == 3);
    REQUIRE(std::ranges::all_of(chosen, [](const auto& entry) { return entry.second <= slots; }));
}

// Guards against affinity that keeps requests at an endpoint that should get none, or few.
TEST_CASE("affinity yields to an endpoint's drain, failure, cold start and removal")
{
    const ObjectId object { 7 };
    const auto chooseAnother = [&](const std::function<void(EndpointDirectory&, EndpointRecord)>& change) {
        auto directory = directoryOf({ "a", "a" });
        const auto first = directory.choose(requestFor(object), start);
        directory.finish(*first, DispatchResult::Served, {}, start);
        const auto repeated = directory.choose(requestFor(object), start);
        REQUIRE(repeated->name == first->name);
        directory.finish(*repeated, DispatchResult::Served, {}, start);
        auto record = serviceRecord(first->name.back() - '0', "a");
        record.sequence = 1;
        change(directory, record);
        return directory.choose(requestFor(object), start)->name != first->name;
    };
    REQUIRE(chooseAnother([](EndpointDirectory& directory, EndpointRecord record) {
        record.draining = true;
        directory.apply(record, start);
    }));
    REQUIRE(chooseAnother(
        [](EndpointDirectory& directory, const EndpointRecord& record) { directory.remove(record.name); }));
    REQUIRE(chooseAnother([&](EndpointDirectory& directory, const EndpointRecord&) {
        const auto failed = directory.choose(requestFor(object), start);
        directory.finish(*failed, DispatchResult::Failed, {}, start);
    }));
    REQUIRE(chooseAnother([&](EndpointDirectory& directory, EndpointRecord record) {
        record.coldLeft = Seconds(3);
        directory.apply(record, start);
        // Uses the only request that the cold endpoint may get now.
        REQUIRE(directory.choose(requestFor(object), start)->name == record.name);
    }));
}

// Guards against remembering the objects of an endpoint that has restarted and knows nothing of them.
TEST_CASE("an endpoint that has restarted does not count as having handled an object")
{
    auto directory = directoryOf({ "b", "a" });
    DispatchRequest onlyOther = requestFor({ 7 });
    onlyOther.domainAllowed = [](std::string_view domain) { return domain == "b"; };
    const auto choice = directory.choose(onlyOther, start);
    directory.finish(*choice, DispatchResult::Served, {}, start);
    REQUIRE(directory.choose(requestFor({ 7 }), start)->domain == "b");
    auto restarted = serviceRecord(0, "b");
    restarted.startedAt = 5;
    directory.apply(restarted, start);
    REQUIRE(directory.choose(requestFor({ 7 }), start)->domain == "a");
}

// Guards against memory that grows with the number of objects.
TEST_CASE("an endpoint's objects are bounded, and the one used least recently is forgotten first")
{
    EndpointDirectory::Init init { "a" };
    init.maxObjectsPerEndpoint = 2;
    std::vector<bool> handled;
    init.cost = [&](const EndpointCostView& view) {
        handled.push_back(view.handledObject);
        return 0.0;
    };
    EndpointDirectory directory(init);
    directory.setService("desk", 1000, 0, false);
    directory.apply(serviceRecord(0, "a"), start);
    const std::vector<std::uint64_t> objects { 1, 2, 1, 3, 1, 2 };
    for (std::size_t index = 0; index < objects.size(); ++index)
        directory.choose(requestFor({ objects[index] }), start + Milliseconds(static_cast<int>(index)));
    REQUIRE(handled == std::vector<bool> { false, false, true, false, true, false });
}
