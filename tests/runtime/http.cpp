#include "../soon.h"
#include "peridotramp/runtime.h"

#include <catch2/catch.hpp>
#include <future>

using namespace peridotramp;

namespace {

struct Answer {
    HttpResult result;
    HttpResponse response;
};

Answer fetch(HttpClient& client, const Address& address, HttpRequest request, HttpClient::Options options = {})
{
    std::promise<Answer> promise;
    client.send(address, std::move(request), options,
        [&](HttpResult result, HttpResponse response) { promise.set_value({ result, std::move(response) }); });
    return promise.get_future().get();
}

struct Fixture {
    Runtime runtime;
    HttpClient client { this->runtime };

    Fixture() { this->runtime.start(); }
};

} // namespace

// Guards against a connection that is left unusable, or a request that still counts as active, after its response.
TEST_CASE("a response arrives completely, and the connection serves further requests")
{
    Fixture fixture;
    HttpServer server(fixture.runtime, {}, [](HttpRequest request, HttpExchange exchange) {
        exchange.respond(textResponse(200, request.method + " " + std::string(request.path()) + " " + request.body));
    });
    for (int round = 0; round < 3; ++round) {
        const auto answer = fetch(fixture.client, server.address(), { "POST", "/echo?x=1", {}, "body" });
        REQUIRE(answer.result.error == ErrorKind::None);
        REQUIRE(answer.response.body == "POST /echo body");
    }
    // The caller may read the last byte before the server's thread is notified that the write has completed.
    REQUIRE(eventually([&] { return server.activeExchanges() == 0; }));
}

// Guards against parts that overtake each other when they are written from another thread than the connection's.
TEST_CASE("a streamed response keeps its parts in order")
{
    Fixture fixture;
    HttpServer server(fixture.runtime, {}, [&](HttpRequest, HttpExchange exchange) {
        exchange.startStream({ 200, { { "Content-Type", "text/event-stream" } }, {} });
        fixture.runtime.post([exchange] {
            for (int part = 0; part < 100; ++part)
                exchange.write(std::to_string(part) + ",");
            exchange.finish();
        });
    });
    std::string expected;
    for (int part = 0; part < 100; ++part)
        expected += std::to_string(part) + ",";
    REQUIRE(fetch(fixture.client, server.address(), {}).response.body == expected);
}

// Guards against a stopping server that still accepts requests on open connections.
TEST_CASE("a server that stops accepting closes idle connections and completes running requests")
{
    Fixture fixture;
    std::promise<HttpExchange> held;
    HttpServer server(fixture.runtime, {}, [&](HttpRequest request, HttpExchange exchange) {
        if (request.target == "/hold")
            held.set_value(exchange);
        else
            exchange.respond({ 200, {}, "x" });
    });
    REQUIRE(fetch(fixture.client, server.address(), {}).response.status == 200);
    std::promise<unsigned> finished;
    fixture.client.send(server.address(), { "GET", "/hold", {}, {} }, {},
        [&](HttpResult, HttpResponse response) { finished.set_value(response.status); });
    const auto exchange = held.get_future().get();
    server.stopAccepting();
    const auto refused = fetch(fixture.client, server.address(), { "GET", "/after", {}, {} });
    REQUIRE(refused.response.status == 0);
    exchange.respond({ 201, {}, {} });
    REQUIRE(finished.get_future().get() == 201);
}

// Guards against a caller that occupies the memory of the process with one large request.
TEST_CASE("a request beyond the size limit is refused and does not reach the handler")
{
    Fixture fixture;
    HttpServer::Init init;
    init.limits = [] { return HttpLimits { .maxBodyBytes = 100 }; };
    std::atomic<int> handled = 0;
    HttpServer server(fixture.runtime, init, [&](HttpRequest, HttpExchange exchange) {
        ++handled;
        exchange.respond({});
    });
    const auto answer = fetch(fixture.client, server.address(), { "POST", "/", {}, std::string(1000, 'x') });
    REQUIRE(answer.response.status == 413);
    REQUIRE(handled == 0);
}

// Guards against work that continues for a caller that is gone.
TEST_CASE("the server is told when a caller disconnects before the response")
{
    Fixture fixture;
    std::promise<void> arrived;
    std::promise<void> disconnected;
    HttpServer server(fixture.runtime, {}, [&](HttpRequest, HttpExchange exchange) {
        exchange.onDisconnect([&] { disconnected.set_value(); });
        arrived.set_value();
    });
    std::promise<HttpResult> ended;
    const auto call = fixture.client.send(
        server.address(), {}, {}, [&](HttpResult result, HttpResponse) { ended.set_value(result); });
    arrived.get_future().wait();
    call.cancel();
    REQUIRE(ended.get_future().get().error == ErrorKind::Cancelled);
    disconnected.get_future().wait();
    REQUIRE(server.activeExchanges() == 0);
}

// Guards against a request that is reported as possibly run, and so not retried, although no server received it.
TEST_CASE("a refused connection proves that no byte of the request was written")
{
    Fixture fixture;
    Address address;
    {
        HttpServer server(fixture.runtime, {}, [](HttpRequest, HttpExchange exchange) { exchange.respond({}); });
        address = server.address();
    }
    // The acceptor closes asynchronously, so the first attempts may still connect.
    Answer answer;
    for (int attempt = 0; attempt < 50; ++attempt) {
        answer = fetch(fixture.client, address, {}, { Milliseconds(2000), false });
        if (!answer.result.requestWritten)
            break;
    }
    REQUIRE(answer.result.error == ErrorKind::ConnectionFailed);
    REQUIRE_FALSE(answer.result.requestWritten);
    REQUIRE(answer.response.status == 0);
}

