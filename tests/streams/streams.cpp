#include "peridotramp/streams.h"

#include <catch2/catch.hpp>

using namespace peridotramp;

// Guards against forwarding a part of an event before the stream is resumed at another endpoint.
TEST_CASE("events are returned complete wherever the bytes are split")
{
    const std::string bytes
        = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\nweight-versions: 3\nid: 3\ndata:d\n\n";
    for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
        EventSplitter splitter;
        auto events = splitter.add(std::string_view(bytes).substr(0, cut));
        for (auto& event : splitter.add(std::string_view(bytes).substr(cut)))
            events.push_back(std::move(event));
        REQUIRE(events.size() == 3);
        REQUIRE(events[0].id == "1");
        REQUIRE(events[0].data == "a");
        REQUIRE(events[1].data == "b\nc");
        REQUIRE(events[2].id == "3");
        REQUIRE(events[2].data == "d");
        REQUIRE(events[0].bytes + events[1].bytes + events[2].bytes == bytes);
        REQUIRE_FALSE(splitter.hasPartialEvent());
    }
}

TEST_CASE("an incomplete event is buffered and can be discarded")
{
    EventSplitter splitter;
    REQUIRE(splitter.add("id: 9\ndata: x\n").empty());
    REQUIRE(splitter.hasPartialEvent());
    splitter.reset();
    const auto events = splitter.add("id: 1\ndata: y\n\n");
    REQUIRE(events.size() == 1);
    REQUIRE(events.front().data == "y");
}

// Guards against an endpoint that fills the memory with one event, and against a search from the start of the event
// with each block of bytes, which takes quadratic time.
TEST_CASE("an event beyond the limit is discarded, and no events are returned after it")
{
    constexpr std::size_t limit = 1000;
    const std::string line(100, 'x');
    EventSplitter splitter({ limit });
    REQUIRE(splitter.add("id: 1\ndata: y\n\nid: 2\ndata: ").size() == 1);
    for (int part = 0; part < 100; ++part)
        REQUIRE(splitter.add(line + "\n").empty());
    REQUIRE(splitter.isTooLarge());
    REQUIRE(splitter.add("\n\nid: 3\ndata: z\n\n").empty());
    splitter.reset();
    REQUIRE_FALSE(splitter.isTooLarge());
    REQUIRE(splitter.add("id: 3\ndata: z\n\n").size() == 1);
}

TEST_CASE("events up to the limit are returned, also many of them in one block")
{
    const std::string event = "id: 1\ndata: " + std::string(986, 'x') + "\n\n";
    EventSplitter splitter({ event.size() });
    std::string many;
    for (int index = 0; index < 50; ++index)
        many += event;
    REQUIRE(splitter.add(many).size() == 50);
    REQUIRE_FALSE(splitter.isTooLarge());
    REQUIRE(splitter.add(event.substr(0, 500)).empty());
    REQUIRE(splitter.add(event.substr(500) + "x").size() == 1);
    REQUIRE(splitter.hasPartialEvent());
}
