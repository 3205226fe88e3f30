#include "fleet_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Time without a report after which an instance gets no digests any more.
constexpr Milliseconds reporterSilence { 1000 };
// Instances that do not report get a digest every so many periods, so that one that has restarted finds its
// coordinator.
constexpr std::uint64_t inviteEvery = 10;
// The instances of other domains are listed every so many periods, and when they change.
constexpr std::uint64_t listEvery = 10;
// Time without a summary after which the coordinator of another domain is looked for again.
constexpr Milliseconds summarySilence { 1000 };
// Members of a silent domain that get a summary in each period.
constexpr std::size_t probesPerPeriod = 3;

Milliseconds toMilliseconds(Duration duration) { return std::chrono::duration_cast<Milliseconds>(duration); }

bool isSameList(const std::vector<MemberSight>& left, const std::vector<MemberSight>& right)
{
    // An instance that falls silent changes the list; how long the others have been silent does not.
    const auto isAlive = [](const MemberSight& sight) { return sight.silence <= peerTimeout; };
    return std::ranges::equal(left, right, [&](const MemberSight& first, const MemberSight& second) {
        return first.id == second.id && first.state == second.state && isAlive(first) == isAlive(second);
    });
}

} // namespace

void Fleet::Impl::hearStatus(const InstanceStatus& status)
{
    if (status.sender.domain != this->init.self.domain)
        return;
    this->learn(status.sender);
    bool regained = false;
    {
        const std::scoped_lock lock(this->mutex);
        const auto now = RuntimeClock::now();
        const auto id = status.sender.id();
        this->reporters[id] = { status.sender.address, status.state, now };
        regained = this->table.recordContact(id, now, status.state, now);
        if (regained)
            this->choice.recordAlive(id);
    }
    if (regained)
        log(LogLevel::Info, "member reached", { { "member", status.sender.name } });
    this->hooks.onStatus(status);
}

void Fleet::Impl::hearDigest(const FleetDigest& digest)
{
    if (digest.sender.domain != this->init.self.domain)
        return;
    this->learn(digest.sender);
    bool isActive = false;
    bool hasStrangers = false;
    bool isNext = false;
    {
        const std::scoped_lock lock(this->mutex);
        const auto now = RuntimeClock::now();
        const auto id = digest.sender.id();
        this->choice.recordDigest(id, digest.active, now);
        isActive = this->choice.active(now) == id;
        hasStrangers = this->sightAll(digest.members, now, now);
        const auto* sender = this->table.find(id);
        isNext = sender && sender->state.draining && this->active == id && this->choice.isCoordinator();
        for (const auto& sight : digest.domains) {
            if (sight.members)
                this->toldMembers[sight.domain] = *sight.members;
            hasStrangers = this->sightAll(this->toldMembers[sight.domain], now - sight.silence, now) || hasStrangers;
        }
    }
    if (hasStrangers)
        this->askForMembers(digest.sender.address);
    if (isActive)
        this->hooks.onDigest(digest);
    // The active coordinator is stopping, and this instance takes over.
    if (isNext)
        this->runPeriod();
}

bool Fleet::Impl::sightAll(const std::vector<MemberSight>& sights, TimePoint heardAt, TimePoint now)
{
    bool hasStrangers = false;
    for (const auto& sight : sights) {
        if (sight.id == this->init.self.id())
            continue;
        hasStrangers = hasStrangers || !this->table.find(sight.id);
        if (this->table.recordContact(sight.id, heardAt - sight.silence, sight.state, now))
            this->choice.recordAlive(sight.id);
    }
    return hasStrangers;
}

void Fleet::Impl::hearSummary(const DomainSummary& summary)
{
    const auto& domain = summary.sender.domain;
    if (domain == this->init.self.domain)
        return;
    this->learn(summary.sender);
    bool hasStrangers = false;
    bool isCoordinator = false;
    {
        const std::scoped_lock lock(this->mutex);
        const auto now = RuntimeClock::now();
        auto& known = this->domains[domain];
        known.changed = known.changed || !isSameList(known.members, summary.members);
        known.coordinator = summary.sender;
        known.standby = summary.standby;
        known.members = summary.members;
        known.heardAt = now;
        hasStrangers = this->sightAll(summary.members, now, now);
        isCoordinator = this->choice.isCoordinator();
    }
    if (hasStrangers)
        this->askForMembers(summary.sender.address);
    if (isCoordinator)
        this->hooks.onSummary(summary);
}

std::vector<MemberSight> Fleet::Impl::ownSights(TimePoint now) const
{
    std::vector<MemberSight> sights { { this->init.self.id(), Milliseconds(0), this->state } };
    for (const auto& [id, reporter] : this->reporters) {
        if (id != this->init.self.id())
            sights.push_back({ id, toMilliseconds(now - reporter.heardAt), reporter.state });
    }
    return sights;
}

std::vector<Address> Fleet::Impl::digestReceivers(TimePoint now)
{
    std::vector<Address> receivers;
    for (const auto& [id, reporter] : this->reporters) {
        if (id != this->init.self.id() && now - reporter.heardAt <= reporterSilence)
            receivers.push_back(reporter.address);
    }
    if (!this->choice.isCoordinator() || this->periods % inviteEvery != 0)
        return receivers;
    for (const auto& peer : this->table.ofDomain(this->init.self.domain)) {
        const auto found = this->reporters.find(peer.id);
        if (found == this->reporters.end() || now - found->second.heardAt > reporterSilence)
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
            this->reporters, [&](const auto& entry) { return now - entry.second.heardAt > 2 * reporterSilence; });
        receivers = this->digestReceivers(now);
        if (!active && receivers.empty())
            return;
        digest.members = this->ownSights(now);
        const bool listsAll = this->periods % listEvery == 0;
        for (auto& [domain, known] : this->domains) {
            DomainSight sight { domain, toMilliseconds(now - known.heardAt), std::nullopt };
            if (std::exchange(known.changed, false) || listsAll)
                sight.members = known.members;
            digest.domains.push_back(std::move(sight));
        }
    }
    this->hooks.fillDigest(digest);
    const auto bytes = encodeBeacon(digest);
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
        if (known != this->domains.end() && now - known->second.heardAt <= summarySilence) {
            receivers.push_back(known->second.coordinator.address);
            if (known->second.standby)
                receivers.push_back(known->second.standby->address);
            continue;
        }
        // Its coordinator is not known: tries the first ones, and the others in turn.
        const auto order = this->candidates(domain);
        for (std::size_t index = 0; index < std::min(order.size(), probesPerPeriod); ++index) {
            const auto place = index + 1 < probesPerPeriod ? index : (this->periods + index) % order.size();
            receivers.push_back(order[place].address);
        }
    }
    return receivers;
}

std::optional<FleetMember> Fleet::Impl::standby() const
{
    const auto& coordinators = this->choice.coordinators();
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
        summary.members = this->ownSights(now);
        summary.standby = this->standby();
        receivers = this->summaryReceivers(now);
    }
    this->hooks.fillSummary(summary);
    const auto bytes = encodeBeacon(summary);
    for (const auto& receiver : receivers)
        this->socket->send(receiver, bytes);
}

} // namespace peridotramp
