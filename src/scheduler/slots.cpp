#include "node_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

constexpr Milliseconds tickPeriod { 100 };
constexpr Seconds maxRunTime { 600 };

DispatchGroupKey keyOf(const SlotRequest& request) { return { request.team, request.name }; }

PartitionId partitionOf(const Node& node, const SlotRequest& request)
{
    return node.groupPartition(keyOf(request), request.domain);
}

QueuedCall queuedCall(const SlotRequest& request, TimePoint now)
{
    QueuedCall call;
    call.call = request.call;
    call.program = request.program;
    call.workspace = request.workspace;
    call.model = idFromName<ModelId>(request.name);
    call.domain = request.domain;
    call.arrival = now;
    call.deadline = now + request.timeLeft;
    call.attained = request.attained;
    call.history = request.history;
    call.expected = request.expected;
    return call;
}

EndpointView viewOf(const PartitionState& state, EndpointId endpoint, const QueuedCall& call, TimePoint now)
{
    EndpointView view;
    view.endpoint = endpoint;
    const auto known = state.pool.view(now, endpoint);
    if (!known) {
        view.usable = false;
        return view;
    }
    view.domain = known->description.domain;
    view.cached = std::min(state.kv.cachedTokens(endpoint, call.program), call.history);
    view.usable = known->available.value > 0 && !known->breakerOpen;
    // An engine with more calls decodes more slowly; the normal first-token latency approximates the cost of one more
    // call.
    view.queueWait
        = known->normalFirstToken * known->held.value / std::max<std::int64_t>(1, known->description.slots.value);
    return view;
}

std::vector<EndpointView> viewsOf(
    const PartitionState& state, const DispatchGroup& group, const QueuedCall& call, TimePoint now)
{
    std::vector<EndpointView> views;
    views.reserve(group.endpoints.size());
    for (const auto endpoint : group.endpoints)
        views.push_back(viewOf(state, endpoint, call, now));
    return views;
}

bool hasFreeSlot(const PartitionState& state, const DispatchGroup& group, TimePoint now)
{
    return std::ranges::any_of(group.endpoints, [&](EndpointId endpoint) {
        const auto view = state.pool.view(now, endpoint);
        return view && view->available.value > 0 && !view->breakerOpen;
    });
}

void answerSlot(PendingSlotRequest slot, Message message, Actions& actions)
{
    actions.push_back([respond = std::move(slot.respond), message = std::move(message)] { respond(message, true); });
}

// Whether the refusal is permanent, so that waiting cannot help.
bool isFinal(PermitRefusal refusal)
{
    return refusal == PermitRefusal::NotRetryable || refusal == PermitRefusal::TooManyAttempts
        || refusal == PermitRefusal::RetryBudgetSpent;
}

// Dispatches one call. Returns false if the call must return to the queue.
bool dispatchOne(
    Node& node, PartitionState& state, DispatchGroup& group, const QueuedCall& call, TimePoint now, Actions& actions)
{
    const auto found = group.waiting.find(call.call);
    if (found == group.waiting.end())
        return true;
    const auto views = viewsOf(state, group, call, now);
    const auto endpoint = place(group.queue.policy(), call, views);
    if (!endpoint.isValid())
        return false;
    const auto& request = found->second.request;
    const EndpointPermitRequest permitRequest { endpoint, request.holder, request.incarnation, request.call,
        request.attempt, request.retryable, maxRunTime };
    const auto answer = state.pool.tryAcquire(now, permitRequest);
    if (!answer && !isFinal(answer.refusal))
        return false;
    auto slot = std::move(found->second);
    group.waiting.erase(found);
    if (!answer) {
        answerSlot(std::move(slot), ErrorMessage { answer.error(), {}, {} }, actions);
        return true;
    }
    actions.push_back([&node, respond = std::move(slot.respond), permit = *answer.permit] {
        const auto configuration = node.configurationNow();
        const auto* entry = configuration ? configuration->findEndpoint(permit.endpoint) : nullptr;
        if (entry)
            respond(SlotReply { permit, entry->address }, true);
        else
            respond(ErrorMessage { Error { ErrorKind::EndpointUnavailable, Outcome::NotRun }, {}, {} }, true);
    });
    return true;
}

