// Measures the scheduling policies against the baseline in virtual time.
#include "report.h"

#include <CLI/CLI.hpp>
#include <atomic>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <thread>

using namespace measure;

namespace {

struct Options {
    std::uint64_t seeds = 20;
    std::size_t jobs = 3;
    double load = 1;
    std::string folder {};
    std::vector<double> weights {};
    bool staysInService = false;
};

std::vector<peridotramp::Policy> makePolicies(const Options& options)
{
    std::vector policies { peridotramp::baselinePolicy(), peridotramp::kalahariPolicy(),
        peridotramp::longgrassPolicy() };
    if (!options.weights.empty())
        policies.push_back(
            peridotramp::policyFromWeights({ options.weights[0], options.weights[1], options.weights[2] }));
    return policies;
}

// Each task writes only its own cell, so the result does not depend on the order of the threads.
std::vector<Series> measureAll(const Options& options)
{
    std::vector deployments { kalahari(options.load), longgrass(options.load) };
    for (auto& deployment : deployments) {
        if (options.staysInService)
            deployment.leavesAt = deployment.returnsAt = std::numeric_limits<double>::infinity();
    }
    const auto policies = makePolicies(options).size();
    std::vector<Series> series;
    for (const auto& deployment : deployments) {
        for (const auto& policy : makePolicies(options))
            series.push_back({ deployment.name, policy.name, std::vector<Measures>(options.seeds) });
    }
    std::atomic<std::size_t> next { 0 };
    const auto work = [&] {
        for (auto task = next++; task < series.size() * options.seeds; task = next++) {
            const auto index = task % series.size();
            const auto seed = task / series.size() + 1;
            const auto& deployment = deployments[index / policies];
            // A policy may keep state, such as the position of a round robin, so each run has its own.
            const auto policy = makePolicies(options)[index % policies];
            const auto programs = generate(deployment, seed);
            series[index].bySeed[seed - 1]
                = measuresOf(deployment, FleetSimulation(deployment, policy, programs, seed).run());
        }
    };
    std::vector<std::jthread> threads;
    threads.reserve(options.jobs);
    for (std::size_t job = 0; job < options.jobs; ++job)
        threads.emplace_back(work);
    threads.clear();
    return series;
}

void write(const std::filesystem::path& path, const std::string& text) { std::ofstream(path) << text; }

} // namespace

int main(int argc, char** argv)
{
    Options options;
    CLI::App app("Measures the scheduling policies against the baseline on the same seeds, in virtual time.");
    app.add_option("--seeds", options.seeds, "number of seeds, beginning with 1")->check(CLI::Range(1, 1000));
    app.add_option("--jobs", options.jobs, "threads")->check(CLI::Range(1, 64));
    app.add_option("--load", options.load, "factor on the arrival rate of programs")->check(CLI::Range(0.01, 10.0));
    app.add_option("--out", options.folder, "folder for measures.csv and measures.svg");
    app.add_option("--weights", options.weights, "also measure a policy with these weights: fairness locality order")
        ->expected(3)
        ->check(CLI::Range(0.0, 1.0));
    app.add_flag("--no-move", options.staysInService, "no failure domain leaves; the rows 'in move' are then empty");
    CLI11_PARSE(app, argc, argv);
    const auto series = measureAll(options);
    fmt::print("seeds 1 to {}, load factor {}\n{}{}", options.seeds, options.load, table(series), scores(series));
    if (options.folder.empty())
        return 0;
    std::filesystem::create_directories(options.folder);
    write(std::filesystem::path(options.folder) / "measures.csv", csv(series));
    write(std::filesystem::path(options.folder) / "measures.svg", svg(series));
    return 0;
}
