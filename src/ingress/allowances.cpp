#include "allowances_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// An instance that has not been heard from for this long is counted as using its share of each limit.
constexpr Milliseconds instanceTimeout { 350 };
// Every third report contains all workspaces in use, for coordinators that have just started.
constexpr std::uint64_t fullReportInterval = 3;
// Fractions of the tolerated overrun of a limit for requests that are never reported, and for quota that is held
// without being used; the rest is for the delay of reports.
constexpr double unreportedFraction = 0.5;
constexpr double heldFraction = 0.25;

} // namespace

// Calls `function` with the entry of a workspace and returns its result, or a default value when the workspace has no
// limit.
template <typename Function> auto AllowanceTable::withEntry(WorkspaceId workspace, Function function)
{
    using Value = decltype(function(std::declval<Entry&>()));
    return this->entries.with(workspace.value, [&](Shard& shard) -> Value {
        const auto found = shard.find(workspace);
        if (found != shard.end())
            return function(found->second);
        if constexpr (!std::is_void_v<Value>)
            return Value {};
    });
}

Duration AllowanceTable::uptime(TimePoint now) const
{
    // At the first start of the whole system there was no earlier process whose requests could still count.
    return this->init.firstStart ? this->init.window : now - this->startedAt;
}

void AllowanceTable::setLimits(const DesiredState& state)
{
    FleetState fleetState;
    std::map<DomainId, double> domainShares;
    {
        const std::scoped_lock lock(this->mutex);
        fleetState = this->fleet;
        domainShares = this->shares;
    }
    std::set<WorkspaceId> limited;
    for (const auto& workspace : state.workspaces) {
        if (workspace.rate.value <= 0)
            continue;
        const auto id = idFromName<WorkspaceId>(workspace.name);
        limited.insert(id);
        AllowanceSettings settings { workspace.rate, workspace.burst, this->init.window };
        const auto overrun = settings.limit() * this->init.overrun + this->init.slack;
        settings.tolerance = unreportedFraction * overrun;
        settings.heldTolerance = heldFraction * overrun;
        this->entries.with(id.value, [&](Shard& shard) {
            auto found = shard.find(id);
            if (found == shard.end()) {
                QuotaDivision::Init division { .self = idFromName<DomainId>(this->init.domain) };
                found
                    = shard.emplace(id, Entry { LeasedAllowance(settings), DomainAllowance(division, settings) }).first;
                found->second.domain.setFleet(fleetState, domainShares);
            }
            found->second.own.configure(settings);
            found->second.domain.configure(settings);
        });
    }
    this->entries.forEach(
        [&](Shard& shard) { std::erase_if(shard, [&](const auto& entry) { return !limited.contains(entry.first); }); });
}

void AllowanceTable::setFleet(const std::vector<Peer>& peers, bool isCoordinated, TimePoint now)
{
    FleetState fleetState;
    std::map<DomainId, double> sizes;
    fleetState.total = peers.size() + 1;
    for (const auto& peer : peers) {
        if (peer.member.domain != this->init.domain) {
            sizes[idFromName<DomainId>(peer.member.domain)] += 1;
            continue;
        }
        ++fleetState.inDomain;
        if (!peer.heard || peer.timeSinceHeard(now) > instanceTimeout)
            fleetState.silent.insert(peer.id);
    }
    for (auto& [domain, size] : sizes)
        size /= static_cast<double>(fleetState.total);
    {
        const std::scoped_lock lock(this->mutex);
        this->fleet = fleetState;
        this->shares = sizes;
    }
    this->entries.forEach([&](Shard& shard) {
        for (auto& [workspace, entry] : shard) {
            entry.domain.setFleet(fleetState, sizes);
            entry.own.setFleet(fleetState.total, isCoordinated, now);
        }
    });
}

bool AllowanceTable::admit(WorkspaceId workspace, ProgramStage stage, TimePoint now)
{
    return this->entries.with(workspace.value, [&](Shard& shard) {
        const auto found = shard.find(workspace);
        return found == shard.end() || found->second.own.admit(now, stage);
    });
}

bool AllowanceTable::retryAdmission(WorkspaceId workspace, ProgramStage stage, TimePoint now)
{
    return this->entries.with(workspace.value, [&](Shard& shard) {
        const auto found = shard.find(workspace);
        return found == shard.end() || found->second.own.retryAdmission(now, stage);
    });
}

std::uint32_t AllowanceTable::leaseSize(WorkspaceId workspace, TimePoint now)
{
    return this->withEntry(workspace, [&](Entry& entry) { return entry.own.leaseSize(now); });
}

