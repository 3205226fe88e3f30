#include "peridotramp/allowances.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace peridotramp {

namespace {

// Time for which a domain counts as having unmet demand after it refused a lease. Waiting requests retry every few tens
// of milliseconds.
constexpr Milliseconds unmetDemandPeriod { 150 };

// Time for which a value of the use before the restart is valid; other domains send it with each report.
constexpr Milliseconds useBeforeRestartLifetime { 500 };
// Time in which a new coordinator receives reports from the instances and the other domains.
constexpr Milliseconds initialReportPeriod { 300 };

// Mean time from the admission of a request until all domains count it: the report of its instance, the summary of its
// domain and a slot of the window take up to 100 ms each. A request is counted for so much less time; otherwise it
// would still be counted after it has left the window, and as much quota be refused.
constexpr Milliseconds reportLag { 150 };

bool isRecent(const std::optional<TimePoint>& event, TimePoint now)
{
    return event && now - *event <= unmetDemandPeriod;
}

} // namespace

DomainAllowance::DomainAllowance(QuotaDivision::Init init, const AllowanceSettings& settings)
    : quota(init)
    , settings(settings)
    , admitted(settings.window - reportLag)
    , requested(settings.window)
    , programsStarted(settings.window)
    , programsStartedRecently(init.programDuration)
{
    this->quota.configure(settings);
}

void DomainAllowance::configure(const AllowanceSettings& newSettings)
{
    this->settings = newSettings;
    this->quota.configure(newSettings);
}

void DomainAllowance::setFleet(const FleetState& fleetState, std::map<DomainId, double> shares)
{
    this->fleet = fleetState;
    this->quota.setShares(std::move(shares));
}

void DomainAllowance::applyInstanceReport(
    const ReportingInstance& instance, const InstanceUse& use, std::uint64_t lastLease, TimePoint now)
{
    const auto [found, isNew] = this->accounts.try_emplace(instance.id);
    auto& account = found->second;
    if (isNew || account.incarnation != instance.incarnation) {
        // An earlier process may have admitted requests without a coordinator that it did not report.
        const auto unreportedPeriod = account.wasDraining ? Duration(0) : this->settings.window;
        account.unreportedUntil = now + std::max(Duration(0), unreportedPeriod - instance.uptime);
        account.lastReportedInWindow = account.use.inWindow;
        // The requests that it reported stay in the window; its leases ended with the process.
        account.pending.clear();
        account.use = isNew ? use : InstanceUse {};
        account.use.admitted -= std::min<std::uint64_t>(account.use.admitted, account.use.inWindow);
    }
    account.incarnation = instance.incarnation;
    account.wasDraining = instance.draining;
    // Reports may arrive out of order.
    const bool isLate = use.admitted < account.use.admitted || use.requested < account.use.requested;
    if (isLate)
        return;
    const auto grown = [&](std::uint64_t InstanceUse::* total) {
        return static_cast<std::uint32_t>(use.*total - std::min(account.use.*total, use.*total));
    };
    // If the last report is old, some of the new requests have already left the window.
    this->admitted.add(now, std::min(grown(&InstanceUse::admitted), use.inWindow));
    for (auto& counter : this->admittedInShortTerm)
        counter.add(now, std::min(grown(&InstanceUse::admitted), use.inWindow));
    this->requested.add(now, grown(&InstanceUse::requested));
    this->programsStarted.add(now, grown(&InstanceUse::programsStarted));
    this->programsStartedRecently.add(now, grown(&InstanceUse::programsStarted));
    account.use = use;
    account.receivedAt = now;
    std::erase_if(account.pending, [&](const PendingLease& lease) { return lease.number <= lastLease; });
}

double DomainAllowance::equalShare() const
{
    return this->settings.limit() / static_cast<double>(std::max<std::size_t>(this->fleet.total, 1));
}

std::uint32_t DomainAllowance::leasedTo(const Account& account, TimePoint now) const
{
    auto leased = now - account.receivedAt <= leaseLifetime ? account.use.leased : 0;
    for (const auto& lease : account.pending)
        leased += now - lease.at <= leaseLifetime ? lease.requests : 0;
    return leased;
}

double DomainAllowance::unreportedByRestarted(TimePoint now) const
{
    const bool isUseBeforeRestartKnown = now - this->useBeforeRestartAt <= useBeforeRestartLifetime;
    // The shorter the part of the window before the start becomes, the less of the limit can have been used in it.
    // Where another domain ran for the whole window and reports what it knows of the use before the restart, what
    // remains is assumed to be spread evenly over the window.
    const bool isKnown = isUseBeforeRestartKnown && this->quota.hasLongRunningPeer(now);
    const bool countsFully = !isKnown || this->quota.isIsolated(now) || !this->firstDivisionAt
        || now - *this->firstDivisionAt <= initialReportPeriod;
    const auto unreported
        = std::accumulate(this->accounts.begin(), this->accounts.end(), 0.0, [&](double sum, const auto& entry) {
              const auto& account = entry.second;
              const auto remaining = std::max(Duration(0), account.unreportedUntil - now);
              const auto fraction = std::chrono::duration<double>(remaining) / this->settings.window;
              const auto maxUse = std::max<double>(this->equalShare(), account.lastReportedInWindow);
              return sum + maxUse * (countsFully ? this->settings.maxFractionWithin(remaining) : fraction);
          });
    const auto missingUse = static_cast<double>(this->useBeforeRestart) - this->reportedAtStart;
    return std::max(unreported, isUseBeforeRestartKnown ? missingUse : 0.0);
}

