// Exhaustive model check of the lease: an owner, a successor and up to three voters, with delayed and lost promises and
// releases, delayed answers to log reads, log outages, and restarts of a voter. A request, reply or read that is never
// delivered is lost, so the interleavings of all deliveries include all losses and outages.

#include "peridotramp/ownership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace peridotramp;

namespace {

constexpr int leaseLength = 2;
constexpr std::size_t maxVoters = 3;
constexpr int maxRestarts = 1;
constexpr int maxSuccessorReads = 2;
/// Limits the memory use should a change enlarge the state space.
constexpr std::size_t maxStates = 4'000'000;
const PartitionId partition { 1 };

/// Bounds of one exploration. The state spaces of votes and of the owner's reads multiply, so no run maximizes both.
struct Bounds {
    std::size_t voters = 3;
    int ownerReads = 0;
    int horizon = 3;
};

LeaseSettings settings() { return { Milliseconds(leaseLength), Milliseconds(0), Milliseconds(100), Milliseconds(1) }; }
TimePoint at(int time) { return TimePoint(Milliseconds(1000 + time)); }
NodeId voterId(std::size_t index) { return NodeId { 10 + index }; }

/// Granted reply of a voter in transit. Requests are delivered without delay: a delayed one gives the requester no more
/// than a later one, because replies count from the time of sending the request.
struct Message {
    LeaseVoteKind kind = LeaseVoteKind::Promise;
    int sentAt = 0;
};

struct Party {
    PartitionLease lease;
    std::array<std::optional<Message>, maxVoters> messages;
    /// Start of a read in progress, and whether it saw the successor's record.
    std::optional<int> readBegan;
    std::optional<bool> readSaw;
    int reads = 0;
    /// Inputs that the lease remembers: the newest read, the read-back, and the newest replies of each voter.
    int newestRead = -1;
    int readBack = -1;
    std::array<std::array<int, maxVoters>, 2> answers { { { -1, -1, -1 }, { -1, -1, -1 } } };
};

struct Voter {
    LeaseVoter voter;
    int restarts = 0;

    /// State of the voter: its start, whether it refuses the old epoch, and the end of its newest promise.
    int startedAt = -100;
    bool refusesOldEpoch = false;
    int promisedUntil = -100;
};

RecordGroup ownershipOf(std::uint64_t node, Epoch replaced, std::size_t voters)
{
    std::vector<NodeId> electorate;
    for (std::size_t index = 0; index < voters; ++index)
        electorate.push_back(voterId(index));
    return { AppendId { node }, replaced, { OwnershipRecord { NodeId { node }, Incarnation { 1 }, electorate } } };
}

/// The stream with and without the successor's record; shared by all states to keep them small.
const PartitionLog& logAt(bool appended, std::size_t voters)
{
    const auto make = [](std::size_t count) {
        std::array<PartitionLog, 2> both;
        for (auto& log : both) {
            log.apply(Offset { 0 }, ownershipOf(1, Epoch {}, count));
            log.apply(Offset { 1 }, { AppendId { 5 }, Epoch { 0 }, { BudgetReserved {} } });
        }
        both[1].apply(Offset { 2 }, ownershipOf(2, Epoch { 0 }, count));
        return both;
    };
    static const std::array logs { make(1), make(2), make(3) };
    return logs[voters - 1][appended];
}

struct ModelState {
    Bounds bounds;
    int now = 0;
    bool appended = false;
    std::array<Party, 2> parties { Party { PartitionLease(partition, NodeId { 1 }, Incarnation { 1 }, settings()) },
        Party { PartitionLease(partition, NodeId { 2 }, Incarnation { 1 }, settings()) } };
    std::vector<Voter> voters;

    explicit ModelState(Bounds bounds)
        : bounds(bounds)
    {
        for (std::size_t index = 0; index < bounds.voters; ++index)
            this->voters.push_back({ LeaseVoter(at(-100), settings()), 0 });
        for (auto& party : this->parties)
            this->finishRead(party, 0, false);
    }

