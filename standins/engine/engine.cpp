#include "engine.h"

#include <algorithm>
#include <numeric>
#include <random>

namespace standin {

namespace {

constexpr std::size_t keptEvents = 10'000;
constexpr std::size_t keptSamples = 10'000;

} // namespace

std::string tokenOf(const Completion& completion, std::int64_t index)
{
    const auto seed = hashBytes(completion.program, hashBytes(completion.turn, hashBytes(completion.prompt)));
    return fmt::format("{:04x} ", hashBytes(std::to_string(index), seed) & 0xffff);
}

void EngineState::start(const EngineSettings& engineSettings, TimePoint now)
{
    this->settings = engineSettings;
    this->models = { this->settings.models.begin(), this->settings.models.end() };
    this->becomeCold(now);
}

void EngineState::becomeCold(TimePoint now)
{
    // A start number only has to be unique per start. 53 bits are exact in JSON readers that use doubles.
    std::random_device random;
    this->startNumber = ((std::uint64_t { random() } << 32) | random()) & ((std::uint64_t { 1 } << 53) - 1);
    this->cache.clear();
    this->history.clear();
    this->sequence = 0;
    this->coldUntil = now + Milliseconds(this->settings.coldMs);
    this->addEvent("cleared", "", 0, now);
}

double EngineState::slowness(TimePoint now) const
{
    const auto others = std::max<std::int64_t>(0, static_cast<std::int64_t>(this->running.size()) - 1);
    const auto batch = 1 + this->settings.batchSlope * static_cast<double>(others);
    return this->isCold(now) ? batch * this->settings.coldSlowness : batch;
}

Duration EngineState::tokenTime(TimePoint now) const
{
    const auto base = std::chrono::duration<double, std::micro>(this->settings.tokenMicroseconds);
    return std::chrono::duration_cast<Duration>(base * this->slowness(now));
}

EngineState::Admission EngineState::admit(const Completion& completion, TimePoint now)
{
    if (this->isCold(now) && this->running.size() >= static_cast<std::size_t>(this->settings.coldBears)) {
        ++this->overloads;
        return {};
    }
    Admission admission { true, ++this->lastTicket, 0, {} };
    const auto held = this->cache.find(completion.program);
    if (held != this->cache.end()) {
        admission.cachedTokens = std::min(held->second.tokens, completion.promptTokens);
        held->second.used = ++this->useCounter;
    }
    this->running[admission.ticket] = { completion.program };
    const auto uncached = completion.promptTokens - admission.cachedTokens;
    const std::chrono::duration<double> prefill(
        static_cast<double>(uncached) / static_cast<double>(this->settings.prefillTokensPerSecond));
    admission.prefill = std::chrono::duration_cast<Duration>(prefill * this->slowness(now));
    this->prefilled += uncached;
    this->served += completion.promptTokens;
    this->sampleLoad(now);
    return admission;
}

void EngineState::end(std::uint64_t ticket, std::int64_t heldTokens, bool wasCompleted, TimePoint now)
{
    const auto found = this->running.find(ticket);
    if (found == this->running.end())
        return;
    const auto request = found->second;
    this->running.erase(found);
    ++(wasCompleted ? this->completed : this->cancelled);
    if (!request.released && heldTokens > 0)
        this->hold(request.program, heldTokens, now);
    this->sampleLoad(now);
}

void EngineState::hold(const std::string& program, std::int64_t tokens, TimePoint now)
{
    const auto kept = std::min(tokens, this->settings.kvTokensPerProgram);
    this->cache[program] = { kept, ++this->useCounter };
    this->addEvent("stored", program, kept, now);
    this->evict(now);
}

// Evicts the least recently used prefixes until the cache fits its capacity; the last one is always kept.
void EngineState::evict(TimePoint now)
{
    const auto held = [&] {
        return std::accumulate(this->cache.begin(), this->cache.end(), std::int64_t { 0 },
            [](std::int64_t sum, const auto& entry) { return sum + entry.second.tokens; });
    };
    while (this->cache.size() > 1 && held() > this->settings.kvTokens) {
        const auto oldest
            = std::ranges::min_element(this->cache, {}, [](const auto& entry) { return entry.second.used; });
        const auto program = oldest->first;
        this->cache.erase(oldest);
        this->addEvent("evicted", program, 0, now);
    }
}

void EngineState::release(const std::string& program, TimePoint now)
{
    for (auto& [ticket, request] : this->running)
        request.released = request.released || request.program == program;
    if (this->cache.erase(program) > 0)
        this->addEvent("evicted", program, 0, now);
}

void EngineState::addEvent(const std::string& kind, const std::string& program, std::int64_t tokens, TimePoint now)
{
    ++this->sequence;
    if (this->eventsToDrop > 0) {
        --this->eventsToDrop;
        return;
    }
    this->history.push_back({ this->sequence, kind, program, tokens, now });
    if (this->history.size() > keptEvents)
        this->history.pop_front();
}

void EngineState::sampleLoad(TimePoint now)
{
    this->samples.push_back({ now, this->running.size() });
    if (this->samples.size() > keptSamples)
        this->samples.pop_front();
}

EngineState::OrderAnswer EngineState::order(const json::object& order, TimePoint now)
{
    const auto kind = textOf(order, "kind", "");
    const auto orderId = textOf(order, "order_id", "");
    if (orderId.empty())
        return { 400, { { "error", "the order has no order_id" } } };
    ++this->orders[orderId];
    const auto token = integerOf(order, "fencing_token", -1);
    if (this->settings.fencingObeyed && token < this->newestFencingToken) {
        ++this->staleOrders;
        return { 409, { { "error", "stale_fencing_token" }, { "newest", this->newestFencingToken } } };
    }
    this->newestFencingToken = std::max(this->newestFencingToken, token);
    auto answer = this->carryOut(order, kind, now);
    answer.body["order_id"] = orderId;
    return answer;
}

EngineState::OrderAnswer EngineState::carryOut(const json::object& order, const std::string& kind, TimePoint now)
{
    const auto program = textOf(order, "program", "");
    if (kind == "release") {
        this->release(program, now);
        return { 200, { { "tokens", 0 } } };
    }
    if (kind == "import") {
        this->hold(program, integerOf(order, "tokens", 0), now);
        return { 200, { { "tokens", this->cache[program].tokens } } };
    }
    if (kind == "export") {
        const auto held = this->cache.find(program);
        return { 200, { { "tokens", held == this->cache.end() ? 0 : held->second.tokens } } };
    }
    if (kind == "load") {
        // The order has the complete list of models; others are unloaded.
        this->models = textsOf(order, "models");
        return { 200, { { "models", json::array(this->models.begin(), this->models.end()) } } };
    }
    if (kind == "role") {
        this->role = textOf(order, "role", this->role);
        return { 200, { { "role", this->role } } };
    }
    return { 400, { { "error", "kind must be release, load, export, import or role" } } };
}

json::object EngineState::load(TimePoint now) const
{
    const auto lag = Milliseconds(this->settings.loadLagMs);
    const auto seen = std::find_if(
        this->samples.rbegin(), this->samples.rend(), [&](const LoadSample& sample) { return now - sample.at >= lag; });
    const auto count = seen == this->samples.rend() ? std::size_t { 0 } : seen->running;
    return { { "start", this->startNumber }, { "running", count }, { "queued", 0 }, { "age_ms", lag.count() } };
}

json::object EngineState::events(std::uint64_t from, TimePoint now) const
{
    json::array shown;
    auto next = std::max<std::uint64_t>(from, 1);
    for (const auto& event : this->history) {
        if (event.sequence < from || now - event.at < Milliseconds(this->settings.eventLagMs))
            continue;
        shown.push_back(json::object { { "sequence", event.sequence }, { "kind", event.kind },
            { "program", event.program }, { "tokens", event.tokens } });
        next = event.sequence + 1;
    }
    return { { "start", this->startNumber }, { "next", next }, { "events", std::move(shown) } };
}

json::object EngineState::kv() const
{
    json::array programs;
    for (const auto& [program, held] : this->cache)
        programs.push_back(json::object { { "program", program }, { "tokens", held.tokens } });
    return { { "start", this->startNumber }, { "through_sequence", this->sequence },
        { "programs", std::move(programs) } };
}

void EngineState::setFaults(const json::object& object, TimePoint now)
{
    this->settings.coldMs = integerOf(object, "cold_ms", this->settings.coldMs);
    this->settings.coldBears = integerOf(object, "cold_bears", this->settings.coldBears);
    this->settings.tokenMicroseconds = integerOf(object, "token_us", this->settings.tokenMicroseconds);
    this->eventsToDrop = integerOf(object, "drop_events", this->eventsToDrop);
    if (flagOf(object, "cold", false))
        this->becomeCold(now);
}

void EngineState::report(json::object& object, TimePoint now) const
{
    json::object callCounts;
    for (const auto& [call, count] : this->calls)
        callCounts[call] = count;
    json::object orderCounts;
    for (const auto& [id, count] : this->orders)
        orderCounts[id] = count;
    object["calls"] = std::move(callCounts);
    object["orders"] = std::move(orderCounts);
    object["cold"] = this->isCold(now);
    object["running"] = this->running.size();
    object["overloads"] = this->overloads;
    object["completed"] = this->completed;
    object["cancelled"] = this->cancelled;
    object["prompt_tokens"] = this->served;
    object["prefilled_tokens"] = this->prefilled;
    object["stale_orders"] = this->staleOrders;
    object["role"] = this->role;
    object["models"] = json::array(this->models.begin(), this->models.end());
}

} // namespace standin
