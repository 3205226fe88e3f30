#pragma once

#include "peridotramp/membership.h"

#include <algorithm>
#include <queue>
#include <random>

namespace peridotramp {

/// Simulates nodes in virtual time that exchange messages by direct calls, with message loss, network partitions,
/// stalls and restarts. Used by the benchmark and the tests.
class Fleet {
public:
    struct Node {
        DomainId domain {};
        MemberAddresses addresses {};
        std::optional<Membership> membership {};
        Offset version {};
        bool running = true;
        bool stalled = false;
        /// Datagrams that the kernel buffers for a stalled process.
        std::vector<MembershipMessage> inbox {};
    };

    struct Init {
        std::size_t nodes = 12;
        std::size_t domains = 3;
        std::uint64_t seed = 1;
        Membership::Limits limits {};
    };

    explicit Fleet(const Init& init)
        : init(init)
        , random(init.seed)
    {
        for (std::size_t index = 0; index < init.nodes; ++index)
            this->add(DomainId { index % init.domains });
        this->mergeTables();
    }

    /// Starts a node that knows only the seeds and returns its index.
    std::size_t add(DomainId domain, const std::optional<MemberAddresses>& addresses = std::nullopt)
    {
        const auto index = this->nodes.size();
        const auto host = "10." + std::to_string(domain.value) + "." + std::to_string(index / 250) + "."
            + std::to_string(index % 250);
        this->nodes.push_back(
            { domain, addresses.value_or(MemberAddresses { { host, 7001 }, { host, 7002 }, { host, 7003 } }) });
        this->start(index);
        this->push(this->now + Milliseconds(this->random() % 100), { Event::Tick, index });
        return index;
    }

    /// Starts or restarts the process of a node.
    void start(std::size_t index)
    {
        auto& node = this->nodes[index];
        Membership::Init settings;
        settings.node = NodeId { index };
        settings.incarnation
            = Incarnation { static_cast<std::uint64_t>(this->now.time_since_epoch() / Milliseconds(1)) + 1 };
        settings.domain = node.domain;
        settings.addresses = node.addresses;
        settings.randomSeed = this->random();
        settings.limits = this->init.limits;
        for (std::size_t seed = 0; seed < std::min(this->init.domains, this->nodes.size()); ++seed)
            settings.seeds.push_back(this->nodes[seed].addresses.udp);
        node.membership.emplace(settings, this->now);
        node.version = Offset {};
        node.running = true;
        node.stalled = false;
        node.inbox.clear();
        this->byAddress[node.addresses.udp] = index;
    }

    void kill(std::size_t index) { this->nodes[index].running = false; }
    void stall(std::size_t index) { this->nodes[index].stalled = true; }

    void resume(std::size_t index)
    {
        auto& node = this->nodes[index];
        node.stalled = false;
        for (const auto& message : std::exchange(node.inbox, {}))
            this->deliver(index, message);
    }

    /// Gives every node the complete table, as a table reply does.
    void mergeTables()
    {
        std::vector<MemberUpdate> updates;
        updates.reserve(this->nodes.size());
        for (auto& node : this->nodes)
            updates.push_back(node.membership->find(NodeId { updates.size() })->update);
        for (auto& node : this->nodes)
            node.membership->merge(this->now, updates);
    }

    void run(Duration duration)
    {
        const auto end = this->now + duration;
        while (!this->events.empty() && this->events.top().at <= end) {
            auto entry = this->events.top();
            this->events.pop();
            this->now = std::max(this->now, entry.at);
            this->handle(entry.event);
        }
        this->now = end;
    }

    /// Runs in steps of `step` until the condition holds; returns the time taken, or nothing after `limit`.
    std::optional<Duration> runUntil(
        const std::function<bool()>& condition, Duration limit, Duration step = Milliseconds(50))
    {
        const auto start = this->now;
        while (!condition()) {
            if (this->now - start >= limit)
                return std::nullopt;
            this->run(step);
        }
        return this->now - start;
    }

    void setVersion(std::size_t index, Offset version)
    {
        this->nodes[index].version = version;
        this->sendAll(index, this->nodes[index].membership->setConfigurationVersion(this->now, version));
    }

    /// Calls `function(observer index, member)` for each entry in the member list of each running node.
    void forEachView(const std::function<void(std::size_t, const Member&)>& function)
    {
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            const auto& node = this->nodes[index];
            if (!node.running || node.stalled)
                continue;
            for (const auto& member : node.membership->members())
                function(index, member);
        }
    }

