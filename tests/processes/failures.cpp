#include "fleet.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace processes;

namespace {

constexpr Milliseconds shortDeadline { 3000 };
constexpr Milliseconds longDeadline { 30'000 };

std::string outcomeOf(const BlockingHttpClient::Answer& answer)
{
    const auto error = errorOf(answer);
    return error.substr(error.find('/') + 1);
}

} // namespace

TEST_CASE("a program runs on the complete system, and no process exposes its caller's key")
{
    Fleet fleet({ "a", "a", "b" });
    auto program = fleet.startProgram();
    REQUIRE(fleet.call(program, "model", "planner", "first", longDeadline).response.status == 200);
    REQUIRE(fleet.call(program, "call", "charge", "second", longDeadline).response.status == 200);
    REQUIRE(fleet.call(program, "model", "planner", "third", longDeadline).response.status == 200);
    REQUIRE(program.turn == 3);
    REQUIRE(fleet.executionCounts() == std::pair<std::int64_t, std::int64_t> { 1, 1 });

    // A repeated call gets the recorded response and is not executed again.
    auto earlier = program;
    earlier.turn = 1;
    const auto repeated = fleet.call(earlier, "call", "charge", "second", longDeadline);
    REQUIRE(repeated.response.status == 200);
    REQUIRE(fleet.executionCounts().first == 1);

    // A call with a wrong digest is refused and reported as not run.
    auto wrongDigest = program;
    wrongDigest.digest = std::string(64, '0');
    REQUIRE(errorOf(fleet.call(wrongDigest, "call", "charge", "fourth", longDeadline)) == "turn_conflict/not_run");

    const auto unauthenticated
        = fleet.http.post(fleet.gateway->address(), "/v1/programs", "{}", { { "Authorization", "Bearer other" } });
    REQUIRE(unauthenticated.response.status == 401);
    REQUIRE(fleet.collectOutput().find(Fleet::apiKey) == std::string::npos);
}

// Such a client only needs another base URL and API key.
TEST_CASE("an unmodified chat completions client works, with and without streaming")
{
    Fleet fleet({ "a" });
    fleet.startProgram();
    const auto answer = fleet.post(
        "/v1/chat/completions", R"({"model":"planner","messages":[{"role":"user","content":"hello"}],"max_tokens":4})");
    REQUIRE(answer.response.status == 200);
    REQUIRE(answer.jsonBody().at("choices").as_array().size() == 1);
    const auto streamed = fleet.post("/v1/chat/completions",
        R"({"model":"planner","messages":[{"role":"user","content":"hello"}],"max_tokens":4,"stream":true})");
    REQUIRE(streamed.response.body.find("data: [DONE]") != std::string::npos);
}

TEST_CASE("a non-idempotent call whose owner is killed while it runs has an unknown outcome and is never run again")
{
    Fleet fleet({ "a", "a", "a" });
    auto program = fleet.startProgram();
    fleet.setFaults(*fleet.service, R"({"mode":"hang"})");
    auto answer = fleet.callAsync(program, "call", "charge", "once", longDeadline);
    REQUIRE(waitUntil([&] { return fleet.executionCounts().first == 1; }));
    fleet.ownerOf(program).process().sendSignal(SIGKILL);
    fleet.setFaults(*fleet.service, R"({"mode":"none"})");
    REQUIRE(outcomeOf(answer.get()) == "unknown");
    REQUIRE(waitUntil([&] {
        auto retry = program;
        return errorOf(fleet.call(retry, "call", "charge", "once", shortDeadline)) == "outcome_unknown/unknown";
    }));
    REQUIRE(fleet.executionCounts() == std::pair<std::int64_t, std::int64_t> { 1, 1 });
}

TEST_CASE("an owner that is suspended beyond its lease and resumed runs no call twice")
{
    Fleet fleet({ "a", "a", "a" });
    auto program = fleet.startProgram();
    REQUIRE(fleet.call(program, "model", "planner", "first", longDeadline).response.status == 200);
    auto& owner = fleet.ownerOf(program);
    owner.process().sendSignal(SIGSTOP);
    auto delayedAnswer = fleet.callAsync(program, "call", "charge", "once", longDeadline);
    // Another node takes over the partition and responds.
    REQUIRE(waitUntil(
        [&] {
            auto retry = program;
            const auto answer = fleet.call(retry, "call", "charge", "once", shortDeadline);
            return answer.response.status == 200 || errorOf(answer) == "outcome_unknown/unknown";
        },
        Seconds(40)));
    owner.process().sendSignal(SIGCONT);
    delayedAnswer.get();
    auto next = fleet.startProgram();
    REQUIRE(fleet.call(next, "call", "charge", "other", longDeadline).response.status == 200);
    REQUIRE(fleet.executionCounts().second == 1);
}

TEST_CASE("while the log is unavailable non-idempotent calls are refused as not run, and model calls still run")
{
    Fleet fleet({ "a", "a" });
    auto program = fleet.startProgram();
    REQUIRE(fleet.call(program, "call", "charge", "before", longDeadline).response.status == 200);
    fleet.setFaults(*fleet.log, R"({"outage":"silent"})");
    REQUIRE(outcomeOf(fleet.call(program, "call", "charge", "during", shortDeadline)) == "not_run");
    REQUIRE(fleet.executionCounts().first == 1);
    REQUIRE(fleet.call(program, "model", "planner", "model", longDeadline).response.status == 200);
    fleet.setFaults(*fleet.log, R"({"outage":"none"})");
    std::string last;
    const bool ran = waitUntil([&] {
        const auto answer = fleet.call(program, "call", "charge", "during", shortDeadline);
        last = answer.response.body;
        return answer.response.status == 200;
    });
    INFO(last << " executions " << fleet.executionCounts().first);
    REQUIRE(ran);
    REQUIRE(fleet.executionCounts() == std::pair<std::int64_t, std::int64_t> { 2, 1 });
}

TEST_CASE("withdrawing a key ends the running stream of its caller, and later requests with it are refused")
{
    Fleet fleet({ "a", "b" });
    auto program = fleet.startProgram();
    for (const auto& engine : fleet.engines)
        fleet.setFaults(*engine, R"({"token_us":2000000})");
    auto running = fleet.callAsync(program, "model", "planner", "stream", longDeadline);
    REQUIRE(waitUntil([&] {
        return fleet.http.get(fleet.engines[0]->address(), "/state").jsonBody().at("running") != json::value(0)
            || fleet.http.get(fleet.engines[1]->address(), "/state").jsonBody().at("running") != json::value(0);
    }));
    REQUIRE(fleet.runPeridotctl({ "key", "withdraw", "test", "main" }) == 0);
    REQUIRE(errorOf(running.get()) == "key_withdrawn/unknown");
    // The engine cancelled the request; otherwise the stream would have completed.
    const auto cancelled = [&](const std::unique_ptr<Server>& engine) {
        return fleet.http.get(engine->address(), "/state").jsonBody().at("cancelled").to_number<int>() > 0;
    };
    REQUIRE(waitUntil([&] { return cancelled(fleet.engines[0]) || cancelled(fleet.engines[1]); }));
    REQUIRE(waitUntil([&] { return fleet.post("/v1/programs", "{}").response.status == 401; }, Seconds(6)));
}

// Guards against a process that takes SIGTERM for a repeated drain and ignores it, because an operator has drained it.
TEST_CASE("a drained process exits on SIGTERM")
{
    Fleet fleet({ "a", "a" });
    fleet.startProgram();
    for (auto* server : { fleet.schedulers[1].get(), fleet.gateway.get() }) {
        REQUIRE(fleet.http.post(server->listenerAddress("admin"), "/drain", "").response.status == 200);
        server->process().sendSignal(SIGTERM);
        REQUIRE(server->process().waitForExit(Seconds(20)) == 0);
    }
}

TEST_CASE(
    "an owner that is stopped with SIGTERM completes its running calls, and its programs continue on another node")
{
    Fleet fleet({ "a", "a" });
    auto program = fleet.startProgram();
    fleet.setFaults(*fleet.service, R"({"mode":"slow","slow_ms":1500})");
    auto& owner = fleet.ownerOf(program);
    auto running = fleet.callAsync(program, "call", "charge", "slow", longDeadline);
    REQUIRE(waitUntil([&] { return fleet.executionCounts().first == 1; }));
    owner.process().sendSignal(SIGTERM);
    const auto answer = running.get();
    REQUIRE(answer.response.status == 200);
    program.turn = 1;
    program.digest = answer.jsonBody().at("digest").as_string().c_str();
    REQUIRE(owner.process().waitForExit(Seconds(20)) == 0);
    REQUIRE(fleet.call(program, "model", "planner", "next", longDeadline).response.status == 200);
    REQUIRE(fleet.executionCounts() == std::pair<std::int64_t, std::int64_t> { 1, 1 });
}

TEST_CASE("a replacement node takes over the partitions of a failure domain that lost all its nodes")
{
    Fleet fleet({ "a", "a" });
    auto program = fleet.startProgram();
    REQUIRE(fleet.call(program, "call", "charge", "before", longDeadline).response.status == 200);
    for (int index = 0; index < 2; ++index) {
        auto& scheduler = *fleet.schedulers[static_cast<std::size_t>(index)];
        scheduler.process().sendSignal(SIGKILL);
        fleet.updateInstanceList("node-" + std::to_string(index), scheduler, false);
    }
    auto& replacement = fleet.addScheduler("node-9", "a");
    const auto hasTakenOver = [&] {
        const auto dump = fleet.http.get(replacement.listenerAddress("admin"), "/dump?format=json").jsonBody();
        const auto* partition = dump.if_contains("partition 0");
        return partition && partition->as_object().at("may_act").as_string() == "true";
    };
    REQUIRE(waitUntil(hasTakenOver, Seconds(60)));
}
