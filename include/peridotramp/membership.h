#pragma once

#include "peridotramp/core.h"

#include <span>

namespace peridotramp {

/// State of a member as a node sees it. At the same incarnation a later state replaces an earlier one.
enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Left, Count };

/// Returns `alive`, `suspect`, `dead` or `left`.
std::string_view toString(MemberState state);

/// Addresses of a node for requests, datagrams and operators.
struct MemberAddresses {
    Address tcp {};
    Address udp {};
    Address admin {};

    auto operator<=>(const MemberAddresses&) const = default;
};

/// Row of the member table as nodes exchange it.
struct MemberUpdate {
    NodeId node {};
    Incarnation incarnation {};
    DomainId domain {};
    MemberAddresses addresses {};
    MemberState state = MemberState::Alive;

    bool operator==(const MemberUpdate&) const = default;
};

/// Row of the member table with what only this node knows.
struct Member {
    MemberUpdate row {};
    /// Newest configuration version that the member has reported; invalid when none is known.
    Offset configurationVersion {};
    /// When the member entered its state in this table.
    TimePoint since {};
    /// When the last message came from the member itself.
    TimePoint heard {};
};

/// `Announce` forwards a new configuration version and is not answered.
enum class MembershipMessageKind : std::uint8_t { Probe, ProbeAck, IndirectProbe, Announce, Count };

/// Content of one datagram.
struct MembershipMessage {
    MembershipMessageKind kind = MembershipMessageKind::Probe;
    /// Number that an acknowledgement repeats.
    std::uint64_t sequence = 0;
    /// Probe: the node that should answer, invalid when any node may. Other kinds: the node that is probed.
    NodeId target {};
    /// Address of the target; set only in an indirect probe.
    Address targetAddress {};
    /// Row of the sender, which always describes itself.
    MemberUpdate sender {};
    /// Newest configuration version of the sender; invalid when it has none.
    Offset configurationVersion {};
    std::vector<MemberUpdate> updates {};
};

/// Returns an upper bound of the encoded size of a message: every integer at its full width, eight bytes for each
/// length, and sixteen bytes for the codec's own header.
ByteCount estimatedSize(const MembershipMessage& message);

/// A message for one address. `to` is invalid when only the address is known.
struct OutgoingMembership {
    NodeId to {};
    Address address {};
    MembershipMessage message {};
};

/// Member table and failure detector of one node after SWIM. A plain object without sockets; time is passed in.
class Membership {
public:
    struct Limits {
        /// Time between two probes.
        Duration probePeriod = Seconds(1);
        /// Wait for an acknowledgement before other members are asked to probe; a third of the period lets two
        /// repeated probes and an indirect probe fit into one period.
        Duration probeTimeout = Milliseconds(300);
        /// Members that are asked for an indirect probe.
        std::size_t indirectProbes = 3;
        /// Time that a suspected member has to refute.
        Duration suspicion = Seconds(3);
        /// Longest time between two calls of `tick` in regular running.
        Duration tickPeriod = Milliseconds(100);
        /// Lateness of the own timer that raises the incarnation; the lease time L of the design.
        Duration lateTimer = Seconds(5);
        /// One probe in this many goes to another failure domain.
        std::uint32_t crossDomainShare = 10;
        /// Silence of a failure domain after which it gets an extra probe in every period, whatever its members' state.
        /// A failure domain without a live member gets one at once.
        Duration domainSilence = Seconds(20);
        /// Time between probes of a seed or listed address that matches no live member.
        Duration contactPeriod = Seconds(5);
        /// Time that a dead or left member stays in the table.
        Duration purgeAfter = std::chrono::hours(1);
        /// Upper bound of `estimatedSize` of each message. The smallest useful value is 700.
        ByteCount datagram { 1200 };
        /// Each update is sent this many times the binary logarithm of the member count before it is old.
        std::uint32_t transmissionFactor = 3;
        /// Old rows that each message repeats in turn, so that tables converge after lost updates. A message to a
        /// member that is new in the table repeats as many as fit.
        std::size_t repeatedRows = 2;
        /// Members to which a node forwards each new configuration version at once; 0 leaves it to heartbeats.
        std::uint32_t forwardQuota = 3;
    };

    struct Init {
        NodeId node {};
        /// Must exceed that of the node's earlier runs, for example the milliseconds of the wall clock at start.
        Incarnation incarnation { 1 };
        DomainId domain {};
        MemberAddresses addresses {};
        /// UDP addresses from the settings.
        std::vector<Address> seeds {};
        /// Seed of the node's random choices.
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
        /// Times that this node refuted a suspicion or death of its own.
        std::uint64_t refutations = 0;
        std::uint64_t purged = 0;
        /// Times that the own timer was late by more than `Limits::lateTimer`.
        std::uint64_t lateTimers = 0;
        /// Greatest lateness of the own timer.
        Duration greatestLateness {};
    };

    /// The newest configuration version known of any member, and a live member that has it.
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
    /// Announces a planned stop. Afterwards the node only answers probes; keep it running for `Limits::suspicion`, so
    /// that members that have not heard yet do not declare it dead.
    std::vector<OutgoingMembership> leave(TimePoint now);
    /// Replaces the addresses of the platform's instance list, which is only a hint where members may be found.
    void setInstanceHints(std::vector<Address> udpAddresses);
    /// Sets the own configuration version and forwards it to up to `Limits::forwardQuota` members.
    std::vector<OutgoingMembership> setConfigurationVersion(TimePoint now, Offset version);

    /// Returns all rows, the own one included, in order of node id.
    std::vector<Member> members() const;
    /// Returns the nodes of a failure domain that are alive or suspect, the own one included, in order of node id.
    std::vector<NodeId> liveNodes(DomainId domain) const;
    std::optional<Member> find(NodeId node) const;
    /// Merges rows that came in a table reply; a joining node learns the fleet at once by this.
    void merge(TimePoint now, std::span<const MemberUpdate> rows);
    std::optional<NewestVersion> newestVersion() const;
    /// Returns the own incarnation. It rises when the node refutes a suspicion and when its timer was late.
    Incarnation incarnation() const;
    /// Returns when the own timer was last late by more than `Limits::lateTimer`; leases from before are void.
    std::optional<TimePoint> lastLateTimer() const;
    const Stats& stats() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

/// Returns the candidate with the highest weight for the key, or an invalid id when there is none. When a candidate
/// comes or goes, only the keys that it gains or held move.
NodeId rendezvous(std::uint64_t key, std::span<const NodeId> candidates);
/// Returns all candidates, the one with the highest weight first.
std::vector<NodeId> rendezvousOrder(std::uint64_t key, std::span<const NodeId> candidates);

} // namespace peridotramp
