#include "../rawconnection.h"
#include "fixture.h"

using namespace peridotramp;

namespace {

constexpr Milliseconds answerTimeout { 4000 };

// A short grace period, but long enough to observe the phases of a shutdown.
void useShortGracePeriod(IngressInit& init)
{
    init.gracePeriod = Milliseconds(1600);
    init.loadBalancerDelay = Milliseconds(100);
}

std::string requestBytes(const std::string& method, const std::string& target, const std::string& id)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: h\r\nRequest-Id: {}\r\nAuthorization: Bearer key-1\r\n"
                       "Content-Length: 0\r\n\r\n",
        method, target, id);
}

bool contains(std::string_view text, std::string_view part) { return text.find(part) != std::string_view::npos; }

bool wasReached(FakeEndpoint& endpoint, std::string_view id)
{
    return std::ranges::any_of(
        endpoint.requests(), [&](const HttpRequest& request) { return request.header("Request-Id") == id; });
}

std::string adminPage(Deployment& deployment, const Ingress& ingress, const std::string& path)
{
    auto done = std::make_shared<std::promise<std::string>>();
    deployment.client.send(ingress.adminAddress(), { "GET", path, {}, {} }, { Milliseconds(5000), false },
        [done](const HttpResult&, const HttpResponse& response) { done->set_value(response.body); });
    return done->get_future().get();
}

/// Drains an instance and records when it has finished, like the process does.
class Drain {
public:
    explicit Drain(Ingress& ingress)
    {
        ingress.drain([ended = this->ended] { *ended = true; });
    }

    bool isFinished() const { return *this->ended; }

private:
    std::shared_ptr<std::atomic<bool>> ended = std::make_shared<std::atomic<bool>>(false);
};

} // namespace

// Guards against a process that exits while a caller is still reading its answer.
TEST_CASE("a draining instance waits until the answers are written")
{
    constexpr std::size_t bodyBytes = std::size_t { 9 } * 512 * 1024;
    Deployment deployment;
    deployment.configure = [](IngressInit& init) {
        useShortGracePeriod(init);
        init.gracePeriod = Milliseconds(8000);
    };
    auto& endpoint
        = deployment.addEndpoint("i-1", "desk", [](const HttpRequest& request, const HttpExchange& exchange) {
              exchange.respond({ 200, answerHeaders(request), std::string(bodyBytes, 'x') });
          });
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    RawConnection caller(ingress->address(), 4096);
    REQUIRE(caller.send(requestBytes("GET", "/r/x", "q1")));
    REQUIRE(eventually([&] { return wasReached(endpoint, "q1"); }));
    caller.receive(answerTimeout, "200 OK");
    const Drain drain(*ingress);
    std::this_thread::sleep_for(Milliseconds(1000));
    REQUIRE_FALSE(drain.isFinished());
    REQUIRE(caller.receive(answerTimeout).size() > bodyBytes);
    REQUIRE(eventually([&] { return drain.isFinished(); }));
}

// Guards against requests that get no answer because the process exits. A request that an endpoint may have run must
// not be reported as not run.
TEST_CASE("a call that is running at the end of the grace period is answered before the process exits")
{
    Deployment deployment;
    deployment.configure = useShortGracePeriod;
    auto& endpoint
        = deployment.addEndpoint("i-1", "desk", [](const HttpRequest&, const HttpExchange&) { /* never answers */ });
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    RawConnection caller(ingress->address());
    REQUIRE(caller.send(requestBytes("POST", "/w/x", "q1")));
    REQUIRE(eventually([&] { return wasReached(endpoint, "q1"); }));
    const Drain drain(*ingress);
    REQUIRE(eventually([&] { return drain.isFinished(); }));
    // The process would have exited by now, so nothing more can be sent.
    REQUIRE(contains(caller.receive(Milliseconds(20)), "HTTP/1.1 502"));
}

// As above, for a request that has not been forwarded: it is reported as not run and must not be forwarded afterwards.
TEST_CASE("a request that waits for an endpoint at the end of the grace period is refused as not run")
{
    Deployment deployment;
    deployment.configure = useShortGracePeriod;
    // A request waits for an endpoint for a fraction of its latency target, here longer than the shutdown takes.
    deployment.latencyTargetMs = 8000;
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    RawConnection caller(ingress->address());
    REQUIRE(caller.send(requestBytes("POST", "/w/x", "q1")));
    REQUIRE(caller.receive(Milliseconds(100)).empty());
    const Drain drain(*ingress);
    REQUIRE(eventually([&] { return drain.isFinished(); }));
    REQUIRE(contains(caller.receive(Milliseconds(20)), "HTTP/1.1 503"));
    auto& endpoint
        = deployment.addEndpoint("i-1", "desk", [](const HttpRequest& request, const HttpExchange& exchange) {
              exchange.respond({ 200, answerHeaders(request), "late" });
          });
    std::this_thread::sleep_for(Milliseconds(600));
    REQUIRE_FALSE(wasReached(endpoint, "q1"));
}

