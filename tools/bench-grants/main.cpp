#include "sim_p.h"

#include <chrono>
#include <fmt/format.h>

// Measures wrongful refusals in comparison with static limits per node, the cost of `take`, and the loan traffic.
// Usage: bench-grants [FIRST_SEED [SEEDS]]

namespace {

using namespace peridotramp;

// Encoded fields, frame and correlation id, and TCP and IP headers.
constexpr double requestBytes = 60 + 12 + 40;
constexpr double replyBytes = 84 + 12 + 40;

Fleet todaysFleet()
{
    Fleet fleet;
    fleet.workspaces
        = { { 200, 100 }, { 200, 100 }, { 60, 60 }, { 20, 20 }, { 20, 20 }, { 20, 20 }, { 5, 10 }, { 5, 10 } };
    return fleet;
}

Fleet laterFleet()
{
    Fleet fleet;
    fleet.domains = 5;
    fleet.nodesPerDomain = 72;
    // 2,800 requests/s at peak, a third of it in 16 large workspaces.
    for (int workspace = 0; workspace < 320; ++workspace)
        fleet.workspaces.push_back(workspace < 16 ? GrantLimit { 73, 73 } : GrantLimit { 7.7, 15 });
    fleet.duration = Seconds(60);
    return fleet;
}

std::vector<Scenario> scenarios()
{
    return {
        { "even" },
        { "uneven", 0.8 },
        { "all_in_one", 1.0 },
        { "shifting_20s", 0.8, Seconds(20) },
        { "shifting_5s", 0.8, Seconds(5) },
        { "cut_even", 0, Duration(0), true },
        { "cut_uneven", 0.8, Duration(0), true },
        { "killed", 0, Duration(0), false, true },
        { "killed_failover", 0, Duration(0), false, true, true },
        { "killed_uneven_failover", 0.8, Duration(0), false, true, true },
    };
}

Outcomes sumOver(
    const Scenario& scenario, const Fleet& fleet, std::uint64_t first, std::uint64_t seeds, bool isBaseline)
{
    Outcomes sum;
    for (auto seed = first; seed < first + seeds; ++seed) {
        const auto outcomes = GrantSimulation(scenario, fleet, seed, isBaseline).run();
        sum.requests += outcomes.requests;
        sum.withinLimit += outcomes.withinLimit;
        sum.wrongfulRefusals += outcomes.wrongfulRefusals;
        sum.granted += outcomes.granted;
        sum.loanMessages += outcomes.loanMessages;
        sum.waitedSeconds += outcomes.waitedSeconds;
    }
    return sum;
}

void reportScenario(const std::string& fleetName, const Scenario& scenario, const Fleet& fleet, std::uint64_t first,
    std::uint64_t seeds)
{
    const auto policy = sumOver(scenario, fleet, first, seeds, false);
    const auto baseline = sumOver(scenario, fleet, first, seeds, true);
    const auto runSeconds = std::chrono::duration<double>(fleet.duration).count() * static_cast<double>(seeds);
    const auto messages = static_cast<double>(policy.loanMessages) / runSeconds;
    const auto nodes = static_cast<double>(fleet.domains * fleet.nodesPerDomain);
    const auto ratio
        = baseline.wrongfulRefusals > 0 ? policy.wrongfulPerThousand() / baseline.wrongfulPerThousand() : 0;
    fmt::print("{:<6} {:<24} loans {:7.2f}  static {:7.2f} per thousand wrongfully refused, ratio {:.3f}\n", fleetName,
        scenario.name, policy.wrongfulPerThousand(), baseline.wrongfulPerThousand(), ratio);
    fmt::print("refusals fleet={} scenario={} first_seed={} seeds={} within={} wrongful_per_thousand={:.3f} "
               "baseline_wrongful_per_thousand={:.3f} ratio={:.4f} target_ratio=0.1 mean_wait_ms={:.2f} "
               "loan_messages_per_second={:.1f} loan_bytes_per_second_and_node={:.1f}\n",
        fleetName, scenario.name, first, seeds, policy.withinLimit, policy.wrongfulPerThousand(),
        baseline.wrongfulPerThousand(), ratio,
        1000 * policy.waitedSeconds / static_cast<double>(std::max<std::uint64_t>(1, policy.granted)), messages,
        messages * (requestBytes + replyBytes) / 2 / nodes);
    std::fflush(stdout);
}

double nanosecondsPer(std::size_t count, const std::function<void(std::size_t)>& action)
{
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < count; ++index)
        action(index);
    const std::chrono::duration<double, std::nano> taken = std::chrono::steady_clock::now() - begin;
    return taken.count() / static_cast<double>(count);
}

/// Cost of one granted and one refused take, and of one tick, with a bucket for each workspace in one table.
void reportCost(std::size_t workspaces)
{
    constexpr std::size_t takes = 1000000;
    constexpr std::size_t ticks = 2000;
    GrantTable table({ 1, {} });
    TimePoint now { Seconds(1000) };
    table.configureDomains(now, { { DomainId { 0 } }, { DomainId { 1 } }, { DomainId { 2 } } }, Offset { 1 });
    for (std::size_t workspace = 0; workspace < workspaces; ++workspace) {
        const bool isEmpty = workspace % 2 == 1;
        const GrantLimit limit = isEmpty ? GrantLimit { 0.001, 3 } : GrantLimit { 1e9, 1e9 };
        table.configure(now, WorkspaceId { workspace }, { limit, limit }, Offset { 1 });
        table.open(now, { WorkspaceId { workspace }, DomainId { 0 } }, Epoch { 1 }, { now, TimePoint::max() });
    }
    const auto take = [&](std::size_t index, std::size_t odd) {
        now += Microseconds(10);
        const BucketKey key { WorkspaceId { (index * 2 + odd) % workspaces }, DomainId { 0 } };
        const auto result = table.take(now, { key });
        if (result && std::holds_alternative<GrantWait>(*result))
            table.cancel(key, std::get<GrantWait>(*result).ticket);
    };
    const auto granted = nanosecondsPer(takes, [&](std::size_t index) { take(index, 0); });
    const auto refused = nanosecondsPer(takes, [&](std::size_t index) { take(index, 1); });
    const auto tick = nanosecondsPer(ticks, [&](std::size_t) {
        now += Milliseconds(100);
        table.tick(now);
    });
    fmt::print("cost workspaces={} take_granted_ns={:.0f} take_without_permit_ns={:.0f} tick_us={:.2f}\n", workspaces,
        granted, refused, tick / 1000);
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t first = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::uint64_t seeds = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 5;
    for (const auto& scenario : scenarios())
        reportScenario("today", scenario, todaysFleet(), first, seeds);
    for (const auto& scenario :
        { Scenario { "even" }, Scenario { "uneven", 0.8 }, Scenario { "shifting_20s", 0.8, Seconds(20) } })
        reportScenario("later", scenario, laterFleet(), first, 1);
    for (const std::size_t workspaces : { 8, 40, 80, 160, 320 })
        reportCost(workspaces);
    return 0;
}
