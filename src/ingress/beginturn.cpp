#include "ingress_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Timeout of a request to the holder, which may have to reserve tokens in the log and search for the history.
constexpr Milliseconds beginTurnTimeout { 900 };
// Time for which turns of other holders are cached; a conversation usually continues within seconds.
constexpr Seconds cachedTurnLifetime { 15 };
// Timeout of the report of a turn's end. Not shorter, as retries would add to the load of an overloaded holder.
constexpr Milliseconds endTurnTimeout { 1500 };
// Bounds of the exponential backoff between the reports of a turn's end.
constexpr Milliseconds minEndTurnBackoff { 200 };
constexpr Milliseconds maxEndTurnBackoff { 1600 };
// With the backoff, the reports go on for more than ten seconds; after that time a holder that was cut off usually
// answers again.
constexpr int maxEndTurnReports = 6;

// Whether an error means that the other instance did not answer, as opposed to an error that it returned.
bool isUnanswered(ErrorKind kind) { return kind == ErrorKind::ConnectionFailed || kind == ErrorKind::DeadlineExceeded; }

using BeginTurnResult = Result<BeginTurnReply>;

// Asks the holder of a program to begin a turn. When the holder does not answer in time, returns an error whose kind
// satisfies `isUnanswered`.
asio::awaitable<BeginTurnResult> callHolder(
    Ingress::Impl& impl, asio::any_io_executor executor, Address holder, BeginTurnRequest request)
{
    const std::function<void(std::function<void(BeginTurnResult)>)> start
        = [&](std::function<void(BeginTurnResult)> hook) {
              impl.fleet.call(
                  holder, request, request.answerTimeout, [hook = std::move(hook)](Result<Message> answer, bool) {
                      auto* reply = answer ? std::get_if<BeginTurnReply>(&answer.value()) : nullptr;
                      if (reply)
                          hook(std::move(*reply));
                      else
                          hook(answer ? Error { ErrorKind::ConnectionFailed } : answer.error());
                  });
          };
    const auto deadline = RuntimeClock::now() + request.answerTimeout;
    auto answer = co_await awaitResult<BeginTurnResult>(executor, deadline, start);
    if (!answer)
        co_return BeginTurnResult(Error { ErrorKind::DeadlineExceeded, Outcome::Unknown });
    co_return std::move(*answer);
}

} // namespace

// Only the lower half of the range is used, because the maximum value means that there is no hold.
HoldId Ingress::Impl::nextHold() { return { hashBytes(this->owner, ++this->holds) >> 1 }; }

asio::awaitable<Result<BeginTurnReply>> Ingress::Impl::beginTurnAt(
    asio::any_io_executor executor, std::optional<FleetMember>& holder, BeginTurnRequest request)
{
    const auto deadline = RuntimeClock::now() + request.timeLeft;
    if (holder) {
        request.answerTimeout = std::min(request.timeLeft, beginTurnTimeout);
        auto answer = co_await callHolder(*this, executor, holder->address, request);
        if (answer) {
            for (auto& turn : answer.value().history)
                this->addHeldTurn(std::move(turn), std::nullopt, cachedTurnLifetime);
        }
        if (answer || !isUnanswered(answer.error().kind))
            co_return answer;
        // Log fields and metrics have the fixed name `keeper` for a holder, here and in the other files.
        this->metrics.count("keepers_unanswered");
        log(LogLevel::Warning, "holder does not answer",
            { { "program", request.program }, { "keeper", holder->name }, { "reason", toString(answer.error().kind) },
                { "hold", request.hold } });
        // The holder may hold tokens for the turn now or later, which nobody would use.
        if (request.budget)
            this->reportEndTurn(*holder, { request.program, request.hold });
        holder.reset();
        request.timeLeft = std::chrono::duration_cast<Milliseconds>(deadline - RuntimeClock::now());
    }
    request.answerTimeout = request.timeLeft;
    auto begun = co_await this->beginTurn(executor, std::move(request));
    co_return begun;
}

asio::awaitable<Result<BeginTurnReply>> Ingress::Impl::beginTurn(
    asio::any_io_executor executor, BeginTurnRequest request)
{
    const auto now = RuntimeClock::now();
    const auto deadline = now + request.answerTimeout;
    if (!request.previousTurn.empty()) {
        const auto history
            = co_await this->historyOf(executor, request.program, request.previousTurn, request.workspace, deadline);
        if (!history)
            co_return Result<BeginTurnReply>(history.error());
        // The retention of the earlier turns may end while this one is in progress.
        for (const auto& turn : *history)
            this->findTurn(turn->id, now + request.timeLeft + cachedTurnLifetime);
    }
    BeginTurnReply reply;
    if (request.budget) {
        const TokenRequest tokens { request.hold, *request.budget, request.maxTokens, now + request.timeLeft };
        const auto admitted = co_await this->admitTokens(executor, request.program, tokens, deadline);
        if (!admitted)
            co_return Result<BeginTurnReply>(admitted.error());
        reply.stage = *admitted;
    }
    co_return Result<BeginTurnReply>(std::move(reply));
}

void Ingress::Impl::endTurnAt(const std::optional<FleetMember>& holder, EndTurnNotice notice)
{
    if (!holder) {
        this->endTurn(std::move(notice));
        return;
    }
    // The turn is available here until the holder has it.
    if (notice.turn)
        this->addHeldTurn(*notice.turn, std::nullopt, cachedTurnLifetime);
    this->reportEndTurn(*holder, std::move(notice));
}

void Ingress::Impl::reportEndTurn(const FleetMember& holder, EndTurnNotice notice)
{
    ++this->unreportedTurns;
    this->sendEndTurn(holder, std::make_shared<const EndTurnNotice>(std::move(notice)), 1);
}

void Ingress::Impl::sendEndTurn(
    const FleetMember& holder, const std::shared_ptr<const EndTurnNotice>& notice, int report)
{
    this->fleet.call(holder.address, *notice, endTurnTimeout,
        [impl = this->shared_from_this(), holder, notice, report](const Result<Message>& answer, bool) {
            if (answer || report == maxEndTurnReports) {
                --impl->unreportedTurns;
                if (!answer)
                    log(LogLevel::Warning, "end of a turn not reported",
                        { { "program", notice->program }, { "keeper", holder.name }, { "hold", notice->hold },
                            { "used", notice->used.value }, { "reason", answer.error().message() } });
                return;
            }
            const auto backoff = std::min(maxEndTurnBackoff, minEndTurnBackoff * (1 << (report - 1)));
            // The turn itself is not sent again: it is persisted by now.
            auto again = std::make_shared<const EndTurnNotice>(
                EndTurnNotice { notice->program, notice->hold, notice->used, std::nullopt, notice->keepFor });
            impl->runtime.after(backoff,
                [impl, holder, again = std::move(again), report] { impl->sendEndTurn(holder, again, report + 1); });
        });
}

void Ingress::Impl::endTurn(EndTurnNotice notice)
{
    if (notice.hold.isValid())
        this->settleTokens(notice.program, notice.hold, notice.used);
    if (notice.turn)
        this->addHeldTurn(std::move(*notice.turn), this->partitionOf(notice.program), notice.keepFor);
}

} // namespace peridotramp
