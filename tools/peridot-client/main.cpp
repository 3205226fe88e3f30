#include "runner.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

using namespace client;

namespace {

struct Arguments {
    std::vector<std::string> scripts;
    std::vector<std::string> gateways;
    std::string keyFile;
    std::string keyVariable;
    std::size_t programs = 1;
    std::size_t concurrency = 1;
    std::uint64_t seed = 1;
    std::int64_t deadlineMs = 30'000;
    std::int64_t stepTimeoutMs = 120'000;
};

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw CLI::ValidationError(path + " cannot be read");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string keyOf(const Arguments& arguments)
{
    std::string key;
    if (!arguments.keyFile.empty()) {
        key = readFile(arguments.keyFile);
    } else if (const auto* value = std::getenv(arguments.keyVariable.c_str()); value != nullptr) {
        key = value;
    }
    const auto last = key.find_last_not_of(" \t\r\n");
    key.erase(last == std::string::npos ? 0 : last + 1);
    if (key.empty())
        throw CLI::ValidationError("there is no key; name a file with --key-file or a variable with --key-variable");
    return key;
}

std::vector<Script> scriptsOf(const Arguments& arguments)
{
    std::vector<Script> scripts;
    for (const auto& path : arguments.scripts) {
        auto script = parseScript(readFile(path));
        if (!script)
            throw CLI::ValidationError(path + ": " + script.error().message());
        scripts.push_back(std::move(script.value()));
    }
    return scripts;
}

CallerInit initOf(const Arguments& arguments)
{
    CallerInit init;
    for (const auto& text : arguments.gateways) {
        const auto address = Address::parse(text);
        if (!address)
            throw CLI::ValidationError(text + " is not HOST:PORT");
        init.gateways.push_back(*address);
    }
    init.key = keyOf(arguments);
    init.deadline = Milliseconds(arguments.deadlineMs);
    init.stepTimeout = Milliseconds(arguments.stepTimeoutMs);
    return init;
}

// Runs all programs and returns whether each of them completed.
bool runAll(Caller& caller, const std::vector<Script>& scripts, const Arguments& arguments)
{
    std::atomic<std::size_t> next = 0;
    std::atomic<bool> allCompleted = true;
    std::mutex output;
    const auto work = [&] {
        for (auto number = next++; number < arguments.programs; number = next++) {
            const auto seed = hashBytes(std::to_string(number), arguments.seed);
            const auto report = runProgram(caller, scripts[number % scripts.size()], number, seed);
            if (report.outcome != "completed")
                allCompleted = false;
            const std::scoped_lock lock(output);
            std::cout << report.toJson() << std::endl;
        }
    };
    std::vector<std::jthread> workers;
    const auto count = std::min(arguments.concurrency, arguments.programs);
    std::generate_n(std::back_inserter(workers), count, [&] { return std::jthread(work); });
    workers.clear();
    return allCompleted;
}

} // namespace

/// Exit status: 0 when every program completed, 1 when one did not, 2 for invalid arguments.
int main(int argc, char** argv)
{
    CLI::App app("Runs program scripts against gateways and prints one line of JSON for each program");
    Arguments arguments;
    app.add_option("--script", arguments.scripts, "Script in JSON; several are run in rotation")->required();
    app.add_option("--gateway", arguments.gateways, "Address HOST:PORT of a gateway; requests are spread over several")
        ->required();
    app.add_option("--key-file", arguments.keyFile, "File that holds the key");
    app.add_option("--key-variable", arguments.keyVariable, "Environment variable that holds the key");
    app.add_option("--programs", arguments.programs, "Number of programs");
    app.add_option("--concurrency", arguments.concurrency, "Number of programs that run at once")
        ->check(CLI::Range(1, 1000));
    app.add_option("--seed", arguments.seed, "Seed of pauses and gateway choice");
    app.add_option("--deadline-ms", arguments.deadlineMs, "Deadline of each call")->check(CLI::Range(1, 3'600'000));
    app.add_option("--patience-ms", arguments.stepTimeoutMs, "Timeout of a step, retries included");
    std::vector<Script> scripts;
    CallerInit init;
    try {
        app.parse(argc, argv);
        scripts = scriptsOf(arguments);
        init = initOf(arguments);
    } catch (const CLI::ParseError& error) {
        const auto status = app.exit(error);
        return status == 0 ? 0 : 2;
    }
    configureLog(LogLevel::Info, "peridot-client");
    Runtime runtime;
    runtime.start();
    Caller caller(runtime, std::move(init));
    return runAll(caller, scripts, arguments) ? 0 : 1;
}
