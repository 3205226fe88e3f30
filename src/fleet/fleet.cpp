#include "fleet_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

constexpr Milliseconds connectTimeout { 500 };
constexpr Milliseconds membersTimeout { 500 };
// Minimum time between two requests for the member list, sent when a report names an instance that is not announced.
constexpr Milliseconds membersRequestInterval { 500 };
// Time without an active coordinator after which the failure domain counts as uncoordinated, so that its instances
// admit requests without leases; long enough for a planned handover.
constexpr Milliseconds coordinatorHandoverTime { 150 };

} // namespace

Fleet::Impl::Impl(Runtime& runtime, FleetInit init, FleetHooks hooks)
    : runtime(runtime)
    , init(std::move(init))
    , hooks(std::move(hooks))
    , client(runtime, { connectTimeout })
    , table(this->init.self)
    , election({ .self = this->init.self.id() })
    , lastCoordinatedAt(RuntimeClock::now())
{
}

void Fleet::Impl::open()
{
    const auto weak = this->weak_from_this();
    RpcServer::Init serverInit;
    serverInit.listen = this->init.self.address;
    this->server
        = std::make_unique<RpcServer>(this->runtime, serverInit, [weak](Message message, const RpcReply& reply) {
              if (const auto self = weak.lock())
                  self->handleMessage(std::move(message), reply);
          });
    this->init.self.address = this->server->address();
    DatagramSocket::Init socketInit;
    socketInit.listen = this->init.self.address;
    this->socket = std::make_unique<DatagramSocket>(this->runtime, socketInit, [weak](std::string_view bytes) {
        if (const auto self = weak.lock())
            self->receive(bytes);
    });
}

void Fleet::Impl::start()
{
    this->started = true;
    this->schedule();
}

void Fleet::Impl::schedule()
{
    this->runtime.after(statusPeriod, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->runPeriod();
            self->schedule();
        }
    });
}

std::vector<FleetMember> Fleet::Impl::candidates(std::string_view domain) const
{
    std::vector<FleetMember> members;
    if (domain == this->init.self.domain && !this->state.draining)
        members.push_back(this->init.self);
    for (const auto& peer : this->table.ofDomain(domain)) {
        if (!peer.state.draining)
            members.push_back(peer.member);
    }
    return coordinatorOrder(std::move(members));
}

InstanceStatus Fleet::Impl::makeStatus()
{
    InstanceStatus status;
    status.sender = this->init.self;
    status.incarnation = this->init.incarnation;
    {
        const std::scoped_lock lock(this->mutex);
        status.state = this->state;
    }
    this->hooks.fillStatus(status);
    return status;
}

void Fleet::Impl::runPeriod()
{
    const auto now = RuntimeClock::now();
    const auto status = this->makeStatus();
    std::vector<Address> receivers;
    bool isCoordinator = false;
    bool isActive = false;
    NodeId previous;
    NodeId current;
    {
        const std::scoped_lock lock(this->mutex);
        ++this->periodCount;
        for (const auto id : this->election.elect(this->candidates(this->init.self.domain), now)) {
            if (const auto* peer = this->table.find(id))
                receivers.push_back(peer->member.address);
        }
        current = this->election.active(now);
        previous = std::exchange(this->activeCoordinator, current);
        if (current.isValid())
            this->lastCoordinatedAt = now;
        isCoordinator = this->election.isCoordinator();
        isActive = current == this->init.self.id();
    }
    if (previous != current)
        log(LogLevel::Info, "failure domain coordinator changed",
            { { "coordinator", current.isValid() ? std::to_string(current.value) : "none" },
                { "this_instance", isActive ? "yes" : "no" } });
    for (const auto& receiver : receivers)
        this->send(receiver, status);
    if (isCoordinator)
        this->handleStatus(status);
    this->sendDigest(isActive);
    if (isActive)
        this->sendSummaries();
    this->hooks.onPeriod();
}

void Fleet::Impl::send(const Address& address, const FleetDatagram& datagram)
{
    this->socket->send(address, encodeFleetDatagram(datagram));
}

void Fleet::Impl::receive(std::string_view bytes)
{
    if (!this->started)
        return;
    const auto datagram = decodeFleetDatagram(bytes);
    if (!datagram) {
        if (const auto suppressed = this->malformedReportLimiter.take())
            log(LogLevel::Warning, "malformed report from an instance ignored",
                { { "reason", datagram.error().message() }, { "bytes", std::uint64_t { bytes.size() } },
                    { "left_out", *suppressed } });
        return;
    }
    if (const auto* status = std::get_if<InstanceStatus>(&datagram.value()))
        this->handleStatus(*status);
    else if (const auto* digest = std::get_if<FleetDigest>(&datagram.value()))
        this->handleDigest(*digest);
    else
        this->handleSummary(std::get<DomainSummary>(datagram.value()));
}

