#pragma once

#include "peridotramp/callers.h"
#include "peridotramp/gateway.h"
#include "peridotramp/nodes.h"
#include "peridotramp/operators.h"

namespace peridotramp {

/// Configuration that the gateway has received from the schedulers.
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
    /// Returns the address of the partition's owner; empty if the owner is unknown, dead or has left.
    std::optional<Address> ownerOf(PartitionId partition);
    /// Returns the configured scheduler at `index` modulo their number.
    Address schedulerAt(std::size_t index) const;
    void forgetOwner(PartitionId partition);
    /// Sets the owner that an error of a scheduler names; forgets the known owner if it names none.
    void applyOwnerHint(PartitionId partition, const ErrorMessage& hint);
    /// Returns the partitions in which a new program may start: those of this failure domain, or those of the others if
    /// this one is out of service or has no live owner.
    std::vector<PartitionId> partitionsForNewPrograms();
};

// polling.cpp
void startPolling(GatewayState& gateway);

// relay.cpp
/// Sends a message to the owner of a partition. Until the deadline, retries at the current owner if the message was not
/// accepted; a message that may have been accepted is not sent again.
void callPartitionOwner(GatewayState& gateway, PartitionId partition, const Message& message, TimePoint deadline,
    RpcClient::AnswerHook hook);

/// A call that the gateway forwards, with the hooks for its response.
struct CallRelay {
    CallMessage message;
    TimePoint deadline {};
    /// Whether the caller set the idempotency key, so that an earlier request with this key may have run elsewhere.
    bool hasCallerKey = false;
    std::function<void(std::string_view)> onToken {};
    std::function<void(Result<CallEndedMessage>)> onEnd {};
};

/// Forwards a call to the owner of its program. Returns a hook that cancels it.
std::function<void()> relayCall(GatewayState& gateway, CallRelay relay);

// routes.cpp
void serveCaller(GatewayState& gateway, HttpRequest request, const HttpExchange& exchange);
std::vector<DescriptionRow> dumpOf(GatewayState& gateway);
ProcessStatus statusOf(GatewayState& gateway);

} // namespace peridotramp
