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

TEST_CASE("a persisted conversation continues at another instance with its complete history")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto first = deployment.startReady("n1");
    const auto second = deployment.startReady("n2");
    const auto answer = deployment.send(*first, turn("/t/x", "t1", "one|")).second;
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body == eventText(1) + eventText(2) + eventText(3));
    REQUIRE(
        eventually([&] { return deployment.send(*second, turn("/t/x", "t2", "two|", "t1")).second.status == 200; }));
    REQUIRE(endpoint.requests().back().body == "one|d1\nd2\nd3\ntwo|");
    // A turn of another workspace is reported as unknown.
    auto stranger = turn("/t/x", "t3", "x", "t1");
    stranger.headers[3].value = "Bearer key-2";
    REQUIRE(deployment.send(*first, stranger).second.status == 404);
}

// Guards against history that is lost with the instance that answered the turn.
TEST_CASE("a restarted instance finds the turns that its earlier incarnation stored")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    {
        const auto ingress = deployment.startReady("n1");
        REQUIRE(deployment.send(*ingress, turn("/t/x", "t1", "one|")).second.status == 200);
    }
    const auto restarted = deployment.startReady("n1", false);
    REQUIRE(
        eventually([&] { return deployment.send(*restarted, turn("/t/x", "t2", "two|", "t1")).second.status == 200; }));
    REQUIRE(endpoint.requests().back().body == "one|d1\nd2\nd3\ntwo|");
    // It may have answered an unknown turn before its restart, until it has read all turns from the store.
    deployment.fakeStore.setMode(FakeStore::Mode::Refusing);
    REQUIRE(deployment.send(*restarted, turn("/t/x", "t3", "x", "unknown")).second.status == 503);
    deployment.fakeStore.setMode(FakeStore::Mode::Serving);
    // No instance knows whether the store was available before the start, until the retention of such turns has passed.
    for (const auto* id : { "t4", "t5", "t6" })
        REQUIRE(deployment.send(*restarted, turn("/t/x", id, "x", "unknown")).second.status == 503);
    RuntimeClock::advance(Seconds(60));
    REQUIRE(eventually(
        [&] { return deployment.send(*restarted, turn("/t/x", "t7", "x", "unknown")).second.status == 404; }));
}

// Guards against a turn that is reported as unknown by a process that does not know the other instances yet.
TEST_CASE("an instance that has not heard from the others does not report a turn as unknown")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    deployment.fakeStore.put(StoreTopic::Members, {}, "n2", encodeMember({ "n2", "b", { "127.0.0.1", 1 }, 1 }));
    const auto ingress = deployment.startReady("n1", false);
    // The other instance does not answer.
    REQUIRE(deployment.send(*ingress, turn("/t/x", "t1", "x", "unknown")).second.status == 503);
    REQUIRE(deployment.send(*ingress, turn("/t/x", "t2", "x", "unknown")).second.status == 503);
}

// Guards against a conversation that cannot continue because its next turn arrives in another failure domain or belongs
// to another program.
TEST_CASE("a persisted conversation continues in another failure domain and under another program")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto first = deployment.startReady("n1");
    const auto second = deployment.startReady("n2", true, "b");
    REQUIRE(deployment.send(*first, turn("/t/x", "t1", "one|")).second.status == 200);
    REQUIRE(
        eventually([&] { return deployment.send(*second, turn("/t/x", "t2", "two|", "t1")).second.status == 200; }));
    REQUIRE(endpoint.requests().back().body == "one|d1\nd2\nd3\ntwo|");
    auto other = turn("/t/x", "t3", "three|", "t2");
    other.headers[4].value = "another program";
    REQUIRE(deployment.send(*first, other).second.status == 200);
    REQUIRE(endpoint.requests().back().body == "one|d1\nd2\nd3\ntwo|d1\nd2\nd3\nthree|");
}

// Guards against a turn whose history expires before it.
TEST_CASE("the history of a turn is kept as long as the turn itself")
{
    ConversationTable store;
    const TimePoint start { Seconds(100) };
    store.add({ "t1", "", "w", "in1", "out1\n" }, start + Seconds(60), StorePartition { 0 });
    REQUIRE(store.find("t1", start + Seconds(90)));
    REQUIRE(store.expire(start + Seconds(61)).empty());
    REQUIRE(store.expire(start + Seconds(91)).size() == 1);
}

TEST_CASE("a turn that continues an unknown one is refused as unknown after a complete search")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    REQUIRE(deployment.send(*ingress, turn("/t/x", "t1", "x", "unknown")).second.status == 404);
    REQUIRE(endpoint.requests().empty());
}

// Guards against a turn whose answer was completed and that is lost with the process, because the store was unavailable
// and no other instance had a copy.
TEST_CASE("the answer of a turn is not completed while only this process holds the turn")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    deployment.fakeStore.setMode(FakeStore::Mode::Refusing);
    const auto [result, response] = deployment.send(*ingress, turn("/t/x", "t1", "one|"));
    REQUIRE(result.error != ErrorKind::None);
    deployment.fakeStore.setMode(FakeStore::Mode::Serving);
    REQUIRE(deployment.send(*ingress, turn("/t/x", "t2", "one|")).second.status == 200);
}

// Guards against a stream with a missing or duplicate event, or with parts of two attempts in one event.
TEST_CASE("a resumable stream that is interrupted within an event is resumed at another endpoint")
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

