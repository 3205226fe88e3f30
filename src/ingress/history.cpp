#include "ingress_p.h"

#include <algorithm>
#include <fmt/format.h>

namespace peridotramp {

namespace {

// Timeout of a request for what an instance has in memory.
constexpr Milliseconds memoryQueryTimeout { 150 };
// Timeout of a request that makes an instance read its partitions of the store.
constexpr Milliseconds storeQueryTimeout { 700 };
constexpr Milliseconds retryAfterInconclusive { 300 };
// Time for which turns of other holders are cached.
constexpr Seconds cachedTurnLifetime { 15 };
// Maximum number of missing turns of one history that are searched for. A history that spans several programs has one
// for each.
constexpr int maxSearches = 6;

// Describes a list of instances by their number and the first one. The list may contain an instance twice.
std::string countOf(const std::vector<FleetMember>& members)
{
    std::set<std::string> names;
    std::ranges::transform(members, std::inserter(names, names.end()), &FleetMember::name);
    return fmt::format("{} (first {} in {})", names.size(), members.front().name, members.front().domain);
}

// Describes why a turn that was not found cannot be reported as unknown, for the detail of the error.
std::string describe(const InconclusiveReasons& reasons)
{
    std::vector<std::string> parts;
    if (!reasons.membersKnown)
        parts.emplace_back("list of instances not read");
    if (!reasons.unreadPartitions.empty())
        parts.push_back(fmt::format("partitions not read: {} (first {})", reasons.unreadPartitions.size(),
            reasons.unreadPartitions.begin()->value));
    if (!reasons.silent.empty())
        parts.push_back("instances not answering: " + countOf(reasons.silent));
    if (!reasons.withUnreadPartitions.empty())
        parts.push_back("instances that have not read their partitions: " + countOf(reasons.withUnreadPartitions));
    if (!reasons.withStoreFailure.empty())
        parts.push_back("instances that lost the store: " + countOf(reasons.withStoreFailure));
    if (!reasons.storeWasAvailable)
        parts.emplace_back("no instance had access to the store for the whole retention");
    return parts.empty() ? "no doubts" : fmt::format("{}", fmt::join(parts, ", "));
}

} // namespace

std::vector<SharedTurn> Ingress::Impl::localHistory(std::string_view turn)
{
    auto history = collectHistory(turn, [this](std::string_view id) { return this->findTurn(id); });
    return history.missingTurn.empty() ? std::move(history.turns) : std::vector<SharedTurn> {};
}

asio::awaitable<void> Ingress::Impl::requestTurn(asio::any_io_executor executor, std::vector<FleetMember> members,
    std::string turn, HistoryScope scope, TimePoint deadline, InconclusiveReasons& reasons)
{
    struct Answer {
        FleetMember member;
        std::optional<HistoryReply> reply;
    };
    const auto limit = scope == HistoryScope::Memory ? memoryQueryTimeout : storeQueryTimeout;
    const Mailbox<Answer> answers(executor);
    callMembers<HistoryReply>(this->fleet, members, HistoryRequest { turn, scope }, limit,
        [answers](const FleetMember& member, std::optional<HistoryReply> reply) {
            answers.push({ member, std::move(reply) });
        });
    const auto end = std::min(deadline, RuntimeClock::now() + limit);
    while (!members.empty()) {
        auto answer = co_await answers.next(end);
        if (!answer)
            break;
        if (!answer->reply)
            continue;
        std::erase_if(members, [&](const FleetMember& member) { return member.name == answer->member.name; });
        const auto availability = answer->reply->storeAvailability;
        reasons.storeWasAvailable = reasons.storeWasAvailable || availability == StoreAvailability::Available;
        if (scope == HistoryScope::Store && !answer->reply->hasReadPartitions)
            reasons.withUnreadPartitions.push_back(answer->member);
        if (scope == HistoryScope::Store && availability == StoreAvailability::Failed)
            reasons.withStoreFailure.push_back(answer->member);
        if (answer->reply->turns.empty())
            continue;
        for (auto& held : answer->reply->turns)
            this->addHeldTurn(std::move(held), std::nullopt, cachedTurnLifetime);
        co_return;
    }
    std::ranges::move(members, std::back_inserter(reasons.silent));
}

void Ingress::Impl::applyTurns(StorePartition partition, const std::vector<StoreRecord>& records, bool isStored)
{
    const auto keepFor = this->longestRetention();
    // Turns that were deleted from the store, or are in memory again.
    this->turnCursors.with(
        static_cast<std::uint64_t>(partition.value), [&](std::map<StorePartition, TurnCursor>& shard) {
            for (const auto& record : records)
                shard[partition].dropped.erase(record.key);
        });
    for (const auto& record : records) {
        if (record.value.empty())
            continue;
        auto turn = decodeTurn(record.value);
        if (turn)
            this->addHeldTurn({ std::move(turn.value()), isStored }, partition, keepFor);
        else
            log(LogLevel::Warning, "malformed stored turn ignored", { { "key", record.key } });
    }
}

asio::awaitable<bool> Ingress::Impl::readTurns(
    asio::any_io_executor executor, StorePartition partition, std::string wanted)
{
    const auto hash = static_cast<std::uint64_t>(partition.value);
    this->turnCursors.with(hash, [&](std::map<StorePartition, TurnCursor>& shard) {
        auto& cursor = shard[partition];
        if (cursor.dropped.contains(wanted))
            cursor = {};
    });
    const std::function<asio::awaitable<bool>()> read
        = [this, executor, partition]() -> asio::awaitable<bool> { return this->readNewTurns(executor, partition); };
    const bool done = co_await this->turnReads.run(executor, partition, read);
    co_return done;
}

asio::awaitable<bool> Ingress::Impl::readNewTurns(asio::any_io_executor executor, StorePartition partition)
{
    const auto withCursor = [&](const auto& function) {
        return this->turnCursors.with(static_cast<std::uint64_t>(partition.value),
            [&](std::map<StorePartition, TurnCursor>& shard) { return function(shard[partition]); });
    };
    StoreReadHooks hooks;
    std::optional<Offset> from;
    hooks.onRestart = [&] {
        from.reset();
        withCursor([](TurnCursor& cursor) { cursor = {}; });
        log(LogLevel::Info, "reading all stored turns", { { "partition", partition.value } });
    };
    hooks.onRecords = [&](const std::vector<StoreRecord>& records) { this->applyTurns(partition, records); };
    bool isCurrent = false;
    while (!isCurrent) {
        from = withCursor([](const TurnCursor& cursor) { return cursor.next; });
        const auto end = co_await readToEnd(executor, this->store, StoreTopic::Turns, partition, from, hooks);
        if (!end)
            co_return false;
        // A search for a turn that was dropped from memory may have reset the cursor meanwhile.
        isCurrent = withCursor([&](TurnCursor& cursor) {
            if (cursor.next != from)
                return false;
            cursor.next = *end;
            return true;
        });
    }
    co_return true;
}

asio::awaitable<HistoryReply> Ingress::Impl::answerHistory(asio::any_io_executor executor, HistoryRequest request)
{
    const auto collect = [&] {
        HistoryReply reply { {}, false, this->storeAvailability() };
        const auto local = collectHistory(request.turn, [this](std::string_view id) { return this->findTurn(id); });
        std::ranges::transform(local.turns, std::back_inserter(reply.turns),
            [this](const SharedTurn& turn) { return this->heldTurn(turn); });
        return reply;
    };
    auto reply = collect();
    if (!reply.turns.empty() || request.scope == HistoryScope::Memory)
        co_return reply;
    bool all = true;
    for (const auto partition : this->ownPartitions())
        all = co_await this->readTurns(executor, partition, request.turn) && all;
    reply = collect();
    reply.hasReadPartitions = all;
    co_return reply;
}

std::vector<StorePartition> Ingress::Impl::ownPartitions()
{
    const auto members = this->holderCandidates(this->init.domain);
    std::vector<StorePartition> own;
    for (StorePartition partition; partition.value < this->init.storePartitions; ++partition.value) {
        const auto order = weightedRendezvousOrder(members, static_cast<std::uint64_t>(partition.value));
        if (!order.empty() && order.front().name == this->init.name)
            own.push_back(partition);
    }
    return own;
}

std::vector<FleetMember> Ingress::Impl::holdersInAllDomains(StorePartition partition)
{
    auto holders = this->holdersInOtherDomains(partition);
    auto own = this->holderOrder(partition, this->init.domain);
    std::erase_if(own, [&](const FleetMember& member) { return member.name == this->init.name; });
    if (!own.empty())
        holders.push_back(std::move(own.front()));
    return holders;
}

StoreAvailability Ingress::Impl::storeAvailability()
{
    const auto retention = this->longestRetention();
    if (this->storeHealth.timeSinceFailure() < retention)
        return StoreAvailability::Failed;
    // Before the first start of the whole system there were no turns to lose.
    const bool isWhole = this->init.firstStart || RuntimeClock::now() - this->startedAt >= retention;
    return isWhole ? StoreAvailability::Available : StoreAvailability::AvailableSinceStart;
}

asio::awaitable<TurnSearchResult> Ingress::Impl::findMissingTurn(asio::any_io_executor executor,
    StorePartition partition, std::string turn, TimePoint deadline, InconclusiveReasons& reasons)
{
    const auto isLocal = [&] { return this->findTurn(turn) != nullptr; };
    // First the likely places: the holders of the partition in the failure domains. All instances are called below, so
    // that their answers need not be recorded here.
    InconclusiveReasons ignored;
    co_await this->requestTurn(
        executor, this->holdersInAllDomains(partition), turn, HistoryScope::Memory, deadline, ignored);
    if (isLocal())
        co_return TurnSearchResult::Found;
    if (!co_await this->readTurns(executor, partition, turn))
        reasons.unreadPartitions.insert(partition);
    if (isLocal())
        co_return TurnSearchResult::Found;
    // The turn may belong to another program, or be in the memory of no other instance than the one that answered it.
    reasons.membersKnown = this->membersKnown;
    const auto availability = this->storeAvailability();
    reasons.storeWasAvailable = availability == StoreAvailability::Available;
    if (availability == StoreAvailability::Failed)
        reasons.withStoreFailure.push_back(this->fleet.self());
    std::vector<FleetMember> members;
    std::ranges::transform(this->fleet.reachable(), std::back_inserter(members), &Peer::member);
    for (const auto& peer : this->fleet.peers()) {
        if (std::ranges::find(members, peer.member.name, &FleetMember::name) == members.end())
            reasons.silent.push_back(peer.member);
    }
    co_await this->requestTurn(executor, members, turn, HistoryScope::Memory, deadline, reasons);
    if (isLocal())
        co_return TurnSearchResult::Found;
    for (const auto own : this->ownPartitions()) {
        if (!co_await this->readTurns(executor, own, turn))
            reasons.unreadPartitions.insert(own);
    }
    if (isLocal())
        co_return TurnSearchResult::Found;
    std::erase_if(members, [&](const FleetMember& member) { return member.domain != this->init.domain; });
    co_await this->requestTurn(executor, members, turn, HistoryScope::Store, deadline, reasons);
    if (isLocal())
        co_return TurnSearchResult::Found;
    co_return reasons.isEmpty() ? TurnSearchResult::Unknown : TurnSearchResult::Inconclusive;
}

asio::awaitable<Result<std::vector<SharedTurn>>> Ingress::Impl::historyOf(
    asio::any_io_executor executor, ProgramId program, std::string turn, std::string workspace, TimePoint deadline)
{
    using History = Result<std::vector<SharedTurn>>;
    // Detail for the log line of the refusal; the caller gets only the kind of the error.
    const auto place = [&](const std::string& missing) {
        const auto partition = this->partitionOf(program);
        const auto cursor = this->turnCursors.with(
            static_cast<std::uint64_t>(partition.value), [&](const std::map<StorePartition, TurnCursor>& shard) {
                const auto found = shard.find(partition);
                const bool isRead = found != shard.end() && found->second.next;
                return isRead ? fmt::format("read to {}, {} dropped from memory", found->second.next->value,
                                    found->second.dropped.size())
                              : std::string("not read");
            });
        const auto sinceFailure = this->storeHealth.timeSinceFailure();
        const auto age = [](Duration time) { return std::chrono::duration_cast<Milliseconds>(time).count(); };
        return fmt::format("turn {}, partition {} {}, {}, started {} ms ago", missing, partition.value, cursor,
            sinceFailure == Duration::max() ? "no store failure"
                                            : fmt::format("store failed {} ms ago", age(sinceFailure)),
            age(RuntimeClock::now() - this->startedAt));
    };
    const auto inconclusive = [&](const std::string& missing, const std::string& reason) {
        return History(Error { ErrorKind::NotReady, Outcome::NotRun,
            fmt::format("history not available: {}: {}", place(missing), reason), retryAfterInconclusive });
    };
    std::string missing = turn;
    for (int search = 0; search <= maxSearches && RuntimeClock::now() < deadline; ++search) {
        const auto history = collectHistory(turn, [this](std::string_view id) { return this->findTurn(id); });
        // The newest turn determines the workspace of the conversation.
        if (!history.turns.empty() && history.turns.back()->workspace != workspace)
            co_return History(Error { ErrorKind::UnknownTurn, Outcome::NotRun, turn + " of another workspace" });
        if (history.missingTurn.empty())
            co_return History(history.turns);
        this->metrics.count("history_searches");
        InconclusiveReasons reasons;
        const auto found = co_await this->findMissingTurn(
            executor, this->partitionOf(program), history.missingTurn, deadline, reasons);
        missing = history.missingTurn;
        if (found == TurnSearchResult::Unknown)
            co_return History(Error { ErrorKind::UnknownTurn, Outcome::NotRun, place(missing) });
        if (found == TurnSearchResult::Inconclusive)
            co_return History(inconclusive(missing, describe(reasons)));
    }
    co_return History(inconclusive(missing, "too many missing turns or deadline exceeded"));
}

} // namespace peridotramp
