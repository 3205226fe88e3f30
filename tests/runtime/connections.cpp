#include "../rawconnection.h"
#include "../soon.h"
#include "peridotramp/runtime.h"

#include <catch2/catch.hpp>
#include <future>
#include <memory>

using namespace peridotramp;

namespace {

constexpr Milliseconds answerLimit { 3000 };
constexpr std::string_view getRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

void answerDone(const HttpRequest&, const HttpExchange& exchange) { exchange.respond(textResponse(200, "done")); }

bool contains(std::string_view text, std::string_view part) { return text.find(part) != std::string_view::npos; }

// An event loop whose threads a test holds up, as on a machine with little processor time.
class LateLoop {
public:
    explicit LateLoop(std::size_t threads)
        : runtime({ threads })
        , threads(threads)
    {
        this->runtime.start();
    }

    /// Holds up all threads; returns once each is held.
    void holdUp()
    {
        this->released = std::make_shared<std::promise<void>>();
        const auto released = this->released->get_future().share();
        const auto held = std::make_shared<std::atomic<std::size_t>>(0);
        for (std::size_t index = 0; index < this->threads; ++index)
            this->runtime.post([held, released] {
                ++*held;
                released.wait();
            });
        REQUIRE(eventually([&] { return *held == this->threads; }));
    }

    void goOn() { this->released->set_value(); }

    Runtime runtime;

private:
    std::size_t threads;
    std::shared_ptr<std::promise<void>> released;
};

} // namespace

