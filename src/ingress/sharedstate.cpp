#include "ingress_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Minimum time between two requests for the newest records of another instance.
constexpr Milliseconds stateRequestInterval { 300 };
constexpr Milliseconds stateRequestTimeout { 500 };

std::vector<StoreRecord> withoutOffsets(std::vector<StateRecord> records)
{
    std::vector<StoreRecord> converted;
    std::ranges::transform(records, std::back_inserter(converted),
        [](StateRecord& record) { return StoreRecord { std::move(record.key), std::move(record.value), {} }; });
    return converted;
}

void logReceived(std::string_view topic, const std::string& member, Offset end)
{
    log(LogLevel::Info, "newer records received from another instance",
        { { "topic", topic }, { "member", member }, { "end", end.value } });
}

} // namespace

TopicEnds Ingress::Impl::topicEnds() const { return { this->operatorTopic.end(), this->endpointTopic.end() }; }

StateReply Ingress::Impl::currentState(const TopicEnds& known)
{
    StateReply reply;
    reply.hasState = this->routingSnapshot()->table && this->endpointsKnown;
    if (auto state = this->operatorTopic.state(); isAhead(state.end, known.operators))
        reply.operators = std::move(state);
    if (auto state = this->endpointTopic.state(); isAhead(state.end, known.endpoints))
        reply.endpoints = std::move(state);
    return reply;
}

void Ingress::Impl::requestMissingState()
{
    const auto peers = this->fleet.reachable();
    // Another instance each time, as some may not have the state either.
    if (!peers.empty())
        this->requestState(peers[this->stateRequests % peers.size()].member);
}

void Ingress::Impl::compareTopicEnds(const FleetMember& member, const TopicEnds& ends)
{
    const auto now = RuntimeClock::now();
    const bool lacksOperators = this->operatorTopic.recordReported(ends.operators, now);
    const bool lacksEndpoints = this->endpointTopic.recordReported(ends.endpoints, now);
    if (!lacksOperators && !lacksEndpoints)
        return;
    // The connection to the member that is ahead may be broken, so every second request goes to another instance.
    if (this->stateRequests % 2 == 0)
        this->requestState(member);
    else
        this->requestMissingState();
}

void Ingress::Impl::requestState(const FleetMember& member)
{
    const auto now = RuntimeClock::now();
    if (now - this->stateRequestedAt.load() < stateRequestInterval)
        return;
    this->stateRequestedAt = now;
    ++this->stateRequests;
    this->fleet.call(member.address, StateRequest { this->topicEnds() }, stateRequestTimeout,
        [impl = this->shared_from_this(), name = member.name](Result<Message> answer, bool) {
            auto* reply = answer ? std::get_if<StateReply>(&answer.value()) : nullptr;
            if (reply && reply->hasState)
                impl->applyState(name, std::move(*reply));
        });
}

void Ingress::Impl::applyState(const std::string& member, StateReply reply)
{
    if (reply.operators)
        asio::post(this->operatorStrand,
            [impl = this->shared_from_this(), member, state = std::move(*reply.operators)]() mutable {
                if (!isAhead(state.end, impl->operatorTopic.end()))
                    return;
                logReceived("operators", member, state.end);
                impl->applyOperatorSnapshot(withoutOffsets(std::move(state.records)), state.end, RecordSource::Member);
            });
    if (reply.endpoints)
        asio::post(this->endpointStrand,
            [impl = this->shared_from_this(), member, state = std::move(*reply.endpoints)]() mutable {
                if (!isAhead(state.end, impl->endpointTopic.end()))
                    return;
                logReceived("endpoints", member, state.end);
                impl->applyEndpointSnapshot(withoutOffsets(std::move(state.records)), state.end);
            });
}

} // namespace peridotramp
