#pragma once

#include "engine.h"
#include "workload.h"

#include "peridotramp/scheduling.h"

namespace measure {

/// Seconds between two ticks of the simulated fleet.
inline constexpr double tickInterval = 0.25;

struct RunResult {
    /// Latencies in seconds of the programs of workspaces within their grant, and of those programs that ended while
    /// the failure domain left or returned.
    std::vector<double> latencies {};
    std::vector<double> transitionLatencies {};
    /// Sum and number of latency over unloaded latency, by workspace.
    std::vector<std::pair<double, std::size_t>> slowdowns {};
    std::int64_t promptTokens = 0;
    std::int64_t recomputedTokens = 0;
    /// Of workspaces within their grant.
    std::uint64_t requests = 0;
    std::uint64_t refusals = 0;
    std::uint64_t wrongfulRefusals = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t unfinished = 0;
    std::uint64_t crashes = 0;
    std::uint64_t coldDetections = 0;
    /// Share of the slot seconds that were in use, by group.
    std::vector<double> utilisation {};
};

/// Token bucket for the requests of one workspace, at one node or for the whole fleet.
struct FakeBucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    double updated = 0;

    void refill(double now);
    /// Returns the time until a request may run, or empty when it exceeds `maxWait`. Sets `retryAfter` to the time
    /// in both cases.
    std::optional<double> take(double now, double maxWait, double& retryAfter);
};

/// Runs generated programs through the decision libraries and fake engines in virtual time.
class FleetSimulation {
public:
    FleetSimulation(const Deployment& deployment, const peridotramp::Policy& policy,
        const std::vector<ProgramSpec>& programs, std::uint64_t seed);

    RunResult run();

private:
    struct Program {
        const ProgramSpec* spec = nullptr;
        std::size_t turn = 0;
        std::int64_t history = 0;
        double started = 0;
        std::optional<std::size_t> parent {};
        std::size_t childrenLeft = 0;
        std::int32_t attempt = 0;
        int refusals = 0;
        std::uint64_t calls = 0;
        bool ended = false;
    };
    struct Endpoint {
        peridotramp::EndpointId id;
        peridotramp::DomainId domain;
        std::size_t group = 0;
        FakeEngine engine;
        peridotramp::FairQueue queue;
        std::map<peridotramp::CallId, std::size_t> queued {};
        std::int64_t inFlight = 0;
        /// Expected uncached tokens of queued and running calls without a first token, and of the running ones alone.
        std::int64_t prefillBacklog = 0;
        std::int64_t runningPrefill = 0;
        double meanService = 5;
    };
    struct Dispatch {
        std::size_t program;
        peridotramp::QueuedCall call;
        std::optional<peridotramp::EndpointPermit> permit {};
        double at = 0;
        /// Prompt tokens that the engine had to process before the first token of this call.
        std::int64_t ahead = 0;
        bool prefilling = true;
    };

    void addEndpoints();
    void addBuckets();
    const Turn& turnOf(const Program& program) const { return program.spec->turns[program.turn]; }
    void begin(std::size_t index, std::optional<std::size_t> parent);
    void request(std::size_t index);
    void enqueue(std::size_t index);
    peridotramp::EndpointId chooseEndpoint(const peridotramp::QueuedCall& call, std::size_t group);
    void drain(Endpoint& endpoint);
    bool dispatch(Endpoint& endpoint, const peridotramp::QueuedCall& call, std::size_t index);
    void handleAnswer(Endpoint& endpoint, Dispatch dispatch, const EngineAnswer& answer);
    void handleSuccess(Endpoint& endpoint, const Dispatch& dispatch, const EngineAnswer& answer);
    void pauseBetweenTurns(Endpoint& endpoint, std::size_t index);
    void nextTurn(std::size_t index);
    void end(std::size_t index, bool completed);
    void refresh(Endpoint& endpoint);
    double domainShare(peridotramp::DomainId domain) const;
    void beginLeaving();
    void returnToService();
    void requeueCalls(Endpoint& endpoint);
    void movePrefix(Endpoint& endpoint, std::size_t index);
    void tick();
    void sendReports(Endpoint& endpoint);
    void executeOrder(const peridotramp::Order& order);
    peridotramp::TimePoint now() const { return peridotramp::TimePoint {} + toDuration(1000 + this->loop.now()); }
    static peridotramp::Duration toDuration(double seconds);
    double idealLatency(std::size_t index) const;

    const Deployment& deployment;
    const peridotramp::Policy& policy;
    const std::vector<ProgramSpec>& specs;
    std::uint64_t seed;
    bool hasAdmissionControl;
    EventLoop loop {};
    peridotramp::EndpointPool pool {};
    peridotramp::KvCacheIndex cacheIndex {};
    peridotramp::AttainedServiceTracker service {};
    std::vector<peridotramp::PlacementIndex> placementIndexes {};
    std::deque<Endpoint> endpoints {};
    std::vector<Program> programs {};
    std::vector<std::vector<FakeBucket>> localBuckets {};
    std::vector<FakeBucket> sharedBuckets {};
    std::optional<double> transitionAt {};
    bool leaving = false;
    bool domainClosed = false;
    std::size_t activePrograms = 0;
    RunResult result {};
};

} // namespace measure
