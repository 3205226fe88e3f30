#pragma once

#include "checker_p.h"

#include <deque>
#include <random>

namespace peridotramp {

/// Simulates the grant of one workspace in several failure domains with random faults, in virtual time. Owners crash,
/// stall, resume, lose their leases and hand over; loan messages are lost, delayed, duplicated and delivered to current
/// or former owners; rates and the list of failure domains change; owners' clocks differ. Used by the fuzzer and the
/// tests.
class GrantFaultSimulation {
public:
    struct Report {
        /// Largest excess of any window over the limit, for requests and tokens.
        std::array<double, 2> excess {};
        std::size_t permits = 0;
        std::uint64_t loansAccepted = 0;
        std::size_t takeovers = 0;
        std::size_t handovers = 0;

        // The tolerance covers rounding errors in sums of doubles; a permit is at least 1.
        bool isWithinLimits() const
        {
            return std::ranges::all_of(this->excess, [](double value) { return value < 1e-3; });
        }
    };

    explicit GrantFaultSimulation(std::uint64_t seed)
        : random(seed)
        , domains(2 + seed % 3)
    {
        for (std::size_t index = 0; index < this->domains.size(); ++index)
            this->domainList.push_back({ DomainId { index }, false });
        this->previousDomainList = this->domainList;
        this->changeRates();
        this->hasReconfiguration = this->chance(0.6);
        this->hasListChanges = this->chance(0.4);
        // Frequent faults end most loans early, so half of the seeds have fewer faults.
        this->faultRate = this->chance(0.5) ? 1 : 0.2;
        for (auto& domain : this->domains)
            this->startOwner(domain, this->now, false);
    }

    Report run(Duration duration = Seconds(60))
    {
        const auto end = this->now + duration;
        for (; this->now < end; this->now += step) {
            this->injectConfigurations();
            for (auto& domain : this->domains)
                this->stepDomain(domain);
            this->deliverMessages();
            this->resumeWaiting();
        }
        this->report.excess = { this->checkers[0].excess(this->limitPeriodsOf(0)), this->tokenExcess() };
        this->report.permits = this->checkers[0].count() + this->tokenCharges.size();
        return this->report;
    }

private:
    static constexpr Duration step = Milliseconds(10);
    static constexpr Duration leaseTime = Seconds(5);
    static constexpr Duration maxConfigurationDelay = Seconds(6);

    struct Configuration {
        TimePoint at {};
        WorkspaceGrant grant {};
        std::vector<GrantDomain> domainList {};
        Offset version {};
    };

    struct Owner {
        GrantTable table {};
        Duration offset {};
        Epoch epoch {};
        std::size_t domain = 0;
        /// End of the lease in simulation time, without the offset of the owner's clock.
        TimePoint leaseEnd {};
        TimePoint stalledUntil {};
        bool dead = false;
        bool handedOver = false;
        bool renews = true;
        std::deque<Configuration> pending {};
    };

    struct Domain {
        std::vector<std::shared_ptr<Owner>> owners {};
        /// When the successor starts; empty when none is to start.
        std::optional<TimePoint> successorAt {};
        TimePoint leaseFrom {};
        std::optional<std::array<BucketHandover, 2>> handover {};
        Epoch handoverEpoch {};
        TimePoint handoverAt {};
        double load = 1;
        bool isolated = false;
    };

    struct Message {
        TimePoint at {};
        std::size_t to = 0;
        std::variant<LoanRequest, LoanReply> content {};
    };

    struct Waiting {
        TimePoint at {};
        std::shared_ptr<Owner> owner {};
        BucketKey key {};
        TicketId ticket {};
    };

    struct TokenCharge {
        TimePoint at {};
        std::int64_t charged = 0;
    };

    struct Correction {
        TimePoint at {};
        Permit permit {};
        std::int64_t used = 0;
        std::size_t chargeIndex = 0;
        std::size_t domain = 0;
    };