    void finishRead(Party& party, int began, bool saw)
    {
        party.lease.recordRead(at(this->now), at(began), true, logAt(saw, this->bounds.voters));
        party.newestRead = std::max(party.newestRead, began);
        if (party.readBack < 0 && party.lease.isOwner())
            party.readBack = this->now;
    }

    std::string describe(const Party& party) const
    {
        auto lease = party.lease;
        const auto until = lease.actsUntil(at(this->now));
        return fmt::format("{} {} {} {} {} {} {}|", until ? until->time_since_epoch().count() : -1, lease.isOwner(),
            party.newestRead, party.readBack, party.reads, party.readBegan.value_or(-1),
            party.readSaw ? *party.readSaw : 9);
    }

    /// Voters are interchangeable, so their descriptions are sorted (symmetry reduction). Promises to a node that does
    /// not hold the lease have no effect and are left out.
    std::string fingerprint() const
    {
        std::array<bool, 2> acts {};
        for (std::size_t side = 0; side < 2; ++side) {
            auto lease = this->parties[side].lease;
            acts[side] = lease.mayAct(at(this->now));
        }
        std::vector<std::string> parts;
        for (std::size_t index = 0; index < this->bounds.voters; ++index) {
            const auto& voter = this->voters[index];
            auto text = fmt::format("{} {} {} {}", voter.restarts, std::max(voter.startedAt, this->now - leaseLength),
                voter.refusesOldEpoch, std::max(voter.promisedUntil, this->now - 1));
            for (std::size_t side = 0; side < 2; ++side) {
                const auto& party = this->parties[side];
                const auto& message = party.messages[index];
                text += message ? fmt::format("m{}{}", static_cast<int>(message->kind), message->sentAt) : "-";
                text += fmt::format(" {} {} ", acts[side] ? party.answers[0][index] : -1, party.answers[1][index]);
            }
            parts.push_back(std::move(text));
        }
        std::ranges::sort(parts);
        auto text = fmt::format("{} {}|", this->now, this->appended);
        for (const auto& party : this->parties)
            text += this->describe(party);
        for (const auto& part : parts)
            text += part + "|";
        return text;
    }
};

using ModelStates = std::vector<ModelState>;

void deliver(const ModelState& state, std::size_t side, std::size_t index, ModelStates& next)
{
    const auto message = state.parties[side].messages[index];
    if (!message)
        return;
    auto copy = state;
    auto& party = copy.parties[side];
    const LeaseVoteRequest request { message->kind, partition, voterId(index), Epoch { side == 0 ? 0ULL : 2ULL },
        at(message->sentAt) };
    party.messages[index].reset();
    party.lease.recordReply(at(state.now), request, { true, Milliseconds(0) });
    auto& newest = party.answers[static_cast<std::size_t>(request.kind)][index];
    if (request.kind == LeaseVoteKind::Release || party.lease.mayAct(at(state.now)))
        newest = std::max(newest, message->sentAt);
    next.push_back(std::move(copy));
}

/// Sends a request to a voter, which replies without delay; an earlier reply of it that is in transit is lost.
void ask(const ModelState& state, std::size_t side, std::size_t index, ModelStates& next)
{
    const auto& asking = state.parties[side];
    auto lease = asking.lease;
    const bool acts = lease.mayAct(at(state.now));
    // The owner requests promises while it holds the lease, the successor requests releases until it does.
    if (!lease.isOwner() || acts != (side == 0))
        return;
    const auto kind = side == 0 ? LeaseVoteKind::Promise : LeaseVoteKind::Release;
    const auto& message = asking.messages[index];
    if ((message && message->sentAt == state.now) || asking.answers[static_cast<std::size_t>(kind)][index] == state.now)
        return;
    auto copy = state;
    auto& voter = copy.voters[index];
    const auto reply = voter.voter.reply(at(state.now), { kind, partition, voterId(index), lease.epoch() });
    if (state.now >= voter.startedAt + leaseLength && side == 1)
        voter.refusesOldEpoch = true;
    if (reply.granted && side == 0)
        voter.promisedUntil = state.now + leaseLength;
    copy.parties[side].messages[index] = reply.granted ? std::optional(Message { kind, state.now }) : std::nullopt;
    // A delayed release gives the successor no more than one that arrives without delay.
    if (side == 1)
        deliver(copy, side, index, next);
    else
        next.push_back(std::move(copy));
}

void readStream(const ModelState& state, std::size_t side, ModelStates& next)
{
    const auto& party = state.parties[side];
    const int maxReads = side == 0 ? state.bounds.ownerReads : maxSuccessorReads;
    auto copy = state;
    auto& changed = copy.parties[side];
    if (!party.readBegan) {
        if (party.reads >= maxReads)
            return;
        changed.readBegan = state.now;
        // Worst cases: the owner's read sees the stream as of its start, the successor's as of its end.
        changed.readSaw = state.appended;
        ++changed.reads;
    } else {
        copy.finishRead(changed, *party.readBegan, side == 0 ? *party.readSaw : state.appended);
        changed.readBegan.reset();
        changed.readSaw.reset();
    }
    next.push_back(std::move(copy));
}

ModelStates successors(const ModelState& state)
{
    ModelStates next;
    if (state.now < state.bounds.horizon) {
        next.push_back(state);
        ++next.back().now;
    }
    if (!state.appended) {
        next.push_back(state);
        next.back().appended = true;
    }
    int restarts = 0;
    for (const auto& voter : state.voters)
        restarts += voter.restarts;
    for (std::size_t index = 0; index < state.bounds.voters; ++index) {
        // Voters are interchangeable, so restarts of one of them suffice.
        if (index == 0 && restarts < maxRestarts) {
            next.push_back(state);
            auto& voter = next.back().voters[index];
            voter = { LeaseVoter(at(state.now), settings()), voter.restarts + 1, state.now };
        }
        for (std::size_t side = 0; side < 2; ++side) {
            ask(state, side, index, next);
            deliver(state, side, index, next);
        }
    }
    for (std::size_t side = 0; side < 2; ++side)
        readStream(state, side, next);
    return next;
}

} // namespace

