#pragma once

#include "caller.h"
#include "script.h"

namespace client {

/// Result of a program, as its caller saw it.
struct ProgramReport {
    std::size_t number = 0;
    std::string name {};
    std::string program {};
    /// `completed`, `not_run`, `unknown` or `mixed` (an answer that does not belong to its request).
    std::string outcome = "completed";
    /// Kind and place of the error; empty when the program completed.
    std::string error {};
    Milliseconds latency { 0 };
    int turns = 0;
    int children = 0;
    int retries = 0;
    int refusals = 0;

    /// Returns one line of JSON without a line end.
    std::string toJson() const;
};

/// Runs one program to its end. Blocks the calling thread; children run in threads of their own.
ProgramReport runProgram(Caller& caller, const Script& script, std::size_t number, std::uint64_t seed);

} // namespace client
