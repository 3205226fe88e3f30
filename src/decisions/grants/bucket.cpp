#include "bucket_p.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace peridotramp {

namespace {

constexpr std::size_t greatestRooms = 512;

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

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
    , demandNoted(now)
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
    const auto gain = this->rate * seconds(until - this->filledAt);
    this->level = std::min(this->burst, this->level + gain);
    this->filledAt = until;
}

void Bucket::advance(TimePoint now)
{
    while (this->nextChange <= now) {
        const auto change = this->nextChange;
        this->fill(change);
        this->noteRoom();
        for (auto& [key, loan] : this->lent)
            loan.terms.expire(change);
        for (auto& [lender, loan] : this->borrowed)
            loan.terms.expire(change);
        this->recompute();
    }
    this->fill(now);
    this->noteRoom();
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
    this->noteRoom();
}

std::uint64_t Bucket::takeOut(TimePoint now, std::int64_t amount)
{
    this->advance(now);
    this->level -= static_cast<double>(amount);
    this->noteRoom();
    return this->roomCount;
}

void Bucket::putIn(double amount)
{
    this->level = std::min(this->burst, this->level + amount);
    this->noteRoom();
}

void Bucket::putBack(double amount, std::uint64_t since)
{
    const auto first = std::ranges::lower_bound(this->rooms, since, {}, &Room::last);
    if (first == this->rooms.end())
        return;
    const auto returned = std::min(amount, first->room);
    // The bucket now counts as fuller since then, which leaves less free capacity for corrections of other permits.
    for (auto entry = first; entry != this->rooms.end(); ++entry)
        entry->room -= returned;
    const auto least = first->room;
    const auto covered
        = std::find_if(this->rooms.begin(), first, [least](const Room& entry) { return entry.room >= least; });
    this->rooms.erase(covered, first);
    this->putIn(returned);
}

void Bucket::noteRoom()
{
    const auto room = std::max(0.0, this->burst - this->level);
    while (!this->rooms.empty() && this->rooms.back().room >= room)
        this->rooms.pop_back();
    this->rooms.push_back({ ++this->roomCount, room });
    if (this->rooms.size() > greatestRooms)
        this->thinRooms();
}

void Bucket::thinRooms()
{
    // Of two neighbours the smaller capacity and the later position are kept, so that a correction never returns too
    // much.
    std::size_t kept = 0;
    for (std::size_t index = 0; index + 1 < this->rooms.size(); index += 2)
        this->rooms[kept++] = { this->rooms[index + 1].last, this->rooms[index].room };
    if (this->rooms.size() % 2 == 1)
        this->rooms[kept++] = this->rooms.back();
    this->rooms.resize(kept);
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

void Bucket::noteDemand(TimePoint now, std::int64_t amount, Duration window)
{
    this->demandSum = this->demandAt(now, window) * seconds(window) + static_cast<double>(amount);
    this->demandNoted = std::max(now, this->demandNoted);
}

double Bucket::demandAt(TimePoint now, Duration window) const
{
    const auto age = std::max(0.0, seconds(now - this->demandNoted) / seconds(window));
    return this->demandSum * std::exp(-age) / seconds(window);
}

} // namespace peridotramp
