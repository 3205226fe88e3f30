#include "peridotramp/allowances.h"

#include <algorithm>
#include <utility>

namespace peridotramp {

SlidingWindowCounter::SlidingWindowCounter(Duration window)
    : slotLength(window / slotCount)
{
}

void SlidingWindowCounter::advance(TimePoint now)
{
    const auto number = now.time_since_epoch() / this->slotLength;
    const auto passed = std::min<std::int64_t>(number - this->newest, static_cast<std::int64_t>(this->slots.size()));
    for (std::int64_t step = passed; step > 0; --step)
        this->total -= std::exchange(this->slotAt(number - step + 1), 0);
    this->newest = std::max(this->newest, number);
}

std::uint32_t& SlidingWindowCounter::slotAt(std::int64_t number)
{
    return this->slots[static_cast<std::size_t>(number) % this->slots.size()];
}

void SlidingWindowCounter::add(TimePoint now, std::uint32_t amount)
{
    this->advance(now);
    this->slotAt(this->newest) += amount;
    this->total += amount;
}

std::uint32_t SlidingWindowCounter::sum(TimePoint now)
{
    this->advance(now);
    return this->total;
}

} // namespace peridotramp
