#include "peridotramp/store.h"

#include <algorithm>
#include <random>

namespace peridotramp {

namespace {

// Upper bound on the wait for one call of the store; the calls themselves have shorter timeouts.
constexpr Seconds maxCallWait { 10 };
// Attempts at one page after the first, and bounds of the delay between them.
constexpr int maxPageRetries = 5;
constexpr Milliseconds minPageRetryDelay { 100 };
constexpr Milliseconds maxPageRetryDelay { 800 };

class Backoff {
public:
    Backoff(Milliseconds minDelay, Milliseconds maxDelay)
        : minDelay(minDelay)
        , maxDelay(maxDelay)
        , nextDelay(minDelay)
    {
    }

    Duration takeDelay()
    {
        std::uniform_real_distribution<double> jitter(0.5, 1.0);
        const auto delay = std::chrono::duration_cast<Duration>(this->nextDelay * jitter(this->random));
        this->nextDelay = std::min(this->maxDelay, this->nextDelay * 2);
        return delay;
    }
    void reset() { this->nextDelay = this->minDelay; }

private:
    Milliseconds minDelay;
    Milliseconds maxDelay;
    Milliseconds nextDelay;
    std::minstd_rand random { std::random_device {}() };
};

Offset knownEnd(const StoreFollower& follower) { return follower.knownEnd ? follower.knownEnd() : Offset {}; }

Offset skipKnown(const StoreFollower& follower, Offset from)
{
    const auto known = knownEnd(follower);
    return known.isValid() ? std::max(from, known) : from;
}

void dropKnown(const StoreFollower& follower, std::vector<StoreRecord>& records)
{
    const auto known = knownEnd(follower);
    if (known.isValid())
        std::erase_if(records, [&](const StoreRecord& record) { return record.offset < known; });
}

void reportRead(const StoreFollower& follower, Offset next)
{
    if (follower.onRead)
        callGuarded("position in the metadata store", [&] { follower.onRead(next); });
}

asio::awaitable<void> follow(
    asio::any_io_executor executor, const MetadataStore& store, StoreFollower::Init init, StoreFollower follower)
{
    Backoff backoff(init.minRetryDelay, init.maxRetryDelay);
    Backoff deliveryBackoff(init.minRetryDelay, init.maxRetryDelay);
    std::optional<Offset> from;
    while (true) {
        if (!from) {
            auto records = std::make_shared<std::vector<StoreRecord>>();
            const std::function<void(std::vector<StoreRecord>)> collect
                = [records](std::vector<StoreRecord> page) { std::ranges::move(page, std::back_inserter(*records)); };
            const auto end = co_await readNewest(executor, store, init.topic, init.partition, collect);
            if (!end) {
                co_await sleepFor(executor, backoff.takeDelay());
                continue;
            }
            from = skipKnown(follower, *end);
            // A store that lags behind returns a snapshot from before what is known.
            bool delivered = true;
            if (*from == *end)
                delivered = callGuarded(
                    "snapshot of the metadata store", [&] { follower.onSnapshot(std::move(*records), *end); });
            if (!delivered) {
                from.reset();
                co_await sleepFor(executor, deliveryBackoff.takeDelay());
                continue;
            }
            reportRead(follower, *from);
        }
        from = skipKnown(follower, *from);
        const std::function<void(MetadataStore::ReadHook)> start = [&](MetadataStore::ReadHook hook) {
            store.read(init.topic, init.partition, *from, init.wait, std::move(hook));
        };
        auto read = co_await awaitResult<Result<StoreRead>>(executor, RuntimeClock::now() + maxCallWait, start);
        if (!read || !*read) {
            co_await sleepFor(executor, backoff.takeDelay());
            continue;
        }
        backoff.reset();
        auto& content = read->value();
        if (content.gap) {
            from.reset();
            continue;
        }
        // A store that lags behind may report an offset before what was read earlier.
        if (content.next > *from) {
            from = content.next;
            dropKnown(follower, content.records);
            const bool delivered
                = callGuarded("records of the metadata store", [&] { follower.onRecords(std::move(content.records)); });
            // The records after the one that failed would be lost; the newest records include them.
            if (!delivered) {
                from.reset();
                co_await sleepFor(executor, deliveryBackoff.takeDelay());
                continue;
            }
            deliveryBackoff.reset();
        }
        reportRead(follower, *from);
        if (init.pause > Milliseconds(0))
            co_await sleepFor(executor, init.pause);
    }
}

} // namespace

void StoreHealth::recordResult(bool answered, unsigned status)
{
    if (!answered)
        this->lastFailure = RuntimeClock::now();
    if (this->reachable.exchange(answered) != answered)
        log(answered ? LogLevel::Info : LogLevel::Warning,
            answered ? "metadata store reachable" : "metadata store unreachable",
            { { "status", std::int64_t { status } } });
}

Duration StoreHealth::timeSinceFailure() const
{
    const auto failed = this->lastFailure.load();
    return failed == TimePoint {} ? Duration::max() : RuntimeClock::now() - failed;
}

asio::awaitable<Result<Offset>> readNewest(asio::any_io_executor executor, const MetadataStore& store, StoreTopic topic,
    StorePartition partition, std::function<void(std::vector<StoreRecord>)> onPage)
{
    std::optional<Offset> end;
    std::string after;
    Backoff backoff(minPageRetryDelay, maxPageRetryDelay);
    int failures = 0;
    while (true) {
        const std::function<void(MetadataStore::PageHook)> start
            = [&](MetadataStore::PageHook hook) { store.newest(topic, partition, after, std::move(hook)); };
        auto page = co_await awaitResult<Result<StorePage>>(executor, RuntimeClock::now() + maxCallWait, start);
        if (!page || !*page) {
            // A later page is tried again by itself: while the store is overloaded, reading all pages again would
            // hardly ever reach the last one and keep the store overloaded.
            if (!end || ++failures > maxPageRetries)
                co_return page ? Result<Offset>(page->error()) : Result<Offset>(Error { ErrorKind::LogUnavailable });
            co_await sleepFor(executor, backoff.takeDelay());
            continue;
        }
        failures = 0;
        backoff.reset();
        auto& content = page->value();
        // Pages are read at different times; continuing from the end offset of the first one misses no record.
        if (!end)
            end = content.end;
        const bool more = content.more && !content.records.empty();
        if (more)
            after = content.records.back().key;
        onPage(std::move(content.records));
        if (!more)
            co_return Result<Offset>(*end);
    }
}

asio::awaitable<Result<Offset>> readToEnd(asio::any_io_executor executor, const MetadataStore& store, StoreTopic topic,
    StorePartition partition, std::optional<Offset> from, StoreReadHooks hooks)
{
    while (true) {
        if (!from) {
            if (hooks.onRestart)
                hooks.onRestart();
            const auto end = co_await readNewest(executor, store, topic, partition, hooks.onRecords);
            co_return end;
        }
        const std::function<void(MetadataStore::ReadHook)> start = [&](MetadataStore::ReadHook hook) {
            store.read(topic, partition, *from, Milliseconds(0), std::move(hook));
        };
        const auto read = co_await awaitResult<Result<StoreRead>>(executor, RuntimeClock::now() + maxCallWait, start);
        if (!read || !*read)
            co_return read ? Result<Offset>(read->error()) : Result<Offset>(Error { ErrorKind::LogUnavailable });
        const auto& content = read->value();
        if (content.gap) {
            from.reset();
            continue;
        }
        hooks.onRecords(content.records);
        // A store that lags behind may report an offset before what was read earlier.
        const bool isAtEnd = content.next >= content.end || content.next <= *from;
        from = std::max(*from, content.next);
        if (isAtEnd)
            co_return Result<Offset>(*from);
    }
}

void followStore(
    const asio::any_io_executor& executor, const MetadataStore& store, StoreFollower::Init init, StoreFollower follower)
{
    asio::co_spawn(
        executor, follow(executor, store, init, std::move(follower)), reportErrors("following the metadata store"));
}

} // namespace peridotramp
