#include "peridotramp/operators.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>

namespace peridotramp {

namespace {

template <typename IdType> IdType randomId()
{
    std::random_device source;
    std::uniform_int_distribution<std::uint64_t> numbers(0, IdType::invalid - 1);
    return IdType { numbers(source) };
}

/// Appends a change to the log and determines its outcome.
class ChangeAppender {
public:
    ChangeAppender(const OperatorLog& log, const DocumentEdit& edit, const ApplyOptions& options)
        : log(log)
        , options(options)
        , change { randomId<ChangeId>(), edit.team, edit.base, edit.text }
    {
    }

    /// Checks the change against the current configuration, so that an invalid change is not appended.
    Status validate(const ConfigurationState& state) const
    {
        const auto parsed = parseDocument(this->change.text);
        if (!parsed)
            return parsed.error();
        if (parsed.document->team.name != this->change.team)
            return Error { ErrorKind::InvalidDocument, Outcome::NotRun,
                fmt::format("[team] name is '{}', expected '{}'", parsed.document->team.name, this->change.team) };
        const auto current = state.versionOf(this->change.team);
        if (current != this->change.baseVersion)
            return Error { ErrorKind::VersionConflict, Outcome::NotRun,
                fmt::format("team {} is at version {}, the change replaces version {}", this->change.team,
                    this->text(current), this->text(this->change.baseVersion)) };
        const auto configuration = state.snapshot();
        return configuration ? checkMerge(**configuration, *parsed.document) : Status(std::monostate {});
    }

    /// Appends the change. All attempts use the same append id, also those after a lost response.
    Status append()
    {
        const auto appendId = randomId<AppendId>();
        for (int attempt = 1;; ++attempt) {
            const auto appended = this->log.append(appendId, this->change);
            if (appended)
                return std::monostate {};
            this->mayBeAppended = this->mayBeAppended || appended.error().outcome != Outcome::NotRun;
            if (attempt >= this->options.appendAttempts)
                return appended.error();
            this->options.wait(this->options.retryDelay);
        }
    }

    bool mayBeInLog() const { return this->mayBeAppended; }

    /// Reads the log until it contains the outcome of the change.
    Result<Version> readBack(ConfigurationState& state) const
    {
        const auto deadline = RuntimeClock::now() + this->options.readBackTimeout;
        for (;;) {
            const auto read = this->log.read(state.next());
            if (read)
                state.apply(RuntimeClock::now(), *read);
            if (const auto result = state.resultOf(this->change.changeId))
                return result->isInForce() ? Result<Version>(result->offset) : Result<Version>(result->error);
            if (RuntimeClock::now() >= deadline)
                return Error { ErrorKind::OutcomeUnknown, Outcome::Unknown,
                    fmt::format("change {} for team {} was not found in the log; check with 'peridotctl show {}' "
                                "before applying it again",
                        this->change.changeId.value, this->change.team, this->change.team) };
            this->options.wait(this->options.pollPeriod);
        }
    }

private:
    static std::string text(Version version) { return version.isValid() ? std::to_string(version.value) : "none"; }

    const OperatorLog& log;
    const ApplyOptions& options;
    ConfigurationChange change;
    bool mayBeAppended = false;
};

std::vector<NodeReport> waitForNodes(const OperatorFleet& fleet, Version version, const ApplyOptions& options)
{
    const auto deadline = RuntimeClock::now() + options.nodeTimeout;
    auto reports = queryNodes(fleet);
    const auto isBehind = [&](const NodeReport& node) { return !node.hasVersion(version); };
    while (std::ranges::any_of(reports, isBehind) && RuntimeClock::now() < deadline) {
        options.wait(options.pollPeriod);
        for (auto& report : reports) {
            if (isBehind(report))
                report.status = fleet.status(report.admin);
        }
    }
    return reports;
}

} // namespace

Result<std::shared_ptr<ConfigurationState>> loadConfiguration(const OperatorLog& log)
{
    auto state = std::make_shared<ConfigurationState>();
    for (;;) {
        auto read = log.read(state->next());
        if (!read)
            return read.error();
        const bool isAtTail = read->age.has_value();
        const auto before = state->next();
        state->apply(RuntimeClock::now(), std::move(read.value()));
        if (isAtTail)
            return state;
        if (state->next() == before)
            return Error { ErrorKind::LogUnavailable, Outcome::NotRun,
                fmt::format("a read from offset {} returned no records before the end of the log", before.value) };
    }
}

std::vector<NodeReport> queryNodes(const OperatorFleet& fleet)
{
    std::vector<NodeReport> reports;
    reports.reserve(fleet.nodes.size());
    for (const auto& node : fleet.nodes)
        reports.push_back({ node, fleet.status(node) });
    return reports;
}

Result<ApplyReport> applyEdit(
    const OperatorLog& log, const OperatorFleet& fleet, const DocumentEdit& edit, const ApplyOptions& options)
{
    const auto state = loadConfiguration(log);
    if (!state)
        return state.error();
    ChangeAppender appender(log, edit, options);
    if (const auto valid = appender.validate(**state); !valid)
        return valid.error();
    const auto appended = appender.append();
    if (!appended && !appender.mayBeInLog())
        return appended.error();
    const auto version = appender.readBack(**state);
    if (!version)
        return version.error();
    return ApplyReport { *version, waitForNodes(fleet, *version, options) };
}

} // namespace peridotramp
