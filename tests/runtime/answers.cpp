#include "../../src/runtime/framing_p.h"
#include "../resettingserver.h"
#include "../scriptedserver.h"
#include "peridotramp/runtime.h"

#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace peridotramp;

namespace {

constexpr Milliseconds answerLimit { 3000 };

struct Answer {
    HttpResult result;
    HttpResponse response;
};

struct Caller {
    Runtime runtime { { 2 } };
    HttpClient client { this->runtime };

    Caller() { this->runtime.start(); }

    // Accepts only a response with the request's id.
    Answer fetch(
        const Address& address, const std::string& id, Milliseconds timeout = answerLimit, std::string body = {})
    {
        std::promise<Answer> promise;
        auto response = std::make_shared<HttpResponse>(HttpResponse { 0 });
        HttpClientHooks hooks;
        hooks.isAnswer
            = [id](const HttpResponse& head) { return HttpRequest { {}, {}, head.headers, {} }.header("Id") == id; };
        hooks.onHead = [response](const HttpResponse& head) { *response = head; };
        hooks.onBody = [response](std::string_view part) { response->body.append(part); };
        hooks.onEnd = [&](HttpResult result) { promise.set_value({ result, *response }); };
        this->client.stream(address, { "GET", "/", { { "Id", id } }, std::move(body) }, { timeout }, std::move(hooks));
        return promise.get_future().get();
    }
};

std::string responseTo(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against a body in an unknown transfer coding that is passed on as the answer.
TEST_CASE("a response with another transfer coding than a single final chunked is a failure of the endpoint")
{
    const auto errorOf = [](const std::string& framing) {
        Caller caller;
        ScriptedServer server([&](const ScriptedServer::Request&) {
            return "HTTP/1.1 200 OK\r\nId: a\r\n" + framing + "\r\n\r\n2\r\nab\r\n0\r\n\r\n";
        });
        INFO(framing);
        return caller.fetch(server.address(), "a").result.error;
    };
    REQUIRE(errorOf("Transfer-Encoding: chunked") == ErrorKind::None);
    REQUIRE(errorOf("Transfer-Encoding: xchunked") == ErrorKind::EndpointFailed);
    REQUIRE(errorOf("Transfer-Encoding: chunked, gzip") == ErrorKind::EndpointFailed);
    REQUIRE(errorOf("Transfer-Encoding: gzip, chunked") == ErrorKind::EndpointFailed);
    REQUIRE(errorOf("Transfer-Encoding: chunked\r\nContent-Length: 2") == ErrorKind::EndpointFailed);
    REQUIRE(errorOf("Content-Length: 2\r\nContent-Length: 3") == ErrorKind::EndpointFailed);
}

// Guards against a late second copy of an answer that fails, or is passed on to, the next request on its connection.
TEST_CASE("a late copy of an earlier response is skipped, and its connection is not used again")
{
    Caller caller;
    ScriptedServer server([](const ScriptedServer::Request& request) {
        const auto id = request.header("Id");
        const bool isSecond = request.connection == 0 && request.index == 1;
        return (isSecond ? responseTo("a", "first") : std::string()) + responseTo(id, "body of " + id);
    });
    REQUIRE(caller.fetch(server.address(), "a").response.body == "body of a");
    const auto second = caller.fetch(server.address(), "b");
    REQUIRE(second.result.error == ErrorKind::None);
    REQUIRE(second.response.body == "body of b");
    REQUIRE(caller.fetch(server.address(), "c").response.body == "body of c");
    const auto seen = server.requests();
    REQUIRE(seen.size() == 3);
    REQUIRE(seen[1].connection == 0);
    REQUIRE(seen[2].connection == 1);
}

// Guards against waiting for another answer where none can have been sent before.
TEST_CASE("a response to another request is passed on when the connection is new")
{
    Caller caller;
    ScriptedServer server([](const ScriptedServer::Request&) { return responseTo("other", "x"); });
    const auto answer = caller.fetch(server.address(), "a");
    REQUIRE(answer.result.error == ErrorKind::None);
    REQUIRE(answer.response.headers.front().value == "other");
}

// Guards against a call that reads copies of earlier responses without end.
TEST_CASE("a call skips only a few copies of earlier responses")
{
    Caller caller;
    ScriptedServer server([](const ScriptedServer::Request& request) {
        std::string copies;
        for (int copy = 0; copy < 10; ++copy)
            copies += responseTo("a", "first");
        return request.index == 0 ? responseTo("a", "first") : copies;
    });
    REQUIRE(caller.fetch(server.address(), "a").response.body == "first");
    const auto second = caller.fetch(server.address(), "b");
    REQUIRE(second.result.error == ErrorKind::None);
    REQUIRE(second.response.headers.front().value == "a");
}

// Guards against a part of an answer that is taken for the whole: the write of the request consumed the error of the
// reset connection, and the read after it returned the end of the stream.
TEST_CASE("a response without a length is incomplete when its connection is reset during the upload of the request")
{
    constexpr std::size_t uploadBytes = std::size_t { 64 } * 1024 * 1024;
    for (int round = 0; round < 5; ++round) {
        Caller caller;
        const ResettingServer server([](const std::string&) { return "HTTP/1.1 200 OK\r\nId: a\r\n\r\na part"; });
        const auto answer = caller.fetch(server.address(), "a", answerLimit, std::string(uploadBytes, 'x'));
        REQUIRE(answer.response.body == "a part");
        REQUIRE(answer.result.error != ErrorKind::None);
    }
}

TEST_CASE("a response without a length that ends with its connection is complete")
{
    Caller caller;
    const ScriptedServer server([](const ScriptedServer::Request&) {
        return ScriptedServer::Answer { "HTTP/1.1 200 OK\r\nId: a\r\n\r\nthe whole", true };
    });
    const auto answer = caller.fetch(server.address(), "a");
    REQUIRE(answer.result.error == ErrorKind::None);
    REQUIRE(answer.response.body == "the whole");
}

// Guards against an answer with a status that none has, which is passed on or skipped like an interim response.
TEST_CASE("a response whose status is not between 100 and 599 is a failure of the endpoint")
{
    for (const std::string status : { "000", "001", "099", "600", "999" }) {
        Caller caller;
        const ScriptedServer server([&](const ScriptedServer::Request&) {
            return "HTTP/1.1 " + status + " X\r\nId: a\r\nContent-Length: 0\r\n\r\n" + responseTo("a", "later");
        });
        INFO(status);
        const auto answer = caller.fetch(server.address(), "a");
        REQUIRE(answer.result.error == ErrorKind::EndpointFailed);
        REQUIRE(answer.response.status == 0);
    }
}

// Guards against a malformed line of a head that is passed on as a part of the field before it, and against a body that
// is delimited by what other readers of the head would not see.
TEST_CASE("a response with a malformed header line is a failure of the endpoint")
{
    using namespace std::string_literals;
    const auto errorOf = [](const std::string& line, const std::string& before) {
        Caller caller;
        const ScriptedServer server([&](const ScriptedServer::Request&) {
            return (before.ends_with("200 OK\r\n") ? "HTTP/1.1 103 X\r\n" : "HTTP/1.1 200 OK\r\n") + before + line
                + "\r\nContent-Length: 2\r\n\r\nab";
        });
        const auto answer = caller.fetch(server.address(), "a");
        REQUIRE((answer.result.error == ErrorKind::None) == (answer.response.status == 200));
        return answer.result.error;
    };
    REQUIRE(errorOf("X-A: 1", "Id: a\r\n") == ErrorKind::None);
    REQUIRE(errorOf("Id: a", "") == ErrorKind::None);
    for (const auto& line : { " X-A: 1"s, "\tX-A: 1"s, "X A: 1"s, "X-A : 1"s, "X-A\t: 1"s, "X\x01: 1"s, "\x01X: 1"s,
             "X\0A: 1"s, "X\x7f: 1"s, "X\rA: 1"s, "X\nA: 1"s, ": 1"s, "X-A"s, "X-A: \x01"s, "X-A: 1\r 2"s,
             "X-A: 1\n 2"s, "X-A: \0"s, " Content-Length: 1"s, " Transfer-Encoding: chunked"s }) {
        INFO(line);
        CHECK(errorOf(line, "Id: a\r\n") == ErrorKind::EndpointFailed);
        CHECK(errorOf(line, "") == ErrorKind::EndpointFailed);
    }
    // The head of an interim response is no exception, and a body may hold anything.
    REQUIRE(errorOf("Id: a", "X: 1\r\n Y: 2\r\n\r\nHTTP/1.1 200 OK\r\n") == ErrorKind::EndpointFailed);
    Caller caller;
    const ScriptedServer server([](const ScriptedServer::Request&) { return responseTo("a", "one\n two\r\n\tthree"); });
    REQUIRE(caller.fetch(server.address(), "a").result.error == ErrorKind::None);
}

// Guards against a body that is taken for a part of the head, because the two arrive together or the head in pieces.
TEST_CASE("only the lines of the head are searched for continuation lines")
{
    REQUIRE(hasContinuationLine("X: 1\r\n Y: 2\r\n\r\n"));
    REQUIRE(hasContinuationLine("X: 1\r\n\tY"));
    REQUIRE_FALSE(hasContinuationLine("X: 1\r\nY: 2\r\n\r\nbody\n line"));
    REQUIRE_FALSE(hasContinuationLine("\r\nbody\n line\r\n\r\n"));
    REQUIRE_FALSE(hasContinuationLine("X: 1\r\nY: 2 3\r\n"));
    REQUIRE_FALSE(hasContinuationLine(""));
}

// Guards against a long body that is read in parts of a few hundred bytes, which costs so much time that large answers
// miss their time limit on a busy machine.
TEST_CASE("the parts in which a long body is read grow with it")
{
    constexpr std::size_t bodyBytes = std::size_t { 256 } * 1024;
    constexpr std::size_t smallestMeanPart = std::size_t { 4 } * 1024;
    // Time for the server to write so much that no read has to wait for it.
    constexpr Milliseconds writingTime { 200 };
    const std::string body(bodyBytes, 'x');
    ScriptedServer server(
        [&](const ScriptedServer::Request& request) { return responseTo(request.header("Id"), body); });
    Caller caller;
    std::promise<HttpResult> ended;
    std::size_t parts = 0;
    std::size_t bytes = 0;
    HttpClientHooks hooks;
    hooks.onBody = [&](std::string_view part) {
        if (parts++ == 0)
            std::this_thread::sleep_for(writingTime);
        bytes += part.size();
    };
    hooks.onEnd = [&](const HttpResult& result) { ended.set_value(result); };
    caller.client.stream(server.address(), { "GET", "/", { { "Id", "q1" } }, {} }, { answerLimit }, std::move(hooks));
    REQUIRE(ended.get_future().get().error == ErrorKind::None);
    REQUIRE(bytes == bodyBytes);
    REQUIRE(parts <= bodyBytes / smallestMeanPart);
}
