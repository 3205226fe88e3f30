#include "ingress_p.h"

#include "../runtime/runtime_p.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace peridotramp {

namespace {

// Maximum number of idle connections to one endpoint.
constexpr std::size_t idleEndpointConnections = 12;
constexpr std::size_t idleStoreConnections = 6;
constexpr Milliseconds drainCheckPeriod { 20 };
// Time for callers to receive the answers to requests that the shutdown has ended.
constexpr Milliseconds finalAnswerTimeout { 200 };
// A record of operators reaches all instances whose long polls are answered within a few milliseconds.
constexpr Milliseconds operatorLagTolerance { 150 };
// The endpoints' records are read in intervals, so instances differ by up to one interval and a call.
constexpr Milliseconds endpointLagTolerance { 1000 };
// Requests for probes and operators are small, and few at a time.
constexpr HttpLimits adminLimits { .maxBodyBytes = std::size_t { 64 } * 1024, .readTimeout = Milliseconds(5000) };
constexpr std::size_t maxAdminConnections = 128;
constexpr std::size_t maxAdminRequestMemory = std::size_t { 2 } * 1024 * 1024;
// Maximum number of running requests that a log line lists.
constexpr std::size_t maxRequestsInLog = 20;

Incarnation newIncarnation(const std::string& name)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch().count();
    return { hashBytes(name, static_cast<std::uint64_t>(now)) >> 1 };
}

} // namespace

Ingress::Impl::Impl(Runtime& runtime, IngressInit init, IngressFormats formats,
    const std::function<MetadataStore(StoreTransport)>& makeStore)
    : runtime(runtime)
    , init(std::move(init))
    , formats(std::move(formats))
    , incarnation(newIncarnation(this->init.name))
    , owner(fmt::format("{}/{:x}", this->init.name, this->incarnation.value))
    , startedAt(RuntimeClock::now())
    , gracePeriod(this->init.gracePeriod)
    , requestLog(this->metrics, {})
    , storeClient(runtime, { Milliseconds(500), idleStoreConnections, Seconds(20) })
    , endpointClient(runtime, { Milliseconds(500), idleEndpointConnections, Seconds(10) })
    , store(makeStore([this](HttpRequest request, Milliseconds timeout, auto hook) {
        this->callStore(std::move(request), timeout, std::move(hook));
    }))
    , fleet(runtime,
          { { this->init.name, this->init.domain, this->init.peerAddress, this->init.capacity }, this->incarnation },
          this->fleetHooks())
    , currentSnapshot(std::make_shared<RoutingSnapshot>())
    , allowances({ this->init.domain, idFromName<NodeId>(this->init.name), this->init.allowanceWindow,
          this->init.allowanceOverrun, this->init.allowanceSlack, this->init.firstStart })
    , operatorTopic(operatorLagTolerance)
    , endpointTopic(endpointLagTolerance)
    , operatorStrand(this->newStrand())
    , endpointStrand(this->newStrand())
{
    this->directories.forEach([&](std::unique_ptr<EndpointDirectory>& directory) {
        EndpointDirectory::Init directoryInit;
        directoryInit.ownDomain = this->init.domain;
        directory = std::make_unique<EndpointDirectory>(directoryInit);
        directory->setColdShare(
            [this](std::string_view endpoint, double coldRate) { return this->coldShare(endpoint, coldRate); });
    });
    this->tokens.forEach(
        [&](TokenShard& shard) { shard.ledger = std::make_unique<TokenLedger>(TokenLedger::Init { this->owner }); });
}

asio::any_io_executor Ingress::Impl::newStrand() { return asio::make_strand(this->runtime.internals().context); }

std::shared_ptr<const RoutingSnapshot> Ingress::Impl::routingSnapshot() const
{
    const std::scoped_lock lock(this->snapshotMutex);
    return this->currentSnapshot;
}

HttpLimits Ingress::Impl::callerLimits()
{
    const auto current = this->routingSnapshot();
    const auto limits = current->table ? current->table->state().limits : CallerLimits {};
    return { static_cast<std::size_t>(limits.headerBytes.value), static_cast<std::size_t>(limits.bodyBytes.value),
        limits.readTimeout, limits.idleTimeout };
}

bool Ingress::Impl::isReady()
{
    return this->routingSnapshot()->table && this->endpointsKnown && !this->draining && !this->isolated;
}

void Ingress::Impl::serveAdmin(const HttpRequest& request, const HttpExchange& exchange)
{
    switch (this->formats.adminPage(request)) {
    case AdminPage::Ready:
        exchange.respond(this->isReady() ? textResponse(200, "ready\n") : textResponse(503, "not ready\n"));
        return;
    case AdminPage::Metrics:
        exchange.respond(textResponse(200, this->metrics.toText()));
        return;
    case AdminPage::Dump:
        exchange.respond(jsonResponse(200, this->dump()));
        return;
    case AdminPage::Unknown:
    case AdminPage::Count:
        exchange.respond(textResponse(404, "no such page; see docs/OPERATIONS.md\n"));
        return;
    }
}

