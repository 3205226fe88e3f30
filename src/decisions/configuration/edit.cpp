#include "peridotramp/configuration.h"

#include "ini_p.h"

#include <algorithm>
#include <fmt/format.h>

namespace peridotramp {

namespace {

Error invalid(std::string detail) { return { ErrorKind::InvalidDocument, Outcome::NotRun, std::move(detail) }; }

/// Edits the lines of a document, which preserves comments and order.
class TextEditor {
public:
    explicit TextEditor(const std::string& text)
        : lines(linesOf(text))
    {
    }

    bool hasSection(const std::string& name) const { return this->find(name) != this->lines.end(); }

    void addSection(const std::string& name)
    {
        if (!this->lines.empty() && !trimmed(this->lines.back()).empty())
            this->lines.emplace_back();
        this->lines.push_back(fmt::format("[{}]", name));
    }

    /// Sets a key of a section, which must exist.
    void set(const std::string& section, const std::string& key, const std::string& value)
    {
        auto line = fmt::format("{} = {}", key, value);
        const auto begin = std::next(this->find(section));
        const auto end = std::find_if(begin, this->lines.end(), [](const auto& text) { return isHeader(text); });
        const auto known = std::find_if(begin, end, [&](const auto& text) { return keyOf(text) == key; });
        if (known != end) {
            *known = std::move(line);
            return;
        }
        // A new key is inserted after the last one, before blank lines and comments that belong to the next section.
        auto place = end;
        while (place != begin && !keyOf(*std::prev(place)))
            --place;
        this->lines.insert(place, std::move(line));
    }

    /// Returns the text if it parses.
    Result<std::string> finish() const
    {
        auto text = joinLines(this->lines);
        const auto parsed = parseDocument(text);
        if (!parsed)
            return parsed.error();
        return text;
    }

private:
    using Lines = std::vector<std::string>;

    static bool isHeader(const std::string& line) { return headerOf(line).has_value(); }

    Lines::const_iterator find(const std::string& section) const
    {
        return std::ranges::find_if(this->lines, [&](const auto& line) { return headerOf(line) == section; });
    }

    Lines::iterator find(const std::string& section)
    {
        return std::ranges::find_if(this->lines, [&](const auto& line) { return headerOf(line) == section; });
    }

    Lines lines;
};

Result<std::string> setValue(
    const std::string& text, const std::string& section, const std::string& key, const std::string& value)
{
    TextEditor editor(text);
    if (!editor.hasSection(section))
        return invalid(fmt::format("the document has no section [{}]; correct the name or add the section", section));
    editor.set(section, key, value);
    return editor.finish();
}

std::string numberText(double value) { return fmt::format("{}", value); }

} // namespace

Result<std::string> grantKey(
    const std::string& text, const std::string& key, const std::string& workspace, const Digest& digest)
{
    const auto section = "key " + key;
    TextEditor editor(text);
    if (editor.hasSection(section))
        return invalid(fmt::format("[{}] exists; choose another name for the new key", section));
    editor.addSection(section);
    editor.set(section, "workspace", workspace);
    editor.set(section, "sha256", digest.toHex());
    editor.set(section, "state", std::string(toString(KeyEntry::State::Granted)));
    return editor.finish();
}

Result<std::string> withdrawKey(const std::string& text, const std::string& key)
{
    return setValue(text, "key " + key, "state", std::string(toString(KeyEntry::State::Withdrawn)));
}

Result<std::string> setEndpointState(const std::string& text, const std::string& endpoint, EndpointEntry::State state)
{
    return setValue(text, "endpoint " + endpoint, "state", std::string(toString(state)));
}

Result<std::string> setDomainState(const std::string& text, const std::string& domain, DomainEntry::State state)
{
    const auto section = "domain " + domain;
    TextEditor editor(text);
    if (!editor.hasSection(section))
        editor.addSection(section);
    editor.set(section, "state", std::string(toString(state)));
    return editor.finish();
}

Result<std::string> setRate(const std::string& text, const std::string& workspace, const RateEdit& rate)
{
    const auto section = "workspace " + workspace;
    TextEditor editor(text);
    if (!editor.hasSection(section))
        return invalid(fmt::format("the document has no section [{}]; correct the name or add the section", section));
    if (rate.requestRate)
        editor.set(section, "request_rate", numberText(rate.requestRate->value));
    if (rate.requestBurst)
        editor.set(section, "request_burst", std::to_string(rate.requestBurst->value));
    if (rate.tokenRate)
        editor.set(section, "token_rate", numberText(rate.tokenRate->value));
    if (rate.tokenBurst)
        editor.set(section, "token_burst", std::to_string(rate.tokenBurst->value));
    return editor.finish();
}

} // namespace peridotramp
