#include "allowances_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Silence after which an instance counts with its part of each limit.
constexpr Milliseconds instanceSilence { 350 };
// Every so many reports contain all workspaces in use, for coordinators that have just started.
constexpr std::uint64_t fullReportEvery = 3;
// Part of the operators' tolerance that covers what instances cannot know; the rest covers the delay of reports.
constexpr double tolerancePart = 0.5;

} // namespace

// Returns what `function` makes of the entry of a workspace, or a default value when it has no limit.
template <typename Function> auto AllowanceBook::withEntry(WorkspaceId workspace, Function function)
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

Duration AllowanceBook::uptime(TimePoint now) const
{
    // With the whole system nothing ran before.
    return this->init.firstStart ? this->init.window : now - this->startedAt;
}

void AllowanceBook::setTerms(const DesiredState& state)
{
    FleetCount count;
    std::map<DomainId, double> domainShares;
    {
        const std::scoped_lock lock(this->mutex);
        count = this->fleet;
        domainShares = this->shares;
    }
    std::set<WorkspaceId> limited;
    for (const auto& workspace : state.workspaces) {
        if (workspace.rate.value <= 0)
            continue;
        const auto id = idFromName<WorkspaceId>(workspace.name);
        limited.insert(id);
        AllowanceTerms terms { workspace.rate, workspace.burst, this->init.window };
        terms.tolerance = tolerancePart * (terms.limit() * this->init.overrun + this->init.slack);
        this->entries.with(id.value, [&](Shard& shard) {
            auto found = shard.find(id);
            if (found == shard.end()) {
                RoomDivision::Init division { .self = idFromName<DomainId>(this->init.domain) };
                found = shard.emplace(id, Entry { LeasedAllowance(terms), DomainAllowance(division, terms) }).first;
                found->second.domain.setFleet(count, domainShares);
            }
            found->second.own.setTerms(terms);
            found->second.domain.setTerms(terms);
        });
    }
    this->entries.forEach(
        [&](Shard& shard) { std::erase_if(shard, [&](const auto& entry) { return !limited.contains(entry.first); }); });
}

void AllowanceBook::setFleet(const std::vector<Peer>& peers, bool isCoordinated, TimePoint now)
{
    FleetCount count;
    std::map<DomainId, double> sizes;
    count.all = peers.size() + 1;
    for (const auto& peer : peers) {
        if (peer.member.domain != this->init.domain) {
            sizes[idFromName<DomainId>(peer.member.domain)] += 1;
            continue;
        }
        ++count.ofDomain;
        if (!peer.heard || peer.timeSinceHeard(now) > instanceSilence)
            count.silent.insert(peer.id);
    }
    for (auto& [domain, size] : sizes)
        size /= static_cast<double>(count.all);
    {
        const std::scoped_lock lock(this->mutex);
        this->fleet = count;
        this->shares = sizes;
    }
    this->entries.forEach([&](Shard& shard) {
        for (auto& [workspace, entry] : shard) {
            entry.domain.setFleet(count, sizes);
            entry.own.setFleet(count.all, isCoordinated, now);
        }
    });
}

bool AllowanceBook::admit(WorkspaceId workspace, ProgramStage stage, TimePoint now)
{
    return this->entries.with(workspace.value, [&](Shard& shard) {
        const auto found = shard.find(workspace);
        return found == shard.end() || found->second.own.admit(now, stage);
    });
}

bool AllowanceBook::admitWaiting(WorkspaceId workspace, ProgramStage stage, TimePoint now)
{
    return this->entries.with(workspace.value, [&](Shard& shard) {
        const auto found = shard.find(workspace);
        return found == shard.end() || found->second.own.admitWaiting(now, stage);
    });
}

std::uint32_t AllowanceBook::wanted(WorkspaceId workspace, TimePoint now)
{
    return this->withEntry(workspace, [&](Entry& entry) { return entry.own.wanted(now); });
}

void AllowanceBook::add(WorkspaceId workspace, NodeId coordinator, const AllowanceLease& lease, TimePoint now)
{
    this->withEntry(workspace, [&](Entry& entry) { entry.own.add(lease, now); });
    const std::scoped_lock lock(this->mutex);
    auto& mark = this->marks[coordinator];
    mark = std::max(mark, lease.number);
}

