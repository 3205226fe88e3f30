#pragma once

#include "peridotramp/endpointpool.h"

#include <deque>
#include <functional>
#include <list>
#include <queue>
#include <unordered_map>

namespace measure {

/// Runs events in virtual time, which counts seconds since the start of the run.
class EventLoop {
public:
    double now() const { return this->time; }
    void after(double delay, std::function<void()> action);
    /// Runs events until none is left or the time is reached.
    void run(double until);

private:
    struct Event {
        double time;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return std::pair(other.time, other.sequence) < std::pair(this->time, this->sequence);
        }
    };

    double time = 0;
    std::uint64_t sequence = 0;
    std::priority_queue<Event> events {};
};

/// Capacity of one engine, and its times in seconds.
struct EngineSpec {
    std::int64_t slots = 32;
    /// Eight accelerators of 80 GB without the weights, at 320 KB per token.
    std::int64_t cacheTokens = 1'500'000;
    double stepBase = 0.020;
    double stepPerSequence = 0.0004;
    double prefillPerToken = 0.00005;
    std::int64_t prefillChunk = 2048;
    /// For `coldTime` after a start, the engine is slower by `coldFactor` and crashes when a call arrives while at
    /// least half of its slots are in use.
    double coldTime = 20;
    double coldFactor = 3;
};

struct EngineAnswer {
    peridotramp::EndpointResult result = peridotramp::EndpointResult::Succeeded;
    double firstToken = 0;
    /// Prompt tokens that were not in the cache, and those of them that some engine had computed before.
    std::int64_t prefilled = 0;
    std::int64_t recomputed = 0;
};

struct EngineCall {
    peridotramp::ProgramId program;
    std::uint64_t sharedPrefix = 0;
    std::int64_t sharedPrefixTokens = 0;
    /// Tokens of earlier calls, the new prompt and the answer.
    std::int64_t history = 0;
    std::int64_t input = 0;
    std::int64_t output = 0;
    std::function<void()> firstToken {};
    std::function<void(const EngineAnswer&)> done {};
};

/// Continuous batching with chunked prefill, a prefix cache with limited memory, admission on arrival and cold starts.
class FakeEngine {
public:
    FakeEngine(EventLoop& loop, EngineSpec spec, peridotramp::EndpointId id);

    void submit(EngineCall call);
    /// Drops the cached prefix of a program.
    void evict(peridotramp::ProgramId program);
    /// Stores a prefix that another engine exported.
    void import(peridotramp::ProgramId program, std::int64_t tokens);
    /// Restarts the engine, cold and with an empty cache. Its calls fail.
    void restart();

    std::int64_t cached(peridotramp::ProgramId program) const;
    double memoryUsed() const;
    peridotramp::LoadReport loadReport(peridotramp::TimePoint measuredAt) const;
    peridotramp::KvReport kvReport() const;
    peridotramp::EngineStart engineStart() const { return this->start; }
    /// Returns the cache events since the last call.
    std::vector<peridotramp::KvEvent> takeEvents() { return std::exchange(this->events, {}); }
    /// Returns the time during which the scarcer of slots and memory was in use, weighted by the share in use.
    double usedSeconds() const { return this->used; }
    std::uint64_t crashes() const { return this->crashCount; }

private:
    struct Sequence {
        EngineCall call;
        double submitted = 0;
        std::int64_t prefillLeft = 0;
        std::int64_t outputLeft = 0;
        EngineAnswer answer {};
    };
    struct Prefix {
        std::int64_t tokens = 0;
        std::list<peridotramp::ProgramId>::iterator lruPosition;
    };

    bool isCold() const { return this->loop.now() < this->coldUntil; }
    void admit();
    bool evictUntilFits(std::int64_t tokens);
    void store(peridotramp::ProgramId program, std::int64_t tokens);
    void scheduleStep();
    void step(std::uint64_t startNumber, std::int64_t prefill, std::int64_t decoded);
    void finish(Sequence sequence);

    EventLoop& loop;
    EngineSpec spec;
    peridotramp::EndpointId id;
    peridotramp::EngineStart start { 1 };
    double coldUntil = 0;
    bool stepping = false;
    std::deque<Sequence> waiting {};
    std::vector<Sequence> running {};
    std::int64_t pinned = 0;
    std::int64_t idleTokens = 0;
    std::unordered_map<peridotramp::ProgramId, Prefix> cache {};
    /// Programs with a cached prefix, least recently used first.
    std::list<peridotramp::ProgramId> lruOrder {};
    std::set<std::uint64_t> sharedPrefixes {};
    std::vector<peridotramp::KvEvent> events {};
    std::uint64_t eventSequence = 0;
    double used = 0;
    std::uint64_t crashCount = 0;
};

} // namespace measure
