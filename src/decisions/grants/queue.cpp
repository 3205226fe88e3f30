#include "queue_p.h"

#include <algorithm>
#include <ranges>

namespace peridotramp {

namespace {

// A caller may call `resume` slightly after the end of its wait because its timer or thread was late.
constexpr Duration abandonDelay = Milliseconds(200);

} // namespace

bool WaitQueue::add(const Waiter& waiter, std::size_t length, std::size_t perSource)
{
    const auto sameSource = static_cast<std::size_t>(
        std::ranges::count(this->waiters | std::views::values, waiter.source, &Waiter::source));
    if (sameSource >= perSource || length == 0)
        return false;
    const auto firstRound = this->waiters.empty() ? 0 : this->waiters.begin()->first.first;
    const Rank rank { firstRound + sameSource, this->arrivals++ };
    if (this->waiters.size() >= length) {
        if (this->waiters.rbegin()->first < rank)
            return false;
        this->remove(this->waiters.rbegin()->second.ticket);
    }
    this->waiters.emplace(rank, waiter);
    this->ranks.emplace(waiter.ticket, rank);
    return true;
}

const WaitQueue::Waiter* WaitQueue::find(TicketId ticket) const
{
    const auto rank = this->ranks.find(ticket);
    return rank == this->ranks.end() ? nullptr : &this->waiters.at(rank->second);
}

void WaitQueue::remove(TicketId ticket)
{
    const auto rank = this->ranks.find(ticket);
    if (rank == this->ranks.end())
        return;
    this->waiters.erase(rank->second);
    this->ranks.erase(rank);
}

void WaitQueue::removeAbandoned(TimePoint now)
{
    std::erase_if(this->waiters, [&](const auto& entry) {
        if (now - entry.second.waitUntil <= abandonDelay)
            return false;
        this->ranks.erase(entry.second.ticket);
        return true;
    });
}

std::int64_t WaitQueue::amountBefore(TicketId ticket) const
{
    std::int64_t amount = 0;
    for (const auto& [rank, waiter] : this->waiters) {
        if (waiter.ticket == ticket)
            break;
        amount += waiter.amount;
    }
    return amount;
}

std::int64_t WaitQueue::largest() const
{
    std::int64_t amount = 0;
    for (const auto& [rank, waiter] : this->waiters)
        amount = std::max(amount, waiter.amount);
    return amount;
}

} // namespace peridotramp
