#pragma once

#include "allowances_p.h"
#include "followedtopic_p.h"
#include "peridotramp/async.h"
#include "peridotramp/confirmation.h"
#include "peridotramp/conversations.h"
#include "peridotramp/fleet.h"
#include "peridotramp/ingress.h"
#include "peridotramp/reachability.h"
#include "peridotramp/tokens.h"

namespace peridotramp {

/// Immutable snapshot of the desired state and the evacuated failure domains, as requests use it.
struct RoutingSnapshot {
    std::shared_ptr<const RouteTable> table;
    std::set<std::string, std::less<>> evacuated;
};

/// Where an instance has received a record of the metadata store from.
enum class RecordSource : std::uint8_t {
    /// A read after an offset.
    Store,
    /// A read of the newest record of each key.
    StoreSnapshot,
    /// The newest records of another instance.
    Member,
    Count
};

std::string_view toString(RecordSource source);

/// Result of a request, for its log line and the metrics.
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
    /// Attempts that an endpoint may have run.
    int runs = 0;
    /// Number and bytes of the events that were forwarded to the caller.
    std::uint64_t events = 0;
    std::uint64_t eventBytes = 0;
    /// Version of the desired state that routed the request.
    std::int64_t version = 0;
    Duration firstByte {};
    Duration total {};
    /// Waits before the last attempt, by cause: for the history and the tokens of the turn, for the workspace's
    /// allowance, and for an endpoint with earlier attempts included.
    Duration turnWait {};
    Duration allowanceWait {};
    Duration endpointWait {};
    /// Tokens of the prompt, and those of them that the endpoint of the last attempt was not expected to have cached.
    TokenCount promptTokens;
    TokenCount uncachedTokens;
    bool failed = false;
};

/// Writes the log lines of requests and connections, with separate rate limits for failures and successes. Suppressed
/// lines are counted.
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
    /// Counts the end of a connection, and writes a line unless it was an idle connection that was closed.
    void write(const ConnectionEnd& end);

private:
    bool tryTakeLine(bool failed);

    Metrics& metrics;
    Init init;
    std::mutex mutex;
    TimePoint windowStart {};
    int failures = 0;
    int successes = 0;
    int suppressed = 0;
};

/// A request that is being handled.
struct RunningRequest {
    std::string request;
    std::string route;
    TimePoint since {};
    /// Ends the request with an answer, because the process is about to exit.
    std::function<void()> stop;
};

/// All requests that are being handled. Thread-safe.
class RunningRequests {
public:
    using Key = std::uint64_t;

    Key add(RunningRequest request);
    /// Sets the id and the route of a request, for the log.
    void describe(Key key, std::string_view request, std::string_view route);
    void remove(Key key);
    std::size_t size() const { return this->count; }
    /// Returns the oldest requests, at most `maxCount`.
    std::vector<RunningRequest> oldest(std::size_t maxCount);
    void stopAll();

private:
    Sharded<std::map<Key, RunningRequest>> shards;
    std::atomic<Key> lastKey = 0;
    std::atomic<std::size_t> count = 0;
};

/// Times of a graceful shutdown, relative to its start.
struct DrainSchedule {
    /// When the load balancer no longer sends new connections, so that idle ones are closed.
    Milliseconds closeIdleAfter { 0 };
    /// When requests that are still running are ended.
    Milliseconds endRequestsAfter { 0 };
};

/// Divides the grace period into the phases of a shutdown.
DrainSchedule makeDrainSchedule(Milliseconds gracePeriod, Milliseconds loadBalancerDelay);

/// Buffers one answer until it is complete, and counts its bytes in the total of all buffered answers.
class BufferedAnswer {
public:
    explicit BufferedAnswer(std::atomic<std::size_t>& total)
        : total(total)
    {
    }
    BufferedAnswer(const BufferedAnswer&) = delete;
    BufferedAnswer& operator=(const BufferedAnswer&) = delete;
    ~BufferedAnswer() { this->total -= this->bytes.size(); }

    /// Returns the size of all buffered answers, this part included.
    std::size_t append(std::string_view part)
    {
        this->bytes += part;
        return this->total += part.size();
    }
    std::size_t size() const { return this->bytes.size(); }
    /// Moves the answer out of the buffer.
    std::string take()
    {
        this->total -= this->bytes.size();
        return std::exchange(this->bytes, {});
    }

private:
    std::atomic<std::size_t>& total;
    std::string bytes;
};

