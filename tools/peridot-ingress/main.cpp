#include "../../platform/adapter.h"
#include "../service_p.h"

#include <malloc.h>
#include <sys/stat.h>

namespace {

using namespace peridotramp;

// Larger blocks, such as bodies of requests, go back to the system as soon as they are freed.
constexpr int separateBlockBytes = 256 * 1024;
// Interval at which the settings file is checked for changes, because they may come without a SIGHUP.
constexpr Seconds settingsCheckInterval { 2 };

std::optional<IngressInit> readSettings(const std::string& file)
{
    std::vector<Problem> problems;
    auto init = readIngressSettings(readFile(file), problems);
    if (!reportProblems(file, problems))
        return std::nullopt;
    return init;
}

void reloadSettings(Ingress& ingress, const std::string& file)
{
    if (const auto init = readSettings(file))
        ingress.reload(*init);
    else
        log(LogLevel::Error, "settings not reloaded; the earlier ones stay in force", { { "file", file } });
}

void watchSettings(Runtime& runtime, Ingress& ingress, const std::string& file)
{
    runtime.onSignals({ SIGHUP }, [&ingress, file](int) { reloadSettings(ingress, file); });
    auto lastText = std::make_shared<std::string>(readFile(file));
    runtime.every(settingsCheckInterval, [&ingress, file, lastText] {
        auto text = readFile(file);
        if (text.empty() || text == *lastText)
            return;
        *lastText = std::move(text);
        reloadSettings(ingress, file);
    });
}

void serve(const IngressInit& init, const std::string& file)
{
    Runtime runtime({ init.threads });
    Ingress ingress(runtime, init, platform::formats(),
        [&init](const StoreTransport& transport) { return platform::makeStore(transport, init.maxStoreRecordBytes); });
    ingress.start();
    watchSettings(runtime, ingress, file);
    runtime.onSignals({ SIGTERM, SIGINT }, [&](int signal) {
        log(LogLevel::Info, "signal", { { "number", signal } });
        ingress.drain([&runtime] { runtime.stop(); });
    });
    runtime.onSignals({ SIGUSR1 }, [&](int) { log(LogLevel::Info, "dump", { { "state", ingress.dump() } }); });
    runtime.start();
    runtime.waitForStop();
}

} // namespace

int main(int argumentCount, char** arguments)
{
    mallopt(M_MMAP_THRESHOLD, separateBlockBytes);
    // A SIGHUP before `watchSettings` installs its handler needs no reload, because the settings are read after this.
    std::signal(SIGHUP, SIG_IGN);
    CLI::App app("peridot-ingress: HTTP front end of one instance on the platform; see docs/OPERATIONS.md");
    std::string settingsFile;
    std::string logLevel = "info";
    bool checkOnly = false;
    app.set_version_flag("--version", PERIDOTRAMP_VERSION);
    app.add_option("--settings", settingsFile, "INI settings file")
        ->required()
        ->envname(platform::settingsPathVariable)
        ->check(CLI::ExistingFile);
    app.add_option("--log-level", logLevel, "debug, info, warning or error")
        ->check(CLI::IsMember({ "debug", "info", "warning", "error" }));
    app.add_flag("--check", checkOnly, "Check the settings and exit");
    CLI11_PARSE(app, argumentCount, arguments);
    configureLog(
        logLevelFromString(logLevel), "peridot-ingress", checkOnly ? LogSink::StandardError : LogSink::StandardOutput);
    const auto init = readSettings(settingsFile);
    if (!init || checkOnly) {
        flushLog(Milliseconds(500));
        return init ? 0 : 2;
    }
    int status = 0;
    try {
        serve(*init, settingsFile);
        log(LogLevel::Info, "stopped");
    } catch (const std::system_error& error) {
        log(LogLevel::Error, "cannot start", { { "reason", error.what() } });
        status = 1;
    }
    flushLog(Milliseconds(300));
    return status;
}
