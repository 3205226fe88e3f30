#pragma once

#include "peridotramp/coordination.h"
#include "peridotramp/nodes.h"
#include "peridotramp/store.h"

namespace peridotramp {

/// A topic of the metadata store that all instances follow: how far this instance has applied it, and the newest record
/// of each key in encoded form, for instances whose reads fail. Thread-safe.
class FollowedTopic {
public:
    /// `lagTolerance`: time for which another instance may be ahead before this one requests its records.
    explicit FollowedTopic(Duration lagTolerance)
        : lag(lagTolerance)
    {
    }

    /// Replaces all records by the newest ones before `end`.
    void replace(const std::vector<StoreRecord>& records, Offset end);
    void add(const StoreRecord& record);
    /// Records an answer of the store: all records before `end` have been delivered.
    void recordRead(Offset end, TimePoint now);
    /// Records what another instance has applied. Returns whether this one should request its records.
    bool recordReported(Offset end, TimePoint now);
    /// Returns the offset after the last record; invalid when there is none.
    Offset end() const;
    TopicState state() const;
    /// Returns the time since the store last answered a read in milliseconds, or "never".
    std::string ageText(TimePoint now) const;

private:
    mutable std::mutex mutex;
    std::map<std::string, std::string> newest;
    ReadLag lag;
    std::optional<TimePoint> readAt;
};

} // namespace peridotramp
