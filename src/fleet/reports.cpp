#include "fleet_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Time without a status after which an instance no longer gets a digest in each period.
constexpr Milliseconds reporterTimeout { 1000 };
// Interval, in periods, of digests to instances that send no status; lets a restarted instance find its coordinator.
constexpr std::uint64_t nonReporterDigestInterval = 10;
// Interval, in periods, at which digests list the instances of other domains even without a change.
constexpr std::uint64_t memberListInterval = 10;
// Time without a summary after which the coordinator of another domain is searched for again.
constexpr Milliseconds summaryTimeout { 1000 };
// Number of members that get a summary in each period while the coordinator of their domain is unknown.
constexpr std::size_t probesPerPeriod = 3;

Milliseconds toMilliseconds(Duration duration) { return std::chrono::duration_cast<Milliseconds>(duration); }

bool isSameMembership(const std::vector<MemberContact>& left, const std::vector<MemberContact>& right)
{
    // Crossing the silence limit counts as a change; the exact silence of an instance does not.
    const auto isAlive = [](const MemberContact& contact) { return contact.timeSinceHeard <= peerTimeout; };
    return std::ranges::equal(left, right, [&](const MemberContact& first, const MemberContact& second) {
        return first.id == second.id && first.state == second.state && isAlive(first) == isAlive(second);
    });
}

} // namespace

void Fleet::Impl::handleStatus(const InstanceStatus& status)
{
    if (status.sender.domain != this->init.self.domain)
        return;
    this->addMember(status.sender);
    bool becameReachable = false;
    {
        const std::scoped_lock lock(this->mutex);
        const auto now = RuntimeClock::now();
        const auto id = status.sender.id();
        this->reporters[id] = { status.sender.address, status.state, now };
        becameReachable = this->table.recordContact(id, now, status.state, now);
        if (becameReachable)
            this->election.recordAlive(id);
    }
    if (becameReachable)
        log(LogLevel::Info, "member reachable", { { "member", status.sender.name } });
    this->hooks.onStatus(status);
}

void Fleet::Impl::handleDigest(const FleetDigest& digest)
{
    if (digest.sender.domain != this->init.self.domain)
        return;
    this->addMember(digest.sender);
    bool isActive = false;
    bool hasUnknownMembers = false;
    bool takesOver = false;
    {
        const std::scoped_lock lock(this->mutex);
        const auto now = RuntimeClock::now();
        const auto id = digest.sender.id();
        this->election.recordDigest(id, digest.active, now);
        isActive = this->election.active(now) == id;
        hasUnknownMembers = this->recordMembers(digest.members, now, now);
        const auto* sender = this->table.find(id);
        takesOver = sender && sender->state.draining && this->activeCoordinator == id && this->election.isCoordinator();
        for (const auto& contact : digest.domains) {
            if (contact.members)
                this->remoteMembers[contact.domain] = *contact.members;
            hasUnknownMembers
                = this->recordMembers(this->remoteMembers[contact.domain], now - contact.timeSinceHeard, now)
                || hasUnknownMembers;
        }
    }
    if (hasUnknownMembers)
        this->requestMembers(digest.sender.address);
    if (isActive)
        this->hooks.onDigest(digest);
    // The active coordinator is draining and this instance is the standby, which takes over at once.
    if (takesOver)
        this->runPeriod();
}

bool Fleet::Impl::recordMembers(const std::vector<MemberContact>& reported, TimePoint heardAt, TimePoint now)
{
    bool hasUnknownMembers = false;
    for (const auto& contact : reported) {
        if (contact.id == this->init.self.id())
            continue;
        hasUnknownMembers = hasUnknownMembers || !this->table.find(contact.id);
        if (this->table.recordContact(contact.id, heardAt - contact.timeSinceHeard, contact.state, now))
            this->election.recordAlive(contact.id);
    }
    return hasUnknownMembers;
}

void Fleet::Impl::handleSummary(const DomainSummary& summary)
{
    const auto& domain = summary.sender.domain;
    if (domain == this->init.self.domain)
        return;
    this->addMember(summary.sender);
    bool hasUnknownMembers = false;
    bool isCoordinator = false;
    {
        const std::scoped_lock lock(this->mutex);
        const auto now = RuntimeClock::now();
        auto& known = this->domains[domain];
        known.changed = known.changed || !isSameMembership(known.members, summary.members);
        known.coordinator = summary.sender;
        known.standby = summary.standby;
        known.members = summary.members;
        known.heardAt = now;
        hasUnknownMembers = this->recordMembers(summary.members, now, now);
        isCoordinator = this->election.isCoordinator();
    }
    if (hasUnknownMembers)
        this->requestMembers(summary.sender.address);
    if (isCoordinator)
        this->hooks.onSummary(summary);
}

