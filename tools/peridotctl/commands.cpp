#include "session_p.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>
#include <random>

namespace peridotctl {

namespace json = boost::json;

namespace {

// A key has 256 bits from the system's random source, as words of 32 bits.
constexpr int wordsPerKey = 8;

using Loaded = std::shared_ptr<ConfigurationState>;

std::string newKey()
{
    std::random_device source;
    std::string key = "pk";
    for (int word = 0; word < wordsPerKey; ++word)
        key += fmt::format("{:08x}", source());
    return key;
}

Error unknownName(std::string_view kind, const std::string& name)
{
    return { ErrorKind::InvalidRequest, Outcome::NotRun,
        fmt::format("the configuration has no {} '{}'; see 'peridotctl show'", kind, name) };
}

Result<Document> parseFile(const std::string& file)
{
    const auto text = readFile(file);
    if (!text)
        return text.error();
    auto parsed = parseDocument(*text);
    if (!parsed)
        return parsed.error();
    return std::move(*parsed.document);
}

Result<Version> parseVersion(const std::string& text)
{
    if (text == "none")
        return Version {};
    Version version;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, version.value);
    if (parsed.ec == std::errc() && parsed.ptr == end && version.isValid())
        return version;
    return Error { ErrorKind::InvalidRequest, Outcome::NotRun,
        fmt::format("--base '{}': use the version that 'peridotctl show TEAM' prints, or none for a new team", text) };
}

Result<ConfigurationPointer> loadSnapshot(Session& session)
{
    const auto state = loadConfiguration(session.log());
    if (!state)
        return state.error();
    return (*state)->snapshot();
}

Result<const VersionedDocument*> findTeam(const Configuration& configuration, const std::string& team)
{
    const auto* document = configuration.findTeam(idFromName<TeamId>(team));
    if (document == nullptr)
        return unknownName("team", team);
    return document;
}

std::string reasonOf(const NodeReport& node)
{
    return node.status ? "reports an older version" : node.status.error().message();
}

std::string toJson(const std::string& team, const ApplyReport& applied)
{
    json::object behind;
    for (const auto& node : applied.nodes) {
        if (!node.hasVersion(applied.version))
            behind[node.admin.toString()] = reasonOf(node);
    }
    return json::serialize(json::object { { "team", team }, { "version", applied.version.value },
        { "nodes_in_force", applied.nodesInForce() }, { "nodes", applied.nodes.size() }, { "behind", behind } });
}

ExitCode report(Session& session, const std::string& team, const ApplyReport& applied)
{
    auto lines = fmt::format("team {}: version {} is in force on {} of {} nodes\n", team, applied.version.value,
        applied.nodesInForce(), applied.nodes.size());
    for (const auto& node : applied.nodes) {
        if (!node.hasVersion(applied.version))
            lines += fmt::format("  {}: {}\n", node.admin.toString(), reasonOf(node));
    }
    session.print(lines, toJson(team, applied));
    return applied.isInForceEverywhere() ? ExitCode::Done : ExitCode::NotEverywhere;
}

ExitCode applyAndReport(Session& session, const DocumentEdit& edit)
{
    const auto applied = applyEdit(session.log(), session.fleet(), edit, session.applyOptions());
    if (!applied)
        return session.fail(applied.error());
    return report(session, edit.team, *applied);
}

using TextEdit = std::function<Result<std::string>(const std::string&)>;

/// Edits the document of a team that is in force.
ExitCode editTeam(Session& session, const Configuration& configuration, const std::string& team, const TextEdit& edit)
{
    const auto document = findTeam(configuration, team);
    if (!document)
        return session.fail(document.error());
    const auto text = edit((*document)->text);
    if (!text)
        return session.fail(text.error());
    return applyAndReport(session, { team, (*document)->version, *text });
}

ExitCode editTeam(Session& session, const std::string& team, const TextEdit& edit)
{
    const auto configuration = loadSnapshot(session);
    if (!configuration)
        return session.fail(configuration.error());
    return editTeam(session, **configuration, team, edit);
}

std::string toJson(const std::vector<Problem>& problems)
{
    json::array array;
    for (const auto& problem : problems)
        array.push_back(json::object { { "section", problem.section }, { "key", problem.key },
            { "value", problem.value }, { "remedy", problem.remedy } });
    return json::serialize(json::object { { "valid", problems.empty() }, { "problems", std::move(array) } });
}

std::string toJson(const std::vector<DocumentChange>& changes)
{
    json::array array;
    for (const auto& change : changes) {
        json::object object { { "section", change.section }, { "key", change.key }, { "before", nullptr },
            { "after", nullptr } };
        if (change.before)
            object["before"] = *change.before;
        if (change.after)
            object["after"] = *change.after;
        array.push_back(std::move(object));
    }
    return json::serialize(array);
}

std::string toJson(const std::vector<NodeReport>& nodes)
{
    json::object object;
    for (const auto& node : nodes) {
        if (node.status)
            object[node.admin.toString()] = json::parse(peridotramp::toJson(*node.status));
        else
            object[node.admin.toString()] = json::object { { "error", node.status.error().message() } };
    }
    return json::serialize(object);
}

/// Returns the teams whose document lists the failure domain in another state.
std::vector<std::string> teamsToChange(
    const Configuration& configuration, const std::string& domain, DomainEntry::State state)
{
    std::vector<std::string> teams;
    for (const auto& document : configuration.documents()) {
        const auto& domains = document->document.domains;
        const auto listed = std::ranges::find(domains, domain, &DomainEntry::name);
        if (listed != domains.end() && listed->state != state)
            teams.push_back(document->document.team.name);
    }
    return teams;
}

} // namespace

