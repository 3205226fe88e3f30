#include "../service_p.h"
#include "peridotramp/gateway.h"

using namespace peridotramp;

int main(int argumentCount, char** arguments)
{
    CLI::App app("peridot-gateway: see docs/OPERATIONS.md");
    ServiceOptions options;
    addServiceOptions(app, options);
    CLI11_PARSE(app, argumentCount, arguments);
    configureLog(logLevelFromString(options.logLevel), "peridot-gateway");
    std::vector<Problem> problems;
    const auto init = readGatewaySettings(readFile(options.settings), problems);
    if (!reportProblems(options.settings, problems))
        return 2;
    if (options.checkOnly)
        return 0;
    try {
        Runtime runtime({ init.threads });
        Gateway service(runtime, init);
        log(LogLevel::Info, "listening",
            { { "address", service.address().toString() }, { "admin", service.adminAddress().toString() } });
        runUntilDrained(runtime, service);
    } catch (const std::system_error& error) {
        log(LogLevel::Error, "cannot start", { { "reason", error.what() } });
        return 1;
    }
    return 0;
}
