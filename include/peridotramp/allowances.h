#pragma once

#include "peridotramp/core.h"

#include <set>

// Enforces the rate and burst limit of a workspace over all instances, its allowance, in three steps: failure domains
// divide the remaining quota (`QuotaDivision`), the coordinator of a domain leases its part to the instances there
// (`DomainAllowance`), and an instance admits requests from its leases (`LeasedAllowance`). Quota that was assigned and
// is not used yet counts as used at every step, so neither a network partition nor the loss of an instance lets the
// fleet admit more than the limit.
//
// Used by the ingress on the platform; the scheduler limits workspaces with `grants.h` instead.

namespace peridotramp {

/// Whether a request starts a program or belongs to a started one. Requests without a program count as `Continues`.
enum class ProgramStage : std::uint8_t { Begins, Continues, Count };

/// Requests of one workspace at one instance, as the instance reports them to the coordinators of its failure domain.
struct InstanceUse {
    /// Admitted since the instance started.
    std::uint64_t admitted = 0;
    /// Received since the instance started, refused ones included.
    std::uint64_t requested = 0;
    /// Programs started since the instance started.
    std::uint64_t programsStarted = 0;
    /// Admitted within the last window.
    std::uint32_t inWindow = 0;
    /// Leased and not used yet.
    std::uint32_t leased = 0;
};

/// An instance that reports its use of allowances.
struct ReportingInstance {
    NodeId id;
    Incarnation incarnation;
    /// Time since the process started, or at least a window if it started with the whole system. An earlier process of
    /// the instance may have used its part of a limit until the start.
    Duration uptime {};
    /// Whether the process is stopping.
    bool draining = false;
};

/// Periods to which the short-term limits of an allowance apply, in increasing order.
constexpr std::array<Milliseconds, 3> shortTermPeriods { Milliseconds(1000), Milliseconds(2000), Milliseconds(3000) };

/// Requests of one workspace in one failure domain, as its coordinator reports them to the other domains.
struct AllowanceUse {
    /// Admitted within the last window.
    std::uint32_t inWindow = 0;
    /// Quota that the domain has taken for the time to its next report, what it has leased to instances, and what it
    /// keeps for instances that may have used it without a report.
    std::uint32_t outstanding = 0;
    /// Part of `outstanding` that is reserved for instances that may have used it without a report.
    std::uint32_t unreported = 0;
    /// Received within the last window, refused ones included.
    std::uint32_t requested = 0;
    /// Programs started within the last window.
    std::uint32_t programsStarted = 0;
    /// Programs started within the usual duration of a program.
    std::uint32_t programsStartedRecently = 0;
    /// Whether a request was refused recently because no quota was left.
    bool hasUnmetRequests = false;
    /// Whether a program was refused recently because the quota did not cover all of its expected requests.
    bool hasUnmetPrograms = false;
    /// Admitted within the last of each of the `shortTermPeriods`.
    std::array<std::uint32_t, shortTermPeriods.size()> inShortTerm {};

    bool operator==(const AllowanceUse&) const = default;
};

/// Quota of an allowance that one failure domain passes to another.
struct QuotaLoan {
    std::uint32_t requests = 0;
    std::uint32_t programs = 0;
};

/// Quota that a coordinator leases to an instance for `leaseLifetime`.
struct AllowanceLease {
    /// Sequence number of the lease at its coordinator.
    std::uint64_t number = 0;
    std::uint32_t requests = 0;
    /// How many of the requests may start programs.
    std::uint32_t programs = 0;
    /// Requests of the window that are admitted or assigned in the whole fleet, as far as the coordinator knows.
    std::uint32_t used = 0;
    /// Part of `used` that is reserved for instances that may have used it without a report.
    std::uint32_t unreported = 0;
    /// Maximum number of requests in a window.
    std::uint32_t limit = 0;
};

/// Use by a failure domain before its coordinators restarted, as another domain received it in their last reports.
struct UseBeforeRestart {
    DomainId domain;
    /// Requests that may still be in the window.
    std::uint32_t requests = 0;
};

/// Time after which a lease is no longer valid.
constexpr Milliseconds leaseLifetime { 1000 };

/// Counts events in a sliding window, with the resolution of a slot. An event counts for at least the whole window.
class SlidingWindowCounter {
public:
    explicit SlidingWindowCounter(Duration window);

    void add(TimePoint now, std::uint32_t amount);
    std::uint32_t sum(TimePoint now);

private:
    static constexpr std::size_t slotCount = 50;

