#include "endpointpool_p.h"

#include <algorithm>
#include <cmath>

namespace peridotramp {

namespace {

// Steps of five seconds are longer than the delay of a load report, so each step shows in the load before the next one.
constexpr Duration rampStep = Seconds(5);
constexpr std::int64_t rampSteps = 4;
// A full window opens again when a call ends, which cannot be predicted.
constexpr Milliseconds windowRetry { 100 };
// Retry delay of refusals for which there is no better estimate.
constexpr Milliseconds defaultRetryAfter { 1000 };

double steppedRamp(Duration sinceReturn)
{
    const auto step = std::min<std::int64_t>(rampSteps, 1 + sinceReturn / rampStep);
    return static_cast<double>(step) / static_cast<double>(rampSteps);
}

bool isSameRequest(const EndpointPermitRequest& a, const EndpointPermitRequest& b)
{
    return a.holder == b.holder && a.incarnation == b.incarnation && a.call == b.call && a.attempt == b.attempt;
}

} // namespace

std::string_view toString(EndpointState state)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(EndpointState::Count)> names { "cold", "warm",
        "suspect", "leaving", "gone" };
    return names.at(static_cast<std::size_t>(state));
}

std::string_view toString(PermitRefusal refusal)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(PermitRefusal::Count)> names { "unknown_endpoint",
        "lease_lapsed", "leaving", "gone", "domain_out_of_service", "window_full", "breaker_open", "not_retryable",
        "too_many_attempts", "retry_budget_spent" };
    return names.at(static_cast<std::size_t>(refusal));
}

Error PermitAnswer::error() const
{
    constexpr std::array<ErrorKind, static_cast<std::size_t>(PermitRefusal::Count)> kinds { ErrorKind::NotOwner,
        ErrorKind::LeaseLapsed, ErrorKind::EndpointUnavailable, ErrorKind::EndpointUnavailable,
        ErrorKind::DomainOutOfService, ErrorKind::Overloaded, ErrorKind::EndpointUnavailable, ErrorKind::EndpointFailed,
        ErrorKind::EndpointFailed, ErrorKind::EndpointFailed };
    return { kinds.at(static_cast<std::size_t>(this->refusal)), Outcome::NotRun, std::string(toString(this->refusal)),
        this->retryAfter };
}

EndpointPool::EndpointPool()
    : EndpointPool(Init {})
{
}

EndpointPool::EndpointPool(Init init)
    : init(std::move(init))
{
    if (!this->init.domainRamp)
        this->init.domainRamp = steppedRamp;
}

EndpointPool::Endpoint* EndpointPool::find(EndpointId endpoint)
{
    const auto found = this->byId.find(endpoint);
    return found == this->byId.end() ? nullptr : &found->second;
}

Status EndpointPool::configure(TimePoint now, const EndpointDescription& description)
{
    const bool isNew = !this->byId.contains(description.endpoint);
    if (isNew && this->byId.size() >= this->init.limits.endpoints)
        return Error { ErrorKind::Overloaded, Outcome::NotRun, "too many endpoints in this pool" };
    auto& endpoint = this->byId[description.endpoint];
    const bool wasOut = endpoint.state == EndpointState::Leaving || endpoint.state == EndpointState::Gone;
    endpoint.description = description;
    endpoint.description.slots.value = std::max<std::int64_t>(1, description.slots.value);
    endpoint.window = std::min(endpoint.window, endpoint.description.slots.value);
    if (isNew)
        endpoint.peakSince = now;
    if (!description.inService)
        endpoint.state = EndpointState::Leaving;
    else if (isNew || wasOut) {
        endpoint.state = EndpointState::Cold;
        this->makeCold(endpoint);
    }
    return std::monostate {};
}

void EndpointPool::remove(TimePoint, EndpointId endpoint)
{
    if (auto* found = this->find(endpoint)) {
        found->state = EndpointState::Gone;
        this->eraseIfGone(endpoint);
    }
}

void EndpointPool::eraseIfGone(EndpointId endpoint)
{
    const auto* found = this->find(endpoint);
    if (found && found->state == EndpointState::Gone && found->held.empty())
        this->byId.erase(endpoint);
}

void EndpointPool::setDomain(TimePoint now, DomainId domain, DomainState state)
{
    auto& entry = this->domains[domain];
    if (entry.state == state)
        return;
    entry.state = state;
    if (state == DomainState::Out)
        return;
    entry.returnedAt = now;
    for (auto& [id, endpoint] : this->byId) {
        if (endpoint.description.domain == domain)
            this->makeCold(endpoint);
    }
}

