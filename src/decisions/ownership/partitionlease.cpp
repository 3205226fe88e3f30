#include "peridotramp/ownership.h"

#include <algorithm>
#include <ranges>

namespace peridotramp {

namespace {

std::size_t majorityOf(std::size_t voters) { return voters / 2 + 1; }

} // namespace

PartitionLease::PartitionLease(PartitionId partition, NodeId self, Incarnation incarnation, LeaseSettings settings)
    : partition(partition)
    , self(self)
    , incarnation(incarnation)
    , settings(settings)
{
}

bool PartitionLease::isOwn(const std::optional<Ownership>& ownership) const
{
    return ownership && ownership->record.node == this->self && ownership->record.incarnation == this->incarnation
        && ownership->epoch != this->droppedEpoch;
}

Epoch PartitionLease::epoch() const { return this->owned ? this->owned->epoch : Epoch {}; }

void PartitionLease::recordRead(TimePoint now, TimePoint began, bool reachedTail, const PartitionLog& log)
{
    this->update(now);
    if (!this->isOwn(log.current())) {
        this->owned.reset();
        this->takeoverDone = false;
        this->leaseUntil = TimePoint {};
        return;
    }
    if (this->epoch() != log.epoch())
        this->beginTakeover(now, log);
    if (reachedTail)
        this->leaseUntil = std::max(this->leaseUntil, began + this->settings.length);
    this->update(now);
}

/// Starts the takeover after the node's own ownership record has been read back.
void PartitionLease::beginTakeover(TimePoint now, const PartitionLog& log)
{
    // An owner that renews its ownership while it holds the lease need not wait for any other lease.
    const bool renewed = this->owned && this->holds(now);
    this->owned = log.current();
    this->electorates.clear();
    std::ranges::transform(log.earlierOwnerships(), std::back_inserter(this->electorates),
        [](const Ownership& ownership) { return ownership.record.electorate; });
    this->takeoverDone = renewed || this->owned->mayActAtOnce || this->owned->acted;
    // The wait starts at the end of the read: the append can take effect after the read began, and the old owner can
    // have read the stream, and so renewed its lease, in between.
    this->readBackAt = now;
    this->leaseUntil = TimePoint {};
    this->promises.clear();
    this->releases.clear();
    this->lastRequested.clear();
}

void PartitionLease::recordReply(TimePoint now, const LeaseVoteRequest& request, const LeaseVoteReply& reply)
{
    this->update(now);
    if (!this->owned || request.epoch != this->epoch() || !reply.granted)
        return;
    auto& replies = request.kind == LeaseVoteKind::Promise ? this->promises : this->releases;
    // Promises extend a lease but do not restore an expired one: since then, a voter may have released a successor and
    // restarted.
    if (request.kind == LeaseVoteKind::Promise && !this->holds(now))
        return;
    auto& newest = replies[request.voter];
    newest = std::max(newest, request.sentAt);
    this->renewFromPromises();
    this->update(now);
}

void PartitionLease::setAbsent(NodeId node, std::optional<TimePoint> since)
{
    if (since)
        this->absentSince.try_emplace(node, *since);
    else
        this->absentSince.erase(node);
}

void PartitionLease::drop()
{
    this->droppedEpoch = this->epoch();
    this->owned.reset();
    this->takeoverDone = false;
    this->leaseUntil = TimePoint {};
}

void PartitionLease::update(TimePoint now)
{
    if (!this->owned)
        return;
    if (now >= this->leaseUntil)
        this->promises.clear();
    if (!this->takeoverDone) {
        const auto from = this->mayActFrom(now);
        this->takeoverDone = from && now > *from;
    }
}

void PartitionLease::renewFromPromises()
{
    const auto& electorate = this->owned->record.electorate;
    const auto given = [this](NodeId voter) { return this->promises.contains(voter); };
    const auto sentAt = [this](NodeId voter) { return this->promises.at(voter); };
    std::vector<TimePoint> times;
    std::ranges::copy(
        electorate | std::views::filter(given) | std::views::transform(sentAt), std::back_inserter(times));
    const auto majority = majorityOf(electorate.size());
    if (times.size() < majority)
        return;
    std::ranges::sort(times, std::greater {});
    this->leaseUntil = std::max(this->leaseUntil, times[majority - 1] + this->settings.length);
}

bool PartitionLease::isReleased(TimePoint now, NodeId voter) const
{
    const auto absent = this->absentSince.find(voter);
    if (absent != this->absentSince.end() && now - absent->second >= this->settings.absenceTimeout)
        return true;
    // A voter that has restarted since may have lost an older release.
    const auto given = this->releases.find(voter);
    return given != this->releases.end() && now - given->second < this->settings.length;
}

bool PartitionLease::hasReleases(TimePoint now) const
{
    return std::ranges::all_of(this->electorates, [&](const std::vector<NodeId>& electorate) {
        const auto released
            = std::ranges::count_if(electorate, [&](NodeId voter) { return this->isReleased(now, voter); });
        return electorate.size() - static_cast<std::size_t>(released) < majorityOf(electorate.size());
    });
}

bool PartitionLease::mayAct(TimePoint now)
{
    this->update(now);
    return this->owned && this->holds(now);
}

std::optional<TimePoint> PartitionLease::actsUntil(TimePoint now)
{
    return this->mayAct(now) ? std::optional(this->leaseUntil) : std::nullopt;
}

std::optional<TimePoint> PartitionLease::mayActFrom(TimePoint now)
{
    if (!this->owned)
        return std::nullopt;
    if (this->takeoverDone)
        return now;
    if (!this->hasReleases(now))
        return std::nullopt;
    return this->readBackAt + this->settings.length + this->settings.driftMargin;
}

std::vector<NodeId> PartitionLease::votersToAsk(TimePoint now) const
{
    if (this->holds(now))
        return this->owned->record.electorate;
    if (this->takeoverDone)
        return {};
    std::set<NodeId> voters;
    for (const auto& electorate : this->electorates)
        voters.insert(electorate.begin(), electorate.end());
    return { voters.begin(), voters.end() };
}

std::vector<LeaseVoteRequest> PartitionLease::voteRequests(TimePoint now)
{
    this->update(now);
    if (!this->owned)
        return {};
    const auto kind = this->holds(now) ? LeaseVoteKind::Promise : LeaseVoteKind::Release;
    std::vector<LeaseVoteRequest> requests;
    for (const auto voter : this->votersToAsk(now)) {
        const auto asked = this->lastRequested.find(voter);
        if (asked != this->lastRequested.end() && now - asked->second < this->settings.requestPeriod)
            continue;
        this->lastRequested[voter] = now;
        requests.push_back({ kind, this->partition, voter, this->epoch(), now });
    }
    return requests;
}

} // namespace peridotramp
