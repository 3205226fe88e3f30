#pragma once

#include "peridotramp/allowances.h"
#include "peridotramp/configuration.h"
#include "peridotramp/conversations.h"
#include "peridotramp/coordination.h"
#include "peridotramp/dispatch.h"
#include "peridotramp/endpointpool.h"
#include "peridotramp/grants.h"
#include "peridotramp/membership.h"
#include "peridotramp/ownership.h"
#include "peridotramp/programs.h"
#include "peridotramp/runtime.h"
#include "peridotramp/scheduling.h"
#include "peridotramp/tokens.h"

namespace peridotramp {

/// Maximum number of partitions of a failure domain. Its partitions are numbered from its index times this value.
constexpr std::uint64_t maxPartitionsPerDomain = 256;

/// Returns the failure domain to which a partition belongs.
constexpr DomainId domainOf(PartitionId partition) { return { partition.value / maxPartitionsPerDomain }; }

/// Whether a call goes to a model engine or to a plain service.
enum class CallTarget : std::uint8_t { Model, Service, Count };

/// Identity of the caller of a request. The key itself never leaves the gateway.
struct Caller {
    /// Invalid on routes that are open to all.
    KeyId key;
    WorkspaceId workspace;
};

/// Begins a program in a partition.
struct BeginProgramMessage {
    Caller caller;
    PartitionId partition;
    ProgramId parent;
    /// Name of the budget; empty for that of the workspace.
    std::string budget;
};

struct ProgramBegunMessage {
    ProgramId program;
    Budget budget;
};

struct EndProgramMessage {
    Caller caller;
    ProgramId program;
};

struct ProgramQueryMessage {
    Caller caller;
    ProgramId program;
};

/// State of a program at its owner.
struct ProgramStateMessage {
    ProgramId program;
    TurnNumber turn;
    TurnNumber confirmedTurn;
    Digest digest;
    Budget budget;
    Spending spent;
    bool ended = false;
};

/// Runs one call of a program.
struct CallMessage {
    Caller caller;
    ProgramId program;
    CallId call;
    TurnNumber turn;
    Digest previous;
    std::vector<ResentTurn> unconfirmed;
    CallTarget target = CallTarget::Model;
    /// Name of the model or of the declared call.
    std::string name;
    std::string input;
    TokenCount maxTokens;
    /// Time until the caller's deadline. Clocks of two processes cannot be compared, so times are relative.
    Milliseconds timeLeft { 0 };
    bool repeated = false;
};

/// A part of the output of a running call.
struct CallChunkMessage {
    std::string text;
};

struct CallEndedMessage {
    Outcome outcome = Outcome::Completed;
    TurnNumber turn;
    Digest digest;
    std::string output;
    TokenCount promptTokens;
    TokenCount cachedTokens;
    TokenCount completionTokens;
    TurnNumber confirmedTurn;
};

/// An error. If the node does not own the partition, also the owner to send the request to.
struct ErrorMessage {
    Error error;
    NodeId owner;
    Address ownerAddress;
};

/// Requests a permit from the owner of a bucket; answered when the permit is granted or refused.
struct RatePermitRequest {
    BucketKey bucket;
    GrantAmount amount;
    GrantSource source;
    Milliseconds timeLeft { 0 };
};

struct RatePermitReply {
    Permit permit;
};

/// Reports to the owner of a bucket how much of a permit was used.
struct RateCorrection {
    Permit permit;
    GrantAmount used;
};

/// Requests an endpoint from the owner of a dispatch group; answered when the call may be dispatched.
struct SlotRequest {
    /// Model or call name that the group serves.
    std::string name;
    CallTarget target = CallTarget::Model;
    TeamId team;
    DomainId domain;
    CallId call;
    ProgramId program;
    WorkspaceId workspace;
    /// Node that dispatches the call and gets the permit, and its incarnation.
    NodeId holder;
    Incarnation incarnation;
    /// Number of earlier attempts of the call at an endpoint.
    std::int32_t attempt = 0;
    /// The call is idempotent, or its earlier attempt provably did not run.
    bool retryable = false;
    /// Time to the deadline of the call.
    Milliseconds timeLeft { 0 };
    /// Service time that the program has received along its critical path.
    Duration attained {};
    /// Tokens of the prompt that a prefix cache can hold.
    TokenCount history;
    /// Expected use, which is charged at dispatch and replaced by the actual use when the slot is released.
    TokenUse expected;
};

struct SlotReply {
    EndpointPermit permit;
    Address address;
};

/// Releases a slot and reports the result of the call.
struct SlotRelease {
    SlotRequest request;
    EndpointPermit permit;
    CallReport report;
    TokenUse actual;
    /// Tokens of the program that are in the engine's prefix cache after the call.
    TokenCount cachedTokens;
};

/// Programs whose prefixes the engines of a dispatch group must release.
struct ProgramsEndedNotice {
    std::vector<ProgramId> programs;
    DomainId domain;
    TeamId team;
    std::string name;
};

/// Asks the owner of a partition which of these programs are alive, to find orphaned prefixes.
struct ProgramsAliveQuery {
    std::vector<ProgramId> programs;
};

struct ProgramsAliveReply {
    std::vector<ProgramId> alive;
    std::vector<ProgramId> gone;
};

struct ConfigurationQuery {
    Offset applied;
};

struct ConfigurationReply {
    ConfigurationTransfer transfer;
};

struct RoutingTableQuery { };

struct PartitionOwner {
    PartitionId partition;
    NodeId node;
    Epoch epoch;
};

/// Members and partition owners known to a node.
struct RoutingTableReply {
    std::vector<MemberUpdate> members;
    std::vector<PartitionOwner> owners;
};

/// Where an instance searches for a requested turn.
enum class HistoryScope : std::uint8_t {
    /// In its memory.
    Memory,
    /// In its memory and in the partitions of the metadata store that it holds.
    Store,
    Count
};

/// Requests the turns of a conversation that an instance holds, from `turn` backwards.
struct HistoryRequest {
    std::string turn;
    HistoryScope scope = HistoryScope::Memory;
};

/// Availability of the metadata store to an instance during the longest retention of turns.
enum class StoreAvailability : std::uint8_t {
    /// A call failed, so there may be turns that only instances hold.
    Failed,
    /// No call failed since the process started; whether one failed before that is unknown.
    AvailableSinceStart,
    /// No call failed during the whole retention.
    Available,
    Count
};

struct HistoryReply {
    /// Turns up to `turn`, oldest first; empty when the instance does not hold `turn`.
    std::vector<HeldTurn> turns;
    /// Whether the instance has read its partitions of the metadata store up to the end that they had after the request
    /// was received.
    bool hasReadPartitions = false;
    StoreAvailability storeAvailability = StoreAvailability::Failed;
};

/// Asks an instance to keep a copy of a turn that the metadata store has not acknowledged.
struct TurnCopy {
    ProgramId program;
    ConversationTurn turn;
    Milliseconds keepFor { 0 };
};

/// Asks the holder of a program to begin a turn: to hold the maximum number of tokens that the turn may generate, and
/// to find the history that it continues. Answered by `BeginTurnReply`, or by the error with which the turn is refused.
struct BeginTurnRequest {
    ProgramId program;
    std::string workspace;
    /// Identifies the tokens held for this turn. `EndTurnNotice` releases them, even if the request timed out.
    HoldId hold;
    /// Empty when the program has no budget.
    std::optional<TokenCount> budget;
    TokenCount maxTokens;
    /// Time for which the sender waits for the answer.
    Milliseconds answerTimeout { 0 };
    /// Time to the deadline of the turn.
    Milliseconds timeLeft { 0 };
    /// Turn whose history is requested; empty when the sender needs none.
    std::string previousTurn;
};

struct BeginTurnReply {
    ProgramStage stage = ProgramStage::Continues;
    /// Oldest first.
    std::vector<HeldTurn> history;
};

/// Reports the end of a turn to the instance that was asked to hold its tokens. Repeated until it is acknowledged;
/// duplicates have no effect.
struct EndTurnNotice {
    ProgramId program;
    /// Invalid when no tokens were requested.
    HoldId hold;
    /// Tokens that the caller has received.
    TokenCount used;
    /// The turn, if its answer is complete and it is to be persisted.
    std::optional<HeldTurn> turn;
    Milliseconds keepFor { 0 };
};

/// Asks the holder of a partition which of some turns the metadata store is known to have.
struct StoredTurnsRequest {
    std::vector<std::string> turns;
};

struct StoredTurnsReply {
    std::vector<std::string> stored;
};

/// Asks an instance to release the tokens of a program that it has reserved and does not need.
struct ReleaseTokensRequest {
    ProgramId program;
};

struct ReleaseTokensReply {
    /// Whether all tokens that no turn needs have been released. False while a reservation of the answering instance is
    /// being confirmed: it then reserves more than its turns need and releases the rest later.
    bool allReleased = false;
};

/// Sends another holder of a program a reservation.
struct ReservationCopy {
    TokenReservation reservation;
    /// Whether the metadata store has the reservation. If not, the receiver stores it, too. If so, an instance that
    /// does not hold the program answers `NotReady`.
    bool stored = false;
};

struct ReservationCopyReply {
    /// Whether the answering instance holds the program and knows all reservations in its failure domain.
    bool complete = false;
    /// Reservations of the program that the answering instance knows.
    std::vector<TokenReservation> reservations;
};

/// Hands over a partition to the next holder of its programs. Contains all reservations of the partition in the failure
/// domain.
struct HandoverNotice {
    StorePartition partition;
    std::vector<TokenReservation> reservations;
};

/// Sends another holder of a partition reservations that it may not know. Answered by `DoneMessage`,
/// or by `NotReady` from an instance that does not hold their partitions.
struct ReservationsNotice {
    std::vector<TokenReservation> reservations;
};

/// One record of the metadata store.
struct StateRecord {
    std::string key;
    std::string value;
};

/// Requests the state of a partition from its holder in another failure domain.
struct PartitionRequest {
    StorePartition partition;
    /// Whether to include the turns that have not been stored. Use `TurnPageRequest` to get all of them.
    bool withTurns = false;
};

struct PartitionReply {
    /// Whether the holder knows all reservations of the partition.
    bool complete = false;
    std::vector<TokenReservation> reservations;
    /// Records of turns that have not been stored, as many as fit into a message.
    std::vector<StateRecord> turns;
};

/// Requests a page of the turns of a partition that an instance has not stored yet, in the order of their keys.
struct TurnPageRequest {
    StorePartition partition;
    /// Key of the last turn of the previous page; empty for the first page.
    std::string after;
};

struct TurnPageReply {
    std::vector<StateRecord> turns;
    /// Whether another page follows.
    bool more = false;
};

/// Requests a lease on a workspace's allowance from the coordinator of the failure domain.
struct LeaseRequest {
    NodeId instance;
    WorkspaceId workspace;
    ProgramStage stage = ProgramStage::Continues;
    /// Number of requests to lease: those that the instance expects soon.
    std::uint32_t leaseSize = 1;
};

struct LeaseReply {
    AllowanceLease lease;
};

/// Requests a part of another failure domain's quota of a workspace's allowance from its coordinator.
struct QuotaLoanRequest {
    WorkspaceId workspace;
    ProgramStage stage = ProgramStage::Continues;
};

struct QuotaLoanReply {
    /// Quota that passes from the answering domain to the requesting one.
    QuotaLoan loan;
};

/// Offsets after the last records that an instance has applied, by topic that all instances follow; invalid where it
/// has applied none.
struct TopicEnds {
    Offset operators;
    Offset endpoints;
};

/// The newest record of each key of a topic.
struct TopicState {
    /// All records before this offset are included.
    Offset end;
    std::vector<StateRecord> records;
};

/// Requests the newest records of operators and endpoints from another instance, for which the sender need not reach
/// the metadata store.
struct StateRequest {
    /// What the sender has applied.
    TopicEnds known;
};

struct StateReply {
    /// Whether the answering instance has the desired state and the endpoints.
    bool hasState = false;
    /// Empty where the answering instance has applied no more than the sender.
    std::optional<TopicState> operators;
    std::optional<TopicState> endpoints;
};

/// Requests all members known to another instance; used when the metadata store is unavailable.
struct MembersRequest { };

struct MembersReply {
    std::vector<FleetMember> members;
};

/// Asks an instance to relay a call to the metadata store, which the sender cannot reach.
struct StoreCallRequest {
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    Milliseconds timeout { 0 };
};

struct StoreCallReply {
    /// HTTP status; 0 when the store did not answer.
    std::uint32_t status = 0;
    std::string body;
};

/// Use of one workspace's allowance by an instance.
struct WorkspaceInstanceUse {
    WorkspaceId workspace;
    InstanceUse use;
};

/// Use of one workspace's allowance by a failure domain.
struct WorkspaceUse {
    WorkspaceId workspace;
    AllowanceUse use;
    /// Use by other domains whose coordinators have restarted.
    std::vector<UseBeforeRestart> usesBeforeRestart {};
};

/// Newest allowance lease that an instance has received from a coordinator.
struct ReceivedLease {
    NodeId coordinator;
    std::uint64_t number = 0;
};

/// Status report that an instance sends periodically to the coordinators of its failure domain.
struct InstanceStatus {
    FleetMember sender;
    Incarnation incarnation;
    /// Time since the process started, or at least a window if it started with the whole system.
    Milliseconds uptime { 0 };
    PeerState state;
    std::vector<ReceivedLease> leases;
    /// Use of the workspaces with recent changes; from time to time of all that are in use.
    std::vector<WorkspaceInstanceUse> allowances;
    std::vector<EndpointLoad> loads;
    TopicEnds topicEnds;
};

/// An instance and the time since the coordinator last heard from it.
struct MemberContact {
    NodeId id;
    Milliseconds timeSinceHeard { 0 };
    PeerState state;
};

/// A failure domain and the time since the coordinator last heard from it.
struct DomainContact {
    std::string domain;
    Milliseconds timeSinceHeard { 0 };
    /// Instances of the domain; omitted from most digests, which means that they are unchanged.
    std::optional<std::vector<MemberContact>> members;
};

/// Digest that a coordinator sends periodically to the instances of its failure domain.
struct FleetDigest {
    FleetMember sender;
    /// Whether the sender is the active coordinator of the domain.
    bool active = false;
    std::vector<MemberContact> members;
    std::vector<DomainContact> domains;
    /// Load of the whole fleet, by endpoint.
    std::vector<EndpointLoad> loads;
    /// What the sender has applied.
    TopicEnds topicEnds;
};

/// Summary that the active coordinator of a failure domain sends periodically to the coordinators of the others.
struct DomainSummary {
    FleetMember sender;
    /// The coordinator that takes over when the sender is unreachable.
    std::optional<FleetMember> standby;
    Incarnation incarnation;
    /// As in `InstanceStatus`.
    Milliseconds uptime { 0 };
    std::vector<MemberContact> members;
    /// Sorted by workspace; omitted workspaces have used nothing.
    std::vector<WorkspaceUse> allowances;
    std::vector<EndpointLoad> loads;
    /// What the sender has applied.
    TopicEnds topicEnds;
};

/// Content of a datagram between instances of the fleet.
using FleetDatagram = std::variant<InstanceStatus, FleetDigest, DomainSummary>;

/// Cancels a request.
struct CancelMessage { };

/// Acknowledges a message that has no result.
struct DoneMessage { };

using Message = std::variant<ErrorMessage, DoneMessage, CancelMessage, BeginProgramMessage, ProgramBegunMessage,
    EndProgramMessage, ProgramQueryMessage, ProgramStateMessage, CallMessage, CallChunkMessage, CallEndedMessage,
    RatePermitRequest, RatePermitReply, RateCorrection, SlotRequest, SlotReply, SlotRelease, ProgramsEndedNotice,
    ProgramsAliveQuery, ProgramsAliveReply, LoanRequest, LoanReply, LeaseVoteRequest, LeaseVoteReply,
    ConfigurationQuery, ConfigurationReply, RoutingTableQuery, RoutingTableReply, HistoryRequest, HistoryReply,
    TurnCopy, ReleaseTokensRequest, BeginTurnRequest, BeginTurnReply, EndTurnNotice, StoreCallRequest, StoreCallReply,
    LeaseRequest, LeaseReply, QuotaLoanRequest, QuotaLoanReply, MembersRequest, MembersReply, ReservationCopy,
    ReservationCopyReply, HandoverNotice, StateRequest, StateReply, ReservationsNotice, PartitionRequest,
    PartitionReply, ReleaseTokensReply, TurnPageRequest, TurnPageReply, StoredTurnsRequest, StoredTurnsReply>;

/// A request, or a message of its answer.
struct Frame {
    /// Chosen by the sender of the request and copied into each message of the answer.
    std::uint64_t correlationId = 0;
    /// Whether the answer is complete.
    bool last = true;
    Message message;
};

/// Encodes a frame without its length prefix.
std::string encodeFrame(const Frame& frame);
/// Decodes a frame. Errors: `MalformedFrame`.
Result<Frame> decodeFrame(std::string_view bytes);
/// Encodes the content of a datagram.
std::string encodeMembershipDatagram(const MembershipMessage& message);
/// Decodes the content of a datagram. Errors: `MalformedFrame`.
Result<MembershipMessage> decodeMembershipDatagram(std::string_view bytes);

/// Encodes the content of a datagram between instances of the fleet.
std::string encodeFleetDatagram(const FleetDatagram& datagram);
/// Decodes the content of such a datagram. Errors: `MalformedFrame`.
Result<FleetDatagram> decodeFleetDatagram(std::string_view bytes);
/// Encodes a turn for the metadata store.
std::string encodeTurn(const ConversationTurn& turn);
/// Returns the size in bytes of what `encodeTurn` returns, without encoding the turn.
std::size_t encodedTurnBytes(const ConversationTurn& turn);
/// Decodes a turn. Errors: `MalformedFrame`.
Result<ConversationTurn> decodeTurn(std::string_view bytes);
/// Encodes a reservation for the metadata store.
std::string encodeReservation(const TokenReservation& reservation);
/// Decodes a reservation. Errors: `MalformedFrame`.
Result<TokenReservation> decodeReservation(std::string_view bytes);
/// Encodes the member record of an instance for the metadata store.
std::string encodeMember(const FleetMember& member);
/// Decodes the member record of an instance. Errors: `MalformedFrame`.
Result<FleetMember> decodeMember(std::string_view bytes);

/// Returns whether traffic to an address is dropped; used by tests to simulate network partitions.
using CutHook = std::function<bool(const Address&)>;

/// Handle for answering one request. Copies refer to the same request. Thread-safe.
class RpcReply {
public:
    /// Sends a message of the answer. Returns false if the answer is complete, the request was cancelled or the message
    /// cannot be queued.
    bool send(Message message, bool last = true) const;
    /// Sets a hook that is called once if the requester cancels or its connection breaks before the last message.
    void onCancel(std::function<void()> hook) const;

