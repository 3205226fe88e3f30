#include "peridotramp/allowances.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace peridotramp {

namespace {

// Number of requests that a program is expected to send while fewer than `minProgramsForMean` have started in the
// window; otherwise it is the measured mean, at most `maxProgramRequests`.
constexpr double defaultProgramRequests = 10;
constexpr double maxProgramRequests = 40;
constexpr double minProgramsForMean = 5;
// Fraction of their requests that programs started within the usual duration of a program are expected to send still.
// Half would be right on average; a larger value accounts for programs that take longer, which near the limit is most
// of them.
constexpr double remainingFraction = 0.75;
// Maximum number of requests in one loan.
constexpr double maxLoan = 4;
// Time in which all domains receive each other's reports after a silent domain is reachable again: two and a half
// report periods.
constexpr Milliseconds settleTime { 250 };
// Time between two divisions. What leaves the window until the next one can be used by then.
constexpr Milliseconds divisionPeriod { 100 };

// A workspace may be ahead of an even use of its limit by what that takes in this time. At least a small number of
// requests in all, so that what a program sends at once is admitted within a low limit.
constexpr Milliseconds burstPeriod { 1000 };
constexpr double minShortTermLimit = 12;

// Returns a sort key of the domain that changes with the salt. Cheaper than a hash of bytes, as it is calculated for
// each pair of domain and workspace.
std::uint64_t tieBreakerOf(DomainId domain, std::uint64_t salt)
{
    constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15;
    const auto mixed = (domain.value ^ (salt * multiplier)) * multiplier;
    return mixed ^ (mixed >> 32U);
}

double committedOf(const AllowanceUse& use) { return static_cast<double>(use.inWindow) + use.outstanding; }

double reportedOf(const AllowanceUse& use) { return committedOf(use) - use.unreported; }

// Quota that may never be used: what a domain has divided or leased and not admitted yet.
double heldQuotaOf(const AllowanceUse& use) { return static_cast<double>(use.outstanding) - use.unreported; }

double certainUseOf(const AllowanceUse& use) { return committedOf(use) - heldQuotaOf(use); }

} // namespace

double AllowanceSettings::limit() const
{
    return this->rate.value * std::chrono::duration<double>(this->window).count()
        + static_cast<double>(this->burst.value);
}

double AllowanceSettings::shortTermLimit(Duration period) const
{
    const auto evenUse = this->limit() * (std::chrono::duration<double>(period + burstPeriod) / this->window);
    return std::min(this->limit(), std::max(evenUse, minShortTermLimit));
}

double AllowanceSettings::maxFractionWithin(Duration time) const
{
    if (time <= Duration(0))
        return 0;
    const auto period
        = std::ranges::find_if(shortTermPeriods, [&](Milliseconds candidate) { return candidate >= time; });
    return period == shortTermPeriods.end() ? 1 : this->shortTermLimit(*period) / std::max(1.0, this->limit());
}

void QuotaDivision::configure(const AllowanceSettings& newSettings)
{
    if (newSettings == this->settings)
        return;
    // The quota was divided by the old limit; until the next division it is capped by the new one.
    this->requestsLeft = std::min(this->requestsLeft, newSettings.limit());
    this->settings = newSettings;
}

void QuotaDivision::setShares(std::map<DomainId, double> newShares)
{
    this->shares = std::move(newShares);
    std::erase_if(this->reports, [&](const auto& entry) { return !this->shares.contains(entry.first); });
}

QuotaDivision::LastKnownUse QuotaDivision::lastKnown(
    const Reports& domainReports, double (*amountOf)(const AllowanceUse&), TimePoint now) const
{
    LastKnownUse known;
    for (const auto& [coordinator, report] : domainReports) {
        if (now - report.receivedAt <= this->settings.window)
            known = { std::max(known.requests, amountOf(report.use)), std::max(known.receivedAt, report.receivedAt) };
    }
    return known;
}

