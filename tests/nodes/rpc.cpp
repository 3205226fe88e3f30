#include "peridotramp/nodes.h"

#include <catch2/catch.hpp>
#include <future>
#include <random>

using namespace peridotramp;

namespace {

struct Answers {
    std::mutex mutex;
    std::vector<Message> messages;
    std::promise<Error> ended;

    RpcClient::AnswerHook hook()
    {
        return [this](Result<Message> message, bool last) {
            if (message) {
                const std::scoped_lock lock(this->mutex);
                this->messages.push_back(std::move(message.value()));
            }
            if (last)
                this->ended.set_value(message ? Error {} : message.error());
        };
    }
};

struct Fixture {
    Runtime runtime;

    Fixture() { this->runtime.start(); }
};

} // namespace

// Guards against parts of an answer that are lost or overtake each other.
TEST_CASE("a request gets all parts of its answer in order")
{
    Fixture fixture;
    RpcServer server(fixture.runtime, {}, [](Message message, RpcReply reply) {
        const auto text = std::get<CallChunkMessage>(message).text;
        for (int part = 0; part < 50; ++part)
            reply.send(CallChunkMessage { text + std::to_string(part) }, false);
        reply.send(DoneMessage {});
    });
    RpcClient client(fixture.runtime, {});
    Answers answers;
    client.call(server.address(), CallChunkMessage { "x" }, Seconds(10), answers.hook());
    REQUIRE(answers.ended.get_future().get().kind == ErrorKind::None);
    REQUIRE(answers.messages.size() == 51);
    for (int part = 0; part < 50; ++part)
        REQUIRE(std::get<CallChunkMessage>(answers.messages[static_cast<std::size_t>(part)]).text
            == "x" + std::to_string(part));
}

// Guards against a client that assigns answers to requests in the order in which they were sent.
TEST_CASE("answers that arrive out of order are matched to their requests")
{
    Fixture fixture;
    std::mutex mutex;
    std::vector<std::pair<std::string, RpcReply>> pending;
    RpcServer server(fixture.runtime, {}, [&](Message message, RpcReply reply) {
        const std::scoped_lock lock(mutex);
        pending.emplace_back(std::get<CallChunkMessage>(message).text, reply);
        if (pending.size() < 20)
            return;
        for (auto entry = pending.rbegin(); entry != pending.rend(); ++entry)
            entry->second.send(CallChunkMessage { entry->first });
    });
    RpcClient client(fixture.runtime, {});
    std::vector<Answers> answers(20);
    for (std::size_t index = 0; index < answers.size(); ++index)
        client.call(server.address(), CallChunkMessage { std::to_string(index) }, Seconds(10), answers[index].hook());
    for (std::size_t index = 0; index < answers.size(); ++index) {
        answers[index].ended.get_future().wait();
        REQUIRE(std::get<CallChunkMessage>(answers[index].messages.front()).text == std::to_string(index));
    }
}

// Guards against a call that may have run and is reported as not run, so that its sender would run it again, and
// against a server that goes on serving a caller that is gone.
TEST_CASE("a request is not run if the connection is refused, and has an unknown outcome if the connection breaks")
{
    Fixture fixture;
    RpcClient client(fixture.runtime, {});
    Answers refused;
    // Port 1 of the loopback address is reserved and has no listener.
    client.call({ "127.0.0.1", 1 }, DoneMessage {}, Seconds(10), refused.hook());
    REQUIRE(refused.ended.get_future().get().outcome == Outcome::NotRun);

    std::promise<RpcReply> received;
    RpcServer server(fixture.runtime, {}, [&](Message, RpcReply reply) { received.set_value(reply); });
    bool cut = false;
    RpcClient::Init init;
    init.isCut = [&](const Address&) { return cut; };
    RpcClient cutClient(fixture.runtime, init);
    Answers broken;
    cutClient.call(server.address(), DoneMessage {}, Seconds(10), broken.hook());
    const auto reply = received.get_future().get();
    std::promise<void> cancelled;
    reply.onCancel([&] { cancelled.set_value(); });
    cut = true;
    cutClient.closeCutConnections();
    REQUIRE(broken.ended.get_future().get().outcome == Outcome::Unknown);
    cancelled.get_future().wait();
    REQUIRE_FALSE(reply.send(DoneMessage {}));
}

// Guards against a call that hangs, or is reported as not run, when the server received it and does not answer.
TEST_CASE("a request that is not answered in time has an unknown outcome")
{
    RuntimeClock::pause();
    {
        Fixture fixture;
        std::promise<RpcReply> received;
        RpcServer server(fixture.runtime, {}, [&](Message, RpcReply reply) { received.set_value(reply); });
        RpcClient client(fixture.runtime, {});
        Answers answers;
        client.call(server.address(), DoneMessage {}, Seconds(10), answers.hook());
        const auto reply = received.get_future().get();
        RuntimeClock::advance(Seconds(11));
        const auto error = answers.ended.get_future().get();
        REQUIRE(error.kind == ErrorKind::DeadlineExceeded);
        REQUIRE(error.outcome == Outcome::Unknown);
    }
    RuntimeClock::resume();
}

// Guards against a server that continues a call whose caller no longer waits for it.
TEST_CASE("cancelling a request notifies the server")
{
    Fixture fixture;
    std::promise<RpcReply> received;
    std::promise<void> cancelled;
    RpcServer server(fixture.runtime, {}, [&](Message, RpcReply reply) {
        reply.onCancel([&] { cancelled.set_value(); });
        received.set_value(reply);
    });
    RpcClient client(fixture.runtime, {});
    Answers answers;
    const auto call = client.call(server.address(), DoneMessage {}, Seconds(10), answers.hook());
    const auto reply = received.get_future().get();
    call.cancel();
    cancelled.get_future().wait();
    REQUIRE(answers.messages.empty());
}

// Guards against a crash or an exception on a damaged frame, and against decoding a part of a truncated one.
TEST_CASE("a corrupted frame decodes or is refused as malformed")
{
    CallMessage call;
    call.name = "model";
    call.unconfirmed.push_back({ TurnNumber { 1 }, CallId { 2 }, "in", "out" });
    const auto valid = encodeFrame({ 7, true, call });
    REQUIRE(decodeFrame(valid));
    for (std::size_t length = 0; length < valid.size(); ++length)
        REQUIRE_FALSE(decodeFrame(std::string_view(valid).substr(0, length)));
    constexpr unsigned seed = 20261204;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    for (int round = 0; round < 20000; ++round) {
        auto bytes = valid;
        for (int change = 0; change < 3; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        const auto frame = decodeFrame(bytes);
        if (!frame)
            REQUIRE(frame.error().kind == ErrorKind::MalformedFrame);
    }
}

// Guards against a process that aborts, instead of reporting why it cannot start, when its address is in use.
TEST_CASE("binding a datagram socket to an address in use throws a system error")
{
    Fixture fixture;
    const auto ignoreDatagram = [](std::string_view) { };
    const DatagramSocket socket(fixture.runtime, {}, ignoreDatagram);
    DatagramSocket::Init init;
    init.listen = socket.address();
    REQUIRE_THROWS_AS(DatagramSocket(fixture.runtime, init, ignoreDatagram), std::system_error);
}
