#include "fixture.h"
#include "peridotramp/programs.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <sstream>

using namespace processes;

namespace {

/// Behaviour of the fake gateway in the next calls.
struct Behaviour {
    /// Number of calls to refuse.
    int callsToRefuse = 0;
    /// Number of calls whose connection is closed after they ran.
    int callsToClose = 0;
    bool wrongDigest = false;
    std::int64_t confirmedTurn = 0;
};

struct FakeGatewayState {
    Behaviour behaviour {};
    std::uint64_t startedPrograms = 0;
    std::map<std::string, std::string> answers {};
    std::vector<std::string> callBodies {};
    std::set<std::string> authorizations {};
    int endedPrograms = 0;
};

/// Gateway that implements the part of the API that the client uses.
class FakeGateway {
public:
    explicit FakeGateway(Runtime& runtime)
        : server(runtime, {}, [this](const HttpRequest& request, const HttpExchange& exchange) {
            this->record.with(0, [&](FakeGatewayState& state) { this->serve(state, request, exchange); });
        })
    {
    }

    std::string address() const { return this->server.address().toString(); }
    template <typename Function> auto with(Function&& function) { return this->record.with(0, function); }

private:
    void serve(FakeGatewayState& state, const HttpRequest& request, const HttpExchange& exchange)
    {
        state.authorizations.emplace(request.header("Authorization").value_or(""));
        if (request.method == "DELETE") {
            ++state.endedPrograms;
            return exchange.respond(jsonResponse(200, "{}"));
        }
        if (request.path().ends_with("/calls"))
            return this->call(state, request, exchange);
        exchange.respond(jsonResponse(200,
            json::serialize(json::object { { "program", std::to_string(++state.startedPrograms) }, { "turn", 0 },
                { "digest", Digest {}.toHex() } })));
    }

    void call(FakeGatewayState& state, const HttpRequest& request, const HttpExchange& exchange)
    {
        state.callBodies.push_back(request.body);
        if (state.behaviour.callsToRefuse > 0) {
            --state.behaviour.callsToRefuse;
            return exchange.respond(jsonResponse(
                429, R"({"error":{"kind":"rate_exceeded","outcome":"not_run","retry_after_ms":1,"remedy":""}})"));
        }
        auto& answer = state.answers[std::string(request.header("Idempotency-Key").value_or(""))];
        if (answer.empty())
            answer = this->run(state, request);
        if (state.behaviour.callsToClose > 0) {
            --state.behaviour.callsToClose;
            return exchange.abort();
        }
        const auto stream = json::parse(request.body).as_object().at("stream").as_bool();
        if (!stream)
            return exchange.respond(jsonResponse(200, answer));
        exchange.startStream({ 200, { { "Content-Type", "text/event-stream" } }, {} });
        exchange.write("data: {\"token\":\"out\"}\n\ndata: {\"token\":\"put\"}\n\n");
        exchange.write("event: end\ndata: " + answer + "\n\n");
        exchange.finish();
    }

    static std::string run(const FakeGatewayState& state, const HttpRequest& request)
    {
        const auto body = json::parse(request.body).as_object();
        const auto turn = body.at("turn").to_number<std::int64_t>() + 1;
        const auto id = request.target.substr(13, request.target.rfind('/') - 13);
        const std::string input(body.at("input").as_string());
        const auto previous = Digest::fromHex(std::string_view(body.at("digest").as_string()));
        const auto digestInput = state.behaviour.wrongDigest ? "input of another program" : input;
        const auto digest
            = turnDigest(*previous, ProgramId { std::stoull(id) }, TurnNumber { turn }, digestInput, "output");
        return json::serialize(
            json::object { { "outcome", "completed" }, { "turn", turn }, { "digest", digest.toHex() },
                { "output", "output" }, { "confirmed_turn", state.behaviour.confirmedTurn } });
    }

    Sharded<FakeGatewayState, 1> record {};
    HttpServer server;
};

const std::string script = R"({"name":"s","budget":"b","steps":[
    {"model":"m","input":"guide {n}","max_tokens":5},
    {"pause_ms":[1,3]},
    {"children":[{"steps":[{"model":"m","input":"c"}]},{"steps":[{"call":"deposit","input":"d"}]}]},
    {"call":"deposit","input":"sum"}]})";

