#pragma once

#include "peridotramp/grants.h"

#include <algorithm>
#include <queue>
#include <random>

namespace peridotramp {

/// Demand and faults of one run.
struct Scenario {
    std::string name;
    /// Fraction of a workspace's requests that arrive in its busiest failure domain; the others share the rest.
    double busiestFraction = 0;
    /// Time after which the busiest failure domain changes; zero when it never does.
    Duration shiftInterval {};
    /// A network partition separates failure domain 1 from the others from one third to two thirds of the run.
    bool partitioned = false;
    /// A node of failure domain 0 is killed every 30 s; the buckets that it owned have a new owner after 10 s
    /// (detection and lease).
    bool killsNodes = false;
    /// Requests of a failure domain without owner go to the bucket of the next one.
    bool failover = false;
};

struct Fleet {
    std::size_t domains = 3;
    std::size_t nodesPerDomain = 4;
    std::vector<GrantLimit> workspaces {};
    /// Mean demand of each workspace as a fraction of its rate.
    double load = 0.8;
    Duration duration = Seconds(120);
};

struct Outcomes {
    std::uint64_t requests = 0;
    /// Requests within the workspace's fleet-wide rate and burst, according to an ideal bucket.
    std::uint64_t withinLimit = 0;
    std::uint64_t wrongfulRefusals = 0;
    std::uint64_t granted = 0;
    std::uint64_t loanMessages = 0;
    double waitedSeconds = 0;

    double wrongfulPerThousand() const
    {
        return 1000 * static_cast<double>(this->wrongfulRefusals)
            / static_cast<double>(std::max<std::uint64_t>(1, this->withinLimit));
    }
};

/// Runs one scenario in virtual time: with one bucket per failure domain and loans, or as the baseline with a static
/// share per node. Both have the same queue and receive the same requests.
class GrantSimulation {
public:
    GrantSimulation(const Scenario& scenario, const Fleet& fleet, std::uint64_t seed, bool isBaseline)
        : scenario(scenario)
        , fleet(fleet)
        , random(seed)
        , faultRandom(seed + 1)
        , isBaseline(isBaseline)
        , idealBuckets(fleet.workspaces.size())
    {
        const auto holders = isBaseline ? fleet.domains * fleet.nodesPerDomain : fleet.domains;
        for (std::size_t index = 0; index < holders; ++index)
            this->holders.push_back({ DomainId { index } });
        for (std::size_t index = 0; index < holders; ++index)
            this->openTable(index, this->begin);
        for (std::size_t workspace = 0; workspace < fleet.workspaces.size(); ++workspace)
            this->idealBuckets[workspace] = { fleet.workspaces[workspace].burst, this->begin };
    }

    Outcomes run()
    {
        // Buckets start empty; they fill before the first request.
        this->now = this->begin + Seconds(30);
        this->end = this->now + this->fleet.duration;
        for (std::size_t workspace = 0; workspace < this->fleet.workspaces.size(); ++workspace)
            this->scheduleArrival(workspace);
        for (std::size_t holder = 0; holder < this->holders.size() && !this->isBaseline; ++holder)
            this->at(this->now + Milliseconds(this->faultRandom() % 100),
                [this, holder] { this->tickPeriodically(holder); });
        if (this->scenario.killsNodes) {
            for (auto time = this->now + Seconds(15); time < this->end; time += Seconds(30))
                this->at(time, [this] { this->killOwner(); });
        }
        while (!this->events.empty() && this->events.top().at < this->end + Seconds(1)) {
            auto event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.action();
        }
        return this->outcomes;
    }

private:
    struct Holder {
        DomainId id {};
        GrantTable table {};
        /// The baseline's node is dead.
        bool dead = false;
        /// Dead node of the failure domain; the buckets that it owned have no owner.
        std::optional<std::size_t> deadNode {};
    };

    struct IdealBucket {
        double level = 0;
        TimePoint at {};
    };

    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };

    void at(TimePoint time, std::function<void()> action)
    {
        this->events.push({ time, this->order++, std::move(action) });
    }

