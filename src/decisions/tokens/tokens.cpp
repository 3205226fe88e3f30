#include "peridotramp/tokens.h"

#include <algorithm>
#include <numeric>

namespace peridotramp {

namespace {

// Time for which the id of an ended turn is kept, to refuse a late request for its tokens; such requests arrive sooner.
constexpr Seconds endedTurnLifetime { 30 };

using OtherReservations = std::map<std::string, TokenReservation>;

TokenCount sumOf(const OtherReservations& others, TokenCount TokenReservation::* amount)
{
    return std::accumulate(others.begin(), others.end(), TokenCount {},
        [&](TokenCount sum, const auto& entry) { return sum + entry.second.*amount; });
}

} // namespace

TokenLedger::TokenLedger(Init init)
    : init(std::move(init))
{
}

TokenAdmission TokenLedger::admit(ProgramId program, const TokenRequest& request, TimePoint now)
{
    auto& account = this->programs[program];
    account.lastUse = now;
    if (account.ended.contains(request.hold))
        return TokenAdmission::Ended;
    if (account.holds.contains(request.hold))
        return TokenAdmission::Admitted;
    // Callers state the budget with each turn; the lowest stated value applies.
    account.budget = account.budget.value == 0 ? request.budget : std::min(account.budget, request.budget);
    const auto needed = account.ownUsed + account.held + request.maxTokens;
    const auto others = sumOf(account.others, &TokenReservation::reserved);
    // If the reservations exceed the budget together, each owner uses only what those of the others leave of it.
    const auto available = std::min(account.ownReserved, account.budget - others);
    if (needed <= available) {
        account.holds.emplace(request.hold, Hold { request.maxTokens, request.deadline });
        account.held += request.maxTokens;
        account.ownUse = now;
        return TokenAdmission::Admitted;
    }
    if (others + needed <= account.budget)
        return TokenAdmission::Reserve;
    const auto usedByOthers = sumOf(account.others, &TokenReservation::used);
    return usedByOthers + needed <= account.budget ? TokenAdmission::Reclaim : TokenAdmission::Exhausted;
}

TokenReservation TokenLedger::prepareReservation(ProgramId program, TokenCount maxTokens)
{
    auto& account = this->programs[program];
    const auto needed = std::max(account.ownUsed + account.held + maxTokens, account.ownReserved);
    const auto unreserved = account.budget - sumOf(account.others, &TokenReservation::reserved) - needed;
    // Reserving for one more turn saves some appends. A lost instance's reservation counts as spent, so with a larger
    // extra a program could not continue after instances of several failure domains were lost. At most half of the
    // unreserved budget is taken, to leave some for other instances.
    const TokenCount extra { std::min(maxTokens.value, std::max<std::int64_t>(0, unreserved.value) / 2) };
    account.ownRequested = needed + extra;
    account.ownRecordedUse = account.lastUse;
    return { program, this->init.owner, account.ownRequested, account.ownUsed, ++account.ownRevision };
}

std::vector<TokenReservation> TokenLedger::knownReservations(ProgramId program) const
{
    std::vector<TokenReservation> list;
    const auto found = this->programs.find(program);
    if (found == this->programs.end())
        return list;
    const auto& account = found->second;
    std::ranges::transform(account.others, std::back_inserter(list), [](const auto& entry) { return entry.second; });
    const auto reserved = std::max(account.ownReserved, account.ownRequested);
    if (account.ownRevision > 0)
        list.push_back({ program, this->init.owner, reserved, account.ownUsed, account.ownRevision });
    return list;
}

std::vector<ProgramId> TokenLedger::programsWhere(const std::function<bool(ProgramId)>& isWanted) const
{
    std::vector<ProgramId> list;
    for (const auto& [program, account] : this->programs) {
        if (isWanted(program))
            list.push_back(program);
    }
    return list;
}

void TokenLedger::confirm(const TokenReservation& record)
{
    auto& account = this->programs[record.program];
    // The reservation may have been lowered while the log was read.
    if (account.ownRevision != record.revision)
        return;
    account.ownReserved = record.reserved;
    account.ownUncertain = false;
}

void TokenLedger::markUncertain(ProgramId program)
{
    auto& account = this->programs[program];
    account.ownUncertain = true;
    account.ownRecordedUse = {};
}

bool TokenLedger::apply(const TokenReservation& record, TimePoint now)
{
    if (record.owner == this->init.owner)
        return false;
    auto& account = this->programs[record.program];
    auto& known = account.others[record.owner];
    if (known.revision > record.revision)
        return false;
    if (known.revision == record.revision)
        return false;
    // The program is still used on another instance. Its account must not expire meanwhile, as the reservations of
    // other owners are read from the log only once.
    account.lastUse = now;
    known = record;
    return true;
}

void TokenLedger::settle(ProgramId program, HoldId hold, TokenCount used, TimePoint now)
{
    auto& account = this->programs[program];
    account.lastUse = now;
    std::erase_if(account.ended, [&](const auto& entry) { return entry.second + endedTurnLifetime < now; });
    if (!account.ended.emplace(hold, now).second)
        return;
    if (const auto released = account.holds.extract(hold)) {
        account.held -= released.mapped().maxTokens;
        account.ownUsed += used;
        account.ownUse = now;
    }
}

std::optional<TokenReservation> TokenLedger::releaseUnused(ProgramId program, TimePoint now)
{
    const auto found = this->programs.find(program);
    if (found == this->programs.end())
        return std::nullopt;
    auto& account = found->second;
    const auto needed = account.ownUsed + account.held;
    if (account.ownReserved <= needed && !account.ownUncertain)
        return std::nullopt;
    account.lastUse = now;
    account.ownRecordedUse = now;
    account.ownReserved = std::min(account.ownReserved, needed);
    account.ownRequested = account.ownReserved;
    account.ownUncertain = false;
    return TokenReservation { program, this->init.owner, account.ownReserved, account.ownUsed, ++account.ownRevision };
}

bool TokenLedger::hasActiveHolds(TimePoint now) const
{
    return std::ranges::any_of(this->programs, [&](const auto& entry) {
        return std::ranges::any_of(entry.second.holds, [&](const auto& hold) { return hold.second.deadline >= now; });
    });
}

bool TokenLedger::hasPendingReservation(ProgramId program) const
{
    const auto found = this->programs.find(program);
    return found != this->programs.end() && found->second.ownRequested > found->second.ownReserved;
}

std::vector<std::string> TokenLedger::ownersWithUnused(ProgramId program) const
{
    std::vector<std::string> owners;
    const auto found = this->programs.find(program);
    if (found == this->programs.end())
        return owners;
    for (const auto& [owner, record] : found->second.others) {
        if (record.used < record.reserved)
            owners.push_back(owner);
    }
    return owners;
}

TokenAccount TokenLedger::account(ProgramId program, TimePoint now) const
{
    const auto found = this->programs.find(program);
    if (found == this->programs.end())
        return {};
    const auto& account = found->second;
    TokenAccount usage;
    usage.budget = account.budget;
    usage.used = account.ownUsed;
    usage.reserved = account.ownReserved;
    usage.held = account.held;
    usage.turnsInProgress = static_cast<int>(account.holds.size());
    usage.overdueTurns = static_cast<int>(
        std::ranges::count_if(account.holds, [&](const auto& entry) { return entry.second.deadline < now; }));
    std::ranges::transform(
        account.others, std::back_inserter(usage.others), [](const auto& entry) { return entry.second; });
    return usage;
}

bool TokenLedger::hasBegun(ProgramId program) const
{
    const auto found = this->programs.find(program);
    if (found == this->programs.end())
        return false;
    const auto& account = found->second;
    return account.ownUsed.value > 0 || account.held.value > 0 || !account.others.empty();
}

RevisionRange TokenLedger::supersededBy(const TokenReservation& record) const
{
    const auto found = this->programs.find(record.program);
    const auto first = found == this->programs.end() ? record.revision : found->second.ownOldestRevision;
    return { std::min(first, record.revision), record.revision };
}

void TokenLedger::markSupersededDeleted(const TokenReservation& record)
{
    if (const auto found = this->programs.find(record.program); found != this->programs.end())
        found->second.ownOldestRevision = std::max(found->second.ownOldestRevision, record.revision);
}

std::vector<TokenReservation> TokenLedger::renew(
    TimePoint recordedBefore, const std::function<bool(ProgramId)>& isReserving)
{
    std::vector<TokenReservation> renewed;
    for (auto& [program, account] : this->programs) {
        const bool isDue = account.ownUse > account.ownRecordedUse && account.ownRecordedUse <= recordedBefore;
        if (!isDue || account.ownRevision == 0 || isReserving(program))
            continue;
        account.ownRecordedUse = account.ownUse;
        const auto reserved = std::max(account.ownReserved, account.ownRequested);
        renewed.push_back({ program, this->init.owner, reserved, account.ownUsed, ++account.ownRevision });
    }
    return renewed;
}

bool TokenLedger::isExpirable(const Account& account, TimePoint before)
{
    // A hold whose end was never reported must not keep the account forever.
    const bool isInProgress
        = std::ranges::any_of(account.holds, [&](const auto& hold) { return hold.second.deadline >= before; });
    return account.lastUse < before && !isInProgress;
}

std::vector<ProgramId> TokenLedger::expirable(TimePoint before) const
{
    std::vector<ProgramId> list;
    for (const auto& [program, account] : this->programs) {
        if (isExpirable(account, before))
            list.push_back(program);
    }
    return list;
}

std::vector<ExpiredProgram> TokenLedger::expire(TimePoint before, const std::function<bool(ProgramId)>& mayExpire)
{
    std::vector<ExpiredProgram> own;
    std::erase_if(this->programs, [&](const auto& entry) {
        const auto& [program, account] = entry;
        if (!isExpirable(account, before) || !mayExpire(program))
            return false;
        if (account.ownRevision > 0)
            // All revisions: an append that took effect late may have restored a record that was deleted before.
            own.push_back({ program, { 1, account.ownRevision + 1 } });
        return true;
    });
    return own;
}

} // namespace peridotramp
