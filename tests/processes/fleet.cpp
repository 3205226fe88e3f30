#include "fleet.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>
#include <set>

namespace processes {

namespace {

std::string join(const std::vector<std::string>& items) { return fmt::format("{}", fmt::join(items, ", ")); }

std::vector<std::string> sortedUnique(const std::vector<std::string>& items)
{
    const std::set<std::string> set(items.begin(), items.end());
    return { set.begin(), set.end() };
}

} // namespace

Fleet::Fleet(const std::vector<std::string>& domains)
{
    this->log = std::make_unique<Server>(this->folder, "standin-log");
    this->instances
        = std::make_unique<Server>(this->folder, "standin-instances", std::vector<std::string> { "--lag-ms", "200" });
    for (int index = 0; index < 2; ++index) {
        this->engines.push_back(std::make_unique<Server>(this->folder, "standin-engine",
            std::vector<std::string> { "--models", "planner", "--token-us", "2000", "--cold-ms", "100" }));
    }
    this->service = std::make_unique<Server>(this->folder, "standin-service");
    this->startSchedulers(domains);
    std::vector<std::string> schedulerAddresses;
    std::vector<std::string> adminAddresses;
    for (const auto& scheduler : this->schedulers) {
        schedulerAddresses.push_back(scheduler->address().toString());
        adminAddresses.push_back(scheduler->listenerAddress("admin").toString());
    }
    const auto settings = this->folder.write("gateway.ini",
        fmt::format(
            "[gateway]\ndomain = {}\nschedulers = {}\ndrain_seconds = 0\n", domains.front(), join(schedulerAddresses)));
    this->gateway = std::make_unique<Server>(
        this->folder, "peridot-gateway", std::vector<std::string> { "--settings", settings });
    this->folder.write("peridotctl.ini",
        fmt::format("[peridotctl]\nlog = {}\nnodes = {}\n", this->log->address().toString(), join(adminAddresses)));
    this->writeDocument(domains);
    if (this->runPeridotctl({ "apply", this->folder.path("team.ini"), "--base", "none" }) != 0)
        throw std::runtime_error("the document could not be applied");
    const auto ready
        = [&] { return this->http.get(this->gateway->listenerAddress("admin"), "/ready").result.status == 200; };
    if (!waitUntil(ready))
        throw std::runtime_error("the gateway did not become ready: " + this->gateway->process().standardError());
}

Server& Fleet::addScheduler(const std::string& name, const std::string& domain)
{
    const auto settings = this->folder.write(name + ".ini",
        fmt::format("[node]\nname = {}\ndomain = {}\ntest_hooks = true\n[platform]\nlog = {}\ninstances = {}\n"
                    "[fleet]\ndomains = {}\npartitions_per_domain = 2\nvoter_absence_seconds = 3\nseeds = {}\n",
            name, domain, this->log->address().toString(), this->instances->address().toString(),
            join(this->domainNames), this->seeds));
    this->schedulers.push_back(std::make_unique<Server>(
        this->folder, "peridot-scheduler", std::vector<std::string> { "--settings", settings }));
    auto& scheduler = *this->schedulers.back();
    this->seeds += (this->seeds.empty() ? "" : ", ") + scheduler.listenerAddress("gossip").toString();
    this->updateInstanceList(name, scheduler, true);
    return scheduler;
}

void Fleet::updateInstanceList(const std::string& name, const Server& scheduler, bool isLive)
{
    const json::object instance { { "name", name }, { "address", scheduler.listenerAddress("gossip").toString() },
        { "state", isLive ? "live" : "gone" } };
    this->http.post(this->instances->address(), "/instances", json::serialize(instance));
}

void Fleet::startSchedulers(const std::vector<std::string>& domains)
{
    this->domainNames = sortedUnique(domains);
    for (std::size_t index = 0; index < domains.size(); ++index)
        this->addScheduler(fmt::format("node-{}", index), domains[index]);
}

void Fleet::writeDocument(const std::vector<std::string>& domains)
{
    auto text = fmt::format(
        "[team]\nname = test\ndomains = {}\n\n"
        "[workspace office]\nrequest_rate = 100\nrequest_burst = 100\ntoken_rate = 100000\ntoken_burst = 100000\n\n"
        "[key main]\nworkspace = office\nsha256 = {}\nstate = granted\n\n",
        join(sortedUnique(domains)), sha256(apiKey).toHex());
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
        text += fmt::format(
            "[endpoint engine-{}]\ndomain = {}\naddress = {}\nkind = engine\nmodels = planner\nslots = 8\n\n", index,
            domains[index % domains.size()], this->engines[index]->address().toString());
    }
    text += fmt::format("[endpoint deposits]\ndomain = {}\naddress = {}\nkind = service\nslots = 8\n\n"
                        "[call charge]\nidempotent = false\nendpoint = deposits\ndeadline_ms = 40000\n",
        domains.front(), this->service->address().toString());
    this->folder.write("team.ini", text);
}