void AllowanceTable::addLease(WorkspaceId workspace, NodeId coordinator, const AllowanceLease& lease, TimePoint now)
{
    this->withEntry(workspace, [&](Entry& entry) { entry.own.add(lease, now); });
    const std::scoped_lock lock(this->mutex);
    auto& lastNumber = this->lastLeaseNumbers[coordinator];
    lastNumber = std::max(lastNumber, lease.number);
}

void AllowanceTable::fillStatus(InstanceStatus& status, TimePoint now)
{
    status.uptime = std::chrono::duration_cast<Milliseconds>(this->uptime(now));
    // The lease numbers are read first: a lease that arrives in between is then counted twice, as held and as pending,
    // rather than not at all.
    {
        const std::scoped_lock lock(this->mutex);
        for (const auto& [coordinator, number] : this->lastLeaseNumbers)
            status.leases.push_back({ coordinator, number });
    }
    const bool isFull = this->statuses++ % fullReportInterval == 0;
    this->entries.forEach([&](Shard& shard) {
        for (auto& [workspace, entry] : shard) {
            if (entry.own.isReportDue(now) || (isFull && entry.own.isInUse(now)))
                status.allowances.push_back({ workspace, entry.own.report(now) });
        }
    });
}

void AllowanceTable::applyStatus(const InstanceStatus& status, TimePoint now)
{
    const auto received = std::ranges::find(status.leases, this->init.self, &ReceivedLease::coordinator);
    const auto lastLease = received == status.leases.end() ? 0 : received->number;
    const ReportingInstance instance { status.sender.id(), status.incarnation, status.uptime, status.state.draining };
    for (const auto& [workspace, use] : status.allowances)
        this->withEntry(workspace, [&, &reported = use](Entry& entry) {
            entry.domain.applyInstanceReport(instance, reported, lastLease, now);
        });
}

void AllowanceTable::fillSummary(DomainSummary& summary, TimePoint now)
{
    summary.uptime = std::chrono::duration_cast<Milliseconds>(this->uptime(now));
    this->entries.forEach([&](Shard& shard) {
        for (auto& [workspace, entry] : shard) {
            WorkspaceUse use { workspace, entry.domain.report(now),
                entry.domain.division().knownUsesBeforeRestart(now) };
            if (use.use != AllowanceUse {} || !use.usesBeforeRestart.empty())
                summary.allowances.push_back(std::move(use));
        }
    });
    std::ranges::sort(summary.allowances, {}, &WorkspaceUse::workspace);
}

void AllowanceTable::applySummary(const DomainSummary& summary, TimePoint now)
{
    const auto domain = idFromName<DomainId>(summary.sender.domain);
    const auto ownDomain = idFromName<DomainId>(this->init.domain);
    const ReportingInstance coordinator { summary.sender.id(), summary.incarnation, summary.uptime };
    const auto& uses = summary.allowances;
    this->entries.forEach([&](Shard& shard) {
        for (auto& [workspace, entry] : shard) {
            const auto found = std::ranges::lower_bound(uses, workspace, {}, &WorkspaceUse::workspace);
            // A workspace that is not listed has used nothing.
            const bool listed = found != uses.end() && found->workspace == workspace;
            entry.domain.division().applyReport(domain, coordinator, listed ? found->use : AllowanceUse {}, now);
            if (!listed)
                continue;
            const auto own = std::ranges::find(found->usesBeforeRestart, ownDomain, &UseBeforeRestart::domain);
            if (own != found->usesBeforeRestart.end())
                entry.domain.setUseBeforeRestart(own->requests, now);
        }
    });
}

void AllowanceTable::rebalance(TimePoint now)
{
    this->entries.forEach([&](Shard& shard) {
        for (auto& [workspace, entry] : shard)
            entry.domain.rebalance(now);
    });
}

void AllowanceTable::release()
{
    this->entries.forEach([](Shard& shard) {
        for (auto& [workspace, entry] : shard)
            entry.domain.division().release();
    });
}

AllowanceLease AllowanceTable::lease(const LeaseRequest& request, TimePoint now)
{
    const auto number = ++this->leaseNumber;
    return this->withEntry(request.workspace, [&](Entry& entry) {
        return entry.domain.lease(request.instance, request.stage, request.leaseSize, number, now);
    });
}

std::vector<DomainId> AllowanceTable::lenders(WorkspaceId workspace, ProgramStage stage, TimePoint now)
{
    return this->withEntry(workspace, [&](Entry& entry) { return entry.domain.division().lenders(stage, now); });
}

QuotaLoan AllowanceTable::lend(const QuotaLoanRequest& request)
{
    return this->withEntry(
        request.workspace, [&](Entry& entry) { return entry.domain.division().lend(request.stage); });
}

void AllowanceTable::borrow(WorkspaceId workspace, QuotaLoan loan)
{
    this->withEntry(workspace, [&](Entry& entry) { entry.domain.division().borrow(loan); });
}

} // namespace peridotramp
