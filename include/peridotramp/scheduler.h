#pragma once

#include "peridotramp/core.h"
#include "peridotramp/runtime.h"

namespace peridotramp {

/// Settings of one node.
struct SchedulerInit {
    /// Name of the instance; unique in the fleet.
    std::string name;
    /// Failure domain of the instance.
    std::string domain;
    Address listen { "127.0.0.1", 0 };
    Address gossip { "127.0.0.1", 0 };
    Address admin { "127.0.0.1", 0 };
    std::size_t threads = 4;
    Address log;
    std::optional<Address> instances {};
    /// All failure domains in the order of their indices; the same on every node.
    std::vector<std::string> domains {};
    std::size_t partitionsPerDomain = 4;
    /// Gossip addresses of other nodes.
    std::vector<Address> seeds {};
    /// Appends per second that the whole fleet may do.
    double appendsPerSecond = 300;
    /// Time for which the log keeps records.
    Seconds logRetention { 24 * 3600 };
    /// A voter that the instance list has not named for this long counts as stopped.
    Seconds voterAbsence { 60 };
    /// Longest time that a planned stop waits for running calls.
    Seconds drainLimit { 60 };
    /// Whether `POST /cuts` on the admin address may cut this node off from other addresses, for tests.
    bool testHooks = false;
};

/// Reads and checks the settings of a scheduler. Returns every mistake in `problems`.
SchedulerInit readSchedulerSettings(const std::string& text, std::vector<Problem>& problems);

/// One node: owns partitions, runs calls, and takes part in membership.
class Scheduler {
public:
    /// Binds the sockets. Throws `std::system_error` when an address cannot be bound.
    Scheduler(Runtime& runtime, SchedulerInit init);
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;
    ~Scheduler();

    /// Begins to follow the log and to take part in membership.
    void start();
    /// Hands all partitions over and calls `done` once no request is left.
    void drain(std::function<void()> done);
    /// Returns the state of the node as a table.
    std::string dump();
    /// Returns whether the node has a configuration and is not draining.
    bool isReady();

    Address address() const;
    Address gossipAddress() const;
    Address adminAddress() const;

    struct Impl;

private:
    std::unique_ptr<Impl> impl;
};

} // namespace peridotramp
