#include "samples.h"

#include <catch2/catch.hpp>

using namespace peridotramp;
using samples::change;
using samples::readOf;
using samples::small;

namespace {

constexpr TimePoint start {};
const Version none {};

double rateOf(const ConfigurationState& state, std::string_view workspace)
{
    return state.snapshot().value()->findWorkspace(idFromName<WorkspaceId>(workspace))->requestRate.value;
}

} // namespace

TEST_CASE("of two concurrent changes of one version the first in the log wins, and the other fails with a remedy")
{
    ConfigurationState state;
    state.apply(start, readOf(0, { change(0, 1, "a", none, small("a", "w")) }));
    const auto results = state.apply(start,
        readOf(1,
            { change(1, 2, "a", Version { 0 }, small("a", "w", 2)),
                change(2, 3, "a", Version { 0 }, small("a", "w", 3)) }));
    REQUIRE(results.size() == 2);
    REQUIRE(results.at(0).isInForce());
    REQUIRE(results.at(1).error.kind == ErrorKind::VersionConflict);
    REQUIRE(results.at(1).error.message().find("reload it, merge the change and apply again") != std::string::npos);
    REQUIRE(results.at(1).error.detail == "team a is at version 1, the change replaces version 0");
    REQUIRE(rateOf(state, "w") == 2);
    REQUIRE(state.version() == Version { 1 });
}

TEST_CASE("a change that is appended again after a lost answer takes effect once")
{
    ConfigurationState state;
    state.apply(start, readOf(0, { change(0, 1, "a", none, small("a", "w")) }));
    const auto edit = small("a", "w", 2);
    const auto results = state.apply(
        start, readOf(1, { change(1, 2, "a", Version { 0 }, edit), change(2, 2, "a", Version { 0 }, edit) }));
    REQUIRE(results.size() == 1);
    REQUIRE(state.resultOf(ChangeId { 2 })->isInForce());
    REQUIRE(state.resultOf(ChangeId { 2 })->offset == Offset { 1 });
    REQUIRE(state.versionOf("a") == Version { 1 });
}

TEST_CASE("a refused change stays refused when it is appended again after the conflict is resolved")
{
    ConfigurationState state;
    const auto claim = change(1, 2, "b", none, small("b", "w"));
    state.apply(start, readOf(0, { change(0, 1, "a", none, small("a", "w")), claim }));
    REQUIRE(state.resultOf(ChangeId { 2 })->error.kind == ErrorKind::InvalidDocument);
    auto repeated = claim;
    repeated.offset = Offset { 3 };
    state.apply(start, readOf(2, { change(2, 3, "a", Version { 0 }, small("a", "other")), repeated }));
    REQUIRE_FALSE(state.versionOf("b").isValid());
}

TEST_CASE("duplicate, late and out-of-order records are applied once, in log order")
{
    ConfigurationState state;
    const auto first = change(0, 1, "a", none, small("a", "w"));
    const auto second = change(1, 2, "a", Version { 0 }, small("a", "w", 2));
    const auto third = change(2, 3, "a", Version { 1 }, small("a", "w", 3));
    REQUIRE(state.apply(start, readOf(2, { third })).empty());
    REQUIRE(state.snapshot().error().kind == ErrorKind::NotReady);
    REQUIRE(state.apply(start, readOf(0, { first }, false)).size() == 1);
    REQUIRE(state.snapshot().error().kind == ErrorKind::NotReady);
    REQUIRE(state.apply(start, readOf(0, { first, second }, false)).size() == 2);
    REQUIRE(rateOf(state, "w") == 3);
    REQUIRE(state.apply(start, readOf(0, { first, second, third })).empty());
    REQUIRE(state.next() == Offset { 3 });
    REQUIRE(state.version() == Version { 2 });
}

