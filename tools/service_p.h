#pragma once

#include "peridotramp/runtime.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <iterator>

namespace peridotramp {

/// Options that every long-running binary has.
struct ServiceOptions {
    std::string settings;
    std::string logLevel = "info";
    bool checkOnly = false;
};

inline void addServiceOptions(CLI::App& app, ServiceOptions& options)
{
    app.set_version_flag("--version", PERIDOTRAMP_VERSION);
    app.add_option("--settings", options.settings, "INI settings file")->required()->check(CLI::ExistingFile);
    app.add_option("--log-level", options.logLevel, "debug, info, warning or error")
        ->check(CLI::IsMember({ "debug", "info", "warning", "error" }));
    app.add_flag("--check", options.checkOnly, "Check the settings and exit");
}

inline std::string readFile(const std::string& path)
{
    std::ifstream stream(path);
    return { std::istreambuf_iterator<char>(stream), {} };
}

/// Writes each problem to standard error and returns whether there was none.
inline bool reportProblems(const std::string& file, const std::vector<Problem>& problems)
{
    for (const auto& problem : problems)
        log(LogLevel::Error, "invalid settings", { { "file", file }, { "problem", problem.toString() } });
    return problems.empty();
}

/// Runs a service until SIGTERM or SIGINT has drained it; SIGUSR1 writes its state to standard error.
template <typename Service> void runUntilDrained(Runtime& runtime, Service& service)
{
    runtime.onSignals({ SIGTERM, SIGINT }, [&](int) { service.drain([&runtime] { runtime.stop(); }); });
    runtime.onSignals({ SIGUSR1 }, [&](int) { log(LogLevel::Info, "dump", { { "state", service.dump() } }); });
    service.start();
    runtime.start();
    runtime.waitForStop();
    log(LogLevel::Info, "stopped");
}

} // namespace peridotramp
