#pragma once

#include "peridotramp/runtime.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <set>

/// Simulated dependencies for tests and load runs. This header has the command line, fault injection and state report
/// that all of them share.
namespace standin {

using namespace peridotramp;
namespace json = boost::json;

/// Parses `text` as a JSON object; returns an empty optional if it is not one.
inline std::optional<json::object> parseObject(std::string_view text)
{
    boost::system::error_code error;
    auto value = json::parse(json::string_view(text.data(), text.size()), error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.as_object());
}

/// Returns an integer field, or `fallback` if the key is missing or its value is not an integer.
inline std::int64_t integerField(const json::object& object, std::string_view key, std::int64_t fallback)
{
    const auto* value = object.if_contains(json::string_view(key.data(), key.size()));
    if (value == nullptr || !value->is_number())
        return fallback;
    boost::system::error_code error;
    const auto number = value->to_number<std::int64_t>(error);
    return error ? fallback : number;
}

/// Returns a Boolean field, or `fallback` if the key is missing or its value is not a Boolean.
inline bool booleanField(const json::object& object, std::string_view key, bool fallback)
{
    const auto* value = object.if_contains(json::string_view(key.data(), key.size()));
    return value != nullptr && value->is_bool() ? value->as_bool() : fallback;
}

/// Returns a string field, or `fallback` if the key is missing or null. Other values are serialized as JSON.
inline std::string stringField(const json::object& object, std::string_view key, std::string fallback)
{
    const auto* value = object.if_contains(json::string_view(key.data(), key.size()));
    if (value == nullptr || value->is_null())
        return fallback;
    return value->is_string() ? std::string(value->as_string()) : json::serialize(*value);
}

/// Returns the strings of an array field; empty if the key is missing or its value is not an array.
inline std::set<std::string> stringSetField(const json::object& object, std::string_view key)
{
    std::set<std::string> strings;
    const auto* value = object.if_contains(json::string_view(key.data(), key.size()));
    if (value == nullptr || !value->is_array())
        return strings;
    for (const auto& item : value->as_array()) {
        if (item.is_string())
            strings.emplace(item.as_string());
    }
    return strings;
}

inline HttpResponse objectResponse(unsigned status, const json::object& object)
{
    return jsonResponse(status, json::serialize(object));
}

inline HttpResponse errorResponse(unsigned status, std::string_view message)
{
    return objectResponse(status, { { "error", json::string_view(message.data(), message.size()) } });
}

/// Callbacks of one kind of stand-in. `serve` is required.
struct Hooks {
    /// Handles every request other than `POST /faults` and `GET /state`.
    std::function<void(HttpRequest, HttpExchange)> serve;
    /// Called once, after the command line is parsed and before the first request.
    std::function<void()> start {};
    /// Adds fields to the response of `GET /state`.
    std::function<void(json::object&)> reportState {};
    /// Applies the object of `POST /faults`; missing keys leave their settings unchanged.
    std::function<void(const json::object&)> setFaults {};
};

/// HTTP server of one stand-in process. `POST /faults` sets these faults in every stand-in:
/// - `outage`: `none`, `silent` (requests get no response), `close` (connections are closed without a response) or
///   `refuse` (the listening socket is closed for `outage_ms`),
/// - `delay_ms`: delay before each request is handled,
/// - `cut`: values of the header `X-Client` whose requests get no response.
class StandIn {
public:
    StandIn(std::string name, const std::string& description)
        : name(std::move(name))
        , app(description)
    {
        this->app.add_option("--listen", this->listen, "Listen address HOST:PORT; port 0 selects a free port");
        this->app.add_option("--port-file", this->portFile, "File to which the bound address is written");
        this->app.add_option("--threads", this->threads, "Number of event loop threads");
    }

    /// Returns the command line parser, for options that are added before `run`.
    CLI::App& options() { return this->app; }
    /// Returns the runtime, which runs the event loop; valid from `Hooks::start` on.
    Runtime& eventLoop() { return *this->runtime; }

    /// Serves until SIGTERM or SIGINT and returns the exit status.
    int run(int argc, char** argv, Hooks standinHooks)
    {
        try {
            this->app.parse(argc, argv);
        } catch (const CLI::ParseError& error) {
            return this->app.exit(error);
        }
        configureLog(LogLevel::Info, "standin-" + this->name);
        const auto address = Address::parse(this->listen);
        if (!address) {
            log(LogLevel::Error, "the listen address is not HOST:PORT", { { "listen", this->listen } });
            return 2;
        }
        this->hooks = std::move(standinHooks);
        this->runtime = std::make_unique<Runtime>(Runtime::Init { this->threads });
        this->runtime->onSignals({ SIGTERM, SIGINT }, [this](int) { this->runtime->stop(); });
        if (this->hooks.start)
            this->hooks.start();
        try {
            this->bind(*address);
        } catch (const std::system_error& error) {
            log(LogLevel::Error, "the listen address cannot be bound", { { "error", error.what() } });
            return 2;
        }
        this->publishAddress();
        this->runtime->start();
        this->runtime->waitForStop();
        return 0;
    }

private:
    struct Faults {
        std::string outage = "none";
        Milliseconds delay { 0 };
        std::set<std::string> blockedClients {};
    };
    struct RequestStatistics {
        std::map<std::string, std::set<std::string>> headers {};
        std::int64_t requests = 0;
    };

