#pragma once

#include "../../platform/adapter.h"
#include "../soon.h"
#include "fakestore.h"

#include "peridotramp/nodes.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <future>

namespace peridotramp {

/// Returns an endpoint's record in the metadata store.
inline std::string endpointRecord(const std::string& service, const Address& address)
{
    return fmt::format(R"({{"service":"{}","address":"{}","zone":"a","slots":8,"state":"ready","coldLeftMs":0,)"
                       R"("sequence":1,"born":1}})",
        service, address.toString());
}

/// Endpoint whose answers a test defines. Records the requests that it gets.
class FakeEndpoint {
public:
    using Handler = std::function<void(const HttpRequest&, const HttpExchange&)>;

    FakeEndpoint(Runtime& runtime, std::string name, Handler handler)
        : name(std::move(name))
        , server(runtime, {},
              [this, handler = std::move(handler)](const HttpRequest& request, const HttpExchange& exchange) {
                  {
                      const std::scoped_lock lock(this->mutex);
                      this->seen.push_back(request);
                  }
                  handler(request, exchange);
              })
    {
    }

    std::vector<HttpRequest> requests()
    {
        const std::scoped_lock lock(this->mutex);
        return this->seen;
    }

    std::string record(const std::string& service) const { return endpointRecord(service, this->server.address()); }

    std::string name;

private:
    std::mutex mutex;
    std::vector<HttpRequest> seen;
    HttpServer server;
};

/// Returns the headers of an endpoint's answer to a request.
inline std::vector<HttpHeader> answerHeaders(const HttpRequest& request)
{
    return { { "Request-Id", std::string(request.header("Request-Id").value_or("")) }, { "Server-Seal", "seal" } };
}

inline HttpResponse streamHead(const HttpRequest& request)
{
    auto headers = answerHeaders(request);
    headers.push_back({ "Content-Type", "text/event-stream" });
    return { 200, std::move(headers), {} };
}

inline std::string eventText(int id) { return fmt::format("id: {}\ndata: d{}\n\n", id, id); }

/// Streams events `from` to `to` and ends the stream.
inline void streamEvents(const HttpRequest& request, const HttpExchange& exchange, int from, int to)
{
    exchange.startStream(streamHead(request));
    for (int id = from; id <= to; ++id)
        exchange.write(eventText(id));
    exchange.finish();
}

inline void threeEvents(const HttpRequest& request, const HttpExchange& exchange)
{
    streamEvents(request, exchange, 1, 3);
}

/// A store in memory, endpoints and instances that communicate over loopback.
class Deployment {
public:
    Deployment() { this->runtime.start(); }
    ~Deployment()
    {
        this->runtime.stop();
        this->runtime.waitForStop();
    }

    FakeEndpoint& addEndpoint(const std::string& name, const std::string& service, FakeEndpoint::Handler handler)
    {
        this->endpoints.push_back(std::make_unique<FakeEndpoint>(this->runtime, name, std::move(handler)));
        auto& endpoint = *this->endpoints.back();
        this->fakeStore.put(StoreTopic::Endpoints, {}, name, endpoint.record(service));
        return endpoint;
    }

    void publish(int version, const std::string& keys = R"(["key-1"])")
    {
        this->fakeStore.put(StoreTopic::DesiredState, {}, "config",
            fmt::format(
                R"({{"version":{},"routes":[)"
                R"({{"name":"turns","host":"h","pathPrefix":"/t/","routeType":"stream","timeoutMs":3000,"sloMs":{slo},)"
                R"("service":"engines","maxAttempts":2,"retainContext":true,"retentionS":60}},)"
                R"({{"name":"plain","host":"h","pathPrefix":"/p/","routeType":"stream","timeoutMs":3000,"sloMs":{slo},)"
                R"("service":"engines","maxAttempts":2,"resumable":true,"retentionS":60}},)"
                R"({{"name":"read","host":"h","pathPrefix":"/r/","routeType":"idempotent","timeoutMs":2000,"sloMs":{slo},)"
                R"("service":"desk","maxAttempts":2}},)"
                R"({{"name":"write","host":"h","pathPrefix":"/w/","routeType":"non_idempotent","timeoutMs":2000,)"
                R"("sloMs":{slo},"service":"desk","maxAttempts":2}}],)"
                R"("services":[{{"name":"engines","maxConns":50,"engine":{{"slots":8,"tokensPerEvent":10}}}},)"
                R"({{"name":"desk","maxConns":50}}],"limits":{{}},)"
                R"("tenants":[{{"name":"w","apiKeys":{}}},{{"name":"other","apiKeys":["key-2"]}},)"
                R"({{"name":"limited","apiKeys":["key-3"],"ratePerS":4,"burst":4}}]}})",
                version, keys, fmt::arg("slo", this->latencyTargetMs)));
    }