void QuotaDivision::applyReport(
    DomainId domain, const ReportingInstance& coordinator, const AllowanceUse& use, TimePoint now)
{
    if (domain == this->init.self)
        return;
    auto& domainReports = this->reports[domain];
    if (!this->freshUse(domainReports, now))
        this->reconnections[domain] = { this->usedBySilentDomain(domain, now), now };
    const auto earlier = domainReports.find(coordinator.id);
    const bool isNew
        = earlier == domainReports.end() || earlier->second.coordinator.incarnation != coordinator.incarnation;
    if (isNew && coordinator.uptime < this->settings.window) {
        auto& lastUse = this->usesBeforeRestart[domain];
        const auto known = this->lastKnown(domainReports, reportedOf, now);
        // After another restart within the window, the use before both restarts counts.
        const bool isOld = now - lastUse.receivedAt > this->settings.window;
        lastUse = { known.requests + (isOld ? 0 : lastUse.requests), std::max(known.receivedAt, lastUse.receivedAt) };
    }
    domainReports[coordinator.id] = { use, coordinator, now };
}

std::vector<UseBeforeRestart> QuotaDivision::knownUsesBeforeRestart(TimePoint now) const
{
    std::vector<UseBeforeRestart> list;
    for (const auto& [domain, lastUse] : this->usesBeforeRestart) {
        if (lastUse.requests > 0 && now - lastUse.receivedAt <= this->settings.window)
            list.push_back({ domain, static_cast<std::uint32_t>(std::ceil(lastUse.requests)) });
    }
    return list;
}

std::optional<AllowanceUse> QuotaDivision::freshUse(const Reports& domainReports, TimePoint now) const
{
    std::optional<AllowanceUse> sum;
    for (const auto& [coordinator, report] : domainReports) {
        if (now - report.receivedAt > this->init.silenceTimeout)
            continue;
        if (!sum)
            sum.emplace();
        sum->inWindow += report.use.inWindow;
        std::ranges::transform(
            sum->inShortTerm, report.use.inShortTerm, sum->inShortTerm.begin(), std::plus<std::uint32_t>());
        sum->outstanding += report.use.outstanding;
        sum->unreported += report.use.unreported;
        sum->requested += report.use.requested;
        sum->programsStarted += report.use.programsStarted;
        sum->programsStartedRecently += report.use.programsStartedRecently;
        sum->hasUnmetRequests = sum->hasUnmetRequests || report.use.hasUnmetRequests;
        sum->hasUnmetPrograms = sum->hasUnmetPrograms || report.use.hasUnmetPrograms;
    }
    return sum;
}

double QuotaDivision::usedBySilentDomain(DomainId domain, TimePoint now) const
{
    // It may admit up to its share, or as much as it last reported.
    const auto share = this->shares.find(domain);
    const auto shareOfLimit = share == this->shares.end() ? 0 : share->second * this->settings.limit();
    const auto found = this->reports.find(domain);
    return found == this->reports.end()
        ? shareOfLimit
        : std::max(shareOfLimit, this->lastKnown(found->second, committedOf, now).requests);
}

double QuotaDivision::usedInFleet(TimePoint now) const
{
    double used = certainUseOf(this->own);
    double held = heldQuotaOf(this->own);
    double inWindow = this->own.inWindow;
    // While a domain is silent or returns, the whole overrun that is tolerated may be needed for what it admits.
    bool isEachKnown = this->unreportedUse(now) == 0;
    for (const auto& [domain, share] : this->shares) {
        const auto found = this->reports.find(domain);
        const auto current = found == this->reports.end() ? std::nullopt : this->freshUse(found->second, now);
        const auto reconnection = this->reconnections.find(domain);
        const bool isSettling
            = reconnection != this->reconnections.end() && now - reconnection->second.at <= settleTime;
        isEachKnown = isEachKnown && current && !isSettling;
        if (!current) {
            used += this->usedBySilentDomain(domain, now);
        } else if (isSettling) {
            used += std::max(committedOf(*current), reconnection->second.counted);
        } else {
            used += certainUseOf(*current);
            held += heldQuotaOf(*current);
            inWindow += current->inWindow;
        }
    }
    if (!isEachKnown)
        return used + held;
    const auto leaving = inWindow * (std::chrono::duration<double>(divisionPeriod) / this->settings.window);
    return used - leaving + std::max(0.0, held - this->settings.heldTolerance);
}

