#pragma once

#include "allowances_p.h"
#include "peridotramp/async.h"
#include "peridotramp/conversations.h"
#include "peridotramp/fleet.h"
#include "peridotramp/ingress.h"
#include "peridotramp/reachability.h"
#include "peridotramp/tokens.h"

namespace peridotramp {

/// State of the desired configuration that requests read. Replaced as a whole.
struct RoutingView {
    std::shared_ptr<const RouteTable> table;
    std::set<std::string, std::less<>> evacuated;
};

/// What one log line and the metrics say of a request that has ended.
struct RequestOutcome {
    std::string request;
    std::string route;
    std::string workspace;
    std::string program;
    std::string endpoint;
    std::string result;
    std::string detail;
    unsigned status = 0;
    int attempts = 0;
    /// Attempts that may have run at an endpoint.
    int runs = 0;
    /// Events that were sent on, and their bytes.
    std::uint64_t events = 0;
    std::uint64_t eventBytes = 0;
    std::int64_t version = 0;
    Duration firstByte {};
    Duration total {};
    bool failed = false;
};

/// Bounds the lines about requests and connections: failures go before successes, and what is left out is counted.
class RequestLog {
public:
    struct Init {
        int failuresPerSecond = 100;
        int successesPerSecond = 20;
    };

    RequestLog(Metrics& metrics, Init init)
        : metrics(metrics)
        , init(init)
    {
    }

    void write(const RequestOutcome& outcome);
    /// Counts the end of a connection, and writes a line unless the connection was only idle.
    void write(const ConnectionEnd& end);

private:
    bool take(bool failed);

    Metrics& metrics;
    Init init;
    std::mutex mutex;
    TimePoint second {};
    int failures = 0;
    int successes = 0;
    int leftOut = 0;
};

/// A request that has been read and has not ended.
struct RunningRequest {
    std::string request;
    std::string route;
    TimePoint since {};
    /// Ends it with an answer, because the process ends.
    std::function<void()> stop;
};

/// The requests that run. Thread-safe.
class RunningRequests {
public:
    using Key = std::uint64_t;

    Key add(RunningRequest request);
    void describe(Key key, std::string_view request, std::string_view route);
    void remove(Key key);
    std::size_t size() const { return this->count; }
    /// Returns the oldest requests, at most `most`.
    std::vector<RunningRequest> oldest(std::size_t most);
    void stopAll();

private:
    Sharded<std::map<Key, RunningRequest>> shards;
    std::atomic<Key> lastKey = 0;
    std::atomic<std::size_t> count = 0;
};

/// Moments of a planned stop, counted from its begin.
struct StopPlan {
    /// When the balancer has moved on, and idle connections close.
    Milliseconds closeIdle { 0 };
    /// When the requests that still run are ended.
    Milliseconds endRequests { 0 };
};

/// Divides the grace time.
StopPlan planStop(Milliseconds grace, Milliseconds balancerDelay);

/// Bytes of one answer that is held until it is complete, and their part of what all such answers take together.
class HeldAnswer {
public:
    explicit HeldAnswer(std::atomic<std::size_t>& total)
        : total(total)
    {
    }
    HeldAnswer(const HeldAnswer&) = delete;
    HeldAnswer& operator=(const HeldAnswer&) = delete;
    ~HeldAnswer() { this->total -= this->bytes.size(); }

    /// Returns how many bytes all answers take with this part.
    std::size_t append(std::string_view part)
    {
        this->bytes += part;
        return this->total += part.size();
    }
    std::size_t size() const { return this->bytes.size(); }
    /// Returns the complete answer, which is not held any more.
    std::string take()
    {
        this->total -= this->bytes.size();
        return std::exchange(this->bytes, {});
    }

private:
    std::atomic<std::size_t>& total;
    std::string bytes;
};

/// Operations on one program's reservation run one after another.
struct ReservationQueue {
    bool busy = false;
    std::deque<std::function<void()>> waiting;
};

struct TokenShard {
    std::unique_ptr<TokenLedger> ledger;
    std::map<ProgramId, ReservationQueue> queues;
};

/// What a search for a turn found out.
enum class TurnSearch : std::uint8_t {
    Found,
    /// No instance and no partition of the store has the turn.
    Unknown,
    /// Some did not answer.
    Unsure,
    Count
};

/// What keeps a search for a turn from calling the turn unknown.
struct SearchDoubts {
    /// Whether the store's list of the instances has been read.
    bool membersKnown = false;
    /// Instances that are not reached or have not answered.
    std::vector<FleetMember> silent {};
    /// Instances of the failure domain that have not read their partitions.
    std::vector<FleetMember> unsure {};
    /// Partitions that this instance has not read.
    std::set<StorePartition> unread {};
    /// Instances of the failure domain whose calls to the store have failed.
    std::vector<FleetMember> withoutStore {};
    /// Whether an instance of any failure domain has watched the store for the whole time in which turns are kept.
    bool watched = false;

