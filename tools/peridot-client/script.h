#pragma once

#include "peridotramp/core.h"

#include <random>

namespace client {

using namespace peridotramp;

struct Step;

/// Description of a program.
struct Script {
    std::string name;
    /// Name of the budget; the workspace's own when empty.
    std::string budget;
    std::vector<Step> steps;
};

struct ModelStep {
    std::string model;
    std::string input;
    TokenCount maxTokens { 64 };
    bool stream = true;
};

struct CallStep {
    std::string name;
    std::string input;
};

struct PauseStep {
    Milliseconds min { 0 };
    Milliseconds max { 0 };
};

struct ChildrenStep {
    std::vector<Script> children;
};

struct Step {
    std::variant<ModelStep, CallStep, PauseStep, ChildrenStep> action;
};

/// Parses a script: `{"name","budget","steps":[...]}`, where a step is one of
/// - `{"model":"NAME","input":"...","max_tokens":N,"stream":bool}`,
/// - `{"call":"NAME","input":"..."}`,
/// - `{"pause_ms":N}` or `{"pause_ms":[MIN,MAX]}`,
/// - `{"children":[SCRIPT,...]}`, which run in parallel.
///
/// Errors: `InvalidRequest`, with the place in the script.
Result<Script> parseScript(const std::string& text);
/// Returns `input` with `{n}` replaced by the number of the program.
std::string expandInput(const std::string& input, std::size_t program);

} // namespace client
