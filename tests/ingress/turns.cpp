#include "fixture.h"
#include "peridotramp/conversations.h"
#include "peridotramp/nodes.h"

using namespace peridotramp;

namespace {

HttpRequest turn(const std::string& path, const std::string& id, const std::string& body,
    const std::string& previous = {}, const std::string& budget = {})
{
    auto request = Deployment::request("POST", path, id);
    request.body = body;
    request.headers.push_back({ "Program-Id", "p1" });
    request.headers.push_back({ "Token-Count", "100,30" });
    if (!previous.empty())
        request.headers.push_back({ "Previous-Turn", previous });
    if (!budget.empty())
        request.headers.push_back({ "Token-Budget", budget });
    return request;
}

} // namespace

TEST_CASE("a kept conversation goes on at another instance with its whole history")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto first = deployment.startReady("n1");
    const auto second = deployment.startReady("n2");
    const auto answer = deployment.send(*first, turn("/t/x", "t1", "one|")).second;
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body == eventText(1) + eventText(2) + eventText(3));
    REQUIRE(holdsSoon([&] { return deployment.send(*second, turn("/t/x", "t2", "two|", "t1")).second.status == 200; }));
    REQUIRE(endpoint.requests().back().body == "one|d1\nd2\nd3\ntwo|");
    // Another workspace's turn does not exist for this one.
    auto stranger = turn("/t/x", "t3", "x", "t1");
    stranger.headers[3].value = "Bearer key-2";
    REQUIRE(deployment.send(*first, stranger).second.status == 404);
}

// Guards against history that dies with the instance that answered the turn.
TEST_CASE("a restarted instance finds the turns that its earlier incarnation had stored")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    {
        const auto ingress = deployment.startReady("n1");
        REQUIRE(deployment.send(*ingress, turn("/t/x", "t1", "one|")).second.status == 200);
    }
    const auto again = deployment.startReady("n1", false);
    REQUIRE(holdsSoon([&] { return deployment.send(*again, turn("/t/x", "t2", "two|", "t1")).second.status == 200; }));
    REQUIRE(endpoint.requests().back().body == "one|d1\nd2\nd3\ntwo|");
    // A turn that it does not know may be one that it has answered before, until the store has told all that it has.
    deployment.fake.setMode(FakeStore::Mode::Refusing);
    REQUIRE(deployment.send(*again, turn("/t/x", "t3", "x", "unknown")).second.status == 503);
    deployment.fake.setMode(FakeStore::Mode::Serving);
    // No instance has seen whether the store was away before the start, until turns of that time are not kept any more.
    for (const auto* id : { "t4", "t5", "t6" })
        REQUIRE(deployment.send(*again, turn("/t/x", id, "x", "unknown")).second.status == 503);
    RuntimeClock::advance(Seconds(60));
    REQUIRE(
        holdsSoon([&] { return deployment.send(*again, turn("/t/x", "t7", "x", "unknown")).second.status == 404; }));
}

// Guards against a turn that is called unknown by a process that does not know the other instances yet.
TEST_CASE("an instance that has not learned of the others is not certain that a turn is unknown")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    deployment.fake.put(StoreTopic::Members, {}, "n2", encodeMember({ "n2", "b", { "127.0.0.1", 1 }, 1 }));
    const auto ingress = deployment.startReady("n1", false);
    // The other instance does not answer.
    REQUIRE(deployment.send(*ingress, turn("/t/x", "t1", "x", "unknown")).second.status == 503);
    REQUIRE(deployment.send(*ingress, turn("/t/x", "t2", "x", "unknown")).second.status == 503);
}

// Guards against a conversation that ends because its next turn arrives in another failure domain, or belongs to a
// program of another name.
TEST_CASE("a kept conversation goes on in another failure domain and under another program")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto first = deployment.startReady("n1");
    const auto second = deployment.startReady("n2", true, "b");
    REQUIRE(deployment.send(*first, turn("/t/x", "t1", "one|")).second.status == 200);
    REQUIRE(holdsSoon([&] { return deployment.send(*second, turn("/t/x", "t2", "two|", "t1")).second.status == 200; }));
    REQUIRE(endpoint.requests().back().body == "one|d1\nd2\nd3\ntwo|");
    auto other = turn("/t/x", "t3", "three|", "t2");
    other.headers[4].value = "another program";
    REQUIRE(deployment.send(*first, other).second.status == 200);
    REQUIRE(endpoint.requests().back().body == "one|d1\nd2\nd3\ntwo|d1\nd2\nd3\nthree|");
}

