#pragma once

#include "claims_p.h"

#include <map>
#include <set>
#include <span>

namespace peridotramp {

/// Returns whether `a` is a version and greater than `b`, which may be invalid.
inline bool isNewer(Version a, Version b) { return a.isValid() && (!b.isValid() || a > b); }

/// Decides changes in the order of the log and holds the newest document of each team.
class Ledger {
public:
    struct Team {
        /// Empty while no change of the team is in force.
        std::shared_ptr<const VersionedDocument> document;
        /// Lower bound for the time of the newest log record with the document.
        std::optional<TimePoint> recordedAt;
        std::map<ChangeId, Version> refused;

        Version version() const { return this->document ? this->document->version : Version {}; }
    };

    const std::map<std::string, Team, std::less<>>& teams() const { return this->teamByName; }
    Configuration::Documents documents() const;
    /// Returns the greatest version that was ever in force.
    Version newest() const { return this->newestVersion; }

    /// Applies one record; the records must come in the order of the log. Returns the result of a change, or nothing
    /// for a restatement and for a change that was decided before.
    std::optional<ChangeResult> apply(const ConfigurationRecord& record, std::optional<TimePoint> recordedAt);
    /// Prepares for `records`, which follow a gap that ends at `gapEnd`: takes up restated documents, and finds the
    /// versions that restatements and the bases of later changes show to have been in force.
    void bridge(Offset gapEnd, std::span<const ConfigurationRecord> records);
    /// Ends the exceptions for records after a gap.
    void endBridge();
    /// Takes over the state of a peer that has applied more records.
    void adopt(TimePoint now, const ConfigurationSnapshot& snapshot);

private:
    /// Versions of one team that were in force after a gap, up to the newest that is known to have been.
    struct Proof {
        Version newest;
        std::set<Version> chain;
    };

    std::optional<ChangeResult> decide(
        Offset offset, const ConfigurationChange& change, std::optional<TimePoint> recordedAt);
    /// Decides a change from the versions that later records show to have been in force.
    Error decideProved(
        Offset offset, const ConfigurationChange& change, const Proof& proof, std::optional<TimePoint> recordedAt);
    void restate(const RestatedDocument& restated, std::optional<TimePoint> recordedAt);
    void adoptDocument(TimePoint now, const SnapshotDocument& document);
    Version expectedVersion(const std::string& team) const;
    Status check(const Team& team, const Document& document) const;
    void install(Team& team, VersionedDocument document, std::optional<TimePoint> recordedAt);
    /// Installs a document that is known to have been in force, whatever it claims.
    void installFact(Team& team, VersionedDocument document, std::optional<TimePoint> recordedAt);
    void rebuildClaims();

    std::map<std::string, Team, std::less<>> teamByName;
    Claims claims;
    std::map<std::string, Proof> proofs;
    /// Versions that came into force in a gap and whose text is unknown.
    std::map<std::string, Version> unknownTexts;
    Version newestVersion;
};

} // namespace peridotramp
