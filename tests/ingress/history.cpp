#include "fixture.h"

#include "peridotramp/fleet.h"

#include <boost/json.hpp>

using namespace peridotramp;

namespace {

// Returns a request of the program `p1` for a turn that continues another one.
HttpRequest continuation(const std::string& id, const std::string& previous)
{
    auto request = Deployment::request("POST", "/t/x", id);
    request.headers.push_back({ "Program-Id", "p1" });
    request.headers.push_back({ "Token-Count", "100,30" });
    request.headers.push_back({ "Previous-Turn", previous });
    return request;
}

// Returns the number of other instances that an instance has heard from.
std::int64_t heardPeers(const Ingress& instance)
{
    const auto state = boost::json::parse(instance.dump()).as_object();
    const auto& peers = state.at("peers").as_array();
    return std::ranges::count_if(peers, [](const auto& peer) { return peer.at("heard").as_bool(); });
}

// Returns the error with which an instance answers a message, or nothing when the answer is no error.
std::optional<Error> errorOf(Deployment& deployment, const Ingress& instance, Message message)
{
    RpcClient peer(deployment.runtime, {});
    auto done = std::make_shared<std::promise<std::optional<Error>>>();
    peer.call(
        instance.peerAddress(), std::move(message), Milliseconds(5000), [done](const Result<Message>& answer, bool) {
            done->set_value(answer ? std::optional<Error>() : answer.error());
        });
    return done->get_future().get();
}

// Returns a copy of a turn with an output of `bytes` bytes.
TurnCopy turnCopyOf(const std::string& id, std::size_t bytes)
{
    return { { 4 }, { id, {}, "w", "in|", std::string(bytes, 'x') }, Seconds(60) };
}

bool holds(Deployment& deployment, const Ingress& instance, const std::string& id)
{
    return callInstance<HistoryReply>(deployment, instance, HistoryRequest { id, HistoryScope::Memory }).turns.size()
        == 1;
}

// An instance of another failure domain that sends its status but answers no message, like one that is starved of CPU.
struct SilentInstance {
    SilentInstance(Deployment& deployment, const Ingress& other, const std::string& otherName)
        : fleet(deployment.runtime, { { "silent", "b", { "127.0.0.1", 0 }, 1 }, { 7 } }, this->hooks())
    {
        this->fleet.announce({ otherName, "a", other.peerAddress(), 1 });
        this->fleet.start();
        deployment.fakeStore.put(StoreTopic::Members, {}, "silent", encodeMember(this->fleet.self()));
    }

    FleetHooks hooks()
    {
        FleetHooks silent;
        silent.fillStatus = [](InstanceStatus&) { };
        silent.onStatus = [](const InstanceStatus&) { };
        silent.fillSummary = [](DomainSummary&) { };
        silent.onSummary = [](const DomainSummary&) { };
        silent.fillDigest = [](FleetDigest&) { };
        silent.onDigest = [](const FleetDigest&) { };
        silent.onMessage = [this](const Message&, const RpcReply& reply) {
            const std::scoped_lock lock(this->mutex);
            this->unanswered.push_back(reply);
        };
        silent.onPeriod = [] { };
        silent.onMembersChanged = [] { };
        return silent;
    }

    std::mutex mutex;
    std::vector<RpcReply> unanswered;
    Fleet fleet;
};

} // namespace

// Guards against a persisted turn that is reported as unknown by a process that cannot know whether the store was
// available before it started. If not, the turn may have been held only by instances that have failed since.
TEST_CASE("a restarted instance alone does not report a turn as unknown")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto restarted = deployment.startReady("n1", false);
    for (const auto* id : { "t1", "t2", "t3" })
        REQUIRE(deployment.send(*restarted, continuation(id, "unknown")).second.status == 503);
}

// Guards against instances that cannot report any turn as unknown for the whole retention after each planned restart.
TEST_CASE("a restarted instance reports a turn as unknown if another one had access to the store all the time")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto first = deployment.startReady("n1", true, "b");
    const auto restarted = deployment.startReady("n2", false, "a");
    REQUIRE(eventually([&] { return heardPeers(*restarted) == 1; }));
    REQUIRE(
        eventually([&] { return deployment.send(*restarted, continuation("t1", "unknown")).second.status == 404; }));
}

// Guards against a persisted turn that is reported as unknown although an instance that may hold the only copy has not
// answered.
TEST_CASE("a turn is not reported as unknown while an instance of another failure domain does not answer")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto instance = deployment.startReady("n1");
    SilentInstance silent(deployment, *instance, "n1");
    REQUIRE(eventually([&] { return heardPeers(*instance) == 1; }));
    for (const auto* id : { "t1", "t2", "t3" })
        REQUIRE(deployment.send(*instance, continuation(id, "unknown")).second.status == 503);
}

