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
constexpr std::size_t mostVoters = 3;
constexpr int maxRestarts = 1;
constexpr int maxSuccessorReads = 2;
/// Limits the memory use should a change enlarge the state space.
constexpr std::size_t mostStates = 4'000'000;
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
    LeaseQuestionKind kind = LeaseQuestionKind::Promise;
    int askedAt = 0;
};

struct Party {
    PartitionLease lease;
    std::array<std::optional<Message>, mostVoters> messages;
    /// Start of a read in progress, and whether it saw the successor's record.
    std::optional<int> readBegan;
    std::optional<bool> readSaw;
    int reads = 0;
    /// Inputs that the lease remembers: the newest read, the read-back, and the newest replies of each voter.
    int newestRead = -1;
    int readBack = -1;
    std::array<std::array<int, mostVoters>, 2> answers { { { -1, -1, -1 }, { -1, -1, -1 } } };
};

struct Voter {
    LeaseVoter voter;
    int restarts = 0;

    /// State of the voter: its start, whether it refuses the old epoch, and the end of its newest promise.
    int startedAt = -100;
    bool helpsSuccessorOnly = false;
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

struct World {
    Bounds bounds;
    int now = 0;
    bool appended = false;
    std::array<Party, 2> parties { Party { PartitionLease(partition, NodeId { 1 }, Incarnation { 1 }, settings()) },
        Party { PartitionLease(partition, NodeId { 2 }, Incarnation { 1 }, settings()) } };
    std::vector<Voter> voters;

    explicit World(Bounds bounds)
        : bounds(bounds)
    {
        for (std::size_t index = 0; index < bounds.voters; ++index)
            this->voters.push_back({ LeaseVoter(at(-100), settings()), 0 });
        for (auto& party : this->parties)
            this->finishRead(party, 0, false);
    }

