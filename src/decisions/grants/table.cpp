#include "grants_p.h"

#include <algorithm>
#include <ranges>

namespace peridotramp {

namespace {

bool isNewer(Offset version, Offset than) { return version.isValid() && (!than.isValid() || than < version); }

} // namespace

std::uint64_t hashOf(const BucketKey& key)
{
    const std::array<std::uint64_t, 3> parts { key.workspace.value, key.domain.value,
        static_cast<std::uint64_t>(key.kind) };
    return hashBytes({ reinterpret_cast<const char*>(parts.data()), sizeof(parts) });
}

GrantTable::GrantTable()
    : state(std::make_unique<State>())
{
}

GrantTable::GrantTable(const Init& init)
    : GrantTable()
{
    this->initialise(init);
}

GrantTable::GrantTable(GrantTable&&) noexcept = default;
GrantTable& GrantTable::operator=(GrantTable&&) noexcept = default;
GrantTable::~GrantTable() = default;

void GrantTable::initialise(const Init& init) { this->state->init = init; }

std::uint64_t GrantTable::State::nextId()
{
    const std::array<std::uint64_t, 2> parts { this->init.idSeed, ++this->idCount };
    return hashBytes({ reinterpret_cast<const char*>(parts.data()), sizeof(parts) }) >> 1;
}

GrantLimit GrantTable::State::limitOf(const BucketKey& key) const
{
    const auto found = this->workspaces.find(key.workspace);
    if (found == this->workspaces.end() || !found->second.grant)
        return {};
    const auto& grant = *found->second.grant;
    return key.kind == GrantKind::Requests ? grant.requests : grant.tokens;
}

void GrantTable::State::applyBase(TimePoint now, Bucket& bucket)
{
    bucket.advance(now);
    const auto limit = this->limitOf(bucket.key);
    const auto share = this->shares.find(bucket.key.domain);
    const auto part = share == this->shares.end() ? 0 : share->second.fraction;
    bucket.setBase({ limit.rate * part, limit.burst * part });
}

void GrantTable::State::applyDomain(TimePoint now, DomainId domain)
{
    for (auto& [key, bucket] : this->buckets) {
        if (key.domain == domain)
            this->applyBase(now, bucket);
    }
}

void GrantTable::State::raiseShares(TimePoint now)
{
    if (now < this->nextRaise)
        return;
    this->nextRaise = TimePoint::max();
    for (auto& [domain, share] : this->shares) {
        if (share.raiseAt > now) {
            this->nextRaise = std::min(this->nextRaise, share.raiseAt);
            continue;
        }
        const auto raisedAt = std::exchange(share.raiseAt, TimePoint::max());
        share.fraction = share.nextFraction;
        this->applyDomain(raisedAt, domain);
    }
}

Bucket* GrantTable::State::currentBucket(TimePoint now, const BucketKey& key)
{
    this->raiseShares(now);
    const auto found = this->buckets.find(key);
    if (found == this->buckets.end())
        return nullptr;
    found->second.advance(now);
    return &found->second;
}

void GrantTable::configure(TimePoint now, WorkspaceId workspace, const WorkspaceGrant& grant, Offset version)
{
    auto& own = *this->state;
    own.raiseShares(now);
    auto& known = own.workspaces[workspace];
    if (!isNewer(version, known.version))
        return;
    known = { grant, version };
    for (auto bucket = own.buckets.lower_bound({ workspace, DomainId { 0 }, GrantKind::Requests });
        bucket != own.buckets.end() && bucket->first.workspace == workspace; ++bucket)
        own.applyBase(now, bucket->second);
}

void GrantTable::withdraw(TimePoint now, WorkspaceId workspace, Offset version)
{
    this->configure(now, workspace, {}, version);
    auto& known = this->state->workspaces[workspace];
    if (known.version == version)
        known.grant.reset();
}

void GrantTable::configureDomains(TimePoint now, std::vector<GrantDomain> domains, Offset version)
{
    auto& own = *this->state;
    own.raiseShares(now);
    if (!isNewer(version, own.domainsVersion))
        return;
    const bool isFirst = !own.domainsVersion.isValid();
    own.domainsVersion = version;
    for (const auto& entry : domains)
        own.shares.try_emplace(entry.domain);
    for (auto& [domain, share] : own.shares) {
        const auto entry = std::ranges::find(domains, domain, &GrantDomain::domain);
        share.isListed = entry != domains.end();
        share.outOfService = share.isListed && entry->outOfService;
        share.nextFraction = share.isListed ? 1.0 / static_cast<double>(domains.size()) : 0;
        share.raiseAt = TimePoint::max();
        // Other failure domains may still use the larger share of the previous list.
        const bool isRaised = share.nextFraction > share.fraction && !isFirst;
        if (isRaised)
            share.raiseAt = now + own.init.limits.shareRaiseDelay;
        else
            share.fraction = share.nextFraction;
        own.nextRaise = std::min(own.nextRaise, share.raiseAt);
        own.applyDomain(now, domain);
    }
}

void GrantTable::open(TimePoint now, const BucketKey& key, Epoch epoch, GrantLease lease)
{
    auto& own = *this->state;
    own.raiseShares(now);
    const auto known = own.buckets.find(key);
    if (known != own.buckets.end() && known->second.epoch >= epoch)
        return;
    auto& bucket = own.buckets.insert_or_assign(key, Bucket(key, epoch, lease, now)).first->second;
    own.applyBase(now, bucket);
}

void GrantTable::openFrom(TimePoint now, const BucketKey& key, Epoch epoch, GrantLease lease,
    const BucketHandover& state, Epoch previous, std::optional<TimePoint> notBefore)
{
    auto& own = *this->state;
    const auto known = own.buckets.find(key);
    if (known != own.buckets.end() && known->second.epoch >= epoch)
        return;
    this->open(now, key, epoch, lease);
    // The level in an older owner's state has since been used by the previous owner.
    if (state.epoch != previous || state.bucket != key)
        return;
    auto& bucket = own.buckets.at(key);
    for (const auto& loan : state.lent) {
        auto& lent = bucket.lent[{ loan.peer, loan.loan }];
        lent.lastTerm = loan.lastTerm;
        // The age of the state is unknown, so the remaining time of the loan counts from now.
        for (const auto& term : loan.terms)
            lent.terms.add({ term.term, term.rate, term.burst, bucket.filledAt + term.remaining });
        lent.dropAt = bucket.filledAt + 2 * own.init.limits.loanDuration;
    }
    for (const auto& loan : state.borrowed) {
        auto& borrowed = bucket.borrowed[loan.peer];
        borrowed.loan = loan.loan;
        borrowed.lastTerm = loan.lastTerm;
        if (!notBefore)
            continue;
        for (const auto& term : loan.terms)
            borrowed.terms.add({ term.term, term.rate, term.burst, *notBefore + term.remaining });
        borrowed.terms.expire(bucket.filledAt);
    }
    bucket.recompute();
    bucket.level = std::min(state.level, bucket.burst);
    bucket.recompute();
}

void GrantTable::renewLease(const BucketKey& key, Epoch epoch, TimePoint until)
{
    const auto found = this->state->buckets.find(key);
    if (found == this->state->buckets.end() || found->second.epoch != epoch)
        return;
    found->second.lease.until = std::max(found->second.lease.until, until);
}

std::optional<BucketHandover> GrantTable::handOver(TimePoint now, const BucketKey& key)
{
    auto& own = *this->state;
    const auto* bucket = own.currentBucket(now, key);
    if (!bucket || now < bucket->lease.from || now >= bucket->lease.until)
        return std::nullopt;
    BucketHandover handover { key, bucket->epoch, bucket->level, {}, {} };
    for (const auto& [peer, loan] : bucket->lent)
        handover.lent.push_back({ peer.first, peer.second, loan.lastTerm, loan.terms.remaining(now) });
    for (const auto& [lender, loan] : bucket->borrowed)
        handover.borrowed.push_back({ lender, loan.loan, loan.lastTerm, loan.terms.remaining(now) });
    own.buckets.erase(key);
    return handover;
}

void GrantTable::close(const BucketKey& key) { this->state->buckets.erase(key); }

std::vector<BucketKey> GrantTable::buckets() const
{
    const auto keys = this->state->buckets | std::views::keys;
    return { keys.begin(), keys.end() };
}

std::optional<GrantTable::View> GrantTable::view(TimePoint now, const BucketKey& key)
{
    const auto* bucket = this->state->currentBucket(now, key);
    if (!bucket)
        return std::nullopt;
    return View { bucket->level, bucket->rate, bucket->burst, bucket->lentRate(), bucket->lentBurst(),
        bucket->borrowedRate(), bucket->borrowedBurst(), bucket->demandAt(now, this->state->init.limits.demandWindow),
        bucket->queue.size() };
}

const GrantTable::Stats& GrantTable::stats() const { return this->state->stats; }

} // namespace peridotramp
