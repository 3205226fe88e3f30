#include "node_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

constexpr Milliseconds ownerRetryDelay { 50 };

Incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return { static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count()) };
}

} // namespace

Node::Node(Runtime& runtime, SchedulerInit settings)
    : init(std::move(settings))
    , runtime(runtime)
    , self(idFromName<NodeId>(this->init.name))
    , incarnation(newIncarnation())
    , startedAt(RuntimeClock::now())
    , rpc(runtime,
          { Milliseconds(500), std::size_t { 4 } * 1024 * 1024,
              [this](const Address& address) { return this->isCut(address); } })
    , http(runtime)
    , log(runtime, { this->init.logAddress, Milliseconds(2000), this->init.name })
    , endpoints(runtime)
    , serials(hashBytes(this->init.name, this->incarnation.value))
{
    this->domain = this->domainByName(this->init.domain).value_or(DomainId {});
}

bool Node::isCut(const Address& address)
{
    return this->cuts.with(0, [&](const std::set<Address>& cut) { return cut.contains(address); });
}

ConfigurationPointer Node::configurationNow()
{
    return this->configuration.with(0, [](const ConfigurationShard& shard) { return shard.current; });
}

std::vector<PartitionId> Node::partitionsOf(DomainId domainId) const
{
    std::vector<PartitionId> ids;
    ids.reserve(this->init.partitionsPerDomain);
    for (std::uint64_t index = 0; index < this->init.partitionsPerDomain; ++index)
        ids.push_back({ domainId.value * maxPartitionsPerDomain + index });
    return ids;
}

PartitionId Node::bucketPartition(WorkspaceId workspace, DomainId domainId) const
{
    return { domainId.value * maxPartitionsPerDomain + workspace.value % this->init.partitionsPerDomain };
}

PartitionId Node::groupPartition(const DispatchGroupKey& key, DomainId domainId) const
{
    return { domainId.value * maxPartitionsPerDomain
        + hashBytes(key.name, key.team.value) % this->init.partitionsPerDomain };
}

std::optional<DomainId> Node::domainByName(std::string_view name) const
{
    const auto found = std::ranges::find(this->init.domains, name);
    if (found == this->init.domains.end())
        return std::nullopt;
    return DomainId { static_cast<std::uint64_t>(found - this->init.domains.begin()) };
}

bool Node::isDomainIn(const Configuration& configuration, DomainId domainId) const
{
    const auto& name = this->init.domains.at(domainId.value);
    const auto& states = configuration.domains();
    const auto found = std::ranges::find(states, name, &DomainEntry::name);
    return found == states.end() || found->state == DomainEntry::State::In;
}

std::optional<Member> Node::member(NodeId node)
{
    return this->membership.with(0, [&](const std::unique_ptr<Membership>& table) { return table->find(node); });
}

std::vector<NodeId> Node::liveNodes(DomainId domainId)
{
    return this->membership.with(
        0, [&](const std::unique_ptr<Membership>& table) { return table->liveNodes(domainId); });
}

void Node::sendAll(const std::vector<OutgoingMembership>& messages)
{
    for (const auto& outgoing : messages)
        this->gossip->send(outgoing.address, encodeMembershipDatagram(outgoing.message));
}

Authority Node::authorityOf(PartitionState& state, TimePoint now) const
{
    constexpr Seconds maxReadAge { 2 };
    return { state.lease && state.lease->mayAct(now), state.lastRead && now - *state.lastRead < maxReadAge };
}

std::optional<std::pair<NodeId, Address>> findOwner(Node& node, PartitionId partition)
{
    auto owner = node.withPartition(partition, [](const PartitionState* state) {
        const bool known = state && state->log.current() && !state->log.current()->handedOver;
        return known ? state->log.current()->record.node : NodeId {};
    });
    if (!owner.isValid()) {
        owner = node.owners.with(partition.value, [&](const auto& owners) {
            const auto found = owners.find(partition);
            return found == owners.end() ? NodeId {} : found->second.node;
        });
    }
    if (!owner.isValid())
        return std::nullopt;
    const auto member = node.member(owner);
    if (!member || member->update.state == MemberState::Dead || member->update.state == MemberState::Left)
        return std::nullopt;
    return std::pair(owner, member->update.addresses.tcp);
}