ExitCode validate(const Session& session, const std::string& file)
{
    const auto text = readFile(file);
    if (!text)
        return session.fail(text.error());
    const auto parsed = parseDocument(*text);
    std::string lines = parsed ? "valid\n" : "";
    for (const auto& problem : parsed.problems)
        lines += problem.toString() + "\n";
    session.print(lines, toJson(parsed.problems));
    return parsed ? ExitCode::Done : ExitCode::InvalidDocument;
}

ExitCode diff(Session& session, const std::string& before, const std::string& after)
{
    const bool hasTwoFiles = !after.empty();
    const auto newer = parseFile(hasTwoFiles ? after : before);
    if (!newer)
        return session.fail(newer.error());
    Result<Document> older = Document {};
    if (hasTwoFiles)
        older = parseFile(before);
    else if (const auto configuration = loadSnapshot(session); !configuration)
        older = configuration.error();
    else if (const auto* inForce = (*configuration)->findTeam(newer->team.id))
        older = inForce->document;
    if (!older)
        return session.fail(older.error());
    const auto changes = diffDocuments(*older, *newer);
    std::string lines;
    for (const auto& change : changes)
        lines += change.toString() + "\n";
    session.print(lines, toJson(changes));
    return changes.empty() ? ExitCode::Done : ExitCode::Different;
}

ExitCode apply(Session& session, const std::string& file, const std::string& base)
{
    const auto version = parseVersion(base);
    if (!version)
        return session.fail(version.error());
    const auto text = readFile(file);
    if (!text)
        return session.fail(text.error());
    const auto parsed = parseDocument(*text);
    if (!parsed)
        return session.fail(parsed.error());
    return applyAndReport(session, { parsed.document->team.name, *version, *text });
}

ExitCode show(Session& session, const std::string& team, bool asText)
{
    const auto configuration = loadSnapshot(session);
    if (!configuration)
        return session.fail(configuration.error());
    if (team.empty()) {
        session.print(describe(**configuration));
        return ExitCode::Done;
    }
    const auto document = findTeam(**configuration, team);
    if (!document)
        return session.fail(document.error());
    const auto& versioned = **document;
    if (asText) {
        session.print(versioned.text,
            json::serialize(json::object { { "version", versioned.version.value }, { "text", versioned.text } }));
        return ExitCode::Done;
    }
    auto rows = describe(versioned.document);
    rows.insert(rows.begin(), { "team", "version", std::to_string(versioned.version.value) });
    session.print(rows);
    return ExitCode::Done;
}