/// Serializes the operations on one program's reservation.
struct ReservationQueue {
    bool busy = false;
    std::deque<std::function<void()>> waiting;
};

/// Token budgets of the programs of one shard.
struct TokenShard {
    std::unique_ptr<TokenLedger> ledger;
    std::map<ProgramId, ReservationQueue> queues;
};

/// Result of a search for a turn.
enum class TurnSearchResult : std::uint8_t {
    Found,
    /// Neither an instance nor a partition of the store has the turn.
    Unknown,
    /// The turn was not found, but some places could not be searched.
    Inconclusive,
    Count
};

/// Where a turn has been persisted.
enum class PersistResult : std::uint8_t {
    /// Neither the store nor two other failure domains have it; the answer to the caller must not be completed.
    Dropped,
    /// Instances of two other failure domains have it, and write it to the store later.
    Copied,
    Stored,
    Count
};

/// Why a search that has not found a turn cannot conclude that the turn is unknown. The two flags are reasons while
/// they are false, the lists while they are not empty.
struct InconclusiveReasons {
    /// Whether the list of all instances has been read from the store. While it has not, instances that are not known
    /// may have the turn.
    bool membersKnown = false;
    /// Instances that are unreachable or have not answered.
    std::vector<FleetMember> silent {};
    /// Instances of the failure domain that could not read their partitions.
    std::vector<FleetMember> withUnreadPartitions {};
    /// Partitions that this instance could not read.
    std::set<StorePartition> unreadPartitions {};
    /// Instances of the failure domain whose calls to the store failed within the retention of turns.
    std::vector<FleetMember> withStoreFailure {};
    /// Whether an instance of any failure domain has had access to the store for the whole retention of turns. If none
    /// has, instances that held the turn while the store was unavailable may have failed since.
    bool storeWasAvailable = false;

    bool isEmpty() const
    {
        return this->membersKnown && this->silent.empty() && this->withUnreadPartitions.empty()
            && this->unreadPartitions.empty() && this->withStoreFailure.empty() && this->storeWasAvailable;
    }
};

/// Sends a message to several instances. Calls `onAnswer` once for each of them within `timeout`, on any thread: with
/// its reply, or with nothing when it does not answer or answers with another type of message.
template <typename Reply, typename OnAnswer>
void callMembers(Fleet& fleet, const std::vector<FleetMember>& members, const Message& message, Milliseconds timeout,
    const OnAnswer& onAnswer)
{
    for (const auto& member : members)
        fleet.call(member.address, message, timeout, [member, onAnswer](Result<Message> answer, bool) {
            auto* reply = answer ? std::get_if<Reply>(&answer.value()) : nullptr;
            onAnswer(member, reply ? std::optional<Reply>(std::move(*reply)) : std::nullopt);
        });
}

/// Like `callMembers`, but delivers the answers to a mailbox.
template <typename Reply>
Mailbox<std::optional<Reply>> callEach(const asio::any_io_executor& executor, Fleet& fleet,
    const std::vector<FleetMember>& members, const Message& message, Milliseconds timeout)
{
    Mailbox<std::optional<Reply>> answers(executor);
    callMembers<Reply>(fleet, members, message, timeout,
        [answers](const FleetMember&, std::optional<Reply> reply) { answers.push(std::move(reply)); });
    return answers;
}

/// One writer for each partition of a topic, created on first use. Thread-safe.
class PartitionWriters {
public:
    /// Returns the writer of `init.partition`; only the settings of the first call for a partition count.
    StoreWriter& get(Runtime& runtime, const MetadataStore& store, StoreWriter::Init init);
    /// Returns the number of records that are not stored yet.
    std::size_t waiting();

private:
    using Shard = std::map<StorePartition, std::unique_ptr<StoreWriter>>;

    Sharded<Shard> writers;
};

/// A reservation of an instance of another failure domain, of which this instance has stored a copy.
struct CopiedReservation {
    TimePoint at {};
    ProgramId program;
    std::string key;
};

/// Adds the deletions of revisions of a reservation.
void appendReservationDeletions(
    std::vector<StoreRecord>& records, TokenReservation reservation, const RevisionRange& revisions);

/// What this instance has read of the stored turns of a partition.
struct TurnCursor {
    /// Offset up to which the partition has been read; empty before it has been read for the first time.
    std::optional<Offset> next;
    /// Turns before `next` that were dropped from memory and that the store may still contain.
    std::set<std::string, std::less<>> dropped;
};

