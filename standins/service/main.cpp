#include "../standin.h"

using namespace standin;

namespace {

struct Faults {
    std::string mode = "none";
    Milliseconds slowDelay { 1000 };
    // Names of the affected calls; empty for all.
    std::set<std::string> names {};
    // Number of requests that are still affected; negative for no limit.
    std::int64_t remainingRequests = -1;
};

/// Number of executions of one call id.
struct Execution {
    std::string name;
    std::int64_t count = 0;
};

using Executions = std::map<std::string, Execution>;

const std::set<std::string> modes { "none", "hang", "slow", "execute_then_close", "close", "status_500" };

class Service {
public:
    explicit Service(StandIn& process)
        : process(process)
    {
        process.options().add_option("--latency-ms", this->latencyMs, "Duration of a call");
    }

    void serve(const HttpRequest& request, const HttpExchange& exchange)
    {
        constexpr std::string_view prefix = "/call/";
        if (request.method != "POST" || !request.path().starts_with(prefix))
            return exchange.respond(errorResponse(404, "use POST /call/NAME"));
        const auto callId = request.header("Call-Id");
        if (!callId)
            return exchange.respond(errorResponse(400, "the header Call-Id is required"));
        const std::string name(request.path().substr(prefix.size()));
        const auto fault = this->nextFault(name);
        if (fault.mode == "close")
            return exchange.abort();
        if (fault.mode == "status_500")
            return exchange.respond(errorResponse(500, "the service failed before executing the call"));
        this->recordExecution(std::string(*callId), name);
        if (fault.mode == "hang")
            return;
        if (fault.mode == "execute_then_close")
            return exchange.abort();
        const auto latency = Milliseconds(this->latencyMs) + (fault.mode == "slow" ? fault.slowDelay : Milliseconds(0));
        const auto response = this->makeResponse(name, request.body);
        this->process.eventLoop().after(latency, [exchange, response] { exchange.respond(response); });
    }

    void reportState(json::object& object)
    {
        json::object executionCounts;
        json::object executionsByCall;
        json::object executionsByName;
        std::int64_t repeatedCalls = 0;
        this->executions.forEach([&](const Executions& shard) {
            for (const auto& [callId, execution] : shard) {
                executionCounts[callId] = execution.count;
                executionsByCall[callId] = json::object { { "name", execution.name }, { "count", execution.count } };
                executionsByName[execution.name] = integerField(executionsByName, execution.name, 0) + execution.count;
                repeatedCalls += execution.count > 1 ? 1 : 0;
            }
        });
        object["executions"] = std::move(executionCounts);
        object["executions_by_call"] = std::move(executionsByCall);
        object["executions_by_name"] = std::move(executionsByName);
        object["repeated_calls"] = repeatedCalls;
    }

    void setFaults(const json::object& object)
    {
        this->faults.with(0, [&](Faults& current) {
            const auto mode = stringField(object, "mode", current.mode);
            if (modes.contains(mode))
                current.mode = mode;
            current.slowDelay = Milliseconds(integerField(object, "slow_ms", current.slowDelay.count()));
            current.remainingRequests = integerField(object, "count", -1);
            current.names = stringSetField(object, "names");
        });
    }

private:
    // Returns the fault that affects this request and counts the request against the fault.
    Faults nextFault(const std::string& name)
    {
        return this->faults.with(0, [&](Faults& current) {
            const auto applies
                = current.remainingRequests != 0 && (current.names.empty() || current.names.contains(name));
            if (!applies)
                return Faults {};
            if (current.remainingRequests > 0)
                --current.remainingRequests;
            return current;
        });
    }

    void recordExecution(const std::string& callId, const std::string& name)
    {
        this->executions.with(hashBytes(callId), [&](Executions& shard) {
            auto& execution = shard[callId];
            execution.name = name;
            ++execution.count;
        });
    }

    static HttpResponse makeResponse(const std::string& name, const std::string& body)
    {
        const auto result = fmt::format("{:016x}", hashBytes(body, hashBytes(name)));
        return objectResponse(200, { { "call", name }, { "result", result } });
    }

    StandIn& process;
    std::int64_t latencyMs = 5;
    Sharded<Executions> executions {};
    Sharded<Faults, 1> faults {};
};

} // namespace

/// Service that counts the executions of each call. Additional faults: `mode` (`none`, `hang`, `slow`,
/// `execute_then_close`, `close` or `status_500`) with `slow_ms`, `names` (affected calls) and `count` (number of
/// affected requests). A call that hangs is executed.
int main(int argc, char** argv)
{
    StandIn process("service", "Stand-in for a service");
    Service service(process);
    Hooks hooks;
    hooks.serve = [&](const HttpRequest& request, const HttpExchange& exchange) { service.serve(request, exchange); };
    hooks.reportState = [&](json::object& object) { service.reportState(object); };
    hooks.setFaults = [&](const json::object& object) { service.setFaults(object); };
    return process.run(argc, argv, std::move(hooks));
}
