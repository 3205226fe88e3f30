#include "httpsession_p.h"

namespace peridotramp {

using Session = HttpExchange::Session;

namespace {

// Time for a caller to read the parts written before its response was aborted.
constexpr Milliseconds abortTimeout { 300 };
// Paths are truncated to this length in reports.
constexpr std::size_t maxPathBytes = 100;

http::response_header<> headOf(const HttpResponse& response)
{
    http::response_header<> head;
    head.version(11);
    head.result(response.status);
    setHeaders(head, response.headers);
    return head;
}

} // namespace

void Session::endExchange(bool disconnected)
{
    if (!this->exchangeActive)
        return;
    this->exchangeActive = false;
    this->activeSequence = 0;
    this->parts.clear();
    this->pendingBytes = 0;
    --this->server->exchanges;
    const auto hook = std::exchange(this->disconnectHook, nullptr);
    if (disconnected && hook)
        hook();
}

void Session::enqueue(std::uint64_t sequence, Part part)
{
    if (sequence != this->currentSequence || !this->exchangeActive)
        return;
    if (part.kind == PartKind::Abort) {
        this->activeSequence = 0;
        this->startDeadline(abortTimeout, [this] { this->close(); });
    }
    this->parts.push_back(std::move(part));
    this->wake.cancel();
}

void Session::close()
{
    boost::system::error_code ignored;
    static_cast<void>(this->socket.close(ignored));
}

void Session::startDeadline(Duration limit, std::function<void()> hook)
{
    this->deadline.expires_after(limit);
    this->deadline.async_wait([self = this->shared_from_this(), id = ++this->deadlineId, hook = std::move(hook)](
                                  const boost::system::error_code& error) {
        if (!error && id == self->deadlineId)
            hook();
    });
}

void Session::stopDeadline()
{
    ++this->deadlineId;
    this->deadline.cancel();
}

// Decides, when the head of a response is written, whether the connection is kept alive. A pipelined request that has
// already been read is answered before the connection closes.
bool Session::shouldKeepAlive() const
{
    const bool closes = this->server->stopping || this->server->closesAfterResponses;
    return this->keepAlive && (!closes || this->buffer.size() > 0);
}

void Session::reportConnectionEnd(ConnectionEnd::Reason reason) const
{
    ConnectionEnd end;
    end.reason = reason;
    boost::system::error_code error;
    const auto peer = this->socket.remote_endpoint(error);
    if (!error)
        end.peer = { peer.address().to_string(), peer.port() };
    if (this->parser && this->parser->is_header_done())
        end.path = std::string(this->parser->get().target().substr(0, maxPathBytes));
    end.path.resize(std::min(end.path.find('?'), end.path.size()));
    end.requestBytes = this->requestBytes;
    end.requestAge = this->requestBytes > 0 ? RuntimeClock::now() - this->requestStartedAt : Duration(0);
    this->server->init.onConnectionEnd(end);
}

asio::awaitable<void> Session::writeWhole(HttpResponse response)
{
    http::response<http::string_body> message(headOf(response), std::move(response.body));
    this->keepAlive = this->shouldKeepAlive();
    message.keep_alive(this->keepAlive);
    message.prepare_payload();
    auto [error, bytes] = co_await http::async_write(this->socket, message, asTuple);
    this->broken = this->broken || error;
}

// Writes one part and returns whether the response continues.
asio::awaitable<bool> Session::writePart(Part part)
{
    boost::system::error_code result;
    const auto size = part.response.body.size();
    switch (part.kind) {
    case PartKind::Whole:
        co_await this->writeWhole(std::move(part.response));
        co_return false;
    case PartKind::Head: {
        http::response<http::empty_body> message(headOf(part.response));
        this->keepAlive = this->shouldKeepAlive();
        message.keep_alive(this->keepAlive);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        auto [error, bytes] = co_await http::async_write_header(this->socket, serializer, asTuple);
        result = error;
        break;
    }
    case PartKind::Chunk: {
        auto [error, bytes]
            = co_await asio::async_write(this->socket, http::make_chunk(asio::buffer(part.response.body)), asTuple);
        result = error;
        break;
    }
    case PartKind::Abort:
        this->broken = true;
        break;
    case PartKind::End:
    case PartKind::Count: {
        const auto last = http::make_chunk_last();
        auto [error, bytes] = co_await asio::async_write(this->socket, last, asTuple);
        result = error;
        break;
    }
    }
    this->pendingBytes -= std::min(size, this->pendingBytes.load());
    this->broken = this->broken || result;
    co_return !this->broken && part.kind != PartKind::End;
}

// Detects a caller that closes its connection while its request is being served.
asio::awaitable<void> Session::watchForDisconnect(
    [[maybe_unused]] std::shared_ptr<Session> self, std::uint64_t sequence)
{
    auto input = PendingInput::None;
    // The wait may end spuriously, for bytes that another thread has read meanwhile; then there is no input.
    while (input == PendingInput::None) {
        auto [error] = co_await this->socket.async_wait(asio::socket_base::wait_read, asTuple);
        if (sequence != this->currentSequence || !this->exchangeActive || error == asio::error::operation_aborted)
            co_return;
        input = error ? PendingInput::End : pendingInput(this->socket);
    }
    // Data belongs to a pipelined request, which is read later.
    if (input == PendingInput::Data)
        co_return;
    this->broken = true;
    this->endExchange(true);
    this->wake.cancel();
}

asio::awaitable<void> Session::serveRequest()
{
    auto message = this->parser->release();
    this->parser.reset();
    this->keepAlive = message.keep_alive();
    HttpRequest request { std::string(message.method_string()), std::string(message.target()), headersOf(message),
        std::move(message.body()) };
    this->exchangeActive = true;
    this->activeSequence = ++this->currentSequence;
    asio::co_spawn(this->socket.get_executor(),
        this->watchForDisconnect(this->shared_from_this(), this->currentSequence), reportErrors("watching a caller"));
    const bool isHandled = callGuarded("request", [&] {
        this->server->handler(std::move(request), HttpExchange { this->shared_from_this(), this->currentSequence });
    });
    if (!isHandled)
        this->enqueue(this->currentSequence,
            { PartKind::Whole, textResponse(static_cast<unsigned>(http::status::internal_server_error), "") });
    bool continues = true;
    while (continues && this->exchangeActive) {
        if (this->parts.empty()) {
            this->wake.expires_at(std::chrono::steady_clock::time_point::max());
            co_await this->wake.async_wait(asTuple);
            continue;
        }
        auto part = std::move(this->parts.front());
        this->parts.pop_front();
        continues = co_await this->writePart(std::move(part));
    }
    this->stopDeadline();
    this->endExchange(this->broken);
    boost::system::error_code ignored;
    static_cast<void>(this->socket.cancel(ignored));
}

asio::awaitable<void> Session::run([[maybe_unused]] std::shared_ptr<Session> self)
{
    this->enterIntake();
    while (co_await this->readRequest()) {
        co_await this->serveRequest();
        this->leaveIntake();
        if (this->broken || !this->keepAlive)
            break;
    }
    boost::system::error_code ignored;
    static_cast<void>(this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored));
    this->close();
}

} // namespace peridotramp
