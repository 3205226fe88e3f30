#include "engine.h"

using namespace standin;

namespace {

/// Response stream of one completion. Its steps never run concurrently.
struct Stream {
    Completion completion {};
    EngineState::Admission admission {};
    std::int64_t sentTokens = 0;
    HttpExchange exchange {};
    std::atomic<bool> disconnected = false;
};

class Engine {
public:
    explicit Engine(StandIn& process)
        : process(process)
    {
        auto& app = process.options();
        app.add_option(
            "--prefill-tokens-per-second", this->settings.prefillTokensPerSecond, "Prefill speed of a single request");
        app.add_option("--token-us", this->settings.tokenMicroseconds, "Decode time of one token in microseconds");
        app.add_option(
            "--batch-slope", this->settings.slowdownPerRequest, "Fractional slowdown per additional running request");
        app.add_option("--max-answer-tokens", this->settings.maxOutputTokens, "Maximum output tokens of a request");
        app.add_option("--kv-tokens", this->settings.kvTokens, "Capacity of the prefix cache in tokens");
        app.add_option(
            "--kv-tokens-per-program", this->settings.kvTokensPerProgram, "Maximum cached tokens of one program");
        app.add_option("--cold-ms", this->settings.coldMs, "Duration of a cold start");
        app.add_option("--cold-bears", this->settings.coldMaxRequests, "Maximum running requests during a cold start");
        app.add_option("--cold-slowness", this->settings.coldSlowdown, "Slowdown factor during a cold start");
        app.add_option("--load-lag-ms", this->settings.loadLagMs, "Age of the reported load");
        app.add_option("--event-lag-ms", this->settings.eventLagMs, "Delay before cache events are reported");
        app.add_option("--models", this->settings.models, "Initially loaded models")->delimiter(',');
        app.add_option("--fencing", this->fencing, "Handling of fencing tokens: obeyed or ignored")
            ->check(CLI::IsMember({ "obeyed", "ignored" }));
    }

    void serve(const HttpRequest& request, const HttpExchange& exchange)
    {
        const auto path = request.path();
        const auto now = RuntimeClock::now();
        if (request.method == "POST" && path == "/v1/completions")
            return this->handleCompletion(request, exchange);
        if (request.method == "POST" && path == "/orders")
            return this->handleOrder(request, exchange);
        if (request.method != "GET")
            return exchange.respond(errorResponse(404, "no such route"));
        if (path == "/load")
            return exchange.respond(this->stateResponse([&](EngineState& state) { return state.loadReport(now); }));
        if (path == "/kv")
            return exchange.respond(this->stateResponse([&](EngineState& state) { return state.cacheReport(); }));
        if (path != "/events")
            return exchange.respond(errorResponse(404, "no such route"));
        const auto text = request.query("from").value_or("1");
        std::uint64_t from = 1;
        std::from_chars(text.data(), text.data() + text.size(), from);
        exchange.respond(this->stateResponse([&](EngineState& state) { return state.eventReport(from, now); }));
    }

    void reportState(json::object& object)
    {
        this->state.with(0, [&](EngineState& current) { current.writeState(object, RuntimeClock::now()); });
    }

    void setFaults(const json::object& object)
    {
        this->state.with(0, [&](EngineState& current) { current.setFaults(object, RuntimeClock::now()); });
    }

    void start()
    {
        this->settings.enforceFencing = this->fencing == "obeyed";
        this->state.with(0, [&](EngineState& current) { current.start(this->settings, RuntimeClock::now()); });
    }

private:
    template <typename Function> HttpResponse stateResponse(Function&& function)
    {
        return objectResponse(200, this->state.with(0, std::forward<Function>(function)));
    }

    void handleOrder(const HttpRequest& request, const HttpExchange& exchange)
    {
        const auto object = parseObject(request.body);
        if (!object)
            return exchange.respond(errorResponse(400, "the order must be a JSON object"));
        const auto result = this->state.with(
            0, [&](EngineState& current) { return current.applyOrder(*object, RuntimeClock::now()); });
        exchange.respond(objectResponse(result.status, result.body));
    }

