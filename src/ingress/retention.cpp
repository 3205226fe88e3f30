#include "ingress_p.h"
#include "storesettled_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

constexpr Seconds cleaningPeriod { 10 };
// Time for which an instance must have been the one that deletes the turns of a partition before it reads the
// partition, so that a change of membership for a moment does not cost a read of all turns.
constexpr Seconds ownershipSettleTime { 30 };
// Time for which a stored turn is kept after its retention. Longer than turns are in progress, and than most outages of
// the store, in which later turns of the conversation wait to be stored.
constexpr Seconds deletionDelay { 20 };
// Maximum number of turns that one append deletes.
constexpr std::size_t maxDeletionsPerAppend = 1000;
// Timeout of an append of deletions.
constexpr Seconds deletionTimeout { 3 };

} // namespace

void Ingress::Impl::startTurnRetention()
{
    this->runtime.every(cleaningPeriod, [this] {
        if (this->draining || !this->membersKnown || this->isCleaning.exchange(true))
            return;
        const auto executor = this->newStrand();
        asio::co_spawn(executor, this->deleteExpiredTurns(executor),
            [impl = this->shared_from_this()](const std::exception_ptr& error) {
                impl->isCleaning = false;
                logUnexpectedError("deleting expired turns", error);
            });
    });
}

std::vector<StorePartition> Ingress::Impl::partitionsToClean()
{
    std::vector<FleetMember> members;
    if (this->storeHealth.isReachable())
        members.push_back(this->fleet.self());
    for (auto& peer : this->fleet.reachable()) {
        if (peer.state.storeReachable && !peer.state.draining)
            members.push_back(std::move(peer.member));
    }
    std::vector<StorePartition> partitions;
    for (StorePartition partition; partition.value < this->init.storePartitions; ++partition.value) {
        const auto order = weightedRendezvousOrder(members, static_cast<std::uint64_t>(partition.value));
        if (!order.empty() && order.front().name == this->init.name)
            partitions.push_back(partition);
    }
    return partitions;
}

asio::awaitable<void> Ingress::Impl::deleteExpiredTurns(asio::any_io_executor executor)
{
    const auto partitions = this->partitionsToClean();
    std::erase_if(this->cleanedPartitions,
        [&](const auto& entry) { return std::ranges::find(partitions, entry.first) == partitions.end(); });
    for (const auto partition : partitions) {
        auto& cleaned
            = this->cleanedPartitions.try_emplace(partition, CleanedPartition { RuntimeClock::now() }).first->second;
        if (RuntimeClock::now() - cleaned.since >= ownershipSettleTime)
            co_await this->cleanPartition(executor, partition, cleaned);
    }
}

asio::awaitable<void> Ingress::Impl::cleanPartition(
    asio::any_io_executor executor, StorePartition partition, CleanedPartition& cleaned)
{
    StoreReadHooks hooks;
    hooks.onRestart = [&] {
        cleaned.next.reset();
        cleaned.retention.clear();
    };
    hooks.onRecords = [&](const std::vector<StoreRecord>& records) {
        const auto keepUntil = RuntimeClock::now() + this->longestRetention();
        for (const auto& record : records) {
            if (record.value.empty()) {
                cleaned.retention.remove(record.key);
                continue;
            }
            // A malformed turn is of no use to anybody, so it is deleted in time, too.
            const auto turn = decodeTurn(record.value);
            cleaned.retention.add(record.key, turn ? turn->previous : std::string(), keepUntil);
        }
    };
    const auto end = co_await readToEnd(executor, this->store, StoreTopic::Turns, partition, cleaned.next, hooks);
    if (!end)
        co_return;
    cleaned.next = *end;
    // After an outage, later turns of a conversation may not be stored yet.
    if (!hasStoreSettled(this->storeHealth))
        co_return;
    auto expired = cleaned.retention.neededUntil(RuntimeClock::now() - deletionDelay);
    expired.resize(std::min(expired.size(), maxDeletionsPerAppend));
    if (expired.empty())
        co_return;
    std::vector<StoreRecord> deletions;
    std::ranges::transform(
        expired, std::back_inserter(deletions), [](const std::string& id) { return StoreRecord { id, {}, {} }; });
    const std::function<void(MetadataStore::AppendHook)> start = [&](MetadataStore::AppendHook hook) {
        this->store.append(StoreTopic::Turns, partition, deletions, std::move(hook));
    };
    const auto appended = co_await awaitResult<Result<Offset>>(executor, RuntimeClock::now() + deletionTimeout, start);
    // Turns whose deletion is not confirmed stay in `retention` until the partition shows it.
    const bool stored = appended && *appended;
    log(stored ? LogLevel::Info : LogLevel::Warning, "expired turns deleted from the store",
        { { "partition", partition.value }, { "turns", std::uint64_t { expired.size() } },
            { "kept", std::uint64_t { cleaned.retention.size() } }, { "stored", stored ? "yes" : "no" } });
}

} // namespace peridotramp