    bool none() const
    {
        return this->membersKnown && this->silent.empty() && this->unsure.empty() && this->unread.empty()
            && this->withoutStore.empty() && this->watched;
    }
};

/// Sends a message to instances. `onAnswer` gets, for each of them within `limit`, the reply, or nothing when the
/// instance does not answer or answers otherwise; it is called on any thread.
template <typename Reply, typename OnAnswer>
void askMembers(Fleet& fleet, const std::vector<FleetMember>& members, const Message& message, Milliseconds limit,
    const OnAnswer& onAnswer)
{
    for (const auto& member : members)
        fleet.call(member.address, message, limit, [member, onAnswer](Result<Message> answer, bool) {
            auto* reply = answer ? std::get_if<Reply>(&answer.value()) : nullptr;
            onAnswer(member, reply ? std::optional<Reply>(std::move(*reply)) : std::nullopt);
        });
}

/// As `askMembers`; the answers go to a mailbox.
template <typename Reply>
Mailbox<std::optional<Reply>> askEach(const asio::any_io_executor& executor, Fleet& fleet,
    const std::vector<FleetMember>& members, const Message& message, Milliseconds limit)
{
    Mailbox<std::optional<Reply>> answers(executor);
    askMembers<Reply>(fleet, members, message, limit,
        [answers](const FleetMember&, std::optional<Reply> reply) { answers.push(std::move(reply)); });
    return answers;
}

/// One writer for each partition of a topic, made when it is needed. Thread-safe.
class PartitionWriters {
public:
    StoreWriter& get(Runtime& runtime, const MetadataStore& store, StoreTopic topic, StorePartition partition);
    /// Number of records that are not stored yet.
    std::size_t waiting();

private:
    using Shard = std::map<StorePartition, std::unique_ptr<StoreWriter>>;

    Sharded<Shard> writers;
};

/// A reservation of another failure domain that this instance has stored for it.
struct CopiedReservation {
    TimePoint at {};
    StorePartition partition;
    std::string key;
};

/// A partition whose programs this instance keeps in its failure domain.
struct KeptPartition {
    TimePoint since {};
    /// Whether all reservations that instances of the failure domain have made are known.
    bool complete = false;
};

struct Ingress::Impl : std::enable_shared_from_this<Ingress::Impl> {
    Impl(Runtime& runtime, IngressInit init, IngressFormats formats,
        const std::function<MetadataStore(StoreTransport)>& makeStore);

    // ingress.cpp
    void start();
    void drain(std::function<void()> done);
    void finishDrain(const std::function<void()>& done);
    /// Whether nothing runs, all answers have been written, and no turn or reservation waits to be stored.
    bool isIdle();
    /// Calls `next` once this instance is idle, or at the deadline.
    void awaitIdle(TimePoint deadline, std::function<void()> next);
    /// Ends the requests that still run, each with an answer.
    void endRequests(const std::function<void()>& done);
    void finishStop(const std::function<void()>& done);
    /// Describes the oldest requests that run, for a log line.
    std::string describeRunning();
    bool isReady();
    std::string dump();
    HttpLimits callerLimits();
    void serveAdmin(const HttpRequest& request, const HttpExchange& exchange);
    std::shared_ptr<const RoutingView> view();
    asio::any_io_executor newStrand();

    // follow.cpp
    void startFollowing();
    void applyOperator(const StoreRecord& record);
    void applyDesiredState(DesiredState state);
    void applyEvacuation(const EvacuationChange& change);
    void applyEndpointSnapshot(const std::vector<StoreRecord>& records);
    void applyEndpoint(const StoreRecord& record);
    void removeEndpoint(const std::string& name);
    void updateTerms();
    StateReply knownState();
    /// Asks another instance for the desired state and the endpoints while the store does not answer.
    void askForState();
    void noteRecord(std::map<std::string, std::string>& records, const StoreRecord& record);

