#include "ingress_p.h"
#include "storesettled_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Timeout of a message with reservations for another holder.
constexpr Milliseconds noticeTimeout { 900 };
// Delay before an instance loads a partition that it has begun to hold, so that the membership can settle.
constexpr Milliseconds membershipSettleTime { 400 };
constexpr Milliseconds loadRetryDelay { 200 };
// Timeout of a request for a partition, or for a page of its turns, from another holder.
constexpr Milliseconds partitionRequestTimeout { 300 };
// Maximum total size of the turns in one message to another holder. Small enough to arrive within
// `partitionRequestTimeout` also when instances are busy.
constexpr std::size_t maxTurnPageBytes = std::size_t { 512 } * 1024;
// Time after which all instances know a new holder, so that they send their reservations to it.
constexpr Seconds holderKnownTime { 3 };

} // namespace

StorePartition Ingress::Impl::partitionOf(ProgramId program) const
{
    return { static_cast<std::int64_t>(program.value % static_cast<std::uint64_t>(this->init.storePartitions)) };
}

std::vector<FleetMember> Ingress::Impl::holderCandidates(std::string_view domain)
{
    std::vector<FleetMember> members;
    if (domain == this->init.domain && !this->draining)
        members.push_back(this->fleet.self());
    for (auto& peer : this->fleet.reachable()) {
        if (peer.member.domain == domain && !peer.state.draining)
            members.push_back(std::move(peer.member));
    }
    return members;
}

std::vector<FleetMember> Ingress::Impl::holderOrder(StorePartition partition, std::string_view domain)
{
    return weightedRendezvousOrder(this->holderCandidates(domain), static_cast<std::uint64_t>(partition.value));
}

std::vector<FleetMember> Ingress::Impl::holdersInOtherDomains(StorePartition partition)
{
    std::vector<FleetMember> holders;
    for (const auto& [domain, region] : this->init.regions) {
        auto order = domain == this->init.domain ? std::vector<FleetMember>() : this->holderOrder(partition, domain);
        if (!order.empty())
            holders.push_back(std::move(order.front()));
    }
    return holders;
}

HolderScope Ingress::Impl::scopeOf(const std::vector<FleetMember>& holders) const
{
    HolderScope scope;
    for (const auto& [domain, region] : this->init.regions) {
        if (domain != this->init.domain)
            scope.domains.push_back(domain);
    }
    std::ranges::transform(holders, std::back_inserter(scope.domainsWithHolder), &FleetMember::domain);
    return scope;
}

std::optional<FleetMember> Ingress::Impl::holderOf(ProgramId program)
{
    const auto order = this->holderOrder(this->partitionOf(program), this->init.domain);
    if (order.empty() || order.front().name == this->init.name)
        return std::nullopt;
    return order.front();
}

bool Ingress::Impl::isComplete(StorePartition partition)
{
    const std::scoped_lock lock(this->heldPartitionsMutex);
    const auto found = this->heldPartitions.find(partition);
    return found != this->heldPartitions.end() && found->second.complete;
}

bool Ingress::Impl::isHolder(StorePartition partition)
{
    const std::scoped_lock lock(this->heldPartitionsMutex);
    return this->heldPartitions.contains(partition);
}

void Ingress::Impl::updateHeldPartitions()
{
    const auto members = this->holderCandidates(this->init.domain);
    std::vector<std::string> names;
    std::ranges::transform(members, std::back_inserter(names), &FleetMember::name);
    const auto now = RuntimeClock::now();
    std::vector<StorePartition> added;
    std::vector<std::pair<StorePartition, FleetMember>> completeMoved;
    {
        const std::scoped_lock lock(this->heldPartitionsMutex);
        if (names == this->holderCandidateNames)
            return;
        this->holderCandidateNames = std::move(names);
        for (StorePartition partition; partition.value < this->init.storePartitions; ++partition.value) {
            const auto order = weightedRendezvousOrder(members, static_cast<std::uint64_t>(partition.value));
            const bool isHolder = !order.empty() && order.front().name == this->init.name;
            const auto held = this->heldPartitions.find(partition);
            if (!isHolder && held != this->heldPartitions.end()) {
                if (held->second.complete && !order.empty())
                    completeMoved.emplace_back(partition, order.front());
                this->heldPartitions.erase(held);
            }
            if (!isHolder)
                continue;
            if (this->heldPartitions.try_emplace(partition, HeldPartition { now, false }).second)
                added.push_back(partition);
        }
    }
    // The new holder may have just started and not be able to read them from the store.
    for (const auto& [partition, holder] : completeMoved)
        this->handOverReservations(partition, holder);
    for (const auto partition : added) {
        const auto executor = this->newStrand();
        asio::co_spawn(
            executor,
            [](std::shared_ptr<Impl> impl, asio::any_io_executor strand, StorePartition held,
                TimePoint since) -> asio::awaitable<void> {
                co_await impl->loadPartition(strand, held, since);
            }(this->shared_from_this(), executor, partition, now),
            reportErrors("loading a partition"));
    }
}

