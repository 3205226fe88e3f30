#pragma once

#include "peridotramp/core.h"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Used by the scheduler, the gateway and `peridotctl`. The ingress on the platform follows the platform's desired state
// in `routing.h` instead.

namespace peridotramp {

using TeamId = Id<struct TeamTag>;
/// Generated at random by the operator's tool; a change that is appended again keeps its id.
using ChangeId = Id<struct ChangeTag>;
/// Version of a document: the offset of its change in the stream `configuration`; invalid before the first change.
using Version = Offset;

// Documents

/// `[team]`
struct TeamEntry {
    TeamId id;
    std::string name;
    /// Failure domains in index order. The list is append-only.
    std::vector<std::string> domains;
    /// Failure domain whose partition 0 republishes the document; by default the first of `domains`.
    std::string home;

    bool operator==(const TeamEntry&) const = default;
};

/// `[workspace NAME]`
struct WorkspaceEntry {
    WorkspaceId id;
    std::string name;
    RequestRate requestRate;
    RequestCount requestBurst;
    TokenRate tokenRate;
    TokenCount tokenBurst;
    double weight = 1;
    /// Name of the `[budget]` of each program of the workspace; empty for the default budget.
    std::string budget;

    bool operator==(const WorkspaceEntry&) const = default;
};

/// `[budget NAME]`. Limits of one program.
struct BudgetEntry {
    std::string name;
    TokenCount tokens { 2'000'000 };
    CallCount calls { 256 };
    Seconds wall { 3600 };
    Depth depth { 4 };

    bool operator==(const BudgetEntry&) const = default;
};

/// `[key NAME]`
struct KeyEntry {
    enum class State : std::uint8_t { Granted, Withdrawn, Count };

    KeyId id;
    std::string name;
    WorkspaceId workspace;
    std::string workspaceName;
    /// SHA-256 of the bytes of the key, as printed by `sha256sum`.
    Digest digest;
    State state = State::Granted;

    bool operator==(const KeyEntry&) const = default;
};

/// `[endpoint NAME]`
struct EndpointEntry {
    enum class Kind : std::uint8_t { Engine, Service, Count };
    enum class State : std::uint8_t { In, Leaving, Out, Count };
    /// Whether the engine rejects orders with an outdated fencing token.
    enum class Fencing : std::uint8_t { Obeyed, Ignored, Count };

    EndpointId id;
    std::string name;
    std::string domain;
    Address address;
    Kind kind = Kind::Engine;
    std::vector<std::string> models;
    State state = State::In;
    Fencing fencing = Fencing::Ignored;
    /// Maximum number of concurrent calls.
    std::int64_t slots = 1;

    bool operator==(const EndpointEntry&) const = default;
};

/// `[call NAME]`
struct CallEntry {
    std::string name;
    bool idempotent = false;
    /// Names of the service endpoints that serve the call.
    std::vector<std::string> endpoints;
    /// Default deadline of the call.
    Milliseconds deadline { 30'000 };

    bool operator==(const CallEntry&) const = default;
};

/// `[route PATH]`
struct RouteEntry {
    std::string path;
    /// Whether requests need no key.
    bool open = false;

    bool operator==(const RouteEntry&) const = default;
};

/// `[policy]`. The preset supplies the weights that the document does not set.
struct PolicyEntry {
    enum class Preset : std::uint8_t { Baseline, Kalahari, Longgrass, Count };

    Preset preset = Preset::Baseline;
    double fairness = 0;
    double locality = 0;
    double programOrder = 0;

    /// Returns a policy with the weights of the preset.
    static PolicyEntry of(Preset preset);
    bool operator==(const PolicyEntry&) const = default;
};

/// `[domain NAME]`
struct DomainEntry {
    /// In order of severity.
    enum class State : std::uint8_t { In, Out, Removed, Count };

    std::string name;
    State state = State::In;

