#include "node_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

constexpr std::int32_t maxEndpointAttempts = 3;
constexpr Milliseconds releaseTimeout { 5000 };

using Calls = std::map<CallKey, RunningCall>;

// Calls `function` with the running call under its shard lock; returns false if this attempt of the call has ended.
template <typename Function> bool withCall(Node& node, const CallAttempt& callAttempt, Function&& function)
{
    return node.withPartition(partitionOf(callAttempt.key.program), [&](PartitionState* state) {
        const auto found = state ? state->calls.find(callAttempt.key) : Calls::iterator {};
        if (!state || found == state->calls.end() || found->second.attempt != callAttempt.number)
            return false;
        function(*state, found->second);
        return true;
    });
}

/// Failure domain and name of a dispatch group.
struct GroupLocation {
    DomainId domain;
    std::string name;
};

bool isUsable(const Node& node, const Configuration& configuration, const EndpointEntry* entry)
{
    if (!entry || entry->state != EndpointEntry::State::In)
        return false;
    const auto domain = node.domainByName(entry->domain);
    return domain && node.isDomainIn(configuration, *domain);
}

// Selects the dispatch group of an endpoint that can run the call. Prefers this failure domain; within it, a hash
// spreads programs and retries over the endpoints.
std::optional<GroupLocation> selectGroup(Node& node, const RunningCall& call)
{
    const auto configuration = node.configurationNow();
    std::vector<const EndpointEntry*> entries;
    if (call.message.target == CallTarget::Model) {
        for (const auto endpoint : configuration->enginesFor(call.team, idFromName<ModelId>(call.message.name)))
            entries.push_back(configuration->findEndpoint(endpoint));
    } else if (const auto* declared = configuration->findCall(call.team, call.message.name)) {
        for (const auto& name : declared->endpoints)
            entries.push_back(configuration->findEndpoint(idFromName<EndpointId>(name)));
    }
    std::erase_if(entries, [&](const EndpointEntry* entry) { return !isUsable(node, *configuration, entry); });
    if (entries.empty())
        return std::nullopt;
    std::ranges::sort(entries, {}, [&](const EndpointEntry* entry) {
        const bool isOther = node.domainByName(entry->domain) != node.domain;
        return std::pair(isOther,
            hashBytes(entry->name, call.message.program.value + static_cast<std::uint64_t>(call.endpointAttempts)));
    });
    const auto* chosen = entries.front();
    const auto& group = call.message.target == CallTarget::Model ? chosen->models.front() : chosen->name;
    return GroupLocation { *node.domainByName(chosen->domain), group };
}

// Checked after each wait: returns an error if the call was cancelled or has expired, or if the lease has lapsed.
std::optional<Error> stopReason(PartitionState& state, const RunningCall& call, TimePoint now)
{
    if (call.cancelled)
        return Error { ErrorKind::Cancelled };
    if (now >= call.deadline)
        return Error { ErrorKind::DeadlineExceeded };
    // A call that is not idempotent has a confirmed claim, which is durable and needs no lease.
    if (call.idempotent && !state.lease->mayAct(now))
        return Error { ErrorKind::LeaseLapsed, Outcome::NotRun, "", Milliseconds(200) };
    return std::nullopt;
}

void requestSlot(Node& node, const CallAttempt& callAttempt);

void requestRatePermit(
    Node& node, const CallAttempt& callAttempt, GrantKind kind, GrantAmount amount, std::function<void()> next)
{
    RatePermitRequest request;
    TimePoint deadline;
    const bool found = withCall(node, callAttempt, [&](PartitionState&, RunningCall& call) {
        const auto left = std::chrono::duration_cast<Milliseconds>(call.deadline - RuntimeClock::now());
        request = { { call.message.caller.workspace, node.domain, kind }, amount,
            GrantSource { callAttempt.key.program.value }, left };
        deadline = call.deadline;
    });
    if (!found)
        return;
    const auto partition = node.bucketPartition(request.bucket.workspace, node.domain);
    callOwner(node, partition, request, deadline,
        [&node, callAttempt, next = std::move(next)](const Result<Message>& answer, bool) {
            const auto* reply = answer ? std::get_if<RatePermitReply>(&answer.value()) : nullptr;
            if (!reply) {
                const auto* error = answer ? std::get_if<ErrorMessage>(&answer.value()) : nullptr;
                return refuseCall(node, callAttempt,
                    error ? error->error : (answer ? Error { ErrorKind::Internal } : answer.error()));
            }
            std::optional<Error> stop;
            const bool isRunning = withCall(node, callAttempt, [&](PartitionState& state, RunningCall& call) {
                call.permits.push_back(reply->permit);
                stop = stopReason(state, call, RuntimeClock::now());
            });
            if (isRunning && stop)
                return refuseCall(node, callAttempt, *stop);
            if (isRunning)
                next();
        });
}

