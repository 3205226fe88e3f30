#include "peridotramp/configuration.h"

#include "ini_p.h"
#include "names_p.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <map>
#include <set>

namespace peridotramp {

namespace {

// Partition ids store the index of the failure domain in 8 bits.
constexpr std::size_t maxDomains = 256;
constexpr std::size_t maxNameLength = 64;
constexpr double maxRequestRate = 1e6;
constexpr double maxTokenRate = 1e9;
constexpr std::int64_t maxRequestBurst = 10'000'000;
constexpr std::int64_t maxTokenBurst = 10'000'000'000;
constexpr std::int64_t maxProgramTokens = 10'000'000'000;
constexpr std::int64_t maxProgramCalls = 1'000'000;
constexpr std::int64_t maxWallSeconds = 2'592'000;
constexpr std::int64_t maxDepth = 64;
constexpr std::int64_t maxSlots = 65'536;
constexpr std::int64_t maxDeadlineMs = 86'400'000;
constexpr double minWeight = 0.001;
constexpr double maxWeight = 1000;

constexpr std::string_view nameRule = "use 1 to 64 letters, digits, '.', '_' or '-'";

bool isName(std::string_view name)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !name.empty() && name.size() <= maxNameLength && name.find_first_not_of(allowed) == std::string_view::npos;
}

bool isIpAddress(const std::string& host)
{
    in6_addr parsed {};
    return inet_pton(AF_INET, host.c_str(), &parsed) == 1 || inet_pton(AF_INET6, host.c_str(), &parsed) == 1;
}

/// A section being parsed, with its reader and the document under construction.
struct SectionContext {
    const IniSection& section;
    /// Name after the section kind in the header, for example `a` in `[workspace a]`.
    std::string name;
    SectionReader reader;
    std::vector<Problem>& problems;
    Document& document;
};

/// Reports a missing key that has no safe default.
void require(SectionContext& context, std::string_view key, std::string_view remedy)
{
    const auto value = context.section.find(key);
    if (!value || trimmed(*value).empty())
        context.reader.reject(key, "", fmt::format("missing; {}", remedy));
}

template <typename Enum> Enum readEnum(SectionContext& context, std::string_view key, Enum fallback)
{
    const auto text = context.reader.text(key, std::string(toString(fallback)));
    const auto value = fromName<Enum>(text);
    if (!value)
        context.reader.reject(key, text, fmt::format("use one of: {}", fmt::join(namesOf<Enum>(), ", ")));
    return value.value_or(fallback);
}

void rejectRepeated(SectionContext& context, std::string_view key, const std::vector<std::string>& items)
{
    std::set<std::string_view> seen;
    for (const auto& item : items) {
        if (!seen.insert(item).second)
            context.reader.reject(key, item, "listed twice; name each one once");
    }
}

std::vector<std::string> readNames(SectionContext& context, std::string_view key)
{
    auto names = context.reader.list(key);
    for (const auto& name : names) {
        if (!isName(name))
            context.reader.reject(key, name, std::string(nameRule));
    }
    rejectRepeated(context, key, names);
    return names;
}

void readTeam(SectionContext& context)
{
    auto& team = context.document.team;
    require(context, "name", "give the team's name");
    require(context, "domains", "list the failure domains, separated by commas, in the order of their indices");
    team.name = context.reader.text("name", "");
    team.id = idFromName<TeamId>(team.name);
    if (!team.name.empty() && !isName(team.name))
        context.reader.reject("name", team.name, std::string(nameRule));
    team.domains = readNames(context, "domains");
    if (team.domains.size() > maxDomains)
        context.reader.reject("domains", fmt::format("{} names", team.domains.size()),
            fmt::format("list at most {} failure domains", maxDomains));
    const auto first = team.domains.empty() ? std::string() : team.domains.front();
    team.home = context.reader.text("home", first);
    if (team.home != first && std::ranges::find(team.domains, team.home) == team.domains.end())
        context.reader.reject("home", team.home, "not listed in 'domains'; add it there or name a listed one");
}

void readWorkspace(SectionContext& context)
{
    auto& reader = context.reader;
    require(context, "request_rate", "state the requests per second that the workspace is granted");
    require(context, "token_rate", "state the tokens per second that the workspace is granted");
    WorkspaceEntry entry { idFromName<WorkspaceId>(context.name), context.name };
    entry.requestRate.value = reader.number("request_rate", 0, 0, maxRequestRate);
    entry.tokenRate.value = reader.number("token_rate", 0, 0, maxTokenRate);
    // The default burst is the rate times one second.
    const auto requestBurst = std::max<std::int64_t>(1, static_cast<std::int64_t>(entry.requestRate.value));
    const auto tokenBurst = std::max<std::int64_t>(1, static_cast<std::int64_t>(entry.tokenRate.value));
    entry.requestBurst.value = reader.integer("request_burst", requestBurst, 1, maxRequestBurst);
    entry.tokenBurst.value = reader.integer("token_burst", tokenBurst, 1, maxTokenBurst);
    entry.weight = reader.number("weight", 1, minWeight, maxWeight);
    entry.budget = reader.text("budget", "");
    context.document.workspaces.push_back(std::move(entry));
}

void readBudget(SectionContext& context)
{
    BudgetEntry entry { context.name };
    auto& reader = context.reader;
    entry.tokens.value = reader.integer("tokens", entry.tokens.value, 1, maxProgramTokens);
    entry.calls.value = reader.integer("calls", entry.calls.value, 1, maxProgramCalls);
    entry.wall = Seconds(reader.integer("wall_seconds", entry.wall.count(), 1, maxWallSeconds));
    entry.depth.value = reader.integer("depth", entry.depth.value, 0, maxDepth);
    context.document.budgets.push_back(std::move(entry));
}

void readKey(SectionContext& context)
{
    require(context, "workspace", "name the [workspace] that the key gives access to");
    require(context, "sha256", "give the SHA-256 of the key as 64 hexadecimal digits, never the key itself");
    KeyEntry entry;
    entry.name = context.name;
    entry.workspaceName = context.reader.text("workspace", "");
    entry.workspace = idFromName<WorkspaceId>(entry.workspaceName);
    const auto digits = context.reader.text("sha256", "");
    const auto digest = Digest::fromHex(digits);
    // The message must not contain the value, which may be the key itself by mistake.
    if (!digits.empty() && !digest)
        context.reader.reject("sha256", "(hidden)", "use 64 hexadecimal digits, as sha256sum prints them");
    entry.digest = digest.value_or(Digest {});
    entry.state = readEnum(context, "state", KeyEntry::State::Granted);
    context.document.keys.push_back(std::move(entry));
}

void readEndpoint(SectionContext& context)
{
    auto& reader = context.reader;
    require(context, "domain", "name a failure domain that [team] lists");
    EndpointEntry entry;
    entry.id = idFromName<EndpointId>(context.name);
    entry.name = context.name;
    entry.domain = reader.text("domain", "");
    entry.address = reader.address("address", std::nullopt);
    if (!entry.address.host.empty() && (!isIpAddress(entry.address.host) || entry.address.port == 0))
        reader.reject("address", entry.address.toString(), "use an IP address and a port from 1 to 65535");
    entry.kind = readEnum(context, "kind", EndpointEntry::Kind::Engine);
    entry.models = readNames(context, "models");
    const bool isEngine = entry.kind == EndpointEntry::Kind::Engine;
    if (isEngine && entry.models.empty())
        reader.reject("models", "", "missing; list the models that the engine serves");
    if (!isEngine && !entry.models.empty())
        reader.reject("models", fmt::format("{}", fmt::join(entry.models, ", ")),
            "a service has no models; remove the key or set kind = engine");
    entry.state = readEnum(context, "state", EndpointEntry::State::In);
    entry.fencing = readEnum(context, "fencing", EndpointEntry::Fencing::Ignored);
    entry.slots = reader.integer("slots", 1, 1, maxSlots);
    context.document.endpoints.push_back(std::move(entry));
}

void readCall(SectionContext& context)
{
    require(context, "endpoint", "list the service endpoints that serve the call");
    CallEntry entry { context.name };
    entry.idempotent = context.reader.flag("idempotent", false);
    entry.endpoints = readNames(context, "endpoint");
    entry.deadline = Milliseconds(context.reader.integer("deadline_ms", entry.deadline.count(), 1, maxDeadlineMs));
    context.document.calls.push_back(std::move(entry));
}

void readRoute(SectionContext& context)
{
    context.document.routes.push_back({ context.name, context.reader.flag("open", false) });
}

void readPolicy(SectionContext& context)
{
    auto& policy = context.document.policy;
    auto& reader = context.reader;
    require(context, "preset", "use one of: baseline, kalahari, longgrass");
    policy = PolicyEntry::of(readEnum(context, "preset", PolicyEntry::Preset::Baseline));
    policy.fairness = reader.number("fairness", policy.fairness, 0, maxWeight);
    policy.locality = reader.number("locality", policy.locality, 0, maxWeight);
    policy.programOrder = reader.number("program_order", policy.programOrder, 0, maxWeight);
}

void readDomain(SectionContext& context)
{
    context.document.domains.push_back({ context.name, readEnum(context, "state", DomainEntry::State::In) });
}

struct SectionKind {
    std::string_view name;
    bool isNamed;
    void (*read)(SectionContext&);
};

constexpr std::array<SectionKind, 9> sectionKinds { {
    { "team", false, readTeam },
    { "workspace", true, readWorkspace },
    { "budget", true, readBudget },
    { "key", true, readKey },
    { "endpoint", true, readEndpoint },
    { "call", true, readCall },
    { "route", true, readRoute },
    { "policy", false, readPolicy },
    { "domain", true, readDomain },
} };

bool isValidSectionName(const SectionKind& kind, std::string_view name)
{
    if (!kind.isNamed)
        return name.empty();
    if (kind.name == "route")
        return name.starts_with('/') && name.find_first_of(" \t?#") == std::string_view::npos;
    return isName(name);
}

std::string sectionNameRule(const SectionKind& kind)
{
    if (!kind.isNamed)
        return fmt::format("write [{}] without a name", kind.name);
    if (kind.name == "route")
        return "write [route PATH] with a path that begins with '/' and has no blanks, '?' or '#'";
    return fmt::format("write [{} NAME]; for the name {}", kind.name, nameRule);
}

void readSection(const IniSection& section, Document& document, std::vector<Problem>& problems)
{
    const auto blank = std::min(section.name.find(' '), section.name.size());
    const auto kindName = std::string_view(section.name).substr(0, blank);
    const auto name = trimmed(std::string_view(section.name).substr(blank));
    const auto kind = std::ranges::find(sectionKinds, kindName, &SectionKind::name);
    if (kind == sectionKinds.end()) {
        const auto names = sectionKinds | std::views::transform(&SectionKind::name);
        problems.push_back(
            { section.name, "", "", fmt::format("unknown section; use one of: {}", fmt::join(names, ", ")) });
        return;
    }
    // With extra blanks in the header, the same name could be declared twice.
    const auto plainHeader = kind->isNamed ? fmt::format("{} {}", kindName, name) : std::string(kindName);
    if (!isValidSectionName(*kind, name) || section.name != plainHeader)
        problems.push_back({ section.name, "", "", sectionNameRule(*kind) });
    SectionContext context { section, std::string(name), SectionReader(section, problems), problems, document };
    kind->read(context);
    context.reader.rejectUnknownKeys();
}

// References between sections

class ReferenceCheck {
public:
    ReferenceCheck(const Document& document, std::vector<Problem>& problems)
        : document(document)
        , problems(problems)
    {
    }

