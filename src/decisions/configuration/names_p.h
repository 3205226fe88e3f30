#pragma once

#include "peridotramp/configuration.h"

#include <algorithm>
#include <ranges>

namespace peridotramp {

/// Returns the names of all values of an enumeration in their order.
template <typename Enum> std::vector<std::string_view> namesOf()
{
    std::vector<std::string_view> names;
    names.reserve(static_cast<std::size_t>(Enum::Count));
    for (int index = 0; index < static_cast<int>(Enum::Count); ++index)
        names.push_back(toString(static_cast<Enum>(index)));
    return names;
}

/// Returns the value with this name; empty when there is none.
template <typename Enum> std::optional<Enum> fromName(std::string_view name)
{
    const auto names = namesOf<Enum>();
    const auto found = std::ranges::find(names, name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<Enum>(found - names.begin());
}

} // namespace peridotramp