void Ingress::Impl::start()
{
    const auto impl = this->shared_from_this();
    HttpServer::Init callerInit;
    callerInit.listen = this->init.callerAddress;
    callerInit.maxConnections = std::min(this->init.maxConnections, this->init.descriptors * 3 / 4);
    callerInit.maxRequestMemory = static_cast<std::size_t>(this->init.machineMemory.value / 4);
    callerInit.limits = [this] { return this->callerLimits(); };
    callerInit.onConnectionEnd = [this](const ConnectionEnd& end) { this->requestLog.write(end); };
    this->callerServer = std::make_unique<HttpServer>(this->runtime, std::move(callerInit),
        [this](HttpRequest request, const HttpExchange& exchange) { this->serve(std::move(request), exchange); });
    HttpServer::Init adminInit;
    adminInit.listen = this->init.adminAddress;
    adminInit.limits = [] { return adminLimits; };
    adminInit.maxConnections = maxAdminConnections;
    adminInit.maxRequestMemory = maxAdminRequestMemory;
    this->adminServer = std::make_unique<HttpServer>(this->runtime, std::move(adminInit),
        [this](const HttpRequest& request, const HttpExchange& exchange) { this->serveAdmin(request, exchange); });
    this->startPeers();
    this->startFollowingStore();
    this->startTurns();
    this->startBudgets();
    log(LogLevel::Info, "started",
        { { "instance", this->init.name }, { "domain", this->init.domain }, { "incarnation", this->owner },
            { "store", this->init.storeAddress.toString() } });
}

void Ingress::Impl::drain(std::function<void()> done)
{
    if (this->draining.exchange(true))
        return;
    this->drainStartedAt = RuntimeClock::now();
    log(LogLevel::Info, "draining", { { "running", std::uint64_t { this->running.size() } } });
    this->callerServer->closeAfterResponses(true);
    this->fleet.setState({ this->storeHealth.isReachable(), true });
    // This instance can no longer be a holder and hands its partitions over.
    this->updateHeldPartitions();
    this->handOverTurns();
    this->runtime.after(makeDrainSchedule(this->gracePeriod, this->init.loadBalancerDelay).closeIdleAfter,
        [impl = this->shared_from_this(), done = std::move(done)] { impl->finishDrain(done); });
}

void Ingress::Impl::finishDrain(const std::function<void()>& done)
{
    // The load balancer sends no new connections by now, and callers find their idle connections closed before they
    // send.
    this->callerServer->stopAccepting();
    const auto limit = makeDrainSchedule(this->gracePeriod, this->init.loadBalancerDelay).endRequestsAfter;
    this->awaitIdle(this->drainStartedAt + limit, [impl = this->shared_from_this(), done] { impl->endRequests(done); });
}

bool Ingress::Impl::isIdle()
{
    return this->running.size() == 0 && this->callerServer->activeExchanges() == 0 && this->turnWriters.waiting() == 0
        && this->tokenWriters.waiting() == 0 && this->unreportedTurns == 0 && !this->hasHolds();
}

void Ingress::Impl::awaitIdle(TimePoint deadline, std::function<void()> next)
{
    if (this->isIdle() || RuntimeClock::now() >= deadline) {
        next();
        return;
    }
    this->runtime.after(drainCheckPeriod,
        [impl = this->shared_from_this(), deadline, next = std::move(next)] { impl->awaitIdle(deadline, next); });
}

void Ingress::Impl::endRequests(const std::function<void()>& done)
{
    this->exiting = true;
    // Records that could not be stored by now do not delay the shutdown further.
    if (this->running.size() == 0 && this->callerServer->activeExchanges() == 0) {
        this->finishShutdown(done);
        return;
    }
    log(LogLevel::Warning, "running requests ended at the end of the grace period",
        { { "running", std::uint64_t { this->running.size() } },
            { "unwritten_answers", std::uint64_t { this->callerServer->activeExchanges() } },
            { "oldest", this->describeRunning() } });
    this->running.stopAll();
    this->awaitIdle(RuntimeClock::now() + finalAnswerTimeout,
        [impl = this->shared_from_this(), done] { impl->finishShutdown(done); });
}

