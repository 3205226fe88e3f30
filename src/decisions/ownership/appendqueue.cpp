#include "peridotramp/ownership.h"

#include <algorithm>

namespace peridotramp {

namespace {

/// Number of append ids per epoch. The epoch takes the upper 40 bits, so that ids are unique within a stream.
constexpr std::uint64_t groupsPerEpoch = 1ULL << 24;
constexpr Milliseconds overloadRetry { 1000 };

bool isOwnership(const PartitionRecord& record) { return std::holds_alternative<OwnershipRecord>(record); }

} // namespace

AppendQueue::AppendQueue(Epoch epoch, AppendLimits limits)
    : ownEpoch(epoch)
    , limits(limits)
    , availableAppends(limits.burst)
{
}

Result<AppendTicket> AppendQueue::push(PartitionRecord record)
{
    std::vector<PartitionRecord> records;
    records.push_back(std::move(record));
    auto tickets = this->push(std::move(records));
    if (!tickets)
        return tickets.error();
    return tickets->front();
}

Result<std::vector<AppendTicket>> AppendQueue::push(std::vector<PartitionRecord> records)
{
    if (this->lost)
        return Error { ErrorKind::EpochLost, Outcome::Unknown };
    if (records.size() > this->limits.maxGroup)
        return Error { ErrorKind::InvalidRequest, Outcome::Unknown, "too many records for one group" };
    if (this->size() + records.size() > this->limits.maxRecords)
        return Error { ErrorKind::Overloaded, Outcome::Unknown, "append queue is full", overloadRetry };
    ++this->batches;
    std::vector<AppendTicket> given;
    for (auto& record : records) {
        given.push_back(AppendTicket { this->tickets++ });
        this->waiting.push_back({ given.back(), std::move(record), this->batches });
    }
    return given;
}

void AppendQueue::refill(TimePoint now)
{
    if (this->refilledAt && now > *this->refilledAt) {
        const std::chrono::duration<double> elapsed = now - *this->refilledAt;
        this->availableAppends
            = std::min(this->limits.burst, this->availableAppends + elapsed.count() * this->limits.appendsPerSecond);
    }
    this->refilledAt = now;
}

std::optional<RecordGroup> AppendQueue::poll(TimePoint now)
{
    this->refill(now);
    if (this->size() == 0 || this->availableAppends < 1)
        return std::nullopt;
    if (!this->inFlight.empty() && now < this->sendAgainAt)
        return std::nullopt;
    if (this->inFlight.empty())
        this->fillGroup();
    this->availableAppends -= 1;
    this->sendAgainAt = now + this->limits.retryAfter;
    return this->groupInFlight();
}

/// Moves complete batches from the queue into the next group. An ownership record is always the only one of its group.
void AppendQueue::fillGroup()
{
    this->inFlightId = AppendId { this->ownEpoch.value * groupsPerEpoch + this->groups++ };
    while (!this->waiting.empty()) {
        const auto batch = this->waiting.front().batch;
        const auto end = std::ranges::find_if(this->waiting, [&](const Entry& entry) { return entry.batch != batch; });
        const auto count = static_cast<std::size_t>(end - this->waiting.begin());
        const bool alone = isOwnership(this->waiting.front().record);
        if (!this->inFlight.empty() && (alone || this->inFlight.size() + count > this->limits.maxGroup))
            return;
        std::move(this->waiting.begin(), end, std::back_inserter(this->inFlight));
        this->waiting.erase(this->waiting.begin(), end);
        if (alone)
            return;
    }
}

RecordGroup AppendQueue::groupInFlight() const
{
    RecordGroup group { this->inFlightId, this->ownEpoch, {} };
    std::ranges::transform(this->inFlight, std::back_inserter(group.records), &Entry::record);
    return group;
}

std::optional<TimePoint> AppendQueue::nextPoll(TimePoint now) const
{
    if (this->size() == 0)
        return std::nullopt;
    auto next = this->inFlight.empty() ? now : std::max(now, this->sendAgainAt);
    if (this->refilledAt && this->availableAppends < 1) {
        const std::chrono::duration<double> wait((1 - this->availableAppends) / this->limits.appendsPerSecond);
        next = std::max(next, *this->refilledAt + std::chrono::ceil<Duration>(wait));
    }
    return next;
}

void AppendQueue::recordFailure(TimePoint now, AppendId appendId)
{
    if (!this->inFlight.empty() && appendId == this->inFlightId)
        this->sendAgainAt = now;
}

std::vector<AppendResolution> AppendQueue::recordApplied(const AppliedGroup& group)
{
    const bool valid = group.status == GroupStatus::Valid;
    const bool isOwn = !this->inFlight.empty() && group.appendId == this->inFlightId && group.epoch == this->ownEpoch;
    const bool changesEpoch = valid && group.records.size() == 1 && isOwnership(group.records.front());
    if (isOwn && valid) {
        auto resolved = this->resolveInFlight(AppendState::Confirmed);
        if (changesEpoch) {
            this->ownEpoch = Epoch { group.offset.value };
            this->groups = 0;
        }
        return resolved;
    }
    const bool lostNow = changesEpoch && group.offset.value > this->ownEpoch.value;
    const bool voided = isOwn && group.status == GroupStatus::StaleEpoch;
    return lostNow || voided ? this->rejectAll() : std::vector<AppendResolution> {};
}

std::vector<AppendResolution> AppendQueue::resolveInFlight(AppendState state)
{
    std::vector<AppendResolution> resolved;
    resolved.reserve(this->inFlight.size());
    for (auto& entry : this->inFlight)
        resolved.push_back({ entry.ticket, state, std::move(entry.record) });
    this->inFlight.clear();
    return resolved;
}

std::vector<AppendResolution> AppendQueue::rejectAll()
{
    this->lost = true;
    auto resolved = this->resolveInFlight(AppendState::Rejected);
    for (auto& entry : this->waiting)
        resolved.push_back({ entry.ticket, AppendState::Rejected, std::move(entry.record) });
    this->waiting.clear();
    return resolved;
}

bool AppendQueue::cancel(AppendTicket ticket)
{
    return std::erase_if(this->waiting, [&](const Entry& entry) { return entry.ticket == ticket; }) > 0;
}

AppendState AppendQueue::state(AppendTicket ticket) const
{
    const auto waits = std::ranges::any_of(this->waiting, [&](const Entry& entry) { return entry.ticket == ticket; });
    return waits ? AppendState::Waiting : AppendState::Unknown;
}

} // namespace peridotramp
