#pragma once

#include "peridotramp/runtime.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <thread>

namespace peridotramp {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Lets Asio timers follow `RuntimeClock`: while it is paused they look again after a short real time.
struct RuntimeWaitTraits {
    static constexpr Duration pollWhilePaused = Milliseconds(1);

    static Duration to_wait_duration(const Duration& duration)
    {
        return RuntimeClock::isPaused() ? std::min(duration, pollWhilePaused) : duration;
    }
    static Duration to_wait_duration(const TimePoint& time) { return to_wait_duration(time - RuntimeClock::now()); }
};

using RuntimeTimer = asio::basic_waitable_timer<RuntimeClock, RuntimeWaitTraits>;

struct Runtime::Impl {
    Init init;
    asio::io_context context {};
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(this->context);
    std::vector<std::jthread> threads {};
};

/// Completion token for coroutines that get errors as values.
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

inline std::vector<HttpHeader> headersOf(const http::fields& fields)
{
    std::vector<HttpHeader> headers;
    for (const auto& field : fields)
        headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return headers;
}

inline void setHeaders(http::fields& fields, const std::vector<HttpHeader>& headers)
{
    for (const auto& header : headers)
        fields.set(header.name, header.value);
}

/// Returns whether the peer sent something that is not HTTP, rather than closing the connection.
inline bool isParseError(const boost::system::error_code& error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

using Strand = asio::strand<asio::io_context::executor_type>;
using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, Strand>;

/// Binds and listens; returns the bound address. Throws `std::system_error` when the address cannot be bound.
inline Address listenOn(Acceptor& acceptor, const Address& address)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    return { address.host, acceptor.local_endpoint().port() };
}

/// Passes each accepted socket, on a strand of its own, to `onSocket` until `server->stopping`. `Server` has members
/// `context`, `acceptor` and `stopping`.
template <typename Server, typename OnSocket>
asio::awaitable<void> acceptConnections(std::shared_ptr<Server> server, OnSocket onSocket)
{
    while (!server->stopping) {
        auto [error, socket] = co_await server->acceptor.async_accept(asio::make_strand(server->context), asTuple);
        if (error) {
            if (server->stopping)
                co_return;
            // Running out of descriptors is transient; the pause keeps the loop from spinning.
            asio::steady_timer pause(server->acceptor.get_executor(), Milliseconds(20));
            co_await pause.async_wait(asTuple);
            continue;
        }
        boost::system::error_code ignored;
        static_cast<void>(socket.set_option(asio::ip::tcp::no_delay(true), ignored));
        onSocket(asio::ip::tcp::socket(std::move(socket)));
    }
}

/// Closes the acceptor of a server; open connections stay.
template <typename Server> void stopListening(const std::shared_ptr<Server>& server)
{
    server->stopping = true;
    asio::post(server->acceptor.get_executor(), [server] {
        boost::system::error_code ignored;
        static_cast<void>(server->acceptor.close(ignored));
    });
}

} // namespace peridotramp