    void openTable(std::size_t index, TimePoint from)
    {
        auto& holder = this->holders[index];
        holder.table = GrantTable({ this->faultRandom(), {} });
        std::vector<GrantDomain> list;
        list.reserve(this->holders.size());
        for (std::size_t other = 0; other < this->holders.size(); ++other)
            list.push_back({ DomainId { other } });
        holder.table.configureDomains(from, list, Offset { 1 });
        for (std::size_t workspace = 0; workspace < this->fleet.workspaces.size(); ++workspace) {
            holder.table.configure(
                from, WorkspaceId { workspace }, { this->fleet.workspaces[workspace], {} }, Offset { 1 });
            holder.table.open(
                from, this->keyOf(workspace, index), Epoch { ++this->epochs }, { from, TimePoint::max() });
        }
    }

    /// Workspaces are spread over the nodes of a failure domain.
    bool lacksOwner(std::size_t workspace, std::size_t holder) const
    {
        const auto& owner = this->holders[holder];
        return owner.dead || (owner.deadNode && workspace % this->fleet.nodesPerDomain == *owner.deadNode);
    }

    BucketKey keyOf(std::size_t workspace, std::size_t holder) const
    {
        return { WorkspaceId { workspace }, DomainId { holder }, GrantKind::Requests };
    }

    void scheduleArrival(std::size_t workspace)
    {
        const auto rate = this->fleet.workspaces[workspace].rate * this->fleet.load;
        const std::chrono::duration<double> interval(std::exponential_distribution<>(rate)(this->random));
        const auto time = this->now + std::chrono::duration_cast<Duration>(interval);
        if (time >= this->end)
            return;
        this->at(time, [this, workspace] {
            this->arrive(workspace);
            this->scheduleArrival(workspace);
        });
    }

    std::size_t chooseDomain(std::size_t workspace)
    {
        const auto phase
            = this->scenario.shiftInterval > Duration(0) ? (this->now - this->begin) / this->scenario.shiftInterval : 0;
        const auto busiest = (workspace + static_cast<std::size_t>(phase)) % this->fleet.domains;
        const auto draw = std::uniform_real_distribution<>()(this->random);
        const auto other = this->random() % this->fleet.domains;
        if (this->scenario.busiestFraction <= 0)
            return other;
        return draw < this->scenario.busiestFraction
            ? busiest
            : (busiest + 1 + other % (this->fleet.domains - 1)) % this->fleet.domains;
    }

    bool isWithinLimit(std::size_t workspace)
    {
        auto& bucket = this->idealBuckets[workspace];
        const auto& limit = this->fleet.workspaces[workspace];
        const auto gain = limit.rate * std::chrono::duration<double>(this->now - bucket.at).count();
        bucket.level = std::min(limit.burst, bucket.level + gain);
        bucket.at = this->now;
        if (bucket.level < 1)
            return false;
        bucket.level -= 1;
        return true;
    }

    std::size_t chooseHolder(std::size_t workspace, std::size_t domain, std::uint64_t draw)
    {
        if (!this->isBaseline) {
            const bool moves = this->lacksOwner(workspace, domain) && this->scenario.failover;
            return moves ? (domain + 1) % this->fleet.domains : domain;
        }
        // The load balancer spreads requests over the live nodes of the failure domain.
        auto node = draw % this->fleet.nodesPerDomain;
        if (this->holders[domain * this->fleet.nodesPerDomain + node].dead)
            node = (node + 1) % this->fleet.nodesPerDomain;
        return domain * this->fleet.nodesPerDomain + node;
    }

    void arrive(std::size_t workspace)
    {
        const auto domain = this->chooseDomain(workspace);
        const auto draw = this->random();
        const bool within = this->isWithinLimit(workspace);
        ++this->outcomes.requests;
        this->outcomes.withinLimit += within ? 1 : 0;
        const auto holder = this->chooseHolder(workspace, domain, draw);
        if (this->lacksOwner(workspace, holder)) {
            this->outcomes.wrongfulRefusals += within ? 1 : 0;
            return;
        }
        const auto result = this->holders[holder].table.take(this->now, { this->keyOf(workspace, holder) });
        this->recordResult(workspace, holder, within, this->now, result);
    }

