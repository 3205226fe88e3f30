#include "samples.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <rapidcheck.h>

using namespace peridotramp;

namespace {

constexpr TimePoint start {};
constexpr std::size_t retentionRecords = 16;
const std::array<std::string, 3> teams { "a", "b", "c" };

enum class Step : std::uint8_t { Change, Repeat, StaleRepublication, ReadLog, ReadAgain, Transfer, Restart, Count };

struct Action {
    Step step;
    unsigned node;
    unsigned peer;
    unsigned choice;
};

std::ostream& operator<<(std::ostream& stream, const Action& action)
{
    return stream << fmt::format(
               "{{{}, {}, {}, {}}}", static_cast<int>(action.step), action.node, action.peer, action.choice);
}

/// A log with retention, a reference that reads each record immediately, and nodes that receive the records in random
/// ways and order.
class Simulation {
public:
    Simulation()
    {
        for (auto& node : this->nodes)
            node = std::make_unique<ConfigurationState>();
    }

    void run(const Action& action)
    {
        const auto index = action.node % this->nodes.size();
        auto& node = *this->nodes.at(index);
        switch (action.step) {
        case Step::Change:
            return this->appendChange(teams.at(action.peer % teams.size()), action.choice);
        case Step::Repeat:
            if (!this->log.empty())
                this->append(
                    this->log.at(this->log.size() - 1 - action.choice % std::min<std::size_t>(3, this->log.size()))
                        .payload);
            return;
        case Step::StaleRepublication:
            return this->republish(node, teams.at(action.peer % teams.size()));
        case Step::ReadLog:
            this->readLog(node, node.next().value, 1 + action.choice % 6);
            break;
        case Step::ReadAgain:
            this->readLog(node, this->first + action.choice % (this->log.size() - this->first + 1), 3);
            break;
        case Step::Transfer:
            this->delayed.push_back(
                this->nodes.at(action.peer % this->nodes.size())->exportSince(start, node.applied()));
            // Some transfers arrive late, some twice.
            node.import(start,
                this->delayed.at(
                    action.choice % 2 == 0 ? this->delayed.size() - 1 : action.choice % this->delayed.size()));
            break;
        case Step::Restart:
        case Step::Count:
            this->nodes.at(index) = std::make_unique<ConfigurationState>(
                ConfigurationState::Limits { ByteCount { action.choice % 2 == 0 ? 500 : 1 << 20 } });
            this->maxVersions.at(index) = {};
            return;
        }
        this->checkMonotonic(index);
    }

    /// Brings every node to the end of the log, by transfers or reads, and compares it with the reference.
    void finish()
    {
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            auto& node = *this->nodes.at(index);
            if (index % 2 == 1)
                node.import(start, this->nodes.at(index - 1)->exportSince(start, node.applied()));
            this->readLog(node, node.next().value, this->log.size());
            this->checkMonotonic(index);
            RC_ASSERT(node.version() == this->reference.version());
            RC_ASSERT(this->textsOf(node) == this->textsOf(this->reference));
        }
    }

private:
    void append(ConfigurationPayload payload)
    {
        const auto offset = this->log.size();
        this->log.push_back({ Offset { offset }, std::move(payload) });
        this->reference.apply(start, samples::readOf(offset, { this->log.back() }));
        const auto* change = std::get_if<ConfigurationChange>(&this->log.back().payload);
        const auto* republished = std::get_if<RepublishedDocument>(&this->log.back().payload);
        if (change != nullptr && this->reference.versionOf(change->team) == Offset { offset }) {
            this->recorded[change->team] = offset;
            this->versions[change->team].push_back(Version { offset });
        }
        if (republished != nullptr && this->reference.versionOf(republished->team) == republished->version)
            this->recorded[republished->team] = offset;
        this->first = this->log.size() > retentionRecords ? this->log.size() - retentionRecords : 0;
        for (const auto& [team, place] : std::map(this->recorded)) {
            if (this->log.size() - place >= retentionRecords / 2)
                this->republish(this->reference, team);
        }
    }

