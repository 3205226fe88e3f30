#include "fixture.h"

#include "peridotramp/fleet.h"
#include "peridotramp/nodes.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <random>

using namespace peridotramp;

namespace {

// Returns whether an instance is the holder of both partitions and knows all their reservations.
bool isComplete(const Ingress& instance)
{
    const auto state = boost::json::parse(instance.dump()).as_object();
    return state.at("kept_partitions").to_number<int>() == 2 && state.at("complete_partitions").to_number<int>() == 2;
}

// Returns a port that an instance can bind later. It is below the range from which outgoing connections take theirs, as
// such a connection could take the port in the meantime.
std::uint16_t freePort()
{
    namespace ip = boost::asio::ip;
    boost::asio::io_context context;
    std::random_device random;
    std::uniform_int_distribution<std::uint16_t> ports(12'000, 30'000);
    while (true) {
        const auto port = ports(random);
        boost::system::error_code error;
        ip::tcp::acceptor acceptor(context);
        ip::udp::socket socket(context);
        acceptor.open(ip::tcp::v4());
        socket.open(ip::udp::v4());
        acceptor.bind({ ip::address_v4::loopback(), port }, error);
        if (!error)
            socket.bind({ ip::address_v4::loopback(), port }, error);
        if (!error)
            return port;
    }
}

// Returns the number of other instances that an instance has heard from.
std::int64_t heardPeers(const Ingress& instance)
{
    const auto state = boost::json::parse(instance.dump()).as_object();
    return std::ranges::count_if(
        state.at("peers").as_array(), [](const auto& peer) { return peer.as_object().at("heard").as_bool(); });
}

// A deployment of three failure domains. The third has no instance yet, but the other two know its future address, and
// reach each other.
struct LateDomain {
    LateDomain()
    {
        this->deployment.publish(1);
        const FleetMember third { "n3", "c", { "127.0.0.1", this->port }, 1 };
        this->deployment.fakeStore.put(StoreTopic::Members, {}, third.name, encodeMember(third));
        this->second = this->deployment.startReady("n2", true, "b");
        this->first = this->deployment.startReady("n1", true, "a");
        for (const auto& instance : { this->first, this->second })
            REQUIRE(eventually([&] { return isComplete(*instance) && heardPeers(*instance) == 1; }));
    }

    // Starts the instance of the third domain and waits until it has loaded its partitions.
    std::shared_ptr<Ingress> startThird()
    {
        auto third = this->deployment.startInstance("n3", false, "c", this->port);
        REQUIRE(eventually([&] { return third->isReady() && isComplete(*third); }));
        return third;
    }

    Deployment deployment;
    FakeEndpoint& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    std::uint16_t port = freePort();
    std::shared_ptr<Ingress> first;
    std::shared_ptr<Ingress> second;
};

// Returns a store client whose appends to a topic fail, like those of an instance that ends before the store is
// available again.
MetadataStore withoutAppends(Deployment& deployment, StoreTopic failing)
{
    auto client = deployment.fakeStore.client();
    client.append = [failing, append = client.append](StoreTopic topic, StorePartition partition,
                        const std::vector<StoreRecord>& records, MetadataStore::AppendHook hook) {
        if (topic == failing)
            hook(Error { ErrorKind::LogUnavailable, Outcome::NotRun });
        else
            append(topic, partition, records, std::move(hook));
    };
    return client;
}

} // namespace

