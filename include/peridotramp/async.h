#pragma once

#include "peridotramp/core.h"

#include <boost/asio.hpp>
#include <deque>

// Coroutine helpers for the libraries that communicate with peers. Decision libraries do not include this header.

namespace peridotramp {

namespace asio = boost::asio;

/// Makes Asio timers follow `RuntimeClock`; while the clock is paused, they poll it.
struct RuntimeWaitTraits {
    static constexpr Duration pollWhilePaused = Milliseconds(1);

    static Duration to_wait_duration(const Duration& duration)
    {
        return RuntimeClock::isPaused() ? std::min(duration, pollWhilePaused) : duration;
    }
    static Duration to_wait_duration(const TimePoint& time) { return to_wait_duration(time - RuntimeClock::now()); }
};

using RuntimeTimer = asio::basic_waitable_timer<RuntimeClock, RuntimeWaitTraits>;

/// Completion token for coroutines that returns errors as values.
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// Logs an exception that no code has handled, with the task that it ended. Does nothing without an exception.
void logUnexpectedError(std::string_view task, const std::exception_ptr& error);

/// Completion handler for coroutines that run on their own: logs the exception that ended one. `task` must outlive it.
inline auto reportErrors(std::string_view task)
{
    return [task](const std::exception_ptr& error) { logUnexpectedError(task, error); };
}

/// Calls a function and logs an exception that leaves it, so that one failed task does not end its loop or the process.
/// Returns whether the function returned normally.
template <typename Function> bool callGuarded(std::string_view task, Function&& function)
{
    try {
        function();
        return true;
    } catch (...) {
        logUnexpectedError(task, std::current_exception());
        return false;
    }
}

/// Queue from callbacks on any thread to one coroutine. Copies refer to the same queue.
template <typename Event> class Mailbox {
public:
    /// `executor` must be a strand, and the coroutine that calls `next` must run on it.
    explicit Mailbox(const asio::any_io_executor& executor)
        : state(std::make_shared<State>(executor))
    {
    }

    /// Adds an event. May be called from any thread, even after the coroutine has ended.
    void push(Event event) const
    {
        bool wake = false;
        {
            const std::scoped_lock lock(this->state->mutex);
            this->state->events.push_back(std::move(event));
            wake = std::exchange(this->state->waiting, false);
        }
        if (wake)
            asio::post(this->state->executor, [state = this->state] { state->timer.cancel(); });
    }

    /// Waits for the next event; empty when `deadline` passes first.
    asio::awaitable<std::optional<Event>> next(TimePoint deadline) const
    {
        const auto state = this->state;
        while (true) {
            {
                const std::scoped_lock lock(state->mutex);
                if (!state->events.empty()) {
                    std::optional<Event> event(std::move(state->events.front()));
                    state->events.pop_front();
                    co_return event;
                }
                if (RuntimeClock::now() >= deadline)
                    co_return std::nullopt;
                state->waiting = true;
            }
            state->timer.expires_at(deadline);
            co_await state->timer.async_wait(asTuple);
        }
    }

private:
    struct State {
        explicit State(const asio::any_io_executor& executor)
            : executor(executor)
            , timer(executor)
        {
        }

        std::mutex mutex {};
        std::deque<Event> events {};
        bool waiting = false;
        asio::any_io_executor executor;
        RuntimeTimer timer;
    };

    std::shared_ptr<State> state;
};

/// Starts a callback-based operation and waits for its result; empty when `deadline` passes first. `start` receives the
/// hook to call with the result.
template <typename Value, typename Start>
asio::awaitable<std::optional<Value>> awaitResult(asio::any_io_executor executor, TimePoint deadline, Start start)
{
    Mailbox<Value> mailbox(executor);
    start(std::function<void(Value)>([mailbox](Value value) { mailbox.push(std::move(value)); }));
    auto value = co_await mailbox.next(deadline);
    co_return value;
}

/// Runs an operation once for all coroutines that request its result concurrently.
template <typename Key> class SingleFlight {
public:
    /// Runs `operation`, or waits for the one in progress for the same key. Returns its result.
    asio::awaitable<bool> run(asio::any_io_executor executor, Key key, std::function<asio::awaitable<bool>()> operation)
    {
        Mailbox<bool> mailbox(executor);
        if (!this->begin(key, mailbox)) {
            // The timeouts of its calls bound the duration of the operation.
            const auto result = co_await mailbox.next(TimePoint::max());
            co_return result.value_or(false);
        }
        const bool result = co_await operation();
        for (const auto& waiting : this->end(key))
            waiting.push(result);
        co_return result;
    }

private:
    bool begin(const Key& key, const Mailbox<bool>& mailbox)
    {
        const std::scoped_lock lock(this->mutex);
        const auto [found, isNew] = this->running.try_emplace(key);
        if (!isNew)
            found->second.push_back(mailbox);
        return isNew;
    }

    std::vector<Mailbox<bool>> end(const Key& key)
    {
        const std::scoped_lock lock(this->mutex);
        return std::move(this->running.extract(key).mapped());
    }

    std::mutex mutex;
    std::map<Key, std::vector<Mailbox<bool>>> running;
};

/// Waits for `delay` on `RuntimeClock`.
inline asio::awaitable<void> sleepFor(asio::any_io_executor executor, Duration delay)
{
    RuntimeTimer timer(executor);
    timer.expires_after(delay);
    co_await timer.async_wait(asTuple);
}

} // namespace peridotramp
