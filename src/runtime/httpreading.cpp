#include "httpsession_p.h"

namespace peridotramp {

using Session = HttpExchange::Session;

namespace {

constexpr std::size_t readBlockBytes = std::size_t { 8 } * 1024;
// A caller that trickles single bytes must not occupy a connection forever.
constexpr Seconds maxBodyTime { 60 };
// Limits on reading and discarding the rest of a refused request, which may be endless.
constexpr Milliseconds discardInputTimeout { 1000 };
constexpr std::size_t discardInputBytes = std::size_t { 8 } * 1024 * 1024;
// Memory of a connection: its buffer, coroutine and timers.
constexpr std::size_t connectionMemory = std::size_t { 12 } * 1024;
// Memory of a parsed field in addition to its bytes.
constexpr std::size_t fieldMemory = 96;

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

} // namespace peridotramp