SlotRequest makeSlotRequest(Node& node, const RunningCall& call, const GroupLocation& group)
{
    SlotRequest request;
    request.name = group.name;
    request.target = call.message.target;
    request.team = call.team;
    request.domain = group.domain;
    request.call = call.message.call;
    request.program = call.message.program;
    request.workspace = call.message.caller.workspace;
    request.holder = node.self;
    request.incarnation = node.incarnation;
    request.attempt = call.endpointAttempts;
    request.retryable = call.endpointAttempts > 0;
    request.timeLeft = std::chrono::duration_cast<Milliseconds>(call.deadline - RuntimeClock::now());
    request.history = call.promptTokens;
    request.expected = { call.promptTokens, call.message.maxTokens };
    return request;
}

/// Context of one attempt at an endpoint.
struct EndpointAttempt {
    CallAttempt callAttempt;
    SlotRequest request;
    SlotReply slot;
    std::shared_ptr<WriteGuard> guard = std::make_shared<WriteGuard>();
};

EndpointResult resultOf(const EndpointAnswer& answer)
{
    if (answer.error == ErrorKind::None)
        return EndpointResult::Succeeded;
    if (answer.refused)
        return EndpointResult::Refused;
    return answer.error == ErrorKind::Cancelled ? EndpointResult::Cancelled : EndpointResult::Failed;
}

void releaseSlot(Node& node, const EndpointAttempt& attempt, const EndpointAnswer& answer)
{
    SlotRelease release { attempt.request, attempt.slot.permit, {}, {}, {} };
    const auto uncached = answer.usage.prompt - answer.usage.cached;
    release.report = { resultOf(answer), answer.firstToken, uncached };
    release.actual = { uncached, answer.usage.completion };
    if (answer.error == ErrorKind::None && attempt.request.target == CallTarget::Model)
        release.cachedTokens = answer.usage.prompt + answer.usage.completion;
    const auto partition = node.groupPartition({ attempt.request.team, attempt.request.name }, attempt.request.domain);
    callOwner(node, partition, std::move(release), RuntimeClock::now() + releaseTimeout,
        [](const Result<Message>&, bool) { });
}

void correctRates(Node& node, const std::vector<Permit>& permits, TokenCount used)
{
    for (const auto& permit : permits) {
        if (permit.bucket.kind != GrantKind::Tokens)
            continue;
        const auto partition = node.bucketPartition(permit.bucket.workspace, permit.bucket.domain);
        callOwner(node, partition, RateCorrection { permit, GrantAmount { used.value } },
            RuntimeClock::now() + releaseTimeout, [](const Result<Message>&, bool) { });
    }
}

// Ends a call and responds to its waiters: with the completed turn, or with `error`.
void finish(Node& node, const CallAttempt& callAttempt, const CallResult& result, const EndpointAnswer& answer,
    const Error& error)
{
    Actions actions;
    const auto partition = partitionOf(callAttempt.key.program);
    node.withPartition(partition, [&](PartitionState* state) {
        const auto running = state ? state->calls.find(callAttempt.key) : Calls::iterator {};
        if (!state || running == state->calls.end() || running->second.attempt != callAttempt.number)
            return;
        auto found = state->calls.extract(running);
        auto& call = found.mapped();
        const auto now = RuntimeClock::now();
        auto finished = state->programs.finishCall(
            now, callAttempt.key.program, callAttempt.key.call, call.attempt, result, node.authorityOf(*state, now));
        auto reported = error;
        if (finished)
            reported.outcome = finished->outcome;
        Message message = ErrorMessage { reported, {}, {} };
        if (finished) {
            static_cast<void>(pushRecords(*state, std::move(finished.value().records)));
            if (std::holds_alternative<CallCompleted>(result)) {
                message = CallEndedMessage { Outcome::Completed, finished->turn, finished->digest, answer.output,
                    answer.usage.prompt, answer.usage.cached, answer.usage.completion, finished->confirmedTurn };
            }
        } else
            message = ErrorMessage { finished.error(), {}, {} };
        const auto used = answer.usage.prompt - answer.usage.cached + answer.usage.completion;
        actions.push_back([&node, permits = call.permits, used] { correctRates(node, permits, used); });
        for (const auto& waiter : call.waiters)
            actions.push_back([respond = waiter.respond, message] { respond(message, true); });
    });
    run(actions);
    sendAppends(node, partition);
}