    void run()
    {
        std::ranges::for_each(this->document.workspaces, [&](const auto& entry) { this->check(entry); });
        std::ranges::for_each(this->document.keys, [&](const auto& entry) { this->check(entry); });
        std::ranges::for_each(this->document.endpoints, [&](const auto& entry) { this->check(entry); });
        std::ranges::for_each(this->document.calls, [&](const auto& entry) { this->check(entry); });
        std::ranges::for_each(this->document.domains, [&](const auto& entry) { this->check(entry); });
    }

private:
    template <typename Entry> static bool declares(const std::vector<Entry>& entries, const std::string& name)
    {
        return std::ranges::find(entries, name, &Entry::name) != entries.end();
    }

    bool listsDomain(const std::string& name) const
    {
        return std::ranges::find(this->document.team.domains, name) != this->document.team.domains.end();
    }

    void report(std::string section, std::string key, std::string value, std::string remedy)
    {
        this->problems.push_back({ std::move(section), std::move(key), std::move(value), std::move(remedy) });
    }

    void check(const WorkspaceEntry& entry)
    {
        if (!entry.budget.empty() && !declares(this->document.budgets, entry.budget))
            this->report("workspace " + entry.name, "budget", entry.budget,
                "no such budget; add the [budget] section or correct the name");
    }

