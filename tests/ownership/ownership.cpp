#include "peridotramp/ownership.h"

#include <catch2/catch.hpp>

using namespace peridotramp;

namespace {

const TimePoint start { Seconds(100) };
const std::vector<NodeId> electorate { NodeId { 1 }, NodeId { 2 }, NodeId { 3 } };

RecordGroup take(std::uint64_t node, Epoch replaced, std::uint64_t appendId = 1)
{
    return { AppendId { appendId }, replaced, { OwnershipRecord { NodeId { node }, Incarnation { 1 }, electorate } } };
}

RecordGroup write(Epoch epoch, std::uint64_t appendId)
{
    return { AppendId { appendId }, epoch, { BudgetReserved {} } };
}

PartitionLog logOf(const std::vector<RecordGroup>& stream)
{
    PartitionLog log;
    for (std::uint64_t offset = 0; offset < stream.size(); ++offset)
        log.apply(Offset { offset }, stream[offset]);
    return log;
}

} // namespace

TEST_CASE("groups of a paused owner after a takeover are rejected, and duplicate groups take effect once")
{
    PartitionLog log;
    REQUIRE(log.apply(Offset { 0 }, take(1, Epoch {})).status == GroupStatus::Valid);
    REQUIRE(log.apply(Offset { 1 }, write(Epoch { 0 }, 900)).status == GroupStatus::Valid);
    REQUIRE(log.apply(Offset { 2 }, write(Epoch { 0 }, 900)).status == GroupStatus::Duplicate);
    // The successor's append id is lower than the old owner's.
    REQUIRE(log.apply(Offset { 3 }, take(2, Epoch { 0 })).status == GroupStatus::Valid);
    REQUIRE(log.apply(Offset { 4 }, take(3, Epoch { 0 })).status == GroupStatus::StaleEpoch);
    REQUIRE(log.apply(Offset { 5 }, write(Epoch { 0 }, 901)).status == GroupStatus::StaleEpoch);
    REQUIRE(log.apply(Offset { 3 }, take(2, Epoch { 0 })).status == GroupStatus::AlreadyApplied);
    REQUIRE(log.current()->record.node == NodeId { 2 });
    REQUIRE(log.earlierOwnerships().size() == 1);
    REQUIRE(log.apply(Offset { 6 }, write(Epoch { 3 }, 1)).status == GroupStatus::Valid);
    REQUIRE(log.earlierOwnerships().empty());
}

TEST_CASE("groups of an owner after its handover are rejected, and its successor may act without waiting")
{
    auto log = logOf({ take(1, Epoch {}), { AppendId { 1 }, Epoch { 0 }, { HandoverRecord { NodeId { 1 }, "s" } } } });
    REQUIRE(log.handover()->state == "s");
    REQUIRE(log.apply(Offset { 2 }, write(Epoch { 0 }, 2)).status == GroupStatus::StaleEpoch);
    log.apply(Offset { 3 }, take(2, Epoch { 0 }));
    PartitionLease lease(PartitionId { 1 }, NodeId { 2 }, Incarnation { 1 });
    lease.recordRead(start, start, true, log);
    REQUIRE(lease.mayAct(start));
}

TEST_CASE("a restarted owner does not inherit the lease of its earlier incarnation")
{
    const auto log = logOf({ take(1, Epoch {}), write(Epoch { 0 }, 1) });
    PartitionLease lease(PartitionId { 1 }, NodeId { 1 }, Incarnation { 2 });
    lease.recordRead(start, start, true, log);
    REQUIRE_FALSE(lease.isOwner());
    REQUIRE_FALSE(lease.mayAct(start));
}

