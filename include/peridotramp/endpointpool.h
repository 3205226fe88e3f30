#pragma once

#include "peridotramp/core.h"

#include <deque>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>

// Used by the scheduler, together with `scheduling.h`. The ingress on the platform chooses endpoints with `dispatch.h`
// instead.

namespace peridotramp {

/// Interchangeable endpoints; they share a retry budget and a normal first-token latency.
using EndpointGroupId = Id<struct EndpointGroupTag>;
using PermitId = Id<struct PermitTag>;
using OrderId = Id<struct OrderTag>;
/// Identifies one start of an engine process; a later start has a greater value. An engine starts with an empty prefix
/// cache.
using EngineStart = Id<struct EngineStartTag>;
using SlotCount = Quantity<struct SlotCountTag>;

enum class EndpointKind : std::uint8_t { Engine, Service, Count };
enum class EndpointState : std::uint8_t {
    /// New, restarted, slow or refusing calls; its window starts at 1 and does not grow until
    /// `EndpointPool::Init::successesToWarm` calls have succeeded at normal latency.
    Cold,
    Warm,
    /// The circuit breaker has opened; a trial call that succeeds closes it and makes the endpoint cold.
    Suspect,
    /// The endpoint or its failure domain is taken out of service; no permits are granted.
    Leaving,
    /// No longer configured; erased when its last permit is released.
    Gone,
    Count
};
/// Whether an endpoint refuses orders that carry an old fencing token.
enum class Fencing : std::uint8_t { Obeyed, Ignored, Count };
enum class DomainState : std::uint8_t { In, Out, Count };

std::string_view toString(EndpointState state);

/// Configuration of one endpoint.
struct EndpointDescription {
    EndpointId endpoint;
    DomainId domain;
    EndpointGroupId group;
    EndpointKind kind = EndpointKind::Engine;
    /// Models that the engine serves; empty for a service.
    std::vector<ModelId> models {};
    /// Largest number of calls that the endpoint runs at once, at least 1.
    SlotCount slots { 1 };
    /// False when an operator takes the endpoint out of service.
    bool inService = true;
    Fencing fencing = Fencing::Obeyed;
};

/// Why a permit was refused.
enum class PermitRefusal : std::uint8_t {
    UnknownEndpoint,
    LeaseLapsed,
    Leaving,
    Gone,
    DomainOutOfService,
    WindowFull,
    BreakerOpen,
    NotRetryable,
    TooManyAttempts,
    RetryBudgetSpent,
    Count
};

std::string_view toString(PermitRefusal refusal);

/// A request to run one call on one endpoint. A repeated request with the same holder, call and attempt gets the same
/// permit, so the request may be sent again when its answer was lost.
struct EndpointPermitRequest {
    EndpointId endpoint;
    NodeId holder;
    Incarnation incarnation;
    CallId call;
    /// 0 for the first attempt, then 1 and 2.
    std::int32_t attempt = 0;
    /// The call is idempotent, or its earlier attempt provably did not run.
    bool retryable = false;
    /// Upper bound of the call's run time; the permit is reclaimed after it.
    Duration maxRunTime = Seconds(600);
};

/// Permission to run one call on one endpoint.
struct EndpointPermit {
    PermitId permit;
    EndpointId endpoint;
    /// Epoch of the owner that granted the permit.
    Epoch epoch;
    TimePoint granted {};
};

/// A permit, or the reason why it was refused.
struct PermitAnswer {
    std::optional<EndpointPermit> permit {};
    PermitRefusal refusal = PermitRefusal::Count;
    /// Time after which a repeated request can succeed; zero when it is not known.
    Milliseconds retryAfter { 0 };

    explicit operator bool() const { return this->permit.has_value(); }
    /// Returns the refusal as an error with outcome `NotRun`, as nothing was sent to the endpoint.
    Error error() const;
};

/// How a call on an endpoint ended.
enum class EndpointResult : std::uint8_t {
    Succeeded,
    /// The endpoint answered that it accepts no calls now.
    Refused,
    /// Connection failure, broken stream, server error or timeout.
    Failed,
    /// Ended by the caller; does not count for or against the endpoint.
    Cancelled,
    Count
};

/// What the holder of a permit observed.
struct CallReport {
    EndpointResult result = EndpointResult::Succeeded;
    /// Time from the request to its first token; empty when there was none.
    std::optional<Duration> firstToken {};
    /// Prompt tokens that the engine had to process before the first token: the uncached ones of this call and of the
    /// holder's calls ahead of it. They raise the latency that counts as normal.
    TokenCount uncachedTokens {};
};

/// Load that an engine measured at `measuredAt` and reported later.
struct LoadReport {
    EndpointId endpoint;
    EngineStart start;
    TimePoint measuredAt {};
    SlotCount running {};
    SlotCount queued {};
};

/// State of an endpoint that a planned handover passes to the successor.
struct EndpointHandover {
    struct Held {
        EndpointPermit permit;
        EndpointPermitRequest request;
    };

