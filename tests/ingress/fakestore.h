#pragma once

#include "peridotramp/store.h"

#include <algorithm>
#include <list>

namespace peridotramp {

/// Metadata store in memory. While it is unavailable, calls fail: at once, or after a delay with an unknown outcome.
class FakeStore {
public:
    enum class Mode : std::uint8_t { Serving, Refusing, Silent, Count };

    explicit FakeStore(Runtime& runtime)
        : runtime(runtime)
    {
    }

    void setMode(Mode mode)
    {
        const std::scoped_lock lock(this->mutex);
        this->mode = mode;
    }

    /// Delays the answers to appends, which still take effect immediately.
    void setAppendDelay(Milliseconds delay)
    {
        const std::scoped_lock lock(this->mutex);
        this->appendDelay = delay;
    }

    /// Refuses appends with a record whose key and value have more bytes together.
    void setMaxRecordBytes(std::size_t bytes)
    {
        const std::scoped_lock lock(this->mutex);
        this->maxRecordBytes = bytes;
    }

    void put(StoreTopic topic, StorePartition partition, std::string key, std::string value)
    {
        const std::scoped_lock lock(this->mutex);
        this->addRecord(topic, partition, { std::move(key), std::move(value), {} });
    }

    std::size_t keyCount(StoreTopic topic)
    {
        const std::scoped_lock lock(this->mutex);
        std::size_t count = 0;
        for (const auto& [place, log] : this->logs)
            count += place.first == topic ? log.newest.size() : 0;
        return count;
    }

    /// Returns whether a partition of the topic has a newest record with the key.
    bool contains(StoreTopic topic, const std::string& key)
    {
        const std::scoped_lock lock(this->mutex);
        return std::ranges::any_of(this->logs,
            [&](const auto& entry) { return entry.first.first == topic && entry.second.newest.contains(key); });
    }

    /// Returns the newest value of a key; empty when there is none.
    std::string newest(StoreTopic topic, const std::string& key)
    {
        const std::scoped_lock lock(this->mutex);
        for (const auto& [place, log] : this->logs) {
            const auto found = log.newest.find(key);
            if (place.first == topic && found != log.newest.end())
                return found->second.value;
        }
        return {};
    }

    MetadataStore client()
    {
        MetadataStore store;
        store.checkSize = [](std::size_t keyBytes, std::size_t valueBytes) {
            constexpr std::size_t maxBytes = 262'144;
            return keyBytes + valueBytes > maxBytes ? Status(Error { ErrorKind::RecordRefused, Outcome::NotRun })
                                                    : Status(std::monostate {});
        };
        store.append
            = [this](StoreTopic topic, StorePartition partition, const std::vector<StoreRecord>& records,
                  MetadataStore::AppendHook hook) { this->append(topic, partition, records, std::move(hook)); };
        store.read = [this](StoreTopic topic, StorePartition partition, Offset from, Milliseconds wait,
                         MetadataStore::ReadHook hook) {
            this->read(topic, partition, from, RuntimeClock::now() + wait, std::move(hook));
        };
        store.newest = [this](StoreTopic topic, StorePartition partition, const std::string&,
                           MetadataStore::PageHook hook) { this->newest(topic, partition, std::move(hook)); };
        return store;
    }

private:
    struct Log {
        std::vector<StoreRecord> records;
        std::map<std::string, StoreRecord> newest;
    };
    using Place = std::pair<StoreTopic, StorePartition>;

    void addRecord(StoreTopic topic, StorePartition partition, StoreRecord record)
    {
        auto& log = this->logs[{ topic, partition }];
        record.offset = { log.records.size() };
        if (record.value.empty())
            log.newest.erase(record.key);
        else
            log.newest[record.key] = record;
        log.records.push_back(std::move(record));
    }

    // Returns whether the store is unavailable; the call then fails.
    template <typename Hook> bool isUnavailable(const Hook& hook)
    {
        if (this->mode == Mode::Serving)
            return false;
        const auto outcome = this->mode == Mode::Refusing ? Outcome::NotRun : Outcome::Unknown;
        const auto delay = this->mode == Mode::Refusing ? Milliseconds(1) : Milliseconds(300);
        this->runtime.after(delay, [hook, outcome] { hook(Error { ErrorKind::LogUnavailable, outcome }); });
        return true;
    }

    void append(StoreTopic topic, StorePartition partition, const std::vector<StoreRecord>& records,
        MetadataStore::AppendHook hook)
    {
        const std::scoped_lock lock(this->mutex);
        if (this->isUnavailable(hook))
            return;
        const bool isTooLarge = std::ranges::any_of(records,
            [&](const StoreRecord& record) { return record.key.size() + record.value.size() > this->maxRecordBytes; });
        if (isTooLarge) {
            this->runtime.post([hook = std::move(hook)] { hook(Error { ErrorKind::RecordRefused, Outcome::NotRun }); });
            return;
        }
        const Offset first { this->logs[{ topic, partition }].records.size() };
        for (const auto& record : records)
            this->addRecord(topic, partition, record);
        if (this->appendDelay > Milliseconds(0))
            this->runtime.after(this->appendDelay, [hook = std::move(hook), first] { hook(first); });
        else
            this->runtime.post([hook = std::move(hook), first] { hook(first); });
    }

    void read(StoreTopic topic, StorePartition partition, Offset from, TimePoint deadline,
        const MetadataStore::ReadHook& hook)
    {
        const std::scoped_lock lock(this->mutex);
        if (this->isUnavailable(hook))
            return;
        const auto& log = this->logs[{ topic, partition }];
        StoreRead result;
        result.end = { log.records.size() };
        result.next = result.end;
        for (auto index = from.value; index < log.records.size(); ++index)
            result.records.push_back(log.records[index]);
        if (result.records.empty() && RuntimeClock::now() < deadline) {
            this->runtime.after(Milliseconds(5),
                [this, topic, partition, from, deadline, hook] { this->read(topic, partition, from, deadline, hook); });
            return;
        }
        this->runtime.post([hook, result = std::move(result)] { hook(result); });
    }

    void newest(StoreTopic topic, StorePartition partition, const MetadataStore::PageHook& hook)
    {
        const std::scoped_lock lock(this->mutex);
        if (this->isUnavailable(hook))
            return;
        const auto& log = this->logs[{ topic, partition }];
        StorePage page;
        page.end = { log.records.size() };
        for (const auto& [key, record] : log.newest)
            page.records.push_back(record);
        this->runtime.post([hook, page = std::move(page)] { hook(page); });
    }

    Runtime& runtime;
    std::mutex mutex;
    Mode mode = Mode::Serving;
    Milliseconds appendDelay { 0 };
    std::size_t maxRecordBytes = std::numeric_limits<std::size_t>::max();
    std::map<Place, Log> logs;
};

} // namespace peridotramp
