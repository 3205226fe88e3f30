#include "samples.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace peridotramp;

namespace {

Document parsed(const std::string& text)
{
    const auto result = parseDocument(text);
    INFO(result.error().detail);
    REQUIRE(result);
    return *result.document;
}

std::string problemsOf(const std::string& text)
{
    std::string all;
    for (const auto& problem : parseDocument(text).problems)
        all += problem.toString() + "\n";
    return all;
}

std::string replaced(std::string text, std::string_view from, std::string_view to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("a document with every kind of section is parsed completely, with defaults for missing keys")
{
    const auto document = parsed(samples::complete);
    REQUIRE(document.team.home == "south");
    REQUIRE(document.workspaces.at(0).tokenRate.value == 4000.5);
    REQUIRE(document.budgets.at(0).wall == Seconds(600));
    REQUIRE(document.keys.at(0).digest == sha256("abc"));
    REQUIRE(document.keys.at(0).state == KeyEntry::State::Granted);
    REQUIRE(document.endpoints.at(0).models == std::vector<std::string> { "quote-small", "quote-large" });
    REQUIRE(document.endpoints.at(1).state == EndpointEntry::State::Leaving);
    REQUIRE(document.calls.at(0).deadline == Milliseconds(5000));
    REQUIRE(document.routes.at(0).open);
    REQUIRE(document.policy.locality == 0.75);
    REQUIRE(document.policy.programOrder == PolicyEntry::of(PolicyEntry::Preset::Longgrass).programOrder);
    REQUIRE(document.domains.size() == 3);
    REQUIRE(document.domains.at(2).state == DomainEntry::State::Out);
}

TEST_CASE("all problems are reported together, each with section, key, value and remedy")
{
    const std::string text = "[team]\nname = a b\ndomains = north, north\nhome = west\n"
                             "[workspace w]\nrequest_rate = -1\ntoken_burst = x\nbudget = none\nsped = 1\n"
                             "[key k]\nworkspace = gone\nsha256 = secret\nstate = lost\n"
                             "[key k1]\nworkspace = w\nsha256 = "
        + sha256("k").toHex()
        + "\n"
          "[key k2]\nworkspace = w\nsha256 = "
        + sha256("k").toHex()
        + "\n"
          "[endpoint e]\ndomain = west\naddress = host:1\n"
          "[endpoint f]\ndomain = north\naddress = 127.0.0.1:1\nmodels = m\nslots = 0\n"
          "[endpoint g]\ndomain = north\naddress = 127.0.0.1:1\nkind = service\nmodels = m\n"
          "[call c]\nendpoint = f, missing\ndeadline_ms = 0\n"
          "[route status]\nopen = maybe\n"
          "[policy]\nfairness = 2000\n[domain west]\nstate = off\n[zone x]\ny = 1\n";
    const auto problems = problemsOf(text);
    for (const auto* expected : { "[team] name = 'a b'", "[team] domains = 'north'", "[team] home = 'west'",
             "[workspace w] request_rate = '-1'", "[workspace w] token_rate = '': missing",
             "[workspace w] token_burst = 'x'", "[workspace w] budget = 'none'", "[workspace w] sped = '1'",
             "[key k] workspace = 'gone'", "[key k] sha256 = '(hidden)'", "[key k] state = 'lost'", "[key k2] sha256",
             "[key k1] has the same digest", "[endpoint e] domain = 'west'", "[endpoint e] address = 'host:1'",
             "[endpoint e] models = ''", "[endpoint f] slots = '0'", "[endpoint g] models = 'm'",
             "[endpoint g] address = '127.0.0.1:1'", "[call c] endpoint = 'f'", "[call c] endpoint = 'missing'",
             "[call c] deadline_ms = '0'", "[route status]", "[route status] open", "[policy] preset = '': missing",
             "[policy] fairness = '2000'", "[domain west]", "[domain west] state", "[zone x]" }) {
        INFO(problems);
        CHECK(problems.find(expected) != std::string::npos);
    }
    REQUIRE(parseDocument(text).error().kind == ErrorKind::InvalidDocument);
    // A key pasted in place of its digest must not reach logs or terminals.
    REQUIRE(problems.find("secret") == std::string::npos);
}

TEST_CASE("several syntax errors are reported in one pass, together with other problems")
{
    const auto problems = problemsOf("stray = 1\n[team]\nname = a\nnonsense\ndomains = n\n[budget b]\n[budget b]\n"
                                     "calls = 0\n[budget c]\ncalls = 1\ncalls = 2\n[budget c]\ncalls = 3\n[team\n");
    INFO(problems);
    for (const auto* expected : { "stands before the first", "[team] line 4 = 'nonsense'", "[budget b] calls = '0'",
             "[budget c] line 11", "[budget c] line 12", "line 14" })
        CHECK(problems.find(expected) != std::string::npos);
    // Sections without keys are valid when every key has a default.
    REQUIRE(parsed(samples::small("a", "w") + "[budget b]\n[domain north]\n").budgets.size() == 1);
    REQUIRE(problemsOf(samples::small("a", "w") + "[workspace]\n").find("write [workspace NAME]") != std::string::npos);
    REQUIRE(problemsOf("").find("add a [team] section") != std::string::npos);
}

TEST_CASE("edits preserve comments and order, and change only the given values")
{
    const auto& text = samples::complete;
    const auto before = parsed(text);
    const auto changesOf = [&](const Result<std::string>& edited) {
        INFO((edited ? std::string() : edited.error().detail));
        REQUIRE(edited);
        REQUIRE(edited->find("# Planning agents\n[endpoint planner-1]") != std::string::npos);
        std::vector<std::string> changes;
        for (const auto& change : diffDocuments(before, parsed(*edited)))
            changes.push_back(change.toString());
        return changes;
    };
    using Changes = std::vector<std::string>;
    REQUIRE(changesOf(withdrawKey(text, "rodeo-1")) == Changes { "[key rodeo-1] state: granted -> withdrawn" });
    REQUIRE(changesOf(setEndpointState(text, "planner-1", EndpointEntry::State::Out))
        == Changes { "[endpoint planner-1] state: in -> out" });
    REQUIRE(changesOf(setDomainState(text, "east", DomainEntry::State::In))
        == Changes { "[domain east] state: out -> in" });
    REQUIRE(changesOf(setDomainState(text, "north", DomainEntry::State::Removed))
        == Changes { "[domain north] state: in -> removed" });
    REQUIRE(changesOf(setRate(text, "rodeo", { RequestRate { 7.5 }, {}, {}, TokenCount { 1 } }))
        == Changes { "[workspace rodeo] request_rate: 5 -> 7.5", "[workspace rodeo] token_burst: 90000 -> 1" });
    const auto granted = changesOf(grantKey(text, "rodeo-2", "rodeo", sha256("new")));
    REQUIRE(granted.size() == 3);
    REQUIRE(granted.front() == "[key rodeo-2] workspace: added rodeo");
}

TEST_CASE("an edit that would result in an invalid document is refused")
{
    const auto& text = samples::complete;
    for (const auto& refused : { withdrawKey(text, "none"), grantKey(text, "rodeo-1", "rodeo", sha256("x")),
             grantKey(text, "k", "none", sha256("x")), grantKey(text, "k", "rodeo", sha256("abc")),
             setDomainState(text, "west", DomainEntry::State::Out), setRate(text, "none", {}),
             setRate(text, "rodeo", { RequestRate { -1 }, {}, {}, {} }) }) {
        REQUIRE_FALSE(refused);
        REQUIRE(refused.error().kind == ErrorKind::InvalidDocument);
    }
}

TEST_CASE("differences include removed values, and tables have aligned columns")
{
    const auto before = parsed(samples::complete);
    const auto after = parsed(replaced(samples::complete, "[route /status]\nopen = yes\n", ""));
    const auto changes = diffDocuments(before, after);
    REQUIRE(changes.size() == 1);
    REQUIRE(changes.front().toString() == "[route /status] open: removed true");
    const auto rows = describe(before);
    REQUIRE(toTable(std::span(rows).first(2)) == "team  name     longgrass\n      domains  north, south, east\n");
}

TEST_CASE("lookups in the merged configuration return only entries of the team that declares them")
{
    const auto versioned = [](const std::string& text, std::uint64_t version) {
        return std::make_shared<const VersionedDocument>(
            VersionedDocument { parsed(text), Version { version }, {}, text });
    };
    // Conflicting documents cannot both be accepted; should they be merged, the newer one must not gain access.
    const auto clash = samples::small("kalahari", "rodeo");
    const Configuration merged({ versioned(clash, 9), versioned(samples::complete, 4) });
    const auto team = idFromName<TeamId>("longgrass");
    const auto workspace = idFromName<WorkspaceId>("rodeo");
    REQUIRE(merged.version() == Version { 9 });
    REQUIRE(merged.findKey(sha256("abc"))->workspace == workspace);
    REQUIRE(merged.findKey(keyIdOf("longgrass", "rodeo-1"))->team == team);
    REQUIRE(merged.findKey(sha256("rodeo")) == nullptr);
    REQUIRE(merged.teamOf(workspace) == team);
    REQUIRE(merged.budgetOf(workspace).calls == CallCount { 40 });
    REQUIRE(merged.budgetOf(WorkspaceId {}).calls == BudgetEntry {}.calls);
    REQUIRE(merged.enginesFor(team, idFromName<ModelId>("quote-large")).size() == 1);
    REQUIRE(merged.findCall(team, "charge")->endpoints.front() == "booking-1");
    REQUIRE(merged.findCall(idFromName<TeamId>("kalahari"), "charge") == nullptr);
    REQUIRE(merged.isOpen("/status"));
    REQUIRE_FALSE(merged.isOpen("/v1/programs"));
    REQUIRE(merged.domainId("east") == DomainId { 2 });
    REQUIRE(merged.findDomain(DomainId { 2 })->state == DomainEntry::State::Out);
    REQUIRE(merged.policyOf(team).preset == PolicyEntry::Preset::Longgrass);
    REQUIRE(merged.findEndpoint(idFromName<EndpointId>("planner-1"))->slots == 8);
}