// Guards against a turn whose beginning is dropped before it because it is older.
TEST_CASE("a turn keeps all that it continues for as long as itself")
{
    ConversationTable store;
    const TimePoint start { Seconds(100) };
    store.add({ "t1", "", "w", "in1", "out1\n" }, start + Seconds(60), StorePartition { 0 });
    REQUIRE(store.find("t1", start + Seconds(90)));
    REQUIRE(store.expire(start + Seconds(61)).empty());
    REQUIRE(store.expire(start + Seconds(91)).size() == 1);
}

TEST_CASE("a turn that continues an unknown one is refused as unknown by instances that are certain")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    REQUIRE(deployment.send(*ingress, turn("/t/x", "t1", "x", "unknown")).second.status == 404);
    REQUIRE(endpoint.requests().empty());
}

// Guards against a turn that was answered whole and is lost with the process: the store was away and nobody else held
// the turn.
TEST_CASE("a turn is not answered whole while nothing but this process holds it")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    deployment.fake.setMode(FakeStore::Mode::Refusing);
    const auto [result, response] = deployment.send(*ingress, turn("/t/x", "t1", "one|"));
    REQUIRE(result.error != ErrorKind::None);
    deployment.fake.setMode(FakeStore::Mode::Serving);
    REQUIRE(deployment.send(*ingress, turn("/t/x", "t2", "one|")).second.status == 200);
}

// Guards against a stream with a missing or doubled event, or with parts of two runs in one event.
TEST_CASE("a resumable stream that breaks off in an event goes on at another endpoint")
{
    Deployment deployment;
    std::atomic<int> runs = 0;
    const auto handler = [&](const HttpRequest& request, const HttpExchange& exchange) {
        if (runs++ > 0) {
            const auto last = request.header("Last-Event-Id");
            streamEvents(request, exchange, last ? std::stoi(std::string(*last)) + 1 : 1, 4);
            return;
        }
        exchange.startStream(streamHead(request));
        exchange.write(eventText(1));
        exchange.write(eventText(2));
        exchange.write("id: 3\nda");
        deployment.runtime.after(Milliseconds(50), [exchange] { exchange.abort(); });
    };
    deployment.addEndpoint("i-1", "engines", handler);
    deployment.addEndpoint("i-2", "engines", handler);
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    const auto [result, response] = deployment.send(*ingress, turn("/p/x", "t1", "one"));
    REQUIRE(result.error == ErrorKind::None);
    REQUIRE(response.body == eventText(1) + eventText(2) + eventText(3) + eventText(4));
    REQUIRE(runs == 2);
}

TEST_CASE("a stream that may not be resumed is cut where it broke off and does not look complete")
{
    Deployment deployment;
    std::atomic<int> runs = 0;
    deployment.addEndpoint("i-1", "engines", [&](const HttpRequest& request, const HttpExchange& exchange) {
        ++runs;
        exchange.startStream(streamHead(request));
        exchange.write(eventText(1));
        deployment.runtime.after(Milliseconds(50), [exchange] { exchange.abort(); });
    });
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    const auto [result, response] = deployment.send(*ingress, turn("/t/x", "t1", "one"));
    REQUIRE(result.error != ErrorKind::None);
    REQUIRE(runs == 1);
}

// Guards against a program that gets more than its budget, also over a restart.
TEST_CASE("a program's budget holds over instances and restarts, and a turn beyond it reaches no endpoint")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    {
        const auto first = deployment.startReady("n1");
        REQUIRE(deployment.send(*first, turn("/p/x", "t1", "x", {}, "90")).second.status == 200);
    }
    const auto again = deployment.startReady("n1", false);
    int served = 1;
    unsigned last = 0;
    for (int index = 0; index < 5; ++index) {
        last = deployment.send(*again, turn("/p/x", "u" + std::to_string(index), "x", {}, "90")).second.status;
        served += last == 200 ? 1 : 0;
    }
    // Three turns of 30 tokens fit; what the lost instance held of the budget counts as used.
    REQUIRE(served <= 3);
    REQUIRE(served >= 2);
    REQUIRE((last == 402 || last == 503));
    REQUIRE(endpoint.requests().size() == static_cast<std::size_t>(served));
}