/// A partition whose expired turns this instance deletes from the store.
struct CleanedPartition {
    /// Since when this instance has been the one that deletes them.
    TimePoint since {};
    /// Offset up to which `retention` includes the records; empty before the first read.
    std::optional<Offset> next;
    StoredTurnRetention retention;
};

/// A partition of which the holder in another failure domain may not know all reservations of this instance.
struct PendingReservationCopy {
    std::string domain;
    StorePartition partition;

    auto operator<=>(const PendingReservationCopy&) const = default;
};

/// Progress of taking over the turns of a partition that the holders of other failure domains could not store yet.
struct TurnTakeover {
    struct Holder {
        /// Key of the last turn that was taken over.
        std::string lastKey;
        bool done = false;
    };
    /// By name of the holder.
    std::map<std::string, Holder> holders;
    /// Keys of the turns that were taken over.
    std::set<std::string> taken;
};

/// A partition of which this instance is the holder in its failure domain: it holds the token reservations and the
/// turns of the partition's programs for the instances there.
struct HeldPartition {
    TimePoint since {};
    /// Whether this instance knows all confirmed reservations: those that it has loaded from the store or from the
    /// holders of the other failure domains, and those that their owners have sent to it since.
    bool complete = false;
};

struct Ingress::Impl : std::enable_shared_from_this<Ingress::Impl> {
    Impl(Runtime& runtime, IngressInit init, IngressFormats formats,
        const std::function<MetadataStore(StoreTransport)>& makeStore);

    // ingress.cpp
    void start();
    void drain(std::function<void()> done);
    void finishDrain(const std::function<void()>& done);
    /// Whether no request is running, all answers have been written, and no turn or reservation has yet to be stored.
    bool isIdle();
    /// Calls `next` once this instance is idle, or at the deadline.
    void awaitIdle(TimePoint deadline, std::function<void()> next);
    /// Ends the requests that are still running, each with an answer.
    void endRequests(const std::function<void()>& done);
    void finishShutdown(const std::function<void()>& done);
    /// Describes the oldest running requests, for a log line.
    std::string describeRunning();
    bool isReady();
    std::string dump();
    HttpLimits callerLimits();
    void serveAdmin(const HttpRequest& request, const HttpExchange& exchange);
    std::shared_ptr<const RoutingSnapshot> routingSnapshot() const;
    asio::any_io_executor newStrand();

    // follow.cpp
    void startFollowingStore();
    void followOperators();
    void followEndpoints();
    /// Applies the newest records of operators; what is not among them has been deleted. This and the next three run on
    /// `operatorStrand`.
    void applyOperatorSnapshot(const std::vector<StoreRecord>& records, Offset end, RecordSource source);
    void applyOperatorRecord(const StoreRecord& record, RecordSource source);
    void applyDesiredState(DesiredState state, RecordSource source);
    void applyEvacuation(const EvacuationChange& change);
    /// Applies the newest records of endpoints; an endpoint that is not among them is gone. This and the next one run
    /// on `endpointStrand`.
    void applyEndpointSnapshot(const std::vector<StoreRecord>& records, Offset end);
    void applyEndpoint(const StoreRecord& record);
    void removeEndpoint(const std::string& name);
    /// Applies the limits of the desired state and the number of instances to the endpoint directories and allowances.
    /// Runs on `operatorStrand`: two calls at once could leave the limits of the older desired state.
    void updateLimits();

    // sharedstate.cpp
    /// Returns what this instance has applied of the topics that all instances follow.
    TopicEnds topicEnds() const;
    /// Returns the newest records of the topics in which this instance is ahead of `known`.
    StateReply currentState(const TopicEnds& known);
    /// Requests the desired state and the endpoints from other instances in turn, as this one has none.
    void requestMissingState();
    /// Compares what another instance has applied with what this one has, and requests newer records once this one has
    /// been behind for some time.
    void compareTopicEnds(const FleetMember& member, const TopicEnds& ends);
    /// Requests newer records from another instance, unless that was done a short time ago.
    void requestState(const FleetMember& member);
    void applyState(const std::string& member, StateReply reply);

