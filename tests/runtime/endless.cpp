#include "../floodserver.h"
#include "../soon.h"
#include "peridotramp/runtime.h"

#include <catch2/catch.hpp>
#include <future>

using namespace peridotramp;

namespace {

constexpr std::size_t bodyLimit = std::size_t { 256 } * 1024;
// Bytes that a socket may accept beyond what its peer has read: the buffers of both ends.
constexpr std::size_t socketBytes = std::size_t { 16 } * 1024 * 1024;

struct Answer {
    HttpResult result;
    HttpResponse response;
};

struct Caller {
    Runtime runtime;
    HttpClient client { this->runtime, { .maxBodyBytes = bodyLimit } };

    Caller() { this->runtime.start(); }

    Answer fetch(const Address& address, HttpRequest request = {})
    {
        std::promise<Answer> promise;
        this->client.send(address, std::move(request), { Milliseconds(5000) },
            [&](HttpResult result, HttpResponse response) { promise.set_value({ result, std::move(response) }); });
        return promise.get_future().get();
    }
};

FloodServer::Init flood(const std::string& opening, const std::string& repeated)
{
    FloodServer::Init init;
    init.opening = [opening](const std::string&) { return opening; };
    init.repeated = repeated;
    return init;
}

const std::string block(std::size_t { 16 } * 1024, 'x');
const std::string chunk = "4000\r\n" + block + "\r\n";

// Checks that a response is rejected as too large, that its connection is closed, and that little of it was read.
void requireAborted(const FloodServer::Init& init)
{
    Caller caller;
    FloodServer server(init);
    const auto answer = caller.fetch(server.address());
    REQUIRE(answer.result.error == ErrorKind::AnswerTooLarge);
    REQUIRE(answer.result.requestWritten);
    REQUIRE(eventually([&] { return server.closedByCaller() == 1; }));
    REQUIRE(server.sentBytes() < bodyLimit + socketBytes);
    REQUIRE(answer.response.body.size() <= bodyLimit);
}

} // namespace

// Guards against running out of memory when a faulty peer sends an endless body.
TEST_CASE("an endless body is aborted at the limit, however it is framed")
{
    requireAborted(flood("HTTP/1.1 200 OK\r\n\r\n", block));
    requireAborted(flood("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", block));
    requireAborted(flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk));
    requireAborted(flood("HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", block));
}

TEST_CASE("the body limit may depend on the head of the response")
{
    Caller caller;
    FloodServer server(flood("HTTP/1.1 503 Full\r\n\r\n", block));
    std::promise<HttpResult> ended;
    std::size_t received = 0;
    HttpClientHooks hooks;
    hooks.bodyLimit = [](const HttpResponse& head) { return head.status == 503 ? std::size_t { 1000 } : bodyLimit; };
    hooks.onBody = [&](std::string_view part) { received += part.size(); };
    hooks.onEnd = [&](HttpResult result) { ended.set_value(result); };
    caller.client.stream(server.address(), {}, {}, std::move(hooks));
    REQUIRE(ended.get_future().get().error == ErrorKind::AnswerTooLarge);
    REQUIRE(received <= 1000);
}

TEST_CASE("a body of exactly the maximum size is received completely")
{
    Caller caller;
    HttpServer server(caller.runtime, {}, [](const HttpRequest&, const HttpExchange& exchange) {
        exchange.respond({ 200, {}, std::string(bodyLimit, 'x') });
    });
    const auto answer = caller.fetch(server.address());
    REQUIRE(answer.result.error == ErrorKind::None);
    REQUIRE(answer.response.body.size() == bodyLimit);
}

// Guards against an unbounded read buffer: the parser buffers chunk extensions and trailers until they are complete.
TEST_CASE("endless chunk extensions and trailers are aborted at the limit")
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    requireAborted(flood(head + "4;name=", block));
    requireAborted(flood(head + "1\r\nx\r\n0\r\n", "Name: value\r\n"));
    requireAborted(flood(head + "0\r\nName: ", block));
}

TEST_CASE("an endless head is aborted at the limit")
{
    requireAborted(flood("HTTP/1.1 200 ", block));
    requireAborted(flood("HTTP/1.1 200 OK\r\nName: ", block));
    requireAborted(flood("HTTP/1.1 200 OK\r\n", "Name: value\r\n"));
}

TEST_CASE("bytes that are not HTTP end the call and the connection")
{
    Caller caller;
    FloodServer server(flood("", block));
    const auto answer = caller.fetch(server.address());
    REQUIRE(answer.result.error == ErrorKind::EndpointFailed);
    REQUIRE(answer.response.status == 0);
    REQUIRE(eventually([&] { return server.closedByCaller() == 1; }));
    REQUIRE(server.sentBytes() < socketBytes);
}

