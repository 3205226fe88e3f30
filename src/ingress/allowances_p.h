#pragma once

#include "peridotramp/allowances.h"
#include "peridotramp/fleet.h"
#include "peridotramp/routing.h"

namespace peridotramp {

/// The allowances of all workspaces at one instance: those from which it admits requests, and those that it leases to
/// the instances of its failure domain while it coordinates. Thread-safe.
class AllowanceBook {
public:
    struct Init {
        std::string domain;
        NodeId self;
        Duration window = Seconds(5);
        /// Part of a limit, and number of requests, by which the fleet may exceed it when instances cannot know of each
        /// other.
        double overrun = 0;
        double slack = 0;
        /// Whether the whole system starts for the first time.
        bool firstStart = false;
    };

    explicit AllowanceBook(Init init)
        : init(std::move(init))
        , startedAt(RuntimeClock::now())
    {
    }

    /// Takes the limits of a desired state; workspaces that it does not have are dropped.
    void setTerms(const DesiredState& state);
    /// Takes the instances of which the fleet consists, and whether a coordinator decides for this one.
    void setFleet(const std::vector<Peer>& peers, bool isCoordinated, TimePoint now);

    /// Counts a request as asked for and returns whether it is admitted; `admitWaiting` does not count it again.
    bool admit(WorkspaceId workspace, ProgramStage stage, TimePoint now);
    bool admitWaiting(WorkspaceId workspace, ProgramStage stage, TimePoint now);
    /// Returns for how many requests to ask a lease.
    std::uint32_t wanted(WorkspaceId workspace, TimePoint now);
    /// Takes a lease of a coordinator.
    void add(WorkspaceId workspace, NodeId coordinator, const AllowanceLease& lease, TimePoint now);

    void fillStatus(InstanceStatus& status, TimePoint now);
    void hearStatus(const InstanceStatus& status, TimePoint now);
    void fillSummary(DomainSummary& summary, TimePoint now);
    void hearSummary(const DomainSummary& summary, TimePoint now);
    /// Divides the room of all workspaces anew.
    void rebalance(TimePoint now);
    /// Gives up the room of this failure domain; for an instance that does not coordinate it any more.
    void release();
    /// Leases room to an instance of the failure domain.
    AllowanceLease lease(const LeaseRequest& request, TimePoint now);
    /// Returns the failure domains to ask for room in the order in which to ask them.
    std::vector<DomainId> lenders(WorkspaceId workspace, ProgramStage stage, TimePoint now);
    QuotaLoan lend(const RoomRequest& request);
    void borrow(WorkspaceId workspace, QuotaLoan loan);

private:
    struct Entry {
        LeasedAllowance own;
        DomainAllowance domain;
    };
    using Shard = std::map<WorkspaceId, Entry>;

    template <typename Function> auto withEntry(WorkspaceId workspace, Function function);
    Duration uptime(TimePoint now) const;

    Init init;
    TimePoint startedAt;
    Sharded<Shard> entries;
    std::atomic<std::uint64_t> leaseNumber = 0;
    std::atomic<std::uint64_t> statuses = 0;
    std::mutex mutex;
    FleetSize fleet;
    std::map<DomainId, double> shares;
    // Newest lease of each coordinator.
    std::map<NodeId, std::uint64_t> marks;
};

} // namespace peridotramp
