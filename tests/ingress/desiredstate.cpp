#include "fixture.h"

#include <boost/json.hpp>

using namespace peridotramp;

namespace {

// Reads of the store that are not answered while `silent` is set, as when an answer is lost. Other calls go on.
struct SilentReads {
    explicit SilentReads(Deployment& deployment)
        : deployment(deployment)
    {
    }

    MetadataStore client()
    {
        auto store = this->deployment.fakeStore.client();
        const auto read = store.read;
        store.read = [this, read](StoreTopic topic, StorePartition partition, Offset from, Milliseconds wait,
                         const MetadataStore::ReadHook& hook) {
            if (!this->silent)
                read(topic, partition, from, wait, [this, hook](Result<StoreRead> result) {
                    if (!this->silent)
                        hook(std::move(result));
                });
        };
        return store;
    }

    Deployment& deployment;
    std::atomic<bool> silent = false;
};

boost::json::object stateOf(const Ingress& instance) { return boost::json::parse(instance.dump()).as_object(); }

bool hasVersion(const Ingress& instance, int version)
{
    return stateOf(instance).at("desired_version").to_number<int>() == version;
}

bool hasEndpoints(const Ingress& instance) { return !stateOf(instance).at("endpoints").as_array().empty(); }

// An instance that reads the store in one failure domain, and two in another one whose reads can be silenced.
struct SilencedDomain {
    SilencedDomain()
    {
        this->deployment.addEndpoint("i-1", "desk", [](const HttpRequest& request, const HttpExchange& exchange) {
            exchange.respond({ 200, answerHeaders(request), "done" });
        });
        this->deployment.publish(1);
        this->deployment.startReady("n1", true, "a");
        this->deployment.storeClient = [this] { return this->reads.client(); };
        this->silenced = { this->deployment.startReady("n2", true, "b"), this->deployment.startReady("n3", true, "b") };
    }

    bool all(const std::function<bool(const Ingress&)>& condition)
    {
        return eventually([&] {
            return std::ranges::all_of(
                this->silenced, [&](const std::shared_ptr<Ingress>& instance) { return condition(*instance); });
        });
    }

    Deployment deployment;
    SilentReads reads { deployment };
    std::vector<std::shared_ptr<Ingress>> silenced;
};

} // namespace

// Guards against an instance that goes on with an older desired state, because its own read of the store is not
// answered, although other instances have the newer one: it accepts withdrawn keys and refuses added ones.
TEST_CASE("instances whose reads of the store are not answered get a newer desired state from another instance")
{
    SilencedDomain domain;
    domain.reads.silent = true;
    domain.deployment.publish(2, R"(["key-new"])");
    REQUIRE(domain.all([](const Ingress& instance) { return hasVersion(instance, 2); }));
    auto request = Deployment::request("GET", "/r/x", "q1");
    REQUIRE(domain.deployment.send(*domain.silenced[0], request).second.status == 401);
    request.headers.back().value = "Bearer key-new";
    REQUIRE(domain.deployment.send(*domain.silenced[0], request).second.status == 200);
    // A second change, while the first one did not come from the store either.
    domain.deployment.publish(3);
    REQUIRE(domain.all([](const Ingress& instance) { return hasVersion(instance, 3); }));
}

// Guards against requests that are sent to an endpoint that has left, because the own read of the store is not
// answered.
TEST_CASE("instances whose reads of the store are not answered learn from another instance that an endpoint has left")
{
    SilencedDomain domain;
    REQUIRE(domain.all(hasEndpoints));
    domain.reads.silent = true;
    domain.deployment.fakeStore.put(StoreTopic::Endpoints, {}, "i-1", "");
    REQUIRE(domain.all([](const Ingress& instance) { return !hasEndpoints(instance); }));
}

// Guards against requests to an evacuated domain, because the own read of the store is not answered, and against an
// evacuation that is lost once the store answers again.
TEST_CASE("an evacuation arrives from another instance and lasts when the store answers again")
{
    SilencedDomain domain;
    domain.reads.silent = true;
    domain.deployment.fakeStore.put(StoreTopic::DesiredState, {}, "evacuate/a", "{}");
    const auto isEvacuated
        = [](const Ingress& instance) { return !stateOf(instance).at("evacuated").as_array().empty(); };
    REQUIRE(domain.all(isEvacuated));
    domain.reads.silent = false;
    domain.deployment.publish(2);
    REQUIRE(domain.all([](const Ingress& instance) { return hasVersion(instance, 2); }));
    REQUIRE(domain.all(isEvacuated));
}
