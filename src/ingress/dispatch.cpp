#include "request_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Pause before another look for an endpoint while all are full.
constexpr Milliseconds fullPause { 15 };
constexpr Milliseconds retryAfterFull { 150 };
// Part of the latency target for which a request waits for an endpoint before it is refused.
constexpr double waitPart = 0.22;
// Part of the whole time for which a request that was offered to full endpoints tries again.
constexpr double offeredPart = 0.4;
// Refusals by full endpoints that one request may meet.
constexpr int mostAttempts = 12;
// Time for which the end of a response is held back until its turn is kept; callers give up a silent stream later.
constexpr Milliseconds keepLimit { 2000 };
// Whole answers are held in memory until they are complete.
constexpr std::size_t mostWholeBytes = std::size_t { 16 } * 1024 * 1024;

} // namespace

bool RequestRun::mayRepeat() const
{
    if (this->runs >= this->route.maxAttempts)
        return false;
    return this->route.kind == CallKind::Idempotent || (this->route.kind == CallKind::Stream && this->route.resumable);
}

DispatchRequest RequestRun::dispatchRequest() const
{
    DispatchRequest wanted;
    wanted.service = this->service;
    wanted.prompt = this->request.prompt;
    wanted.excluded = this->excluded;
    wanted.domainAllowed = [current = this->view, route = &this->route, workspace = &this->workspace,
                               regions = &this->ingress->init.regions](std::string_view domain) {
        if (current->evacuated.contains(domain))
            return false;
        const auto region = regions->find(domain);
        return regionAllowed(*route, current->table->workspace(*workspace),
            region == regions->end() ? std::string_view() : std::string_view(region->second));
    };
    return wanted;
}

