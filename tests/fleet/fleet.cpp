#include "peridotramp/fleet.h"
#include "../soon.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <future>

using namespace peridotramp;

namespace {

// An instance that reports one request at an endpoint of its own name.
class Instance {
public:
    Instance(Runtime& runtime, const std::string& name, const std::string& domain, double capacity = 1)
        : endpoint(idFromName<EndpointId>(name))
        , shared(std::make_shared<Shared>())
    {
        FleetHooks hooks;
        hooks.fillStatus
            = [endpoint = this->endpoint](InstanceStatus& status) { status.loads.push_back({ endpoint, 1 }); };
        hooks.onStatus = [state = this->shared](const InstanceStatus& status) {
            const std::scoped_lock lock(state->mutex);
            state->loads.applyInstanceLoad(status.sender.id(), status.loads, RuntimeClock::now());
        };
        hooks.fillSummary = [state = this->shared](DomainSummary& summary) {
            const std::scoped_lock lock(state->mutex);
            summary.loads = state->loads.domainLoad(RuntimeClock::now());
        };
        hooks.onSummary = [state = this->shared](const DomainSummary& summary) {
            const std::scoped_lock lock(state->mutex);
            state->loads.applyDomainLoad(summary.sender.domain, summary.loads, RuntimeClock::now());
        };
        hooks.fillDigest = [state = this->shared](FleetDigest& digest) {
            const std::scoped_lock lock(state->mutex);
            digest.loads = state->loads.fleetLoad(RuntimeClock::now());
        };
        hooks.onDigest = [state = this->shared](const FleetDigest& digest) {
            const std::scoped_lock lock(state->mutex);
            state->digestLoads = digest.loads;
        };
        hooks.onMessage = [](const Message&, const RpcReply& reply) { reply.send(DoneMessage {}); };
        hooks.onPeriod = [] { };
        hooks.onMembersChanged = [] { };
        FleetInit init { { name, domain, { "127.0.0.1", 0 }, capacity }, { 1 } };
        this->fleet = std::make_unique<Fleet>(runtime, init, hooks);
    }

    // Number of endpoints in the last digest that the instance received.
    std::size_t endpointsInDigest() const
    {
        const std::scoped_lock lock(this->shared->mutex);
        return this->shared->digestLoads.size();
    }

    std::unique_ptr<Fleet> fleet;

private:
    struct Shared {
        std::mutex mutex;
        LoadTable loads;
        std::vector<EndpointLoad> digestLoads;
    };

    EndpointId endpoint;
    std::shared_ptr<Shared> shared;
};

// Two failure domains of three instances. Only the first instance of each domain is announced to all.
class Instances {
public:
    Instances()
    {
        for (const std::string domain : { "a", "b" }) {
            for (int index = 1; index <= 3; ++index)
                this->all.push_back(
                    std::make_unique<Instance>(this->runtime, domain + std::to_string(index), domain, 4 - index));
        }
        for (const auto& instance : this->all) {
            instance->fleet->announce(this->all[0]->fleet->self());
            instance->fleet->announce(this->all[3]->fleet->self());
        }
        this->runtime.start();
        for (const auto& instance : this->all)
            instance->fleet->start();
    }
    ~Instances()
    {
        this->runtime.stop();
        this->runtime.waitForStop();
    }

    bool allOf(const std::function<bool(const Instance&)>& condition) const
    {
        return std::ranges::all_of(
            this->all, [&](const std::unique_ptr<Instance>& instance) { return !instance || condition(*instance); });
    }

    Runtime runtime { { 3 } };
    std::vector<std::unique_ptr<Instance>> all;
};

} // namespace

// Guards against instances that know only the members announced to them, and against loads that do not reach all of
// them.
TEST_CASE("instances learn of each other and of the load of the whole fleet through their coordinators")
{
    Instances instances;
    REQUIRE(eventually([&] {
        return instances.allOf([](const Instance& instance) { return instance.fleet->reachable().size() == 5; });
    }));
    REQUIRE(eventually(
        [&] { return instances.allOf([](const Instance& instance) { return instance.endpointsInDigest() == 6; }); }));
    REQUIRE(instances.all[0]->fleet->isActiveCoordinator());
    REQUIRE(instances.all[3]->fleet->isActiveCoordinator());
    REQUIRE(instances.all[2]->fleet->coordinator()->member.name == "a1");
    REQUIRE(instances.all[0]->fleet->coordinatorOf(idFromName<DomainId>("b"))->name == "b1");
    REQUIRE_FALSE(instances.all[0]->fleet->coordinator());
}

