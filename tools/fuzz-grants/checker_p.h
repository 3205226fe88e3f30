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
    struct Force {
        GrantLimit limit {};
        TimePoint from {};
        TimePoint until = TimePoint::max();
    };

    void add(TimePoint at, double amount) { this->given.emplace_back(at, amount); }

    /// Returns the largest excess of any window over the limit; 0 or less when no window exceeds it.
    double excess(const std::vector<Force>& forces)
    {
        std::ranges::sort(this->given);
        TimePoint at = forces.front().from;
        double level = limitAt(forces, at).burst;
        double worst = -level;
        for (const auto& [time, amount] : this->given) {
            while (at < time) {
                const auto limit = limitAt(forces, at);
                const auto next = std::min(time, nextChange(forces, at));
                level = std::min(limit.burst, level + limit.rate * std::chrono::duration<double>(next - at).count());
                at = next;
            }
            level = std::min(level, limitAt(forces, at).burst) - amount;
            worst = std::max(worst, -level);
        }
        return worst;
    }

    std::size_t count() const { return this->given.size(); }

private:
    static GrantLimit limitAt(const std::vector<Force>& forces, TimePoint at)
    {
        GrantLimit limit;
        for (const auto& force : forces) {
            if (force.from > at || force.until <= at)
                continue;
            limit.rate = std::max(limit.rate, force.limit.rate);
            limit.burst = std::max(limit.burst, force.limit.burst);
        }
        return limit;
    }

    static TimePoint nextChange(const std::vector<Force>& forces, TimePoint at)
    {
        auto next = TimePoint::max();
        for (const auto& force : forces) {
            if (force.from > at)
                next = std::min(next, force.from);
            if (force.until > at)
                next = std::min(next, force.until);
        }
        return next;
    }

    std::vector<std::pair<TimePoint, double>> given;
};

} // namespace peridotramp