    // peers.cpp
    FleetHooks fleetHooks();
    void startPeers();
    void announceMember();
    /// Withdraws the announcement of this instance and calls `done` once, when the store has answered or soon after.
    void withdrawMember(std::function<void()> done);
    /// Drops the announcements of instances that are gone for good.
    void pruneMembers();
    void applyMember(const StoreRecord& record);
    void endPeriod();
    void updateReachability();
    void handlePeer(Message message, const RpcReply& reply);
    double coldShare(std::string_view endpoint, double coldRate);

    // storeaccess.cpp
    void callStore(HttpRequest request, Milliseconds timeout, std::function<void(HttpResult, HttpResponse)> hook);
    void callStoreThroughPeer(
        HttpRequest request, Milliseconds timeout, std::function<void(HttpResult, HttpResponse)> hook);
    void callStoreBothWays(
        HttpRequest request, Milliseconds timeout, std::function<void(HttpResult, HttpResponse)> hook);
    void callStoreDirectly(
        HttpRequest request, Milliseconds timeout, std::function<void(HttpResult, HttpResponse)> hook);

    // keepers.cpp
    StorePartition partitionOf(ProgramId program) const;
    /// Returns the members of a failure domain that are reached and do not stop, this instance included.
    std::vector<FleetMember> keeperCandidatesIn(std::string_view domain);
    /// Returns the members of a failure domain that may keep a partition's programs, the first one first.
    std::vector<FleetMember> keepersOf(StorePartition partition, std::string_view domain);
    /// Returns the keeper of a program in this failure domain; empty when it is this instance.
    std::optional<FleetMember> keeperOf(ProgramId program);
    /// Returns the keepers of a partition's programs in the other failure domains, as far as these are reached.
    std::vector<FleetMember> keepersElsewhere(StorePartition partition);
    /// Returns another failure domain that has none of the members; empty when there is none.
    std::optional<std::string> domainWithout(const std::vector<FleetMember>& keepers) const;
    /// Whether this instance keeps a partition's programs and knows of all their reservations in its failure domain.
    bool isComplete(StorePartition partition);
    /// Notes which partitions this instance keeps, after the reachable instances may have changed.
    void updateKept();
    asio::awaitable<void> completePartition(asio::any_io_executor executor, StorePartition partition, TimePoint since);
    /// Hands the reservations of a partition to the instance that keeps it next.
    void handOver(StorePartition partition, const FleetMember& keeper);
    void takeHandover(const HandoverNotice& notice);
    std::vector<TokenReservation> reservationsOf(StorePartition partition);
    void applyReservations(const std::vector<TokenReservation>& reservations);
    /// Takes a partition from the keepers of all other failure domains, for an instance that started while the store is
    /// away; returns whether each of them knows the whole partition. Unless `hasTurns`, the turns that they have not
    /// stored are asked for, too; it is set when all have answered.
    asio::awaitable<bool> takeFromKeepers(asio::any_io_executor executor, StorePartition partition, bool& hasTurns);
    PartitionReply describePartition(const PartitionRequest& request);
    /// Tells the keepers of the other failure domains what this instance knows while the store does not answer: what
    /// the store confirmed last is known to nobody else. Called often, it sends at most every two seconds.
    void shareReservations();

    // beginturn.cpp
    HoldId nextHold();
    /// Begins a turn at the keeper of its program in this failure domain, or here when the keeper does not answer;
    /// `keeper` is then emptied. Any instance may keep a program: the log decides what holds.
    asio::awaitable<Result<BeginTurnReply>> beginTurnAt(
        asio::any_io_executor executor, std::optional<FleetMember>& keeper, BeginTurnRequest request);
    asio::awaitable<Result<BeginTurnReply>> beginTurn(asio::any_io_executor executor, BeginTurnRequest request);
    void endTurnAt(const std::optional<FleetMember>& keeper, EndTurnNotice notice);
    void endTurn(EndTurnNotice notice);
    /// Reports the end of a turn to an instance that may have set its tokens aside, until it answers.
    void reportEndTurn(const FleetMember& keeper, EndTurnNotice notice);
    void sendEndTurn(const FleetMember& keeper, const std::shared_ptr<const EndTurnNotice>& notice, int report);

