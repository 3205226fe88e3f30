#include "grants_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Loans below this part of the lender's base share are not worth a message.
constexpr double leastPart = 0.01;
// A need that has grown by this factor is asked for before the renewal.
constexpr double growth = 1.2;
constexpr Duration leastBetweenRequests = Milliseconds(100);

} // namespace

GrantTable::State::Need GrantTable::State::needOf(TimePoint now, const Bucket& bucket) const
{
    const auto limit = this->limitOf(bucket.key);
    const auto& limits = this->init.limits;
    const auto demand = bucket.demandAt(now, limits.demandWindow) * limits.demandHeadroom;
    Need need;
    need.rate = std::clamp(demand - bucket.base.rate, 0.0, std::max(0.0, limit.rate - bucket.base.rate));
    // The burst follows the rate; a request that could not be served asks for what it lacks.
    if (bucket.base.rate > 0)
        need.burst = bucket.base.burst * need.rate / bucket.base.rate;
    if (now < bucket.unmetUntil) {
        const auto lacking = static_cast<double>(std::max(bucket.unmet, bucket.queue.total())) - bucket.level;
        need.burst = std::max(need.burst, lacking);
    }
    need.burst = std::clamp(need.burst, 0.0, std::max(0.0, limit.burst - bucket.base.burst));
    return need;
}

bool GrantTable::State::isDue(TimePoint now, const Borrowing& loan, const Need& part) const
{
    const auto& limits = this->init.limits;
    if (!loan.loan.isValid() || loan.lastTerm == 0)
        return true;
    const auto age = now - loan.requestedAt;
    if (loan.outstanding)
        return age >= limits.loanRetry;
    const bool grown = part.rate > growth * loan.askedRate || part.burst > growth * loan.askedBurst;
    const bool hasSpare = loan.spareRate > 0 || loan.spareBurst > 0;
    if (grown && hasSpare && age >= leastBetweenRequests)
        return true;
    return age >= (loan.terms.empty() ? limits.lenderPause : limits.renewAfter);
}

void GrantTable::State::plan(TimePoint now, Bucket& bucket, std::vector<LoanRequest>& out)
{
    const auto own = this->shares.find(bucket.key.domain);
    const bool canAct = now >= bucket.lease.from && now < bucket.lease.until;
    if (!canAct || own == this->shares.end() || !own->second.listed || own->second.out)
        return;
    const auto need = this->needOf(now, bucket);
    if (need.rate <= 0 && need.burst <= 0)
        return;
    // Each lender is asked for a part after what it could spare when it last answered.
    struct Lender {
        DomainId domain {};
        double rateWeight = 0;
        double burstWeight = 0;
    };
    std::vector<Lender> lenders;
    Need weights;
    for (const auto& [domain, share] : this->shares) {
        if (!share.listed || domain == bucket.key.domain)
            continue;
        const auto& loan = bucket.borrowed[domain];
        const auto floor = leastPart * bucket.base.rate;
        const auto burstFloor = leastPart * bucket.base.burst;
        const Lender lender { domain, loan.hintKnown ? loan.spareRate + loan.terms.rate() + floor : bucket.base.rate,
            loan.hintKnown ? loan.spareBurst + loan.terms.burst() + burstFloor : bucket.base.burst };
        weights.rate += lender.rateWeight;
        weights.burst += lender.burstWeight;
        lenders.push_back(lender);
    }
    for (const auto& lender : lenders) {
        const Need part { weights.rate > 0 ? need.rate * lender.rateWeight / weights.rate : 0,
            weights.burst > 0 ? need.burst * lender.burstWeight / weights.burst : 0 };
        auto& loan = bucket.borrowed[lender.domain];
        if (!this->isDue(now, loan, part))
            continue;
        if (!loan.loan.isValid())
            loan.loan = LoanId { this->nextId() };
        ++loan.lastTerm;
        loan.requestedAt = now;
        loan.outstanding = true;
        loan.askedRate = part.rate;
        loan.askedBurst = part.burst;
        const BucketKey asked { bucket.key.workspace, lender.domain, bucket.key.kind };
        out.push_back({ asked, bucket.key.domain, loan.loan, loan.lastTerm, part.rate, part.burst });
        ++this->stats.loanRequests;
    }
}

std::vector<LoanRequest> GrantTable::tick(TimePoint now)
{
    auto& own = *this->state;
    own.raiseShares(now);
    std::vector<LoanRequest> out;
    for (auto& [key, bucket] : own.buckets) {
        bucket.advance(now);
        std::erase_if(
            bucket.lent, [now](const auto& entry) { return entry.second.terms.empty() && entry.second.forget <= now; });
        own.plan(now, bucket, out);
    }
    return out;
}