// Guards against a failure domain that stays without a coordinator, and against a lost instance that counts as
// reachable.
TEST_CASE("the standby takes over when the active coordinator is lost, and all instances notice the loss")
{
    Instances instances;
    REQUIRE(eventually([&] {
        return instances.allOf([](const Instance& instance) { return instance.fleet->reachable().size() == 5; });
    }));
    instances.all[0].reset();
    REQUIRE(eventually([&] { return instances.all[1]->fleet->isActiveCoordinator(); }));
    REQUIRE(eventually([&] {
        return instances.allOf([](const Instance& instance) { return instance.fleet->reachable().size() == 4; });
    }));
    const auto other = instances.all[4].get();
    REQUIRE(eventually([&] {
        const auto known = instances.all[3]->fleet->coordinatorOf(idFromName<DomainId>("a"));
        return known && known->name == "a2";
    }));
    REQUIRE(other->fleet->isCoordinated());
}

// Guards against a stopping instance that remains the active coordinator.
TEST_CASE("a draining coordinator hands over to the standby")
{
    Instances instances;
    REQUIRE(eventually([&] {
        return instances.allOf([](const Instance& instance) { return instance.fleet->reachable().size() == 5; });
    }));
    instances.all[0]->fleet->setState({ true, true });
    REQUIRE(eventually([&] { return instances.all[1]->fleet->isActiveCoordinator(); }));
    REQUIRE(eventually([&] { return !instances.all[0]->fleet->isActiveCoordinator(); }));
    // The other domain learns of it with the next summary and digest.
    REQUIRE(eventually([&] {
        const auto seen = instances.all[4]->fleet->peers();
        const auto stopping = std::ranges::find(seen, "a1", [](const Peer& peer) { return peer.member.name; });
        return stopping->state.draining;
    }));
}

// Guards against an instance that waits for another one before it coordinates itself.
TEST_CASE("the only instance of a failure domain is its own coordinator")
{
    Runtime runtime { { 2 } };
    Instance alone(runtime, "x", "c");
    runtime.start();
    alone.fleet->start();
    REQUIRE(eventually([&] { return alone.fleet->isActiveCoordinator(); }));
    REQUIRE(eventually([&] { return alone.endpointsInDigest() == 1; }));
    REQUIRE(alone.fleet->size() == 1);
    runtime.stop();
    runtime.waitForStop();
}

// A report or request of another instance can arrive while the owner of the hooks is being constructed. The hooks then
// used members that did not exist yet: the process ended, or never learned of other instances.
TEST_CASE("an instance processes no message of other instances before it has started")
{
    Runtime runtime;
    runtime.start();
    std::atomic<int> calls = 0;
    FleetHooks hooks;
    hooks.fillStatus = [&](InstanceStatus&) { ++calls; };
    hooks.onStatus = [&](const InstanceStatus&) { ++calls; };
    hooks.fillSummary = [&](DomainSummary&) { ++calls; };
    hooks.onSummary = [&](const DomainSummary&) { ++calls; };
    hooks.fillDigest = [&](FleetDigest&) { ++calls; };
    hooks.onDigest = [&](const FleetDigest&) { ++calls; };
    hooks.onPeriod = [] { };
    hooks.onMembersChanged = [&] { ++calls; };
    hooks.onMessage = [&](const Message&, const RpcReply& reply) {
        ++calls;
        reply.send(DoneMessage {});
    };
    Fleet late(runtime, { { "late", "a", { "127.0.0.1", 0 }, 1 }, { 1 } }, hooks);
    DatagramSocket sender(runtime, {}, [](std::string_view) { });
    InstanceStatus status;
    status.sender = { "other", "a", { "127.0.0.1", 1 }, 1 };
    sender.send(late.self().address, encodeFleetDatagram(status));
    RpcClient peer(runtime, {});
    const auto ask = [&] {
        std::promise<bool> done;
        peer.call(late.self().address, ReleaseTokensRequest {}, Seconds(5), [&](const Result<Message>& answer, bool) {
            done.set_value(answer && std::holds_alternative<DoneMessage>(answer.value()));
        });
        return done.get_future().get();
    };
    REQUIRE_FALSE(ask());
    REQUIRE(calls == 0);
    late.start();
    REQUIRE(ask());
    runtime.stop();
    runtime.waitForStop();
}
