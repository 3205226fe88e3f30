#pragma once

#include "fleet.h"

namespace measure {

/// Results of one run.
struct Measures {
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    double recomputedShare = 0;
    double worstSlowdown = 0;
    double wrongfulPerThousand = 0;
    /// Programs per minute and 95th percentile of latency in the window in which a failure domain leaves and returns.
    double transitionGoodput = 0;
    double transitionP95 = 0;
    double utilisation = 0;
    double crashes = 0;
    double unfinished = 0;
};

Measures measuresOf(const Deployment& deployment, const RunResult& result);

/// Results of one policy on one deployment, by seed. The first policy of a deployment is the baseline.
struct Series {
    std::string deployment;
    std::string policy;
    std::vector<Measures> bySeed {};
};

std::string table(const std::vector<Series>& series);
/// Weighted ratios to the baseline, so that each preset can be judged by its own user's priorities.
std::string scores(const std::vector<Series>& series);
std::string csv(const std::vector<Series>& series);
std::string svg(const std::vector<Series>& series);

} // namespace measure
