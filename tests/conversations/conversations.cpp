#include "peridotramp/conversations.h"

#include <catch2/catch.hpp>

using namespace peridotramp;

namespace {

const TimePoint start { Seconds(100) };
constexpr StorePartition stored { 3 };

FindTurn finderIn(ConversationStore& store)
{
    return [&store](std::string_view id) { return store.find(id, start); };
}

} // namespace

TEST_CASE("the complete input of a turn is its history, oldest turn first, then the new input")
{
    ConversationStore store;
    store.add({ "t1", "", "w", "in1", "out1\n" }, start + Seconds(60), stored);
    store.add({ "t2", "t1", "w", "in2", "out2\n" }, start + Seconds(60), stored);
    // Several turns may continue the same one.
    store.add({ "t2b", "t1", "w", "other", "x\n" }, start + Seconds(60), stored);
    const auto history = collectHistory("t2", finderIn(store));
    REQUIRE(history.missing.empty());
    REQUIRE(assembleInput(history.turns, "in3") == "in1out1\nin2out2\nin3");
}

// Guards against a turn that runs without the part of its history that this instance does not know.
TEST_CASE("collectHistory returns the id of the missing turn")
{
    ConversationStore store;
    store.add({ "t3", "t2", "w", "in3", "out3\n" }, start + Seconds(60), stored);
    const auto history = collectHistory("t3", finderIn(store));
    REQUIRE(history.missing == "t2");
    REQUIRE(history.turns.size() == 1);
}

TEST_CASE("expired turns are dropped, and only those added with a partition are returned for deletion")
{
    ConversationStore store;
    store.add({ "own", "", "w", "a", "b\n" }, start + Seconds(10), stored);
    store.add({ "copy", "", "w", "a", "b\n" }, start + Seconds(10), std::nullopt);
    store.add({ "later", "", "w", "a", "b\n" }, start + Seconds(30), stored);
    REQUIRE(store.bytes().value > 0);
    const auto expired = store.expire(start + Seconds(10));
    REQUIRE(expired.size() == 1);
    REQUIRE(expired[0].id == "own");
    REQUIRE(expired[0].partition == stored);
    REQUIRE(store.size() == 1);
    REQUIRE(store.find("own", start) == nullptr);
    // A lookup extends the retention.
    REQUIRE(store.find("later", start + Seconds(90)) != nullptr);
    REQUIRE(store.expire(start + Seconds(40)).empty());
    REQUIRE(store.expire(start + Seconds(90)).size() == 1);
    REQUIRE(store.bytes().value == 0);
}
