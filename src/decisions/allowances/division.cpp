#include "peridotramp/allowances.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace peridotramp {

namespace {

// Number of requests that a program is expected to send while fewer than `enoughPrograms` have started in the window;
// otherwise it is the measured mean, at most `mostRequests`.
constexpr double usualRequests = 10;
constexpr double mostRequests = 40;
constexpr double enoughPrograms = 5;
// Fraction of their requests that programs started within the usual duration of a program are expected to send still.
// Half would be right on average; a larger value accounts for programs that take longer, which near the limit is most
// of them.
constexpr double partToCome = 0.75;
// Maximum number of requests in one loan.
constexpr double mostLent = 4;
// Time in which all domains receive each other's reports after a silent domain is reachable again: two and a half
// report periods.
constexpr Milliseconds settleTime { 250 };

// Returns a sort key of the domain that changes with the salt. Cheaper than a hash of bytes, as it is calculated for
// each pair of domain and workspace.
std::uint64_t orderOf(DomainId domain, std::uint64_t salt)
{
    constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15;
    const auto mixed = (domain.value ^ (salt * multiplier)) * multiplier;
    return mixed ^ (mixed >> 32U);
}

double heldOf(const AllowanceUse& use) { return static_cast<double>(use.inWindow) + use.outstanding; }

double reportedOf(const AllowanceUse& use) { return heldOf(use) - use.uncertain; }

} // namespace

double AllowanceTerms::limit() const
{
    return this->rate.value * std::chrono::duration<double>(this->window).count()
        + static_cast<double>(this->burst.value);
}

void RoomDivision::setTerms(const AllowanceTerms& newTerms)
{
    if (newTerms == this->terms)
        return;
    // The quota was divided by the old limit; until the next division it is capped by the new one.
    this->left = std::min(this->left, newTerms.limit());
    this->terms = newTerms;
}

void RoomDivision::setShares(std::map<DomainId, double> newShares)
{
    this->shares = std::move(newShares);
    std::erase_if(this->reports, [&](const auto& entry) { return !this->shares.contains(entry.first); });
}

RoomDivision::Memory RoomDivision::lastKnown(
    const Reports& domainReports, double (*held)(const AllowanceUse&), TimePoint now) const
{
    Memory known;
    for (const auto& [coordinator, report] : domainReports) {
        if (now - report.heardAt <= this->terms.window)
            known = { std::max(known.held, held(report.use)), std::max(known.heardAt, report.heardAt) };
    }
    return known;
}

void RoomDivision::hear(DomainId domain, const ReportingInstance& coordinator, const AllowanceUse& use, TimePoint now)
{
    if (domain == this->init.self)
        return;
    auto& domainReports = this->reports[domain];
    if (!this->freshUse(domainReports, now))
        this->returns[domain] = { this->usedBySilent(domain, now), now };
    const auto earlier = domainReports.find(coordinator.id);
    const bool isNew
        = earlier == domainReports.end() || earlier->second.coordinator.incarnation != coordinator.incarnation;
    if (isNew && coordinator.uptime < this->terms.window) {
        auto& memory = this->memories[domain];
        const auto known = this->lastKnown(domainReports, reportedOf, now);
        // After another restart within the window, the use before both restarts counts.
        const bool isOld = now - memory.heardAt > this->terms.window;
        memory = { known.held + (isOld ? 0 : memory.held), std::max(known.heardAt, memory.heardAt) };
    }
    domainReports[coordinator.id] = { use, coordinator, now };
}

std::vector<RememberedUse> RoomDivision::remembered(TimePoint now) const
{
    std::vector<RememberedUse> list;
    for (const auto& [domain, memory] : this->memories) {
        if (memory.held > 0 && now - memory.heardAt <= this->terms.window)
            list.push_back({ domain, static_cast<std::uint32_t>(std::ceil(memory.held)) });
    }
    return list;
}