    bool operator==(const DomainEntry&) const = default;
};

std::string_view toString(KeyEntry::State state);
std::string_view toString(EndpointEntry::Kind kind);
std::string_view toString(EndpointEntry::State state);
std::string_view toString(EndpointEntry::Fencing fencing);
std::string_view toString(PolicyEntry::Preset preset);
std::string_view toString(DomainEntry::State state);

/// Returns the handle of a key, which depends on the team and the key's name.
KeyId keyIdOf(std::string_view team, std::string_view key);

/// A parsed document of a team; entries are in the order of the text.
struct Document {
    TeamEntry team;
    std::vector<WorkspaceEntry> workspaces;
    std::vector<BudgetEntry> budgets;
    std::vector<KeyEntry> keys;
    std::vector<EndpointEntry> endpoints;
    std::vector<CallEntry> calls;
    std::vector<RouteEntry> routes;
    PolicyEntry policy;
    /// One entry for each failure domain of the team, in index order.
    std::vector<DomainEntry> domains;

    bool operator==(const Document&) const = default;
};

/// Result of parsing: the document, or all problems of its text.
struct ParsedDocument {
    std::optional<Document> document;
    std::vector<Problem> problems;

    explicit operator bool() const { return this->document.has_value(); }
    /// Returns an `InvalidDocument` error that lists the problems.
    Error error() const;
};

/// Parses a team's document. Does not stop at the first problem of syntax, types, ranges, names or references but
/// reports all of them.
ParsedDocument parseDocument(const std::string& text);

// Records and state

/// A change of a team's document, appended by an operator to the stream `configuration`.
struct ConfigurationChange {
    ChangeId changeId;
    std::string team;
    /// Version that the change replaces; invalid for the first document of a team.
    Version baseVersion;
    std::string text;

    bool operator==(const ConfigurationChange&) const = default;
};

/// A document in force that is republished under the same version before its record expires from the log.
struct RepublishedDocument {
    std::string team;
    Version version;
    std::string text;

    bool operator==(const RepublishedDocument&) const = default;
};

using ConfigurationPayload = std::variant<ConfigurationChange, RepublishedDocument>;

/// One record of the stream `configuration`.
struct ConfigurationRecord {
    Offset offset;
    ConfigurationPayload payload;

    bool operator==(const ConfigurationRecord&) const = default;
};

/// All readable records in [`from`, `next`) of the stream, from the log or from a peer.
struct ConfigurationRead {
    /// Start of the read. Records from here on are complete unless `first` is greater.
    Offset from { 0 };
    /// First offset that the source retains; earlier records have expired from the log.
    Offset first { 0 };
    Offset next { 0 };
    std::vector<ConfigurationRecord> records;
    /// Time since `next` was the end of the log, as far as the source knows; empty if the read stopped before the end.
    std::optional<Duration> age;
};

/// Newest document of one team.
struct SnapshotDocument {
    std::string team;
    /// Invalid if all changes of the team were refused.
    Version version;
    ChangeId changeId;
    std::string text;
    /// Upper bound of the age of the newest log record with this document; empty if unknown.
    std::optional<Duration> recordAge;
    /// Refused changes with their base versions. Duplicate records of them stay refused, even if the base version
    /// matches later.
    std::map<ChangeId, Version> refused;
};

/// The state of the stream at `next`.
struct ConfigurationSnapshot {
    Offset next { 0 };
    std::vector<SnapshotDocument> documents;
    std::optional<Duration> age;
};

/// Data that a node sends to a peer that is behind.
using ConfigurationTransfer = std::variant<ConfigurationRead, ConfigurationSnapshot>;

/// Outcome of a change.
struct ChangeResult {
    ChangeId changeId;
    std::string team;
    Offset offset;
    /// `None` if the change came into force, otherwise `VersionConflict` or `InvalidDocument` with the remedy.
    Error error;