    static std::optional<Completion> parseCompletion(const std::string& body)
    {
        const auto object = parseObject(body);
        if (!object || !object->contains("program") || !object->contains("prompt"))
            return std::nullopt;
        Completion completion { stringField(*object, "program", ""), stringField(*object, "turn", ""),
            stringField(*object, "model", ""), integerField(*object, "prompt_tokens", 0),
            integerField(*object, "max_tokens", 16), stringField(*object, "prompt", "") };
        if (completion.promptTokens < 0 || completion.maxTokens < 1)
            return std::nullopt;
        return completion;
    }

    void handleCompletion(const HttpRequest& request, const HttpExchange& exchange)
    {
        auto completion = parseCompletion(request.body);
        if (!completion)
            return exchange.respond(errorResponse(400,
                "program and prompt are required; prompt_tokens must not be negative and max_tokens must be positive"));
        completion->maxTokens = std::min(completion->maxTokens, this->settings.maxOutputTokens);
        auto stream = std::make_shared<Stream>();
        stream->completion = std::move(*completion);
        stream->exchange = exchange;
        const std::string callId(request.header("Call-Id").value_or(""));
        stream->admission = this->state.with(0, [&](EngineState& current) {
            current.countCall(callId);
            return current.admit(stream->completion, RuntimeClock::now());
        });
        if (!stream->admission.accepted)
            return exchange.respond(errorResponse(503, "overloaded during a cold start"));
        exchange.onDisconnect([stream] { stream->disconnected = true; });
        exchange.startStream({ 200, { { "Content-Type", "text/event-stream" } }, {} });
        this->process.eventLoop().after(stream->admission.prefill, [this, stream] { this->sendToken(stream); });
    }

    // Sends one token and schedules the next one at the speed of the current batch.
    void sendToken(const std::shared_ptr<Stream>& stream)
    {
        const auto& completion = stream->completion;
        if (stream->disconnected)
            return this->end(*stream, false);
        if (stream->sentTokens == completion.maxTokens)
            return this->finish(*stream);
        const auto token = outputToken(completion, stream->sentTokens++);
        if (!stream->exchange.write(fmt::format("data: {}\n\n", json::serialize(json::object { { "token", token } }))))
            return this->end(*stream, false);
        const auto delay
            = this->state.with(0, [](const EngineState& current) { return current.tokenTime(RuntimeClock::now()); });
        this->process.eventLoop().after(delay, [this, stream] { this->sendToken(stream); });
    }

    void finish(const Stream& stream)
    {
        const json::object usage { { "prompt_tokens", stream.completion.promptTokens },
            { "cached_tokens", stream.admission.cachedTokens }, { "completion_tokens", stream.sentTokens } };
        const json::object last { { "usage", usage }, { "done", true } };
        // The prefix is cached before the caller gets the end of the response and can send its next turn.
        this->end(stream, true);
        stream.exchange.write(fmt::format("data: {}\n\n", json::serialize(last)));
        stream.exchange.finish();
    }

    void end(const Stream& stream, bool completed)
    {
        const auto cachedTokens = stream.completion.promptTokens + stream.sentTokens;
        this->state.with(0, [&](EngineState& current) {
            current.end(stream.admission.requestId, cachedTokens, completed, RuntimeClock::now());
        });
    }

    StandIn& process;
    EngineSettings settings {};
    std::string fencing = "obeyed";
    Sharded<EngineState, 1> state {};
};

} // namespace

/// Model engine. Additional faults: `cold` (starts a cold start of `cold_ms` with an empty cache), `cold_bears`
/// (maximum running requests during a cold start), `token_us` (decode time of a token) and `drop_events` (number of
/// cache events that are dropped).
int main(int argc, char** argv)
{
    StandIn process("engine", "Stand-in for a model engine");
    Engine engine(process);
    Hooks hooks;
    hooks.start = [&] { engine.start(); };
    hooks.serve = [&](const HttpRequest& request, const HttpExchange& exchange) { engine.serve(request, exchange); };
    hooks.reportState = [&](json::object& object) { engine.reportState(object); };
    hooks.setFaults = [&](const json::object& object) { engine.setFaults(object); };
    return process.run(argc, argv, std::move(hooks));
}