    void check(const KeyEntry& entry)
    {
        if (!entry.workspaceName.empty() && !declares(this->document.workspaces, entry.workspaceName))
            this->report("key " + entry.name, "workspace", entry.workspaceName,
                "no such workspace; add the [workspace] section or correct the name");
        if (entry.digest == Digest {})
            return;
        const auto [first, isNew] = this->keyByDigest.emplace(entry.digest, entry.name);
        if (!isNew)
            this->report("key " + entry.name, "sha256", entry.digest.toHex(),
                fmt::format("[key {}] has the same digest; make a new key or remove one section", first->second));
    }

    void check(const EndpointEntry& entry)
    {
        if (!entry.domain.empty() && !this->listsDomain(entry.domain))
            this->report("endpoint " + entry.name, "domain", entry.domain,
                "no such failure domain; add it to 'domains' of [team] or correct the name");
        if (entry.address.host.empty())
            return;
        const auto [first, isNew] = this->endpointByAddress.emplace(entry.address, entry.name);
        if (!isNew)
            this->report("endpoint " + entry.name, "address", entry.address.toString(),
                fmt::format("[endpoint {}] has the same address; correct one of them", first->second));
    }

    void check(const CallEntry& entry)
    {
        for (const auto& name : entry.endpoints) {
            const auto found = std::ranges::find(this->document.endpoints, name, &EndpointEntry::name);
            if (found == this->document.endpoints.end())
                this->report("call " + entry.name, "endpoint", name,
                    "no such endpoint; add the [endpoint] section or correct the name");
            else if (found->kind != EndpointEntry::Kind::Service)
                this->report("call " + entry.name, "endpoint", name,
                    "the endpoint is an engine; name a service or set kind = service");
        }
    }

