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
            state->told = digest.loads;
        };
        hooks.onMessage = [](const Message&, const RpcReply& reply) { reply.send(DoneMessage {}); };
        hooks.onPeriod = [] { };
        hooks.onMembersChanged = [] { };
        FleetInit init { { name, domain, { "127.0.0.1", 0 }, capacity }, { 1 } };
        this->fleet = std::make_unique<Fleet>(runtime, init, hooks);
    }

    // Number of endpoints of which the instance has been told.
    std::size_t endpointsTold() const
    {
        const std::scoped_lock lock(this->shared->mutex);
        return this->shared->told.size();
    }

    std::unique_ptr<Fleet> fleet;

private:
    struct Shared {
        std::mutex mutex;
        LoadTable loads;
        std::vector<EndpointLoad> told;
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

// Guards against instances that know only what the store told them, and against loads that do not reach everyone.
TEST_CASE("instances learn of each other and of the load of the whole fleet through their coordinators")
{
    Instances instances;
    REQUIRE(holdsSoon([&] {
        return instances.allOf([](const Instance& instance) { return instance.fleet->reachable().size() == 5; });
    }));
    REQUIRE(holdsSoon(
        [&] { return instances.allOf([](const Instance& instance) { return instance.endpointsTold() == 6; }); }));
    REQUIRE(instances.all[0]->fleet->isActiveCoordinator());
    REQUIRE(instances.all[3]->fleet->isActiveCoordinator());
    REQUIRE(instances.all[2]->fleet->coordinator()->member.name == "a1");
    REQUIRE(instances.all[0]->fleet->coordinatorOf(idFromName<DomainId>("b"))->name == "b1");
    REQUIRE_FALSE(instances.all[0]->fleet->coordinator());
}

// Guards against a domain that stays without a coordinator, and against a lost instance that counts as reachable.
TEST_CASE("the next instance coordinates when the first is lost, and the fleet learns of the loss")
{
    Instances instances;
    REQUIRE(holdsSoon([&] {
        return instances.allOf([](const Instance& instance) { return instance.fleet->reachable().size() == 5; });
    }));
    instances.all[0].reset();
    REQUIRE(holdsSoon([&] { return instances.all[1]->fleet->isActiveCoordinator(); }));
    REQUIRE(holdsSoon([&] {
        return instances.allOf([](const Instance& instance) { return instance.fleet->reachable().size() == 4; });
    }));
    const auto other = instances.all[4].get();
    REQUIRE(holdsSoon([&] {
        const auto known = instances.all[3]->fleet->coordinatorOf(idFromName<DomainId>("a"));
        return known && known->name == "a2";
    }));
    REQUIRE(other->fleet->isCoordinated());
}

// Guards against an instance that is stopping and is still asked to decide.
TEST_CASE("a draining coordinator gives way")
{
    Instances instances;
    REQUIRE(holdsSoon([&] {
        return instances.allOf([](const Instance& instance) { return instance.fleet->reachable().size() == 5; });
    }));
    instances.all[0]->fleet->setState({ true, true });
    REQUIRE(holdsSoon([&] { return instances.all[1]->fleet->isActiveCoordinator(); }));
    REQUIRE(holdsSoon([&] { return !instances.all[0]->fleet->isActiveCoordinator(); }));
    // The other domain learns of it with the next summary and digest.
    REQUIRE(holdsSoon([&] {
        const auto seen = instances.all[4]->fleet->peers();
        const auto stopping = std::ranges::find(seen, "a1", [](const Peer& peer) { return peer.member.name; });
        return stopping->state.draining;
    }));
}

TEST_CASE("an instance alone in its domain coordinates itself")
{
    Runtime runtime { { 2 } };
    Instance alone(runtime, "x", "c");
    runtime.start();
    alone.fleet->start();
    REQUIRE(holdsSoon([&] { return alone.fleet->isActiveCoordinator(); }));
    REQUIRE(holdsSoon([&] { return alone.endpointsTold() == 1; }));
    REQUIRE(alone.fleet->size() == 1);
    runtime.stop();
    runtime.waitForStop();
}

// Guards against a process that ends or stays without other instances because one of their reports or requests arrives
// while it is being built: the hooks then reach members that do not exist yet.
TEST_CASE("an instance takes nothing from others before it has started")
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
    sender.send(late.self().address, encodeBeacon(status));
    RpcClient peer(runtime, {});
    const auto ask = [&] {
        std::promise<bool> done;
        peer.call(late.self().address, GiveBackRequest {}, Seconds(5), [&](const Result<Message>& answer, bool) {
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
