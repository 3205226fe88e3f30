#include "ingress_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Interval at which an instance writes its member record again, in case the store has lost it.
constexpr Seconds announcePeriod { 20 };
// The record of an instance that has not written it and has not been heard from for this long is deleted.
constexpr Seconds memberLifetime { 90 };
constexpr Milliseconds memberReadInterval { 500 };
// Maximum time for which a shutdown waits until the store has deleted the member record.
constexpr Milliseconds withdrawTimeout { 200 };

} // namespace

FleetHooks Ingress::Impl::fleetHooks()
{
    FleetHooks hooks;
    hooks.fillStatus = [this](InstanceStatus& status) {
        status.topicEnds = this->topicEnds();
        this->allowances.fillStatus(status, RuntimeClock::now());
        this->directories.forEach([&](const std::unique_ptr<EndpointDirectory>& directory) {
            std::ranges::move(directory->reportLoad(), std::back_inserter(status.loads));
        });
    };
    hooks.onStatus = [this](const InstanceStatus& status) {
        const auto now = RuntimeClock::now();
        this->compareTopicEnds(status.sender, status.topicEnds);
        this->allowances.applyStatus(status, now);
        const std::scoped_lock lock(this->loadsMutex);
        this->loads.applyInstanceLoad(status.sender.id(), status.loads, now);
    };
    hooks.fillSummary = [this](DomainSummary& summary) {
        const auto now = RuntimeClock::now();
        summary.topicEnds = this->topicEnds();
        this->allowances.fillSummary(summary, now);
        const std::scoped_lock lock(this->loadsMutex);
        summary.loads = this->loads.domainLoad(now);
    };
    hooks.onSummary = [this](const DomainSummary& summary) {
        const auto now = RuntimeClock::now();
        this->compareTopicEnds(summary.sender, summary.topicEnds);
        this->allowances.applySummary(summary, now);
        const std::scoped_lock lock(this->loadsMutex);
        this->loads.applyDomainLoad(summary.sender.domain, summary.loads, now);
    };
    hooks.fillDigest = [this](FleetDigest& digest) {
        digest.topicEnds = this->topicEnds();
        const std::scoped_lock lock(this->loadsMutex);
        digest.loads = this->loads.fleetLoad(RuntimeClock::now());
    };
    hooks.onDigest = [this](const FleetDigest& digest) {
        this->compareTopicEnds(digest.sender, digest.topicEnds);
        this->directories.forEach(
            [&](const std::unique_ptr<EndpointDirectory>& directory) { directory->applyFleetLoad(digest.loads); });
    };
    hooks.onMessage
        = [this](Message message, const RpcReply& reply) { this->handlePeerMessage(std::move(message), reply); };
    hooks.onPeriod = [this] { this->onStatusPeriod(); };
    // On the strand on which a desired state is applied, which updates the limits, too.
    hooks.onMembersChanged
        = [this] { asio::post(this->operatorStrand, [impl = this->shared_from_this()] { impl->updateLimits(); }); };
    return hooks;
}

void Ingress::Impl::startPeers()
{
    StoreFollower::Init members;
    members.topic = StoreTopic::Members;
    members.pause = memberReadInterval;
    StoreFollower follower;
    const auto applyAll = [this](const std::vector<StoreRecord>& records) {
        std::ranges::for_each(records, [&](const StoreRecord& record) { this->applyMember(record); });
    };
    follower.onSnapshot = [this, applyAll](const std::vector<StoreRecord>& records, Offset) {
        applyAll(records);
        this->membersKnown = true;
    };
    follower.onRecords = applyAll;
    followStore(this->newStrand(), this->store, members, std::move(follower));

    this->announceMember();
    // The first write fails if the store is unavailable at that moment.
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
            log(LogLevel::Warning, "failed to write the member record of this instance",
                { { "reason", result.error().message() } });
    });
}

void Ingress::Impl::restoreMember(const StoreRecord& record)
{
    if (this->draining || record.value == encodeMember(this->fleet.self()))
        return;
    log(LogLevel::Info, "member record of this instance written again",
        { { "replaced_by", record.value.empty() ? "deletion" : "other record" } });
    this->announceMember();
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
                log(LogLevel::Warning, "failed to delete the member record of this instance",
                    { { "reason", result.error().message() } });
            finish();
        });
    this->runtime.after(withdrawTimeout, finish);
}

