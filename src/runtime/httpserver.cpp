#include "framing_p.h"
#include "intake_p.h"

#include <deque>
#include <set>

namespace peridotramp {

std::string_view toString(ConnectionEnd::Reason reason)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(ConnectionEnd::Reason::Count)> names { "idle",
        "stopping", "read_timeout", "refused", "left_in_request", "slow_reader", "too_many", "evicted" };
    return names.at(static_cast<std::size_t>(reason));
}

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

namespace {

using Session = HttpExchange::Session;

constexpr std::size_t readBlockBytes = std::size_t { 8 } * 1024;
// A caller that trickles single bytes must not occupy a connection forever.
constexpr Seconds maxBodyTime { 60 };
// Limits on reading and discarding the rest of a refused request, which may be endless.
constexpr Milliseconds discardInputTimeout { 1000 };
constexpr std::size_t discardInputBytes = std::size_t { 8 } * 1024 * 1024;
// Time for a caller to read the parts written before its response was aborted.
constexpr Milliseconds abortTimeout { 300 };
// Memory of a connection: its buffer, coroutine and timers.
constexpr std::size_t connectionMemory = std::size_t { 12 } * 1024;
// Memory of a parsed field in addition to its bytes.
constexpr std::size_t fieldMemory = 96;
// Paths are truncated to this length in reports.
constexpr std::size_t maxPathBytes = 100;

http::response_header<> headOf(const HttpResponse& response)
{
    http::response_header<> head;
    head.version(11);
    head.result(response.status);
    setHeaders(head, response.headers);
    return head;
}

} // namespace

void Session::endExchange(bool disconnected)
{
    if (!this->exchangeActive)
        return;
    this->exchangeActive = false;
    this->activeSequence = 0;
    this->parts.clear();
    this->pendingBytes = 0;
    --this->server->exchanges;
    const auto hook = std::exchange(this->disconnectHook, nullptr);
    if (disconnected && hook)
        hook();
}

void Session::enqueue(std::uint64_t sequence, Part part)
{
    if (sequence != this->currentSequence || !this->exchangeActive)
        return;
    if (part.kind == PartKind::Abort) {
        this->activeSequence = 0;
        this->startDeadline(abortTimeout, [this] { this->close(); });
    }
    this->parts.push_back(std::move(part));
    this->wake.cancel();
}

void Session::close()
{
    boost::system::error_code ignored;
    static_cast<void>(this->socket.close(ignored));
}

void Session::startDeadline(Duration limit, std::function<void()> hook)
{
    this->deadline.expires_after(limit);
    this->deadline.async_wait([self = this->shared_from_this(), id = ++this->deadlineId, hook = std::move(hook)](
                                  const boost::system::error_code& error) {
        if (!error && id == self->deadlineId)
            hook();
    });
}

void Session::enterIntake()
{
    if (this->intakeKey)
        return;
    this->intakeKey = this->server->intake.add(connectionMemory, [weak = this->weak_from_this()] {
        const auto session = weak.lock();
        if (!session)
            return;
        asio::post(session->socket.get_executor(), [session] { session->evict(); });
    });
}

void Session::leaveIntake()
{
    if (const auto key = std::exchange(this->intakeKey, std::nullopt))
        this->server->intake.remove(*key);
}

// Ends the connection: whoever waits for input finds the flag set.
void Session::evict()
{
    this->evicted = true;
    boost::system::error_code ignored;
    static_cast<void>(this->socket.cancel(ignored));
}

// Returns the memory of the connection and of what has been read of its request.
std::size_t Session::requestMemory() const
{
    // A body of unknown length is stored in a string that grows by doubling.
    const bool hasUnknownLength = this->parser && this->parser->is_header_done() && this->parser->chunked();
    return connectionMemory + this->headLines * fieldMemory + this->requestBytes * (hasUnknownLength ? 2 : 1);
}

// Frees what has been read of a request that is not served.
void Session::releaseRequest()
{
    this->parser.reset();
    this->buffer = beast::flat_buffer {};
    if (this->intakeKey)
        this->server->intake.shrink(*this->intakeKey, connectionMemory);
}

void Session::stopDeadline()
{
    ++this->deadlineId;
    this->deadline.cancel();
}

// Decides, when the head of a response is written, whether the connection is kept alive. A pipelined request that has
// already been read is answered before the connection closes.
bool Session::shouldKeepAlive() const
{
    const bool closes = this->server->stopping || this->server->closesAfterResponses;
    return this->keepAlive && (!closes || this->buffer.size() > 0);
}

