#include "peridotramp/core.h"

#include <algorithm>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <charconv>
#include <fmt/format.h>
#include <sstream>

namespace peridotramp {

namespace {

std::string trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return std::string(text.substr(first, text.find_last_not_of(" \t") - first + 1));
}

} // namespace

std::string Address::toString() const { return fmt::format("{}:{}", this->host, this->port); }

std::optional<Address> Address::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    const auto digits = text.substr(colon + 1);
    Address address { std::string(text.substr(0, colon)), 0 };
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
        return std::nullopt;
    return address;
}

std::string Problem::toString() const
{
    return fmt::format("[{}] {} = '{}': {}", this->section, this->key, this->value, this->remedy);
}

std::optional<std::string> IniSection::find(std::string_view key) const
{
    const auto found = std::ranges::find_if(this->entries, [&](const auto& entry) { return entry.first == key; });
    if (found == this->entries.end())
        return std::nullopt;
    return found->second;
}

Result<std::vector<IniSection>> parseIni(const std::string& text)
{
    boost::property_tree::ptree tree;
    std::istringstream stream(text);
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        return Error { ErrorKind::InvalidSettings, Outcome::NotRun,
            fmt::format("line {}: {}", error.line(), error.message()) };
    }
    std::vector<IniSection> sections;
    for (const auto& [name, child] : tree) {
        // Boost.PropertyTree represents a key before the first section as a child without children.
        if (child.empty() && !child.data().empty())
            return Error { ErrorKind::InvalidSettings, Outcome::NotRun,
                fmt::format("key '{}' stands before the first [section]; move it into one", name) };
        IniSection section { name, {} };
        std::ranges::transform(child, std::back_inserter(section.entries),
            [](const auto& entry) { return std::pair(entry.first, entry.second.data()); });
        sections.push_back(std::move(section));
    }
    return sections;
}

SectionReader::SectionReader(const IniSection& section, std::vector<Problem>& problems)
    : section(section)
    , problems(problems)
{
}

std::optional<std::string> SectionReader::take(std::string_view key)
{
    this->readKeys.emplace_back(key);
    return this->section.find(key);
}

std::string SectionReader::text(std::string_view key, std::string fallback)
{
    return this->take(key).value_or(std::move(fallback));
}

std::int64_t SectionReader::integer(std::string_view key, std::int64_t fallback, std::int64_t min, std::int64_t max)
{
    const auto text = this->take(key);
    if (!text)
        return fallback;
    std::int64_t value = 0;
    const auto* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, value);
    if (parsed.ec == std::errc() && parsed.ptr == end && value >= min && value <= max)
        return value;
    this->reject(key, *text, fmt::format("use a whole number from {} to {}", min, max));
    return fallback;
}

double SectionReader::number(std::string_view key, double fallback, double min, double max)
{
    const auto text = this->take(key);
    if (!text)
        return fallback;
    double value = 0;
    const auto* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, value);
    if (parsed.ec == std::errc() && parsed.ptr == end && value >= min && value <= max)
        return value;
    this->reject(key, *text, fmt::format("use a number from {} to {}", min, max));
    return fallback;
}

bool SectionReader::flag(std::string_view key, bool fallback)
{
    const auto value = this->choice(key, fallback ? "true" : "false", { "true", "false", "yes", "no" });
    return value == "true" || value == "yes";
}

std::string SectionReader::choice(
    std::string_view key, std::string fallback, std::initializer_list<std::string_view> allowed)
{
    auto text = this->take(key);
    if (!text)
        return fallback;
    if (std::ranges::find(allowed, *text) != allowed.end())
        return *text;
    this->reject(key, *text, fmt::format("use one of: {}", fmt::join(allowed, ", ")));
    return fallback;
}

Address SectionReader::address(std::string_view key, std::optional<Address> fallback)
{
    const auto text = this->take(key);
    if (!text && fallback)
        return *fallback;
    const auto address = Address::parse(text.value_or(""));
    if (!address)
        this->reject(key, text.value_or(""), "use an address as HOST:PORT, for example 127.0.0.1:7000");
    return address.value_or(Address {});
}

std::vector<std::string> SectionReader::list(std::string_view key)
{
    std::vector<std::string> items;
    const auto text = this->take(key).value_or("");
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        if (auto trimmed = trim(item); !trimmed.empty())
            items.push_back(std::move(trimmed));
    }
    return items;
}

void SectionReader::reject(std::string_view key, std::string_view value, std::string remedy)
{
    this->problems.push_back({ this->section.name, std::string(key), std::string(value), std::move(remedy) });
}

void SectionReader::rejectUnknownKeys()
{
    for (const auto& [key, value] : this->section.entries) {
        if (std::ranges::find(this->readKeys, key) == this->readKeys.end())
            this->reject(key, value, fmt::format("unknown key; use one of: {}", fmt::join(this->readKeys, ", ")));
    }
}

} // namespace peridotramp
