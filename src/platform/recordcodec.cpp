#include "peridotramp/codec.h"
#include "peridotramp/platform.h"

namespace peridotramp {

namespace {

template <typename Archive, typename Enum> void serializeEnum(Archive& archive, Enum& value)
{
    archive(value);
    if (value >= Enum::Count)
        throw cereal::Exception("enumeration value out of range");
}

} // namespace

template <typename Archive> void serialize(Archive& archive, OwnershipRecord& record)
{
    archive(record.node, record.incarnation, record.electorate);
}

template <typename Archive> void serialize(Archive& archive, HandoverRecord& record)
{
    archive(record.node, record.state);
}

template <typename Archive> void serialize(Archive& archive, Spending& spending)
{
    archive(spending.tokens, spending.calls);
}

template <typename Archive> void serialize(Archive& archive, Budget& budget)
{
    archive(budget.tokens, budget.calls, budget.wallTime, budget.depth);
}

template <typename Archive> void serialize(Archive& archive, ProgramBegun& record)
{
    archive(record.program, record.workspace, record.parent, record.budget, record.reserved, record.began);
}

template <typename Archive> void serialize(Archive& archive, TurnCommitted& record)
{
    archive(record.program, record.turn, record.call, record.digest, record.input, record.output);
}

template <typename Archive> void serialize(Archive& archive, CallClaimed& record)
{
    archive(record.program, record.call, record.attempt);
}

template <typename Archive> void serialize(Archive& archive, CallFinished& record)
{
    archive(record.program, record.call, record.attempt);
    serializeEnum(archive, record.outcome);
}

template <typename Archive> void serialize(Archive& archive, BudgetReserved& record)
{
    archive(record.program, record.reserved);
}

template <typename Archive> void serialize(Archive& archive, ProgramEnded& record)
{
    archive(record.program);
    serializeEnum(archive, record.reason);
    archive(record.spent);
}

template <typename Archive> void serialize(Archive& archive, Turn& turn)
{
    archive(turn.call, turn.input, turn.output);
}

template <typename Archive> void serialize(Archive& archive, Claim& claim)
{
    archive(claim.call, claim.attempt, claim.closed);
}

template <typename Archive> void serialize(Archive& archive, ProgramCheckpoint& record)
{
    archive(record.begun, record.turns, record.digest, record.claims, record.ended, record.written);
}

template <typename Archive> void serialize(Archive& archive, RecordGroup& group)
{
    archive(group.appendId, group.epoch, group.records);
}

std::string encodeGroup(const RecordGroup& group) { return encodeBinary(group); }

Result<RecordGroup> decodeGroup(std::string_view bytes) { return decodeBinary<RecordGroup>(bytes); }

} // namespace peridotramp