std::optional<AllowanceUse> RoomDivision::freshUse(const Reports& domainReports, TimePoint now) const
{
    std::optional<AllowanceUse> sum;
    for (const auto& [coordinator, report] : domainReports) {
        if (now - report.heardAt > this->init.silence)
            continue;
        if (!sum)
            sum.emplace();
        sum->inWindow += report.use.inWindow;
        sum->outstanding += report.use.outstanding;
        sum->uncertain += report.use.uncertain;
        sum->asked += report.use.asked;
        sum->begun += report.use.begun;
        sum->begunRecently += report.use.begunRecently;
        sum->wantsRequests = sum->wantsRequests || report.use.wantsRequests;
        sum->wantsPrograms = sum->wantsPrograms || report.use.wantsPrograms;
    }
    return sum;
}

double RoomDivision::usedBySilent(DomainId domain, TimePoint now) const
{
    // It may admit up to its share, or as much as it last reported.
    const auto share = this->shares.find(domain);
    const auto part = share == this->shares.end() ? 0 : share->second * this->terms.limit();
    const auto found = this->reports.find(domain);
    return found == this->reports.end() ? part : std::max(part, this->lastKnown(found->second, heldOf, now).held);
}

double RoomDivision::usedByOthers(TimePoint now) const
{
    double used = 0;
    for (const auto& [domain, share] : this->shares) {
        const auto found = this->reports.find(domain);
        const auto fresh = found == this->reports.end() ? std::nullopt : this->freshUse(found->second, now);
        if (!fresh) {
            used += this->usedBySilent(domain, now);
            continue;
        }
        const auto returned = this->returns.find(domain);
        const bool settling = returned != this->returns.end() && now - returned->second.at <= settleTime;
        used += std::max(heldOf(*fresh), settling ? returned->second.counted : 0);
    }
    return used;
}

double RoomDivision::uncertainUse(TimePoint now) const
{
    return std::accumulate(this->reports.begin(), this->reports.end(), static_cast<double>(this->own.uncertain),
        [&](double sum, const auto& entry) {
            const auto use = this->freshUse(entry.second, now);
            return sum + (use ? use->uncertain : 0);
        });
}

std::pair<bool, std::uint64_t> RoomDivision::rankOf(const Claim& claim) { return { claim.wants, claim.order }; }

double RoomDivision::restOf(double room, const std::vector<Claim>& claims)
{
    return std::accumulate(claims.begin(), claims.end(), std::floor(room),
        [](double rest, const Claim& claim) { return rest - claim.part; });
}

std::vector<RoomDivision::Claim> RoomDivision::claims(double room, bool AllowanceUse::* wants, TimePoint now) const
{
    // The order changes with the remaining quota, so that no domain always comes first.
    const auto salt = static_cast<std::uint64_t>(room);
    // One request is added to the demand of each domain, so that those without demand get a share too.
    std::vector<Claim> claims { { this->init.self, orderOf(this->init.self, salt), 1.0 + this->own.asked,
        this->own.*wants } };
    for (const auto& [domain, domainReports] : this->reports) {
        // The share of a silent domain already counts as used.
        if (const auto use = this->freshUse(domainReports, now))
            claims.push_back({ domain, orderOf(domain, salt), 1.0 + use->asked, (*use).*wants });
    }
    const auto demand = std::accumulate(
        claims.begin(), claims.end(), 0.0, [](double sum, const Claim& claim) { return sum + claim.demand; });
    for (auto& claim : claims)
        claim.part = std::floor(room * claim.demand / demand);
    return claims;
}

double RoomDivision::ownPart(double room, bool AllowanceUse::* wants, TimePoint now) const
{
    if (room < 1)
        return 0;
    const auto claims = this->claims(room, wants, now);
    const auto& ownClaim = claims.front();
    const auto ahead
        = std::ranges::count_if(claims, [&](const Claim& claim) { return rankOf(claim) > rankOf(ownClaim); });
    return ownClaim.part + (static_cast<double>(ahead) < restOf(room, claims) ? 1 : 0);
}

double RoomDivision::roomForPrograms(double used, TimePoint now) const
{
    double admitted = this->own.inWindow;
    double begun = this->own.begun;
    double underWay = this->own.begunRecently;
    for (const auto& [domain, domainReports] : this->reports) {
        const auto use = this->freshUse(domainReports, now).value_or(AllowanceUse {});
        admitted += use.inWindow;
        begun += use.begun;
        underWay += use.begunRecently;
    }
    const auto requests = begun < enoughPrograms ? usualRequests : std::clamp(admitted / begun, 1.0, mostRequests);
    // While a program runs, a part of the requests that count now leaves the window.
    const auto freed = std::chrono::duration<double>(this->init.programTime) / this->terms.window / 2;
    const auto free = this->terms.limit() - used * (1 - freed) - underWay * requests * partToCome;
    return std::max(0.0, free / requests);
}

