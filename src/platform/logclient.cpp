#include "peridotramp/platform.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace peridotramp {

namespace json = boost::json;

bool LogRead::reachedTail() const
{
    return this->records.empty() || this->records.back().offset.value + 1 >= this->next.value;
}

struct LogClient::Impl {
    Impl(Runtime& runtime, Init init)
        : init(std::move(init))
        , http(runtime)
    {
    }

    Init init;
    HttpClient http;
};

namespace {

Error logUnavailable(Outcome outcome, const HttpResult& result)
{
    return { ErrorKind::LogUnavailable, outcome, fmt::format("{} (status {})", toString(result.error), result.status),
        Milliseconds(500) };
}

std::optional<json::object> parseObject(const std::string& body)
{
    boost::system::error_code error;
    const auto value = json::parse(body, error);
    if (error || !value.is_object())
        return std::nullopt;
    return value.as_object();
}

std::optional<std::uint64_t> integerField(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (!value || !value->is_number())
        return std::nullopt;
    boost::system::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    if (error)
        return std::nullopt;
    return number;
}

std::optional<LogRecord> parseRecord(const json::value& value)
{
    const auto* object = value.if_object();
    if (!object)
        return std::nullopt;
    const auto offset = integerField(*object, "offset");
    const auto* data = object->if_contains("data");
    if (!offset || !data || !data->is_string())
        return std::nullopt;
    auto bytes = fromBase64(data->as_string());
    if (!bytes)
        return std::nullopt;
    return LogRecord { Offset { *offset }, std::move(*bytes) };
}

std::optional<LogRead> parseRead(const std::string& body)
{
    const auto object = parseObject(body);
    if (!object)
        return std::nullopt;
    const auto first = integerField(*object, "first");
    const auto next = integerField(*object, "next");
    const auto* records = object->if_contains("records");
    if (!first || !next || !records || !records->is_array())
        return std::nullopt;
    LogRead read { Offset { *first }, Offset { *next }, {} };
    for (const auto& value : records->as_array()) {
        auto record = parseRecord(value);
        if (!record)
            return std::nullopt;
        read.records.push_back(std::move(*record));
    }
    return read;
}

} // namespace

LogClient::LogClient(Runtime& runtime, Init init)
    : impl(std::make_shared<Impl>(runtime, std::move(init)))
{
}

LogClient::~LogClient() = default;

void LogClient::append(const std::string& stream, AppendId id, std::string data, AppendHook hook)
{
    HttpRequest request { "POST", fmt::format("/streams/{}/records", stream),
        { { "Append-Id", fmt::to_string(id.value) }, { "X-Client", this->impl->init.client } }, std::move(data) };
    const HttpClient::Options options { this->impl->init.timeout, true };
    this->impl->http.send(this->impl->init.log, std::move(request), options,
        [hook = std::move(hook)](HttpResult result, const HttpResponse& response) {
            if (result.error != ErrorKind::None)
                return hook(logUnavailable(result.requestWritten ? Outcome::Unknown : Outcome::NotRun, result));
            if (result.status >= 400)
                return hook(logUnavailable(Outcome::NotRun, result));
            const auto object = parseObject(response.body);
            const auto offset = object ? integerField(*object, "offset") : std::nullopt;
            if (!offset)
                return hook(logUnavailable(Outcome::Unknown, result));
            hook(Offset { *offset });
        });
}

void LogClient::read(const std::string& stream, Offset from, std::size_t limit, ReadHook hook)
{
    HttpRequest request { "GET", fmt::format("/streams/{}/records?from={}&limit={}", stream, from.value, limit),
        { { "X-Client", this->impl->init.client } }, {} };
    const HttpClient::Options options { this->impl->init.timeout, true };
    this->impl->http.send(this->impl->init.log, std::move(request), options,
        [hook = std::move(hook)](HttpResult result, const HttpResponse& response) {
            auto read
                = result.error == ErrorKind::None && result.status == 200 ? parseRead(response.body) : std::nullopt;
            if (!read)
                return hook(logUnavailable(Outcome::Unknown, result));
            hook(std::move(*read));
        });
}

namespace {

std::vector<ListedInstance> parseInstances(const json::array& rows)
{
    std::vector<ListedInstance> instances;
    for (const auto& row : rows) {
        const auto* object = row.if_object();
        const auto* address = object ? object->if_contains("address") : nullptr;
        const auto parsed
            = address && address->is_string() ? Address::parse(std::string_view(address->as_string())) : std::nullopt;
        if (!parsed)
            continue;
        const auto* name = object->if_contains("name");
        const auto* state = object->if_contains("state");
        instances.push_back({ name && name->is_string() ? std::string(name->as_string()) : "", *parsed,
            state && state->is_string() && state->as_string() == "leaving" });
    }
    return instances;
}

} // namespace

void listInstances(
    HttpClient& client, const Address& list, std::function<void(Result<std::vector<ListedInstance>>)> hook)
{
    client.send(list, { "GET", "/instances", {}, {} }, { Milliseconds(2000), true },
        [hook = std::move(hook)](HttpResult result, const HttpResponse& response) {
            const auto object = result.error == ErrorKind::None ? parseObject(response.body) : std::nullopt;
            const auto* rows = object ? object->if_contains("instances") : nullptr;
            if (!rows || !rows->is_array())
                return hook(Error { ErrorKind::ConnectionFailed });
            hook(parseInstances(rows->as_array()));
        });
}

} // namespace peridotramp
