#pragma once

#include "peridotramp/endpoints.h"
#include "peridotramp/nodes.h"
#include "peridotramp/operators.h"
#include "peridotramp/platform.h"
#include "peridotramp/scheduler.h"

#include <set>

namespace peridotramp {

/// Actions to run after a shard lock has been released.
using Actions = std::vector<std::function<void()>>;
/// Sends one message of a response.
using Responder = std::function<void(Message, bool last)>;
using AnswerHook = std::function<void(Result<Message>, bool last)>;

inline void run(const Actions& actions)
{
    for (const auto& action : actions)
        action();
}

struct CallKey {
    ProgramId program;
    CallId call;

    auto operator<=>(const CallKey&) const = default;
};

/// One attempt of a call. A late result of an earlier attempt must not end a later one.
struct CallAttempt {
    CallKey key;
    AttemptNumber number;
};

/// A request that waits for the result of a call. Several requests can wait for the same call.
struct Waiter {
    std::uint64_t id = 0;
    Responder respond;
};

/// A call between its admission and its end, at the owner of its program's partition.
struct RunningCall {
    CallMessage message;
    AttemptNumber attempt;
    TeamId team;
    bool idempotent = true;
    TimePoint deadline {};
    std::string prompt {};
    TokenCount promptTokens {};
    std::vector<Waiter> waiters {};
    std::vector<Permit> permits {};
    std::int32_t endpointAttempts = 0;
    bool claimPending = false;
    bool streamed = false;
    bool cancelled = false;
    HttpClient::Call http {};
};

/// A request that waits at the owner of a dispatch group for a free endpoint slot.
struct PendingSlotRequest {
    SlotRequest request;
    Responder respond;
};

/// Engines of one team and failure domain that have the same first model, or a service, with the queue of their calls.
struct DispatchGroup {
    /// First model of the engines, or name of the service.
    std::string name;
    TeamId team;
    CallTarget target = CallTarget::Model;
    FairQueue queue {};
    std::map<CallId, PendingSlotRequest> waiting {};
    std::vector<EndpointId> endpoints {};
};

struct DispatchGroupKey {
    TeamId team;
    std::string name;

    auto operator<=>(const DispatchGroupKey&) const = default;
};

/// State of one partition at a node that reads or owns it.
struct PartitionState {
    PartitionId id;
    PartitionLog log {};
    std::optional<PartitionLease> lease {};
    std::optional<AppendQueue> queue {};
    ProgramTable programs {};
    GrantTable grants {};
    EndpointPool pool {};
    KvCacheIndex kv {};
    std::map<DispatchGroupKey, DispatchGroup> groups {};
    std::map<CallKey, RunningCall> calls {};
    std::map<AppendTicket, std::function<void(AppendState)>> appendHooks {};
    /// Dispatch groups that each program has used, with their failure domains.
    std::map<ProgramId, std::set<std::pair<DomainId, DispatchGroupKey>>> groupsUsed {};
    std::map<EndpointId, std::uint64_t> lastKvEventRead {};
    bool reading = false;
    bool appending = false;
    bool handingOver = false;
    bool handoverQueued = false;
    bool hasReachedTail = false;
    TimePoint takeoverRetryAt {};
    /// Time at which the last successful read ended.
    std::optional<TimePoint> lastRead {};
    /// Version of the configuration that has been applied to the tables.
    Offset configurationVersion {};
    /// Workspaces whose grant buckets belong to the partition.
    std::set<WorkspaceId> workspaces {};
};

using PartitionMap = std::map<PartitionId, PartitionState>;

struct ConfigurationShard {
    ConfigurationState state;
    ConfigurationPointer current;
    bool reading = false;
    std::optional<TimePoint> lastRead;
};

struct Node {
    Node(Runtime& runtime, SchedulerInit init);

    SchedulerInit init;
    Runtime& runtime;
    NodeId self;
    Incarnation incarnation;
    DomainId domain;
    TimePoint startedAt;
    Metrics metrics {};
    /// Blocked addresses; set by the test hook to simulate a network partition.
    Sharded<std::set<Address>, 1> cuts {};
    RpcClient rpc;
    HttpClient http;
    LogClient log;
    EndpointClient endpoints;
    std::unique_ptr<RpcServer> server {};
    std::unique_ptr<DatagramSocket> gossip {};
    std::unique_ptr<AdminServer> admin {};
    Sharded<PartitionMap> partitions {};
    Sharded<std::unique_ptr<Membership>, 1> membership {};
    Sharded<ConfigurationShard, 1> configuration {};
    Sharded<std::map<PartitionId, PartitionOwner>> owners {};
    Sharded<std::optional<LeaseVoter>, 1> voter {};
    std::atomic<bool> draining = false;
    std::atomic<std::uint64_t> serials;
    std::vector<Timer> timers {};

    template <typename Function> decltype(auto) withPartition(PartitionId partition, Function&& function)
    {
        return this->partitions.with(partition.value, [&](PartitionMap& map) -> decltype(auto) {
            const auto found = map.find(partition);
            return function(found == map.end() ? nullptr : &found->second);
        });
    }

