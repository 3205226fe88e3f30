#include "runner.h"

#include "peridotramp/programs.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <future>

namespace client {

namespace {

/// Turn that the caller keeps until an answer reports it as confirmed.
struct UnconfirmedTurn {
    std::int64_t turn = 0;
    std::string key;
    std::string kind;
    std::string target;
    std::string input;
    std::string output;
    std::string digest;
};

/// Last turn of a program, and the turns that no answer has reported as confirmed.
struct Chain {
    std::string program;
    std::int64_t turn = 0;
    std::string digest;
    std::vector<UnconfirmedTurn> unconfirmed;
};

/// State that a program shares with its children.
struct SharedState {
    Caller& caller;
    std::size_t number;
    CallCounters counters {};
    std::atomic<int> turns = 0;
    std::atomic<int> children = 0;
};

struct Failure {
    std::string outcome;
    std::string error;
};

std::string textOf(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(json::string_view(key.data(), key.size()));
    if (value == nullptr)
        return {};
    return value->is_string() ? std::string(value->as_string()) : json::serialize(*value);
}

std::int64_t integerOf(const json::object& object, std::string_view key, std::int64_t fallback)
{
    const auto* value = object.if_contains(json::string_view(key.data(), key.size()));
    return value != nullptr && value->is_int64() ? value->as_int64() : fallback;
}

// A gateway may write a program id in decimal or in hexadecimal digits.
std::vector<ProgramId> possibleIds(const std::string& program)
{
    std::vector<ProgramId> ids;
    for (const int base : { 10, 16 }) {
        std::uint64_t value = 0;
        const auto* end = program.data() + program.size();
        const auto parsed = std::from_chars(program.data(), end, value, base);
        if (parsed.ec == std::errc() && parsed.ptr == end)
            ids.push_back({ value });
    }
    return ids;
}

/// Returns why the answer does not belong to the turn; empty when it does.
std::string mismatchOf(const Chain& chain, const UnconfirmedTurn& turn, const Answer& answer)
{
    const auto answeredTurn = integerOf(answer.body, "turn", -1);
    if (answeredTurn != turn.turn)
        return fmt::format("received the answer of turn {} for turn {}", answeredTurn, turn.turn);
    if (!answer.streamed.empty() && answer.streamed != turn.output)
        return fmt::format("the streamed text of turn {} differs from the output", turn.turn);
    const auto previous = Digest::fromHex(chain.digest);
    const auto digest = Digest::fromHex(turn.digest);
    if (!previous || !digest)
        return fmt::format("turn {} or its predecessor has no valid digest", turn.turn);
    const auto matches = [&](ProgramId program) {
        return turnDigest(*previous, program, TurnNumber { turn.turn }, turn.input, turn.output) == *digest;
    };
    if (!std::ranges::any_of(possibleIds(chain.program), matches))
        return fmt::format("the digest of turn {} does not continue the chain", turn.turn);
    return {};
}

/// Runs one program of a script; each child program has a runner of its own.
class Runner {
public:
    Runner(SharedState& shared, const Script& script, std::uint64_t seed)
        : shared(shared)
        , script(script)
        , seed(seed)
        , random(seed)
    {
        std::random_device device;
        this->nonce = (std::uint64_t { device() } << 32) | device();
    }

    std::optional<Failure> run(const std::string& parent)
    {
        if (auto failure = this->begin(parent))
            return failure;
        std::optional<Failure> failure;
        for (const auto& step : this->script.steps) {
            failure = std::visit([&](const auto& action) { return this->perform(action); }, step.action);
            if (failure)
                break;
        }
        const auto ended = this->end();
        return failure ? failure : ended;
    }

    const std::string& program() const { return this->chain.program; }

private:
    std::string nextIdempotencyKey() { return fmt::format("{:016x}-{}", this->nonce, ++this->keyCount); }

    Answer send(const Exchange& exchange)
    {
        return this->shared.caller.call(exchange, this->seed, this->shared.counters);
    }

    static Failure failureOf(const Answer& answer, const std::string& place)
    {
        return { std::string(toString(answer.outcome)),
            fmt::format("{}: {} {}", place, toString(answer.error), answer.detail) };
    }

    std::optional<Failure> begin(const std::string& parent)
    {
        Exchange exchange;
        exchange.target = parent.empty() ? "/v1/programs" : fmt::format("/v1/programs/{}/children", parent);
        exchange.idempotencyKey = this->nextIdempotencyKey();
        if (!this->script.budget.empty())
            exchange.body["budget"] = this->script.budget;
        const auto answer = this->send(exchange);
        if (answer.error != ErrorKind::None)
            return failureOf(answer, "begin");
        this->chain.program = textOf(answer.body, "program");
        this->chain.turn = integerOf(answer.body, "turn", 0);
        this->chain.digest = textOf(answer.body, "digest");
        if (this->chain.program.empty())
            return Failure { "unknown", "begin: the answer names no program" };
        return std::nullopt;
    }