void Session::reportConnectionEnd(ConnectionEnd::Reason reason) const
{
    ConnectionEnd end;
    end.reason = reason;
    boost::system::error_code error;
    const auto peer = this->socket.remote_endpoint(error);
    if (!error)
        end.peer = { peer.address().to_string(), peer.port() };
    if (this->parser && this->parser->is_header_done())
        end.path = std::string(this->parser->get().target().substr(0, maxPathBytes));
    end.path.resize(std::min(end.path.find('?'), end.path.size()));
    end.requestBytes = this->requestBytes;
    end.requestAge = this->requestBytes > 0 ? RuntimeClock::now() - this->requestStartedAt : Duration(0);
    this->server->init.onConnectionEnd(end);
}

asio::awaitable<void> Session::writeWhole(HttpResponse response)
{
    http::response<http::string_body> message(headOf(response), std::move(response.body));
    this->keepAlive = this->shouldKeepAlive();
    message.keep_alive(this->keepAlive);
    message.prepare_payload();
    auto [error, bytes] = co_await http::async_write(this->socket, message, asTuple);
    this->broken = this->broken || error;
}

// Writes one part and returns whether the response continues.
asio::awaitable<bool> Session::writePart(Part part)
{
    boost::system::error_code result;
    const auto size = part.response.body.size();
    switch (part.kind) {
    case PartKind::Whole:
        co_await this->writeWhole(std::move(part.response));
        co_return false;
    case PartKind::Head: {
        http::response<http::empty_body> message(headOf(part.response));
        this->keepAlive = this->shouldKeepAlive();
        message.keep_alive(this->keepAlive);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        auto [error, bytes] = co_await http::async_write_header(this->socket, serializer, asTuple);
        result = error;
        break;
    }
    case PartKind::Chunk: {
        auto [error, bytes]
            = co_await asio::async_write(this->socket, http::make_chunk(asio::buffer(part.response.body)), asTuple);
        result = error;
        break;
    }
    case PartKind::Abort:
        this->broken = true;
        break;
    case PartKind::End:
    case PartKind::Count: {
        const auto last = http::make_chunk_last();
        auto [error, bytes] = co_await asio::async_write(this->socket, last, asTuple);
        result = error;
        break;
    }
    }
    this->pendingBytes -= std::min(size, this->pendingBytes.load());
    this->broken = this->broken || result;
    co_return !this->broken && part.kind != PartKind::End;
}

// Detects a caller that closes its connection while its request is being served.
asio::awaitable<void> Session::watchForDisconnect(
    [[maybe_unused]] std::shared_ptr<Session> self, std::uint64_t sequence)
{
    auto input = PendingInput::None;
    // The wait may end spuriously, for bytes that another thread has read meanwhile; then there is no input.
    while (input == PendingInput::None) {
        auto [error] = co_await this->socket.async_wait(asio::socket_base::wait_read, asTuple);
        if (sequence != this->currentSequence || !this->exchangeActive || error == asio::error::operation_aborted)
            co_return;
        input = error ? PendingInput::End : pendingInput(this->socket);
    }
    // Data belongs to a pipelined request, which is read later.
    if (input == PendingInput::Data)
        co_return;
    this->broken = true;
    this->endExchange(true);
    this->wake.cancel();
}

asio::awaitable<void> Session::serveRequest()
{
    auto message = this->parser->release();
    this->parser.reset();
    this->keepAlive = message.keep_alive();
    HttpRequest request { std::string(message.method_string()), std::string(message.target()), headersOf(message),
        std::move(message.body()) };
    this->exchangeActive = true;
    this->activeSequence = ++this->currentSequence;
    asio::co_spawn(this->socket.get_executor(),
        this->watchForDisconnect(this->shared_from_this(), this->currentSequence), reportErrors("watching a caller"));
    const bool isHandled = callGuarded("request", [&] {
        this->server->handler(std::move(request), HttpExchange { this->shared_from_this(), this->currentSequence });
    });
    if (!isHandled)
        this->enqueue(this->currentSequence,
            { PartKind::Whole, textResponse(static_cast<unsigned>(http::status::internal_server_error), "") });
    bool continues = true;
    while (continues && this->exchangeActive) {
        if (this->parts.empty()) {
            this->wake.expires_at(std::chrono::steady_clock::time_point::max());
            co_await this->wake.async_wait(asTuple);
            continue;
        }
        auto part = std::move(this->parts.front());
        this->parts.pop_front();
        continues = co_await this->writePart(std::move(part));
    }
    this->stopDeadline();
    this->endExchange(this->broken);
    boost::system::error_code ignored;
    static_cast<void>(this->socket.cancel(ignored));
}

