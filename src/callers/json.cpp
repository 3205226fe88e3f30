#include "peridotramp/callers.h"

#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>

namespace peridotramp {

namespace json = boost::json;

namespace {

Error invalid(std::string detail) { return { ErrorKind::InvalidRequest, Outcome::NotRun, std::move(detail) }; }

std::optional<json::object> parseObject(const std::string& body)
{
    if (body.empty())
        return json::object {};
    boost::system::error_code error;
    const auto value = json::parse(body, error);
    if (error || !value.is_object())
        return std::nullopt;
    return value.as_object();
}

/// Reads the fields of an object and records the first error.
class FieldReader {
public:
    explicit FieldReader(const json::object& object)
        : object(object)
    {
    }

    std::string text(std::string_view key, bool required)
    {
        const auto* value = this->object.if_contains(key);
        if (value && value->is_string())
            return std::string(value->as_string());
        if (value || required)
            this->reject(fmt::format("field '{}' must be a string", key));
        return {};
    }

    std::int64_t integer(std::string_view key, std::int64_t fallback, std::int64_t min, std::int64_t max)
    {
        const auto* value = this->object.if_contains(key);
        if (!value)
            return fallback;
        boost::system::error_code error;
        const auto number = value->is_number() ? value->to_number<std::int64_t>(error) : min - 1;
        if (!error && number >= min && number <= max)
            return number;
        this->reject(fmt::format("field '{}' must be a whole number from {} to {}", key, min, max));
        return fallback;
    }

    bool flag(std::string_view key)
    {
        const auto* value = this->object.if_contains(key);
        if (value && !value->is_bool())
            this->reject(fmt::format("field '{}' must be true or false", key));
        return value && value->is_bool() && value->as_bool();
    }

    const json::array* list(std::string_view key)
    {
        const auto* value = this->object.if_contains(key);
        if (value && !value->is_array())
            this->reject(fmt::format("field '{}' must be a list", key));
        return value ? value->if_array() : nullptr;
    }

    void reject(std::string detail)
    {
        if (!this->problem)
            this->problem = invalid(std::move(detail));
    }

    const std::optional<Error>& error() const { return this->problem; }

private:
    const json::object& object;
    std::optional<Error> problem;
};

constexpr std::int64_t maxTurn = 1'000'000;
constexpr std::int64_t maxTokensLimit = 10'000'000;

ResentTurn parseResentTurn(const json::value& value, FieldReader& outer)
{
    const auto* object = value.if_object();
    if (!object) {
        outer.reject("each entry of 'unconfirmed' must be an object");
        return {};
    }
    FieldReader fields(*object);
    ResentTurn turn;
    turn.turn = TurnNumber { fields.integer("turn", 0, 1, maxTurn) };
    turn.call = callIdOf(fields.text("idempotency_key", true));
    turn.input = fields.text("input", true);
    turn.output = fields.text("output", true);
    if (fields.error())
        outer.reject("unconfirmed: " + fields.error()->detail);
    return turn;
}

// Returns the content of a chat message, which is a string or a list of parts with a `text` field.
std::string contentOf(const json::value& message)
{
    const auto* object = message.if_object();
    const auto* content = object ? object->if_contains("content") : nullptr;
    if (!content)
        return {};
    if (content->is_string())
        return std::string(content->as_string());
    std::string text;
    if (!content->is_array())
        return text;
    for (const auto& part : content->as_array()) {
        const auto* fields = part.if_object();
        const auto* value = fields ? fields->if_contains("text") : nullptr;
        if (value && value->is_string())
            text += std::string_view(value->as_string());
    }
    return text;
}

json::object usageOf(const CallAnswer& answer)
{
    return { { "prompt_tokens", answer.promptTokens.value }, { "cached_tokens", answer.cachedTokens.value },
        { "completion_tokens", answer.completionTokens.value },
        { "total_tokens", answer.promptTokens.value + answer.completionTokens.value } };
}

} // namespace

Result<BeginProgramBody> parseBeginProgramBody(const std::string& body)
{
    const auto object = parseObject(body);
    if (!object)
        return invalid("the body must be a JSON object");
    FieldReader fields(*object);
    BeginProgramBody begin { fields.text("budget", false) };
    if (fields.error())
        return *fields.error();
    return begin;
}

Result<CallBody> parseCallBody(const std::string& body)
{
    const auto object = parseObject(body);
    if (!object)
        return invalid("the body must be a JSON object");
    FieldReader fields(*object);
    CallBody call;
    call.turn = TurnNumber { fields.integer("turn", -1, 0, maxTurn) };
    if (call.turn.value < 0)
        fields.reject("field 'turn' is missing");
    const auto digest = Digest::fromHex(fields.text("digest", true));
    if (!digest)
        fields.reject("field 'digest' must have 64 hexadecimal digits");
    call.digest = digest.value_or(Digest {});
    const auto kind = fields.text("kind", true);
    if (kind != "model" && kind != "call")
        fields.reject("field 'kind' must be 'model' or 'call'");
    call.isService = kind == "call";
    call.name = fields.text("target", true);
    call.input = fields.text("input", true);
    call.maxTokens = TokenCount { fields.integer("max_tokens", 256, 1, maxTokensLimit) };
    call.stream = fields.flag("stream");
    call.repeated = fields.flag("repeated");
    if (const auto* turns = fields.list("unconfirmed")) {
        for (const auto& value : *turns)
            call.unconfirmed.push_back(parseResentTurn(value, fields));
    }
    if (fields.error())
        return *fields.error();
    return call;
}

Result<ChatBody> parseChatBody(const std::string& body)
{
    const auto object = parseObject(body);
    if (!object)
        return invalid("the body must be a JSON object");
    FieldReader fields(*object);
    ChatBody chat;
    chat.model = fields.text("model", true);
    chat.maxTokens = TokenCount { fields.integer("max_tokens", 256, 1, maxTokensLimit) };
    chat.stream = fields.flag("stream");
    const auto* messages = fields.list("messages");
    if (!messages || messages->empty())
        fields.reject("field 'messages' must be a list with at least one message");
    if (fields.error())
        return *fields.error();
    for (const auto& message : *messages) {
        chat.lastInput = contentOf(message);
        chat.completeInput += chat.lastInput + "\n";
    }
    return chat;
}

std::string formatProgramId(ProgramId program) { return fmt::format("{:016x}", program.value); }

std::optional<ProgramId> parseProgramId(std::string_view text)
{
    ProgramId program;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), program.value, 16);
    if (text.size() != 16 || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return program;
}

