#include "grants_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Loans below this fraction of the lender's base share are refused, as they are not worth the messages.
constexpr double minLoanFraction = 0.01;
// If the need grows by more than this factor, it is requested before the renewal is due.
constexpr double growthFactor = 1.2;
// If the need falls below this fraction of the loan, the rest is returned before the renewal is due.
constexpr double shrinkFraction = 0.6;
// Time from a request for which the lender's statement of what it could still lend is used.
constexpr Duration spareLifetime = Seconds(1);
constexpr Duration minRequestInterval = Milliseconds(100);

} // namespace

GrantTable::State::Need GrantTable::State::needOf(TimePoint now, const Bucket& bucket) const
{
    const auto limit = this->limitOf(bucket.key);
    const auto& limits = this->init.limits;
    const auto demand = bucket.demandAt(now, limits.demandWindow) * limits.demandHeadroom;
    Need need;
    need.rate = std::clamp(demand - bucket.base.rate, 0.0, std::max(0.0, limit.rate - bucket.base.rate));
    // The burst is proportional to the rate, but at least what waiting or recently refused requests lack.
    if (bucket.base.rate > 0)
        need.burst = bucket.base.burst * need.rate / bucket.base.rate;
    if (now < bucket.unmetUntil) {
        const auto lacking = static_cast<double>(std::max(bucket.unmetAmount, bucket.queue.total())) - bucket.level;
        need.burst = std::max(need.burst, lacking);
    }
    need.burst = std::clamp(need.burst, 0.0, std::max(0.0, limit.burst - bucket.base.burst));
    return need;
}

bool GrantTable::State::isRequestDue(TimePoint now, const Borrowing& loan, const Need& part) const
{
    const auto& limits = this->init.limits;
    const bool wanted = part.rate > 0 || part.burst > 0;
    if (loan.lastTerm == 0)
        return wanted;
    const auto age = now - loan.requestedAt;
    if (loan.awaitsReply)
        return wanted && age >= limits.loanRetryDelay;
    if (age < minRequestInterval || (!wanted && loan.terms.empty()))
        return false;
    const bool grown = part.rate > growthFactor * loan.requestedRate || part.burst > growthFactor * loan.requestedBurst;
    const bool hasSpare = loan.spareRate > 0 || loan.spareBurst > 0;
    if (grown && hasSpare)
        return true;
    if (loan.terms.empty())
        return age >= limits.emptyLenderDelay;
    const bool shrunk
        = part.rate < shrinkFraction * loan.terms.rate() && part.burst < shrinkFraction * loan.terms.burst();
    return shrunk || age >= limits.loanRenewalInterval;
}

GrantTable::State::Need GrantTable::State::capacityOf(TimePoint now, const Bucket& bucket, DomainId lender) const
{
    const auto found = bucket.borrowed.find(lender);
    const auto& base = bucket.base;
    const auto lendable = this->shares.at(lender).outOfService ? 1 : 1 - this->init.limits.minKeptFraction;
    if (found == bucket.borrowed.end())
        return { base.rate * lendable, base.burst * lendable };
    const auto& loan = found->second;
    const Need held { loan.terms.rate(), loan.terms.burst() };
    if (loan.isSpareKnown && now - loan.requestedAt < spareLifetime)
        return { loan.spareRate + held.rate, loan.spareBurst + held.burst };
    return { std::max(held.rate, base.rate * lendable), std::max(held.burst, base.burst * lendable) };
}

LoanRequest GrantTable::State::requestLoan(TimePoint now, Bucket& bucket, DomainId lender, const Need& part)
{
    auto& loan = bucket.borrowed[lender];
    if (!loan.loan.isValid())
        loan.loan = LoanId { this->nextId() };
    ++loan.lastTerm;
    loan.requestedAt = now;
    loan.awaitsReply = part.rate > 0 || part.burst > 0;
    loan.requestedRate = part.rate;
    loan.requestedBurst = part.burst;
    loan.terms.capAmounts(part.rate, part.burst);
    const auto before = bucket.level;
    bucket.recompute();
    ++this->stats.loanRequests;
    const BucketKey asked { bucket.key.workspace, lender, bucket.key.kind };
    return { asked, bucket.key.domain, loan.loan, loan.lastTerm, part.rate, part.burst, before - bucket.level };
}

