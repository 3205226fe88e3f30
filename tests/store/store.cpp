#include "../ingress/fakestore.h"
#include "../soon.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>

using namespace peridotramp;

namespace {

struct Fixture {
    Fixture() { this->runtime.start(); }
    ~Fixture() { this->runtime.stop(); }

    Runtime runtime { { 2 } };
    FakeStore fake { this->runtime };
    MetadataStore store = this->fake.client();
};

} // namespace

// Guards against records that are lost or delivered twice between the snapshot and the first read after it.
TEST_CASE("a follower receives the newest records, then each appended one")
{
    // Outlives the runtime, whose pending answers still refer to the follower.
    asio::thread_pool pool(1);
    Fixture fixture;
    fixture.fake.put(StoreTopic::Members, {}, "a", "1");
    fixture.fake.put(StoreTopic::Members, {}, "a", "2");
    std::mutex mutex;
    std::vector<std::string> seen;
    StoreFollower follower;
    const auto collect = [&](const std::vector<StoreRecord>& records) {
        const std::scoped_lock lock(mutex);
        for (const auto& record : records)
            seen.push_back(record.key + record.value);
    };
    follower.onSnapshot = [&](const std::vector<StoreRecord>& records, Offset) { collect(records); };
    follower.onRecords = collect;
    StoreFollower::Init init;
    init.topic = StoreTopic::Members;
    followStore(asio::make_strand(pool), fixture.store, init, std::move(follower));
    const auto sawAll = [&](const std::vector<std::string>& expected) {
        return eventually([&] {
            const std::scoped_lock lock(mutex);
            return seen == expected;
        });
    };
    REQUIRE(sawAll({ "a2" }));
    fixture.fake.put(StoreTopic::Members, {}, "b", "1");
    REQUIRE(sawAll({ "a2", "b1" }));
    fixture.fake.setMode(FakeStore::Mode::Refusing);
    fixture.fake.put(StoreTopic::Members, {}, "c", "1");
    std::this_thread::sleep_for(Milliseconds(50));
    fixture.fake.setMode(FakeStore::Mode::Serving);
    REQUIRE(sawAll({ "a2", "b1", "c1" }));
    pool.stop();
    pool.join();
}

// Guards against a store that lags behind and takes an instance back to records older than it knows from others.
TEST_CASE("a follower delivers nothing that is older than what is known from elsewhere")
{
    asio::thread_pool pool(1);
    Fixture fixture;
    constexpr std::uint64_t known = 5;
    std::promise<Offset> readFrom;
    std::atomic<int> snapshots = 0;
    std::atomic<std::uint64_t> firstDelivered = 0;
    MetadataStore store;
    store.newest = [](StoreTopic, StorePartition, const std::string&, const MetadataStore::PageHook& hook) {
        hook(StorePage { { { "key", "old", { 2 } } }, { 3 }, false });
    };
    std::atomic<int> reads = 0;
    store.read = [&](StoreTopic, StorePartition, Offset from, Milliseconds, const MetadataStore::ReadHook& hook) {
        if (++reads > 1)
            return;
        readFrom.set_value(from);
        StoreRead read;
        read.records = { { "key", "older", { known - 1 } }, { "key", "newer", { known } } };
        read.next = { known + 1 };
        read.end = read.next;
        hook(std::move(read));
    };
    std::promise<std::size_t> delivered;
    StoreFollower follower;
    follower.onSnapshot = [&](const std::vector<StoreRecord>&, Offset) { ++snapshots; };
    follower.onRecords = [&](const std::vector<StoreRecord>& records) {
        firstDelivered = records.front().offset.value;
        delivered.set_value(records.size());
    };
    follower.knownEnd = [] { return Offset { known }; };
    followStore(asio::make_strand(pool), store, {}, std::move(follower));
    REQUIRE(readFrom.get_future().get() == Offset { known });
    REQUIRE(delivered.get_future().get() == 1);
    REQUIRE(firstDelivered == known);
    REQUIRE(snapshots == 0);
    pool.stop();
    pool.join();
}

// Guards against records that are lost for good because the handler of an earlier one in the same read failed: the
// instance would keep an older desired state until the next change.
TEST_CASE("a follower delivers the newest records again after a handler has failed")
{
    asio::thread_pool pool(1);
    Fixture fixture;
    fixture.fake.put(StoreTopic::Members, {}, "a", "1");
    std::atomic<int> snapshots = 0;
    std::atomic<bool> failed = false;
    std::atomic<bool> sawNewest = false;
    StoreFollower follower;
    follower.onSnapshot = [&](const std::vector<StoreRecord>& records, Offset) {
        ++snapshots;
        sawNewest = sawNewest || records.size() == 2;
    };
    follower.onRecords = [&](const std::vector<StoreRecord>&) {
        failed = true;
        throw std::runtime_error("handler failed");
    };
    StoreFollower::Init init;
    init.topic = StoreTopic::Members;
    followStore(asio::make_strand(pool), fixture.store, init, std::move(follower));
    REQUIRE(eventually([&] { return snapshots == 1; }));
    fixture.fake.put(StoreTopic::Members, {}, "b", "1");
    REQUIRE(eventually([&] { return failed.load(); }));
    REQUIRE(eventually([&] { return sawNewest.load(); }));
    pool.stop();
    pool.join();
}

