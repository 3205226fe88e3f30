#include "peridotramp/tokens.h"

#include <algorithm>
#include <numeric>

namespace peridotramp {

namespace {

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

TokenVerdict TokenLedger::admit(ProgramId program, TokenCount budget, TokenCount most, TimePoint now)
{
    auto& account = this->programs[program];
    account.lastUse = now;
    // Callers state the budget with each turn; the least that was stated binds.
    account.budget = account.budget.value == 0 ? budget : std::min(account.budget, budget);
    const auto needed = account.ownUsed + account.setAside + most;
    const auto others = sumOf(account.others, &TokenReservation::reserved);
    // Of two reservations that exceed the budget together, neither is handed out beyond what the other leaves.
    const auto held = std::min(account.ownReserved, account.budget - others);
    if (needed <= held) {
        account.setAside += most;
        ++account.turnsUnderWay;
        return TokenVerdict::Covered;
    }
    if (others + needed <= account.budget)
        return TokenVerdict::Reserve;
    const auto usedByOthers = sumOf(account.others, &TokenReservation::used);
    return usedByOthers + needed <= account.budget ? TokenVerdict::Reclaim : TokenVerdict::Spent;
}

TokenReservation TokenLedger::request(ProgramId program, TokenCount most)
{
    auto& account = this->programs[program];
    const auto needed = std::max(account.ownUsed + account.setAside + most, account.ownReserved);
    const auto unheld = account.budget - sumOf(account.others, &TokenReservation::reserved) - needed;
    // Room for one more turn spares some reservations. A lost instance's reservation counts as spent, so more than that
    // keeps a program from going on after instances of several failure domains were lost. At most half of what nobody
    // holds, so that other instances still find room.
    const TokenCount extra { std::min(most.value, std::max<std::int64_t>(0, unheld.value) / 2) };
    account.ownRequested = needed + extra;
    return { program, this->init.owner, account.ownRequested, account.ownUsed, ++account.ownRevision };
}

std::vector<TokenReservation> TokenLedger::known(ProgramId program) const
{
    std::vector<TokenReservation> list;
    const auto found = this->programs.find(program);
    if (found == this->programs.end())
        return list;
    const auto& account = found->second;
    std::ranges::transform(account.others, std::back_inserter(list), [](const auto& entry) { return entry.second; });
    const auto held = std::max(account.ownReserved, account.ownRequested);
    if (account.ownRevision > 0)
        list.push_back({ program, this->init.owner, held, account.ownUsed, account.ownRevision });
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
    // Tokens may have been given back while the log was read.
    if (account.ownRevision != record.revision)
        return;
    account.ownReserved = record.reserved;
    account.ownUncertain = false;
}

void TokenLedger::abandon(ProgramId program) { this->programs[program].ownUncertain = true; }

void TokenLedger::apply(const TokenReservation& record, TimePoint now)
{
    if (record.owner == this->init.owner)
        return;
    auto& account = this->programs[record.program];
    if (account.lastUse == TimePoint {})
        account.lastUse = now;
    auto& known = account.others[record.owner];
    if (known.revision <= record.revision)
        known = record;
}

void TokenLedger::settle(ProgramId program, TokenCount most, TokenCount used, TimePoint now)
{
    const auto found = this->programs.find(program);
    if (found == this->programs.end())
        return;
    auto& account = found->second;
    account.setAside -= most;
    --account.turnsUnderWay;
    account.ownUsed += used;
    account.lastUse = now;
}

std::optional<TokenReservation> TokenLedger::giveBack(ProgramId program, TimePoint now)
{
    const auto found = this->programs.find(program);
    if (found == this->programs.end())
        return std::nullopt;
    auto& account = found->second;
    const auto needed = account.ownUsed + account.setAside;
    if (account.ownReserved <= needed && !account.ownUncertain)
        return std::nullopt;
    account.lastUse = now;
    account.ownReserved = std::min(account.ownReserved, needed);
    account.ownRequested = account.ownReserved;
    account.ownUncertain = false;
    return TokenReservation { program, this->init.owner, account.ownReserved, account.ownUsed, ++account.ownRevision };
}

std::vector<std::string> TokenLedger::holders(ProgramId program) const
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

TokenAccount TokenLedger::account(ProgramId program) const
{
    const auto found = this->programs.find(program);
    if (found == this->programs.end())
        return {};
    const auto& account = found->second;
    TokenAccount known { account.budget, account.ownUsed, account.ownReserved, account.setAside, account.turnsUnderWay,
        {} };
    std::ranges::transform(
        account.others, std::back_inserter(known.others), [](const auto& entry) { return entry.second; });
    return known;
}

bool TokenLedger::hasBegun(ProgramId program) const
{
    const auto found = this->programs.find(program);
    if (found == this->programs.end())
        return false;
    const auto& account = found->second;
    return account.ownUsed.value > 0 || account.setAside.value > 0 || !account.others.empty();
}

std::vector<ProgramId> TokenLedger::expire(TimePoint before)
{
    std::vector<ProgramId> own;
    std::erase_if(this->programs, [&](const auto& entry) {
        const auto& [program, account] = entry;
        if (account.lastUse >= before || account.setAside.value > 0)
            return false;
        if (account.ownRevision > 0)
            own.push_back(program);
        return true;
    });
    return own;
}

} // namespace peridotramp
