#include "session_p.h"

#include "peridotramp/platform.h"

#include <future>

namespace peridotctl {

namespace {

constexpr std::size_t recordsPerRead = 256;

/// Starts an asynchronous call and blocks until its hook is called with the result.
template <typename Value>
Result<Value> awaitResult(const std::function<void(std::function<void(Result<Value>)>)>& start)
{
    const auto promise = std::make_shared<std::promise<Result<Value>>>();
    auto future = promise->get_future();
    start([promise](Result<Value> answer) { promise->set_value(std::move(answer)); });
    return future.get();
}

} // namespace

OperatorLog connectLog(Runtime& runtime, const Address& address, Milliseconds timeout)
{
    const auto client = std::make_shared<LogClient>(runtime, LogClient::Init { address, timeout, "peridotctl" });
    OperatorLog log;
    log.append = [client](AppendId id, const ConfigurationChange& change) {
        return awaitResult<Offset>([&](auto hook) {
            client->append(std::string(configurationStream), id, encodeConfiguration(change), std::move(hook));
        });
    };
    log.read = [client](Offset from) -> Result<ConfigurationRead> {
        const auto read = awaitResult<LogRead>(
            [&](auto hook) { client->read(std::string(configurationStream), from, recordsPerRead, std::move(hook)); });
        if (!read)
            return read.error();
        return toConfigurationRead(from, *read);
    };
    return log;
}

} // namespace peridotctl