void Ingress::Impl::pruneMembers()
{
    if (!this->fleet.isActiveCoordinator())
        return;
    const auto now = RuntimeClock::now();
    for (const auto& peer : this->fleet.peers()) {
        const bool silent = !peer.heard || peer.timeSinceHeard(now) > memberLifetime;
        if (peer.member.domain != this->init.domain || !silent || now - peer.announcedAt <= memberLifetime)
            continue;
        log(LogLevel::Info, "deleting the member record of a silent instance", { { "member", peer.member.name } });
        this->store.append(StoreTopic::Members, {}, { { peer.member.name, {}, {} } }, [](const Result<Offset>&) { });
    }
}

void Ingress::Impl::applyMember(const StoreRecord& record)
{
    if (record.key == this->init.name) {
        this->restoreMember(record);
        return;
    }
    if (record.value.empty()) {
        this->fleet.remove(record.key);
        return;
    }
    const auto member = decodeMember(record.value);
    if (member && member->name == record.key)
        this->fleet.announce(*member);
    else
        log(LogLevel::Warning, "malformed member record ignored", { { "member", record.key } });
}

double Ingress::Impl::coldShare(std::string_view endpoint, double coldRate)
{
    // When there are more instances than requests that the cold endpoint can take in a second, only some of the
    // instances may send to it. The hash makes all instances select the same ones.
    const auto weight = [&](const std::string& name) { return hashBytes(name, hashBytes(endpoint)); };
    const auto list = this->fleet.peers();
    const auto own = weight(this->init.name);
    const auto ahead = static_cast<double>(
        std::ranges::count_if(list, [&](const Peer& peer) { return weight(peer.member.name) > own; }));
    const auto senders = std::min(static_cast<double>(list.size() + 1), std::max(1.0, std::floor(coldRate)));
    return ahead < senders ? 1.0 / senders : 0.0;
}

void Ingress::Impl::onStatusPeriod()
{
    const auto now = RuntimeClock::now();
    this->fleet.setState({ this->storeHealth.isReachable(), this->draining });
    this->allowances.setFleet(this->fleet.peers(), this->fleet.isCoordinated(), now);
    if (this->fleet.isActiveCoordinator())
        this->allowances.rebalance(now);
    else
        this->allowances.release();
    this->updateHeldPartitions();
    this->updateReachability();
    if (!this->routingSnapshot()->table || !this->endpointsKnown)
        this->requestMissingState();
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
        [&](const std::unique_ptr<EndpointDirectory>& directory) { directory->setUnreachableDomains(silent); });
    const bool nowIsolated = isIsolated(contacts, this->init.domain, this->storeHealth.isReachable(), {});
    if (this->isolated.exchange(nowIsolated) == nowIsolated || this->draining)
        return;
    // With a new connection, callers reach an instance that is not isolated.
    this->callerServer->closeAfterResponses(nowIsolated);
    log(nowIsolated ? LogLevel::Warning : LogLevel::Info, nowIsolated ? "isolated; not ready" : "no longer isolated");
}

namespace {

// Answers a message of another instance from a coroutine on its own strand.
template <typename Operation>
void replyAsync(const std::shared_ptr<Ingress::Impl>& impl, const RpcReply& reply, Operation operation)
{
    const auto executor = impl->newStrand();
    asio::co_spawn(
        executor,
        [](std::shared_ptr<Ingress::Impl> owner, asio::any_io_executor strand, RpcReply answer,
            Operation body) -> asio::awaitable<void> { co_await body(*owner, strand, answer); }(impl, executor, reply,
                                std::move(operation)),
        reportErrors("answering a peer"));
}

asio::awaitable<void> handleBeginTurn(
    Ingress::Impl& impl, asio::any_io_executor strand, RpcReply reply, BeginTurnRequest request)
{
    auto begun = co_await impl.beginTurn(strand, request);
    if (!begun) {
        reply.send(ErrorMessage { begun.error() });
        co_return;
    }
    if (!request.previousTurn.empty()) {
        for (const auto& turn : impl.localHistory(request.previousTurn))
            begun.value().history.push_back(impl.heldTurn(turn));
    }
    // The sender continues without this instance if it has stopped waiting for the answer, so the tokens are released.
    if (!reply.send(std::move(begun.value())) && request.budget)
        impl.settleTokens(request.program, request.hold, {});
}

asio::awaitable<void> handleLeaseRequest(
    Ingress::Impl& impl, asio::any_io_executor strand, RpcReply reply, LeaseRequest request)
{
    AllowanceLease lease;
    if (impl.fleet.isActiveCoordinator())
        lease = co_await impl.grantLease(strand, request);
    reply.send(LeaseReply { lease });
}

} // namespace

