#include "ini_p.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <set>
#include <sstream>

namespace peridotramp {

namespace {

constexpr std::string_view lineErrorPrefix = "line ";

/// Returns the index of the line that a syntax error refers to; empty if it concerns the text before the first section.
std::optional<std::size_t> lineIndexOf(const Error& error)
{
    if (!error.detail.starts_with(lineErrorPrefix))
        return std::nullopt;
    const auto digits = std::string_view(error.detail).substr(lineErrorPrefix.size());
    std::size_t number = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (parsed.ec != std::errc() || number == 0)
        return std::nullopt;
    return number - 1;
}

/// Returns the index of the first section header at or after `begin`.
std::size_t nextHeader(const std::vector<std::string>& lines, std::size_t begin)
{
    const auto first = lines.begin() + static_cast<std::ptrdiff_t>(std::min(begin, lines.size()));
    const auto found
        = std::find_if(first, lines.end(), [](const auto& line) { return trimmed(line).starts_with('['); });
    return static_cast<std::size_t>(found - lines.begin());
}

std::string sectionAt(const std::vector<std::string>& lines, std::size_t index)
{
    for (auto line = index + 1; line-- > 0;) {
        if (const auto header = headerOf(lines[line]))
            return *header;
    }
    return {};
}

void clearLines(std::vector<std::string>& lines, std::size_t begin, std::size_t end)
{
    for (auto index = begin; index < end; ++index)
        lines[index].clear();
}

/// Records the error and clears the lines that it concerns, so that the next attempt finds the next error. Returns
/// false if there is nothing left to clear.
bool reportAndClear(std::vector<std::string>& lines, const Error& error, std::vector<Problem>& problems)
{
    const auto index = lineIndexOf(error);
    if (!index || *index >= lines.size() || lines[*index].empty()) {
        problems.push_back({ "", "", "", error.detail });
        const auto end = nextHeader(lines, 0);
        const bool hadText = std::any_of(lines.begin(), lines.begin() + static_cast<std::ptrdiff_t>(end),
            [](const auto& line) { return !line.empty(); });
        clearLines(lines, 0, end);
        return hadText;
    }
    problems.push_back({ sectionAt(lines, *index), fmt::format("line {}", *index + 1), lines[*index],
        error.detail + "; write [SECTION] or key = value, each section and key once" });
    const bool isHeader = trimmed(lines[*index]).starts_with('[');
    clearLines(lines, *index, isHeader ? nextHeader(lines, *index + 1) : *index + 1);
    return true;
}

/// Returns the sections in the order of their headers, including those without keys, which the parser omits.
std::vector<IniSection> withEmptySections(const std::vector<std::string>& lines, std::vector<IniSection> parsed)
{
    std::vector<IniSection> sections;
    std::set<std::string> known;
    for (const auto& line : lines) {
        const auto header = headerOf(line);
        if (!header || !known.insert(*header).second)
            continue;
        const auto found = std::ranges::find(parsed, *header, &IniSection::name);
        sections.push_back(found == parsed.end() ? IniSection { *header, {} } : std::move(*found));
    }
    std::ranges::copy_if(parsed, std::back_inserter(sections),
        [&](const auto& section) { return !section.name.empty() && !known.contains(section.name); });
    return sections;
}

} // namespace

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::vector<std::string> linesOf(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(std::move(line));
    return lines;
}

std::string joinLines(const std::vector<std::string>& lines) { return fmt::format("{}\n", fmt::join(lines, "\n")); }

std::optional<std::string> headerOf(std::string_view line)
{
    const auto text = trimmed(line);
    const auto end = text.find(']');
    if (!text.starts_with('[') || end == std::string_view::npos)
        return std::nullopt;
    return std::string(trimmed(text.substr(1, end - 1)));
}

std::optional<std::string> keyOf(std::string_view line)
{
    const auto text = trimmed(line);
    const auto equals = text.find('=');
    if (text.starts_with('[') || text.starts_with(';') || text.starts_with('#') || equals == std::string_view::npos)
        return std::nullopt;
    return std::string(trimmed(text.substr(0, equals)));
}

std::vector<IniSection> parseSections(const std::string& text, std::vector<Problem>& problems)
{
    auto lines = linesOf(text);
    // Each attempt clears at least one line, so the number of lines bounds the number of attempts.
    for (;;) {
        auto parsed = parseIni(joinLines(lines));
        if (parsed)
            return withEmptySections(lines, std::move(parsed.value()));
        if (!reportAndClear(lines, parsed.error(), problems))
            return {};
    }
}

} // namespace peridotramp