// Guards against a store outage in which no program can begin, and in which each failure domain grants the whole budget
// because it cannot read the log.
TEST_CASE("while the store is unavailable programs can begin, and budgets apply across failure domains")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const std::vector<std::shared_ptr<Ingress>> instances { deployment.startReady("n1", true, "a"),
        deployment.startReady("n2", true, "b"), deployment.startReady("n3", true, "c") };
    for (const auto& instance : instances)
        REQUIRE(eventually([&] { return isComplete(*instance); }));
    deployment.fakeStore.setMode(FakeStore::Mode::Refusing);
    int served = 0;
    for (int index = 0; index < 9; ++index) {
        const auto request = budgetedTurn("t" + std::to_string(index), "p1", "90");
        served += deployment.send(*instances[index % 3], request).second.status == 200 ? 1 : 0;
    }
    // The budget is sufficient for three turns of 30 tokens.
    REQUIRE(served >= 1);
    REQUIRE(served <= 3);
    REQUIRE(endpoint.requests().size() == static_cast<std::size_t>(served));
    // The reservations are stored when the store is available again.
    deployment.fakeStore.setMode(FakeStore::Mode::Serving);
    REQUIRE(eventually([&] { return deployment.fakeStore.keyCount(StoreTopic::TokenReservations) >= 2; }));
}

// Guards against a budget that is granted by an instance that does not know the reservations from before its start.
TEST_CASE("an instance that has not read the reservations begins no program while the store is unavailable")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto first = deployment.startReady("n1", true, "a");
    const auto second = deployment.startReady("n2", true, "b");
    deployment.fakeStore.setMode(FakeStore::Mode::Refusing);
    // The reservations have not been read so soon after the start.
    REQUIRE(deployment.send(*first, budgetedTurn("t1", "p1", "90")).second.status == 503);
    REQUIRE(endpoint.requests().empty());
}

// Guards against an instance that is restarted during an outage of the store and refuses all requests until its end.
TEST_CASE("an instance that starts while the store is unavailable gets the desired state from another one")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "desk", [](const HttpRequest& request, const HttpExchange& exchange) {
        exchange.respond({ 200, answerHeaders(request), "done" });
    });
    deployment.publish(7);
    const auto port = freePort();
    deployment.fakeStore.put(StoreTopic::Members, {}, "n2", encodeMember({ "n2", "a", { "127.0.0.1", port }, 1 }));
    const auto first = deployment.startReady("n1");
    deployment.fakeStore.setMode(FakeStore::Mode::Refusing);
    const auto second = deployment.startInstance("n2", false, "a", port);
    REQUIRE(eventually([&] { return second->isReady(); }));
    REQUIRE(deployment.send(*second, Deployment::request("GET", "/r/x", "q1")).second.status == 200);
}

// Guards against a refusal that invites to retry although the missing tokens were reserved by the instance before its
// restart: nobody can release these, so the budget is spent.
TEST_CASE("tokens reserved by an earlier incarnation of the instance count as spent")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    {
        const auto first = deployment.startReady("n1");
        REQUIRE(deployment.send(*first, budgetedTurn("t1", "p1", "30")).second.status == 200);
    }
    const auto restarted = deployment.startReady("n1", false);
    REQUIRE(deployment.send(*restarted, budgetedTurn("t2", "p1", "30")).second.status == 402);
    REQUIRE(endpoint.requests().size() == 1);
}

// Guards against an instance that is restarted during an outage of the store and begins no program until its end, or
// that grants budgets that are reserved already.
TEST_CASE("an instance that starts while the store is unavailable loads the reservations from all other domains")
{
    LateDomain late;
    auto& deployment = late.deployment;
    // Only the first instance and the store know of this reservation.
    REQUIRE(deployment.send(*late.first, budgetedTurn("t1", "p1", "30")).second.status == 200);
    deployment.fakeStore.setMode(FakeStore::Mode::Refusing);
    const auto third = late.startThird();
    REQUIRE(deployment.send(*third, budgetedTurn("t2", "p1", "30")).second.status != 200);
    REQUIRE(deployment.send(*third, budgetedTurn("t3", "p2", "30")).second.status == 200);
    REQUIRE(late.endpoint.requests().size() == 2);
}