double EndpointPool::domainShare(TimePoint now, DomainId domain) const
{
    const auto found = this->domains.find(domain);
    if (found == this->domains.end())
        return 1;
    if (found->second.state == DomainState::Out)
        return 0;
    if (!found->second.returnedAt)
        return 1;
    return std::clamp(this->init.domainRamp(now - *found->second.returnedAt), 0.0, 1.0);
}

void EndpointPool::beginOwnership(TimePoint now, EndpointId endpoint, Epoch epoch, TimePoint leaseUntil,
    const std::optional<EndpointHandover>& handover)
{
    auto* found = this->find(endpoint);
    if (!found || (found->epoch.isValid() && epoch < found->epoch))
        return;
    const bool isRepeated = found->owned && found->epoch == epoch;
    found->epoch = epoch;
    found->owned = true;
    found->leaseUntil = std::max(found->leaseUntil, leaseUntil);
    if (isRepeated)
        return;
    this->makeCold(*found);
    if (!handover)
        return;
    found->window = std::clamp<std::int64_t>(handover->window.value, 1, found->description.slots.value);
    if (found->state == EndpointState::Cold && handover->state == EndpointState::Warm)
        found->state = EndpointState::Warm;
    for (const auto& held : handover->held) {
        const auto reclaimAt = now + held.request.maxRunTime + this->init.reclaimMargin;
        found->held.insert_or_assign(held.permit.permit, HeldPermit { held.permit, held.request, reclaimAt });
    }
    this->trackPeak(now, *found);
}

void EndpointPool::renew(EndpointId endpoint, Epoch epoch, TimePoint leaseUntil)
{
    auto* found = this->find(endpoint);
    if (found && found->owned && found->epoch == epoch)
        found->leaseUntil = std::max(found->leaseUntil, leaseUntil);
}

std::optional<EndpointHandover> EndpointPool::handOver(TimePoint now, EndpointId endpoint)
{
    auto* found = this->find(endpoint);
    // After its lease the owner no longer knows what a successor has granted, so its state is useless.
    if (!found || !found->owned || now >= found->leaseUntil)
        return std::nullopt;
    EndpointHandover handover { endpoint, found->state, { found->window } };
    std::ranges::transform(found->held, std::back_inserter(handover.held),
        [](const auto& entry) { return EndpointHandover::Held { entry.second.permit, entry.second.request }; });
    found->owned = false;
    found->held.clear();
    found->breaker.trial.reset();
    this->eraseIfGone(endpoint);
    return handover;
}

std::int64_t EndpointPool::available(TimePoint now, const Endpoint& endpoint) const
{
    const auto slots = static_cast<double>(endpoint.description.slots.value);
    const auto share
        = static_cast<std::int64_t>(std::ceil(slots * this->domainShare(now, endpoint.description.domain)));
    const auto external = now < endpoint.externalUntil ? endpoint.external : 0;
    return std::min(endpoint.window, share) - static_cast<std::int64_t>(endpoint.held.size()) - external;
}

std::optional<PermitRefusal> EndpointPool::refusalOf(TimePoint now, const Endpoint& endpoint) const
{
    if (endpoint.state == EndpointState::Gone)
        return PermitRefusal::Gone;
    if (endpoint.state == EndpointState::Leaving)
        return PermitRefusal::Leaving;
    if (this->domainShare(now, endpoint.description.domain) <= 0)
        return PermitRefusal::DomainOutOfService;
    if (endpoint.breaker.open && (now < endpoint.breaker.openUntil || endpoint.breaker.trial))
        return PermitRefusal::BreakerOpen;
    if (this->available(now, endpoint) <= 0 || endpoint.held.size() >= this->init.limits.permitsPerEndpoint)
        return PermitRefusal::WindowFull;
    return std::nullopt;
}

EndpointPool::Group& EndpointPool::decayedGroup(TimePoint now, EndpointGroupId group)
{
    auto& entry = this->groups[group];
    const auto elapsed = std::chrono::duration<double>(now - entry.decayedAt);
    if (elapsed.count() > 0) {
        entry.retryBudget *= std::exp(-elapsed / std::chrono::duration<double>(this->init.retryDecayTime));
        entry.decayedAt = now;
    }
    return entry;
}

