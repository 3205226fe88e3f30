#include "node_p.h"

#include <algorithm>
#include <fmt/format.h>

namespace peridotramp {

struct Scheduler::Impl {
    Impl(Runtime& runtime, SchedulerInit init)
        : node(runtime, std::move(init))
    {
    }

    Node node;
    std::atomic<bool> stopping = false;
};

namespace {

void handleRequest(Node& node, Message message, const RpcReply& reply)
{
    auto respond = [reply](Message answer, bool last) { reply.send(std::move(answer), last); };
    auto* call = std::get_if<CallMessage>(&message);
    if (!call)
        return handleMessage(node, std::move(message), std::move(respond));
    const CallKey key { call->program, call->call };
    const auto waiter = node.nextSerial();
    handleCall(node, std::move(*call), waiter, std::move(respond));
    reply.onCancel([&node, key, waiter] { cancelWaiter(node, key, waiter); });
}

void waitForCalls(Node& node, TimePoint deadline, const std::function<void()>& done)
{
    std::size_t running = 0;
    node.partitions.forEach([&](PartitionMap& map) {
        for (const auto& [id, state] : map)
            running += state.calls.size();
    });
    if (running == 0 || RuntimeClock::now() >= deadline)
        return handOverAll(node, done);
    node.runtime.after(Milliseconds(50), [&node, deadline, done] { waitForCalls(node, deadline, done); });
}

} // namespace

namespace {

// Stops admission, waits for the running calls and hands over all partitions.
void beginDraining(Node& node, const std::function<void()>& done)
{
    node.draining = true;
    log(LogLevel::Info, "draining");
    node.partitions.forEach([](PartitionMap& map) {
        for (auto& [id, state] : map)
            state.handingOver = state.queue.has_value();
    });
    waitForCalls(node, RuntimeClock::now() + node.init.drainTimeout, done);
}

} // namespace

Status setDraining(Node& node, bool isDraining)
{
    if (isDraining && !node.draining)
        beginDraining(node, [] { });
    if (!isDraining && node.draining.exchange(false))
        log(LogLevel::Info, "returned to service");
    return std::monostate {};
}

SchedulerInit readSchedulerSettings(const std::string& text, std::vector<Problem>& problems)
{
    constexpr std::int64_t daySeconds = std::int64_t { 24 } * 3600;
    SchedulerInit init;
    const auto sections = parseIni(text);
    if (!sections) {
        problems.push_back({ "", "", "", sections.error().detail });
        return init;
    }
    const auto find = [&](std::string_view name) {
        const auto found = std::ranges::find(*sections, name, &IniSection::name);
        return found == sections->end() ? IniSection { std::string(name), {} } : *found;
    };
    const auto nodeSection = find("node");
    SectionReader node(nodeSection, problems);
    init.name = node.text("name", "");
    init.domain = node.text("domain", "");
    init.listen = node.address("listen", Address { "127.0.0.1", 0 });
    init.gossipAddress = node.address("gossip", Address { "127.0.0.1", 0 });
    init.adminAddress = node.address("admin", Address { "127.0.0.1", 0 });
    init.threads = static_cast<std::size_t>(node.integer("threads", 4, 1, 64));
    // Unlike in the settings of a gateway, `drain_seconds` is the limit on the wait for running calls here.
    init.drainTimeout = Seconds(node.integer("drain_seconds", 60, 1, 3600));
    init.testHooks = node.flag("test_hooks", false);
    if (init.name.empty())
        node.reject("name", "", "give the instance a name that is unique in the fleet");
    node.rejectUnknownKeys();
    const auto platformSection = find("platform");
    SectionReader platform(platformSection, problems);
    init.logAddress = platform.address("log", std::nullopt);
    if (platformSection.find("instances"))
        init.instanceListAddress = platform.address("instances", std::nullopt);
    init.logRetention = Seconds(platform.integer("log_retention_seconds", daySeconds, 60, 365 * daySeconds));
    platform.rejectUnknownKeys();
    const auto fleetSection = find("fleet");
    SectionReader fleet(fleetSection, problems);
    init.domains = fleet.list("domains");
    init.partitionsPerDomain = static_cast<std::size_t>(fleet.integer("partitions_per_domain", 4, 1, 256));
    init.voterAbsenceTimeout = Seconds(fleet.integer("voter_absence_seconds", 60, 1, 3600));
    init.appendsPerSecond = fleet.number("appends_per_second", 300, 1, 100000);
    for (const auto& seed : fleet.list("seeds")) {
        const auto address = Address::parse(seed);
        if (address)
            init.seeds.push_back(*address);
        else
            fleet.reject("seeds", seed, "use addresses as HOST:PORT, separated by commas");
    }
    if (std::ranges::find(init.domains, init.domain) == init.domains.end())
        fleet.reject("domains", fmt::format("{}", fmt::join(init.domains, ", ")),
            "list all failure domains, including this node's '" + init.domain + "'");
    fleet.rejectUnknownKeys();
    for (const auto& section : *sections) {
        if (section.name != "node" && section.name != "platform" && section.name != "fleet")
            problems.push_back({ section.name, "", "", "unknown section; use [node], [platform] or [fleet]" });
    }
    return init;
}

Scheduler::Scheduler(Runtime& runtime, SchedulerInit init)
    : impl(std::make_unique<Impl>(runtime, std::move(init)))
{
    auto& node = this->impl->node;
    RpcServer::Init server;
    server.listen = node.init.listen;
    node.server = std::make_unique<RpcServer>(runtime, server,
        [&node](Message message, const RpcReply& reply) { handleRequest(node, std::move(message), reply); });
    startAdmin(node);
    startMembership(node);
}

Scheduler::~Scheduler()
{
    for (auto& timer : this->impl->node.timers)
        timer.cancel();
}

void Scheduler::start()
{
    auto& node = this->impl->node;
    startConfiguration(node);
    startPartitions(node);
    startLoans(node);
    startSlots(node);
    startKv(node);
}

void Scheduler::drain(std::function<void()> done)
{
    auto& node = this->impl->node;
    // `draining` may have been set by an operator already, so a separate flag marks the planned stop.
    if (this->impl->stopping.exchange(true))
        return;
    beginDraining(node, [&node, done = std::move(done)] {
        leaveMembership(node);
        // Leaves time for datagrams and forwarded responses in transit.
        node.runtime.after(Milliseconds(500), done);
    });
}

std::string Scheduler::dump() { return toTable(dumpOf(this->impl->node)); }

bool Scheduler::isReady() { return this->impl->node.configurationNow() && !this->impl->node.draining; }

Address Scheduler::address() const { return this->impl->node.server->address(); }

Address Scheduler::gossipAddress() const { return this->impl->node.gossip->address(); }

Address Scheduler::adminAddress() const { return this->impl->node.admin->address(); }

} // namespace peridotramp