double QuotaDivision::usedInShortTerm(std::size_t period, TimePoint now) const
{
    double used = this->own.inShortTerm[period];
    double held = heldQuotaOf(this->own);
    for (const auto& [domain, share] : this->shares) {
        const auto found = this->reports.find(domain);
        const auto current = found == this->reports.end() ? std::nullopt : this->freshUse(found->second, now);
        if (current) {
            used += current->inShortTerm[period];
            held += heldQuotaOf(*current);
        } else {
            used += share * this->settings.shortTermLimit(shortTermPeriods[period]);
        }
    }
    return used + std::max(0.0, held - this->settings.heldTolerance);
}

double QuotaDivision::shortTermRequestsLeft(TimePoint now) const
{
    auto left = std::numeric_limits<double>::max();
    for (std::size_t period = 0; period < shortTermPeriods.size(); ++period) {
        const auto limit = this->settings.shortTermLimit(shortTermPeriods[period]);
        left = std::min(left, limit - this->usedInShortTerm(period, now));
    }
    return left;
}

double QuotaDivision::unreportedUse(TimePoint now) const
{
    return std::accumulate(this->reports.begin(), this->reports.end(), static_cast<double>(this->own.unreported),
        [&](double sum, const auto& entry) {
            const auto use = this->freshUse(entry.second, now);
            return sum + (use ? use->unreported : 0);
        });
}

std::pair<bool, std::uint64_t> QuotaDivision::rankOf(const Claim& claim)
{
    return { claim.hasUnmetDemand, claim.tieBreaker };
}

double QuotaDivision::unassignedUnits(double quota, const std::vector<Claim>& claims)
{
    return std::accumulate(claims.begin(), claims.end(), std::floor(quota),
        [](double unassigned, const Claim& claim) { return unassigned - claim.units; });
}

std::vector<QuotaDivision::Claim> QuotaDivision::claims(double quota, bool AllowanceUse::* unmet, TimePoint now) const
{
    // The order changes with the remaining quota, so that no domain always comes first.
    const auto salt = static_cast<std::uint64_t>(quota);
    // One request is added to the demand of each domain, so that those without demand get a share too.
    std::vector<Claim> claims { { this->init.self, tieBreakerOf(this->init.self, salt), 1.0 + this->own.requested,
        this->own.*unmet } };
    for (const auto& [domain, domainReports] : this->reports) {
        // The share of a silent domain already counts as used.
        if (const auto use = this->freshUse(domainReports, now))
            claims.push_back({ domain, tieBreakerOf(domain, salt), 1.0 + use->requested, (*use).*unmet });
    }
    const auto demand = std::accumulate(
        claims.begin(), claims.end(), 0.0, [](double sum, const Claim& claim) { return sum + claim.demand; });
    for (auto& claim : claims)
        claim.units = std::floor(quota * claim.demand / demand);
    return claims;
}

double QuotaDivision::ownUnits(double quota, bool AllowanceUse::* unmet, TimePoint now) const
{
    if (quota < 1)
        return 0;
    const auto claims = this->claims(quota, unmet, now);
    const auto& ownClaim = claims.front();
    const auto ahead
        = std::ranges::count_if(claims, [&](const Claim& claim) { return rankOf(claim) > rankOf(ownClaim); });
    return ownClaim.units + (static_cast<double>(ahead) < unassignedUnits(quota, claims) ? 1 : 0);
}

double QuotaDivision::programsWithinQuota(double used, TimePoint now) const
{
    double admitted = this->own.inWindow;
    double programsStarted = this->own.programsStarted;
    double inProgress = this->own.programsStartedRecently;
    for (const auto& [domain, domainReports] : this->reports) {
        const auto use = this->freshUse(domainReports, now).value_or(AllowanceUse {});
        admitted += use.inWindow;
        programsStarted += use.programsStarted;
        inProgress += use.programsStartedRecently;
    }
    const auto requests = programsStarted < minProgramsForMean
        ? defaultProgramRequests
        : std::clamp(admitted / programsStarted, 1.0, maxProgramRequests);
    // By the end of the program, a part of the requests that count now has left the window. The use until then lies
    // between that of now and that of the end.
    const auto freed = std::chrono::duration<double>(this->init.programDuration) / this->settings.window;
    const auto free = this->settings.limit() - used * (1 - freed) - inProgress * requests * remainingFraction;
    return std::max(0.0, free / requests);
}

