#include "ingress_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Time added to the timeout for the round trip between instances.
constexpr Milliseconds relayMargin { 200 };

// The answer to an append contains only an offset.
constexpr ByteCount appendAnswerBytes { std::int64_t { 64 } * 1024 };
// Size of a page of records without their values: keys and JSON.
constexpr std::int64_t pageOverheadBytes = std::int64_t { 512 } * 1024;

// Returns the maximum size of an answer with records, which a page has in base64.
ByteCount storeAnswerBytes(const IngressInit& init)
{
    return { init.maxStoreCallBytes.value * 4 / 3 + pageOverheadBytes };
}

bool isAnswered(const HttpResponse& response)
{
    return response.status != 0 && response.status != 503 && response.status != 429;
}

} // namespace

bool Ingress::Impl::isStoreAvailable()
{
    return this->storeHealth.isReachable() || std::ranges::any_of(this->fleet.reachable(), [](const Peer& peer) {
        return peer.state.storeReachable && !peer.state.draining;
    });
}

void Ingress::Impl::callStoreDirectly(
    HttpRequest request, Milliseconds timeout, std::function<void(HttpResult, HttpResponse)> hook)
{
    this->metrics.count("store_calls");
    HttpClient::Options options;
    options.timeout = timeout;
    const auto limit = request.body.empty() ? storeAnswerBytes(this->init) : appendAnswerBytes;
    const auto response = std::make_shared<HttpResponse>(HttpResponse { 0 });
    HttpClientHooks hooks;
    hooks.onHead = [response](const HttpResponse& head) { *response = head; };
    hooks.bodyLimit = [limit](const HttpResponse&) { return static_cast<std::size_t>(limit.value); };
    hooks.onBody = [response](std::string_view part) { response->body.append(part); };
    hooks.onEnd = [this, limit, response, hook = std::move(hook)](const HttpResult& result) {
        // An incomplete answer does not count, whatever its status.
        if (result.error != ErrorKind::None)
            *response = HttpResponse { 0 };
        if (result.error == ErrorKind::AnswerTooLarge)
            this->recordTooLarge("store", this->init.storeAddress.toString(), "answer", limit);
        // A connection without an answer may be dead, and the other idle connections with it.
        if (response->status == 0)
            this->storeClient.closeIdle(this->init.storeAddress);
        this->storeHealth.recordResult(isAnswered(*response), response->status);
        hook(result, std::move(*response));
    };
    this->storeClient.stream(this->init.storeAddress, std::move(request), options, std::move(hooks));
}

void Ingress::Impl::callStore(
    HttpRequest request, Milliseconds timeout, std::function<void(HttpResult, HttpResponse)> hook)
{
    if (!this->storeHealth.isReachable() && !this->draining) {
        this->callStoreBothWays(std::move(request), timeout, std::move(hook));
        return;
    }
    auto copy = request;
    this->callStoreDirectly(std::move(request), timeout,
        [this, copy = std::move(copy), timeout, hook = std::move(hook)](
            const HttpResult& result, const HttpResponse& response) mutable {
            if (isAnswered(response) || this->draining)
                hook(result, response);
            else
                this->callStoreThroughPeer(std::move(copy), timeout, std::move(hook));
        });
}

// Used while the store does not answer this instance: trying it first would cost a timeout for each call.
void Ingress::Impl::callStoreBothWays(
    HttpRequest request, Milliseconds timeout, std::function<void(HttpResult, HttpResponse)> hook)
{
    struct Race {
        std::mutex mutex;
        int pending = 2;
        bool ended = false;
    };
    const auto race = std::make_shared<Race>();
    const auto finish = [race, hook = std::move(hook)](const HttpResult& result, const HttpResponse& response) {
        {
            const std::scoped_lock lock(race->mutex);
            --race->pending;
            if (race->ended || (!isAnswered(response) && race->pending > 0))
                return;
            race->ended = true;
        }
        hook(result, response);
    };
    this->callStoreThroughPeer(request, timeout, finish);
    this->callStoreDirectly(std::move(request), timeout, finish);
}

void Ingress::Impl::callStoreThroughPeer(
    HttpRequest request, Milliseconds timeout, std::function<void(HttpResult, HttpResponse)> hook)
{
    auto helpers = this->fleet.reachable();
    std::erase_if(helpers, [](const Peer& peer) { return !peer.state.storeReachable || peer.state.draining; });
    if (helpers.empty()) {
        hook({ ErrorKind::ConnectionFailed, true }, { 0 });
        return;
    }
    const auto pick
        = hashBytes(request.target, static_cast<std::uint64_t>(RuntimeClock::now().time_since_epoch().count()));
    const auto& helper = helpers[pick % helpers.size()];
    StoreCallRequest call { request.method, request.target, {}, std::move(request.body), timeout };
    if (!request.headers.empty())
        call.contentType = request.headers.front().value;
    this->metrics.count("store_calls_relayed");
    this->fleet.call(helper.member.address, std::move(call), timeout + relayMargin,
        [hook = std::move(hook)](Result<Message> answer, bool last) {
            if (!last)
                return;
            const auto* reply = answer ? std::get_if<StoreCallReply>(&answer.value()) : nullptr;
            if (reply)
                hook({ ErrorKind::None, true, reply->status }, { reply->status, {}, reply->body });
            else
                hook({ ErrorKind::ConnectionFailed, true }, { 0 });
        });
}

} // namespace peridotramp
