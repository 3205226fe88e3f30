#include "peridotramp/conversations.h"

#include <catch2/catch.hpp>

using namespace peridotramp;

namespace {

constexpr Seconds retention { 60 };

TimePoint at(int second) { return TimePoint { Seconds(second) }; }

} // namespace

// Guards against a conversation that loses its oldest turns although it goes on.
TEST_CASE("a stored turn is needed until the retention of the last turn that continues it has ended")
{
    StoredTurnRetention stored;
    stored.add("t1", "", at(0) + retention);
    stored.add("t2", "t1", at(40) + retention);
    stored.add("t3", "t2", at(90) + retention);
    stored.add("other", "", at(0) + retention);
    REQUIRE(stored.neededUntil(at(60)) == std::vector<std::string> { "other" });
    REQUIRE(stored.neededUntil(at(149)) == std::vector<std::string> { "other" });
    REQUIRE(stored.neededUntil(at(150)).size() == 4);
}

// Guards against the loss of a turn that is stored after the turn that continues it, because another instance stored
// it.
TEST_CASE("a turn that is read after its continuation is kept with the turns before it")
{
    StoredTurnRetention stored;
    stored.add("t1", "", at(0) + retention);
    stored.add("t3", "t2", at(50) + retention);
    stored.add("t2", "t1", at(51) + retention);
    REQUIRE(stored.neededUntil(at(109)).empty());
}

// Guards against a read that never ends on malformed records.
TEST_CASE("turns that refer to each other in a cycle are deleted like others")
{
    StoredTurnRetention stored;
    stored.add("t1", "t2", at(0) + retention);
    stored.add("t2", "t1", at(10) + retention);
    stored.add("t3", "t3", at(10) + retention);
    REQUIRE(stored.neededUntil(at(69)).empty());
    REQUIRE(stored.neededUntil(at(70)).size() == 3);
}

TEST_CASE("a turn whose deletion has been read is not deleted again")
{
    StoredTurnRetention stored;
    stored.add("t1", "", at(0) + retention);
    stored.remove("t1");
    stored.remove("unknown");
    REQUIRE(stored.neededUntil(at(100)).empty());
    REQUIRE(stored.size() == 0);
}
