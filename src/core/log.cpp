#include "peridotramp/core.h"

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <stop_token>
#include <thread>

namespace peridotramp {

namespace {

// Queue of lines for the writer thread. The queue and the block being written are swapped, so neither is reallocated.
class LineQueue {
public:
    LineQueue()
        : writer([this](const std::stop_token& stop) { this->run(stop); })
    {
    }

    void push(std::string_view line)
    {
        const std::scoped_lock lock(this->mutex);
        if (this->queued.size() + line.size() > maxQueuedBytes) {
            ++this->dropped;
            return;
        }
        const bool wasEmpty = this->queued.empty();
        this->queued += line;
        if (wasEmpty)
            this->changed.notify_one();
    }

    void flush(Milliseconds limit)
    {
        std::unique_lock lock(this->mutex);
        this->written.wait_for(lock, limit, [this] { return this->queued.empty() && !this->writing; });
    }

private:
    static constexpr std::size_t maxQueuedBytes = std::size_t { 256 } * 1024;
    // Lines are collected for this long, so that a busy process makes few system calls.
    static constexpr Milliseconds batchTime { 50 };

    void run(const std::stop_token& stop)
    {
        std::string block;
        std::unique_lock lock(this->mutex);
        while (!stop.stop_requested()) {
            this->changed.wait(lock, stop, [this] { return !this->queued.empty(); });
            this->changed.wait_for(lock, stop, batchTime, [] { return false; });
            block.clear();
            std::swap(block, this->queued);
            const auto droppedLines = std::exchange(this->dropped, 0);
            this->writing = true;
            lock.unlock();
            if (droppedLines > 0)
                block += fmt::format("level=warning message=\"log lines dropped\" count={}\n", droppedLines);
            std::fwrite(block.data(), 1, block.size(), stdout);
            std::fflush(stdout);
            lock.lock();
            this->writing = false;
            this->written.notify_all();
        }
    }

    std::mutex mutex;
    std::condition_variable_any changed;
    std::condition_variable_any written;
    std::string queued;
    bool writing = false;
    std::uint64_t dropped = 0;
    std::jthread writer;
};

struct LogState {
    std::mutex mutex;
    std::atomic<LogLevel> minLevel = LogLevel::Info;
    std::string processName = "peridotramp";
    // Never destroyed: a stalled reader must not keep the process from exiting.
    LineQueue* queue = nullptr;
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
    if (level < state.minLevel)
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
    if (state.queue)
        state.queue->push({ line.data(), line.size() });
    else
        std::fwrite(line.data(), 1, line.size(), stderr);
}

void configureLog(LogLevel minLevel, std::string processName, LogSink sink)
{
    auto& state = logState();
    const std::scoped_lock lock(state.mutex);
    state.minLevel = minLevel;
    state.processName = std::move(processName);
    if (sink == LogSink::StandardOutput && !state.queue)
        state.queue = new LineQueue(); // NOLINT(cppcoreguidelines-owning-memory): see LogState
}

void flushLog(Milliseconds limit)
{
    LineQueue* queue = nullptr;
    {
        auto& state = logState();
        const std::scoped_lock lock(state.mutex);
        queue = state.queue;
    }
    if (queue)
        queue->flush(limit);
}

std::optional<std::uint64_t> LogLimiter::take()
{
    const std::scoped_lock lock(this->mutex);
    const auto now = RuntimeClock::now();
    if (now - this->windowStart >= Seconds(1)) {
        this->windowStart = now;
        this->lines = 0;
    }
    if (this->lines >= this->linesPerSecond) {
        ++this->suppressed;
        return std::nullopt;
    }
    ++this->lines;
    return std::exchange(this->suppressed, 0);
}

LogLevel logLevelFromString(std::string_view name)
{
    const auto found = std::ranges::find(levelNames, name);
    return found == levelNames.end() ? LogLevel::Info : static_cast<LogLevel>(found - levelNames.begin());
}

} // namespace peridotramp