    // peers.cpp
    FleetHooks fleetHooks();
    void startPeers();
    void announceMember();
    /// Removes this instance from the store's list of members. Calls `done` once, when the store has answered or after
    /// a short timeout.
    void withdrawMember(std::function<void()> done);
    /// Removes instances that have been silent for a long time from the store's list of members.
    void pruneMembers();
    void applyMember(const StoreRecord& record);
    /// Writes the member record of this instance again when `record`, the newest one in the store, is not its own: an
    /// append of an earlier process, or a deletion, may take effect late.
    void restoreMember(const StoreRecord& record);
    /// Updates what depends on the state of the other instances; called in each reporting period.
    void onStatusPeriod();
    void updateReachability();
    void handlePeerMessage(Message message, const RpcReply& reply);
    /// Returns the fraction of a cold endpoint's request rate that this instance may use.
    double coldShare(std::string_view endpoint, double coldRate);

    // storeaccess.cpp
    /// Calls the store, through another instance when the store does not answer this one.
    void callStore(HttpRequest request, Milliseconds timeout, std::function<void(HttpResult, HttpResponse)> hook);
    void callStoreThroughPeer(
        HttpRequest request, Milliseconds timeout, std::function<void(HttpResult, HttpResponse)> hook);
    /// Calls the store directly and through another instance at the same time; the first answer counts.
    void callStoreBothWays(
        HttpRequest request, Milliseconds timeout, std::function<void(HttpResult, HttpResponse)> hook);
    /// Whether the store answers this instance or another one that is reachable.
    bool isStoreAvailable();
    void callStoreDirectly(
        HttpRequest request, Milliseconds timeout, std::function<void(HttpResult, HttpResponse)> hook);

    // holders.cpp
    StorePartition partitionOf(ProgramId program) const;
    /// Returns the instances of a failure domain that are reachable and not draining, this one included.
    std::vector<FleetMember> holderCandidates(std::string_view domain);
    /// Returns the instances of a failure domain that can be the holder of a partition; the first one is the holder.
    std::vector<FleetMember> holderOrder(StorePartition partition, std::string_view domain);
    /// Returns the holder of a program in this failure domain; empty when it is this instance itself.
    std::optional<FleetMember> holderOf(ProgramId program);
    /// Returns the holders of a partition in the other failure domains, as far as these are reachable.
    std::vector<FleetMember> holdersInOtherDomains(StorePartition partition);
    /// Returns which of the other failure domains have one of these holders.
    HolderScope scopeOf(const std::vector<FleetMember>& holders) const;
    /// Whether this instance is the holder of a partition and knows all its reservations in the failure domain.
    bool isComplete(StorePartition partition);
    /// Determines which partitions this instance holds, after the set of reachable instances may have changed.
    void updateHeldPartitions();
    /// Loads the reservations of a partition that this instance has begun to hold; retries until it knows all of them.
    asio::awaitable<void> loadPartition(asio::any_io_executor executor, StorePartition partition, TimePoint since);
    /// Sends the reservations of a partition to its new holder.
    void handOverReservations(StorePartition partition, const FleetMember& holder);
    void applyHandover(const HandoverNotice& notice);
    std::vector<TokenReservation> reservationsOf(StorePartition partition);
    void applyReservations(const std::vector<TokenReservation>& reservations);
    /// Records that this instance knows all reservations of a partition that it has held since `since`.
    void markComplete(StorePartition partition, TimePoint since);
    /// Whether this process has run for so short a time that others may not have stored yet what an earlier process of
    /// this instance confirmed without the store.
    bool isNewProcess() const;
    /// Takes the reservations of a partition over from the holders of the other failure domains. Returns whether a
    /// holder of each domain that has instances has answered.
    asio::awaitable<bool> askHolders(asio::any_io_executor executor, StorePartition partition);
    /// Loads the reservations of a partition from the holders of all other failure domains, for an instance that starts
    /// while the store is unavailable. Returns whether each of them knows the whole partition.
    asio::awaitable<bool> loadFromHolders(asio::any_io_executor executor, StorePartition partition);
    /// Takes the reservations of a partition over from these holders.
    asio::awaitable<HolderAnswers> takePartition(
        asio::any_io_executor executor, StorePartition partition, std::vector<FleetMember> holders);
    /// Takes over the turns that the holders of the other failure domains could not store yet. Returns whether each of
    /// them has sent all of its turns; call it again to continue where it stopped.
    asio::awaitable<bool> takeTurnsFromHolders(
        asio::any_io_executor executor, StorePartition partition, TurnTakeover& takeover);
    /// Takes over the turns of one holder, page by page. Returns whether it has sent all of them.
    asio::awaitable<bool> takeTurns(
        asio::any_io_executor executor, StorePartition partition, FleetMember holder, TurnTakeover& takeover);
    TurnPageReply turnPage(const TurnPageRequest& request);
    PartitionReply describePartition(const PartitionRequest& request);
    /// Whether this instance is the holder of a partition in its failure domain.
    bool isHolder(StorePartition partition);
    /// Applies reservations that another instance has confirmed. Returns whether this instance is the holder of their
    /// partitions; otherwise the sender has to send them to another one.
    bool applyReservationsNotice(const std::vector<TokenReservation>& reservations);

