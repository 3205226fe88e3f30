#include "peridotramp/configuration.h"

#include <algorithm>
#include <cstring>
#include <unordered_map>

namespace peridotramp {

namespace {

struct DigestHash {
    // The bytes of a SHA-256 digest are uniformly distributed, so any eight of them are a good hash.
    std::size_t operator()(const Digest& digest) const noexcept
    {
        std::size_t hash = 0;
        std::memcpy(&hash, digest.bytes.data(), sizeof(hash));
        return hash;
    }
};

struct TextHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): name required by the standard library
    std::size_t operator()(std::string_view text) const noexcept { return hashBytes(text); }
};

template <typename Value> using ByText = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

template <typename Map, typename Key> const typename Map::mapped_type* findIn(const Map& map, const Key& key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

/// An entry of a document with the team that declares it.
template <typename Entry> struct Owned {
    TeamId team;
    const Entry* entry = nullptr;
};

/// Lookup tables of one team.
struct TeamTables {
    const VersionedDocument* document = nullptr;
    ByText<const CallEntry*> calls;
    ByText<const BudgetEntry*> budgets;
    std::unordered_map<ModelId, std::vector<EndpointId>> engines;
};

TeamTables makeTeamTables(const VersionedDocument& versioned)
{
    TeamTables tables { &versioned };
    const auto& document = versioned.document;
    for (const auto& call : document.calls)
        tables.calls.emplace(call.name, &call);
    for (const auto& budget : document.budgets)
        tables.budgets.emplace(budget.name, &budget);
    for (const auto& endpoint : document.endpoints) {
        for (const auto& model : endpoint.models)
            tables.engines[idFromName<ModelId>(model)].push_back(endpoint.id);
    }
    return tables;
}

void mergeDomains(std::vector<DomainEntry>& merged, const std::vector<DomainEntry>& stated)
{
    for (const auto& domain : stated) {
        const auto known = std::ranges::find(merged, domain.name, &DomainEntry::name);
        if (known == merged.end())
            merged.push_back(domain);
        else
            known->state = std::max(known->state, domain.state);
    }
}

} // namespace

struct Configuration::Tables {
    Documents documents;
    Version version;
    std::unordered_map<TeamId, TeamTables> teams;
    std::unordered_map<Digest, KeyGrant, DigestHash> keys;
    std::unordered_map<KeyId, const KeyGrant*> keysById;
    std::unordered_map<WorkspaceId, Owned<WorkspaceEntry>> workspaces;
    std::unordered_map<EndpointId, Owned<EndpointEntry>> endpoints;
    ByText<const RouteEntry*> routes;
    std::vector<DomainEntry> domains;
    PolicyEntry baseline;
    BudgetEntry defaultBudget;

    void add(const VersionedDocument& versioned);
    void addKeys(const Document& document);
};

void Configuration::Tables::add(const VersionedDocument& versioned)
{
    const auto& document = versioned.document;
    this->teams.emplace(document.team.id, makeTeamTables(versioned));
    for (const auto& workspace : document.workspaces)
        this->workspaces.try_emplace(workspace.id, document.team.id, &workspace);
    for (const auto& endpoint : document.endpoints)
        this->endpoints.try_emplace(endpoint.id, document.team.id, &endpoint);
    for (const auto& route : document.routes)
        this->routes.emplace(route.path, &route);
    this->addKeys(document);
    mergeDomains(this->domains, document.domains);
}

void Configuration::Tables::addKeys(const Document& document)
{
    for (const auto& key : document.keys) {
        // A key must never give access to the workspace of another team, even if conflicting documents were merged.
        const auto* workspace = findIn(this->workspaces, key.workspace);
        if (workspace == nullptr || workspace->team != document.team.id)
            continue;
        const KeyGrant grant { key.id, key.workspace, document.team.id, key.state };
        const auto [place, isNew] = this->keys.try_emplace(key.digest, grant);
        if (isNew)
            this->keysById.emplace(key.id, &place->second);
    }
}

