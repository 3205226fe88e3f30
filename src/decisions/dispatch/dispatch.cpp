#include "peridotramp/dispatch.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace peridotramp {

namespace {

// Half-life of an endpoint's failure count.
constexpr double failureHalfLifeSeconds = 2;
// Time after the metadata store's return within which expired records are renewed.
constexpr Milliseconds recordRenewalTime { 2200 };
// Time for which it is remembered that an endpoint is leaving; it exits much sooner.
constexpr std::chrono::hours leavingMarkLifetime { 1 };

double decayed(double value, Duration age)
{
    return value * std::exp2(-std::chrono::duration<double>(age).count() / failureHalfLifeSeconds);
}

// Rendezvous hash of an endpoint and an object, from 0 to 1.
double objectDistanceOf(EndpointId endpoint, ObjectId object)
{
    constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15;
    auto mixed = (endpoint.value ^ (object.value * multiplier)) * multiplier;
    mixed = (mixed ^ (mixed >> 32U)) * multiplier;
    return std::ldexp(static_cast<double>(mixed >> 11U), -53);
}

} // namespace

TokenCount tokensOf(const std::vector<PromptPart>& prompt)
{
    return std::accumulate(prompt.begin(), prompt.end(), TokenCount {},
        [](TokenCount sum, const PromptPart& part) { return sum + part.tokens; });
}

Duration removalDelay(Duration sinceStoreFailure)
{
    return std::max(Duration(0), recordRenewalTime - sinceStoreFailure);
}

EndpointCostHook expectedTimeCost(DispatchWeights weights)
{
    return [weights](const EndpointCostView& view) {
        double cost = view.sameDomain ? 0 : weights.otherDomainMs;
        cost += view.domainUnreachable ? weights.unreachableDomainMs : 0;
        cost += view.recentFailures * weights.failureMs;
        const auto over = std::max(0, view.outstanding + 1 - view.slots);
        if (view.engine) {
            cost += static_cast<double>(view.uncached.value) / weights.promptTokensPerMs;
            cost += view.outstanding * weights.engineLoadMs + over * weights.engineLoadMs * 4;
        } else {
            cost += view.outstanding * 2.0 + over * weights.serviceLoadMs;
            cost += view.objectDistance * weights.objectDistanceMs - (view.handledObject ? weights.objectGainMs : 0);
        }
        return cost;
    };
}

EndpointCostHook roundRobinCost()
{
    return [](const EndpointCostView& view) { return static_cast<double>(view.lastChoice); };
}

EndpointDirectory::EndpointDirectory(Init init)
    : init(std::move(init))
{
}

bool EndpointDirectory::apply(const EndpointRecord& record, TimePoint now)
{
    auto& endpoint = this->endpoints[record.name];
    auto& known = endpoint.record;
    const bool restarted = record.startedAt > known.startedAt;
    const bool stale = record.startedAt < known.startedAt
        || (record.startedAt == known.startedAt && !known.name.empty() && record.sequence < known.sequence);
    if (stale)
        return false;
    if (restarted) {
        endpoint.cachedParts.clear();
        endpoint.objects.clear();
    }
    const bool changed = known.service != record.service || known.address != record.address
        || known.draining != record.draining || restarted;
    known = record;
    endpoint.id = idFromName<EndpointId>(record.name);
    endpoint.coldUntil = now + record.coldLeft;
    return changed;
}

bool EndpointDirectory::remove(std::string_view name)
{
    const auto found = this->endpoints.find(name);
    if (found == this->endpoints.end())
        return false;
    this->endpoints.erase(found);
    return true;
}

std::vector<std::string> EndpointDirectory::names() const
{
    std::vector<std::string> names;
    std::ranges::transform(this->endpoints, std::back_inserter(names), [](const auto& entry) { return entry.first; });
    return names;
}

void EndpointDirectory::setService(
    const std::string& service, std::int32_t maxConnections, double coldRate, bool engine)
{
    this->services[service] = { maxConnections, coldRate, engine };
}

