#include "../floodserver.h"
#include "fixture.h"

using namespace peridotramp;

namespace {

// Bytes that a connection accepts beyond those that its peer has read, because of the socket buffers of both ends.
constexpr std::size_t socketBytes = std::size_t { 16 } * 1024 * 1024;
const std::string block(std::size_t { 16 } * 1024, 'x');

// Small, so that even a slow machine reaches it long before the timeout of a route.
constexpr std::size_t answerBytes = std::size_t { 1024 } * 1024;

void limitAnswers(IngressInit& init) { init.maxAnswerBytes = { answerBytes }; }

// Settings of an endpoint that answers with a valid beginning and then sends `repeated` forever.
FloodServer::Init floodAfter(const std::string& status, const std::string& headers, const std::string& repeated)
{
    FloodServer::Init init;
    init.opening = [status, headers](const std::string& head) {
        return fmt::format("HTTP/1.1 {}\r\nRequest-Id: {}\r\nServer-Seal: s\r\n{}", status,
            FloodServer::headerOf(head, "Request-Id"), headers);
    };
    init.repeated = repeated;
    return init;
}

const std::string streamHeaders = "Content-Type: text/event-stream\r\n\r\n";

void addFlood(Deployment& deployment, const std::string& name, const std::string& service, const FloodServer& server)
{
    deployment.fakeStore.put(StoreTopic::Endpoints, {}, name, endpointRecord(service, server.address()));
}

void answerOk(const HttpRequest& request, const HttpExchange& exchange)
{
    exchange.respond({ 200, answerHeaders(request), "done" });
}

std::string adminPage(Deployment& deployment, const Ingress& ingress, const std::string& page)
{
    std::promise<std::string> text;
    deployment.client.send(ingress.adminAddress(), { "GET", page, {}, {} }, { Milliseconds(5000), false },
        [&](const HttpResult&, HttpResponse response) { text.set_value(std::move(response.body)); });
    return text.get_future().get();
}

bool hasCounter(Deployment& deployment, const Ingress& ingress, const std::string& line)
{
    return adminPage(deployment, ingress, "/metrics").find(line) != std::string::npos;
}

} // namespace

// Guards against an instance that runs out of memory, and a caller that gets no answer, because an endpoint sends an
// endless body, head or chunk header.
TEST_CASE("an idempotent call with an endless answer is retried at another endpoint")
{
    const std::vector<FloodServer::Init> floods { floodAfter("200 OK", "\r\n", block),
        floodAfter("200 OK", "Name: ", block), floodAfter("200 OK", "Transfer-Encoding: chunked\r\n\r\n4;name=", block),
        floodAfter("200 OK", "Transfer-Encoding: chunked\r\n\r\n0\r\nName: ", block),
        floodAfter("500 Error", "Content-Length: 99999999999\r\n\r\n", block), floodAfter("103 Hints", "\r\n", block) };
    for (const auto& init : floods) {
        FloodServer server(init);
        Deployment deployment;
        deployment.configure = limitAnswers;
        addFlood(deployment, "i-1", "desk", server);
        auto& good = deployment.addEndpoint("i-2", "desk", answerOk);
        deployment.publish(1);
        const auto ingress = deployment.startReady("n1");
        const auto [result, response] = deployment.send(*ingress, Deployment::request("GET", "/r/x", "q1"));
        REQUIRE(response.status == 200);
        REQUIRE(response.body == "done");
        REQUIRE(good.requests().size() == 1);
        REQUIRE(server.connections() == 1);
        REQUIRE(eventually([&] { return server.closedByCaller() == 1; }));
        REQUIRE(server.sentBytes() < answerBytes + socketBytes);
        // The endpoint counts as failed and gets no requests for a while.
        REQUIRE(deployment.send(*ingress, Deployment::request("GET", "/r/x", "q2")).second.status == 200);
        REQUIRE(server.connections() == 1);
    }
}

// Guards against a call with side effects that runs twice, or is reported as not run, because its answer is endless.
TEST_CASE("a non-idempotent call with an endless answer fails and is not retried")
{
    FloodServer server(floodAfter("200 OK", "\r\n", block));
    Deployment deployment;
    deployment.configure = limitAnswers;
    addFlood(deployment, "i-1", "desk", server);
    auto& other = deployment.addEndpoint("i-2", "desk", answerOk);
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    const auto [result, response] = deployment.send(*ingress, Deployment::request("POST", "/w/x", "q1"));
    REQUIRE(response.status == 502);
    REQUIRE(other.requests().empty());
    REQUIRE(eventually([&] { return server.closedByCaller() == 1; }));
    REQUIRE(server.sentBytes() < answerBytes + socketBytes);
    REQUIRE(hasCounter(deployment, *ingress, "peridotramp_answers_too_large{peer=\"endpoint\"} 1\n"));
}