void endAttempt(Node& node, const EndpointAttempt& attempt, const EndpointAnswer& answer)
{
    if (answer.requestWritten)
        attempt.guard->beginWriting();
    releaseSlot(node, attempt, answer);
    const auto used = answer.usage.prompt - answer.usage.cached + answer.usage.completion;
    if (answer.error == ErrorKind::None) {
        node.metrics.count("calls{outcome=\"completed\"}");
        const CallCompleted completed { answer.output, used };
        return finish(node, attempt.callAttempt, completed, answer, {});
    }
    const auto proof = attempt.guard->proof();
    bool retry = false;
    bool cancelled = false;
    withCall(node, attempt.callAttempt, [&](PartitionState& state, RunningCall& call) {
        cancelled = call.cancelled;
        const bool safe = proof.has_value() || call.idempotent;
        retry = safe && !call.streamed && call.endpointAttempts + 1 < maxEndpointAttempts
            && !stopReason(state, call, RuntimeClock::now());
        call.endpointAttempts += retry ? 1 : 0;
    });
    if (retry)
        return requestSlot(node, attempt.callAttempt);
    node.metrics.count(proof ? "calls{outcome=\"not_run\"}" : "calls{outcome=\"unknown\"}");
    if (proof)
        return finish(node, attempt.callAttempt, CallNotRun { *proof }, answer,
            notRun(*proof, ErrorKind::EndpointUnavailable, "", Milliseconds(500)));
    const auto kind = cancelled ? ErrorKind::Cancelled : answer.error;
    const CallUnknown unknown { attempt.request.target == CallTarget::Service ? std::optional(TokenCount { 0 })
                                                                              : std::nullopt };
    finish(node, attempt.callAttempt, unknown, answer, { kind, Outcome::Unknown, "", Milliseconds(500) });
}

void forwardToken(Node& node, const CallAttempt& callAttempt, std::string_view token)
{
    std::vector<Responder> responders;
    withCall(node, callAttempt, [&](PartitionState&, RunningCall& call) {
        call.streamed = true;
        std::ranges::transform(call.waiters, std::back_inserter(responders), &Waiter::respond);
    });
    for (const auto& respond : responders)
        respond(CallChunkMessage { std::string(token) }, false);
}

HttpClient::Call startOnEndpoint(Node& node, const EndpointAttempt& attempt, const RunningCall& call)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(call.deadline - RuntimeClock::now());
    auto onEnd = [&node, attempt](const EndpointAnswer& answer) { endAttempt(node, attempt, answer); };
    if (call.message.target == CallTarget::Service)
        return node.endpoints.callService(
            { attempt.slot.address, call.message.name, call.message.call, call.message.input, left }, std::move(onEnd));
    EngineCall engine { attempt.slot.address, attempt.callAttempt.key.program, attempt.callAttempt.key.call,
        call.message.turn, call.message.name, call.prompt, call.promptTokens, call.message.maxTokens, left };
    return node.endpoints.complete(
        engine,
        [&node, callAttempt = attempt.callAttempt](std::string_view token) { forwardToken(node, callAttempt, token); },
        std::move(onEnd));
}

// Copies the fields that a dispatch needs, so that it can start without the shard lock.
RunningCall snapshotOf(const RunningCall& call)
{
    RunningCall snapshot;
    snapshot.message = call.message;
    snapshot.team = call.team;
    snapshot.idempotent = call.idempotent;
    snapshot.deadline = call.deadline;
    snapshot.prompt = call.prompt;
    snapshot.promptTokens = call.promptTokens;
    snapshot.endpointAttempts = call.endpointAttempts;
    return snapshot;
}