TEST_CASE("an owner renews its ownership without losing the lease, and the queue continues in the new epoch")
{
    auto log = logOf({ take(1, Epoch {}) });
    PartitionLease lease(PartitionId { 1 }, NodeId { 1 }, Incarnation { 1 });
    lease.recordRead(start, start, true, log);
    REQUIRE(lease.mayAct(start));
    AppendQueue queue(log.epoch());
    REQUIRE(queue.push(OwnershipRecord { NodeId { 1 }, Incarnation { 1 }, electorate }));
    REQUIRE(queue.push(BudgetReserved {}));
    const auto renewal = queue.poll(start);
    REQUIRE(renewal->records.size() == 1);
    REQUIRE(queue.recordApplied(log.apply(Offset { 1 }, *renewal)).at(0).state == AppendState::Confirmed);
    lease.recordRead(start, start, true, log);
    REQUIRE(lease.mayAct(start));
    REQUIRE(lease.epoch() == Epoch { 1 });
    const auto next = queue.poll(start + Seconds(1));
    REQUIRE(queue.recordApplied(log.apply(Offset { 2 }, *next)).at(0).state == AppendState::Confirmed);
}

TEST_CASE("voters missing from the instance list for 60 s count as released, and one of three does not suffice")
{
    const auto log = logOf({ take(1, Epoch {}), write(Epoch { 0 }, 1), take(2, Epoch { 0 }) });
    PartitionLease lease(PartitionId { 1 }, NodeId { 2 }, Incarnation { 1 });
    lease.recordRead(start, start, true, log);
    lease.setAbsent(NodeId { 1 }, start - Seconds(60));
    REQUIRE_FALSE(lease.mayActFrom(start));
    lease.setAbsent(NodeId { 3 }, start - Seconds(50));
    REQUIRE_FALSE(lease.mayActFrom(start));
    REQUIRE(lease.mayActFrom(start + Seconds(10)));
}

TEST_CASE("an idle queue appends without delay, a busy one batches, and at most one group is in flight")
{
    AppendLimits limits;
    limits.appendsPerSecond = 4;
    limits.burst = 1;
    limits.retryAfter = Milliseconds(5000);
    limits.maxRecords = 5;
    AppendQueue queue(Epoch { 7 }, limits);
    const auto first = queue.push(BudgetReserved {});
    const auto group = queue.poll(start);
    REQUIRE(group->records.size() == 1);
    REQUIRE(queue.state(*first) == AppendState::Unknown);
    for (int index = 0; index < 4; ++index)
        REQUIRE(queue.push(BudgetReserved {}));
    REQUIRE(queue.push(BudgetReserved {}).error().kind == ErrorKind::Overloaded);
    const auto soon = start + Milliseconds(100);
    REQUIRE_FALSE(queue.poll(soon));
    queue.recordApplied({ Offset { 9 }, group->appendId, group->epoch, GroupStatus::Valid, group->records });
    REQUIRE_FALSE(queue.poll(soon));
    const auto next = queue.nextPoll(soon);
    REQUIRE(next > soon);
    REQUIRE(queue.poll(*next)->records.size() == 4);
}

TEST_CASE("an unanswered append is retried with the same id, and losing the epoch rejects all records")
{
    AppendQueue queue(Epoch { 7 });
    const auto ticket = queue.push(BudgetReserved {});
    const auto group = queue.poll(start);
    queue.recordFailure(start, group->appendId);
    REQUIRE(queue.poll(start + Milliseconds(1)) == group);
    REQUIRE_FALSE(queue.cancel(*ticket));
    const auto waiting = queue.push(BudgetReserved {});
    REQUIRE(queue.cancel(*waiting));
    REQUIRE(queue.push(BudgetReserved {}));
    const auto lost = queue.recordApplied({ Offset { 9 }, AppendId { 1 }, Epoch { 7 }, GroupStatus::Valid,
        { OwnershipRecord { NodeId { 2 }, Incarnation { 1 }, {} } } });
    REQUIRE(lost.size() == 2);
    REQUIRE(lost[0].state == AppendState::Rejected);
    REQUIRE(queue.push(BudgetReserved {}).error().kind == ErrorKind::EpochLost);
}