void EndpointDirectory::setColdShare(std::function<double(std::string_view, double)> share)
{
    this->coldShare = std::move(share);
}

void EndpointDirectory::setConnectionShare(double share) { this->connectionShare = share; }

void EndpointDirectory::setUnreachableDomains(std::set<std::string, std::less<>> domains)
{
    this->unreachableDomains = std::move(domains);
}

const EndpointDirectory::ServiceSettings& EndpointDirectory::settingsOf(const std::string& service)
{
    return this->services[service];
}

bool EndpointDirectory::coldRateAllows(Endpoint& endpoint, TimePoint now)
{
    const auto coldRate = this->settingsOf(endpoint.record.service).coldRate;
    if (coldRate <= 0 || now >= endpoint.coldUntil)
        return true;
    const auto rate = coldRate * this->coldShare(endpoint.record.name, coldRate);
    const auto elapsed = std::chrono::duration<double>(now - endpoint.bucketUpdatedAt).count();
    endpoint.bucketLevel = std::min(1.0, endpoint.bucketLevel + elapsed * rate);
    endpoint.bucketUpdatedAt = now;
    return rate > 0 && endpoint.bucketLevel >= 1;
}

bool EndpointDirectory::isEligible(Endpoint& endpoint, const DispatchRequest& request, TimePoint now)
{
    const auto& record = endpoint.record;
    if (record.service != request.service || record.draining || this->isLeaving(record))
        return false;
    if (!request.domainAllowed(record.domain))
        return false;
    if (std::ranges::find(request.excluded, record.name) != request.excluded.end())
        return false;
    const auto& settings = this->settingsOf(record.service);
    if (settings.maxConnections > 0) {
        const auto share = static_cast<std::int32_t>(settings.maxConnections * this->connectionShare);
        if (endpoint.outstanding >= std::max(2, share))
            return false;
    }
    return this->coldRateAllows(endpoint, now);
}

TokenCount EndpointDirectory::cachedTokens(
    const Endpoint& endpoint, const std::vector<PromptPart>& prompt, TimePoint now) const
{
    TokenCount cached;
    for (const auto& part : prompt) {
        const auto found = endpoint.cachedParts.find(part.id);
        if (found == endpoint.cachedParts.end() || found->second + this->init.cacheAge < now)
            break;
        cached += part.tokens;
    }
    return cached;
}

bool EndpointDirectory::handledRecently(const Endpoint& endpoint, ObjectId object, TimePoint now) const
{
    const auto found = endpoint.objects.find(object);
    return found != endpoint.objects.end() && now - found->second <= this->init.objectAge;
}

void EndpointDirectory::rememberObject(Endpoint& endpoint, ObjectId object, TimePoint now) const
{
    endpoint.objects[object] = now;
    if (endpoint.objects.size() <= this->init.maxObjectsPerEndpoint)
        return;
    const auto oldest = std::ranges::min_element(endpoint.objects, {}, [](const auto& entry) { return entry.second; });
    endpoint.objects.erase(oldest);
}

double EndpointDirectory::costOf(const Endpoint& endpoint, const DispatchRequest& request, TimePoint now)
{
    EndpointCostView view;
    view.engine = this->settingsOf(endpoint.record.service).engine;
    view.sameDomain = endpoint.record.domain == this->init.ownDomain;
    view.domainUnreachable = this->unreachableDomains.contains(endpoint.record.domain);
    view.slots = endpoint.record.slots;
    view.outstanding = endpoint.outstanding + endpoint.outstandingElsewhere;
    view.uncached = tokensOf(request.prompt) - this->cachedTokens(endpoint, request.prompt, now);
    view.recentFailures = decayed(endpoint.failures, now - endpoint.failedAt);
    view.lastChoice = endpoint.lastChoice;
    if (request.object) {
        view.handledObject = this->handledRecently(endpoint, *request.object, now);
        view.objectDistance = objectDistanceOf(endpoint.id, *request.object);
    }
    return this->init.cost(view);
}

