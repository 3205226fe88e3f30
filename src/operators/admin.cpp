#include "peridotramp/operators.h"

#include <fmt/format.h>
#include <future>

namespace peridotramp {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusNotAllowed = 405;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusUnavailable = 503;

HttpResponse dumpResponse(const AdminHooks& hooks, const HttpRequest& request)
{
    const auto rows = hooks.dump();
    if (request.query("format") == "json")
        return jsonResponse(statusOk, toJson(rows));
    return textResponse(statusOk, toTable(rows));
}

HttpResponse handleGet(const AdminHooks& hooks, const HttpRequest& request)
{
    const auto path = request.path();
    if (path == "/live")
        return textResponse(statusOk, "live\n");
    if (path == "/ready") {
        const auto status = hooks.status();
        return jsonResponse(status.isReady ? statusOk : statusUnavailable, toJson(status));
    }
    if (path == "/metrics")
        return textResponse(statusOk, hooks.metrics());
    if (path == "/dump")
        return dumpResponse(hooks, request);
    return textResponse(statusNotFound, "unknown path; use /live, /ready, /metrics or /dump\n");
}

HttpResponse handlePost(const AdminHooks& hooks, const HttpRequest& request)
{
    const auto path = request.path();
    if (path != "/drain" && path != "/return")
        return textResponse(statusNotFound, "unknown path; post to /drain or /return\n");
    if (!hooks.setDraining)
        return textResponse(
            statusConflict, "this process cannot be drained; send the request to a gateway or a scheduler\n");
    if (const auto done = hooks.setDraining(path == "/drain"); !done)
        return textResponse(statusConflict, done.error().message() + "\n");
    return jsonResponse(statusOk, toJson(hooks.status()));
}

HttpResponse handleRequest(const AdminHooks& hooks, const HttpRequest& request)
{
    if (request.method == "GET")
        return handleGet(hooks, request);
    if (request.method == "POST")
        return handlePost(hooks, request);
    return textResponse(statusNotAllowed, "use GET or POST\n");
}

Error connectionError(const Address& admin, const HttpResult& result)
{
    const auto outcome = result.requestWritten ? Outcome::Unknown : Outcome::NotRun;
    return { result.error, outcome, fmt::format("admin address {}", admin.toString()) };
}

Error unexpectedStatus(const Address& admin, const HttpResponse& response)
{
    return { ErrorKind::EndpointFailed, Outcome::Unknown,
        fmt::format("admin address {} answered {}: {}", admin.toString(), response.status, response.body) };
}

} // namespace

AdminServer::AdminServer(Runtime& runtime, const Address& listen, AdminHooks hooks)
    : server(runtime, HttpServer::Init { .listen = listen },
          [hooks = std::move(hooks)](const HttpRequest& request, const HttpExchange& exchange) {
              if (!hooks.serveOther || !hooks.serveOther(request, exchange))
                  exchange.respond(handleRequest(hooks, request));
          })
{
}

AdminClient::AdminClient(Runtime& runtime, Milliseconds timeout)
    : client(runtime)
    , timeout(timeout)
{
}

Result<HttpResponse> AdminClient::send(const Address& admin, HttpRequest request)
{
    using Answer = Result<HttpResponse>;
    const auto promise = std::make_shared<std::promise<Answer>>();
    auto future = promise->get_future();
    this->client.send(admin, std::move(request), { .timeout = this->timeout },
        [promise, admin](const HttpResult& result, HttpResponse response) {
            const bool isDone = result.error == ErrorKind::None;
            promise->set_value(isDone ? Answer(std::move(response)) : Answer(connectionError(admin, result)));
        });
    return future.get();
}

Result<ProcessStatus> AdminClient::status(const Address& admin)
{
    const auto response = this->send(admin, { .target = "/ready" });
    if (!response)
        return response.error();
    // A process that is not ready answers 503 with its status.
    if (response->status != statusOk && response->status != statusUnavailable)
        return unexpectedStatus(admin, *response);
    return parseStatus(response->body);
}

Result<std::string> AdminClient::dump(const Address& admin, bool asJson)
{
    const auto response = this->send(admin, { .target = asJson ? "/dump?format=json" : "/dump" });
    if (!response)
        return response.error();
    if (response->status != statusOk)
        return unexpectedStatus(admin, *response);
    return response->body;
}

Result<ProcessStatus> AdminClient::setDraining(const Address& admin, bool isDraining)
{
    const auto response = this->send(admin, { .method = "POST", .target = isDraining ? "/drain" : "/return" });
    if (!response)
        return response.error();
    // The process refused, so nothing has changed.
    if (response->status == statusConflict)
        return Error { ErrorKind::InvalidRequest, Outcome::NotRun, response->body };
    if (response->status != statusOk)
        return unexpectedStatus(admin, *response);
    return parseStatus(response->body);
}

} // namespace peridotramp