// Guards against an overloaded store that is kept overloaded: with a chance of one half for each page, reading all
// pages again after a failure would hardly ever reach the last of them.
TEST_CASE("a page of the newest records that fails is read again without the pages before it")
{
    constexpr int pages = 12;
    Fixture fixture;
    asio::thread_pool pool(1);
    std::atomic<int> calls = 0;
    MetadataStore store;
    store.newest = [&](StoreTopic, StorePartition, const std::string& after, const MetadataStore::PageHook& hook) {
        const int number = after.empty() ? 0 : std::stoi(after) + 1;
        // Every second call fails.
        if (++calls % 2 == 0) {
            hook(Error { ErrorKind::LogUnavailable, Outcome::NotRun });
            return;
        }
        hook(StorePage { { { std::to_string(number), "x", {} } }, { 40 }, number + 1 < pages });
    };
    std::promise<std::pair<bool, std::size_t>> done;
    std::size_t records = 0;
    const std::function<void(std::vector<StoreRecord>)> onPage
        = [&](const std::vector<StoreRecord>& page) { records += page.size(); };
    const auto executor = asio::make_strand(pool);
    asio::co_spawn(
        executor,
        [&]() -> asio::awaitable<void> {
            const auto end = co_await readNewest(executor, store, StoreTopic::Turns, {}, onPage);
            done.set_value({ end && *end == Offset { 40 }, records });
        },
        asio::detached);
    const auto [read, count] = done.get_future().get();
    pool.join();
    REQUIRE(read);
    REQUIRE(count == pages);
    REQUIRE(calls <= 2 * pages);
}

// Guards against a request that waits for a store that does not answer at all.
TEST_CASE("the first page of the newest records is not tried again")
{
    Fixture fixture;
    asio::thread_pool pool(1);
    std::atomic<int> calls = 0;
    MetadataStore store;
    store.newest = [&](StoreTopic, StorePartition, const std::string&, const MetadataStore::PageHook& hook) {
        ++calls;
        hook(Error { ErrorKind::LogUnavailable, Outcome::NotRun });
    };
    std::promise<bool> done;
    const std::function<void(std::vector<StoreRecord>)> onPage = [](const std::vector<StoreRecord>&) { };
    const auto executor = asio::make_strand(pool);
    asio::co_spawn(
        executor,
        [&]() -> asio::awaitable<void> {
            const auto end = co_await readNewest(executor, store, StoreTopic::Turns, {}, onPage);
            done.set_value(end.hasValue());
        },
        asio::detached);
    REQUIRE_FALSE(done.get_future().get());
    pool.join();
    REQUIRE(calls == 1);
}

// Guards against turns that are left out, or sent again and again, when they are handed over in pages.
TEST_CASE("the records that are not stored yet can be read in pages, ordered by key")
{
    Fixture fixture;
    fixture.fake.setMode(FakeStore::Mode::Refusing);
    StoreWriter writer(fixture.runtime, fixture.store, {});
    for (const auto* key : { "d", "a", "c", "b" })
        writer.write({ key, std::string(100, 'x'), {} }, nullptr);
    writer.write({ "deleted", {}, {} }, nullptr);
    const auto keysAfter = [&](const std::string& after, std::size_t maxBytes) {
        std::string keys;
        for (const auto& record : writer.waitingRecordsAfter(after, maxBytes))
            keys += record.key;
        return keys;
    };
    REQUIRE(keysAfter("", 1000) == "abcd");
    REQUIRE(keysAfter("", 202) == "ab");
    REQUIRE(keysAfter("b", 202) == "cd");
    REQUIRE(keysAfter("d", 1000).empty());
    // A record larger than a page is a page of its own.
    REQUIRE(keysAfter("a", 1) == "b");
}

