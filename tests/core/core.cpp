#include "peridotramp/core.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace peridotramp;

TEST_CASE("a paused clock moves only when it is advanced")
{
    RuntimeClock::pause();
    const auto start = RuntimeClock::now();
    REQUIRE(RuntimeClock::now() == start);
    RuntimeClock::advance(Seconds(5));
    REQUIRE(RuntimeClock::now() - start == Seconds(5));
    RuntimeClock::resume();
    REQUIRE(RuntimeClock::now() - start >= Seconds(5));
}

// Guards against an error kind that was added without its texts.
TEST_CASE("every error kind has a name, and its message names a remedy")
{
    for (int index = 1; index < static_cast<int>(ErrorKind::Count); ++index) {
        const auto kind = static_cast<ErrorKind>(index);
        REQUIRE(errorKindFromString(toString(kind)) == kind);
        REQUIRE(std::error_code(kind).message().find(';') != std::string::npos);
    }
}

// Guards against equal digests of turns whose texts differ only in where one part ends and the next begins.
TEST_CASE("digests depend on how the input is split into parts")
{
    REQUIRE(digestOf({ "ab", "c" }) != digestOf({ "a", "bc" }));
    REQUIRE(sha256("abc").toHex() == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    REQUIRE(Digest::fromHex(sha256("x").toHex()) == sha256("x"));
    REQUIRE_FALSE(Digest::fromHex("zz").has_value());
}

TEST_CASE("base64 decodes what it encoded, for every padding length")
{
    for (const std::string bytes : { "", "a", "ab", "abc", "abcd" })
        REQUIRE(fromBase64(toBase64(bytes)) == bytes);
    REQUIRE_FALSE(fromBase64("abc").has_value());
}

TEST_CASE("a section reader reports all problems at once")
{
    const auto sections = parseIni("[node]\nport = 99999\nmode = fast\nprot = 1\n");
    REQUIRE(sections);
    std::vector<Problem> problems;
    SectionReader reader(sections->front(), problems);
    reader.integer("port", 1, 1, 65535);
    reader.choice("mode", "a", { "a", "b" });
    reader.address("listen", std::nullopt);
    reader.rejectUnknownKeys();
    REQUIRE(problems.size() == 4);
    REQUIRE(problems.back().key == "prot");
}

TEST_CASE("INI syntax errors name the line")
{
    const auto sections = parseIni("[a]\nkey = 1\nnonsense\n");
    REQUIRE_FALSE(sections);
    REQUIRE(sections.error().detail.find("line 3") != std::string::npos);
}

TEST_CASE("sharded state counts every update of several threads")
{
    Sharded<std::map<std::uint64_t, int>> counts;
    std::vector<std::jthread> threads;
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&] {
            for (std::uint64_t key = 0; key < 1000; ++key)
                counts.with(key, [&](auto& shard) { ++shard[key]; });
        });
    }
    threads.clear();
    int total = 0;
    counts.forEach([&](auto& shard) {
        for (const auto& [key, count] : shard)
            total += count;
    });
    REQUIRE(total == 4000);
}

TEST_CASE("metrics keep labels and report quantiles")
{
    Metrics metrics;
    metrics.count("refusals{kind=\"rate_exceeded\"}");
    for (int sample = 1; sample <= 100; ++sample)
        metrics.observe("latency_ms", sample);
    const auto text = metrics.toText();
    REQUIRE(text.find("peridotramp_refusals{kind=\"rate_exceeded\"} 1") != std::string::npos);
    REQUIRE(text.find("peridotramp_latency_ms_count 100") != std::string::npos);
    REQUIRE(text.find("peridotramp_latency_ms{quantile=\"0.95\"}") != std::string::npos);
}

// Guards against a peer that fills the log by causing the same event repeatedly.
TEST_CASE("a log limiter suppresses lines beyond its rate and counts the suppressed ones")
{
    RuntimeClock::pause();
    LogLimiter limiter(3);
    for (int line = 0; line < 3; ++line)
        REQUIRE(limiter.take() == std::uint64_t { 0 });
    for (int line = 0; line < 100; ++line)
        REQUIRE_FALSE(limiter.take());
    RuntimeClock::advance(Seconds(1));
    REQUIRE(limiter.take() == std::uint64_t { 100 });
    REQUIRE(limiter.take() == std::uint64_t { 0 });
    RuntimeClock::resume();
}