    // turns.cpp
    void startTurns();
    StoreWriter& turnWriter(StorePartition partition);
    /// Returns a turn that this instance holds, and keeps it at least until the given time.
    SharedTurn findTurn(std::string_view id, TimePoint keepUntil = {});
    /// Adds a turn; `stored` is set when this instance drops it from that partition of the store in the end.
    void addTurn(ConversationTurn turn, std::optional<StorePartition> stored, Milliseconds keepFor);
    /// Makes a turn outlast this process: in the store, or while the store is away at instances of two other failure
    /// domains. Returns false when neither was possible in time; the turn must then not be answered whole.
    asio::awaitable<bool> keepTurn(asio::any_io_executor executor, ProgramId program, ConversationTurn turn,
        Milliseconds keepFor, TimePoint deadline);
    asio::awaitable<bool> copyTurn(
        asio::any_io_executor executor, ProgramId program, const ConversationTurn& turn, Milliseconds keepFor);
    void expireTurns();
    /// Longest time for which a route of the desired state keeps its turns.
    Milliseconds longestRetention();

    // history.cpp
    /// Finds the history up to a turn, wherever it is, or gives the error with which the request is refused.
    asio::awaitable<Result<std::vector<SharedTurn>>> historyOf(
        asio::any_io_executor executor, ProgramId program, std::string turn, std::string workspace, TimePoint deadline);
    /// Turns that callers have received may be lost when the store was away: they were held only by instances that may
    /// have failed since. A turn that is not found is then not called unknown.
    StoreWatch storeWatch();
    /// Looks for a turn wherever it may be; `doubts` says why one that is not found is not called unknown.
    asio::awaitable<TurnSearch> findMissingTurn(asio::any_io_executor executor, StorePartition partition,
        std::string turn, TimePoint deadline, SearchDoubts& doubts);
    /// Returns the history as far as this instance holds it whole; empty otherwise.
    std::vector<SharedTurn> heldHistory(std::string_view turn);
    /// Asks instances for a turn and what it continues, until one has it. Adds those that do not answer or are not
    /// certain to `doubts`.
    asio::awaitable<void> askForTurn(asio::any_io_executor executor, std::vector<FleetMember> members, std::string turn,
        HistoryDepth depth, TimePoint deadline, SearchDoubts& doubts);
    /// Returns the instances that keep a partition's programs in each failure domain, this one left out.
    std::vector<FleetMember> likelyHolders(StorePartition partition);
    /// Returns the partitions whose programs this instance keeps in its failure domain.
    std::vector<StorePartition> keptPartitions();
    void applyTurns(StorePartition partition, const std::vector<StoreRecord>& records);
    /// Reads the turns of a partition that this instance has not read yet, up to an end that is current now.
    asio::awaitable<bool> readTurns(asio::any_io_executor executor, StorePartition partition);
    asio::awaitable<bool> readNewTurns(asio::any_io_executor executor, StorePartition partition);
    asio::awaitable<HistoryReply> answerHistory(asio::any_io_executor executor, HistoryRequest request);

    // budgets.cpp
    void startBudgets();
    /// Sets the most tokens of a turn aside, or gives the error with which it is refused.
    asio::awaitable<Result<ProgramStage>> admitTokens(
        asio::any_io_executor executor, ProgramId program, TokenRequest request, TimePoint deadline);
    asio::awaitable<Status> reserveTokens(
        asio::any_io_executor executor, ProgramId program, TokenCount most, TimePoint deadline);
    /// Has a reservation confirmed by the store or, when that does not answer, by other keepers; returns what is
    /// missing when neither does.
    asio::awaitable<std::string> confirmReservation(
        asio::any_io_executor executor, TokenReservation reservation, TimePoint deadline);
    /// Has a reservation that the store does not confirm remembered by the keepers of all other failure domains.
    /// Returns what is missing when one of them does not answer or may not know of all reservations; else nothing.
    asio::awaitable<std::string> confirmByKeepers(
        asio::any_io_executor executor, TokenReservation reservation, TimePoint deadline);
    ReservationCopyReply takeReservationCopy(const TokenReservation& reservation);
    StoreWriter& tokenWriter(StorePartition partition);
    /// Gives back all tokens that no turn needs; for an instance that stops.
    void giveBackAll();
    asio::awaitable<bool> readReservationsTo(asio::any_io_executor executor, StorePartition partition, Offset last);
    asio::awaitable<bool> readReservations(asio::any_io_executor executor, StorePartition partition, Offset upTo);
    asio::awaitable<bool> loadReservations(asio::any_io_executor executor, StorePartition partition);
    /// Returns up to where the reservations of a partition have been read; empty before they have been loaded.
    std::optional<Offset> reservationCursor(StorePartition partition);
    void advanceReservationCursor(StorePartition partition, Offset next);
    /// Returns whether every other holder has given back what it does not need.
    asio::awaitable<bool> reclaimTokens(asio::any_io_executor executor, ProgramId program, TimePoint deadline);
    /// Gives back what no turn of the program needs. Returns false when more will be given back later.
    asio::awaitable<bool> giveBackTokens(asio::any_io_executor executor, ProgramId program);
    /// Whether turns that run at other instances still hold tokens of this one.
    bool hasHolds();
    void settleTokens(ProgramId program, HoldId hold, TokenCount used);
    void applyReservations(const std::vector<StoreRecord>& records);
    /// Says for a log line what this instance knows of a program's budget and who holds how much of it.
    std::string describeBudget(ProgramId program);
    std::string reservationKey(ProgramId program) const;
    void expireBudgets();