namespace {

ErrorKind refusalKindOf(http::status status)
{
    switch (status) {
    case http::status::bad_request:
    case http::status::not_implemented:
        return ErrorKind::InvalidRequest;
    case http::status::request_timeout:
        return ErrorKind::DeadlineExceeded;
    default:
        return ErrorKind::RequestTooLarge;
    }
}

// Returns the status with which to refuse a request that could not be read; empty to close the connection without one.
std::optional<http::status> refusalStatusOf(const boost::system::error_code& error)
{
    if (error == http::error::body_limit)
        return http::status::payload_too_large;
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return http::status::request_header_fields_too_large;
    if (error == asio::error::timed_out)
        return http::status::request_timeout;
    if (error == boost::system::errc::not_supported)
        return http::status::not_implemented;
    if (isParseError(error))
        return http::status::bad_request;
    return std::nullopt;
}

ConnectionEnd::Reason endReasonOf(const boost::system::error_code& error)
{
    if (error == boost::system::errc::not_enough_memory)
        return ConnectionEnd::Reason::Evicted;
    if (error == asio::error::timed_out)
        return ConnectionEnd::Reason::ReadTimeout;
    return refusalStatusOf(error) ? ConnectionEnd::Reason::Refused : ConnectionEnd::Reason::LeftInRequest;
}

} // namespace

asio::awaitable<void> Session::refuse(http::status status)
{
    this->keepAlive = false;
    // g++ 12 destroys aggregate temporaries of a co_await expression twice, so the response is a variable.
    auto response
        = textResponse(static_cast<unsigned>(status), std::error_code(refusalKindOf(status)).message() + "\n");
    co_await this->writeWhole(std::move(response));
    co_await this->discardInput();
}

// Closing a connection with unread bytes resets it, and a caller that is still sending might lose the refusal.
asio::awaitable<void> Session::discardInput()
{
    boost::system::error_code ignored;
    static_cast<void>(this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored));
    const auto end = RuntimeClock::now() + discardInputTimeout;
    const auto maxBytes = this->requestBytes + discardInputBytes;
    auto received = ReadResult::Bytes;
    while (received == ReadResult::Bytes && RuntimeClock::now() < end && this->requestBytes < maxBytes) {
        this->buffer.clear();
        received = co_await this->receive(end - RuntimeClock::now());
    }
}

// Reads what is available in the socket without waiting.
Session::ReadResult Session::readAvailable()
{
    boost::system::error_code error;
    const auto size = this->socket.read_some(this->buffer.prepare(readBlockBytes), error);
    if (error == asio::error::would_block)
        return ReadResult::Nothing;
    if (error)
        return ReadResult::Closed;
    this->buffer.commit(size);
    this->countReceived(size);
    return ReadResult::Bytes;
}

// Counts bytes that have been appended to the buffer.
void Session::countReceived(std::size_t size)
{
    this->requestBytes += size;
    if (this->parser && this->parser->is_header_done())
        return;
    const auto* end = static_cast<const char*>(this->buffer.data().data()) + this->buffer.size();
    this->headLines += static_cast<std::size_t>(std::count(end - size, end, '\n'));
}

// Waits for bytes until `limit` has passed or the socket's operations are cancelled. Bytes that are in the socket by
// then are still read, because on a busy machine the process is notified of them late.
asio::awaitable<Session::ReadResult> Session::receive(Duration limit)
{
    if (this->evicted)
        co_return ReadResult::Nothing;
    this->startDeadline(limit, [this] {
        boost::system::error_code ignored;
        static_cast<void>(this->socket.cancel(ignored));
    });
    auto space = this->buffer.prepare(readBlockBytes);
    auto [error, size] = co_await this->socket.async_read_some(space, asTuple);
    this->stopDeadline();
    if (error == asio::error::operation_aborted)
        co_return this->readAvailable();
    if (error)
        co_return ReadResult::Closed;
    this->buffer.commit(size);
    this->countReceived(size);
    co_return ReadResult::Bytes;
}

