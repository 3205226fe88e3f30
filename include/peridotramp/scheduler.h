#pragma once

#include "peridotramp/core.h"
#include "peridotramp/runtime.h"

namespace peridotramp {

/// Settings of one scheduler instance, which is a node of the fleet.
struct SchedulerInit {
    /// Name of the instance; unique in the fleet.
    std::string name;
    /// Failure domain of the instance.
    std::string domain;
    /// TCP address for requests of gateways and other nodes.
    Address listen { "127.0.0.1", 0 };
    /// UDP address for membership messages.
    Address gossipAddress { "127.0.0.1", 0 };
    /// HTTP address for operators.
    Address adminAddress { "127.0.0.1", 0 };
    std::size_t threads = 4;
    /// Address of the log service.
    Address logAddress;
    /// Address of the platform's instance list, if it has one.
    std::optional<Address> instanceListAddress {};
    /// All failure domains in the order of their indices; the same on every node.
    std::vector<std::string> domains {};
    std::size_t partitionsPerDomain = 4;
    /// Gossip addresses of nodes that are contacted first.
    std::vector<Address> seeds {};
    /// Maximum rate of log appends of the whole fleet; divided equally between the partitions.
    double appendsPerSecond = 300;
    /// Time for which the log keeps records.
    Seconds logRetention { 24 * 3600 };
    /// Time after which a voter that is missing from the instance list counts as stopped.
    Seconds voterAbsenceTimeout { 60 };
    /// Maximum time that a planned stop waits for running calls.
    Seconds drainTimeout { 60 };
    /// Enables `POST /cuts` on the admin address, which blocks traffic to given addresses; for tests.
    bool testHooks = false;
};

/// Parses and validates the settings of a scheduler. Appends all errors to `problems`.
SchedulerInit readSchedulerSettings(const std::string& text, std::vector<Problem>& problems);

/// One node: owns partitions, runs calls, and takes part in membership.
class Scheduler {
public:
    /// Binds the sockets. Throws `std::system_error` when an address cannot be bound.
    Scheduler(Runtime& runtime, SchedulerInit init);
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;
    ~Scheduler();

    /// Starts to read the log, to take over partitions and to serve their calls.
    void start();
    /// Waits for running calls, hands over all partitions, leaves the membership and calls `done`.
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
