#pragma once

#include "peridotramp/core.h"

#include <set>
#include <span>
#include <unordered_map>

// Used by the scheduler, together with `endpointpool.h`. The ingress on the platform chooses endpoints with
// `dispatch.h` instead.

namespace peridotramp {

/// Tokens of one call.
struct TokenUse {
    /// Prompt tokens that the engine has to process.
    TokenCount prefill {};
    TokenCount output {};
};

/// A call that waits to be dispatched.
struct QueuedCall {
    CallId call;
    ProgramId program;
    WorkspaceId workspace;
    ModelId model;
    /// Failure domain of the program's partition.
    DomainId domain;
    TimePoint arrival {};
    /// Time after which the caller no longer needs the answer.
    std::optional<TimePoint> deadline {};
    /// Service time that the program has received along its critical path; see `AttainedServiceTracker`.
    Duration attained {};
    /// Tokens of the program's history that a prefix cache can hold.
    TokenCount history {};
    /// Expected use, which is charged at dispatch and replaced by the actual use in `FairQueue::correctCharge`.
    TokenUse expected {};
};

/// What placement knows about an endpoint.
struct EndpointView {
    EndpointId endpoint;
    DomainId domain;
    /// Expected time until the endpoint would start another call.
    Duration queueWait {};
    /// Time in which the endpoint processes 1,000 uncached prompt tokens.
    Duration prefillPerThousand = Milliseconds(100);
    /// Tokens of the call's history that are probably in the endpoint's prefix cache.
    TokenCount cached {};
    /// Share of its normal load that the endpoint's failure domain gets, from 0 (out of service) to 1; see `rampHook`.
    double share = 1;
    /// False when the endpoint is leaving service or its circuit breaker is open.
    bool usable = true;
};

/// A program that waits for a tool call while an engine has its prefix cached.
struct ToolPause {
    ProgramId program;
    TokenCount cached {};
    /// Expected length of the pause.
    Duration expected {};
    /// Time to recompute the prefix.
    Duration recompute {};
    /// Share of the engine's prefix memory that is in use, from 0 to 1.
    double memoryUsed = 0;
    /// The endpoint or its failure domain is leaving service.
    bool leaving = false;
};

enum class Retention : std::uint8_t { Keep, Move, Release, Count };

/// A failure domain that leaves service or returns to it.
struct DomainTransition {
    bool leaving = false;
    Duration sinceChange {};
};

/// The replaceable parts of scheduling. Hooks are called without a lock held and must not block.
struct Policy {
    std::string name;
    /// Returns the sort key of a call; the call with the earliest key is dispatched first. The key is computed once,
    /// when the call is queued.
    std::function<TimePoint(const QueuedCall&)> orderHook;
    /// Returns the charge of a call to its workspace in virtual tokens: a weighted sum of its prefill and output
    /// tokens, in which an output token counts more. Zero for no fairness.
    std::function<double(const TokenUse&)> fairnessHook;
    /// Selects one of the endpoints. The list is not empty and contains only usable endpoints.
    std::function<EndpointId(const QueuedCall&, std::span<const EndpointView>)> placementHook;
    std::function<Retention(const ToolPause&)> retentionHook;
    /// Returns how many calls may run at once on an endpoint with this window.
    std::function<std::int64_t(std::int64_t window)> admissionHook;
    /// Returns the share of its normal load that a failure domain gets, from 0 to 1.
    std::function<double(const DomainTransition&)> rampHook;
    /// Virtual tokens by which a workspace may be ahead of another before its calls wait.
    double fairnessQuantum = 1;
};

/// Weights of the section `[policy]`, each from 0 to 1.
struct PolicyWeights {
    double fairness = 0.5;
    double locality = 0.5;
    double programOrder = 0.5;
};

/// FIFO order, no fairness, round robin, prefixes always kept, no concurrency limit and no ramp.
Policy baselinePolicy();
/// Favors fairness between workspaces and few refusals.
Policy kalahariPolicy();
/// Favors program latency and continued service while failure domains leave or return.
Policy longgrassPolicy();
Policy policyFromWeights(const PolicyWeights& weights);
/// Returns the weights of the preset `kalahari` or `longgrass`; empty for any other name.
std::optional<PolicyWeights> presetWeights(std::string_view preset);

/// Queue of the calls for one endpoint or group of endpoints, ordered by the workspaces' counters, then by `orderHook`.
///
/// All operations are O(log n) in the entries and workspaces. Single-threaded.
class FairQueue {
public:
    struct Limits {
        std::size_t entries = 65536;
    };

    struct Init {
        Policy policy = kalahariPolicy();
        Limits limits {};
    };

    struct Stats {
        std::uint64_t pushed = 0;
        std::uint64_t popped = 0;
        std::uint64_t cancelled = 0;
        std::uint64_t expired = 0;
        std::uint64_t refused = 0;
    };

    FairQueue();
    explicit FairQueue(Init init);