Configuration::Configuration(Documents documents, Version version)
{
    auto built = std::make_unique<Tables>();
    std::ranges::sort(documents, {}, [](const auto& document) { return document->version; });
    std::size_t keyCount = 0;
    std::size_t workspaceCount = 0;
    for (const auto& document : documents) {
        keyCount += document->document.keys.size();
        workspaceCount += document->document.workspaces.size();
    }
    built->keys.reserve(keyCount);
    built->keysById.reserve(keyCount);
    built->workspaces.reserve(workspaceCount);
    for (const auto& document : documents)
        built->add(*document);
    if (!documents.empty())
        built->version = version.isValid() ? version : documents.back()->version;
    std::ranges::sort(documents, {}, [](const auto& document) { return document->document.team.name; });
    built->documents = std::move(documents);
    this->tables = std::move(built);
}

Configuration::~Configuration() = default;

Version Configuration::version() const { return this->tables->version; }

const Configuration::Documents& Configuration::documents() const { return this->tables->documents; }

const VersionedDocument* Configuration::findTeam(TeamId team) const
{
    const auto* found = findIn(this->tables->teams, team);
    return found == nullptr ? nullptr : found->document;
}

const KeyGrant* Configuration::findKey(const Digest& digest) const { return findIn(this->tables->keys, digest); }

const KeyGrant* Configuration::findKey(KeyId key) const
{
    const auto* found = findIn(this->tables->keysById, key);
    return found == nullptr ? nullptr : *found;
}

const WorkspaceEntry* Configuration::findWorkspace(WorkspaceId workspace) const
{
    const auto* found = findIn(this->tables->workspaces, workspace);
    return found == nullptr ? nullptr : found->entry;
}

TeamId Configuration::teamOf(WorkspaceId workspace) const
{
    const auto* found = findIn(this->tables->workspaces, workspace);
    return found == nullptr ? TeamId {} : found->team;
}

TeamId Configuration::teamOf(EndpointId endpoint) const
{
    const auto* found = findIn(this->tables->endpoints, endpoint);
    return found == nullptr ? TeamId {} : found->team;
}

const EndpointEntry* Configuration::findEndpoint(EndpointId endpoint) const
{
    const auto* found = findIn(this->tables->endpoints, endpoint);
    return found == nullptr ? nullptr : found->entry;
}

std::span<const EndpointId> Configuration::enginesFor(TeamId team, ModelId model) const
{
    const auto* found = findIn(this->tables->teams, team);
    const auto* engines = found == nullptr ? nullptr : findIn(found->engines, model);
    return engines == nullptr ? std::span<const EndpointId>() : std::span<const EndpointId>(*engines);
}

const CallEntry* Configuration::findCall(TeamId team, std::string_view call) const
{
    const auto* found = findIn(this->tables->teams, team);
    const auto* entry = found == nullptr ? nullptr : findIn(found->calls, call);
    return entry == nullptr ? nullptr : *entry;
}

const RouteEntry* Configuration::findRoute(std::string_view path) const
{
    const auto* found = findIn(this->tables->routes, path);
    return found == nullptr ? nullptr : *found;
}

bool Configuration::isOpen(std::string_view path) const
{
    const auto* route = this->findRoute(path);
    return route != nullptr && route->open;
}

const BudgetEntry& Configuration::budgetOf(WorkspaceId workspace) const
{
    const auto* found = findIn(this->tables->workspaces, workspace);
    const auto* budget = found == nullptr ? nullptr : this->findBudget(found->team, found->entry->budget);
    return budget == nullptr ? this->tables->defaultBudget : *budget;
}

const BudgetEntry* Configuration::findBudget(TeamId team, std::string_view budget) const
{
    const auto* found = findIn(this->tables->teams, team);
    const auto* entry = found == nullptr ? nullptr : findIn(found->budgets, budget);
    return entry == nullptr ? nullptr : *entry;
}

const PolicyEntry& Configuration::policyOf(TeamId team) const
{
    const auto* found = findIn(this->tables->teams, team);
    return found == nullptr ? this->tables->baseline : found->document->document.policy;
}

const std::vector<DomainEntry>& Configuration::domains() const { return this->tables->domains; }

DomainId Configuration::domainId(std::string_view name) const
{
    const auto& domains = this->tables->domains;
    const auto found = std::ranges::find(domains, name, &DomainEntry::name);
    return found == domains.end() ? DomainId {} : DomainId { static_cast<std::uint64_t>(found - domains.begin()) };
}

const DomainEntry* Configuration::findDomain(DomainId domain) const
{
    const auto& domains = this->tables->domains;
    return domain.value < domains.size() ? &domains[domain.value] : nullptr;
}

} // namespace peridotramp
