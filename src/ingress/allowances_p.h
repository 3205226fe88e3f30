#pragma once

#include "peridotramp/allowances.h"
#include "peridotramp/fleet.h"
#include "peridotramp/routing.h"

namespace peridotramp {

/// The allowances of all workspaces at one instance: the leases from which it admits requests, and the quota that it
/// leases to the instances of its failure domain while it is the coordinator. Thread-safe.
class AllowanceTable {
public:
    struct Init {
        std::string domain;
        NodeId self;
        Duration window = Seconds(5);
        /// Fraction of a limit by which the fleet may exceed it while instances cannot learn of each other's requests.
        double overrun = 0;
        /// Number of requests by which the fleet may exceed a limit in addition to `overrun`.
        double slack = 0;
        /// Whether the whole system starts for the first time.
        bool firstStart = false;
    };

    explicit AllowanceTable(Init init)
        : init(std::move(init))
        , startedAt(RuntimeClock::now())
    {
    }

    /// Applies the limits of a desired state; drops workspaces that it does not contain.
    void setLimits(const DesiredState& state);
    /// Sets the other instances of the fleet, and whether this failure domain has a coordinator.
    void setFleet(const std::vector<Peer>& peers, bool isCoordinated, TimePoint now);

    /// Counts a request as demand and returns whether it is admitted.
    bool admit(WorkspaceId workspace, ProgramStage stage, TimePoint now);
    /// Like `admit`, for a request that has been counted before.
    bool retryAdmission(WorkspaceId workspace, ProgramStage stage, TimePoint now);
    /// Returns the number of requests that the next requested lease should cover.
    std::uint32_t leaseSize(WorkspaceId workspace, TimePoint now);
    /// Adds a lease from a coordinator.
    void addLease(WorkspaceId workspace, NodeId coordinator, const AllowanceLease& lease, TimePoint now);

    /// Adds the use of allowances at this instance to its status report.
    void fillStatus(InstanceStatus& status, TimePoint now);
    /// Applies the status report of an instance of the failure domain.
    void applyStatus(const InstanceStatus& status, TimePoint now);
    /// Adds the use of allowances in the failure domain to its summary.
    void fillSummary(DomainSummary& summary, TimePoint now);
    /// Applies the summary of another failure domain.
    void applySummary(const DomainSummary& summary, TimePoint now);
    /// Recomputes the quota of this failure domain in all allowances.
    void rebalance(TimePoint now);
    /// Releases the quota of this failure domain, when this instance is not its coordinator.
    void release();
    /// Leases quota to an instance of the failure domain.
    AllowanceLease lease(const LeaseRequest& request, TimePoint now);
    /// Returns the failure domains that may lend quota, in the order in which to ask them.
    std::vector<DomainId> lenders(WorkspaceId workspace, ProgramStage stage, TimePoint now);
    /// Hands quota of this failure domain to another one.
    QuotaLoan lend(const QuotaLoanRequest& request);
    /// Adds quota from another failure domain.
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
    FleetState fleet;
    std::map<DomainId, double> shares;
    // Number of the newest lease from each coordinator.
    std::map<NodeId, std::uint64_t> lastLeaseNumbers;
};

} // namespace peridotramp
