#include "peridotramp/conversations.h"

#include <catch2/catch.hpp>

using namespace peridotramp;

namespace {

const TimePoint start { Seconds(100) };
constexpr StorePartition stored { 3 };

TurnLookup lookupIn(ConversationTable& table)
{
    return [&table](std::string_view id) { return table.find(id, start); };
}

} // namespace

TEST_CASE("the complete input of a turn is its history, oldest turn first, then the new input")
{
    ConversationTable table;
    table.add({ "t1", "", "w", "in1", "out1\n" }, start + Seconds(60), stored);
    table.add({ "t2", "t1", "w", "in2", "out2\n" }, start + Seconds(60), stored);
    // Several turns may continue the same one.
    table.add({ "t2b", "t1", "w", "other", "x\n" }, start + Seconds(60), stored);
    const auto history = collectHistory("t2", lookupIn(table));
    REQUIRE(history.missingTurn.empty());
    REQUIRE(assembleInput(history.turns, "in3") == "in1out1\nin2out2\nin3");
}

// Guards against a turn that runs without the part of its history that this instance does not know.
TEST_CASE("collectHistory returns the id of the missing turn")
{
    ConversationTable table;
    table.add({ "t3", "t2", "w", "in3", "out3\n" }, start + Seconds(60), stored);
    const auto history = collectHistory("t3", lookupIn(table));
    REQUIRE(history.missingTurn == "t2");
    REQUIRE(history.turns.size() == 1);
}

TEST_CASE("expired turns are dropped, and only those added with a partition are returned for deletion")
{
    ConversationTable table;
    table.add({ "own", "", "w", "a", "b\n" }, start + Seconds(10), stored);
    table.add({ "copy", "", "w", "a", "b\n" }, start + Seconds(10), std::nullopt);
    table.add({ "later", "", "w", "a", "b\n" }, start + Seconds(30), stored);
    REQUIRE(table.bytes().value > 0);
    const auto expired = table.expire(start + Seconds(10));
    REQUIRE(expired.size() == 1);
    REQUIRE(expired[0].id == "own");
    REQUIRE(expired[0].partition == stored);
    REQUIRE(table.size() == 1);
    REQUIRE(table.find("own", start) == nullptr);
    // A lookup extends the retention.
    REQUIRE(table.find("later", start + Seconds(90)) != nullptr);
    REQUIRE(table.expire(start + Seconds(40)).empty());
    REQUIRE(table.expire(start + Seconds(90)).size() == 1);
    REQUIRE(table.bytes().value == 0);
}

// Guards against turns that nobody stores, and against instances that store again what others have stored.
TEST_CASE("a table lists the turns that the store is not known to have")
{
    ConversationTable table;
    const auto add
        = [&](const std::string& id) { table.add({ id, "", "w", "a", "b\n" }, start + Seconds(60), stored); };
    add("t1");
    add("t2");
    REQUIRE(table.unstored().empty());
    table.markUnstored("t1", start);
    table.markUnstored("t1", start + Seconds(5));
    table.markUnstored("gone", start);
    REQUIRE(table.unstored().size() == 1);
    REQUIRE(table.unstored().front().turn->id == "t1");
    REQUIRE(table.unstored().front().since == start);
    table.markStored("t1");
    REQUIRE(table.isStored("t1"));
    REQUIRE(table.unstored().empty());
    // Another instance that knows less changes nothing.
    table.markUnstored("t1", start);
    REQUIRE(table.unstored().empty());
    table.markUnstored("t2", start);
    REQUIRE_FALSE(table.isStored("t2"));
    table.expire(start + Seconds(60));
    REQUIRE(table.unstored().empty());
}
