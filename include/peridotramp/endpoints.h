#pragma once

#include "peridotramp/endpointpool.h"
#include "peridotramp/programs.h"
#include "peridotramp/runtime.h"

namespace peridotramp {

/// Tokens that an engine reports for a completion.
struct Usage {
    TokenCount prompt;
    TokenCount cached;
    TokenCount completion;
};

/// A completion for a model engine.
struct EngineCall {
    Address address;
    ProgramId program;
    CallId call;
    TurnNumber turn;
    std::string model;
    /// Complete prompt: the history and the input of this turn.
    std::string prompt;
    TokenCount promptTokens;
    TokenCount maxTokens;
    Milliseconds timeout { 60'000 };
};

/// A call of a plain service.
struct ServiceCall {
    Address address;
    std::string name;
    CallId call;
    std::string input;
    Milliseconds timeout { 30'000 };
};

/// How a call on an endpoint ended.
struct EndpointAnswer {
    /// `None` when the answer is complete.
    ErrorKind error = ErrorKind::None;
    /// Whether the endpoint refused the call because it is overloaded or unavailable, so that the call was not run.
    bool refused = false;
    /// Whether a byte of the request may have reached the endpoint.
    bool requestWritten = false;
    std::string output;
    Usage usage;
    std::optional<Duration> firstToken;
};

/// Client for model engines and plain services. Sends only its own headers and never forwards headers of a caller.
class EndpointClient {
public:
    using AnswerHook = std::function<void(EndpointAnswer)>;

    explicit EndpointClient(Runtime& runtime);

    /// Runs a completion; `onToken` receives each part of the output.
    HttpClient::Call complete(const EngineCall& call, std::function<void(std::string_view)> onToken, AnswerHook onEnd);
    /// Runs a service call.
    HttpClient::Call callService(const ServiceCall& call, AnswerHook onEnd);
    /// Sends an order to an engine. The hook receives `None` if the engine answered with status 200.
    void sendOrder(const Address& address, const Order& order, std::function<void(ErrorKind)> hook);
    /// Reads the load that an engine reports.
    void fetchLoad(const Address& address, EndpointId endpoint, std::function<void(Result<LoadReport>)> hook);
    /// Reads the cache events from a sequence number on.
    void fetchEvents(const Address& address, std::uint64_t from,
        std::function<void(Result<std::pair<EngineStart, std::vector<KvEvent>>>)> hook);
    /// Reads the complete content of an engine's prefix cache.
    void fetchCacheContent(const Address& address, EndpointId endpoint, std::function<void(Result<KvReport>)> hook);

private:
    HttpClient http;
};

} // namespace peridotramp
