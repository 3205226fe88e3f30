#pragma once

#include "ingress_p.h"
#include "peridotramp/streams.h"

namespace peridotramp {

struct HeadArrived {
    EndpointHead head;
};
struct BodyArrived {
    std::string bytes;
};
struct AnswerEnded {
    HttpResult result;
};
struct CallerLeft { };
using RequestEvent = std::variant<HeadArrived, BodyArrived, AnswerEnded, CallerLeft>;

/// An event and the attempt that it belongs to; events of an earlier attempt are passed over.
struct AttemptEvent {
    int attempt = 0;
    RequestEvent event;
};

/// How an attempt at one endpoint ended.
enum class AttemptEnd : std::uint8_t {
    /// The caller has the whole answer.
    Answered,
    /// The endpoint has not run the request.
    NotRun,
    /// The endpoint may have run the request, or a part of it.
    Broken,
    CallerLeft,
    TimedOut,
    Count
};

/// One request of a caller from its arrival to its end. Runs as a coroutine on a strand of its own.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
public:
    RequestRun(std::shared_ptr<Ingress::Impl> ingress, HttpExchange exchange, const asio::any_io_executor& executor);

    asio::awaitable<void> run(std::shared_ptr<RequestRun> self, HttpRequest http);

private:
    // Decide whether the request may run at all; each refuses it and returns false if not.
    bool resolve();
    bool authorize();
    // Finds the history of a turn and sets its tokens aside.
    asio::awaitable<bool> beginTurn();
    asio::awaitable<bool> admitByAllowance();

    asio::awaitable<void> dispatch();
    // Waits a moment for an endpoint to become free; false when the request has been ended instead.
    asio::awaitable<bool> waitForEndpoint(Error error);
    DispatchRequest dispatchRequest() const;
    asio::awaitable<AttemptEnd> attempt(DispatchChoice choice);
    asio::awaitable<AttemptEnd> relay(const DispatchChoice& choice, TimePoint deadline);
    asio::awaitable<AttemptEnd> relayEvents(TimePoint deadline);
    asio::awaitable<AttemptEnd> relayWhole(EndpointHead head, TimePoint deadline);
    asio::awaitable<std::optional<RequestEvent>> nextEvent(TimePoint deadline);
    // Makes the call to an endpoint; what it sends arrives as events of the current attempt.
    void startCall(const DispatchChoice& choice);
    bool forwardEvent(const StreamEvent& event);
    // Returns why no event may follow those that the caller has; empty when one may.
    std::string_view excessOfStream() const;
    // Notes that a part of the endpoint's answer exceeds its bound.
    void noteTooLarge(std::string_view part, ByteCount limit);
    TokenCount tokensPerEvent() const;
    // Most tokens that the request may generate, in whole events.
    TokenCount mostTokens() const;
    asio::awaitable<void> finishStream();
    bool mayRepeat() const;

    void refuse(const Error& error);
    void abort(std::string_view reason);
    // Ends the request with an answer that says what is known, because the process ends.
    void stop();
    // Tells the keeper of the program how the turn has ended; does so once.
    void endTurn(std::optional<ConversationTurn> turn = std::nullopt);
    void report();
    Milliseconds timeLeft(TimePoint now) const;

    std::shared_ptr<Ingress::Impl> ingress;
    HttpExchange exchange;
    asio::any_io_executor executor;
    Mailbox<AttemptEvent> events;
    TimePoint startedAt;
    CallerRequest request {};
    std::shared_ptr<const RoutingView> view {};
    HttpRoute route {};
    std::string workspace {};
    std::string service {};
    std::string body {};
    ProgramId program {};
    TimePoint deadline {};
    // Instance that keeps the program; empty for this one.
    std::optional<FleetMember> keeper {};
    ProgramStage stage = ProgramStage::Continues;
    // Names the tokens that are set aside for the turn; invalid when there are none or the turn has ended.
    HoldId hold {};
    TokenCount handed {};
    std::vector<std::string> excluded {};
    // Endpoints that may have run the request.
    int runs = 0;
    int attempts = 0;
    bool offered = false;
    // Whether an attempt is under way, which may run at its endpoint.
    bool attemptRuns = false;
    bool callerGone = false;
    bool ended = false;
    EndpointHead streamHead {};
    bool streamStarted = false;
    EventSplitter splitter;
    std::optional<std::string> lastEvent {};
    std::string output {};
    HttpClient::Call call {};
    RunningRequests::Key runningKey = 0;
    // Endpoint of the current attempt.
    std::string endpoint {};
    RequestOutcome outcome {};
};

} // namespace peridotramp