// Guards against turns that are lost when all processes end at once while the store is slow, because they were answered
// when only other instances had them.
TEST_CASE("the answer of a turn waits for a slow store, and is not completed with copies at other instances")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const std::vector<std::shared_ptr<Ingress>> instances { deployment.startReady("n1", true, "a"),
        deployment.startReady("n2", true, "b"), deployment.startReady("n3", true, "c") };
    for (const auto& instance : instances)
        REQUIRE(eventually([&] { return isComplete(*instance); }));
    constexpr Milliseconds storeDelay { 400 };
    deployment.fakeStore.setAppendDelay(storeDelay);
    auto request = Deployment::request("POST", "/t/x", "t1");
    request.headers.push_back({ "Program-Id", "p1" });
    request.headers.push_back({ "Token-Count", "100,30" });
    const auto begin = RuntimeClock::now();
    const auto [result, response] = deployment.send(*instances.front(), request);
    REQUIRE(result.error == ErrorKind::None);
    REQUIRE(response.status == 200);
    REQUIRE(RuntimeClock::now() - begin >= storeDelay);
    for (const auto& other : { instances[1], instances[2] }) {
        const HistoryRequest question { "t1", HistoryScope::Memory };
        REQUIRE(callInstance<HistoryReply>(deployment, *other, question).turns.empty());
    }
}

// Guards against the loss of a conversation when the instances that hold its newest turn fail one after the other while
// the store is unavailable.
TEST_CASE("an instance that starts while the store is unavailable loads the turns that are not stored yet")
{
    LateDomain late;
    auto& deployment = late.deployment;
    deployment.fakeStore.setMode(FakeStore::Mode::Refusing);
    auto request = Deployment::request("POST", "/t/x", "t1");
    request.headers.push_back({ "Program-Id", "p1" });
    request.headers.push_back({ "Token-Count", "100,30" });
    // The answer is not completed, as it waits for a copy in the third failure domain.
    deployment.send(*late.first, request);
    const auto third = late.startThird();
    const auto held = callInstance<HistoryReply>(deployment, *third, HistoryRequest { "t1", HistoryScope::Memory });
    REQUIRE(held.turns.size() == 1);
}

// Guards against a turn that is reported as unknown although it may have been answered while the store was unavailable
// and lost with all instances that held it.
TEST_CASE("after a store outage a turn that is not found is not reported as unknown within the retention")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto instance = deployment.startReady("n1");
    auto request = Deployment::request("POST", "/t/x", "t1");
    request.headers.push_back({ "Program-Id", "p1" });
    request.headers.push_back({ "Token-Count", "100,30" });
    request.headers.push_back({ "Previous-Turn", "t0" });
    REQUIRE(eventually([&] { return deployment.send(*instance, request).second.status == 404; }));
    std::promise<void> failed;
    deployment.transport(
        { "GET", "/", {}, {} }, Milliseconds(100), [&](const HttpResult&, const HttpResponse&) { failed.set_value(); });
    failed.get_future().get();
    REQUIRE(deployment.send(*instance, request).second.status == 503);
}

// Guards against tokens that are granted twice because the store and the only instance that knows their reservation
// fail at the same time.
TEST_CASE("the holders of other failure domains know a reservation before the turn is answered")
{
    LateDomain late;
    const auto programs
        = [&] { return boost::json::parse(late.second->dump()).as_object().at("programs").to_number<int>(); };
    REQUIRE(programs() == 0);
    REQUIRE(late.deployment.send(*late.first, budgetedTurn("t1", "p1", "30")).second.status == 200);
    REQUIRE(programs() == 1);
    // It holds for each reservation of the program, not only for the first.
    const auto partition = StorePartition { static_cast<std::int64_t>(idFromName<ProgramId>("w/p2").value % 2) };
    for (int turn = 1; turn <= 4; ++turn) {
        const auto id = "u" + std::to_string(turn);
        REQUIRE(late.deployment.send(*late.first, budgetedTurn(id, "p2", "1000")).second.status == 200);
        const auto known = callInstance<PartitionReply>(late.deployment, *late.second, PartitionRequest { partition });
        const auto reserved
            = std::ranges::find(known.reservations, idFromName<ProgramId>("w/p2"), &TokenReservation::program);
        REQUIRE(reserved != known.reservations.end());
        REQUIRE(reserved->reserved.value >= 30 * turn);
    }
}