int Fleet::runPeridotctl(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), { "--settings", this->folder.path("peridotctl.ini") });
    Process process(this->folder, "peridotctl", std::move(arguments));
    const auto status = process.waitForExit(Seconds(30));
    return status.value_or(-1);
}

BlockingHttpClient::Answer Fleet::post(
    const std::string& target, const std::string& body, std::vector<HttpHeader> headers)
{
    headers.push_back({ "Authorization", std::string("Bearer ") + apiKey });
    return this->http.post(this->gateway->address(), target, body, std::move(headers), Milliseconds(50'000));
}

Fleet::Program Fleet::startProgram()
{
    Program program;
    waitUntil([&] {
        const auto answer = this->post("/v1/programs", "{}", { { "Peridot-Deadline-Ms", "3000" } });
        if (answer.response.status != 201)
            return false;
        const auto object = answer.jsonBody();
        program.id = object.at("program").as_string().c_str();
        program.digest = object.at("digest").as_string().c_str();
        return true;
    });
    return program;
}

BlockingHttpClient::Answer Fleet::call(Program& program, const std::string& kind, const std::string& target,
    const std::string& idempotencyKey, Milliseconds deadline, const std::string& input)
{
    const json::object body { { "turn", program.turn }, { "digest", program.digest }, { "kind", kind },
        { "target", target }, { "input", input }, { "max_tokens", 8 } };
    auto answer = this->post("/v1/programs/" + program.id + "/calls", json::serialize(body),
        { { "Idempotency-Key", idempotencyKey }, { "Peridot-Deadline-Ms", std::to_string(deadline.count()) } });
    if (answer.response.status == 200) {
        const auto object = answer.jsonBody();
        program.turn = object.at("turn").to_number<std::int64_t>();
        program.digest = object.at("digest").as_string().c_str();
    }
    return answer;
}

std::future<BlockingHttpClient::Answer> Fleet::callAsync(Program program, const std::string& kind,
    const std::string& target, const std::string& idempotencyKey, Milliseconds deadline)
{
    return std::async(std::launch::async, [this, program, kind, target, idempotencyKey, deadline]() mutable {
        return this->call(program, kind, target, idempotencyKey, deadline);
    });
}

Server& Fleet::ownerOf(const Program& program)
{
    const ProgramId id { std::stoull(program.id, nullptr, 16) };
    const auto section = fmt::format("partition {}", partitionOf(id).value);
    for (auto& scheduler : this->schedulers) {
        const auto dump = this->http.get(scheduler->listenerAddress("admin"), "/dump?format=json").jsonBody();
        const auto* partition = dump.if_contains(section);
        if (partition && partition->as_object().at("is_owner").as_string() == "true")
            return *scheduler;
    }
    throw std::runtime_error("no scheduler owns " + section);
}

std::pair<std::int64_t, std::int64_t> Fleet::executionCounts()
{
    const auto state = this->http.get(this->service->address(), "/state").jsonBody();
    std::pair<std::int64_t, std::int64_t> counts { 0, 0 };
    for (const auto& entry : state.at("executions_by_call").as_object()) {
        const auto count = entry.value().as_object().at("count").to_number<std::int64_t>();
        counts.first += count;
        counts.second = std::max(counts.second, count);
    }
    return counts;
}

void Fleet::setFaults(const Server& server, const std::string& faults)
{
    const auto answer = this->http.post(server.address(), "/faults", faults);
    if (answer.response.status != 200)
        throw std::runtime_error("the faults were rejected: " + answer.response.body);
}

std::string Fleet::collectOutput()
{
    std::string text;
    const auto add
        = [&](Server& server) { text += server.process().standardError() + server.process().standardOutput(); };
    for (const auto& engine : this->engines)
        text += this->http.get(engine->address(), "/state").response.body;
    text += this->http.get(this->service->address(), "/state").response.body;
    for (const auto& scheduler : this->schedulers) {
        add(*scheduler);
        for (const auto* path : { "/dump", "/metrics", "/ready" })
            text += this->http.get(scheduler->listenerAddress("admin"), path).response.body;
    }
    add(*this->gateway);
    for (const auto* path : { "/dump", "/metrics", "/ready" })
        text += this->http.get(this->gateway->listenerAddress("admin"), path).response.body;
    return text;
}

std::string errorOf(const BlockingHttpClient::Answer& answer)
{
    const auto object = answer.jsonBody();
    const auto* error = object.if_contains("error");
    if (!error)
        return "none";
    const auto& fields = error->as_object();
    return fmt::format("{}/{}", fields.at("kind").as_string().c_str(), fields.at("outcome").as_string().c_str());
}

} // namespace processes
