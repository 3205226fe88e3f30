#include "peridotramp/allowances.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace peridotramp {

namespace {

// Time for which a domain counts as having unmet demand after it refused a lease. Waiting requests retry every few tens
// of milliseconds.
constexpr Milliseconds wantPeriod { 150 };

// Time for which a value of the use before the restart is valid; other domains send it with each report.
constexpr Milliseconds recallLife { 500 };
// Time in which a new coordinator receives reports from the instances and the other domains.
constexpr Milliseconds gatherTime { 300 };

bool isRecent(const std::optional<TimePoint>& event, TimePoint now) { return event && now - *event <= wantPeriod; }

} // namespace

DomainAllowance::DomainAllowance(RoomDivision::Init init, const AllowanceTerms& terms)
    : room(init)
    , terms(terms)
    , admitted(terms.window)
    , asked(terms.window)
    , begun(terms.window)
    , begunRecently(init.programTime)
{
    this->room.setTerms(terms);
}

void DomainAllowance::setTerms(const AllowanceTerms& newTerms)
{
    this->terms = newTerms;
    this->room.setTerms(newTerms);
}

void DomainAllowance::setFleet(const FleetCount& count, std::map<DomainId, double> shares)
{
    this->fleet = count;
    this->room.setShares(std::move(shares));
}

void DomainAllowance::hearInstance(
    const ReportingInstance& instance, const InstanceUse& use, std::uint64_t lastLease, TimePoint now)
{
    const auto [found, isNew] = this->accounts.try_emplace(instance.id);
    auto& account = found->second;
    if (isNew || account.incarnation != instance.incarnation) {
        // An earlier process may have admitted requests without a coordinator that it did not report.
        const auto unknown = account.wasDraining ? Duration(0) : this->terms.window;
        account.unknownUntil = now + std::max(Duration(0), unknown - instance.uptime);
        account.levelBefore = account.use.inWindow;
        // The requests that it reported stay in the window; its leases ended with the process.
        account.pending.clear();
        account.use = isNew ? use : InstanceUse {};
        account.use.admitted -= std::min<std::uint64_t>(account.use.admitted, account.use.inWindow);
    }
    account.incarnation = instance.incarnation;
    account.wasDraining = instance.draining;
    // Reports may arrive out of order.
    const bool isLate = use.admitted < account.use.admitted || use.asked < account.use.asked;
    if (isLate)
        return;
    const auto grown = [&](std::uint64_t InstanceUse::* total) {
        return static_cast<std::uint32_t>(use.*total - std::min(account.use.*total, use.*total));
    };
    // If the last report is old, some of the new requests have already left the window.
    this->admitted.add(now, std::min(grown(&InstanceUse::admitted), use.inWindow));
    this->asked.add(now, grown(&InstanceUse::asked));
    this->begun.add(now, grown(&InstanceUse::begun));
    this->begunRecently.add(now, grown(&InstanceUse::begun));
    account.use = use;
    account.heardAt = now;
    std::erase_if(account.pending, [&](const PendingLease& lease) { return lease.number <= lastLease; });
}

double DomainAllowance::instancePart() const
{
    return this->terms.limit() / static_cast<double>(std::max<std::size_t>(this->fleet.all, 1));
}

std::uint32_t DomainAllowance::heldBy(const Account& account, TimePoint now) const
{
    auto held = now - account.heardAt <= leaseLife ? account.use.leased : 0;
    for (const auto& lease : account.pending)
        held += now - lease.at <= leaseLife ? lease.requests : 0;
    return held;
}

double DomainAllowance::unknownUse(TimePoint now) const
{
    const bool isRecalled = now - this->recalledAt <= recallLife;
    // Such requests are assumed to be spread evenly over the window and to leave it gradually. All of them count while
    // other domains cannot have reported what they know, and if another domain ran for the whole window and reports
    // nothing, because this domain was partitioned from it.
    const bool isUntold = this->room.isAlone(now) || !this->firstDividedAt || now - *this->firstDividedAt <= gatherTime
        || (this->room.hasWitness(now) && !isRecalled);
    const auto unknown
        = std::accumulate(this->accounts.begin(), this->accounts.end(), 0.0, [&](double sum, const auto& entry) {
              const auto& account = entry.second;
              const auto left = std::max(Duration(0), account.unknownUntil - now);
              const auto part = std::chrono::duration<double>(left) / this->terms.window;
              const auto most = std::max<double>(this->instancePart(), account.levelBefore);
              return sum + most * (isUntold && part > 0 ? 1 : part);
          });
    const auto lost = static_cast<double>(this->recalled) - this->knownAtFirst;
    return std::max(unknown, isRecalled ? lost : 0.0);
}

