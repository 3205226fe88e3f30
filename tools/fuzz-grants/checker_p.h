#pragma once

#include "peridotramp/grants.h"

#include <algorithm>

namespace peridotramp {

/// Checks that permits stay at or below burst + rate * (t2 - t1) in every window [t1, t2].
///
/// No window exceeds the limit if and only if a token bucket of that rate and burst, full at first, can serve the
/// permits in order of time.
class WindowChecker {
public:
    /// Period of a limit: in force at one owner at least from `from` on, and at none after `until`.
    struct LimitPeriod {
        GrantLimit limit {};
        TimePoint from {};
        TimePoint until = TimePoint::max();
    };

    void add(TimePoint at, double amount) { this->permits.emplace_back(at, amount); }

    /// Returns the largest excess of any window over the limit; 0 or less when no window exceeds it.
    double excess(const std::vector<LimitPeriod>& periods)
    {
        std::ranges::sort(this->permits);
        TimePoint at = periods.front().from;
        double level = limitAt(periods, at).burst;
        double maxExcess = -level;
        for (const auto& [time, amount] : this->permits) {
            while (at < time) {
                const auto limit = limitAt(periods, at);
                const auto next = std::min(time, nextChange(periods, at));
                level = std::min(limit.burst, level + limit.rate * std::chrono::duration<double>(next - at).count());
                at = next;
            }
            level = std::min(level, limitAt(periods, at).burst) - amount;
            maxExcess = std::max(maxExcess, -level);
        }
        return maxExcess;
    }

    std::size_t count() const { return this->permits.size(); }

private:
    static GrantLimit limitAt(const std::vector<LimitPeriod>& periods, TimePoint at)
    {
        GrantLimit limit;
        for (const auto& period : periods) {
            if (period.from > at || period.until <= at)
                continue;
            limit.rate = std::max(limit.rate, period.limit.rate);
            limit.burst = std::max(limit.burst, period.limit.burst);
        }
        return limit;
    }

    static TimePoint nextChange(const std::vector<LimitPeriod>& periods, TimePoint at)
    {
        auto next = TimePoint::max();
        for (const auto& period : periods) {
            if (period.from > at)
                next = std::min(next, period.from);
            if (period.until > at)
                next = std::min(next, period.until);
        }
        return next;
    }

    std::vector<std::pair<TimePoint, double>> permits;
};

} // namespace peridotramp