asio::awaitable<bool> RequestRun::waitForEndpoint(Error error)
{
    const auto now = RuntimeClock::now();
    const auto whole = this->deadline - this->startedAt;
    const auto target = std::chrono::duration_cast<Duration>(this->route.latencyTarget);
    const auto patience = this->offered ? std::chrono::duration_cast<Duration>(whole * offeredPart)
                                        : std::chrono::duration_cast<Duration>(target * waitPart);
    if (now - this->startedAt + fullPause > patience || this->attempts >= mostAttempts) {
        // After a run that broke off, the request can no longer be said not to have run.
        if (this->runs > 0)
            error = { ErrorKind::EndpointFailed, Outcome::Unknown, this->outcome.detail };
        if (this->streamStarted)
            this->abort("no endpoint to resume at");
        else
            this->refuse(error);
        co_return false;
    }
    const auto event = co_await this->nextEvent(now + fullPause);
    if (event && std::holds_alternative<CallerLeft>(*event)) {
        this->callerGone = true;
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> RequestRun::dispatch()
{
    while (!this->ended && !this->callerGone) {
        // The desired state may have changed while the request waited.
        if (this->ingress->view() != this->view && !this->streamStarted && (!this->resolve() || !this->authorize()))
            co_return;
        this->view = this->ingress->view();
        const auto wanted = this->dispatchRequest();
        const auto choice = this->ingress->directories.with(
            hashBytes(this->service), [&](const std::unique_ptr<EndpointDirectory>& directory) {
                return directory->choose(wanted, RuntimeClock::now());
            });
        if (!choice) {
            const Error none { ErrorKind::EndpointUnavailable, Outcome::NotRun, this->service, retryAfterFull };
            co_await this->waitForEndpoint(none);
            continue;
        }
        const auto end = co_await this->attempt(*choice);
        this->outcome.endpoint = choice->name;
        switch (end) {
        case AttemptEnd::Answered:
            co_return;
        case AttemptEnd::NotRun: {
            const Error full { ErrorKind::EndpointUnavailable, Outcome::NotRun, "endpoints refused", retryAfterFull };
            co_await this->waitForEndpoint(full);
            break;
        }
        case AttemptEnd::Broken:
            this->excluded.push_back(choice->name);
            if (this->mayRepeat())
                break;
            if (this->streamStarted)
                this->abort("endpoint broke off: " + this->outcome.detail);
            else
                this->refuse({ ErrorKind::EndpointFailed, Outcome::Unknown, this->outcome.detail });
            co_return;
        case AttemptEnd::CallerLeft:
            this->callerGone = true;
            co_return;
        case AttemptEnd::TimedOut:
        case AttemptEnd::Count:
            if (this->streamStarted)
                this->abort("time limit");
            else
                this->refuse({ ErrorKind::DeadlineExceeded, Outcome::Unknown, choice->name });
            co_return;
        }
    }
}

asio::awaitable<std::optional<RequestEvent>> RequestRun::nextEvent(TimePoint until)
{
    while (true) {
        auto event = co_await this->events.next(until);
        if (!event)
            co_return std::nullopt;
        // The departure of the caller concerns every attempt.
        if (event->attempt == this->attempts || std::holds_alternative<CallerLeft>(event->event)) {
            std::optional<RequestEvent> current(std::move(event->event));
            co_return current;
        }
    }
}

asio::awaitable<AttemptEnd> RequestRun::attempt(DispatchChoice choice)
{
    const auto number = ++this->attempts;
    this->offered = true;
    this->splitter.reset();
    EndpointDirective directive;
    directive.instance = choice.name;
    directive.workspace = this->workspace;
    directive.timeLeft = this->timeLeft(RuntimeClock::now());
    directive.lastEvent = this->lastEvent;
    directive.body = this->body;
    auto http = this->ingress->formats.encodeForEndpoint(this->request, directive);
    HttpClient::Options options;
    options.timeout = directive.timeLeft + Milliseconds(500);
    HttpClientHooks hooks;
    hooks.onHead = [events = this->events, number, ingress = this->ingress](const HttpResponse& head) {
        events.push({ number, HeadArrived { ingress->formats.decodeEndpointHead(head) } });
    };
    hooks.onBody = [events = this->events, number](
                       std::string_view bytes) { events.push({ number, BodyArrived { std::string(bytes) } }); };
    hooks.onEnd
        = [events = this->events, number](HttpResult result) { events.push({ number, AnswerEnded { result } }); };
    this->call = this->ingress->endpointClient.stream(choice.address, std::move(http), options, std::move(hooks));
    this->attemptRuns = true;
    const auto end = co_await this->relay(choice, this->deadline);
    this->attemptRuns = false;
    // Closes the connection of an answer that nobody waits for; a complete one has ended already.
    if (end != AttemptEnd::NotRun)
        this->call.cancel();
    auto result = DispatchResult::Served;
    if (end == AttemptEnd::NotRun)
        result = this->outcome.detail == "wrong instance" ? DispatchResult::WrongInstance : DispatchResult::Refused;
    else if (end == AttemptEnd::Broken)
        result = DispatchResult::Failed;
    else if (end != AttemptEnd::Answered)
        result = DispatchResult::Abandoned;
    if (result == DispatchResult::WrongInstance)
        this->excluded.push_back(choice.name);
    this->ingress->directories.with(hashBytes(this->service), [&](const std::unique_ptr<EndpointDirectory>& directory) {
        directory->finish(choice, result, this->request.prompt, RuntimeClock::now());
    });
    co_return end;
}

asio::awaitable<AttemptEnd> RequestRun::relay(const DispatchChoice& choice, TimePoint until)
{
    const auto first = co_await this->nextEvent(until);
    if (!first || std::holds_alternative<CallerLeft>(*first)) {
        ++this->runs;
        co_return first ? AttemptEnd::CallerLeft : AttemptEnd::TimedOut;
    }
    if (const auto* ended = std::get_if<AnswerEnded>(&*first)) {
        this->outcome.detail = ended->result.requestWritten ? "no answer" : "not connected";
        if (!ended->result.requestWritten) {
            this->excluded.push_back(choice.name);
            co_return AttemptEnd::NotRun;
        }
        ++this->runs;
        co_return AttemptEnd::Broken;
    }
    const auto* arrived = std::get_if<HeadArrived>(&*first);
    if (!arrived || arrived->head.requestId != this->request.id) {
        // An answer to an earlier request on this connection, or something that is no answer.
        ++this->runs;
        this->outcome.detail = "answer to another request";
        co_return AttemptEnd::Broken;
    }
    auto head = arrived->head;
    if (head.notRun) {
        this->outcome.detail = head.wrongInstance ? "wrong instance" : "refused";
        co_return AttemptEnd::NotRun;
    }
    ++this->runs;
    const bool success = head.status >= 200 && head.status < 300;
    if (this->route.kind != CallKind::Stream || !success) {
        const auto end = co_await this->relayWhole(std::move(head), until);
        co_return end;
    }
    if (!this->streamStarted)
        this->streamHead = std::move(head);
    const auto end = co_await this->relayEvents(until);
    co_return end;
}

asio::awaitable<AttemptEnd> RequestRun::relayWhole(EndpointHead head, TimePoint until)
{
    std::string whole;
    while (true) {
        auto event = co_await this->nextEvent(until);
        if (!event)
            co_return AttemptEnd::TimedOut;
        if (std::holds_alternative<CallerLeft>(*event))
            co_return AttemptEnd::CallerLeft;
        if (auto* part = std::get_if<BodyArrived>(&*event)) {
            whole += part->bytes;
            if (whole.size() > mostWholeBytes) {
                this->outcome.detail = "answer too large";
                co_return AttemptEnd::Broken;
            }
        } else if (const auto* ended = std::get_if<AnswerEnded>(&*event)) {
            if (ended->result.error != ErrorKind::None) {
                this->outcome.detail = "answer incomplete";
                co_return AttemptEnd::Broken;
            }
            break;
        }
    }
    // A stream that has begun cannot turn into another answer.
    if (this->streamStarted) {
        this->outcome.detail = "status " + std::to_string(head.status) + " after the first events";
        co_return AttemptEnd::Broken;
    }
    this->ended = true;
    this->outcome.status = head.status;
    this->outcome.result = "answered";
    this->outcome.failed = head.status >= 400;
    this->outcome.firstByte = RuntimeClock::now() - this->startedAt;
    this->exchange.respond({ head.status, std::move(head.headers), std::move(whole) });
    co_return AttemptEnd::Answered;
}

bool RequestRun::forwardEvent(const StreamEvent& event)
{
    if (!this->streamStarted) {
        this->streamStarted = true;
        this->outcome.firstByte = RuntimeClock::now() - this->startedAt;
        this->outcome.status = this->streamHead.status;
        this->exchange.startStream({ this->streamHead.status, this->streamHead.headers, {} });
    }
    const auto* target = this->view->table->service(this->service);
    this->handed += target && target->engine ? target->engine->tokensPerEvent : TokenCount { 1 };
    if (!event.id.empty())
        this->lastEvent = event.id;
    if (this->route.keepsHistory) {
        this->output += event.data;
        this->output.push_back('\n');
    }
    ++this->outcome.events;
    this->outcome.eventBytes += event.bytes.size();
    return this->exchange.write(event.bytes);
}

asio::awaitable<AttemptEnd> RequestRun::relayEvents(TimePoint until)
{
    while (true) {
        const auto event = co_await this->nextEvent(until);
        if (!event)
            co_return AttemptEnd::TimedOut;
        if (std::holds_alternative<CallerLeft>(*event))
            co_return AttemptEnd::CallerLeft;
        if (const auto* part = std::get_if<BodyArrived>(&*event)) {
            for (const auto& streamEvent : this->splitter.add(part->bytes)) {
                if (!this->forwardEvent(streamEvent))
                    co_return AttemptEnd::CallerLeft;
            }
        } else if (const auto* ended = std::get_if<AnswerEnded>(&*event)) {
            if (ended->result.error != ErrorKind::None || this->splitter.hasPartialEvent()) {
                this->outcome.detail = "stream broke off";
                co_return AttemptEnd::Broken;
            }
            co_await this->finishStream();
            co_return AttemptEnd::Answered;
        }
    }
}

asio::awaitable<void> RequestRun::finishStream()
{
    if (!this->streamStarted) {
        this->streamStarted = true;
        this->exchange.startStream({ this->streamHead.status, this->streamHead.headers, {} });
    }
    // A turn counts from the end of its response onward, so it has to be kept before that.
    if (this->route.keepsHistory && !this->request.lastEvent) {
        ConversationTurn turn { this->request.id, this->request.previousTurn, this->workspace,
            std::move(this->request.body), std::move(this->output) };
        const auto keepUntil = std::min(this->deadline, RuntimeClock::now() + keepLimit);
        const bool kept
            = co_await this->ingress->keepTurn(this->executor, this->program, turn, this->route.retention, keepUntil);
        // The process may have ended the request meanwhile.
        if (this->ended)
            co_return;
        if (!kept) {
            this->abort("turn could not be stored");
            co_return;
        }
        this->endTurn(std::move(turn));
    }
    this->ended = true;
    this->outcome.result = "answered";
    this->exchange.finish();
}

} // namespace peridotramp
