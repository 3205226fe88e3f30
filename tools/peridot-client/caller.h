#pragma once

#include "peridotramp/runtime.h"

#include <boost/json.hpp>

namespace client {

using namespace peridotramp;
namespace json = boost::json;

/// What the client needs to know to call gateways.
struct CallerInit {
    std::vector<Address> gateways {};
    std::string key {};
    /// Deadline that each call states.
    Milliseconds deadline { 30'000 };
    /// Time after which the client gives up on one step, retries included.
    Milliseconds patience { 120'000 };
    /// Times that an answer `unknown` is asked for again.
    int unknownRetries = 3;
};

/// One request with its retries.
struct Exchange {
    std::string method = "POST";
    std::string target;
    json::object body {};
    std::string idempotencyKey {};
    /// The answer is read as server-sent events.
    bool stream = false;
};

struct Answer {
    /// `None` when the request was answered with success.
    ErrorKind error = ErrorKind::None;
    Outcome outcome = Outcome::Unknown;
    std::string detail {};
    json::object body {};
    /// Tokens of a streamed answer in the order of their arrival.
    std::string streamed {};
};

struct Tally {
    std::atomic<int> retries = 0;
    std::atomic<int> refusals = 0;
};

/// Sends requests to gateways and repeats them as their outcome allows. Safe for several threads.
class Caller {
public:
    Caller(Runtime& runtime, CallerInit init);

    /// Sends a request until it is answered for good. Blocks the calling thread. `seed` selects the first gateway.
    Answer call(const Exchange& exchange, std::uint64_t seed, Tally& tally);
    /// Blocks the calling thread for a time.
    void pause(Milliseconds time);

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
