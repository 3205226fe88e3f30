#pragma once

#include "peridotramp/allowances.h"

#include <algorithm>
#include <deque>
#include <random>

namespace peridotramp {

/// Simulation of failure domains whose instances lease quota of one allowance from the active one of two coordinators.
/// Reports are sent periodically, and some are lost. Time advances in steps of 10 ms.
class AllowanceModel {
public:
    struct Init {
        std::size_t domains = 3;
        std::size_t instances = 3;
        AllowanceSettings settings;
        double nearLimitFraction = QuotaDivision::Init {}.nearLimitFraction;
        /// Probability that a report is lost.
        double lossProbability = 0.05;
        unsigned seed = 1;
    };

    explicit AllowanceModel(Init init)
        : init(init)
        , random(init.seed)
    {
        for (std::size_t domain = 0; domain < init.domains; ++domain) {
            Domain& added = this->domains.emplace_back();
            // The whole fleet starts for the first time.
            added.startedAt = this->time - Seconds(60);
            for (int coordinator = 0; coordinator < 2; ++coordinator)
                added.coordinators.emplace_back(this->division(domain), init.settings);
            for (std::size_t index = 0; index < init.instances; ++index) {
                added.instances.push_back({ LeasedAllowance(init.settings), { 1 } });
                added.instances.back().startedAt = this->time - Seconds(60);
            }
        }
        this->setFleet();
    }

    std::size_t size() const { return this->init.domains * this->init.instances; }
    TimePoint now() const { return this->time; }
    /// Number of requests that the whole fleet has admitted within the window.
    std::size_t inWindow() const { return this->window.size(); }

    /// Starts or ends a network partition between a domain and the others.
    void setDomainPartitioned(std::size_t domain, bool partitioned) { this->domains[domain].partitioned = partitioned; }
    /// Starts or ends a network partition between an instance and its coordinators.
    void setInstancePartitioned(std::size_t index, bool partitioned)
    {
        auto& target = this->instance(index);
        if (partitioned && !target.partitioned)
            target.partitionedAt = this->time;
        target.partitioned = partitioned;
    }
    /// Stops the active coordinator of a domain; the other one takes over.
    void failCoordinator(std::size_t domain)
    {
        auto& target = this->domains[domain];
        target.active().division().release();
        target.activeIndex = 1 - target.activeIndex;
        target.activeFrom = this->time + takeoverDelay;
    }
    /// Kills an instance and starts it again without its state and leases.
    void restart(std::size_t index)
    {
        auto& restarted = this->instance(index);
        restarted.allowance = LeasedAllowance(this->init.settings);
        restarted.startedAt = this->time;
        restarted.partitionedAt = this->time;
        restarted.newestLeases = {};
        ++restarted.incarnation.value;
    }
    /// Kills all instances of a domain, including its coordinators, and starts them again.
    void restartDomain(std::size_t domain)
    {
        auto& restarted = this->domains[domain];
        for (auto& coordinator : restarted.coordinators)
            coordinator = DomainAllowance(this->division(domain), this->init.settings);
        for (std::size_t index = 0; index < restarted.instances.size(); ++index)
            this->restart(domain * this->init.instances + index);
        restarted.activeFrom = this->time + takeoverDelay;
        restarted.startedAt = this->time;
        ++restarted.incarnation.value;
    }

    /// Advances the time by 10 ms.
    void step()
    {
        this->time += Milliseconds(10);
        ++this->steps;
        for (std::size_t index = 0; index < this->domains.size(); ++index) {
            // Domains report at different times.
            if ((this->steps + index * 3) % 10 == 0)
                this->report(index);
        }
        while (!this->window.empty() && this->window.front() + this->init.settings.window <= this->time)
            this->window.pop_front();
    }

    /// Sends a request to an instance and returns whether it was admitted; `isFirst` is false for a retry.
    bool ask(std::size_t index, ProgramStage stage = ProgramStage::Continues, bool isFirst = true)
    {
        auto& target = this->instance(index);
        auto& allowance = target.allowance;
        const bool reached = !target.partitioned && this->time >= this->domainOf(index).activeFrom;
        bool admitted = isFirst ? allowance.admit(this->time, stage) : allowance.retryAdmission(this->time, stage);
        if (!admitted && reached) {
            this->lease(index, stage);
            admitted = allowance.retryAdmission(this->time, stage);
        }
        if (admitted) {
            this->window.push_back(this->time);
            this->maxInWindow = std::max(this->maxInWindow, this->window.size());
        }
        return admitted;
    }

    /// Maximum number of requests admitted in any window.
    std::size_t maxInWindow = 0;

private:
    static constexpr Milliseconds takeoverDelay { 450 };
    static constexpr Milliseconds uncoordinatedAfter { 450 };
    static constexpr Milliseconds instanceSilence { 350 };

