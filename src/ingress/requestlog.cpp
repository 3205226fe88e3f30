#include "ingress_p.h"

#include <fmt/format.h>

namespace peridotramp {

namespace {

std::int64_t milliseconds(Duration duration) { return std::chrono::duration_cast<Milliseconds>(duration).count(); }

} // namespace

bool RequestLog::tryTakeLine(bool failed)
{
    const std::scoped_lock lock(this->mutex);
    const auto now = RuntimeClock::now();
    if (now - this->windowStart >= Seconds(1)) {
        if (this->suppressed > 0)
            log(LogLevel::Info, "request log lines suppressed", { { "count", this->suppressed } });
        this->windowStart = now;
        this->failures = 0;
        this->successes = 0;
        this->suppressed = 0;
    }
    auto& written = failed ? this->failures : this->successes;
    const bool allowed = written < (failed ? this->init.failuresPerSecond : this->init.successesPerSecond);
    written += allowed ? 1 : 0;
    this->suppressed += allowed ? 0 : 1;
    return allowed;
}

void RequestLog::write(const RequestOutcome& outcome)
{
    this->metrics.count(fmt::format("requests{{route=\"{}\",result=\"{}\"}}", outcome.route, outcome.result));
    this->metrics.observe(
        fmt::format("request_ms{{route=\"{}\"}}", outcome.route), static_cast<double>(milliseconds(outcome.total)));
    if (!this->tryTakeLine(outcome.failed))
        return;
    log(outcome.failed ? LogLevel::Warning : LogLevel::Info, "request",
        { { "request", outcome.request }, { "route", outcome.route }, { "workspace", outcome.workspace },
            { "program", outcome.program }, { "endpoint", outcome.endpoint }, { "result", outcome.result },
            { "status", std::int64_t { outcome.status } }, { "attempts", outcome.attempts }, { "runs", outcome.runs },
            { "events", outcome.events }, { "event_bytes", outcome.eventBytes }, { "version", outcome.version },
            { "first_ms", milliseconds(outcome.firstByte) }, { "total_ms", milliseconds(outcome.total) },
            { "turn_wait_ms", milliseconds(outcome.turnWait) },
            { "allowance_wait_ms", milliseconds(outcome.allowanceWait) },
            { "endpoint_wait_ms", milliseconds(outcome.endpointWait) }, { "prompt_tokens", outcome.promptTokens.value },
            { "uncached_tokens", outcome.uncachedTokens.value }, { "detail", outcome.detail } });
}

void RequestLog::write(const ConnectionEnd& end)
{
    this->metrics.count(fmt::format("connections_ended{{reason=\"{}\"}}", toString(end.reason)));
    const bool wasIdle = end.reason == ConnectionEnd::Reason::Idle || end.reason == ConnectionEnd::Reason::Stopping;
    if (wasIdle || !this->tryTakeLine(true))
        return;
    log(LogLevel::Warning, "connection ended",
        { { "reason", std::string(toString(end.reason)) }, { "caller", end.peer.toString() }, { "path", end.path },
            { "request_bytes", std::uint64_t { end.requestBytes } }, { "request_ms", milliseconds(end.requestAge) } });
}

} // namespace peridotramp