TEST_CASE("two nodes never hold the lease at once, for all interleavings of reads, promises, losses and restarts")
{
    const auto bounds = GENERATE(Bounds { 3, 0, 3 }, Bounds { 1, 1, 5 });
    // A state is identified by two 64-bit hashes; the probability of a collision is negligible.
    std::set<std::pair<std::uint64_t, std::uint64_t>> seen;
    ModelStates frontier { ModelState(bounds) };
    std::size_t successorActs = 0;
    std::size_t promisesOnly = 0;
    while (!frontier.empty()) {
        auto state = std::move(frontier.back());
        frontier.pop_back();
        const auto text = state.fingerprint();
        if (!seen.emplace(hashBytes(text, 1), hashBytes(text, 2)).second)
            continue;
        if (seen.size() > maxStates)
            FAIL("too many states");
        // Copies, because a paused node does not update its lease.
        auto owner = state.parties[0].lease;
        auto successor = state.parties[1].lease;
        const bool ownerActs = owner.mayAct(at(state.now));
        successorActs += successor.mayAct(at(state.now));
        promisesOnly += ownerActs && state.now > leaseLength;
        if (ownerActs && successor.mayAct(at(state.now)))
            FAIL("both nodes hold the lease: " << text);
        std::ranges::move(successors(state), std::back_inserter(frontier));
    }
    std::printf("lease model: %zu states, the successor acts in %zu\n", seen.size(), successorActs);
    REQUIRE(successorActs > 0);
    REQUIRE(promisesOnly > 0);
}
