#pragma once

#include "peridotramp/async.h"
#include "peridotramp/runtime.h"

#include <set>

namespace peridotramp {

/// Topics of the metadata store that the system reads or writes. All are compacted by key: the newest record
/// of each key is kept.
enum class StoreTopic : std::uint8_t {
    /// Written by operators: the desired state and evacuations. One partition.
    DesiredState,
    /// Written by endpoints: one record each. One partition.
    Endpoints,
    /// Addresses of instances, by name. Partition 0.
    Members,
    /// Turns of conversations; each instance writes to the partition of its name.
    Turns,
    /// Reserved tokens of programs, in the partition of the program.
    TokenReservations,
    Count
};

struct StoreRecord {
    std::string key;
    /// An empty value deletes the key.
    std::string value;
    Offset offset {};
};

/// Result of one read from a partition.
struct StoreRead {
    std::vector<StoreRecord> records;
    /// Offset after the last record that was read or skipped.
    Offset next { 0 };
    /// End offset of the partition at the time of the read.
    Offset end { 0 };
    /// Whether records at the requested offset have been deleted, so that a new snapshot is needed.
    bool gap = false;
};

/// One page of the newest records of a partition, one record per key.
struct StorePage {
    std::vector<StoreRecord> records;
    Offset end { 0 };
    /// Whether another page follows; it starts after the last key of this one.
    bool more = false;
};

/// Calls of the metadata store. Errors: `LogUnavailable`, with outcome `NotRun` only when the call certainly had no
/// effect; `RecordRefused` when the store does not accept an append and would refuse each repetition of it.
struct MetadataStore {
    using AppendHook = std::function<void(Result<Offset>)>;
    using ReadHook = std::function<void(Result<StoreRead>)>;
    using PageHook = std::function<void(Result<StorePage>)>;

    /// Appends records atomically. Result: the offset of the first one.
    std::function<void(StoreTopic, StorePartition, const std::vector<StoreRecord>&, AppendHook)> append;
    /// Reads from an offset; long-polls for up to `wait` when there is no record.
    std::function<void(StoreTopic, StorePartition, Offset from, Milliseconds wait, ReadHook)> read;
    /// Reads a page of the newest records, starting after the key `after`.
    std::function<void(StoreTopic, StorePartition, const std::string& after, PageHook)> newest;
    /// Returns `RecordRefused`, with the bound in its detail, when no append can store a record with a key and a value
    /// of these sizes in bytes. Accepts all sizes unless it is set.
    std::function<Status(std::size_t keyBytes, std::size_t valueBytes)> checkSize
        = [](std::size_t, std::size_t) { return Status(std::monostate {}); };