double DomainAllowance::usedBySilentInstances(TimePoint now) const
{
    return std::accumulate(this->fleet.silent.begin(), this->fleet.silent.end(), 0.0, [&](double sum, NodeId instance) {
        const auto found = this->accounts.find(instance);
        const bool known = found != this->accounts.end() && now - found->second.receivedAt <= this->settings.window;
        if (known && found->second.wasDraining)
            return sum;
        const double level = known ? found->second.use.inWindow : 0;
        return sum + std::max(this->equalShare(), level);
    });
}

void DomainAllowance::setUseBeforeRestart(std::uint32_t requests, TimePoint now)
{
    this->useBeforeRestart = requests;
    this->useBeforeRestartAt = now;
}

AllowanceUse DomainAllowance::report(TimePoint now)
{
    auto use = this->ownUse(now);
    use.outstanding += this->quota.remainingRequests();
    return use;
}

AllowanceUse DomainAllowance::ownUse(TimePoint now)
{
    AllowanceUse use;
    use.inWindow = this->admitted.sum(now);
    std::ranges::transform(this->admittedInShortTerm, use.inShortTerm.begin(),
        [now](SlidingWindowCounter& counter) { return counter.sum(now); });
    use.requested = this->requested.sum(now);
    use.programsStarted = this->programsStarted.sum(now);
    use.programsStartedRecently = this->programsStartedRecently.sum(now);
    const auto leased = std::accumulate(this->accounts.begin(), this->accounts.end(), 0U,
        [&](std::uint32_t sum, const auto& entry) { return sum + this->leasedTo(entry.second, now); });
    // The tolerance is divided between the domains by their numbers of instances.
    const auto instances = static_cast<double>(std::max<std::size_t>(this->fleet.total, 1));
    const auto tolerance = this->settings.tolerance * static_cast<double>(this->fleet.inDomain) / instances;
    const auto unreported
        = std::max(0.0, this->unreportedByRestarted(now) + this->usedBySilentInstances(now) - tolerance);
    use.unreported = static_cast<std::uint32_t>(std::ceil(unreported));
    use.outstanding = leased + use.unreported;
    use.hasUnmetRequests = isRecent(this->requestRefusedAt, now);
    use.hasUnmetPrograms = isRecent(this->programRefusedAt, now);
    return use;
}

void DomainAllowance::rebalance(TimePoint now)
{
    if (!this->firstDivisionAt)
        this->firstDivisionAt = now;
    if (now - *this->firstDivisionAt <= initialReportPeriod)
        this->reportedAtStart = this->admitted.sum(now);
    for (auto& [instance, account] : this->accounts)
        std::erase_if(account.pending, [&](const PendingLease& lease) { return now - lease.at > leaseLifetime; });
    std::erase_if(
        this->accounts, [&](const auto& entry) { return now - entry.second.receivedAt > 2 * this->settings.window; });
    this->quota.rebalance(this->ownUse(now), now);
}

AllowanceLease DomainAllowance::lease(
    NodeId instance, ProgramStage stage, std::uint32_t maxRequests, std::uint64_t number, TimePoint now)
{
    // A lease covers at most an equal part of the remaining quota for each instance. Near the limit, it covers only the
    // one request that needs it, so that scarce quota is not tied up where it is not needed.
    const auto members = static_cast<std::uint32_t>(std::max<std::size_t>(this->fleet.inDomain, 1));
    const auto leaseSize = this->quota.isNearLimit()
        ? 1U
        : std::clamp(this->quota.remainingRequests() / members, 1U, std::max(maxRequests, 1U));
    const auto taken = this->quota.take(leaseSize, stage);
    auto lease = this->quota.emptyLease();
    lease.number = number;
    if (taken == 0) {
        const bool hasRequestQuota = this->quota.remainingRequests() > 0;
        (hasRequestQuota ? this->programRefusedAt : this->requestRefusedAt) = now;
        return lease;
    }
    this->accounts[instance].pending.push_back({ number, taken, now });
    const bool begins = stage == ProgramStage::Begins;
    lease.requests = taken;
    lease.programs = this->quota.isNearLimit() ? (begins ? 1U : 0U) : taken;
    return lease;
}

} // namespace peridotramp
