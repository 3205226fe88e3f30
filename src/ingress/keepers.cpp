#include "ingress_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

// Time for a keeper to take a notice of reservations.
constexpr Milliseconds noticeLimit { 900 };
// Time for which the membership is left to settle before an instance reads what it has come to keep.
constexpr Milliseconds settleTime { 400 };
// Time after the store's return in which what instances remembered for each other has been stored.
constexpr Milliseconds catchUpTime { 1500 };
constexpr Milliseconds completePause { 200 };
// Time for the keeper of another failure domain to send a partition, which may hold some thousand reservations.
constexpr Milliseconds takeLimit { 300 };
// Bound of the turns that are sent to another keeper at once, below the limit of a message between instances.
constexpr std::size_t unstoredTurnsBytes = std::size_t { 3 } * 1024 * 1024;
// Least time between two notices of all reservations that an instance knows, which arrive twice within most outages.
constexpr Milliseconds sharePeriod { 2000 };

// Gives the turns of a partition that the store does not have yet to the instance that keeps it next: this instance may
// stop before the store is back.
void handOverTurns(Ingress::Impl& impl, StorePartition partition, const FleetMember& keeper)
{
    // A copy goes to the partition of its program; this one belongs to the partition itself.
    const ProgramId program { static_cast<std::uint64_t>(partition.value) };
    const auto keepFor = impl.longestRetention();
    std::uint64_t sent = 0;
    for (const auto& record : impl.turnWriter(partition).waitingRecords()) {
        auto turn = record.value.empty() ? Result<ConversationTurn>(Error { ErrorKind::UnknownTurn })
                                         : decodeTurn(record.value);
        if (!turn)
            continue;
        ++sent;
        impl.fleet.call(keeper.address, TurnCopy { program, std::move(turn.value()), keepFor }, noticeLimit,
            [id = record.key, name = keeper.name](const Result<Message>& answer, bool) {
                if (!answer)
                    log(LogLevel::Warning, "turn not handed over",
                        { { "request", id }, { "keeper", name }, { "reason", answer.error().message() } });
            });
    }
    if (sent > 0)
        log(LogLevel::Info, "turns handed over",
            { { "partition", partition.value }, { "keeper", keeper.name }, { "turns", sent } });
}

} // namespace

StorePartition Ingress::Impl::partitionOf(ProgramId program) const
{
    return { static_cast<std::int64_t>(program.value % static_cast<std::uint64_t>(this->init.storePartitions)) };
}

std::vector<FleetMember> Ingress::Impl::keeperCandidatesIn(std::string_view domain)
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

std::vector<FleetMember> Ingress::Impl::keepersOf(StorePartition partition, std::string_view domain)
{
    return weightedRendezvousOrder(this->keeperCandidatesIn(domain), static_cast<std::uint64_t>(partition.value));
}

std::vector<FleetMember> Ingress::Impl::keepersElsewhere(StorePartition partition)
{
    std::vector<FleetMember> keepers;
    for (const auto& [domain, region] : this->init.regions) {
        auto order = domain == this->init.domain ? std::vector<FleetMember>() : this->keepersOf(partition, domain);
        if (!order.empty())
            keepers.push_back(std::move(order.front()));
    }
    return keepers;
}

std::optional<std::string> Ingress::Impl::domainWithout(const std::vector<FleetMember>& keepers) const
{
    const auto missing = std::ranges::find_if(this->init.regions, [&](const auto& entry) {
        return entry.first != this->init.domain
            && std::ranges::find(keepers, entry.first, &FleetMember::domain) == keepers.end();
    });
    return missing == this->init.regions.end() ? std::nullopt : std::optional(missing->first);
}

std::optional<FleetMember> Ingress::Impl::keeperOf(ProgramId program)
{
    const auto keepers = this->keepersOf(this->partitionOf(program), this->init.domain);
    if (keepers.empty() || keepers.front().name == this->init.name)
        return std::nullopt;
    return keepers.front();
}

