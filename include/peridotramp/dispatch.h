#pragma once

#include "peridotramp/core.h"

#include <set>

// Used by the ingress on the platform. The scheduler chooses endpoints with `scheduling.h` and `endpointpool.h`
// instead.

namespace peridotramp {

using PromptPartId = Id<struct PromptPartTag>;

/// A part of a prompt. Prompts that begin with the same parts share an engine's cached prefix.
struct PromptPart {
    PromptPartId id;
    TokenCount tokens;
};

/// Returns the number of tokens of a prompt.
TokenCount tokensOf(const std::vector<PromptPart>& prompt);

/// An object on which requests operate, for example a document. An endpoint that has handled an object recently handles
/// further requests for it faster.
using ObjectId = Id<struct ObjectTag>;

/// An endpoint as the metadata store lists it.
struct EndpointRecord {
    /// Instance id of the endpoint; it usually changes when the endpoint restarts.
    std::string name;
    std::string service;
    Address address;
    std::string domain;
    bool draining = false;
    /// Remaining time for which the endpoint is cold, counted from when the record was read.
    Milliseconds coldLeft { 0 };
    std::int32_t slots = 1;
    /// Start of the endpoint in Unix milliseconds; a later one replaces an earlier one.
    std::int64_t startedAt = 0;
    /// Increases with each record of one start.
    std::int64_t sequence = 0;
};

/// Returns how long an endpoint stays in use after its record disappears. Records expire while the metadata store is
/// unavailable and are renewed within about two seconds of its return; an endpoint without a record after that is gone.
Duration removalDelay(Duration sinceStoreFailure);

/// What a request requires of an endpoint.
struct DispatchRequest {
    std::string service;
    /// Parts of the prompt in order; empty for plain services.
    std::vector<PromptPart> prompt;
    /// Object that the request concerns, if its route has session affinity.
    std::optional<ObjectId> object;
    /// Endpoints that may not be used again for this request.
    std::vector<std::string> excluded;
    /// Returns whether endpoints of a failure domain may serve the request.
    std::function<bool(std::string_view domain)> domainAllowed = [](std::string_view) { return true; };
};

/// A chosen endpoint. Each choice must be ended with `EndpointDirectory::finish`.
struct DispatchChoice {
    std::string name;
    Address address;
    std::string domain;
    /// Tokens of the prompt that the endpoint is expected to have cached.
    TokenCount cached;
    /// Start of the endpoint as its record states it.
    std::int64_t startedAt = 0;
};

/// How a dispatched request ended at its endpoint.
enum class DispatchResult : std::uint8_t {
    Served,
    /// The endpoint answered that it is full and did not run the request.
    Refused,
    /// The address belongs to another endpoint.
    WrongInstance,
    /// The endpoint gave no answer or an invalid one.
    Failed,
    /// The caller disconnected or its deadline passed.
    Abandoned,
    Count
};

/// Outstanding requests at an endpoint.
struct EndpointLoad {
    EndpointId endpoint;
    std::int32_t outstanding = 0;
};

/// Sums the outstanding requests that instances of the local failure domain and the other failure domains report.
class LoadTable {
public:
    void applyInstanceLoad(NodeId instance, std::vector<EndpointLoad> loads, TimePoint now);
    void applyDomainLoad(const std::string& domain, std::vector<EndpointLoad> loads, TimePoint now);
    /// Returns the outstanding requests of the local failure domain, sorted by endpoint.
    std::vector<EndpointLoad> domainLoad(TimePoint now);
    /// Returns the outstanding requests of the whole fleet, sorted by endpoint.
    std::vector<EndpointLoad> fleetLoad(TimePoint now);

private:
    struct Report {
        std::vector<EndpointLoad> loads;
        TimePoint receivedAt {};
    };

    std::map<NodeId, Report> instances;
    std::map<std::string, Report, std::less<>> domains;
};

struct DispatchWeights {
    /// Prompt tokens that an engine processes in a millisecond.
    double promptTokensPerMs = 200;
    /// Delay that each outstanding request adds at an engine.
    double engineLoadMs = 8;
    /// Expected wait for each request beyond the slots of a plain service.
    double serviceLoadMs = 40;
    /// Maximum part of the cost that depends on the hash of endpoint and object. It is less than one request in
    /// progress, so that requests for an object meet at one endpoint only among equally loaded ones.
    double objectDistanceMs = 1.5;
    /// Time that an endpoint saves on an object that it has handled recently.
    double objectGainMs = 10;
    /// Round trip to another failure domain, including the transfer of the request.
    double otherDomainMs = 6;
    /// Added for each recent failure of an endpoint.
    double failureMs = 80;
    /// Added for an endpoint of an unreachable failure domain; a request to it usually waits until its time limit.
    double unreachableDomainMs = 3000;
};

/// What a cost function knows about an endpoint.
struct EndpointCostView {
    bool engine = false;
    bool sameDomain = false;
    /// Whether messages from all instances of the endpoint's failure domain have stopped.
    bool domainUnreachable = false;
    std::int32_t slots = 1;
    /// Outstanding requests of all instances, as far as they are known.
    std::int32_t outstanding = 0;
    TokenCount uncached;
    double recentFailures = 0;
    /// Sequence number of the last choice that selected this endpoint.
    std::uint64_t lastChoice = 0;
    /// Whether the endpoint has handled the request's object recently, as far as this instance knows.
    bool handledObject = false;
    /// Hash of the endpoint and the request's object, from 0 to 1; 0 without an object. All instances calculate the
    /// same value.
    double objectDistance = 0;
};
/// Returns the cost of sending a request to an endpoint; the endpoint with the lowest cost is chosen.
using EndpointCostHook = std::function<double(const EndpointCostView&)>;

/// Returns a cost function that estimates the milliseconds until the request ends.
EndpointCostHook expectedTimeCost(DispatchWeights weights);
/// Baseline: round robin, which ignores load and cache.
EndpointCostHook roundRobinCost();

/// Endpoints of services, with their outstanding requests and the expected contents of their prefix caches.
class EndpointDirectory {
public:
    struct Init {
        std::string ownDomain;
        EndpointCostHook cost = expectedTimeCost({});
        /// Time after a failure during which an endpoint is used only when no other endpoint is available.
        Milliseconds failurePause { 400 };
        /// Time after its last use for which a prompt part counts as cached.
        Seconds cacheAge { 60 };
        std::size_t maxPartsPerEndpoint = 2000;
        /// Time after a request for an object for which its endpoint counts as having handled the object recently.
        Seconds objectAge { 30 };
        std::size_t maxObjectsPerEndpoint = 256;
    };

