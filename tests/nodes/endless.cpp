#include "../floodserver.h"
#include "../soon.h"
#include "peridotramp/nodes.h"

#include <catch2/catch.hpp>
#include <future>

using namespace peridotramp;

namespace {

// Upper bound for the bytes that the socket buffers of both ends take without the peer reading them.
constexpr std::size_t socketBytes = std::size_t { 16 } * 1024 * 1024;

// Connection to an RPC server over which a test sends arbitrary bytes.
class RawPeer {
public:
    explicit RawPeer(const Address& address)
    {
        this->socket.connect({ asio::ip::address_v4::loopback(), address.port });
    }

    void send(const std::string& bytes) { asio::write(this->socket, asio::buffer(bytes)); }

    // Sends a block repeatedly until the connection is closed; returns the number of bytes sent.
    std::size_t flood(const std::string& block)
    {
        constexpr std::size_t maxBytes = std::size_t { 64 } * 1024 * 1024;
        std::size_t sent = 0;
        boost::system::error_code error;
        while (!error && sent < maxBytes)
            sent += asio::write(this->socket, asio::buffer(block), error);
        return sent;
    }

    bool isClosed()
    {
        std::array<char, 16> rest {};
        boost::system::error_code error;
        this->socket.non_blocking(true);
        this->socket.read_some(asio::buffer(rest), error);
        return error && error != asio::error::would_block;
    }

private:
    asio::io_context context;
    asio::ip::tcp::socket socket { this->context };
};

std::string withLength(std::size_t length, const std::string& frame)
{
    std::string bytes;
    for (std::size_t index = 0; index < 4; ++index)
        bytes += static_cast<char>(length >> (8 * index));
    return bytes + frame;
}

} // namespace

// Guards against a connection that stays open, and keeps the memory of its frame, when its peer stops sending within a
// frame.
TEST_CASE("a connection with an incomplete frame is closed after the frame timeout, and an idle connection is not")
{
    Runtime runtime;
    runtime.start();
    RpcServer::Init init;
    init.frameTimeout = Milliseconds(200);
    RpcServer server(runtime, init, [](const Message&, const RpcReply& reply) { reply.send(DoneMessage {}); });
    RawPeer stuck(server.address());
    stuck.send(withLength(1'000'000, "begin"));
    RawPeer idle(server.address());
    const auto frame = encodeFrame({ 1, true, DoneMessage {} });
    idle.send(withLength(frame.size(), frame).substr(0, 3));
    idle.send(withLength(frame.size(), frame).substr(3));
    REQUIRE(eventually([&] { return stuck.isClosed(); }));
    std::this_thread::sleep_for(Milliseconds(400));
    REQUIRE_FALSE(idle.isClosed());
}

// Guards against all calls to a peer timing out because it stopped sending within a frame on their shared connection.
TEST_CASE("a call whose answer stops within a frame fails with an unknown outcome, and the next call reconnects")
{
    Runtime runtime;
    runtime.start();
    FloodServer::Init init;
    init.opening = [](const std::string&) { return withLength(1'000'000, "begin"); };
    init.requestEnd = "";
    FloodServer peer(init);
    RpcClient::Init clientInit;
    clientInit.frameTimeout = Milliseconds(200);
    RpcClient client(runtime, clientInit);
    for (std::size_t round = 1; round <= 2; ++round) {
        std::promise<Error> ended;
        client.call(peer.address(), DoneMessage {}, Milliseconds(15'000),
            [&](const Result<Message>& answer, bool) { ended.set_value(answer ? Error {} : answer.error()); });
        const auto error = ended.get_future().get();
        REQUIRE(error.kind == ErrorKind::ConnectionFailed);
        REQUIRE(error.outcome == Outcome::Unknown);
        REQUIRE(peer.connections() == round);
    }
}

// Guards against a server that reads from a peer without end while no valid frame arrives.
TEST_CASE("an endless stream of invalid frames closes the connection")
{
    Runtime runtime;
    runtime.start();
    std::atomic<int> handled = 0;
    RpcServer server(runtime, {}, [&](const Message&, const RpcReply&) { ++handled; });
    REQUIRE(RawPeer(server.address()).flood(std::string(16'384, 'x')) < socketBytes);
    REQUIRE(RawPeer(server.address()).flood(withLength(100, std::string(100, '\xff'))) < socketBytes);
    REQUIRE(RawPeer(server.address()).flood(std::string(16'384, '\0')) < socketBytes);
    REQUIRE(handled == 0);
}
