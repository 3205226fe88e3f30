#include "ingress_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Each endpoint writes its record about once a second, so more frequent reads would only add calls.
constexpr Milliseconds endpointReadInterval { 300 };

} // namespace

std::string_view toString(RecordSource source)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(RecordSource::Count)> names { "store",
        "store_snapshot", "member" };
    return names.at(static_cast<std::size_t>(source));
}

void Ingress::Impl::startFollowingStore()
{
    this->followOperators();
    this->followEndpoints();
}

void Ingress::Impl::followOperators()
{
    StoreFollower::Init init;
    init.topic = StoreTopic::DesiredState;
    StoreFollower follower;
    follower.onSnapshot = [this](const std::vector<StoreRecord>& records, Offset end) {
        this->applyOperatorSnapshot(records, end, RecordSource::StoreSnapshot);
    };
    follower.onRecords = [this](const std::vector<StoreRecord>& records) {
        for (const auto& record : records) {
            this->operatorTopic.add(record);
            this->applyOperatorRecord(record, RecordSource::Store);
        }
    };
    follower.onRead = [this](Offset next) { this->operatorTopic.recordRead(next, RuntimeClock::now()); };
    follower.knownEnd = [this] { return this->operatorTopic.end(); };
    followStore(this->operatorStrand, this->store, init, std::move(follower));
}

void Ingress::Impl::followEndpoints()
{
    StoreFollower::Init init;
    init.topic = StoreTopic::Endpoints;
    init.pause = endpointReadInterval;
    StoreFollower follower;
    follower.onSnapshot
        = [this](const std::vector<StoreRecord>& records, Offset end) { this->applyEndpointSnapshot(records, end); };
    follower.onRecords = [this](const std::vector<StoreRecord>& records) {
        for (const auto& record : records) {
            this->endpointTopic.add(record);
            this->applyEndpoint(record);
        }
    };
    follower.onRead = [this](Offset next) { this->endpointTopic.recordRead(next, RuntimeClock::now()); };
    follower.knownEnd = [this] { return this->endpointTopic.end(); };
    followStore(this->endpointStrand, this->store, init, std::move(follower));
}

void Ingress::Impl::applyOperatorSnapshot(const std::vector<StoreRecord>& records, Offset end, RecordSource source)
{
    this->operatorTopic.replace(records, end);
    std::ranges::for_each(records, [&](const StoreRecord& record) { this->applyOperatorRecord(record, source); });
    // An evacuation that is not among the newest records has been ended.
    for (const auto& domain : this->routingSnapshot()->evacuated) {
        const bool still = std::ranges::any_of(records, [&](const StoreRecord& record) {
            const auto decoded = this->formats.decodeOperator(record);
            const auto* change = decoded ? std::get_if<EvacuationChange>(&decoded.value()) : nullptr;
            return change && change->domain == domain && change->evacuated;
        });
        if (!still)
            this->applyEvacuation({ domain, false });
    }
}

void Ingress::Impl::applyOperatorRecord(const StoreRecord& record, RecordSource source)
{
    auto decoded = this->formats.decodeOperator(record);
    if (!decoded) {
        log(LogLevel::Warning, "malformed operator record ignored", { { "reason", decoded.error().message() } });
        return;
    }
    if (const auto* change = std::get_if<EvacuationChange>(&decoded.value()))
        this->applyEvacuation(*change);
    else
        this->applyDesiredState(std::move(std::get<DesiredState>(decoded.value())), source);
}

void Ingress::Impl::applyEvacuation(const EvacuationChange& change)
{
    {
        const std::scoped_lock lock(this->snapshotMutex);
        auto next = std::make_shared<RoutingSnapshot>(*this->currentSnapshot);
        if (change.evacuated)
            next->evacuated.insert(change.domain);
        else
            next->evacuated.erase(change.domain);
        this->currentSnapshot = std::move(next);
    }
    log(LogLevel::Info, change.evacuated ? "domain evacuated" : "domain no longer evacuated",
        { { "domain", change.domain } });
}

