#pragma once

#include "peridotramp/core.h"
#include "peridotramp/runtime.h"

namespace peridotramp {

/// Settings of one gateway.
struct GatewayInit {
    /// Failure domain of the instance.
    std::string domain;
    Address listen { "127.0.0.1", 0 };
    Address admin { "127.0.0.1", 0 };
    std::size_t threads = 4;
    /// TCP addresses of schedulers, those of the own failure domain first.
    std::vector<Address> schedulers {};
    /// Time for which requests are still accepted after a planned stop began, until the load balancer knows of it.
    Seconds drainDelay { 5 };
    /// Longest time that a planned stop waits for running requests.
    Seconds drainLimit { 60 };
    /// Deadline of calls whose caller names none.
    Milliseconds defaultDeadline { 60'000 };
};

/// Reads and checks the settings of a gateway. Returns every mistake in `problems`.
GatewayInit readGatewaySettings(const std::string& text, std::vector<Problem>& problems);

/// HTTP front end for callers: authenticates, removes the key, finds the owner of the program and relays.
class Gateway {
public:
    /// Binds the sockets. Throws `std::system_error` when an address cannot be bound.
    Gateway(Runtime& runtime, GatewayInit init);
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;
    ~Gateway();

    /// Begins to follow the configuration and the owners of partitions.
    void start();
    /// Stops accepting after the drain delay and calls `done` once all requests are answered.
    void drain(std::function<void()> done);
    /// Returns the state of the gateway as JSON.
    std::string dump();

    Address address() const;
    Address adminAddress() const;

    struct Impl;

private:
    std::unique_ptr<Impl> impl;
};

} // namespace peridotramp
