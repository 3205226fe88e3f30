#pragma once

#include "peridotramp/async.h"
#include "peridotramp/fleet.h"

namespace peridotramp {

/// An instance that reports to this one.
struct Reporter {
    Address address;
    PeerState state;
    TimePoint heardAt {};
};

/// What the coordinator of another failure domain said last.
struct KnownDomain {
    FleetMember coordinator;
    std::optional<FleetMember> standby;
    std::vector<MemberSight> members;
    TimePoint heardAt {};
    /// Whether the members have changed since the instances of the own domain were told of them.
    bool changed = true;
};

struct Fleet::Impl : std::enable_shared_from_this<Fleet::Impl> {
    Impl(Runtime& runtime, FleetInit init, FleetHooks hooks);

    // fleet.cpp
    void open();
    void start();
    void schedule();
    void runPeriod();
    void receive(std::string_view bytes);
    void learn(const FleetMember& member);
    void askForMembers(const Address& address);
    void handleMessage(Message message, const RpcReply& reply);
    InstanceStatus makeStatus();
    std::vector<FleetMember> candidates(std::string_view domain) const;
    void send(const Address& address, const Beacon& beacon);

    // reports.cpp
    void hearStatus(const InstanceStatus& status);
    void hearDigest(const FleetDigest& digest);
    void applyDigest(const FleetDigest& digest);
    // Returns whether an instance is named that nobody has announced.
    bool sightAll(const std::vector<MemberSight>& sights, TimePoint heardAt, TimePoint now);
    void hearSummary(const DomainSummary& summary);
    void sendDigest(bool active);
    void sendSummaries();
    std::vector<MemberSight> ownSights(TimePoint now) const;
    std::vector<Address> digestReceivers(TimePoint now);
    std::vector<Address> summaryReceivers(TimePoint now);
    std::optional<FleetMember> standby() const;

    Runtime& runtime;
    FleetInit init;
    FleetHooks hooks;
    RpcClient client;
    std::unique_ptr<RpcServer> server {};
    std::unique_ptr<DatagramSocket> socket {};
    // Until then the owner of the hooks may not be complete; nothing is taken from other instances.
    std::atomic<bool> started = false;
    LogLimiter ignoredLines {};

    mutable std::mutex mutex {};
    // All below is under the lock.
    PeerState state {};
    MemberTable table;
    CoordinatorElection choice;
    NodeId active {};
    TimePoint coordinatedAt {};
    std::map<NodeId, Reporter> reporters {};
    std::map<std::string, KnownDomain, std::less<>> domains {};
    std::map<std::string, std::vector<MemberSight>, std::less<>> toldMembers {};
    std::uint64_t periods = 0;
    TimePoint membersAskedAt {};
};

} // namespace peridotramp