    EndpointId endpoint;
    EndpointState state = EndpointState::Cold;
    SlotCount window { 1 };
    std::vector<Held> held {};
};

/// Concurrency windows, circuit breakers and retry budgets of the endpoints that this process owns.
///
/// The owner of an endpoint's partition manages the endpoint here and renews its ownership with the partition lease.
/// Single-threaded.
class EndpointPool {
public:
    using Permit = EndpointPermit;

    struct Limits {
        std::size_t endpoints = 4096;
        std::size_t permitsPerEndpoint = 4096;
        /// Retries of one call.
        std::int32_t retriesPerCall = 2;
    };

    struct Init {
        Limits limits {};
        /// Retries that each first attempt adds to its group's retry budget.
        double retryRatio = 0.1;
        /// Upper bound of a group's retry budget.
        double maxRetryBudget = 10;
        /// Time in which an unused retry budget decays to 1/e.
        Duration retryDecayTime = Seconds(60);
        /// Consecutive failures that open the breaker.
        std::int32_t breakerFailures = 5;
        Duration minBreakerOpen = Seconds(1);
        Duration maxBreakerOpen = Seconds(30);
        /// Consecutive successes that reset the open time to its minimum.
        std::int32_t breakerResetSuccesses = 10;
        /// A first-token latency of more than this many times the normal one indicates a cold endpoint.
        double coldLatencyFactor = 4;
        /// First-token latency below which an endpoint never counts as cold.
        Duration minColdLatency = Milliseconds(200);
        /// Normal first-token latency of a group until it has been observed.
        Duration initialFirstToken = Milliseconds(500);
        /// Uncached prompt tokens that add one normal first-token latency.
        TokenCount tokensPerLatency { 2000 };
        /// Successes at normal latency that make a cold endpoint warm.
        std::int32_t successesToWarm = 2;
        /// Time for which the permits of a dead holder count, unless an engine report shows earlier that its calls
        /// ended.
        Duration deadHolderTimeout = Seconds(30);
        /// Time between the end of `maxRunTime` and the reclaim of the permit.
        Duration reclaimMargin = Seconds(5);
        /// Age beyond which a load report is ignored.
        Duration maxReportAge = Seconds(10);
        /// Returns the share of its slots that an endpoint may use, given the time since its failure domain returned.
        std::function<double(Duration sinceReturn)> domainRamp {};
    };

    struct Stats {
        std::uint64_t granted = 0;
        std::uint64_t repeated = 0;
        std::uint64_t released = 0;
        /// Releases of permits that are unknown to this owner.
        std::uint64_t staleReleases = 0;
        std::uint64_t reclaimed = 0;
        std::uint64_t coldDetections = 0;
        std::uint64_t breakerOpened = 0;
        std::uint64_t firstAttempts = 0;
        std::uint64_t retries = 0;
        std::uint64_t staleReports = 0;
        std::array<std::uint64_t, static_cast<std::size_t>(PermitRefusal::Count)> refusals {};
    };

    /// State of one endpoint.
    struct View {
        EndpointDescription description;
        EndpointState state = EndpointState::Gone;
        SlotCount window { 1 };
        /// Granted permits that have not been released.
        SlotCount held {};
        /// Running and queued calls in the engine's report that this pool did not grant.
        SlotCount external {};
        /// Permits that can be granted now.
        SlotCount available {};
        bool breakerOpen = false;
        Duration normalFirstToken {};
    };

    EndpointPool();
    explicit EndpointPool(Init init);

    /// Adds or changes one endpoint. A new endpoint starts cold. A change of models or slots takes effect immediately;
    /// `inService == false` makes the endpoint leave. Fails with `Overloaded` beyond the limit.
    Status configure(TimePoint now, const EndpointDescription& description);
    /// Marks an endpoint as gone because it is no longer configured. Its state is erased when its last permit is
    /// released.
    void remove(TimePoint now, EndpointId endpoint);
    /// Takes a failure domain out of service or returns it to service.
    void setDomain(TimePoint now, DomainId domain, DomainState state);

