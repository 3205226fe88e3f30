#include "ingress_p.h"
#include "storesettled_p.h"

#include <algorithm>

// A program may go on for as long as callers like, and each instance may admit turns from what it has reserved before
// without telling the others. So the log decides when a budget is forgotten: an instance that uses its reservation
// writes a new record of it from time to time, and one that has not heard of a program reads the log before it forgets.

namespace peridotramp {

namespace {

constexpr Milliseconds expiryPeriod { 5000 };
// Time after which use of a reservation has to show in the log.
constexpr Seconds renewalPeriod { 10 };
// Kept beyond the longest retention of a program: until its last use shows in the log, and time for a slow store.
constexpr Seconds expiryMargin { 30 };
// An instance that is not reached, or does not reach the store, may use a program without a record in the log. Budgets
// are kept longer by this time meanwhile, which outlasts most partitions of the network.
constexpr std::chrono::minutes partitionedLifetime { 10 };
// Time for which all instances must have been connected, so that they have written what they owe the log.
constexpr Seconds connectedSettleTime { 10 };

} // namespace

void appendReservationDeletions(
    std::vector<StoreRecord>& records, TokenReservation reservation, const RevisionRange& revisions)
{
    for (reservation.revision = revisions.first; reservation.revision < revisions.end; ++reservation.revision)
        records.push_back({ reservationKey(reservation), {}, {} });
}

void Ingress::Impl::startBudgetExpiry()
{
    this->runtime.every(expiryPeriod, [this] {
        this->updateFleetConnected();
        this->renewReservations();
        if (this->isExpiringBudgets.exchange(true))
            return;
        const auto executor = this->newStrand();
        asio::co_spawn(executor, this->expireBudgets(executor, RuntimeClock::now() - this->budgetLifetime()),
            [impl = this->shared_from_this()](const std::exception_ptr& error) {
                impl->isExpiringBudgets = false;
                logUnexpectedError("expiring budgets", error);
            });
    });
}

void Ingress::Impl::renewReservations()
{
    // Without the store its writer would queue one more record in each period.
    if (this->draining || !hasStoreSettled(this->storeHealth))
        return;
    std::vector<TokenReservation> renewed;
    this->tokens.forEach([&](TokenShard& shard) {
        const auto isReserving = [&](ProgramId program) { return shard.queues.contains(program); };
        std::ranges::move(
            shard.ledger->renew(RuntimeClock::now() - renewalPeriod, isReserving), std::back_inserter(renewed));
    });
    for (const auto& reservation : renewed) {
        auto records = this->reservationRecords(reservation);
        auto& writer = this->tokenWriter(this->partitionOf(reservation.program));
        writer.write(std::move(records.front()), [weak = this->weak_from_this(), reservation](bool stored) {
            const auto impl = weak.lock();
            if (!impl)
                return;
            impl->tokens.with(reservation.program.value, [&](TokenShard& shard) {
                if (stored)
                    shard.ledger->markSupersededDeleted(reservation);
                else
                    shard.ledger->markUncertain(reservation.program);
            });
        });
        records.erase(records.begin());
        writer.write(std::move(records));
    }
    this->metrics.count("reservations_renewed", static_cast<double>(renewed.size()));
}

Duration Ingress::Impl::budgetLifetime() const
{
    const bool isConnected
        = this->fleetConnectedSince && RuntimeClock::now() - *this->fleetConnectedSince >= connectedSettleTime;
    const Duration extra = isConnected ? Duration(0) : Duration(partitionedLifetime);
    return this->longestRetention() + expiryMargin + extra;
}

void Ingress::Impl::updateFleetConnected()
{
    const auto reachable = this->fleet.reachable();
    const bool isConnected = hasStoreSettled(this->storeHealth) && reachable.size() + 1 == this->fleet.size()
        && std::ranges::all_of(reachable, [](const Peer& peer) { return peer.state.storeReachable; });
    if (!isConnected)
        this->fleetConnectedSince.reset();
    else if (!this->fleetConnectedSince)
        this->fleetConnectedSince = RuntimeClock::now();
}

asio::awaitable<bool> Ingress::Impl::readReservationsToEnd(asio::any_io_executor executor, StorePartition partition)
{
    StoreReadHooks hooks;
    hooks.onRecords = [this](const std::vector<StoreRecord>& records) { this->applyReservations(records); };
    const auto from = this->reservationCursor(partition);
    const auto end
        = co_await readToEnd(executor, this->store, StoreTopic::TokenReservations, partition, from, std::move(hooks));
    if (end)
        this->advanceReservationCursor(partition, *end);
    co_return end.hasValue();
}

asio::awaitable<void> Ingress::Impl::expireBudgets(asio::any_io_executor executor, TimePoint before)
{
    // After an outage, others may not have written yet what they used meanwhile.
    if (!hasStoreSettled(this->storeHealth))
        co_return;
    std::set<StorePartition> partitions;
    this->tokens.forEach([&](const TokenShard& shard) {
        for (const auto program : shard.ledger->expirable(before))
            partitions.insert(this->partitionOf(program));
    });
    std::set<StorePartition> read;
    for (const auto partition : partitions) {
        if (co_await this->readReservationsToEnd(executor, partition))
            read.insert(partition);
    }
    const auto isRead = [&](ProgramId program) { return read.contains(this->partitionOf(program)); };
    std::map<StorePartition, std::vector<StoreRecord>> deletions;
    this->tokens.forEach([&](TokenShard& shard) {
        for (const auto& expired : shard.ledger->expire(before, isRead))
            appendReservationDeletions(
                deletions[this->partitionOf(expired.program)], { expired.program, this->owner }, expired.revisions);
    });
    for (auto& [partition, keys] : this->takeExpiredCopies(before))
        std::ranges::move(keys, std::back_inserter(deletions[partition]));
    for (auto& [partition, records] : deletions)
        this->tokenWriter(partition).write(std::move(records));
}

std::map<StorePartition, std::vector<StoreRecord>> Ingress::Impl::takeExpiredCopies(TimePoint before)
{
    std::map<StorePartition, std::vector<StoreRecord>> expired;
    const std::scoped_lock lock(this->copiesMutex);
    const auto isKept = [&](const CopiedReservation& copy) {
        return copy.at >= before || this->tokens.with(copy.program.value, [&](const TokenShard& shard) {
            return shard.ledger->contains(copy.program);
        });
    };
    const auto dropped = std::ranges::stable_partition(this->copiedReservations, isKept);
    for (auto& copy : dropped)
        expired[this->partitionOf(copy.program)].push_back({ std::move(copy.key), {}, {} });
    this->copiedReservations.erase(dropped.begin(), dropped.end());
    return expired;
}

} // namespace peridotramp
