#pragma once

#include "peridotramp/runtime.h"

#include <boost/json.hpp>

namespace client {

using namespace peridotramp;
namespace json = boost::json;

/// Settings for calls to gateways.
struct CallerInit {
    std::vector<Address> gateways {};
    std::string key {};
    /// Deadline sent with each call.
    Milliseconds deadline { 30'000 };
    /// Timeout of one step, retries included.
    Milliseconds stepTimeout { 120'000 };
    /// Number of retries after answers with the outcome `unknown`.
    int unknownRetries = 3;
};

/// A request, as each of its attempts sends it.
struct Exchange {
    std::string method = "POST";
    std::string target;
    json::object body {};
    std::string idempotencyKey {};
    /// The answer is read as server-sent events.
    bool stream = false;
};

struct Answer {
    /// `None` when the request succeeded.
    ErrorKind error = ErrorKind::None;
    Outcome outcome = Outcome::Unknown;
    std::string detail {};
    json::object body {};
    /// Tokens of a streamed answer in the order of their arrival.
    std::string streamed {};
};

struct CallCounters {
    std::atomic<int> retries = 0;
    std::atomic<int> refusals = 0;
};

/// Sends requests to gateways and retries them where their outcome allows it. Thread-safe.
class Caller {
public:
    Caller(Runtime& runtime, CallerInit init);

    /// Sends a request until its answer is final or the timeout of the step is reached. Blocks the calling thread.
    /// `seed` selects the first gateway.
    Answer call(const Exchange& exchange, std::uint64_t seed, CallCounters& counters);
    /// Blocks the calling thread for a time.
    void sleepFor(Milliseconds time);

private:
    struct Attempt {
        HttpResult result {};
        Answer answer {};
        Milliseconds retryAfter { 0 };
    };

    Attempt attempt(const Exchange& exchange, const Address& gateway, bool repeated);

    Runtime& runtime;
    CallerInit init;
    HttpClient client;
};

} // namespace client