// Guards against a response that grows in memory because its caller does not read it.
TEST_CASE("a caller that reads too slowly is disconnected, so that its response has bounded memory")
{
    Fixture fixture;
    HttpServer::Init init;
    init.maxPendingBytes = 1000;
    std::promise<bool> refused;
    HttpServer server(fixture.runtime, init, [&](HttpRequest, HttpExchange exchange) {
        exchange.startStream({});
        exchange.write(std::string(900, 'x'));
        refused.set_value(!exchange.write(std::string(2000, 'y')));
    });
    REQUIRE(fetch(fixture.client, server.address(), {}).result.error != ErrorKind::None);
    REQUIRE(refused.get_future().get());
}

// Guards against timers that run on the system clock, which tests with a paused clock would have to wait for.
TEST_CASE("timers follow the paused clock")
{
    RuntimeClock::pause();
    {
        Fixture fixture;
        std::promise<void> fired;
        std::atomic<int> cancelledFired = 0;
        fixture.runtime.after(Seconds(3600), [&] { fired.set_value(); });
        auto cancelled = fixture.runtime.after(Seconds(10), [&] { ++cancelledFired; });
        cancelled.cancel();
        RuntimeClock::advance(Seconds(3600));
        fired.get_future().wait();
        REQUIRE(cancelledFired == 0);
    }
    RuntimeClock::resume();
}

// Guards against a service that terminates without an error message when its address is in use: Asio's own exception
// does not derive from `std::system_error`.
TEST_CASE("a server throws a system error when its address is in use")
{
    Fixture fixture;
    const auto ignore = [](const HttpRequest&, const HttpExchange&) { };
    HttpServer server(fixture.runtime, {}, ignore);
    HttpServer::Init init;
    init.listen = server.address();
    REQUIRE_THROWS_AS(HttpServer(fixture.runtime, init, ignore), std::system_error);
}

// A readiness event for the last bytes of a request may be reported after they were read; it was then mistaken for a
// disconnect. Many requests are sent, because only some of them hit this race.
TEST_CASE("a caller that waits for its response is not reported as disconnected")
{
    constexpr int callers = 64;
    constexpr int rounds = 150;
    Fixture fixture;
    Runtime runtime({ 8 });
    runtime.start();
    std::atomic<int> disconnected = 0;
    HttpServer server(runtime, {}, [&](const HttpRequest&, const HttpExchange& exchange) {
        // The caller may close its connection as soon as it has the answer.
        const auto responded = std::make_shared<std::atomic<bool>>(false);
        exchange.onDisconnect([&disconnected, responded] { disconnected += *responded ? 0 : 1; });
        runtime.after(Milliseconds(2), [exchange, responded] {
            *responded = true;
            exchange.respond(textResponse(200, "done"));
        });
    });
    std::atomic<int> answered = 0;
    std::atomic<int> ended = 0;
    std::function<void(int)> call = [&](int round) {
        fixture.client.send(server.address(), { "POST", "/", {}, std::string(3000, 'x') },
            { Milliseconds(20'000), false }, [&, round](const HttpResult& result, const HttpResponse& response) {
                answered += result.error == ErrorKind::None && response.status == 200 ? 1 : 0;
                if (round < rounds)
                    call(round + 1);
                else
                    ++ended;
            });
    };
    for (int index = 0; index < callers; ++index)
        call(1);
    REQUIRE(eventually([&] { return ended == callers; }));
    REQUIRE(disconnected == 0);
    REQUIRE(answered == callers * rounds);
}

// Guards against an unexpected error in one handler that ends the process or stops a periodic task.
TEST_CASE("an exception in a handler, a timer or a request ends nothing else")
{
    Fixture fixture;
    std::atomic<int> ticks = 0;
    auto timer = fixture.runtime.every(Milliseconds(5), [&] {
        ++ticks;
        throw std::runtime_error("timer");
    });
    for (int index = 0; index < 10; ++index)
        fixture.runtime.post([] { throw std::runtime_error("handler"); });
    HttpServer server(fixture.runtime, {}, [](const HttpRequest& request, const HttpExchange& exchange) {
        if (request.target == "/throws")
            throw std::runtime_error("request");
        exchange.respond({ 200, {}, "x" });
    });
    REQUIRE(fetch(fixture.client, server.address(), { "GET", "/throws", {}, {} }).response.status == 500);
    REQUIRE(fetch(fixture.client, server.address(), {}).response.status == 200);
    REQUIRE(eventually([&] { return ticks >= 3; }));
    timer.cancel();
}

// Guards against a call that never ends because one of its hooks threw.
TEST_CASE("an exception in a hook ends its call with an error")
{
    Fixture fixture;
    HttpServer server(fixture.runtime, {},
        [](const HttpRequest&, const HttpExchange& exchange) { exchange.respond({ 200, {}, "x" }); });
    std::promise<HttpResult> ended;
    HttpClientHooks hooks;
    hooks.onHead = [](const HttpResponse&) { throw std::runtime_error("head"); };
    hooks.onEnd = [&](HttpResult result) { ended.set_value(result); };
    fixture.client.stream(server.address(), {}, {}, std::move(hooks));
    const auto result = ended.get_future().get();
    REQUIRE(result.error == ErrorKind::EndpointFailed);
    REQUIRE(result.requestWritten);
}