void Fleet::Impl::addMember(const FleetMember& member)
{
    bool changed = false;
    {
        const std::scoped_lock lock(this->mutex);
        changed = this->table.addOrUpdate(member, RuntimeClock::now());
    }
    if (!changed)
        return;
    log(LogLevel::Info, "member added or changed",
        { { "member", member.name }, { "domain", member.domain }, { "address", member.address.toString() } });
    this->hooks.onMembersChanged();
}

void Fleet::Impl::requestMembers(const Address& address)
{
    {
        const std::scoped_lock lock(this->mutex);
        const auto now = RuntimeClock::now();
        if (now - this->membersRequestedAt < membersRequestInterval)
            return;
        this->membersRequestedAt = now;
    }
    this->client.call(address, MembersRequest {}, membersTimeout,
        [weak = this->weak_from_this()](const Result<Message>& answer, bool) {
            const auto self = weak.lock();
            const auto* reply = answer ? std::get_if<MembersReply>(&answer.value()) : nullptr;
            if (!self || !reply)
                return;
            std::ranges::for_each(reply->members, [&](const FleetMember& member) { self->addMember(member); });
        });
}

void Fleet::Impl::handleMessage(Message message, const RpcReply& reply)
{
    if (!this->started) {
        reply.send(ErrorMessage { { ErrorKind::NotReady, Outcome::NotRun, "the instance is starting" } });
        return;
    }
    if (!std::holds_alternative<MembersRequest>(message)) {
        this->hooks.onMessage(std::move(message), reply);
        return;
    }
    MembersReply answer { { this->init.self } };
    {
        const std::scoped_lock lock(this->mutex);
        std::ranges::transform(this->table.all(), std::back_inserter(answer.members), &Peer::member);
    }
    reply.send(std::move(answer));
}

Fleet::Fleet(Runtime& runtime, FleetInit init, FleetHooks hooks)
    : impl(std::make_shared<Impl>(runtime, std::move(init), std::move(hooks)))
{
    this->impl->open();
}

Fleet::~Fleet() = default;

void Fleet::start() { this->impl->start(); }

void Fleet::setState(PeerState state)
{
    bool changed = false;
    {
        const std::scoped_lock lock(this->impl->mutex);
        changed = this->impl->state.draining != state.draining;
        this->impl->state = state;
    }
    // Reports at once, so that a stopping coordinator is replaced without waiting for the next period.
    if (changed)
        this->impl->runPeriod();
}

void Fleet::announce(const FleetMember& member) { this->impl->addMember(member); }

void Fleet::remove(const std::string& name)
{
    {
        const std::scoped_lock lock(this->impl->mutex);
        this->impl->table.remove(idFromName<NodeId>(name));
    }
    log(LogLevel::Info, "member removed", { { "member", name } });
    this->impl->hooks.onMembersChanged();
}

const FleetMember& Fleet::self() const { return this->impl->init.self; }

std::vector<Peer> Fleet::peers() const
{
    const std::scoped_lock lock(this->impl->mutex);
    return this->impl->table.all();
}

std::vector<Peer> Fleet::reachable() const
{
    const std::scoped_lock lock(this->impl->mutex);
    return this->impl->table.reachable(RuntimeClock::now());
}

std::size_t Fleet::size() const
{
    const std::scoped_lock lock(this->impl->mutex);
    return this->impl->table.size();
}

bool Fleet::isCoordinated() const
{
    const std::scoped_lock lock(this->impl->mutex);
    const auto now = RuntimeClock::now();
    return this->impl->election.active(now).isValid() || now - this->impl->lastCoordinatedAt <= coordinatorHandoverTime;
}

bool Fleet::isActiveCoordinator() const
{
    const std::scoped_lock lock(this->impl->mutex);
    return this->impl->election.active(RuntimeClock::now()) == this->impl->init.self.id();
}

std::optional<Peer> Fleet::coordinator() const
{
    const std::scoped_lock lock(this->impl->mutex);
    const auto* peer = this->impl->table.find(this->impl->election.active(RuntimeClock::now()));
    return peer ? std::optional(*peer) : std::nullopt;
}

std::optional<FleetMember> Fleet::coordinatorOf(DomainId domain) const
{
    const std::scoped_lock lock(this->impl->mutex);
    const auto found = std::ranges::find_if(
        this->impl->domains, [&](const auto& entry) { return idFromName<DomainId>(entry.first) == domain; });
    return found == this->impl->domains.end() ? std::nullopt : std::optional(found->second.coordinator);
}

void Fleet::call(const Address& address, Message message, Milliseconds timeout, RpcClient::AnswerHook hook)
{
    this->impl->client.call(address, std::move(message), timeout, std::move(hook));
}

} // namespace peridotramp
