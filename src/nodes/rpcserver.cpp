#include "connection_p.h"

namespace peridotramp {

struct RpcReply::State {
    std::shared_ptr<FrameConnection> connection;
    std::uint64_t correlationId = 0;
    std::mutex mutex {};
    bool ended = false;
    bool cancelled = false;
    std::function<void()> cancelHook {};

    void cancel();
};

void RpcReply::State::cancel()
{
    std::function<void()> hook;
    {
        const std::scoped_lock lock(this->mutex);
        if (this->ended || this->cancelled)
            return;
        this->cancelled = true;
        hook = std::exchange(this->cancelHook, nullptr);
    }
    if (hook)
        hook();
}

bool RpcReply::send(Message message, bool last) const
{
    {
        const std::scoped_lock lock(this->state->mutex);
        if (this->state->ended || this->state->cancelled)
            return false;
        this->state->ended = last;
    }
    return this->state->connection->send(encodeFrame({ this->state->correlationId, last, std::move(message) }));
}

void RpcReply::onCancel(std::function<void()> hook) const
{
    {
        const std::scoped_lock lock(this->state->mutex);
        if (!this->state->cancelled) {
            this->state->cancelHook = std::move(hook);
            return;
        }
    }
    hook();
}

struct RpcServer::Impl {
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
};

namespace {

// Requests of one connection that are not completely answered. Accessed only on the connection's strand.
struct OpenRequests {
    std::map<std::uint64_t, std::weak_ptr<RpcReply::State>> states;
    // Size of `states` at which answered requests are removed. At least twice the size after the last removal, so that
    // the cost per request is amortized constant.
    std::size_t cleanupSize = 64;

    void removeAnswered();
};

void OpenRequests::removeAnswered()
{
    if (this->states.size() < this->cleanupSize)
        return;
    std::erase_if(this->states, [](const auto& entry) { return entry.second.expired(); });
    this->cleanupSize = std::max<std::size_t>(64, 2 * this->states.size());
}

void handleFrame(
    RpcServer::Impl& server, const std::shared_ptr<FrameConnection>& connection, OpenRequests& open, Frame frame)
{
    const auto found = open.states.find(frame.correlationId);
    if (std::holds_alternative<CancelMessage>(frame.message)) {
        const auto state = found == open.states.end() ? nullptr : found->second.lock();
        if (state)
            state->cancel();
        return;
    }
    open.removeAnswered();
    auto state = std::make_shared<RpcReply::State>();
    state->connection = connection;
    state->correlationId = frame.correlationId;
    open.states[frame.correlationId] = state;
    server.handler(std::move(frame.message), RpcReply { state });
}

void startConnection(const std::shared_ptr<RpcServer::Impl>& server, asio::ip::tcp::socket socket)
{
    const FrameConnection::Limits limits { server->init.maxFrameBytes, server->init.maxPendingBytes,
        server->init.frameTimeout };
    auto connection = std::make_shared<FrameConnection>(std::move(socket), limits);
    auto open = std::make_shared<OpenRequests>();
    const std::weak_ptr<FrameConnection> weak = connection;
    FrameConnection::Hooks hooks;
    hooks.onFrame = [server, weak, open](Frame frame) {
        if (const auto owner = weak.lock())
            handleFrame(*server, owner, *open, std::move(frame));
    };
    hooks.onClosed = [open] {
        for (const auto& [correlationId, weakState] : open->states) {
            if (const auto state = weakState.lock())
                state->cancel();
        }
    };
    connection->start(std::move(hooks));
}

} // namespace

RpcServer::RpcServer(Runtime& runtime, Init init, Handler handler)
    : impl(std::make_shared<Impl>(runtime, std::move(init), std::move(handler)))
{
    this->impl->bound = listenOn(this->impl->acceptor, this->impl->init.listen);
    auto onSocket = [impl = this->impl](asio::ip::tcp::socket socket) { startConnection(impl, std::move(socket)); };
    asio::co_spawn(this->impl->acceptor.get_executor(), acceptConnections(this->impl, std::move(onSocket)),
        reportErrors("accepting peers"));
}

RpcServer::~RpcServer() { this->stopAccepting(); }

Address RpcServer::address() const { return this->impl->bound; }

void RpcServer::stopAccepting() { stopListening(this->impl); }

} // namespace peridotramp