std::optional<DispatchChoice> EndpointDirectory::choose(const DispatchRequest& request, TimePoint now)
{
    ++this->choices;
    Endpoint* best = nullptr;
    double bestCost = 0;
    bool bestPaused = false;
    for (auto& [name, endpoint] : this->endpoints) {
        if (!this->isEligible(endpoint, request, now))
            continue;
        const bool paused = endpoint.pausedUntil > now;
        const auto cost = this->costOf(endpoint, request, now);
        const bool better = !best || (bestPaused && !paused) || (paused == bestPaused && cost < bestCost);
        if (better) {
            best = &endpoint;
            bestCost = cost;
            bestPaused = paused;
        }
    }
    if (!best)
        return std::nullopt;
    DispatchChoice choice { best->record.name, best->record.address, best->record.domain,
        this->cachedTokens(*best, request.prompt, now), best->record.startedAt };
    ++best->outstanding;
    best->lastChoice = this->choices;
    if (now < best->coldUntil)
        best->bucketLevel -= 1;
    for (const auto& part : request.prompt)
        best->cachedParts[part.id] = now;
    if (request.object)
        this->rememberObject(*best, *request.object, now);
    return choice;
}

bool EndpointDirectory::isLeaving(const EndpointRecord& record) const
{
    const auto mark = this->leaving.find(record.name);
    return mark != this->leaving.end() && record.startedAt <= mark->second.startedAt;
}

bool EndpointDirectory::markLeaving(const DispatchChoice& choice, TimePoint now)
{
    std::erase_if(this->leaving, [&](const auto& entry) { return entry.second.at + leavingMarkLifetime < now; });
    const auto [mark, added] = this->leaving.try_emplace(choice.name, LeavingMark { choice.startedAt, now });
    const bool isNew = added || mark->second.startedAt < choice.startedAt;
    if (isNew)
        mark->second = { choice.startedAt, now };
    return isNew;
}

void EndpointDirectory::finish(
    const DispatchChoice& choice, DispatchResult result, const std::vector<PromptPart>& prompt, TimePoint now)
{
    const auto found = this->endpoints.find(choice.name);
    if (found == this->endpoints.end())
        return;
    auto& endpoint = found->second;
    endpoint.outstanding = std::max(0, endpoint.outstanding - 1);
    switch (result) {
    case DispatchResult::Served:
        for (const auto& part : prompt)
            endpoint.cachedParts[part.id] = now;
        break;
    case DispatchResult::Failed:
    case DispatchResult::WrongInstance:
        endpoint.failures = decayed(endpoint.failures, now - endpoint.failedAt) + 1;
        endpoint.failedAt = now;
        endpoint.pausedUntil = now + this->init.failurePause;
        break;
    case DispatchResult::Refused:
        endpoint.failures = decayed(endpoint.failures, now - endpoint.failedAt) + 0.3;
        endpoint.failedAt = now;
        break;
    case DispatchResult::Abandoned:
    case DispatchResult::Count:
        break;
    }
    if (endpoint.cachedParts.size() > this->init.maxPartsPerEndpoint)
        std::erase_if(
            endpoint.cachedParts, [&](const auto& entry) { return entry.second + this->init.cacheAge / 4 < now; });
}

void EndpointDirectory::applyFleetLoad(const std::vector<EndpointLoad>& loads)
{
    for (auto& [name, endpoint] : this->endpoints) {
        const auto found = std::ranges::lower_bound(loads, endpoint.id, {}, &EndpointLoad::endpoint);
        const bool listed = found != loads.end() && found->endpoint == endpoint.id;
        const auto total = listed ? found->outstanding : 0;
        endpoint.outstandingElsewhere = std::max(0, total - endpoint.reportedOutstanding);
    }
}

std::vector<EndpointLoad> EndpointDirectory::reportLoad()
{
    std::vector<EndpointLoad> loads;
    for (auto& [name, endpoint] : this->endpoints) {
        endpoint.reportedOutstanding = endpoint.outstanding;
        if (endpoint.outstanding > 0)
            loads.push_back({ endpoint.id, endpoint.outstanding });
    }
    return loads;
}

} // namespace peridotramp
