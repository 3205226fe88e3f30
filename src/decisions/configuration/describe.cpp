#include "peridotramp/configuration.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <unordered_map>

namespace peridotramp {

namespace {

/// Collects the rows of one section.
class Rows {
public:
    explicit Rows(std::vector<DescriptionRow>& rows)
        : rows(rows)
    {
    }

    void begin(std::string name) { this->section = std::move(name); }

    template <typename Value> void add(std::string_view key, const Value& value)
    {
        this->rows.push_back({ this->section, std::string(key), fmt::format("{}", value) });
    }

    void addList(std::string_view key, const std::vector<std::string>& values)
    {
        this->add(key, fmt::format("{}", fmt::join(values, ", ")));
    }

private:
    std::vector<DescriptionRow>& rows;
    std::string section;
};

void describe(Rows& rows, const WorkspaceEntry& entry)
{
    rows.begin("workspace " + entry.name);
    rows.add("request_rate", entry.requestRate.value);
    rows.add("request_burst", entry.requestBurst.value);
    rows.add("token_rate", entry.tokenRate.value);
    rows.add("token_burst", entry.tokenBurst.value);
    rows.add("weight", entry.weight);
    if (!entry.budget.empty())
        rows.add("budget", entry.budget);
}

void describe(Rows& rows, const BudgetEntry& entry)
{
    rows.begin("budget " + entry.name);
    rows.add("tokens", entry.tokens.value);
    rows.add("calls", entry.calls.value);
    rows.add("wall_seconds", entry.wall.count());
    rows.add("depth", entry.depth.value);
}

void describe(Rows& rows, const KeyEntry& entry)
{
    rows.begin("key " + entry.name);
    rows.add("workspace", entry.workspaceName);
    rows.add("sha256", entry.digest.toHex());
    rows.add("state", toString(entry.state));
}

void describe(Rows& rows, const EndpointEntry& entry)
{
    rows.begin("endpoint " + entry.name);
    rows.add("domain", entry.domain);
    rows.add("address", entry.address.toString());
    rows.add("kind", toString(entry.kind));
    rows.addList("models", entry.models);
    rows.add("state", toString(entry.state));
    rows.add("fencing", toString(entry.fencing));
    rows.add("slots", entry.slots);
}

void describe(Rows& rows, const CallEntry& entry)
{
    rows.begin("call " + entry.name);
    rows.add("idempotent", entry.idempotent);
    rows.addList("endpoint", entry.endpoints);
    rows.add("deadline_ms", entry.deadline.count());
}

void describe(Rows& rows, const RouteEntry& entry)
{
    rows.begin("route " + entry.path);
    rows.add("open", entry.open);
}

void describe(Rows& rows, const DomainEntry& entry)
{
    rows.begin("domain " + entry.name);
    rows.add("state", toString(entry.state));
}

void describe(Rows& rows, const PolicyEntry& entry)
{
    rows.begin("policy");
    rows.add("preset", toString(entry.preset));
    rows.add("fairness", entry.fairness);
    rows.add("locality", entry.locality);
    rows.add("program_order", entry.programOrder);
}

template <typename Entry> void describeAll(Rows& rows, const std::vector<Entry>& entries)
{
    std::ranges::for_each(entries, [&](const auto& entry) { describe(rows, entry); });
}

std::string rowKey(const DescriptionRow& row) { return row.section + '\n' + row.key; }

std::unordered_map<std::string, std::string> valuesByRowKey(const std::vector<DescriptionRow>& rows)
{
    std::unordered_map<std::string, std::string> values;
    for (const auto& row : rows)
        values.emplace(rowKey(row), row.value);
    return values;
}

} // namespace

std::vector<DescriptionRow> describe(const Document& document)
{
    std::vector<DescriptionRow> result;
    Rows rows(result);
    rows.begin("team");
    rows.add("name", document.team.name);
    rows.addList("domains", document.team.domains);
    rows.add("home", document.team.home);
    describeAll(rows, document.domains);
    describe(rows, document.policy);
    describeAll(rows, document.workspaces);
    describeAll(rows, document.budgets);
    describeAll(rows, document.keys);
    describeAll(rows, document.endpoints);
    describeAll(rows, document.calls);
    describeAll(rows, document.routes);
    return result;
}

std::vector<DescriptionRow> describe(const Configuration& configuration)
{
    std::vector<DescriptionRow> result;
    Rows rows(result);
    rows.begin("configuration");
    rows.add("version", configuration.version().value);
    rows.add("teams", configuration.documents().size());
    describeAll(rows, configuration.domains());
    for (const auto& versioned : configuration.documents()) {
        const auto& document = versioned->document;
        const auto isGranted = [](const KeyEntry& key) { return key.state == KeyEntry::State::Granted; };
        rows.begin("team " + document.team.name);
        rows.add("version", versioned->version.value);
        rows.add("preset", toString(document.policy.preset));
        rows.add("workspaces", document.workspaces.size());
        rows.add("keys_granted", std::ranges::count_if(document.keys, isGranted));
        rows.add("keys", document.keys.size());
        rows.add("endpoints", document.endpoints.size());
        rows.add("calls", document.calls.size());
    }
    return result;
}

std::string toTable(std::span<const DescriptionRow> rows)
{
    std::size_t sectionWidth = 0;
    std::size_t keyWidth = 0;
    for (const auto& row : rows) {
        sectionWidth = std::max(sectionWidth, row.section.size());
        keyWidth = std::max(keyWidth, row.key.size());
    }
    std::string table;
    std::string_view previous;
    for (const auto& row : rows) {
        // The section's name is shown only on its first row.
        const std::string_view section = row.section == previous ? std::string_view() : std::string_view(row.section);
        table += fmt::format("{:<{}}  {:<{}}  {}\n", section, sectionWidth, row.key, keyWidth, row.value);
        previous = row.section;
    }
    return table;
}

std::string DocumentChange::toString() const
{
    const auto place = fmt::format("[{}] {}", this->section, this->key);
    if (!this->before)
        return fmt::format("{}: added {}", place, this->after.value_or(""));
    if (!this->after)
        return fmt::format("{}: removed {}", place, *this->before);
    return fmt::format("{}: {} -> {}", place, *this->before, *this->after);
}

std::vector<DocumentChange> diffDocuments(const Document& before, const Document& after)
{
    const auto oldRows = describe(before);
    const auto newRows = describe(after);
    const auto oldValues = valuesByRowKey(oldRows);
    const auto newValues = valuesByRowKey(newRows);
    std::vector<DocumentChange> changes;
    for (const auto& row : newRows) {
        const auto old = oldValues.find(rowKey(row));
        if (old == oldValues.end())
            changes.push_back({ row.section, row.key, std::nullopt, row.value });
        else if (old->second != row.value)
            changes.push_back({ row.section, row.key, old->second, row.value });
    }
    for (const auto& row : oldRows) {
        if (!newValues.contains(rowKey(row)))
            changes.push_back({ row.section, row.key, row.value, std::nullopt });
    }
    return changes;
}

} // namespace peridotramp
