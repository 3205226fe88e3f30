#include "../../tools/fuzz-grants/faults_p.h"

#include <catch2/catch.hpp>

using namespace peridotramp;

namespace {

void runSeeds(std::uint64_t first)
{
    std::uint64_t loans = 0;
    std::size_t takeovers = 0;
    std::size_t handovers = 0;
    for (auto seed = first; seed < first + 50; ++seed) {
        const auto report = GrantFaultSimulation(seed).run();
        INFO("seed " << seed << ", excess " << report.excess[0] << " requests, " << report.excess[1] << " tokens");
        CHECK(report.isWithinLimits());
        loans += report.loansAccepted;
        takeovers += report.takeovers;
        handovers += report.handovers;
    }
    // The runs must contain enough loans, takeovers and handovers to be meaningful.
    REQUIRE(loans > 100);
    REQUIRE(takeovers > 100);
    REQUIRE(handovers > 100);
}

} // namespace

// Guards against owners that together issue more than burst + rate * window in some window of time while owners crash,
// stall and hand over, and loan messages are lost, delayed or repeated.
//
// Six parts, so that each stays well below the timeout of a test under the sanitizers.
TEST_CASE("random faults, seeds 1 to 50") { runSeeds(1); }
TEST_CASE("random faults, seeds 51 to 100") { runSeeds(51); }
TEST_CASE("random faults, seeds 101 to 150") { runSeeds(101); }
TEST_CASE("random faults, seeds 151 to 200") { runSeeds(151); }
TEST_CASE("random faults, seeds 201 to 250") { runSeeds(201); }
TEST_CASE("random faults, seeds 251 to 300") { runSeeds(251); }