    // Clears the slots that are no longer in the window.
    void advance(TimePoint now);
    std::uint32_t& slotAt(std::int64_t number);

    Duration slotLength;
    std::int64_t newest = 0;
    std::uint32_t total = 0;
    // One slot more than the window has, as the oldest is only partly inside it.
    std::array<std::uint32_t, slotCount + 1> slots {};
};

/// Limit that the operators set for a workspace, and the window in which it applies.
struct AllowanceSettings {
    /// Requests per second over all instances; 0 for no limit.
    RequestRate rate;
    RequestCount burst;
    Duration window = Seconds(5);
    /// Number of requests in a window by which the fleet may exceed the limit while instances cannot reach each other.
    /// The quota reserved for requests that instances may have admitted without a report is reduced by this amount.
    double tolerance = 0;
    /// Number of requests of quota that domains and instances may hold without admitting them before it counts as used.
    /// Otherwise the quota that is held in one place would be refused in another. The fleet may exceed the limit by
    /// this number when all of it is used at the same time.
    double heldTolerance = 0;

    /// Maximum number of requests in a window.
    double limit() const;
    /// Maximum number of requests in a part of the window, like that of a token bucket. It bounds what may still be in
    /// the window after processes have failed whose use nobody knows: without it, the whole limit may have been used in
    /// their last moment.
    double shortTermLimit(Duration period) const;
    /// Returns the largest fraction of the limit that can have been used in a time.
    double maxFractionWithin(Duration time) const;
    bool operator==(const AllowanceSettings&) const = default;
};

/// Divides the remaining quota of an allowance between failure domains.
///
/// Until the next division, each domain uses only the fraction of the remaining quota that its demand has of the total
/// demand. Units that are left by rounding down go first to domains that have refused requests. Between two divisions,
/// a domain without quota borrows some from those that have it. For a silent domain, one whose reports no longer
/// arrive, its share of the limit counts as used, because it may continue to admit that much behind a network
/// partition.
///
/// Near the limit, a program may start only when the fleet has enough quota for all requests that the program is
/// expected to send: if a later request were refused, the earlier ones would be wasted.
class QuotaDivision {
public:
    struct Init {
        /// This failure domain.
        DomainId self;
        /// Time without a report after which the whole share of a domain counts as used.
        Milliseconds silenceTimeout { 350 };
        /// Usual duration of a program.
        Milliseconds programDuration { 2000 };
        /// Used fraction of the limit above which programs start only when the quota covers all of their expected
        /// requests; 1 or more disables this.
        double nearLimitFraction = 0.85;
    };

    explicit QuotaDivision(Init init)
        : init(init)
    {
    }

    void configure(const AllowanceSettings& settings);
    /// Sets the fraction of the limit that each other failure domain may use while it is silent. These fractions and
    /// that of this domain add up to 1.
    void setShares(std::map<DomainId, double> shares);
    /// Takes the report of a coordinator of another failure domain. While two coordinators of a domain report because
    /// they cannot reach each other, both reports count.
    void applyReport(DomainId domain, const ReportingInstance& coordinator, const AllowanceUse& use, TimePoint now);
    /// Returns the known use by other domains whose coordinators have started within the window and may not know it.
    std::vector<UseBeforeRestart> knownUsesBeforeRestart(TimePoint now) const;
    /// Divides the remaining quota again; call it at the period at which domains report.
    void rebalance(const AllowanceUse& own, TimePoint now);
    /// Drops the quota of this domain until the next division; for a coordinator that is no longer the active one.
    void release();
    /// Takes up to `maxRequests` requests from the quota of this domain; `stage` is that of the first. Returns the
    /// number taken.
    std::uint32_t take(std::uint32_t maxRequests, ProgramStage stage);
    /// Whether programs may start only when the quota covers all of their expected requests.
    bool isNearLimit() const { return this->nearLimit; }
    /// Number of requests that this domain may still lease or lend.
    std::uint32_t remainingRequests() const;
    /// Returns a lease without quota that states the use and the limit at the last division, to explain a refusal.
    AllowanceLease emptyLease() const;
    /// Whether there are other domains and all of them are silent.
    bool isIsolated(TimePoint now) const;
    /// Whether reports arrive from a coordinator of another domain that has run for the whole window.
    bool hasLongRunningPeer(TimePoint now) const;
    /// Returns the domains that got quota at the last division, as far as this one can tell, in the order in which to
    /// ask them for a loan; empty when the fleet has no quota left.
    std::vector<DomainId> lenders(ProgramStage stage, TimePoint now) const;
    /// Gives a part of the quota of this domain to another one, or nothing when it has none.
    QuotaLoan lend(ProgramStage stage);
    /// Adds quota lent by another domain. It is valid until the next division.
    void borrow(QuotaLoan loan);

private:
    struct Report {
        AllowanceUse use;
        ReportingInstance coordinator;
        TimePoint receivedAt {};
    };
    // Requests that a domain had admitted or assigned by its reports, with the time of the last of them.
    struct LastKnownUse {
        double requests = 0;
        TimePoint receivedAt {};
    };
    using Reports = std::map<NodeId, Report>;
    // Use counted for a silent domain, which continues to count for a short time after its reports arrive again, until
    // all domains have received each other's reports. Otherwise each of them would take the quota that becomes free.
    struct Reconnection {
        double counted = 0;
        TimePoint at {};
    };
    // Claim of a domain to a part of the remaining quota.
    struct Claim {
        DomainId domain;
        std::uint64_t tieBreaker = 0;
        double demand = 0;
        bool hasUnmetDemand = false;
        // Whole units by its demand; the units that are left go to the first domains by rank.
        double units = 0;
    };

