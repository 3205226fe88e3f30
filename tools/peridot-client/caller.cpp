#include "caller.h"

#include <algorithm>
#include <fmt/format.h>
#include <future>

namespace client {

namespace {

// The gateway answers at the call's deadline at the latest; the margin lets that answer arrive.
constexpr Milliseconds answerMargin { 2000 };
constexpr Milliseconds minBackoff { 50 };
constexpr Milliseconds maxBackoff { 1000 };

/// Parses the server-sent events of one answer.
class EventReader {
public:
    void add(std::string_view part)
    {
        this->pending.append(part);
        for (auto end = this->pending.find('\n'); end != std::string::npos; end = this->pending.find('\n')) {
            auto line = this->pending.substr(0, end);
            this->pending.erase(0, end + 1);
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            this->addLine(line);
        }
    }

    std::string streamed {};
    /// Data of the event `end`.
    std::optional<std::string> end {};

private:
    void addLine(const std::string& line)
    {
        if (line.empty())
            return this->finishEvent();
        if (line.starts_with("event:"))
            this->event = afterColon(line);
        if (line.starts_with("data:"))
            this->data += afterColon(line);
    }

    void finishEvent()
    {
        const auto name = std::exchange(this->event, {});
        const auto text = std::exchange(this->data, {});
        if (name == "end") {
            this->end = text;
            return;
        }
        boost::system::error_code error;
        const auto value = json::parse(text, error);
        if (error || !value.is_object())
            return;
        if (const auto* token = value.as_object().if_contains("token"); token != nullptr && token->is_string())
            this->streamed += std::string_view(token->as_string());
    }

    static std::string afterColon(const std::string& line)
    {
        const auto first = line.find_first_not_of(' ', line.find(':') + 1);
        return first == std::string::npos ? std::string() : line.substr(first);
    }

