#pragma once

#include "peridotramp/configuration.h"

#include <fmt/format.h>

namespace peridotramp::samples {

/// A valid text with every kind of section.
inline const std::string complete = R"(; Longgrass Sound Hire
[team]
name = longgrass
domains = north, south, east
home = south

[workspace rodeo]
request_rate = 5
request_burst = 20
token_rate = 4000.5
token_burst = 90000
weight = 2
budget = quotes

[budget quotes]
tokens = 50000
calls = 40
wall_seconds = 600
depth = 2

[key rodeo-1]
workspace = rodeo
sha256 = ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad

# Planning agents
[endpoint planner-1]
domain = north
address = 127.0.0.1:7001
models = quote-small, quote-large
slots = 8
fencing = obeyed

[endpoint booking-1]
domain = south
address = 127.0.0.1:7002
kind = service
state = leaving

[call charge]
idempotent = false
endpoint = booking-1
deadline_ms = 5000

[route /status]
open = yes

[policy]
preset = longgrass
locality = 0.75

[domain east]
state = out
)";

/// A small document whose only workspace is `workspace` with one key of the same name.
inline std::string small(std::string_view team, std::string_view workspace, int rate = 1)
{
    return fmt::format("[team]\nname = {}\ndomains = north\n[workspace {}]\nrequest_rate = {}\ntoken_rate = 100\n"
                       "[key {}]\nworkspace = {}\nsha256 = {}\n",
        team, workspace, rate, workspace, workspace, sha256(workspace).toHex());
}

inline ConfigurationRecord change(
    std::uint64_t offset, std::uint64_t id, std::string_view team, Version base, std::string text)
{
    return { Offset { offset }, ConfigurationChange { ChangeId { id }, std::string(team), base, std::move(text) } };
}

/// A read of consecutive records; with `isAtTail`, it reaches the end of the log.
inline ConfigurationRead readOf(
    std::uint64_t from, std::vector<ConfigurationRecord> records, bool isAtTail = true, std::uint64_t first = 0)
{
    const auto next = records.empty() ? from : records.back().offset.value + 1;
    ConfigurationRead read { Offset { from }, Offset { first }, Offset { next }, std::move(records), {} };
    if (isAtTail)
        read.age = Duration::zero();
    return read;
}

} // namespace peridotramp::samples