    explicit EndpointDirectory(Init init);

    /// Adds or updates an endpoint. Ignores records of an earlier start or with a lower sequence number. Returns
    /// whether anything changed.
    bool apply(const EndpointRecord& record, TimePoint now);
    bool remove(std::string_view name);
    std::vector<std::string> names() const;
    /// Sets what the desired state defines for the endpoints of a service.
    void setService(const std::string& service, std::int32_t maxConnections, double coldRate, bool engine);
    /// Sets the function that returns the share of a cold endpoint's rate that this instance may use, from 0 to 1.
    void setColdShare(std::function<double(std::string_view endpoint, double coldRate)> share);
    /// Sets the share of an endpoint's connections that this instance may use, from 0 to 1.
    void setConnectionShare(double share);
    /// Sets the failure domains whose instances have all stopped sending messages.
    void setUnreachableDomains(std::set<std::string, std::less<>> domains);
    /// Chooses the eligible endpoint with the lowest cost, an endpoint within `failurePause` of a failure only when
    /// there is no other. Empty when no endpoint is eligible now.
    std::optional<DispatchChoice> choose(const DispatchRequest& request, TimePoint now);
    /// Notes that an answer of a chosen endpoint says that the endpoint is leaving. It is not chosen again until a
    /// record shows a later start: its record may be out of date, expire and return, or never say so. Returns whether
    /// this was not known.
    bool markLeaving(const DispatchChoice& choice, TimePoint now);
    void finish(
        const DispatchChoice& choice, DispatchResult result, const std::vector<PromptPart>& prompt, TimePoint now);
    /// Takes the outstanding requests of the whole fleet, sorted by endpoint, including those that this instance
    /// reported last. Replaces the earlier load; endpoints that are not listed have no outstanding requests.
    void applyFleetLoad(const std::vector<EndpointLoad>& loads);
    /// Returns the outstanding requests of this instance and remembers them as reported.
    std::vector<EndpointLoad> reportLoad();
    std::size_t size() const { return this->endpoints.size(); }

private:
    struct Endpoint {
        EndpointRecord record;
        EndpointId id;
        TimePoint coldUntil;
        std::int32_t outstanding = 0;
        // The value of `outstanding` in this instance's last report.
        std::int32_t reportedOutstanding = 0;
        // Outstanding requests of all other instances.
        std::int32_t outstandingElsewhere = 0;
        double failures = 0;
        TimePoint failedAt;
        TimePoint pausedUntil;
        std::uint64_t lastChoice = 0;
        // Level of the token bucket that limits the request rate of a cold endpoint.
        double bucketLevel = 1;
        TimePoint bucketUpdatedAt;
        std::map<PromptPartId, TimePoint> cachedParts;
        // Objects and when this instance last sent a request for them to the endpoint.
        std::map<ObjectId, TimePoint> objects;
    };
    /// What an endpoint's answer has said about its leaving.
    struct LeavingMark {
        /// Start of the endpoint that leaves.
        std::int64_t startedAt = 0;
        TimePoint at {};
    };
    struct ServiceSettings {
        std::int32_t maxConnections = 0;
        double coldRate = 0;
        bool engine = false;
    };

    bool isEligible(Endpoint& endpoint, const DispatchRequest& request, TimePoint now);
    bool isLeaving(const EndpointRecord& record) const;
    bool coldRateAllows(Endpoint& endpoint, TimePoint now);
    TokenCount cachedTokens(const Endpoint& endpoint, const std::vector<PromptPart>& prompt, TimePoint now) const;
    bool handledRecently(const Endpoint& endpoint, ObjectId object, TimePoint now) const;
    void rememberObject(Endpoint& endpoint, ObjectId object, TimePoint now) const;
    double costOf(const Endpoint& endpoint, const DispatchRequest& request, TimePoint now);
    const ServiceSettings& settingsOf(const std::string& service);

    Init init;
    std::map<std::string, Endpoint, std::less<>> endpoints;
    // By name; outlives the endpoint's record, which may expire and return.
    std::map<std::string, LeavingMark, std::less<>> leaving;
    std::map<std::string, ServiceSettings, std::less<>> services;
    std::function<double(std::string_view, double)> coldShare = [](std::string_view, double) { return 0.0; };
    double connectionShare = 1;
    std::set<std::string, std::less<>> unreachableDomains;
    std::uint64_t choices = 0;
};

} // namespace peridotramp
