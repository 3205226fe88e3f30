#include "teamdocuments_p.h"

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

Error undecidedClaims(const std::string& team)
{
    return { ErrorKind::InvalidDocument, Outcome::NotRun,
        fmt::format("it adds names while the document of team {} is missing from the log; it comes into force if it is "
                    "republished, otherwise apply it again",
            team) };
}

std::optional<TimePoint> later(std::optional<TimePoint> a, std::optional<TimePoint> b) { return std::max(a, b); }

const ConfigurationChange* changeAt(
    Version version, const std::string& team, std::span<const ConfigurationRecord> records)
{
    const auto record = std::ranges::lower_bound(records, version, {}, &ConfigurationRecord::offset);
    if (record == records.end() || record->offset != version)
        return nullptr;
    const auto* change = std::get_if<ConfigurationChange>(&record->payload);
    // A change whose base version is not older than the change itself cannot have come into force.
    const bool isPossible = change != nullptr && change->team == team
        && (!change->baseVersion.isValid() || change->baseVersion < version);
    return isPossible ? change : nullptr;
}

/// Returns the version that a record proves to have been in force: the one that it republishes or replaces. Operators
/// use only versions that they have seen in force as a base.
Version versionProvedBy(const ConfigurationRecord& record)
{
    if (const auto* republished = std::get_if<RepublishedDocument>(&record.payload))
        return republished->version;
    const auto base = std::get<ConfigurationChange>(record.payload).baseVersion;
    return base < record.offset ? base : Version {};
}

const std::string& teamOf(const ConfigurationRecord& record)
{
    return std::visit([](const auto& payload) -> const std::string& { return payload.team; }, record.payload);
}

} // namespace

Configuration::Documents TeamDocuments::documents() const
{
    Configuration::Documents documents;
    for (const auto& [name, team] : this->teamByName) {
        if (team.document)
            documents.push_back(team.document);
    }
    return documents;
}

std::optional<ChangeResult> TeamDocuments::apply(const ConfigurationRecord& record, std::optional<TimePoint> recordedAt)
{
    if (const auto* change = std::get_if<ConfigurationChange>(&record.payload))
        return this->decide(record.offset, *change, recordedAt);
    this->applyRepublished(std::get<RepublishedDocument>(record.payload), recordedAt);
    return std::nullopt;
}

