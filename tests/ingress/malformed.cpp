#include "../resettingserver.h"
#include "../scriptedserver.h"
#include "fixture.h"

using namespace peridotramp;

namespace {

// Less than the largest body that callers may send, and more than the socket buffers take of it.
constexpr std::size_t uploadBytes = std::size_t { 3900 } * 1024;

HttpRequest turnRequest(const std::string& target, const std::string& id)
{
    auto request = Deployment::request("POST", target, id);
    request.headers.push_back({ "Program-Id", "p" });
    request.headers.push_back({ "Token-Count", "100,30" });
    return request;
}

// One request to each kind of route, with a status of its own for those that are served.
std::vector<HttpRequest> requestsOfAllKinds()
{
    return { Deployment::request("GET", "/r/x", "read"), Deployment::request("POST", "/w/x", "write"),
        turnRequest("/t/x", "turn"), turnRequest("/p/x", "resumable") };
}

// A complete answer that suits every kind of route, after the given start of its head.
std::string answerAfter(const std::string& headStart)
{
    const auto events = eventText(1) + eventText(2);
    return fmt::format(
        "{}Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{}", headStart, events.size(), events);
}

std::string endpointHead(const std::string& status, const std::string& id)
{
    return fmt::format("HTTP/1.1 {} X\r\nRequest-Id: {}\r\nServer-Seal: s\r\n", status, id);
}

void addRaw(Deployment& deployment, const std::string& name, const Address& address)
{
    for (const auto* service : { "engines", "desk" })
        deployment.fakeStore.put(
            StoreTopic::Endpoints, {}, fmt::format("{}-{}", name, service), endpointRecord(service, address));
}

// Calls the store as the instance that was started last does.
HttpResponse callStore(Deployment& deployment, HttpRequest request)
{
    auto done = std::make_shared<std::promise<HttpResponse>>();
    deployment.transport(std::move(request), Milliseconds(2000),
        [done](const HttpResult&, const HttpResponse& response) { done->set_value(response); });
    return done->get_future().get();
}

} // namespace

// Guards against an answer of an endpoint in trouble that reaches a caller as an answer, or is kept as a turn. The
// first answer shows that the requests are served otherwise.
TEST_CASE("no caller gets an answer with an invalid status or a malformed header line")
{
    const std::vector<std::pair<std::string, std::string>> answers { { "200", "" }, { "000", "" }, { "099", "" },
        { "600", "" }, { "200", " X-A: 1\r\n" }, { "200", "\tX-A: 1\r\n" }, { "200", "X A: 1\r\n" },
        { "200", "X-A : 1\r\n" }, { "200", "X\x01: 1\r\n" }, { "200", " Content-Length: 4\r\n" } };
    for (const auto& [status, line] : answers) {
        INFO(status << " " << line);
        const bool isValid = status == "200" && line.empty();
        Deployment deployment;
        ScriptedServer server([&, &status = status, &line = line](const ScriptedServer::Request& request) {
            return answerAfter(endpointHead(status, request.header("Request-Id")) + line);
        });
        addRaw(deployment, "i-1", server.address());
        deployment.publish(1);
        const auto ingress = deployment.startReady("n1");
        for (const auto& request : requestsOfAllKinds()) {
            const auto [result, response] = deployment.send(*ingress, request);
            INFO(request.target << " " << response.status);
            CHECK((response.status == 200) == isValid);
            CHECK((response.status >= 500 || isValid));
            CHECK((response.body.find("d1") != std::string::npos) == isValid);
        }
        CHECK(deployment.fakeStore.contains(StoreTopic::Turns, "turn") == isValid);
        CHECK(server.requests().size() >= requestsOfAllKinds().size());
    }
}

// Guards against a part of an answer that a caller gets as a whole one, or that is kept as a turn.
TEST_CASE("no caller gets a part of an answer whose connection is reset during the upload")
{
    Deployment deployment;
    const ResettingServer server([](const std::string& head) {
        const auto begin = head.find("Request-Id: ") + std::string_view("Request-Id: ").size();
        const auto id = head.substr(begin, head.find("\r\n", begin) - begin);
        return endpointHead("200", id) + "Content-Type: text/event-stream\r\n\r\n" + eventText(1);
    });
    addRaw(deployment, "i-1", server.address());
    deployment.publish(1);
    // A turn of this size is refused before it runs unless the store accepts it.
    deployment.storeClient = [&] {
        auto client = deployment.fakeStore.client();
        client.checkSize = MetadataStore {}.checkSize;
        return client;
    };
    const auto ingress = deployment.startReady("n1");
    for (auto request : requestsOfAllKinds()) {
        request.method = "POST";
        request.body = std::string(uploadBytes, 'x');
        const auto [result, response] = deployment.send(*ingress, request);
        INFO(request.target << " " << response.status);
        // The head and the first event of a stream are passed on before its end is known.
        CHECK((result.error != ErrorKind::None || response.status >= 500));
    }
    CHECK(server.connections() >= 4);
    CHECK_FALSE(deployment.fakeStore.contains(StoreTopic::Turns, "turn"));
}

// Guards against an answer of the store that is taken for one although it is malformed or incomplete.
TEST_CASE("a malformed or incomplete answer of the store counts as none")
{
    const std::vector<std::string> heads { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 000 X\r\n", "HTTP/1.1 999 X\r\n",
        "HTTP/1.1 200 OK\r\nX: 1\r\n Y: 2\r\n", "HTTP/1.1 200 OK\r\nX Y: 2\r\n" };
    for (const auto& head : heads) {
        INFO(head);
        Deployment deployment;
        const ScriptedServer server(
            [&](const ScriptedServer::Request&) { return head + "Content-Length: 2\r\n\r\n{}"; });
        deployment.publish(1);
        deployment.configure = [&](IngressInit& init) { init.storeAddress = server.address(); };
        const auto ingress = deployment.startReady("n1");
        CHECK((callStore(deployment, { "GET", "/v1/log-read", {}, {} }).status == 200) == (head == heads.front()));
    }
    Deployment deployment;
    const ResettingServer server([](const std::string&) { return "HTTP/1.1 200 OK\r\n\r\n{\"offset\":1"; });
    deployment.publish(1);
    deployment.configure = [&](IngressInit& init) { init.storeAddress = server.address(); };
    const auto ingress = deployment.startReady("n1");
    const HttpRequest append { "POST", "/v1/log-append", {}, std::string(4 * uploadBytes, 'x') };
    CHECK(callStore(deployment, append).status == 0);
}