CallId callIdOf(std::string_view idempotencyKey) { return idFromName<CallId>(idempotencyKey); }

std::optional<std::string_view> bearerKey(const HttpRequest& request)
{
    constexpr std::string_view prefix = "Bearer ";
    const auto header = request.header("Authorization");
    if (!header || !header->starts_with(prefix) || header->size() == prefix.size())
        return std::nullopt;
    return header->substr(prefix.size());
}

unsigned httpStatusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidRequest:
        return 400;
    case ErrorKind::Unauthenticated:
    case ErrorKind::KeyWithdrawn:
        return 401;
    case ErrorKind::Forbidden:
        return 403;
    case ErrorKind::UnknownProgram:
    case ErrorKind::UnknownCall:
    case ErrorKind::UnknownModel:
        return 404;
    case ErrorKind::TurnConflict:
    case ErrorKind::CallInProgress:
    case ErrorKind::ProgramEnded:
    case ErrorKind::VersionConflict:
        return 409;
    case ErrorKind::RequestTooLarge:
        return 413;
    case ErrorKind::BudgetExceeded:
    case ErrorKind::RateExceeded:
        return 429;
    case ErrorKind::EndpointFailed:
    case ErrorKind::OutcomeUnknown:
    case ErrorKind::ConnectionFailed:
        return 502;
    case ErrorKind::DeadlineExceeded:
        return 504;
    case ErrorKind::Internal:
    case ErrorKind::MalformedFrame:
        return 500;
    default:
        return 503;
    }
}

std::string errorBody(const Error& error)
{
    const json::object body { { "kind", toString(error.kind) }, { "outcome", toString(error.outcome) },
        { "retry_after_ms", error.retryAfter.count() }, { "remedy", std::error_code(error.kind).message() },
        { "detail", error.detail } };
    return json::serialize(json::object { { "error", body } });
}

HttpResponse errorResponse(const Error& error)
{
    auto response = jsonResponse(httpStatusOf(error.kind), errorBody(error));
    if (error.retryAfter.count() > 0)
        response.headers.push_back({ "Retry-After", fmt::to_string((error.retryAfter.count() + 999) / 1000) });
    return response;
}

std::string programBegunBody(ProgramId program)
{
    return json::serialize(
        json::object { { "program", formatProgramId(program) }, { "turn", 0 }, { "digest", Digest {}.toHex() } });
}

std::string callAnswerBody(const CallAnswer& answer)
{
    return json::serialize(json::object { { "outcome", "completed" }, { "turn", answer.turn.value },
        { "digest", answer.digest.toHex() }, { "output", answer.output }, { "usage", usageOf(answer) },
        { "confirmed_turn", answer.confirmedTurn.value } });
}

std::string chatAnswerBody(ProgramId program, const std::string& model, const CallAnswer& answer)
{
    const json::object message { { "role", "assistant" }, { "content", answer.output } };
    const json::object choice { { "index", 0 }, { "message", message }, { "finish_reason", "stop" } };
    return json::serialize(json::object { { "id", formatProgramId(program) }, { "object", "chat.completion" },
        { "model", model }, { "choices", json::array { choice } }, { "usage", usageOf(answer) } });
}

std::string tokenEvent(std::string_view text)
{
    return "data: " + json::serialize(json::object { { "token", text } }) + "\n\n";
}

std::string chatTokenEvent(ProgramId program, const std::string& model, std::string_view text)
{
    const json::object choice { { "index", 0 }, { "delta", json::object { { "content", text } } } };
    return "data: "
        + json::serialize(json::object { { "id", formatProgramId(program) }, { "object", "chat.completion.chunk" },
            { "model", model }, { "choices", json::array { choice } } })
        + "\n\n";
}

std::string namedEvent(std::string_view name, std::string_view body)
{
    return fmt::format("event: {}\ndata: {}\n\n", name, body);
}

} // namespace peridotramp
