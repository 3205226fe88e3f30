#include "../ingress/fakestore.h"
#include "../soon.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>

using namespace peridotramp;

namespace {

struct Loop {
    Loop() { this->runtime.start(); }
    ~Loop() { this->runtime.stop(); }

    Runtime runtime { { 2 } };
    FakeStore fake { this->runtime };
    MetadataStore store = this->fake.client();
};

} // namespace

TEST_CASE("a follower gets the newest records, then each one that is appended")
{
    // Outlives the loop, whose pending answers still refer to the follower.
    asio::thread_pool pool(1);
    Loop loop;
    loop.fake.put(StoreTopic::Members, {}, "a", "1");
    loop.fake.put(StoreTopic::Members, {}, "a", "2");
    std::mutex mutex;
    std::vector<std::string> seen;
    StoreFollower follower;
    const auto collect = [&](const std::vector<StoreRecord>& records) {
        const std::scoped_lock lock(mutex);
        for (const auto& record : records)
            seen.push_back(record.key + record.value);
    };
    follower.onSnapshot = collect;
    follower.onRecords = collect;
    StoreFollower::Init init;
    init.topic = StoreTopic::Members;
    followStore(asio::make_strand(pool), loop.store, init, std::move(follower));
    const auto sawAll = [&](const std::vector<std::string>& expected) {
        return holdsSoon([&] {
            const std::scoped_lock lock(mutex);
            return seen == expected;
        });
    };
    REQUIRE(sawAll({ "a2" }));
    loop.fake.put(StoreTopic::Members, {}, "b", "1");
    REQUIRE(sawAll({ "a2", "b1" }));
    loop.fake.setMode(FakeStore::Mode::Refusing);
    loop.fake.put(StoreTopic::Members, {}, "c", "1");
    std::this_thread::sleep_for(Milliseconds(50));
    loop.fake.setMode(FakeStore::Mode::Serving);
    REQUIRE(sawAll({ "a2", "b1", "c1" }));
    pool.stop();
    pool.join();
}

// Guards against records that are lost because the store was away when they were written.
TEST_CASE("a writer stores every record when the store is back, and reports each once")
{
    Loop loop;
    StoreWriter::Init init;
    StoreWriter writer(loop.runtime, loop.store, init);
    std::atomic<int> stored = 0;
    loop.fake.setMode(FakeStore::Mode::Refusing);
    for (int index = 0; index < 50; ++index)
        writer.write({ std::to_string(index), "v", {} }, [&](bool done) { stored += done ? 1 : 1000; });
    std::this_thread::sleep_for(Milliseconds(100));
    REQUIRE(stored == 0);
    REQUIRE(writer.waiting() == 50);
    loop.fake.setMode(FakeStore::Mode::Serving);
    REQUIRE(holdsSoon([&] { return stored == 50; }));
    REQUIRE(loop.fake.keys(StoreTopic::Turns) == 50);
    REQUIRE(writer.waiting() == 0);
}

// Guards against a group that grows with each retry until the store refuses it for its size, for good.
TEST_CASE("no append of a writer exceeds the size of a group, however long the store was away")
{
    Loop loop;
    MetadataStore counting = loop.store;
    std::atomic<std::size_t> most = 0;
    counting.append = [&](StoreTopic topic, StorePartition partition, const std::vector<StoreRecord>& records,
                          MetadataStore::AppendHook hook) {
        std::size_t bytes = 0;
        for (const auto& record : records)
            bytes += record.key.size() + record.value.size();
        most = std::max(most.load(), bytes);
        loop.store.append(topic, partition, records, std::move(hook));
    };
    StoreWriter::Init init;
    init.maxGroupBytes = 1000;
    init.leastRetry = Milliseconds(1);
    init.mostRetry = Milliseconds(5);
    StoreWriter writer(loop.runtime, counting, init);
    loop.fake.setMode(FakeStore::Mode::Refusing);
    for (int index = 0; index < 50; ++index)
        writer.write({ std::to_string(index), std::string(300, 'x'), {} }, nullptr);
    std::this_thread::sleep_for(Milliseconds(200));
    REQUIRE(writer.waiting() == 50);
    loop.fake.setMode(FakeStore::Mode::Serving);
    REQUIRE(holdsSoon([&] { return writer.waiting() == 0; }));
    REQUIRE(loop.fake.keys(StoreTopic::Turns) == 50);
    REQUIRE(most <= 1000);
}

// Guards against a store that is kept overloaded by its own callers: each new record made the writer try again at once.
TEST_CASE("records that arrive while the store refuses do not shorten the pause before the next append")
{
    Loop loop;
    MetadataStore counting = loop.store;
    std::atomic<int> appends = 0;
    counting.append = [&](StoreTopic topic, StorePartition partition, const std::vector<StoreRecord>& records,
                          MetadataStore::AppendHook hook) {
        ++appends;
        loop.store.append(topic, partition, records, std::move(hook));
    };
    StoreWriter::Init init;
    init.leastRetry = Milliseconds(100);
    StoreWriter writer(loop.runtime, counting, init);
    loop.fake.setMode(FakeStore::Mode::Refusing);
    const auto end = std::chrono::steady_clock::now() + Milliseconds(500);
    int records = 0;
    for (; std::chrono::steady_clock::now() < end; ++records) {
        writer.write({ std::to_string(records), "v", {} }, nullptr);
        std::this_thread::sleep_for(Milliseconds(5));
    }
    // One at once, one more at once, then after 100, 200 and 400 ms.
    REQUIRE(appends >= 2);
    REQUIRE(appends <= 5);
    loop.fake.setMode(FakeStore::Mode::Serving);
    REQUIRE(holdsSoon([&] { return writer.waiting() == 0; }));
    REQUIRE(loop.fake.keys(StoreTopic::Turns) == static_cast<std::size_t>(records));
}

TEST_CASE("a writer refuses what exceeds its memory")
{
    Loop loop;
    StoreWriter::Init init;
    init.maxWaitingBytes = 100;
    StoreWriter writer(loop.runtime, loop.store, init);
    loop.fake.setMode(FakeStore::Mode::Silent);
    std::promise<bool> refused;
    writer.write({ "k", std::string(200, 'x'), {} }, [&](bool done) { refused.set_value(!done); });
    REQUIRE(refused.get_future().get());
}