// Waits for the first bytes of a request; returns false when the connection is to be closed.
asio::awaitable<bool> Session::awaitRequest()
{
    const auto since = RuntimeClock::now();
    auto received = ReadResult::Nothing;
    while (received == ReadResult::Nothing) {
        // The limit is read again each time, because it may have been raised.
        const auto remaining = since + this->server->init.limits().idleTimeout - RuntimeClock::now();
        if (remaining <= Duration(0)) {
            this->reportConnectionEnd(ConnectionEnd::Reason::Idle);
            co_return false;
        }
        if (this->server->stopping) {
            received = this->readAvailable();
            if (received == ReadResult::Nothing)
                this->reportConnectionEnd(ConnectionEnd::Reason::Stopping);
            co_return received == ReadResult::Bytes;
        }
        this->idle = true;
        received = co_await this->receive(remaining);
        this->idle = false;
        if (this->evicted) {
            this->reportConnectionEnd(ConnectionEnd::Reason::Evicted);
            co_return false;
        }
    }
    co_return received == ReadResult::Bytes;
}

// Reads the rest of the request whose first bytes are in the buffer.
asio::awaitable<boost::system::error_code> Session::readMessage(HttpLimits limits)
{
    bool isHeadChecked = false;
    while (true) {
        if (!this->server->intake.reserve(*this->intakeKey, this->requestMemory()))
            co_return make_error_code(boost::system::errc::not_enough_memory);
        boost::system::error_code error;
        this->buffer.consume(this->parser->put(this->buffer.data(), error));
        // First, as the parser may already have failed on a body that it decodes in the wrong way.
        if (!isHeadChecked && this->parser->is_header_done()) {
            if (const auto headError = checkRequestHead(this->parser->get()))
                co_return headError;
            isHeadChecked = true;
        }
        if (error && error != http::error::need_more)
            co_return error;
        if (this->parser->is_done())
            co_return boost::system::error_code();
        // Bytes that the parser did not consume are part of the head, of a chunk extension or of the trailers.
        if (this->buffer.size() > limits.maxHeaderBytes)
            co_return http::make_error_code(http::error::buffer_overflow);
        // The timeout applies to the head as a whole, but to each part of the body: a body may take longer while it
        // keeps arriving.
        const auto now = RuntimeClock::now();
        const auto remaining = this->parser->is_header_done()
            ? std::min<Duration>(limits.readTimeout, this->requestStartedAt + maxBodyTime - now)
            : this->requestStartedAt + limits.readTimeout - now;
        const auto received = co_await this->receive(std::max(remaining, Duration(0)));
        if (this->evicted)
            co_return make_error_code(boost::system::errc::not_enough_memory);
        if (received == ReadResult::Nothing)
            co_return asio::error::make_error_code(asio::error::timed_out);
        if (received == ReadResult::Closed)
            co_return http::make_error_code(http::error::partial_message);
    }
}

asio::awaitable<bool> Session::readRequest()
{
    this->requestBytes = 0;
    this->headLines = 0;
    if (this->buffer.size() > 0) {
        this->countReceived(this->buffer.size());
    } else {
        this->buffer = beast::flat_buffer {};
        const bool arrived = co_await this->awaitRequest();
        if (!arrived)
            co_return false;
    }
    // A request counts as active from its first byte, so that a stopping server waits for it.
    ++this->server->exchanges;
    const auto limits = this->server->init.limits();
    this->requestStartedAt = RuntimeClock::now();
    this->enterIntake();
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    this->parser->body_limit(limits.maxBodyBytes);
    this->parser->eager(true);
    auto error = co_await this->readMessage(limits);
    if (!error && !this->server->intake.pin(*this->intakeKey))
        error = make_error_code(boost::system::errc::not_enough_memory);
    if (!error)
        co_return true;
    const auto status = refusalStatusOf(error);
    this->reportConnectionEnd(endReasonOf(error));
    this->releaseRequest();
    if (status)
        co_await this->refuse(*status);
    --this->server->exchanges;
    co_return false;
}

asio::awaitable<void> Session::run([[maybe_unused]] std::shared_ptr<Session> self)
{
    this->enterIntake();
    while (co_await this->readRequest()) {
        co_await this->serveRequest();
        this->leaveIntake();
        if (this->broken || !this->keepAlive)
            break;
    }
    boost::system::error_code ignored;
    static_cast<void>(this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored));
    this->close();
}