    /// Begins ownership under a new epoch. Without `handover` the endpoint starts cold with a window of 1.
    void beginOwnership(TimePoint now, EndpointId endpoint, Epoch epoch, TimePoint leaseUntil,
        const std::optional<EndpointHandover>& handover = std::nullopt);
    /// Extends the time until which permits may be granted.
    void renew(EndpointId endpoint, Epoch epoch, TimePoint leaseUntil);
    /// Ends ownership and returns the state for a successor; later requests are refused with `LeaseLapsed`.
    std::optional<EndpointHandover> handOver(TimePoint now, EndpointId endpoint);

    /// Grants a permit or returns the reason for refusing it.
    PermitAnswer tryAcquire(TimePoint now, const EndpointPermitRequest& request);
    /// Releases a permit and records what its holder observed. A repeated or unknown release is only counted.
    void release(TimePoint now, const EndpointPermit& permit, const CallReport& report);
    /// Applies a load report. Late reports are only counted.
    void applyReport(TimePoint now, const LoadReport& report);
    /// Marks all incarnations of a node up to `newestDead` as dead. Their permits count until an engine report shows
    /// that the calls ended or `deadHolderTimeout` has passed.
    void markHolderDead(TimePoint now, NodeId holder, Incarnation newestDead);
    /// Reclaims expired permits. Call it about once a second.
    void tick(TimePoint now);

    std::optional<View> view(TimePoint now, EndpointId endpoint) const;
    std::vector<EndpointId> endpoints() const;
    const Stats& stats() const { return this->counters; }

private:
    struct HeldPermit {
        EndpointPermit permit;
        EndpointPermitRequest request;
        TimePoint reclaimAt {};
        /// Time at which the holder was found to be dead.
        std::optional<TimePoint> holderDied {};
    };
    struct Breaker {
        std::int32_t failures = 0;
        std::int32_t successes = 0;
        bool open = false;
        TimePoint openUntil {};
        Duration openFor {};
        std::optional<PermitId> trial {};
    };
    struct Endpoint {
        EndpointDescription description;
        EndpointState state = EndpointState::Cold;
        Epoch epoch {};
        TimePoint leaseUntil {};
        bool owned = false;
        std::int64_t window = 1;
        std::int32_t warmSuccesses = 0;
        Breaker breaker {};
        std::map<PermitId, HeldPermit> held {};
        EngineStart start {};
        std::optional<TimePoint> newestReport {};
        std::int64_t external = 0;
        TimePoint externalUntil {};
        std::int64_t peakHeld = 0;
        std::int64_t earlierPeakHeld = 0;
        TimePoint peakSince {};
    };
    struct Group {
        double retryBudget = 0;
        TimePoint decayedAt {};
        /// Normal first-token latency in seconds per unit of prompt; zero until observed.
        double normalLatency = 0;
    };
    struct Domain {
        DomainState state = DomainState::In;
        std::optional<TimePoint> returnedAt {};
    };

    Endpoint* find(EndpointId endpoint);
    std::optional<PermitRefusal> refusalOf(TimePoint now, const Endpoint& endpoint) const;
    std::optional<PermitRefusal> consumeRetryBudget(
        TimePoint now, const Endpoint& endpoint, const EndpointPermitRequest& request);
    PermitAnswer refuse(PermitRefusal reason, Duration retryAfter);
    PermitAnswer grant(TimePoint now, Endpoint& endpoint, const EndpointPermitRequest& request);
    std::int64_t available(TimePoint now, const Endpoint& endpoint) const;
    double domainShare(TimePoint now, DomainId domain) const;
    Group& decayedGroup(TimePoint now, EndpointGroupId group);
    Duration normalFirstToken(EndpointGroupId group, TokenCount uncached) const;
    bool isColdLatency(const Endpoint& endpoint, const CallReport& report) const;
    void updateNormalLatency(const Endpoint& endpoint, const CallReport& report);
    void observeSuccess(Endpoint& endpoint, const CallReport& report);
    void observeFailure(TimePoint now, Endpoint& endpoint, bool refused);
    void makeCold(Endpoint& endpoint);
    void trackPeak(TimePoint now, Endpoint& endpoint);
    void reclaimIf(Endpoint& endpoint, const std::function<bool(const HeldPermit&)>& due);
    void eraseIfGone(EndpointId endpoint);

