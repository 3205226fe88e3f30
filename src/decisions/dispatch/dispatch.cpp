#include "peridotramp/dispatch.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace peridotramp {

namespace {

// Half-life of an endpoint's failure count.
constexpr double failureHalfLifeSeconds = 2;
// Time after the metadata store's return within which expired records are renewed.
constexpr Milliseconds lapseReturn { 2200 };

double decayed(double value, Duration age)
{
    return value * std::exp2(-std::chrono::duration<double>(age).count() / failureHalfLifeSeconds);
}

} // namespace

Duration removalDelay(Duration sinceStoreFailure) { return std::max(Duration(0), lapseReturn - sinceStoreFailure); }

EndpointCostHook expectedTimeCost(DispatchWeights weights)
{
    return [weights](const EndpointCostView& view) {
        double cost = view.sameDomain ? 0 : weights.otherDomainMs;
        cost += view.domainSilent ? weights.silentDomainMs : 0;
        cost += view.recentFailures * weights.failureMs;
        const auto over = std::max(0, view.outstanding + 1 - view.slots);
        if (view.engine) {
            cost += static_cast<double>(view.uncached.value) / weights.promptTokensPerMs;
            cost += view.outstanding * weights.engineLoadMs + over * weights.engineLoadMs * 4;
        } else {
            cost += view.outstanding * 2.0 + over * weights.serviceLoadMs;
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
    if (restarted)
        endpoint.parts.clear();
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

void EndpointDirectory::setSilentDomains(std::set<std::string, std::less<>> domains)
{
    this->silentDomains = std::move(domains);
}

const EndpointDirectory::ServiceTerms& EndpointDirectory::termsOf(const std::string& service)
{
    return this->services[service];
}

bool EndpointDirectory::coldRoom(Endpoint& endpoint, TimePoint now)
{
    const auto coldRate = this->termsOf(endpoint.record.service).coldRate;
    if (coldRate <= 0 || now >= endpoint.coldUntil)
        return true;
    const auto rate = coldRate * this->coldShare(endpoint.record.name, coldRate);
    const auto elapsed = std::chrono::duration<double>(now - endpoint.coldAt).count();
    endpoint.coldLevel = std::min(1.0, endpoint.coldLevel + elapsed * rate);
    endpoint.coldAt = now;
    return rate > 0 && endpoint.coldLevel >= 1;
}

bool EndpointDirectory::mayTake(Endpoint& endpoint, const DispatchRequest& request, TimePoint now)
{
    const auto& record = endpoint.record;
    if (record.service != request.service || record.draining || !request.domainAllowed(record.domain))
        return false;
    if (std::ranges::find(request.excluded, record.name) != request.excluded.end())
        return false;
    const auto& terms = this->termsOf(record.service);
    if (terms.maxConnections > 0) {
        const auto share = static_cast<std::int32_t>(terms.maxConnections * this->connectionShare);
        if (endpoint.outstanding >= std::max(2, share))
            return false;
    }
    return this->coldRoom(endpoint, now);
}

TokenCount EndpointDirectory::cachedTokens(
    const Endpoint& endpoint, const std::vector<PromptPart>& prompt, TimePoint now) const
{
    TokenCount cached;
    for (const auto& part : prompt) {
        const auto found = endpoint.parts.find(part.id);
        if (found == endpoint.parts.end() || found->second + this->init.cacheAge < now)
            break;
        cached += part.tokens;
    }
    return cached;
}

double EndpointDirectory::costOf(const Endpoint& endpoint, const DispatchRequest& request, TimePoint now)
{
    const auto total = std::accumulate(request.prompt.begin(), request.prompt.end(), TokenCount {},
        [](TokenCount sum, const PromptPart& part) { return sum + part.tokens; });
    EndpointCostView view;
    view.engine = this->termsOf(endpoint.record.service).engine;
    view.sameDomain = endpoint.record.domain == this->init.ownDomain;
    view.domainSilent = this->silentDomains.contains(endpoint.record.domain);
    view.slots = endpoint.record.slots;
    view.outstanding = endpoint.outstanding + endpoint.elsewhere;
    view.uncached = total - this->cachedTokens(endpoint, request.prompt, now);
    view.recentFailures = decayed(endpoint.failures, now - endpoint.failedAt);
    view.lastChoice = endpoint.lastChoice;
    return this->init.cost(view);
}

std::optional<DispatchChoice> EndpointDirectory::choose(const DispatchRequest& request, TimePoint now)
{
    ++this->choices;
    Endpoint* best = nullptr;
    double bestCost = 0;
    bool bestPaused = false;
    for (auto& [name, endpoint] : this->endpoints) {
        if (!this->mayTake(endpoint, request, now))
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
        this->cachedTokens(*best, request.prompt, now) };
    ++best->outstanding;
    best->lastChoice = this->choices;
    if (now < best->coldUntil)
        best->coldLevel -= 1;
    for (const auto& part : request.prompt)
        best->parts[part.id] = now;
    return choice;
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
            endpoint.parts[part.id] = now;
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
    if (endpoint.parts.size() > this->init.maxPartsPerEndpoint)
        std::erase_if(endpoint.parts, [&](const auto& entry) { return entry.second + this->init.cacheAge / 4 < now; });
}

void EndpointDirectory::hearFleetLoad(const std::vector<EndpointLoad>& loads)
{
    for (auto& [name, endpoint] : this->endpoints) {
        const auto found = std::ranges::lower_bound(loads, endpoint.id, {}, &EndpointLoad::endpoint);
        const bool listed = found != loads.end() && found->endpoint == endpoint.id;
        const auto total = listed ? found->outstanding : 0;
        endpoint.elsewhere = std::max(0, total - endpoint.reported);
    }
}

std::vector<EndpointLoad> EndpointDirectory::reportLoad()
{
    std::vector<EndpointLoad> loads;
    for (auto& [name, endpoint] : this->endpoints) {
        endpoint.reported = endpoint.outstanding;
        if (endpoint.outstanding > 0)
            loads.push_back({ endpoint.id, endpoint.outstanding });
    }
    return loads;
}

} // namespace peridotramp
