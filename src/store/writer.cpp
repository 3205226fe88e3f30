#include "peridotramp/store.h"

#include <algorithm>

namespace peridotramp {

namespace {

struct WaitingRecord {
    StoreRecord record;
    StoreWriter::StoredHook hook;
};

constexpr auto unlimitedRecords = std::numeric_limits<std::size_t>::max();

std::size_t sizeOf(const StoreRecord& record) { return record.key.size() + record.value.size(); }

} // namespace

struct StoreWriter::Impl : std::enable_shared_from_this<StoreWriter::Impl> {
    Impl(Runtime& runtime, const MetadataStore& store, Init init)
        : runtime(runtime)
        , store(store)
        , init(std::move(init))
        , retryDelay(0)
    {
    }

    // Returns false when the record would exceed `maxWaitingBytes`, or is too large for the store.
    bool add(StoreRecord record, StoredHook hook);
    void startAppend();
    // Moves waiting records into the empty batch, as many as one append may carry. The lock must be held.
    void fillBatch();
    void finishAppend(const Result<Offset>& result);
    // Returns all records of the batch, which is over. The lock must be held.
    std::vector<WaitingRecord> takeBatch();
    // Puts half of the batch back, to find the record that the store refuses. Returns that record once it is alone. The
    // lock must be held.
    std::vector<WaitingRecord> narrowRefusedBatch();
    void reportStored(const std::vector<WaitingRecord>& entries) const;
    void reportRefused(const std::vector<WaitingRecord>& entries, const Error& error) const;
    void endRetryDelay();

    Runtime& runtime;
    const MetadataStore& store;
    Init init;
    mutable std::mutex mutex {};
    std::deque<WaitingRecord> waiting {};
    std::vector<WaitingRecord> batch {};
    // Size of the waiting records and of the batch.
    std::size_t waitingBytes = 0;
    // Maximum number of records in a batch; lower after the store has refused one, until it has accepted others.
    std::size_t maxBatchRecords = unlimitedRecords;
    bool appending = false;
    // Whether the retry of a failed append is scheduled; a new record does not shorten the delay.
    bool retryScheduled = false;
    bool stopped = false;
    Milliseconds retryDelay;
};

void StoreWriter::Impl::fillBatch()
{
    std::size_t bytes = 0;
    while (!this->waiting.empty() && this->batch.size() < this->maxBatchRecords) {
        bytes += sizeOf(this->waiting.front().record);
        if (!this->batch.empty() && bytes > this->init.maxBatchBytes)
            break;
        this->batch.push_back(std::move(this->waiting.front()));
        this->waiting.pop_front();
    }
}

void StoreWriter::Impl::startAppend()
{
    std::vector<StoreRecord> records;
    {
        const std::scoped_lock lock(this->mutex);
        if (this->stopped || this->appending || this->retryScheduled || (this->waiting.empty() && this->batch.empty()))
            return;
        this->appending = true;
        // A failed batch is retried unchanged; with further records it could exceed the largest call the store accepts.
        if (this->batch.empty())
            this->fillBatch();
        std::ranges::transform(this->batch, std::back_inserter(records), &WaitingRecord::record);
    }
    this->store.append(this->init.topic, this->init.partition, records,
        [self = this->shared_from_this()](const Result<Offset>& result) { self->finishAppend(result); });
}

std::vector<WaitingRecord> StoreWriter::Impl::takeBatch()
{
    auto finished = std::exchange(this->batch, {});
    for (const auto& entry : finished)
        this->waitingBytes -= sizeOf(entry.record);
    return finished;
}

std::vector<WaitingRecord> StoreWriter::Impl::narrowRefusedBatch()
{
    if (this->batch.size() == 1) {
        this->maxBatchRecords = unlimitedRecords;
        return this->takeBatch();
    }
    this->maxBatchRecords = this->batch.size() / 2;
    const auto middle = this->batch.begin() + static_cast<std::ptrdiff_t>(this->maxBatchRecords);
    this->waiting.insert(this->waiting.begin(), std::move_iterator(middle), std::move_iterator(this->batch.end()));
    this->batch.erase(middle, this->batch.end());
    return {};
}

void StoreWriter::Impl::reportStored(const std::vector<WaitingRecord>& entries) const
{
    for (const auto& entry : entries) {
        if (this->init.onStored)
            this->init.onStored(entry.record);
        if (entry.hook)
            entry.hook(true);
    }
}

void StoreWriter::Impl::reportRefused(const std::vector<WaitingRecord>& entries, const Error& error) const
{
    for (const auto& entry : entries) {
        log(LogLevel::Error, "record dropped; the metadata store refuses it",
            { { "topic", std::int64_t { static_cast<std::uint8_t>(this->init.topic) } },
                { "partition", this->init.partition.value }, { "key", entry.record.key },
                { "value_bytes", std::uint64_t { entry.record.value.size() } }, { "reason", error.message() } });
        if (this->init.onRefused)
            this->init.onRefused(entry.record);
        if (entry.hook)
            entry.hook(false);
    }
}

void StoreWriter::Impl::finishAppend(const Result<Offset>& result)
{
    const bool isRefused = !result && result.error().kind == ErrorKind::RecordRefused;
    std::vector<WaitingRecord> stored;
    std::vector<WaitingRecord> refused;
    Milliseconds delay { 0 };
    {
        const std::scoped_lock lock(this->mutex);
        this->appending = false;
        if (result) {
            stored = this->takeBatch();
            this->retryDelay = Milliseconds(0);
            if (this->maxBatchRecords < unlimitedRecords / 2)
                this->maxBatchRecords *= 2;
        } else if (isRefused) {
            refused = this->narrowRefusedBatch();
        } else {
            // The first retry is immediate: only the connection may have been dead, not the store.
            delay = this->retryDelay;
            this->retryScheduled = true;
            this->retryDelay
                = std::min(this->init.maxRetryDelay, std::max(this->init.minRetryDelay, this->retryDelay * 2));
        }
    }
    this->reportStored(stored);
    if (isRefused)
        this->reportRefused(refused, result.error());
    if (result || isRefused)
        this->startAppend();
    else
        this->runtime.after(delay, [self = this->shared_from_this()] { self->endRetryDelay(); });
}

void StoreWriter::Impl::endRetryDelay()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->retryScheduled = false;
    }
    this->startAppend();
}

