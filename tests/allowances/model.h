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
        AllowanceTerms terms;
        double pressure = RoomDivision::Init {}.pressure;
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
                added.coordinators.emplace_back(this->division(domain), init.terms);
            for (std::size_t index = 0; index < init.instances; ++index) {
                added.instances.push_back({ LeasedAllowance(init.terms), { 1 } });
                added.instances.back().startedAt = this->time - Seconds(60);
            }
        }
        this->setFleet();
    }

    std::size_t size() const { return this->init.domains * this->init.instances; }
    TimePoint now() const { return this->time; }

    /// Starts or ends a network partition between a domain and the others.
    void cutDomain(std::size_t domain, bool cut) { this->domains[domain].cut = cut; }
    /// Starts or ends a network partition between an instance and its coordinators.
    void cutInstance(std::size_t index, bool cut)
    {
        auto& changed = this->instance(index);
        if (cut && !changed.cut)
            changed.cutAt = this->time;
        changed.cut = cut;
    }
    /// Stops the active coordinator of a domain; the other one takes over.
    void changeCoordinator(std::size_t domain)
    {
        auto& changed = this->domains[domain];
        changed.active().division().release();
        changed.activeIndex = 1 - changed.activeIndex;
        changed.activeFrom = this->time + takeOver;
    }
    /// Kills an instance and starts it again without its state and leases.
    void restart(std::size_t index)
    {
        auto& killed = this->instance(index);
        killed.allowance = LeasedAllowance(this->init.terms);
        killed.startedAt = this->time;
        killed.cutAt = this->time;
        killed.marks = {};
        ++killed.incarnation.value;
    }
    /// Kills all instances of a domain, including its coordinators, and starts them again.
    void restartDomain(std::size_t domain)
    {
        auto& killed = this->domains[domain];
        for (auto& coordinator : killed.coordinators)
            coordinator = DomainAllowance(this->division(domain), this->init.terms);
        for (std::size_t index = 0; index < killed.instances.size(); ++index)
            this->restart(domain * this->init.instances + index);
        killed.activeFrom = this->time + takeOver;
        killed.startedAt = this->time;
        ++killed.incarnation.value;
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
        while (!this->window.empty() && this->window.front() + this->init.terms.window <= this->time)
            this->window.pop_front();
    }

    /// Sends a request to an instance and returns whether it was admitted; `isFirst` is false for a retry.
    bool ask(std::size_t index, ProgramStage stage = ProgramStage::Continues, bool isFirst = true)
    {
        auto& asked = this->instance(index);
        auto& allowance = asked.allowance;
        const bool reached = !asked.cut && this->time >= this->domainOf(index).activeFrom;
        bool admitted = isFirst ? allowance.admit(this->time, stage) : allowance.admitWaiting(this->time, stage);
        if (!admitted && reached) {
            this->lease(index, stage);
            admitted = allowance.admitWaiting(this->time, stage);
        }
        if (admitted) {
            this->window.push_back(this->time);
            this->most = std::max(this->most, this->window.size());
        }
        return admitted;
    }

    /// Maximum number of requests admitted in any window.
    std::size_t most = 0;

private:
    static constexpr Milliseconds takeOver { 450 };
    static constexpr Milliseconds uncoordinatedAfter { 450 };
    static constexpr Milliseconds instanceSilence { 350 };

    struct Instance {
        LeasedAllowance allowance;
        Incarnation incarnation;
        bool cut = false;
        TimePoint cutAt {};
        TimePoint startedAt {};
        // Number of the newest lease of each coordinator.
        std::array<std::uint64_t, 2> marks {};
    };
    struct Domain {
        std::vector<DomainAllowance> coordinators;
        std::size_t activeIndex = 0;
        // Time from which the active coordinator grants leases.
        TimePoint activeFrom {};
        Incarnation incarnation { 1 };
        TimePoint startedAt {};
        std::vector<Instance> instances;
        bool cut = false;

        DomainAllowance& active() { return this->coordinators[this->activeIndex]; }
    };

    RoomDivision::Init division(std::size_t domain) const
    {
        return { .self = { domain }, .pressure = this->init.pressure };
    }
    Domain& domainOf(std::size_t index) { return this->domains[index / this->init.instances]; }
    Instance& instance(std::size_t index)
    {
        return this->domains[index / this->init.instances].instances[index % this->init.instances];
    }

    bool isLost() { return std::bernoulli_distribution(this->init.lossProbability)(this->random); }
    bool areApart(std::size_t first, std::size_t second) const
    {
        return first != second && (this->domains[first].cut || this->domains[second].cut);
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
            FleetCount count { this->size(), this->init.instances, {} };
            for (std::size_t place = 0; place < domain.instances.size(); ++place) {
                auto& entry = domain.instances[place];
                const auto alone = entry.cut ? this->time - entry.cutAt : Duration(0);
                if (alone > instanceSilence)
                    count.silent.insert({ place });
                const bool isCoordinated = alone <= uncoordinatedAfter && this->time >= domain.activeFrom;
                entry.allowance.setFleet(this->size(), isCoordinated, this->time);
            }
            for (auto& coordinator : domain.coordinators)
                coordinator.setFleet(count, shares);
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
                if (!reporter.cut && !this->isLost())
                    domain.coordinators[coordinator].hearInstance(
                        { { index }, reporter.incarnation, this->time - reporter.startedAt }, use,
                        reporter.marks[coordinator], this->time);
            }
        }
        if (this->time < domain.activeFrom)
            return;
        domain.active().rebalance(this->time);
        const auto use = domain.active().report(this->time);
        const auto remembered = domain.active().division().remembered(this->time);
        const ReportingInstance coordinator { { domain.activeIndex }, domain.incarnation,
            this->time - domain.startedAt };
        for (std::size_t to = 0; to < this->domains.size(); ++to) {
            if (to == from || this->areApart(from, to))
                continue;
            const auto own = std::ranges::find(remembered, DomainId { to }, &RememberedUse::domain);
            for (auto& other : this->domains[to].coordinators) {
                if (this->isLost())
                    continue;
                other.division().hear({ from }, coordinator, use, this->time);
                if (own != remembered.end())
                    other.recall(own->held, this->time);
            }
        }
    }

    void lease(std::size_t index, ProgramStage stage)
    {
        const auto place = index / this->init.instances;
        auto& domain = this->domains[place];
        auto& asking = this->instance(index);
        const auto grant = [&] {
            return domain.active().lease({ index % this->init.instances }, stage, asking.allowance.wanted(this->time),
                ++this->leases, this->time);
        };
        auto lease = grant();
        if (lease.requests == 0) {
            for (const auto lender : domain.active().division().lenders(stage, this->time)) {
                if (!this->areApart(place, lender.value) && this->time >= this->domains[lender.value].activeFrom)
                    domain.active().division().borrow(this->domains[lender.value].active().division().lend(stage));
            }
            lease = grant();
        }
        asking.marks[domain.activeIndex] = lease.number;
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
