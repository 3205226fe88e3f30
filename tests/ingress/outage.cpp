#include "fixture.h"

#include "peridotramp/nodes.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

using namespace peridotramp;

namespace {

// Whether an instance keeps its part of both partitions and knows of all their reservations.
bool isComplete(const Ingress& instance)
{
    const auto state = boost::json::parse(instance.dump()).as_object();
    return state.at("kept_partitions").to_number<int>() == 2 && state.at("complete_partitions").to_number<int>() == 2;
}

std::uint16_t freePort()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
        context, { boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(0) });
    return acceptor.local_endpoint().port();
}

// A deployment whose third failure domain has no instance yet; the other two know the address that it will have.
struct LateDomain {
    LateDomain()
    {
        this->deployment.publish(1);
        const FleetMember third { "n3", "c", { "127.0.0.1", this->port }, 1 };
        this->deployment.fake.put(StoreTopic::Members, {}, third.name, encodeMember(third));
        this->second = this->deployment.startReady("n2", true, "b");
        this->first = this->deployment.startReady("n1", true, "a");
        for (const auto& instance : { this->first, this->second })
            REQUIRE(eventually([&] { return isComplete(*instance); }));
    }

    // Starts the instance of the third domain and waits until it knows its partitions.
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

} // namespace

// Guards against a store outage in which no program can begin, and against a budget that each failure domain hands out
// once more while the log cannot be asked.
TEST_CASE("while the store is away programs begin, and their budgets hold over all failure domains")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const std::vector<std::shared_ptr<Ingress>> instances { deployment.startReady("n1", true, "a"),
        deployment.startReady("n2", true, "b"), deployment.startReady("n3", true, "c") };
    for (const auto& instance : instances)
        REQUIRE(eventually([&] { return isComplete(*instance); }));
    deployment.fake.setMode(FakeStore::Mode::Refusing);
    int served = 0;
    for (int index = 0; index < 9; ++index) {
        const auto request = budgetedTurn("t" + std::to_string(index), "p1", "90");
        served += deployment.send(*instances[index % 3], request).second.status == 200 ? 1 : 0;
    }
    // Three turns of 30 tokens fit.
    REQUIRE(served >= 1);
    REQUIRE(served <= 3);
    REQUIRE(endpoint.requests().size() == static_cast<std::size_t>(served));
    // The reservations are stored when the store is back.
    deployment.fake.setMode(FakeStore::Mode::Serving);
    REQUIRE(eventually([&] { return deployment.fake.keys(StoreTopic::TokenReservations) >= 2; }));
}

// Guards against a budget that is handed out by an instance that cannot know what was reserved before it started.
TEST_CASE("an instance that has not read the reservations begins no program while the store is away")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto first = deployment.startReady("n1", true, "a");
    const auto second = deployment.startReady("n2", true, "b");
    deployment.fake.setMode(FakeStore::Mode::Refusing);
    // Nothing has been read so soon after the start.
    REQUIRE(deployment.send(*first, budgetedTurn("t1", "p1", "90")).second.status == 503);
    REQUIRE(endpoint.requests().empty());
}

// Guards against an instance that restarts during an outage of the store and refuses everything until it is over.
TEST_CASE("an instance that starts while the store is away takes the state from another one")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "desk", [](const HttpRequest& request, const HttpExchange& exchange) {
        exchange.respond({ 200, sealed(request), "done" });
    });
    deployment.publish(7);
    const auto port = freePort();
    deployment.fake.put(StoreTopic::Members, {}, "n2", encodeMember({ "n2", "a", { "127.0.0.1", port }, 1 }));
    const auto first = deployment.startReady("n1");
    deployment.fake.setMode(FakeStore::Mode::Refusing);
    const auto second = deployment.startInstance("n2", false, "a", port);
    REQUIRE(eventually([&] { return second->isReady(); }));
    REQUIRE(deployment.send(*second, Deployment::request("GET", "/r/x", "q1")).second.status == 200);
}

