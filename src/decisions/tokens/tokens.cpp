#include "peridotramp/tokens.h"

#include <algorithm>
#include <numeric>

namespace peridotramp {

namespace {

// Time for which the id of an ended turn is kept, to refuse a late request for its tokens; such requests arrive sooner.
constexpr Seconds endedLife { 30 };

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

TokenVerdict TokenLedger::admit(ProgramId program, const TokenRequest& request, TimePoint now)
{
    auto& account = this->programs[program];
    account.lastUse = now;
    if (account.ended.contains(request.hold))
        return TokenVerdict::Ended;
    if (account.holds.contains(request.hold))
        return TokenVerdict::Covered;
    // Callers state the budget with each turn; the lowest stated value applies.
    account.budget = account.budget.value == 0 ? request.budget : std::min(account.budget, request.budget);
    const auto needed = account.ownUsed + account.setAside + request.most;
    const auto others = sumOf(account.others, &TokenReservation::reserved);
    // If the reservations exceed the budget together, each owner uses only what those of the others leave of it.
    const auto held = std::min(account.ownReserved, account.budget - others);
    if (needed <= held) {
        account.holds.emplace(request.hold, Hold { request.most, request.until });
        account.setAside += request.most;
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
    // Reserving for one more turn saves some appends. A lost instance's reservation counts as spent, so with a larger
    // extra a program could not continue after instances of several failure domains were lost. At most half of the
    // unreserved budget is taken, to leave some for other instances.
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
    // The reservation may have been lowered while the log was read.
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
    auto& known = account.others[record.owner];
    if (known.revision > record.revision)
        return;
    // The program is still used on another instance. Its account must not expire meanwhile, as the reservations of
    // other owners are read from the log only once.
    account.lastUse = now;
    known = record;
}

void TokenLedger::settle(ProgramId program, HoldId hold, TokenCount used, TimePoint now)
{
    auto& account = this->programs[program];
    account.lastUse = now;
    std::erase_if(account.ended, [&](const auto& entry) { return entry.second + endedLife < now; });
    if (!account.ended.emplace(hold, now).second)
        return;
    if (const auto held = account.holds.extract(hold)) {
        account.setAside -= held.mapped().most;
        account.ownUsed += used;
    }
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

bool TokenLedger::hasHolds(TimePoint now) const
{
    return std::ranges::any_of(this->programs, [&](const auto& entry) {
        return std::ranges::any_of(entry.second.holds, [&](const auto& hold) { return hold.second.until >= now; });
    });
}

bool TokenLedger::isReserving(ProgramId program) const
{
    const auto found = this->programs.find(program);
    return found != this->programs.end() && found->second.ownRequested > found->second.ownReserved;
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

TokenAccount TokenLedger::account(ProgramId program, TimePoint now) const
{
    const auto found = this->programs.find(program);
    if (found == this->programs.end())
        return {};
    const auto& account = found->second;
    TokenAccount known;
    known.budget = account.budget;
    known.used = account.ownUsed;
    known.reserved = account.ownReserved;
    known.setAside = account.setAside;
    known.turnsUnderWay = static_cast<int>(account.holds.size());
    known.turnsOverdue = static_cast<int>(
        std::ranges::count_if(account.holds, [&](const auto& entry) { return entry.second.until < now; }));
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
        // A hold whose end was never reported must not keep the account forever.
        const bool isRunning
            = std::ranges::any_of(account.holds, [&](const auto& hold) { return hold.second.until >= before; });
        if (account.lastUse >= before || isRunning)
            return false;
        if (account.ownRevision > 0)
            own.push_back(program);
        return true;
    });
    return own;
}

} // namespace peridotramp
