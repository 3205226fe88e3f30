#include "fleet_p.h"

#include <cmath>
#include <ctime>
#include <fmt/format.h>
#include <malloc.h>

// Measures membership in virtual time: traffic, detection times, false declarations of death, cost, and the spread of
// a configuration version. Usage: bench-membership [SEED]

namespace {

using namespace peridotramp;

constexpr std::size_t domains = 5;
constexpr std::array<std::size_t, 4> sizes { 12, 60, 120, 360 };
constexpr std::array<std::uint32_t, 4> fanouts { 0, 1, 3, 5 };
constexpr double budgetBytesPerSecond = 9000;
constexpr double budgetSeconds = 6;
// IPv4 and UDP headers of each datagram.
constexpr std::uint64_t headerBytes = 28;

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return -1;
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(std::lround(fraction * static_cast<double>(values.size() - 1)))];
}

struct SteadyState {
    double bytesPerSecond = 0;
    double messagesPerSecond = 0;
    double busiestBytesPerSecond = 0;
    double microsecondsPerTick = 0;
    double corePercent = 0;
    double kilobytes = 0;
    std::int64_t maxMessageSize = 0;
};

/// Measures what a node sends, CPU time and memory without faults. A node receives as much as it sends on average.
SteadyState measureSteady(std::size_t size, std::uint64_t seed)
{
    constexpr Seconds duration { 60 };
    const auto before = mallinfo2().uordblks;
    Fleet fleet({ size, domains, seed });
    fleet.run(Seconds(20));
    const auto messages = fleet.sum(&Membership::Stats::messagesSent);
    const auto bytes = fleet.sum(&Membership::Stats::bytesSent);
    std::vector<std::uint64_t> sent(size);
    const auto sentBy = [&](std::size_t node) {
        const auto& stats = fleet.nodes[node].membership->stats();
        return stats.bytesSent + headerBytes * stats.messagesSent;
    };
    for (std::size_t node = 0; node < size; ++node)
        sent[node] = sentBy(node);
    const auto cpuBefore = std::clock();
    fleet.run(duration);
    const auto cpuSeconds = static_cast<double>(std::clock() - cpuBefore) / CLOCKS_PER_SEC;
    const auto nodeSeconds = static_cast<double>(size) * seconds(duration);
    SteadyState steady;
    const auto count = fleet.sum(&Membership::Stats::messagesSent) - messages;
    steady.messagesPerSecond = static_cast<double>(count) / nodeSeconds;
    steady.bytesPerSecond
        = static_cast<double>(fleet.sum(&Membership::Stats::bytesSent) - bytes + headerBytes * count) / nodeSeconds;
    for (std::size_t node = 0; node < size; ++node)
        steady.busiestBytesPerSecond = std::max(
            steady.busiestBytesPerSecond, static_cast<double>(sentBy(node) - sent[node]) / seconds(duration));
    // Includes the harness, so it is an upper bound.
    steady.corePercent = 100 * cpuSeconds / nodeSeconds;
    steady.microsecondsPerTick = 1e6 * cpuSeconds / nodeSeconds * seconds(Membership::Limits().tickPeriod);
    steady.kilobytes = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(size) / 1024;
    steady.maxMessageSize = fleet.maxMessageSize.value;
    return steady;
}

/// Times from a crash until each other node has declared the node dead.
std::vector<double> measureDetection(std::size_t size, std::uint64_t seed, double loss)
{
    const std::size_t crashes = size <= 60 ? 20 : 6;
    std::vector<double> times;
    Fleet fleet({ size, domains, seed });
    fleet.loss = loss;
    std::mt19937_64 random(seed);
    for (std::size_t crash = 0; crash < crashes; ++crash) {
        fleet.run(Seconds(20) + Milliseconds(random() % 1000));
        const auto victim = random() % size;
        const auto incarnation = fleet.nodes[victim].membership->incarnation();
        fleet.kill(victim);
        const auto killed = fleet.now;
        std::vector<bool> detected(size);
        detected[victim] = true;
        while (!std::ranges::all_of(detected, std::identity {}) && fleet.now - killed < Seconds(60)) {
            fleet.run(Milliseconds(50));
            for (std::size_t node = 0; node < size; ++node) {
                const auto member = fleet.nodes[node].membership->find(NodeId { victim });
                if (detected[node] || !member || member->update.state != MemberState::Dead
                    || member->update.incarnation < incarnation)
                    continue;
                detected[node] = true;
                times.push_back(seconds(fleet.now - killed));
            }
        }
        // A node that did not detect the crash counts with the maximum time.
        times.resize((crash + 1) * (size - 1), 60);
        fleet.start(victim);
    }
    return times;
}

