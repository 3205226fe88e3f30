#include "endpointpool_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// A single sample changes the normal latency by at most 2.5 %. A cold endpoint therefore cannot quickly make its own
// latency the normal one, but an initial value of a quarter of the true one is corrected after about 60 calls.
constexpr double latencyGain = 0.05;
constexpr double latencyClip = 1.5;

double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

double promptUnits(TokenCount uncached, TokenCount perUnit)
{
    return 1 + static_cast<double>(uncached.value) / static_cast<double>(perUnit.value);
}

} // namespace

Duration EndpointPool::normalFirstToken(EndpointGroupId group, TokenCount uncached) const
{
    const auto found = this->groups.find(group);
    const bool isKnown = found != this->groups.end() && found->second.normalLatency > 0;
    const auto perUnit = isKnown ? found->second.normalLatency : secondsOf(this->init.initialFirstToken);
    const std::chrono::duration<double> normal(perUnit * promptUnits(uncached, this->init.tokensPerLatency));
    return std::chrono::duration_cast<Duration>(normal);
}

bool EndpointPool::isColdLatency(const Endpoint& endpoint, const CallReport& report) const
{
    if (!report.firstToken || *report.firstToken < this->init.minColdLatency)
        return false;
    const auto normal = this->normalFirstToken(endpoint.description.group, report.uncachedTokens);
    return secondsOf(*report.firstToken) > this->init.coldLatencyFactor * secondsOf(normal);
}

void EndpointPool::updateNormalLatency(const Endpoint& endpoint, const CallReport& report)
{
    if (!report.firstToken)
        return;
    const auto before = secondsOf(this->normalFirstToken(endpoint.description.group, {}));
    const auto units = promptUnits(report.uncachedTokens, this->init.tokensPerLatency);
    const auto sample = std::min(secondsOf(*report.firstToken) / units, latencyClip * before);
    this->groups[endpoint.description.group].normalLatency = before + latencyGain * (sample - before);
}

void EndpointPool::makeCold(Endpoint& endpoint)
{
    if (endpoint.state == EndpointState::Warm || endpoint.state == EndpointState::Suspect)
        endpoint.state = EndpointState::Cold;
    endpoint.window = 1;
    endpoint.warmSuccesses = 0;
}

void EndpointPool::observeSuccess(Endpoint& endpoint, const CallReport& report)
{
    auto& breaker = endpoint.breaker;
    breaker.failures = 0;
    if (++breaker.successes >= this->init.breakerResetSuccesses)
        breaker.openFor = {};
    const bool isCold = this->isColdLatency(endpoint, report);
    this->updateNormalLatency(endpoint, report);
    if (isCold) {
        ++this->counters.coldDetections;
        this->makeCold(endpoint);
        return;
    }
    if (endpoint.state == EndpointState::Suspect && !breaker.open)
        endpoint.state = EndpointState::Cold;
    if (++endpoint.warmSuccesses < this->init.successesToWarm)
        return;
    if (endpoint.state == EndpointState::Cold)
        endpoint.state = EndpointState::Warm;
    const bool wasFull = static_cast<std::int64_t>(endpoint.held.size()) + 1 >= endpoint.window;
    if (wasFull)
        endpoint.window = std::min(endpoint.window + 1, endpoint.description.slots.value);
}

void EndpointPool::observeFailure(TimePoint now, Endpoint& endpoint, bool refused)
{
    auto& breaker = endpoint.breaker;
    breaker.successes = 0;
    ++breaker.failures;
    endpoint.window = std::max<std::int64_t>(1, endpoint.window / 2);
    if (refused) {
        ++this->counters.coldDetections;
        this->makeCold(endpoint);
    }
    // An open breaker ignores the failures of calls that began before it opened.
    const bool opens = breaker.open ? now >= breaker.openUntil : breaker.failures >= this->init.breakerFailures;
    if (!opens)
        return;
    ++this->counters.breakerOpened;
    breaker.open = true;
    breaker.failures = 0;
    breaker.openFor = std::clamp(2 * breaker.openFor, this->init.minBreakerOpen, this->init.maxBreakerOpen);
    breaker.openUntil = now + breaker.openFor;
    this->makeCold(endpoint);
    if (endpoint.state == EndpointState::Cold)
        endpoint.state = EndpointState::Suspect;
}