    bool isCut(const Address& address);
    ConfigurationPointer configurationNow();
    std::vector<PartitionId> partitionsOf(DomainId domainId) const;
    PartitionId bucketPartition(WorkspaceId workspace, DomainId domainId) const;
    PartitionId groupPartition(const DispatchGroupKey& key, DomainId domainId) const;
    std::optional<DomainId> domainByName(std::string_view name) const;
    bool isDomainIn(const Configuration& configuration, DomainId domainId) const;
    std::optional<Member> member(NodeId node);
    std::vector<NodeId> liveNodes(DomainId domainId);
    void sendAll(const std::vector<OutgoingMembership>& messages);
    Authority authorityOf(PartitionState& state, TimePoint now) const;
    std::uint64_t nextSerial() { return ++this->serials; }
};

/// Returns the id and address of the last known owner of a partition; empty if it is unknown, dead or has left.
std::optional<std::pair<NodeId, Address>> findOwner(Node& node, PartitionId partition);
/// Returns a `NotOwner` error with the owner of the partition, if another node is known to own it.
ErrorMessage notOwner(Node& node, PartitionId partition);
/// Sends a message to the owner of a partition, which may be this node. Until the deadline, retries at the current
/// owner if the message was not accepted.
void callOwner(Node& node, PartitionId partition, Message message, TimePoint deadline, AnswerHook hook);
/// Handles a message other than a call; these cannot be cancelled.
void handleMessage(Node& node, Message message, Responder respond);

// membership.cpp
void startMembership(Node& node);
void leaveMembership(Node& node);
RoutingTableReply tableOf(Node& node);

// configuration.cpp
void startConfiguration(Node& node);
/// Returns the configuration records that are missing at a peer that has applied the stream up to `appliedUpTo`.
ConfigurationReply configurationFor(Node& node, Offset appliedUpTo);
/// Appends documents to the configuration stream again before the log's retention drops them, if this node owns the
/// first partition of its failure domain.
void republishDocuments(Node& node);

// partitions.cpp
void startPartitions(Node& node);
/// Reads new records of the partition's log stream up to its end.
void readPartition(Node& node, PartitionId partition);
/// Queues records for the log; `onResolved` receives the outcome of the last one. The caller holds the partition's
/// shard lock.
Status pushRecords(
    PartitionState& state, std::vector<PartitionRecord> records, std::function<void(AppendState)> onResolved = {});
/// Appends the next record group to the log if it is due.
void sendAppends(Node& node, PartitionId partition);
LeaseVoteReply handleVoteRequest(Node& node, const LeaseVoteRequest& request);
/// Hands over all owned partitions, then calls `done`.
void handOverAll(Node& node, std::function<void()> done);

// tables.cpp
/// Applies the configuration to the grants and dispatch groups of a partition. The caller holds the shard lock.
void configurePartition(Node& node, PartitionState& state, const Configuration& configuration, TimePoint now);
/// Opens the grant buckets and endpoint windows of the partition for the current epoch, until the end of the lease.
/// The caller holds the shard lock.
void renewTables(PartitionState& state, TimePoint now);

// permits.cpp
void handleRatePermit(Node& node, const RatePermitRequest& request, const Responder& respond);
void handleRateCorrection(Node& node, const RateCorrection& correction);
LoanReply handleLoan(Node& node, const LoanRequest& request);
void startLoans(Node& node);

// slots.cpp
void handleSlotRequest(Node& node, const SlotRequest& request, Responder respond);
void handleSlotRelease(Node& node, const SlotRelease& release);
/// Dispatches waiting calls of a group to endpoints with free slots. The caller holds the shard lock.
void dispatchWaiting(Node& node, PartitionState& state, DispatchGroup& group, TimePoint now, Actions& actions);
void startSlots(Node& node);

// kv.cpp
void startKv(Node& node);
void notifyProgramsEnded(Node& node, PartitionId partition, const std::vector<ProgramId>& programs);
void handleProgramsEnded(Node& node, const ProgramsEndedNotice& notice);
ProgramsAliveReply handleProgramsAlive(Node& node, const ProgramsAliveQuery& query);

// calls.cpp
void handleBegin(Node& node, const BeginProgramMessage& message, const Responder& respond);
void handleEnd(Node& node, const EndProgramMessage& message, const Responder& respond);
void handleQuery(Node& node, const ProgramQueryMessage& message, const Responder& respond);
/// Admits a call; `waiter` identifies the request for `cancelWaiter`.
void handleCall(Node& node, CallMessage message, std::uint64_t waiter, Responder respond);
void cancelWaiter(Node& node, CallKey key, std::uint64_t waiter);
/// Rejects the running calls whose API key is no longer valid; calls to models are also cancelled.
void recheckKeys(Node& node);
/// Ends programs that exceeded their limits.
void expirePrograms(Node& node, PartitionId partition);
/// Fails the calls of a partition that another node has taken over.
void failCalls(Node& node, PartitionState& state, Actions& actions);
void endPrograms(
    Node& node, PartitionId partition, const EndedPrograms& ended, Actions& actions, PartitionState& state);

// run.cpp
/// Acquires the permits of an admitted call and dispatches it.
void dispatchCall(Node& node, const CallAttempt& callAttempt);
/// Ends a call with an error before it is sent to an endpoint, or sent again.
void refuseCall(Node& node, const CallAttempt& callAttempt, const Error& error);

// admin.cpp
void startAdmin(Node& node);
std::vector<DescriptionRow> dumpOf(Node& node);

// scheduler.cpp
/// Takes the node out of service and hands over its partitions, or returns it to service.
Status setDraining(Node& node, bool isDraining);

} // namespace peridotramp