std::optional<ChangeResult> TeamDocuments::decide(
    Offset offset, const ConfigurationChange& change, std::optional<TimePoint> recordedAt)
{
    auto& team = this->teamByName[change.team];
    const bool isInForce = team.document && change.changeId.isValid() && team.document->changeId == change.changeId;
    if (isInForce || team.refused.contains(change.changeId))
        return std::nullopt;
    ChangeResult result { change.changeId, change.team, offset, {} };
    const auto current = this->expectedVersion(change.team);
    if (const auto inferred = this->inferredVersions.find(change.team); inferred != this->inferredVersions.end()
        && inferred->second.newest.isValid() && offset <= inferred->second.newest) {
        result.error = this->decideByInference(offset, change, inferred->second, recordedAt);
        return result;
    }
    if (change.baseVersion != current) {
        // A base that is newer than the current version may match later, but this change id has been decided.
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
    this->install(team, { std::move(*parsed.document), offset, change.changeId, change.text }, recordedAt);
    return result;
}

Error TeamDocuments::decideByInference(Offset offset, const ConfigurationChange& change,
    const InferredVersions& inferred, std::optional<TimePoint> recordedAt)
{
    auto& team = this->teamByName[change.team];
    if (!inferred.chain.contains(offset)) {
        team.refused.emplace(change.changeId, change.baseVersion);
        return versionConflict(change, this->expectedVersion(change.team));
    }
    auto parsed = parseDocument(change.text);
    if (!parsed)
        return parsed.error();
    this->installUnchecked(team, { std::move(*parsed.document), offset, change.changeId, change.text }, recordedAt);
    return {};
}

void TeamDocuments::applyRepublished(const RepublishedDocument& republished, std::optional<TimePoint> recordedAt)
{
    auto& team = this->teamByName[republished.team];
    const auto held = team.version();
    if (republished.version == held) {
        team.recordedAt = later(team.recordedAt, recordedAt);
        return;
    }
    if (!isNewer(republished.version, held))
        return;
    auto parsed = parseDocument(republished.text);
    if (parsed && parsed.document->team.name == republished.team)
        this->installUnchecked(
            team, { std::move(*parsed.document), republished.version, {}, republished.text }, recordedAt);
}

void TeamDocuments::beginRecovery(Offset gapEnd, std::span<const ConfigurationRecord> records)
{
    for (const auto& record : records) {
        const auto* republished = std::get_if<RepublishedDocument>(&record.payload);
        if (republished != nullptr && republished->version < gapEnd)
            this->applyRepublished(*republished, std::nullopt);
        const auto version = versionProvedBy(record);
        const bool isKnown = version < gapEnd || changeAt(version, teamOf(record), records) != nullptr;
        if (isKnown && isNewer(version, this->inferredVersions[teamOf(record)].newest))
            this->inferredVersions[teamOf(record)].newest = version;
    }
    for (auto& [team, inferred] : this->inferredVersions) {
        auto version = inferred.newest;
        while (version.isValid() && version >= gapEnd) {
            inferred.chain.insert(version);
            const auto* change = changeAt(version, team, records);
            version = change == nullptr ? Version {} : change->baseVersion;
        }
        if (isNewer(version, this->expectedVersion(team)))
            this->unknownTexts[team] = version;
    }
    this->rebuildClaims();
}

void TeamDocuments::endRecovery()
{
    this->inferredVersions.clear();
    this->unknownTexts.clear();
    this->rebuildClaims();
}

void TeamDocuments::importSnapshot(TimePoint now, const ConfigurationSnapshot& snapshot)
{
    this->inferredVersions.clear();
    this->unknownTexts.clear();
    for (const auto& document : snapshot.documents)
        this->importDocument(now, document);
    this->rebuildClaims();
}

void TeamDocuments::importDocument(TimePoint now, const SnapshotDocument& document)
{
    auto& team = this->teamByName[document.team];
    team.refused = document.refused;
    const auto recordedAt = document.recordAge ? std::optional(now - *document.recordAge) : std::nullopt;
    const auto held = team.version();
    if (document.version == held) {
        team.recordedAt = later(team.recordedAt, recordedAt);
        return;
    }
    if (!isNewer(document.version, held))
        return;
    auto parsed = parseDocument(document.text);
    if (!parsed)
        return;
    this->install(
        team, { std::move(*parsed.document), document.version, document.changeId, document.text }, recordedAt);
}

Version TeamDocuments::expectedVersion(const std::string& team) const
{
    if (const auto unknown = this->unknownTexts.find(team); unknown != this->unknownTexts.end())
        return unknown->second;
    const auto known = this->teamByName.find(team);
    return known == this->teamByName.end() ? Version {} : known->second.version();
}

Status TeamDocuments::check(const Team& team, const Document& document) const
{
    if (team.document) {
        if (auto status = checkDomainsAppended(team.document->document.team, document.team); !status)
            return status;
    }
    for (const auto& [name, other] : this->teamByName) {
        if (!other.document || name == document.team.name)
            continue;
        if (auto status = checkDomainOrder(other.document->document.team, document.team); !status)
            return status;
    }
    const bool isOtherUnknown = this->unknownTexts.size() > this->unknownTexts.count(document.team.name);
    const bool isCovered = team.document && !this->unknownTexts.contains(document.team.name)
        && Claims::containsAll(team.document->document, document);
    // It is safe to refuse the change. Had it come into force, it would be old enough to have been republished: the
    // unknown text was superseded after it, and every record from before the gap is superseded or republished within
    // half the retention.
    if (isOtherUnknown && !isCovered)
        return undecidedClaims(this->unknownTexts.begin()->first);
    return this->claims.check(document);
}

void TeamDocuments::install(Team& team, VersionedDocument document, std::optional<TimePoint> recordedAt)
{
    const auto version = document.version;
    const auto before = std::move(team.document);
    team.document = std::make_shared<const VersionedDocument>(std::move(document));
    team.recordedAt = recordedAt;
    // Versions only increase, so a change whose base version is older than the document can no longer match.
    std::erase_if(
        team.refused, [&](const auto& refused) { return !refused.second.isValid() || refused.second < version; });
    this->claims.replace(before ? &before->document : nullptr, team.document->document);
    if (isNewer(version, this->newestVersion))
        this->newestVersion = version;
}

void TeamDocuments::installUnchecked(Team& team, VersionedDocument document, std::optional<TimePoint> recordedAt)
{
    this->unknownTexts.erase(document.document.team.name);
    this->install(team, std::move(document), recordedAt);
    this->rebuildClaims();
}

void TeamDocuments::rebuildClaims()
{
    std::vector<const Team*> ordered;
    for (const auto& [name, team] : this->teamByName) {
        // The claims of a team whose newest text is unknown are unknown, too.
        if (team.document && !this->unknownTexts.contains(name))
            ordered.push_back(&team);
    }
    std::ranges::sort(ordered, {}, &Team::version);
    this->claims = {};
    for (const auto* team : ordered)
        this->claims.replace(nullptr, team->document->document);
}

} // namespace peridotramp