    /// Queues a call. Fails with `Overloaded` at the limit, `DeadlineExceeded` when its deadline has passed, and
    /// `CallInProgress` when the call is queued already; all three with outcome `NotRun`.
    Status push(TimePoint now, const QueuedCall& call);
    /// Removes the next call and charges its workspace; empty when no call is queued.
    std::optional<QueuedCall> pop(TimePoint now);
    /// Removes a call. Returns whether it was queued.
    bool cancel(CallId call);
    /// Removes all calls whose deadline has passed.
    std::vector<QueuedCall> removeExpired(TimePoint now);
    /// Sets a workspace's weight, which must be positive; the default is 1.
    void setWeight(WorkspaceId workspace, double weight);
    /// Corrects the charge of a dispatched call from its expected to its actual use.
    void correctCharge(WorkspaceId workspace, const TokenUse& expected, const TokenUse& actual);

    std::size_t size() const { return this->entries.size(); }
    bool isEmpty() const { return this->entries.empty(); }
    std::size_t size(WorkspaceId workspace) const;
    /// Returns the expected use of all queued calls.
    TokenUse expectedUse() const { return this->expectedTotal; }
    /// Returns the virtual tokens that the workspace has been charged, divided by its weight.
    double counter(WorkspaceId workspace) const;
    const Stats& stats() const { return this->counters; }
    const Policy& policy() const { return this->init.policy; }

private:
    struct QueueKey {
        TimePoint order {};
        std::uint64_t sequence = 0;
        CallId call;
        auto operator<=>(const QueueKey&) const = default;
    };
    struct WorkspaceKey {
        /// The workspace's counter in whole quanta of `Policy::fairnessQuantum`.
        double quanta = 0;
        QueueKey head {};
        WorkspaceId workspace;
        auto operator<=>(const WorkspaceKey&) const = default;
    };
    struct Entry {
        QueuedCall call;
        QueueKey key;
    };
    struct Workspace {
        double counter = 0;
        double weight = 1;
        std::set<QueueKey> calls {};
        std::optional<WorkspaceKey> key {};
    };

    void requeue(WorkspaceId workspace, Workspace& state);
    void raiseToServedCounter(Workspace& state);
    QueuedCall removeEntry(std::unordered_map<CallId, Entry>::iterator entry);

    Init init;
    Stats counters {};
    TokenUse expectedTotal {};
    std::uint64_t sequence = 0;
    /// Greatest counter in virtual tokens, rounded down to whole quanta, at which a workspace was served. The counter
    /// of a workspace that becomes active again is raised to it.
    double servedCounter = 0;
    std::unordered_map<CallId, Entry> entries {};
    std::unordered_map<WorkspaceId, Workspace> workspaces {};
    std::set<WorkspaceKey> activeWorkspaces {};
    std::set<std::pair<TimePoint, CallId>> deadlines {};
};

/// Chooses an endpoint for a call with the policy's `placementHook`, among the usable endpoints whose failure domain's
/// share includes the call's program. Returns an invalid id when no endpoint is usable.
EndpointId place(const Policy& policy, const QueuedCall& call, std::span<const EndpointView> endpoints);

/// Endpoints of one model, sorted by queue wait, so that placement need not examine the whole fleet.
class PlacementIndex {
public:
    struct Init {
        /// Number of endpoints with the shortest wait to consider, both in the call's failure domain and in all.
        std::size_t shortlist = 3;
    };

    PlacementIndex();
    explicit PlacementIndex(Init init);

    /// Adds or replaces an endpoint; its `cached` is ignored.
    void update(const EndpointView& view);
    void remove(EndpointId endpoint);
    std::size_t size() const { return this->views.size(); }
    /// Chooses among the endpoints that have a prefix of the program cached and those with the shortest waits. O(log n)
    /// in the endpoints.
    EndpointId place(
        const Policy& policy, const QueuedCall& call, std::span<const std::pair<EndpointId, TokenCount>> holders) const;

private:
    using WaitOrder = std::set<std::pair<Duration, EndpointId>>;

    void addShortestWaits(const WaitOrder& order, std::vector<EndpointView>& candidates) const;

    Init init;
    std::unordered_map<EndpointId, EndpointView> views {};
    WaitOrder allByWait {};
    std::unordered_map<DomainId, WaitOrder> byDomain {};
};

/// Service time that programs have received along their critical paths.
///
/// A sub-agent starts with its parent's attained service. When it ends, its parent's attained service becomes the
/// maximum of the two, so that sub-agents that run in parallel are counted once.
class AttainedServiceTracker {
public:
    void begin(ProgramId program, std::optional<ProgramId> parent);
    void add(ProgramId program, Duration service);
    /// Ends a program. Unknown programs are ignored.
    void end(ProgramId program);
    /// Returns zero for unknown programs.
    Duration attained(ProgramId program) const;
    std::size_t size() const { return this->programs.size(); }

private:
    struct State {
        Duration attained {};
        std::optional<ProgramId> parent {};
    };

    std::unordered_map<ProgramId, State> programs {};
};

} // namespace peridotramp