TEST_CASE("invalid texts, other teams' names and reordered failure domains are refused with the reason")
{
    ConfigurationState state;
    state.apply(start, readOf(0, { change(0, 1, "a", none, small("a", "w")) }));
    auto sameKey = small("b", "v");
    sameKey.replace(sameKey.find(sha256("v").toHex()), 64, sha256("w").toHex());
    auto otherOrder = small("b", "v");
    otherOrder.replace(otherOrder.find("north"), 5, "south, north");
    auto reordered = small("a", "w");
    reordered.replace(reordered.find("north"), 5, "south");
    const auto results = state.apply(start,
        readOf(1,
            { change(1, 2, "b", none, "[team]\n"), change(2, 3, "b", none, small("c", "v")),
                change(3, 4, "b", none, small("b", "w")), change(4, 5, "b", none, sameKey),
                change(5, 6, "b", none, otherOrder), change(6, 7, "a", Version { 0 }, reordered) }));
    REQUIRE(results.size() == 6);
    for (const auto& result : results)
        REQUIRE(result.error.kind == ErrorKind::InvalidDocument);
    REQUIRE(results.at(2).error.detail.find("workspace w is declared by team a") != std::string::npos);
    REQUIRE(results.at(3).error.detail.find("key digest") != std::string::npos);
    REQUIRE(results.at(4).error.detail.find("same order") != std::string::npos);
    const auto configuration = state.snapshot().value();
    REQUIRE(configuration->documents().size() == 1);
    REQUIRE_FALSE(checkMerge(*configuration, *parseDocument(small("b", "w")).document));
    REQUIRE(checkMerge(*configuration, *parseDocument(small("b", "v")).document));
}

TEST_CASE("a withdrawn key is withdrawn in the next snapshot, and earlier snapshots are unchanged")
{
    ConfigurationState state;
    state.apply(start, readOf(0, { change(0, 1, "a", none, small("a", "w")) }));
    const auto before = state.snapshot().value();
    const auto text = withdrawKey(small("a", "w"), "w").value();
    state.apply(start, readOf(1, { change(1, 2, "a", Version { 0 }, text) }));
    REQUIRE(before->findKey(sha256("w"))->state == KeyEntry::State::Granted);
    REQUIRE(state.snapshot().value()->findKey(sha256("w"))->state == KeyEntry::State::Withdrawn);
}

TEST_CASE("republished documents replace records that expired before a node started")
{
    ConfigurationState state;
    const ConfigurationRecord republished { Offset { 12 },
        RepublishedDocument { "b", Version { 3 }, small("b", "v", 3) } };
    // The claim of `v` precedes the republished document but follows the version that this republishes.
    const auto results = state.apply(start,
        readOf(0,
            { change(10, 5, "a", Version { 7 }, small("a", "w", 5)), change(11, 6, "c", none, small("c", "v")),
                republished, change(13, 7, "b", Version { 3 }, small("b", "v", 4)) },
            true, 10));
    REQUIRE(results.size() == 3);
    REQUIRE(results.at(1).error.kind == ErrorKind::InvalidDocument);
    REQUIRE(rateOf(state, "w") == 5);
    REQUIRE(rateOf(state, "v") == 4);
}

TEST_CASE("after a gap, later records determine which of two conflicting claims came into force")
{
    // At offset 10, team c still held `shared` by a document that has expired; it releases the name at 11.
    const auto claim = change(10, 1, "a", Version { 9 }, small("a", "shared"));
    const auto release = change(11, 2, "c", Version { 5 }, small("c", "own"));
    SECTION("a later change that replaces the version before the claim")
    {
        ConfigurationState state;
        const auto next = change(12, 3, "a", Version { 9 }, small("a", "w"));
        const auto last = change(13, 4, "a", Version { 12 }, small("a", "w", 2));
        state.apply(start, readOf(0, { claim, release, next, last }, true, 10));
        REQUIRE(state.versionOf("a") == Version { 13 });
    }
    SECTION("no later record: the claim counts only once it is restated")
    {
        ConfigurationState state;
        const RepublishedDocument other { "c", Version { 11 }, small("c", "own") };
        state.apply(start, readOf(0, { claim, release, { Offset { 12 }, other } }, true, 10));
        REQUIRE_FALSE(state.versionOf("a").isValid());
        REQUIRE(state.versionOf("c") == Version { 11 });
        const RepublishedDocument republished { "a", Version { 10 }, small("a", "shared") };
        state.apply(start, readOf(13, { { Offset { 13 }, republished } }, true, 10));
        REQUIRE(state.versionOf("a") == Version { 10 });
    }
}

