#pragma once

#include "peridotramp/coordination.h"
#include "peridotramp/nodes.h"
#include "peridotramp/runtime.h"

namespace peridotramp {

/// Period at which instances, coordinators and failure domains report.
constexpr Milliseconds statusPeriod { 100 };

struct FleetInit {
    /// This instance. Other instances reach it at its address; port 0 lets the kernel choose one.
    FleetMember self;
    /// Distinguishes this process from earlier ones with the same instance name.
    Incarnation incarnation;
};

/// Callbacks that fill outgoing reports and receive incoming ones. Called on any thread, with no lock held, once the
/// fleet has started or an instance is announced.
struct FleetHooks {
    /// Fills in the status that this instance reports.
    std::function<void(InstanceStatus&)> fillStatus;
    /// Receives the status of an instance of this failure domain; called at coordinators.
    std::function<void(const InstanceStatus&)> onStatus;
    /// Fills in the summary that goes to other failure domains; called at the active coordinator.
    std::function<void(DomainSummary&)> fillSummary;
    /// Receives the summary of another failure domain; called at coordinators.
    std::function<void(const DomainSummary&)> onSummary;
    /// Fills in the digest that goes to the instances of this failure domain; called at coordinators.
    std::function<void(FleetDigest&)> fillDigest;
    /// Receives the digest of the active coordinator, which may be this instance.
    std::function<void(const FleetDigest&)> onDigest;
    /// Receives a request of another instance.
    std::function<void(Message, const RpcReply&)> onMessage;
    /// Called at the end of each period.
    std::function<void()> onPeriod;
    /// Called after an instance was added, changed or removed.
    std::function<void()> onMembersChanged;
};

/// Membership and status exchange between the instances of the system, as seen by one instance.
///
/// Each instance sends its status to two coordinators of its failure domain. These send digests of the whole fleet to
/// all instances of the domain, and the active coordinators of the domains exchange summaries. An instance therefore
/// sends and receives a few datagrams per period, whatever the size of the fleet.
class Fleet {
public:
    /// Binds the addresses; throws `std::system_error` when one cannot be bound.
    Fleet(Runtime& runtime, FleetInit init, FleetHooks hooks);
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;
    ~Fleet();

    /// Starts sending reports and accepting messages. Until then nothing that another instance sends calls a hook.
    void start();
    /// Sets the state that this instance reports. A change of `draining` is reported at once.
    void setState(PeerState state);
    /// Adds an instance that has announced itself.
    void announce(const FleetMember& member);
    void remove(const std::string& name);

    const FleetMember& self() const;
    /// Returns all known instances but this one.
    std::vector<Peer> peers() const;
    /// Returns the other instances that were heard from within `peerTimeout`.
    std::vector<Peer> reachable() const;
    /// Returns the number of known instances, including this one.
    std::size_t size() const;
    /// Returns whether the failure domain has an active coordinator, or had one so recently that a handover to the next
    /// one may be in progress.
    bool isCoordinated() const;
    /// Returns whether this instance is the active coordinator.
    bool isActiveCoordinator() const;
    /// Returns the active coordinator; empty when there is none or when it is this instance.
    std::optional<Peer> coordinator() const;
    /// Returns the active coordinator of another failure domain, from its last summary. Coordinators receive summaries.
    std::optional<FleetMember> coordinatorOf(DomainId domain) const;

    /// Sends a request to another instance.
    void call(const Address& address, Message message, Milliseconds timeout, RpcClient::AnswerHook hook);

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

} // namespace peridotramp