void Ingress::Impl::applyDesiredState(DesiredState state, RecordSource source)
{
    const auto version = state.version;
    const auto routes = state.routes.size();
    {
        const std::scoped_lock lock(this->snapshotMutex);
        // The store may return old records while it recovers.
        if (this->currentSnapshot->table && this->currentSnapshot->table->state().version >= version)
            return;
        auto next = std::make_shared<RoutingSnapshot>(*this->currentSnapshot);
        next->table = std::make_shared<const RouteTable>(std::move(state));
        this->currentSnapshot = std::move(next);
    }
    this->updateLimits();
    this->metrics.set("desired_version", static_cast<double>(version));
    log(LogLevel::Info, "desired state applied",
        { { "version", version }, { "routes", std::uint64_t { routes } }, { "source", toString(source) },
            { "read_age_ms", this->operatorTopic.ageText(RuntimeClock::now()) } });
}

void Ingress::Impl::updateLimits()
{
    const auto table = this->routingSnapshot()->table;
    if (!table)
        return;
    const auto share = 1.0 / static_cast<double>(this->fleet.size());
    this->directories.forEach([&](const std::unique_ptr<EndpointDirectory>& directory) {
        directory->setConnectionShare(share);
        for (const auto& service : table->state().services)
            directory->setService(
                service.name, service.maxConnections, service.coldRate.value, service.engine.has_value());
    });
    this->allowances.setLimits(table->state());
}

void Ingress::Impl::applyEndpointSnapshot(const std::vector<StoreRecord>& records, Offset end)
{
    this->endpointTopic.replace(records, end);
    std::set<std::string> listed;
    for (const auto& record : records) {
        listed.insert(record.key);
        this->applyEndpoint(record);
    }
    std::vector<std::string> gone;
    this->directories.forEach([&](const std::unique_ptr<EndpointDirectory>& directory) {
        std::ranges::copy_if(directory->names(), std::back_inserter(gone),
            [&](const std::string& name) { return !listed.contains(name); });
    });
    std::ranges::for_each(gone, [&](const std::string& name) { this->removeEndpoint(name); });
    this->endpointsKnown = true;
}

void Ingress::Impl::removeEndpoint(const std::string& name)
{
    const auto drop = [impl = this->shared_from_this(), name](const std::string& reason) {
        bool removed = false;
        impl->directories.forEach(
            [&](const std::unique_ptr<EndpointDirectory>& directory) { removed = directory->remove(name) || removed; });
        if (removed)
            log(LogLevel::Info, "endpoint removed", { { "endpoint", name }, { "reason", reason } });
    };
    const auto delay = removalDelay(this->storeHealth.timeSinceFailure());
    if (delay == Duration(0)) {
        drop("left");
        return;
    }
    // The record may have expired only because the store was unavailable, so the endpoint gets time to write it again.
    {
        const std::scoped_lock lock(this->pendingRemovalsMutex);
        this->pendingRemovals.insert(name);
    }
    this->runtime.after(delay, [impl = this->shared_from_this(), name, drop] {
        {
            const std::scoped_lock lock(impl->pendingRemovalsMutex);
            if (impl->pendingRemovals.erase(name) == 0)
                return;
        }
        drop("lapsed");
    });
}

void Ingress::Impl::applyEndpoint(const StoreRecord& record)
{
    if (record.value.empty()) {
        this->removeEndpoint(record.key);
        return;
    }
    const auto decoded = this->formats.decodeEndpoint(record);
    if (!decoded) {
        log(LogLevel::Warning, "malformed endpoint record ignored", { { "reason", decoded.error().message() } });
        return;
    }
    {
        const std::scoped_lock lock(this->pendingRemovalsMutex);
        this->pendingRemovals.erase(record.key);
    }
    const auto now = RuntimeClock::now();
    const auto changed = this->directories.with(hashBytes(decoded->service),
        [&](const std::unique_ptr<EndpointDirectory>& directory) { return directory->apply(*decoded, now); });
    if (changed)
        log(LogLevel::Info, "endpoint changed",
            { { "endpoint", decoded->name }, { "service", decoded->service },
                { "address", decoded->address.toString() }, { "domain", decoded->domain },
                { "draining", decoded->draining ? "yes" : "no" },
                { "cold_ms", std::int64_t { decoded->coldLeft.count() } } });
}

} // namespace peridotramp
