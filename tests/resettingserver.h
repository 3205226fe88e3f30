#pragma once

#include "peridotramp/async.h"
#include "peridotramp/core.h"

namespace peridotramp {

/// Server on loopback that answers each upload before it has read it, and then resets the connection.
class ResettingServer {
public:
    /// Returns the bytes of the answer to a request with this head.
    using Script = std::function<std::string(const std::string& head)>;

    explicit ResettingServer(Script script)
        : script(std::move(script))
        , acceptor(this->pool, { asio::ip::address_v4::loopback(), 0 })
        , port(this->acceptor.local_endpoint().port())
    {
        // So that a part of the upload is still unsent when the connection is reset.
        this->acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
        asio::co_spawn(this->pool, this->accept(), asio::detached);
    }
    ResettingServer(const ResettingServer&) = delete;
    ResettingServer& operator=(const ResettingServer&) = delete;
    ~ResettingServer()
    {
        this->pool.stop();
        this->pool.join();
    }

    Address address() const { return { "127.0.0.1", this->port }; }
    int connections() const { return this->accepted; }

private:
    // Time for the caller to read the answer before the reset.
    static constexpr Milliseconds resetDelay { 50 };

    asio::awaitable<void> accept()
    {
        while (true) {
            auto [error, socket] = co_await this->acceptor.async_accept(asTuple);
            if (error)
                co_return;
            ++this->accepted;
            asio::co_spawn(this->pool, this->serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        std::string input;
        const auto [readError, size]
            = co_await asio::async_read_until(socket, asio::dynamic_buffer(input, 65536), "\r\n\r\n", asTuple);
        if (readError)
            co_return;
        const auto answer = this->script(input.substr(0, size));
        co_await asio::async_write(socket, asio::buffer(answer), asTuple);
        asio::steady_timer timer(this->pool, resetDelay);
        co_await timer.async_wait(asTuple);
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }

    Script script;
    std::atomic<int> accepted = 0;
    asio::thread_pool pool { 1 };
    asio::ip::tcp::acceptor acceptor;
    std::uint16_t port;
};

} // namespace peridotramp
