#include "../../tools/fuzz-programs/simulation.cpp"

#include <catch2/catch.hpp>

// The comment of `Simulation` lists the invariants.
TEST_CASE("random faults with 300 seeds violate none of the invariants I1, I2, I3, I12 and I13")
{
    constexpr std::uint64_t seeds = 300;
    peridotramp::fuzz::Report total;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto report = peridotramp::fuzz::Simulation(seed).run();
        INFO("seed " << seed);
        REQUIRE(report.violation == "");
        total.completed += report.completed;
        total.confirmedTurns += report.confirmedTurns;
    }
    // Guards against a simulation that completes no calls.
    REQUIRE(total.completed > seeds);
    REQUIRE(total.confirmedTurns > seeds);
}
