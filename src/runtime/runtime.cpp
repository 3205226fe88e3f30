#include "runtime_p.h"

namespace peridotramp {

void logUnexpectedError(std::string_view task, const std::exception_ptr& error)
{
    if (!error)
        return;
    std::string reason;
    try {
        std::rethrow_exception(error);
    } catch (const std::exception& exception) {
        reason = exception.what();
    } catch (...) {
        reason = "exception of an unknown type";
    }
    log(LogLevel::Error, "unexpected exception", { { "task", std::string(task) }, { "reason", reason } });
}

struct Timer::State {
    State(asio::io_context& context, std::function<void()> hook, std::optional<Duration> period)
        : timer(context)
        , hook(std::move(hook))
        , period(period)
    {
    }

    RuntimeTimer timer;
    std::function<void()> hook;
    std::optional<Duration> period;
    std::atomic<bool> cancelled = false;
};

namespace {

void wait(const std::shared_ptr<Timer::State>& state)
{
    state->timer.async_wait([state](const boost::system::error_code& error) {
        if (error || state->cancelled)
            return;
        callGuarded("timer", state->hook);
        if (!state->period || state->cancelled)
            return;
        state->timer.expires_after(*state->period);
        wait(state);
    });
}

Timer startTimer(asio::io_context& context, Duration delay, std::function<void()> hook, std::optional<Duration> period)
{
    auto state = std::make_shared<Timer::State>(context, std::move(hook), period);
    state->timer.expires_after(delay);
    wait(state);
    return Timer { state };
}

void waitForSignal(const std::shared_ptr<asio::signal_set>& signals, std::function<void(int)> hook)
{
    signals->async_wait([signals, hook = std::move(hook)](const boost::system::error_code& error, int signal) {
        if (error)
            return;
        callGuarded("signal", [&] { hook(signal); });
        waitForSignal(signals, hook);
    });
}

} // namespace

void Timer::cancel()
{
    // Sets only the flag: accessing the timer from another thread would race with its handler.
    if (this->state)
        this->state->cancelled = true;
    this->state.reset();
}

Runtime::Runtime(Init init)
    : impl(std::make_unique<Impl>(init))
{
}

Runtime::~Runtime()
{
    this->stop();
    this->waitForStop();
}

void Runtime::start()
{
    for (std::size_t index = 0; index < this->impl->init.threads; ++index)
        this->impl->threads.emplace_back([this] {
            // An exception ends only the handler that threw it; the loop continues with the others.
            while (!callGuarded("handler", [this] { this->impl->context.run(); })) { }
        });
}

void Runtime::waitForStop()
{
    std::ranges::for_each(this->impl->threads, [](auto& thread) {
        if (thread.joinable() && thread.get_id() != std::this_thread::get_id())
            thread.join();
    });
}

void Runtime::stop() { this->impl->context.stop(); }

void Runtime::post(std::function<void()> hook) { asio::post(this->impl->context, std::move(hook)); }

Timer Runtime::after(Duration delay, std::function<void()> hook)
{
    return startTimer(this->impl->context, delay, std::move(hook), std::nullopt);
}

Timer Runtime::every(Duration period, std::function<void()> hook)
{
    return startTimer(this->impl->context, period, std::move(hook), period);
}

void Runtime::onSignals(std::vector<int> signals, std::function<void(int)> hook)
{
    auto set = std::make_shared<asio::signal_set>(this->impl->context);
    std::ranges::for_each(signals, [&](int signal) { set->add(signal); });
    waitForSignal(set, std::move(hook));
}

} // namespace peridotramp
