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

/// Partitions of a failure domain are numbered from its index times this.
constexpr std::uint64_t partitionsPerDomainLimit = 256;

/// Returns the failure domain to which a partition belongs.
constexpr DomainId domainOf(PartitionId partition) { return { partition.value / partitionsPerDomainLimit }; }

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

/// State of a program as its owner knows it.
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

/// An error, and where the request belongs when the node does not own the partition.
struct ErrorMessage {
    Error error;
    NodeId owner;
    Address ownerAddress;
};

/// Asks the owner of a bucket for a permit; answered when the permit is given or refused.
struct RatePermitRequest {
    BucketKey bucket;
    GrantAmount amount;
    GrantSource source;
    Milliseconds timeLeft { 0 };
};

struct RatePermitReply {
    Permit permit;
};

/// Tells the owner of a bucket how much of a permit was used.
struct RateCorrection {
    Permit permit;
    GrantAmount used;
};

/// Asks the owner of a dispatch group for an endpoint; answered when the call may be dispatched.
struct SlotRequest {
    /// Model or call name that the group serves.
    std::string name;
    CallTarget target = CallTarget::Model;
    TeamId team;
    DomainId domain;
    CallId call;
    ProgramId program;
    WorkspaceId workspace;
    NodeId holder;
    Incarnation incarnation;
    std::int32_t attempt = 0;
    bool retryable = false;
    Milliseconds timeLeft { 0 };
    Duration attained {};
    TokenCount history;
    TokenUse expected;
};

struct SlotReply {
    EndpointPermit permit;
    Address address;
};

/// Gives a slot back and reports what was observed.
struct SlotRelease {
    SlotRequest request;
    EndpointPermit permit;
    CallReport report;
    TokenUse actual;
    /// Tokens of the program's prefix that the engine now holds.
    TokenCount held;
};

/// Programs whose prefixes the engines of a dispatch group must release.
struct ProgramsEndedNotice {
    std::vector<ProgramId> programs;
    DomainId domain;
    TeamId team;
    std::string name;
};

/// Asks the owner of a partition which of these programs live, to find orphaned prefixes.
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

struct TableQuery { };

struct PartitionOwner {
    PartitionId partition;
    NodeId node;
    Epoch epoch;
};

/// Members and partition owners as a node knows them.
struct TableReply {
    std::vector<MemberUpdate> members;
    std::vector<PartitionOwner> owners;
};

/// Where an instance looks for a turn that it is asked for.
enum class HistoryDepth : std::uint8_t {
    /// In its memory.
    Memory,
    /// In the partitions of the metadata store that it keeps, too.
    Store,
    Count
};

/// Asks an instance for turns of a conversation that it holds, from `turn` backwards.
struct HistoryRequest {
    std::string turn;
    HistoryDepth depth = HistoryDepth::Memory;
};

/// What an instance has seen of the metadata store in the longest time for which turns are kept.
enum class StoreWatch : std::uint8_t {
    /// A call failed: turns may have been held by instances alone.
    Failed,
    /// No call failed since the process started; it cannot know of the time before.
    SinceStart,
    /// No call failed in the whole time.
    Whole,
    Count
};

struct HistoryReply {
    /// Turns from the oldest that is held; empty when `turn` is not held.
    std::vector<ConversationTurn> turns;
    /// Whether the instance has read its partitions of the metadata store up to an end that was current after the
    /// question.
    bool isRead = false;
    StoreWatch watch = StoreWatch::Failed;
};

/// Asks an instance to keep a copy of a turn that the metadata store has not acknowledged.
struct TurnCopy {
    ProgramId program;
    ConversationTurn turn;
    Milliseconds keepFor { 0 };
};