    bool isInForce() const { return this->error.kind == ErrorKind::None; }
};

/// A document in force with its version.
struct VersionedDocument {
    Document document;
    Version version;
    ChangeId changeId;
    std::string text;
};

/// Access rights of a key.
struct KeyGrant {
    KeyId key;
    WorkspaceId workspace;
    TeamId team;
    KeyEntry::State state = KeyEntry::State::Granted;
};

/// Merged documents of all teams. Immutable; returned pointers are valid for the lifetime of the object.
class Configuration {
public:
    using Documents = std::vector<std::shared_ptr<const VersionedDocument>>;

    /// Merges documents. If two of them claim the same name, the entry of the older version is used.
    explicit Configuration(Documents documents, Version version = {});
    Configuration(const Configuration&) = delete;
    Configuration& operator=(const Configuration&) = delete;
    ~Configuration();

    /// Offset of the newest change in force.
    Version version() const;
    /// Documents in the order of team names.
    const Documents& documents() const;
    const VersionedDocument* findTeam(TeamId team) const;

    /// Looks up a key by its digest. Also finds withdrawn keys; check `state`.
    const KeyGrant* findKey(const Digest& digest) const;
    const KeyGrant* findKey(KeyId key) const;
    const WorkspaceEntry* findWorkspace(WorkspaceId workspace) const;
    /// Returns the team that declares the workspace; invalid if there is none.
    TeamId teamOf(WorkspaceId workspace) const;
    TeamId teamOf(EndpointId endpoint) const;
    const EndpointEntry* findEndpoint(EndpointId endpoint) const;
    /// Returns the engines of a team that list the model, in the order of the document.
    std::span<const EndpointId> enginesFor(TeamId team, ModelId model) const;
    const CallEntry* findCall(TeamId team, std::string_view call) const;
    const RouteEntry* findRoute(std::string_view path) const;
    /// Returns whether requests for `path` need no key.
    bool isOpen(std::string_view path) const;
    /// Returns the budget of the workspace's programs, or the default budget.
    const BudgetEntry& budgetOf(WorkspaceId workspace) const;
    const BudgetEntry* findBudget(TeamId team, std::string_view budget) const;
    /// Returns the policy of a team; for an unknown team, the baseline.
    const PolicyEntry& policyOf(TeamId team) const;

    /// Failure domains in index order, each in the most severe state that any team sets for it.
    const std::vector<DomainEntry>& domains() const;
    /// Returns the failure domain's id, which is its index; invalid if the name is unknown.
    DomainId domainId(std::string_view name) const;
    const DomainEntry* findDomain(DomainId domain) const;

private:
    struct Tables;
    std::unique_ptr<const Tables> tables;
};

using ConfigurationPointer = std::shared_ptr<const Configuration>;

/// Replicated state machine of the stream `configuration`: applies its records and provides the merged configuration.
///
/// A change comes into force if its base version is the team's current version at its position in the log, its text is
/// valid, and it claims no name that another team declares. All nodes converge to the same state, whichever way and in
/// whatever order they receive the records; the version never decreases.
class ConfigurationState {
public:
    struct Limits {
        /// Maximum size of the applied records kept for peers that are slightly behind; peers further behind get a
        /// snapshot.
        ByteCount maxHistorySize { 1 << 20 };
        /// Maximum size of the reads that are kept while an earlier one is missing. Further reads are dropped and must
        /// be repeated.
        ByteCount maxWaitingSize { 8 << 20 };
        /// Maximum number of change results kept for `resultOf`.
        std::size_t maxResults = 1024;
    };

    ConfigurationState();
    explicit ConfigurationState(Limits limits);
    ConfigurationState(const ConfigurationState&) = delete;
    ConfigurationState& operator=(const ConfigurationState&) = delete;
    ~ConfigurationState();

