#pragma once

#include "peridotramp/ownership.h"

namespace peridotramp {

/// Longest encoded group that is read; the log's frames are no longer.
constexpr std::size_t maxRecordBytes = 4UL * 1024 * 1024;

/// Encodes a group in cereal portable binary.
std::string encodeRecordGroup(const RecordGroup& group);
/// Decodes a group. Returns `MalformedFrame` for anything else, and never allocates more than a small multiple of the
/// input's length.
Result<RecordGroup> decodeRecordGroup(std::string_view bytes);

} // namespace peridotramp