void QuotaDivision::rebalance(const AllowanceUse& newOwn, TimePoint now)
{
    this->own = newOwn;
    const auto used = this->usedInFleet(now);
    this->fleetUnreported = this->unreportedUse(now);
    this->nearLimit = used - this->fleetUnreported > this->settings.limit() * this->init.nearLimitFraction;
    this->fleetUsed = used;
    this->fleetRequestsLeft = std::min(this->settings.limit() - used, this->shortTermRequestsLeft(now));
    this->fleetProgramsLeft = this->programsWithinQuota(used, now);
    this->requestsLeft = this->ownUnits(this->fleetRequestsLeft, &AllowanceUse::hasUnmetRequests, now);
    this->programsLeft = this->ownUnits(this->fleetProgramsLeft, &AllowanceUse::hasUnmetPrograms, now);
}

void QuotaDivision::release()
{
    this->requestsLeft = 0;
    this->programsLeft = 0;
}

bool QuotaDivision::lacksProgramQuota(ProgramStage stage) const
{
    return stage == ProgramStage::Begins && this->nearLimit && this->programsLeft < 1;
}

std::uint32_t QuotaDivision::remainingRequests() const
{
    return static_cast<std::uint32_t>(std::max(0.0, this->requestsLeft));
}

AllowanceLease QuotaDivision::emptyLease() const
{
    AllowanceLease lease;
    lease.used = static_cast<std::uint32_t>(std::max(0.0, this->fleetUsed));
    lease.unreported = static_cast<std::uint32_t>(this->fleetUnreported);
    lease.limit = static_cast<std::uint32_t>(this->settings.limit());
    return lease;
}

bool QuotaDivision::isIsolated(TimePoint now) const
{
    return !this->shares.empty() && std::ranges::none_of(this->reports, [&](const auto& entry) {
        return this->freshUse(entry.second, now).has_value();
    });
}

bool QuotaDivision::hasLongRunningPeer(TimePoint now) const
{
    return std::ranges::any_of(this->reports, [&](const auto& entry) {
        return std::ranges::any_of(entry.second, [&](const auto& report) {
            return now - report.second.receivedAt <= this->init.silenceTimeout
                && report.second.coordinator.uptime >= this->settings.window;
        });
    });
}

std::uint32_t QuotaDivision::take(std::uint32_t maxRequests, ProgramStage stage)
{
    if (this->lacksProgramQuota(stage))
        return 0;
    const auto taken = std::min(maxRequests, this->remainingRequests());
    this->requestsLeft -= taken;
    if (stage == ProgramStage::Begins && taken > 0)
        this->programsLeft -= 1;
    return taken;
}

std::vector<DomainId> QuotaDivision::lenders(ProgramStage stage, TimePoint now) const
{
    const bool forProgram = this->lacksProgramQuota(stage);
    const auto quota = forProgram ? this->fleetProgramsLeft : this->fleetRequestsLeft;
    if (quota < 1 || this->fleetRequestsLeft < 1)
        return {};
    auto claims
        = this->claims(quota, forProgram ? &AllowanceUse::hasUnmetPrograms : &AllowanceUse::hasUnmetRequests, now);
    const auto unassigned = unassignedUnits(quota, claims);
    std::ranges::sort(claims, std::greater<>(), rankOf);
    std::vector<DomainId> found;
    std::ranges::for_each(claims, [&, index = 0.0](const Claim& claim) mutable {
        const bool hasUnits = claim.units + (index++ < unassigned ? 1 : 0) >= 1;
        if (hasUnits && claim.domain != this->init.self)
            found.push_back(claim.domain);
    });
    return found;
}

QuotaLoan QuotaDivision::lend(ProgramStage stage)
{
    const bool begins = stage == ProgramStage::Begins;
    if (this->settings.rate.value <= 0 || this->requestsLeft < 1 || this->lacksProgramQuota(stage))
        return {};
    const auto requests = begins ? 1.0 : std::clamp(std::floor(this->requestsLeft / 2), 1.0, maxLoan);
    this->requestsLeft -= requests;
    this->programsLeft -= begins ? 1 : 0;
    return { static_cast<std::uint32_t>(requests), begins ? 1U : 0U };
}

void QuotaDivision::borrow(QuotaLoan loan)
{
    this->requestsLeft += loan.requests;
    this->programsLeft += loan.programs;
}

} // namespace peridotramp
