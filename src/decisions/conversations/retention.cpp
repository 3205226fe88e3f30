#include "peridotramp/conversations.h"

#include <algorithm>

namespace peridotramp {

void StoredTurnRetention::add(std::string id, std::string previous, TimePoint keepUntil)
{
    auto entry = this->turns.insert_or_assign(std::move(id), Entry { std::move(previous), keepUntil }).first;
    // Malformed records may refer to each other in a cycle, so the number of steps is bounded.
    for (std::size_t steps = 0; steps < this->turns.size() && entry != this->turns.end(); ++steps) {
        entry->second.keepUntil = std::max(entry->second.keepUntil, keepUntil);
        entry = this->turns.find(entry->second.previous);
    }
}

void StoredTurnRetention::remove(std::string_view id)
{
    if (const auto found = this->turns.find(id); found != this->turns.end())
        this->turns.erase(found);
}

std::vector<std::string> StoredTurnRetention::neededUntil(TimePoint time) const
{
    std::vector<std::string> ids;
    for (const auto& [id, entry] : this->turns) {
        if (entry.keepUntil <= time)
            ids.push_back(id);
    }
    return ids;
}

} // namespace peridotramp