ErrorMessage notOwner(Node& node, PartitionId partition)
{
    ErrorMessage message { Error { ErrorKind::NotOwner, Outcome::NotRun, "", Milliseconds(100) }, {}, {} };
    const auto owner = findOwner(node, partition);
    if (owner && owner->first != node.self) {
        message.owner = owner->first;
        message.ownerAddress = owner->second;
    }
    return message;
}

namespace {

bool isNotOwner(const Result<Message>& answer)
{
    if (!answer)
        return answer.error().kind == ErrorKind::NotOwner;
    const auto* error = std::get_if<ErrorMessage>(&answer.value());
    return error && error->error.kind == ErrorKind::NotOwner;
}

// Whether no node accepted the request, so that it may be sent again.
bool isNotAccepted(const Result<Message>& answer)
{
    return isNotOwner(answer)
        || (!answer && answer.error().kind == ErrorKind::ConnectionFailed && answer.error().outcome == Outcome::NotRun);
}

AnswerHook retryHook(Node& node, PartitionId partition, const Message& message, TimePoint deadline, AnswerHook hook)
{
    return [&node, partition, message, deadline, hook = std::move(hook)](Result<Message> answer, bool last) {
        if (!isNotAccepted(answer))
            return hook(std::move(answer), last);
        if (RuntimeClock::now() + ownerRetryDelay >= deadline)
            return hook(Error { ErrorKind::EndpointUnavailable, Outcome::NotRun, "no owner of the partition answers",
                            Milliseconds(500) },
                true);
        node.runtime.after(ownerRetryDelay,
            [&node, partition, message, deadline, hook] { callOwner(node, partition, message, deadline, hook); });
    };
}

} // namespace

void callOwner(Node& node, PartitionId partition, Message message, TimePoint deadline, AnswerHook hook)
{
    const auto owner = findOwner(node, partition);
    auto retry = retryHook(node, partition, message, deadline, std::move(hook));
    if (!owner)
        return retry(Error { ErrorKind::NotOwner, Outcome::NotRun }, true);
    if (owner->first == node.self)
        return handleMessage(
            node, std::move(message), [retry](Message answer, bool last) { retry(std::move(answer), last); });
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - RuntimeClock::now());
    node.rpc.call(owner->second, std::move(message), std::max(left, Milliseconds(1)), retry);
}

void handleMessage(Node& node, Message message, Responder respond)
{
    if (const auto* rate = std::get_if<RatePermitRequest>(&message))
        return handleRatePermit(node, *rate, respond);
    if (const auto* slot = std::get_if<SlotRequest>(&message))
        return handleSlotRequest(node, *slot, std::move(respond));
    if (const auto* begin = std::get_if<BeginProgramMessage>(&message))
        return handleBegin(node, *begin, respond);
    if (const auto* end = std::get_if<EndProgramMessage>(&message))
        return handleEnd(node, *end, respond);
    if (const auto* query = std::get_if<ProgramQueryMessage>(&message))
        return handleQuery(node, *query, respond);
    if (const auto* correction = std::get_if<RateCorrection>(&message))
        handleRateCorrection(node, *correction);
    else if (const auto* release = std::get_if<SlotRelease>(&message))
        handleSlotRelease(node, *release);
    else if (const auto* notice = std::get_if<ProgramsEndedNotice>(&message))
        handleProgramsEnded(node, *notice);
    else if (const auto* alive = std::get_if<ProgramsAliveQuery>(&message))
        return respond(handleProgramsAlive(node, *alive), true);
    else if (const auto* loan = std::get_if<LoanRequest>(&message))
        return respond(handleLoan(node, *loan), true);
    else if (const auto* voteRequest = std::get_if<LeaseVoteRequest>(&message))
        return respond(handleVoteRequest(node, *voteRequest), true);
    else if (const auto* configuration = std::get_if<ConfigurationQuery>(&message))
        return respond(configurationFor(node, configuration->applied), true);
    else if (std::holds_alternative<RoutingTableQuery>(message))
        return respond(tableOf(node), true);
    else
        return respond(ErrorMessage { Error { ErrorKind::MalformedFrame, Outcome::NotRun }, {}, {} }, true);
    respond(DoneMessage {}, true);
}

} // namespace peridotramp
