#include "peridotramp/core.h"

namespace peridotramp {

namespace {

struct ClockState {
    std::mutex mutex;
    std::atomic<bool> paused = false;
    // Paused: the current time. Running: the offset from the steady clock.
    std::atomic<std::int64_t> value = 0;
};

ClockState& clockState()
{
    static ClockState state;
    return state;
}

std::int64_t steadyNow()
{
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

} // namespace

TimePoint RuntimeClock::now() noexcept
{
    auto& state = clockState();
    const auto value = state.value.load();
    const auto count = state.paused.load() ? value : steadyNow() + value;
    return TimePoint(Duration(count));
}

void RuntimeClock::pause()
{
    auto& state = clockState();
    const std::scoped_lock lock(state.mutex);
    if (state.paused)
        return;
    state.value = steadyNow() + state.value;
    state.paused = true;
}

void RuntimeClock::resume()
{
    auto& state = clockState();
    const std::scoped_lock lock(state.mutex);
    if (!state.paused)
        return;
    state.paused = false;
    state.value = state.value - steadyNow();
}

void RuntimeClock::advance(Duration step) { clockState().value += step.count(); }

bool RuntimeClock::isPaused() noexcept { return clockState().paused; }

} // namespace peridotramp
