#include "grants_p.h"

#include <algorithm>
#include <cmath>

namespace peridotramp {

namespace {

// Time after which a request that waits for a loan is tried again: a round trip between regions and some queueing.
constexpr Duration loanRetryWait = Milliseconds(150);
// Time for which an amount that had to wait or was refused increases the need for loans.
constexpr Duration unmetLifetime = Seconds(1);
constexpr Milliseconds defaultRetryAfter { 1000 };

Milliseconds timeUntil(TimePoint now, TimePoint then)
{
    return std::max(Milliseconds(1), std::chrono::ceil<Milliseconds>(then - now));
}

Error notRun(ErrorKind kind, std::string detail = {}, Milliseconds retryAfter = Milliseconds(0))
{
    return { kind, Outcome::NotRun, std::move(detail), retryAfter };
}

} // namespace

std::optional<Error> GrantTable::State::refusalReason(
    TimePoint now, const Bucket* bucket, const TakeRequest& request) const
{
    if (!bucket)
        return notRun(ErrorKind::NotOwner);
    if (now < bucket->lease.from)
        return notRun(ErrorKind::NotReady, "the lease has not begun", timeUntil(now, bucket->lease.from));
    if (now >= bucket->lease.until)
        return notRun(ErrorKind::LeaseLapsed);
    const auto workspace = this->workspaces.find(request.bucket.workspace);
    if (workspace == this->workspaces.end() || !workspace->second.grant)
        return notRun(ErrorKind::Forbidden, "the workspace is not configured");
    const auto share = this->shares.find(request.bucket.domain);
    if (share == this->shares.end() || !share->second.isListed)
        return notRun(ErrorKind::DomainOutOfService);
    if (now >= request.deadline)
        return notRun(ErrorKind::DeadlineExceeded);
    if (request.amount.value < 1)
        return notRun(ErrorKind::InvalidRequest, "the amount is below 1");
    const auto limit = this->limitOf(request.bucket);
    if (static_cast<double>(request.amount.value) > limit.burst)
        return notRun(ErrorKind::RequestTooLarge, "the amount is above the burst of the workspace");
    return std::nullopt;
}

Permit GrantTable::State::issuePermit(TimePoint now, Bucket& bucket, std::int64_t amount)
{
    const auto position = bucket.take(now, amount);
    ++this->stats.granted;
    const Permit permit { bucket.key, PermitId { this->nextId() }, bucket.epoch, GrantAmount { amount } };
    // Only token amounts are estimates that may be corrected.
    if (bucket.key.kind == GrantKind::Tokens) {
        this->dropOldPermits(now, bucket);
        bucket.permits.emplace(permit.id, Bucket::OpenPermit { now, position });
        bucket.permitOrder.push_back(permit.id);
    }
    return permit;
}

void GrantTable::State::dropOldPermits(TimePoint now, Bucket& bucket)
{
    while (!bucket.permitOrder.empty()) {
        const auto oldest = bucket.permits.find(bucket.permitOrder.front());
        const bool isOpen = oldest != bucket.permits.end();
        const bool isOld = isOpen && now - oldest->second.issuedAt > this->init.limits.permitLifetime;
        if (isOpen && !isOld && bucket.permitOrder.size() < this->init.limits.maxOpenPermits)
            return;
        if (isOpen)
            bucket.permits.erase(oldest);
        bucket.permitOrder.pop_front();
    }
}

bool GrantTable::State::mayBorrow(TimePoint now, const Bucket& bucket) const
{
    const auto own = this->shares.find(bucket.key.domain);
    if (own == this->shares.end() || own->second.outOfService)
        return false;
    return std::ranges::any_of(this->shares, [&](const auto& entry) {
        if (entry.first == bucket.key.domain || !entry.second.isListed)
            return false;
        const auto loan = bucket.borrowed.find(entry.first);
        if (loan == bucket.borrowed.end())
            return true;
        const auto& known = loan->second;
        if (known.awaitsReply)
            return now - known.requestedAt < this->init.limits.loanRetryDelay;
        return !known.isSpareKnown || known.spareRate > 0 || known.spareBurst > 0;
    });
}

std::optional<TimePoint> GrantTable::State::retryTime(
    TimePoint now, const Bucket& bucket, double amount, TimePoint waitUntil) const
{
    const auto filled = bucket.whenFilled(amount);
    if (filled <= waitUntil)
        return std::max(filled, now + Milliseconds(1));
    if (now >= waitUntil || !this->mayBorrow(now, bucket))
        return std::nullopt;
    return std::min(waitUntil, now + loanRetryWait);
}

Error GrantTable::State::refuse(TimePoint now, Bucket& bucket, double amountAhead, std::int64_t amount)
{
    ++this->stats.refused;
    const auto filled = bucket.whenFilled(amountAhead + static_cast<double>(amount));
    const auto retry = filled == TimePoint::max() ? defaultRetryAfter : timeUntil(now, filled);
    return notRun(ErrorKind::RateExceeded, bucket.key.kind == GrantKind::Tokens ? "tokens" : "requests", retry);
}

TakeResult GrantTable::State::enqueue(TimePoint now, Bucket& bucket, const TakeRequest& request)
{
    const auto amount = request.amount.value;
    bucket.unmetAmount = now < bucket.unmetUntil ? std::max(bucket.unmetAmount, amount) : amount;
    bucket.unmetUntil = now + unmetLifetime;
    const auto waitUntil = std::min(request.deadline, now + this->init.limits.maxQueueWait);
    const WaitQueue::Waiter waiter { TicketId { this->nextId() }, request.source, amount, waitUntil, request.deadline };
    const auto total = static_cast<double>(bucket.queue.total());
    if (!bucket.queue.add(waiter, this->init.limits.maxQueueLength, this->init.limits.maxQueuedPerSource))
        return this->refuse(now, bucket, total, amount);
    const auto ahead = static_cast<double>(bucket.queue.amountBefore(waiter.ticket));
    const auto resumeAt = this->retryTime(now, bucket, ahead + static_cast<double>(amount), waitUntil);
    if (!resumeAt) {
        bucket.queue.remove(waiter.ticket);
        return this->refuse(now, bucket, ahead, amount);
    }
    ++this->stats.queued;
    return std::variant<Permit, GrantWait>(GrantWait { waiter.ticket, *resumeAt });
}

TakeResult GrantTable::take(TimePoint now, const TakeRequest& request)
{
    auto& own = *this->state;
    auto* bucket = own.currentBucket(now, request.bucket);
    if (auto error = own.refusalReason(now, bucket, request))
        return std::move(*error);
    bucket->recordDemand(now, request.amount.value, own.init.limits.demandWindow);
    bucket->queue.removeAbandoned(now);
    if (bucket->queue.empty() && bucket->level >= static_cast<double>(request.amount.value))
        return std::variant<Permit, GrantWait>(own.issuePermit(now, *bucket, request.amount.value));
    return own.enqueue(now, *bucket, request);
}

TakeResult GrantTable::resume(TimePoint now, const BucketKey& key, TicketId ticket)
{
    auto& own = *this->state;
    auto* bucket = own.currentBucket(now, key);
    const auto* found = bucket ? bucket->queue.find(ticket) : nullptr;
    if (bucket && !found)
        return own.refuse(now, *bucket, static_cast<double>(bucket->queue.total()), 1);
    const auto waiter = found ? *found : WaitQueue::Waiter {};
    const TakeRequest request { key, GrantAmount { waiter.amount }, waiter.source, waiter.deadline };
    if (auto error = own.refusalReason(now, bucket, request)) {
        if (bucket)
            bucket->queue.remove(ticket);
        return std::move(*error);
    }
    bucket->queue.removeAbandoned(now);
    const auto ahead = static_cast<double>(bucket->queue.amountBefore(ticket));
    const auto needed = ahead + static_cast<double>(waiter.amount);
    if (bucket->level >= needed) {
        bucket->queue.remove(ticket);
        return std::variant<Permit, GrantWait>(own.issuePermit(now, *bucket, waiter.amount));
    }
    if (const auto resumeAt = own.retryTime(now, *bucket, needed, waiter.waitUntil))
        return std::variant<Permit, GrantWait>(GrantWait { ticket, *resumeAt });
    bucket->queue.remove(ticket);
    return own.refuse(now, *bucket, ahead, waiter.amount);
}

void GrantTable::cancel(const BucketKey& key, TicketId ticket)
{
    const auto found = this->state->buckets.find(key);
    if (found != this->state->buckets.end())
        found->second.queue.remove(ticket);
}

void GrantTable::correct(TimePoint now, const Permit& permit, GrantAmount used)
{
    auto& own = *this->state;
    auto* bucket = own.currentBucket(now, permit.bucket);
    if (!bucket)
        return;
    const auto unused = permit.amount.value - std::max<std::int64_t>(0, used.value);
    const auto open = bucket->permits.find(permit.id);
    const bool isOwn = permit.epoch == bucket->epoch;
    if (isOwn && open == bucket->permits.end()) {
        ++own.stats.correctionsIgnored;
        return;
    }
    ++own.stats.corrections;
    if (unused < 0)
        bucket->take(now, -unused);
    else if (isOwn)
        bucket->returnUnused(static_cast<double>(unused), open->second.position);
    if (isOwn)
        bucket->permits.erase(open);
}

} // namespace peridotramp
