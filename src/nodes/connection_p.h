#pragma once

#include "peridotramp/nodes.h"

#include <boost/asio.hpp>
#include <deque>

#include "../runtime/runtime_p.h"

namespace peridotramp {

/// TCP connection that carries frames, each prefixed with its 4-byte length.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
public:
    struct Limits {
        std::size_t maxFrameBytes = std::size_t { 4 } * 1024 * 1024;
        std::size_t maxPendingBytes = std::size_t { 64 } * 1024 * 1024;
        /// Maximum time between the bytes of one frame.
        Milliseconds frameTimeout { 10'000 };
    };
    struct Hooks {
        std::function<void(Frame)> onFrame;
        /// Called once when the connection is closed; no frame is passed on after that.
        std::function<void()> onClosed;
    };

    FrameConnection(asio::ip::tcp::socket socket, Limits limits);

    /// Starts reading. The hooks are called on the connection's strand.
    void start(Hooks hooks);
    /// Queues an encoded frame. Returns false when the connection is closed, the frame is too large or too many bytes
    /// are unsent. Thread-safe.
    bool send(const std::string& frame);
    /// Closes the connection. Thread-safe.
    void close();

private:
    asio::awaitable<void> readFrames(std::shared_ptr<FrameConnection> self);
    // Passes the complete frames of `input` to the hook and removes them; returns false when the connection must be
    // closed.
    bool processFrames(std::string& input);
    // Starts a timer that closes the connection unless more bytes of the current frame arrive in time.
    void startFrameTimer();
    void logClosed(std::string_view reason, std::uint64_t bytes);
    asio::awaitable<void> writeFrames(std::shared_ptr<FrameConnection> self);
    void closeNow();

    asio::ip::tcp::socket socket;
    RuntimeTimer frameTimer;
    Limits limits;
    Hooks hooks {};
    std::deque<std::string> outgoing {};
    bool writing = false;
    std::atomic<bool> closed = false;
    std::atomic<std::size_t> pendingBytes = 0;
};

} // namespace peridotramp