// Guards against a refusal whose cause is not visible in the log.
TEST_CASE("a refusal for missing history names the turn, its partition and the instances that did not answer")
{
    Deployment deployment;
    deployment.publish(1);
    const auto instance = deployment.startReady("n1");
    SilentInstance silent(deployment, *instance, "n1");
    REQUIRE(eventually([&] { return heardPeers(*instance) == 1; }));
    BeginTurnRequest begin;
    begin.program = { 4 };
    begin.workspace = "w";
    begin.answerTimeout = Milliseconds(2000);
    begin.previousTurn = "t0";
    const auto error = errorOf(deployment, *instance, begin);
    REQUIRE(error);
    REQUIRE(error->kind == ErrorKind::NotReady);
    using Catch::Matchers::Contains;
    REQUIRE_THAT(error->detail, Contains("history not available: turn t0, partition 0 read to 0"));
    REQUIRE_THAT(error->detail, Contains("no store failure, started"));
    REQUIRE_THAT(error->detail, Contains("instances not answering: 1 (first silent in b)"));
}

// Guards against a turn whose answer is completed because of a copy that is never stored.
TEST_CASE("an instance whose write queue is full does not confirm the copy of a turn")
{
    Deployment deployment;
    deployment.publish(1);
    const auto instance = deployment.startReady("n1");
    deployment.fakeStore.setMode(FakeStore::Mode::Refusing);
    constexpr std::size_t copyBytes = std::size_t { 3 } * 1024 * 1024;
    int confirmed = 0;
    bool refused = false;
    for (int index = 0; index < 12 && !refused; ++index) {
        const auto error = errorOf(deployment, *instance, turnCopyOf("c" + std::to_string(index), copyBytes));
        refused = error.has_value();
        confirmed += refused ? 0 : 1;
    }
    REQUIRE(refused);
    deployment.fakeStore.setMode(FakeStore::Mode::Serving);
    REQUIRE(eventually(
        [&] { return deployment.fakeStore.keyCount(StoreTopic::Turns) == static_cast<std::size_t>(confirmed); }));
}

// Guards against the loss of unstored turns when their holder is shut down.
TEST_CASE("a holder that drains while the store is unavailable hands over its unstored turns")
{
    Deployment deployment;
    deployment.publish(1);
    const std::vector<std::shared_ptr<Ingress>> instances { deployment.startReady("n1", true, "a"),
        deployment.startReady("n2", true, "a") };
    const auto heard = [](const Ingress& instance) {
        const auto state = boost::json::parse(instance.dump()).as_object();
        return state.at("peers").as_array().size() == 1 && state.at("peers").as_array()[0].at("heard").as_bool();
    };
    for (const auto& instance : instances)
        REQUIRE(eventually([&] { return heard(*instance); }));
    deployment.fakeStore.setMode(FakeStore::Mode::Refusing);
    REQUIRE(!errorOf(deployment, *instances[0], turnCopyOf("c0", 100)));
    REQUIRE(holds(deployment, *instances[0], "c0"));
    instances[0]->drain([] { });
    REQUIRE(eventually([&] { return holds(deployment, *instances[1], "c0"); }));
}

// Guards against the loss of a conversation that only instances know which are not the holders of its partition: they
// stop without handing over what waits in their queues of writes.
TEST_CASE("a draining instance hands over unstored turns of partitions that it does not hold")
{
    Deployment deployment;
    deployment.publish(1);
    const auto first = deployment.startReady("n1", true, "a");
    const auto second = deployment.startReady("n2", true, "a");
    for (const auto& instance : { first, second })
        REQUIRE(eventually([&] { return heardPeers(*instance) == 1; }));
    const auto heldPartitions = [](const Ingress& instance) {
        return boost::json::parse(instance.dump()).as_object().at("kept_partitions").to_number<int>();
    };
    REQUIRE(eventually([&] { return heldPartitions(*first) + heldPartitions(*second) == 2; }));
    auto stopping = first;
    auto remaining = second;
    // Not the holder of both partitions.
    if (heldPartitions(*first) == 2)
        std::swap(stopping, remaining);
    deployment.fakeStore.setMode(FakeStore::Mode::Refusing);
    for (const std::uint64_t program : { 4, 5 }) {
        auto copy = turnCopyOf("c" + std::to_string(program), 100);
        copy.program = { program };
        copy.turn.program = copy.program;
        REQUIRE(!errorOf(deployment, *stopping, copy));
    }
    stopping->drain([] { });
    for (const auto* id : { "c4", "c5" })
        REQUIRE(eventually([&] { return holds(deployment, *remaining, id); }));
}