// Guards against a stream that is aborted at the end of the grace period and loses events that were written before.
TEST_CASE("a stream that is running at the end of the grace period is aborted after its last event")
{
    Deployment deployment;
    deployment.configure = useShortGracePeriod;
    deployment.addEndpoint("i-1", "engines", [](const HttpRequest& request, const HttpExchange& exchange) {
        exchange.startStream(streamHead(request));
        exchange.write(eventText(1));
    });
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    RawConnection caller(ingress->address());
    REQUIRE(caller.send(requestBytes("POST", "/p/x", "q1")));
    caller.receive(answerTimeout, "d1");
    const Drain drain(*ingress);
    REQUIRE(eventually([&] { return drain.isFinished(); }));
    REQUIRE(contains(caller.receive(Milliseconds(20)), "d1"));
    REQUIRE_FALSE(contains(caller.bytes(), "0\r\n\r\n"));
    REQUIRE(caller.end() != RawConnection::End::Open);
}

// Guards against a shutdown that ends early because no request is running, although one has been received in part.
TEST_CASE("a draining instance waits for the rest of a partly received request")
{
    Deployment deployment;
    deployment.configure = [](IngressInit& init) {
        useShortGracePeriod(init);
        init.gracePeriod = Milliseconds(8000);
    };
    deployment.addEndpoint("i-1", "desk", [](const HttpRequest& request, const HttpExchange& exchange) {
        exchange.respond({ 200, answerHeaders(request), "done" });
    });
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    RawConnection caller(ingress->address());
    const auto bytes = requestBytes("POST", "/w/x", "q1");
    REQUIRE(caller.send(bytes.substr(0, bytes.size() / 2)));
    const Drain drain(*ingress);
    std::this_thread::sleep_for(Milliseconds(800));
    REQUIRE_FALSE(drain.isFinished());
    REQUIRE(caller.send(bytes.substr(bytes.size() / 2)));
    REQUIRE(contains(caller.receive(answerTimeout, "done"), "200 OK"));
    REQUIRE(eventually([&] { return drain.isFinished(); }));
}

// Guards against a request that is completely received only during the shutdown, forwarded and then aborted.
TEST_CASE("a request that is completely received after the grace period is not forwarded")
{
    Deployment deployment;
    deployment.configure = useShortGracePeriod;
    auto& endpoint
        = deployment.addEndpoint("i-1", "desk", [](const HttpRequest& request, const HttpExchange& exchange) {
              exchange.respond({ 200, answerHeaders(request), "done" });
          });
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    RawConnection caller(ingress->address());
    const auto bytes = requestBytes("POST", "/w/x", "q1");
    REQUIRE(caller.send(bytes.substr(0, bytes.size() / 2)));
    const Drain drain(*ingress);
    REQUIRE(eventually([&] { return drain.isFinished(); }));
    REQUIRE(caller.send(bytes.substr(bytes.size() / 2)));
    REQUIRE(contains(caller.receive(answerTimeout, "\r\n\r\n"), "HTTP/1.1 503"));
    REQUIRE_FALSE(wasReached(endpoint, "q1"));
}

// Guards against connections that end without an answer and are not visible in metrics or dumps.
TEST_CASE("an instance reports its running requests and the reasons of ended connections")
{
    Deployment deployment;
    auto& endpoint
        = deployment.addEndpoint("i-1", "desk", [](const HttpRequest&, const HttpExchange&) { /* never answers */ });
    deployment.publish(1);
    const auto ingress = deployment.startReady("n1");
    {
        const RawConnection unfinished(ingress->address());
        REQUIRE(unfinished.send("GET /r/x HTTP/1.1\r\nHost: h\r\n"));
    }
    const std::string counter = R"(peridotramp_connections_ended{reason="left_in_request"} 1)";
    REQUIRE(eventually([&] { return contains(adminPage(deployment, *ingress, "/metrics"), counter); }));
    const RawConnection caller(ingress->address());
    REQUIRE(caller.send(requestBytes("POST", "/w/x", "q1")));
    REQUIRE(eventually([&] { return wasReached(endpoint, "q1"); }));
    REQUIRE(contains(adminPage(deployment, *ingress, "/dump"), R"("oldest_requests":"q1 write )"));
}

// Guards against tokens that stay used because their holder exits while they are held for turns at other instances,
// whose ends are then reported to nobody.
TEST_CASE("a draining instance waits for the end of turns for which it holds tokens")
{
    Deployment deployment;
    deployment.configure = [](IngressInit& init) {
        useShortGracePeriod(init);
        init.gracePeriod = Milliseconds(8000);
    };
    deployment.publish(1);
    const auto holder = deployment.startReady("n1");
    const ProgramId program { 4 };
    BeginTurnRequest begin;
    begin.program = program;
    begin.workspace = "w";
    begin.hold = { 1 };
    begin.budget = TokenCount { 60 };
    begin.maxTokens = { 30 };
    begin.answerTimeout = Milliseconds(2000);
    begin.timeLeft = Milliseconds(7000);
    callInstance<BeginTurnReply>(deployment, *holder, begin);
    const Drain drain(*holder);
    std::this_thread::sleep_for(Milliseconds(1000));
    REQUIRE_FALSE(drain.isFinished());
    callInstance<DoneMessage>(deployment, *holder, EndTurnNotice { program, { 1 }, { 10 } });
    REQUIRE(eventually([&] { return drain.isFinished(); }));
}
