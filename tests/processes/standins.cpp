#include "fixture.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

using namespace processes;

namespace {

struct Fixture {
    TemporaryFolder folder {};
    BlockingHttpClient http {};
};

std::string completionBody(const std::string& program, int promptTokens, int maxTokens)
{
    return json::serialize(json::object { { "program", program }, { "turn", 1 }, { "prompt", "text" },
        { "prompt_tokens", promptTokens }, { "max_tokens", maxTokens }, { "stream", true } });
}

json::object usageOf(const std::string& events)
{
    const auto start = events.rfind("data: ");
    return json::parse(events.substr(start + 6)).as_object().at("usage").as_object();
}

} // namespace

// Guards against a stand-in that removes duplicates or loses no responses: tests of the nodes that rely on it would
// then pass without having met either fault.
TEST_CASE("the log stores a repeated append twice and can drop the response to a stored append")
{
    Fixture fixture;
    Server log(fixture.folder, "standin-log");
    const std::string path = "/streams/s/records";
    const auto append = [&](const std::string& id, const std::string& data) {
        return fixture.http.post(log.address(), path, data, { { "Append-Id", id } });
    };
    REQUIRE(append("1", "a").jsonBody().at("offset").to_number<int>() == 0);
    REQUIRE(append("1", "a").jsonBody().at("offset").to_number<int>() == 1);
    fixture.http.post(log.address(), "/faults", R"({"lose_answers":1})");
    REQUIRE(append("2", "b").result.error == ErrorKind::ConnectionFailed);
    const auto read = fixture.http.get(log.address(), path + "?from=1&limit=9").jsonBody();
    REQUIRE(json::serialize(read)
        == R"({"first":0,"next":3,"records":[{"offset":1,"data":"YQ=="},{"offset":2,"data":"Yg=="}]})");
}

TEST_CASE("the log drops records beyond its retention and keeps counting offsets")
{
    Fixture fixture;
    Server log(fixture.folder, "standin-log", { "--retain-records", "2" });
    for (int record = 0; record < 5; ++record)
        fixture.http.post(log.address(), "/streams/s/records", "x", { { "Append-Id", "1" } });
    const auto read = fixture.http.get(log.address(), "/streams/s/records?from=0&limit=9").jsonBody();
    REQUIRE(read.at("first").to_number<int>() == 3);
    REQUIRE(read.at("next").to_number<int>() == 5);
    REQUIRE(read.at("records").as_array().size() == 2);
}

TEST_CASE("the log refuses appends beyond its rate limit and can ignore single clients")
{
    Fixture fixture;
    Server log(fixture.folder, "standin-log", { "--appends-per-second", "0.0001" });
    const auto append = [&](const std::string& client) {
        return fixture.http.post(log.address(), "/streams/s/records", "x",
            { { "Append-Id", "1" }, { "X-Client", client } }, Milliseconds(200));
    };
    REQUIRE(append("a").result.status == 200);
    REQUIRE(append("a").result.status == 429);
    fixture.http.post(log.address(), "/faults", R"({"cut":["a"],"appends_per_second":1000})");
    REQUIRE(append("a").result.error == ErrorKind::DeadlineExceeded);
    REQUIRE(waitUntil([&] { return append("b").result.status == 200; }));
}

TEST_CASE("an outage of mode refuse refuses connections and ends after its duration")
{
    Fixture fixture;
    Server log(fixture.folder, "standin-log");
    fixture.http.post(log.address(), "/faults", R"({"outage":"refuse","outage_ms":300})");
    const auto isRefused = [&] {
        const auto answer = fixture.http.get(log.address(), "/streams/s/records");
        return answer.result.error == ErrorKind::ConnectionFailed && !answer.result.requestWritten;
    };
    REQUIRE(waitUntil(isRefused));
    REQUIRE(waitUntil([&] { return fixture.http.get(log.address(), "/streams/s/records").result.status == 200; }));
}

