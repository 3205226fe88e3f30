#include "ingress_p.h"

#include <algorithm>
#include <fmt/format.h>

namespace peridotramp {

namespace {

// Time for which the end of a response waits for the store before the turn is copied to other instances; shorter while
// the store is known to be unavailable to all instances.
constexpr Milliseconds storeAckTimeout { 60 };
constexpr Milliseconds storeAckTimeoutWhenUnavailable { 10 };
// Time for which it waits for a store that answers slowly. Copies are lost when all processes end at once, so they only
// replace a store that does not answer. Longer than the timeout of a call, which tells the two apart.
constexpr Milliseconds slowStoreTimeout { 1000 };
constexpr Milliseconds storeCheckInterval { 50 };
constexpr Milliseconds copyTimeout { 250 };
constexpr Milliseconds copyRetryInterval { 100 };
// Number of other failure domains that must have a copy, so that one remains when the other is lost.
constexpr std::size_t requiredCopyDomains = 2;
constexpr Milliseconds expiryPeriod { 5000 };
// Maximum number of turns of one partition that were dropped from memory and whose ids are remembered.
constexpr std::size_t maxDroppedTurns = 10'000;
// Retention of stored turns that are read before the desired state is known.
constexpr Seconds defaultRetention { 60 };

// Returns the id of the turn without content that keeps the turn `id` for a program that continues it.
std::string referenceId(std::string_view id, ProgramId program) { return fmt::format("{}/{:x}", id, program.value); }

} // namespace

Status Ingress::Impl::checkTurnSize(const ConversationTurn& turn, std::size_t furtherBytes) const
{
    // Another program may continue the turn, whatever its id.
    constexpr ProgramId longestProgram { std::numeric_limits<std::uint64_t>::max() };
    auto accepted = this->store.checkSize(referenceId(turn.id, longestProgram).size(), 0);
    if (accepted)
        accepted = this->store.checkSize(turn.id.size(), encodedTurnBytes(turn) + furtherBytes);
    return accepted;
}

StoreWriter& PartitionWriters::get(Runtime& runtime, const MetadataStore& store, StoreWriter::Init init)
{
    return this->writers.with(static_cast<std::uint64_t>(init.partition.value), [&](Shard& shard) -> StoreWriter& {
        auto& writer = shard[init.partition];
        if (!writer)
            writer = std::make_unique<StoreWriter>(runtime, store, std::move(init));
        return *writer;
    });
}

std::size_t PartitionWriters::waiting()
{
    std::size_t records = 0;
    this->writers.forEach([&](Shard& shard) {
        for (const auto& [partition, writer] : shard)
            records += writer->waiting();
    });
    return records;
}

StoreWriter::Init Ingress::Impl::writerInit(StoreTopic topic, StorePartition partition)
{
    StoreWriter::Init init;
    init.topic = topic;
    init.partition = partition;
    init.maxBatchBytes = std::min(init.maxBatchBytes, static_cast<std::size_t>(this->init.maxStoreCallBytes.value));
    init.onRefused = [weak = this->weak_from_this()](const StoreRecord&) {
        if (const auto impl = weak.lock())
            impl->metrics.count("store_records_refused");
    };
    return init;
}

StoreWriter& Ingress::Impl::turnWriter(StorePartition partition)
{
    auto init = this->writerInit(StoreTopic::Turns, partition);
    init.onStored = [weak = this->weak_from_this()](const StoreRecord& record) {
        if (const auto impl = weak.lock())
            impl->turns.with(hashBytes(record.key), [&](ConversationTable& shard) { shard.markStored(record.key); });
    };
    init.onRefused = [weak = this->weak_from_this(), count = init.onRefused](const StoreRecord& record) {
        count(record);
        if (const auto impl = weak.lock())
            impl->turns.with(hashBytes(record.key), [&](ConversationTable& shard) { shard.markRefused(record.key); });
    };
    return this->turnWriters.get(this->runtime, this->store, std::move(init));
}

SharedTurn Ingress::Impl::findTurn(std::string_view id, TimePoint keepUntil)
{
    return this->turns.with(hashBytes(id), [&](ConversationTable& shard) { return shard.find(id, keepUntil); });
}

void Ingress::Impl::addTurn(ConversationTurn turn, std::optional<StorePartition> stored, Milliseconds keepFor)
{
    const auto keepUntil = RuntimeClock::now() + keepFor;
    auto previous = turn.previous;
    const auto hash = hashBytes(turn.id);
    this->turns.with(hash, [&](ConversationTable& shard) { shard.add(std::move(turn), keepUntil, stored); });
    // A turn is usable only with its whole history, which therefore has to be kept as long.
    while (!previous.empty()) {
        const auto earlier = this->findTurn(previous, keepUntil);
        previous = earlier ? earlier->previous : std::string();
    }
}

void Ingress::Impl::addHeldTurn(HeldTurn held, std::optional<StorePartition> stored, Milliseconds keepFor)
{
    const auto id = held.turn.id;
    this->addTurn(std::move(held.turn), stored, held.isStored ? keepFor : std::max(keepFor, this->longestRetention()));
    this->turns.with(hashBytes(id), [&](ConversationTable& shard) {
        if (held.isStored)
            shard.markStored(id);
        else
            shard.markUnstored(id, RuntimeClock::now());
    });
}

HeldTurn Ingress::Impl::heldTurn(const SharedTurn& turn)
{
    const bool isStored = this->turns.with(
        hashBytes(turn->id), [&](const ConversationTable& shard) { return shard.isStored(turn->id); });
    return { *turn, isStored };
}

void Ingress::Impl::startTurns()
{
    this->runtime.every(expiryPeriod, [this] { this->expireTurns(); });
    this->startStoringTurns();
    this->startTurnRetention();
}

Milliseconds Ingress::Impl::longestRetention() const
{
    const auto table = this->routingSnapshot()->table;
    if (!table || table->state().routes.empty())
        return defaultRetention;
    return std::ranges::max(table->state().routes, {}, &HttpRoute::retention).retention;
}

asio::awaitable<bool> Ingress::Impl::copyTurn(
    asio::any_io_executor executor, ProgramId program, const ConversationTurn& turn, Milliseconds keepFor)
{
    // The holders of the program in other failure domains, where the history is searched first for the next turn.
    auto holders = this->holdersInOtherDomains(this->partitionOf(program));
    if (holders.size() < requiredCopyDomains)
        co_return false;
    holders.resize(requiredCopyDomains);
    const auto answers
        = callEach<DoneMessage>(executor, this->fleet, holders, TurnCopy { program, turn, keepFor }, copyTimeout);
    const auto limit = RuntimeClock::now() + copyTimeout;
    bool all = true;
    for (std::size_t index = 0; index < holders.size(); ++index) {
        const auto answer = co_await answers.next(limit);
        all = all && answer && *answer;
    }
    co_return all;
}

asio::awaitable<PersistResult> Ingress::Impl::persistTurn(
    asio::any_io_executor executor, ProgramId program, ConversationTurn turn, Milliseconds keepFor, TimePoint deadline)
{
    auto encoded = encodeTurn(turn);
    if (const auto accepted = this->store.checkSize(turn.id.size(), encoded.size()); !accepted) {
        log(LogLevel::Error, "turn too large to store",
            { { "request", turn.id }, { "reason", accepted.error().message() } });
        co_return PersistResult::Dropped;
    }
    this->keepTurnsOfOtherPrograms(turn);
    const auto begin = RuntimeClock::now();
    auto& writer = this->turnWriter(this->partitionOf(program));
    Mailbox<bool> stored(executor);
    writer.write({ turn.id, std::move(encoded), {} }, [stored](bool done) { stored.push(done); });
    const auto storeTimeout = this->isStoreAvailable() ? storeAckTimeout : storeAckTimeoutWhenUnavailable;
    auto done = co_await stored.next(std::min(deadline, begin + storeTimeout));
    const auto slowStoreDeadline = std::min(deadline, begin + slowStoreTimeout);
    while (!done && this->storeHealth.isReachable() && RuntimeClock::now() < slowStoreDeadline)
        done = co_await stored.next(std::min(slowStoreDeadline, RuntimeClock::now() + storeCheckInterval));
    bool copied = false;
    while (!done && !copied && RuntimeClock::now() < deadline) {
        copied = co_await this->copyTurn(executor, program, turn, keepFor);
        if (!copied)
            done = co_await stored.next(std::min(deadline, RuntimeClock::now() + copyRetryInterval));
    }
    const bool persisted = copied || (done && *done);
    if (!persisted || copied)
        log(LogLevel::Warning, "store did not confirm the turn in time",
            { { "request", turn.id }, { "outcome", persisted ? "copied" : "dropped" },
                { "waited_ms",
                    std::int64_t { std::chrono::duration_cast<Milliseconds>(RuntimeClock::now() - begin).count() } },
                { "waiting", std::uint64_t { writer.waiting() } } });
    if (!persisted)
        co_return PersistResult::Dropped;
    co_return copied ? PersistResult::Copied : PersistResult::Stored;
}

void Ingress::Impl::keepTurnsOfOtherPrograms(const ConversationTurn& turn)
{
    const auto history = collectHistory(turn.previous, [this](std::string_view id) { return this->findTurn(id); });
    const auto own = this->partitionOf(turn.program);
    // The newest turn in each partition keeps the turns before it there.
    std::map<StorePartition, std::string> newest;
    for (const auto& earlier : history.turns)
        newest[this->partitionOf(earlier->program)] = earlier->id;
    newest.erase(own);
    for (const auto& [partition, id] : newest) {
        // A turn without content that continues the other program's turn. Each later turn replaces it.
        const ConversationTurn reference { referenceId(id, turn.program), id, {}, {}, {}, turn.program };
        this->turnWriter(partition).write({ reference.id, encodeTurn(reference), {} }, nullptr);
    }
}

void Ingress::Impl::expireTurns()
{
    const auto now = RuntimeClock::now();
    std::map<StorePartition, std::vector<std::string>> dropped;
    this->turns.forEach([&](ConversationTable& shard) {
        for (auto& expired : shard.expire(now))
            dropped[expired.partition].push_back(std::move(expired.id));
    });
    for (auto& [partition, ids] : dropped) {
        const auto hash = static_cast<std::uint64_t>(partition.value);
        this->turnCursors.with(hash, [&](std::map<StorePartition, TurnCursor>& shard) {
            auto& cursor = shard[partition];
            if (!cursor.next)
                return;
            std::ranges::move(ids, std::inserter(cursor.dropped, cursor.dropped.end()));
            // The next search reads the whole partition again.
            if (cursor.dropped.size() > maxDroppedTurns)
                cursor = {};
        });
    }
}

} // namespace peridotramp
