#include "bucket_p.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace peridotramp {

namespace {

constexpr std::size_t maxFreeCapacities = 512;

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

template <typename Loans> double sumRate(const Loans& loans)
{
    return std::accumulate(
        loans.begin(), loans.end(), 0.0, [](double sum, const auto& entry) { return sum + entry.second.terms.rate(); });
}

template <typename Loans> double sumBurst(const Loans& loans)
{
    return std::accumulate(loans.begin(), loans.end(), 0.0,
        [](double sum, const auto& entry) { return sum + entry.second.terms.burst(); });
}

} // namespace

Bucket::Bucket(const BucketKey& key, Epoch epoch, GrantLease lease, TimePoint now)
    : key(key)
    , epoch(epoch)
    , lease(lease)
    , filledAt(std::max(now, lease.from))
    , demandRecordedAt(now)
{
}

double Bucket::lentRate() const { return sumRate(this->lent); }
double Bucket::lentBurst() const { return sumBurst(this->lent); }
double Bucket::borrowedRate() const { return sumRate(this->borrowed); }
double Bucket::borrowedBurst() const { return sumBurst(this->borrowed); }

void Bucket::fill(TimePoint until)
{
    if (until <= this->filledAt)
        return;
    // The level never exceeds the burst, as `recompute` caps it.
    const auto gain = this->rate * toSeconds(until - this->filledAt);
    this->level = std::min(this->burst, this->level + gain);
    this->filledAt = until;
}

void Bucket::advance(TimePoint now)
{
    while (this->nextChange <= now) {
        const auto change = this->nextChange;
        this->fill(change);
        this->recordFreeCapacity();
        for (auto& [key, loan] : this->lent)
            loan.terms.expire(change);
        for (auto& [lender, loan] : this->borrowed)
            loan.terms.expire(change);
        this->recompute();
    }
    this->fill(now);
    this->recordFreeCapacity();
}

void Bucket::setBase(GrantLimit share)
{
    this->base = share;
    this->recompute();
}

void Bucket::recompute()
{
    this->rate = std::max(0.0, this->base.rate - this->lentRate()) + this->borrowedRate();
    this->burst = std::max(0.0, this->base.burst - this->lentBurst()) + this->borrowedBurst();
    this->level = std::min(this->level, this->burst);
    this->nextChange = TimePoint::max();
    for (const auto& [key, loan] : this->lent)
        this->nextChange = std::min(this->nextChange, loan.terms.nextEnd());
    for (const auto& [lender, loan] : this->borrowed)
        this->nextChange = std::min(this->nextChange, loan.terms.nextEnd());
    this->recordFreeCapacity();
}

std::uint64_t Bucket::take(TimePoint now, std::int64_t amount)
{
    this->advance(now);
    this->level -= static_cast<double>(amount);
    this->recordFreeCapacity();
    return this->lastPosition;
}

void Bucket::addLevel(double amount)
{
    this->level = std::min(this->burst, this->level + amount);
    this->recordFreeCapacity();
}

void Bucket::returnUnused(double amount, std::uint64_t since)
{
    const auto first = std::ranges::lower_bound(this->freeCapacities, since, {}, &FreeCapacity::last);
    if (first == this->freeCapacities.end())
        return;
    const auto returned = std::min(amount, first->amount);
    // The bucket now counts as fuller since then, which leaves less free capacity for corrections of other permits.
    for (auto entry = first; entry != this->freeCapacities.end(); ++entry)
        entry->amount -= returned;
    const auto minimum = first->amount;
    const auto covered = std::find_if(
        this->freeCapacities.begin(), first, [minimum](const FreeCapacity& entry) { return entry.amount >= minimum; });
    this->freeCapacities.erase(covered, first);
    this->addLevel(returned);
}

void Bucket::recordFreeCapacity()
{
    const auto free = std::max(0.0, this->burst - this->level);
    while (!this->freeCapacities.empty() && this->freeCapacities.back().amount >= free)
        this->freeCapacities.pop_back();
    this->freeCapacities.push_back({ ++this->lastPosition, free });
    if (this->freeCapacities.size() > maxFreeCapacities)
        this->thinFreeCapacities();
}

void Bucket::thinFreeCapacities()
{
    // Of two neighbours the smaller capacity and the later position are kept, so that a correction never returns too
    // much.
    std::size_t kept = 0;
    for (std::size_t index = 0; index + 1 < this->freeCapacities.size(); index += 2)
        this->freeCapacities[kept++] = { this->freeCapacities[index + 1].last, this->freeCapacities[index].amount };
    if (this->freeCapacities.size() % 2 == 1)
        this->freeCapacities[kept++] = this->freeCapacities.back();
    this->freeCapacities.resize(kept);
}

TimePoint Bucket::whenFilled(double amount) const
{
    if (this->level >= amount)
        return this->filledAt;
    if (this->rate <= 0 || amount > this->burst)
        return TimePoint::max();
    const auto wait = (amount - this->level) / this->rate;
    // The exact time is not needed beyond a day, and it could exceed the clock's range.
    constexpr double day = 86400;
    if (wait > day)
        return TimePoint::max();
    // The added nanosecond compensates for rounding down.
    return this->filledAt + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)) + Duration(1);
}

void Bucket::recordDemand(TimePoint now, std::int64_t amount, Duration window)
{
    this->demandSum = this->demandAt(now, window) * toSeconds(window) + static_cast<double>(amount);
    this->demandRecordedAt = std::max(now, this->demandRecordedAt);
}

double Bucket::demandAt(TimePoint now, Duration window) const
{
    const auto age = std::max(0.0, toSeconds(now - this->demandRecordedAt) / toSeconds(window));
    return this->demandSum * std::exp(-age) / toSeconds(window);
}

} // namespace peridotramp
