#pragma once

#include "peridotramp/endpointpool.h"

namespace peridotramp {

/// Source of a numbered id; ids of one type from two sources differ.
enum class IdSource : std::uint8_t { Permits, Orders, Prefixes };

/// Returns an id that is unique per source, endpoint, epoch and number, so that successive owners never use the same
/// id.
template <typename IdType> IdType numberedId(IdSource source, EndpointId endpoint, Epoch epoch, std::uint64_t number)
{
    const std::array<std::uint64_t, 4> parts { static_cast<std::uint64_t>(source), endpoint.value, epoch.value,
        number };
    return idFromName<IdType>({ reinterpret_cast<const char*>(parts.data()), sizeof(parts) });
}

} // namespace peridotramp
