#include "script.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace client {

namespace json = boost::json;

namespace {

constexpr std::size_t maxDepth = 8;

Error scriptError(const std::string& place, std::string_view remedy)
{
    return { ErrorKind::InvalidRequest, Outcome::NotRun, fmt::format("{}: {}", place, remedy) };
}

std::string textOf(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(json::string_view(key.data(), key.size()));
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

Result<Step> pauseFrom(const json::value& value, const std::string& place)
{
    if (value.is_int64() && value.as_int64() >= 0)
        return Step { PauseStep { Milliseconds(value.as_int64()), Milliseconds(value.as_int64()) } };
    if (value.is_array() && value.as_array().size() == 2) {
        const auto& bounds = value.as_array();
        const auto areNumbers = bounds[0].is_int64() && bounds[1].is_int64();
        if (areNumbers && bounds[0].as_int64() >= 0 && bounds[1].as_int64() >= bounds[0].as_int64())
            return Step { PauseStep { Milliseconds(bounds[0].as_int64()), Milliseconds(bounds[1].as_int64()) } };
    }
    return scriptError(place, "pause_ms is a number of milliseconds or [min, max]");
}

Result<Script> scriptFrom(const json::value& value, const std::string& place, std::size_t depth);

Result<Step> childrenFrom(const json::value& value, const std::string& place, std::size_t depth)
{
    if (!value.is_array() || value.as_array().empty())
        return scriptError(place, "children is a list of scripts");
    ChildrenStep step;
    for (const auto& item : value.as_array()) {
        auto child = scriptFrom(item, fmt::format("{}.children[{}]", place, step.children.size()), depth + 1);
        if (!child)
            return child.error();
        step.children.push_back(std::move(child.value()));
    }
    return Step { std::move(step) };
}

Result<Step> stepFrom(const json::value& value, const std::string& place, std::size_t depth)
{
    if (!value.is_object())
        return scriptError(place, "a step is an object");
    const auto& object = value.as_object();
    if (object.contains("model")) {
        ModelStep step { textOf(object, "model"), textOf(object, "input") };
        if (const auto* tokens = object.if_contains("max_tokens"); tokens != nullptr && tokens->is_int64())
            step.maxTokens = { tokens->as_int64() };
        if (const auto* stream = object.if_contains("stream"); stream != nullptr && stream->is_bool())
            step.stream = stream->as_bool();
        return Step { std::move(step) };
    }
    if (object.contains("call"))
        return Step { CallStep { textOf(object, "call"), textOf(object, "input") } };
    if (const auto* pause = object.if_contains("pause_ms"))
        return pauseFrom(*pause, place);
    if (const auto* children = object.if_contains("children"))
        return childrenFrom(*children, place, depth);
    return scriptError(place, "a step has one of the keys model, call, pause_ms and children");
}

Result<Script> scriptFrom(const json::value& value, const std::string& place, std::size_t depth)
{
    if (depth > maxDepth)
        return scriptError(place, "children are nested too deeply");
    if (!value.is_object())
        return scriptError(place, "a script is an object");
    const auto& object = value.as_object();
    const auto* steps = object.if_contains("steps");
    if (steps == nullptr || !steps->is_array())
        return scriptError(place, "a script has a list of steps");
    Script script { textOf(object, "name"), textOf(object, "budget"), {} };
    for (const auto& item : steps->as_array()) {
        auto step = stepFrom(item, fmt::format("{}.steps[{}]", place, script.steps.size()), depth);
        if (!step)
            return step.error();
        script.steps.push_back(std::move(step.value()));
    }
    return script;
}

} // namespace

Result<Script> parseScript(const std::string& text)
{
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    if (error)
        return scriptError("script", "the text is not JSON: " + error.message());
    return scriptFrom(value, "script", 0);
}

std::string expandInput(const std::string& input, std::size_t program)
{
    return boost::replace_all_copy(input, "{n}", std::to_string(program));
}

} // namespace client