    // beginturn.cpp
    HoldId nextHold();
    /// Begins a turn at the holder of its program in this failure domain. When the holder does not answer, begins it at
    /// this instance and clears `holder`. That is safe, as the order of the log decides which reservations are valid.
    asio::awaitable<Result<BeginTurnReply>> beginTurnAt(
        asio::any_io_executor executor, std::optional<FleetMember>& holder, BeginTurnRequest request);
    asio::awaitable<Result<BeginTurnReply>> beginTurn(asio::any_io_executor executor, BeginTurnRequest request);
    void endTurnAt(const std::optional<FleetMember>& holder, EndTurnNotice notice);
    void endTurn(EndTurnNotice notice);
    /// Reports the end of a turn to an instance that may hold tokens for it. Retries a limited number of times until it
    /// answers.
    void reportEndTurn(const FleetMember& holder, EndTurnNotice notice);
    void sendEndTurn(const FleetMember& holder, const std::shared_ptr<const EndTurnNotice>& notice, int report);

    // turns.cpp
    void startTurns();
    /// Returns the settings of a writer for a partition of a topic.
    StoreWriter::Init writerInit(StoreTopic topic, StorePartition partition);
    StoreWriter& turnWriter(StorePartition partition);
    /// Returns a turn that is in the memory of this instance, and keeps it there at least until `keepUntil`.
    SharedTurn findTurn(std::string_view id, TimePoint keepUntil = {});
    /// Adds a turn to the memory of this instance. `stored` is the partition of the store that contains the turn, if it
    /// is known to be there.
    void addTurn(ConversationTurn turn, std::optional<StorePartition> stored, Milliseconds keepFor);
    /// Adds a turn that another instance has sent, with what that one knows of its storage. A turn that may be missing
    /// in the store is kept for the longest retention, as this instance may have to store it.
    void addHeldTurn(HeldTurn held, std::optional<StorePartition> stored, Milliseconds keepFor);
    /// Returns a turn of this instance's memory as it is sent to another instance.
    HeldTurn heldTurn(const SharedTurn& turn);
    /// Persists a turn: in the store, or while the store is unavailable at instances of two other failure domains.
    asio::awaitable<PersistResult> persistTurn(asio::any_io_executor executor, ProgramId program, ConversationTurn turn,
        Milliseconds keepFor, TimePoint deadline);
    /// Returns why the store would not accept a turn to which `furtherBytes` are added; the error names the bound.
    Status checkTurnSize(const ConversationTurn& turn, std::size_t furtherBytes) const;
    /// Copies a turn to instances of two other failure domains; returns whether both have confirmed it.
    asio::awaitable<bool> copyTurn(
        asio::any_io_executor executor, ProgramId program, const ConversationTurn& turn, Milliseconds keepFor);
    /// Has the store keep the turns before `turn` that are in partitions of other programs: their partitions do not
    /// show that the conversation goes on.
    void keepTurnsOfOtherPrograms(const ConversationTurn& turn);
    void expireTurns();

    // unstoredturns.cpp
    void startStoringTurns();
    /// Returns the turns in memory that the store is not known to have, by partition.
    std::map<StorePartition, std::vector<UnstoredTurn>> unstoredTurns();
    /// Sets the metrics of the unstored turns and stores those that nobody else stores, once the store has settled.
    void checkUnstoredTurns();
    /// Stores the turns of a partition that none of its holders knows to be stored.
    asio::awaitable<void> storeUnstoredTurns(
        asio::any_io_executor executor, StorePartition partition, std::vector<UnstoredTurn> unstored);
    /// Queues the turns of a partition for the store, except those that are queued already.
    std::size_t writeUnstoredTurns(StorePartition partition, const std::vector<UnstoredTurn>& unstored);
    /// Sends all turns that the store is not known to have to other instances and queues them for the store, as this
    /// instance is about to stop.
    void handOverTurns();
    StoredTurnsReply storedTurns(const StoredTurnsRequest& request);

