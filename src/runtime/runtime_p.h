#pragma once

#include "peridotramp/runtime.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <thread>

namespace peridotramp {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Lets Asio timers follow `RuntimeClock`: while it is paused they look again after a short real time.
struct RuntimeWaitTraits {
    static constexpr Duration pollWhilePaused = Milliseconds(1);

    static Duration to_wait_duration(const Duration& duration)
    {
        return RuntimeClock::isPaused() ? std::min(duration, pollWhilePaused) : duration;
    }
    static Duration to_wait_duration(const TimePoint& time) { return to_wait_duration(time - RuntimeClock::now()); }
};

using RuntimeTimer = asio::basic_waitable_timer<RuntimeClock, RuntimeWaitTraits>;

struct Runtime::Impl {
    Init init;
    asio::io_context context {};
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(this->context);
    std::vector<std::jthread> threads {};
};

/// Completion token for coroutines that get errors as values.
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

inline std::vector<HttpHeader> headersOf(const http::fields& fields)
{
    std::vector<HttpHeader> headers;
    for (const auto& field : fields)
        headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return headers;
}

inline void setHeaders(http::fields& fields, const std::vector<HttpHeader>& headers)
{
    for (const auto& header : headers)
        fields.set(header.name, header.value);
}

/// Returns whether the peer sent something that is not HTTP, rather than closing the connection.
inline bool isParseError(const boost::system::error_code& error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

} // namespace peridotramp
