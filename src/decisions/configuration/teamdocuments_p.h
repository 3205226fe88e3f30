#pragma once

#include "claims_p.h"

#include <map>
#include <set>
#include <span>

namespace peridotramp {

/// Returns whether `a` is a version and greater than `b`, which may be invalid.
inline bool isNewer(Version a, Version b) { return a.isValid() && (!b.isValid() || a > b); }

/// Decides changes in log order and holds the newest document of each team.
class TeamDocuments {
public:
    struct Team {
        /// Empty while no change of the team is in force.
        std::shared_ptr<const VersionedDocument> document;
        /// Lower bound of the time of the newest log record with the document.
        std::optional<TimePoint> recordedAt;
        std::map<ChangeId, Version> refused;

        Version version() const { return this->document ? this->document->version : Version {}; }
    };

    const std::map<std::string, Team, std::less<>>& teams() const { return this->teamByName; }
    Configuration::Documents documents() const;
    /// Returns the highest version that has been in force.
    Version newest() const { return this->newestVersion; }

    /// Applies one record; records must be applied in log order. Returns the result of a change, or nothing for a
    /// republished document and for a change that was decided before.
    std::optional<ChangeResult> apply(const ConfigurationRecord& record, std::optional<TimePoint> recordedAt);
    /// Prepares for `records`, which follow a gap that ends at `gapEnd`: installs republished documents, and infers
    /// from them and from the base versions of later changes which versions were in force.
    void beginRecovery(Offset gapEnd, std::span<const ConfigurationRecord> records);
    /// Returns to the normal rules at the end of the records after a gap.
    void endRecovery();
    /// Installs the state of a peer that has applied more records.
    void importSnapshot(TimePoint now, const ConfigurationSnapshot& snapshot);

private:
    /// Versions of one team that are known to have been in force after a gap: the newest one and its predecessors.
    struct InferredVersions {
        Version newest;
        std::set<Version> chain;
    };

    std::optional<ChangeResult> decide(
        Offset offset, const ConfigurationChange& change, std::optional<TimePoint> recordedAt);
    /// Decides a change by the versions that later records prove to have been in force.
    Error decideByInference(Offset offset, const ConfigurationChange& change, const InferredVersions& inferred,
        std::optional<TimePoint> recordedAt);
    void applyRepublished(const RepublishedDocument& republished, std::optional<TimePoint> recordedAt);
    void importDocument(TimePoint now, const SnapshotDocument& document);
    Version expectedVersion(const std::string& team) const;
    Status check(const Team& team, const Document& document) const;
    void install(Team& team, VersionedDocument document, std::optional<TimePoint> recordedAt);
    /// Installs a document that is known to have been in force, without a check of its claims.
    void installUnchecked(Team& team, VersionedDocument document, std::optional<TimePoint> recordedAt);
    void rebuildClaims();

    std::map<std::string, Team, std::less<>> teamByName;
    Claims claims;
    std::map<std::string, InferredVersions> inferredVersions;
    /// Versions that came into force in a gap and whose text is unknown.
    std::map<std::string, Version> unknownTexts;
    Version newestVersion;
};

} // namespace peridotramp