std::uint64_t measureFalseDeaths(std::size_t size, std::uint64_t seed, double loss, Duration duration)
{
    Fleet fleet({ size, domains, seed });
    fleet.loss = loss;
    fleet.run(duration);
    return fleet.sum(&Membership::Stats::deaths);
}

struct Spread {
    std::vector<double> times {};
    double announcedBytesPerNode = 0;
};

/// Measures the times until all nodes know a version that one node per failure domain receives at first.
Spread measureSpread(std::size_t size, std::uint64_t seed, std::uint32_t fanout, double loss)
{
    constexpr std::uint64_t changes = 30;
    Membership::Limits limits;
    limits.forwardFanout = fanout;
    Fleet fleet({ size, domains, seed, limits });
    fleet.loss = loss;
    std::mt19937_64 random(seed);
    Spread spread;
    fleet.run(Seconds(5));
    for (std::uint64_t change = 1; change <= changes; ++change) {
        const Offset version { change };
        const auto startTime = fleet.now;
        for (std::size_t domain = 0; domain < domains; ++domain) {
            const auto members = (size - domain + domains - 1) / domains;
            fleet.setVersion(domain + domains * (random() % members), version);
        }
        const auto known = [&] {
            return std::ranges::all_of(fleet.nodes, [&](const auto& node) { return node.version == version; });
        };
        const auto taken = fleet.runUntil(known, Seconds(60), Milliseconds(20));
        spread.times.push_back(seconds(taken.value_or(Seconds(60))));
        // Changes come every 22 s at 4,000 a day; the probes are in another phase each time.
        fleet.run(startTime + Seconds(22) + Milliseconds(random() % 1000) - fleet.now);
    }
    spread.announcedBytesPerNode
        = static_cast<double>(fleet.announcedBytes.value) / static_cast<double>(size) / static_cast<double>(changes);
    return spread;
}

void reportSteady(std::size_t size, std::uint64_t seed)
{
    const auto steady = measureSteady(size, seed);
    fmt::print(
        "{:>5} nodes: sends {:.0f} B/s (busiest {:.0f}), {:.2f} messages/s; {:.1f} us/tick, {:.3f} % core, {:.0f} KB\n",
        size, steady.bytesPerSecond, steady.busiestBytesPerSecond, steady.messagesPerSecond, steady.microsecondsPerTick,
        steady.corePercent, steady.kilobytes);
    fmt::print("steady nodes={} seed={} sent_bytes_per_second={:.1f} busiest_sent_bytes_per_second={:.1f} "
               "messages_per_second={:.3f} sent_and_received_bytes_per_second={:.1f} budget_bytes_per_second={} "
               "us_per_tick={:.2f} core_percent={:.4f} memory_kb={:.1f} greatest_message={}\n",
        size, seed, steady.bytesPerSecond, steady.busiestBytesPerSecond, steady.messagesPerSecond,
        2 * steady.bytesPerSecond, budgetBytesPerSecond, steady.microsecondsPerTick, steady.corePercent,
        steady.kilobytes, steady.maxMessageSize);
}

void reportDetection(std::size_t size, std::uint64_t seed)
{
    for (const double loss : { 0.0, 0.1 }) {
        const auto times = measureDetection(size, seed, loss);
        fmt::print("detection nodes={} seed={} loss={} samples={} median_s={:.2f} p99_s={:.2f} max_s={:.2f}\n", size,
            seed, loss, times.size(), quantile(times, 0.5), quantile(times, 0.99), quantile(times, 1));
    }
    for (const double loss : { 0.01, 0.1 }) {
        constexpr std::chrono::minutes duration { 10 };
        const auto deaths = measureFalseDeaths(size, seed, loss, duration);
        fmt::print("false_deaths nodes={} seed={} loss={} node_minutes={} declarations={}\n", size, seed, loss,
            size * duration.count(), deaths);
    }
}

void reportSpread(std::size_t size, std::uint64_t seed)
{
    for (const double loss : { 0.0, 0.1 }) {
        for (const auto fanout : fanouts) {
            const auto spread = measureSpread(size, seed, fanout, loss);
            fmt::print("spread nodes={} seed={} loss={} quota={} changes={} median_s={:.3f} p99_s={:.3f} max_s={:.3f} "
                       "budget_s={} announced_bytes_per_node_and_change={:.0f}\n",
                size, seed, loss, fanout, spread.times.size(), quantile(spread.times, 0.5),
                quantile(spread.times, 0.99), quantile(spread.times, 1), budgetSeconds, spread.announcedBytesPerNode);
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    fmt::print("seed {}, {} failure domains, 2 regions\n", seed, domains);
    for (const auto size : sizes) {
        reportSteady(size, seed);
        reportDetection(size, seed);
        reportSpread(size, seed);
        std::fflush(stdout);
    }
    return 0;
}
