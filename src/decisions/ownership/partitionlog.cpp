#include "peridotramp/ownership.h"

#include <algorithm>

namespace peridotramp {

Spending& Spending::operator+=(Spending other)
{
    this->tokens += other.tokens;
    this->calls += other.calls;
    return *this;
}

Spending& Spending::operator-=(Spending other)
{
    this->tokens -= other.tokens;
    this->calls -= other.calls;
    return *this;
}

bool Spending::fitsIn(Spending limit) const { return this->tokens <= limit.tokens && this->calls <= limit.calls; }

std::string_view toString(EndReason reason)
{
    constexpr std::array<std::string_view, 5> names { "finished", "wall_time", "idle", "parent_ended", "operator" };
    return names[std::min<std::size_t>(static_cast<std::size_t>(reason), names.size() - 1)];
}

Epoch PartitionLog::epoch() const { return this->newest ? this->newest->epoch : Epoch {}; }

std::optional<HandoverRecord> PartitionLog::handover() const
{
    const bool open = this->newest && this->newest->handedOver;
    return open ? this->lastHandover : std::nullopt;
}

bool PartitionLog::takesOwnership(const RecordGroup& group) const
{
    return group.records.size() == 1 && std::holds_alternative<OwnershipRecord>(group.records.front());
}

GroupStatus PartitionLog::classify(const RecordGroup& group) const
{
    const auto holdsOwnership
        = [](const PartitionRecord& record) { return std::holds_alternative<OwnershipRecord>(record); };
    // The epoch that the first retained ownership record replaced has expired from the log and cannot be checked.
    const bool firstRetained = this->truncated && !this->newest && this->takesOwnership(group);
    if (!firstRetained && group.epoch != this->epoch())
        return GroupStatus::StaleEpoch;
    if (!this->newest && !this->takesOwnership(group))
        return GroupStatus::StaleEpoch;
    // An ownership record changes the epoch, so other records in its group would belong to two epochs.
    if (!this->takesOwnership(group) && std::ranges::any_of(group.records, holdsOwnership))
        return GroupStatus::StaleEpoch;
    // The append ids of a successor and of the old owner are not comparable. A duplicate of an ownership record is
    // detected by its old epoch.
    if (!this->takesOwnership(group) && this->lastAppend.isValid() && group.appendId <= this->lastAppend)
        return GroupStatus::Duplicate;
    // The owner stopped before the handover; groups that it still sends are invalid.
    if (this->newest && this->newest->handedOver && !this->takesOwnership(group))
        return GroupStatus::StaleEpoch;
    return GroupStatus::Valid;
}

AppliedGroup PartitionLog::apply(Offset offset, RecordGroup group)
{
    AppliedGroup applied { offset, group.appendId, group.epoch, GroupStatus::AlreadyApplied, {} };
    if (offset < this->nextOffset)
        return applied;
    this->truncated = this->truncated || (this->nextOffset == Offset { 0 } && offset > this->nextOffset);
    this->nextOffset = Offset { offset.value + 1 };
    applied.status = this->classify(group);
    if (applied.status != GroupStatus::Valid)
        return applied;
    if (this->takesOwnership(group))
        this->takeOwnership(offset, std::get<OwnershipRecord>(group.records.front()));
    else {
        this->lastAppend = group.appendId;
        this->recordActs(group);
    }
    applied.records = std::move(group.records);
    return applied;
}

void PartitionLog::takeOwnership(Offset offset, const OwnershipRecord& record)
{
    const bool isFirst = !this->newest && !this->truncated;
    const bool afterHandover = this->newest && this->newest->handedOver;
    if (this->newest && !afterHandover) {
        // A successor needs only the electorates, so one entry for each distinct electorate suffices.
        std::erase_if(this->earlier,
            [&](const Ownership& other) { return other.record.electorate == this->newest->record.electorate; });
        this->earlier.push_back(*this->newest);
    }
    this->newest = Ownership { Epoch { offset.value }, record, false, false, isFirst || afterHandover };
    // Append ids are ordered only within an epoch.
    this->lastAppend = AppendId {};
}

void PartitionLog::recordActs(const RecordGroup& group)
{
    this->newest->acted = true;
    // An owner that has acted had the releases of all earlier electorates.
    this->earlier.clear();
    for (const auto& record : group.records) {
        if (const auto* handover = std::get_if<HandoverRecord>(&record)) {
            this->newest->handedOver = true;
            this->lastHandover = *handover;
        }
    }
}

} // namespace peridotramp
