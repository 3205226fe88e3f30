#include "membership_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Number of members of each failure domain that are sent the announcement of a planned stop; gossip spreads it further.
constexpr std::size_t leaveNoticesPerDomain = 3;

} // namespace

Membership::State::State(const Init& init, TimePoint now)
    : limits(init.limits)
    , self { init.node, init.incarnation, init.domain, init.addresses, MemberState::Alive }
    , seeds(init.seeds)
    , random(init.randomSeed)
    , lastTick(now)
    , nextSeedProbe(now)
    , nextPurge(now + init.limits.purgeAfter / 64)
{
    // A random phase spreads the probes of nodes that start together over the period.
    const auto period = static_cast<std::uint64_t>(this->limits.probePeriod.count());
    this->nextProbe = now + Duration(static_cast<Duration::rep>(this->random() % period));
    this->probeCount = this->random() % this->limits.crossDomainInterval;
    // Random start, so that acknowledgements for an earlier run at the same address do not match.
    this->lastSequence = this->random() >> 1;
}

Membership::Membership(const Init& init, TimePoint now)
    : state(std::make_unique<State>(init, now))
{
}

Membership::Membership(Membership&&) noexcept = default;
Membership& Membership::operator=(Membership&&) noexcept = default;
Membership::~Membership() = default;

std::vector<OutgoingMembership> Membership::tick(TimePoint now)
{
    auto& own = *this->state;
    std::vector<OutgoingMembership> out;
    own.detectStall(now, Duration(0));
    own.lastTick = now;
    if (own.hasLeft())
        return out;
    own.probeUnknownAddress(out, now);
    own.repeatProbe(out, now);
    if (now >= own.nextProbe) {
        own.nextProbe = std::max(own.nextProbe + own.limits.probePeriod, now + own.limits.probePeriod / 2);
        own.expireProbe(now);
        own.probeNext(out, now);
        own.probeSuspect(out);
        own.probeSilentDomain(out, now);
    }
    own.endSuspicions(now);
    own.purge(now);
    return out;
}

std::vector<OutgoingMembership> Membership::receive(TimePoint now, const MembershipMessage& message)
{
    auto& own = *this->state;
    std::vector<OutgoingMembership> out;
    const auto& sender = message.sender;
    if (sender.node == own.self.node || !sender.node.isValid())
        return out;
    // After a stall of the process, datagrams can be received before the first tick.
    own.detectStall(now, own.limits.probeTimeout);
    ++own.stats.messagesReceived;
    own.apply(now, sender);
    for (const auto& update : message.updates)
        own.apply(now, update);
    own.domainHeard[sender.domain] = now;
    if (auto* row = own.find(sender.node); row && row->member.update.incarnation == sender.incarnation) {
        auto& member = row->member;
        member.lastHeard = now;
        const auto known = member.configurationVersion;
        if (message.configurationVersion.isValid() && (!known.isValid() || known < message.configurationVersion))
            member.configurationVersion = message.configurationVersion;
    }
    if (message.kind == MembershipMessageKind::Probe)
        own.acknowledge(out, message);
    else if (message.kind == MembershipMessageKind::ProbeAck)
        own.acceptAcknowledgement(out, message);
    else if (message.kind == MembershipMessageKind::IndirectProbe && !own.hasLeft())
        own.probeForOther(out, now, message);
    return out;
}

std::vector<OutgoingMembership> Membership::leave(TimePoint now)
{
    auto& own = *this->state;
    own.detectStall(now, own.limits.probeTimeout);
    std::vector<OutgoingMembership> out;
    if (own.hasLeft())
        return out;
    own.self.state = MemberState::Left;
    own.outstanding.reset();
    std::map<DomainId, std::vector<const State::Row*>> chosen;
    for (const auto* row : own.sample(own.rows.size(), [&own](const auto& row) { return own.isUsable(row); })) {
        auto& members = chosen[row->member.update.domain];
        if (members.size() < leaveNoticesPerDomain)
            members.push_back(row);
    }
    for (const auto& [domain, members] : chosen) {
        for (const auto* row : members)
            own.send(out, MembershipMessageKind::Announce, 0, {}, row, row->member.update.addresses.udp);
    }
    return out;
}

void Membership::setInstanceHints(std::vector<Address> udpAddresses) { this->state->hints = std::move(udpAddresses); }

std::vector<OutgoingMembership> Membership::setConfigurationVersion(TimePoint now, Offset version)
{
    auto& own = *this->state;
    own.detectStall(now, own.limits.probeTimeout);
    std::vector<OutgoingMembership> out;
    const bool newer = version.isValid() && (!own.version.isValid() || own.version < version);
    if (!newer)
        return out;
    own.version = version;
    if (!own.hasLeft())
        own.forwardVersion(out);
    return out;
}

std::vector<Member> Membership::members() const
{
    const auto& own = *this->state;
    std::vector<Member> all { { own.self, own.version, {}, own.lastTick } };
    all.reserve(own.rows.size() + 1);
    for (const auto& [node, row] : own.rows)
        all.push_back(row.member);
    std::ranges::sort(all, {}, [](const Member& member) { return member.update.node; });
    return all;
}

std::vector<NodeId> Membership::liveNodes(DomainId domain) const
{
    const auto& own = *this->state;
    std::vector<NodeId> live;
    if (own.self.domain == domain && !own.hasLeft())
        live.push_back(own.self.node);
    for (const auto& [node, row] : own.rows) {
        if (row.member.update.domain == domain && own.isUsable(row))
            live.push_back(node);
    }
    std::ranges::sort(live);
    return live;
}

std::optional<Member> Membership::find(NodeId node) const
{
    const auto& own = *this->state;
    if (node == own.self.node)
        return Member { own.self, own.version, {}, own.lastTick };
    const auto* row = this->state->find(node);
    return row ? std::optional(row->member) : std::nullopt;
}

void Membership::merge(TimePoint now, std::span<const MemberUpdate> updates)
{
    // The rows of another member's table are disseminated already; gossiping them all again would delay new updates.
    const auto alreadyQueued = this->state->disseminationQueue;
    for (const auto& update : updates)
        this->state->apply(now, update);
    this->state->clearDisseminationQueue();
    for (const auto node : alreadyQueued) {
        if (auto* row = this->state->find(node))
            this->state->disseminate(*row);
    }
}

std::optional<Membership::NewestVersion> Membership::newestVersion() const
{
    const auto& own = *this->state;
    std::optional<NewestVersion> newest;
    const auto consider = [&newest](Offset version, NodeId holder) {
        if (version.isValid() && (!newest || newest->version < version))
            newest = NewestVersion { version, holder };
    };
    consider(own.version, own.self.node);
    for (const auto& [node, row] : own.rows) {
        if (own.isUsable(row))
            consider(row.member.configurationVersion, node);
    }
    return newest;
}

Incarnation Membership::incarnation() const { return this->state->self.incarnation; }

std::optional<TimePoint> Membership::lastStall() const { return this->state->lastStall; }

const Membership::Stats& Membership::stats() const { return this->state->stats; }

} // namespace peridotramp