    /// Returns whether the sizes of a record are within the bounds of the store.
    bool accepts(const StoreRecord& record) const
    {
        return this->checkSize(record.key.size(), record.value.size()).hasValue();
    }
};

/// Sends one HTTP request to the metadata store and returns the complete response.
using StoreTransport
    = std::function<void(HttpRequest, Milliseconds timeout, std::function<void(HttpResult, HttpResponse)>)>;

/// Tracks whether the metadata store answers the calls of this instance. Thread-safe.
class StoreHealth {
public:
    /// Records whether a call was answered, with the HTTP status; 0 when there was no complete answer.
    void recordResult(bool answered, unsigned status);
    bool isReachable() const { return this->reachable; }
    /// Returns the time since the last failed call; `Duration::max()` when none has failed.
    Duration timeSinceFailure() const;

private:
    std::atomic<bool> reachable = true;
    std::atomic<TimePoint> lastFailure { TimePoint {} };
};

/// Callbacks of `followStore`; its settings are in `Init`.
struct StoreFollower {
    struct Init {
        StoreTopic topic = StoreTopic::DesiredState;
        StorePartition partition;
        /// Long-poll time of a read.
        Milliseconds wait { 1000 };
        /// Delay after each successful read, which limits the rate of calls while records arrive often.
        Milliseconds pause { 0 };
        /// Bounds of the delay between retries while the store does not answer: exponential backoff with jitter.
        Milliseconds minRetryDelay { 100 };
        Milliseconds maxRetryDelay { 800 };
    };
    /// Receives the newest record of every key before `end`; other keys have been deleted.
    std::function<void(std::vector<StoreRecord>, Offset end)> onSnapshot;
    /// Receives records appended after the snapshot.
    std::function<void(std::vector<StoreRecord>)> onRecords;
    /// Called after each answer of the store whose records have been delivered, with the offset after them. Optional.
    std::function<void(Offset next)> onRead {};
    /// Returns the offset before which all records are known, also from elsewhere; invalid when none is. The follower
    /// goes on there and delivers nothing that is older. Called on the follower's executor. Optional.
    std::function<Offset()> knownEnd {};
};

/// Follows one partition until the runtime stops: reads a snapshot, then the records appended after it. `store` must
/// outlive the runtime's threads, and the context of `executor` must outlive whatever calls the hooks of `store`,
/// because a pending answer refers to the follower.
void followStore(const asio::any_io_executor& executor, const MetadataStore& store, StoreFollower::Init init,
    StoreFollower follower);

/// Reads all pages of the newest records. Tries a page after the first again a few times, with a backoff, before it
/// fails. Returns the offset from which to continue without missing a record. Runs on
/// `executor`.
asio::awaitable<Result<Offset>> readNewest(asio::any_io_executor executor, const MetadataStore& store, StoreTopic topic,
    StorePartition partition, std::function<void(std::vector<StoreRecord>)> onPage);

/// Callbacks of `readToEnd`.
struct StoreReadHooks {
    /// Called before the newest records of all keys are read, because no offset is known or the store has deleted
    /// records at it. Optional.
    std::function<void()> onRestart {};
    std::function<void(const std::vector<StoreRecord>&)> onRecords {};
};

/// Reads a partition from an offset, or from its start, up to the end that it has at that time. Returns the offset from
/// which to continue. Runs on `executor`.
asio::awaitable<Result<Offset>> readToEnd(asio::any_io_executor executor, const MetadataStore& store, StoreTopic topic,
    StorePartition partition, std::optional<Offset> from, StoreReadHooks hooks);

/// Appends the records of many callers in batches: records written while an append is in progress go into the next one.
/// Thread-safe.
class StoreWriter {
public:
    struct Init {
        StoreTopic topic = StoreTopic::Turns;
        StorePartition partition;
        std::size_t maxBatchBytes = std::size_t { 512 } * 1024;
        Milliseconds minRetryDelay { 50 };
        Milliseconds maxRetryDelay { 800 };
        /// Upper bound on the size of the records not stored yet; a record that would exceed it is rejected.
        std::size_t maxWaitingBytes = std::size_t { 24 } * 1024 * 1024;
        /// Called for each record once it is stored. Optional.
        std::function<void(const StoreRecord&)> onStored {};
        /// Called for each record that the store refuses, instead of `onStored`. Optional.
        std::function<void(const StoreRecord&)> onRefused {};
    };
    /// Called once with whether the record is stored; false when it was rejected, or when the store refuses it.
    using StoredHook = std::function<void(bool stored)>;

    StoreWriter(Runtime& runtime, const MetadataStore& store, Init init);
    StoreWriter(const StoreWriter&) = delete;
    StoreWriter& operator=(const StoreWriter&) = delete;
    ~StoreWriter();

    /// Queues a record. It is appended again after a failed append, so storing it twice must be harmless. A record that
    /// the store refuses is dropped; the others of its append are appended without it.
    void write(StoreRecord record, const StoredHook& hook);
    /// Queues records without a hook, to go into as few appends as possible. Records that would exceed
    /// `maxWaitingBytes`, or whose size the store does not accept, are dropped. Returns whether all were queued.
    bool write(std::vector<StoreRecord> records);
    /// Returns the number of records not stored yet.
    std::size_t waiting() const;
    /// Returns the keys of the records not stored yet.
    std::set<std::string> waitingKeys() const;
    /// Returns the records not stored yet, the oldest first.
    std::vector<StoreRecord> waitingRecords() const;
    /// Returns the records not stored yet that have a value and a key greater than `after`, in the order of their keys;
    /// only the first ones of together at most `maxBytes`, but at least one.
    std::vector<StoreRecord> waitingRecordsAfter(const std::string& after, std::size_t maxBytes) const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

} // namespace peridotramp