TEST_CASE("a read of the log's end from before a gap was known does not complete the records after the gap")
{
    ConfigurationState state;
    const auto stale = change(11, 1, "a", none, small("a", "w"));
    state.apply(start, readOf(11, { stale }));
    state.apply(start,
        readOf(10, { { Offset { 10 }, RepublishedDocument { "b", Version { 2 }, small("b", "v") } } }, false, 10));
    REQUIRE(state.snapshot().error().kind == ErrorKind::NotReady);
    state.apply(start,
        readOf(12, { { Offset { 12 }, RepublishedDocument { "a", Version { 9 }, small("a", "w", 2) } } }, true, 10));
    REQUIRE(state.versionOf("a") == Version { 9 });
}

TEST_CASE("a node that missed expired records serves its old configuration until it has caught up")
{
    ConfigurationState state;
    state.apply(start, readOf(0, { change(0, 1, "a", none, small("a", "w")) }));
    state.apply(start, readOf(1, { change(10, 5, "a", Version { 7 }, small("a", "w", 5)) }, false, 10));
    REQUIRE(rateOf(state, "w") == 1);
    REQUIRE(state.next() == Offset { 11 });
    state.apply(start, readOf(11, { change(11, 6, "a", Version { 10 }, small("a", "w", 6)) }, true, 10));
    REQUIRE(rateOf(state, "w") == 6);
}

TEST_CASE("a node without the log imports from peers, which export no incomplete state, and ignores older states")
{
    ConfigurationState source;
    ConfigurationState fresh;
    REQUIRE(fresh.snapshot().error().kind == ErrorKind::NotReady);
    source.apply(start, readOf(0, { change(0, 1, "a", none, small("a", "w")) }, false));
    fresh.import(start, source.exportSince(start, fresh.applied()));
    REQUIRE(fresh.snapshot().error().kind == ErrorKind::NotReady);
    source.apply(start, readOf(1, { change(1, 2, "a", Version { 0 }, small("a", "w", 2)) }));
    const auto old = source.exportSince(start + Seconds(2), Offset { 0 });
    source.apply(start, readOf(2, { change(2, 3, "a", Version { 1 }, small("a", "w", 3)) }));
    fresh.import(start + Seconds(5), source.exportSince(start + Seconds(5), fresh.applied()));
    fresh.import(start + Seconds(6), old);
    REQUIRE(rateOf(fresh, "w") == 3);
    REQUIRE(fresh.age(start + Seconds(9)) == Duration(Seconds(9)));
}

TEST_CASE("a peer that is far behind gets a snapshot instead of the records")
{
    ConfigurationState source(ConfigurationState::Limits { ByteCount { 1 } });
    source.apply(
        start, readOf(0, { change(0, 1, "a", none, small("a", "w")), change(1, 2, "b", none, small("b", "v")) }));
    const auto transfer = source.exportSince(start, Offset { 0 });
    REQUIRE(std::holds_alternative<ConfigurationSnapshot>(transfer));
    ConfigurationState fresh;
    fresh.import(start, transfer);
    REQUIRE(fresh.version() == Version { 1 });
    REQUIRE(fresh.snapshot().value()->findKey(sha256("v")) != nullptr);
}

TEST_CASE("documents are republished after half the retention, by their home failure domain only")
{
    REQUIRE(isRepublicationDue(std::nullopt, Seconds(100)));
    REQUIRE(isRepublicationDue(Seconds(50), Seconds(100)));
    REQUIRE_FALSE(isRepublicationDue(Seconds(49), Seconds(100)));
    ConfigurationState state;
    state.apply(start, readOf(0, {}));
    state.apply(start + Seconds(10), readOf(0, { change(0, 1, "a", none, small("a", "w")) }));
    REQUIRE(state.dueRepublications(start + Seconds(49), Seconds(100), "north").empty());
    REQUIRE(state.dueRepublications(start + Seconds(50), Seconds(100), "south").empty());
    const auto due = state.dueRepublications(start + Seconds(50), Seconds(100), "north");
    REQUIRE(due.size() == 1);
    state.apply(start + Seconds(51), readOf(1, { { Offset { 1 }, due.front() } }));
    REQUIRE(state.version() == Version { 0 });
    REQUIRE(state.dueRepublications(start + Seconds(52), Seconds(100), "north").empty());
}
