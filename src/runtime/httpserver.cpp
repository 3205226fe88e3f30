#include "runtime_p.h"

#include <deque>
#include <set>

namespace peridotramp {

struct HttpServer::Impl {
    Impl(Runtime& runtime, Init init, Handler handler)
        : init(std::move(init))
        , handler(std::move(handler))
        , context(runtime.internals().context)
        , acceptor(asio::make_strand(this->context))
    {
    }

    Init init;
    Handler handler;
    asio::io_context& context;
    Acceptor acceptor;
    Address bound;
    std::atomic<bool> stopping = false;
    std::atomic<bool> closing = false;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> exchanges = 0;
    std::mutex sessionsMutex {};
    std::set<HttpExchange::Session*> sessions {};
};

// One connection. Everything but the atomic members is touched on the connection's strand only.
struct HttpExchange::Session : std::enable_shared_from_this<HttpExchange::Session> {
    enum class PartKind : std::uint8_t { Whole, Head, Chunk, End, Count };
    struct Part {
        PartKind kind;
        HttpResponse response;
    };

    Session(std::shared_ptr<HttpServer::Impl> server, asio::ip::tcp::socket socket)
        : server(std::move(server))
        , stream(std::move(socket))
        , wake(this->stream.get_executor())
    {
        const std::scoped_lock lock(this->server->sessionsMutex);
        this->server->sessions.insert(this);
    }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;
    ~Session()
    {
        const std::scoped_lock lock(this->server->sessionsMutex);
        this->server->sessions.erase(this);
    }

    // The coroutines take their owner as an argument, because they start after the caller has let go of it.
    asio::awaitable<void> run(std::shared_ptr<Session> self);
    asio::awaitable<bool> readRequest();
    asio::awaitable<void> refuse(http::status status);
    asio::awaitable<void> serveRequest();
    asio::awaitable<void> watchForDisconnect(std::shared_ptr<Session> self, std::uint64_t sequence);
    asio::awaitable<bool> writePart(Part part);
    asio::awaitable<void> writeWhole(HttpResponse response);
    void enqueue(std::uint64_t sequence, Part part);
    void endExchange(bool disconnected);

    std::shared_ptr<HttpServer::Impl> server;
    beast::tcp_stream stream;
    beast::flat_buffer buffer {};
    std::optional<http::request_parser<http::string_body>> parser {};
    std::deque<Part> parts {};
    // Woken when a part arrives; never expires by itself.
    asio::steady_timer wake;
    std::function<void()> disconnectHook {};
    std::uint64_t currentSequence = 0;
    bool keepAlive = true;
    bool broken = false;
    bool exchangeActive = false;
    // Whether the connection waits for the first byte of a request.
    bool idle = false;
    std::atomic<std::size_t> pendingBytes = 0;
    std::atomic<std::uint64_t> activeSequence = 0;
};

namespace {

using Session = HttpExchange::Session;

constexpr std::size_t readBlockBytes = std::size_t { 8 } * 1024;

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
    this->parts.push_back(std::move(part));
    this->wake.cancel();
}

asio::awaitable<void> Session::writeWhole(HttpResponse response)
{
    http::response<http::string_body> message(headOf(response), std::move(response.body));
    message.keep_alive(this->keepAlive);
    message.prepare_payload();
    auto [error, bytes] = co_await http::async_write(this->stream, message, asTuple);
    this->broken = this->broken || error;
}

// Writes one part and returns whether the exchange goes on.
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
        message.keep_alive(this->keepAlive);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        auto [error, bytes] = co_await http::async_write_header(this->stream, serializer, asTuple);
        result = error;
        break;
    }
    case PartKind::Chunk: {
        auto [error, bytes]
            = co_await asio::async_write(this->stream, http::make_chunk(asio::buffer(part.response.body)), asTuple);
        result = error;
        break;
    }
    case PartKind::End:
    case PartKind::Count: {
        const auto last = http::make_chunk_last();
        auto [error, bytes] = co_await asio::async_write(this->stream, last, asTuple);
        result = error;
        break;
    }
    }
    this->pendingBytes -= std::min(size, this->pendingBytes.load());
    this->broken = this->broken || result;
    co_return !this->broken && part.kind != PartKind::End;
}

