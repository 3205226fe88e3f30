#include "peridotramp/operators.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace peridotramp;

namespace {

std::string document(int rate)
{
    return fmt::format("[team]\nname = a\ndomains = north\n[workspace w]\nrequest_rate = {}\ntoken_rate = 1\n", rate);
}

/// In-memory log that can lose responses and refuse appends.
struct FakeLog {
    std::vector<ConfigurationRecord> records;
    std::vector<AppendId> appendIds;
    int answersToLose = 0;
    int appendsToRefuse = 0;
    bool isDown = false;
    /// Called once, before the next append that is not refused; for example to append a concurrent change.
    std::function<void()> beforeAppend = [] { };

    void add(ConfigurationChange change)
    {
        this->records.push_back({ Offset { this->records.size() }, std::move(change) });
    }

    Result<Offset> append(AppendId id, const ConfigurationChange& change)
    {
        this->appendIds.push_back(id);
        if (this->appendsToRefuse-- > 0)
            return Error { ErrorKind::LogUnavailable, Outcome::NotRun };
        std::exchange(this->beforeAppend, [] { })();
        this->add(change);
        if (this->answersToLose-- > 0)
            return Error { ErrorKind::LogUnavailable, Outcome::Unknown };
        return this->records.back().offset;
    }

    Result<ConfigurationRead> read(Offset from) const
    {
        if (this->isDown)
            return Error { ErrorKind::LogUnavailable, Outcome::NotRun };
        // Short reads, so that the end is reached in several steps.
        const auto next = std::min(this->records.size(), from.value + 2);
        ConfigurationRead read { from, Offset { 0 }, Offset { next } };
        for (auto offset = from.value; offset < next; ++offset)
            read.records.push_back(this->records.at(offset));
        if (next == this->records.size())
            read.age = Duration::zero();
        return read;
    }

    OperatorLog hooks()
    {
        return { [this](AppendId id, const ConfigurationChange& change) { return this->append(id, change); },
            [this](Offset from) { return this->read(from); } };
    }
};

struct Fixture {
    Fixture()
    {
        RuntimeClock::pause();
        this->log.add({ ChangeId { 1 }, "a", {}, document(1) });
        this->options.wait = [](Duration time) { RuntimeClock::advance(time); };
    }
    ~Fixture() { RuntimeClock::resume(); }
    Fixture(const Fixture&) = delete;
    Fixture& operator=(const Fixture&) = delete;

    Result<ApplyReport> apply(int rate, std::uint64_t base = 0)
    {
        return applyEdit(this->log.hooks(), this->fleet, { "a", Version { base }, document(rate) }, this->options);
    }

    FakeLog log;
    OperatorFleet fleet;
    ApplyOptions options;
};

} // namespace

TEST_CASE("after a lost answer an append is retried with the same id, and the change is applied once")
{
    Fixture fixture;
    fixture.log.answersToLose = 2;
    const auto report = fixture.apply(2);
    REQUIRE(report);
    REQUIRE(report->version == Version { 1 });
    REQUIRE(fixture.log.appendIds.size() == 3);
    REQUIRE(std::ranges::count(fixture.log.appendIds, fixture.log.appendIds.front()) == 3);
}

TEST_CASE("if all answers are lost, the outcome is read from the log")
{
    Fixture fixture;
    fixture.log.answersToLose = 100;
    REQUIRE(fixture.apply(2)->version == Version { 1 });
}

TEST_CASE("a concurrent change causes a version conflict, both before and after the append")
{
    Fixture fixture;
    fixture.log.beforeAppend = [&] { fixture.log.add({ ChangeId { 2 }, "a", Version { 0 }, document(9) }); };
    const auto lost = fixture.apply(2);
    REQUIRE(lost.error().kind == ErrorKind::VersionConflict);
    REQUIRE(exitCodeOf(lost.error().kind) == ExitCode::VersionConflict);
    const auto appends = fixture.log.appendIds.size();
    REQUIRE(fixture.apply(2).error().kind == ErrorKind::VersionConflict);
    REQUIRE(fixture.log.appendIds.size() == appends);
}

TEST_CASE("an invalid document is refused before anything is appended")
{
    Fixture fixture;
    REQUIRE(fixture.apply(-1).error().kind == ErrorKind::InvalidDocument);
    REQUIRE(fixture.log.appendIds.empty());
}

TEST_CASE("an append that is always refused is reported as not appended, one that is not found in the log as unknown")
{
    Fixture fixture;
    fixture.log.appendsToRefuse = 100;
    REQUIRE(exitCodeOf(fixture.apply(2).error().kind) == ExitCode::Unavailable);
    fixture.log.appendsToRefuse = 0;
    fixture.log.answersToLose = 100;
    fixture.log.beforeAppend = [&] { fixture.log.isDown = true; };
    const auto unknown = fixture.apply(2);
    REQUIRE(unknown.error().kind == ErrorKind::OutcomeUnknown);
    REQUIRE(unknown.error().outcome == Outcome::Unknown);
}

TEST_CASE("the report counts the nodes that have the version, and waiting for the others times out")
{
    Fixture fixture;
    int queries = 0;
    fixture.fleet.nodes = { { "127.0.0.1", 1 }, { "127.0.0.1", 2 }, { "127.0.0.1", 3 } };
    fixture.fleet.status = [&](const Address& node) -> Result<ProcessStatus> {
        if (node.port == 3)
            return Error { ErrorKind::ConnectionFailed, Outcome::NotRun };
        // The second node learns of the change late.
        const bool isLate = node.port == 2 && ++queries < 4;
        return ProcessStatus { "scheduler", "north", true, false, Version { isLate ? 0U : 1U } };
    };
    const auto report = fixture.apply(2);
    REQUIRE(report->nodesInForce() == 2);
    REQUIRE_FALSE(report->isInForceEverywhere());
    REQUIRE(queries == 4);
}

TEST_CASE("the admin server reports the status and the dump, and drains and returns the instance")
{
    Runtime runtime(Runtime::Init { 2 });
    runtime.start();
    std::atomic<bool> isDraining = false;
    AdminHooks hooks;
    hooks.status = [&] {
        return ProcessStatus { "scheduler", "north", false, isDraining, Version { 7 }, Duration(Seconds(2)), "late" };
    };
    hooks.metrics = [] { return std::string("metric 1\n"); };
    hooks.dump = [] { return std::vector<DescriptionRow> { { "a", "b", "c" } }; };
    hooks.setDraining = [&](bool drain) -> Status {
        isDraining = drain;
        return std::monostate {};
    };
    const AdminServer server(runtime, { "127.0.0.1", 0 }, hooks);
    AdminClient client(runtime, Seconds(5));
    const auto status = client.status(server.address());
    REQUIRE(status);
    REQUIRE(*status == hooks.status());
    REQUIRE(client.dump(server.address(), false).value() == "a  b  c\n");
    REQUIRE(client.dump(server.address(), true).value() == R"({"a":{"b":"c"}})");
    REQUIRE(client.setDraining(server.address(), true)->isDraining);
    REQUIRE_FALSE(client.setDraining(server.address(), false)->isDraining);
    // A refused connection means that the request was not run.
    REQUIRE(client.status({ "127.0.0.1", 1 }).error().outcome == Outcome::NotRun);
    REQUIRE_FALSE(parseStatus("{}"));
    runtime.stop();
}
