#include "membership_p.h"

#include <algorithm>

namespace peridotramp {

Membership::State::Row* Membership::State::find(NodeId node)
{
    const auto found = this->rows.find(node);
    return found == this->rows.end() ? nullptr : &found->second;
}

void Membership::State::disseminate(Row& row)
{
    row.transmissions = 0;
    if (row.queued)
        return;
    row.queued = true;
    this->disseminationQueue.push_back(row.member.update.node);
}

void Membership::State::enter(TimePoint now, Row& row, MemberState state)
{
    row.member.update.state = state;
    row.member.since = now;
    this->disseminate(row);
    if (state != MemberState::Suspect)
        return;
    row.suspectUntil = now + this->limits.suspicionTimeout;
    const auto node = row.member.update.node;
    if (std::ranges::find(this->suspects, node) == this->suspects.end())
        this->suspects.push_back(node);
    ++this->stats.suspicions;
}

void Membership::State::clearDisseminationQueue()
{
    for (const auto node : this->disseminationQueue) {
        if (auto* row = this->find(node))
            row->queued = false;
    }
    this->disseminationQueue.clear();
}

void Membership::State::applyToSelf(const MemberUpdate& update)
{
    if (this->hasLeft())
        return;
    const bool newer = update.incarnation > this->self.incarnation;
    const bool isDisputed = update.incarnation == this->self.incarnation && update.state != MemberState::Alive;
    if (!newer && !isDisputed)
        return;
    // A higher incarnation than the current one is from an earlier run whose clock was ahead.
    this->self.incarnation = Incarnation { update.incarnation.value + 1 };
    ++this->stats.refutations;
}

void Membership::State::apply(TimePoint now, const MemberUpdate& update)
{
    if (update.node == this->self.node) {
        this->applyToSelf(update);
        return;
    }
    auto* known = this->find(update.node);
    const bool usable = update.state == MemberState::Alive || update.state == MemberState::Suspect;
    if (!known) {
        // Otherwise, nodes that purge later would reintroduce purged rows.
        if (!usable)
            return;
        Row row;
        row.member.update = update;
        auto& added = this->rows.emplace(update.node, row).first->second;
        this->enter(now, added, update.state);
        return;
    }
    auto& current = known->member.update;
    const bool newer = update.incarnation > current.incarnation;
    const bool worse = update.incarnation == current.incarnation && update.state > current.state;
    if (!newer && !worse)
        return;
    // After a network partition heals, each side receives death reports about members that are alive on the other side.
    // Every node therefore treats such a report as a suspicion and gives the member the whole timeout to refute.
    const auto newState = update.state == MemberState::Dead ? MemberState::Suspect : update.state;
    if (!newer && newState == current.state)
        return;
    const bool replaced = newer && update.addresses != current.addresses;
    current = update;
    if (newer || replaced)
        known->member.configurationVersion = Offset {};
    this->enter(now, *known, newState);
}

void Membership::State::suspect(TimePoint now, NodeId node, Incarnation incarnation)
{
    auto* row = this->find(node);
    if (!row || row->member.update.state != MemberState::Alive || row->member.update.incarnation != incarnation)
        return;
    this->enter(now, *row, MemberState::Suspect);
}

void Membership::State::endSuspicions(TimePoint now)
{
    std::erase_if(this->suspects, [&](NodeId node) {
        auto* row = this->find(node);
        if (!row || row->member.update.state != MemberState::Suspect)
            return true;
        if (now < row->suspectUntil)
            return false;
        this->enter(now, *row, MemberState::Dead);
        ++this->stats.deaths;
        return true;
    });
}

bool Membership::State::hasLiveMember(DomainId domain) const
{
    return std::ranges::any_of(this->rows,
        [&](const auto& entry) { return entry.second.member.update.domain == domain && this->isUsable(entry.second); });
}

void Membership::State::purge(TimePoint now)
{
    if (now < this->nextPurge)
        return;
    this->nextPurge = now + this->limits.purgeAfter / 64;
    std::erase_if(this->rows, [&](const auto& entry) {
        const auto& row = entry.second;
        if (this->isUsable(row) || now - row.member.since < this->limits.purgeAfter)
            return false;
        // The rows of an unreachable failure domain are needed to reach it again after the partition heals.
        const bool cutOff = row.member.update.state == MemberState::Dead && !this->isOwnDomain(row)
            && !this->hasLiveMember(row.member.update.domain);
        if (cutOff)
            return false;
        ++this->stats.purged;
        return true;
    });
}

} // namespace peridotramp
