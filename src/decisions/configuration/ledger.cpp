#include "ledger_p.h"

#include <algorithm>
#include <fmt/format.h>

namespace peridotramp {

namespace {

std::string versionText(Version version) { return version.isValid() ? std::to_string(version.value) : "none"; }

Error versionConflict(const ConfigurationChange& change, Version current)
{
    return { ErrorKind::VersionConflict, Outcome::NotRun,
        fmt::format("team {} is at version {}, the change replaces version {}", change.team, versionText(current),
            versionText(change.baseVersion)) };
}

Error wrongTeam(const ConfigurationChange& change, const Document& document)
{
    return { ErrorKind::InvalidDocument, Outcome::NotRun,
        fmt::format(
            "the change is for team {}, but [team] name = '{}'; make them agree", change.team, document.team.name) };
}

std::optional<TimePoint> later(std::optional<TimePoint> a, std::optional<TimePoint> b) { return std::max(a, b); }

} // namespace

Configuration::Documents Ledger::documents() const
{
    Configuration::Documents documents;
    for (const auto& [name, team] : this->teamByName) {
        if (team.document)
            documents.push_back(team.document);
    }
    return documents;
}

std::optional<ChangeResult> Ledger::apply(const ConfigurationRecord& record, std::optional<TimePoint> recordedAt)
{
    if (const auto* change = std::get_if<ConfigurationChange>(&record.payload))
        return this->decide(record.offset, *change, recordedAt);
    this->restate(std::get<RestatedDocument>(record.payload), recordedAt);
    return std::nullopt;
}

std::optional<ChangeResult> Ledger::decide(
    Offset offset, const ConfigurationChange& change, std::optional<TimePoint> recordedAt)
{
    auto& team = this->teamByName[change.team];
    const bool isInForce = team.document && change.changeId.isValid() && team.document->changeId == change.changeId;
    if (isInForce || team.refused.contains(change.changeId))
        return std::nullopt;
    ChangeResult result { change.changeId, change.team, offset, {} };
    const auto current = this->expectedVersion(change.team);
    if (change.baseVersion != current) {
        // A base that is not known yet may match a later version, but this id has been decided now.
        if (isNewer(change.baseVersion, current))
            team.refused.emplace(change.changeId, change.baseVersion);
        result.error = versionConflict(change, current);
        return result;
    }
    auto parsed = parseDocument(change.text);
    if (!parsed) {
        result.error = parsed.error();
        return result;
    }
    const auto status = parsed.document->team.name == change.team ? this->check(team, *parsed.document)
                                                                  : Status(wrongTeam(change, *parsed.document));
    if (!status) {
        team.refused.emplace(change.changeId, change.baseVersion);
        result.error = status.error();
        return result;
    }
    this->unknownTexts.erase(change.team);
    team.isProvisional = !this->unknownTexts.empty();
    this->install(team, { std::move(*parsed.document), offset, change.changeId, change.text }, recordedAt);
    return result;
}

void Ledger::restate(const RestatedDocument& restated, std::optional<TimePoint> recordedAt)
{
    auto& team = this->teamByName[restated.team];
    const auto held = team.version();
    if (restated.version == held) {
        team.recordedAt = later(team.recordedAt, recordedAt);
        // The author had read beyond the document, so it is proved.
        team.isProvisional = team.isProvisional && !isNewer(restated.asOf, held);
        return;
    }
    const bool refutesHeld = team.isProvisional && isNewer(restated.asOf, held);
    if (!isNewer(restated.version, held) && !refutesHeld)
        return;
    auto parsed = parseDocument(restated.text);
    if (parsed && parsed.document->team.name == restated.team)
        this->installFact(team, { std::move(*parsed.document), restated.version, {}, restated.text }, recordedAt);
}

void Ledger::bridge(Offset gapEnd, std::span<const ConfigurationRecord> records)
{
    for (const auto& record : records) {
        const auto* restated = std::get_if<RestatedDocument>(&record.payload);
        if (restated != nullptr && isNewer(gapEnd, restated->version) && restated->version.isValid())
            this->restate(*restated, std::nullopt);
    }
    for (const auto& record : records) {
        const auto* change = std::get_if<ConfigurationChange>(&record.payload);
        // Operators name only versions that they have seen in force.
        if (change != nullptr && change->baseVersion < gapEnd
            && isNewer(change->baseVersion, this->expectedVersion(change->team)))
            this->unknownTexts[change->team] = change->baseVersion;
    }
    this->rebuildClaims();
}

void Ledger::endBridge()
{
    this->unknownTexts.clear();
    this->rebuildClaims();
}

void Ledger::adopt(TimePoint now, const ConfigurationSnapshot& snapshot)
{
    this->unknownTexts.clear();
    for (const auto& document : snapshot.documents)
        this->adoptDocument(now, snapshot.next, document);
    this->rebuildClaims();
}

void Ledger::adoptDocument(TimePoint now, Offset asOf, const SnapshotDocument& document)
{
    auto& team = this->teamByName[document.team];
    team.refused = document.refused;
    const auto recordedAt = document.recordAge ? std::optional(now - *document.recordAge) : std::nullopt;
    const auto held = team.version();
    if (document.version == held) {
        team.recordedAt = later(team.recordedAt, recordedAt);
        team.isProvisional = false;
        return;
    }
    const bool refutesHeld = team.isProvisional && document.version.isValid() && isNewer(asOf, held);
    if (!isNewer(document.version, held) && !refutesHeld)
        return;
    auto parsed = parseDocument(document.text);
    if (!parsed)
        return;
    team.isProvisional = false;
    this->install(
        team, { std::move(*parsed.document), document.version, document.changeId, document.text }, recordedAt);
}

Version Ledger::expectedVersion(const std::string& team) const
{
    if (const auto unknown = this->unknownTexts.find(team); unknown != this->unknownTexts.end())
        return unknown->second;
    const auto known = this->teamByName.find(team);
    return known == this->teamByName.end() ? Version {} : known->second.version();
}

Status Ledger::check(const Team& team, const Document& document) const
{
    if (team.document) {
        if (auto status = checkGrown(team.document->document.team, document.team); !status)
            return status;
    }
    for (const auto& [name, other] : this->teamByName) {
        if (!other.document || name == document.team.name)
            continue;
        if (auto status = checkSameOrder(other.document->document.team, document.team); !status)
            return status;
    }
    return this->claims.check(document);
}

void Ledger::install(Team& team, VersionedDocument document, std::optional<TimePoint> recordedAt)
{
    const auto version = document.version;
    const auto before = std::move(team.document);
    team.document = std::make_shared<const VersionedDocument>(std::move(document));
    team.recordedAt = recordedAt;
    // Versions only grow, so a change whose base is older than the document cannot match any more.
    std::erase_if(
        team.refused, [&](const auto& refused) { return !refused.second.isValid() || refused.second < version; });
    this->claims.replace(before ? &before->document : nullptr, team.document->document);
    if (isNewer(version, this->newestVersion))
        this->newestVersion = version;
}

void Ledger::installFact(Team& team, VersionedDocument document, std::optional<TimePoint> recordedAt)
{
    team.isProvisional = false;
    this->unknownTexts.erase(document.document.team.name);
    this->install(team, std::move(document), recordedAt);
    this->rebuildClaims();
}

void Ledger::rebuildClaims()
{
    std::vector<const Team*> ordered;
    for (const auto& [name, team] : this->teamByName) {
        // What a team claims is unknown while its newest text is.
        if (team.document && !this->unknownTexts.contains(name))
            ordered.push_back(&team);
    }
    std::ranges::sort(ordered, {}, &Team::version);
    this->claims = {};
    for (const auto* team : ordered)
        this->claims.replace(nullptr, team->document->document);
}

} // namespace peridotramp
