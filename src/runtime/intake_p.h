#pragma once

#include "peridotramp/core.h"

#include <functional>
#include <map>
#include <set>

namespace peridotramp {

/// Bounds the memory that all callers of a server together may occupy with what they have sent. Thread-safe.
///
/// An entry is a connection that has not completed a request yet, or a request that is being read or served. While the
/// sum of all entries exceeds the bound, the oldest entry that is not pinned is evicted: ordinary requests are complete
/// soon after their first byte, so they are rarely the oldest. An evicted entry counts until its owner removes it,
/// because its memory is freed only then; while such memory doubles the bound, nothing more is reserved. One lock
/// guards all entries, because the sum concerns all connections.
class Intake {
public:
    using Key = std::uint64_t;

    explicit Intake(std::size_t maxBytes)
        : maxBytes(maxBytes)
    {
    }

    /// Adds an entry. `evict` is called at most once, on any thread and with no lock held; the owner then frees its
    /// memory and removes the entry.
    Key add(std::size_t bytes, std::function<void()> evict);
    /// Sets the size of an entry, before the memory is allocated. Returns false when the entry is evicted; the owner
    /// must then not allocate it.
    bool reserve(Key key, std::size_t bytes);
    /// Sets the size of an entry after memory has been freed.
    void shrink(Key key, std::size_t bytes);
    /// Exempts an entry from eviction; returns false when it has been evicted before.
    bool pin(Key key);
    void remove(Key key);
    /// Evicts the oldest entry that is not pinned; returns false when there is none.
    bool evictOldest();
    /// Returns the sum of the sizes of all entries.
    std::size_t bytes() const;

private:
    struct Entry {
        std::size_t bytes = 0;
        bool evicted = false;
        std::function<void()> evict;
    };
    using Evictions = std::vector<std::function<void()>>;

    // The lock must be held.
    void setBytes(Entry& entry, std::size_t bytes);
    void evict(Key key, Evictions& evictions);
    void evictExcess(Evictions& evictions);

    const std::size_t maxBytes;
    mutable std::mutex mutex;
    Key lastKey = 0;
    // Sizes of all entries, and of those among them that are evicted.
    std::size_t total = 0;
    std::size_t evictedTotal = 0;
    std::map<Key, Entry> entries;
    // Keys of the entries that may be evicted; a lower key is older.
    std::set<Key> evictable;
};

} // namespace peridotramp
