#include "ingress_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Instances announce themselves again at this period, in case the store has lost sight of them.
constexpr Seconds announcePeriod { 20 };
// Instances that have not announced themselves and were not heard from for this time are dropped from the store.
constexpr Seconds memberLife { 90 };
constexpr Milliseconds memberReadPause { 500 };
// Time for the store to take the withdrawal of an instance that stops.
constexpr Milliseconds withdrawLimit { 200 };

} // namespace

FleetHooks Ingress::Impl::fleetHooks()
{
    FleetHooks hooks;
    hooks.fillStatus = [this](InstanceStatus& status) {
        this->allowances.fillStatus(status, RuntimeClock::now());
        this->directories.forEach([&](const std::unique_ptr<EndpointDirectory>& directory) {
            std::ranges::move(directory->reportLoad(), std::back_inserter(status.loads));
        });
    };
    hooks.onStatus = [this](const InstanceStatus& status) {
        const auto now = RuntimeClock::now();
        this->allowances.hearStatus(status, now);
        const std::scoped_lock lock(this->loadsMutex);
        this->loads.hearInstance(status.sender.id(), status.loads, now);
    };
    hooks.fillSummary = [this](DomainSummary& summary) {
        const auto now = RuntimeClock::now();
        this->allowances.fillSummary(summary, now);
        const std::scoped_lock lock(this->loadsMutex);
        summary.loads = this->loads.domainSum(now);
    };
    hooks.onSummary = [this](const DomainSummary& summary) {
        const auto now = RuntimeClock::now();
        this->allowances.hearSummary(summary, now);
        const std::scoped_lock lock(this->loadsMutex);
        this->loads.hearDomain(summary.sender.domain, summary.loads, now);
    };
    hooks.fillDigest = [this](FleetDigest& digest) {
        const std::scoped_lock lock(this->loadsMutex);
        digest.loads = this->loads.fleetSum(RuntimeClock::now());
    };
    hooks.onDigest = [this](const FleetDigest& digest) {
        this->directories.forEach(
            [&](const std::unique_ptr<EndpointDirectory>& directory) { directory->hearFleetLoad(digest.loads); });
    };
    hooks.onMessage = [this](Message message, const RpcReply& reply) { this->handlePeer(std::move(message), reply); };
    hooks.onPeriod = [this] { this->endPeriod(); };
    hooks.onMembersChanged = [this] { this->updateTerms(); };
    return hooks;
}

void Ingress::Impl::startPeers()
{
    StoreFollower::Init members;
    members.topic = StoreTopic::Members;
    members.pause = memberReadPause;
    StoreFollower follower;
    const auto applyAll = [this](const std::vector<StoreRecord>& records) {
        std::ranges::for_each(records, [&](const StoreRecord& record) { this->applyMember(record); });
    };
    follower.onSnapshot = [this, applyAll](const std::vector<StoreRecord>& records) {
        applyAll(records);
        this->membersKnown = true;
    };
    follower.onRecords = applyAll;
    followStore(this->newStrand(), this->store, members, std::move(follower));

    this->announceMember();
    // The first announcement may meet a store that is away.
    this->runtime.after(Seconds(1), [this] { this->announceMember(); });
    this->runtime.every(announcePeriod, [this] {
        this->announceMember();
        this->pruneMembers();
    });
    this->fleet.start();
}

void Ingress::Impl::announceMember()
{
    if (this->draining)
        return;
    const StoreRecord record { this->init.name, encodeMember(this->fleet.self()), {} };
    this->store.append(StoreTopic::Members, {}, { record }, [](const Result<Offset>& result) {
        if (!result)
            log(LogLevel::Warning, "announcement failed", { { "reason", result.error().message() } });
    });
}

void Ingress::Impl::withdrawMember(std::function<void()> done)
{
    const auto finish = [called = std::make_shared<std::atomic<bool>>(false), done = std::move(done)] {
        if (!called->exchange(true))
            done();
    };
    this->store.append(
        StoreTopic::Members, {}, { { this->init.name, {}, {} } }, [finish](const Result<Offset>& result) {
            if (!result)
                log(LogLevel::Warning, "announcement not withdrawn", { { "reason", result.error().message() } });
            finish();
        });
    this->runtime.after(withdrawLimit, finish);
}