// Guards against a holder that lacks a reservation for good, because it did not answer when the reservation was sent to
// it.
TEST_CASE("a reservation is sent again to a holder of another failure domain until it confirms")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    std::atomic<int> refusals = 3;
    std::atomic<int> confirmed = 0;
    FleetHooks hooks;
    hooks.fillStatus = [](InstanceStatus&) { };
    hooks.onStatus = [](const InstanceStatus&) { };
    hooks.fillSummary = [](DomainSummary&) { };
    hooks.onSummary = [](const DomainSummary&) { };
    hooks.fillDigest = [](FleetDigest&) { };
    hooks.onDigest = [](const FleetDigest&) { };
    hooks.onPeriod = [] { };
    hooks.onMembersChanged = [] { };
    hooks.onMessage = [&](const Message& message, const RpcReply& reply) {
        const auto* notice = std::get_if<ReservationsNotice>(&message);
        if (!notice || refusals-- > 0) {
            reply.send(ErrorMessage { { ErrorKind::NotReady, Outcome::NotRun } });
            return;
        }
        confirmed += notice->reservations.empty() ? 0 : 1;
        reply.send(DoneMessage {});
    };
    Fleet holder(deployment.runtime, { { "n2", "b", { "127.0.0.1", 0 }, 1 }, { 7 } }, hooks);
    const auto instance = deployment.startReady("n1", true, "a");
    holder.announce({ "n1", "a", instance->peerAddress(), 1 });
    holder.start();
    deployment.fakeStore.put(StoreTopic::Members, {}, "n2", encodeMember(holder.self()));
    REQUIRE(eventually([&] {
        const auto state = boost::json::parse(instance->dump()).as_object();
        const auto& peers = state.at("peers").as_array();
        return !peers.empty() && peers.front().as_object().at("heard").as_bool();
    }));
    REQUIRE(deployment.send(*instance, budgetedTurn("t1", "p1", "30")).second.status == 200);
    REQUIRE(confirmed == 0);
    REQUIRE(eventually([&] { return confirmed >= 1; }));
}

// Guards against a budget that is granted twice: while an instance reads its record back from the log, the holders of
// the failure domains confirm a reservation to each other, because they do not reach the store.
TEST_CASE("a stored reservation counts only beside those that the other holders know")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    FleetHooks hooks;
    hooks.fillStatus = [](InstanceStatus&) { };
    hooks.onStatus = [](const InstanceStatus&) { };
    hooks.fillSummary = [](DomainSummary&) { };
    hooks.onSummary = [](const DomainSummary&) { };
    hooks.fillDigest = [](FleetDigest&) { };
    hooks.onDigest = [](const FleetDigest&) { };
    hooks.onPeriod = [] { };
    hooks.onMembersChanged = [] { };
    hooks.onMessage = [&](const Message& message, const RpcReply& reply) {
        if (const auto* copy = std::get_if<ReservationCopy>(&message))
            reply.send(ReservationCopyReply { true, { { copy->reservation.program, "n3/1", { 30 }, { 30 }, 1 } } });
        else
            reply.send(ErrorMessage { { ErrorKind::NotReady, Outcome::NotRun } });
    };
    Fleet holder(deployment.runtime, { { "n2", "b", { "127.0.0.1", 0 }, 1 }, { 7 } }, hooks);
    const auto instance = deployment.startReady("n1", true, "a");
    holder.announce({ "n1", "a", instance->peerAddress(), 1 });
    holder.start();
    deployment.fakeStore.put(StoreTopic::Members, {}, "n2", encodeMember(holder.self()));
    REQUIRE(eventually([&] { return heardPeers(*instance) == 1; }));
    REQUIRE(deployment.send(*instance, budgetedTurn("t1", "p1", "30")).second.status == 402);
    REQUIRE(endpoint.requests().empty());
}