    double uniform(double min = 0, double max = 1) { return std::uniform_real_distribution<>(min, max)(this->random); }
    bool chance(double probability) { return this->uniform() < probability; }
    Duration randomDuration(double min, double max)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->uniform(min, max)));
    }
    TimePoint clockOf(const Owner& owner) const { return this->now + owner.offset; }
    static BucketKey keyOf(std::size_t domain, std::size_t kind)
    {
        return { WorkspaceId { 1 }, DomainId { domain }, static_cast<GrantKind>(kind) };
    }
    bool isRunning(const Owner& owner) const { return !owner.dead && this->now >= owner.stalledUntil; }

    std::vector<WindowChecker::LimitPeriod> limitPeriodsOf(std::size_t kind)
    {
        std::vector<WindowChecker::LimitPeriod> periods;
        periods.reserve(this->grantPeriods.size());
        for (const auto& period : this->grantPeriods)
            periods.push_back({ kind == 0 ? period.grant.requests : period.grant.tokens, period.from, period.until });
        return periods;
    }

    double tokenExcess()
    {
        for (const auto& charge : this->tokenCharges)
            this->checkers[1].add(charge.at, static_cast<double>(charge.charged));
        return this->checkers[1].excess(this->limitPeriodsOf(1));
    }

    void changeRates()
    {
        // Owners may use the old rate until the change has reached all of them, and a loan of it for the term of a loan
        // longer.
        if (!this->grantPeriods.empty())
            this->grantPeriods.back().until = this->now + maxConfigurationDelay + Seconds(4);
        const WorkspaceGrant grant { { this->uniform(5, 60), this->uniform(5, 40) },
            { this->uniform(500, 5000), this->uniform(500, 5000) } };
        this->grantPeriods.push_back({ grant, this->now });
        this->grant = grant;
        ++this->version.value;
    }

    void distributeConfiguration()
    {
        for (auto& domain : this->domains) {
            for (auto& owner : domain.owners)
                owner->pending.push_back(
                    { this->now + this->randomDuration(0, 5.9), this->grant, this->domainList, this->version });
        }
    }

    void injectConfigurations()
    {
        const auto perStep = std::chrono::duration<double>(step).count();
        if (this->hasReconfiguration && this->chance(perStep / 12)) {
            this->changeRates();
            this->distributeConfiguration();
        }
        const bool hasConverged = this->now - this->domainListChangedAt > Seconds(12);
        if (!this->hasListChanges || !hasConverged || !this->chance(perStep / 8))
            return;
        this->previousDomainList = this->domainList;
        this->domainListChangedAt = this->now;
        const DomainId domain { this->random() % this->domains.size() };
        const auto listed = std::ranges::find(this->domainList, domain, &GrantDomain::domain);
        if (listed == this->domainList.end())
            this->domainList.push_back({ domain, false });
        else if (this->chance(0.5) || this->domainList.size() < 2)
            listed->outOfService = !listed->outOfService;
        else
            this->domainList.erase(listed);
        ++this->version.value;
        this->distributeConfiguration();
    }

    void startOwner(Domain& domain, TimePoint leaseStart, bool withHandover)
    {
        auto owner = std::make_shared<Owner>();
        owner->domain = static_cast<std::size_t>(&domain - this->domains.data());
        owner->offset = this->randomDuration(0, 1000);
        owner->epoch = Epoch { ++this->epochs };
        owner->table.initialise({ this->random(), {} });
        const auto local = this->clockOf(*owner);
        const auto start = leaseStart + owner->offset;
        // A node that starts right after a change of the list reads both lists from the log.
        if (this->now - this->domainListChangedAt < Seconds(12))
            owner->table.configureDomains(local, this->previousDomainList, Offset { this->version.value - 1 });
        owner->table.configureDomains(local, this->domainList, this->version);
        owner->table.configure(local, WorkspaceId { 1 }, this->grant, this->version);
        const GrantLease lease { start, start + leaseTime };
        owner->leaseEnd = leaseStart + leaseTime;
        const auto previous = domain.owners.empty() ? Epoch {} : domain.owners.back()->epoch;
        for (std::size_t kind = 0; kind < 2; ++kind) {
            const auto key = keyOf(owner->domain, kind);
            // After a crash, the successor may receive the record of an earlier handover, whose epoch shows that it is
            // stale.
            if (domain.handover && (withHandover || this->chance(0.5))) {
                const auto notBefore = this->chance(0.7)
                    ? std::optional(domain.handoverAt - this->randomDuration(0, 1) + owner->offset)
                    : std::nullopt;
                owner->table.openFrom(local, key, owner->epoch, lease, domain.handover->at(kind), previous, notBefore);
                if (this->chance(0.3))
                    owner->table.openFrom(
                        local, key, owner->epoch, lease, domain.handover->at(kind), previous, notBefore);
            } else {
                owner->table.open(local, key, owner->epoch, lease);
            }
        }
        domain.owners.push_back(owner);
        if (domain.owners.size() > 3)
            domain.owners.erase(domain.owners.begin());
    }

    void injectOwnerFaults(Domain& domain)
    {
        auto& owner = *domain.owners.back();
        const auto stepSeconds = std::chrono::duration<double>(step).count();
        const auto perStep = stepSeconds * this->faultRate;
        if (this->chance(stepSeconds / 4))
            domain.load = this->chance(0.5) ? 0 : this->uniform(0.2, 5);
        if (this->chance(perStep / 10))
            domain.isolated = !domain.isolated;
        if (this->chance(perStep / 10))
            owner.stalledUntil = this->now + this->randomDuration(0.1, 12);
        if (this->chance(perStep / 15))
            owner.renews = !owner.renews;
        if (domain.successorAt)
            return;
        if (this->chance(perStep / 20))
            owner.dead = true;
        // A successor may act as soon as the lease of the old owner has ended, and not before.
        const bool takesOver = owner.dead || this->now >= owner.leaseEnd || this->chance(perStep / 30);
        if (takesOver) {
            owner.renews = false;
            // Half of the successors open their buckets before their lease begins.
            domain.leaseFrom = std::max(owner.leaseEnd, this->now);
            domain.successorAt = this->chance(0.5) ? this->now : domain.leaseFrom;
            ++this->report.takeovers;
        } else if (this->chance(perStep / 15) && this->isRunning(owner)) {
            this->handOver(domain, owner);
        }
    }

    void handOver(Domain& domain, Owner& owner)
    {
        const auto requests = owner.table.handOver(this->clockOf(owner), keyOf(owner.domain, 0));
        const auto tokens = owner.table.handOver(this->clockOf(owner), keyOf(owner.domain, 1));
        if (!requests || !tokens)
            return;
        owner.handedOver = true;
        domain.handover = std::array { *requests, *tokens };
        domain.handoverAt = this->now;
        domain.handoverEpoch = owner.epoch;
        domain.successorAt = this->now + this->randomDuration(0, 2);
        domain.leaseFrom = *domain.successorAt;
        ++this->report.handovers;
    }

    void stepDomain(Domain& domain)
    {
        this->injectOwnerFaults(domain);
        if (domain.successorAt && this->now >= *domain.successorAt) {
            const bool planned = domain.owners.back()->handedOver;
            this->startOwner(domain, std::max(this->now, domain.leaseFrom), planned);
            domain.successorAt.reset();
        }
        for (auto& owner : domain.owners) {
            if (!this->isRunning(*owner))
                continue;
            this->stepOwner(domain, *owner);
        }
        this->sendRequests(domain);
        this->correctSome(domain);
    }

    void stepOwner(Domain& domain, Owner& owner)
    {
        const auto local = this->clockOf(owner);
        while (!owner.pending.empty()) {
            const auto due
                = std::ranges::find_if(owner.pending, [this](const auto& change) { return change.at <= this->now; });
            if (due == owner.pending.end())
                break;
            owner.table.configureDomains(local, due->domainList, due->version);
            owner.table.configure(local, WorkspaceId { 1 }, due->grant, due->version);
            owner.pending.erase(due);
        }
        const bool isCurrent = &owner == domain.owners.back().get();
        if (isCurrent && owner.renews && !domain.successorAt && this->now < owner.leaseEnd && this->chance(0.02)) {
            owner.leaseEnd = std::max(owner.leaseEnd, this->now + leaseTime);
            for (std::size_t kind = 0; kind < 2; ++kind)
                owner.table.renewLease(keyOf(owner.domain, kind), owner.epoch, local + leaseTime);
        }
        if (!this->chance(0.1))
            return;
        for (const auto& request : owner.table.tick(local))
            this->send(owner.domain, request.bucket.domain.value, request);
    }

    void send(std::size_t from, std::size_t to, std::variant<LoanRequest, LoanReply> content)
    {
        if (this->domains[from].isolated || this->domains[to].isolated || this->chance(0.15))
            return;
        const int copies = this->chance(0.2) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto delay = this->chance(0.15) ? this->randomDuration(0, 8) : this->randomDuration(0.001, 0.05);
            this->messages.push_back({ this->now + delay, to, content });
        }
    }

    void deliverMessages()
    {
        std::vector<Message> due;
        std::erase_if(this->messages, [&](const Message& message) {
            if (message.at > this->now)
                return false;
            due.push_back(message);
            return true;
        });
        for (const auto& message : due) {
            auto& owners = this->domains[message.to].owners;
            auto& owner = *(this->chance(0.8) ? owners.back() : owners[this->random() % owners.size()]);
            if (owner.dead)
                continue;
            if (!this->isRunning(owner)) {
                this->messages.push_back({ owner.stalledUntil, message.to, message.content });
                continue;
            }
            const auto local = this->clockOf(owner);
            if (const auto* request = std::get_if<LoanRequest>(&message.content))
                this->send(message.to, request->borrower.value, owner.table.lend(local, *request));
            else
                this->accept(owner, std::get<LoanReply>(message.content));
        }
    }

    void accept(Owner& owner, const LoanReply& reply)
    {
        const auto before = owner.table.stats().loansAccepted;
        owner.table.acceptLoan(this->clockOf(owner), reply);
        this->report.loansAccepted += owner.table.stats().loansAccepted - before;
    }

    void sendRequests(Domain& domain)
    {
        const auto perStep = std::chrono::duration<double>(step).count();
        for (std::size_t kind = 0; kind < 2; ++kind) {
            const auto rate = domain.load * this->grant.requests.rate;
            auto count = std::poisson_distribution<int>(std::max(1e-9, rate * perStep))(this->random);
            for (; count > 0; --count) {
                const auto& owner
                    = this->chance(0.8) ? domain.owners.back() : domain.owners[this->random() % domain.owners.size()];
                if (!this->isRunning(*owner))
                    continue;
                const std::int64_t amount = kind == 0 ? 1 : static_cast<std::int64_t>(this->uniform(1, 200));
                const auto key = keyOf(owner->domain, kind);
                this->recordResult(owner, key,
                    owner->table.take(
                        this->clockOf(*owner), { key, GrantAmount { amount }, GrantSource { this->random() % 4 } }));
            }
        }
    }

    void resumeWaiting()
    {
        std::vector<Waiting> due;
        std::erase_if(this->waiting, [&](const Waiting& entry) {
            if (entry.at > this->now)
                return false;
            due.push_back(entry);
            return true;
        });
        for (const auto& entry : due) {
            if (this->isRunning(*entry.owner) && !this->chance(0.05))
                this->recordResult(entry.owner, entry.key,
                    entry.owner->table.resume(this->clockOf(*entry.owner), entry.key, entry.ticket));
        }
    }

    void recordResult(const std::shared_ptr<Owner>& owner, const BucketKey& key, const TakeResult& result)
    {
        if (!result)
            return;
        if (const auto* wait = std::get_if<GrantWait>(&*result)) {
            this->waiting.push_back({ wait->resumeAt - owner->offset, owner, key, wait->ticket });
            return;
        }
        const auto& permit = std::get<Permit>(*result);
        if (key.kind == GrantKind::Requests) {
            this->checkers[0].add(this->now, static_cast<double>(permit.amount.value));
            return;
        }
        this->tokenCharges.push_back({ this->now, permit.amount.value });
        const auto used = static_cast<std::int64_t>(static_cast<double>(permit.amount.value) * this->uniform(0, 1.5));
        this->corrections.push_back(
            { this->now + this->randomDuration(0.05, 10), permit, used, this->tokenCharges.size() - 1, owner->domain });
    }

    void correctSome(Domain& domain)
    {
        std::vector<Correction> due;
        const auto index = static_cast<std::size_t>(&domain - this->domains.data());
        std::erase_if(this->corrections, [&](const Correction& correction) {
            if (correction.at > this->now || correction.domain != index)
                return false;
            due.push_back(correction);
            return true;
        });
        for (const auto& correction : due) {
            auto& owner = *domain.owners.back();
            if (!this->isRunning(owner))
                continue;
            for (int copy = this->chance(0.2) ? 2 : 1; copy > 0; --copy)
                owner.table.correct(this->clockOf(owner), correction.permit, GrantAmount { correction.used });
            // Use beyond the estimate becomes debt of the bucket and is not charged here, because it was used before it
            // could be counted.
            this->tokenCharges[correction.chargeIndex].charged
                = std::min(correction.permit.amount.value, correction.used);
        }
    }

    struct GrantPeriod {
        WorkspaceGrant grant {};
        TimePoint from {};
        TimePoint until = TimePoint::max();
    };

    std::mt19937_64 random;
    TimePoint now { Seconds(100) };
    std::vector<Domain> domains;
    std::vector<GrantDomain> domainList;
    std::vector<GrantDomain> previousDomainList;
    TimePoint domainListChangedAt { Seconds(0) };
    WorkspaceGrant grant {};
    Offset version { 1 };
    std::vector<GrantPeriod> grantPeriods;
    bool hasReconfiguration = false;
    bool hasListChanges = false;
    double faultRate = 1;
    std::uint64_t epochs = 0;
    std::deque<Message> messages;
    std::deque<Waiting> waiting;
    std::array<WindowChecker, 2> checkers;
    std::vector<TokenCharge> tokenCharges;
    std::deque<Correction> corrections;
    Report report {};
};

} // namespace peridotramp
