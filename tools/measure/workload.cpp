#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace measure {

namespace {

constexpr std::size_t maxTurns = 78;
// Longest tool pause in seconds.
constexpr double maxPause = 120;
// Ratio of the arrival rate in a burst to the mean rate.
constexpr double burstFactor = 2.5;
// Seconds from the start of a burst to that of the next one, and length of a burst in seconds.
constexpr double burstInterval = 120;
constexpr double burstDuration = 20;
// Ratio of a grant to the mean rate; leaves enough for the bursts of the normal load.
constexpr double grantFactor = 1.5;
constexpr double grantBurstSeconds = 20;

using Random = std::mt19937_64;

double uniform(Random& random) { return std::uniform_real_distribution<double>(0, 1)(random); }

// Lognormal, because its upper tail matches that of turns, prompts and tool times in agent traces.
double logNormal(Random& random, double median, double sigma)
{
    return std::lognormal_distribution<double>(std::log(median), sigma)(random);
}

std::int64_t tokens(Random& random, double median, double sigma, double max)
{
    return std::max<std::int64_t>(8, std::llround(std::min(max, logNormal(random, median, sigma))));
}

Turn makeTurn(Random& random, const Deployment& deployment, bool isFirst)
{
    Turn turn;
    turn.pause = isFirst ? 0 : std::min(maxPause, logNormal(random, deployment.pauseMedian, 1));
    turn.input = tokens(random, isFirst ? deployment.firstPrompt : deployment.inputMedian, 0.8, 60'000);
    turn.output = tokens(random, deployment.outputMedian, 0.7, 2000);
    const bool isSecond = !isFirst && uniform(random) < deployment.secondGroup;
    if (!isSecond)
        return turn;
    // Calls of the second group are short and independent of the history.
    turn.group = 1;
    turn.input = tokens(random, 800, 0.5, 4000);
    turn.output = tokens(random, deployment.outputMedian, 0.5, 1000);
    return turn;
}

std::size_t addProgram(Random& random, const Deployment& deployment, ProgramSpec program, double turnsMedian,
    std::vector<ProgramSpec>& programs)
{
    const auto count = std::clamp<std::size_t>(std::llround(logNormal(random, turnsMedian, 0.8)), 1, maxTurns);
    for (std::size_t index = 0; index < count; ++index)
        program.turns.push_back(makeTurn(random, deployment, index == 0));
    const bool hasChildren = !program.isChild && count > 2 && uniform(random) < deployment.subAgents;
    if (hasChildren) {
        const auto parent = program;
        auto& children = program.turns[count / 2].children;
        const auto number = 2 + random() % 3;
        for (std::size_t child = 0; child < number; ++child) {
            const ProgramSpec spec { parent.workspace, parent.domain, 0, true };
            children.push_back(addProgram(random, deployment, spec, 3, programs));
        }
    }
    programs.push_back(std::move(program));
    return programs.size() - 1;
}

void addWorkspace(
    Random& random, const Deployment& deployment, std::size_t workspace, std::vector<ProgramSpec>& programs)
{
    const auto& spec = deployment.workspaces[workspace];
    const auto meanRate = spec.programRate * spec.demandFactor;
    const auto phase = uniform(random) * burstInterval;
    const auto calmFactor = (burstInterval - burstFactor * burstDuration) / (burstInterval - burstDuration);
    double now = 0;
    while (true) {
        // Thinning gives a Poisson process with bursts that keeps the mean rate.
        now += std::exponential_distribution<double>(meanRate * burstFactor)(random);
        if (now >= deployment.duration)
            return;
        const bool inBurst = std::fmod(now + phase, burstInterval) < burstDuration;
        if (uniform(random) * burstFactor >= (inBurst ? burstFactor : calmFactor))
            continue;
        const ProgramSpec program { workspace, static_cast<std::size_t>(random() % deployment.domains), now };
        addProgram(random, deployment, program, deployment.turnsMedian, programs);
    }
}

// Three large workspaces and five small ones; one small one sends four times its rate.
void addWorkspaces(Deployment& deployment, double programRate)
{
    const std::vector<double> shares { 0.28, 0.22, 0.16, 0.09, 0.08, 0.07, 0.05, 0.05 };
    const auto requests = meanRequests(deployment);
    for (const auto share : shares) {
        const auto rate = programRate * share;
        const auto granted = grantFactor * rate * requests;
        deployment.workspaces.push_back({ rate, 1, granted, grantBurstSeconds * granted });
    }
    deployment.workspaces[3].demandFactor = 4;
}

} // namespace

double meanRequests(const Deployment& deployment)
{
    Random random(1);
    std::vector<ProgramSpec> programs;
    constexpr int sample = 4000;
    for (int index = 0; index < sample; ++index)
        addProgram(random, deployment, {}, deployment.turnsMedian, programs);
    std::size_t turns = 0;
    for (const auto& program : programs)
        turns += program.turns.size();
    return static_cast<double>(turns) / sample;
}

Deployment kalahari(double load)
{
    Deployment deployment;
    deployment.name = "kalahari";
    deployment.groups = { { "survey", 12 }, { "returns", 10, 8, 200'000 } };
    deployment.firstPrompt = 9000;
    deployment.secondGroup = 0.3;
    addWorkspaces(deployment, load * 1.45);
    return deployment;
}

Deployment longgrass(double load)
{
    Deployment deployment;
    deployment.name = "longgrass";
    deployment.groups = { { "planning", 20 }, { "booking", 4, 8, 200'000 } };
    deployment.firstPrompt = 12'000;
    deployment.turnsMedian = 10;
    deployment.outputMedian = 200;
    deployment.subAgents = 0.3;
    deployment.secondGroup = 0.15;
    addWorkspaces(deployment, load * 1.45);
    return deployment;
}

std::vector<ProgramSpec> generate(const Deployment& deployment, std::uint64_t seed)
{
    std::vector<ProgramSpec> programs;
    for (std::size_t workspace = 0; workspace < deployment.workspaces.size(); ++workspace) {
        Random random(seed * 1000 + workspace);
        addWorkspace(random, deployment, workspace, programs);
    }
    return programs;
}

} // namespace measure
