#pragma once

#include "peridotramp/endpointpool.h"

namespace peridotramp {

/// Source of a numbered id, so that ids of one kind from two sources cannot be equal.
enum class IdSource : std::uint8_t { Permits, Orders, Prefixes };

/// Returns an id that differs between endpoints, epochs and numbers, so that successive owners never share one.
template <typename IdType> IdType numberedId(IdSource source, EndpointId endpoint, Epoch epoch, std::uint64_t number)
{
    const std::array<std::uint64_t, 4> parts { static_cast<std::uint64_t>(source), endpoint.value, epoch.value,
        number };
    return idFromName<IdType>({ reinterpret_cast<const char*>(parts.data()), sizeof(parts) });
}

} // namespace peridotramp
