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

/// An event and the number of the attempt that it belongs to. Events of earlier attempts are ignored.
struct AttemptEvent {
    int attempt = 0;
    RequestEvent event;
};

/// How an attempt at one endpoint ended.
enum class AttemptResult : std::uint8_t {
    /// The answer was forwarded completely.
    Answered,
    /// The endpoint has not run the request.
    NotRun,
    /// The attempt failed after the endpoint may have run the request or a part of it.
    Failed,
    CallerLeft,
    TimedOut,
    Count
};

/// Handles one request of a caller, as a coroutine on its own strand.
class RequestHandler : public std::enable_shared_from_this<RequestHandler> {
public:
    RequestHandler(
        std::shared_ptr<Ingress::Impl> ingress, HttpExchange exchange, const asio::any_io_executor& executor);

    asio::awaitable<void> run(std::shared_ptr<RequestHandler> self, HttpRequest http);
    /// Ends the request after an exception of its coroutine.
    void fail();

private:
    // Serves a request whose route and workspace are known.
    asio::awaitable<void> serve();
    // Describes the version that decided a request and the age of what this instance knows of it, for a refusal.
    std::string describeDesiredState() const;
    // Each of these refuses the request and returns false if it may not run.
    bool resolveRoute();
    bool authorize();
    // Whether the request is a turn that later ones may continue.
    bool isPersisted() const;
    // Refuses a turn whose input alone is larger than what the store accepts; returns whether it may run.
    bool checkTurnInput();
    // Loads the history of a turn and obtains tokens for it.
    asio::awaitable<bool> beginTurn();
    asio::awaitable<bool> admitByAllowance();

    asio::awaitable<void> dispatch();
    // Waits for a short time before the next attempt. Returns false when the request has ended instead.
    asio::awaitable<bool> waitForEndpoint(Error error);
    DispatchRequest dispatchRequest() const;
    asio::awaitable<AttemptResult> attempt(DispatchChoice choice);
    // Has no further request sent to an endpoint whose answer says that it is leaving.
    void markLeaving(const DispatchChoice& choice);
    // Ends the current choice in the endpoint directory.
    void finishChoice(DispatchResult result);
    asio::awaitable<AttemptResult> relay(const DispatchChoice& choice, TimePoint deadline);
    asio::awaitable<AttemptResult> relayEvents(TimePoint deadline);
    asio::awaitable<AttemptResult> relayBuffered(EndpointHead head, TimePoint deadline);
    asio::awaitable<std::optional<RequestEvent>> nextEvent(TimePoint deadline);
    // Sends the request to an endpoint, whose answer arrives as events of the current attempt.
    void startCall(const DispatchChoice& choice);
    bool forwardEvent(const StreamEvent& event);
    // Returns the limit that an event would exceed; empty when it may be forwarded.
    std::string_view exceededStreamLimit(const StreamEvent& event) const;
    // Records that a part of the endpoint's answer exceeds its size limit.
    void recordTooLarge(std::string_view part, ByteCount limit);
    TokenCount tokensPerEvent() const;
    // Returns the maximum tokens of the request, rounded up to a whole number of events.
    TokenCount maxTokens() const;
    asio::awaitable<void> finishStream();
    bool mayRetry() const;

    void refuse(const Error& error);
    void abort(std::string_view reason);
    // Ends the request at the shutdown of the process, with an answer that tells whether it may have run.
    void stop();
    // Reports the end of the turn to the holder of the program, with its tokens at most once.
    void endTurn(std::optional<HeldTurn> turn = std::nullopt);
    void logOutcome();
    // Releases what the request holds, and logs it.
    void finish();
    Milliseconds timeLeft(TimePoint now) const;

    std::shared_ptr<Ingress::Impl> ingress;
    HttpExchange exchange;
    asio::any_io_executor executor;
    Mailbox<AttemptEvent> events;
    TimePoint startedAt;
    // When the allowance admitted the request.
    TimePoint admittedAt {};
    CallerRequest request {};
    std::shared_ptr<const RoutingSnapshot> routing {};
    HttpRoute route {};
    std::string workspace {};
    std::string service {};
    std::string body {};
    // Size of the stored turn without its output.
    std::size_t turnBytes = 0;
    ProgramId program {};
    TimePoint deadline {};
    // Holder of the program; empty when it is this instance.
    std::optional<FleetMember> holder {};
    ProgramStage stage = ProgramStage::Continues;
    // Identifies the tokens that are held for the turn; invalid when there are none or the turn has ended.
    HoldId hold {};
    // Tokens of the events that were forwarded to the caller.
    TokenCount deliveredTokens {};
    std::vector<std::string> excluded {};
    // Endpoints to which the request has been sent.
    std::vector<std::string> attempted {};
    // Number of attempts that an endpoint may have run.
    int runs = 0;
    int attempts = 0;
    // Set by the first attempt. From then on the deadline, not the latency target, limits the wait for an endpoint.
    bool wasAttempted = false;
    // Whether an attempt is in progress, which its endpoint may be running.
    bool isAttemptRunning = false;
    bool callerLeft = false;
    bool ended = false;
    EndpointHead streamHead {};
    bool streamStarted = false;
    EventSplitter splitter;
    std::optional<std::string> lastEventId {};
    std::string output {};
    HttpClient::Call call {};
    RunningRequests::Key runningKey = 0;
    // Choice of the current attempt, which the endpoint directory counts as outstanding.
    std::optional<DispatchChoice> choice {};
    // Endpoint of the current attempt.
    std::string endpoint {};
    RequestOutcome outcome {};
};

} // namespace peridotramp
