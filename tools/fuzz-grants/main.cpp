#include "faults_p.h"

#include <cstdlib>
#include <fmt/format.h>

// Usage: fuzz-grants [FIRST_SEED [COUNT]]. Prints each failing seed; exits with 1 when there is one.
int main(int argc, char** argv)
{
    using namespace peridotramp;
    const std::uint64_t first = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::uint64_t count = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1000;
    std::uint64_t failures = 0;
    std::size_t permits = 0;
    std::size_t takeovers = 0;
    std::size_t handovers = 0;
    std::uint64_t loans = 0;
    for (auto seed = first; seed < first + count; ++seed) {
        const auto report = GrantFaultSimulation(seed).run();
        permits += report.permits;
        takeovers += report.takeovers;
        handovers += report.handovers;
        loans += report.loansAccepted;
        if (report.isWithinLimits())
            continue;
        ++failures;
        fmt::print(
            "failing_seed={} requests_excess={:.3f} tokens_excess={:.3f}\n", seed, report.excess[0], report.excess[1]);
    }
    fmt::print("first_seed={} seeds={} failures={} permits={} loans_accepted={} takeovers={} handovers={}\n", first,
        count, failures, permits, loans, takeovers, handovers);
    return failures == 0 ? 0 : 1;
}