std::optional<PermitRefusal> EndpointPool::consumeRetryBudget(
    TimePoint now, const Endpoint& endpoint, const EndpointPermitRequest& request)
{
    if (request.attempt > this->init.limits.retriesPerCall)
        return PermitRefusal::TooManyAttempts;
    if (request.attempt > 0 && !request.retryable)
        return PermitRefusal::NotRetryable;
    auto& group = this->decayedGroup(now, endpoint.description.group);
    if (request.attempt <= 0) {
        group.retryBudget = std::min(this->init.maxRetryBudget, group.retryBudget + this->init.retryRatio);
        ++this->counters.firstAttempts;
        return std::nullopt;
    }
    if (group.retryBudget < 1)
        return PermitRefusal::RetryBudgetSpent;
    group.retryBudget -= 1;
    ++this->counters.retries;
    return std::nullopt;
}

PermitAnswer EndpointPool::refuse(PermitRefusal reason, Duration retryAfter)
{
    ++this->counters.refusals.at(static_cast<std::size_t>(reason));
    return { std::nullopt, reason, std::chrono::ceil<Milliseconds>(retryAfter) };
}

PermitAnswer EndpointPool::grant(TimePoint now, Endpoint& endpoint, const EndpointPermitRequest& request)
{
    const auto id = numberedId<PermitId>(IdSource::Permits, request.endpoint, endpoint.epoch, this->nextPermit++);
    const Permit permit { id, request.endpoint, endpoint.epoch, now };
    endpoint.held.emplace(id, HeldPermit { permit, request, now + request.maxRunTime + this->init.reclaimMargin });
    if (endpoint.breaker.open)
        endpoint.breaker.trial = id;
    this->trackPeak(now, endpoint);
    ++this->counters.granted;
    return { permit };
}

PermitAnswer EndpointPool::tryAcquire(TimePoint now, const EndpointPermitRequest& request)
{
    auto* endpoint = this->find(request.endpoint);
    if (!endpoint)
        return this->refuse(PermitRefusal::UnknownEndpoint, {});
    if (!endpoint->owned || now >= endpoint->leaseUntil)
        return this->refuse(PermitRefusal::LeaseLapsed, defaultRetryAfter);
    const auto repeated = std::ranges::find_if(
        endpoint->held, [&](const auto& entry) { return isSameRequest(entry.second.request, request); });
    if (repeated != endpoint->held.end()) {
        ++this->counters.repeated;
        return { repeated->second.permit };
    }
    if (const auto refusal = this->refusalOf(now, *endpoint)) {
        const bool waitsForBreaker = *refusal == PermitRefusal::BreakerOpen && now < endpoint->breaker.openUntil;
        const auto otherwise = *refusal == PermitRefusal::WindowFull ? windowRetry : defaultRetryAfter;
        return this->refuse(*refusal, waitsForBreaker ? endpoint->breaker.openUntil - now : otherwise);
    }
    if (const auto refusal = this->consumeRetryBudget(now, *endpoint, request))
        return this->refuse(*refusal, {});
    return this->grant(now, *endpoint, request);
}

std::optional<EndpointPool::View> EndpointPool::view(TimePoint now, EndpointId endpoint) const
{
    const auto found = this->byId.find(endpoint);
    if (found == this->byId.end())
        return std::nullopt;
    const auto& entry = found->second;
    const bool domainOut = this->domainShare(now, entry.description.domain) <= 0;
    const bool mayGrant = entry.owned && now < entry.leaseUntil && !this->refusalOf(now, entry);
    View view { entry.description,
        domainOut && entry.state != EndpointState::Gone ? EndpointState::Leaving : entry.state };
    view.window.value = entry.window;
    view.held.value = static_cast<std::int64_t>(entry.held.size());
    view.external.value = now < entry.externalUntil ? entry.external : 0;
    view.available.value = mayGrant ? this->available(now, entry) : 0;
    view.breakerOpen = entry.breaker.open;
    view.normalFirstToken = this->normalFirstToken(entry.description.group, {});
    return view;
}

std::vector<EndpointId> EndpointPool::endpoints() const
{
    std::vector<EndpointId> ids;
    std::ranges::transform(this->byId, std::back_inserter(ids), [](const auto& entry) { return entry.first; });
    std::ranges::sort(ids);
    return ids;
}

} // namespace peridotramp