    /// Returns the longest retention of turns among the routes of the desired state.
    Milliseconds longestRetention() const;

    // retention.cpp
    void startTurnRetention();
    /// Returns the partitions whose expired turns this instance deletes: one instance of the whole fleet reads each
    /// partition for that.
    std::vector<StorePartition> partitionsToClean();
    /// Deletes expired turns from all partitions that this instance cleans.
    asio::awaitable<void> deleteExpiredTurns(asio::any_io_executor executor);
    /// Reads a partition up to its end, then deletes the turns that no conversation needs any longer.
    asio::awaitable<void> cleanPartition(
        asio::any_io_executor executor, StorePartition partition, CleanedPartition& cleaned);

    // history.cpp
    /// Returns the history up to a turn, which is searched at all instances and in the store, or the error with which
    /// the request is refused.
    asio::awaitable<Result<std::vector<SharedTurn>>> historyOf(
        asio::any_io_executor executor, ProgramId program, std::string turn, std::string workspace, TimePoint deadline);
    /// Returns how available the store has been to this instance during the longest retention of turns. Turns that were
    /// answered while the store was unavailable were held only by instances that may have failed since, so a turn that
    /// is not found then cannot be reported as unknown.
    StoreAvailability storeAvailability();
    /// Searches for a turn at all instances and in the store. `reasons` returns why a turn that is not found cannot be
    /// reported as unknown.
    asio::awaitable<TurnSearchResult> findMissingTurn(asio::any_io_executor executor, StorePartition partition,
        std::string turn, TimePoint deadline, InconclusiveReasons& reasons);
    /// Returns the history up to a turn from the memory of this instance; empty unless it is complete.
    std::vector<SharedTurn> localHistory(std::string_view turn);
    /// Requests a turn and its history from several instances, until one has it. Adds instances that do not answer or
    /// could not search all their partitions to `reasons`.
    asio::awaitable<void> requestTurn(asio::any_io_executor executor, std::vector<FleetMember> members,
        std::string turn, HistoryScope scope, TimePoint deadline, InconclusiveReasons& reasons);
    /// Returns the holders of a partition in all failure domains, without this instance.
    std::vector<FleetMember> holdersInAllDomains(StorePartition partition);
    /// Returns the partitions of which this instance is the holder in its failure domain.
    std::vector<StorePartition> ownPartitions();
    /// Adds turns that were read from a partition of the store, or, without `isStored`, that another instance has not
    /// stored there yet.
    void applyTurns(StorePartition partition, const std::vector<StoreRecord>& records, bool isStored = true);
    /// Reads the turns of a partition that this instance has not read yet, up to the current end of the partition; all
    /// of them if `wanted` was read before and dropped from memory.
    asio::awaitable<bool> readTurns(asio::any_io_executor executor, StorePartition partition, std::string wanted);
    asio::awaitable<bool> readNewTurns(asio::any_io_executor executor, StorePartition partition);
    asio::awaitable<HistoryReply> answerHistory(asio::any_io_executor executor, HistoryRequest request);