void expireWaiting(DispatchGroup& group, TimePoint now, Actions& actions)
{
    for (const auto& call : group.queue.removeExpired(now)) {
        auto slot = group.waiting.extract(call.call);
        if (!slot.empty())
            answerSlot(std::move(slot.mapped()),
                ErrorMessage { Error { ErrorKind::DeadlineExceeded, Outcome::NotRun, "no endpoint had a free slot",
                                   Milliseconds(500) },
                    {}, {} },
                actions);
    }
}

void tickGroups(Node& node, PartitionState& state, TimePoint now, Actions& actions)
{
    state.pool.tick(now);
    state.kv.tick(now);
    const bool mayAct = state.lease->mayAct(now);
    for (auto& [key, group] : state.groups) {
        expireWaiting(group, now, actions);
        if (mayAct)
            dispatchWaiting(node, state, group, now, actions);
    }
}

} // namespace

void dispatchWaiting(Node& node, PartitionState& state, DispatchGroup& group, TimePoint now, Actions& actions)
{
    while (!group.queue.isEmpty() && hasFreeSlot(state, group, now)) {
        const auto call = group.queue.pop(now);
        if (!call)
            return;
        if (dispatchOne(node, state, group, *call, now, actions))
            continue;
        // Refused for another reason than a full window: the call is queued again and retried at the next tick.
        const auto status = group.queue.push(now, *call);
        if (!status) {
            auto slot = group.waiting.extract(call->call);
            if (!slot.empty())
                answerSlot(std::move(slot.mapped()), ErrorMessage { status.error(), {}, {} }, actions);
        }
        return;
    }
}

void handleSlotRequest(Node& node, const SlotRequest& request, Responder respond)
{
    const auto now = RuntimeClock::now();
    const auto partition = partitionOf(node, request);
    Actions actions;
    const auto status = node.withPartition(partition, [&](PartitionState* state) -> Status {
        if (!state || !state->lease->mayAct(now))
            return Error { ErrorKind::NotOwner, Outcome::NotRun };
        const auto found = state->groups.find(keyOf(request));
        if (found == state->groups.end())
            return Error { ErrorKind::EndpointUnavailable, Outcome::NotRun,
                "no endpoint of the failure domain serves " + request.name, Milliseconds(500) };
        auto& group = found->second;
        auto pushed = group.queue.push(now, queuedCall(request, now));
        if (!pushed)
            return pushed;
        group.waiting[request.call] = { request, respond };
        dispatchWaiting(node, *state, group, now, actions);
        return std::monostate {};
    });
    run(actions);
    if (status)
        return;
    respond(status.error().kind == ErrorKind::NotOwner ? notOwner(node, partition)
                                                       : ErrorMessage { status.error(), {}, {} },
        true);
}

void handleSlotRelease(Node& node, const SlotRelease& release)
{
    const auto now = RuntimeClock::now();
    Actions actions;
    node.withPartition(partitionOf(node, release.request), [&](PartitionState* state) {
        const auto found = state ? state->groups.find(keyOf(release.request))
                                 : std::map<DispatchGroupKey, DispatchGroup>::iterator {};
        if (!state || found == state->groups.end())
            return;
        state->pool.release(now, release.permit, release.report);
        found->second.queue.correctCharge(release.request.workspace, release.request.expected, release.actual);
        if (release.cachedTokens > TokenCount { 0 })
            state->kv.recordUse(now, release.permit.endpoint, release.request.program, release.cachedTokens);
        dispatchWaiting(node, *state, found->second, now, actions);
    });
    run(actions);
}

void startSlots(Node& node)
{
    node.timers.push_back(node.runtime.every(tickPeriod, [&node] {
        Actions actions;
        node.partitions.forEach([&](PartitionMap& map) {
            for (auto& [id, state] : map)
                tickGroups(node, state, RuntimeClock::now(), actions);
        });
        run(actions);
    }));
}

} // namespace peridotramp