    bool lacksProgramQuota(ProgramStage stage) const;
    // The maximum of `amountOf` over the reports of a domain in the last window, and the time of the last of them.
    LastKnownUse lastKnown(const Reports& reports, double (*amountOf)(const AllowanceUse&), TimePoint now) const;
    // Sum of the reports that are not too old; empty when the domain is silent.
    std::optional<AllowanceUse> freshUse(const Reports& reports, TimePoint now) const;
    double usedBySilentDomain(DomainId domain, TimePoint now) const;
    // Requests in the window of all domains and the quota that counts as used.
    double usedInFleet(TimePoint now) const;
    // Requests that the short-term limits leave.
    double shortTermRequestsLeft(TimePoint now) const;
    // Like `usedInFleet`, for the requests of one of the `shortTermPeriods`.
    double usedInShortTerm(std::size_t period, TimePoint now) const;
    // Quota that all domains reserve for instances that may have used it without a report.
    double unreportedUse(TimePoint now) const;
    // Returns the claims to the quota, that of this domain first.
    std::vector<Claim> claims(double quota, bool AllowanceUse::* unmet, TimePoint now) const;
    static std::pair<bool, std::uint64_t> rankOf(const Claim& claim);
    static double unassignedUnits(double quota, const std::vector<Claim>& claims);
    // Returns the number of whole units of the quota that this domain may use.
    double ownUnits(double quota, bool AllowanceUse::* unmet, TimePoint now) const;
    double programsWithinQuota(double used, TimePoint now) const;

    Init init;
    AllowanceSettings settings;
    std::map<DomainId, double> shares;
    std::map<DomainId, Reports> reports;
    // Use by domains before their coordinators restarted.
    std::map<DomainId, LastKnownUse> usesBeforeRestart;
    std::map<DomainId, Reconnection> reconnections;
    AllowanceUse own;
    double requestsLeft = 0;
    double programsLeft = 0;
    // Values of the whole fleet at the last division.
    double fleetUsed = 0;
    double fleetRequestsLeft = 0;
    double fleetProgramsLeft = 0;
    double fleetUnreported = 0;
    bool nearLimit = false;
};

/// The instances from which the parts of an allowance are calculated.
struct FleetState {
    /// Number of instances in the whole fleet.
    std::size_t total = 1;
    /// Number of instances in this failure domain.
    std::size_t inDomain = 1;
    /// Instances of this failure domain whose reports do not arrive; each may admit requests without a coordinator.
    std::set<NodeId> silent {};
};

/// The allowance of one workspace at the coordinator of a failure domain. It tracks what the instances of the domain
/// have admitted and leased, and grants them leases.
class DomainAllowance {
public:
    DomainAllowance(QuotaDivision::Init init, const AllowanceSettings& settings);

