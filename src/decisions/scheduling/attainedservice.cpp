#include "peridotramp/scheduling.h"

#include <algorithm>

namespace peridotramp {

void AttainedServiceTracker::begin(ProgramId program, std::optional<ProgramId> parent)
{
    const auto inherited = parent ? this->attained(*parent) : Duration {};
    this->programs.try_emplace(program, State { inherited, parent });
}

void AttainedServiceTracker::add(ProgramId program, Duration service)
{
    const auto found = this->programs.find(program);
    if (found != this->programs.end())
        found->second.attained += service;
}

void AttainedServiceTracker::end(ProgramId program)
{
    const auto found = this->programs.find(program);
    if (found == this->programs.end())
        return;
    const auto state = found->second;
    this->programs.erase(found);
    const auto parent = state.parent ? this->programs.find(*state.parent) : this->programs.end();
    if (parent != this->programs.end())
        parent->second.attained = std::max(parent->second.attained, state.attained);
}

Duration AttainedServiceTracker::attained(ProgramId program) const
{
    const auto found = this->programs.find(program);
    return found == this->programs.end() ? Duration {} : found->second.attained;
}

} // namespace peridotramp
