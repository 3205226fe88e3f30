#pragma once

#include "fixture.h"
#include "peridotramp/configuration.h"
#include "peridotramp/programs.h"

#include <future>

namespace processes {

/// A log, two engines, a service, schedulers and a gateway, all as processes of the build.
class Fleet {
public:
    static constexpr const char* key = "secret-key-of-the-test-workspace";

    /// Starts a scheduler for each entry of `domains`, puts a document into force and waits until the gateway is ready.
    explicit Fleet(const std::vector<std::string>& domains);

    /// A program as its caller follows it.
    struct Program {
        std::string id;
        std::int64_t turn = 0;
        std::string digest;
    };

    /// Starts a further scheduler and returns it.
    Server& addScheduler(const std::string& name, const std::string& domain);
    /// Puts a node on the platform's instance list or takes it off.
    void list(const std::string& name, const Server& scheduler, bool isLive);

    Program begin();
    /// Runs a call as the program's next turn and moves the program on when it completed.
    Fetcher::Answer call(Program& program, const std::string& kind, const std::string& target,
        const std::string& idempotencyKey, Milliseconds deadline, const std::string& input = "input");
    std::future<Fetcher::Answer> callLater(Program program, const std::string& kind, const std::string& target,
        const std::string& idempotencyKey, Milliseconds deadline);
    /// Returns the scheduler that owns the program's partition.
    Server& ownerOf(const Program& program);
    /// Returns how often the service executed calls, and the most executions of one call.
    std::pair<std::int64_t, std::int64_t> executions();
    int operate(std::vector<std::string> arguments);
    void setFaults(const Server& server, const std::string& faults);
    Fetcher::Answer post(const std::string& target, const std::string& body, std::vector<HttpHeader> headers = {});
    /// Returns all that the processes wrote and show, to search it for secrets.
    std::string everythingVisible();

    TemporaryFolder folder {};
    Fetcher http {};
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

/// Returns the kind and the outcome of an error answer, as `KIND/OUTCOME`.
std::string errorOf(const Fetcher::Answer& answer);

} // namespace processes
