#include "connection_p.h"

namespace peridotramp {

struct DatagramSocket::Impl {
    Impl(Runtime& runtime, Init init, Handler handler)
        : init(std::move(init))
        , handler(std::move(handler))
        , strand(asio::make_strand(runtime.internals().context))
        , socket(this->strand)
    {
    }

    asio::awaitable<void> receive(std::shared_ptr<Impl> self);

    Init init;
    Handler handler;
    asio::strand<asio::io_context::executor_type> strand;
    asio::ip::udp::socket socket;
    Address bound;
    std::atomic<bool> stopping = false;
    std::array<char, std::size_t { 64 } * 1024> buffer {};
};

asio::awaitable<void> DatagramSocket::Impl::receive([[maybe_unused]] std::shared_ptr<Impl> self)
{
    asio::ip::udp::endpoint sender;
    while (!this->stopping) {
        auto [error, size] = co_await this->socket.async_receive_from(asio::buffer(this->buffer), sender, asTuple);
        if (this->stopping || error == asio::error::operation_aborted)
            co_return;
        // A datagram sent earlier to a closed port causes an error here.
        if (error)
            continue;
        if (!this->init.isCut || !this->init.isCut({ sender.address().to_string(), sender.port() }))
            callGuarded("datagram", [&] { this->handler({ this->buffer.data(), size }); });
    }
}

DatagramSocket::DatagramSocket(Runtime& runtime, Init init, Handler handler)
    : impl(std::make_shared<Impl>(runtime, std::move(init), std::move(handler)))
{
    auto& socket = this->impl->socket;
    const auto& listen = this->impl->init.listen;
    this->impl->bound = bindTo(socket, listen, [&](const asio::ip::address& host) {
        const asio::ip::udp::endpoint endpoint(host, listen.port);
        socket.open(endpoint.protocol());
        socket.bind(endpoint);
    });
    asio::co_spawn(this->impl->strand, this->impl->receive(this->impl), reportErrors("receiving datagrams"));
}

DatagramSocket::~DatagramSocket()
{
    this->impl->stopping = true;
    asio::post(this->impl->strand, [impl = this->impl] {
        boost::system::error_code ignored;
        static_cast<void>(impl->socket.close(ignored));
    });
}

Address DatagramSocket::address() const { return this->impl->bound; }

void DatagramSocket::send(const Address& address, std::string bytes)
{
    if (this->impl->init.isCut && this->impl->init.isCut(address))
        return;
    asio::post(this->impl->strand, [impl = this->impl, address, bytes = std::move(bytes)] {
        boost::system::error_code error;
        const auto host = asio::ip::make_address(address.host, error);
        if (error)
            return;
        impl->socket.send_to(asio::buffer(bytes), asio::ip::udp::endpoint(host, address.port), 0, error);
        if (error)
            log(LogLevel::Debug, "failed to send datagram",
                { { "peer", address.toString() }, { "reason", error.message() } });
    });
}

} // namespace peridotramp