    void bind(const Address& address)
    {
        HttpServer::Init init;
        init.listen = address;
        this->server = std::make_unique<HttpServer>(
            *this->runtime, init, [this](HttpRequest request, const HttpExchange& exchange) {
                this->handleRequest(std::move(request), exchange);
            });
        this->boundAddress = this->server->address();
    }

    void publishAddress() const
    {
        if (!this->portFile.empty()) {
            // The file is renamed into place, so that a reader never sees a partial address.
            const auto temporary = this->portFile + ".new";
            std::ofstream(temporary) << this->boundAddress.toString() << "\n";
            std::rename(temporary.c_str(), this->portFile.c_str());
        }
        std::cout << "listening " << this->boundAddress.toString() << std::endl;
    }

    void handleRequest(HttpRequest request, const HttpExchange& exchange)
    {
        if (request.path() == "/faults" && request.method == "POST")
            return this->handleFaults(request, exchange);
        if (request.path() == "/state" && request.method == "GET")
            return exchange.respond(objectResponse(200, this->state()));
        this->recordRequest(request);
        const auto client = std::string(request.header("X-Client").value_or(""));
        const auto activeFaults = this->faults.with(0, [](const Faults& current) { return current; });
        if (activeFaults.outage == "close" || activeFaults.outage == "refuse")
            return exchange.abort();
        if (activeFaults.outage != "none" || activeFaults.blockedClients.contains(client))
            return;
        if (activeFaults.delay.count() == 0)
            return this->hooks.serve(std::move(request), exchange);
        this->runtime->after(activeFaults.delay,
            [this, request = std::move(request), exchange] { this->hooks.serve(request, exchange); });
    }

    void recordRequest(const HttpRequest& request)
    {
        for (const auto& header : request.headers) {
            this->requestStatistics.with(hashBytes(header.name),
                [&](RequestStatistics& shard) { shard.headers[header.name].insert(header.value); });
        }
        this->requestStatistics.with(0, [](RequestStatistics& shard) { ++shard.requests; });
    }

    void handleFaults(const HttpRequest& request, const HttpExchange& exchange)
    {
        const auto object = parseObject(request.body);
        if (!object)
            return exchange.respond(errorResponse(400, "the request body must be a JSON object"));
        const auto outage = stringField(*object, "outage", "");
        if (!outage.empty() && !std::set<std::string> { "none", "silent", "close", "refuse" }.contains(outage))
            return exchange.respond(errorResponse(400, "outage must be none, silent, close or refuse"));
        this->faults.with(0, [&](Faults& current) {
            current.outage = outage.empty() ? current.outage : outage;
            current.delay = Milliseconds(integerField(*object, "delay_ms", current.delay.count()));
            if (object->contains("cut"))
                current.blockedClients = stringSetField(*object, "cut");
        });
        if (this->hooks.setFaults)
            this->hooks.setFaults(*object);
        exchange.respond(objectResponse(200, { { "accepted", true } }));
        if (outage == "refuse")
            this->suspendListening(Milliseconds(integerField(*object, "outage_ms", 1000)));
    }

    // Closes the listening socket for `duration`; open connections are closed at their next request.
    void suspendListening(Milliseconds duration)
    {
        this->server->stopAccepting();
        this->runtime->after(duration, [this] { this->resumeListening(); });
    }

    void resumeListening()
    {
        try {
            this->faults.with(0, [](Faults& current) { current.outage = "none"; });
            this->bind(this->boundAddress);
        } catch (const std::system_error& error) {
            log(LogLevel::Warning, "the listen address cannot be bound; trying again", { { "error", error.what() } });
            this->runtime->after(Milliseconds(50), [this] { this->resumeListening(); });
        }
    }

    json::object state()
    {
        json::object headers;
        std::int64_t requests = 0;
        this->requestStatistics.forEach([&](const RequestStatistics& shard) {
            requests += shard.requests;
            for (const auto& [header, values] : shard.headers)
                headers[header] = json::array(values.begin(), values.end());
        });
        json::object object { { "standin", this->name }, { "requests", requests }, { "headers", std::move(headers) } };
        if (this->hooks.reportState)
            this->hooks.reportState(object);
        return object;
    }

    std::string name;
    CLI::App app;
    std::string listen = "127.0.0.1:0";
    std::string portFile {};
    std::size_t threads = 2;
    Hooks hooks {};
    std::unique_ptr<Runtime> runtime {};
    std::unique_ptr<HttpServer> server {};
    Address boundAddress {};
    Sharded<Faults, 1> faults {};
    Sharded<RequestStatistics> requestStatistics {};
};

} // namespace standin