    void configure(const AllowanceSettings& settings);
    void setFleet(const FleetState& fleetState, std::map<DomainId, double> shares);
    /// Takes the report of an instance of the domain. `lastLease` is the number of the last lease that it has received.
    void applyInstanceReport(
        const ReportingInstance& instance, const InstanceUse& use, std::uint64_t lastLease, TimePoint now);
    /// Sets the use by this domain before its restart, as another domain knows it; replaces an earlier value.
    void setUseBeforeRestart(std::uint32_t requests, TimePoint now);
    /// Divides the remaining quota again; call it at the period of the reports.
    void rebalance(TimePoint now);
    /// Leases quota for up to `maxRequests` requests; the lease is empty when there is none. `number` must increase.
    AllowanceLease lease(
        NodeId instance, ProgramStage stage, std::uint32_t maxRequests, std::uint64_t number, TimePoint now);
    /// Returns the report of this domain.
    AllowanceUse report(TimePoint now);
    QuotaDivision& division() { return this->quota; }

private:
    struct PendingLease {
        std::uint64_t number = 0;
        std::uint32_t requests = 0;
        TimePoint at {};
    };
    struct Account {
        Incarnation incarnation;
        InstanceUse use;
        TimePoint receivedAt {};
        // Leases that the newest report does not include yet.
        std::vector<PendingLease> pending;
        // Whether the last report came from a process that was stopping and cannot have admitted anything since.
        bool wasDraining = false;
        // Until when requests that an earlier process of the instance admitted without a report may be in the window.
        TimePoint unreportedUntil {};
        // Number of requests that the earlier process last reported for its window.
        std::uint32_t lastReportedInWindow = 0;
    };

    // What the instances have admitted and leased, without the quota that is left for further leases.
    AllowanceUse ownUse(TimePoint now);
    std::uint32_t leasedTo(const Account& account, TimePoint now) const;
    // Requests that earlier processes of restarted instances may have admitted without a report.
    double unreportedByRestarted(TimePoint now) const;
    // Requests that instances whose reports do not arrive may admit without a coordinator.
    double usedBySilentInstances(TimePoint now) const;
    // The equal share of the limit of one instance.
    double equalShare() const;

    QuotaDivision quota;
    AllowanceSettings settings;
    FleetState fleet;
    std::map<NodeId, Account> accounts;
    // Time of the first division by this coordinator, and the requests in the window that were reported until then.
    std::optional<TimePoint> firstDivisionAt;
    std::uint32_t reportedAtStart = 0;
    // Use by this domain before its restart, as another domain has reported it.
    std::uint32_t useBeforeRestart = 0;
    TimePoint useBeforeRestartAt {};
    SlidingWindowCounter admitted;
    std::array<SlidingWindowCounter, shortTermPeriods.size()> admittedInShortTerm { SlidingWindowCounter(
                                                                                        shortTermPeriods[0]),
        SlidingWindowCounter(shortTermPeriods[1]), SlidingWindowCounter(shortTermPeriods[2]) };
    SlidingWindowCounter requested;
    SlidingWindowCounter programsStarted;
    SlidingWindowCounter programsStartedRecently;
    std::optional<TimePoint> requestRefusedAt;
    std::optional<TimePoint> programRefusedAt;
};

/// The allowance of one workspace at one instance, which admits requests from leases of its coordinator.
class LeasedAllowance {
public:
    explicit LeasedAllowance(const AllowanceSettings& settings);

    void configure(const AllowanceSettings& settings);
    /// Sets the number of instances and whether a coordinator is reachable. Without one, this instance admits at most
    /// as many requests in a window as it had before, and after a window, when the other instances have reserved quota
    /// for it, its equal share of the limit.
    void setFleet(std::size_t instances, bool isCoordinated, TimePoint now);
    /// Counts a new request and returns whether it is admitted without a further lease.
    bool admit(TimePoint now, ProgramStage stage);
    /// Like `admit`, for a request that has been counted before.
    bool retryAdmission(TimePoint now, ProgramStage stage);
    /// Returns the number of requests for which to request a lease.
    std::uint32_t leaseSize(TimePoint now);
    void add(const AllowanceLease& lease, TimePoint now);
    InstanceUse report(TimePoint now);
    /// Whether the coordinators need a report: the use has changed recently, or unused leases are left.
    bool isReportDue(TimePoint now);
    /// Whether requests are in the window, so that a newly started coordinator needs a report.
    bool isInUse(TimePoint now);

private:
    struct HeldLease {
        std::uint32_t requests = 0;
        std::uint32_t programs = 0;
        TimePoint endsAt {};
    };

    bool takeFromLeases(TimePoint now, ProgramStage stage);
    bool mayAdmitUncoordinated(TimePoint now);

    AllowanceSettings settings;
    std::size_t instances = 1;
    bool isCoordinated = true;
    // When the coordinator became unreachable, and the number of requests in the window at that time.
    TimePoint uncoordinatedSince {};
    std::uint32_t inWindowWhenUncoordinated = 0;
    std::vector<HeldLease> leases;
    SlidingWindowCounter admittedInWindow;
    SlidingWindowCounter requestedRecently;
    InstanceUse use;
    std::optional<TimePoint> changedAt;
};

} // namespace peridotramp