    std::shared_ptr<Ingress> startInstance(
        const std::string& name, bool firstStart = true, const std::string& domain = "a", std::uint16_t peerPort = 0)
    {
        IngressInit init;
        init.peerAddress.port = peerPort;
        init.name = name;
        init.domain = domain;
        init.regions = { { "a", "north" }, { "b", "north" }, { "c", "north" } };
        init.firstStart = firstStart;
        init.storePartitions = 2;
        this->configure(init);
        auto ingress
            = std::make_shared<Ingress>(this->runtime, init, this->formats, [this](const StoreTransport& transport) {
                  this->transport = transport;
                  return this->storeClient();
              });
        ingress->start();
        this->instances.push_back(ingress);
        return ingress;
    }

    std::shared_ptr<Ingress> startReady(
        const std::string& name, bool firstStart = true, const std::string& domain = "a")
    {
        auto ingress = this->startInstance(name, firstStart, domain);
        REQUIRE(eventually([&] { return ingress->isReady(); }));
        return ingress;
    }

    static HttpRequest request(const std::string& method, const std::string& target, const std::string& id)
    {
        return { method, target,
            { { "Host", "h" }, { "Request-Id", id }, { "Deadline-Ms", "2500" }, { "Authorization", "Bearer key-1" } },
            {} };
    }

    std::pair<HttpResult, HttpResponse> send(const Ingress& ingress, HttpRequest request)
    {
        auto done = std::make_shared<std::promise<std::pair<HttpResult, HttpResponse>>>();
        this->client.send(ingress.address(), std::move(request), { Milliseconds(5000), false },
            [done](HttpResult result, HttpResponse response) { done->set_value({ result, std::move(response) }); });
        return done->get_future().get();
    }

    /// Makes one store call of the instance that was started last fail.
    void failStoreCall()
    {
        auto done = std::make_shared<std::promise<void>>();
        this->transport({ "GET", "/", {}, {} }, Milliseconds(100),
            [done](const HttpResult&, const HttpResponse&) { done->set_value(); });
        done->get_future().get();
    }

    /// Store client of the instances that are started from now on.
    std::function<MetadataStore()> storeClient = [this] { return this->fakeStore.client(); };
    /// Changes the settings of the instances that are started from now on.
    std::function<void(IngressInit&)> configure = [](IngressInit&) { };
    /// Codecs of the instances that are started from now on.
    IngressFormats formats = platform::formats();
    /// Latency target of all routes that are published from now on.
    int latencyTargetMs = 1000;
    Runtime runtime { { 3 } };
    FakeStore fakeStore { this->runtime };
    HttpClient client { this->runtime };
    /// Store transport of the instance that was started last. Nothing listens at its address unless a test sets one.
    StoreTransport transport;
    std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
    std::vector<std::shared_ptr<Ingress>> instances;
};

/// Returns a turn of a program that may generate 30 tokens.
inline HttpRequest budgetedTurn(const std::string& id, const std::string& program, const std::string& budget)
{
    auto request = Deployment::request("POST", "/p/x", id);
    request.headers.push_back({ "Program-Id", program });
    request.headers.push_back({ "Token-Count", "100,30" });
    request.headers.push_back({ "Token-Budget", budget });
    return request;
}

/// Returns the reply of an instance to a message, or a default value when there is none.
template <typename Reply> Reply callInstance(Deployment& deployment, const Ingress& instance, Message message)
{
    RpcClient peer(deployment.runtime, {});
    auto done = std::make_shared<std::promise<Reply>>();
    peer.call(
        instance.peerAddress(), std::move(message), Milliseconds(5000), [done](const Result<Message>& answer, bool) {
            const auto* reply = answer ? std::get_if<Reply>(&answer.value()) : nullptr;
            done->set_value(reply ? *reply : Reply {});
        });
    return done->get_future().get();
}

} // namespace peridotramp