    // leases.cpp
    /// Asks for room of an allowance, wherever it is to be had, and takes it. The lease tells why there is none; it is
    /// empty when no coordinator answers.
    asio::awaitable<std::optional<AllowanceLease>> leaseRoom(
        asio::any_io_executor executor, WorkspaceId workspace, ProgramStage stage, TimePoint deadline);
    /// Leases room to an instance of the failure domain, borrowed from another domain when there is none here.
    asio::awaitable<AllowanceLease> grantLease(asio::any_io_executor executor, LeaseRequest request);

    // request.cpp
    /// Counts and logs that a peer sent more than a bound allows.
    void noteTooLarge(std::string_view peer, std::string_view name, std::string_view part, ByteCount limit);
    void serve(HttpRequest request, const HttpExchange& exchange);

    Runtime& runtime;
    IngressInit init;
    IngressFormats formats;
    /// Names this process among all that ever ran under the instance's name.
    Incarnation incarnation;
    /// Owner name of this process in token reservations.
    std::string owner;
    TimePoint startedAt;
    TimePoint drainBegan {};
    std::atomic<Milliseconds> grace;
    Metrics metrics {};
    RequestLog requestLog;
    StoreHealth storeHealth {};
    // When the keepers of other failure domains were told last of what the store has confirmed.
    std::atomic<TimePoint> reservationsSharedAt { TimePoint {} };
    HttpClient storeClient;
    HttpClient endpointClient;
    MetadataStore store;
    std::unique_ptr<HttpServer> callerServer {};
    std::unique_ptr<HttpServer> adminServer {};
    Fleet fleet;

    std::mutex viewMutex {};
    std::shared_ptr<const RoutingView> currentView;
    std::atomic<bool> endpointsKnown = false;
    std::atomic<bool> membersKnown = false;
    std::atomic<bool> draining = false;
    /// Whether the process is about to end, so that a request that has been read late is refused.
    std::atomic<bool> ending = false;
    /// Cut off from the store and from all other failure domains.
    std::atomic<bool> isolated = false;
    RunningRequests running {};
    /// Number of token holds that this process has asked for.
    std::atomic<std::uint64_t> holds = 0;
    /// Turns whose end a keeper has not confirmed yet.
    std::atomic<std::size_t> unreportedTurns = 0;
    std::atomic<std::size_t> heldAnswerBytes = 0;
    LogLimiter tooLargeLines {};

    AllowanceBook allowances;
    /// By service name.
    Sharded<std::unique_ptr<EndpointDirectory>, 8> directories {};
    std::mutex loadsMutex {};
    LoadTable loads {};
    /// By turn id.
    Sharded<ConversationTable> turns {};
    /// By partition.
    PartitionWriters turnWriters {};
    PartitionWriters tokenWriters {};
    /// By partition: up to where this instance has read the stored turns.
    Sharded<std::map<StorePartition, Offset>> turnCursors {};
    SingleFlight<StorePartition> turnReads {};
    /// By program.
    Sharded<TokenShard> tokens {};
    /// By partition.
    Sharded<std::map<StorePartition, Offset>> reservationCursors {};
    SingleFlight<StorePartition> reservationLoads {};
    std::mutex keptMutex {};
    std::map<StorePartition, KeptPartition> kept {};
    // Names of the instances of the domain that could keep programs when this was looked at last.
    std::vector<std::string> keeperCandidates {};
    std::mutex copiesMutex {};
    std::deque<CopiedReservation> copiedReservations {};
    std::mutex recordsMutex {};
    // Newest records as they came, for instances that the store does not answer.
    std::map<std::string, std::string> operatorRecords {};
    std::map<std::string, std::string> endpointRecords {};
    std::atomic<TimePoint> stateAskedAt { TimePoint {} };
    std::mutex removalsMutex {};
    // Endpoints whose record has gone and that are removed unless it returns.
    std::set<std::string> removals {};
};

} // namespace peridotramp