    void recordResult(
        std::size_t workspace, std::size_t holder, bool within, TimePoint arrived, const TakeResult& result)
    {
        if (!result) {
            this->outcomes.wrongfulRefusals += within ? 1 : 0;
            return;
        }
        if (std::holds_alternative<Permit>(*result)) {
            ++this->outcomes.granted;
            this->outcomes.waitedSeconds += std::chrono::duration<double>(this->now - arrived).count();
            return;
        }
        const auto wait = std::get<GrantWait>(*result);
        this->at(wait.resumeAt, [=, this] {
            this->recordResult(workspace, holder, within, arrived,
                this->holders[holder].table.resume(this->now, this->keyOf(workspace, holder), wait.ticket));
        });
        this->sendLoanRequests(holder);
    }

    void tickPeriodically(std::size_t holder)
    {
        this->sendLoanRequests(holder);
        if (this->now < this->end)
            this->at(this->now + Milliseconds(100), [this, holder] { this->tickPeriodically(holder); });
    }

    bool isReachable(std::size_t from, std::size_t to) const
    {
        const auto third = this->fleet.duration / 3;
        const auto elapsed = this->now - (this->end - this->fleet.duration);
        const bool isPartitionedNow = this->scenario.partitioned && elapsed >= third && elapsed < 2 * third;
        return !isPartitionedNow || (from != 1 && to != 1);
    }

    Duration delay(std::size_t from, std::size_t to) const
    {
        return (from >= 3) != (to >= 3) ? Duration(Milliseconds(40)) : Duration(Microseconds(1500));
    }

    void sendLoanRequests(std::size_t from)
    {
        if (this->isBaseline)
            return;
        for (const auto& request : this->holders[from].table.tick(this->now)) {
            ++this->outcomes.loanMessages;
            const auto to = static_cast<std::size_t>(request.bucket.domain.value);
            if (this->isReachable(from, to))
                this->at(this->now + this->delay(from, to),
                    [this, from, to, request] { this->answerLoanRequest(from, to, request); });
        }
    }

    void answerLoanRequest(std::size_t from, std::size_t to, const LoanRequest& request)
    {
        if (this->lacksOwner(request.bucket.workspace.value, to))
            return;
        const auto reply = this->holders[to].table.lend(this->now, request);
        ++this->outcomes.loanMessages;
        if (!this->isReachable(to, from))
            return;
        this->at(this->now + this->delay(to, from),
            [this, from, reply] { this->holders[from].table.acceptLoan(this->now, reply); });
    }

    void killOwner()
    {
        const auto node = this->kills++ % this->fleet.nodesPerDomain;
        const auto from = this->now + Seconds(10);
        if (this->isBaseline) {
            this->holders[node].dead = true;
            this->at(from, [this, node, from] {
                this->openTable(node, from);
                this->holders[node].dead = false;
            });
            return;
        }
        this->holders[0].deadNode = node;
        for (std::size_t workspace = node; workspace < this->fleet.workspaces.size();
            workspace += this->fleet.nodesPerDomain)
            this->holders[0].table.close(this->keyOf(workspace, 0));
        this->at(from, [this, node, from] {
            this->holders[0].deadNode.reset();
            for (std::size_t workspace = node; workspace < this->fleet.workspaces.size();
                workspace += this->fleet.nodesPerDomain)
                this->holders[0].table.open(
                    from, this->keyOf(workspace, 0), Epoch { ++this->epochs }, { from, TimePoint::max() });
        });
    }

    Scenario scenario;
    Fleet fleet;
    std::mt19937_64 random;
    std::mt19937_64 faultRandom;
    bool isBaseline;
    std::vector<Holder> holders;
    std::vector<IdealBucket> idealBuckets;
    std::priority_queue<Event> events;
    std::uint64_t order = 0;
    std::uint64_t epochs = 0;
    std::size_t kills = 0;
    TimePoint begin { Seconds(1000) };
    TimePoint now {};
    TimePoint end {};
    Outcomes outcomes {};
};

} // namespace peridotramp