void EndpointPool::release(TimePoint now, const EndpointPermit& permit, const CallReport& report)
{
    auto* endpoint = this->find(permit.endpoint);
    const bool isHeld = endpoint && endpoint->held.erase(permit.permit) > 0;
    if (!isHeld) {
        ++this->counters.staleReleases;
        return;
    }
    ++this->counters.released;
    const bool wasTrial = endpoint->breaker.trial == permit.permit;
    if (wasTrial)
        endpoint->breaker.trial.reset();
    switch (report.result) {
    case EndpointResult::Succeeded:
        if (wasTrial)
            endpoint->breaker.open = false;
        this->observeSuccess(*endpoint, report);
        break;
    case EndpointResult::Refused:
    case EndpointResult::Failed:
        this->observeFailure(now, *endpoint, report.result == EndpointResult::Refused);
        break;
    default:
        break;
    }
    this->eraseIfGone(permit.endpoint);
}

void EndpointPool::trackPeak(TimePoint now, Endpoint& endpoint)
{
    if (now - endpoint.peakSince >= this->init.maxReportAge) {
        endpoint.earlierPeakHeld = endpoint.peakHeld;
        endpoint.peakHeld = 0;
        endpoint.peakSince = now;
    }
    endpoint.peakHeld = std::max(endpoint.peakHeld, static_cast<std::int64_t>(endpoint.held.size()));
}

void EndpointPool::applyReport(TimePoint now, const LoadReport& report)
{
    auto* endpoint = this->find(report.endpoint);
    const bool isLate = !endpoint || now - report.measuredAt > this->init.maxReportAge
        || (endpoint->newestReport && report.measuredAt <= *endpoint->newestReport);
    if (isLate) {
        ++this->counters.staleReports;
        return;
    }
    endpoint->newestReport = report.measuredAt;
    const bool restarted = endpoint->start.isValid() && report.start != endpoint->start;
    endpoint->start = report.start;
    if (restarted) {
        ++this->counters.coldDetections;
        this->makeCold(*endpoint);
    }
    this->trackPeak(now, *endpoint);
    // The report may show the load at any time within `maxReportAge`, so only calls beyond the recent peak are
    // certainly external.
    const auto total = report.running.value + report.queued.value;
    endpoint->external = std::max<std::int64_t>(0, total - std::max(endpoint->peakHeld, endpoint->earlierPeakHeld));
    endpoint->externalUntil = now + this->init.maxReportAge;
    if (report.queued.value > 0)
        endpoint->window = std::clamp<std::int64_t>(report.running.value, 1, endpoint->window);
    const bool isIdle = total == 0;
    this->reclaimIf(*endpoint, [&](const HeldPermit& held) {
        return held.holderDied && (restarted || (isIdle && report.measuredAt > *held.holderDied));
    });
    this->eraseIfGone(report.endpoint);
}

void EndpointPool::markHolderDead(TimePoint now, NodeId holder, Incarnation newestDead)
{
    for (auto& [id, endpoint] : this->byId) {
        for (auto& [permit, held] : endpoint.held) {
            if (held.request.holder != holder || held.request.incarnation > newestDead || held.holderDied)
                continue;
            held.holderDied = now;
            held.reclaimAt = std::min(held.reclaimAt, now + this->init.deadHolderTimeout);
        }
    }
}

void EndpointPool::reclaimIf(Endpoint& endpoint, const std::function<bool(const HeldPermit&)>& due)
{
    this->counters.reclaimed += std::erase_if(endpoint.held, [&](const auto& entry) {
        if (!due(entry.second))
            return false;
        if (endpoint.breaker.trial == entry.first)
            endpoint.breaker.trial.reset();
        return true;
    });
}

void EndpointPool::tick(TimePoint now)
{
    for (auto& [id, endpoint] : this->byId) {
        this->reclaimIf(endpoint, [now](const HeldPermit& held) { return now >= held.reclaimAt; });
        this->trackPeak(now, endpoint);
    }
    std::erase_if(this->byId,
        [](const auto& entry) { return entry.second.state == EndpointState::Gone && entry.second.held.empty(); });
}

} // namespace peridotramp
