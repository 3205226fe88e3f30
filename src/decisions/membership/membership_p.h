#pragma once

#include "peridotramp/membership.h"

#include <random>

namespace peridotramp {

/// Returns an upper bound of the encoded size of one update.
std::int64_t encodedSize(const MemberUpdate& update);

struct Membership::State {
    /// Row of the member table.
    struct Row {
        Member member {};
        TimePoint suspectUntil {};
        /// Number of messages to which the queue has added the row since its last change.
        std::uint32_t transmissions = 0;
        /// Whether the row is in the queue of rows to disseminate.
        bool queued = false;
    };

    struct OutstandingProbe {
        NodeId target {};
        Incarnation incarnation {};
        std::uint64_t sequence = 0;
        TimePoint sentAt {};
        std::uint32_t repeats = 0;
    };

    /// Probe sent on behalf of another node, to which the acknowledgement is relayed.
    struct Relay {
        std::uint64_t sequence = 0;
        NodeId target {};
        NodeId requester {};
        Address requesterAddress {};
        std::uint64_t requesterSequence = 0;
        TimePoint expires {};
    };

    using Messages = std::vector<OutgoingMembership>;

    State(const Init& init, TimePoint now);

    // Table (table.cpp)
    void apply(TimePoint now, const MemberUpdate& update);
    void applyToSelf(const MemberUpdate& update);
    void enter(TimePoint now, Row& row, MemberState state);
    /// Stops the dissemination of all rows.
    void clearDisseminationQueue();
    /// Starts the dissemination of a row, or restarts it.
    void disseminate(Row& row);
    void suspect(TimePoint now, NodeId node, Incarnation incarnation);
    void endSuspicions(TimePoint now);
    void purge(TimePoint now);
    bool hasLiveMember(DomainId domain) const;
    Row* find(NodeId node);

    // Messages (gossip.cpp)
    void send(Messages& out, MembershipMessageKind kind, std::uint64_t sequence, NodeId target, const Row* to,
        const Address& address, const Address& targetAddress = {});
    void addUpdates(MembershipMessage& message, const Row* to);
    bool addRow(MembershipMessage& message, const Row& row);
    void addQueuedRows(MembershipMessage& message);
    void addReportsAbout(DomainId domain, MembershipMessage& message);
    void addAntiEntropyRows(MembershipMessage& message, std::size_t maxRows);
    void forwardVersion(Messages& out);

    // Probes (probing.cpp)
    void detectStall(TimePoint now, Duration tolerance);
    void probe(Messages& out, Row& target, std::uint64_t sequence);
    void probeNext(Messages& out, TimePoint now);
    void expireProbe(TimePoint now);
    void repeatProbe(Messages& out, TimePoint now);
    void probeIndirectly(Messages& out, const Row& target, std::uint64_t sequence, std::size_t count);
    void probeSuspect(Messages& out);
    void probeSilentDomain(Messages& out, TimePoint now);
    void probeUnknownAddress(Messages& out, TimePoint now);
    Row* nextTarget();
    /// Removes and returns the next usable member of the list, which is refilled when empty; null if there is none.
    Row* takeTarget(std::vector<NodeId>& targets, bool ownDomain);
    void acknowledge(Messages& out, const MembershipMessage& message);
    void acceptAcknowledgement(Messages& out, const MembershipMessage& message);
    void probeForOther(Messages& out, TimePoint now, const MembershipMessage& message);
    /// Returns up to `count` rows that satisfy the predicate, chosen uniformly at random.
    std::vector<Row*> sample(std::size_t count, const std::function<bool(const Row&)>& predicate);

    bool isUsable(const Row& row) const
    {
        return row.member.update.state == MemberState::Alive || row.member.update.state == MemberState::Suspect;
    }
    bool isOwnDomain(const Row& row) const { return row.member.update.domain == this->self.domain; }
    bool hasLeft() const { return this->self.state == MemberState::Left; }

    Limits limits;
    MemberUpdate self;
    Offset version {};
    std::vector<Address> seeds;
    std::vector<Address> hints;
    std::mt19937_64 random;
    Stats stats {};

    std::map<NodeId, Row> rows;
    /// Members whose rows are piggybacked on messages until they have been sent often enough.
    std::vector<NodeId> disseminationQueue;
    std::vector<NodeId> suspects;
    std::map<DomainId, TimePoint> domainHeard;
    std::map<DomainId, TimePoint> domainProbed;
    NodeId antiEntropyCursor { 0 };

    /// Members of this failure domain and of the others that are still to be probed in the current round, shuffled.
    /// Refilled when empty.
    std::vector<NodeId> ownDomainTargets;
    std::vector<NodeId> crossDomainTargets;
    std::optional<OutstandingProbe> outstanding;
    std::vector<Relay> relays;
    std::uint64_t lastSequence = 0;
    std::uint64_t probeCount = 0;
    std::size_t seedCursor = 0;

    TimePoint lastTick;
    TimePoint nextProbe;
    TimePoint nextSeedProbe;
    TimePoint nextPurge;
    std::optional<TimePoint> lastStall;
};

} // namespace peridotramp
