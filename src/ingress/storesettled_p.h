#pragma once

#include "peridotramp/store.h"

namespace peridotramp {

/// Time after the metadata store has become available again in which instances store what they hold for others.
constexpr Milliseconds storeCatchUpTime { 1500 };

/// Whether the store contains what instances have confirmed to each other while it was unavailable, as far as this
/// instance can tell.
inline bool hasStoreSettled(const StoreHealth& health)
{
    return health.isReachable() && health.timeSinceFailure() > storeCatchUpTime;
}

} // namespace peridotramp
