#include "simulation.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

int main(int argc, char** argv)
{
    std::uint64_t first = 1;
    std::uint64_t count = 1000;
    CLI::App app { "Runs the programs simulation for a range of seeds and prints those that violate an invariant." };
    app.add_option("--first", first, "First seed");
    app.add_option("--count", count, "Number of seeds")->check(CLI::PositiveNumber);
    CLI11_PARSE(app, argc, argv);

    std::uint64_t failures = 0;
    peridotramp::fuzz::Report total;
    for (auto seed = first; seed < first + count; ++seed) {
        const auto report = peridotramp::fuzz::Simulation(seed).run();
        total.executions += report.executions;
        total.completed += report.completed;
        total.takeovers += report.takeovers;
        total.confirmedTurns += report.confirmedTurns;
        total.abandoned += report.abandoned;
        if (!report.violation.empty()) {
            ++failures;
            fmt::print("failed seed={} {}\n", seed, report.violation);
        }
    }
    fmt::print("seeds={} failures={} executions={} completed={} takeovers={} confirmed_turns={} given_up={}\n", count,
        failures, total.executions, total.completed, total.takeovers, total.confirmedTurns, total.abandoned);
    return failures == 0 ? 0 : 1;
}
