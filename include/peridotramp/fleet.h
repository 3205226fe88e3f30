#pragma once

#include "peridotramp/coordination.h"
#include "peridotramp/nodes.h"
#include "peridotramp/runtime.h"

namespace peridotramp {

/// Period at which instances, coordinators and failure domains report.
constexpr Milliseconds statusPeriod { 100 };

struct FleetInit {
    /// This instance; its address is where other instances reach it, port 0 lets the kernel choose.
    FleetMember self;
    /// Names this process among all that ever ran under the instance's name.
    Incarnation incarnation;
};

/// What the owner of a fleet adds to the reports and takes from them. Called on any thread, without a lock, once the
/// fleet has started or an instance is announced.
struct FleetHooks {
    /// Adds what this instance reports.
    std::function<void(InstanceStatus&)> fillStatus;
    /// Takes the report of an instance of the own failure domain; called at coordinators.
    std::function<void(const InstanceStatus&)> onStatus;
    /// Adds what the failure domain reports to others; called at the active coordinator.
    std::function<void(DomainSummary&)> fillSummary;
    /// Takes the report of another failure domain; called at coordinators.
    std::function<void(const DomainSummary&)> onSummary;
    /// Adds what the instances of the own failure domain are told; called at coordinators.
    std::function<void(FleetDigest&)> fillDigest;
    /// Takes what the active coordinator tells; that may be this instance.
    std::function<void(const FleetDigest&)> onDigest;
    /// Takes a message of another instance.
    std::function<void(Message, const RpcReply&)> onMessage;
    /// Called at the end of each period.
    std::function<void()> onPeriod;
    /// Called after instances were added or removed.
    std::function<void()> onMembersChanged;
};

/// The instances of the system as one of them takes part in it.
///
/// Each instance reports to two coordinators of its failure domain, which tell all instances there what they need to
/// know of the fleet, and the active coordinators of the domains report to each other. So an instance sends and
/// receives a few datagrams a period, whatever the size of the fleet.
class Fleet {
public:
    /// Binds the addresses; throws `std::system_error` when one cannot be bound.
    Fleet(Runtime& runtime, FleetInit init, FleetHooks hooks);
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;
    ~Fleet();

    /// Starts to report and to take what other instances send. Until then no hook is called.
    void start();
    /// Sets what this instance says of itself.
    void setState(PeerState state);
    /// Adds an instance that has announced itself.
    void announce(const FleetMember& member);
    void remove(const std::string& name);

    const FleetMember& self() const;
    /// Returns all other instances that are known.
    std::vector<Peer> peers() const;
    /// Returns the other instances that have been heard from lately.
    std::vector<Peer> reachable() const;
    /// Number of instances that are known, this one included.
    std::size_t size() const;
    /// Whether the failure domain has an active coordinator, or had one so lately that others may still count on it.
    bool isCoordinated() const;
    /// Whether this instance is the active coordinator.
    bool isActiveCoordinator() const;
    /// Returns the active coordinator when it is another instance.
    std::optional<Peer> coordinator() const;
    /// Returns the active coordinator of another failure domain, as the active one of this domain knows it.
    std::optional<FleetMember> coordinatorOf(DomainId domain) const;

    /// Sends a request to another instance.
    void call(const Address& address, Message message, Milliseconds timeout, RpcClient::AnswerHook hook);

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

} // namespace peridotramp