namespace {

void startSession(const std::shared_ptr<HttpServer::Impl>& server, asio::ip::tcp::socket socket)
{
    // The place of an evicted connection is free a moment later.
    if (server->connections >= server->init.maxConnections && !server->intake.evictOldest()) {
        server->init.onConnectionEnd({ .reason = ConnectionEnd::Reason::TooMany });
        return;
    }
    auto session = std::make_shared<Session>(server, std::move(socket));
    asio::co_spawn(session->socket.get_executor(), session->run(session), reportErrors("connection of a caller"));
}

void post(const HttpExchange& exchange, Session::PartKind kind, HttpResponse response)
{
    if (!exchange.session)
        return;
    auto& session = *exchange.session;
    asio::post(session.socket.get_executor(),
        [session = exchange.session, sequence = exchange.sequence,
            part = Session::Part { kind, std::move(response) }]() mutable {
            session->enqueue(sequence, std::move(part));
        });
}

// Closes the connection of a caller that reads too slowly; unsent bytes are dropped.
void disconnect(const HttpExchange& exchange)
{
    asio::post(exchange.session->socket.get_executor(), [session = exchange.session, sequence = exchange.sequence] {
        if (sequence != session->currentSequence || !session->exchangeActive)
            return;
        session->broken = true;
        session->reportConnectionEnd(ConnectionEnd::Reason::SlowReader);
        session->close();
        session->endExchange(true);
        session->wake.cancel();
    });
}

// Wakes up a session that waits for a request.
void cancelWait(Session& session)
{
    boost::system::error_code ignored;
    static_cast<void>(session.socket.cancel(ignored));
}

} // namespace

void HttpExchange::respond(HttpResponse response) const { post(*this, Session::PartKind::Whole, std::move(response)); }

void HttpExchange::startStream(HttpResponse head) const { post(*this, Session::PartKind::Head, std::move(head)); }

bool HttpExchange::write(std::string part) const
{
    if (!this->session || this->session->activeSequence != this->sequence)
        return false;
    if (part.empty())
        return true;
    const auto pending = this->session->pendingBytes += part.size();
    if (pending > this->session->server->init.maxPendingBytes) {
        disconnect(*this);
        return false;
    }
    post(*this, Session::PartKind::Chunk, { 200, {}, std::move(part) });
    return true;
}

void HttpExchange::finish() const { post(*this, Session::PartKind::End, {}); }

void HttpExchange::abort() const { post(*this, Session::PartKind::Abort, {}); }

bool HttpExchange::isActive() const { return this->session && this->session->activeSequence == this->sequence; }

void HttpExchange::onDisconnect(std::function<void()> hook) const
{
    if (!this->session)
        return;
    asio::dispatch(this->session->socket.get_executor(),
        [session = this->session, sequence = this->sequence, hook = std::move(hook)] {
            if (sequence == session->currentSequence && session->exchangeActive)
                session->disconnectHook = hook;
            else if (session->broken)
                hook();
        });
}

HttpServer::HttpServer(Runtime& runtime, Init init, Handler handler)
    : impl(std::make_shared<Impl>(runtime, std::move(init), std::move(handler)))
{
    this->impl->bound = listenOn(this->impl->acceptor, this->impl->init.listen);
    auto onSocket = [impl = this->impl](asio::ip::tcp::socket socket) { startSession(impl, std::move(socket)); };
    asio::co_spawn(this->impl->acceptor.get_executor(), acceptConnections(this->impl, std::move(onSocket)),
        reportErrors("accepting callers"));
}

HttpServer::~HttpServer() { this->stopAccepting(); }

Address HttpServer::address() const { return this->impl->bound; }

void HttpServer::closeAfterResponses(bool enabled) { this->impl->closesAfterResponses = enabled; }

void HttpServer::stopAccepting()
{
    stopListening(this->impl);
    // The sessions are released outside the lock, because their destructor acquires it.
    std::vector<std::shared_ptr<HttpExchange::Session>> open;
    {
        const std::scoped_lock lock(this->impl->sessionsMutex);
        std::ranges::transform(this->impl->sessions, std::back_inserter(open),
            [](HttpExchange::Session* session) { return session->weak_from_this().lock(); });
    }
    // Sessions that are being destroyed.
    std::erase(open, nullptr);
    for (auto& session : open)
        asio::post(session->socket.get_executor(), [session] {
            if (session->idle)
                cancelWait(*session);
        });
}

std::size_t HttpServer::activeExchanges() const { return this->impl->exchanges; }

} // namespace peridotramp
