#include "connection_p.h"

namespace peridotramp {

namespace {

constexpr std::size_t lengthBytes = 4;
// Small, because each connection has its own buffer.
constexpr std::size_t readBlockBytes = std::size_t { 8 } * 1024;

std::string withLength(const std::string& frame)
{
    std::string bytes;
    bytes.reserve(lengthBytes + frame.size());
    for (std::size_t index = 0; index < lengthBytes; ++index)
        bytes += static_cast<char>(frame.size() >> (8 * index));
    return bytes + frame;
}

std::size_t lengthOf(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < lengthBytes; ++index)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[index])) << (8 * index);
    return length;
}

} // namespace

FrameConnection::FrameConnection(asio::ip::tcp::socket socket, Limits limits)
    : socket(std::move(socket))
    , frameTimer(this->socket.get_executor())
    , limits(limits)
{
}

void FrameConnection::start(Hooks hooks)
{
    this->hooks = std::move(hooks);
    asio::co_spawn(
        this->socket.get_executor(), this->readFrames(this->shared_from_this()), reportErrors("reading frames"));
}

bool FrameConnection::send(const std::string& frame)
{
    if (this->closed || frame.size() > this->limits.maxFrameBytes)
        return false;
    auto bytes = withLength(frame);
    const auto pending = this->pendingBytes += bytes.size();
    if (pending > this->limits.maxPendingBytes) {
        this->close();
        return false;
    }
    asio::post(this->socket.get_executor(), [self = this->shared_from_this(), bytes = std::move(bytes)]() mutable {
        self->outgoing.push_back(std::move(bytes));
        if (std::exchange(self->writing, true))
            return;
        asio::co_spawn(self->socket.get_executor(), self->writeFrames(self), reportErrors("writing frames"));
    });
    return true;
}

void FrameConnection::close()
{
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->closeNow(); });
}

void FrameConnection::closeNow()
{
    boost::system::error_code ignored;
    static_cast<void>(this->socket.close(ignored));
    this->frameTimer.cancel();
    if (this->closed.exchange(true))
        return;
    const auto finished = std::exchange(this->hooks, {});
    if (finished.onClosed)
        finished.onClosed();
}

void FrameConnection::logClosed(std::string_view reason, std::uint64_t bytes)
{
    static LogLimiter limiter;
    const auto suppressed = limiter.take();
    if (!suppressed)
        return;
    boost::system::error_code error;
    const auto peer = this->socket.remote_endpoint(error);
    log(LogLevel::Warning, "peer connection closed",
        { { "peer", error ? "unknown" : Address { peer.address().to_string(), peer.port() }.toString() },
            { "reason", reason }, { "bytes", bytes }, { "limit_bytes", std::uint64_t { this->limits.maxFrameBytes } },
            { "left_out", *suppressed } });
}

bool FrameConnection::processFrames(std::string& input)
{
    std::string_view rest = input;
    while (rest.size() >= lengthBytes && !this->closed) {
        const auto length = lengthOf(rest);
        if (length > this->limits.maxFrameBytes) {
            this->logClosed("frame too large", length);
            return false;
        }
        if (rest.size() < lengthBytes + length)
            break;
        auto decoded = decodeFrame(rest.substr(lengthBytes, length));
        if (!decoded) {
            this->logClosed(decoded.error().message(), length);
            return false;
        }
        rest.remove_prefix(lengthBytes + length);
        // The hook may close the connection, which clears the hooks.
        const auto onFrame = this->hooks.onFrame;
        if (onFrame)
            onFrame(std::move(decoded.value()));
    }
    input.erase(0, input.size() - rest.size());
    return true;
}

void FrameConnection::startFrameTimer()
{
    this->frameTimer.expires_after(this->limits.frameTimeout);
    this->frameTimer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        // A timer that expires while the next bytes are handled has been restarted or cancelled in the meantime.
        if (error || !self || self->frameTimer.expiry() > RuntimeClock::now())
            return;
        self->logClosed("frame timeout exceeded", 0);
        self->closeNow();
    });
}

asio::awaitable<void> FrameConnection::readFrames([[maybe_unused]] std::shared_ptr<FrameConnection> self)
{
    // Memory grows with the received bytes; the announced length of a frame reserves none.
    std::string input;
    std::array<char, readBlockBytes> block {};
    while (!this->closed) {
        // A connection may be idle between frames.
        if (!input.empty())
            this->startFrameTimer();
        auto [error, size] = co_await this->socket.async_read_some(asio::buffer(block), asTuple);
        this->frameTimer.expires_at(TimePoint::max());
        if (error)
            break;
        input.append(block.data(), size);
        if (!this->processFrames(input))
            break;
    }
    this->closeNow();
}

asio::awaitable<void> FrameConnection::writeFrames([[maybe_unused]] std::shared_ptr<FrameConnection> self)
{
    while (!this->outgoing.empty() && !this->closed) {
        const auto bytes = std::move(this->outgoing.front());
        this->outgoing.pop_front();
        auto [error, written] = co_await asio::async_write(this->socket, asio::buffer(bytes), asTuple);
        this->pendingBytes -= bytes.size();
        if (error)
            this->closeNow();
    }
    this->writing = false;
}

} // namespace peridotramp