    // budgets.cpp
    void startBudgets();
    /// Holds the maximum tokens of a turn, or returns the error with which the turn is refused.
    asio::awaitable<Result<ProgramStage>> admitTokens(
        asio::any_io_executor executor, ProgramId program, TokenRequest request, TimePoint deadline);
    /// Enlarges the reservation of this instance in a program's budget, so that it covers another turn.
    asio::awaitable<Status> reserveTokens(
        asio::any_io_executor executor, ProgramId program, TokenCount maxTokens, TimePoint deadline);
    /// Has a reservation confirmed by the store or, when that does not answer, by the holders of the other failure
    /// domains. Returns what is missing when neither confirms it, otherwise an empty string.
    asio::awaitable<std::string> confirmReservation(
        asio::any_io_executor executor, TokenReservation reservation, TimePoint deadline);
    /// Sends a copy of a reservation that the store does not confirm to the holders of all other failure domains.
    /// Returns what is missing when one of them does not answer or may not know all reservations, otherwise an empty
    /// string.
    asio::awaitable<std::string> confirmByHolders(
        asio::any_io_executor executor, TokenReservation reservation, TimePoint deadline);
    /// Sends a reservation that the store has confirmed to the other holders of its partition. While the store is
    /// unavailable they decide what is left of a budget, also after this instance has failed. `onDone` is called once
    /// for each of the returned number of holders, on any thread. A holder that does not confirm gets the reservation
    /// later.
    std::size_t copyReservation(const TokenReservation& reservation, const std::function<void()>& onDone);
    /// Sends the reservations of a partition again to holders that have not confirmed them.
    void sendPendingReservationCopies();
    /// Applies reservations that another holder knows, for a partition that this instance takes over. While the store
    /// may lack them, this instance stores copies of those that are new to it: whoever has them in a queue of writes
    /// may end before the store is available again.
    void takeOverReservations(const std::vector<TokenReservation>& reservations);
    /// Queues a copy of a reservation of another owner for the store.
    void storeReservationCopy(const TokenReservation& reservation);
    /// Handles a copy of a reservation that another failure domain sends while the store does not answer there.
    ReservationCopyReply handleReservationCopy(const ReservationCopy& copy);
    StoreWriter& tokenWriter(StorePartition partition);
    /// Releases all tokens that no turn needs; for a shutdown.
    void releaseAllTokens();
    /// Loads the reservations of a partition unless they have been loaded, then reads on up to and including the record
    /// at `last`.
    asio::awaitable<bool> readReservationsThrough(
        asio::any_io_executor executor, StorePartition partition, Offset last);
    /// Reads on in a partition whose reservations have been loaded, up to the record before `end`.
    asio::awaitable<bool> readReservationsBefore(asio::any_io_executor executor, StorePartition partition, Offset end);
    asio::awaitable<bool> loadReservations(asio::any_io_executor executor, StorePartition partition);
    /// Returns the offset up to which the reservations of a partition have been read; empty before they have been
    /// loaded.
    std::optional<Offset> reservationCursor(StorePartition partition);
    void advanceReservationCursor(StorePartition partition, Offset next);
    /// Asks the other owners of reservations in a program's budget to release the tokens that no turn needs. Returns
    /// whether all of them have.
    asio::awaitable<bool> reclaimTokens(asio::any_io_executor executor, ProgramId program, TimePoint deadline);
    /// Releases the tokens of a program that no turn needs. Returns false when more may be released later.
    asio::awaitable<bool> releaseTokens(asio::any_io_executor executor, ProgramId program);
    /// Whether tokens of this instance are held for turns that have not ended.
    bool hasHolds();
    void settleTokens(ProgramId program, HoldId hold, TokenCount used);
    void applyReservations(const std::vector<StoreRecord>& records);
    /// Describes a program's budget and its reservations, as far as this instance knows them, for a log line.
    std::string describeBudget(ProgramId program);
    /// Returns the record of a reservation of this instance, followed by the deletions of those that it supersedes.
    /// Only for a single append, which is atomic.
    std::vector<StoreRecord> reservationRecords(const TokenReservation& reservation);

    // budgetexpiry.cpp
    void startBudgetExpiry();
    /// Appends new records of own reservations that turns use without enlarging them, so that the log shows the use.
    void renewReservations();
    /// Returns the time after its last known use for which a program's budget is kept.
    Duration budgetLifetime() const;
    /// Updates since when all known instances have been reachable and had access to the store.
    void updateFleetConnected();
    /// Drops the budgets of programs that the log shows to be unused since `before`, and deletes their reservations
    /// from the store.
    asio::awaitable<void> expireBudgets(asio::any_io_executor executor, TimePoint before);
    /// Reads on in a partition of the reservations up to its current end; returns whether that has succeeded.
    asio::awaitable<bool> readReservationsToEnd(asio::any_io_executor executor, StorePartition partition);
    /// Forgets the copies from before `before` whose program is not known any more. Returns their deletions.
    std::map<StorePartition, std::vector<StoreRecord>> takeExpiredCopies(TimePoint before);

    // leases.cpp
    /// Requests a lease of quota in an allowance from the coordinator, and adds it. A lease without quota tells how
    /// much of the allowance is used. Returns nothing when no coordinator answers.
    asio::awaitable<std::optional<AllowanceLease>> requestLease(
        asio::any_io_executor executor, WorkspaceId workspace, ProgramStage stage, TimePoint deadline);
    /// Leases quota to an instance of the failure domain. Borrows quota from another domain when this one has none.
    asio::awaitable<AllowanceLease> grantLease(asio::any_io_executor executor, LeaseRequest request);