    void check(const DomainEntry& entry)
    {
        if (!this->listsDomain(entry.name))
            this->report("domain " + entry.name, "", "",
                "no such failure domain; add it to 'domains' of [team] or remove the section");
    }

    const Document& document;
    std::vector<Problem>& problems;
    std::map<Digest, std::string> keyByDigest;
    std::map<Address, std::string> endpointByAddress;
};

/// Puts the failure domains in index order and adds those that have no section of their own.
void completeDomains(Document& document)
{
    std::vector<DomainEntry> ordered;
    for (const auto& name : document.team.domains) {
        const auto stated = std::ranges::find(document.domains, name, &DomainEntry::name);
        ordered.push_back(stated == document.domains.end() ? DomainEntry { name } : *stated);
    }
    document.domains = std::move(ordered);
}

} // namespace

Error ParsedDocument::error() const
{
    const auto texts = this->problems | std::views::transform(&Problem::toString);
    return { ErrorKind::InvalidDocument, Outcome::NotRun, fmt::format("{}", fmt::join(texts, "; ")) };
}

ParsedDocument parseDocument(const std::string& text)
{
    Document document;
    std::vector<Problem> problems;
    const auto sections = parseSections(text, problems);
    for (const auto& section : sections)
        readSection(section, document, problems);
    if (std::ranges::find(sections, "team", &IniSection::name) == sections.end())
        problems.push_back({ "team", "", "", "missing; add a [team] section with 'name' and 'domains'" });
    ReferenceCheck(document, problems).run();
    completeDomains(document);
    for (auto& key : document.keys)
        key.id = keyIdOf(document.team.name, key.name);
    if (!problems.empty())
        return { std::nullopt, std::move(problems) };
    return { std::move(document), {} };
}

} // namespace peridotramp
