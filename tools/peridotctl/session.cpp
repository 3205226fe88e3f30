#include "session_p.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <fstream>
#include <future>
#include <iostream>
#include <iterator>

namespace peridotctl {

namespace {

constexpr std::string_view sectionName = "peridotctl";
constexpr std::int64_t maxTimeoutMs = 600'000;

Error settingsError(const std::vector<Problem>& problems)
{
    std::vector<std::string> texts;
    std::ranges::transform(problems, std::back_inserter(texts), &Problem::toString);
    return { ErrorKind::InvalidSettings, Outcome::NotRun, fmt::format("{}", fmt::join(texts, "; ")) };
}

std::vector<Address> readNodes(SectionReader& reader)
{
    std::vector<Address> nodes;
    for (const auto& item : reader.list("nodes")) {
        if (const auto address = Address::parse(item))
            nodes.push_back(*address);
        else
            reader.reject("nodes", item, "list admin addresses as HOST:PORT, separated by commas");
    }
    return nodes;
}

/// Blocks the calling thread until the runtime's clock has advanced by `time`.
void sleepFor(Runtime& runtime, Duration time)
{
    const auto promise = std::make_shared<std::promise<void>>();
    auto future = promise->get_future();
    runtime.after(time, [promise] { promise->set_value(); });
    future.wait();
}

} // namespace

Result<std::string> readFile(const std::string& path)
{
    if (path == "-")
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    std::ifstream file(path);
    if (!file)
        return Error { ErrorKind::InvalidRequest, Outcome::NotRun, fmt::format("cannot read the file {}", path) };
    return std::string(std::istreambuf_iterator<char>(file), {});
}

Result<Settings> readSettings(const std::string& path)
{
    const auto text = readFile(path);
    if (!text)
        return Error { ErrorKind::InvalidSettings, Outcome::NotRun, text.error().detail + "; name it with --settings" };
    const auto sections = parseIni(*text);
    if (!sections)
        return sections.error();
    std::vector<Problem> problems;
    Settings settings;
    const auto section = std::ranges::find(*sections, sectionName, &IniSection::name);
    if (section == sections->end())
        return settingsError({ { std::string(sectionName), "", "", "missing; add it with 'log' and 'nodes'" } });
    SectionReader reader(*section, problems);
    settings.log = reader.address("log", std::nullopt);
    settings.nodes = readNodes(reader);
    settings.timeout = Milliseconds(reader.integer("timeout_ms", settings.timeout.count(), 1, maxTimeoutMs));
    settings.nodeTimeout
        = Milliseconds(reader.integer("node_timeout_ms", settings.nodeTimeout.count(), 1, maxTimeoutMs));
    reader.rejectUnknownKeys();
    if (!problems.empty())
        return settingsError(problems);
    return settings;
}

Status Session::open(const std::string& settingsPath)
{
    auto read = readSettings(settingsPath);
    if (!read)
        return read.error();
    this->settings = std::move(read.value());
    this->runtime = std::make_unique<Runtime>(Runtime::Init { .threads = 2 });
    this->runtime->start();
    this->client = std::make_unique<AdminClient>(*this->runtime, this->settings.timeout);
    this->operatorLog = connectLog(*this->runtime, this->settings.log, this->settings.timeout);
    return std::monostate {};
}

void Session::print(const std::vector<DescriptionRow>& rows) const { this->print(toTable(rows), toJson(rows)); }

void Session::print(const std::string& text, const std::string& json) const
{
    std::cout << (this->isJson ? json + "\n" : text) << std::flush;
}

ExitCode Session::fail(const Error& error) const
{
    if (this->isJson) {
        const boost::json::object object { { "kind", std::string(toString(error.kind)) },
            { "outcome", std::string(toString(error.outcome)) }, { "message", error.message() } };
        std::cout << boost::json::serialize(boost::json::object { { "error", object } }) << std::endl;
    } else
        std::cerr << fmt::format("peridotctl: {}: {}\n", toString(error.kind), error.message());
    return exitCodeOf(error.kind);
}

OperatorFleet Session::fleet()
{
    return { this->settings.nodes, [this](const Address& node) { return this->client->status(node); } };
}

ApplyOptions Session::applyOptions() const
{
    ApplyOptions options;
    options.nodeTimeout = this->settings.nodeTimeout;
    options.wait = [this](Duration time) { sleepFor(*this->runtime, time); };
    return options;
}

} // namespace peridotctl