// Guards against a caller that gets a closed connection, which promises nothing, in place of the refusal that says that
// its request has not run.
TEST_CASE("a request whose rest does not come in time is refused as not run")
{
    Runtime runtime({ 2 });
    runtime.start();
    HttpServer::Init init;
    init.limits = [] { return HttpLimits { .readTimeout = Milliseconds(150) }; };
    HttpServer server(runtime, init, answerDone);
    RawConnection caller(server.address());
    REQUIRE(caller.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345"));
    REQUIRE(contains(caller.receive(answerLimit), "HTTP/1.1 408"));
    REQUIRE(caller.end() == RawConnection::End::Closed);
}

// Guards against a body on a slow link that is cut although it goes on arriving.
TEST_CASE("a body that goes on arriving may take longer than the read time-out")
{
    Runtime runtime({ 2 });
    runtime.start();
    HttpServer::Init init;
    init.limits = [] { return HttpLimits { .readTimeout = Milliseconds(400) }; };
    HttpServer server(runtime, init, answerDone);
    RawConnection caller(server.address());
    REQUIRE(caller.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n"));
    for (int part = 0; part < 10; ++part) {
        std::this_thread::sleep_for(Milliseconds(80));
        REQUIRE(caller.send("x"));
    }
    REQUIRE(contains(caller.receive(answerLimit, "done"), "200 OK"));
}

// Guards against requests on kept connections that are dropped unread, because the server learns late that they
// arrived.
TEST_CASE("a request that waits in the socket when the idle time ends is served")
{
    constexpr int callers = 64;
    constexpr int rounds = 10;
    LateLoop loop(4);
    HttpServer::Init init;
    init.limits = [] { return HttpLimits { .idleTimeout = Milliseconds(100) }; };
    HttpServer server(loop.runtime, init, answerDone);
    int answered = 0;
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::unique_ptr<RawConnection>> open;
        for (int index = 0; index < callers; ++index)
            open.push_back(std::make_unique<RawConnection>(server.address()));
        for (auto& caller : open)
            REQUIRE(caller->send(getRequest));
        for (auto& caller : open)
            REQUIRE(contains(caller->receive(answerLimit, "done"), "done"));
        loop.holdUp();
        for (auto& caller : open)
            REQUIRE(caller->send("GET /later HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
        std::this_thread::sleep_for(Milliseconds(150));
        loop.goOn();
        for (auto& caller : open) {
            const auto& bytes = caller->receive(answerLimit);
            answered += bytes.find("done") != bytes.rfind("done") ? 1 : 0;
        }
    }
    REQUIRE(answered == callers * rounds);
}

// Guards against requests that arrive before an idle connection is closed at a planned stop and are dropped unread.
TEST_CASE("a request that waits in the socket when the server stops accepting is served")
{
    LateLoop loop(1);
    HttpServer server(loop.runtime, {}, answerDone);
    RawConnection caller(server.address());
    REQUIRE(caller.send(getRequest));
    REQUIRE(contains(caller.receive(answerLimit, "done"), "done"));
    loop.holdUp();
    REQUIRE(caller.send("GET /later HTTP/1.1\r\nHost: h\r\n\r\n"));
    server.stopAccepting();
    loop.goOn();
    const auto& bytes = caller.receive(answerLimit);
    REQUIRE(bytes.find("done") != bytes.rfind("done"));
    REQUIRE(contains(bytes, "Connection: close"));
    REQUIRE(caller.end() == RawConnection::End::Closed);
}

// Guards against connections that are closed too early for what the newest limits let callers expect.
TEST_CASE("an idle connection follows a limit that is raised while it waits")
{
    Runtime runtime({ 2 });
    runtime.start();
    std::atomic<int> idleMs = 150;
    HttpServer::Init init;
    init.limits = [&] { return HttpLimits { .idleTimeout = Milliseconds(idleMs.load()) }; };
    HttpServer server(runtime, init, answerDone);
    RawConnection caller(server.address());
    REQUIRE(caller.send(getRequest));
    REQUIRE(contains(caller.receive(answerLimit, "done"), "done"));
    std::this_thread::sleep_for(Milliseconds(50));
    idleMs = 60'000;
    caller.receive(Milliseconds(400), "no such bytes");
    REQUIRE(caller.end() == RawConnection::End::Open);
    REQUIRE(caller.send("GET /later HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
    const auto& bytes = caller.receive(answerLimit);
    REQUIRE(bytes.find("done") != bytes.rfind("done"));
}

// Guards against a caller that takes its connection for a kept one and sends its next request while it is closed.
TEST_CASE("an answer to a request that ran when the server began to close connections says so")
{
    Runtime runtime({ 2 });
    runtime.start();
    const bool stops = GENERATE(false, true);
    std::promise<HttpExchange> held;
    HttpServer server(runtime, {}, [&](const HttpRequest&, const HttpExchange& exchange) { held.set_value(exchange); });
    RawConnection caller(server.address());
    REQUIRE(caller.send(getRequest));
    const auto exchange = held.get_future().get();
    if (stops)
        server.stopAccepting();
    else
        server.closeAfterResponses(true);
    exchange.respond(textResponse(200, "done"));
    REQUIRE(contains(caller.receive(answerLimit), "Connection: close"));
    REQUIRE(contains(caller.bytes(), "done"));
    REQUIRE(caller.end() == RawConnection::End::Closed);
}

// Guards against requests that the server has read and drops, because it closes the connection after the answer before.
TEST_CASE("pipelined requests that were read are answered before the server closes their connection")
{
    Runtime runtime({ 2 });
    runtime.start();
    HttpServer server(runtime, {}, answerDone);
    server.closeAfterResponses(true);
    RawConnection caller(server.address());
    REQUIRE(caller.send(std::string(getRequest) + std::string(getRequest)));
    const auto& bytes = caller.receive(answerLimit);
    REQUIRE(bytes.find("done") != bytes.rfind("done"));
    REQUIRE(bytes.find("Connection: close") > bytes.find("done"));
    REQUIRE(caller.end() == RawConnection::End::Closed);
}

// Guards against a stream that is aborted and takes events with it that were handed to the server before.
TEST_CASE("what was written before an abort reaches the caller, and the answer does not look complete")
{
    Runtime runtime({ 2 });
    runtime.start();
    HttpServer server(runtime, {}, [](const HttpRequest&, const HttpExchange& exchange) {
        exchange.startStream({ 200, {}, {} });
        exchange.write("event");
        exchange.abort();
    });
    RawConnection caller(server.address());
    REQUIRE(caller.send(getRequest));
    REQUIRE(contains(caller.receive(answerLimit), "event"));
    REQUIRE_FALSE(contains(caller.bytes(), "0\r\n\r\n"));
    REQUIRE(caller.end() != RawConnection::End::Open);
}

// Guards against an abort that waits for a caller that reads nothing.
TEST_CASE("an aborted answer ends soon although its caller does not read")
{
    Runtime runtime({ 2 });
    runtime.start();
    HttpServer::Init init;
    init.maxPendingBytes = std::size_t { 64 } * 1024 * 1024;
    HttpServer server(runtime, init, [](const HttpRequest&, const HttpExchange& exchange) {
        exchange.startStream({ 200, {}, {} });
        for (int part = 0; part < 32; ++part)
            exchange.write(std::string(std::size_t { 1024 } * 1024, 'x'));
        exchange.abort();
    });
    RawConnection caller(server.address(), 4096);
    REQUIRE(caller.send(getRequest));
    caller.receive(answerLimit, "200 OK");
    REQUIRE(eventually([&] { return server.activeExchanges() == 0; }));
}

// Guards against a reset that destroys the refusal of a request before its caller, which still sends, has read it.
TEST_CASE("the refusal of a request reaches a caller that is still sending it")
{
    constexpr int callers = 20;
    constexpr std::size_t bodyBytes = std::size_t { 4 } * 1024 * 1024;
    Runtime runtime({ 2 });
    runtime.start();
    HttpServer::Init init;
    init.limits = [] { return HttpLimits { .maxBodyBytes = 100 }; };
    HttpServer server(runtime, init, answerDone);
    for (int index = 0; index < callers; ++index) {
        RawConnection caller(server.address());
        caller.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n");
        REQUIRE(caller.send(std::string(bodyBytes, 'x')));
        REQUIRE(contains(caller.receive(answerLimit), "HTTP/1.1 413"));
        REQUIRE(caller.end() == RawConnection::End::Closed);
    }
}
