#pragma once

#include "peridotramp/grants.h"

namespace peridotramp {

/// Bounded queue of requests that wait for a bucket to fill. Sources are served round-robin, so that one with many
/// requests does not block others.
class WaitQueue {
public:
    struct Waiter {
        TicketId ticket {};
        GrantSource source {};
        std::int64_t amount = 0;
        /// End of the wait in the queue: the deadline, or `Limits::maxQueueWait` after the request if that is earlier.
        /// The request is refused with `RateExceeded` if its amount will not be available by then.
        TimePoint waitUntil {};
        /// Time after which the caller wants no permit; the request is then refused with `DeadlineExceeded`.
        TimePoint deadline {};
    };

    /// Adds a request; returns false when the queue is full or the source has too many requests in it. A request of an
    /// earlier round displaces the last one of a full queue.
    bool add(const Waiter& waiter, std::size_t length, std::size_t perSource);
    const Waiter* find(TicketId ticket) const;
    void remove(TicketId ticket);
    /// Removes requests for which `resume` was not called by the end of their wait.
    void removeAbandoned(TimePoint now);
    /// Returns the sum of the amounts ahead of this ticket, or of the whole queue if the ticket is not in it.
    std::int64_t amountBefore(TicketId ticket) const;
    std::int64_t total() const { return this->amountBefore(TicketId {}); }
    std::int64_t largest() const;
    std::size_t size() const { return this->waiters.size(); }
    bool empty() const { return this->waiters.empty(); }

private:
    /// Round-robin round of the request, then order of arrival.
    using Rank = std::pair<std::uint64_t, std::uint64_t>;

    std::map<Rank, Waiter> waiters;
    std::map<TicketId, Rank> ranks;
    std::uint64_t arrivals = 0;
};

} // namespace peridotramp