/// Asks the keeper of a program to begin a turn: to set aside the most tokens that it may generate, and to find the
/// history that it continues. Answered by `BeginTurnReply`, or by the error with which the turn is refused.
struct BeginTurnRequest {
    ProgramId program;
    std::string workspace;
    /// Names what is set aside for this turn. `EndTurnNotice` releases it, also when the answer was not waited for.
    HoldId hold;
    /// Empty when the program has no budget.
    std::optional<TokenCount> budget;
    TokenCount most;
    /// Time for which the asking instance waits for the answer.
    Milliseconds answerTimeout { 0 };
    /// Time for which the turn may go on.
    Milliseconds timeLeft { 0 };
    /// Turn whose history is asked for; empty when the asking instance needs none.
    std::string previousTurn;
};

struct BeginTurnReply {
    ProgramStage stage = ProgramStage::Continues;
    /// From the oldest.
    std::vector<ConversationTurn> history;
};

/// Reports the end of a turn to the instance that was asked to set its tokens aside. Sent until it is answered; further
/// copies change nothing.
struct EndTurnNotice {
    ProgramId program;
    /// Invalid when no tokens were asked for.
    HoldId hold;
    /// Tokens that the caller has received.
    TokenCount used;
    /// The turn, when it was answered whole and is kept.
    std::optional<ConversationTurn> turn;
    Milliseconds keepFor { 0 };
};

/// Asks an instance to give back the tokens of a program that it has reserved and does not need.
struct GiveBackRequest {
    ProgramId program;
};

struct GiveBackReply {
    /// False while a reservation of the answering instance is being confirmed: what it holds then is more than its
    /// turns need, and is given back later.
    bool complete = false;
};

/// Tells the keeper of a program in another failure domain of a reservation that the metadata store has not confirmed.
struct ReservationCopy {
    TokenReservation reservation;
};

struct ReservationCopyReply {
    /// Whether the answering instance keeps the program and knows of all reservations in its failure domain.
    bool complete = false;
    /// What it knows of the program's reservations.
    std::vector<TokenReservation> known;
};

/// Hands the reservations of a partition, all that there are in the failure domain, to the instance that keeps its
/// programs next.
struct HandoverNotice {
    StorePartition partition;
    std::vector<TokenReservation> reservations;
};

/// Tells the keepers of other failure domains what the metadata store has confirmed lately, when it stops answering.
struct ReservationsNotice {
    std::vector<TokenReservation> reservations;
};

/// One record as the metadata store has it.
struct StateRecord {
    std::string key;
    std::string value;
};

/// Asks the keeper of a partition in another failure domain for what it knows of it.
struct PartitionRequest {
    StorePartition partition;
    /// Whether to send the turns that have not been stored, too.
    bool withTurns = false;
};

struct PartitionReply {
    /// Whether the keeper knows all reservations of the partition.
    bool complete = false;
    std::vector<TokenReservation> reservations;
    /// Records of turns that have not been stored, as many as fit a message.
    std::vector<StateRecord> turns;
};

/// Asks the coordinator of the failure domain for room of a workspace's allowance.
struct LeaseRequest {
    NodeId instance;
    WorkspaceId workspace;
    ProgramStage stage = ProgramStage::Continues;
    /// Requests that the instance expects soon.
    std::uint32_t wanted = 1;
};

struct LeaseReply {
    AllowanceLease lease;
};

/// Asks the coordinator of another failure domain for a part of its room of a workspace's allowance.
struct RoomRequest {
    WorkspaceId workspace;
    ProgramStage stage = ProgramStage::Continues;
};

struct RoomReply {
    /// What the asking domain may use instead of the answering one.
    QuotaLoan room;
};

/// Asks an instance for the newest records of operators and endpoints; for one that the metadata store does not answer.
struct StateRequest { };

struct StateReply {
    /// Whether the answering instance has the desired state and the endpoints.
    bool known = false;
    std::vector<StateRecord> operators;
    std::vector<StateRecord> endpoints;
};

/// Asks an instance for all members that it knows; for one that the metadata store does not answer.
struct MembersRequest { };

