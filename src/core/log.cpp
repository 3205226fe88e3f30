#include "peridotramp/core.h"

#include <algorithm>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace peridotramp {

namespace {

struct LogState {
    std::mutex mutex;
    std::atomic<LogLevel> least = LogLevel::Info;
    std::string processName = "peridotramp";
};

LogState& logState()
{
    static LogState state;
    return state;
}

constexpr std::array<std::string_view, 4> levelNames { "debug", "info", "warning", "error" };

void appendValue(fmt::memory_buffer& line, std::string_view value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string_view::npos;
    if (plain) {
        fmt::format_to(std::back_inserter(line), "{}", value);
        return;
    }
    line.push_back('"');
    for (const char character : value) {
        if (character == '"' || character == '\\')
            line.push_back('\\');
        line.push_back(character == '\n' || character == '\r' ? ' ' : character);
    }
    line.push_back('"');
}

} // namespace

LogField::LogField(std::string_view key, std::int64_t value)
    : key(key)
    , value(fmt::to_string(value))
{
}

LogField::LogField(std::string_view key, std::uint64_t value)
    : key(key)
    , value(fmt::to_string(value))
{
}

LogField::LogField(std::string_view key, int value)
    : key(key)
    , value(fmt::to_string(value))
{
}

void log(LogLevel level, std::string_view message, std::initializer_list<LogField> fields)
{
    auto& state = logState();
    if (level < state.least)
        return;
    fmt::memory_buffer line;
    const auto now = std::chrono::system_clock::now();
    const auto millis = std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count() % 1000;
    fmt::format_to(std::back_inserter(line), "{:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} ",
        fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis, levelNames[static_cast<std::size_t>(level)]);
    const std::scoped_lock lock(state.mutex);
    fmt::format_to(std::back_inserter(line), "process={} message=", state.processName);
    appendValue(line, message);
    for (const auto& field : fields) {
        fmt::format_to(std::back_inserter(line), " {}=", field.key);
        appendValue(line, field.value);
    }
    line.push_back('\n');
    std::fwrite(line.data(), 1, line.size(), stderr);
}

void configureLog(LogLevel least, std::string processName)
{
    auto& state = logState();
    const std::scoped_lock lock(state.mutex);
    state.least = least;
    state.processName = std::move(processName);
}

LogLevel logLevelFromString(std::string_view name)
{
    const auto found = std::ranges::find(levelNames, name);
    return found == levelNames.end() ? LogLevel::Info : static_cast<LogLevel>(found - levelNames.begin());
}

} // namespace peridotramp