    void appendChange(const std::string& team, unsigned choice)
    {
        const auto current = this->reference.versionOf(team);
        const auto& earlier = this->versions[team];
        // Operators use only versions that they have seen in force as a base.
        const std::array<Version, 4> bases { current, current, Version {},
            earlier.empty() ? Version {} : earlier.at(choice % earlier.size()) };
        const std::array<std::string, 4> texts { samples::small(team, "own-" + team, static_cast<int>(choice)),
            samples::small(team, "shared", static_cast<int>(choice)),
            samples::small(team, "own-" + team, static_cast<int>(choice)), "[team]\n" };
        const ChangeId id { ++this->lastId };
        this->append(ConfigurationChange { id, team, bases.at(choice % 4), texts.at(choice / 4 % 4) });
    }

    void republish(const ConfigurationState& publisher, const std::string& team)
    {
        const auto configuration = publisher.snapshot();
        const auto* document = configuration ? (*configuration)->findTeam(idFromName<TeamId>(team)) : nullptr;
        if (document != nullptr)
            this->append(RepublishedDocument { team, document->version, document->text });
    }

    void readLog(ConfigurationState& node, std::size_t from, std::size_t limit)
    {
        const auto begin = std::max(from, this->first);
        const auto end = std::min(this->log.size(), begin + limit);
        ConfigurationRead read { Offset { from }, Offset { this->first }, Offset { end }, {}, {} };
        for (auto offset = begin; offset < end; ++offset)
            read.records.push_back(this->log.at(offset));
        if (end == this->log.size())
            read.age = Duration::zero();
        node.apply(start, std::move(read));
    }

    void checkMonotonic(std::size_t index)
    {
        const auto version = this->nodes.at(index)->version();
        auto& maxVersion = this->maxVersions.at(index);
        RC_ASSERT(!maxVersion.isValid() || (version.isValid() && version >= maxVersion));
        maxVersion = version;
    }

    static std::vector<std::string> textsOf(const ConfigurationState& state)
    {
        std::vector<std::string> texts;
        if (const auto configuration = state.snapshot()) {
            for (const auto& document : (*configuration)->documents())
                texts.push_back(fmt::format("{}\n{}", document->version.value, document->text));
        }
        return texts;
    }

    std::vector<ConfigurationRecord> log;
    std::size_t first = 0;
    std::map<std::string, std::size_t> recorded;
    std::map<std::string, std::vector<Version>> versions;
    std::uint64_t lastId = 0;
    ConfigurationState reference;
    std::array<std::unique_ptr<ConfigurationState>, 4> nodes;
    std::array<Version, 4> maxVersions;
    std::vector<ConfigurationTransfer> delayed;
};

void requireConvergence(std::uint64_t seed)
{
    const auto action = rc::gen::build<Action>(
        rc::gen::set(&Action::step,
            rc::gen::map(rc::gen::inRange(0, static_cast<int>(Step::Count)), [](int step) { return Step(step); })),
        rc::gen::set(&Action::node, rc::gen::inRange(0U, 4U)), rc::gen::set(&Action::peer, rc::gen::inRange(0U, 12U)),
        rc::gen::set(&Action::choice, rc::gen::inRange(0U, 64U)));
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = 200;
    const auto property = [&] {
        const auto actions = *rc::gen::container<std::vector<Action>>(*rc::gen::inRange(1, 150), action);
        Simulation simulation;
        std::ranges::for_each(actions, [&](const auto& next) { simulation.run(next); });
        simulation.finish();
    };
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata {}, params);
    std::cout << "seed " << seed << ": ";
    rc::detail::printResultMessage(result, std::cout);
    std::cout << std::endl;
    REQUIRE(result.is<rc::detail::SuccessResult>());
}

} // namespace

// One test per seed, so that each finishes within the time limit under the thread sanitizer.
TEMPLATE_TEST_CASE_SIG("nodes that get the same records in any order and way converge, and no version decreases", "",
    ((std::uint64_t seed), seed), 11, 23, 47, 101, 211, 307, 401, 503)
{
    requireConvergence(seed);
}