bool Ingress::Impl::isComplete(StorePartition partition)
{
    const std::scoped_lock lock(this->keptMutex);
    const auto found = this->kept.find(partition);
    return found != this->kept.end() && found->second.complete;
}

void Ingress::Impl::updateKept()
{
    const auto members = this->keeperCandidatesIn(this->init.domain);
    std::vector<std::string> names;
    std::ranges::transform(members, std::back_inserter(names), &FleetMember::name);
    const auto now = RuntimeClock::now();
    std::vector<StorePartition> added;
    std::vector<std::pair<StorePartition, FleetMember>> lost;
    std::vector<std::pair<StorePartition, FleetMember>> moved;
    {
        const std::scoped_lock lock(this->keptMutex);
        if (names == this->keeperCandidates)
            return;
        this->keeperCandidates = std::move(names);
        for (StorePartition partition; partition.value < this->init.storePartitions; ++partition.value) {
            const auto order = weightedRendezvousOrder(members, static_cast<std::uint64_t>(partition.value));
            const bool keeps = !order.empty() && order.front().name == this->init.name;
            const auto held = this->kept.find(partition);
            if (!keeps && held != this->kept.end()) {
                if (!order.empty())
                    moved.emplace_back(partition, order.front());
                if (held->second.complete && !order.empty())
                    lost.emplace_back(partition, order.front());
                this->kept.erase(held);
            }
            if (!keeps)
                continue;
            if (this->kept.try_emplace(partition, KeptPartition { now, false }).second)
                added.push_back(partition);
        }
    }
    // An instance that has just started may not be able to read them.
    for (const auto& [partition, keeper] : lost)
        this->handOver(partition, keeper);
    // An instance that goes on stores its turns itself; membership changes often while instances are overloaded.
    if (this->draining) {
        for (const auto& [partition, keeper] : moved)
            handOverTurns(*this, partition, keeper);
    }
    for (const auto partition : added) {
        const auto executor = this->newStrand();
        asio::co_spawn(
            executor,
            [](std::shared_ptr<Impl> impl, asio::any_io_executor strand, StorePartition kept,
                TimePoint since) -> asio::awaitable<void> {
                co_await impl->completePartition(strand, kept, since);
            }(this->shared_from_this(), executor, partition, now),
            asio::detached);
    }
}

asio::awaitable<void> Ingress::Impl::completePartition(
    asio::any_io_executor executor, StorePartition partition, TimePoint since)
{
    const auto isWanted = [&] {
        const std::scoped_lock lock(this->keptMutex);
        const auto found = this->kept.find(partition);
        return found != this->kept.end() && found->second.since == since && !found->second.complete;
    };
    co_await pauseFor(executor, settleTime);
    // Turns are sent to this instance from now on, so one answer of each domain with those of earlier is enough.
    bool hasTurns = false;
    while (isWanted()) {
        bool isKnown = false;
        const bool settled = this->storeHealth.isReachable() && this->storeHealth.sinceFailure() > catchUpTime;
        if (settled)
            isKnown = co_await this->loadReservations(executor, partition);
        if (!isKnown)
            isKnown = co_await this->takeFromKeepers(executor, partition, hasTurns);
        if (isKnown) {
            const std::scoped_lock lock(this->keptMutex);
            const auto found = this->kept.find(partition);
            if (found != this->kept.end() && found->second.since == since)
                found->second.complete = true;
            co_return;
        }
        co_await pauseFor(executor, completePause);
    }
}

std::vector<TokenReservation> Ingress::Impl::reservationsOf(StorePartition partition)
{
    std::vector<TokenReservation> reservations;
    this->tokens.forEach([&](TokenShard& shard) {
        const auto programs
            = shard.ledger->programsWhere([&](ProgramId program) { return this->partitionOf(program) == partition; });
        for (const auto program : programs)
            std::ranges::move(shard.ledger->known(program), std::back_inserter(reservations));
    });
    return reservations;
}

