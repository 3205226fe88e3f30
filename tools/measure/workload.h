#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace measure {

/// One call of a program. Tokens are counts; times are seconds.
struct Turn {
    /// Tool pause before the call.
    double pause = 0;
    std::int64_t input = 0;
    std::int64_t output = 0;
    /// Index of the endpoint group in the deployment.
    std::size_t group = 0;
    /// Programs that begin after this call; the next call waits until all of them have ended.
    std::vector<std::size_t> children {};
};

struct ProgramSpec {
    std::size_t workspace = 0;
    std::size_t domain = 0;
    double arrival = 0;
    bool isChild = false;
    std::vector<Turn> turns {};
};

/// Engines of one model, and the shape of the calls that they get.
struct GroupSpec {
    std::string name;
    std::size_t endpoints = 0;
    std::int64_t slots = 32;
    std::int64_t cacheTokens = 1'500'000;
};

struct WorkspaceSpec {
    /// Program arrivals per second; `demandFactor` multiplies them but not the granted rate.
    double programRate = 0;
    double demandFactor = 1;
    /// Granted requests per second and burst.
    double requestRate = 0;
    double requestBurst = 0;
};

struct Deployment {
    std::string name;
    std::size_t domains = 3;
    /// Instances at which calls arrive. Without admission control, each has an equal part of a workspace's grant.
    std::size_t instances = 9;
    std::vector<GroupSpec> groups {};
    std::vector<WorkspaceSpec> workspaces {};
    /// End of the arrivals; failure domain 0 leaves and returns to service before it.
    double duration = 900;
    double leavesAt = 300;
    double returnsAt = 480;
    /// End of the window in which the effect of the leaving and returning failure domain is measured.
    double transitionEnds = 600;
    /// Tokens of the prompt prefix that all programs of a workspace share.
    std::int64_t sharedPrefixTokens = 3000;
    /// Median tokens of the first prompt after the shared prefix.
    double firstPrompt = 6000;
    double turnsMedian = 8;
    double pauseMedian = 3;
    double outputMedian = 150;
    double inputMedian = 400;
    /// Share of programs that start sub-agents, and of calls that go to the second group.
    double subAgents = 0.2;
    double secondGroup = 0.2;
};

/// Deployments of the two users in their present sizes. `load` scales the arrival rate of programs.
Deployment kalahari(double load = 1);
Deployment longgrass(double load = 1);

/// Generates the programs of a run. The same seed gives the same programs for every policy.
std::vector<ProgramSpec> generate(const Deployment& deployment, std::uint64_t seed);

/// Expected requests of one program, from a large sample with a fixed seed.
double meanRequests(const Deployment& deployment);

} // namespace measure