    /// Returns whether all running nodes list `subject` in this state.
    bool allList(std::size_t subject, MemberState state)
    {
        return std::ranges::all_of(this->nodes, [&](const Node& node) {
            if (!node.running || node.stalled || &node == &this->nodes[subject])
                return true;
            const auto member = node.membership->find(NodeId { subject });
            return member && member->update.state == state;
        });
    }

    /// Returns whether all running nodes list all running nodes as alive.
    bool hasConverged()
    {
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            if (this->nodes[index].running && !this->allList(index, MemberState::Alive))
                return false;
        }
        return true;
    }

    std::uint64_t sum(std::uint64_t Membership::Stats::* counter)
    {
        std::uint64_t total = 0;
        for (const auto& node : this->nodes)
            total += node.membership->stats().*counter;
        return total;
    }

    void sendAll(std::size_t from, std::vector<OutgoingMembership> messages)
    {
        for (auto& outgoing : messages) {
            const auto size = estimatedSize(outgoing.message);
            this->maxMessageSize = std::max(this->maxMessageSize, size);
            if (outgoing.message.kind == MembershipMessageKind::Announce)
                this->announcedBytes += size;
            const auto to = this->byAddress.find(outgoing.address);
            if (to == this->byAddress.end() || this->isLost(from, to->second))
                continue;
            this->push(this->now + this->latency(from, to->second),
                { Event::Message, to->second, std::move(outgoing.message) });
        }
    }

    std::vector<Node> nodes;
    TimePoint now { Seconds(1000) };
    /// Fraction of datagrams that are lost.
    double loss = 0;
    /// Returns whether a network partition drops the datagrams from one failure domain to another.
    std::function<bool(DomainId from, DomainId to)> isPartitioned;
    /// One-way delay; the last two failure domains of five lie in another region.
    std::function<Duration(DomainId from, DomainId to)> delay = [](DomainId from, DomainId to) -> Duration {
        return (from.value >= 3) != (to.value >= 3) ? Milliseconds(40) : Microseconds(1500);
    };
    ByteCount maxMessageSize {};
    /// Bytes of all announcements.
    ByteCount announcedBytes {};

private:
    struct Event {
        enum Kind : std::uint8_t { Tick, Message, Fetched } kind = Tick;
        std::size_t node = 0;
        MembershipMessage message {};
        Offset version {};
    };

    struct Entry {
        TimePoint at;
        std::uint64_t order = 0;
        Event event;
        bool operator<(const Entry& other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };

    void push(TimePoint at, Event event) { this->events.push({ at, this->order++, std::move(event) }); }

    Duration latency(std::size_t from, std::size_t to)
    {
        return this->delay(this->nodes[from].domain, this->nodes[to].domain);
    }

    bool isLost(std::size_t from, std::size_t to)
    {
        if (this->isPartitioned && this->isPartitioned(this->nodes[from].domain, this->nodes[to].domain))
            return true;
        return std::uniform_real_distribution<>()(this->random) < this->loss;
    }

    void handle(Event& event)
    {
        auto& node = this->nodes[event.node];
        if (event.kind == Event::Tick) {
            this->push(this->now + Milliseconds(100), { Event::Tick, event.node });
            if (node.running && !node.stalled)
                this->sendAll(event.node, node.membership->tick(this->now));
        } else if (event.kind == Event::Message) {
            if (node.running && node.stalled)
                node.inbox.push_back(std::move(event.message));
            else if (node.running)
                this->deliver(event.node, event.message);
        } else if (node.running) {
            this->setVersion(event.node, event.version);
        }
    }

    void deliver(std::size_t index, const MembershipMessage& message)
    {
        auto& node = this->nodes[index];
        this->sendAll(index, node.membership->receive(this->now, message));
        const auto version = message.configurationVersion;
        const bool behind = version.isValid() && (!node.version.isValid() || node.version < version);
        if (!behind)
            return;
        // A node with an older version fetches the documents over TCP: one round trip to connect, one for the request.
        node.version = version;
        const auto roundTrips = 4 * this->latency(index, message.sender.node.value);
        this->push(this->now + roundTrips, { Event::Fetched, index, {}, version });
    }

    Init init;
    std::mt19937_64 random;
    std::map<Address, std::size_t> byAddress;
    std::priority_queue<Entry> events;
    std::uint64_t order = 0;
};

} // namespace peridotramp
