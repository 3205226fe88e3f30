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

// A runtime whose threads a test can block, as on an overloaded machine.
class BlockableRuntime {
public:
    explicit BlockableRuntime(std::size_t threads)
        : runtime({ threads })
        , threads(threads)
    {
        this->runtime.start();
    }

    /// Blocks all threads; returns once each of them is blocked.
    void block()
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

    void unblock() { this->released->set_value(); }

    Runtime runtime;

private:
    std::size_t threads;
    std::shared_ptr<std::promise<void>> released;
};

} // namespace

// Guards against closing the connection without a response: only a refusal tells the caller that its request was not
// executed.
TEST_CASE("an incomplete request is refused with status 408 after the read timeout")
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

// Guards against aborting a body on a slow link while it keeps arriving.
TEST_CASE("a body that keeps arriving may take longer than the read timeout")
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

// Guards against closing a keep-alive connection on which a request has arrived that the server has not been notified
// of yet.
TEST_CASE("a request that is in the socket when the idle timeout expires is served")
{
    constexpr int callers = 64;
    constexpr int rounds = 10;
    BlockableRuntime blockable(4);
    HttpServer::Init init;
    init.limits = [] { return HttpLimits { .idleTimeout = Milliseconds(100) }; };
    HttpServer server(blockable.runtime, init, answerDone);
    int answered = 0;
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::unique_ptr<RawConnection>> open;
        for (int index = 0; index < callers; ++index)
            open.push_back(std::make_unique<RawConnection>(server.address()));
        for (auto& caller : open)
            REQUIRE(caller->send(getRequest));
        for (auto& caller : open)
            REQUIRE(contains(caller->receive(answerLimit, "done"), "done"));
        blockable.block();
        for (auto& caller : open)
            REQUIRE(caller->send("GET /later HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
        std::this_thread::sleep_for(Milliseconds(150));
        blockable.unblock();
        for (auto& caller : open) {
            const auto& bytes = caller->receive(answerLimit);
            answered += bytes.find("done") != bytes.rfind("done") ? 1 : 0;
        }
    }
    REQUIRE(answered == callers * rounds);
}

// Guards against dropping requests that arrive just before a planned stop closes their idle connection.
TEST_CASE("a request that is in the socket when the server stops accepting is served")
{
    BlockableRuntime blockable(1);
    HttpServer server(blockable.runtime, {}, answerDone);
    RawConnection caller(server.address());
    REQUIRE(caller.send(getRequest));
    REQUIRE(contains(caller.receive(answerLimit, "done"), "done"));
    blockable.block();
    REQUIRE(caller.send("GET /later HTTP/1.1\r\nHost: h\r\n\r\n"));
    server.stopAccepting();
    blockable.unblock();
    const auto& bytes = caller.receive(answerLimit);
    REQUIRE(bytes.find("done") != bytes.rfind("done"));
    REQUIRE(contains(bytes, "Connection: close"));
    REQUIRE(caller.end() == RawConnection::End::Closed);
}

// Guards against closing idle connections after the old timeout when the limit was raised meanwhile.
TEST_CASE("an idle connection uses a timeout that is raised while it waits")
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

// Guards against a caller that assumes a keep-alive connection and sends its next request while the server closes it.
TEST_CASE("a response sent after the server began to close connections has Connection: close")
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

// Guards against dropping pipelined requests that were read before the connection closes.
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

// Guards against an abort that discards events written to the stream before it.
TEST_CASE("parts written before an abort reach the caller, and the response is visibly incomplete")
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

// Guards against an abort that waits forever for a caller that does not read.
TEST_CASE("an aborted response ends soon even if its caller does not read")
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

// Guards against a TCP reset that discards the refusal before the caller, which is still sending, has read it.
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