void AllowanceBook::fillStatus(InstanceStatus& status, TimePoint now)
{
    status.uptime = std::chrono::duration_cast<Milliseconds>(this->uptime(now));
    // The marks are read first: a lease that arrives meanwhile is reported as held, and still counts as pending.
    {
        const std::scoped_lock lock(this->mutex);
        for (const auto& [coordinator, number] : this->marks)
            status.leases.push_back({ coordinator, number });
    }
    const bool isFull = this->statuses++ % fullReportEvery == 0;
    this->entries.forEach([&](Shard& shard) {
        for (auto& [workspace, entry] : shard) {
            if (entry.own.isReportDue(now) || (isFull && entry.own.isInUse(now)))
                status.allowances.push_back({ workspace, entry.own.report(now) });
        }
    });
}

void AllowanceBook::hearStatus(const InstanceStatus& status, TimePoint now)
{
    const auto mark = std::ranges::find(status.leases, this->init.self, &LeaseMark::coordinator);
    const auto lastLease = mark == status.leases.end() ? 0 : mark->number;
    const ReportingInstance instance { status.sender.id(), status.incarnation, status.uptime, status.state.draining };
    for (const auto& [workspace, use] : status.allowances)
        this->withEntry(workspace,
            [&, &reported = use](Entry& entry) { entry.domain.hearInstance(instance, reported, lastLease, now); });
}

void AllowanceBook::fillSummary(DomainSummary& summary, TimePoint now)
{
    summary.uptime = std::chrono::duration_cast<Milliseconds>(this->uptime(now));
    this->entries.forEach([&](Shard& shard) {
        for (auto& [workspace, entry] : shard) {
            WorkspaceUse use { workspace, entry.domain.report(now), entry.domain.division().remembered(now) };
            if (use.use != AllowanceUse {} || !use.remembered.empty())
                summary.allowances.push_back(std::move(use));
        }
    });
    std::ranges::sort(summary.allowances, {}, &WorkspaceUse::workspace);
}

void AllowanceBook::hearSummary(const DomainSummary& summary, TimePoint now)
{
    const auto domain = idFromName<DomainId>(summary.sender.domain);
    const auto ownDomain = idFromName<DomainId>(this->init.domain);
    const ReportingInstance coordinator { summary.sender.id(), summary.incarnation, summary.uptime };
    const auto& uses = summary.allowances;
    this->entries.forEach([&](Shard& shard) {
        for (auto& [workspace, entry] : shard) {
            const auto found = std::ranges::lower_bound(uses, workspace, {}, &WorkspaceUse::workspace);
            // A workspace that is left out has used nothing.
            const bool listed = found != uses.end() && found->workspace == workspace;
            entry.domain.division().hear(domain, coordinator, listed ? found->use : AllowanceUse {}, now);
            if (!listed)
                continue;
            const auto own = std::ranges::find(found->remembered, ownDomain, &RememberedUse::domain);
            if (own != found->remembered.end())
                entry.domain.recall(own->held, now);
        }
    });
}

void AllowanceBook::rebalance(TimePoint now)
{
    this->entries.forEach([&](Shard& shard) {
        for (auto& [workspace, entry] : shard)
            entry.domain.rebalance(now);
    });
}

void AllowanceBook::release()
{
    this->entries.forEach([](Shard& shard) {
        for (auto& [workspace, entry] : shard)
            entry.domain.division().release();
    });
}

AllowanceLease AllowanceBook::lease(const LeaseRequest& request, TimePoint now)
{
    const auto number = ++this->leaseNumber;
    return this->withEntry(request.workspace,
        [&](Entry& entry) { return entry.domain.lease(request.instance, request.stage, request.wanted, number, now); });
}

std::vector<DomainId> AllowanceBook::lenders(WorkspaceId workspace, ProgramStage stage, TimePoint now)
{
    return this->withEntry(workspace, [&](Entry& entry) { return entry.domain.division().lenders(stage, now); });
}

AllowanceRoom AllowanceBook::lend(const RoomRequest& request)
{
    return this->withEntry(
        request.workspace, [&](Entry& entry) { return entry.domain.division().lend(request.stage); });
}

void AllowanceBook::borrow(WorkspaceId workspace, AllowanceRoom room)
{
    this->withEntry(workspace, [&](Entry& entry) { entry.domain.division().borrow(room); });
}

} // namespace peridotramp