asio::awaitable<void> Ingress::Impl::loadPartition(
    asio::any_io_executor executor, StorePartition partition, TimePoint since)
{
    const auto isHeld = [&] {
        const std::scoped_lock lock(this->heldPartitionsMutex);
        const auto found = this->heldPartitions.find(partition);
        return found != this->heldPartitions.end() && found->second.since == since;
    };
    co_await sleepFor(executor, membershipSettleTime);
    // The holders of the other failure domains send their unstored turns only once: later turns are copied to this
    // instance, which is the holder by then.
    TurnTakeover takeover;
    while (isHeld()) {
        bool isStoreAvailable = hasStoreSettled(this->storeHealth);
        bool isKnown = this->isComplete(partition);
        if (!isKnown && isStoreAvailable) {
            isKnown = co_await this->loadReservations(executor, partition);
            isStoreAvailable = isKnown;
            if (isKnown && this->isNewProcess())
                isKnown = co_await this->askHolders(executor, partition);
        }
        // While the store is available, the other holders store their turns themselves.
        bool hasTurns = isStoreAvailable;
        if (!hasTurns)
            hasTurns = co_await this->takeTurnsFromHolders(executor, partition, takeover);
        if (!isKnown)
            isKnown = co_await this->loadFromHolders(executor, partition);
        if (isKnown && hasTurns) {
            this->markComplete(partition, since);
            break;
        }
        co_await sleepFor(executor, loadRetryDelay);
    }
    // Reservations that were being confirmed while the partition was loaded may have been sent to the previous holder.
    co_await sleepFor(executor, holderKnownTime);
    if (isHeld() && hasStoreSettled(this->storeHealth))
        co_await this->loadReservations(executor, partition);
}

void Ingress::Impl::markComplete(StorePartition partition, TimePoint since)
{
    const std::scoped_lock lock(this->heldPartitionsMutex);
    const auto found = this->heldPartitions.find(partition);
    if (found != this->heldPartitions.end() && found->second.since == since)
        found->second.complete = true;
}

std::vector<TokenReservation> Ingress::Impl::reservationsOf(StorePartition partition)
{
    std::vector<TokenReservation> reservations;
    this->tokens.forEach([&](TokenShard& shard) {
        const auto programs
            = shard.ledger->programsWhere([&](ProgramId program) { return this->partitionOf(program) == partition; });
        for (const auto program : programs)
            std::ranges::move(shard.ledger->knownReservations(program), std::back_inserter(reservations));
    });
    return reservations;
}

void Ingress::Impl::applyReservations(const std::vector<TokenReservation>& reservations)
{
    const auto now = RuntimeClock::now();
    for (const auto& reservation : reservations)
        this->tokens.with(reservation.program.value, [&](TokenShard& shard) { shard.ledger->apply(reservation, now); });
}

bool Ingress::Impl::isNewProcess() const
{
    return !this->init.firstStart && RuntimeClock::now() - this->startedAt <= storeCatchUpTime;
}

asio::awaitable<bool> Ingress::Impl::askHolders(asio::any_io_executor executor, StorePartition partition)
{
    const auto holders = this->holdersInOtherDomains(partition);
    auto scope = this->scopeOf(holders);
    // Nobody can be asked in a domain without a member.
    const auto peers = this->fleet.peers();
    std::erase_if(scope.domains, [&](const std::string& domain) {
        return std::ranges::none_of(peers, [&](const Peer& peer) { return peer.member.domain == domain; });
    });
    const auto answers = co_await this->takePartition(executor, partition, holders);
    const bool haveAnswered = haveAllAnswered(scope, answers);
    co_return haveAnswered;
}

asio::awaitable<bool> Ingress::Impl::loadFromHolders(asio::any_io_executor executor, StorePartition partition)
{
    const auto holders = this->holdersInOtherDomains(partition);
    const auto scope = this->scopeOf(holders);
    if (!missingHolders(scope).empty())
        co_return false;
    const auto answers = co_await this->takePartition(executor, partition, holders);
    const bool areAllComplete = missingAnswers(scope, answers).empty();
    co_return areAllComplete;
}