// Guards against mistaking an interim response for the final one.
TEST_CASE("interim responses are skipped and count towards the head limit")
{
    Caller caller;
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    FloodServer server(
        flood("HTTP/1.1 100 Continue\r\n\r\n" + interim + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", ""));
    const auto answer = caller.fetch(server.address());
    REQUIRE(answer.result.error == ErrorKind::None);
    REQUIRE(answer.response.status == 200);
    REQUIRE(answer.response.body == "done");
    requireAborted(flood("", interim));
    FloodServer switching(flood("HTTP/1.1 101 Switching Protocols\r\n\r\n", block));
    REQUIRE(caller.fetch(switching.address()).result.error == ErrorKind::EndpointFailed);
}

// Guards against mistaking bytes after a response for the response to the next request.
TEST_CASE("endless bytes after a response close the connection and leave the response intact")
{
    Caller caller;
    const std::string answerBytes = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    FloodServer server(flood(answerBytes + block, block));
    for (std::size_t round = 1; round <= 3; ++round) {
        const auto answer = caller.fetch(server.address());
        REQUIRE(answer.result.error == ErrorKind::None);
        REQUIRE(answer.response.body == "done");
        REQUIRE(server.connections() == round);
    }
    REQUIRE(server.sentBytes() < 3 * socketBytes);
    // Nor may bytes that arrive after the connection was reused be taken for a response.
    FloodServer late(flood(answerBytes, block));
    for (int round = 0; round < 20; ++round) {
        const auto answer = caller.fetch(late.address());
        const bool isWhole = answer.result.error == ErrorKind::None && answer.response.body == "done";
        const bool isFailed = answer.result.error == ErrorKind::EndpointFailed && answer.response.status == 0;
        REQUIRE((isWhole || isFailed));
    }
}

// Guards against unbounded memory use when the consumer is slower than the peer.
TEST_CASE("a call stops reading when its flow-control window is full")
{
    constexpr std::size_t window = std::size_t { 64 } * 1024;
    constexpr std::size_t block16 = std::size_t { 16 } * 1024;
    Caller caller;
    FloodServer server(flood("HTTP/1.1 200 OK\r\n\r\n", block));
    std::atomic<std::size_t> received = 0;
    std::promise<HttpResult> ended;
    HttpClientHooks hooks;
    hooks.bodyLimit = [](const HttpResponse&) { return std::numeric_limits<std::size_t>::max(); };
    hooks.onBody = [&](std::string_view part) { received += part.size(); };
    hooks.onEnd = [&](HttpResult result) { ended.set_value(result); };
    const auto call
        = caller.client.stream(server.address(), {}, { Milliseconds(30'000), true, window }, std::move(hooks));
    std::size_t consumed = 0;
    for (int round = 0; round < 50; ++round) {
        REQUIRE(eventually([&] { return received >= consumed + window; }));
        std::this_thread::sleep_for(Milliseconds(2));
        const auto ahead = received - consumed;
        REQUIRE(ahead < window + block16);
        consumed += ahead;
        call.consume(ahead);
    }
    call.cancel();
    auto result = ended.get_future();
    REQUIRE(result.wait_for(testTimeout) == std::future_status::ready);
    REQUIRE(result.get().error == ErrorKind::Cancelled);
    REQUIRE(eventually([&] { return server.closedByCaller() == 1; }));
}

TEST_CASE("a call whose flow-control window stays full ends at its timeout")
{
    Caller caller;
    FloodServer server(flood("HTTP/1.1 200 OK\r\n\r\n", block));
    std::promise<HttpResult> ended;
    HttpClientHooks hooks;
    hooks.bodyLimit = [](const HttpResponse&) { return std::numeric_limits<std::size_t>::max(); };
    hooks.onEnd = [&](HttpResult result) { ended.set_value(result); };
    caller.client.stream(server.address(), {}, { Milliseconds(300), true, 1000 }, std::move(hooks));
    REQUIRE(ended.get_future().get().error == ErrorKind::DeadlineExceeded);
    REQUIRE(eventually([&] { return server.closedByCaller() == 1; }));
}

// Guards against running out of memory when a caller sends endless chunk extensions or trailers.
TEST_CASE("a request with endless chunk extensions or trailers is refused and does not reach the handler")
{
    constexpr std::size_t maxBytes = std::size_t { 64 } * 1024 * 1024;
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string opening : { "4;name=", "1\r\nx\r\n0\r\nName: " }) {
        Runtime runtime;
        runtime.start();
        std::atomic<int> handled = 0;
        HttpServer server(runtime, {}, [&](const HttpRequest&, const HttpExchange& exchange) {
            ++handled;
            exchange.respond({});
        });
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({ asio::ip::address_v4::loopback(), server.address().port });
        asio::write(socket, asio::buffer(head + opening));
        std::size_t sent = 0;
        boost::system::error_code error;
        while (!error && sent < maxBytes)
            sent += asio::write(socket, asio::buffer(block), error);
        REQUIRE(sent < socketBytes);
        REQUIRE(handled == 0);
    }
}