    struct State;
    std::shared_ptr<State> state;
};

/// Server for RPC requests from other processes.
class RpcServer {
public:
    struct Init {
        Address listen { "127.0.0.1", 0 };
        std::size_t maxFrameBytes = std::size_t { 4 } * 1024 * 1024;
        /// Maximum number of unsent bytes per connection; a connection that exceeds it is closed.
        std::size_t maxPendingBytes = std::size_t { 64 } * 1024 * 1024;
        /// Maximum time between the bytes of one frame.
        Milliseconds frameTimeout { 10'000 };
    };
    using Handler = std::function<void(Message, RpcReply)>;

    /// Binds and listens. Throws `std::system_error` when the address cannot be bound.
    RpcServer(Runtime& runtime, Init init, Handler handler);
    RpcServer(const RpcServer&) = delete;
    RpcServer& operator=(const RpcServer&) = delete;
    ~RpcServer();

    Address address() const;
    /// Closes the listening socket; connections stay open.
    void stopAccepting();

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

/// Client for RPC requests to other processes. Uses one connection per address.
class RpcClient {
public:
    struct Init {
        Milliseconds connectTimeout { 1000 };
        std::size_t maxFrameBytes = std::size_t { 4 } * 1024 * 1024;
        CutHook isCut {};
        /// Maximum time between the bytes of one frame.
        Milliseconds frameTimeout { 10'000 };
    };
    /// Called for each message of the answer, or once with an error. `last` is true in the last call.
    ///
    /// Errors: `ConnectionFailed` with outcome `NotRun` when the request was not written, `Unknown` otherwise;
    /// `DeadlineExceeded` with outcome `Unknown`; and errors that the peer returned.
    using AnswerHook = std::function<void(Result<Message> message, bool last)>;
    /// A running request.
    class Call {
    public:
        /// Cancels the request, also at the peer. The hook is not called again.
        void cancel() const;

        struct State;
        std::weak_ptr<State> state;
    };

    RpcClient(Runtime& runtime, Init init);
    RpcClient(const RpcClient&) = delete;
    RpcClient& operator=(const RpcClient&) = delete;
    ~RpcClient();

    /// Sends a request. The timeout restarts with each message of the answer.
    Call call(const Address& address, Message message, Milliseconds timeout, AnswerHook hook);
    /// Closes the connections to addresses for which `isCut` returns true.
    void closeCutConnections();

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

/// Socket for datagrams between processes.
class DatagramSocket {
public:
    struct Init {
        Address listen { "127.0.0.1", 0 };
        CutHook isCut {};
    };
    /// Receives the content of a datagram. Decode it with `decodeMembershipDatagram` or `decodeFleetDatagram`.
    using Handler = std::function<void(std::string_view bytes)>;

    /// Throws `std::system_error` when the address cannot be bound.
    DatagramSocket(Runtime& runtime, Init init, Handler handler);
    DatagramSocket(const DatagramSocket&) = delete;
    DatagramSocket& operator=(const DatagramSocket&) = delete;
    ~DatagramSocket();

    Address address() const;
    void send(const Address& address, std::string bytes);

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

} // namespace peridotramp