void Ingress::Impl::pruneMembers()
{
    if (!this->fleet.isActiveCoordinator())
        return;
    const auto now = RuntimeClock::now();
    for (const auto& peer : this->fleet.peers()) {
        const bool silent = !peer.heard || peer.timeSinceHeard(now) > memberLife;
        if (peer.member.domain != this->init.domain || !silent || now - peer.announcedAt <= memberLife)
            continue;
        log(LogLevel::Info, "member given up", { { "member", peer.member.name } });
        this->store.append(StoreTopic::Members, {}, { { peer.member.name, {}, {} } }, [](const Result<Offset>&) { });
    }
}

void Ingress::Impl::applyMember(const StoreRecord& record)
{
    if (record.key == this->init.name)
        return;
    if (record.value.empty()) {
        this->fleet.remove(record.key);
        return;
    }
    const auto member = decodeMember(record.value);
    if (member && member->name == record.key)
        this->fleet.announce(*member);
    else
        log(LogLevel::Warning, "member record ignored", { { "member", record.key } });
}

double Ingress::Impl::coldShare(std::string_view endpoint, double coldRate)
{
    // When there are more instances than requests a second, only some of them may send; all agree on which.
    const auto weight = [&](const std::string& name) { return hashBytes(name, hashBytes(endpoint)); };
    const auto list = this->fleet.peers();
    const auto own = weight(this->init.name);
    const auto ahead = static_cast<double>(
        std::ranges::count_if(list, [&](const Peer& peer) { return weight(peer.member.name) > own; }));
    const auto senders = std::min(static_cast<double>(list.size() + 1), std::max(1.0, std::floor(coldRate)));
    return ahead < senders ? 1.0 / senders : 0.0;
}

void Ingress::Impl::endPeriod()
{
    const auto now = RuntimeClock::now();
    this->fleet.setState({ this->storeHealth.isReachable(), this->draining });
    this->allowances.setFleet(this->fleet.peers(), this->fleet.isCoordinated(), now);
    if (this->fleet.isActiveCoordinator())
        this->allowances.rebalance(now);
    else
        this->allowances.release();
    this->updateKept();
    if (!this->storeHealth.isReachable())
        this->shareReservations();
    this->updateReachability();
    if (!this->view()->table || !this->endpointsKnown)
        this->askForState();
}

void Ingress::Impl::updateReachability()
{
    const auto now = RuntimeClock::now();
    auto heard = this->fleet.peers();
    std::erase_if(heard, [](const Peer& peer) { return !peer.heard; });
    std::vector<PeerContact> contacts;
    std::ranges::transform(heard, std::back_inserter(contacts),
        [&](const Peer& peer) { return PeerContact { peer.member.domain, peer.timeSinceHeard(now) }; });
    const auto silent = unreachableDomains(contacts, this->init.domain, {});
    this->directories.forEach(
        [&](const std::unique_ptr<EndpointDirectory>& directory) { directory->setSilentDomains(silent); });
    const bool cutOff = isIsolated(contacts, this->init.domain, this->storeHealth.isReachable(), {});
    if (this->isolated.exchange(cutOff) == cutOff || this->draining)
        return;
    // Callers that open a new connection reach an instance that is not cut off.
    this->callerServer->closeAfterResponses(cutOff);
    log(cutOff ? LogLevel::Warning : LogLevel::Info, cutOff ? "isolated; not ready" : "no longer isolated");
}

namespace {

// Answers a message of another instance by a coroutine on a strand of its own.
template <typename Operation>
void answerLater(const std::shared_ptr<Ingress::Impl>& impl, const RpcReply& reply, Operation operation)
{
    const auto executor = impl->newStrand();
    asio::co_spawn(
        executor,
        [](std::shared_ptr<Ingress::Impl> owner, asio::any_io_executor strand, RpcReply answer,
            Operation body) -> asio::awaitable<void> { co_await body(*owner, strand, answer); }(impl, executor, reply,
                                std::move(operation)),
        asio::detached);
}

asio::awaitable<void> answerBeginTurn(
    Ingress::Impl& impl, asio::any_io_executor strand, RpcReply reply, BeginTurnRequest request)
{
    auto begun = co_await impl.beginTurn(strand, request);
    if (!begun) {
        reply.send(ErrorMessage { begun.error() });
        co_return;
    }
    if (!request.previousTurn.empty()) {
        for (const auto& turn : impl.heldHistory(request.previousTurn))
            begun.value().history.push_back(*turn);
    }
    // The asking instance goes on without this one when it has not waited for the answer.
    if (!reply.send(std::move(begun.value())) && request.budget)
        impl.settleTokens(request.program, request.hold, {});
}

asio::awaitable<void> answerLease(
    Ingress::Impl& impl, asio::any_io_executor strand, RpcReply reply, LeaseRequest request)
{
    AllowanceLease lease;
    if (impl.fleet.isActiveCoordinator())
        lease = co_await impl.grantLease(strand, request);
    reply.send(LeaseReply { lease });
}

} // namespace