    Init init;
    Stats counters {};
    std::uint64_t nextPermit = 0;
    std::unordered_map<EndpointId, Endpoint> byId {};
    std::unordered_map<EndpointGroupId, Group> groups {};
    std::unordered_map<DomainId, Domain> domains {};
};

/// The engine drops the cached prefix of a program. Program ids are never reused, so a late order does no harm.
struct ReleaseProgram {
    ProgramId program;
    bool operator==(const ReleaseProgram&) const = default;
};

/// The engine has the prefix of a program cached; it imports it from another engine if necessary.
struct HoldProgram {
    ProgramId program;
    EndpointId source;
    TokenCount tokens {};
    bool operator==(const HoldProgram&) const = default;
};

/// The engine serves exactly these models.
struct ServeModels {
    std::vector<ModelId> models {};
    bool operator==(const ServeModels&) const = default;
};

using WantedState = std::variant<ReleaseProgram, HoldProgram, ServeModels>;

/// An order to an engine. It states the wanted state and not a change, so it is idempotent and may arrive late.
struct Order {
    OrderId order;
    EndpointId endpoint;
    /// Fencing token: the epoch of the endpoint's owner.
    Epoch epoch;
    WantedState wanted {};
};

/// Sends orders until each engine reports that it serves the wanted models.
class ModelReconciler {
public:
    struct Init {
        /// Time after which an order without effect is sent again.
        Duration repeatAfter = Seconds(2);
    };

    struct Stats {
        std::uint64_t sent = 0;
        std::uint64_t repeated = 0;
        /// Orders issued again because a report showed another state, for example after a late order of an old owner.
        std::uint64_t corrected = 0;
    };

    ModelReconciler();
    explicit ModelReconciler(Init init);

    /// Sets the wanted models under an epoch. Calls with a lower epoch than the current one are ignored.
    void setWantedModels(EndpointId endpoint, Epoch epoch, std::vector<ModelId> models);
    /// Applies a report of the models that the engine served at `measuredAt`.
    void applyReport(EndpointId endpoint, TimePoint measuredAt, std::vector<ModelId> models);
    /// Stops all orders to an endpoint, for example when its ownership ends.
    void forget(EndpointId endpoint);
    /// Returns the orders to send now.
    std::vector<Order> dueOrders(TimePoint now);
    /// Returns whether the newest report shows the wanted models.
    bool hasConverged(EndpointId endpoint) const;
    const Stats& stats() const { return this->counters; }

private:
    struct Entry {
        Epoch epoch;
        std::vector<ModelId> wanted {};
        OrderId order {};
        std::optional<TimePoint> firstSentAt {};
        std::optional<TimePoint> sentAt {};
        std::optional<TimePoint> reportedAt {};
        bool converged = false;
    };

    Init init;
    Stats counters {};
    std::uint64_t sequence = 0;
    std::map<EndpointId, Entry> entries {};
};

/// Kind of a change of an engine's KV cache, which holds the attention keys and values of prompt prefixes.
enum class KvEventKind : std::uint8_t { Stored, Evicted, Cleared, Count };

/// A change of an engine's prefix cache.
struct KvEvent {
    /// Consecutive number within one start of the engine, beginning with 1.
    std::uint64_t sequence = 0;
    KvEventKind kind = KvEventKind::Stored;
    ProgramId program {};
    /// Cached tokens after the event.
    TokenCount tokens {};
};

/// Complete contents of an engine's prefix cache.
struct KvReport {
    EndpointId endpoint;
    EngineStart start;
    /// Sequence number of the last event that the report covers.
    std::uint64_t throughSequence = 0;
    std::vector<std::pair<ProgramId, TokenCount>> held {};
};

/// Estimate of the program prefixes that each engine has cached. Cache events and reports, which arrive late, correct
/// it.
///
/// Prefixes of ended programs are released by orders that are repeated until the engine no longer reports them.
class KvCacheIndex {
public:
    struct Init {
        Duration repeatAfter = Seconds(2);
        /// Time after which an estimated prefix is dropped if no event or report has confirmed it.
        Duration unconfirmedLifetime = Seconds(60);
        /// Time for which ended programs are remembered, so that late events do not bring back their prefixes.
        Duration endedRetention = Seconds(900);
        std::size_t programsPerEndpoint = 65536;
    };

