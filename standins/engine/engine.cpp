#include "engine.h"

#include <algorithm>
#include <numeric>
#include <random>

namespace standin {

namespace {

constexpr std::size_t maxEvents = 10'000;
constexpr std::size_t maxSamples = 10'000;

} // namespace

std::string outputToken(const Completion& completion, std::int64_t index)
{
    const auto seed = hashBytes(completion.program, hashBytes(completion.turn, hashBytes(completion.prompt)));
    return fmt::format("{:04x} ", hashBytes(std::to_string(index), seed) & 0xffff);
}

void EngineState::start(const EngineSettings& engineSettings, TimePoint now)
{
    this->settings = engineSettings;
    this->models = { this->settings.models.begin(), this->settings.models.end() };
    this->startCold(now);
}

void EngineState::startCold(TimePoint now)
{
    // The id only has to be unique per start. 53 bits are exact in JSON readers that use doubles.
    std::random_device random;
    this->startId = ((std::uint64_t { random() } << 32) | random()) & ((std::uint64_t { 1 } << 53) - 1);
    this->cache.clear();
    this->eventHistory.clear();
    this->lastSequence = 0;
    this->coldUntil = now + Milliseconds(this->settings.coldMs);
    this->addEvent("cleared", "", 0, now);
}

double EngineState::slowdown(TimePoint now) const
{
    const auto otherRequests = std::max<std::int64_t>(0, static_cast<std::int64_t>(this->running.size()) - 1);
    const auto batchSlowdown = 1 + this->settings.slowdownPerRequest * static_cast<double>(otherRequests);
    return this->isCold(now) ? batchSlowdown * this->settings.coldSlowdown : batchSlowdown;
}

Duration EngineState::tokenTime(TimePoint now) const
{
    const auto base = std::chrono::duration<double, std::micro>(this->settings.tokenMicroseconds);
    return std::chrono::duration_cast<Duration>(base * this->slowdown(now));
}

EngineState::Admission EngineState::admit(const Completion& completion, TimePoint now)
{
    if (this->isCold(now) && this->running.size() >= static_cast<std::size_t>(this->settings.coldMaxRequests)) {
        ++this->overloadedRequests;
        return {};
    }
    Admission admission { true, ++this->lastRequestId, 0, {} };
    const auto prefix = this->cache.find(completion.program);
    if (prefix != this->cache.end()) {
        admission.cachedTokens = std::min(prefix->second.tokens, completion.promptTokens);
        prefix->second.lastUse = ++this->useCounter;
    }
    this->running[admission.requestId] = { completion.program };
    const auto uncached = completion.promptTokens - admission.cachedTokens;
    const std::chrono::duration<double> prefill(
        static_cast<double>(uncached) / static_cast<double>(this->settings.prefillTokensPerSecond));
    admission.prefill = std::chrono::duration_cast<Duration>(prefill * this->slowdown(now));
    this->prefilledTokens += uncached;
    this->promptTokens += completion.promptTokens;
    this->sampleLoad(now);
    return admission;
}

void EngineState::end(std::uint64_t requestId, std::int64_t cachedTokens, bool completed, TimePoint now)
{
    const auto found = this->running.find(requestId);
    if (found == this->running.end())
        return;
    const auto request = found->second;
    this->running.erase(found);
    ++(completed ? this->completedRequests : this->cancelledRequests);
    if (!request.released && cachedTokens > 0)
        this->storePrefix(request.program, cachedTokens, now);
    this->sampleLoad(now);
}

void EngineState::storePrefix(const std::string& program, std::int64_t tokens, TimePoint now)
{
    const auto stored = std::min(tokens, this->settings.kvTokensPerProgram);
    this->cache[program] = { stored, ++this->useCounter };
    this->addEvent("stored", program, stored, now);
    this->evictPrefixes(now);
}

// Evicts the least recently used prefixes until the cache fits its capacity. The most recently used prefix is
// kept even if it alone exceeds the capacity.
void EngineState::evictPrefixes(TimePoint now)
{
    const auto totalTokens = [&] {
        return std::accumulate(this->cache.begin(), this->cache.end(), std::int64_t { 0 },
            [](std::int64_t sum, const auto& entry) { return sum + entry.second.tokens; });
    };
    while (this->cache.size() > 1 && totalTokens() > this->settings.kvTokens) {
        const auto oldest
            = std::ranges::min_element(this->cache, {}, [](const auto& entry) { return entry.second.lastUse; });
        const auto program = oldest->first;
        this->cache.erase(oldest);
        this->addEvent("evicted", program, 0, now);
    }
}

void EngineState::releasePrefix(const std::string& program, TimePoint now)
{
    for (auto& [requestId, request] : this->running)
        request.released = request.released || request.program == program;
    if (this->cache.erase(program) > 0)
        this->addEvent("evicted", program, 0, now);
}

void EngineState::addEvent(const std::string& kind, const std::string& program, std::int64_t tokens, TimePoint now)
{
    ++this->lastSequence;
    if (this->eventsToDrop > 0) {
        --this->eventsToDrop;
        return;
    }
    this->eventHistory.push_back({ this->lastSequence, kind, program, tokens, now });
    if (this->eventHistory.size() > maxEvents)
        this->eventHistory.pop_front();
}

void EngineState::sampleLoad(TimePoint now)
{
    this->loadSamples.push_back({ now, this->running.size() });
    if (this->loadSamples.size() > maxSamples)
        this->loadSamples.pop_front();
}

EngineState::OrderResult EngineState::applyOrder(const json::object& order, TimePoint now)
{
    const auto kind = stringField(order, "kind", "");
    const auto orderId = stringField(order, "order_id", "");
    if (orderId.empty())
        return { 400, { { "error", "the order has no order_id" } } };
    ++this->orderCounts[orderId];
    const auto token = integerField(order, "fencing_token", -1);
    if (this->settings.enforceFencing && token < this->newestFencingToken) {
        ++this->staleOrders;
        return { 409, { { "error", "stale_fencing_token" }, { "newest", this->newestFencingToken } } };
    }
    this->newestFencingToken = std::max(this->newestFencingToken, token);
    auto result = this->executeOrder(order, kind, now);
    result.body["order_id"] = orderId;
    return result;
}

EngineState::OrderResult EngineState::executeOrder(const json::object& order, const std::string& kind, TimePoint now)
{
    const auto program = stringField(order, "program", "");
    if (kind == "release") {
        this->releasePrefix(program, now);
        return { 200, { { "tokens", 0 } } };
    }
    if (kind == "import") {
        this->storePrefix(program, integerField(order, "tokens", 0), now);
        return { 200, { { "tokens", this->cache[program].tokens } } };
    }
    if (kind == "export") {
        const auto prefix = this->cache.find(program);
        return { 200, { { "tokens", prefix == this->cache.end() ? 0 : prefix->second.tokens } } };
    }
    if (kind == "load") {
        // The order has the complete list of models; others are unloaded.
        this->models = stringSetField(order, "models");
        return { 200, { { "models", json::array(this->models.begin(), this->models.end()) } } };
    }
    if (kind == "role") {
        this->role = stringField(order, "role", this->role);
        return { 200, { { "role", this->role } } };
    }
    return { 400, { { "error", "kind must be release, load, export, import or role" } } };
}

json::object EngineState::loadReport(TimePoint now) const
{
    const auto lag = Milliseconds(this->settings.loadLagMs);
    const auto visible = std::find_if(this->loadSamples.rbegin(), this->loadSamples.rend(),
        [&](const LoadSample& sample) { return now - sample.at >= lag; });
    const auto count = visible == this->loadSamples.rend() ? std::size_t { 0 } : visible->running;
    return { { "start", this->startId }, { "running", count }, { "queued", 0 }, { "age_ms", lag.count() } };
}

json::object EngineState::eventReport(std::uint64_t from, TimePoint now) const
{
    json::array reported;
    auto next = std::max<std::uint64_t>(from, 1);
    for (const auto& event : this->eventHistory) {
        if (event.sequence < from || now - event.at < Milliseconds(this->settings.eventLagMs))
            continue;
        reported.push_back(json::object { { "sequence", event.sequence }, { "kind", event.kind },
            { "program", event.program }, { "tokens", event.tokens } });
        next = event.sequence + 1;
    }
    return { { "start", this->startId }, { "next", next }, { "events", std::move(reported) } };
}

json::object EngineState::cacheReport() const
{
    json::array programs;
    for (const auto& [program, prefix] : this->cache)
        programs.push_back(json::object { { "program", program }, { "tokens", prefix.tokens } });
    return { { "start", this->startId }, { "through_sequence", this->lastSequence },
        { "programs", std::move(programs) } };
}

void EngineState::setFaults(const json::object& object, TimePoint now)
{
    this->settings.coldMs = integerField(object, "cold_ms", this->settings.coldMs);
    this->settings.coldMaxRequests = integerField(object, "cold_bears", this->settings.coldMaxRequests);
    this->settings.tokenMicroseconds = integerField(object, "token_us", this->settings.tokenMicroseconds);
    this->eventsToDrop = integerField(object, "drop_events", this->eventsToDrop);
    if (booleanField(object, "cold", false))
        this->startCold(now);
}

void EngineState::writeState(json::object& object, TimePoint now) const
{
    json::object countsByCall;
    for (const auto& [call, count] : this->callCounts)
        countsByCall[call] = count;
    json::object countsByOrder;
    for (const auto& [id, count] : this->orderCounts)
        countsByOrder[id] = count;
    object["calls"] = std::move(countsByCall);
    object["orders"] = std::move(countsByOrder);
    object["cold"] = this->isCold(now);
    object["running"] = this->running.size();
    object["overloads"] = this->overloadedRequests;
    object["completed"] = this->completedRequests;
    object["cancelled"] = this->cancelledRequests;
    object["prompt_tokens"] = this->promptTokens;
    object["prefilled_tokens"] = this->prefilledTokens;
    object["stale_orders"] = this->staleOrders;
    object["role"] = this->role;
    object["models"] = json::array(this->models.begin(), this->models.end());
}

} // namespace standin