GrantTable::State::Need GrantTable::State::spareOf(TimePoint now, const Bucket& bucket, const LenderKey& except) const
{
    const auto share = this->shares.find(bucket.key.domain);
    if (share == this->shares.end() || !share->second.listed)
        return {};
    const auto& limits = this->init.limits;
    const auto& base = bucket.base;
    const bool out = share->second.out;
    if (!out && !bucket.queue.empty())
        return {};
    const auto demand = bucket.demandAt(now, limits.demandWindow) * limits.demandHeadroom;
    const auto used = base.rate > 0 ? demand / base.rate : 1;
    const auto kept = out ? 0 : std::clamp(used, limits.keptShare, 1.0);
    Need spare { base.rate * (1 - kept) - bucket.lentRate(), base.burst * (1 - kept) - bucket.lentBurst() };
    if (const auto loan = bucket.lent.find(except); loan != bucket.lent.end()) {
        spare.rate += loan->second.terms.rate();
        spare.burst += loan->second.terms.burst();
    }
    return { std::max(0.0, spare.rate), std::max(0.0, spare.burst) };
}

LoanReply GrantTable::lend(TimePoint now, const LoanRequest& request)
{
    auto& own = *this->state;
    const auto& limits = own.init.limits;
    const BucketKey borrower { request.bucket.workspace, request.borrower, request.bucket.kind };
    LoanReply reply { borrower, request.bucket.domain, request.loan, request.term };
    auto* bucket = own.reach(now, request.bucket);
    const auto share = own.shares.find(request.borrower);
    const bool isKnown = share != own.shares.end() && share->second.listed && request.borrower != request.bucket.domain;
    // A successor knows nothing of this loan, so the borrower must be done with it when the own lease ends.
    if (!bucket || !isKnown || now < bucket->lease.from || now + limits.loan > bucket->lease.until)
        return reply;
    const LenderKey key { request.borrower, request.loan };
    auto& loan = bucket->lent[key];
    if (request.term == loan.lastTerm && loan.lastReply.term == request.term)
        return loan.lastReply;
    loan.forget = now + 2 * limits.loan;
    if (request.term <= loan.lastTerm)
        return reply;
    loan.lastTerm = request.term;
    const auto spare = own.spareOf(now, *bucket, key);
    reply.rate = std::clamp(request.rate, 0.0, spare.rate);
    reply.burst = std::clamp(request.burst, 0.0, spare.burst);
    reply.spareRate = spare.rate - reply.rate;
    reply.spareBurst = spare.burst - reply.burst;
    const bool isWorthwhile
        = reply.rate >= leastPart * bucket->base.rate || reply.burst >= leastPart * bucket->base.burst;
    if (!isWorthwhile || (reply.rate <= 0 && reply.burst <= 0)) {
        reply.rate = reply.burst = 0;
        ++own.stats.loansRefused;
    } else {
        // The level moves with the burst that the borrower does not hold yet.
        const auto moved = std::max(0.0, reply.burst - loan.terms.burst());
        if (bucket->burst > 0)
            reply.level = std::min(moved, std::max(0.0, bucket->level) * std::min(1.0, moved / bucket->burst));
        bucket->level -= reply.level;
        loan.terms.add({ request.term, reply.rate, reply.burst, now + limits.loan + limits.loanMargin });
        bucket->recompute();
        ++own.stats.loansGranted;
    }
    loan.lastReply = reply;
    return reply;
}

void GrantTable::acceptLoan(TimePoint now, const LoanReply& reply)
{
    auto& own = *this->state;
    auto* bucket = own.reach(now, reply.bucket);
    const auto found = bucket ? bucket->borrowed.find(reply.lender) : std::map<DomainId, Borrowing>::iterator {};
    const bool isExpected = bucket && found != bucket->borrowed.end() && found->second.loan == reply.loan
        && found->second.outstanding && found->second.lastTerm == reply.term;
    // The borrower's own time of the request bounds the loan, whatever happened to the messages.
    const auto end = isExpected ? found->second.requestedAt + own.init.limits.loan : TimePoint::min();
    if (now >= end) {
        ++own.stats.repliesIgnored;
        return;
    }
    auto& loan = found->second;
    loan.outstanding = false;
    loan.hintKnown = true;
    loan.spareRate = reply.spareRate;
    loan.spareBurst = reply.spareBurst;
    if (reply.rate <= 0 && reply.burst <= 0)
        return;
    loan.terms.add({ reply.term, reply.rate, reply.burst, end });
    bucket->recompute();
    bucket->putIn(reply.level);
    ++own.stats.loansAccepted;
}

} // namespace peridotramp