void Ingress::Impl::finishShutdown(const std::function<void()>& done)
{
    log(LogLevel::Info, "stopping",
        { { "running", std::uint64_t { this->running.size() } },
            { "unwritten_answers", std::uint64_t { this->callerServer->activeExchanges() } },
            { "unreported_turns", std::uint64_t { this->unreportedTurns } },
            { "unwritten_records", std::uint64_t { this->turnWriters.waiting() + this->tokenWriters.waiting() } } });
    this->releaseAllTokens();
    this->withdrawMember(done);
}

std::string Ingress::Impl::describeRunning()
{
    const auto now = RuntimeClock::now();
    std::string text;
    for (const auto& request : this->running.oldest(maxRequestsInLog))
        text += fmt::format("{}{} {} {}ms", text.empty() ? "" : ", ", request.request, request.route,
            std::chrono::duration_cast<Milliseconds>(now - request.since).count());
    return text;
}

std::string Ingress::Impl::dump()
{
    namespace json = boost::json;
    const auto current = this->routingSnapshot();
    json::object state { { "instance", this->init.name }, { "domain", this->init.domain },
        { "incarnation", this->owner }, { "ready", this->isReady() }, { "draining", this->draining.load() },
        { "store_reachable", this->storeHealth.isReachable() }, { "running_requests", this->running.size() },
        { "oldest_requests", this->describeRunning() } };
    if (current->table)
        state["desired_version"] = current->table->state().version;
    const auto describe = [&](const FollowedTopic& topic) {
        return json::object { { "end", topic.end().isValid() ? json::value(topic.end().value) : json::value() },
            { "age_ms", topic.ageText(RuntimeClock::now()) } };
    };
    state["operators_read"] = describe(this->operatorTopic);
    state["endpoints_read"] = describe(this->endpointTopic);
    json::array evacuated;
    for (const auto& domain : current->evacuated)
        evacuated.push_back(json::value(domain));
    state["evacuated"] = std::move(evacuated);
    json::array members;
    const auto now = RuntimeClock::now();
    for (const auto& peer : this->fleet.peers())
        members.push_back(json::object { { "name", peer.member.name }, { "domain", peer.member.domain },
            { "address", peer.member.address.toString() }, { "heard", peer.heard },
            { "silent_ms", std::chrono::duration_cast<Milliseconds>(peer.timeSinceHeard(now)).count() } });
    state["peers"] = std::move(members);
    const auto coordinator = this->fleet.coordinator();
    state["coordinator"] = this->fleet.isActiveCoordinator() ? this->init.name
        : coordinator                                        ? coordinator->member.name
                                                             : "";
    json::array endpoints;
    this->directories.forEach([&](const std::unique_ptr<EndpointDirectory>& directory) {
        for (const auto& name : directory->names())
            endpoints.push_back(json::value(name));
    });
    state["endpoints"] = std::move(endpoints);
    std::int64_t turnBytes = 0;
    std::size_t turnCount = 0;
    this->turns.forEach([&](const ConversationTable& shard) {
        turnBytes += shard.bytes().value;
        turnCount += shard.size();
    });
    std::size_t unstoredCount = 0;
    for (const auto& [partition, unstored] : this->unstoredTurns())
        unstoredCount += unstored.size();
    state["turns"] = turnCount;
    state["unstored_turns"] = unstoredCount;
    state["turn_bytes"] = turnBytes;
    {
        const std::scoped_lock lock(this->heldPartitionsMutex);
        state["kept_partitions"] = this->heldPartitions.size();
        state["complete_partitions"]
            = std::ranges::count_if(this->heldPartitions, [](const auto& entry) { return entry.second.complete; });
    }
    std::size_t programs = 0;
    this->tokens.forEach([&](const TokenShard& shard) { programs += shard.ledger->size(); });
    state["programs"] = programs;
    return json::serialize(state);
}

Ingress::Ingress(Runtime& runtime, IngressInit init, IngressFormats formats,
    const std::function<MetadataStore(StoreTransport)>& makeStore)
    : impl(std::make_shared<Impl>(runtime, std::move(init), std::move(formats), makeStore))
{
}

Ingress::~Ingress() = default;

void Ingress::start() { this->impl->start(); }

void Ingress::drain(std::function<void()> done) { this->impl->drain(std::move(done)); }

void Ingress::reload(const IngressInit& init)
{
    this->impl->gracePeriod = init.gracePeriod;
    log(LogLevel::Info, "settings reloaded", { { "grace_ms", std::int64_t { init.gracePeriod.count() } } });
}

Address Ingress::address() const { return this->impl->callerServer->address(); }

Address Ingress::adminAddress() const { return this->impl->adminServer->address(); }

Address Ingress::peerAddress() const { return this->impl->fleet.self().address; }

std::string Ingress::dump() const { return this->impl->dump(); }

bool Ingress::isReady() const { return this->impl->isReady(); }

} // namespace peridotramp
