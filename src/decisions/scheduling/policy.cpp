#include "peridotramp/scheduling.h"

#include <algorithm>
#include <atomic>
#include <cmath>

namespace peridotramp {

namespace {

// An output token occupies a batch slot for a whole decode step, a prefill token only a share of one.
constexpr double outputCharge = 4;
// Maximum of each penalty. It bounds how much later a call may arrive and still go first, so that no call starves.
constexpr double maxPenaltySeconds = 30;
// Attained service and prefill tokens at which a call gets half of the maximum penalty.
constexpr double halfPenaltySeconds = 20;
constexpr double halfPenaltyPrefill = 4000;
// A call with a deadline is ordered no later than this long before the deadline.
constexpr Duration deadlineSlack = Seconds(5);
// Maximum lead of a workspace in virtual tokens, at a fairness weight of 0 and of 1.
constexpr double maxQuantum = 200'000;
constexpr double minQuantum = 2'000;
// Weights of the time to recompute a prompt against the queue wait, while some endpoint is idle and once the shortest
// wait reaches `busyWaitSeconds`; in between, the weight rises linearly. Recomputing delays every call of the batch,
// and a program that moves leaves a cached copy that evicts others. This costs little while some endpoint is idle, so
// the weight is low then. Once all endpoints have queues, weights below about 4 led to a lasting cascade of
// recomputation in measurements; `busyRecomputeWeight` is far above that.
constexpr double idleRecomputeWeight = 1;
constexpr double busyRecomputeWeight = 30;
constexpr double busyWaitSeconds = 1;
// A hop to another failure domain takes a few milliseconds; the rest biases programs towards their partition's domain.
constexpr double otherDomainSeconds = 0.05;
constexpr double highMemoryUse = 0.9;
constexpr Duration leaveRampStep = Milliseconds(500);
constexpr Duration returnRampStep = Seconds(5);
constexpr std::int64_t rampSteps = 4;

double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

TimePoint programOrder(double weight, double locality, const QueuedCall& call)
{
    const auto attained = secondsOf(call.attained);
    const auto penalty = maxPenaltySeconds * attained / (attained + halfPenaltySeconds);
    const auto prefill = static_cast<double>(call.expected.prefill.value);
    const auto prefillPenalty = maxPenaltySeconds * prefill / (prefill + halfPenaltyPrefill);
    const auto order = call.arrival + durationOf(weight * penalty + locality * prefillPenalty);
    if (!call.deadline)
        return order;
    // The deadline of a queued call has not passed, so the deadline moves it ahead by no more than the slack.
    return std::min(order, *call.deadline - deadlineSlack);
}

double placementCost(double recomputeWeight, const QueuedCall& call, const EndpointView& view)
{
    const auto cached = std::min(call.history.value, view.cached.value);
    const auto missing = static_cast<double>(call.history.value - cached) / 1000;
    const auto recompute = missing * secondsOf(view.prefillPerThousand);
    const auto hop = view.domain == call.domain ? 0 : otherDomainSeconds;
    return secondsOf(view.queueWait) + recomputeWeight * recompute + hop;
}

EndpointId cheapestEndpoint(double locality, const QueuedCall& call, std::span<const EndpointView> endpoints)
{
    const auto leastWait = secondsOf(std::ranges::min(endpoints, {}, &EndpointView::queueWait).queueWait);
    const auto pressure = std::min(1.0, leastWait / busyWaitSeconds);
    const auto weight = 1 + locality * (idleRecomputeWeight + pressure * (busyRecomputeWeight - idleRecomputeWeight));
    const auto cost
        = [&](const EndpointView& view) { return std::pair(placementCost(weight, call, view), view.endpoint); };
    return std::ranges::min_element(endpoints, {}, cost)->endpoint;
}

Retention chooseRetention(const ToolPause& pause)
{
    if (pause.leaving)
        return Retention::Move;
    // A pause is long if the prefix would occupy memory for more than 20 times as long as its recomputation takes.
    const bool isLong = pause.expected > 20 * pause.recompute;
    return pause.memoryUsed > highMemoryUse && isLong ? Retention::Release : Retention::Keep;
}

double steppedShare(const DomainTransition& transition)
{
    const auto step = transition.leaving ? leaveRampStep : returnRampStep;
    const auto passed = std::clamp<std::int64_t>(1 + transition.sinceChange / step, 0, rampSteps);
    const auto share = static_cast<double>(passed) / static_cast<double>(rampSteps);
    return transition.leaving ? 1 - share : share;
}

} // namespace

Policy baselinePolicy()
{
    Policy policy;
    policy.name = "baseline";
    policy.orderHook = [](const QueuedCall& call) { return call.arrival; };
    policy.fairnessHook = [](const TokenUse&) { return 0.0; };
    policy.placementHook = [next = std::make_shared<std::atomic<std::uint64_t>>(0)](
                               const QueuedCall&, std::span<const EndpointView> endpoints) {
        return endpoints[next->fetch_add(1, std::memory_order_relaxed) % endpoints.size()].endpoint;
    };
    policy.retentionHook = [](const ToolPause&) { return Retention::Keep; };
    policy.admissionHook = [](std::int64_t) { return std::numeric_limits<std::int64_t>::max(); };
    policy.rampHook = [](const DomainTransition& transition) { return transition.leaving ? 0.0 : 1.0; };
    return policy;
}

Policy policyFromWeights(const PolicyWeights& weights)
{
    const auto fairness = std::clamp(weights.fairness, 0.0, 1.0);
    const auto locality = std::clamp(weights.locality, 0.0, 1.0);
    const auto order = std::clamp(weights.programOrder, 0.0, 1.0);
    Policy policy;
    policy.name = "weights";
    policy.orderHook = [order, locality](const QueuedCall& call) { return programOrder(order, locality, call); };
    policy.fairnessHook = [](const TokenUse& use) {
        return static_cast<double>(use.prefill.value) + outputCharge * static_cast<double>(use.output.value);
    };
    policy.placementHook = [locality](const QueuedCall& call, std::span<const EndpointView> endpoints) {
        return cheapestEndpoint(locality, call, endpoints);
    };
    policy.retentionHook = chooseRetention;
    policy.admissionHook = [](std::int64_t window) { return window; };
    policy.rampHook = steppedShare;
    policy.fairnessQuantum = minQuantum * std::pow(maxQuantum / minQuantum, 1 - fairness);
    return policy;
}

std::optional<PolicyWeights> presetWeights(std::string_view preset)
{
    if (preset == "kalahari")
        return PolicyWeights { 1, 0.9, 0.5 };
    if (preset == "longgrass")
        return PolicyWeights { 0.3, 1, 0.1 };
    return std::nullopt;
}

Policy kalahariPolicy()
{
    auto policy = policyFromWeights(*presetWeights("kalahari"));
    policy.name = "kalahari";
    return policy;
}

Policy longgrassPolicy()
{
    auto policy = policyFromWeights(*presetWeights("longgrass"));
    policy.name = "longgrass";
    return policy;
}

} // namespace peridotramp
