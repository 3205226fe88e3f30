#pragma once

#include "host.h"

#include <algorithm>
#include <ranges>

#include <random>

namespace peridotramp::fuzz {

/// Result of one seed.
struct Report {
    /// First violated invariant; empty when none was violated.
    std::string violation;
    std::size_t executions = 0;
    std::size_t completed = 0;
    std::size_t takeovers = 0;
    std::size_t confirmedTurns = 0;
    std::size_t abandoned = 0;
};

/// Simulates several owners, partitions and programs with random faults: crashes, stalls, log outages, delayed and
/// duplicate appends, delayed reads, lost votes, lost answers and retries at other nodes. The run depends only on
/// the seed. Checks that no two nodes hold the lease of a partition at once, and these invariants:
///
/// - I1: An owner runs at most one call of a program at a time, and no call runs after one of a later turn.
/// - I2: The owner has the same digest of the history as the caller, each turn in the log continues its program, and
///   every turn that was reported as confirmed is in the log as the caller received it.
/// - I3: A program and its children never use more than its budget.
/// - I12: A call that has run is never reported as not run.
/// - I13: A non-idempotent call runs at most once.
class Simulation {
public:
    explicit Simulation(std::uint64_t seed);
    Report run();

private:
    static constexpr int nodeCount = 3;
    static constexpr int partitionCount = 2;
    static constexpr int callerCount = 6;
    static constexpr std::size_t maxCallers = 10;
    static constexpr int steps = 900;
    static constexpr std::int64_t maxCallTokens = 200;
    static constexpr Milliseconds step { 100 };

    struct PendingRead {
        TimePoint startedAt;
        TimePoint endsAt;
        std::size_t groupCount = 0;
    };
    struct Node {
        Incarnation incarnation { 1 };
        TimePoint stalledUntil {};
        LeaseVoter voter;
        std::vector<PartitionHost> hosts;
        std::array<std::optional<PendingRead>, partitionCount> reads;
        std::array<bool, partitionCount> logAvailable {};
    };
    struct Vote {
        int requester = 0;
        Incarnation requesterIncarnation;
        int partition = 0;
        LeaseVoteRequest request;
        std::optional<LeaseVoteReply> reply;
        TimePoint arrivesAt;
    };
    struct DelayedAppend {
        int partition = 0;
        RecordGroup group;
        TimePoint storedAt;
    };
    struct Execution {
        int node = 0;
        Incarnation incarnation;
        int partition = 0;
        Dispatch dispatch;
        bool written = false;
        TimePoint endsAt;
    };
    struct CallerTurn {
        ResentTurn turn;
        Digest digest;
    };
    struct PendingCall {
        CallRequest request;
        TimePoint retryAt;
    };
    struct Caller {
        int partition = 0;
        ProgramId program;
        ProgramId root;
        ProgramId parent;
        std::vector<CallerTurn> turns;
        std::int64_t confirmed = 0;
        std::optional<PendingCall> call;
        bool done = false;
    };
    struct BudgetUse {
        std::int64_t tokens = 0;
        std::int64_t calls = 0;
    };

    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(this->random) < probability; }
    int randomBelow(int limit) { return std::uniform_int_distribution<>(0, limit - 1)(this->random); }
    Milliseconds randomDelay(int milliseconds) { return Milliseconds(this->randomBelow(milliseconds + 1)); }
    Authority authority(int node, int partition);
    PartitionHost makeHost(int node, int partition, Incarnation incarnation) const;
    void restart(int node);
    void injectFaults();
    void stepLog();
    void stepNode(int node);
    void stepHost(int node, int partition);
    void readLog(int node, int partition);
    void tryTakeover(int node, int partition);
    void sendAppend(int partition, RecordGroup group);
    void stepVotes();
    void stepExecutions();
    void finish(const Execution& execution);
    void stepCaller(Caller& caller);
    void begin(Caller& caller);
    void startCall(Caller& caller);
    void sendCall(Caller& caller);
    void beginChild(Caller& caller);
    void endProgram(Caller& caller);
    void handle(int node, int partition, const HostEvents& events);
    void execute(int node, int partition, const Dispatch& dispatch);
    void answer(const Answer& answer);
    void completeCall(Caller& caller, const std::string& output, const Digest& digest);
    int findOwner(int partition);
    Caller* callerOf(ProgramId program);
    void checkLeases();
    void checkHistory();
    void fail(const std::string& what);

    std::mt19937_64 random;
    TimePoint now { Seconds(1000) };
    TimePoint logUnavailableUntil {};
    std::vector<Node> nodes;
    std::array<std::vector<RecordGroup>, partitionCount> streams;
    std::vector<DelayedAppend> appends;
    std::vector<Vote> votes;
    std::vector<Execution> executions;
    std::vector<Caller> callers;
    std::map<CallId, int> executionCounts;
    std::map<CallId, bool> idempotent;
    std::map<ProgramId, BudgetUse> budgetUseByRoot;
    std::map<ProgramId, std::int64_t> lastExecutedTurn;
    std::uint64_t nextCall = 1;
    std::uint64_t nextAppend = 1;
    Report report;
};

} // namespace peridotramp::fuzz
