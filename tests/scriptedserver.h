#pragma once

#include "peridotramp/async.h"
#include "peridotramp/core.h"

#include <mutex>

namespace peridotramp {

/// Server on loopback that answers each request with the bytes that a test returns for it, also with bytes that are no
/// valid answer. Requests must have no body.
class ScriptedServer {
public:
    struct Request {
        /// Number of the connection, from 0.
        std::size_t connection = 0;
        /// Number of the request on its connection, from 0.
        std::size_t index = 0;
        std::string head;

        /// Returns the value of a header; empty when there is none.
        std::string header(const std::string& name) const
        {
            const auto found = this->head.find("\r\n" + name + ": ");
            if (found == std::string::npos)
                return {};
            const auto begin = found + name.size() + 4;
            return this->head.substr(begin, this->head.find("\r\n", begin) - begin);
        }
    };
    struct Answer {
        Answer(std::string bytes, bool close = false)
            : bytes(std::move(bytes))
            , close(close)
        {
        }

        std::string bytes;
        /// Whether the connection is closed after the answer.
        bool close = false;
    };
    using Script = std::function<Answer(const Request&)>;

    explicit ScriptedServer(Script script)
        : script(std::move(script))
        , acceptor(this->pool, { asio::ip::address_v4::loopback(), 0 })
        , port(this->acceptor.local_endpoint().port())
    {
        asio::co_spawn(this->pool, this->accept(), asio::detached);
    }
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;
    ~ScriptedServer()
    {
        this->pool.stop();
        this->pool.join();
    }

    Address address() const { return { "127.0.0.1", this->port }; }

    std::vector<Request> requests()
    {
        const std::scoped_lock lock(this->mutex);
        return this->seen;
    }

private:
    asio::awaitable<void> accept()
    {
        for (std::size_t connection = 0;; ++connection) {
            auto [error, socket] = co_await this->acceptor.async_accept(asTuple);
            if (error)
                co_return;
            asio::co_spawn(this->pool, this->serve(std::move(socket), connection), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket, std::size_t connection)
    {
        std::string input;
        for (std::size_t index = 0;; ++index) {
            const auto [error, size]
                = co_await asio::async_read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", asTuple);
            if (error)
                co_return;
            const Request request { connection, index, input.substr(0, size) };
            input.erase(0, size);
            {
                const std::scoped_lock lock(this->mutex);
                this->seen.push_back(request);
            }
            const auto answer = this->script(request);
            const auto [writeError, written] = co_await asio::async_write(socket, asio::buffer(answer.bytes), asTuple);
            if (writeError || answer.close)
                co_return;
        }
    }

    Script script;
    asio::thread_pool pool { 1 };
    asio::ip::tcp::acceptor acceptor;
    std::uint16_t port;
    std::mutex mutex;
    std::vector<Request> seen;
};

} // namespace peridotramp
