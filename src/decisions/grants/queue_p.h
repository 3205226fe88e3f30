#pragma once

#include "peridotramp/grants.h"

namespace peridotramp {

/// Short queue in front of an empty bucket. Sources take turns, so that one with many requests does not hold up others.
class WaitQueue {
public:
    struct Waiter {
        TicketId ticket {};
        GrantSource source {};
        std::int64_t amount = 0;
        /// When the request is refused at the latest.
        TimePoint limit {};
        TimePoint deadline {};
    };

    /// Adds a request; returns false when the queue or the source's part of it is full. A request with an earlier turn
    /// displaces the last one of a full queue.
    bool add(const Waiter& waiter, std::size_t length, std::size_t perSource);
    const Waiter* find(TicketId ticket) const;
    void remove(TicketId ticket);
    /// Removes requests whose limit passed without anyone asking for them again.
    void removeAbandoned(TimePoint now);
    /// Returns the amount that waits before this ticket, or of the whole queue when the ticket is not in it.
    std::int64_t amountBefore(TicketId ticket) const;
    std::int64_t total() const { return this->amountBefore(TicketId {}); }
    std::int64_t largest() const;
    std::size_t size() const { return this->waiters.size(); }
    bool empty() const { return this->waiters.empty(); }

private:
    /// Turn of the source, then order of arrival.
    using Rank = std::pair<std::uint64_t, std::uint64_t>;

    std::map<Rank, Waiter> waiters;
    std::map<TicketId, Rank> ranks;
    std::uint64_t arrivals = 0;
};

} // namespace peridotramp