    struct Instance {
        LeasedAllowance allowance;
        Incarnation incarnation;
        bool partitioned = false;
        TimePoint partitionedAt {};
        TimePoint startedAt {};
        // Number of the newest lease of each coordinator.
        std::array<std::uint64_t, 2> newestLeases {};
    };
    struct Domain {
        std::vector<DomainAllowance> coordinators;
        std::size_t activeIndex = 0;
        // Time from which the active coordinator grants leases.
        TimePoint activeFrom {};
        Incarnation incarnation { 1 };
        TimePoint startedAt {};
        std::vector<Instance> instances;
        bool partitioned = false;

        DomainAllowance& active() { return this->coordinators[this->activeIndex]; }
    };

    QuotaDivision::Init division(std::size_t domain) const
    {
        return { .self = { domain }, .nearLimitFraction = this->init.nearLimitFraction };
    }
    Domain& domainOf(std::size_t index) { return this->domains[index / this->init.instances]; }
    Instance& instance(std::size_t index)
    {
        return this->domains[index / this->init.instances].instances[index % this->init.instances];
    }

    bool isLost() { return std::bernoulli_distribution(this->init.lossProbability)(this->random); }
    bool arePartitioned(std::size_t first, std::size_t second) const
    {
        return first != second && (this->domains[first].partitioned || this->domains[second].partitioned);
    }

    void setFleet()
    {
        for (std::size_t index = 0; index < this->domains.size(); ++index) {
            std::map<DomainId, double> shares;
            for (std::size_t other = 0; other < this->domains.size(); ++other) {
                if (other != index)
                    shares[{ other }] = 1.0 / static_cast<double>(this->domains.size());
            }
            auto& domain = this->domains[index];
            FleetState fleetState { this->size(), this->init.instances, {} };
            for (std::size_t position = 0; position < domain.instances.size(); ++position) {
                auto& member = domain.instances[position];
                const auto silence = member.partitioned ? this->time - member.partitionedAt : Duration(0);
                if (silence > instanceSilence)
                    fleetState.silent.insert({ position });
                const bool isCoordinated = silence <= uncoordinatedAfter && this->time >= domain.activeFrom;
                member.allowance.setFleet(this->size(), isCoordinated, this->time);
            }
            for (auto& coordinator : domain.coordinators)
                coordinator.setFleet(fleetState, shares);
        }
    }

    void report(std::size_t from)
    {
        this->setFleet();
        auto& domain = this->domains[from];
        for (std::size_t index = 0; index < domain.instances.size(); ++index) {
            auto& reporter = domain.instances[index];
            const auto use = reporter.allowance.report(this->time);
            for (std::size_t coordinator = 0; coordinator < domain.coordinators.size(); ++coordinator) {
                if (!reporter.partitioned && !this->isLost())
                    domain.coordinators[coordinator].applyInstanceReport(
                        { { index }, reporter.incarnation, this->time - reporter.startedAt }, use,
                        reporter.newestLeases[coordinator], this->time);
            }
        }
        if (this->time < domain.activeFrom)
            return;
        domain.active().rebalance(this->time);
        const auto use = domain.active().report(this->time);
        const auto restartedUses = domain.active().division().knownUsesBeforeRestart(this->time);
        const ReportingInstance coordinator { { domain.activeIndex }, domain.incarnation,
            this->time - domain.startedAt };
        for (std::size_t to = 0; to < this->domains.size(); ++to) {
            if (to == from || this->arePartitioned(from, to))
                continue;
            const auto own = std::ranges::find(restartedUses, DomainId { to }, &UseBeforeRestart::domain);
            for (auto& other : this->domains[to].coordinators) {
                if (this->isLost())
                    continue;
                other.division().applyReport({ from }, coordinator, use, this->time);
                if (own != restartedUses.end())
                    other.setUseBeforeRestart(own->requests, this->time);
            }
        }
    }

    void lease(std::size_t index, ProgramStage stage)
    {
        const auto position = index / this->init.instances;
        auto& domain = this->domains[position];
        auto& asking = this->instance(index);
        const auto grant = [&] {
            return domain.active().lease({ index % this->init.instances }, stage,
                asking.allowance.leaseSize(this->time), ++this->leases, this->time);
        };
        auto lease = grant();
        if (lease.requests == 0) {
            for (const auto lender : domain.active().division().lenders(stage, this->time)) {
                if (!this->arePartitioned(position, lender.value)
                    && this->time >= this->domains[lender.value].activeFrom)
                    domain.active().division().borrow(this->domains[lender.value].active().division().lend(stage));
            }
            lease = grant();
        }
        asking.newestLeases[domain.activeIndex] = lease.number;
        asking.allowance.add(lease, this->time);
    }

    Init init;
    std::mt19937 random;
    std::vector<Domain> domains;
    TimePoint time { Seconds(1000) };
    std::size_t steps = 0;
    std::uint64_t leases = 0;
    std::deque<TimePoint> window;
};

} // namespace peridotramp
