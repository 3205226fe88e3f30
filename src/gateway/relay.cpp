#include "gateway_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

constexpr Milliseconds retryDelay { 100 };

Milliseconds timeLeft(TimePoint deadline)
{
    return std::max(std::chrono::duration_cast<Milliseconds>(deadline - RuntimeClock::now()), Milliseconds(0));
}

// Whether the peer did not accept the message because it does not own the partition or could not be reached.
bool isNotAccepted(const Result<Message>& answer)
{
    if (!answer)
        return answer.error().outcome == Outcome::NotRun
            && (answer.error().kind == ErrorKind::ConnectionFailed || answer.error().kind == ErrorKind::NotOwner);
    const auto* error = std::get_if<ErrorMessage>(&answer.value());
    return error && error->error.kind == ErrorKind::NotOwner;
}

void updateOwner(GatewayState& gateway, PartitionId partition, const Result<Message>& answer)
{
    const auto* hint = answer ? std::get_if<ErrorMessage>(&answer.value()) : nullptr;
    if (hint)
        gateway.applyOwnerHint(partition, *hint);
    else
        gateway.forgetOwner(partition);
}

} // namespace

void callPartitionOwner(GatewayState& gateway, PartitionId partition, const Message& message, TimePoint deadline,
    RpcClient::AnswerHook hook)
{
    const auto owner = gateway.ownerOf(partition);
    const auto address = owner ? *owner : gateway.schedulerAt(gateway.nextSerial());
    const auto left = std::max(timeLeft(deadline), Milliseconds(1));
    gateway.rpc.call(address, message, left,
        [&gateway, partition, message, deadline, hook = std::move(hook)](Result<Message> answer, bool last) {
            if (!isNotAccepted(answer))
                return hook(std::move(answer), last);
            updateOwner(gateway, partition, answer);
            if (timeLeft(deadline) <= retryDelay)
                return hook(Error { ErrorKind::EndpointUnavailable, Outcome::NotRun, "no owner of the program answers",
                                Milliseconds(500) },
                    true);
            gateway.runtime.after(retryDelay, [&gateway, partition, message, deadline, hook] {
                callPartitionOwner(gateway, partition, message, deadline, hook);
            });
        });
}

namespace {

/// State of one relayed call. The mutex guards `call` and `cancelled`, because responses and the cancellation arrive on
/// different threads.
struct RelayState {
    GatewayState& gateway;
    CallRelay relay;
    std::mutex mutex {};
    RpcClient::Call call {};
    bool cancelled = false;
    bool streamed = false;
    /// Whether an attempt may have reached an owner that did not respond.
    bool mayHaveReachedOwner = false;
};

using RelayPointer = std::shared_ptr<RelayState>;

void startAttempt(const RelayPointer& state);

// Returns an error of the gateway itself. Its outcome is `NotRun` only if no attempt of this or an earlier request for
// the same call can have reached an owner.
Error gatewayError(const RelayState& state, ErrorKind kind)
{
    const bool isProvablyNotRun = !state.mayHaveReachedOwner && !state.relay.hasCallerKey;
    return { kind, isProvablyNotRun ? Outcome::NotRun : Outcome::Unknown, "no owner of the program answers",
        Milliseconds(500) };
}

void retryLater(const RelayPointer& state, ErrorKind kind)
{
    if (timeLeft(state->relay.deadline) <= retryDelay)
        return state->relay.onEnd(gatewayError(*state, kind));
    state->gateway.runtime.after(retryDelay, [state] { startAttempt(state); });
}

// The owner may have accepted the call. A retry with the same call id joins the running call or returns its outcome.
void retryUnknownOutcome(const RelayPointer& state, const Error& error)
{
    state->mayHaveReachedOwner = true;
    state->relay.message.repeated = true;
    // Output that was already streamed to the caller cannot be revoked, so the call must not run again.
    if (state->streamed)
        return state->relay.onEnd(Error { error.kind, Outcome::Unknown, error.detail, error.retryAfter });
    state->gateway.forgetOwner(partitionOf(state->relay.message.program));
    retryLater(state, error.kind);
}

bool isRetryableUnknown(const Error& error)
{
    return error.outcome == Outcome::Unknown
        && (error.kind == ErrorKind::ConnectionFailed || error.kind == ErrorKind::EpochLost);
}

void handleAnswer(const RelayPointer& state, Result<Message> answer)
{
    const auto partition = partitionOf(state->relay.message.program);
    if (isNotAccepted(answer)) {
        updateOwner(state->gateway, partition, answer);
        return retryLater(state, ErrorKind::EndpointUnavailable);
    }
    if (answer) {
        if (const auto* chunk = std::get_if<CallChunkMessage>(&answer.value())) {
            state->streamed = true;
            return state->relay.onToken(chunk->text);
        }
        if (auto* ended = std::get_if<CallEndedMessage>(&answer.value()))
            return state->relay.onEnd(std::move(*ended));
    }
    const auto* message = answer ? std::get_if<ErrorMessage>(&answer.value()) : nullptr;
    const auto error = message ? message->error : (answer ? Error { ErrorKind::Internal } : answer.error());
    if (isRetryableUnknown(error))
        return retryUnknownOutcome(state, error);
    state->relay.onEnd(error);
}

void startAttempt(const RelayPointer& state)
{
    const auto partition = partitionOf(state->relay.message.program);
    const auto owner = state->gateway.ownerOf(partition);
    const auto address = owner ? *owner : state->gateway.schedulerAt(state->gateway.nextSerial());
    const auto left = timeLeft(state->relay.deadline);
    if (left <= Milliseconds(0))
        return state->relay.onEnd(gatewayError(*state, ErrorKind::DeadlineExceeded));
    state->relay.message.timeLeft = left;
    // The owner ends the call at the deadline; the extra second leaves time for its response.
    const auto timeout = left + Milliseconds(1000);
    const auto call = state->gateway.rpc.call(address, state->relay.message, timeout,
        [state](Result<Message> answer, bool) { handleAnswer(state, std::move(answer)); });
    bool cancelled = false;
    {
        const std::scoped_lock lock(state->mutex);
        state->call = call;
        cancelled = state->cancelled;
    }
    if (cancelled)
        call.cancel();
}

} // namespace

std::function<void()> relayCall(GatewayState& gateway, CallRelay relay)
{
    auto state = std::make_shared<RelayState>(gateway, std::move(relay));
    startAttempt(state);
    return [state] {
        RpcClient::Call call;
        {
            const std::scoped_lock lock(state->mutex);
            state->cancelled = true;
            call = state->call;
        }
        call.cancel();
    };
}

} // namespace peridotramp