// Stores the handle of the running request. Cancels the request if the call was cancelled before the handle was stored.
void storeHttpCall(Node& node, const CallAttempt& callAttempt, const HttpClient::Call& http)
{
    bool cancelled = false;
    withCall(node, callAttempt, [&](PartitionState&, RunningCall& call) {
        call.http = http;
        cancelled = call.cancelled;
    });
    if (cancelled)
        http.cancel();
}

void beginAttempt(Node& node, const CallAttempt& callAttempt, const SlotRequest& request, const SlotReply& slot)
{
    const EndpointAttempt attempt { callAttempt, request, slot };
    std::optional<Error> stop;
    RunningCall snapshot;
    const bool found = withCall(node, callAttempt, [&](PartitionState& state, RunningCall& call) {
        stop = stopReason(state, call, RuntimeClock::now());
        state.groupsUsed[callAttempt.key.program].insert({ request.domain, { request.team, request.name } });
        snapshot = snapshotOf(call);
    });
    if (found && !stop)
        return storeHttpCall(node, callAttempt, startOnEndpoint(node, attempt, snapshot));
    EndpointAnswer unused;
    unused.error = ErrorKind::Cancelled;
    releaseSlot(node, attempt, unused);
    if (found)
        refuseCall(node, callAttempt, *stop);
}

void requestSlot(Node& node, const CallAttempt& callAttempt)
{
    RunningCall snapshot;
    const bool found
        = withCall(node, callAttempt, [&](PartitionState&, RunningCall& call) { snapshot = snapshotOf(call); });
    if (!found)
        return;
    const auto group = selectGroup(node, snapshot);
    if (!group)
        return refuseCall(node, callAttempt,
            { ErrorKind::EndpointUnavailable, Outcome::NotRun, "no endpoint in service", Milliseconds(1000) });
    const auto request = makeSlotRequest(node, snapshot, *group);
    const auto partition = node.groupPartition({ request.team, request.name }, request.domain);
    callOwner(node, partition, request, snapshot.deadline,
        [&node, callAttempt, request](const Result<Message>& answer, bool) {
            const auto* reply = answer ? std::get_if<SlotReply>(&answer.value()) : nullptr;
            if (reply)
                return beginAttempt(node, callAttempt, request, *reply);
            const auto* error = answer ? std::get_if<ErrorMessage>(&answer.value()) : nullptr;
            refuseCall(
                node, callAttempt, error ? error->error : (answer ? Error { ErrorKind::Internal } : answer.error()));
        });
}

} // namespace

void refuseCall(Node& node, const CallAttempt& callAttempt, const Error& error)
{
    // The current attempt has written nothing to an endpoint. Earlier attempts of a call that is not idempotent
    // provably did not run; those of an idempotent call may have run, so that its outcome is unknown.
    bool attempted = false;
    withCall(node, callAttempt,
        [&](PartitionState&, RunningCall& call) { attempted = call.endpointAttempts > 0 && call.idempotent; });
    node.metrics.count("refusals{kind=\"" + std::string(toString(error.kind)) + "\"}");
    if (attempted)
        return finish(
            node, callAttempt, CallUnknown {}, {}, { error.kind, Outcome::Unknown, error.detail, error.retryAfter });
    const auto proof = *WriteGuard().proof();
    finish(node, callAttempt, CallNotRun { proof }, {}, notRun(proof, error.kind, error.detail, error.retryAfter));
}

void dispatchCall(Node& node, const CallAttempt& callAttempt)
{
    GrantAmount tokens;
    const bool found = withCall(node, callAttempt, [&](PartitionState&, RunningCall& call) {
        // The cost of the history depends on the engine's cache, so the bucket is corrected after the call.
        const auto input = static_cast<std::int64_t>(call.message.input.size()) / 4 + 1;
        tokens = GrantAmount { call.message.target == CallTarget::Model ? input + call.message.maxTokens.value : 0 };
    });
    if (!found)
        return;
    requestRatePermit(node, callAttempt, GrantKind::Requests, GrantAmount { 1 }, [&node, callAttempt, tokens] {
        if (tokens.value == 0)
            return requestSlot(node, callAttempt);
        requestRatePermit(
            node, callAttempt, GrantKind::Tokens, tokens, [&node, callAttempt] { requestSlot(node, callAttempt); });
    });
}

} // namespace peridotramp