    // request.cpp
    /// Counts and logs an answer of a peer that exceeds a size limit.
    void recordTooLarge(std::string_view peer, std::string_view name, std::string_view part, ByteCount limit);
    void serve(HttpRequest request, const HttpExchange& exchange);

    Runtime& runtime;
    IngressInit init;
    IngressFormats formats;
    /// Distinguishes this process from all others that ever ran under the instance's name.
    Incarnation incarnation;
    /// Owner name of this process in token reservations.
    std::string owner;
    TimePoint startedAt;
    TimePoint drainStartedAt {};
    std::atomic<Milliseconds> gracePeriod;
    Metrics metrics {};
    RequestLog requestLog;
    StoreHealth storeHealth {};
    HttpClient storeClient;
    HttpClient endpointClient;
    MetadataStore store;
    std::unique_ptr<HttpServer> callerServer {};
    std::unique_ptr<HttpServer> adminServer {};
    Fleet fleet;

    mutable std::mutex snapshotMutex {};
    std::shared_ptr<const RoutingSnapshot> currentSnapshot;
    std::atomic<bool> endpointsKnown = false;
    std::atomic<bool> membersKnown = false;
    std::atomic<bool> draining = false;
    /// Whether the process is about to exit; requests that are completely read only now are refused.
    std::atomic<bool> exiting = false;
    /// Whether this instance is cut off from the store and from all other failure domains.
    std::atomic<bool> isolated = false;
    RunningRequests running {};
    /// Number of token holds that this process has requested.
    std::atomic<std::uint64_t> holds = 0;
    /// Turns whose end a holder has not confirmed yet.
    std::atomic<std::size_t> unreportedTurns = 0;
    /// Total size of all buffered answers.
    std::atomic<std::size_t> bufferedAnswerBytes = 0;
    /// Limits the log lines about answers that are too large.
    LogLimiter tooLargeLogLimiter {};

    AllowanceTable allowances;
    /// By service name.
    Sharded<std::unique_ptr<EndpointDirectory>, 8> directories {};
    std::mutex loadsMutex {};
    LoadTable loads {};
    /// By turn id.
    Sharded<ConversationTable> turns {};
    /// By partition.
    PartitionWriters turnWriters {};
    PartitionWriters tokenWriters {};
    /// By partition.
    Sharded<std::map<StorePartition, TurnCursor>> turnCursors {};
    SingleFlight<StorePartition> turnReads {};
    /// Whether turns that nobody else stores are being written to the store.
    std::atomic<bool> isStoringTurns = false;
    /// Whether expired turns are being deleted; the coroutine that does so owns `cleanedPartitions` meanwhile.
    std::atomic<bool> isCleaning = false;
    std::map<StorePartition, CleanedPartition> cleanedPartitions {};
    /// By program.
    Sharded<TokenShard> tokens {};
    /// By partition.
    Sharded<std::map<StorePartition, Offset>> reservationCursors {};
    SingleFlight<StorePartition> reservationLoads {};
    std::mutex heldPartitionsMutex {};
    std::map<StorePartition, HeldPartition> heldPartitions {};
    // Names of the instances of the failure domain that could be holders at the last update.
    std::vector<std::string> holderCandidateNames {};
    std::mutex pendingCopiesMutex {};
    std::set<PendingReservationCopy> pendingCopies {};
    std::mutex copiesMutex {};
    std::vector<CopiedReservation> copiedReservations {};
    // Whether budgets are being expired.
    std::atomic<bool> isExpiringBudgets = false;
    // Since when all known instances have been connected; empty while they are not. Used by one timer.
    std::optional<TimePoint> fleetConnectedSince {};
    FollowedTopic operatorTopic;
    FollowedTopic endpointTopic;
    // Serialize what the store and other instances deliver of a topic.
    asio::any_io_executor operatorStrand;
    asio::any_io_executor endpointStrand;
    std::atomic<TimePoint> stateRequestedAt { TimePoint {} };
    std::atomic<std::size_t> stateRequests = 0;
    std::mutex pendingRemovalsMutex {};
    // Endpoints whose record is gone and that are removed after a delay, unless the record returns.
    std::set<std::string> pendingRemovals {};
};

} // namespace peridotramp
