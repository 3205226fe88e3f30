#include "connection_p.h"

namespace peridotramp {

namespace {

constexpr std::size_t lengthBytes = 4;

std::string withLength(const std::string& frame)
{
    std::string bytes;
    bytes.reserve(lengthBytes + frame.size());
    for (std::size_t index = 0; index < lengthBytes; ++index)
        bytes += static_cast<char>(frame.size() >> (8 * index));
    return bytes + frame;
}

std::size_t lengthOf(const std::array<unsigned char, lengthBytes>& bytes)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < lengthBytes; ++index)
        length |= static_cast<std::size_t>(bytes[index]) << (8 * index);
    return length;
}

} // namespace

FrameConnection::FrameConnection(asio::ip::tcp::socket socket, Limits limits)
    : socket(std::move(socket))
    , limits(limits)
{
}

void FrameConnection::start(Hooks hooks)
{
    this->hooks = std::move(hooks);
    asio::co_spawn(this->socket.get_executor(), this->readFrames(this->shared_from_this()), asio::detached);
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
        asio::co_spawn(self->socket.get_executor(), self->writeFrames(self), asio::detached);
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
    if (this->closed.exchange(true))
        return;
    const auto finished = std::exchange(this->hooks, {});
    if (finished.onClosed)
        finished.onClosed();
}

asio::awaitable<void> FrameConnection::readFrames([[maybe_unused]] std::shared_ptr<FrameConnection> self)
{
    std::string frame;
    while (!this->closed) {
        std::array<unsigned char, lengthBytes> header {};
        auto [headerError, headerBytes] = co_await asio::async_read(this->socket, asio::buffer(header), asTuple);
        const auto length = lengthOf(header);
        if (headerError || length > this->limits.maxFrameBytes)
            break;
        frame.resize(length);
        auto [bodyError, bodyBytes] = co_await asio::async_read(this->socket, asio::buffer(frame), asTuple);
        if (bodyError)
            break;
        auto decoded = decodeFrame(frame);
        if (!decoded) {
            log(LogLevel::Warning, decoded.error().message());
            break;
        }
        // The hook may close the connection, which clears the hooks.
        const auto onFrame = this->hooks.onFrame;
        if (onFrame)
            onFrame(std::move(decoded.value()));
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
