#pragma once

#include "peridotramp/core.h"

// Used by the ingress on the platform. The scheduler and the gateway use `configuration.h` instead.

namespace peridotramp {

/// Whether a request of a route may run again after an attempt that may have run. `Stream` is a route whose responses
/// are event streams; its requests may run again only if the route is resumable.
enum class CallKind : std::uint8_t { Idempotent, NonIdempotent, Stream, Count };

/// Returns `idempotent`, `non_idempotent` or `stream`.
std::string_view toString(CallKind kind);

struct WeightedService {
    std::string service;
    double weight = 1;
};

/// One route of the desired state.
struct HttpRoute {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    CallKind kind = CallKind::Idempotent;
    /// Longest time that a request may take.
    Milliseconds timeout { 0 };
    /// Target for the time to the response; for streams, to the first event.
    Milliseconds latencyTarget { 0 };
    /// 0 is the most urgent.
    std::int32_t priority = 0;
    std::vector<WeightedService> services;
    /// Maximum number of endpoints on which one request may run.
    std::int32_t maxAttempts = 1;
    /// Whether the system stores the conversation history, so that a turn carries only its new input.
    bool keepsHistory = false;
    /// Time for which a turn and its history are stored.
    Milliseconds retention { 0 };
    /// Whether requests are accepted without a key.
    bool isPublic = false;
    /// Whether a broken stream may be resumed at another endpoint.
    bool resumable = false;
    /// Whether endpoints handle a request faster if they have recently handled one for the same object.
    bool hasAffinity = false;
    /// Regions whose endpoints may serve the route; empty for all.
    std::vector<std::string> regions;
};

/// Properties of the engines of a service, from the desired state.
struct EngineTraits {
    std::int32_t slots = 1;
    TokenCount memory;
    /// Tokens that one event of a stream represents.
    TokenCount tokensPerEvent { 1 };
};

struct HttpService {
    std::string name;
    /// Connections that one endpoint accepts from all callers.
    std::int32_t maxConnections = 0;
    /// Requests per second that a cold endpoint can take; 0 for no limit.
    RequestRate coldRate;
    /// Set for services of model engines.
    std::optional<EngineTraits> engine;
};

struct HttpWorkspace {
    std::string name;
    std::vector<std::string> keys;
    /// Requests per second over all instances; 0 for no limit.
    RequestRate rate;
    RequestCount burst;
    std::vector<std::string> regions;
};

/// Limits on the size of a request and on the time in which a caller sends it.
struct CallerLimits {
    ByteCount headerBytes { std::int64_t { 16 } * 1024 };
    ByteCount bodyBytes { std::int64_t { 4 } * 1024 * 1024 };
    Milliseconds readTimeout { 3000 };
    Milliseconds idleTimeout { 15'000 };
};

/// A complete desired state as an operator published it.
struct DesiredState {
    std::int64_t version = 0;
    std::vector<HttpRoute> routes;
    std::vector<HttpService> services;
    std::vector<HttpWorkspace> workspaces;
    /// Whether requests need the key of a workspace, unless their route is public.
    bool keysRequired = false;
    CallerLimits limits;
};

/// Index of one desired state. Immutable, so that threads may share it.
class RouteTable {
public:
    explicit RouteTable(DesiredState state);
    RouteTable(const RouteTable&) = delete;
    RouteTable& operator=(const RouteTable&) = delete;

    const DesiredState& state() const { return this->desired; }
    /// Returns the route of `host` with the longest prefix of `path`; null when there is none. A port in `host` is
    /// ignored.
    const HttpRoute* match(std::string_view host, std::string_view path) const;
    const HttpWorkspace* workspaceOfKey(std::string_view key) const;
    const HttpWorkspace* workspace(std::string_view name) const;
    const HttpService* service(std::string_view name) const;

private:
    DesiredState desired;
    std::map<std::string, std::vector<const HttpRoute*>, std::less<>> routesByHost;
    std::map<std::string, const HttpWorkspace*, std::less<>> workspacesByKey;
    std::map<std::string, const HttpWorkspace*, std::less<>> workspacesByName;
    std::map<std::string, const HttpService*, std::less<>> servicesByName;
};

/// Picks a service of a route by weight. Equal hashes give equal services.
const std::string& pickService(const HttpRoute& route, std::uint64_t hash);

/// Returns whether an endpoint of `region` may serve the route and workspace. An empty list of regions allows all.
bool regionAllowed(const HttpRoute& route, const HttpWorkspace* workspace, std::string_view region);

} // namespace peridotramp
