#include "connection_p.h"

namespace peridotramp {

struct RpcClient::Call::State {
    AnswerHook hook;
    Milliseconds timeout;
    std::uint64_t correlationId = 0;
    std::weak_ptr<struct ClientConnection> connection {};
    std::mutex mutex {};
    TimePoint deadline {};
    bool ended = false;

    // Returns the hook and restarts the timeout; null if the call has ended. Ends the call if `last` is true.
    AnswerHook takeHook(bool last);
};

RpcClient::AnswerHook RpcClient::Call::State::takeHook(bool last)
{
    const std::scoped_lock lock(this->mutex);
    if (this->ended)
        return nullptr;
    this->ended = last;
    this->deadline = RuntimeClock::now() + this->timeout;
    return last ? std::exchange(this->hook, nullptr) : this->hook;
}

namespace {

using CallState = RpcClient::Call::State;

void endCall(const std::shared_ptr<CallState>& call, ErrorKind kind, Outcome outcome)
{
    if (const auto hook = call->takeHook(true))
        hook(Error { kind, outcome }, true);
}

} // namespace

// Connection to one address, with the outstanding calls on it. Accessed only on its strand.
struct ClientConnection : std::enable_shared_from_this<ClientConnection> {
    ClientConnection(asio::io_context& context, Address address, RpcClient::Init init)
        : strand(asio::make_strand(context))
        , address(std::move(address))
        , init(std::move(init))
    {
    }

    void send(const std::shared_ptr<CallState>& call, std::string frame);
    void sendQueued();
    void removeEnded();
    void handleFrame(Frame frame);
    void close();
    asio::awaitable<void> connect(std::shared_ptr<ClientConnection> self);
    FrameConnection::Hooks hooks();

    asio::strand<asio::io_context::executor_type> strand;
    Address address;
    RpcClient::Init init;
    std::shared_ptr<FrameConnection> connection {};
    bool connecting = false;
    // Not written yet, so the peer has not received these requests when they fail.
    std::vector<std::pair<std::shared_ptr<CallState>, std::string>> queued {};
    std::map<std::uint64_t, std::shared_ptr<CallState>> sent {};
    // Size of `sent` at which calls that ended without an answer are removed. At least twice the size after the last
    // removal, so that the cost per call is amortized constant.
    std::size_t cleanupSize = 64;
};

void ClientConnection::send(const std::shared_ptr<CallState>& call, std::string frame)
{
    if (this->init.isCut && this->init.isCut(this->address)) {
        endCall(call, ErrorKind::ConnectionFailed, Outcome::NotRun);
        return;
    }
    this->queued.emplace_back(call, std::move(frame));
    if (this->connection)
        this->sendQueued();
    else if (!std::exchange(this->connecting, true))
        asio::co_spawn(this->strand, this->connect(this->shared_from_this()), reportErrors("connecting to a peer"));
}

void ClientConnection::sendQueued()
{
    this->removeEnded();
    for (auto& [call, frame] : std::exchange(this->queued, {})) {
        if (this->connection->send(frame))
            this->sent[call->correlationId] = call;
        else
            endCall(call, ErrorKind::ConnectionFailed, Outcome::NotRun);
    }
}

void ClientConnection::removeEnded()
{
    if (this->sent.size() < this->cleanupSize)
        return;
    std::erase_if(this->sent, [](const auto& entry) {
        const std::scoped_lock lock(entry.second->mutex);
        return entry.second->ended;
    });
    this->cleanupSize = std::max<std::size_t>(64, 2 * this->sent.size());
}

void ClientConnection::handleFrame(Frame frame)
{
    const auto found = this->sent.find(frame.correlationId);
    // The answer to a call that has already ended.
    if (found == this->sent.end())
        return;
    const auto call = found->second;
    if (frame.last)
        this->sent.erase(found);
    const auto hook = call->takeHook(frame.last);
    if (!hook)
        return;
    if (const auto* error = std::get_if<ErrorMessage>(&frame.message); error && !error->owner.isValid())
        hook(error->error, true);
    else
        hook(std::move(frame.message), frame.last);
}

void ClientConnection::close()
{
    if (const auto old = std::exchange(this->connection, nullptr))
        old->close();
    for (const auto& [correlationId, call] : std::exchange(this->sent, {}))
        endCall(call, ErrorKind::ConnectionFailed, Outcome::Unknown);
}

FrameConnection::Hooks ClientConnection::hooks()
{
    const std::weak_ptr<ClientConnection> weak = this->shared_from_this();
    FrameConnection::Hooks hooks;
    hooks.onFrame = [weak](Frame frame) {
        if (const auto self = weak.lock())
            self->handleFrame(std::move(frame));
    };
    hooks.onClosed = [weak] {
        if (const auto self = weak.lock())
            self->close();
    };
    return hooks;
}

asio::awaitable<void> ClientConnection::connect([[maybe_unused]] std::shared_ptr<ClientConnection> self)
{
    boost::system::error_code addressError;
    const auto host = asio::ip::make_address(this->address.host, addressError);
    beast::tcp_stream stream(this->strand);
    stream.expires_after(this->init.connectTimeout);
    const asio::ip::tcp::endpoint endpoint(host, this->address.port);
    auto [error] = co_await stream.async_connect(endpoint, asTuple);
    this->connecting = false;
    if (error || addressError) {
        for (const auto& [call, frame] : std::exchange(this->queued, {}))
            endCall(call, ErrorKind::ConnectionFailed, Outcome::NotRun);
        co_return;
    }
    stream.expires_never();
    configureSocket(stream.socket());
    FrameConnection::Limits limits;
    limits.maxFrameBytes = this->init.maxFrameBytes;
    limits.frameTimeout = this->init.frameTimeout;
    this->connection = std::make_shared<FrameConnection>(stream.release_socket(), limits);
    this->connection->start(this->hooks());
    this->sendQueued();
}

struct RpcClient::Impl {
    using Connections = std::map<Address, std::shared_ptr<ClientConnection>>;

