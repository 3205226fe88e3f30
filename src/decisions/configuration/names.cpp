#include "peridotramp/configuration.h"

#include "names_p.h"

#include <array>

namespace peridotramp {

namespace {

template <typename Enum, std::size_t count>
std::string_view nameOf(const std::array<std::string_view, count>& names, Enum value)
{
    static_assert(count == static_cast<std::size_t>(Enum::Count));
    return names[std::min(static_cast<std::size_t>(value), count - 1)];
}

constexpr std::array<std::string_view, 2> keyStates { "granted", "withdrawn" };
constexpr std::array<std::string_view, 2> endpointKinds { "engine", "service" };
constexpr std::array<std::string_view, 3> endpointStates { "in", "leaving", "out" };
constexpr std::array<std::string_view, 2> fencingKinds { "obeyed", "ignored" };
constexpr std::array<std::string_view, 3> presets { "baseline", "kalahari", "longgrass" };
constexpr std::array<std::string_view, 3> domainStates { "in", "out", "removed" };

} // namespace

std::string_view toString(KeyEntry::State state) { return nameOf(keyStates, state); }
std::string_view toString(EndpointEntry::Kind kind) { return nameOf(endpointKinds, kind); }
std::string_view toString(EndpointEntry::State state) { return nameOf(endpointStates, state); }
std::string_view toString(EndpointEntry::Fencing fencing) { return nameOf(fencingKinds, fencing); }
std::string_view toString(PolicyEntry::Preset preset) { return nameOf(presets, preset); }
std::string_view toString(DomainEntry::State state) { return nameOf(domainStates, state); }

KeyId keyIdOf(std::string_view team, std::string_view key)
{
    return idFromName<KeyId>(std::string(team) + "/" + std::string(key));
}

PolicyEntry PolicyEntry::of(Preset preset)
{
    switch (preset) {
    case Preset::Kalahari:
        return { preset, 1.0, 0.5, 0.5 };
    case Preset::Longgrass:
        return { preset, 0.5, 1.0, 1.0 };
    case Preset::Baseline:
    case Preset::Count:
        break;
    }
    return {};
}

} // namespace peridotramp