    struct Stats {
        std::uint64_t eventsApplied = 0;
        std::uint64_t eventsRepeated = 0;
        /// Gaps in the event sequence; each requires a full report.
        std::uint64_t gaps = 0;
        std::uint64_t reports = 0;
        std::uint64_t ordersSent = 0;
        std::uint64_t ordersConfirmed = 0;
    };

    KvCacheIndex();
    explicit KvCacheIndex(Init init);

    /// Begins to track an endpoint under the owner's epoch. Repeating it with a newer epoch keeps the contents.
    void beginOwnership(EndpointId endpoint, Epoch epoch);
    /// Stops tracking an endpoint, for example when its ownership ends.
    void forget(EndpointId endpoint);

    /// Records that a call left `tokens` of the program's prefix in the engine's cache. Unknown endpoints are ignored.
    void recordUse(TimePoint now, EndpointId endpoint, ProgramId program, TokenCount tokens);
    /// Applies cache events; repeated ones are ignored. Returns whether a full report is needed.
    bool applyEvents(TimePoint now, EndpointId endpoint, EngineStart start, std::span<const KvEvent> events);
    /// Replaces the estimate with a full report. Returns the reported programs that are neither known to be alive nor
    /// known to have ended. The caller finds out and calls `markProgramAlive` or `markProgramEnded`; until then, later
    /// reports return them again.
    std::vector<ProgramId> reconcile(TimePoint now, const KvReport& report);
    /// Marks a program as alive, for example after its partition was replayed.
    void markProgramAlive(ProgramId program);
    /// Marks a program as ended, also when it was abandoned or is missing after a takeover.
    void markProgramEnded(TimePoint now, ProgramId program);
    /// Orders an engine to release one prefix, although its program is alive.
    void releasePrefix(TimePoint now, EndpointId endpoint, ProgramId program);
    /// Orders an engine to import a prefix from another engine.
    void importPrefix(TimePoint now, EndpointId from, EndpointId to, ProgramId program);
    /// Returns the orders to send now.
    std::vector<Order> dueOrders(TimePoint now);
    /// Drops unconfirmed estimates and ended programs that are too old.
    void tick(TimePoint now);

    /// Returns the tokens of the program's prefix that the engine probably has cached.
    TokenCount cachedTokens(EndpointId endpoint, ProgramId program) const;
    /// Returns the endpoints that probably have a prefix of the program cached.
    std::vector<EndpointId> holders(ProgramId program) const;
    /// Returns whether a full report of the endpoint is needed, at first or because events were missed.
    bool needsReport(EndpointId endpoint) const;
    /// Returns the number of releases that no report has confirmed yet.
    std::size_t pendingReleases() const;
    const Stats& stats() const { return this->counters; }

private:
    struct Prefix {
        TokenCount tokens {};
        TimePoint updatedAt {};
        bool confirmed = false;
    };
    struct PendingOrder {
        OrderId order {};
        WantedState wanted {};
        TimePoint wantedAt {};
        std::optional<TimePoint> sentAt {};
    };
    struct Engine {
        Epoch epoch;
        EngineStart start {};
        std::uint64_t appliedThrough = 0;
        bool reportNeeded = true;
        std::unordered_map<ProgramId, Prefix> prefixes {};
        std::map<ProgramId, PendingOrder> pendingOrders {};
    };

    void setPrefix(EndpointId endpoint, Engine& engine, ProgramId program, const Prefix& prefix);
    void erasePrefix(EndpointId endpoint, Engine& engine, ProgramId program);
    void clear(EndpointId endpoint, Engine& engine);
    void restart(EndpointId endpoint, Engine& engine, EngineStart start);
    void applyEvent(TimePoint now, EndpointId endpoint, Engine& engine, const KvEvent& event);
    void requestRelease(TimePoint now, Engine& engine, ProgramId program);
    void confirmReleases(Engine& engine, const KvReport& report);

    Init init;
    Stats counters {};
    std::uint64_t sequence = 0;
    std::map<EndpointId, Engine> engines {};
    std::unordered_map<ProgramId, std::set<EndpointId>> holdersOf {};
    std::unordered_set<ProgramId> alivePrograms {};
    std::unordered_map<ProgramId, TimePoint> endedPrograms {};
};

} // namespace peridotramp
