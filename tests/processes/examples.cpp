#include "peridotramp/configuration.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace peridotramp;

// The demo starts with these documents.
TEST_CASE("the example documents are valid")
{
    for (const std::string team : { "kalahari", "longgrass" }) {
        std::ostringstream text;
        text << std::ifstream(PERIDOTRAMP_SOURCE_DIR "/examples/" + team + ".ini").rdbuf();
        const auto parsed = parseDocument(text.str());
        for (const auto& problem : parsed.problems)
            UNSCOPED_INFO(problem.toString());
        REQUIRE(parsed.document);
        REQUIRE(parsed.document->workspaces.size() == 8);
        REQUIRE(parsed.document->team.name == team);
    }
}