// Guards against a budget that is granted twice: right after an outage, the log does not contain yet what the holders
// of the failure domains have confirmed to each other without it.
TEST_CASE("after a store outage an instance that does not know the partition reserves nothing of a spent budget")
{
    LateDomain late;
    auto& deployment = late.deployment;
    const auto third = late.startThird();
    const auto fourth = deployment.startReady("n4", false, "a");
    deployment.fakeStore.setMode(FakeStore::Mode::Refusing);
    const std::vector<std::string> programs { "p1", "p2", "p3", "p4" };
    deployment.failStoreCall();
    const auto isSpent = [&](const std::string& program) {
        return deployment.send(*late.first, budgetedTurn("t-" + program, program, "30")).second.status == 200;
    };
    for (const auto& program : programs)
        REQUIRE(eventually([&] { return isSpent(program); }));
    deployment.fakeStore.setMode(FakeStore::Mode::Serving);
    RpcClient peer(deployment.runtime, {});
    const auto begins = [&](const std::string& program, std::uint64_t hold) {
        BeginTurnRequest request;
        request.program = idFromName<ProgramId>("w/" + program);
        request.workspace = "w";
        request.hold = { hold };
        request.budget = TokenCount { 30 };
        request.maxTokens = TokenCount { 30 };
        request.answerTimeout = Milliseconds(500);
        request.timeLeft = Milliseconds(500);
        auto done = std::make_shared<std::promise<bool>>();
        peer.call(fourth->peerAddress(), request, Milliseconds(1000), [done](const Result<Message>& answer, bool) {
            done->set_value(answer && std::holds_alternative<BeginTurnReply>(answer.value()));
        });
        return done->get_future().get();
    };
    std::uint64_t hold = 1;
    for (int round = 0; round < 5; ++round) {
        for (const auto& program : programs)
            CHECK_FALSE(begins(program, hold++));
    }
}

// Guards against a budget that is granted twice: a process starts after the store's return, finds the log without what
// its instance had confirmed with the other holders, and takes the log as complete (review/4 with ORDER=return).
TEST_CASE("an instance that starts after a store outage asks the other holders before it reserves")
{
    // Less than the time after which a process takes the log as complete.
    constexpr Milliseconds storingDelay { 1000 };
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto usual = deployment.storeClient;
    const auto isStoring = std::make_shared<std::atomic<bool>>(false);
    deployment.storeClient = [&deployment, isStoring] {
        auto client = deployment.fakeStore.client();
        client.append = [isStoring, append = client.append](StoreTopic topic, StorePartition partition,
                            const std::vector<StoreRecord>& records, MetadataStore::AppendHook hook) {
            if (topic == StoreTopic::TokenReservations && !*isStoring)
                hook(Error { ErrorKind::LogUnavailable, Outcome::NotRun });
            else
                append(topic, partition, records, std::move(hook));
        };
        return client;
    };
    const std::vector<std::shared_ptr<Ingress>> others { deployment.startReady("n2", true, "b"),
        deployment.startReady("n3", true, "c") };
    for (const auto& instance : others)
        REQUIRE(eventually([&] { return isComplete(*instance) && heardPeers(*instance) == 1; }));
    // What an earlier process of the instance has confirmed with them.
    const TokenReservation confirmed { idFromName<ProgramId>("w/p1"), "n1/1", { 30 }, { 30 }, 1 };
    for (const auto& instance : others)
        REQUIRE(callInstance<ReservationCopyReply>(deployment, *instance, ReservationCopy { confirmed }).complete);
    deployment.storeClient = usual;
    const auto begin = RuntimeClock::now();
    const auto restarted = deployment.startReady("n1", false, "a");
    REQUIRE(eventually([&] {
        *isStoring = RuntimeClock::now() - begin > storingDelay;
        return deployment.send(*restarted, budgetedTurn("t1", "p1", "30")).second.status == 402;
    }));
    REQUIRE(endpoint.requests().empty());
}