StoreWriter::StoreWriter(Runtime& runtime, const MetadataStore& store, Init init)
    : impl(std::make_shared<Impl>(runtime, store, std::move(init)))
{
}

StoreWriter::~StoreWriter()
{
    const std::scoped_lock lock(this->impl->mutex);
    this->impl->stopped = true;
}

bool StoreWriter::Impl::add(StoreRecord record, StoredHook hook)
{
    if (!this->store.accepts(record))
        return false;
    const std::scoped_lock lock(this->mutex);
    if (this->waitingBytes + sizeOf(record) > this->init.maxWaitingBytes)
        return false;
    this->waitingBytes += sizeOf(record);
    this->waiting.push_back({ std::move(record), std::move(hook) });
    return true;
}

void StoreWriter::write(StoreRecord record, const StoredHook& hook)
{
    if (this->impl->add(std::move(record), hook))
        this->impl->startAppend();
    else if (hook)
        hook(false);
}

bool StoreWriter::write(std::vector<StoreRecord> records)
{
    const auto dropped = std::ranges::count_if(
        records, [&](StoreRecord& record) { return !this->impl->add(std::move(record), nullptr); });
    if (dropped > 0)
        log(LogLevel::Warning, "records for the metadata store dropped; write queue is full, or records too large",
            { { "dropped", std::int64_t { dropped } } });
    this->impl->startAppend();
    return dropped == 0;
}

std::size_t StoreWriter::waiting() const
{
    const std::scoped_lock lock(this->impl->mutex);
    return this->impl->waiting.size() + this->impl->batch.size();
}

std::set<std::string> StoreWriter::waitingKeys() const
{
    const std::scoped_lock lock(this->impl->mutex);
    std::set<std::string> keys;
    const auto keyOf = [](const WaitingRecord& entry) { return entry.record.key; };
    std::ranges::transform(this->impl->batch, std::inserter(keys, keys.end()), keyOf);
    std::ranges::transform(this->impl->waiting, std::inserter(keys, keys.end()), keyOf);
    return keys;
}

std::vector<StoreRecord> StoreWriter::waitingRecordsAfter(const std::string& after, std::size_t maxBytes) const
{
    const std::scoped_lock lock(this->impl->mutex);
    std::vector<const StoreRecord*> found;
    const auto collect = [&](const auto& entries) {
        for (const auto& entry : entries) {
            if (!entry.record.value.empty() && entry.record.key > after)
                found.push_back(&entry.record);
        }
    };
    collect(this->impl->batch);
    collect(this->impl->waiting);
    std::ranges::sort(found, {}, [](const StoreRecord* record) -> const std::string& { return record->key; });
    std::size_t bytes = 0;
    const auto end = std::ranges::find_if(found, [&](const StoreRecord* record) {
        const bool isFirst = bytes == 0;
        bytes += sizeOf(*record);
        return !isFirst && bytes > maxBytes;
    });
    std::vector<StoreRecord> page;
    std::transform(found.begin(), end, std::back_inserter(page), [](const StoreRecord* record) { return *record; });
    return page;
}

std::vector<StoreRecord> StoreWriter::waitingRecords() const
{
    const std::scoped_lock lock(this->impl->mutex);
    std::vector<StoreRecord> records;
    std::ranges::transform(this->impl->batch, std::back_inserter(records), &WaitingRecord::record);
    std::ranges::transform(this->impl->waiting, std::back_inserter(records), &WaitingRecord::record);
    return records;
}

} // namespace peridotramp
