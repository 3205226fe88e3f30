#pragma once

#include "peridotramp/core.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotramp {

std::string_view trimmed(std::string_view text);
/// Splits a text at its line ends.
std::vector<std::string> linesOf(const std::string& text);
std::string joinLines(const std::vector<std::string>& lines);
/// Returns the name in a `[NAME]` line; empty if the line is not a section header.
std::optional<std::string> headerOf(std::string_view line);
/// Returns the key of a `key = value` line; empty if the line is a comment or a header or has no key.
std::optional<std::string> keyOf(std::string_view line);

/// Parses all sections, including empty ones, and adds a problem for each line with a syntax error.
std::vector<IniSection> parseSections(const std::string& text, std::vector<Problem>& problems);

} // namespace peridotramp