// Reports a caller that closes its connection while its request runs.
asio::awaitable<void> Session::watchForDisconnect(
    [[maybe_unused]] std::shared_ptr<Session> self, std::uint64_t sequence)
{
    auto input = PendingInput::None;
    // The event of bytes that another thread has read meanwhile ends the wait, too, and then there is nothing to read.
    while (input == PendingInput::None) {
        auto [error] = co_await this->stream.socket().async_wait(asio::socket_base::wait_read, asTuple);
        if (sequence != this->currentSequence || !this->exchangeActive || error == asio::error::operation_aborted)
            co_return;
        input = error ? PendingInput::End : pendingInput(this->stream.socket());
    }
    // Data is a pipelined request and is read later.
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
    this->keepAlive = message.keep_alive() && !this->server->stopping && !this->server->closing;
    HttpRequest request { std::string(message.method_string()), std::string(message.target()), headersOf(message),
        std::move(message.body()) };
    this->exchangeActive = true;
    this->activeSequence = ++this->currentSequence;
    ++this->server->exchanges;
    asio::co_spawn(this->stream.get_executor(),
        this->watchForDisconnect(this->shared_from_this(), this->currentSequence), asio::detached);
    this->server->handler(std::move(request), HttpExchange { this->shared_from_this(), this->currentSequence });
    bool goesOn = true;
    while (goesOn && this->exchangeActive) {
        if (this->parts.empty()) {
            this->wake.expires_at(std::chrono::steady_clock::time_point::max());
            co_await this->wake.async_wait(asTuple);
            continue;
        }
        auto part = std::move(this->parts.front());
        this->parts.pop_front();
        goesOn = co_await this->writePart(std::move(part));
    }
    this->endExchange(this->broken);
    boost::system::error_code ignored;
    static_cast<void>(this->stream.socket().cancel(ignored));
}

namespace {

ErrorKind kindOfRefusal(http::status status)
{
    switch (status) {
    case http::status::bad_request:
        return ErrorKind::InvalidRequest;
    case http::status::request_timeout:
        return ErrorKind::DeadlineExceeded;
    default:
        return ErrorKind::RequestTooLarge;
    }
}

// Returns the status with which a request that could not be read is refused; empty when the connection is just closed.
std::optional<http::status> refusalOf(const boost::system::error_code& error)
{
    if (error == http::error::body_limit)
        return http::status::payload_too_large;
    // The read buffer is as large as a head may be, so it overflows with chunk extensions and trailers without end.
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return http::status::request_header_fields_too_large;
    if (error == beast::error::timeout)
        return http::status::request_timeout;
    if (isParseError(error))
        return http::status::bad_request;
    return std::nullopt;
}

} // namespace

asio::awaitable<void> Session::refuse(http::status status)
{
    this->keepAlive = false;
    // A write is not bounded by the time-out that has just ended the read.
    this->stream.expires_never();
    // g++ 12 destroys aggregate temporaries of a co_await expression twice, so the response is a variable.
    auto response
        = textResponse(static_cast<unsigned>(status), std::error_code(kindOfRefusal(status)).message() + "\n");
    co_await this->writeWhole(std::move(response));
}

asio::awaitable<bool> Session::readRequest()
{
    auto limits = this->server->init.limits();
    if (this->buffer.size() == 0) {
        if (this->server->stopping)
            co_return false;
        this->stream.expires_after(limits.idleTimeout);
        auto space = this->buffer.prepare(readBlockBytes);
        this->idle = true;
        auto [idleError, received] = co_await this->stream.async_read_some(space, asTuple);
        this->idle = false;
        if (idleError)
            co_return false;
        this->buffer.commit(received);
        limits = this->server->init.limits();
    }
    this->buffer.max_size(std::max(this->buffer.size(), limits.maxHeaderBytes) + maxReadBytes);
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    this->parser->body_limit(limits.maxBodyBytes);
    this->stream.expires_after(limits.readTimeout);
    auto [error, bytes] = co_await http::async_read(this->stream, this->buffer, *this->parser, asTuple);
    this->stream.expires_never();
    if (!error)
        co_return true;
    if (const auto status = refusalOf(error))
        co_await this->refuse(*status);
    co_return false;
}

