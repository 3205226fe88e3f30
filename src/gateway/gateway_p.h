#pragma once

#include "peridotramp/callers.h"
#include "peridotramp/gateway.h"
#include "peridotramp/nodes.h"
#include "peridotramp/operators.h"

namespace peridotramp {

/// Configuration as the gateway follows it from the schedulers.
struct GatewayConfiguration {
    ConfigurationState state;
    ConfigurationPointer current;
};

/// Owners of partitions and addresses of nodes.
struct RoutingTable {
    std::map<PartitionId, PartitionOwner> owners;
    std::map<NodeId, MemberUpdate> members;
};

struct GatewayState {
    GatewayState(Runtime& runtime, GatewayInit init);

    GatewayInit init;
    Runtime& runtime;
    RpcClient rpc;
    Metrics metrics {};
    Sharded<GatewayConfiguration, 1> configuration {};
    Sharded<RoutingTable, 1> routes {};
    std::unique_ptr<HttpServer> server {};
    std::unique_ptr<AdminServer> admin {};
    std::atomic<std::uint64_t> serials;
    std::atomic<bool> draining = false;
    std::vector<Timer> timers {};

    ConfigurationPointer configurationNow();
    std::uint64_t nextSerial() { return ++this->serials; }
    /// Returns the address of the partition's owner; empty when it is not known or not alive.
    std::optional<Address> ownerOf(PartitionId partition);
    /// Returns any scheduler, preferring those that the settings name first when `attempt` is 0.
    Address anyScheduler(std::size_t attempt) const;
    void forgetOwner(PartitionId partition);
    void learnOwner(PartitionId partition, const ErrorMessage& hint);
    /// Returns the partitions in which a new program may begin: those of the own failure domain, if it is in service.
    std::vector<PartitionId> partitionsForNewPrograms();
};

// follow.cpp
void startFollowing(GatewayState& gateway);

// relay.cpp
/// Sends a message to the owner of a partition and chases a changed owner until the deadline. Nothing is repeated that
/// may have been taken.
void askPartition(GatewayState& gateway, PartitionId partition, const Message& message, TimePoint deadline,
    RpcClient::AnswerHook hook);

/// A call on its way through the gateway.
struct CallRelay {
    CallMessage message;
    TimePoint deadline {};
    /// Whether the caller chose the idempotency key, so that an earlier attempt may have run elsewhere.
    bool callerKey = false;
    std::function<void(std::string_view)> onToken {};
    std::function<void(Result<CallEndedMessage>)> onEnd {};
};

/// Relays a call. Returns a hook that cancels it.
std::function<void()> relayCall(GatewayState& gateway, CallRelay relay);

// routes.cpp
void serveCaller(GatewayState& gateway, HttpRequest request, const HttpExchange& exchange);
std::vector<DescriptionRow> dumpOf(GatewayState& gateway);
ProcessStatus statusOf(GatewayState& gateway);

} // namespace peridotramp