void Ingress::Impl::handlePeer(Message message, const RpcReply& reply)
{
    const auto impl = this->shared_from_this();
    if (auto* begin = std::get_if<BeginTurnRequest>(&message)) {
        answerLater(impl, reply, [request = std::move(*begin)](Impl& self, auto strand, RpcReply answer) {
            return answerBeginTurn(self, std::move(strand), std::move(answer), request);
        });
    } else if (auto* end = std::get_if<EndTurnNotice>(&message)) {
        this->endTurn(std::move(*end));
        reply.send(DoneMessage {});
    } else if (auto* lease = std::get_if<LeaseRequest>(&message)) {
        answerLater(impl, reply, [request = *lease](Impl& self, auto strand, RpcReply answer) {
            return answerLease(self, std::move(strand), std::move(answer), request);
        });
    } else if (const auto* room = std::get_if<RoomRequest>(&message)) {
        reply.send(RoomReply { this->fleet.isActiveCoordinator() ? this->allowances.lend(*room) : AllowanceRoom {} });
    } else if (auto* history = std::get_if<HistoryRequest>(&message)) {
        answerLater(impl, reply,
            [request = std::move(*history)](
                Impl& self, asio::any_io_executor strand, RpcReply answer) -> asio::awaitable<void> {
                auto found = co_await self.answerHistory(strand, request);
                answer.send(std::move(found));
            });
    } else if (auto* copy = std::get_if<TurnCopy>(&message)) {
        // The sender may be gone before the store is back, so the copy is stored from here, too.
        const auto partition = this->partitionOf(copy->program);
        // Set before the call returns when the record finds no room. The sender must not count such a copy: nobody
        // would store it.
        const auto refused = std::make_shared<std::atomic<bool>>(false);
        this->turnWriter(partition).write({ copy->turn.id, encodeTurn(copy->turn), {} }, [refused](bool stored) {
            if (!stored)
                *refused = true;
        });
        if (*refused) {
            reply.send(ErrorMessage { { ErrorKind::Overloaded, Outcome::NotRun, "no room for the turn" } });
            return;
        }
        this->addTurn(std::move(copy->turn), partition, copy->keepFor);
        reply.send(DoneMessage {});
    } else if (const auto* request = std::get_if<GiveBackRequest>(&message)) {
        answerLater(impl, reply,
            [program = request->program](
                Impl& self, asio::any_io_executor strand, RpcReply answer) -> asio::awaitable<void> {
                const bool complete = co_await self.giveBackTokens(strand, program);
                answer.send(GiveBackReply { complete });
            });
    } else if (const auto* reservation = std::get_if<ReservationCopy>(&message)) {
        reply.send(this->takeReservationCopy(reservation->reservation));
    } else if (const auto* handover = std::get_if<HandoverNotice>(&message)) {
        this->takeHandover(*handover);
        reply.send(DoneMessage {});
    } else if (const auto* notice = std::get_if<ReservationsNotice>(&message)) {
        this->applyReservations(notice->reservations);
        reply.send(DoneMessage {});
    } else if (const auto* wanted = std::get_if<PartitionRequest>(&message)) {
        reply.send(this->describePartition(*wanted));
    } else if (std::holds_alternative<StateRequest>(message)) {
        reply.send(this->knownState());
    } else if (auto* call = std::get_if<StoreCallRequest>(&message)) {
        HttpRequest http { call->method, call->target, {}, std::move(call->body) };
        if (!call->contentType.empty())
            http.headers.push_back({ "Content-Type", call->contentType });
        this->callStoreDirectly(
            std::move(http), call->timeout, [reply](const HttpResult&, const HttpResponse& response) {
                reply.send(StoreCallReply { response.status, response.body });
            });
    } else {
        reply.send(ErrorMessage { { ErrorKind::InvalidRequest, Outcome::NotRun } });
    }
}

} // namespace peridotramp
