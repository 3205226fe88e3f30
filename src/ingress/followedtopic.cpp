#include "followedtopic_p.h"

#include <algorithm>

namespace peridotramp {

void FollowedTopic::replace(const std::vector<StoreRecord>& records, Offset end)
{
    std::map<std::string, std::string> replacement;
    for (const auto& record : records)
        replacement[record.key] = record.value;
    const std::scoped_lock lock(this->mutex);
    this->newest = std::move(replacement);
    this->lag.recordApplied(end);
}

void FollowedTopic::add(const StoreRecord& record)
{
    const std::scoped_lock lock(this->mutex);
    if (record.value.empty())
        this->newest.erase(record.key);
    else
        this->newest[record.key] = record.value;
    if (record.offset.isValid())
        this->lag.recordApplied({ record.offset.value + 1 });
}

void FollowedTopic::recordRead(Offset end, TimePoint now)
{
    const std::scoped_lock lock(this->mutex);
    this->lag.recordApplied(end);
    this->readAt = now;
}

bool FollowedTopic::recordReported(Offset end, TimePoint now)
{
    const std::scoped_lock lock(this->mutex);
    return this->lag.recordReported(end, now);
}

Offset FollowedTopic::end() const
{
    const std::scoped_lock lock(this->mutex);
    return this->lag.applied();
}

TopicState FollowedTopic::state() const
{
    const std::scoped_lock lock(this->mutex);
    TopicState state { this->lag.applied(), {} };
    std::ranges::transform(this->newest, std::back_inserter(state.records),
        [](const auto& entry) { return StateRecord { entry.first, entry.second }; });
    return state;
}

std::string FollowedTopic::ageText(TimePoint now) const
{
    const std::scoped_lock lock(this->mutex);
    return this->readAt ? std::to_string(std::chrono::duration_cast<Milliseconds>(now - *this->readAt).count())
                        : "never";
}

} // namespace peridotramp
