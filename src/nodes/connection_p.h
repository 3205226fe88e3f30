#pragma once

#include "peridotramp/nodes.h"

#include <boost/asio.hpp>
#include <deque>

#include "../runtime/runtime_p.h"

namespace peridotramp {

/// TCP connection that carries frames with a length of 4 bytes before each.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
public:
    struct Limits {
        std::size_t maxFrameBytes = std::size_t { 4 } * 1024 * 1024;
        std::size_t maxPendingBytes = std::size_t { 64 } * 1024 * 1024;
        /// Longest pause between the bytes of one frame.
        Milliseconds frameTimeout { 10'000 };
    };
    struct Hooks {
        std::function<void(Frame)> onFrame;
        /// Called once, when no further frame arrives.
        std::function<void()> onClosed;
    };

    FrameConnection(asio::ip::tcp::socket socket, Limits limits);

    /// Begins to read. The hooks are called on the connection's strand.
    void start(Hooks hooks);
    /// Queues an encoded frame. Returns false when the connection is closed or too much is unsent. Any thread.
    bool send(const std::string& frame);
    /// Closes the connection. Any thread.
    void close();

private:
    asio::awaitable<void> readFrames(std::shared_ptr<FrameConnection> self);
    // Passes on the whole frames of `input` and removes them; returns false when the connection has to end.
    bool takeFrames(std::string& input);
    // Closes the connection unless the frame that has begun goes on in time.
    void awaitFrame();
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
