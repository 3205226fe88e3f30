#include "ingress_p.h"
#include "storesettled_p.h"

#include <algorithm>
#include <fmt/format.h>
#include <ranges>

namespace peridotramp {

namespace {

constexpr Milliseconds retryAfterStoreLoss { 300 };
constexpr Milliseconds releaseTimeout { 400 };
// Maximum number of reservations and reclaims for one turn; more are needed only when other instances keep reserving
// the budget.
constexpr int maxAdmissionSteps = 6;
// Time that the store has to confirm a reservation before it is sent to the holders of the other failure domains; the
// store usually answers within a few milliseconds.
constexpr Milliseconds storeConfirmTimeout { 40 };
constexpr Milliseconds holderConfirmTimeout { 150 };
// Interval and timeout of the messages with all reservations of a partition to a holder that may not know them.
constexpr Milliseconds pendingCopyPeriod { 500 };
constexpr Milliseconds pendingCopyTimeout { 900 };

// Returns the name of the instance whose incarnation holds a reservation.
std::string instanceOf(const std::string& owner) { return owner.substr(0, owner.rfind('/')); }

Error storeUnavailable(const std::string& reason = {})
{
    auto detail = reason.empty() ? "token reservation" : "token reservation: " + reason;
    return { ErrorKind::LogUnavailable, Outcome::NotRun, std::move(detail), retryAfterStoreLoss };
}

} // namespace

std::string Ingress::Impl::describeBudget(ProgramId program)
{
    // Bounds the length of the line for a program with reservations at many instances.
    constexpr std::size_t maxOwners = 6;
    const auto account = this->tokens.with(
        program.value, [&](const TokenShard& shard) { return shard.ledger->account(program, RuntimeClock::now()); });
    auto text = fmt::format("at {}: budget {}, used {}, held {} for {} turns ({} overdue), reserved {}", this->owner,
        account.budget.value, account.used.value, account.held.value, account.turnsInProgress, account.overdueTurns,
        account.reserved.value);
    const auto reachable = this->fleet.reachable();
    for (const auto& other : account.others | std::views::take(maxOwners)) {
        const auto name = instanceOf(other.owner);
        const bool isReached
            = std::ranges::any_of(reachable, [&](const Peer& peer) { return peer.member.name == name; });
        text += fmt::format("; {} ({}): used {} of {}", other.owner,
            name == this->init.name ? "earlier incarnation"
                : isReached         ? "reached"
                                    : "not reached",
            other.used.value, other.reserved.value);
    }
    if (account.others.size() > maxOwners)
        text += fmt::format("; {} more owners", account.others.size() - maxOwners);
    return text;
}

std::vector<StoreRecord> Ingress::Impl::reservationRecords(const TokenReservation& reservation)
{
    const auto superseded = this->tokens.with(
        reservation.program.value, [&](const TokenShard& shard) { return shard.ledger->supersededBy(reservation); });
    std::vector<StoreRecord> records { { reservationKey(reservation), encodeReservation(reservation), {} } };
    appendReservationDeletions(records, reservation, superseded);
    return records;
}

void Ingress::Impl::startBudgets()
{
    this->startBudgetExpiry();
    this->runtime.every(pendingCopyPeriod, [this] { this->sendPendingReservationCopies(); });
}

void Ingress::Impl::applyReservations(const std::vector<StoreRecord>& records)
{
    std::vector<TokenReservation> reservations;
    for (const auto& record : records) {
        if (record.value.empty())
            continue;
        if (const auto reservation = decodeReservation(record.value))
            reservations.push_back(*reservation);
        else
            log(LogLevel::Warning, "malformed token reservation ignored", { { "key", record.key } });
    }
    this->applyReservations(reservations);
}

std::optional<Offset> Ingress::Impl::reservationCursor(StorePartition partition)
{
    return this->reservationCursors.with(static_cast<std::uint64_t>(partition.value),
        [&](std::map<StorePartition, Offset>& shard) -> std::optional<Offset> {
            const auto found = shard.find(partition);
            return found == shard.end() ? std::nullopt : std::optional(found->second);
        });
}

void Ingress::Impl::advanceReservationCursor(StorePartition partition, Offset next)
{
    this->reservationCursors.with(
        static_cast<std::uint64_t>(partition.value), [&](std::map<StorePartition, Offset>& shard) {
            auto& cursor = shard.try_emplace(partition, next).first->second;
            cursor = std::max(cursor, next);
        });
}

asio::awaitable<bool> Ingress::Impl::loadReservations(asio::any_io_executor executor, StorePartition partition)
{
    const std::function<asio::awaitable<bool>()> load = [this, executor, partition]() -> asio::awaitable<bool> {
        const std::function<void(std::vector<StoreRecord>)> onPage
            = [this](const std::vector<StoreRecord>& records) { this->applyReservations(records); };
        const auto end = co_await readNewest(executor, this->store, StoreTopic::TokenReservations, partition, onPage);
        if (end)
            this->advanceReservationCursor(partition, *end);
        co_return end.hasValue();
    };
    const bool loaded = co_await this->reservationLoads.run(executor, partition, load);
    co_return loaded;
}

asio::awaitable<bool> Ingress::Impl::readReservationsBefore(
    asio::any_io_executor executor, StorePartition partition, Offset end)
{
    while (true) {
        const auto from = this->reservationCursor(partition);
        if (!from)
            co_return false;
        if (*from >= end)
            co_return true;
        const std::function<void(MetadataStore::ReadHook)> start = [&](MetadataStore::ReadHook hook) {
            this->store.read(StoreTopic::TokenReservations, partition, *from, Milliseconds(0), std::move(hook));
        };
        const auto read = co_await awaitResult<Result<StoreRead>>(executor, RuntimeClock::now() + Seconds(3), start);
        if (!read || !*read)
            co_return false;
        const auto& content = read->value();
        if (content.gap) {
            if (!co_await this->loadReservations(executor, partition))
                co_return false;
            continue;
        }
        if (content.next <= *from)
            co_return false;
        this->applyReservations(content.records);
        this->advanceReservationCursor(partition, content.next);
    }
}

namespace {

// Releases the lock on a program's reservation, which `waitForReservationLock` has taken: the destructor starts the
// next waiting operation.
class ReservationLockGuard {
public:
    ReservationLockGuard(Sharded<TokenShard>& tokens, ProgramId program)
        : tokens(tokens)
        , program(program)
    {
    }
    ReservationLockGuard(const ReservationLockGuard&) = delete;
    ReservationLockGuard& operator=(const ReservationLockGuard&) = delete;
    ~ReservationLockGuard()
    {
        const auto next = this->tokens.with(this->program.value, [&](TokenShard& shard) -> std::function<void()> {
            const auto found = shard.queues.find(this->program);
            if (found == shard.queues.end())
                return nullptr;
            auto& queue = found->second;
            if (queue.waiting.empty()) {
                shard.queues.erase(found);
                return nullptr;
            }
            auto hook = std::move(queue.waiting.front());
            queue.waiting.pop_front();
            return hook;
        });
        if (next)
            next();
    }

private:
    Sharded<TokenShard>& tokens;
    ProgramId program;
};

// Takes the lock on a program's reservation, which serializes the operations on it.
asio::awaitable<void> waitForReservationLock(
    asio::any_io_executor executor, Sharded<TokenShard>& tokens, ProgramId program)
{
    const std::function<void(std::function<void(bool)>)> start = [&](const std::function<void(bool)>& hook) {
        const bool now = tokens.with(program.value, [&](TokenShard& shard) {
            auto& queue = shard.queues[program];
            if (!queue.busy)
                return queue.busy = true;
            queue.waiting.emplace_back([hook] { hook(true); });
            return false;
        });
        if (now)
            hook(true);
    };
    // Needs no timeout: each operation is bounded by the timeouts of its calls.
    co_await awaitResult<bool>(executor, TimePoint::max(), start);
}

} // namespace

asio::awaitable<std::string> Ingress::Impl::confirmByHolders(
    asio::any_io_executor executor, TokenReservation reservation, TimePoint deadline)
{
    const auto partition = this->partitionOf(reservation.program);
    if (!this->isComplete(partition))
        co_return std::string("this instance does not know the whole partition");
    const auto holders = this->holdersInOtherDomains(partition);
    const auto scope = this->scopeOf(holders);
    if (auto missing = missingHolders(scope); !missing.empty())
        co_return missing;
    const auto answers = callEach<ReservationCopyReply>(
        executor, this->fleet, holders, ReservationCopy { reservation, false }, holderConfirmTimeout);
    HolderAnswers received;
    for (std::size_t index = 0; index < holders.size(); ++index) {
        const auto next = co_await answers.next(std::min(deadline, RuntimeClock::now() + holderConfirmTimeout));
        const auto answer = next.value_or(std::nullopt);
        if (!answer)
            continue;
        ++received.answered;
        received.complete += answer->complete ? 1 : 0;
        this->applyReservations(answer->reservations);
    }
    co_return missingAnswers(scope, received);
}

asio::awaitable<bool> Ingress::Impl::readReservationsThrough(
    asio::any_io_executor executor, StorePartition partition, Offset last)
{
    bool isLoaded = this->reservationCursor(partition).has_value();
    if (!isLoaded)
        isLoaded = co_await this->loadReservations(executor, partition);
    if (isLoaded)
        isLoaded = co_await this->readReservationsBefore(executor, partition, Offset { last.value + 1 });
    co_return isLoaded;
}

asio::awaitable<std::string> Ingress::Impl::confirmReservation(
    asio::any_io_executor executor, TokenReservation reservation, TimePoint deadline)
{
    const auto partition = this->partitionOf(reservation.program);
    Mailbox<Result<Offset>> appends(executor);
    const bool isUnavailable = !this->storeHealth.isReachable();
    this->store.append(StoreTopic::TokenReservations, partition, this->reservationRecords(reservation),
        [appends](Result<Offset> result) { appends.push(std::move(result)); });
    auto appended = co_await appends.next(
        std::min(deadline, RuntimeClock::now() + (isUnavailable ? Milliseconds(0) : storeConfirmTimeout)));
    std::string missing = "the store has not confirmed it";
    // While the store is slow or unavailable, the holders of the other failure domains record the reservation.
    if (!appended || !*appended) {
        missing = co_await this->confirmByHolders(executor, reservation, deadline);
        if (missing.empty()) {
            this->metrics.count("reservations_by_keepers");
            this->tokenWriter(partition).write(
                { reservationKey(reservation), encodeReservation(reservation), {} }, nullptr);
            co_return missing;
        }
        if (!appended)
            appended = co_await appends.next(deadline);
    }
    if (appended && *appended) {
        this->tokens.with(
            reservation.program.value, [&](TokenShard& shard) { shard.ledger->markSupersededDeleted(reservation); });
        const Mailbox<bool> copied(executor);
        const auto copies = this->copyReservation(reservation, [copied] { copied.push(true); });
        const auto copyDeadline = std::min(deadline, RuntimeClock::now() + holderConfirmTimeout);
        const bool isRead = co_await this->readReservationsThrough(executor, partition, appended->value());
        if (isRead)
            missing.clear();
        for (std::size_t index = 0; index < copies; ++index)
            co_await copied.next(copyDeadline);
    }
    co_return missing;
}

std::size_t Ingress::Impl::copyReservation(const TokenReservation& reservation, const std::function<void()>& onDone)
{
    const auto partition = this->partitionOf(reservation.program);
    auto holders = this->holdersInOtherDomains(partition);
    if (auto own = this->holderOf(reservation.program))
        holders.push_back(std::move(*own));
    const auto setPending = [this, partition](const std::string& domain) {
        const std::scoped_lock lock(this->pendingCopiesMutex);
        this->pendingCopies.insert({ domain, partition });
    };
    for (const auto& [domain, region] : this->init.regions) {
        if (domain != this->init.domain && std::ranges::find(holders, domain, &FleetMember::domain) == holders.end())
            setPending(domain);
    }
    {
        // A holder that lacks earlier reservations gets this one with them.
        const std::scoped_lock lock(this->pendingCopiesMutex);
        std::erase_if(holders,
            [&](const FleetMember& holder) { return this->pendingCopies.contains({ holder.domain, partition }); });
    }
    // A holder may know reservations that others confirm without the store while this instance reads the log.
    callMembers<ReservationCopyReply>(this->fleet, holders, ReservationCopy { reservation, true }, holderConfirmTimeout,
        [impl = this->shared_from_this(), setPending, onDone](
            const FleetMember& holder, const std::optional<ReservationCopyReply>& reply) {
            if (reply)
                impl->applyReservations(reply->reservations);
            else
                setPending(holder.domain);
            onDone();
        });
    return holders.size();
}

void Ingress::Impl::sendPendingReservationCopies()
{
    std::set<PendingReservationCopy> pending;
    {
        const std::scoped_lock lock(this->pendingCopiesMutex);
        pending.swap(this->pendingCopies);
    }
    const auto impl = this->shared_from_this();
    for (const auto& copy : pending) {
        const auto setPending = [impl, copy] {
            const std::scoped_lock lock(impl->pendingCopiesMutex);
            impl->pendingCopies.insert(copy);
        };
        const auto order = this->holderOrder(copy.partition, copy.domain);
        if (order.empty()) {
            setPending();
            continue;
        }
        // Nothing is missing once this instance is the holder itself.
        if (order.front().name == this->init.name)
            continue;
        callMembers<DoneMessage>(this->fleet, { order.front() },
            ReservationsNotice { this->reservationsOf(copy.partition) }, pendingCopyTimeout,
            [setPending](const FleetMember&, const std::optional<DoneMessage>& reply) {
                if (!reply)
                    setPending();
            });
    }
}

bool Ingress::Impl::applyReservationsNotice(const std::vector<TokenReservation>& reservations)
{
    this->applyReservations(reservations);
    return std::ranges::all_of(reservations,
        [&](const TokenReservation& reservation) { return this->isHolder(this->partitionOf(reservation.program)); });
}

asio::awaitable<Status> Ingress::Impl::reserveTokens(
    asio::any_io_executor executor, ProgramId program, TokenCount maxTokens, TimePoint deadline)
{
    const auto partition = this->partitionOf(program);
    ReservationKnowledge knowledge { .storeSettled = hasStoreSettled(this->storeHealth),
        .processNew = this->isNewProcess(),
        .partitionComplete = this->isComplete(partition),
        .partitionRead = this->reservationCursor(partition).has_value() };
    for (auto step = nextReservationStep(knowledge); step != ReservationStep::Reserve;
        step = nextReservationStep(knowledge)) {
        if (step == ReservationStep::AskHolders) {
            knowledge.holdersTold = co_await this->askHolders(executor, partition);
            if (!knowledge.holdersTold)
                co_return Status(storeUnavailable("the holders of other failure domains have not answered yet"));
        } else if (step == ReservationStep::ReadPartition) {
            knowledge.partitionRead = co_await this->loadReservations(executor, partition);
            if (!knowledge.partitionRead)
                co_return Status(storeUnavailable("the partition cannot be read"));
        } else {
            co_return Status(storeUnavailable("reservations made without the store may not be stored yet"));
        }
    }
    const auto reservation = this->tokens.with(
        program.value, [&](TokenShard& shard) { return shard.ledger->prepareReservation(program, maxTokens); });
    const auto missing = co_await this->confirmReservation(executor, reservation, deadline);
    this->tokens.with(program.value, [&](TokenShard& shard) {
        if (missing.empty())
            shard.ledger->confirm(reservation);
        else
            shard.ledger->markUncertain(program);
    });
    co_return missing.empty() ? Status(std::monostate {}) : Status(storeUnavailable(missing));
}

void Ingress::Impl::storeReservationCopy(const TokenReservation& reservation)
{
    const auto partition = this->partitionOf(reservation.program);
    // Another key than the owner's, because this instance deletes the copy itself.
    auto key = fmt::format("{}@{}", reservationKey(reservation), this->owner);
    this->tokenWriter(partition).write({ key, encodeReservation(reservation), {} }, nullptr);
    const std::scoped_lock lock(this->copiesMutex);
    this->copiedReservations.push_back({ RuntimeClock::now(), reservation.program, std::move(key) });
}

void Ingress::Impl::takeOverReservations(const std::vector<TokenReservation>& reservations)
{
    const bool mayBeUnstored = !hasStoreSettled(this->storeHealth);
    const auto now = RuntimeClock::now();
    for (const auto& reservation : reservations) {
        const bool isNew = this->tokens.with(
            reservation.program.value, [&](TokenShard& shard) { return shard.ledger->apply(reservation, now); });
        if (isNew && mayBeUnstored)
            this->storeReservationCopy(reservation);
    }
}

ReservationCopyReply Ingress::Impl::handleReservationCopy(const ReservationCopy& copy)
{
    const auto program = copy.reservation.program;
    const auto partition = this->partitionOf(program);
    ReservationCopyReply reply;
    reply.complete = this->isComplete(partition);
    reply.reservations = this->tokens.with(program.value, [&](TokenShard& shard) {
        shard.ledger->apply(copy.reservation, RuntimeClock::now());
        return shard.ledger->knownReservations(program);
    });
    // The sender may fail before the store is available again.
    if (!copy.stored)
        this->storeReservationCopy(copy.reservation);
    return reply;
}

StoreWriter& Ingress::Impl::tokenWriter(StorePartition partition)
{
    return this->tokenWriters.get(
        this->runtime, this->store, this->writerInit(StoreTopic::TokenReservations, partition));
}

void Ingress::Impl::releaseAllTokens()
{
    std::map<StorePartition, std::vector<StoreRecord>> records;
    this->tokens.forEach([&](TokenShard& shard) {
        for (const auto program : shard.ledger->programsWhere([](ProgramId) { return true; })) {
            if (const auto lowered = shard.ledger->releaseUnused(program, RuntimeClock::now()))
                records[this->partitionOf(program)].push_back(
                    { reservationKey(*lowered), encodeReservation(*lowered), {} });
        }
    });
    for (auto& [partition, batch] : records)
        this->tokenWriter(partition).write(std::move(batch));
}

asio::awaitable<bool> Ingress::Impl::reclaimTokens(
    asio::any_io_executor executor, ProgramId program, TimePoint deadline)
{
    const auto owners
        = this->tokens.with(program.value, [&](TokenShard& shard) { return shard.ledger->ownersWithUnused(program); });
    const auto reachable = this->fleet.reachable();
    std::vector<FleetMember> members;
    bool all = true;
    for (const auto& owner : owners) {
        const auto name = instanceOf(owner);
        // An earlier incarnation of this instance can no longer release anything.
        if (name == this->init.name)
            continue;
        const auto peer = std::ranges::find(reachable, name, [](const Peer& other) { return other.member.name; });
        if (peer == reachable.end())
            all = false;
        else
            members.push_back(peer->member);
    }
    const auto answers = callEach<ReleaseTokensReply>(
        executor, this->fleet, members, ReleaseTokensRequest { program }, releaseTimeout);
    for (std::size_t index = 0; index < members.size(); ++index) {
        const auto answer = co_await answers.next(std::min(deadline, RuntimeClock::now() + releaseTimeout));
        all = answer && *answer && (*answer)->allReleased && all;
    }
    co_return all;
}

asio::awaitable<bool> Ingress::Impl::releaseTokens(asio::any_io_executor executor, ProgramId program)
{
    // Must not wait for an admission in progress: two instances that request a release from each other would deadlock.
    bool isReserving = false;
    const auto lowered = this->tokens.with(program.value, [&](TokenShard& shard) {
        isReserving = shard.ledger->hasPendingReservation(program);
        return shard.ledger->releaseUnused(program, RuntimeClock::now());
    });
    if (!lowered)
        co_return !isReserving;
    const auto records = this->reservationRecords(*lowered);
    const std::function<void(MetadataStore::AppendHook)> start = [&](MetadataStore::AppendHook hook) {
        this->store.append(StoreTopic::TokenReservations, this->partitionOf(program), records, std::move(hook));
    };
    const auto appended = co_await awaitResult<Result<Offset>>(executor, RuntimeClock::now() + releaseTimeout, start);
    const bool stored = appended && *appended;
    this->tokens.with(program.value, [&](TokenShard& shard) {
        if (stored)
            shard.ledger->markSupersededDeleted(*lowered);
        else
            shard.ledger->markUncertain(program);
    });
    log(LogLevel::Info, "tokens released",
        { { "program", program }, { "reserved", lowered->reserved.value }, { "stored", stored ? "yes" : "no" } });
    co_return true;
}

asio::awaitable<Result<ProgramStage>> Ingress::Impl::admitTokens(
    asio::any_io_executor executor, ProgramId program, TokenRequest request, TimePoint deadline)
{
    const auto admit = [&] {
        return this->tokens.with(program.value,
            [&](TokenShard& shard) { return shard.ledger->admit(program, request, RuntimeClock::now()); });
    };
    const auto stage = this->tokens.with(program.value, [&](TokenShard& shard) {
        return shard.ledger->hasBegun(program) ? ProgramStage::Continues : ProgramStage::Begins;
    });
    if (admit() == TokenAdmission::Admitted)
        co_return Result<ProgramStage>(stage);
    co_await waitForReservationLock(executor, this->tokens, program);
    const ReservationLockGuard reservationLock(this->tokens, program);
    // Whether all other owners have released the tokens that they do not need.
    bool reclaimed = false;
    for (int step = 0; step < maxAdmissionSteps && RuntimeClock::now() < deadline; ++step) {
        switch (admit()) {
        case TokenAdmission::Admitted:
            co_return Result<ProgramStage>(stage);
        case TokenAdmission::Reserve: {
            auto reserved = co_await this->reserveTokens(executor, program, request.maxTokens, deadline);
            if (!reserved)
                co_return Result<ProgramStage>(reserved.error());
            break;
        }
        case TokenAdmission::Reclaim: {
            // What is still reserved after that is held for turns in progress.
            if (reclaimed)
                co_return Result<ProgramStage>(Error { ErrorKind::BudgetExceeded, Outcome::NotRun,
                    "turns in progress; " + this->describeBudget(program) });
            if (!co_await this->reclaimTokens(executor, program, deadline))
                co_return Result<ProgramStage>(Error { ErrorKind::LogUnavailable, Outcome::NotRun,
                    "tokens reserved by an instance that has not released them yet; " + this->describeBudget(program),
                    retryAfterStoreLoss });
            reclaimed = true;
            // Reserving nothing reads the log up to its current end, and with it the records of the released tokens.
            auto reserved = co_await this->reserveTokens(executor, program, TokenCount {}, deadline);
            if (!reserved)
                co_return Result<ProgramStage>(reserved.error());
            break;
        }
        case TokenAdmission::Ended:
            co_return Result<ProgramStage>(Error { ErrorKind::Cancelled, Outcome::NotRun, "the turn has ended" });
        case TokenAdmission::Exhausted:
        case TokenAdmission::Count:
            co_return Result<ProgramStage>(
                Error { ErrorKind::BudgetExceeded, Outcome::NotRun, "spent; " + this->describeBudget(program) });
        }
    }
    co_return Result<ProgramStage>(storeUnavailable());
}

bool Ingress::Impl::hasHolds()
{
    bool holds = false;
    const auto now = RuntimeClock::now();
    this->tokens.forEach([&](const TokenShard& shard) { holds = holds || shard.ledger->hasActiveHolds(now); });
    return holds;
}

void Ingress::Impl::settleTokens(ProgramId program, HoldId hold, TokenCount used)
{
    this->tokens.with(
        program.value, [&](TokenShard& shard) { shard.ledger->settle(program, hold, used, RuntimeClock::now()); });
}

} // namespace peridotramp