void Ingress::Impl::applyReservations(const std::vector<TokenReservation>& reservations)
{
    const auto now = RuntimeClock::now();
    for (const auto& reservation : reservations)
        this->tokens.with(reservation.program.value, [&](TokenShard& shard) { shard.ledger->apply(reservation, now); });
}

asio::awaitable<bool> Ingress::Impl::takeFromKeepers(
    asio::any_io_executor executor, StorePartition partition, bool& hasTurns)
{
    const bool withTurns = !hasTurns;
    const auto keepers = this->keepersElsewhere(partition);
    if (this->domainWithout(keepers))
        co_return false;
    const auto answers
        = askEach<PartitionReply>(executor, this->fleet, keepers, PartitionRequest { partition, withTurns }, takeLimit);
    bool all = !keepers.empty();
    bool allAnswered = all;
    // Each turn is held in two domains.
    std::map<std::string, std::string> turns;
    for (std::size_t index = 0; index < keepers.size(); ++index) {
        const auto next = co_await answers.next(RuntimeClock::now() + takeLimit);
        const auto answer = next.value_or(std::nullopt);
        all = all && answer && answer->complete;
        allAnswered = allAnswered && answer;
        if (!answer)
            continue;
        this->applyReservations(answer->reservations);
        for (const auto& record : answer->turns)
            turns.emplace(record.key, record.value);
    }
    std::vector<StoreRecord> records;
    std::ranges::transform(turns, std::back_inserter(records),
        [](const auto& turn) { return StoreRecord { turn.first, turn.second, {} }; });
    this->applyTurns(partition, records);
    this->turnWriter(partition).write(std::move(records));
    hasTurns = hasTurns || allAnswered;
    co_return all;
}

PartitionReply Ingress::Impl::describePartition(const PartitionRequest& request)
{
    PartitionReply reply { this->isComplete(request.partition), this->reservationsOf(request.partition), {} };
    if (!request.withTurns)
        return reply;
    std::size_t bytes = 0;
    for (auto& record : this->turnWriter(request.partition).waitingRecords()) {
        // A record without a value drops a turn that has expired.
        if (record.value.empty())
            continue;
        bytes += record.value.size();
        if (bytes > unstoredTurnsBytes)
            break;
        reply.turns.push_back({ std::move(record.key), std::move(record.value) });
    }
    return reply;
}

void Ingress::Impl::shareReservations()
{
    const auto now = RuntimeClock::now();
    auto sharedAt = this->reservationsSharedAt.load();
    const bool isDue = sharedAt == TimePoint {} || now - sharedAt >= sharePeriod;
    if (!isDue || !this->reservationsSharedAt.compare_exchange_strong(sharedAt, now))
        return;
    std::map<Address, std::vector<TokenReservation>> notices;
    for (const auto partition : this->keptPartitions()) {
        if (!this->isComplete(partition))
            continue;
        const auto reservations = this->reservationsOf(partition);
        for (const auto& keeper : this->keepersElsewhere(partition))
            std::ranges::copy(reservations, std::back_inserter(notices[keeper.address]));
    }
    for (auto& [address, reservations] : notices)
        this->fleet.call(
            address, ReservationsNotice { std::move(reservations) }, noticeLimit, [](const Result<Message>&, bool) { });
}

void Ingress::Impl::handOver(StorePartition partition, const FleetMember& keeper)
{
    HandoverNotice notice { partition, this->reservationsOf(partition) };
    log(LogLevel::Info, "partition handed over",
        { { "partition", partition.value }, { "keeper", keeper.name },
            { "reservations", std::uint64_t { notice.reservations.size() } } });
    this->fleet.call(keeper.address, std::move(notice), noticeLimit, [](const Result<Message>&, bool) { });
}

void Ingress::Impl::takeHandover(const HandoverNotice& notice)
{
    this->applyReservations(notice.reservations);
    // The membership may not have told yet that this instance keeps the partition.
    this->updateKept();
    const std::scoped_lock lock(this->keptMutex);
    const auto found = this->kept.find(notice.partition);
    if (found != this->kept.end())
        found->second.complete = true;
}

} // namespace peridotramp
