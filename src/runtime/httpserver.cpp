#include "httpsession_p.h"

namespace peridotramp {

std::string_view toString(ConnectionEnd::Reason reason)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(ConnectionEnd::Reason::Count)> names { "idle",
        "stopping", "read_timeout", "refused", "left_in_request", "slow_reader", "too_many", "evicted" };
    return names.at(static_cast<std::size_t>(reason));
}

using Session = HttpExchange::Session;

namespace {

void startSession(const std::shared_ptr<HttpServer::Impl>& server, asio::ip::tcp::socket socket)
{
    // The place of an evicted connection is free a moment later.
    if (server->connections >= server->init.maxConnections && !server->intake.evictOldest()) {
        server->init.onConnectionEnd({ .reason = ConnectionEnd::Reason::TooMany });
        return;
    }
    auto session = std::make_shared<Session>(server, std::move(socket));
    asio::co_spawn(session->socket.get_executor(), session->run(session), reportErrors("connection of a caller"));
}

void post(const HttpExchange& exchange, Session::PartKind kind, HttpResponse response)
{
    if (!exchange.session)
        return;
    auto& session = *exchange.session;
    asio::post(session.socket.get_executor(),
        [session = exchange.session, sequence = exchange.sequence,
            part = Session::Part { kind, std::move(response) }]() mutable {
            session->enqueue(sequence, std::move(part));
        });
}

// Closes the connection of a caller that reads too slowly; unsent bytes are dropped.
void disconnect(const HttpExchange& exchange)
{
    asio::post(exchange.session->socket.get_executor(), [session = exchange.session, sequence = exchange.sequence] {
        if (sequence != session->currentSequence || !session->exchangeActive)
            return;
        session->broken = true;
        session->reportConnectionEnd(ConnectionEnd::Reason::SlowReader);
        session->close();
        session->endExchange(true);
        session->wake.cancel();
    });
}

// Wakes up a session that waits for a request.
void cancelWait(Session& session)
{
    boost::system::error_code ignored;
    static_cast<void>(session.socket.cancel(ignored));
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
        disconnect(*this);
        return false;
    }
    post(*this, Session::PartKind::Chunk, { 200, {}, std::move(part) });
    return true;
}

void HttpExchange::finish() const { post(*this, Session::PartKind::End, {}); }

void HttpExchange::abort() const { post(*this, Session::PartKind::Abort, {}); }

bool HttpExchange::isActive() const { return this->session && this->session->activeSequence == this->sequence; }

void HttpExchange::onDisconnect(std::function<void()> hook) const
{
    if (!this->session)
        return;
    asio::dispatch(this->session->socket.get_executor(),
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
    asio::co_spawn(this->impl->acceptor.get_executor(), acceptConnections(this->impl, std::move(onSocket)),
        reportErrors("accepting callers"));
}

HttpServer::~HttpServer() { this->stopAccepting(); }

Address HttpServer::address() const { return this->impl->bound; }

void HttpServer::closeAfterResponses(bool enabled) { this->impl->closesAfterResponses = enabled; }

void HttpServer::stopAccepting()
{
    stopListening(this->impl);
    // The sessions are released outside the lock, because their destructor acquires it.
    std::vector<std::shared_ptr<HttpExchange::Session>> open;
    {
        const std::scoped_lock lock(this->impl->sessionsMutex);
        std::ranges::transform(this->impl->sessions, std::back_inserter(open),
            [](HttpExchange::Session* session) { return session->weak_from_this().lock(); });
    }
    // Sessions that are being destroyed.
    std::erase(open, nullptr);
    for (auto& session : open)
        asio::post(session->socket.get_executor(), [session] {
            if (session->idle)
                cancelWait(*session);
        });
}

std::size_t HttpServer::activeExchanges() const { return this->impl->exchanges; }

} // namespace peridotramp
