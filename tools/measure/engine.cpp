#include "engine.h"

#include <algorithm>

namespace measure {

using namespace peridotramp;

namespace {

// Several decode steps per event speed up the simulation; a new call waits for at most this many steps.
constexpr std::int64_t stepsPerEvent = 4;

} // namespace

void EventLoop::after(double delay, std::function<void()> action)
{
    this->events.push({ this->time + delay, this->sequence++, std::move(action) });
}

void EventLoop::run(double until)
{
    while (!this->events.empty() && this->events.top().time <= until) {
        const auto event = this->events.top();
        this->events.pop();
        this->time = event.time;
        event.action();
    }
}

FakeEngine::FakeEngine(EventLoop& loop, EngineSpec spec, EndpointId id)
    : loop(loop)
    , spec(spec)
    , id(id)
{
}

void FakeEngine::submit(EngineCall call)
{
    const auto load = static_cast<std::int64_t>(this->running.size() + this->waiting.size());
    this->waiting.push_back({ std::move(call), this->loop.now() });
    if (this->isCold() && 2 * load >= this->spec.slots) {
        ++this->crashCount;
        this->restart();
        return;
    }
    this->admit();
}

void FakeEngine::restart()
{
    this->start.value += 1;
    this->coldUntil = this->loop.now() + this->spec.coldTime;
    this->stepping = false;
    this->pinned = 0;
    this->idleTokens = 0;
    this->cache.clear();
    this->lruOrder.clear();
    this->sharedPrefixes.clear();
    this->events.clear();
    this->eventSequence = 0;
    std::vector<Sequence> lost(
        std::make_move_iterator(this->waiting.begin()), std::make_move_iterator(this->waiting.end()));
    std::ranges::move(this->running, std::back_inserter(lost));
    this->waiting.clear();
    this->running.clear();
    for (auto& sequence : lost) {
        sequence.answer.result = EndpointResult::Failed;
        this->loop.after(0, [done = sequence.call.done, answer = sequence.answer] { done(answer); });
    }
}

void FakeEngine::evict(ProgramId program)
{
    const auto found = this->cache.find(program);
    if (found == this->cache.end())
        return;
    this->idleTokens -= found->second.tokens;
    this->lruOrder.erase(found->second.lruPosition);
    this->cache.erase(found);
    this->events.push_back({ ++this->eventSequence, KvEventKind::Evicted, program, {} });
}

bool FakeEngine::evictUntilFits(std::int64_t tokens)
{
    while (this->pinned + this->idleTokens + tokens > this->spec.cacheTokens && !this->lruOrder.empty())
        this->evict(this->lruOrder.front());
    return this->pinned + this->idleTokens + tokens <= this->spec.cacheTokens;
}

void FakeEngine::store(ProgramId program, std::int64_t tokens)
{
    this->evict(program);
    if (!this->evictUntilFits(tokens))
        return;
    this->lruOrder.push_back(program);
    this->cache[program] = { tokens, std::prev(this->lruOrder.end()) };
    this->idleTokens += tokens;
    this->events.push_back({ ++this->eventSequence, KvEventKind::Stored, program, { tokens } });
}

void FakeEngine::import(ProgramId program, std::int64_t tokens)
{
    if (this->cached(program) < tokens)
        this->store(program, tokens);
}

std::int64_t FakeEngine::cached(ProgramId program) const
{
    const auto found = this->cache.find(program);
    return found == this->cache.end() ? 0 : found->second.tokens;
}

double FakeEngine::memoryUsed() const
{
    return static_cast<double>(this->pinned + this->idleTokens) / static_cast<double>(this->spec.cacheTokens);
}

LoadReport FakeEngine::loadReport(TimePoint measuredAt) const
{
    return { this->id, this->start, measuredAt, { static_cast<std::int64_t>(this->running.size()) },
        { static_cast<std::int64_t>(this->waiting.size()) } };
}

KvReport FakeEngine::kvReport() const
{
    KvReport report { this->id, this->start, this->eventSequence };
    for (const auto program : this->lruOrder)
        report.held.emplace_back(program, TokenCount { this->cached(program) });
    return report;
}

void FakeEngine::admit()
{
    while (!this->waiting.empty() && static_cast<std::int64_t>(this->running.size()) < this->spec.slots) {
        auto& next = this->waiting.front();
        const auto& call = next.call;
        const auto size = call.history + call.input + call.output;
        const auto cachedTokens = std::min(call.history, this->cached(call.program));
        // The cached prefix becomes part of the running sequence before other prefixes are evicted to make space.
        this->evict(call.program);
        if (!this->evictUntilFits(size) && !this->running.empty()) {
            this->store(call.program, cachedTokens);
            break;
        }
        this->pinned += size;
        const auto prefixTokens = this->sharedPrefixes.contains(call.sharedPrefix) ? call.sharedPrefixTokens : 0;
        const auto hit = std::max(cachedTokens, std::min(prefixTokens, call.history + call.input));
        next.answer.prefilled = call.history + call.input - hit;
        next.answer.recomputed = std::max<std::int64_t>(0, call.history - hit);
        next.prefillLeft = std::max<std::int64_t>(1, next.answer.prefilled);
        next.outputLeft = call.output;
        this->sharedPrefixes.insert(call.sharedPrefix);
        this->running.push_back(std::move(next));
        this->waiting.pop_front();
    }
    this->scheduleStep();
}

void FakeEngine::scheduleStep()
{
    if (this->stepping || this->running.empty())
        return;
    this->stepping = true;
    std::int64_t prefill = 0;
    std::int64_t decoded = stepsPerEvent;
    for (const auto& sequence : this->running) {
        prefill = std::min(this->spec.prefillChunk, prefill + sequence.prefillLeft);
        if (sequence.prefillLeft > 0)
            decoded = 1;
        else
            decoded = std::min(decoded, sequence.outputLeft);
    }
    const auto size = static_cast<double>(this->running.size());
    const auto decode = static_cast<double>(decoded) * (this->spec.stepBase + this->spec.stepPerSequence * size);
    const auto time = (decode + this->spec.prefillPerToken * static_cast<double>(prefill))
        * (this->isCold() ? this->spec.coldFactor : 1);
    const auto slots = size / static_cast<double>(this->spec.slots);
    const auto memory = static_cast<double>(this->pinned) / static_cast<double>(this->spec.cacheTokens);
    this->used += std::min(1.0, std::max(slots, memory)) * time;
    this->loop.after(
        time, [this, startNumber = this->start.value, prefill, decoded] { this->step(startNumber, prefill, decoded); });
}

void FakeEngine::step(std::uint64_t startNumber, std::int64_t prefill, std::int64_t decoded)
{
    if (startNumber != this->start.value)
        return;
    this->stepping = false;
    std::vector<Sequence> finished;
    for (auto& sequence : this->running) {
        if (sequence.prefillLeft == 0) {
            sequence.outputLeft -= decoded;
            continue;
        }
        const auto processed = std::min(prefill, sequence.prefillLeft);
        prefill -= processed;
        sequence.prefillLeft -= processed;
        if (sequence.prefillLeft > 0)
            continue;
        sequence.answer.firstToken = this->loop.now() - sequence.submitted;
        this->loop.after(0, sequence.call.firstToken);
    }
    const auto ended = std::ranges::stable_partition(
        this->running, [](const Sequence& sequence) { return sequence.outputLeft > 0 || sequence.prefillLeft > 0; });
    std::ranges::move(ended, std::back_inserter(finished));
    this->running.erase(ended.begin(), ended.end());
    for (auto& sequence : finished)
        this->finish(std::move(sequence));
    this->admit();
}

void FakeEngine::finish(Sequence sequence)
{
    const auto size = sequence.call.history + sequence.call.input + sequence.call.output;
    this->pinned -= size;
    this->store(sequence.call.program, size);
    // The answer is delivered as an event, so that its handling cannot change the batch within a step.
    this->loop.after(0, [done = std::move(sequence.call.done), answer = sequence.answer] { done(answer); });
}

} // namespace measure
