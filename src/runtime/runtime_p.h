#pragma once

#include "peridotramp/async.h"
#include "peridotramp/runtime.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <thread>

namespace peridotramp {

namespace beast = boost::beast;
namespace http = boost::beast::http;

struct Runtime::Impl {
    Init init;
    asio::io_context context {};
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(this->context);
    std::vector<std::jthread> threads {};
};

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
        fields.insert(header.name, header.value);
}

/// Maximum number of bytes per read from a connection.
constexpr std::size_t maxReadBytes = std::size_t { 64 } * 1024;

/// TCP user timeout: the kernel closes a connection whose peer has acknowledged nothing for this long.
constexpr int unacknowledgedTimeoutMs = 2500;

/// Sets the options of every TCP connection: no delay of small writes, and a timeout for unacknowledged data.
inline void configureSocket(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    static_cast<void>(socket.set_option(asio::ip::tcp::no_delay(true), ignored));
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    static_cast<void>(socket.set_option(UserTimeout(unacknowledgedTimeoutMs), ignored));
}

/// Result of `pendingInput`; `End` also stands for an error.
enum class PendingInput : std::uint8_t { None, Data, End, Count };

/// Peeks at the input of a connection without consuming it.
inline PendingInput pendingInput(asio::ip::tcp::socket& socket)
{
    std::array<char, 1> byte {};
    boost::system::error_code error;
    static_cast<void>(socket.non_blocking(true, error));
    const auto size = socket.receive(asio::buffer(byte), asio::socket_base::message_peek, error);
    if (error == asio::error::would_block)
        return PendingInput::None;
    return error || size == 0 ? PendingInput::End : PendingInput::Data;
}

/// Returns whether the peer sent malformed HTTP, as opposed to closing the connection.
inline bool isParseError(const boost::system::error_code& error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

using Strand = asio::strand<asio::io_context::executor_type>;
using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, Strand>;

/// Binds an acceptor or a datagram socket with `bind`, which receives the IP address; returns the bound address. When
/// the address cannot be bound, throws `std::system_error`; Asio's own exception does not derive from it.
template <typename Socket, typename Bind> Address bindTo(Socket& socket, const Address& address, Bind bind)
{
    try {
        bind(asio::ip::make_address(address.host));
        return { address.host, socket.local_endpoint().port() };
    } catch (const boost::system::system_error& error) {
        throw std::system_error(error.code(), "cannot bind " + address.toString());
    }
}

/// Binds and listens; returns the bound address. Throws `std::system_error` when the address cannot be bound.
inline Address listenOn(Acceptor& acceptor, const Address& address)
{
    return bindTo(acceptor, address, [&](const asio::ip::address& host) {
        const asio::ip::tcp::endpoint endpoint(host, address.port);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
    });
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
            // Running out of file descriptors is transient; the delay prevents a busy loop.
            asio::steady_timer delay(server->acceptor.get_executor(), Milliseconds(20));
            co_await delay.async_wait(asTuple);
            continue;
        }
        callGuarded("accepting a connection", [&] {
            asio::ip::tcp::socket accepted(std::move(socket));
            configureSocket(accepted);
            onSocket(std::move(accepted));
        });
    }
}

/// Closes the acceptor of a server; open connections are not affected.
template <typename Server> void stopListening(const std::shared_ptr<Server>& server)
{
    server->stopping = true;
    asio::post(server->acceptor.get_executor(), [server] {
        boost::system::error_code ignored;
        static_cast<void>(server->acceptor.close(ignored));
    });
}

} // namespace peridotramp
