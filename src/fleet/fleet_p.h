#pragma once

#include "peridotramp/async.h"
#include "peridotramp/fleet.h"

namespace peridotramp {

/// An instance that sends its status to this one.
struct Reporter {
    Address address;
    PeerState state;
    TimePoint heardAt {};
};

/// Content of the last summary from another failure domain.
struct RemoteDomain {
    FleetMember coordinator;
    std::optional<FleetMember> standby;
    std::vector<MemberContact> members;
    TimePoint heardAt {};
    /// Whether the members have changed since the last digest that listed them.
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
    void addMember(const FleetMember& member);
    void requestMembers(const Address& address);
    void handleMessage(Message message, const RpcReply& reply);
    InstanceStatus makeStatus();
    std::vector<FleetMember> candidates(std::string_view domain) const;
    void send(const Address& address, const FleetDatagram& datagram);

    // reports.cpp
    void handleStatus(const InstanceStatus& status);
    void handleDigest(const FleetDigest& digest);
    void applyDigest(const FleetDigest& digest);
    // Returns whether the list names an instance that has not been announced.
    bool recordMembers(const std::vector<MemberContact>& reported, TimePoint heardAt, TimePoint now);
    void handleSummary(const DomainSummary& summary);
    void sendDigest(bool active);
    void sendSummaries();
    std::vector<MemberContact> domainMembers(TimePoint now) const;
    std::vector<Address> digestReceivers(TimePoint now);
    std::vector<Address> summaryReceivers(TimePoint now);
    std::optional<FleetMember> standby() const;

    Runtime& runtime;
    FleetInit init;
    FleetHooks hooks;
    RpcClient client;
    std::unique_ptr<RpcServer> server {};
    std::unique_ptr<DatagramSocket> socket {};
    // Set by `start`. Before that the owner of the hooks may still be under construction, so nothing that other
    // instances send is processed.
    std::atomic<bool> started = false;
    LogLimiter malformedReportLimiter {};

    // Guards all members below.
    mutable std::mutex mutex {};
    PeerState state {};
    MemberTable table;
    CoordinatorElection election;
    NodeId activeCoordinator {};
    TimePoint lastCoordinatedAt {};
    std::map<NodeId, Reporter> reporters {};
    std::map<std::string, RemoteDomain, std::less<>> domains {};
    std::map<std::string, std::vector<MemberContact>, std::less<>> remoteMembers {};
    std::uint64_t periodCount = 0;
    TimePoint membersRequestedAt {};
};

} // namespace peridotramp
