#pragma once

#include "framing_p.h"
#include "intake_p.h"

#include <deque>
#include <set>

namespace peridotramp {

struct HttpServer::Impl {
    Impl(Runtime& runtime, Init init, Handler handler)
        : init(std::move(init))
        , handler(std::move(handler))
        , context(runtime.internals().context)
        , acceptor(asio::make_strand(this->context))
        , intake(this->init.maxRequestMemory)
    {
    }

    Init init;
    Handler handler;
    asio::io_context& context;
    Acceptor acceptor;
    Address bound;
    // Set for good by `stopAccepting`: no connection is accepted any more.
    std::atomic<bool> stopping = false;
    // Set by `closeAfterResponses` as long as connections are accepted but each is closed after its next response.
    std::atomic<bool> closesAfterResponses = false;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> exchanges = 0;
    std::mutex sessionsMutex {};
    std::set<HttpExchange::Session*> sessions {};
    Intake intake;
};

// One connection. All members but the atomic ones are accessed only on the strand of the connection.
struct HttpExchange::Session : std::enable_shared_from_this<HttpExchange::Session> {
    enum class PartKind : std::uint8_t { Whole, Head, Chunk, End, Abort, Count };
    struct Part {
        PartKind kind;
        HttpResponse response;
    };
    /// Result of a read: bytes arrived, none did within the limit, or the connection was closed.
    enum class ReadResult : std::uint8_t { Bytes, Nothing, Closed, Count };

    Session(std::shared_ptr<HttpServer::Impl> server, asio::ip::tcp::socket socket)
        : server(std::move(server))
        , socket(std::move(socket))
        , deadline(this->socket.get_executor())
        , wake(this->socket.get_executor())
    {
        boost::system::error_code ignored;
        static_cast<void>(this->socket.non_blocking(true, ignored));
        ++this->server->connections;
        const std::scoped_lock lock(this->server->sessionsMutex);
        this->server->sessions.insert(this);
    }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;
    ~Session()
    {
        --this->server->connections;
        this->leaveIntake();
        const std::scoped_lock lock(this->server->sessionsMutex);
        this->server->sessions.erase(this);
    }

    // `self` keeps the session alive: a coroutine starts after its creator has released the session.
    asio::awaitable<void> run(std::shared_ptr<Session> self);
    asio::awaitable<ReadResult> receive(Duration limit);
    ReadResult readAvailable();
    void countReceived(std::size_t size);
    asio::awaitable<bool> awaitRequest();
    asio::awaitable<boost::system::error_code> readMessage(HttpLimits limits);
    asio::awaitable<bool> readRequest();
    asio::awaitable<void> discardInput();
    asio::awaitable<void> refuse(http::status status);
    asio::awaitable<void> serveRequest();
    asio::awaitable<void> watchForDisconnect(std::shared_ptr<Session> self, std::uint64_t sequence);
    asio::awaitable<bool> writePart(Part part);
    asio::awaitable<void> writeWhole(HttpResponse response);
    void enqueue(std::uint64_t sequence, Part part);
    void endExchange(bool disconnected);
    void close();
    void startDeadline(Duration limit, std::function<void()> hook);
    void stopDeadline();
    bool shouldKeepAlive() const;
    void reportConnectionEnd(ConnectionEnd::Reason reason) const;
    void enterIntake();
    void leaveIntake();
    void evict();
    std::size_t requestMemory() const;
    void releaseRequest();

    std::shared_ptr<HttpServer::Impl> server;
    asio::ip::tcp::socket socket;
    beast::flat_buffer buffer {};
    // Limits the current read, or the time to flush an aborted response. The ID distinguishes the expiry of the
    // current wait from an earlier one that is reported late.
    RuntimeTimer deadline;
    std::uint64_t deadlineId = 0;
    // Start time and size of the request that is being read.
    TimePoint requestStartedAt {};
    std::size_t requestBytes = 0;
    // Lines of its head, as far as it has been read.
    std::size_t headLines = 0;
    // Entry in the server's intake, unless this connection has completed a request and waits for the next one.
    std::optional<Intake::Key> intakeKey {};
    bool evicted = false;
    std::optional<http::request_parser<http::string_body>> parser {};
    std::deque<Part> parts {};
    // Cancelled to wake up the coroutine that writes parts; never expires.
    asio::steady_timer wake;
    std::function<void()> disconnectHook {};
    std::uint64_t currentSequence = 0;
    bool keepAlive = true;
    bool broken = false;
    bool exchangeActive = false;
    // Whether the connection waits for the first byte of a request.
    bool idle = false;
    std::atomic<std::size_t> pendingBytes = 0;
    std::atomic<std::uint64_t> activeSequence = 0;
};

} // namespace peridotramp
