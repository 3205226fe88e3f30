#include "peridotramp/endpoints.h"

#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>

namespace peridotramp {

namespace json = boost::json;

namespace {

constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusTooManyRequests = 429;

std::optional<json::object> parseObject(std::string_view text)
{
    boost::system::error_code error;
    const auto value = json::parse(json::string_view(text.data(), text.size()), error);
    if (error || !value.is_object())
        return std::nullopt;
    return value.as_object();
}

std::uint64_t integerField(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    boost::system::error_code error;
    const auto number = value && value->is_number() ? value->to_number<std::uint64_t>(error) : 0;
    return error ? 0 : number;
}

std::string stringField(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::string formatProgramId(ProgramId program) { return fmt::format("{:016x}", program.value); }

ProgramId programIdOf(std::string_view name)
{
    ProgramId program;
    const auto parsed = std::from_chars(name.data(), name.data() + name.size(), program.value, 16);
    return parsed.ec == std::errc() && parsed.ptr == name.data() + name.size() ? program : ProgramId {};
}

// Parses the events of one completion stream.
struct CompletionReader {
    std::string pending;
    EndpointAnswer answer;
    TimePoint startedAt = RuntimeClock::now();
    unsigned status = 0;
    bool done = false;
    std::function<void(std::string_view)> onToken;

    void read(std::string_view part);
    void readEvent(std::string_view event);
};

void CompletionReader::read(std::string_view part)
{
    this->pending.append(part);
    std::size_t begin = 0;
    for (auto end = this->pending.find("\n\n"); end != std::string::npos; end = this->pending.find("\n\n", begin)) {
        this->readEvent(std::string_view(this->pending).substr(begin, end - begin));
        begin = end + 2;
    }
    this->pending.erase(0, begin);
}

void CompletionReader::readEvent(std::string_view event)
{
    constexpr std::string_view prefix = "data: ";
    if (!event.starts_with(prefix))
        return;
    const auto object = parseObject(event.substr(prefix.size()));
    if (!object)
        return;
    if (const auto token = stringField(*object, "token"); !token.empty()) {
        if (!this->answer.firstToken)
            this->answer.firstToken = RuntimeClock::now() - this->startedAt;
        this->answer.output += token;
        if (this->onToken)
            this->onToken(token);
    }
    if (!object->contains("done"))
        return;
    this->done = true;
    const auto* usage = object->if_contains("usage");
    if (!usage || !usage->is_object())
        return;
    const auto& counts = usage->as_object();
    this->answer.usage = { TokenCount { static_cast<std::int64_t>(integerField(counts, "prompt_tokens")) },
        TokenCount { static_cast<std::int64_t>(integerField(counts, "cached_tokens")) },
        TokenCount { static_cast<std::int64_t>(integerField(counts, "completion_tokens")) } };
}

// Sets the error of an answer, and whether the request was written or refused, from the HTTP result.
void applyHttpResult(EndpointAnswer& answer, const HttpResult& result, bool complete)
{
    answer.requestWritten = result.requestWritten;
    answer.refused = result.error == ErrorKind::None
        && (result.status == statusUnavailable || result.status == statusTooManyRequests);
    if (result.error != ErrorKind::None)
        answer.error = result.error;
    else if (answer.refused)
        answer.error = ErrorKind::EndpointUnavailable;
    else if (result.status != 200 || !complete)
        answer.error = ErrorKind::EndpointFailed;
}

json::object bodyOf(const Order& order)
{
    json::object body { { "order_id", fmt::to_string(order.order.value) }, { "fencing_token", order.epoch.value } };
    if (const auto* release = std::get_if<ReleaseProgram>(&order.wanted)) {
        body["kind"] = "release";
        body["program"] = formatProgramId(release->program);
    } else if (const auto* hold = std::get_if<HoldProgram>(&order.wanted)) {
        body["kind"] = "import";
        body["program"] = formatProgramId(hold->program);
    } else if (const auto* serve = std::get_if<ServeModels>(&order.wanted)) {
        body["kind"] = "load";
        json::array models;
        for (const auto model : serve->models)
            models.push_back(json::value(fmt::to_string(model.value)));
        body["models"] = std::move(models);
    }
    return body;
}

KvEvent parseEvent(const json::object& object)
{
    const auto kind = stringField(object, "kind");
    const auto eventKind = kind == "stored" ? KvEventKind::Stored
        : kind == "evicted"                 ? KvEventKind::Evicted
                                            : KvEventKind::Cleared;
    return { integerField(object, "sequence"), eventKind, programIdOf(stringField(object, "program")),
        TokenCount { static_cast<std::int64_t>(integerField(object, "tokens")) } };
}

} // namespace

EndpointClient::EndpointClient(Runtime& runtime)
    : http(runtime)
{
}

HttpClient::Call EndpointClient::complete(
    const EngineCall& call, std::function<void(std::string_view)> onToken, AnswerHook onEnd)
{
    const json::object body { { "program", formatProgramId(call.program) }, { "turn", fmt::to_string(call.turn.value) },
        { "model", call.model }, { "prompt", call.prompt }, { "prompt_tokens", call.promptTokens.value },
        { "max_tokens", call.maxTokens.value }, { "stream", true } };
    HttpRequest request { "POST", "/v1/completions",
        { { "Content-Type", "application/json" }, { "Call-Id", fmt::format("{:016x}", call.call.value) } },
        json::serialize(body) };
    auto reader = std::make_shared<CompletionReader>();
    reader->onToken = std::move(onToken);
    HttpClientHooks hooks;
    hooks.onBody = [reader](std::string_view part) { reader->read(part); };
    hooks.onEnd = [reader, onEnd = std::move(onEnd)](HttpResult result) {
        applyHttpResult(reader->answer, result, reader->done);
        onEnd(std::move(reader->answer));
    };
    return this->http.stream(call.address, std::move(request), { call.timeout, true }, std::move(hooks));
}

HttpClient::Call EndpointClient::callService(const ServiceCall& call, AnswerHook onEnd)
{
    HttpRequest request { "POST", "/call/" + call.name,
        { { "Content-Type", "application/json" }, { "Call-Id", fmt::format("{:016x}", call.call.value) } },
        call.input };
    // Uses a new connection: if a reused one breaks after the write, it is unknown whether the service received the
    // request.
    return this->http.send(call.address, std::move(request), { call.timeout, false },
        [onEnd = std::move(onEnd)](HttpResult result, HttpResponse response) {
            EndpointAnswer answer;
            answer.output = std::move(response.body);
            applyHttpResult(answer, result, true);
            onEnd(std::move(answer));
        });
}

void EndpointClient::sendOrder(const Address& address, const Order& order, std::function<void(ErrorKind)> hook)
{
    HttpRequest request { "POST", "/orders", { { "Content-Type", "application/json" } },
        json::serialize(bodyOf(order)) };
    this->http.send(address, std::move(request), { Milliseconds(2000), true },
        [hook = std::move(hook)](HttpResult result, const HttpResponse&) {
            if (result.error != ErrorKind::None)
                return hook(result.error);
            hook(result.status == 200 ? ErrorKind::None : ErrorKind::EndpointFailed);
        });
}

void EndpointClient::fetchLoad(
    const Address& address, EndpointId endpoint, std::function<void(Result<LoadReport>)> hook)
{
    this->http.send(address, { "GET", "/load", {}, {} }, { Milliseconds(2000), true },
        [endpoint, hook = std::move(hook)](HttpResult result, const HttpResponse& response) {
            const auto object = result.error == ErrorKind::None ? parseObject(response.body) : std::nullopt;
            if (!object)
                return hook(Error { ErrorKind::ConnectionFailed });
            const auto age = Milliseconds(static_cast<std::int64_t>(integerField(*object, "age_ms")));
            hook(LoadReport { endpoint, EngineStart { integerField(*object, "start") }, RuntimeClock::now() - age,
                SlotCount { static_cast<std::int64_t>(integerField(*object, "running")) },
                SlotCount { static_cast<std::int64_t>(integerField(*object, "queued")) } });
        });
}

void EndpointClient::fetchEvents(const Address& address, std::uint64_t from,
    std::function<void(Result<std::pair<EngineStart, std::vector<KvEvent>>>)> hook)
{
    this->http.send(address, { "GET", fmt::format("/events?from={}", from), {}, {} }, { Milliseconds(2000), true },
        [hook = std::move(hook)](HttpResult result, const HttpResponse& response) {
            const auto object = result.error == ErrorKind::None ? parseObject(response.body) : std::nullopt;
            const auto* list = object ? object->if_contains("events") : nullptr;
            if (!list || !list->is_array())
                return hook(Error { ErrorKind::ConnectionFailed });
            std::vector<KvEvent> events;
            for (const auto& value : list->as_array()) {
                if (value.is_object())
                    events.push_back(parseEvent(value.as_object()));
            }
            hook(std::pair(EngineStart { integerField(*object, "start") }, std::move(events)));
        });
}

void EndpointClient::fetchCacheContent(
    const Address& address, EndpointId endpoint, std::function<void(Result<KvReport>)> hook)
{
    this->http.send(address, { "GET", "/kv", {}, {} }, { Milliseconds(2000), true },
        [endpoint, hook = std::move(hook)](HttpResult result, const HttpResponse& response) {
            const auto object = result.error == ErrorKind::None ? parseObject(response.body) : std::nullopt;
            const auto* list = object ? object->if_contains("programs") : nullptr;
            if (!list || !list->is_array())
                return hook(Error { ErrorKind::ConnectionFailed });
            KvReport report { endpoint, EngineStart { integerField(*object, "start") },
                integerField(*object, "through_sequence"), {} };
            for (const auto& value : list->as_array()) {
                if (!value.is_object())
                    continue;
                const auto& row = value.as_object();
                report.held.emplace_back(programIdOf(stringField(row, "program")),
                    TokenCount { static_cast<std::int64_t>(integerField(row, "tokens")) });
            }
            hook(std::move(report));
        });
}

} // namespace peridotramp