struct MembersReply {
    std::vector<FleetMember> members;
};

/// Asks an instance to send a call to the metadata store, for a sender that the store does not answer.
struct StoreCallRequest {
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    Milliseconds timeout { 0 };
};

struct StoreCallReply {
    /// 0 when the store did not answer.
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
    /// Of other domains whose coordinators have restarted.
    std::vector<UseBeforeRestart> remembered {};
};

/// Newest lease of a coordinator that has reached an instance.
struct LeaseMark {
    NodeId coordinator;
    std::uint64_t number = 0;
};

/// What an instance tells the coordinators of its failure domain again and again.
struct InstanceStatus {
    FleetMember sender;
    Incarnation incarnation;
    /// Time since the process started; long for one that started with the whole system.
    Milliseconds uptime { 0 };
    PeerState state;
    std::vector<LeaseMark> leases;
    /// Workspaces of which something has changed lately.
    std::vector<WorkspaceInstanceUse> allowances;
    std::vector<EndpointLoad> loads;
};

/// How recently a coordinator has heard from an instance.
struct MemberSight {
    NodeId id;
    Milliseconds silence { 0 };
    PeerState state;
};

/// How recently a coordinator has heard from another failure domain.
struct DomainSight {
    std::string domain;
    Milliseconds silence { 0 };
    /// Instances of the domain; left out of most digests, and then they are as before.
    std::optional<std::vector<MemberSight>> members;
};

/// What a coordinator tells the instances of its failure domain again and again.
struct FleetDigest {
    FleetMember sender;
    /// Whether the sender decides for the domain.
    bool active = false;
    std::vector<MemberSight> members;
    std::vector<DomainSight> domains;
    /// Of the whole fleet, by endpoint.
    std::vector<EndpointLoad> loads;
};

/// What the active coordinator of a failure domain tells those of the others again and again.
struct DomainSummary {
    FleetMember sender;
    /// The coordinator that takes over when the sender falls silent.
    std::optional<FleetMember> standby;
    Incarnation incarnation;
    /// As in `InstanceStatus`.
    Milliseconds uptime { 0 };
    std::vector<MemberSight> members;
    /// By workspace; those that are left out have used nothing.
    std::vector<WorkspaceUse> allowances;
    std::vector<EndpointLoad> loads;
};

/// Content of a datagram between instances of the fleet.
using Beacon = std::variant<InstanceStatus, FleetDigest, DomainSummary>;

/// Ends a request that the sender no longer wants answered.
struct CancelMessage { };

/// Reports that a message without result has been taken.
struct DoneMessage { };

using Message = std::variant<ErrorMessage, DoneMessage, CancelMessage, BeginProgramMessage, ProgramBegunMessage,
    EndProgramMessage, ProgramQueryMessage, ProgramStateMessage, CallMessage, CallChunkMessage, CallEndedMessage,
    RatePermitRequest, RatePermitReply, RateCorrection, SlotRequest, SlotReply, SlotRelease, ProgramsEndedNotice,
    ProgramsAliveQuery, ProgramsAliveReply, LoanRequest, LoanReply, LeaseVoteRequest, LeaseVoteReply,
    ConfigurationQuery, ConfigurationReply, TableQuery, TableReply, HistoryRequest, HistoryReply, TurnCopy,
    GiveBackRequest, BeginTurnRequest, BeginTurnReply, EndTurnNotice, StoreCallRequest, StoreCallReply, LeaseRequest,
    LeaseReply, RoomRequest, RoomReply, MembersRequest, MembersReply, ReservationCopy, ReservationCopyReply,
    HandoverNotice, StateRequest, StateReply, ReservationsNotice, PartitionRequest, PartitionReply, GiveBackReply>;

/// A message of a request or of its answer.
struct Frame {
    /// Chosen by the sender of the request and repeated in each message of the answer.
    std::uint64_t correlation = 0;
    /// Whether the answer is complete.
    bool last = true;
    Message message;
};