double DomainAllowance::silentUse(TimePoint now) const
{
    return std::accumulate(this->fleet.silent.begin(), this->fleet.silent.end(), 0.0, [&](double sum, NodeId instance) {
        const auto found = this->accounts.find(instance);
        const bool known = found != this->accounts.end() && now - found->second.heardAt <= this->terms.window;
        if (known && found->second.wasDraining)
            return sum;
        const double level = known ? found->second.use.inWindow : 0;
        return sum + std::max(this->instancePart(), level);
    });
}

void DomainAllowance::recall(std::uint32_t held, TimePoint now)
{
    this->recalled = held;
    this->recalledAt = now;
}

AllowanceUse DomainAllowance::report(TimePoint now)
{
    auto use = this->ownUse(now);
    use.outstanding += this->room.roomLeft();
    return use;
}

AllowanceUse DomainAllowance::ownUse(TimePoint now)
{
    AllowanceUse use;
    use.inWindow = this->admitted.sum(now);
    use.asked = this->asked.sum(now);
    use.begun = this->begun.sum(now);
    use.begunRecently = this->begunRecently.sum(now);
    const auto held = std::accumulate(this->accounts.begin(), this->accounts.end(), 0U,
        [&](std::uint32_t sum, const auto& entry) { return sum + this->heldBy(entry.second, now); });
    // The tolerance is divided between the domains by their numbers of instances.
    const auto instances = static_cast<double>(std::max<std::size_t>(this->fleet.all, 1));
    const auto tolerance = this->terms.tolerance * static_cast<double>(this->fleet.ofDomain) / instances;
    const auto uncertain = std::max(0.0, this->unknownUse(now) + this->silentUse(now) - tolerance);
    use.uncertain = static_cast<std::uint32_t>(std::ceil(uncertain));
    use.outstanding = held + use.uncertain;
    use.wantsRequests = isRecent(this->requestTurnedAway, now);
    use.wantsPrograms = isRecent(this->programTurnedAway, now);
    return use;
}

void DomainAllowance::rebalance(TimePoint now)
{
    if (!this->firstDividedAt)
        this->firstDividedAt = now;
    if (now - *this->firstDividedAt <= gatherTime)
        this->knownAtFirst = this->admitted.sum(now);
    for (auto& [instance, account] : this->accounts)
        std::erase_if(account.pending, [&](const PendingLease& lease) { return now - lease.at > leaseLife; });
    std::erase_if(
        this->accounts, [&](const auto& entry) { return now - entry.second.heardAt > 2 * this->terms.window; });
    this->room.rebalance(this->ownUse(now), now);
}

AllowanceLease DomainAllowance::lease(
    NodeId instance, ProgramStage stage, std::uint32_t wanted, std::uint64_t number, TimePoint now)
{
    // A lease has at most an equal part of the quota, and near the limit only the one request that needs it, so that
    // scarce quota is not bound where it is not needed.
    const auto members = static_cast<std::uint32_t>(std::max<std::size_t>(this->fleet.ofDomain, 1));
    const auto most
        = this->room.isPressed() ? 1U : std::clamp(this->room.roomLeft() / members, 1U, std::max(wanted, 1U));
    const auto taken = this->room.take(most, stage);
    auto lease = this->room.describe();
    lease.number = number;
    if (taken == 0) {
        const bool hasRequestRoom = this->room.roomLeft() > 0;
        (hasRequestRoom ? this->programTurnedAway : this->requestTurnedAway) = now;
        return lease;
    }
    this->accounts[instance].pending.push_back({ number, taken, now });
    const bool begins = stage == ProgramStage::Begins;
    lease.requests = taken;
    lease.programs = this->room.isPressed() ? (begins ? 1U : 0U) : taken;
    return lease;
}

} // namespace peridotramp
