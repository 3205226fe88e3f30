#pragma once

#include "peridotramp/core.h"

#include <span>

// Used by the scheduler, whose nodes gossip with each other. The instances of the ingress on the platform report to
// coordinators instead; see `coordination.h`.

namespace peridotramp {

/// State of a member as one node sees it. At the same incarnation, a greater value replaces a lesser one.
enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Left, Count };

/// Returns `alive`, `suspect`, `dead` or `left`.
std::string_view toString(MemberState state);

/// Addresses of a node for requests (TCP), gossip (UDP) and operators (admin).
struct MemberAddresses {
    Address tcp {};
    Address udp {};
    Address admin {};

    auto operator<=>(const MemberAddresses&) const = default;
};

/// State of a member as it is exchanged between nodes.
struct MemberUpdate {
    NodeId node {};
    Incarnation incarnation {};
    DomainId domain {};
    MemberAddresses addresses {};
    MemberState state = MemberState::Alive;

    bool operator==(const MemberUpdate&) const = default;
};

/// A member as this node's table lists it.
struct Member {
    MemberUpdate update {};
    /// Newest configuration version that the member has reported; invalid if none is known.
    Offset configurationVersion {};
    /// Time at which the member entered its state in this table.
    TimePoint since {};
    /// Time of the last message from the member itself.
    TimePoint lastHeard {};
};

/// `Announce` forwards a new configuration version or a planned stop; it is not acknowledged.
enum class MembershipMessageKind : std::uint8_t { Probe, ProbeAck, IndirectProbe, Announce, Count };

/// Content of one datagram.
struct MembershipMessage {
    MembershipMessageKind kind = MembershipMessageKind::Probe;
    /// Sequence number; an acknowledgement carries that of its probe.
    std::uint64_t sequence = 0;
    /// Probe: the node that should answer, invalid if any node may. Other kinds: the node that is probed.
    NodeId target {};
    /// Address of the target; set only in an indirect probe.
    Address targetAddress {};
    /// State of the sender itself.
    MemberUpdate sender {};
    /// Newest configuration version of the sender; invalid if it has none.
    Offset configurationVersion {};
    std::vector<MemberUpdate> updates {};
};

/// Returns an upper bound of the encoded size of a message: every integer at full width, 8 bytes for each length, and
/// 16 bytes for the codec's header.
ByteCount estimatedSize(const MembershipMessage& message);

/// A message to send to `address`. `to` is invalid if only the address is known.
struct OutgoingMembership {
    NodeId to {};
    Address address {};
    MembershipMessage message {};
};

/// Member table and failure detector of one node, based on the SWIM protocol. Does no I/O: messages and the time are
/// passed in, and messages to send are returned.
class Membership {
public:
    struct Limits {
        /// Time between two probes.
        Duration probePeriod = Seconds(1);
        /// Time to wait for an acknowledgement before other members are asked to probe. With a third of the period, two
        /// repeated probes and an indirect probe fit into one period.
        Duration probeTimeout = Milliseconds(300);
        /// Number of members that are asked for an indirect probe.
        std::size_t indirectProbes = 3;
        /// Time that a suspected member has to refute before it is declared dead.
        Duration suspicionTimeout = Seconds(3);
        /// Longest time between two calls of `tick` in normal operation.
        Duration tickPeriod = Milliseconds(100);
        /// Delay of the node's own timer beyond which the incarnation is raised. Equals the lease time,
        /// `LeaseSettings::length`, because a stall of this length may have cost the node its leases.
        Duration stallThreshold = Seconds(5);
        /// Every n-th probe goes to another failure domain.
        std::uint32_t crossDomainInterval = 10;
        /// Time without a message from a failure domain after which it gets an extra probe in every period, whatever
        /// the state of its members. A failure domain without a live member gets the extra probe without delay.
        Duration domainTimeout = Seconds(20);
        /// Period of probes to addresses from the seeds and the instance list that belong to no live member.
        Duration seedProbePeriod = Seconds(5);
        /// Time that a dead or left member stays in the table.
        Duration purgeAfter = std::chrono::hours(1);
        /// Upper bound of `estimatedSize` of each message. The smallest useful value is 700.
        ByteCount maxMessageSize { 1200 };
        /// Each update is piggybacked on this many messages times the binary logarithm of the member count.
        std::uint32_t retransmitFactor = 3;
        /// Number of already disseminated members that each message repeats, round robin, so that tables converge after
        /// lost updates. A message to a recently added member repeats as many as fit.
        std::size_t antiEntropyRows = 2;
        /// Number of members to which a node forwards a new configuration version immediately; with 0, only probes and
        /// acknowledgements spread it.
        std::uint32_t forwardFanout = 3;
    };

