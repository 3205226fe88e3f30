#pragma once

#include "fixture.h"
#include "peridotramp/configuration.h"
#include "peridotramp/programs.h"

#include <future>

namespace processes {

/// System of separate processes: log, instance list, two engines, a service, schedulers and a gateway.
class Fleet {
public:
    static constexpr const char* apiKey = "secret-key-of-the-test-workspace";

    /// Starts a scheduler in each failure domain of `domains`, which may repeat, applies a document and waits until the
    /// gateway is ready.
    explicit Fleet(const std::vector<std::string>& domains);

    /// The caller's state of a program.
    struct Program {
        std::string id;
        std::int64_t turn = 0;
        std::string digest;
    };

    /// Starts another scheduler and returns it.
    Server& addScheduler(const std::string& name, const std::string& domain);
    /// Adds a node to the platform's instance list, or removes it.
    void updateInstanceList(const std::string& name, const Server& scheduler, bool isLive);

    /// Starts a program; retries until the gateway accepts it.
    Program startProgram();
    /// Runs a call as the program's next turn; updates `program` if the call completes.
    BlockingHttpClient::Answer call(Program& program, const std::string& kind, const std::string& target,
        const std::string& idempotencyKey, Milliseconds deadline, const std::string& input = "input");
    /// Like `call`, on another thread and without the update of the program.
    std::future<BlockingHttpClient::Answer> callAsync(Program program, const std::string& kind,
        const std::string& target, const std::string& idempotencyKey, Milliseconds deadline);
    /// Returns the scheduler that owns the program's partition.
    Server& ownerOf(const Program& program);
    /// Returns the total number of executions at the service and the maximum of a single call.
    std::pair<std::int64_t, std::int64_t> executionCounts();
    /// Runs peridotctl and returns its exit status, or -1 on timeout.
    int runPeridotctl(std::vector<std::string> arguments);
    void setFaults(const Server& server, const std::string& faults);
    BlockingHttpClient::Answer post(
        const std::string& target, const std::string& body, std::vector<HttpHeader> headers = {});
    /// Returns the output, dumps and metrics of the processes and the state of the engines and the service, to search
    /// them for secrets.
    std::string collectOutput();

    TemporaryFolder folder {};
    BlockingHttpClient http {};
    std::unique_ptr<Server> log;
    std::unique_ptr<Server> instances;
    std::vector<std::unique_ptr<Server>> engines {};
    std::unique_ptr<Server> service;
    std::vector<std::unique_ptr<Server>> schedulers {};
    std::unique_ptr<Server> gateway;

private:
    void startSchedulers(const std::vector<std::string>& domains);
    void writeDocument(const std::vector<std::string>& domains);

    std::vector<std::string> domainNames {};
    std::string seeds {};
};

/// Returns the kind and the outcome of an error response as `KIND/OUTCOME`, or `none` if it has no error.
std::string errorOf(const BlockingHttpClient::Answer& answer);

} // namespace processes
