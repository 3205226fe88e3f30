#include "gateway_p.h"

#include <algorithm>

namespace peridotramp {

struct Gateway::Impl {
    Impl(Runtime& runtime, GatewayInit init)
        : state(runtime, std::move(init))
    {
    }

    GatewayState state;
    std::atomic<bool> stopping = false;
};

namespace {

void waitForRequests(GatewayState& gateway, TimePoint deadline, const std::function<void()>& done)
{
    if (gateway.server->activeExchanges() == 0 || RuntimeClock::now() >= deadline)
        return done();
    gateway.runtime.after(Milliseconds(50), [&gateway, deadline, done] { waitForRequests(gateway, deadline, done); });
}

} // namespace

GatewayInit readGatewaySettings(const std::string& text, std::vector<Problem>& problems)
{
    GatewayInit init;
    const auto sections = parseIni(text);
    if (!sections) {
        problems.push_back({ "", "", "", sections.error().detail });
        return init;
    }
    const auto found = std::ranges::find(*sections, "gateway", &IniSection::name);
    const auto section = found == sections->end() ? IniSection { "gateway", {} } : *found;
    SectionReader reader(section, problems);
    init.domain = reader.text("domain", "");
    init.listen = reader.address("listen", Address { "127.0.0.1", 0 });
    init.adminAddress = reader.address("admin", Address { "127.0.0.1", 0 });
    init.threads = static_cast<std::size_t>(reader.integer("threads", 4, 1, 64));
    // Unlike in the settings of a scheduler, `drain_seconds` is a fixed delay here; `drain_limit_seconds` is the limit.
    init.drainDelay = Seconds(reader.integer("drain_seconds", 5, 0, 600));
    init.drainTimeout = Seconds(reader.integer("drain_limit_seconds", 60, 1, 3600));
    init.defaultDeadline = Milliseconds(reader.integer("default_deadline_ms", 60'000, 1, 3'600'000));
    for (const auto& item : reader.list("schedulers")) {
        const auto address = Address::parse(item);
        if (address)
            init.schedulers.push_back(*address);
        else
            reader.reject("schedulers", item, "use addresses as HOST:PORT, separated by commas");
    }
    if (init.schedulers.empty())
        reader.reject("schedulers", "", "list the TCP addresses of schedulers, those of this failure domain first");
    if (init.domain.empty())
        reader.reject("domain", "", "name the failure domain of the instance");
    reader.rejectUnknownKeys();
    for (const auto& other : *sections) {
        if (other.name != "gateway")
            problems.push_back({ other.name, "", "", "unknown section; use [gateway]" });
    }
    return init;
}

Gateway::Gateway(Runtime& runtime, GatewayInit init)
    : impl(std::make_unique<Impl>(runtime, std::move(init)))
{
    auto& state = this->impl->state;
    HttpServer::Init server;
    server.listen = state.init.listen;
    state.server
        = std::make_unique<HttpServer>(runtime, server, [&state](HttpRequest request, const HttpExchange& exchange) {
              serveCaller(state, std::move(request), exchange);
          });
    AdminHooks admin;
    admin.status = [&state] { return statusOf(state); };
    admin.metrics = [&state] { return state.metrics.toText(); };
    admin.dump = [&state] { return dumpOf(state); };
    admin.setDraining = [&state](bool isDraining) -> Status {
        state.draining = isDraining;
        return std::monostate {};
    };
    state.admin = std::make_unique<AdminServer>(runtime, state.init.adminAddress, std::move(admin));
}

Gateway::~Gateway()
{
    for (auto& timer : this->impl->state.timers)
        timer.cancel();
}

void Gateway::start() { startPolling(this->impl->state); }

void Gateway::drain(std::function<void()> done)
{
    auto& state = this->impl->state;
    // `draining` may have been set by an operator already, so a separate flag marks the planned stop.
    if (this->impl->stopping.exchange(true))
        return;
    state.draining = true;
    log(LogLevel::Info, "draining");
    state.runtime.after(state.init.drainDelay, [&state, done = std::move(done)] {
        state.server->stopAccepting();
        waitForRequests(state, RuntimeClock::now() + state.init.drainTimeout, done);
    });
}

std::string Gateway::dump() { return toTable(dumpOf(this->impl->state)); }

Address Gateway::address() const { return this->impl->state.server->address(); }

Address Gateway::adminAddress() const { return this->impl->state.admin->address(); }

} // namespace peridotramp