// Guards against records behind a full queue that are dropped without the caller's knowledge.
TEST_CASE("a writer tells when it has dropped a record of a group")
{
    Fixture fixture;
    fixture.fake.setMode(FakeStore::Mode::Refusing);
    StoreWriter::Init init;
    init.maxWaitingBytes = 250;
    StoreWriter writer(fixture.runtime, fixture.store, init);
    REQUIRE(writer.write({ { "a", std::string(100, 'x'), {} } }));
    REQUIRE_FALSE(writer.write({ { "b", std::string(200, 'x'), {} }, { "c", std::string(100, 'x'), {} } }));
    REQUIRE(writer.waiting() == 2);
}

// Guards against losing records that were written while the store was unavailable.
TEST_CASE("a writer stores every record once the store is available again, and calls each hook once")
{
    Fixture fixture;
    StoreWriter::Init init;
    StoreWriter writer(fixture.runtime, fixture.store, init);
    std::atomic<int> stored = 0;
    fixture.fake.setMode(FakeStore::Mode::Refusing);
    for (int index = 0; index < 50; ++index)
        writer.write({ std::to_string(index), "v", {} }, [&](bool done) { stored += done ? 1 : 1000; });
    std::this_thread::sleep_for(Milliseconds(100));
    REQUIRE(stored == 0);
    REQUIRE(writer.waiting() == 50);
    fixture.fake.setMode(FakeStore::Mode::Serving);
    REQUIRE(eventually([&] { return stored == 50; }));
    REQUIRE(fixture.fake.keyCount(StoreTopic::Turns) == 50);
    REQUIRE(writer.waiting() == 0);
}

// Guards against a batch that grows with each retry until the store rejects it for its size every time.
TEST_CASE("no append of a writer exceeds the batch size, however long the store was unavailable")
{
    Fixture fixture;
    MetadataStore counting = fixture.store;
    std::atomic<std::size_t> maxBytes = 0;
    counting.append = [&](StoreTopic topic, StorePartition partition, const std::vector<StoreRecord>& records,
                          MetadataStore::AppendHook hook) {
        std::size_t bytes = 0;
        for (const auto& record : records)
            bytes += record.key.size() + record.value.size();
        maxBytes = std::max(maxBytes.load(), bytes);
        fixture.store.append(topic, partition, records, std::move(hook));
    };
    StoreWriter::Init init;
    init.maxBatchBytes = 1000;
    init.minRetryDelay = Milliseconds(1);
    init.maxRetryDelay = Milliseconds(5);
    StoreWriter writer(fixture.runtime, counting, init);
    fixture.fake.setMode(FakeStore::Mode::Refusing);
    for (int index = 0; index < 50; ++index)
        writer.write({ std::to_string(index), std::string(300, 'x'), {} }, nullptr);
    std::this_thread::sleep_for(Milliseconds(200));
    REQUIRE(writer.waiting() == 50);
    fixture.fake.setMode(FakeStore::Mode::Serving);
    REQUIRE(eventually([&] { return writer.waiting() == 0; }));
    REQUIRE(fixture.fake.keyCount(StoreTopic::Turns) == 50);
    REQUIRE(maxBytes <= 1000);
}

// Each new record made the writer retry at once, which kept an overloaded store overloaded.
TEST_CASE("records written while the store refuses appends do not shorten the retry delay")
{
    Fixture fixture;
    MetadataStore counting = fixture.store;
    std::atomic<int> appends = 0;
    counting.append = [&](StoreTopic topic, StorePartition partition, const std::vector<StoreRecord>& records,
                          MetadataStore::AppendHook hook) {
        ++appends;
        fixture.store.append(topic, partition, records, std::move(hook));
    };
    StoreWriter::Init init;
    init.minRetryDelay = Milliseconds(100);
    StoreWriter writer(fixture.runtime, counting, init);
    fixture.fake.setMode(FakeStore::Mode::Refusing);
    const auto end = std::chrono::steady_clock::now() + Milliseconds(500);
    int records = 0;
    for (; std::chrono::steady_clock::now() < end; ++records) {
        writer.write({ std::to_string(records), "v", {} }, nullptr);
        std::this_thread::sleep_for(Milliseconds(5));
    }
    // The first append, an immediate retry, then retries after 100, 200 and 400 ms.
    REQUIRE(appends >= 2);
    REQUIRE(appends <= 5);
    fixture.fake.setMode(FakeStore::Mode::Serving);
    REQUIRE(eventually([&] { return writer.waiting() == 0; }));
    REQUIRE(fixture.fake.keyCount(StoreTopic::Turns) == static_cast<std::size_t>(records));
}

// Guards against a writer that uses up the memory of the process while the store does not answer.
TEST_CASE("a writer rejects a record that exceeds its memory limit")
{
    Fixture fixture;
    StoreWriter::Init init;
    init.maxWaitingBytes = 100;
    StoreWriter writer(fixture.runtime, fixture.store, init);
    fixture.fake.setMode(FakeStore::Mode::Silent);
    std::promise<bool> refused;
    writer.write({ "k", std::string(200, 'x'), {} }, [&](bool done) { refused.set_value(!done); });
    REQUIRE(refused.get_future().get());
}

