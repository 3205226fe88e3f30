// Measures decisions per second on one core and how they scale with queue length, endpoints and workspaces.
#include "peridotramp/endpointpool.h"
#include "peridotramp/scheduling.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <malloc.h>
#include <random>
#include <time.h>

using namespace peridotramp;

namespace {

constexpr std::size_t defaultPrograms = 10'000;
constexpr std::size_t defaultEndpoints = 220;
constexpr std::size_t defaultWorkspaces = 80;
// The machine is shared, so the best of several alternating runs is used: it was disturbed least.
constexpr int repeats = 5;

struct Sizes {
    std::size_t programs = defaultPrograms;
    std::size_t endpoints = defaultEndpoints;
    std::size_t workspaces = defaultWorkspaces;
};

struct Sample {
    double queuePerSecond = 0;
    double placePerSecond = 0;
    double permitPerSecond = 0;
};

TimePoint at(std::int64_t milliseconds) { return TimePoint {} + Seconds(1000) + Milliseconds(milliseconds); }

QueuedCall makeCall(std::uint64_t id, const Sizes& sizes, std::mt19937_64& random)
{
    QueuedCall call { CallId { id }, ProgramId { random() % sizes.programs },
        WorkspaceId { random() % sizes.workspaces }, ModelId { 0 }, DomainId { random() % 5 } };
    call.arrival = at(static_cast<std::int64_t>(id));
    call.deadline = call.arrival + Seconds(600);
    call.attained = Milliseconds(random() % 100'000);
    call.history.value = static_cast<std::int64_t>(random() % 60'000);
    call.expected = { { static_cast<std::int64_t>(random() % 5000) }, { 300 } };
    return call;
}

// Time of this thread alone, as other processes share the machine.
double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

template <typename Operation> double perSecond(std::size_t rounds, Operation operation)
{
    const auto begin = cpuSeconds();
    for (std::size_t round = 0; round < rounds; ++round)
        operation(round);
    return static_cast<double>(rounds) / (cpuSeconds() - begin);
}

// One decision is a pop, the correction of its charge and a push, at a constant queue length.
double measureQueue(const Sizes& sizes, std::size_t rounds)
{
    std::mt19937_64 random(1);
    FairQueue queue;
    std::uint64_t next = 0;
    while (queue.size() < sizes.programs)
        queue.push(at(0), makeCall(next++, sizes, random));
    std::vector<QueuedCall> calls;
    calls.reserve(rounds);
    for (std::size_t round = 0; round < rounds; ++round)
        calls.push_back(makeCall(next++, sizes, random));
    return perSecond(rounds, [&](std::size_t round) {
        const auto popped = queue.pop(at(0));
        queue.correctCharge(popped->workspace, popped->expected, { { 400 }, { 200 } });
        queue.push(at(0), calls[round]);
    });
}

// One decision is the lookup of the holders, the choice of an endpoint and the update of its queue wait.
double measurePlacement(const Sizes& sizes, std::size_t rounds)
{
    std::mt19937_64 random(1);
    const auto policy = longgrassPolicy();
    PlacementIndex index;
    KvCacheIndex cacheIndex;
    for (std::size_t endpoint = 0; endpoint < sizes.endpoints; ++endpoint) {
        cacheIndex.beginOwnership(EndpointId { endpoint }, Epoch { 1 });
        index.update({ EndpointId { endpoint }, DomainId { endpoint % 5 }, Milliseconds(random() % 5000) });
    }
    for (std::size_t program = 0; program < sizes.programs; ++program)
        cacheIndex.recordUse(at(0), EndpointId { random() % sizes.endpoints }, ProgramId { program }, { 20'000 });
    std::vector<QueuedCall> calls;
    calls.reserve(rounds);
    for (std::size_t round = 0; round < rounds; ++round)
        calls.push_back(makeCall(round, sizes, random));
    return perSecond(rounds, [&](std::size_t round) {
        const auto& call = calls[round];
        std::vector<std::pair<EndpointId, TokenCount>> holders;
        for (const auto endpoint : cacheIndex.holders(call.program))
            holders.emplace_back(endpoint, cacheIndex.cachedTokens(endpoint, call.program));
        const auto chosen = index.place(policy, call, holders);
        index.update({ chosen, DomainId { chosen.value % 5 }, Milliseconds(round * 7919 % 5000) });
    });
}

// One decision is a permit and its release on an endpoint with half of its window in use.
double measurePermits(const Sizes& sizes, std::size_t rounds)
{
    constexpr SlotCount slots { 32 };
    EndpointPool pool;
    const auto permitRequest = [](std::size_t endpoint, std::uint64_t call) {
        return EndpointPermitRequest { EndpointId { endpoint }, NodeId { 1 }, Incarnation { 1 }, CallId { call } };
    };
    std::uint64_t call = 0;
    for (std::size_t endpoint = 0; endpoint < sizes.endpoints; ++endpoint) {
        pool.configure(at(0),
            { EndpointId { endpoint }, DomainId { endpoint % 5 }, EndpointGroupId { 0 }, EndpointKind::Engine, {},
                slots });
        const EndpointHandover warm { EndpointId { endpoint }, EndpointState::Warm, slots };
        pool.beginOwnership(at(0), EndpointId { endpoint }, Epoch { 1 }, at(1'000'000'000), warm);
        for (int permit = 0; permit < slots.value / 2; ++permit)
            pool.tryAcquire(at(0), permitRequest(endpoint, call++));
    }
    return perSecond(rounds, [&](std::size_t round) {
        const auto answer = pool.tryAcquire(at(0), permitRequest(round * 7919 % sizes.endpoints, call++));
        pool.release(at(0), *answer.permit, { EndpointResult::Succeeded, Milliseconds(300), { 500 } });
    });
}

Sample measure(const Sizes& sizes, std::size_t rounds)
{
    return { measureQueue(sizes, rounds), measurePlacement(sizes, rounds), measurePermits(sizes, rounds) };
}

std::size_t allocatedBytes() { return mallinfo2().uordblks; }

double bytesPerProgram(std::size_t programs)
{
    std::mt19937_64 random(1);
    const Sizes sizes { programs };
    const auto before = allocatedBytes();
    FairQueue queue;
    KvCacheIndex cacheIndex;
    AttainedServiceTracker service;
    cacheIndex.beginOwnership(EndpointId { 0 }, Epoch { 1 });
    for (std::size_t program = 0; program < programs; ++program) {
        queue.push(at(0), makeCall(program, sizes, random));
        cacheIndex.recordUse(at(0), EndpointId { 0 }, ProgramId { program }, { 20'000 });
        service.begin(ProgramId { program }, std::nullopt);
    }
    return static_cast<double>(allocatedBytes() - before) / static_cast<double>(programs);
}

double bytesPerEndpoint(std::size_t endpoints)
{
    const auto before = allocatedBytes();
    EndpointPool pool;
    PlacementIndex index;
    KvCacheIndex cacheIndex;
    ModelReconciler reconciler;
    for (std::size_t endpoint = 0; endpoint < endpoints; ++endpoint) {
        const EndpointId id { endpoint };
        const DomainId domain { endpoint % 5 };
        pool.configure(at(0), { id, domain, EndpointGroupId { 0 }, EndpointKind::Engine, { ModelId { 0 } }, { 32 } });
        index.update({ id, domain });
        cacheIndex.beginOwnership(id, Epoch { 1 });
        reconciler.setWantedModels(id, Epoch { 1 }, { ModelId { 0 } });
    }
    return static_cast<double>(allocatedBytes() - before) / static_cast<double>(endpoints);
}

/// Growth of the time per decision over a range of sizes, as the exponent of the size: 0 is constant, 1 is linear.
double growthExponent(double firstRate, double lastRate, double firstSize, double lastSize)
{
    return std::log(firstRate / lastRate) / std::log(lastSize / firstSize);
}

void report(
    const std::string& axis, const std::vector<std::size_t>& values, std::size_t Sizes::* member, std::size_t rounds)
{
    std::vector<Sample> samples(values.size());
    for (int repeat = 0; repeat < repeats; ++repeat) {
        for (std::size_t index = 0; index < values.size(); ++index) {
            Sizes sizes;
            sizes.*member = values[index];
            const auto sample = measure(sizes, rounds);
            for (const auto rate : { &Sample::queuePerSecond, &Sample::placePerSecond, &Sample::permitPerSecond })
                samples[index].*rate = std::max(samples[index].*rate, sample.*rate);
        }
    }
    fmt::print("\n{:<12}{:>16}{:>16}{:>16}  decisions/s on one core\n", axis, "queue", "placement", "permit");
    for (std::size_t index = 0; index < values.size(); ++index) {
        const auto& sample = samples[index];
        fmt::print("{:<12}{:>16.0f}{:>16.0f}{:>16.0f}\n", values[index], sample.queuePerSecond, sample.placePerSecond,
            sample.permitPerSecond);
        fmt::print("{}={} queue_per_s={:.0f} placement_per_s={:.0f} permit_per_s={:.0f}\n", axis, values[index],
            sample.queuePerSecond, sample.placePerSecond, sample.permitPerSecond);
    }
    const auto first = static_cast<double>(values.front());
    const auto last = static_cast<double>(values.back());
    const auto exponent = [&](double Sample::* rate) {
        return growthExponent(samples.front().*rate, samples.back().*rate, first, last);
    };
    fmt::print("axis={} queue_exponent={:.3f} placement_exponent={:.3f} permit_exponent={:.3f}\n", axis,
        exponent(&Sample::queuePerSecond), exponent(&Sample::placePerSecond), exponent(&Sample::permitPerSecond));
}

} // namespace

int main(int argc, char** argv)
{
    std::size_t rounds = 100'000;
    CLI::App app("Measures the speed and memory of the scheduling and endpoint decisions on one core.");
    app.add_option("--rounds", rounds, "decisions per sample")->check(CLI::Range(1000, 100'000'000));
    CLI11_PARSE(app, argc, argv);
    report("programs", { 1000, 5000, 15'000, 45'000 }, &Sizes::programs, rounds);
    report("endpoints", { 20, 80, 220, 680 }, &Sizes::endpoints, rounds);
    report("workspaces", { 8, 40, 120, 320 }, &Sizes::workspaces, rounds);
    fmt::print(
        "\nbytes_per_program={:.0f} bytes_per_endpoint={:.0f}\n", bytesPerProgram(45'000), bytesPerEndpoint(680));
    return 0;
}