// Guards against unstored turns that a restarted holder never gets because they exceed the size of one message.
TEST_CASE("an instance that starts while the store is away takes all unstored turns, however many")
{
    constexpr int count = 20;
    constexpr std::size_t turnBytes = 200'000;
    LateDomain late;
    late.deployment.fakeStore.setMode(FakeStore::Mode::Refusing);
    const auto idOf = [](int index) { return "c" + std::to_string(index); };
    for (int index = 0; index < count; ++index)
        callInstance<DoneMessage>(late.deployment, *late.first,
            TurnCopy { { 4 }, { idOf(index), {}, "w", "in|", std::string(turnBytes, 'x') }, Seconds(60) });
    const auto third = late.startThird();
    int held = 0;
    for (int index = 0; index < count; ++index) {
        const HistoryRequest question { idOf(index), HistoryScope::Memory };
        held += static_cast<int>(callInstance<HistoryReply>(late.deployment, *third, question).turns.size());
    }
    REQUIRE(held == count);
}

// Guards against a conversation that lives only in the memory of instances although the store has been available for
// long: the instances that had its turns in their queues of writes ended during the outage, and the others, which know
// the turns because the conversation went on there, wrote nothing. It was lost with the last of them.
TEST_CASE("an instance stores the turns that it knows when those that answered them can no longer do so")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto usual = deployment.storeClient;
    deployment.storeClient = [&] { return withoutAppends(deployment, StoreTopic::Turns); };
    const std::vector<std::shared_ptr<Ingress>> ending { deployment.startReady("n1", true, "a"),
        deployment.startReady("n2", true, "b"), deployment.startReady("n3", true, "c") };
    for (const auto& instance : ending)
        REQUIRE(eventually([&] { return isComplete(*instance); }));
    deployment.storeClient = usual;
    const auto remaining = deployment.startReady("n4", true, "b");
    REQUIRE(eventually([&] { return heardPeers(*remaining) == 3 && heardPeers(*ending.front()) == 3; }));
    const auto turn = [](const std::string& id, const std::string& previous) {
        auto request = Deployment::request("POST", "/t/x", id);
        request.headers.push_back({ "Program-Id", "p1" });
        request.headers.push_back({ "Token-Count", "100,30" });
        if (!previous.empty())
            request.headers.push_back({ "Previous-Turn", previous });
        return request;
    };
    REQUIRE(deployment.send(*ending.front(), turn("t1", {})).second.status == 200);
    REQUIRE(deployment.send(*remaining, turn("t2", "t1")).second.status == 200);
    REQUIRE(eventually([&] { return deployment.fakeStore.contains(StoreTopic::Turns, "t1"); }));
    REQUIRE(eventually([&] { return deployment.fakeStore.contains(StoreTopic::Turns, "t2"); }));
}

// Guards against a budget that is granted twice after an outage: the instances that had a reservation in their queues
// of writes ended one after the other, and those that took it over from them knew it and stored nothing.
TEST_CASE("an instance that takes over reservations during a store outage stores them")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto usual = deployment.storeClient;
    deployment.storeClient = [&] { return withoutAppends(deployment, StoreTopic::TokenReservations); };
    const std::vector<std::shared_ptr<Ingress>> ending { deployment.startReady("n1", true, "a"),
        deployment.startReady("n2", true, "b"), deployment.startReady("n3", true, "c") };
    for (const auto& instance : ending)
        REQUIRE(eventually([&] { return isComplete(*instance) && heardPeers(*instance) == 2; }));
    REQUIRE(deployment.send(*ending.front(), budgetedTurn("t1", "p1", "90")).second.status == 200);
    REQUIRE(deployment.fakeStore.keyCount(StoreTopic::TokenReservations) == 0);
    deployment.storeClient = usual;
    const auto successor = deployment.startInstance("n4", false, "a");
    deployment.failStoreCall();
    REQUIRE(eventually([&] { return heardPeers(*successor) == 3 && heardPeers(*ending.front()) == 3; }));
    ending.front()->drain([] { });
    REQUIRE(eventually([&] { return deployment.fakeStore.keyCount(StoreTopic::TokenReservations) >= 1; }));
}