    void finishRead(Party& party, int began, bool saw)
    {
        party.lease.logRead(at(this->now), at(began), true, logAt(saw, this->bounds.voters));
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
                voter.helpsSuccessorOnly, std::max(voter.promisedUntil, this->now - 1));
            for (std::size_t side = 0; side < 2; ++side) {
                const auto& party = this->parties[side];
                const auto& message = party.messages[index];
                text += message ? fmt::format("m{}{}", static_cast<int>(message->kind), message->askedAt) : "-";
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

using Worlds = std::vector<World>;

void deliver(const World& world, std::size_t side, std::size_t index, Worlds& next)
{
    const auto message = world.parties[side].messages[index];
    if (!message)
        return;
    auto copy = world;
    auto& party = copy.parties[side];
    const LeaseQuestion question { message->kind, partition, voterId(index), Epoch { side == 0 ? 0ULL : 2ULL },
        at(message->askedAt) };
    party.messages[index].reset();
    party.lease.answered(at(world.now), question, { true, Milliseconds(0) });
    auto& newest = party.answers[static_cast<std::size_t>(question.kind)][index];
    if (question.kind == LeaseQuestionKind::Release || party.lease.mayAct(at(world.now)))
        newest = std::max(newest, message->askedAt);
    next.push_back(std::move(copy));
}

/// Sends a request to a voter, which replies without delay; an earlier reply of it that is in transit is lost.
void ask(const World& world, std::size_t side, std::size_t index, Worlds& next)
{
    const auto& asking = world.parties[side];
    auto lease = asking.lease;
    const bool acts = lease.mayAct(at(world.now));
    // The owner requests promises while it holds the lease, the successor requests releases until it does.
    if (!lease.isOwner() || acts != (side == 0))
        return;
    const auto kind = side == 0 ? LeaseQuestionKind::Promise : LeaseQuestionKind::Release;
    const auto& message = asking.messages[index];
    if ((message && message->askedAt == world.now)
        || asking.answers[static_cast<std::size_t>(kind)][index] == world.now)
        return;
    auto copy = world;
    auto& voter = copy.voters[index];
    const auto answer = voter.voter.answer(at(world.now), { kind, partition, voterId(index), lease.epoch() });
    if (world.now >= voter.startedAt + leaseLength && side == 1)
        voter.helpsSuccessorOnly = true;
    if (answer.granted && side == 0)
        voter.promisedUntil = world.now + leaseLength;
    copy.parties[side].messages[index] = answer.granted ? std::optional(Message { kind, world.now }) : std::nullopt;
    // A delayed release gives the successor no more than one that arrives without delay.
    if (side == 1)
        deliver(copy, side, index, next);
    else
        next.push_back(std::move(copy));
}

void readStream(const World& world, std::size_t side, Worlds& next)
{
    const auto& party = world.parties[side];
    const int most = side == 0 ? world.bounds.ownerReads : maxSuccessorReads;
    auto copy = world;
    auto& changed = copy.parties[side];
    if (!party.readBegan) {
        if (party.reads >= most)
            return;
        changed.readBegan = world.now;
        // Worst cases: the owner's read sees the stream as of its start, the successor's as of its end.
        changed.readSaw = world.appended;
        ++changed.reads;
    } else {
        copy.finishRead(changed, *party.readBegan, side == 0 ? *party.readSaw : world.appended);
        changed.readBegan.reset();
        changed.readSaw.reset();
    }
    next.push_back(std::move(copy));
}

Worlds successors(const World& world)
{
    Worlds next;
    if (world.now < world.bounds.horizon) {
        next.push_back(world);
        ++next.back().now;
    }
    if (!world.appended) {
        next.push_back(world);
        next.back().appended = true;
    }
    int restarts = 0;
    for (const auto& voter : world.voters)
        restarts += voter.restarts;
    for (std::size_t index = 0; index < world.bounds.voters; ++index) {
        // Voters are interchangeable, so restarts of one of them suffice.
        if (index == 0 && restarts < maxRestarts) {
            next.push_back(world);
            auto& voter = next.back().voters[index];
            voter = { LeaseVoter(at(world.now), settings()), voter.restarts + 1, world.now };
        }
        for (std::size_t side = 0; side < 2; ++side) {
            ask(world, side, index, next);
            deliver(world, side, index, next);
        }
    }
    for (std::size_t side = 0; side < 2; ++side)
        readStream(world, side, next);
    return next;
}

} // namespace

TEST_CASE("two nodes never hold the lease at once, for all interleavings of reads, promises, losses and restarts")
{
    const auto bounds = GENERATE(Bounds { 3, 0, 3 }, Bounds { 1, 1, 5 });
    // A state is identified by two 64-bit hashes; the probability of a collision is negligible.
    std::set<std::pair<std::uint64_t, std::uint64_t>> seen;
    Worlds open { World(bounds) };
    std::size_t successorActs = 0;
    std::size_t promisesOnly = 0;
    while (!open.empty()) {
        auto world = std::move(open.back());
        open.pop_back();
        const auto text = world.fingerprint();
        if (!seen.emplace(hashBytes(text, 1), hashBytes(text, 2)).second)
            continue;
        if (seen.size() > mostStates)
            FAIL("too many states");
        // Copies, because a paused node does not update its lease.
        auto owner = world.parties[0].lease;
        auto successor = world.parties[1].lease;
        const bool ownerActs = owner.mayAct(at(world.now));
        successorActs += successor.mayAct(at(world.now));
        promisesOnly += ownerActs && world.now > leaseLength;
        if (ownerActs && successor.mayAct(at(world.now)))
            FAIL("both nodes hold the lease: " << text);
        std::ranges::move(successors(world), std::back_inserter(open));
    }
    std::printf("lease model: %zu states, the successor acts in %zu\n", seen.size(), successorActs);
    REQUIRE(successorActs > 0);
    REQUIRE(promisesOnly > 0);
}