    std::optional<Failure> end()
    {
        const auto answer = this->send({ "DELETE", fmt::format("/v1/programs/{}", this->chain.program) });
        const auto isGone = answer.error == ErrorKind::ProgramEnded || answer.error == ErrorKind::UnknownProgram;
        if (answer.error == ErrorKind::None || isGone)
            return std::nullopt;
        return failureOf(answer, "end");
    }

    std::optional<Failure> perform(const ModelStep& step)
    {
        const UnconfirmedTurn turn { this->chain.turn + 1, this->nextIdempotencyKey(), "model", step.model,
            expandInput(step.input, this->shared.number) };
        json::object body { { "max_tokens", step.maxTokens.value }, { "stream", step.stream } };
        return this->runTurn(turn, std::move(body), step.stream);
    }

    std::optional<Failure> perform(const CallStep& step)
    {
        const UnconfirmedTurn turn { this->chain.turn + 1, this->nextIdempotencyKey(), "call", step.name,
            expandInput(step.input, this->shared.number) };
        return this->runTurn(turn, { { "stream", false } }, false);
    }

    std::optional<Failure> perform(const PauseStep& step)
    {
        std::uniform_int_distribution<std::int64_t> length(step.min.count(), step.max.count());
        this->shared.caller.sleepFor(Milliseconds(length(this->random)));
        return std::nullopt;
    }

    std::optional<Failure> perform(const ChildrenStep& step)
    {
        std::vector<std::future<std::optional<Failure>>> running;
        for (const auto& child : step.children) {
            ++this->shared.children;
            running.push_back(std::async(std::launch::async, [this, &child, seed = this->random()] {
                return Runner(this->shared, child, seed).run(this->chain.program);
            }));
        }
        std::optional<Failure> failure;
        for (auto& each : running) {
            auto ended = each.get();
            failure = failure ? failure : ended;
        }
        return failure;
    }

    std::optional<Failure> runTurn(UnconfirmedTurn turn, json::object body, bool stream)
    {
        body["turn"] = this->chain.turn;
        body["digest"] = this->chain.digest;
        body["kind"] = turn.kind;
        body["target"] = turn.target;
        body["input"] = turn.input;
        if (!this->chain.unconfirmed.empty())
            body["unconfirmed"] = this->unconfirmedTurns();
        const auto place = fmt::format("turn {} ({} {})", turn.turn, turn.kind, turn.target);
        const auto answer = this->send(
            { "POST", fmt::format("/v1/programs/{}/calls", this->chain.program), std::move(body), turn.key, stream });
        if (answer.error != ErrorKind::None || answer.outcome != Outcome::Completed)
            return failureOf(answer, place);
        turn.output = textOf(answer.body, "output");
        turn.digest = textOf(answer.body, "digest");
        if (const auto mismatch = mismatchOf(this->chain, turn, answer); !mismatch.empty())
            return Failure { "mixed", mismatch };
        this->accept(std::move(turn), integerOf(answer.body, "confirmed_turn", 0));
        return std::nullopt;
    }

    void accept(UnconfirmedTurn turn, std::int64_t confirmed)
    {
        this->chain.turn = turn.turn;
        this->chain.digest = turn.digest;
        this->chain.unconfirmed.push_back(std::move(turn));
        std::erase_if(this->chain.unconfirmed, [&](const UnconfirmedTurn& each) { return each.turn <= confirmed; });
        ++this->shared.turns;
    }

    json::array unconfirmedTurns() const
    {
        json::array turns;
        for (const auto& each : this->chain.unconfirmed) {
            turns.push_back(json::object { { "turn", each.turn }, { "idempotency_key", each.key },
                { "kind", each.kind }, { "target", each.target }, { "input", each.input }, { "output", each.output },
                { "digest", each.digest } });
        }
        return turns;
    }

    SharedState& shared;
    const Script& script;
    // Selects the first gateway of each step.
    std::uint64_t seed;
    std::mt19937_64 random;
    // Makes the idempotency keys unique across programs and runs.
    std::uint64_t nonce = 0;
    std::uint64_t keyCount = 0;
    Chain chain {};
};

} // namespace

std::string ProgramReport::toJson() const
{
    return json::serialize(json::object { { "number", this->number }, { "name", this->name },
        { "program", this->program }, { "outcome", this->outcome }, { "error", this->error },
        { "latency_ms", this->latency.count() }, { "turns", this->turns }, { "children", this->children },
        { "retries", this->retries }, { "refusals", this->refusals } });
}

ProgramReport runProgram(Caller& caller, const Script& script, std::size_t number, std::uint64_t seed)
{
    SharedState shared { caller, number };
    Runner runner(shared, script, seed);
    const auto startTime = RuntimeClock::now();
    const auto failure = runner.run({});
    ProgramReport report { number, script.name, runner.program() };
    report.latency = std::chrono::duration_cast<Milliseconds>(RuntimeClock::now() - startTime);
    if (failure) {
        report.outcome = failure->outcome;
        report.error = failure->error;
    }
    report.turns = shared.turns;
    report.children = shared.children;
    report.retries = shared.counters.retries;
    report.refusals = shared.counters.refusals;
    return report;
}

} // namespace client