TEST_CASE("a stream that is not resumable and is interrupted does not look complete")
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

// Guards against a program that gets more than its budget, also across a restart.
TEST_CASE("a program's budget applies across restarts, and a turn that exceeds it is not forwarded")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    {
        const auto first = deployment.startReady("n1");
        REQUIRE(deployment.send(*first, turn("/p/x", "t1", "x", {}, "90")).second.status == 200);
    }
    const auto restarted = deployment.startReady("n1", false);
    int served = 1;
    unsigned last = 0;
    for (int index = 0; index < 5; ++index) {
        last = deployment.send(*restarted, turn("/p/x", "u" + std::to_string(index), "x", {}, "90")).second.status;
        served += last == 200 ? 1 : 0;
    }
    // The budget is sufficient for three turns of 30 tokens; what the lost instance had reserved counts as used.
    REQUIRE(served <= 3);
    REQUIRE(served >= 2);
    REQUIRE((last == 402 || last == 503));
    REQUIRE(endpoint.requests().size() == static_cast<std::size_t>(served));
}

// Guards against turns of other workspaces that are answered and lost at the next restart, because a turn that the
// store refuses for good is appended again and again before them.
TEST_CASE("a turn that the store refuses keeps no other turn out of the store")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    constexpr std::size_t maxRecordBytes = 2000;
    deployment.fakeStore.setMaxRecordBytes(maxRecordBytes);
    const auto ingress = deployment.startReady("n1");
    // The instance does not know this bound; the answer must not look complete, as the turn is not kept.
    const auto [result, response] = deployment.send(*ingress, turn("/t/x", "large", std::string(maxRecordBytes, 'x')));
    REQUIRE(result.error != ErrorKind::None);
    for (const auto* id : { "t1", "t2" }) {
        auto other = turn("/t/x", id, "one|");
        other.headers[3].value = "Bearer key-2";
        const auto answer = deployment.send(*ingress, other);
        REQUIRE(answer.first.error == ErrorKind::None);
        REQUIRE(answer.second.status == 200);
        REQUIRE(deployment.fakeStore.contains(StoreTopic::Turns, id));
    }
}

namespace {

// Returns a store client that accepts records whose key has at most `maxKeyBytes` and whose key and value have at most
// `maxRecordBytes` together.
MetadataStore boundedClient(Deployment& deployment, std::size_t maxKeyBytes, std::size_t maxRecordBytes)
{
    auto client = deployment.fakeStore.client();
    client.checkSize = [=](std::size_t keyBytes, std::size_t valueBytes) {
        const bool fits = keyBytes <= maxKeyBytes && keyBytes + valueBytes <= maxRecordBytes;
        return fits ? Status(std::monostate {}) : Status(Error { ErrorKind::RecordRefused, Outcome::NotRun });
    };
    return client;
}

} // namespace

// Guards against a turn that runs, uses up tokens and is then cut off, although its input alone shows that the store
// cannot take it; and against one that is kept under a part of its id.
TEST_CASE("a turn whose input or id exceeds what the store accepts is refused before it runs")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    constexpr std::size_t maxRecordBytes = 2000;
    deployment.storeClient = [&] { return boundedClient(deployment, 255, maxRecordBytes); };
    const auto ingress = deployment.startReady("n1");
    REQUIRE(deployment.send(*ingress, turn("/t/x", "large", std::string(maxRecordBytes, 'x'))).second.status == 413);
    REQUIRE(deployment.send(*ingress, turn("/t/x", std::string(250, 'i'), "one|")).second.status == 413);
    REQUIRE(endpoint.requests().empty());
    // A request that is not kept has no such bound.
    REQUIRE(deployment.send(*ingress, turn("/p/x", "plain", std::string(maxRecordBytes, 'x'))).second.status == 200);
    REQUIRE(deployment.send(*ingress, turn("/t/x", "small", "one|")).second.status == 200);
}

// Guards against a turn that passes the check of its size and is refused by the store, because the check leaves out a
// part of the record.
TEST_CASE("the largest turn that the store accepts is kept, and one that is a byte larger does not look complete")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    constexpr std::size_t maxRecordBytes = 2000;
    deployment.storeClient = [&] { return boundedClient(deployment, 255, maxRecordBytes); };
    deployment.fakeStore.setMaxRecordBytes(maxRecordBytes);
    const auto ingress = deployment.startReady("n1");
    const std::string id = "t1";
    const ConversationTurn shortTurn { id, "", "w", "", "d1\nd2\nd3\n", ProgramId { 1 } };
    const auto inputBytes = maxRecordBytes - id.size() - encodedTurnBytes(shortTurn);
    REQUIRE(encodedTurnBytes(shortTurn) == encodeTurn(shortTurn).size());
    const auto [result, response] = deployment.send(*ingress, turn("/t/x", id, std::string(inputBytes, 'x')));
    REQUIRE(result.error == ErrorKind::None);
    REQUIRE(response.status == 200);
    REQUIRE(deployment.fakeStore.contains(StoreTopic::Turns, id));
    const auto tooLarge = deployment.send(*ingress, turn("/t/x", "t2", std::string(inputBytes + 1, 'x')));
    REQUIRE(tooLarge.first.error != ErrorKind::None);
    REQUIRE_FALSE(deployment.fakeStore.contains(StoreTopic::Turns, "t2"));
}