asio::awaitable<HolderAnswers> Ingress::Impl::takePartition(
    asio::any_io_executor executor, StorePartition partition, std::vector<FleetMember> holders)
{
    const auto answers = callEach<PartitionReply>(
        executor, this->fleet, holders, PartitionRequest { partition }, partitionRequestTimeout);
    HolderAnswers received;
    for (std::size_t index = 0; index < holders.size(); ++index) {
        const auto next = co_await answers.next(RuntimeClock::now() + partitionRequestTimeout);
        const auto answer = next.value_or(std::nullopt);
        if (!answer)
            continue;
        ++received.answered;
        received.complete += answer->complete ? 1 : 0;
        this->takeOverReservations(answer->reservations);
    }
    co_return received;
}

asio::awaitable<bool> Ingress::Impl::takeTurnsFromHolders(
    asio::any_io_executor executor, StorePartition partition, TurnTakeover& takeover)
{
    const auto holders = this->holdersInOtherDomains(partition);
    bool all = missingHolders(this->scopeOf(holders)).empty();
    for (const auto& holder : holders) {
        const bool hasTaken = co_await this->takeTurns(executor, partition, holder, takeover);
        all = all && hasTaken;
    }
    co_return all;
}

asio::awaitable<bool> Ingress::Impl::takeTurns(
    asio::any_io_executor executor, StorePartition partition, FleetMember holder, TurnTakeover& takeover)
{
    auto& progress = takeover.holders[holder.name];
    while (!progress.done) {
        const auto answers = callEach<TurnPageReply>(executor, this->fleet, { holder },
            TurnPageRequest { partition, progress.lastKey }, partitionRequestTimeout);
        const auto next = co_await answers.next(RuntimeClock::now() + partitionRequestTimeout);
        const auto page = next.value_or(std::nullopt);
        if (!page)
            co_return false;
        std::vector<StoreRecord> records;
        for (const auto& turn : page->turns) {
            // Two failure domains have a copy of each turn.
            if (!takeover.taken.contains(turn.key))
                records.push_back({ turn.key, turn.value, {} });
        }
        this->applyTurns(partition, records, false);
        std::vector<std::string> keys;
        std::ranges::transform(records, std::back_inserter(keys), &StoreRecord::key);
        // A full write queue takes the page again later.
        if (!this->turnWriter(partition).write(std::move(records)))
            co_return false;
        std::ranges::move(keys, std::inserter(takeover.taken, takeover.taken.end()));
        if (!page->turns.empty())
            progress.lastKey = page->turns.back().key;
        progress.done = !page->more || page->turns.empty();
    }
    co_return true;
}

PartitionReply Ingress::Impl::describePartition(const PartitionRequest& request)
{
    PartitionReply reply { this->isComplete(request.partition), this->reservationsOf(request.partition), {} };
    if (request.withTurns)
        reply.turns = this->turnPage({ request.partition, {} }).turns;
    return reply;
}

TurnPageReply Ingress::Impl::turnPage(const TurnPageRequest& request)
{
    auto& writer = this->turnWriter(request.partition);
    TurnPageReply reply;
    for (auto& record : writer.waitingRecordsAfter(request.after, maxTurnPageBytes))
        reply.turns.push_back({ std::move(record.key), std::move(record.value) });
    // A single record tells whether another page follows.
    constexpr std::size_t oneRecord = 1;
    reply.more = !reply.turns.empty() && !writer.waitingRecordsAfter(reply.turns.back().key, oneRecord).empty();
    return reply;
}

void Ingress::Impl::handOverReservations(StorePartition partition, const FleetMember& holder)
{
    HandoverNotice notice { partition, this->reservationsOf(partition) };
    log(LogLevel::Info, "partition handed over",
        { { "partition", partition.value }, { "keeper", holder.name },
            { "reservations", std::uint64_t { notice.reservations.size() } } });
    this->fleet.call(holder.address, std::move(notice), noticeTimeout, [](const Result<Message>&, bool) { });
}

void Ingress::Impl::applyHandover(const HandoverNotice& notice)
{
    this->takeOverReservations(notice.reservations);
    // The change of membership that makes this instance the holder may not have been processed yet.
    this->updateHeldPartitions();
    const std::scoped_lock lock(this->heldPartitionsMutex);
    const auto found = this->heldPartitions.find(notice.partition);
    if (found != this->heldPartitions.end())
        found->second.complete = true;
}

} // namespace peridotramp
