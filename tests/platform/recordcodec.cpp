#include "peridotramp/platform.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>

using namespace peridotramp;

namespace {

constexpr std::uint64_t seed = 20260412;
constexpr int caseCount = 500;

template <typename Property> bool checkProperty(Property property)
{
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = caseCount;
    rc::detail::TestListenerAdapter listener;
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata {}, parameters, listener);
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    INFO("seed " << seed << ": " << message.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
    return result.template is<rc::detail::SuccessResult>();
}

RecordGroup makeGroup(const std::string& text, std::uint64_t number, std::size_t recordCount)
{
    const ProgramId program { number };
    const ProgramBegun begun { program, WorkspaceId { 2 }, ProgramId {}, { { 5 }, { 6 }, Seconds(7), { 1 } },
        { { 3 }, { 4 } }, UnixTime(9) };
    const ProgramEnded ended { program, EndReason::Idle, { { 1 }, { 2 } } };
    const std::vector<PartitionRecord> all { OwnershipRecord { NodeId { number }, Incarnation { 4 }, { NodeId { 1 } } },
        HandoverRecord { NodeId { 1 }, text }, begun,
        TurnCommitted { program, { 1 }, CallId { 8 }, sha256(text), text, text + text },
        CallClaimed { program, CallId { 8 }, { 2 } }, CallFinished { program, CallId { 8 }, { 2 }, Outcome::NotRun },
        BudgetReserved { program, { { 7 }, { 8 } } }, ended,
        ProgramCheckpoint { begun, { { CallId { 8 }, text, text } }, sha256(text), { { CallId { 9 }, { 1 }, true } },
            ended, UnixTime(5) } };
    return { AppendId { number }, Epoch { 17 },
        { all.begin(), all.begin() + static_cast<std::ptrdiff_t>(recordCount) } };
}

} // namespace

// Guards against a field of a record that only one of the two directions handles.
TEST_CASE("a group with all kinds of records is decoded unchanged")
{
    REQUIRE(checkProperty([](const std::string& text, std::uint64_t number) {
        const auto group = makeGroup(text, number, std::variant_size_v<PartitionRecord>);
        const auto decoded = decodeGroup(encodeGroup(group));
        RC_ASSERT(decoded.hasValue());
        RC_ASSERT(*decoded == group);
    }));
}

// Guards against a crash on damaged records of the log, and against applying the part of a group that was stored.
TEST_CASE("a truncated group is refused as malformed, and a corrupted one is refused or decoded")
{
    REQUIRE(checkProperty([](const std::string& text, std::size_t position, std::uint8_t byte, bool truncate) {
        auto bytes = encodeGroup(makeGroup(text, 1, std::variant_size_v<PartitionRecord>));
        position %= bytes.size();
        if (truncate)
            bytes.resize(position);
        else
            bytes[position] = static_cast<char>(byte);
        const auto decoded = decodeGroup(bytes);
        // RC_ASSERT evaluates both sides of an `||`, so the condition is computed before.
        const bool decodedOrMalformed = decoded.hasValue() || decoded.error().kind == ErrorKind::MalformedFrame;
        RC_ASSERT(decodedOrMalformed);
        const bool truncatedButDecoded = truncate && decoded.hasValue();
        RC_ASSERT(!truncatedButDecoded);
    }));
}

// Guards against a crash or an exception on records of the log that this program did not write.
TEST_CASE("arbitrary bytes are refused as malformed or decoded")
{
    REQUIRE(checkProperty([](const std::string& bytes) {
        const auto decoded = decodeGroup(bytes);
        // RC_ASSERT evaluates both sides of an `||`, so the condition is computed before.
        const bool decodedOrMalformed = decoded.hasValue() || decoded.error().kind == ErrorKind::MalformedFrame;
        RC_ASSERT(decodedOrMalformed);
    }));
}

// Guards against allocating memory for more records than the group can contain.
TEST_CASE("a group whose record count exceeds its size is refused as malformed")
{
    auto bytes = encodeGroup({ AppendId { 1 }, Epoch { 2 }, {} });
    // The count of records is the last field.
    for (std::size_t index = bytes.size() - 8; index < bytes.size(); ++index)
        bytes[index] = '\x7f';
    const auto decoded = decodeGroup(bytes);
    REQUIRE_FALSE(decoded.hasValue());
    REQUIRE(decoded.error().kind == ErrorKind::MalformedFrame);
    REQUIRE(decodeGroup(std::string(maxRecordBytes + 1, 'x')).error().kind == ErrorKind::MalformedFrame);
}
