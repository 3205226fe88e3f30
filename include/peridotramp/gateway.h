#pragma once

#include "peridotramp/core.h"
#include "peridotramp/runtime.h"

namespace peridotramp {

/// Settings of one gateway instance.
struct GatewayInit {
    /// Failure domain of the instance.
    std::string domain;
    /// HTTP address for callers.
    Address listen { "127.0.0.1", 0 };
    /// HTTP address for operators.
    Address adminAddress { "127.0.0.1", 0 };
    std::size_t threads = 4;
    /// TCP addresses of schedulers, those of this failure domain first.
    std::vector<Address> schedulers {};
    /// Time for which requests are still accepted after the start of a planned stop, until the load balancer has
    /// removed the instance.
    Seconds drainDelay { 5 };
    /// Maximum time that a planned stop waits for running requests.
    Seconds drainTimeout { 60 };
    /// Timeout of requests whose caller sets no deadline.
    Milliseconds defaultDeadline { 60'000 };
};

/// Parses and validates the settings of a gateway. Appends all errors to `problems`.
GatewayInit readGatewaySettings(const std::string& text, std::vector<Problem>& problems);

/// HTTP front end for callers: authenticates requests, removes the API key and forwards calls to the owners of their
/// programs.
class Gateway {
public:
    /// Binds the sockets. Throws `std::system_error` when an address cannot be bound.
    Gateway(Runtime& runtime, GatewayInit init);
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;
    ~Gateway();

    /// Starts to poll the schedulers for the configuration and the partition owners.
    void start();
    /// Stops accepting requests after the drain delay. Calls `done` once all requests are answered or the drain timeout
    /// has expired.
    void drain(std::function<void()> done);
    /// Returns the state of the gateway as a table.
    std::string dump();

    Address address() const;
    Address adminAddress() const;

    struct Impl;

private:
    std::unique_ptr<Impl> impl;
};

} // namespace peridotramp