// Guards against one record that the store never accepts and that keeps all later records of its partition out of the
// store: the writer repeated the append with it for good.
TEST_CASE("a record that the store refuses is dropped alone, and the others are stored")
{
    Fixture fixture;
    constexpr int count = 40;
    const std::set<int> tooLarge { 0, 13, 14, count - 1 };
    fixture.fake.setMaxRecordBytes(100);
    fixture.fake.setMode(FakeStore::Mode::Refusing);
    std::atomic<int> refusals = 0;
    StoreWriter::Init init;
    init.onRefused = [&](const StoreRecord&) { ++refusals; };
    StoreWriter writer(fixture.runtime, fixture.store, init);
    std::atomic<int> stored = 0;
    std::atomic<int> rejected = 0;
    for (int index = 0; index < count; ++index)
        writer.write({ std::to_string(index), std::string(tooLarge.contains(index) ? 200 : 10, 'x'), {} },
            [&](bool done) { ++(done ? stored : rejected); });
    // The records wait for one append, which the store refuses as a whole.
    fixture.fake.setMode(FakeStore::Mode::Serving);
    REQUIRE(eventually([&] { return writer.waiting() == 0; }));
    REQUIRE(eventually([&] { return stored + rejected == count; }));
    REQUIRE(rejected == static_cast<int>(tooLarge.size()));
    REQUIRE(refusals == rejected);
    REQUIRE(fixture.fake.keyCount(StoreTopic::Turns) == static_cast<std::size_t>(stored));
    // Later records are appended together again.
    for (int index = 0; index < count; ++index)
        writer.write({ "later" + std::to_string(index), "v", {} }, nullptr);
    REQUIRE(eventually([&] { return writer.waiting() == 0; }));
    REQUIRE(fixture.fake.keyCount(StoreTopic::Turns) == static_cast<std::size_t>(stored + count));
}

// Guards against a writer that appends one record at a time for good after the store has refused a call only for its
// size.
TEST_CASE("a writer appends more records together again after the store has refused a large call")
{
    Fixture fixture;
    std::atomic<std::size_t> maxRecordsPerCall = 1;
    constexpr int count = 200;
    MetadataStore refusing = fixture.store;
    std::atomic<int> appends = 0;
    refusing.append = [&](StoreTopic topic, StorePartition partition, const std::vector<StoreRecord>& records,
                          MetadataStore::AppendHook hook) {
        ++appends;
        if (records.size() > maxRecordsPerCall)
            hook(Error { ErrorKind::RecordRefused, Outcome::NotRun });
        else
            fixture.store.append(topic, partition, records, std::move(hook));
    };
    StoreWriter writer(fixture.runtime, refusing, {});
    const auto writeTogether = [&](int from, int to) {
        fixture.fake.setMode(FakeStore::Mode::Refusing);
        for (int index = from; index < to; ++index)
            writer.write({ std::to_string(index), "v", {} }, nullptr);
        fixture.fake.setMode(FakeStore::Mode::Serving);
        REQUIRE(eventually([&] { return writer.waiting() == 0; }));
    };
    writeTogether(0, 16);
    maxRecordsPerCall = count;
    appends = 0;
    writeTogether(16, count);
    REQUIRE(fixture.fake.keyCount(StoreTopic::Turns) == count);
    REQUIRE(appends < count / 2);
}

// Guards against a record that waits behind others for an append that can only be refused.
TEST_CASE("a writer rejects a record whose size the store does not accept before any append")
{
    Fixture fixture;
    MetadataStore bounded = fixture.store;
    bounded.checkSize = [](std::size_t keyBytes, std::size_t valueBytes) {
        return keyBytes + valueBytes > 100 ? Status(Error { ErrorKind::RecordRefused, Outcome::NotRun })
                                           : Status(std::monostate {});
    };
    StoreWriter writer(fixture.runtime, bounded, {});
    std::promise<bool> refused;
    writer.write({ "k", std::string(100, 'x'), {} }, [&](bool done) { refused.set_value(!done); });
    REQUIRE(refused.get_future().get());
    REQUIRE_FALSE(writer.write({ { "a", std::string(100, 'x'), {} }, { "b", std::string(99, 'x'), {} } }));
    REQUIRE(eventually([&] { return writer.waiting() == 0; }));
    REQUIRE(fixture.fake.contains(StoreTopic::Turns, "b"));
    REQUIRE(fixture.fake.keyCount(StoreTopic::Turns) == 1);
}