void GrantTable::State::planLoans(TimePoint now, Bucket& bucket, std::vector<LoanRequest>& requests)
{
    const auto own = this->shares.find(bucket.key.domain);
    const bool canAct = now >= bucket.lease.from && now < bucket.lease.until;
    if (!canAct || own == this->shares.end() || !own->second.isListed)
        return;
    auto need = own->second.outOfService ? Need {} : this->needOf(now, bucket);
    if (need.rate <= 0 && need.burst <= 0 && bucket.borrowed.empty())
        return;
    // Lenders with the largest capacity come first, as few large loans need fewer messages than many small ones.
    std::vector<std::pair<Need, DomainId>> lenders;
    for (const auto& [domain, share] : this->shares) {
        if (share.isListed && domain != bucket.key.domain)
            lenders.emplace_back(this->capacityOf(now, bucket, domain), domain);
    }
    std::ranges::sort(lenders, std::greater {}, [&](const auto& lender) {
        const auto& [capacity, domain] = lender;
        return std::pair(capacity.rate + capacity.burst, hashOf({ bucket.key.workspace, domain, bucket.key.kind }));
    });
    for (const auto& [capacity, domain] : lenders) {
        const Need part { std::min(need.rate, capacity.rate), std::min(need.burst, capacity.burst) };
        need.rate -= part.rate;
        need.burst -= part.burst;
        const auto loan = bucket.borrowed.find(domain);
        const bool isRequestNeeded = loan == bucket.borrowed.end() ? part.rate > 0 || part.burst > 0
                                                                   : this->isRequestDue(now, loan->second, part);
        if (isRequestNeeded)
            requests.push_back(this->requestLoan(now, bucket, domain, part));
    }
}

std::vector<LoanRequest> GrantTable::tick(TimePoint now)
{
    auto& own = *this->state;
    own.raiseShares(now);
    std::vector<LoanRequest> requests;
    for (auto& [key, bucket] : own.buckets) {
        bucket.advance(now);
        std::erase_if(
            bucket.lent, [now](const auto& entry) { return entry.second.terms.empty() && entry.second.dropAt <= now; });
        own.planLoans(now, bucket, requests);
    }
    return requests;
}

GrantTable::State::Need GrantTable::State::spareOf(TimePoint now, const Bucket& bucket, const LenderKey& except) const
{
    const auto share = this->shares.find(bucket.key.domain);
    if (share == this->shares.end() || !share->second.isListed)
        return {};
    const auto& limits = this->init.limits;
    const auto& base = bucket.base;
    const bool isOutOfService = share->second.outOfService;
    if (!isOutOfService && !bucket.queue.empty())
        return {};
    const auto demand = bucket.demandAt(now, limits.demandWindow) * limits.demandHeadroom;
    const auto used = base.rate > 0 ? demand / base.rate : 1;
    const auto keptFraction = isOutOfService ? 0 : std::clamp(used, limits.minKeptFraction, 1.0);
    Need spare { base.rate * (1 - keptFraction) - bucket.lentRate(),
        base.burst * (1 - keptFraction) - bucket.lentBurst() };
    if (const auto loan = bucket.lent.find(except); loan != bucket.lent.end()) {
        spare.rate += loan->second.terms.rate();
        spare.burst += loan->second.terms.burst();
    }
    return { std::max(0.0, spare.rate), std::max(0.0, spare.burst) };
}

void GrantTable::State::reclaim(Bucket& bucket, LentLoan& loan, const LoanRequest& request)
{
    const auto before = loan.terms.burst();
    loan.terms.capAmounts(request.rate, request.burst);
    const auto freed = before - loan.terms.burst();
    bucket.recompute();
    // The returned level fits into the burst that was reserved for the loan. After the end of the loan the bucket may
    // have filled that part itself, so that nothing is returned.
    bucket.addLevel(std::clamp(request.level, 0.0, freed));
}