TEST_CASE("the output of the engine is deterministic, and a cached prefix is not prefilled again")
{
    Fixture fixture;
    Server engine(fixture.folder, "standin-engine", { "--token-us", "100" });
    const auto complete = [&](const std::string& program) {
        return fixture.http.post(
            engine.address(), "/v1/completions", completionBody(program, 50, 3), { { "Call-Id", "c1" } });
    };
    const auto first = complete("7").response.body;
    const auto second = complete("7").response.body;
    REQUIRE(usageOf(first).at("cached_tokens").to_number<int>() == 0);
    REQUIRE(usageOf(second).at("cached_tokens").to_number<int>() == 50);
    REQUIRE(first.substr(0, first.rfind("data:")) == second.substr(0, second.rfind("data:")));
    REQUIRE(complete("8").response.body.substr(0, 20) != first.substr(0, 20));
    const auto state = fixture.http.get(engine.address(), "/state").jsonBody();
    REQUIRE(state.at("calls").as_object().at("c1").to_number<int>() == 3);
    REQUIRE(state.at("headers").as_object().at("Call-Id").as_array().size() == 1);
}

TEST_CASE("a cold engine refuses requests beyond its limit, and a release order evicts the prefix of a program")
{
    Fixture fixture;
    Server engine(fixture.folder, "standin-engine", { "--token-us", "200000", "--cold-ms", "600000" });
    auto running = std::async(std::launch::async, [&] {
        return fixture.http.post(engine.address(), "/v1/completions", completionBody("7", 5, 50),
            { { "Call-Id", "a" } }, Milliseconds(30'000));
    });
    const auto isRunning
        = [&] { return fixture.http.get(engine.address(), "/state").jsonBody().at("running").to_number<int>() == 1; };
    REQUIRE(waitUntil(isRunning));
    REQUIRE(fixture.http.post(engine.address(), "/v1/completions", completionBody("8", 5, 3)).result.status == 503);
    fixture.http.post(engine.address(), "/faults", R"({"token_us":100})");
    REQUIRE(running.get().result.status == 200);
    const auto order = [&](int token) {
        return fixture.http.post(engine.address(), "/orders",
            json::serialize(json::object {
                { "order_id", "o" }, { "fencing_token", token }, { "kind", "release" }, { "program", "7" } }));
    };
    REQUIRE(fixture.http.get(engine.address(), "/kv").jsonBody().at("programs").as_array().size() == 1);
    REQUIRE(order(5).result.status == 200);
    REQUIRE(order(4).result.status == 409);
    REQUIRE(fixture.http.get(engine.address(), "/kv").jsonBody().at("programs").as_array().empty());
    REQUIRE(fixture.http.get(engine.address(), "/state").jsonBody().at("overloads").to_number<int>() == 1);
}

TEST_CASE("the service counts executed calls, whether or not it responds")
{
    Fixture fixture;
    Server service(fixture.folder, "standin-service");
    const auto call = [&] {
        return fixture.http.post(service.address(), "/call/deposit", "x", { { "Call-Id", "c1" } }, Milliseconds(2000));
    };
    const auto executions = [&] {
        const auto state = fixture.http.get(service.address(), "/state").jsonBody();
        const auto* count = state.at("executions").as_object().if_contains("c1");
        return count == nullptr ? 0 : count->to_number<int>();
    };
    const auto setFault = [&](const std::string& mode) {
        fixture.http.post(service.address(), "/faults", R"({"count":1,"mode":")" + mode + R"("})");
    };
    setFault("close");
    REQUIRE(call().result.error == ErrorKind::ConnectionFailed);
    setFault("status_500");
    REQUIRE(call().result.status == 500);
    REQUIRE(executions() == 0);
    setFault("execute_then_close");
    REQUIRE(call().result.error == ErrorKind::ConnectionFailed);
    REQUIRE(executions() == 1);
    REQUIRE(call().result.status == 200);
    REQUIRE(executions() == 2);
}

TEST_CASE("the instance list returns a change, and a stand-in exits on SIGTERM")
{
    Fixture fixture;
    Server instances(fixture.folder, "standin-instances");
    fixture.http.post(instances.address(), "/instances", R"({"name":"n1","state":"leaving"})");
    const auto listed = fixture.http.get(instances.address(), "/instances").response.body;
    REQUIRE(listed == R"({"instances":[{"name":"n1","state":"leaving"}]})");
    instances.process().sendSignal(SIGTERM);
    REQUIRE(instances.process().waitForExit() == 0);
}

TEST_CASE("the weight store sends all bytes of a download")
{
    Fixture fixture;
    Server weights(fixture.folder, "standin-weights");
    REQUIRE(fixture.http.get(weights.address(), "/weights/m?bytes=3000000").response.body.size() == 3'000'000);
}