// Guards against an endless event that is buffered without a limit and searched from its start with each block.
TEST_CASE("a resumable stream with an endless event is resumed at another endpoint")
{
    FloodServer server(floodAfter("200 OK", streamHeaders + eventText(1) + eventText(2) + "id: 3\ndata: ", block));
    Deployment deployment;
    addFlood(deployment, "i-1", "engines", server);
    deployment.addEndpoint("i-2", "engines", [](const HttpRequest& request, const HttpExchange& exchange) {
        const auto last = request.header("Last-Event-Id");
        streamEvents(request, exchange, last ? std::stoi(std::string(*last)) + 1 : 1, 4);
    });
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    const auto [result, response] = deployment.send(*ingress, Deployment::request("POST", "/p/x", "q1"));
    REQUIRE(result.error == ErrorKind::None);
    REQUIRE(response.body == eventText(1) + eventText(2) + eventText(3) + eventText(4));
    REQUIRE(eventually([&] { return server.closedByCaller() == 1; }));
    REQUIRE(server.sentBytes() < socketBytes);
    REQUIRE(hasCounter(deployment, *ingress, "peridotramp_answers_too_large{peer=\"endpoint\"} 1\n"));
}

TEST_CASE("a stream that is not resumable is aborted at an endless event")
{
    FloodServer server(floodAfter("200 OK", streamHeaders + eventText(1) + "id: 2\ndata: ", block));
    Deployment deployment;
    addFlood(deployment, "i-1", "engines", server);
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    const auto [result, response] = deployment.send(*ingress, Deployment::request("POST", "/t/x", "q1"));
    REQUIRE(response.status == 200);
    REQUIRE(result.error != ErrorKind::None);
    REQUIRE(response.body == eventText(1));
    REQUIRE(eventually([&] { return server.closedByCaller() == 1; }));
    REQUIRE(server.sentBytes() < socketBytes);
}

// Guards against the body of a rejection, which is not used, being read until the deadline of the request.
TEST_CASE("a rejection with an endless body is not read to the end")
{
    FloodServer server(floodAfter("503 Full", "Not-Run: 1\r\n\r\n", block));
    Deployment deployment;
    addFlood(deployment, "i-1", "desk", server);
    deployment.addEndpoint("i-2", "desk", answerOk);
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    for (int index = 0; index < 4; ++index) {
        const auto id = "q" + std::to_string(index);
        REQUIRE(deployment.send(*ingress, Deployment::request("POST", "/w/x", id)).second.status == 200);
    }
    REQUIRE(server.connections() > 0);
    REQUIRE(eventually([&] { return server.closedByCaller() == server.connections(); }));
    REQUIRE(server.sentBytes() < server.connections() * socketBytes);
}

// Guards against an exceeded budget and growing memory because an endpoint sends more events than the maximum tokens of
// the turn allow.
TEST_CASE("a turn with an endless stream of events is aborted")
{
    auto init = floodAfter("200 OK", streamHeaders, "id: 1\ndata: d\n\n");
    // The caller receives each event before its connection is closed.
    init.pause = Milliseconds(20);
    FloodServer server(init);
    Deployment deployment;
    addFlood(deployment, "i-1", "engines", server);
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    auto request = Deployment::request("POST", "/t/x", "q1");
    request.headers.push_back({ "Program-Id", "p1" });
    request.headers.push_back({ "Token-Count", "100,30" });
    request.headers.push_back({ "Token-Budget", "500" });
    const auto [result, response] = deployment.send(*ingress, request);
    REQUIRE(result.error != ErrorKind::None);
    // 10 tokens per event, 30 for the turn. A program may exceed its budget by the maximum tokens of one turn.
    const auto events = std::ranges::count(response.body, 'i');
    REQUIRE(events >= 3);
    REQUIRE(events <= 6);
    REQUIRE(eventually([&] { return server.closedByCaller() == 1; }));
    REQUIRE(server.sentBytes() < socketBytes);
}

