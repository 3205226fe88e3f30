#include "../../src/runtime/intake_p.h"
#include "../rawconnection.h"
#include "peridotramp/runtime.h"

#include <catch2/catch.hpp>

using namespace peridotramp;

namespace {

// Entries that record their evictions, by name.
struct Entries {
    Intake::Key add(const std::string& name, std::size_t bytes)
    {
        return this->intake.add(bytes, [this, name] { this->evicted += name; });
    }

    Intake intake { 100 };
    std::string evicted;
};

} // namespace

// Guards against callers that each keep to the limits of one request and together use up the memory of the process.
TEST_CASE("the oldest entries that are not pinned are evicted while the sum exceeds the bound")
{
    Entries entries;
    const auto first = entries.add("a", 30);
    const auto second = entries.add("b", 30);
    const auto third = entries.add("c", 30);
    REQUIRE(entries.evicted.empty());
    REQUIRE(entries.intake.pin(first));
    REQUIRE(entries.intake.reserve(third, 60));
    REQUIRE(entries.evicted == "b");
    // Its memory counts until the owner has freed it.
    REQUIRE(entries.intake.bytes() == 120);
    REQUIRE_FALSE(entries.intake.pin(second));
    REQUIRE_FALSE(entries.intake.reserve(second, 40));
    entries.intake.remove(second);
    REQUIRE(entries.intake.bytes() == 90);
}

// Guards against memory that is reserved again and again before that of evicted entries is free.
TEST_CASE("nothing is reserved while the memory that is not freed yet doubles the bound")
{
    Entries entries;
    const auto first = entries.add("a", 100);
    const auto second = entries.add("b", 90);
    REQUIRE(entries.evicted == "a");
    REQUIRE(entries.intake.reserve(second, 100));
    const auto third = entries.add("c", 0);
    REQUIRE_FALSE(entries.intake.reserve(third, 10));
    REQUIRE(entries.evicted == "abc");
    entries.intake.remove(first);
    entries.intake.remove(second);
    entries.intake.remove(third);
    REQUIRE(entries.intake.bytes() == 0);
    const auto fourth = entries.add("d", 0);
    REQUIRE(entries.intake.reserve(fourth, 100));
}

// Guards against a request that is refused because requests in progress use the memory, although it is a small one.
TEST_CASE("entries that are served are not evicted, and the newest entry is evicted last")
{
    Entries entries;
    const auto first = entries.add("a", 60);
    REQUIRE(entries.intake.pin(first));
    entries.add("b", 30);
    const auto third = entries.add("c", 20);
    REQUIRE(entries.evicted == "b");
    REQUIRE(entries.intake.reserve(third, 40));
    REQUIRE(entries.evicted == "b");
    REQUIRE(entries.intake.evictOldest());
    REQUIRE(entries.evicted == "bc");
    REQUIRE_FALSE(entries.intake.evictOldest());
}

// Guards against unfinished requests that keep ordinary callers out.
TEST_CASE("a server closes the oldest unfinished requests when their memory is used up, and serves a new one")
{
    Runtime runtime { { 2 } };
    std::atomic<int> evicted = 0;
    HttpServer::Init init;
    init.maxRequestMemory = std::size_t { 256 } * 1024;
    init.onConnectionEnd
        = [&](const ConnectionEnd& end) { evicted += end.reason == ConnectionEnd::Reason::Evicted ? 1 : 0; };
    HttpServer server(runtime, init, [](const HttpRequest& request, const HttpExchange& exchange) {
        exchange.respond(textResponse(200, request.body));
    });
    runtime.start();
    const auto unfinished = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + std::string(100'000, 'x');
    RawConnection first(server.address());
    REQUIRE(first.send(unfinished));
    RawConnection second(server.address());
    REQUIRE(second.send(unfinished));
    RawConnection third(server.address());
    static_cast<void>(third.send(unfinished));
    first.receive(Milliseconds(5000));
    REQUIRE(first.end() != RawConnection::End::Open);
    REQUIRE(first.bytes().empty());
    RawConnection ordinary(server.address());
    REQUIRE(ordinary.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"));
    REQUIRE(ordinary.receive(Milliseconds(5000), "ab").find("HTTP/1.1 200") == 0);
    REQUIRE(evicted >= 1);
    runtime.stop();
    runtime.waitForStop();
}

// Guards against a connection that is evicted before it waits for input, and then waits for the whole idle timeout.
TEST_CASE("a connection for which there is no memory is closed at once")
{
    Runtime runtime { { 2 } };
    HttpServer::Init init;
    init.maxRequestMemory = 1024;
    HttpServer server(runtime, init,
        [](const HttpRequest&, const HttpExchange& exchange) { exchange.respond(textResponse(200, "done")); });
    runtime.start();
    RawConnection caller(server.address());
    caller.receive(Milliseconds(5000));
    REQUIRE(caller.end() != RawConnection::End::Open);
    runtime.stop();
    runtime.waitForStop();
}

// Guards against connections that send nothing and leave no place for others.
TEST_CASE("at its connection limit a server replaces the oldest connection that has completed no request")
{
    Runtime runtime { { 2 } };
    HttpServer::Init init;
    init.maxConnections = 3;
    HttpServer server(runtime, init,
        [](const HttpRequest&, const HttpExchange& exchange) { exchange.respond(textResponse(200, "done")); });
    runtime.start();
    constexpr std::string_view request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    RawConnection served(server.address());
    REQUIRE(served.send(request));
    REQUIRE(served.receive(Milliseconds(5000), "done").find("HTTP/1.1 200") == 0);
    RawConnection silent(server.address());
    RawConnection later(server.address());
    RawConnection ordinary(server.address());
    REQUIRE(ordinary.send(request));
    REQUIRE(ordinary.receive(Milliseconds(5000), "done").find("HTTP/1.1 200") == 0);
    silent.receive(Milliseconds(5000));
    REQUIRE(silent.end() != RawConnection::End::Open);
    REQUIRE(served.send(request));
    REQUIRE(served.receive(Milliseconds(5000), "done\n").find("HTTP/1.1 200") == 0);
    runtime.stop();
    runtime.waitForStop();
}
