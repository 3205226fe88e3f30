#pragma once

#include "../standin.h"

#include <deque>
#include <list>

namespace standin {

/// Speeds and limits of an engine. Speeds apply to an engine that runs a single request.
struct EngineSettings {
    std::int64_t prefillTokensPerSecond = 20'000;
    std::int64_t tokenMicroseconds = 10'000;
    /// Fraction by which each additional running request increases token time and prefill time.
    double slowdownPerRequest = 0.05;
    std::int64_t maxOutputTokens = 4096;
    /// Capacity of the prefix cache.
    std::int64_t kvTokens = 200'000;
    /// Longest prefix that the cache stores for one program.
    std::int64_t kvTokensPerProgram = 100'000;
    /// Duration of a cold start.
    std::int64_t coldMs = 0;
    /// Maximum number of running requests during a cold start.
    std::int64_t coldMaxRequests = 1;
    /// Factor of token time and prefill time during a cold start.
    double coldSlowdown = 3;
    /// Age of the load that `GET /load` reports.
    std::int64_t loadLagMs = 0;
    /// Time after which `GET /events` returns a cache event.
    std::int64_t eventLagMs = 0;
    /// Whether orders with a stale fencing token are rejected.
    bool enforceFencing = true;
    std::vector<std::string> models {};
};

/// Completion request.
struct Completion {
    std::string program;
    std::string turn;
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
    std::string prompt;
};

/// Model of an engine's request slots, prefix cache and orders, without network I/O. Not thread safe.
class EngineState {
public:
    struct Admission {
        bool accepted = false;
        std::uint64_t requestId = 0;
        std::int64_t cachedTokens = 0;
        Duration prefill {};
    };
    struct OrderResult {
        unsigned status = 200;
        json::object body {};
    };

    void start(const EngineSettings& engineSettings, TimePoint now);
    Admission admit(const Completion& completion, TimePoint now);
    /// Returns the decode time of the next token at the current load.
    Duration tokenTime(TimePoint now) const;
    /// Ends a request and caches `cachedTokens` tokens of its program.
    void end(std::uint64_t requestId, std::int64_t cachedTokens, bool completed, TimePoint now);
    OrderResult applyOrder(const json::object& order, TimePoint now);
    json::object loadReport(TimePoint now) const;
    json::object eventReport(std::uint64_t from, TimePoint now) const;
    json::object cacheReport() const;
    void setFaults(const json::object& object, TimePoint now);
    void countCall(const std::string& callId) { ++this->callCounts[callId]; }
    void writeState(json::object& object, TimePoint now) const;

private:
    struct CachedPrefix {
        std::int64_t tokens = 0;
        std::uint64_t lastUse = 0;
    };
    struct Running {
        std::string program;
        // The program was released while the request ran; its prefix is not cached at the end.
        bool released = false;
    };
    struct Event {
        std::uint64_t sequence;
        std::string kind;
        std::string program;
        std::int64_t tokens;
        TimePoint at;
    };
    struct LoadSample {
        TimePoint at;
        std::size_t running;
    };

    bool isCold(TimePoint now) const { return now < this->coldUntil; }
    double slowdown(TimePoint now) const;
    void storePrefix(const std::string& program, std::int64_t tokens, TimePoint now);
    void releasePrefix(const std::string& program, TimePoint now);
    void evictPrefixes(TimePoint now);
    void startCold(TimePoint now);
    void addEvent(const std::string& kind, const std::string& program, std::int64_t tokens, TimePoint now);
    void sampleLoad(TimePoint now);
    OrderResult executeOrder(const json::object& order, const std::string& kind, TimePoint now);

    EngineSettings settings {};
    std::map<std::string, CachedPrefix> cache {};
    std::map<std::uint64_t, Running> running {};
    std::deque<Event> eventHistory {};
    std::deque<LoadSample> loadSamples {};
    std::map<std::string, std::int64_t> callCounts {};
    std::map<std::string, std::int64_t> orderCounts {};
    std::set<std::string> models {};
    std::string role = "serving";
    TimePoint coldUntil {};
    std::uint64_t startId = 0;
    std::uint64_t lastSequence = 0;
    std::uint64_t lastRequestId = 0;
    std::uint64_t useCounter = 0;
    std::int64_t newestFencingToken = -1;
    std::int64_t eventsToDrop = 0;
    std::int64_t overloadedRequests = 0;
    std::int64_t completedRequests = 0;
    std::int64_t cancelledRequests = 0;
    std::int64_t prefilledTokens = 0;
    std::int64_t promptTokens = 0;
    std::int64_t staleOrders = 0;
};

/// Returns token `index` of the output of a completion. The output is deterministic and the same on every engine.
std::string outputToken(const Completion& completion, std::int64_t index);

} // namespace standin
