#include "membership_p.h"

#include <algorithm>
#include <ranges>

namespace peridotramp {

std::vector<Membership::State::Row*> Membership::State::sample(
    std::size_t count, const std::function<bool(const Row&)>& predicate)
{
    std::vector<Row*> chosen;
    std::uint64_t seen = 0;
    for (auto& [node, row] : this->rows) {
        if (!predicate(row))
            continue;
        ++seen;
        if (chosen.size() < count) {
            chosen.push_back(&row);
            continue;
        }
        const auto place = this->random() % seen;
        if (place < count)
            chosen[place] = &row;
    }
    return chosen;
}

void Membership::State::detectStall(TimePoint now, Duration tolerance)
{
    const auto delay = now - this->lastTick - this->limits.tickPeriod;
    if (delay <= tolerance)
        return;
    this->lastTick = now;
    this->stats.maxTimerDelay = std::max(this->stats.maxTimerDelay, delay);
    if (delay <= this->limits.probeTimeout)
        return;
    // Answers and refutations that arrived during the stall have not been processed, so they do not count as missing.
    this->outstanding.reset();
    this->nextProbe = now;
    for (const auto node : this->suspects) {
        if (auto* row = this->find(node))
            row->suspectUntil += delay;
    }
    if (delay <= this->limits.stallThreshold || this->hasLeft())
        return;
    this->self.incarnation = Incarnation { this->self.incarnation.value + 1 };
    this->lastStall = now;
    ++this->stats.stalls;
}

void Membership::State::probe(Messages& out, Row& target, std::uint64_t sequence)
{
    const auto& update = target.member.update;
    this->send(out, MembershipMessageKind::Probe, sequence, update.node, &target, update.addresses.udp);
}

Membership::State::Row* Membership::State::takeTarget(std::vector<NodeId>& targets, bool ownDomain)
{
    for (int pass = 0; pass < 2; ++pass) {
        while (!targets.empty()) {
            auto* row = this->find(targets.back());
            targets.pop_back();
            if (row && this->isUsable(*row))
                return row;
        }
        for (const auto& [node, row] : this->rows) {
            if (this->isUsable(row) && this->isOwnDomain(row) == ownDomain)
                targets.push_back(node);
        }
        std::ranges::shuffle(targets, this->random);
    }
    return nullptr;
}

Membership::State::Row* Membership::State::nextTarget()
{
    const bool cross = ++this->probeCount % this->limits.crossDomainInterval == 0;
    auto* first
        = cross ? this->takeTarget(this->crossDomainTargets, false) : this->takeTarget(this->ownDomainTargets, true);
    if (first)
        return first;
    return cross ? this->takeTarget(this->ownDomainTargets, true) : this->takeTarget(this->crossDomainTargets, false);
}

void Membership::State::expireProbe(TimePoint now)
{
    if (!this->outstanding)
        return;
    ++this->stats.probesFailed;
    this->suspect(now, this->outstanding->target, this->outstanding->incarnation);
    this->outstanding.reset();
}

void Membership::State::probeNext(Messages& out, TimePoint now)
{
    auto* target = this->nextTarget();
    if (!target)
        return;
    const auto sequence = ++this->lastSequence;
    this->outstanding
        = OutstandingProbe { target->member.update.node, target->member.update.incarnation, sequence, now, 0 };
    this->probe(out, *target, sequence);
}

void Membership::State::repeatProbe(Messages& out, TimePoint now)
{
    if (!this->outstanding)
        return;
    auto& pending = *this->outstanding;
    if (now - pending.sentAt < this->limits.probeTimeout * (pending.repeats + 1))
        return;
    auto* target = this->find(pending.target);
    if (!target)
        return;
    ++pending.repeats;
    this->probe(out, *target, pending.sequence);
    if (pending.repeats > 1)
        return;
    this->probeIndirectly(out, *target, pending.sequence, this->limits.indirectProbes);
}

void Membership::State::probeIndirectly(Messages& out, const Row& target, std::uint64_t sequence, std::size_t count)
{
    const auto isHelper = [&target](const Row& row) {
        return row.member.update.state == MemberState::Alive && row.member.update.node != target.member.update.node;
    };
    // During a partition between two failure domains, only members of a third can reach both.
    const auto isBetween = [&](const Row& row) {
        return isHelper(row) && !this->isOwnDomain(row) && row.member.update.domain != target.member.update.domain;
    };
    const auto third = this->isOwnDomain(target) ? std::vector<Row*> {} : this->sample((count + 1) / 2, isBetween);
    auto helpers = this->sample(count - third.size(),
        [&](const Row& row) { return isHelper(row) && std::ranges::find(third, &row) == third.end(); });
    std::ranges::copy(third, std::back_inserter(helpers));
    for (const auto* helper : helpers) {
        this->send(out, MembershipMessageKind::IndirectProbe, sequence, target.member.update.node, helper,
            helper->member.update.addresses.udp, target.member.update.addresses.udp);
    }
}

void Membership::State::probeSuspect(Messages& out)
{
    if (this->suspects.empty())
        return;
    auto* row = this->find(this->suspects[this->random() % this->suspects.size()]);
    if (!row || row->member.update.state != MemberState::Suspect)
        return;
    const auto sequence = ++this->lastSequence;
    this->probe(out, *row, sequence);
    this->probeIndirectly(out, *row, sequence, 1);
}

void Membership::State::probeSilentDomain(Messages& out, TimePoint now)
{
    std::map<DomainId, bool> live;
    for (const auto& [node, row] : this->rows) {
        if (!this->isOwnDomain(row) && row.member.update.state != MemberState::Left)
            live[row.member.update.domain] |= row.member.update.state == MemberState::Alive;
    }
    const auto isSilent = [&](const auto& entry) {
        return !entry.second || now - this->domainHeard[entry.first] >= this->limits.domainTimeout;
    };
    auto silent = live | std::views::filter(isSilent) | std::views::keys;
    const auto longest
        = std::ranges::min_element(silent, {}, [this](DomainId domain) { return this->domainProbed[domain]; });
    if (longest == silent.end())
        return;
    const auto domain = *longest;
    this->domainProbed[domain] = now;
    const auto chosen = this->sample(1, [domain](const Row& row) {
        return row.member.update.domain == domain && row.member.update.state != MemberState::Left;
    });
    for (auto* row : chosen)
        this->probe(out, *row, ++this->lastSequence);
}

void Membership::State::probeUnknownAddress(Messages& out, TimePoint now)
{
    if (now < this->nextSeedProbe)
        return;
    const bool alone
        = std::ranges::none_of(this->rows, [this](const auto& entry) { return this->isUsable(entry.second); });
    this->nextSeedProbe = now + (alone ? this->limits.probePeriod : this->limits.seedProbePeriod);
    std::vector<Address> known { this->self.addresses.udp };
    for (const auto& [node, row] : this->rows) {
        if (this->isUsable(row))
            known.push_back(row.member.update.addresses.udp);
    }
    std::vector<Address> unknown;
    for (const auto* list : { &this->seeds, &this->hints })
        std::ranges::copy_if(*list, std::back_inserter(unknown),
            [&](const Address& address) { return std::ranges::find(known, address) == known.end(); });
    if (unknown.empty())
        return;
    const auto& address = unknown[this->seedCursor++ % unknown.size()];
    this->send(out, MembershipMessageKind::Probe, ++this->lastSequence, {}, nullptr, address);
}

void Membership::State::acknowledge(Messages& out, const MembershipMessage& message)
{
    // A probe for another node that had this address before is acknowledged, too: the prober learns which node has the
    // address now and, as the sender is not the target, does not count it as the target's acknowledgement.
    this->send(out, MembershipMessageKind::ProbeAck, message.sequence, this->self.node, this->find(message.sender.node),
        message.sender.addresses.udp);
}

void Membership::State::acceptAcknowledgement(Messages& out, const MembershipMessage& message)
{
    const bool expected = this->outstanding && this->outstanding->sequence == message.sequence
        && this->outstanding->target == message.target;
    if (expected) {
        this->outstanding.reset();
        return;
    }
    const auto relay = std::ranges::find(this->relays, message.sequence, &Relay::sequence);
    if (relay == this->relays.end() || relay->target != message.sender.node)
        return;
    this->send(out, MembershipMessageKind::ProbeAck, relay->requesterSequence, relay->target,
        this->find(relay->requester), relay->requesterAddress);
    this->relays.erase(relay);
}

void Membership::State::probeForOther(Messages& out, TimePoint now, const MembershipMessage& message)
{
    std::erase_if(this->relays, [now](const Relay& relay) { return relay.expires <= now; });
    const auto sequence = ++this->lastSequence;
    this->relays.push_back({ sequence, message.target, message.sender.node, message.sender.addresses.udp,
        message.sequence, now + this->limits.probePeriod });
    this->send(
        out, MembershipMessageKind::Probe, sequence, message.target, this->find(message.target), message.targetAddress);
}

} // namespace peridotramp
