#pragma once

#include "peridotramp/runtime.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <iterator>

namespace peridotramp {

/// Command line options of the service binaries.
struct ServiceOptions {
    std::string settingsFile;
    std::string logLevel = "info";
    bool checkOnly = false;
    std::string portFile;
};

inline void addServiceOptions(CLI::App& app, ServiceOptions& options)
{
    app.set_version_flag("--version", PERIDOTRAMP_VERSION);
    app.add_option("--settings", options.settingsFile, "INI settings file")->required()->check(CLI::ExistingFile);
    app.add_option("--log-level", options.logLevel, "debug, info, warning or error")
        ->check(CLI::IsMember({ "debug", "info", "warning", "error" }));
    app.add_option("--port-file", options.portFile,
        "File to which the bound address is written; FILE.admin gets the admin address");
    app.add_flag("--check", options.checkOnly, "Check the settings and exit");
}

inline std::string readFile(const std::string& path)
{
    std::ifstream stream(path);
    return { std::istreambuf_iterator<char>(stream), {} };
}

/// Logs each problem and returns whether there is none.
inline bool reportProblems(const std::string& file, const std::vector<Problem>& problems)
{
    for (const auto& problem : problems)
        log(LogLevel::Error, "invalid settings", { { "file", file }, { "problem", problem.toString() } });
    return problems.empty();
}

/// Writes an address to a file atomically, so that a reader never sees a partial address.
inline void writeAddress(const std::string& file, const Address& address)
{
    const auto temporary = file + ".new";
    std::ofstream(temporary) << address.toString() << '\n';
    std::rename(temporary.c_str(), file.c_str());
}

/// Logs the bound addresses and writes them to the port files. The main file is written last, so that the others
/// exist once it does.
template <typename Service> void publishAddresses(const ServiceOptions& options, const Service& service)
{
    log(LogLevel::Info, "listening",
        { { "address", service.address().toString() }, { "admin", service.adminAddress().toString() } });
    if (options.portFile.empty())
        return;
    writeAddress(options.portFile + ".admin", service.adminAddress());
    if constexpr (requires { service.gossipAddress(); })
        writeAddress(options.portFile + ".gossip", service.gossipAddress());
    writeAddress(options.portFile, service.address());
}

/// Runs a service until SIGTERM or SIGINT has drained it; SIGUSR1 logs its state.
template <typename Service> void runUntilDrained(Runtime& runtime, Service& service)
{
    runtime.onSignals({ SIGTERM, SIGINT }, [&](int) { service.drain([&runtime] { runtime.stop(); }); });
    runtime.onSignals({ SIGUSR1 }, [&](int) { log(LogLevel::Info, "dump", { { "state", service.dump() } }); });
    service.start();
    runtime.start();
    runtime.waitForStop();
    log(LogLevel::Info, "stopped");
}

/// Runs the main program of a service: reads the settings with `readSettings`, checks them, and serves.
template <typename Service, typename ReadSettings>
int runService(const std::string& name, ReadSettings readSettings, int argumentCount, char** arguments)
{
    CLI::App app(name + ": see docs/OPERATIONS.md");
    ServiceOptions options;
    addServiceOptions(app, options);
    CLI11_PARSE(app, argumentCount, arguments);
    configureLog(logLevelFromString(options.logLevel), name);
    std::vector<Problem> problems;
    const auto init = readSettings(readFile(options.settingsFile), problems);
    if (!reportProblems(options.settingsFile, problems))
        return 2;
    if (options.checkOnly)
        return 0;
    try {
        Runtime runtime({ init.threads });
        Service service(runtime, init);
        publishAddresses(options, service);
        runUntilDrained(runtime, service);
    } catch (const std::system_error& error) {
        log(LogLevel::Error, "cannot start", { { "reason", error.what() } });
        return 1;
    }
    return 0;
}

} // namespace peridotramp