/// Encodes a frame without its length.
std::string encodeFrame(const Frame& frame);
/// Decodes a frame. Errors: `MalformedFrame`.
Result<Frame> decodeFrame(std::string_view bytes);
/// Encodes the content of a datagram.
std::string encodeDatagram(const MembershipMessage& message);
/// Decodes the content of a datagram. Errors: `MalformedFrame`.
Result<MembershipMessage> decodeDatagram(std::string_view bytes);

/// Encodes the content of a datagram between instances of the fleet.
std::string encodeBeacon(const Beacon& beacon);
/// Decodes the content of such a datagram. Errors: `MalformedFrame`.
Result<Beacon> decodeBeacon(std::string_view bytes);
/// Encodes a turn for the metadata store.
std::string encodeTurn(const ConversationTurn& turn);
/// Decodes a turn. Errors: `MalformedFrame`.
Result<ConversationTurn> decodeTurn(std::string_view bytes);
/// Encodes a reservation for the metadata store.
std::string encodeReservation(const TokenReservation& reservation);
/// Decodes a reservation. Errors: `MalformedFrame`.
Result<TokenReservation> decodeReservation(std::string_view bytes);
/// Encodes the announcement of an instance for the metadata store.
std::string encodeMember(const FleetMember& member);
/// Decodes the announcement of an instance. Errors: `MalformedFrame`.
Result<FleetMember> decodeMember(std::string_view bytes);

/// Tells whether traffic to an address is cut; used by tests to bring network partitions about.
using CutHook = std::function<bool(const Address&)>;

/// Way to answer one request. Copies stand for the same request. May be used from any thread.
class RpcReply {
public:
    /// Sends a message of the answer. Returns false when the requester is gone.
    bool send(Message message, bool last = true) const;
    /// Sets a hook that is called once if the requester cancels or its connection breaks before the last message.
    void onCancel(std::function<void()> hook) const;

    struct State;
    std::shared_ptr<State> state;
};

/// Server for requests of other processes.
class RpcServer {
public:
    struct Init {
        Address listen { "127.0.0.1", 0 };
        std::size_t maxFrameBytes = std::size_t { 4 } * 1024 * 1024;
        /// Unsent bytes of one connection beyond which it is closed.
        std::size_t maxPendingBytes = std::size_t { 64 } * 1024 * 1024;
        /// Longest pause between the bytes of one frame.
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

/// Client for requests to other processes. Keeps one connection for each address.
class RpcClient {
public:
    struct Init {
        Milliseconds connectTimeout { 1000 };
        std::size_t maxFrameBytes = std::size_t { 4 } * 1024 * 1024;
        CutHook isCut {};
        /// Longest pause between the bytes of one frame.
        Milliseconds frameTimeout { 10'000 };
    };
    /// Called for each message of the answer, or once with an error. `last` is true in the last call.
    ///
    /// Errors: `ConnectionFailed` with outcome `NotRun` when the request was not written, `Unknown` otherwise;
    /// `DeadlineExceeded` with outcome `Unknown`; and what the peer answered.
    using AnswerHook = std::function<void(Result<Message> message, bool last)>;
    /// A running request.
    class Call {
    public:
        /// Tells the peer that the answer is no longer wanted. The hook is not called again.
        void cancel() const;

        struct State;
        std::weak_ptr<State> state;
    };

    RpcClient(Runtime& runtime, Init init);
    RpcClient(const RpcClient&) = delete;
    RpcClient& operator=(const RpcClient&) = delete;
    ~RpcClient();

    /// Sends a request. The time-out counts from the last message of the answer.
    Call call(const Address& address, Message message, Milliseconds timeout, AnswerHook hook);
    /// Closes the connections whose address is cut.
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
    /// Gets the content of a datagram. Decode it with `decodeDatagram` or `decodeBeacon`.
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