void Ingress::Impl::handlePeerMessage(Message message, const RpcReply& reply)
{
    const auto impl = this->shared_from_this();
    if (auto* begin = std::get_if<BeginTurnRequest>(&message)) {
        replyAsync(impl, reply, [request = std::move(*begin)](Impl& self, auto strand, RpcReply answer) {
            return handleBeginTurn(self, std::move(strand), std::move(answer), request);
        });
    } else if (auto* end = std::get_if<EndTurnNotice>(&message)) {
        this->endTurn(std::move(*end));
        reply.send(DoneMessage {});
    } else if (auto* lease = std::get_if<LeaseRequest>(&message)) {
        replyAsync(impl, reply, [request = *lease](Impl& self, auto strand, RpcReply answer) {
            return handleLeaseRequest(self, std::move(strand), std::move(answer), request);
        });
    } else if (const auto* loan = std::get_if<QuotaLoanRequest>(&message)) {
        reply.send(QuotaLoanReply { this->fleet.isActiveCoordinator() ? this->allowances.lend(*loan) : QuotaLoan {} });
    } else if (auto* history = std::get_if<HistoryRequest>(&message)) {
        replyAsync(impl, reply,
            [request = std::move(*history)](
                Impl& self, asio::any_io_executor strand, RpcReply answer) -> asio::awaitable<void> {
                auto found = co_await self.answerHistory(strand, request);
                answer.send(std::move(found));
            });
    } else if (auto* copy = std::get_if<TurnCopy>(&message)) {
        // The sender may fail before the store is available again, so this instance stores the copy, too.
        const auto partition = this->partitionOf(copy->program);
        if (const auto accepted = this->checkTurnSize(copy->turn, 0); !accepted) {
            reply.send(ErrorMessage { accepted.error() });
            return;
        }
        // When its queue is full, the writer calls the hook before `write` returns. The copy must then not be
        // confirmed, as nobody would store it.
        const auto refused = std::make_shared<std::atomic<bool>>(false);
        this->turnWriter(partition).write({ copy->turn.id, encodeTurn(copy->turn), {} }, [refused](bool stored) {
            if (!stored)
                *refused = true;
        });
        if (*refused) {
            reply.send(ErrorMessage { { ErrorKind::Overloaded, Outcome::NotRun, "write queue is full" } });
            return;
        }
        this->addHeldTurn({ std::move(copy->turn), false }, partition, copy->keepFor);
        reply.send(DoneMessage {});
    } else if (const auto* request = std::get_if<ReleaseTokensRequest>(&message)) {
        replyAsync(impl, reply,
            [program = request->program](
                Impl& self, asio::any_io_executor strand, RpcReply answer) -> asio::awaitable<void> {
                const bool allReleased = co_await self.releaseTokens(strand, program);
                answer.send(ReleaseTokensReply { allReleased });
            });
    } else if (const auto* reservation = std::get_if<ReservationCopy>(&message)) {
        if (reservation->stored && !this->isHolder(this->partitionOf(reservation->reservation.program)))
            reply.send(ErrorMessage { { ErrorKind::NotReady, Outcome::NotRun, "not the holder of the partition" } });
        else
            reply.send(this->handleReservationCopy(*reservation));
    } else if (const auto* handover = std::get_if<HandoverNotice>(&message)) {
        this->applyHandover(*handover);
        reply.send(DoneMessage {});
    } else if (const auto* notice = std::get_if<ReservationsNotice>(&message)) {
        if (this->applyReservationsNotice(notice->reservations))
            reply.send(DoneMessage {});
        else
            reply.send(ErrorMessage { { ErrorKind::NotReady, Outcome::NotRun, "not the holder of the partition" } });
    } else if (const auto* wanted = std::get_if<PartitionRequest>(&message)) {
        reply.send(this->describePartition(*wanted));
    } else if (const auto* stored = std::get_if<StoredTurnsRequest>(&message)) {
        reply.send(this->storedTurns(*stored));
    } else if (const auto* page = std::get_if<TurnPageRequest>(&message)) {
        reply.send(this->turnPage(*page));
    } else if (const auto* state = std::get_if<StateRequest>(&message)) {
        reply.send(this->currentState(state->known));
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
