#include "peridotramp/allowances.h"

#include <algorithm>
#include <numeric>

namespace peridotramp {

namespace {

// The next lease covers as many requests as were received within this time.
constexpr Milliseconds demandWindow { 500 };
// Maximum size of a requested lease; a larger one would be wasted when the demand ends.
constexpr std::uint32_t mostWanted = 8;
// Time for which a change is reported repeatedly, as datagrams may be lost.
constexpr Milliseconds reportAgain { 500 };

} // namespace

LeasedAllowance::LeasedAllowance(const AllowanceTerms& terms)
    : terms(terms)
    , admittedInWindow(terms.window)
    , askedLately(demandWindow)
{
}

void LeasedAllowance::setTerms(const AllowanceTerms& newTerms) { this->terms = newTerms; }

void LeasedAllowance::setFleet(std::size_t newInstances, bool coordinated, TimePoint now)
{
    this->instances = std::max<std::size_t>(newInstances, 1);
    if (this->isCoordinated && !coordinated) {
        this->aloneSince = now;
        this->levelWhenAlone = this->admittedInWindow.sum(now);
    }
    this->isCoordinated = coordinated;
}

bool LeasedAllowance::admit(TimePoint now, ProgramStage stage)
{
    ++this->use.asked;
    this->askedLately.add(now, 1);
    this->changedAt = now;
    return this->admitWaiting(now, stage);
}

bool LeasedAllowance::mayGoOnAlone(TimePoint now)
{
    if (this->isCoordinated)
        return false;
    const bool roomWasMade = now - this->aloneSince >= this->terms.window;
    const auto part = roomWasMade ? this->terms.limit() / static_cast<double>(this->instances)
                                  : static_cast<double>(this->levelWhenAlone);
    return this->admittedInWindow.sum(now) + 1 <= part;
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

bool LeasedAllowance::admitWaiting(TimePoint now, ProgramStage stage)
{
    if (this->terms.rate.value > 0 && !this->takeFromLeases(now, stage) && !this->mayGoOnAlone(now))
        return false;
    if (stage == ProgramStage::Begins)
        ++this->use.begun;
    ++this->use.admitted;
    this->admittedInWindow.add(now, 1);
    this->changedAt = now;
    return true;
}

std::uint32_t LeasedAllowance::wanted(TimePoint now) { return std::clamp(this->askedLately.sum(now), 1U, mostWanted); }

void LeasedAllowance::add(const AllowanceLease& lease, TimePoint now)
{
    if (lease.requests > 0)
        this->leases.push_back({ lease.requests, lease.programs, now + leaseLife });
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
    return this->changedAt && now - *this->changedAt <= reportAgain;
}

bool LeasedAllowance::isInUse(TimePoint now) { return this->admittedInWindow.sum(now) > 0; }

} // namespace peridotramp
