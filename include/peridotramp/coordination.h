#pragma once

#include "peridotramp/core.h"

// Used by the ingress on the platform, through `Fleet`. The nodes of the scheduler use `membership.h` instead.

namespace peridotramp {

/// An instance as it announces itself to the others.
struct FleetMember {
    /// Unique among the instances; a restarted instance has the same name.
    std::string name;
    std::string domain;
    /// TCP and UDP address for other instances.
    Address address;
    /// Processor share in cores. Instances with more capacity are preferred as coordinators and hold the state of more
    /// programs.
    double capacity = 1;

    NodeId id() const { return idFromName<NodeId>(this->name); }
    bool operator==(const FleetMember&) const = default;
};

/// State that an instance reports about itself, in addition to its address.
struct PeerState {
    /// Whether the instance can reach the metadata store.
    bool storeReachable = false;
    /// Whether the instance is shutting down: it completes its requests and accepts no new state.
    bool draining = false;

    bool operator==(const PeerState&) const = default;
};

/// Another instance, as this one knows it.
struct Peer {
    NodeId id;
    FleetMember member;
    PeerState state {};
    /// Time of the last message from the instance, to this instance or to one that reported it here.
    TimePoint heardAt {};
    bool heard = false;
    /// Time of the instance's last announcement.
    TimePoint announcedAt {};

    Duration timeSinceHeard(TimePoint now) const { return now - this->heardAt; }
};

/// Time without a message after which an instance counts as unreachable.
constexpr Milliseconds peerTimeout { 900 };

/// Table of the other instances, as this one knows them.
class MemberTable {
public:
    explicit MemberTable(FleetMember self)
        : self(std::move(self))
    {
    }

    /// Adds an instance or replaces its earlier announcement; returns whether anything changed.
    bool addOrUpdate(const FleetMember& member, TimePoint now);
    void remove(NodeId id);
    /// Records a message from an instance at time `at`; a time that is not later than the known one is ignored. Returns
    /// whether this made an unreachable instance reachable at `now`. Instances that are not in the table are ignored.
    bool recordContact(NodeId id, TimePoint at, PeerState state, TimePoint now);
    const Peer* find(NodeId id) const;
    std::vector<Peer> all() const;
    std::vector<Peer> reachable(TimePoint now) const;
    std::vector<Peer> ofDomain(std::string_view domain) const;
    /// Number of instances, this one included.
    std::size_t size() const { return this->peers.size() + 1; }

private:
    FleetMember self;
    std::map<NodeId, Peer> peers;
};

/// Returns the members in order of preference as coordinators: by descending capacity, ties broken by a hash of the
/// name.
std::vector<FleetMember> coordinatorOrder(std::vector<FleetMember> members);

/// Elects the coordinators of a failure domain; each of its instances runs the election locally.
///
/// An instance reports to two coordinators: the first two in the order that send it digests, which are periodic
/// messages with the state and load of the whole fleet (`FleetDigest`). The instance that finds itself first is the
/// active coordinator and decides for the domain. The second is a hot standby: it receives the same reports and takes
/// over when the active one stops sending digests.
class CoordinatorElection {
public:
    struct Init {
        NodeId self;
        /// Time without a digest after which a coordinator is skipped.
        Milliseconds digestTimeout { 350 };
        /// Period at which a preferred instance that sends no digests still gets a report, to detect its return.
        Milliseconds probePeriod { 2000 };
        /// Number of coordinators: the active one and its standbys.
        std::size_t coordinators = 2;
    };

    explicit CoordinatorElection(Init init)
        : init(init)
    {
    }

    /// Records a digest from a coordinator.
    void recordDigest(NodeId coordinator, bool active, TimePoint now);
    /// Records a message other than a digest from an instance; the next call of `elect` reports to it without delay.
    void recordAlive(NodeId instance);
    /// Elects the coordinators and returns the instances to report to now, including this one if it is a coordinator.
    /// Call it once per report period. `order` holds all eligible members of the domain in order of preference.
    std::vector<NodeId> elect(const std::vector<FleetMember>& order, TimePoint now);
    /// Returns the coordinators of the last election.
    const std::vector<NodeId>& coordinators() const { return this->elected; }
    /// Returns whether this instance is a coordinator.
    bool isCoordinator() const;
    /// Returns the active coordinator, which may be this instance; invalid while there is none.
    NodeId active(TimePoint now) const;

private:
    struct Contact {
        TimePoint heardAt {};
        TimePoint probedAt {};
        bool heard = false;
        bool active = false;
        /// Whether `elect` has reported to the instance while it sent no digests, so that the next report waits for
        /// `probePeriod`. `recordAlive` clears it; the next election then reports to the instance again.
        bool probed = false;
    };

    bool isFresh(const Contact& contact, TimePoint now) const;
    bool isInStartupWait(TimePoint now) const;
    bool probeIfDue(Contact& contact, TimePoint now);

    Init init;
    // After its start, an instance waits for digests of a running coordinator before it declares itself active.
    std::optional<TimePoint> startedAt;
    std::map<NodeId, Contact> contacts;
    std::vector<NodeId> elected;
};

/// Decides when an instance lags behind another one in records that both read from the same log. Being behind is normal
/// for as long as a read takes; an instance whose reads fail or are not answered stays behind.
class ReadLag {
public:
    /// `tolerance`: time for which this instance may be behind without making progress.
    explicit ReadLag(Duration tolerance)
        : tolerance(tolerance)
    {
    }

    /// Records that this instance has applied all records before `end`. A lower offset than before is ignored.
    void recordApplied(Offset end);
    /// Records that another instance has applied all records before `end`. Returns whether this instance has been
    /// behind without progress for the tolerance.
    bool recordReported(Offset end, TimePoint now);
    /// Returns the offset after the last applied record; invalid when there is none.
    Offset applied() const { return this->end; }

private:
    Duration tolerance;
    Offset end;
    std::optional<TimePoint> behindSince;
};

/// Returns whether records before `offset` include some that are not before `applied`.
bool isAhead(Offset offset, Offset applied);

/// Returns the members in order of preference for holding the state of `key`, by weighted rendezvous hashing: a member
/// comes first for a share of the keys in proportion to its capacity, and when it leaves, only its own keys move.
///
/// Source: D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit rates", with the weights of
/// C. Schindelhauer and G. Schomaker, "Weighted distributed hash tables".
std::vector<FleetMember> weightedRendezvousOrder(std::vector<FleetMember> members, std::uint64_t key);

} // namespace peridotramp