    struct Init {
        NodeId node {};
        /// Must exceed that of the node's earlier runs; for example, the wall clock at start in milliseconds.
        Incarnation incarnation { 1 };
        DomainId domain {};
        MemberAddresses addresses {};
        /// UDP addresses from the settings.
        std::vector<Address> seeds {};
        /// Seed of the random number generator.
        std::uint64_t randomSeed = 1;
        Limits limits {};
    };

    struct Stats {
        std::uint64_t messagesSent = 0;
        /// Sum of `estimatedSize` over the messages sent.
        std::uint64_t bytesSent = 0;
        std::uint64_t messagesReceived = 0;
        std::uint64_t probesFailed = 0;
        std::uint64_t suspicions = 0;
        /// Members that this node declared dead.
        std::uint64_t deaths = 0;
        /// Reports of its own suspicion or death that this node refuted.
        std::uint64_t refutations = 0;
        std::uint64_t purged = 0;
        /// Number of times that the node's own timer was delayed by more than `Limits::stallThreshold`.
        std::uint64_t stalls = 0;
        /// Maximum delay of the node's own timer.
        Duration maxTimerDelay {};
    };

    /// The newest configuration version that a live member has, and that member.
    struct NewestVersion {
        Offset version {};
        NodeId holder {};
    };

    Membership(const Init& init, TimePoint now);
    Membership(Membership&&) noexcept;
    Membership& operator=(Membership&&) noexcept;
    ~Membership();

    /// Runs timers; call it every `Limits::tickPeriod`.
    std::vector<OutgoingMembership> tick(TimePoint now);
    std::vector<OutgoingMembership> receive(TimePoint now, const MembershipMessage& message);
    /// Announces a planned stop. Afterwards the node only answers probes; keep it running for
    /// `Limits::suspicionTimeout`, so that members that have not received the announcement do not declare it dead.
    std::vector<OutgoingMembership> leave(TimePoint now);
    /// Replaces the addresses from the platform's instance list. They may be stale and serve only to discover members.
    void setInstanceHints(std::vector<Address> udpAddresses);
    /// Sets this node's configuration version and forwards it to up to `Limits::forwardFanout` members.
    std::vector<OutgoingMembership> setConfigurationVersion(TimePoint now, Offset version);

    /// Returns all members, including this node, ordered by node id.
    std::vector<Member> members() const;
    /// Returns the nodes of a failure domain that are alive or suspect, including this one, ordered by node id.
    std::vector<NodeId> liveNodes(DomainId domain) const;
    std::optional<Member> find(NodeId node) const;
    /// Merges the contents of another member's whole table. A joining node gets the whole member list in this way.
    void merge(TimePoint now, std::span<const MemberUpdate> updates);
    std::optional<NewestVersion> newestVersion() const;
    /// Returns this node's incarnation. It rises when the node refutes a suspicion and when its timer was delayed.
    Incarnation incarnation() const;
    /// Returns when the node's own timer was last delayed by more than `Limits::stallThreshold`; earlier leases are
    /// void.
    std::optional<TimePoint> lastStall() const;
    const Stats& stats() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

/// Returns the candidate with the highest rendezvous hash for the key, or an invalid id if there is none. When a
/// candidate is added or removed, only the keys that it gains or held move.
NodeId rendezvous(std::uint64_t key, std::span<const NodeId> candidates);
/// Returns all candidates by descending rendezvous hash for the key.
std::vector<NodeId> rendezvousOrder(std::uint64_t key, std::span<const NodeId> candidates);

} // namespace peridotramp