ExitCode status(Session& session)
{
    const auto reports = queryNodes(session.fleet());
    session.print(toTable(describe(reports)), toJson(reports));
    const auto isReady = [](const NodeReport& node) { return node.status && node.status->isReady; };
    return std::ranges::all_of(reports, isReady) ? ExitCode::Done : ExitCode::Unavailable;
}

ExitCode dump(Session& session, const std::string& adminAddress)
{
    const auto address = Address::parse(adminAddress);
    if (!address)
        return session.fail({ ErrorKind::InvalidRequest, Outcome::NotRun, "give the admin address as HOST:PORT" });
    const auto text = session.admin().dump(*address, session.printsJson());
    if (!text)
        return session.fail(text.error());
    session.print(*text, *text);
    return ExitCode::Done;
}

ExitCode drainInstance(Session& session, const std::string& adminAddress, bool isDraining)
{
    const auto address = Address::parse(adminAddress);
    if (!address)
        return session.fail({ ErrorKind::InvalidRequest, Outcome::NotRun, "give the admin address as HOST:PORT" });
    const std::vector<NodeReport> nodes { { *address, session.admin().setDraining(*address, isDraining) } };
    if (const auto& answer = nodes.front().status; !answer) {
        auto error = answer.error();
        // The request may have been carried out although its answer is missing.
        if (error.outcome != Outcome::NotRun)
            error.kind = ErrorKind::OutcomeUnknown;
        return session.fail(error);
    }
    session.print(toTable(describe(nodes)), toJson(nodes));
    return ExitCode::Done;
}

ExitCode setEndpoint(Session& session, const std::string& endpoint, EndpointEntry::State state)
{
    const auto configuration = loadSnapshot(session);
    if (!configuration)
        return session.fail(configuration.error());
    const auto team = (*configuration)->teamOf(idFromName<EndpointId>(endpoint));
    const auto* document = (*configuration)->findTeam(team);
    if (document == nullptr)
        return session.fail(unknownName("endpoint", endpoint));
    return editTeam(session, **configuration, document->document.team.name,
        [&](const std::string& text) { return setEndpointState(text, endpoint, state); });
}

ExitCode setDomain(Session& session, const std::string& domain, const std::string& team, DomainEntry::State state)
{
    const auto configuration = loadSnapshot(session);
    if (!configuration)
        return session.fail(configuration.error());
    if (!(*configuration)->domainId(domain).isValid())
        return session.fail(unknownName("failure domain", domain));
    const auto teams = team.empty() ? teamsToChange(**configuration, domain, state) : std::vector { team };
    if (teams.empty())
        session.print({ { "domain " + domain, "state", std::string(toString(state)) } });
    auto worstCode = ExitCode::Done;
    for (const auto& name : teams) {
        const auto code = editTeam(session, **configuration, name,
            [&](const std::string& text) { return setDomainState(text, domain, state); });
        worstCode = std::max(worstCode, code);
    }
    return worstCode;
}

ExitCode grant(Session& session, const std::string& team, const std::string& key, const std::string& workspace,
    const std::string& digest)
{
    const auto secret = digest.empty() ? newKey() : std::string();
    const auto parsed = digest.empty() ? std::optional(sha256(secret)) : Digest::fromHex(digest);
    if (!parsed)
        return session.fail({ ErrorKind::InvalidRequest, Outcome::NotRun, "--sha256: use 64 hexadecimal digits" });
    const auto code
        = editTeam(session, team, [&](const std::string& text) { return grantKey(text, key, workspace, *parsed); });
    const bool isGranted = code == ExitCode::Done || code == ExitCode::NotEverywhere;
    // The key is shown also when the outcome is unknown, because it may have come into force.
    if (!secret.empty() && (isGranted || code == ExitCode::OutcomeUnknown))
        session.print({ { "key " + key, "secret", secret } });
    return code;
}

ExitCode withdraw(Session& session, const std::string& team, const std::string& key)
{
    return editTeam(session, team, [&](const std::string& text) { return withdrawKey(text, key); });
}

ExitCode setWorkspaceRate(Session& session, const std::string& team, const std::string& workspace, const RateEdit& rate)
{
    return editTeam(session, team, [&](const std::string& text) { return setRate(text, workspace, rate); });
}

} // namespace peridotctl