asio::awaitable<void> Session::run([[maybe_unused]] std::shared_ptr<Session> self)
{
    while (co_await this->readRequest()) {
        co_await this->serveRequest();
        if (this->broken || !this->keepAlive || this->server->stopping)
            break;
    }
    boost::system::error_code ignored;
    static_cast<void>(this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored));
    --this->server->connections;
}

namespace {

void startSession(const std::shared_ptr<HttpServer::Impl>& server, asio::ip::tcp::socket socket)
{
    if (server->connections >= server->init.maxConnections)
        return;
    ++server->connections;
    auto session = std::make_shared<Session>(server, std::move(socket));
    asio::co_spawn(session->stream.get_executor(), session->run(session), asio::detached);
}

void post(const HttpExchange& exchange, Session::PartKind kind, HttpResponse response)
{
    if (!exchange.session)
        return;
    auto& session = *exchange.session;
    asio::post(session.stream.get_executor(),
        [session = exchange.session, sequence = exchange.sequence,
            part = Session::Part { kind, std::move(response) }]() mutable {
            session->enqueue(sequence, std::move(part));
        });
}

} // namespace

void HttpExchange::respond(HttpResponse response) const { post(*this, Session::PartKind::Whole, std::move(response)); }

void HttpExchange::startStream(HttpResponse head) const { post(*this, Session::PartKind::Head, std::move(head)); }

bool HttpExchange::write(std::string part) const
{
    if (!this->session || this->session->activeSequence != this->sequence)
        return false;
    if (part.empty())
        return true;
    const auto pending = this->session->pendingBytes += part.size();
    if (pending > this->session->server->init.maxPendingBytes) {
        this->abort();
        return false;
    }
    post(*this, Session::PartKind::Chunk, { 200, {}, std::move(part) });
    return true;
}

void HttpExchange::finish() const { post(*this, Session::PartKind::End, {}); }

void HttpExchange::abort() const
{
    if (!this->session)
        return;
    asio::post(this->session->stream.get_executor(), [session = this->session, sequence = this->sequence] {
        if (sequence != session->currentSequence || !session->exchangeActive)
            return;
        session->broken = true;
        boost::system::error_code ignored;
        static_cast<void>(session->stream.socket().close(ignored));
        session->endExchange(true);
        session->wake.cancel();
    });
}

bool HttpExchange::isActive() const { return this->session && this->session->activeSequence == this->sequence; }

void HttpExchange::onDisconnect(std::function<void()> hook) const
{
    if (!this->session)
        return;
    asio::dispatch(this->session->stream.get_executor(),
        [session = this->session, sequence = this->sequence, hook = std::move(hook)] {
            if (sequence == session->currentSequence && session->exchangeActive)
                session->disconnectHook = hook;
            else if (session->broken)
                hook();
        });
}

HttpServer::HttpServer(Runtime& runtime, Init init, Handler handler)
    : impl(std::make_shared<Impl>(runtime, std::move(init), std::move(handler)))
{
    this->impl->bound = listenOn(this->impl->acceptor, this->impl->init.listen);
    auto onSocket = [impl = this->impl](asio::ip::tcp::socket socket) { startSession(impl, std::move(socket)); };
    asio::co_spawn(
        this->impl->acceptor.get_executor(), acceptConnections(this->impl, std::move(onSocket)), asio::detached);
}

HttpServer::~HttpServer() { this->stopAccepting(); }

Address HttpServer::address() const { return this->impl->bound; }

void HttpServer::closeAfterResponses(bool enabled) { this->impl->closing = enabled; }

void HttpServer::stopAccepting()
{
    stopListening(this->impl);
    // Sessions are released outside the lock, which their destructor takes.
    std::vector<std::shared_ptr<HttpExchange::Session>> open;
    {
        const std::scoped_lock lock(this->impl->sessionsMutex);
        std::ranges::transform(this->impl->sessions, std::back_inserter(open),
            [](HttpExchange::Session* session) { return session->weak_from_this().lock(); });
    }
    // A session that is being destroyed is no longer idle.
    std::erase(open, nullptr);
    for (auto& session : open)
        asio::post(session->stream.get_executor(), [session] {
            if (session->idle)
                session->stream.cancel();
        });
}

std::size_t HttpServer::activeExchanges() const { return this->impl->exchanges; }

} // namespace peridotramp
