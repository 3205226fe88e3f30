#include "../../tools/fuzz-programs/simulation.cpp"

#include <catch2/catch.hpp>

TEST_CASE("300 seeds of random faults break none of I1, I2, I3, I12 and I13")
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
    // Guards against a simulation in which nothing happens.
    REQUIRE(total.completed > seeds);
    REQUIRE(total.confirmedTurns > seeds);
}