// Guards against a turn that exceeds the record size of the store, so that its answer can never be completed.
TEST_CASE("a persisted turn is aborted when it exceeds the record size of the store")
{
    FloodServer server(floodAfter("200 OK", streamHeaders, "id: 1\ndata: " + std::string(10'000, 'd') + "\n\n"));
    Deployment deployment;
    addFlood(deployment, "i-1", "engines", server);
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    const auto [result, response] = deployment.send(*ingress, Deployment::request("POST", "/t/x", "q1"));
    REQUIRE(result.error != ErrorKind::None);
    REQUIRE(response.body.size() <= 300'000);
    REQUIRE(eventually([&] { return server.closedByCaller() == 1; }));
    REQUIRE(server.sentBytes() < socketBytes);
}

// Guards against memory use by many buffered answers, each of which is within its own limit.
TEST_CASE("buffered answers have a common size limit, which small answers may exceed")
{
    constexpr int callers = 12;
    constexpr std::size_t heldBytes = std::size_t { 2 } * 1024 * 1024;
    auto init = floodAfter("200 OK", "\r\n", block);
    // Without the common limit each answer would reach its own of 16 MB within seconds: 192 MB beside the socket
    // buffers.
    init.pause = Milliseconds(1);
    FloodServer server(init);
    Deployment deployment;
    deployment.configure = [](IngressInit& settings) { settings.maxBufferedAnswerBytes = { heldBytes }; };
    addFlood(deployment, "i-1", "desk", server);
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    std::vector<std::future<unsigned>> running;
    for (int index = 0; index < callers; ++index)
        running.push_back(std::async(std::launch::async, [&deployment, &ingress, index] {
            auto request = Deployment::request("POST", "/w/x", "q" + std::to_string(index));
            return deployment.send(*ingress, std::move(request)).second.status;
        }));
    for (auto& status : running)
        CHECK(status.get() == 502);
    REQUIRE(eventually([&] { return server.closedByCaller() == callers; }));
    // Bytes that a connection accepts beyond those that are read: the largest socket buffers of both ends (6 and 4
    // MiB).
    constexpr std::size_t bufferedBytes = std::size_t { 10 } * 1024 * 1024;
    REQUIRE(server.sentBytes() < heldBytes * 3 + callers * bufferedBytes);
    deployment.addEndpoint("i-0", "desk", answerOk);
    REQUIRE(eventually(
        [&] { return deployment.send(*ingress, Deployment::request("GET", "/r/x", "q")).second.status == 200; }));
}

// Guards against a process that runs out of memory because an answer of the store is endless, and against a store that
// counts as reachable in spite of that.
TEST_CASE("an endless answer of the store is aborted, and the call is relayed through another instance")
{
    FloodServer server(floodAfter("200 OK", "\r\n", block));
    HttpRequest call { "GET", "/v1/log-read", {}, {} };
    Deployment deployment;
    HttpServer good(deployment.runtime, {},
        [](const HttpRequest&, const HttpExchange& exchange) { exchange.respond({ 200, {}, "stored" }); });
    deployment.publish(1);
    deployment.configure = [&](IngressInit& init) { init.storeAddress = good.address(); };
    const auto helper = deployment.startReady("n1");
    deployment.configure = [&](IngressInit& init) { init.storeAddress = server.address(); };
    const auto ingress = deployment.startReady("n2");
    const auto ask = [&] {
        auto done = std::make_shared<std::promise<std::string>>();
        deployment.transport(call, Milliseconds(5000), [done](const HttpResult& result, const HttpResponse& response) {
            done->set_value(result.error == ErrorKind::None ? response.body : std::string());
        });
        return done->get_future().get();
    };
    REQUIRE(eventually([&] { return ask() == "stored"; }));
    REQUIRE(adminPage(deployment, *ingress, "/dump").find("\"store_reachable\":false") != std::string::npos);
    REQUIRE(hasCounter(deployment, *ingress, "peridotramp_answers_too_large{peer=\"store\"}"));
    REQUIRE(eventually([&] { return server.closedByCaller() == server.connections(); }));
    REQUIRE(server.sentBytes() < server.connections() * socketBytes);
}

// Guards against an incomplete answer of the store that an instance relays to another one, which takes it for a
// complete one.
TEST_CASE("an incomplete answer of the store is relayed to a peer as a failure")
{
    FloodServer server(floodAfter("200 OK", "Content-Length: 1000\r\n\r\nbegin", ""));
    Deployment deployment;
    deployment.publish(1);
    deployment.configure = [&](IngressInit& init) { init.storeAddress = server.address(); };
    const auto ingress = deployment.startReady("n1");
    const StoreCallRequest call { "GET", "/v1/log-read", {}, {}, Milliseconds(300) };
    const auto reply = callInstance<StoreCallReply>(deployment, *ingress, call);
    REQUIRE(server.connections() == 1);
    REQUIRE(reply.status == 0);
    REQUIRE(reply.body.empty());
    REQUIRE(adminPage(deployment, *ingress, "/dump").find("\"store_reachable\":false") != std::string::npos);
}
