#include "request_p.h"

#include "../runtime/runtime_p.h"

#include <algorithm>
#include <fmt/format.h>

namespace peridotramp {

namespace {

// Delay before another attempt to choose an endpoint while all are full.
constexpr Milliseconds endpointRetryDelay { 15 };
constexpr Milliseconds retryAfterUnavailable { 150 };
// Fraction of the latency target for which a request waits for an endpoint before it is refused.
constexpr double maxWaitFraction = 0.22;
// Fraction of the time until the deadline for which a request is retried after an endpoint has rejected it.
constexpr double retryFraction = 0.4;
// Maximum number of attempts of one request, rejections by full endpoints included.
constexpr int maxAttemptsPerRequest = 12;
// Maximum time for which the end of a response is delayed until its turn is persisted. Callers time out on a silent
// stream only later.
constexpr Milliseconds persistTimeout { 2000 };
// Maximum number of bytes of an answer that have been read from the connection and not been processed yet.
constexpr std::size_t answerWindow = std::size_t { 256 } * 1024;
// The body of a rejection is read only so that its connection can be reused.
constexpr std::size_t maxRejectionBytes = std::size_t { 64 } * 1024;
// An answer may grow to this size even when the limit on the total size of buffered answers is reached.
constexpr std::size_t smallAnswerBytes = std::size_t { 256 } * 1024;
constexpr ByteCount maxAnswerHeadBytes { static_cast<std::int64_t>(HttpClient::Init {}.maxHeadBytes) };
// Maximum size of a chunk header, or of the trailers.
constexpr ByteCount maxFramingBytes { maxAnswerHeadBytes.value + static_cast<std::int64_t>(maxReadBytes) };

bool isSuccess(const EndpointHead& head) { return head.status >= 200 && head.status < 300; }

} // namespace

bool RequestHandler::mayRetry() const
{
    if (this->runs >= this->route.maxAttempts)
        return false;
    return this->route.kind == CallKind::Idempotent || (this->route.kind == CallKind::Stream && this->route.resumable);
}

DispatchRequest RequestHandler::dispatchRequest() const
{
    DispatchRequest wanted;
    wanted.service = this->service;
    wanted.prompt = this->request.prompt;
    if (this->route.hasAffinity)
        wanted.object = this->request.object;
    wanted.excluded = this->excluded;
    wanted.domainAllowed = [current = this->routing, route = &this->route, workspace = &this->workspace,
                               regions = &this->ingress->init.regions](std::string_view domain) {
        if (current->evacuated.contains(domain))
            return false;
        const auto region = regions->find(domain);
        return regionAllowed(*route, current->table->workspace(*workspace),
            region == regions->end() ? std::string_view() : std::string_view(region->second));
    };
    return wanted;
}

asio::awaitable<bool> RequestHandler::waitForEndpoint(Error error)
{
    const auto now = RuntimeClock::now();
    const auto totalTime = this->deadline - this->startedAt;
    const auto target = std::chrono::duration_cast<Duration>(this->route.latencyTarget);
    const auto maxWait = this->wasAttempted ? std::chrono::duration_cast<Duration>(totalTime * retryFraction)
                                            : std::chrono::duration_cast<Duration>(target * maxWaitFraction);
    if (now - this->startedAt + endpointRetryDelay > maxWait || this->attempts >= maxAttemptsPerRequest) {
        // After a run that failed, the error must not claim that the request has not run.
        if (this->runs > 0)
            error = { ErrorKind::EndpointFailed, Outcome::Unknown, this->outcome.detail };
        if (this->streamStarted)
            this->abort("no endpoint available to resume the stream");
        else
            this->refuse(error);
        co_return false;
    }
    const auto event = co_await this->nextEvent(now + endpointRetryDelay);
    if (event && std::holds_alternative<CallerLeft>(*event)) {
        this->callerLeft = true;
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> RequestHandler::dispatch()
{
    this->outcome.promptTokens = tokensOf(this->request.prompt);
    while (!this->ended && !this->callerLeft) {
        // The desired state may have changed while the request waited.
        if (this->ingress->routingSnapshot() != this->routing && !this->streamStarted
            && (!this->resolveRoute() || !this->authorize()))
            co_return;
        this->routing = this->ingress->routingSnapshot();
        const auto wanted = this->dispatchRequest();
        const auto choice = this->ingress->directories.with(
            hashBytes(this->service), [&](const std::unique_ptr<EndpointDirectory>& directory) {
                return directory->choose(wanted, RuntimeClock::now());
            });
        if (!choice) {
            const Error none { ErrorKind::EndpointUnavailable, Outcome::NotRun, this->service, retryAfterUnavailable };
            co_await this->waitForEndpoint(none);
            continue;
        }
        this->choice = choice;
        const auto end = co_await this->attempt(*choice);
        this->outcome.endpoint = choice->name;
        switch (end) {
        case AttemptResult::Answered:
            co_return;
        case AttemptResult::NotRun: {
            const Error notRunError { ErrorKind::EndpointUnavailable, Outcome::NotRun, "endpoints rejected the request",
                retryAfterUnavailable };
            co_await this->waitForEndpoint(notRunError);
            break;
        }
        case AttemptResult::Failed:
            this->excluded.push_back(choice->name);
            if (this->mayRetry())
                break;
            if (this->streamStarted)
                this->abort("endpoint failed: " + this->outcome.detail);
            else
                this->refuse({ ErrorKind::EndpointFailed, Outcome::Unknown, this->outcome.detail });
            co_return;
        case AttemptResult::CallerLeft:
            this->callerLeft = true;
            co_return;
        case AttemptResult::TimedOut:
        case AttemptResult::Count:
            if (this->streamStarted)
                this->abort("deadline exceeded");
            else
                this->refuse({ ErrorKind::DeadlineExceeded, Outcome::Unknown, choice->name });
            co_return;
        }
    }
}

asio::awaitable<std::optional<RequestEvent>> RequestHandler::nextEvent(TimePoint until)
{
    while (true) {
        auto event = co_await this->events.next(until);
        if (!event)
            co_return std::nullopt;
        // Events of earlier attempts are ignored, but the disconnection of the caller concerns all attempts.
        if (event->attempt == this->attempts || std::holds_alternative<CallerLeft>(event->event)) {
            if (const auto* part = std::get_if<BodyArrived>(&event->event))
                this->call.consume(part->bytes.size());
            std::optional<RequestEvent> current(std::move(event->event));
            co_return current;
        }
    }
}

void RequestHandler::startCall(const DispatchChoice& choice)
{
    ForwardingInfo forwarding;
    forwarding.endpointName = choice.name;
    forwarding.workspace = this->workspace;
    forwarding.timeLeft = this->timeLeft(RuntimeClock::now());
    forwarding.lastEventId = this->lastEventId;
    forwarding.body = this->body;
    auto http = this->ingress->formats.encodeForEndpoint(this->request, forwarding);
    HttpClient::Options options;
    options.timeout = forwarding.timeLeft + Milliseconds(500);
    options.window = answerWindow;
    // A late copy of the endpoint's earlier answer to this request would have its id, too.
    const bool isRepeated = std::ranges::find(this->attempted, choice.name) != this->attempted.end();
    options.reuseConnection = !isRepeated;
    if (!isRepeated)
        this->attempted.push_back(choice.name);
    // Set by `onHead` and read by `bodyLimit`, which the client calls later.
    const auto limit = std::make_shared<std::size_t>(0);
    HttpClientHooks hooks;
    hooks.isAnswer = [ingress = this->ingress, id = this->request.id](const HttpResponse& response) {
        const auto answered = ingress->formats.decodeEndpointHead(response).requestId;
        return answered.empty() || answered == id;
    };
    hooks.onHead = [events = this->events, number = this->attempts, ingress = this->ingress, limit,
                       isStream = this->route.kind == CallKind::Stream](const HttpResponse& response) {
        auto head = ingress->formats.decodeEndpointHead(response);
        if (head.notRun)
            *limit = maxRejectionBytes;
        else if (isStream && isSuccess(head))
            // The size of each event is checked when it is forwarded.
            *limit = std::numeric_limits<std::size_t>::max();
        else
            *limit = static_cast<std::size_t>(ingress->init.maxAnswerBytes.value);
        events.push({ number, HeadArrived { std::move(head) } });
    };
    hooks.bodyLimit = [limit](const HttpResponse&) { return *limit; };
    hooks.onBody = [events = this->events, number = this->attempts](
                       std::string_view bytes) { events.push({ number, BodyArrived { std::string(bytes) } }); };
    hooks.onEnd = [events = this->events, number = this->attempts](
                      HttpResult result) { events.push({ number, AnswerEnded { result } }); };
    this->call = this->ingress->endpointClient.stream(choice.address, std::move(http), options, std::move(hooks));
}

asio::awaitable<AttemptResult> RequestHandler::attempt(DispatchChoice choice)
{
    ++this->attempts;
    this->wasAttempted = true;
    this->outcome.endpointWait = RuntimeClock::now() - this->admittedAt;
    this->outcome.uncachedTokens = this->outcome.promptTokens - choice.cached;
    this->splitter.reset();
    this->endpoint = choice.name;
    this->startCall(choice);
    this->isAttemptRunning = true;
    const auto end = co_await this->relay(choice, this->deadline);
    this->isAttemptRunning = false;
    // Closes the connection if the answer is not complete.
    if (end != AttemptResult::NotRun)
        this->call.cancel();
    auto result = DispatchResult::Served;
    if (end == AttemptResult::NotRun)
        result = this->outcome.detail == "wrong instance" ? DispatchResult::WrongInstance : DispatchResult::Refused;
    else if (end == AttemptResult::Failed)
        result = DispatchResult::Failed;
    else if (end != AttemptResult::Answered)
        result = DispatchResult::Abandoned;
    if (result == DispatchResult::WrongInstance)
        this->excluded.push_back(choice.name);
    this->finishChoice(result);
    co_return end;
}

void RequestHandler::finishChoice(DispatchResult result)
{
    const auto ended = std::exchange(this->choice, std::nullopt);
    if (!ended)
        return;
    this->ingress->directories.with(hashBytes(this->service), [&](const std::unique_ptr<EndpointDirectory>& directory) {
        directory->finish(*ended, result, this->request.prompt, RuntimeClock::now());
    });
}

void RequestHandler::markLeaving(const DispatchChoice& choice)
{
    const bool isNew = this->ingress->directories.with(
        hashBytes(this->service), [&](const std::unique_ptr<EndpointDirectory>& directory) {
            return directory->markLeaving(choice, RuntimeClock::now());
        });
    if (!isNew)
        return;
    this->ingress->metrics.count("endpoints_leaving");
    log(LogLevel::Info, "endpoint says that it is leaving",
        { { "endpoint", choice.name }, { "request", this->request.id }, { "service", this->service } });
}

asio::awaitable<AttemptResult> RequestHandler::relay(const DispatchChoice& choice, TimePoint until)
{
    const auto first = co_await this->nextEvent(until);
    if (!first || std::holds_alternative<CallerLeft>(*first)) {
        ++this->runs;
        co_return first ? AttemptResult::CallerLeft : AttemptResult::TimedOut;
    }
    if (const auto* ended = std::get_if<AnswerEnded>(&*first)) {
        this->outcome.detail = ended->result.requestWritten ? "no answer" : "connection failed";
        if (!ended->result.requestWritten) {
            this->excluded.push_back(choice.name);
            co_return AttemptResult::NotRun;
        }
        ++this->runs;
        if (ended->result.error == ErrorKind::AnswerTooLarge)
            this->recordTooLarge("head", maxAnswerHeadBytes);
        co_return AttemptResult::Failed;
    }
    const auto* arrived = std::get_if<HeadArrived>(&*first);
    if (!arrived || arrived->head.requestId != this->request.id) {
        // An answer to an earlier request on this connection, or not a valid answer.
        ++this->runs;
        this->outcome.detail = "answer to another request";
        co_return AttemptResult::Failed;
    }
    auto head = arrived->head;
    if (head.leaving)
        this->markLeaving(choice);
    if (head.notRun) {
        this->outcome.detail = head.wrongInstance ? "wrong instance" : "refused";
        co_return AttemptResult::NotRun;
    }
    ++this->runs;
    if (this->route.kind != CallKind::Stream || !isSuccess(head)) {
        const auto end = co_await this->relayBuffered(std::move(head), until);
        co_return end;
    }
    if (!this->streamStarted)
        this->streamHead = std::move(head);
    const auto end = co_await this->relayEvents(until);
    co_return end;
}

asio::awaitable<AttemptResult> RequestHandler::relayBuffered(EndpointHead head, TimePoint until)
{
    BufferedAnswer buffered(this->ingress->bufferedAnswerBytes);
    const auto& init = this->ingress->init;
    while (true) {
        auto event = co_await this->nextEvent(until);
        if (!event)
            co_return AttemptResult::TimedOut;
        if (std::holds_alternative<CallerLeft>(*event))
            co_return AttemptResult::CallerLeft;
        if (auto* part = std::get_if<BodyArrived>(&*event)) {
            const auto totalBuffered = buffered.append(part->bytes);
            const bool isSmall = buffered.size() <= smallAnswerBytes;
            if (!isSmall && totalBuffered > static_cast<std::size_t>(init.maxBufferedAnswerBytes.value)) {
                this->recordTooLarge("all buffered answers", init.maxBufferedAnswerBytes);
                co_return AttemptResult::Failed;
            }
        } else if (const auto* ended = std::get_if<AnswerEnded>(&*event)) {
            if (ended->result.error != ErrorKind::None) {
                this->outcome.detail = "answer incomplete";
                if (ended->result.error == ErrorKind::AnswerTooLarge)
                    this->recordTooLarge("body", init.maxAnswerBytes);
                co_return AttemptResult::Failed;
            }
            break;
        }
    }
    // Part of a stream has been forwarded already, so another answer can no longer replace it.
    if (this->streamStarted) {
        this->outcome.detail = "status " + std::to_string(head.status) + " after the first events";
        co_return AttemptResult::Failed;
    }
    this->ended = true;
    this->outcome.status = head.status;
    this->outcome.result = "answered";
    this->outcome.failed = head.status >= 400;
    this->outcome.firstByte = RuntimeClock::now() - this->startedAt;
    this->exchange.respond({ head.status, std::move(head.headers), buffered.take() });
    co_return AttemptResult::Answered;
}

bool RequestHandler::forwardEvent(const StreamEvent& event)
{
    if (!this->streamStarted) {
        this->streamStarted = true;
        this->outcome.firstByte = RuntimeClock::now() - this->startedAt;
        this->outcome.status = this->streamHead.status;
        this->exchange.startStream({ this->streamHead.status, this->streamHead.headers, {} });
    }
    this->deliveredTokens += this->tokensPerEvent();
    if (!event.id.empty())
        this->lastEventId = event.id;
    if (this->route.keepsHistory) {
        this->output += event.data;
        this->output.push_back('\n');
    }
    ++this->outcome.events;
    this->outcome.eventBytes += event.bytes.size();
    return this->exchange.write(event.bytes);
}

std::string_view RequestHandler::exceededStreamLimit(const StreamEvent& event) const
{
    // A turn of this size cannot be persisted, so its stream could never be completed.
    const auto outputBytes = this->output.size() + event.data.size() + 1;
    if (this->isPersisted() && !this->ingress->store.checkSize(this->request.id.size(), this->turnBytes + outputBytes))
        return "turn too large to store";
    // Only `maxTokens()` is held for the turn, so that what an endpoint sends beyond it exceeds the program's budget. A
    // program may do so once, by the maximum tokens of one turn; the second term allows for that.
    const auto allowed = this->maxTokens() + this->request.maxTokens;
    if (this->request.maxTokens.value > 0 && this->deliveredTokens + this->tokensPerEvent() > allowed)
        return "endpoint exceeds the maximum tokens of the request";
    return {};
}

void RequestHandler::recordTooLarge(std::string_view part, ByteCount limit)
{
    this->outcome.detail = fmt::format("answer too large: {} of more than {} bytes", part, limit.value);
    this->ingress->recordTooLarge("endpoint", this->endpoint, part, limit);
}

asio::awaitable<AttemptResult> RequestHandler::relayEvents(TimePoint until)
{
    while (true) {
        const auto event = co_await this->nextEvent(until);
        if (!event)
            co_return AttemptResult::TimedOut;
        if (std::holds_alternative<CallerLeft>(*event))
            co_return AttemptResult::CallerLeft;
        if (const auto* part = std::get_if<BodyArrived>(&*event)) {
            for (const auto& streamEvent : this->splitter.add(part->bytes)) {
                if (const auto excess = this->exceededStreamLimit(streamEvent); !excess.empty()) {
                    this->abort(excess);
                    co_return AttemptResult::Failed;
                }
                if (!this->forwardEvent(streamEvent))
                    co_return AttemptResult::CallerLeft;
            }
            if (this->splitter.isTooLarge()) {
                this->recordTooLarge("event", this->ingress->init.maxEventBytes);
                co_return AttemptResult::Failed;
            }
        } else if (const auto* ended = std::get_if<AnswerEnded>(&*event)) {
            if (ended->result.error != ErrorKind::None || this->splitter.hasPartialEvent()) {
                this->outcome.detail = "stream interrupted";
                if (ended->result.error == ErrorKind::AnswerTooLarge)
                    this->recordTooLarge("framing", maxFramingBytes);
                co_return AttemptResult::Failed;
            }
            co_await this->finishStream();
            co_return AttemptResult::Answered;
        }
    }
}

asio::awaitable<void> RequestHandler::finishStream()
{
    if (!this->streamStarted) {
        this->streamStarted = true;
        this->exchange.startStream({ this->streamHead.status, this->streamHead.headers, {} });
    }
    // The next turn may refer to this one as soon as its response ends, so it has to be persisted before that.
    if (this->isPersisted()) {
        ConversationTurn turn { this->request.id, this->request.previousTurn, this->workspace,
            std::move(this->request.body), std::move(this->output), this->program };
        const auto persistDeadline = std::min(this->deadline, RuntimeClock::now() + persistTimeout);
        const auto persisted = co_await this->ingress->persistTurn(
            this->executor, this->program, turn, this->route.retention, persistDeadline);
        // The request may have been ended in the meantime by the shutdown of the process.
        if (this->ended)
            co_return;
        if (persisted == PersistResult::Dropped) {
            this->abort("turn could not be persisted");
            co_return;
        }
        this->endTurn(HeldTurn { std::move(turn), persisted == PersistResult::Stored });
    }
    this->ended = true;
    this->outcome.result = "answered";
    this->exchange.finish();
}

} // namespace peridotramp