    std::string pending {};
    std::string event {};
    std::string data {};
};

Outcome outcomeOf(const json::object& object)
{
    const auto* value = object.if_contains("outcome");
    if (value == nullptr || !value->is_string())
        return Outcome::Unknown;
    const std::string_view text(value->as_string());
    if (text == toString(Outcome::NotRun))
        return Outcome::NotRun;
    return text == toString(Outcome::Completed) ? Outcome::Completed : Outcome::Unknown;
}

Answer errorFrom(const json::object& object)
{
    Answer answer { ErrorKind::Internal, outcomeOf(object) };
    if (const auto* kind = object.if_contains("kind"); kind != nullptr && kind->is_string())
        answer.error = errorKindFromString(std::string_view(kind->as_string()));
    answer.detail = json::serialize(object);
    return answer;
}

Answer answerFrom(const std::string& body, unsigned status)
{
    boost::system::error_code error;
    const auto value = json::parse(body.empty() ? "{}" : body, error);
    if (error || !value.is_object())
        return { ErrorKind::EndpointFailed, Outcome::Unknown, "the answer is not a JSON object" };
    const auto& object = value.as_object();
    if (const auto* failure = object.if_contains("error"); failure != nullptr && failure->is_object())
        return errorFrom(failure->as_object());
    if (status >= 300)
        return { ErrorKind::EndpointFailed, Outcome::Unknown, fmt::format("status {}", status) };
    return { ErrorKind::None, object.contains("outcome") ? outcomeOf(object) : Outcome::Completed, {}, object };
}

Milliseconds retryAfterOf(const std::string& body)
{
    boost::system::error_code error;
    const auto value = json::parse(body, error);
    if (error || !value.is_object())
        return Milliseconds(0);
    const auto* failure = value.as_object().if_contains("error");
    if (failure == nullptr || !failure->is_object())
        return Milliseconds(0);
    const auto* time = failure->as_object().if_contains("retry_after_ms");
    return time != nullptr && time->is_int64() ? Milliseconds(time->as_int64()) : Milliseconds(0);
}

bool isTransient(ErrorKind kind)
{
    constexpr std::array kinds { ErrorKind::CallInProgress, ErrorKind::RateExceeded, ErrorKind::DeadlineExceeded,
        ErrorKind::Cancelled, ErrorKind::EndpointUnavailable, ErrorKind::EndpointFailed, ErrorKind::DomainOutOfService,
        ErrorKind::NotOwner, ErrorKind::LeaseLapsed, ErrorKind::EpochLost, ErrorKind::LogUnavailable,
        ErrorKind::NotReady, ErrorKind::ShuttingDown, ErrorKind::ConnectionFailed, ErrorKind::Overloaded };
    return std::ranges::find(kinds, kind) != kinds.end();
}

} // namespace

Caller::Caller(Runtime& runtime, CallerInit callerInit)
    : runtime(runtime)
    , init(std::move(callerInit))
    , client(runtime)
{
}

void Caller::sleepFor(Milliseconds time)
{
    std::promise<void> elapsed;
    this->runtime.after(time, [&] { elapsed.set_value(); });
    elapsed.get_future().wait();
}

Caller::Attempt Caller::attempt(const Exchange& exchange, const Address& gateway, bool repeated)
{
    auto body = exchange.body;
    if (repeated)
        body["repeated"] = true;
    HttpRequest request { exchange.method, exchange.target,
        { { "Content-Type", "application/json" }, { "Authorization", "Bearer " + this->init.key },
            { "Peridot-Deadline-Ms", std::to_string(this->init.deadline.count()) } },
        exchange.method == "DELETE" ? std::string() : json::serialize(body) };
    if (!exchange.idempotencyKey.empty())
        request.headers.push_back({ "Idempotency-Key", exchange.idempotencyKey });
    EventReader events;
    HttpResponse response;
    std::promise<HttpResult> ended;
    HttpClientHooks hooks;
    hooks.onHead = [&](const HttpResponse& head) { response = head; };
    hooks.onBody = [&](std::string_view part) {
        response.body.append(part);
        if (exchange.stream)
            events.add(part);
    };
    hooks.onEnd = [&](HttpResult result) { ended.set_value(result); };
    this->client.stream(gateway, std::move(request), { this->init.deadline + answerMargin }, std::move(hooks));
    Attempt attempt { ended.get_future().get() };
    const auto& text = exchange.stream && events.end ? *events.end : response.body;
    const auto isTruncated = exchange.stream && !events.end && attempt.result.status == 200;
    if (attempt.result.error != ErrorKind::None || isTruncated) {
        const auto kind = isTruncated ? ErrorKind::ConnectionFailed : attempt.result.error;
        attempt.answer = { kind, attempt.result.requestWritten ? Outcome::Unknown : Outcome::NotRun, "no answer" };
        return attempt;
    }
    attempt.answer = answerFrom(text, attempt.result.status);
    attempt.answer.streamed = std::move(events.streamed);
    attempt.retryAfter = retryAfterOf(text);
    return attempt;
}

Answer Caller::call(const Exchange& exchange, std::uint64_t seed, CallCounters& counters)
{
    const auto giveUpAt = RuntimeClock::now() + this->init.stepTimeout;
    auto backoff = minBackoff;
    auto gateway = seed;
    bool repeated = false;
    for (int unknownAnswers = 0;;) {
        auto attempt = this->attempt(exchange, this->init.gateways[gateway % this->init.gateways.size()], repeated);
        auto& answer = attempt.answer;
        if (answer.error == ErrorKind::None)
            return answer;
        const auto isAnswered = attempt.result.error == ErrorKind::None && attempt.result.status != 0;
        const auto isRefused = isAnswered && answer.outcome == Outcome::NotRun;
        const auto isUnknown = isAnswered && answer.outcome != Outcome::NotRun;
        counters.refusals += isRefused ? 1 : 0;
        unknownAnswers += isUnknown ? 1 : 0;
        const auto wait = std::max(backoff, attempt.retryAfter);
        const auto isFinal = isAnswered && !isTransient(answer.error) && attempt.retryAfter.count() == 0;
        if (isFinal || unknownAnswers > this->init.unknownRetries || RuntimeClock::now() + wait > giveUpAt)
            return answer;
        // The idempotency key makes a retry safe whatever the outcome of the earlier attempt.
        repeated = repeated || answer.outcome != Outcome::NotRun;
        gateway += isRefused && answer.error == ErrorKind::RateExceeded ? 0 : 1;
        ++counters.retries;
        this->sleepFor(wait);
        backoff = std::min(maxBackoff, backoff * 2);
    }
}

} // namespace client