void RoomDivision::rebalance(const AllowanceUse& newOwn, TimePoint now)
{
    this->own = newOwn;
    const auto used = this->usedByOthers(now) + heldOf(this->own);
    this->fleetUncertain = this->uncertainUse(now);
    this->pressed = used - this->fleetUncertain > this->terms.limit() * this->init.pressure;
    this->fleetLeft = this->terms.limit() - used;
    this->fleetProgramsLeft = this->roomForPrograms(used, now);
    this->left = this->ownPart(this->fleetLeft, &AllowanceUse::wantsRequests, now);
    this->programsLeft = this->ownPart(this->fleetProgramsLeft, &AllowanceUse::wantsPrograms, now);
}

void RoomDivision::release()
{
    this->left = 0;
    this->programsLeft = 0;
}

bool RoomDivision::lacksProgramRoom(ProgramStage stage) const
{
    return stage == ProgramStage::Begins && this->pressed && this->programsLeft < 1;
}

std::uint32_t RoomDivision::roomLeft() const { return static_cast<std::uint32_t>(std::max(0.0, this->left)); }

AllowanceLease RoomDivision::describe() const
{
    AllowanceLease lease;
    lease.used = static_cast<std::uint32_t>(std::max(0.0, this->terms.limit() - this->fleetLeft));
    lease.uncertain = static_cast<std::uint32_t>(this->fleetUncertain);
    lease.limit = static_cast<std::uint32_t>(this->terms.limit());
    return lease;
}

bool RoomDivision::isAlone(TimePoint now) const
{
    return !this->shares.empty() && std::ranges::none_of(this->reports, [&](const auto& entry) {
        return this->freshUse(entry.second, now).has_value();
    });
}

bool RoomDivision::hasWitness(TimePoint now) const
{
    return std::ranges::any_of(this->reports, [&](const auto& entry) {
        return std::ranges::any_of(entry.second, [&](const auto& report) {
            return now - report.second.heardAt <= this->init.silence
                && report.second.coordinator.uptime >= this->terms.window;
        });
    });
}

std::uint32_t RoomDivision::take(std::uint32_t most, ProgramStage stage)
{
    if (this->lacksProgramRoom(stage))
        return 0;
    const auto taken = std::min(most, this->roomLeft());
    this->left -= taken;
    if (stage == ProgramStage::Begins && taken > 0)
        this->programsLeft -= 1;
    return taken;
}

std::vector<DomainId> RoomDivision::lenders(ProgramStage stage, TimePoint now) const
{
    const bool forProgram = this->lacksProgramRoom(stage);
    const auto room = forProgram ? this->fleetProgramsLeft : this->fleetLeft;
    if (room < 1 || this->fleetLeft < 1)
        return {};
    auto claims = this->claims(room, forProgram ? &AllowanceUse::wantsPrograms : &AllowanceUse::wantsRequests, now);
    const auto rest = restOf(room, claims);
    std::ranges::sort(claims, std::greater<>(), rankOf);
    std::vector<DomainId> found;
    std::ranges::for_each(claims, [&, index = 0.0](const Claim& claim) mutable {
        const bool hasUnits = claim.part + (index++ < rest ? 1 : 0) >= 1;
        if (hasUnits && claim.domain != this->init.self)
            found.push_back(claim.domain);
    });
    return found;
}

AllowanceRoom RoomDivision::lend(ProgramStage stage)
{
    const bool begins = stage == ProgramStage::Begins;
    if (this->terms.rate.value <= 0 || this->left < 1 || this->lacksProgramRoom(stage))
        return {};
    const auto requests = begins ? 1.0 : std::clamp(std::floor(this->left / 2), 1.0, mostLent);
    this->left -= requests;
    this->programsLeft -= begins ? 1 : 0;
    return { static_cast<std::uint32_t>(requests), begins ? 1U : 0U };
}

void RoomDivision::borrow(AllowanceRoom room)
{
    this->left += room.requests;
    this->programsLeft += room.programs;
}

} // namespace peridotramp