struct Fixture {
    TemporaryFolder folder {};
    BlockingHttpClient http {};
    FakeGateway gateway { this->http.eventLoop() };

    std::unique_ptr<Process> startClient(std::vector<std::string> arguments = {})
    {
        arguments.insert(arguments.end(),
            { "--script", this->folder.write("script.json", script), "--gateway", this->gateway.address(),
                "--key-variable", "TEST_KEY" });
        return std::make_unique<Process>(
            this->folder, "peridot-client", arguments, std::vector<std::string> { "TEST_KEY=secret-key" });
    }
};

std::vector<json::object> outputLines(const Process& process)
{
    std::vector<json::object> lines;
    std::istringstream text(process.standardOutput());
    for (std::string line; std::getline(text, line);)
        lines.push_back(json::parse(line).as_object());
    return lines;
}

} // namespace

TEST_CASE("the client completes programs with child programs and never prints its key")
{
    Fixture fixture;
    const auto client = fixture.startClient({ "--programs", "6", "--concurrency", "3" });
    REQUIRE(client->waitForExit() == 0);
    const auto lines = outputLines(*client);
    REQUIRE(lines.size() == 6);
    REQUIRE(std::ranges::all_of(lines, [](const json::object& line) {
        return line.at("outcome") == "completed" && line.at("turns").to_number<int>() == 4
            && line.at("children").to_number<int>() == 2;
    }));
    const auto printed = client->standardOutput() + client->standardError();
    REQUIRE(printed.find("secret-key") == std::string::npos);
    fixture.gateway.with([](const FakeGatewayState& record) {
        REQUIRE(record.endedPrograms == 18);
        REQUIRE(record.authorizations == std::set<std::string> { "Bearer secret-key" });
    });
}

TEST_CASE("the client retries a refused or unanswered call with the same idempotency key")
{
    Fixture fixture;
    fixture.gateway.with([](FakeGatewayState& record) { record.behaviour = { 2, 1 }; });
    const auto client = fixture.startClient();
    REQUIRE(client->waitForExit() == 0);
    const auto line = outputLines(*client).front();
    REQUIRE(line.at("retries").to_number<int>() == 3);
    REQUIRE(line.at("refusals").to_number<int>() == 2);
    fixture.gateway.with([](const FakeGatewayState& record) { REQUIRE(record.answers.size() == 4); });
}

TEST_CASE("the client resends exactly the unconfirmed turns")
{
    Fixture fixture;
    fixture.gateway.with([](FakeGatewayState& record) { record.behaviour.confirmedTurn = 0; });
    REQUIRE(fixture.startClient()->waitForExit() == 0);
    fixture.gateway.with([](FakeGatewayState& record) {
        const auto last = json::parse(record.callBodies.back()).as_object();
        REQUIRE(last.at("unconfirmed").as_array().size() == 1);
        REQUIRE(last.at("unconfirmed").as_array().at(0).as_object().at("input") == "guide 0");
        record.callBodies.clear();
        record.behaviour.confirmedTurn = 1;
    });
    REQUIRE(fixture.startClient()->waitForExit() == 0);
    fixture.gateway.with([](const FakeGatewayState& record) {
        REQUIRE_FALSE(json::parse(record.callBodies.back()).as_object().contains("unconfirmed"));
    });
}

TEST_CASE("the client reports a response that belongs to another request")
{
    Fixture fixture;
    fixture.gateway.with([](FakeGatewayState& record) { record.behaviour.wrongDigest = true; });
    const auto client = fixture.startClient();
    REQUIRE(client->waitForExit() == 1);
    REQUIRE(outputLines(*client).front().at("outcome") == "mixed");
}

TEST_CASE("the client rejects an invalid script and reports the position of the error")
{
    Fixture fixture;
    const auto path = fixture.folder.write("wrong.json", R"({"steps":[{"pause_ms":-1}]})");
    Process client(fixture.folder, "peridot-client",
        { "--script", path, "--gateway", fixture.gateway.address(), "--key-variable", "TEST_KEY" }, { "TEST_KEY=k" });
    REQUIRE(client.waitForExit() == 2);
    REQUIRE(client.standardError().find("script.steps[0]") != std::string::npos);
}