LoanReply GrantTable::lend(TimePoint now, const LoanRequest& request)
{
    auto& own = *this->state;
    const auto& limits = own.init.limits;
    const BucketKey borrower { request.bucket.workspace, request.borrower, request.bucket.kind };
    LoanReply reply { borrower, request.bucket.domain, request.loan, request.term };
    auto* bucket = own.currentBucket(now, request.bucket);
    const auto share = own.shares.find(request.borrower);
    const bool isKnown
        = share != own.shares.end() && share->second.isListed && request.borrower != request.bucket.domain;
    if (!bucket || !isKnown || now < bucket->lease.from || now >= bucket->lease.until)
        return reply;
    const LenderKey key { request.borrower, request.loan };
    auto& loan = bucket->lent[key];
    if (request.term == loan.lastTerm && loan.lastReply.term == request.term)
        return loan.lastReply;
    loan.dropAt = now + 2 * limits.loanDuration;
    if (request.term <= loan.lastTerm)
        return reply;
    loan.lastTerm = request.term;
    State::reclaim(*bucket, loan, request);
    // A successor does not know this loan, so it must end at the borrower before this owner's lease does.
    if (now + limits.loanDuration > bucket->lease.until)
        return reply;
    const auto spare = own.spareOf(now, *bucket, key);
    reply.rate = std::clamp(request.rate, 0.0, spare.rate);
    reply.burst = std::clamp(request.burst, 0.0, spare.burst);
    reply.spareRate = spare.rate - reply.rate;
    reply.spareBurst = spare.burst - reply.burst;
    const bool isWorthwhile
        = reply.rate >= minLoanFraction * bucket->base.rate || reply.burst >= minLoanFraction * bucket->base.burst;
    if (!isWorthwhile || (reply.rate <= 0 && reply.burst <= 0)) {
        reply.rate = reply.burst = 0;
        ++own.stats.loansRefused;
    } else {
        // The level is transferred in proportion to the burst that is lent in addition to earlier terms.
        const auto moved = std::max(0.0, reply.burst - loan.terms.burst());
        if (bucket->burst > 0)
            reply.level = std::min(moved, std::max(0.0, bucket->level) * std::min(1.0, moved / bucket->burst));
        bucket->level -= reply.level;
        loan.terms.add({ request.term, reply.rate, reply.burst, now + limits.loanDuration + limits.loanMargin });
        bucket->recompute();
        ++own.stats.loansGranted;
    }
    loan.lastReply = reply;
    return reply;
}

void GrantTable::acceptLoan(TimePoint now, const LoanReply& reply)
{
    auto& own = *this->state;
    auto* bucket = own.currentBucket(now, reply.bucket);
    const auto found = bucket ? bucket->borrowed.find(reply.lender) : std::map<DomainId, Borrowing>::iterator {};
    const bool isExpected = bucket && found != bucket->borrowed.end() && found->second.loan == reply.loan
        && found->second.awaitsReply && found->second.lastTerm == reply.term;
    // The loan ends relative to the borrower's time of the request, so a delayed reply does not extend it.
    const auto end = isExpected ? found->second.requestedAt + own.init.limits.loanDuration : TimePoint::min();
    if (now >= end) {
        ++own.stats.repliesIgnored;
        return;
    }
    auto& loan = found->second;
    loan.awaitsReply = false;
    loan.isSpareKnown = true;
    loan.spareRate = reply.spareRate;
    loan.spareBurst = reply.spareBurst;
    if (reply.rate <= 0 && reply.burst <= 0)
        return;
    loan.terms.add({ reply.term, reply.rate, reply.burst, end });
    bucket->recompute();
    bucket->addLevel(reply.level);
    ++own.stats.loansAccepted;
}

} // namespace peridotramp
