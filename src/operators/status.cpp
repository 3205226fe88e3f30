#include "peridotramp/operators.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace peridotramp {

namespace json = boost::json;

namespace {

Error malformed(std::string detail) { return { ErrorKind::MalformedFrame, Outcome::Unknown, std::move(detail) }; }

std::string ageText(const std::optional<Duration>& age)
{
    if (!age)
        return "unknown";
    return fmt::format("{:.1f} s", std::chrono::duration<double>(*age).count());
}

} // namespace

std::string toJson(const ProcessStatus& status)
{
    json::object object { { "process", status.process }, { "domain", status.domain }, { "ready", status.isReady },
        { "draining", status.isDraining }, { "detail", status.detail } };
    object["configuration_version"] = nullptr;
    object["configuration_age_ms"] = nullptr;
    if (status.version.isValid())
        object["configuration_version"] = status.version.value;
    if (status.age)
        object["configuration_age_ms"] = std::chrono::duration_cast<Milliseconds>(*status.age).count();
    return json::serialize(object);
}

Result<ProcessStatus> parseStatus(const std::string& text)
{
    try {
        const auto value = json::parse(text);
        const auto& object = value.as_object();
        const auto textOf = [&](std::string_view key) { return json::value_to<std::string>(object.at(key)); };
        ProcessStatus status { textOf("process"), textOf("domain"), object.at("ready").as_bool(),
            object.at("draining").as_bool(), {}, {}, textOf("detail") };
        if (const auto& version = object.at("configuration_version"); !version.is_null())
            status.version = Version { version.to_number<std::uint64_t>() };
        if (const auto& age = object.at("configuration_age_ms"); !age.is_null())
            status.age = Milliseconds(age.to_number<std::int64_t>());
        return status;
    } catch (const std::exception& error) {
        return malformed(fmt::format("not the status of a peridotramp process: {}", error.what()));
    }
}

std::string toJson(std::span<const DescriptionRow> rows)
{
    json::object sections;
    for (const auto& row : rows) {
        auto& section = sections[row.section];
        if (!section.is_object())
            section.emplace_object();
        section.as_object()[row.key] = row.value;
    }
    return json::serialize(sections);
}

bool NodeReport::hasVersion(Version version) const
{
    return this->status && this->status->version.isValid() && this->status->version >= version;
}

std::size_t ApplyReport::nodesInForce() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->nodes, [&](const auto& node) { return node.hasVersion(this->version); }));
}

std::vector<DescriptionRow> describe(std::span<const NodeReport> nodes)
{
    std::vector<DescriptionRow> rows;
    for (const auto& node : nodes) {
        const auto section = "node " + node.admin.toString();
        if (!node.status) {
            rows.push_back({ section, "error", node.status.error().message() });
            continue;
        }
        const auto& status = *node.status;
        const auto version = status.version.isValid() ? std::to_string(status.version.value) : "none";
        rows.push_back({ section, "process", status.process });
        rows.push_back({ section, "domain", status.domain });
        rows.push_back({ section, "ready", status.isReady ? "yes" : "no" });
        rows.push_back({ section, "draining", status.isDraining ? "yes" : "no" });
        rows.push_back({ section, "configuration_version", version });
        rows.push_back({ section, "configuration_age", ageText(status.age) });
        if (!status.detail.empty())
            rows.push_back({ section, "detail", status.detail });
    }
    return rows;
}

ExitCode exitCodeOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::None:
        return ExitCode::Done;
    case ErrorKind::InvalidRequest:
    case ErrorKind::InvalidSettings:
        return ExitCode::Usage;
    case ErrorKind::InvalidDocument:
        return ExitCode::InvalidDocument;
    case ErrorKind::VersionConflict:
        return ExitCode::VersionConflict;
    case ErrorKind::LogUnavailable:
    case ErrorKind::ConnectionFailed:
    case ErrorKind::DeadlineExceeded:
    case ErrorKind::NotReady:
        return ExitCode::Unavailable;
    case ErrorKind::OutcomeUnknown:
        return ExitCode::OutcomeUnknown;
    default:
        return ExitCode::Failed;
    }
}

} // namespace peridotramp
