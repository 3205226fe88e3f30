#include "../service_p.h"
#include "peridotramp/scheduler.h"

using namespace peridotramp;

int main(int argumentCount, char** arguments)
{
    CLI::App app("peridot-scheduler: see docs/OPERATIONS.md");
    ServiceOptions options;
    addServiceOptions(app, options);
    CLI11_PARSE(app, argumentCount, arguments);
    configureLog(logLevelFromString(options.logLevel), "peridot-scheduler");
    std::vector<Problem> problems;
    const auto init = readSchedulerSettings(readFile(options.settings), problems);
    if (!reportProblems(options.settings, problems))
        return 2;
    if (options.checkOnly)
        return 0;
    try {
        Runtime runtime({ init.threads });
        Scheduler service(runtime, init);
        log(LogLevel::Info, "listening",
            { { "address", service.address().toString() }, { "admin", service.adminAddress().toString() } });
        runUntilDrained(runtime, service);
    } catch (const std::system_error& error) {
        log(LogLevel::Error, "cannot start", { { "reason", error.what() } });
        return 1;
    }
    return 0;
}
