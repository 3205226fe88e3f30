#pragma once

#include "peridotramp/async.h"

#include <atomic>
#include <tuple>

namespace peridotramp {

/// Server on loopback that answers each request with an endless stream of bytes, until the caller closes the
/// connection.
class FloodServer {
public:
    struct Init {
        /// Returns what is sent first for the head of a request.
        std::function<std::string(const std::string&)> opening = [](const std::string&) { return std::string(); };
        /// Terminator of the request head; when empty, the answer is sent without waiting for a request.
        std::string requestEnd = "\r\n\r\n";
        /// Sent repeatedly after the opening; empty to send nothing more.
        std::string repeated;
        /// Maximum number of bytes per connection, so that the test also ends with a caller that reads without a bound.
        std::size_t maxBytes = std::size_t { 64 } * 1024 * 1024;
        Milliseconds pause { 0 };
    };

    explicit FloodServer(Init init)
        : init(std::move(init))
        , acceptor(this->pool, { asio::ip::address_v4::loopback(), 0 })
        , port(this->acceptor.local_endpoint().port())
    {
        asio::co_spawn(this->pool, this->accept(), asio::detached);
    }
    FloodServer(const FloodServer&) = delete;
    FloodServer& operator=(const FloodServer&) = delete;
    ~FloodServer()
    {
        this->pool.stop();
        this->pool.join();
    }

    Address address() const { return { "127.0.0.1", this->port }; }
    /// Bytes written to the sockets of all connections.
    std::size_t sentBytes() const { return this->sent; }
    std::size_t connections() const { return this->accepted; }
    /// Number of connections closed by the caller.
    std::size_t closedByCaller() const { return this->closed; }

    /// Returns the value of a header of a request.
    static std::string headerOf(const std::string& head, const std::string& name)
    {
        const auto found = head.find("\r\n" + name + ": ");
        if (found == std::string::npos)
            return {};
        const auto begin = found + name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto [error, socket] = co_await this->acceptor.async_accept(asTuple);
            if (error)
                co_return;
            ++this->accepted;
            asio::co_spawn(this->pool, this->answer(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> answer(asio::ip::tcp::socket socket)
    {
        std::string head;
        auto [error, headBytes]
            = co_await asio::async_read_until(socket, asio::dynamic_buffer(head), this->init.requestEnd, asTuple);
        const auto opening = error ? std::string() : this->init.opening(head);
        if (!opening.empty())
            std::tie(error, headBytes) = co_await asio::async_write(socket, asio::buffer(opening), asTuple);
        std::size_t total = 0;
        while (!error && !this->init.repeated.empty() && total < this->init.maxBytes) {
            const auto [nextError, bytes]
                = co_await asio::async_write(socket, asio::buffer(this->init.repeated), asTuple);
            error = nextError;
            total += bytes;
            this->sent += bytes;
            if (this->init.pause > Milliseconds(0)) {
                asio::steady_timer timer(this->pool, this->init.pause);
                co_await timer.async_wait(asTuple);
            }
        }
        // Discards the rest of the request until the caller closes the connection.
        std::array<char, 4096> rest {};
        while (!error) {
            const auto [restError, bytes] = co_await socket.async_read_some(asio::buffer(rest), asTuple);
            error = restError;
        }
        ++this->closed;
    }

    Init init;
    asio::thread_pool pool { 1 };
    asio::ip::tcp::acceptor acceptor;
    std::uint16_t port;
    std::atomic<std::size_t> sent = 0;
    std::atomic<std::size_t> accepted = 0;
    std::atomic<std::size_t> closed = 0;
};

} // namespace peridotramp
