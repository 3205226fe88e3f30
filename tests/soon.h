#pragma once

#include <chrono>
#include <thread>

namespace peridotramp {

/// Longest time that a test waits for a condition.
constexpr std::chrono::seconds testTimeout { 20 };

/// Polls the condition; returns whether it became true within `testTimeout`.
template <typename Condition> bool eventually(Condition condition)
{
    const auto deadline = std::chrono::steady_clock::now() + testTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return condition();
}

} // namespace peridotramp
