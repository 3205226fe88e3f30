#include "request_p.h"

#include <algorithm>
#include <fmt/format.h>

namespace peridotramp {

namespace {

constexpr Milliseconds retryAfterNotReady { 300 };
// Time limit when neither the caller nor the route states one.
constexpr Milliseconds longestRequest { 60'000 };

// Equal for all requests of a program, so that they go to the same service, which has its prompts cached.
std::uint64_t serviceHash(const CallerRequest& request)
{
    return hashBytes(request.program.empty() ? request.id : request.program);
}

TokenCount roundedUp(TokenCount tokens, TokenCount unit)
{
    return { (tokens.value + unit.value - 1) / unit.value * unit.value };
}

} // namespace

RequestHandler::RequestHandler(
    std::shared_ptr<Ingress::Impl> ingress, HttpExchange exchange, const asio::any_io_executor& executor)
    : ingress(std::move(ingress))
    , exchange(std::move(exchange))
    , executor(executor)
    , events(executor)
    , startedAt(RuntimeClock::now())
    , splitter({ static_cast<std::size_t>(this->ingress->init.maxEventBytes.value) })
{
}

Milliseconds RequestHandler::timeLeft(TimePoint now) const
{
    return std::chrono::duration_cast<Milliseconds>(std::max(Duration(0), this->deadline - now));
}

TokenCount RequestHandler::tokensPerEvent() const
{
    const auto* target = this->routing->table->service(this->service);
    const TokenCount one { 1 };
    return target && target->engine ? std::max(one, target->engine->tokensPerEvent) : one;
}

TokenCount RequestHandler::maxTokens() const { return roundedUp(this->request.maxTokens, this->tokensPerEvent()); }

void RequestHandler::refuse(const Error& error)
{
    if (this->ended)
        return;
    this->ended = true;
    const auto response = this->ingress->formats.encodeRefusal(this->request, error);
    this->outcome.status = response.status;
    this->outcome.result = toString(error.kind);
    this->outcome.detail = error.detail;
    this->outcome.failed = true;
    this->exchange.respond(response);
}

void RequestHandler::abort(std::string_view reason)
{
    if (this->ended)
        return;
    this->ended = true;
    this->outcome.result = "aborted";
    this->outcome.detail = reason;
    this->outcome.failed = true;
    this->exchange.abort();
}

void RequestHandler::stop()
{
    constexpr std::string_view reason = "instance is shutting down";
    if (this->ended)
        return;
    if (this->streamStarted)
        this->abort(reason);
    else if (this->runs > 0 || this->isAttemptRunning)
        this->refuse({ ErrorKind::EndpointFailed, Outcome::Unknown, std::string(reason) });
    else
        this->refuse({ ErrorKind::ShuttingDown, Outcome::NotRun, std::string(reason), retryAfterNotReady });
    // Wakes up the coroutine, which may be waiting for an event of an attempt.
    this->events.push({ 0, CallerLeft {} });
}

void RequestHandler::fail()
{
    constexpr std::string_view reason = "internal error";
    this->call.cancel();
    this->finishChoice(DispatchResult::Abandoned);
    if (this->streamStarted)
        this->abort(reason);
    else
        this->refuse({ ErrorKind::OutcomeUnknown, Outcome::Unknown, std::string(reason) });
    this->finish();
}

void RequestHandler::finish()
{
    this->endTurn();
    this->logOutcome();
    this->ingress->running.remove(this->runningKey);
}

std::string RequestHandler::describeDesiredState() const
{
    return fmt::format("version {}, last read of the store: {} ms ago", this->outcome.version,
        this->ingress->operatorTopic.ageText(RuntimeClock::now()));
}

bool RequestHandler::resolveRoute()
{
    this->routing = this->ingress->routingSnapshot();
    if (!this->routing->table) {
        this->refuse({ ErrorKind::NotReady, Outcome::NotRun, "no desired state yet", retryAfterNotReady });
        return false;
    }
    const auto path = std::string_view(this->request.target).substr(0, this->request.target.find('?'));
    const auto* found = this->routing->table->match(this->request.host, path);
    this->outcome.version = this->routing->table->state().version;
    if (!found) {
        this->refuse({ ErrorKind::UnknownRoute, Outcome::NotRun, this->describeDesiredState() });
        return false;
    }
    this->route = *found;
    this->service = pickService(*found, serviceHash(this->request));
    this->outcome.route = this->route.name;
    this->ingress->running.describe(this->runningKey, this->request.id, this->route.name);
    return true;
}

bool RequestHandler::authorize()
{
    const auto& table = *this->routing->table;
    const auto* keyWorkspace = this->request.apiKey ? table.workspaceOfKey(*this->request.apiKey) : nullptr;
    this->workspace = keyWorkspace ? keyWorkspace->name : std::string();
    this->outcome.workspace = this->workspace;
    if (keyWorkspace || this->route.isPublic || !table.state().keysRequired)
        return true;
    this->refuse({ ErrorKind::Unauthenticated, Outcome::NotRun,
        this->request.apiKey ? "key not in desired state " + this->describeDesiredState() : "no key" });
    return false;
}

bool RequestHandler::isPersisted() const { return this->route.keepsHistory && !this->request.lastEventId; }

bool RequestHandler::checkTurnInput()
{
    if (!this->isPersisted())
        return true;
    const ConversationTurn turn { this->request.id, this->request.previousTurn, this->workspace, {}, {},
        this->program };
    this->turnBytes = encodedTurnBytes(turn) + this->request.body.size();
    const auto accepted = this->ingress->checkTurnSize(turn, this->request.body.size());
    // The answer could not be completed, because the turn cannot be persisted.
    if (!accepted)
        this->refuse({ ErrorKind::RequestTooLarge, Outcome::NotRun, accepted.error().detail });
    return accepted.hasValue();
}

asio::awaitable<bool> RequestHandler::beginTurn()
{
    this->program = idFromName<ProgramId>(
        this->workspace + "/" + (this->request.program.empty() ? this->request.id : this->request.program));
    if (!this->checkTurnInput())
        co_return false;
    const bool continues = this->route.keepsHistory && !this->request.previousTurn.empty();
    const auto isForeign
        = [&](const std::vector<SharedTurn>& turns) { return turns.back()->workspace != this->workspace; };
    auto history = continues ? this->ingress->localHistory(this->request.previousTurn) : std::vector<SharedTurn> {};
    if (!history.empty() && isForeign(history)) {
        this->refuse({ ErrorKind::UnknownTurn, Outcome::NotRun, this->request.previousTurn });
        co_return false;
    }
    const bool hasBudget = this->request.budget && !this->request.program.empty();
    const bool lacksHistory = continues && history.empty();
    if (hasBudget || lacksHistory) {
        BeginTurnRequest begin;
        begin.program = this->program;
        begin.workspace = this->workspace;
        begin.timeLeft = this->timeLeft(RuntimeClock::now());
        if (lacksHistory)
            begin.previousTurn = this->request.previousTurn;
        if (hasBudget) {
            begin.budget = this->request.budget;
            begin.maxTokens = this->maxTokens();
            begin.hold = this->ingress->nextHold();
        }
        this->holder = this->ingress->holderOf(this->program);
        const auto begun = co_await this->ingress->beginTurnAt(this->executor, this->holder, begin);
        if (!begun) {
            this->refuse(begun.error());
            co_return false;
        }
        this->hold = begin.hold;
        this->stage = begun->stage;
        if (lacksHistory)
            history = this->ingress->localHistory(this->request.previousTurn);
    }
    if (continues && history.empty()) {
        this->refuse({ ErrorKind::NotReady, Outcome::NotRun, "history not available", retryAfterNotReady });
        co_return false;
    }
    this->body = continues ? assembleInput(history, this->request.body) : this->request.body;
    co_return true;
}

void RequestHandler::endTurn(std::optional<HeldTurn> turn)
{
    if (!this->hold.isValid() && !turn)
        return;
    EndTurnNotice notice { this->program, std::exchange(this->hold, {}), this->deliveredTokens, std::move(turn),
        this->route.retention };
    this->ingress->endTurnAt(this->holder, std::move(notice));
}

void RequestHandler::logOutcome()
{
    this->outcome.request = this->request.id;
    this->outcome.program = this->request.program;
    this->outcome.attempts = this->attempts;
    this->outcome.runs = this->runs;
    this->outcome.total = RuntimeClock::now() - this->startedAt;
    if (this->callerLeft && this->outcome.result.empty())
        this->outcome.result = "caller_left";
    this->ingress->requestLog.write(this->outcome);
}

asio::awaitable<void> RequestHandler::serve()
{
    const auto begin = RuntimeClock::now();
    const bool hasBegun = co_await this->beginTurn();
    const auto begun = RuntimeClock::now();
    this->outcome.turnWait = begun - begin;
    if (!hasBegun)
        co_return;
    const bool isAdmitted = co_await this->admitByAllowance();
    this->admittedAt = RuntimeClock::now();
    this->outcome.allowanceWait = this->admittedAt - begun;
    if (isAdmitted)
        co_await this->dispatch();
}

asio::awaitable<void> RequestHandler::run([[maybe_unused]] std::shared_ptr<RequestHandler> self, HttpRequest http)
{
    const auto stopLater = [weak = this->weak_from_this(), strand = this->executor] {
        asio::post(strand, [weak] {
            if (const auto running = weak.lock())
                running->stop();
        });
    };
    this->runningKey = this->ingress->running.add({ {}, {}, this->startedAt, stopLater });
    this->exchange.onDisconnect([events = this->events] { events.push({ 0, CallerLeft {} }); });
    auto decoded = this->ingress->formats.decodeCaller(std::move(http));
    if (decoded) {
        this->request = std::move(decoded.value());
        this->lastEventId = this->request.lastEventId;
        if (this->ingress->exiting)
            this->stop();
        else if (this->resolveRoute() && this->authorize()) {
            const auto longest = this->route.timeout > Milliseconds(0) ? this->route.timeout : longestRequest;
            this->deadline = this->startedAt + std::min(longest, this->request.timeLeft.value_or(longest));
            co_await this->serve();
        }
    } else {
        this->refuse(decoded.error());
    }
    this->finish();
}

void Ingress::Impl::recordTooLarge(std::string_view peer, std::string_view name, std::string_view part, ByteCount limit)
{
    this->metrics.count(fmt::format("answers_too_large{{peer=\"{}\"}}", peer));
    if (const auto suppressed = this->tooLargeLogLimiter.take())
        log(LogLevel::Warning, "answer too large",
            { { "peer", name }, { "part", part }, { "limit_bytes", limit.value }, { "left_out", *suppressed } });
}

void Ingress::Impl::serve(HttpRequest request, const HttpExchange& exchange)
{
    const auto executor = this->newStrand();
    auto run = std::make_shared<RequestHandler>(this->shared_from_this(), exchange, executor);
    auto* raw = run.get();
    auto task = raw->run(run, std::move(request));
    asio::co_spawn(executor, std::move(task), [run = std::move(run)](const std::exception_ptr& error) {
        logUnexpectedError("request", error);
        if (error)
            run->fail();
    });
}

} // namespace peridotramp
