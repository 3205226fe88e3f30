// Measures the cost of changes and lookups of the configuration as the number of workspaces grows.
#include "peridotramp/configuration.h"

#include <array>
#include <ctime>
#include <fmt/format.h>
#include <sys/resource.h>

using namespace peridotramp;

namespace {

constexpr int workspacesPerTeam = 8;
constexpr int keysPerWorkspace = 3;
constexpr int endpointsPerWorkspace = 2;
constexpr std::uint64_t changes = 4000;
constexpr int lookups = 2'000'000;
constexpr std::array<int, 4> sizes { 40, 80, 160, 320 };

std::string keyName(int workspace, int key) { return fmt::format("w{}-{}", workspace, key); }

std::string documentOf(int team, std::uint64_t revision)
{
    auto text = fmt::format("[team]\nname = t{}\ndomains = d0, d1, d2, d3, d4\n", team);
    for (int index = 0; index < workspacesPerTeam; ++index) {
        const auto workspace = team * workspacesPerTeam + index;
        text += fmt::format("[workspace w{}]\nrequest_rate = {}\ntoken_rate = 4000\n", workspace, revision % 100);
        for (int key = 0; key < keysPerWorkspace; ++key)
            text += fmt::format("[key {}]\nworkspace = w{}\nsha256 = {}\n", keyName(workspace, key), workspace,
                sha256(keyName(workspace, key)).toHex());
        for (int endpoint = 0; endpoint < endpointsPerWorkspace; ++endpoint)
            text += fmt::format("[endpoint e{}-{}]\ndomain = d{}\naddress = 127.0.0.1:{}\nmodels = m\nslots = 8\n",
                workspace, endpoint, endpoint, 1024 + workspace * endpointsPerWorkspace + endpoint);
    }
    return text;
}

double cpuMicroseconds() { return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC; }

struct Costs {
    std::uint64_t accepted = 0;
    double bytesPerChange = 0;
    double microsecondsPerChange = 0;
    double microsecondsPerReplayedChange = 0;
    double nanosecondsPerLookup = 0;
    std::size_t found = 0;
    std::size_t snapshotBytes = 0;
};

ConfigurationRecord recordAt(std::uint64_t offset, int teams, const ConfigurationState& state, double& bytes)
{
    const auto team = static_cast<int>(offset % static_cast<std::uint64_t>(teams));
    const auto name = fmt::format("t{}", team);
    auto text = documentOf(team, offset);
    bytes += static_cast<double>(text.size());
    return { Offset { offset }, ConfigurationChange { ChangeId { offset }, name, state.versionOf(name), text } };
}

ConfigurationRead readOf(std::uint64_t from, std::vector<ConfigurationRecord> records)
{
    const auto next = from + records.size();
    return { Offset { from }, Offset { 0 }, Offset { next }, std::move(records), Duration::zero() };
}

/// Applies every change on its own, as a running node does, and then all of them at once, as a starting node does.
void measureChanges(int teams, ConfigurationState& state, Costs& costs)
{
    std::vector<ConfigurationRecord> all;
    double bytes = 0;
    double spent = 0;
    for (std::uint64_t offset = 0; offset < changes; ++offset) {
        all.push_back(recordAt(offset, teams, state, bytes));
        auto read = readOf(offset, { all.back() });
        const auto begin = cpuMicroseconds();
        const auto results = state.apply(TimePoint {}, std::move(read));
        spent += cpuMicroseconds() - begin;
        costs.accepted += results.size() == 1 && results.front().isInForce() ? 1 : 0;
    }
    costs.bytesPerChange = bytes / changes;
    costs.microsecondsPerChange = spent / changes;
    ConfigurationState fresh;
    auto read = readOf(0, std::move(all));
    const auto begin = cpuMicroseconds();
    fresh.apply(TimePoint {}, std::move(read));
    costs.microsecondsPerReplayedChange = (cpuMicroseconds() - begin) / changes;
}

void measureLookups(int workspaces, const Configuration& configuration, Costs& costs)
{
    std::vector<Digest> digests;
    for (int workspace = 0; workspace < workspaces; ++workspace) {
        for (int key = 0; key < keysPerWorkspace; ++key)
            digests.push_back(sha256(keyName(workspace, key)));
    }
    const auto begin = cpuMicroseconds();
    for (std::size_t index = 0; index < lookups; ++index)
        costs.found += configuration.findKey(digests[index * 7919 % digests.size()]) != nullptr ? 1 : 0;
    costs.nanosecondsPerLookup = (cpuMicroseconds() - begin) * 1000 / lookups;
}

std::size_t snapshotBytesOf(const ConfigurationState& state)
{
    std::size_t bytes = 0;
    const auto transfer = state.exportSince(TimePoint {}, Offset { 0 });
    if (const auto* snapshot = std::get_if<ConfigurationSnapshot>(&transfer)) {
        for (const auto& document : snapshot->documents)
            bytes += document.text.size();
    }
    return bytes;
}

Costs measure(int workspaces)
{
    Costs costs;
    ConfigurationState state;
    measureChanges(workspaces / workspacesPerTeam, state, costs);
    measureLookups(workspaces, **state.snapshot(), costs);
    costs.snapshotBytes = snapshotBytesOf(state);
    return costs;
}

} // namespace

int main()
{
    fmt::print("{:>10} {:>8} {:>12} {:>10} {:>6} {:>10} {:>6} {:>10} {:>6} {:>9} {:>10}\n", "workspaces", "changes",
        "bytes/change", "us/change", "ratio", "us/replay", "ratio", "ns/lookup", "ratio", "found", "snapshot B");
    std::optional<Costs> previous;
    for (const auto workspaces : sizes) {
        const auto costs = measure(workspaces);
        const auto base = previous.value_or(costs);
        fmt::print("{:>10} {:>8} {:>12.0f} {:>10.1f} {:>6.2f} {:>10.1f} {:>6.2f} {:>10.1f} {:>6.2f} {:>9} {:>10}\n",
            workspaces, costs.accepted, costs.bytesPerChange, costs.microsecondsPerChange,
            costs.microsecondsPerChange / base.microsecondsPerChange, costs.microsecondsPerReplayedChange,
            costs.microsecondsPerReplayedChange / base.microsecondsPerReplayedChange, costs.nanosecondsPerLookup,
            costs.nanosecondsPerLookup / base.nanosecondsPerLookup, costs.found, costs.snapshotBytes);
        previous = costs;
    }
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    fmt::print(
        "largest resident set: {} KiB, which includes the {} records kept for the replay\n", usage.ru_maxrss, changes);
    return 0;
}