    Impl(Runtime& runtime, Init init)
        : runtime(runtime)
        , init(std::move(init))
    {
    }

    std::shared_ptr<ClientConnection> connectionTo(const Address& address);

    Runtime& runtime;
    Init init;
    std::atomic<std::uint64_t> lastCorrelationId = 0;
    Sharded<Connections> connections {};
};

std::shared_ptr<ClientConnection> RpcClient::Impl::connectionTo(const Address& address)
{
    return this->connections.with(hashBytes(address.toString()), [&](Connections& known) {
        auto& connection = known[address];
        if (!connection)
            connection = std::make_shared<ClientConnection>(this->runtime.internals().context, address, this->init);
        return connection;
    });
}

namespace {

// Ends the call at its deadline, which each message of the answer extends.
void watchDeadline(Runtime& runtime, const std::weak_ptr<CallState>& weak, Duration delay)
{
    runtime.after(delay, [&runtime, weak] {
        const auto call = weak.lock();
        if (!call)
            return;
        Duration left {};
        {
            const std::scoped_lock lock(call->mutex);
            if (call->ended)
                return;
            left = call->deadline - RuntimeClock::now();
        }
        if (left > Duration::zero())
            watchDeadline(runtime, weak, left);
        else
            endCall(call, ErrorKind::DeadlineExceeded, Outcome::Unknown);
    });
}

} // namespace

void RpcClient::Call::cancel() const
{
    const auto call = this->state.lock();
    if (!call || !call->takeHook(true))
        return;
    const auto connection = call->connection.lock();
    if (!connection)
        return;
    asio::post(connection->strand, [connection, call] {
        const bool written = connection->sent.erase(call->correlationId) > 0;
        std::erase_if(connection->queued, [&](const auto& entry) { return entry.first == call; });
        if (written && connection->connection)
            connection->connection->send(encodeFrame({ call->correlationId, true, CancelMessage {} }));
    });
}

RpcClient::RpcClient(Runtime& runtime, Init init)
    : impl(std::make_shared<Impl>(runtime, std::move(init)))
{
}

RpcClient::~RpcClient() = default;

RpcClient::Call RpcClient::call(const Address& address, Message message, Milliseconds timeout, AnswerHook hook)
{
    auto state = std::make_shared<Call::State>();
    state->hook = std::move(hook);
    state->timeout = timeout;
    state->deadline = RuntimeClock::now() + timeout;
    state->correlationId = ++this->impl->lastCorrelationId;
    auto connection = this->impl->connectionTo(address);
    state->connection = connection;
    asio::post(connection->strand,
        [connection, state, frame = encodeFrame({ state->correlationId, true, std::move(message) })]() mutable {
            connection->send(state, std::move(frame));
        });
    watchDeadline(this->impl->runtime, state, timeout);
    return Call { state };
}

void RpcClient::closeCutConnections()
{
    std::vector<std::shared_ptr<ClientConnection>> cut;
    this->impl->connections.forEach([&](Impl::Connections& known) {
        for (const auto& [address, connection] : known) {
            if (this->impl->init.isCut && this->impl->init.isCut(address))
                cut.push_back(connection);
        }
    });
    for (const auto& connection : cut)
        asio::post(connection->strand, [connection] { connection->close(); });
}

} // namespace peridotramp