    /// Applies the new records of a read and returns the results of the changes that were decided.
    std::vector<ChangeResult> apply(TimePoint now, ConfigurationRead read);
    /// Applies a transfer from a peer.
    std::vector<ChangeResult> import(TimePoint now, ConfigurationTransfer transfer);
    /// Returns the data missing at a peer that has applied the stream up to `next`; a `ConfigurationSnapshot` if `next`
    /// is invalid.
    ConfigurationTransfer exportSince(TimePoint now, Offset next) const;

    /// Returns the configuration in force. Fails with `NotReady` until the end of the log was read or a peer's
    /// `ConfigurationSnapshot` was imported, and while no document is in force.
    Result<ConfigurationPointer> snapshot() const;
    /// Version of the configuration that `snapshot` returns; invalid if there is none.
    Version version() const;
    /// Returns the version of a team's document; invalid if there is none.
    Version versionOf(std::string_view team) const;
    /// Offset at which the next read of the log starts.
    Offset next() const;
    /// Offset up to which records have been applied; invalid while the state is incomplete after a gap. A node that is
    /// behind or not ready sends it to a peer, for `exportSince`.
    Offset applied() const;
    /// Time since the configuration was last known to be up to date; empty if it never was.
    std::optional<Duration> age(TimePoint now) const;
    /// Returns the result of a recent change; empty if the change has not been read or its result is no longer kept.
    std::optional<ChangeResult> resultOf(ChangeId change) const;
    /// Returns the records to append now, before the documents of the teams with home `domain` expire from the log.
    std::vector<RepublishedDocument> dueRepublications(
        TimePoint now, Duration retention, std::string_view domain) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// Returns whether a document must be republished: its newest record is at least half the retention old, or of unknown
/// age.
bool isRepublicationDue(std::optional<Duration> recordAge, Duration retention);

/// Returns an `InvalidDocument` error if `document` cannot be merged with the other teams' documents or reorders its
/// team's failure domains. The error lists each conflicting name with the team that holds it.
Status checkMerge(const Configuration& configuration, const Document& document);

// Edits, differences and descriptions

/// Each edit preserves comments and order and returns the new, valid text, or an `InvalidDocument` error.
Result<std::string> grantKey(
    const std::string& text, const std::string& key, const std::string& workspace, const Digest& digest);
Result<std::string> withdrawKey(const std::string& text, const std::string& key);
Result<std::string> setEndpointState(const std::string& text, const std::string& endpoint, EndpointEntry::State state);
Result<std::string> setDomainState(const std::string& text, const std::string& domain, DomainEntry::State state);

/// New rates and bursts of a workspace; empty values are left unchanged.
struct RateEdit {
    std::optional<RequestRate> requestRate;
    std::optional<RequestCount> requestBurst;
    std::optional<TokenRate> tokenRate;
    std::optional<TokenCount> tokenBurst;
};
Result<std::string> setRate(const std::string& text, const std::string& workspace, const RateEdit& rate);

/// One key and value of a description.
struct DescriptionRow {
    std::string section;
    std::string key;
    std::string value;

    bool operator==(const DescriptionRow&) const = default;
};

/// Returns every value of a document, defaults included.
std::vector<DescriptionRow> describe(const Document& document);
/// Returns the version, the failure domains and, for each team, its version, preset and the numbers of its entries.
std::vector<DescriptionRow> describe(const Configuration& configuration);
/// Formats rows as a human-readable table with aligned columns.
std::string toTable(std::span<const DescriptionRow> rows);

/// One difference between two documents.
struct DocumentChange {
    std::string section;
    std::string key;
    /// Empty if the value was added.
    std::optional<std::string> before;
    /// Empty if the value was removed.
    std::optional<std::string> after;

    /// Returns for example `[workspace a] request_rate: 5 -> 8`.
    std::string toString() const;
    bool operator==(const DocumentChange&) const = default;
};

/// Returns the added and changed values in the order of the new document, followed by the removed ones.
std::vector<DocumentChange> diffDocuments(const Document& before, const Document& after);

} // namespace peridotramp
