#include "peridotramp/allowances.h"

#include <algorithm>
#include <numeric>

namespace peridotramp {

namespace {

// The next lease covers as many requests as were received within this time.
constexpr Milliseconds demandWindow { 500 };
// Maximum size of a requested lease; a larger one would be wasted when the demand ends.
constexpr std::uint32_t maxLeaseSize = 8;
// Time for which a change is reported repeatedly, as datagrams may be lost.
constexpr Milliseconds reportRepeatPeriod { 500 };

} // namespace

LeasedAllowance::LeasedAllowance(const AllowanceSettings& settings)
    : settings(settings)
    , admittedInWindow(settings.window)
    , requestedRecently(demandWindow)
{
}

void LeasedAllowance::configure(const AllowanceSettings& newSettings) { this->settings = newSettings; }

void LeasedAllowance::setFleet(std::size_t newInstances, bool coordinated, TimePoint now)
{
    this->instances = std::max<std::size_t>(newInstances, 1);
    if (this->isCoordinated && !coordinated) {
        this->uncoordinatedSince = now;
        this->inWindowWhenUncoordinated = this->admittedInWindow.sum(now);
    }
    this->isCoordinated = coordinated;
}

bool LeasedAllowance::admit(TimePoint now, ProgramStage stage)
{
    ++this->use.requested;
    this->requestedRecently.add(now, 1);
    this->changedAt = now;
    return this->retryAdmission(now, stage);
}

bool LeasedAllowance::mayAdmitUncoordinated(TimePoint now)
{
    if (this->isCoordinated)
        return false;
    const bool isShareReserved = now - this->uncoordinatedSince >= this->settings.window;
    const auto maxInWindow = isShareReserved ? this->settings.limit() / static_cast<double>(this->instances)
                                             : static_cast<double>(this->inWindowWhenUncoordinated);
    return this->admittedInWindow.sum(now) + 1 <= maxInWindow;
}

bool LeasedAllowance::takeFromLeases(TimePoint now, ProgramStage stage)
{
    std::erase_if(this->leases, [&](const HeldLease& lease) { return lease.endsAt <= now || lease.requests == 0; });
    const bool begins = stage == ProgramStage::Begins;
    const auto fits = [&](const HeldLease& lease) { return lease.programs > 0 || (!begins && lease.requests > 0); };
    const auto found = std::ranges::find_if(this->leases, fits);
    if (found == this->leases.end())
        return false;
    --found->requests;
    // A request that starts no program takes one that may start a program only if no other is left.
    found->programs = begins ? found->programs - 1 : std::min(found->programs, found->requests);
    return true;
}

bool LeasedAllowance::retryAdmission(TimePoint now, ProgramStage stage)
{
    if (this->settings.rate.value > 0 && !this->takeFromLeases(now, stage) && !this->mayAdmitUncoordinated(now))
        return false;
    if (stage == ProgramStage::Begins)
        ++this->use.programsStarted;
    ++this->use.admitted;
    this->admittedInWindow.add(now, 1);
    this->changedAt = now;
    return true;
}

std::uint32_t LeasedAllowance::leaseSize(TimePoint now)
{
    return std::clamp(this->requestedRecently.sum(now), 1U, maxLeaseSize);
}

void LeasedAllowance::add(const AllowanceLease& lease, TimePoint now)
{
    if (lease.requests > 0)
        this->leases.push_back({ lease.requests, lease.programs, now + leaseLifetime });
    this->changedAt = now;
}

InstanceUse LeasedAllowance::report(TimePoint now)
{
    std::erase_if(this->leases, [&](const HeldLease& lease) { return lease.endsAt <= now; });
    this->use.inWindow = this->admittedInWindow.sum(now);
    this->use.leased = std::accumulate(this->leases.begin(), this->leases.end(), 0U,
        [](std::uint32_t sum, const HeldLease& lease) { return sum + lease.requests; });
    return this->use;
}

bool LeasedAllowance::isReportDue(TimePoint now)
{
    const bool holds = std::ranges::any_of(
        this->leases, [&](const HeldLease& lease) { return lease.requests > 0 && lease.endsAt > now; });
    if (holds)
        this->changedAt = now;
    return this->changedAt && now - *this->changedAt <= reportRepeatPeriod;
}

bool LeasedAllowance::isInUse(TimePoint now) { return this->admittedInWindow.sum(now) > 0; }

} // namespace peridotramp
