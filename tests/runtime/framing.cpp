#include "../rawconnection.h"
#include "peridotramp/runtime.h"

#include <catch2/catch.hpp>

using namespace peridotramp;

namespace {

constexpr Milliseconds answerLimit { 3000 };

// A server that counts the requests that reach its handler.
struct CountingServer {
    explicit CountingServer(HttpLimits limits = {})
        : server(this->runtime, initWith(limits), [this](const HttpRequest& request, const HttpExchange& exchange) {
            ++this->handled;
            exchange.respond(textResponse(200, request.body));
        })
    {
        this->runtime.start();
    }

    static HttpServer::Init initWith(HttpLimits limits)
    {
        HttpServer::Init init;
        init.limits = [limits] { return limits; };
        return init;
    }

    std::atomic<int> handled = 0;
    Runtime runtime { { 2 } };
    HttpServer server;
};

// Sends raw bytes and returns what the server answers until it closes the connection.
std::string answerTo(CountingServer& target, std::string_view bytes)
{
    RawConnection caller(target.server.address());
    REQUIRE(caller.send(bytes));
    const std::string answer = caller.receive(answerLimit);
    CHECK(caller.end() == RawConnection::End::Closed);
    return answer;
}

std::string statusLineOf(const std::string& answer) { return answer.substr(0, answer.find("\r\n")); }

// A request that a caller hides in the body of another one.
constexpr std::string_view hiddenRequest = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

// Guards against request smuggling: a body with a transfer coding that the server does not decode must not be read as a
// further request.
TEST_CASE("a request with another transfer coding than a single final chunked is refused and ends its connection")
{
    CountingServer target;
    const auto refusal = [&](const std::string& framing) {
        const auto answer
            = answerTo(target, "POST /x HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n" + std::string(hiddenRequest));
        INFO(framing);
        CHECK(target.handled == 0);
        CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
        return statusLineOf(answer);
    };
    const std::string badRequest = "HTTP/1.1 400 Bad Request";
    const std::string notImplemented = "HTTP/1.1 501 Not Implemented";
    REQUIRE(refusal("Transfer-Encoding: xchunked") == badRequest);
    REQUIRE(refusal("Transfer-Encoding: identity") == badRequest);
    REQUIRE(refusal("Transfer-Encoding:") == badRequest);
    REQUIRE(refusal("Transfer-Encoding: chunked, gzip") == badRequest);
    REQUIRE(refusal("Transfer-Encoding: chunked, chunked") == badRequest);
    REQUIRE(refusal("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked") == badRequest);
    REQUIRE(refusal("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip") == badRequest);
    REQUIRE(refusal("Transfer-Encoding: chunked\r\nContent-Length: 5") == badRequest);
    REQUIRE(refusal("Content-Length: 5\r\nTransfer-Encoding: xchunked") == badRequest);
    REQUIRE(refusal("Content-Length: 5\r\nContent-Length: 6") == badRequest);
    REQUIRE(refusal("Transfer-Encoding: gzip, chunked") == notImplemented);
    REQUIRE(refusal("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked") == notImplemented);
}

// Guards against a transfer coding that a server of HTTP/1.0 does not know and takes for an empty body.
TEST_CASE("a request of HTTP/1.0 with a transfer coding is refused")
{
    CountingServer target;
    const auto answer
        = answerTo(target, "POST /x HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    REQUIRE(statusLineOf(answer) == "HTTP/1.1 400 Bad Request");
    REQUIRE(target.handled == 0);
}

// Guards against two readers of one request that route it by different hosts.
TEST_CASE("a request without exactly one valid host is refused")
{
    CountingServer target;
    const auto refusal = [&](const std::string& headers) {
        INFO(headers);
        return statusLineOf(answerTo(target, "GET /x HTTP/1.1\r\n" + headers + "\r\n"));
    };
    const std::string badRequest = "HTTP/1.1 400 Bad Request";
    REQUIRE(refusal("Accept: a\r\n") == badRequest);
    REQUIRE(refusal("Host: a\r\nHost: b\r\n") == badRequest);
    REQUIRE(refusal("Host: a\r\nHost: a\r\n") == badRequest);
    REQUIRE(refusal("Host: a, b\r\n") == badRequest);
    REQUIRE(refusal("Host: a b\r\n") == badRequest);
    REQUIRE(refusal("Host: user@a\r\n") == badRequest);
    REQUIRE(target.handled == 0);
}

// Guards against a check of the head that refuses proper requests.
TEST_CASE("requests with proper framing are served")
{
    CountingServer target;
    RawConnection caller(target.server.address());
    REQUIRE(caller.send("POST /x HTTP/1.1\r\nHost: h:8080\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"));
    REQUIRE(caller.receive(answerLimit, "ab").find("HTTP/1.1 200") == 0);
    REQUIRE(caller.send("POST /x HTTP/1.1\r\nHost: [::1]:80\r\nContent-Length: 2\r\n\r\ncd"));
    REQUIRE(caller.receive(answerLimit, "cd").find("cd") != std::string::npos);
    REQUIRE(statusLineOf(answerTo(target, "GET /x HTTP/1.0\r\n\r\n")).find("200") != std::string::npos);
    REQUIRE(target.handled == 3);
}

// Guards against callers that occupy connections with heads that never end.
TEST_CASE("a head that arrives byte by byte ends by the read timeout")
{
    constexpr Milliseconds readTimeout { 300 };
    CountingServer target({ .readTimeout = readTimeout });
    RawConnection caller(target.server.address());
    REQUIRE(caller.send("GET /x HTTP/1.1\r\nHost: h\r\nX: "));
    // Each byte arrives well within the timeout, which applies to the head as a whole.
    constexpr Milliseconds pause { 20 };
    const auto answered = [&] { return caller.receive(pause, "HTTP/1.1").find("HTTP/1.1") != std::string::npos; };
    int sent = 0;
    while (!answered() && sent < 500 && caller.send("a"))
        ++sent;
    REQUIRE(statusLineOf(caller.receive(answerLimit)) == "HTTP/1.1 408 Request Timeout");
    REQUIRE(target.handled == 0);
}