// Guards against a program that is told to come back for tokens that its own instance held before a restart: nobody
// can give these back, so the budget is spent.
TEST_CASE("tokens that an earlier incarnation of the instance held count as spent and not as held elsewhere")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    {
        const auto first = deployment.startReady("n1");
        REQUIRE(deployment.send(*first, budgetedTurn("t1", "p1", "30")).second.status == 200);
    }
    const auto again = deployment.startReady("n1", false);
    REQUIRE(deployment.send(*again, budgetedTurn("t2", "p1", "30")).second.status == 402);
    REQUIRE(endpoint.requests().size() == 1);
}

// Guards against an instance that restarts during an outage of the store and begins no program until it is over, and
// against budgets that it then hands out again.
TEST_CASE("an instance that starts while the store is away takes the reservations from all other failure domains")
{
    LateDomain late;
    auto& deployment = late.deployment;
    // Only the first instance and the store know of this reservation.
    REQUIRE(deployment.send(*late.first, budgetedTurn("t1", "p1", "30")).second.status == 200);
    deployment.fake.setMode(FakeStore::Mode::Refusing);
    const auto third = late.startThird();
    REQUIRE(deployment.send(*third, budgetedTurn("t2", "p1", "30")).second.status != 200);
    REQUIRE(deployment.send(*third, budgetedTurn("t3", "p2", "30")).second.status == 200);
    REQUIRE(late.endpoint.requests().size() == 2);
}

// Guards against a conversation that is lost when the instances that hold its newest turn fail one after the other
// while the store is away.
TEST_CASE("an instance that starts while the store is away takes the turns that are not stored yet")
{
    LateDomain late;
    auto& deployment = late.deployment;
    deployment.fake.setMode(FakeStore::Mode::Refusing);
    auto request = Deployment::request("POST", "/t/x", "t1");
    request.headers.push_back({ "Program-Id", "p1" });
    request.headers.push_back({ "Token-Count", "100,30" });
    // The answer waits for a third failure domain that holds the turn, in vain.
    deployment.send(*late.first, request);
    const auto third = late.startThird();
    const auto held = askInstance<HistoryReply>(deployment, *third, HistoryRequest { "t1", HistoryDepth::Memory });
    REQUIRE(held.turns.size() == 1);
}

// Guards against a conversation that is declared unknown for good although all instances that held its newest turn
// while the store was away may have failed.
TEST_CASE("after the store was away a turn that is not found is not called unknown while it may be kept")
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

// Guards against reservations that only the store and one instance know when the store is lost: if the instance fails,
// too, its tokens would be handed out again.
TEST_CASE("an instance that loses the store tells the keepers of other failure domains what it has reserved")
{
    LateDomain late;
    const auto programs
        = [&] { return boost::json::parse(late.second->dump()).as_object().at("programs").to_number<int>(); };
    REQUIRE(late.deployment.send(*late.first, budgetedTurn("t1", "p1", "30")).second.status == 200);
    REQUIRE(programs() == 0);
    late.deployment.loseStoreCall();
    REQUIRE(eventually([&] { return programs() == 1; }));
}

// Guards against turns beyond the size of one message that a restarted keeper is never told of.
TEST_CASE("an instance that starts while the store is away takes all unstored turns, however many")
{
    constexpr int count = 20;
    constexpr std::size_t turnBytes = 200'000;
    LateDomain late;
    late.deployment.fake.setMode(FakeStore::Mode::Refusing);
    const auto idOf = [](int index) { return "c" + std::to_string(index); };
    for (int index = 0; index < count; ++index)
        askInstance<DoneMessage>(late.deployment, *late.first,
            TurnCopy { { 4 }, { idOf(index), {}, "w", "in|", std::string(turnBytes, 'x') }, Seconds(60) });
    const auto third = late.startThird();
    int held = 0;
    for (int index = 0; index < count; ++index) {
        const HistoryRequest question { idOf(index), HistoryDepth::Memory };
        held += static_cast<int>(askInstance<HistoryReply>(late.deployment, *third, question).turns.size());
    }
    REQUIRE(held == count);
}