std::vector<MemberContact> Fleet::Impl::domainMembers(TimePoint now) const
{
    std::vector<MemberContact> members { { this->init.self.id(), Milliseconds(0), this->state } };
    for (const auto& [id, reporter] : this->reporters) {
        if (id != this->init.self.id())
            members.push_back({ id, toMilliseconds(now - reporter.heardAt), reporter.state });
    }
    return members;
}

std::vector<Address> Fleet::Impl::digestReceivers(TimePoint now)
{
    std::vector<Address> receivers;
    for (const auto& [id, reporter] : this->reporters) {
        if (id != this->init.self.id() && now - reporter.heardAt <= reporterTimeout)
            receivers.push_back(reporter.address);
    }
    if (!this->election.isCoordinator() || this->periodCount % nonReporterDigestInterval != 0)
        return receivers;
    for (const auto& peer : this->table.ofDomain(this->init.self.domain)) {
        const auto found = this->reporters.find(peer.id);
        if (found == this->reporters.end() || now - found->second.heardAt > reporterTimeout)
            receivers.push_back(peer.member.address);
    }
    return receivers;
}

void Fleet::Impl::sendDigest(bool active)
{
    FleetDigest digest;
    digest.sender = this->init.self;
    digest.active = active;
    std::vector<Address> receivers;
    {
        const std::scoped_lock lock(this->mutex);
        const auto now = RuntimeClock::now();
        std::erase_if(
            this->reporters, [&](const auto& entry) { return now - entry.second.heardAt > 2 * reporterTimeout; });
        receivers = this->digestReceivers(now);
        if (!active && receivers.empty())
            return;
        digest.members = this->domainMembers(now);
        const bool listsMembers = this->periodCount % memberListInterval == 0;
        for (auto& [domain, known] : this->domains) {
            DomainContact contact { domain, toMilliseconds(now - known.heardAt), std::nullopt };
            if (std::exchange(known.changed, false) || listsMembers)
                contact.members = known.members;
            digest.domains.push_back(std::move(contact));
        }
    }
    this->hooks.fillDigest(digest);
    const auto bytes = encodeFleetDatagram(digest);
    for (const auto& receiver : receivers)
        this->socket->send(receiver, bytes);
    if (active)
        this->hooks.onDigest(digest);
}

std::vector<Address> Fleet::Impl::summaryReceivers(TimePoint now)
{
    std::set<std::string> others;
    for (const auto& peer : this->table.all()) {
        if (peer.member.domain != this->init.self.domain)
            others.insert(peer.member.domain);
    }
    std::vector<Address> receivers;
    for (const auto& domain : others) {
        const auto known = this->domains.find(domain);
        if (known != this->domains.end() && now - known->second.heardAt <= summaryTimeout) {
            receivers.push_back(known->second.coordinator.address);
            if (known->second.standby)
                receivers.push_back(known->second.standby->address);
            continue;
        }
        // The coordinator is unknown: probes the first members of the order and, in the last slot, the others in turn.
        const auto order = this->candidates(domain);
        for (std::size_t index = 0; index < std::min(order.size(), probesPerPeriod); ++index) {
            const auto place = index + 1 < probesPerPeriod ? index : (this->periodCount + index) % order.size();
            receivers.push_back(order[place].address);
        }
    }
    return receivers;
}

std::optional<FleetMember> Fleet::Impl::standby() const
{
    const auto& coordinators = this->election.coordinators();
    const auto* peer = coordinators.size() > 1 ? this->table.find(coordinators[1]) : nullptr;
    return peer ? std::optional(peer->member) : std::nullopt;
}

void Fleet::Impl::sendSummaries()
{
    DomainSummary summary;
    summary.sender = this->init.self;
    summary.incarnation = this->init.incarnation;
    std::vector<Address> receivers;
    {
        const std::scoped_lock lock(this->mutex);
        const auto now = RuntimeClock::now();
        summary.members = this->domainMembers(now);
        summary.standby = this->standby();
        receivers = this->summaryReceivers(now);
    }
    this->hooks.fillSummary(summary);
    const auto bytes = encodeFleetDatagram(summary);
    for (const auto& receiver : receivers)
        this->socket->send(receiver, bytes);
}

} // namespace peridotramp
