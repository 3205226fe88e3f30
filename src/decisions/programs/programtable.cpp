#include "programs_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

/// Bits of a program's serial number that count the programs of one epoch. The other 24 are the low bits of the epoch,
/// so that a new owner does not reuse ids that a lost owner assigned but never wrote to the log.
constexpr int counterBits = 24;
constexpr std::uint64_t counterLimit = 1ULL << counterBits;
constexpr std::uint64_t maxPartitions = 1ULL << 16;
constexpr Milliseconds retryDelay { 1000 };

bool isValid(const Budget& budget)
{
    return budget.tokens.value > 0 && budget.calls.value > 0 && budget.wallTime.count() > 0 && budget.depth.value >= 0;
}

} // namespace

ProgramTable::ProgramTable(ProgramSettings settings)
    : state(std::make_unique<State>())
{
    this->state->settings = settings;
}

ProgramTable::ProgramTable(ProgramTable&&) noexcept = default;
ProgramTable& ProgramTable::operator=(ProgramTable&&) noexcept = default;
ProgramTable::~ProgramTable() = default;

Program* ProgramTable::State::find(ProgramId program)
{
    const auto found = this->programs.find(program);
    return found == this->programs.end() ? nullptr : &found->second;
}

const Program* ProgramTable::State::find(ProgramId program) const
{
    const auto found = this->programs.find(program);
    return found == this->programs.end() ? nullptr : &found->second;
}

const PartitionState* ProgramTable::State::ownedPartition(ProgramId program) const
{
    const auto found = this->partitions.find(partitionOf(program));
    return found == this->partitions.end() || !found->second.owned ? nullptr : &found->second;
}

AttemptNumber ProgramTable::State::nextAttempt()
{
    this->lastAttempt += { 1 };
    return this->lastAttempt;
}

void ProgramTable::State::setTimer(Program& program, TimePoint at)
{
    this->timers.erase({ program.timer, program.id() });
    program.timer = at;
    this->timers.emplace(at, program.id());
}

TimePoint ProgramTable::State::nextCheck(const Program& program, TimePoint now) const
{
    if (program.ended)
        return program.endedAt + this->settings.endedRetention;
    const bool busy = program.running || !program.liveChildren.empty();
    return std::min(program.wallTimeEnd(), (busy ? now : program.lastActive) + this->settings.idleTimeout);
}

void ProgramTable::State::addProgram(Program program, TimePoint now)
{
    const auto id = program.id();
    program.lastActive = now;
    this->stats.turns += program.turns.size();
    ++this->stats.live;
    this->checkpointTimers.emplace(program.oldestRecord + this->settings.checkpointAge, id);
    auto& added = this->programs.insert_or_assign(id, std::move(program)).first->second;
    this->setTimer(added, this->nextCheck(added, now));
}

void ProgramTable::State::removeProgram(ProgramId program)
{
    auto& found = this->programs.at(program);
    this->clearRunning(found);
    this->timers.erase({ found.timer, program });
    this->checkpointTimers.erase({ found.oldestRecord + this->settings.checkpointAge, program });
    this->stats.turns -= found.turns.size();
    --(found.ended ? this->stats.ended : this->stats.live);
    this->programs.erase(program);
}

void ProgramTable::State::clearRunning(Program& program)
{
    if (!program.running)
        return;
    --this->stats.runningCalls;
    if (program.running->idempotent && !program.running->waitsForClaim)
        program.attempted.push_back(program.running->call);
    if (auto* claim = program.findClaim(program.running->call))
        claim->closed = true;
    program.running.reset();
}

void ProgramTable::State::markEnded(TimePoint now, Program& program, const ProgramEnded& record)
{
    this->clearRunning(program);
    program.ended = record;
    program.endedAt = now;
    program.liveChildren.clear();
    --this->stats.live;
    ++this->stats.ended;
    this->setTimer(program, this->nextCheck(program, now));
}

UnixTime ProgramTable::State::unixTime(TimePoint now) const
{
    return this->settings.unixTimeOrigin + std::chrono::duration_cast<UnixTime>(now.time_since_epoch());
}

TimePoint ProgramTable::State::fromUnix(UnixTime time) const { return TimePoint(time - this->settings.unixTimeOrigin); }

namespace {

struct BeginRefusal {
    ErrorKind kind = ErrorKind::None;
    std::string detail;
    Milliseconds retryAfter { 0 };
};

std::optional<BeginRefusal> checkPartition(const PartitionState* partition, Authority authority)
{
    if (partition == nullptr || !partition->owned)
        return BeginRefusal { ErrorKind::NotOwner, {}, {} };
    if (!authority.mayAct)
        return BeginRefusal { ErrorKind::LeaseLapsed, {}, retryDelay };
    if (partition->handoverStarted)
        return BeginRefusal { ErrorKind::ShuttingDown, {}, retryDelay };
    // The owner renews its ownership, which changes the epoch, long before the ids of one epoch run out.
    if (partition->idCounter >= counterLimit)
        return BeginRefusal { ErrorKind::Overloaded, "program ids", retryDelay };
    return std::nullopt;
}

std::optional<BeginRefusal> checkParent(
    TimePoint now, const Program* parent, const BeginRequest& request, Authority authority)
{
    if (parent == nullptr || partitionOf(request.parent) != request.partition)
        return BeginRefusal { ErrorKind::UnknownProgram, "parent", {} };
    if (parent->begun.workspace != request.workspace)
        return BeginRefusal { ErrorKind::Forbidden, "parent", {} };
    if (parent->ended)
        return BeginRefusal { ErrorKind::ProgramEnded, "parent", {} };
    const auto needed = parent->allocated() + Spending { request.budget.tokens, request.budget.calls };
    const bool fits = needed.fitsIn(parent->budget()) && request.budget.depth < parent->begun.budget.depth;
    if (!fits || now >= parent->wallTimeEnd())
        return BeginRefusal { ErrorKind::BudgetExceeded, "the parent's budget does not cover the child's", {} };
    if (!needed.fitsIn(parent->usableReservation()) && !authority.logAvailable)
        return BeginRefusal { ErrorKind::LogUnavailable, {}, retryDelay };
    return std::nullopt;
}

/// Reserves the child's budget at its parent. Returns the parent's record when its reservation must grow.
std::optional<BudgetReserved> reserveFromParent(TimePoint now, Program& parent, Program& child, Spending chunk)
{
    std::optional<BudgetReserved> record;
    if (!(parent.allocated() + child.budget()).fitsIn(parent.usableReservation())) {
        record = parent.reserve(child.budget(), chunk);
        // The child's reservation follows the parent's in the log, so the child has to wait for both.
        child.begun.reserved = {};
    }
    const auto wallLeft = std::chrono::floor<Milliseconds>(parent.wallTimeEnd() - now);
    child.begun.budget.wallTime = std::min(child.begun.budget.wallTime, wallLeft);
    parent.childBudgets += child.budget();
    parent.lastActive = now;
    return record;
}

} // namespace

ProgramId ProgramTable::State::nextId(PartitionId id, PartitionState& partition) const
{
    const auto epochBits = (partition.epoch.value % counterLimit) << counterBits;
    auto program = makeProgramId(id, epochBits | partition.idCounter++);
    while (this->programs.contains(program))
        program = makeProgramId(id, epochBits | partition.idCounter++);
    return program;
}

Result<BegunProgram> ProgramTable::begin(TimePoint now, const BeginRequest& request, Authority authority)
{
    const NotRunProof nothingWritten;
    auto& table = *this->state;
    const auto refuse = [&](const BeginRefusal& refusal) -> Result<BegunProgram> {
        ++table.stats.refused;
        return notRun(nothingWritten, refusal.kind, refusal.detail, refusal.retryAfter);
    };
    const auto found = table.partitions.find(request.partition);
    auto* partition = found == table.partitions.end() ? nullptr : &found->second;
    if (const auto refusal = checkPartition(partition, authority))
        return refuse(*refusal);
    if (request.partition.value >= maxPartitions || !isValid(request.budget))
        return refuse({ ErrorKind::InvalidRequest, "partition or budget is out of range", {} });
    if (table.programs.size() >= table.settings.maxPrograms)
        return refuse({ ErrorKind::Overloaded, "programs", retryDelay });
    auto* parent = table.find(request.parent);
    if (request.parent.isValid()) {
        if (const auto refusal = checkParent(now, parent, request, authority))
            return refuse(*refusal);
    }

    Program program;
    program.begun = { table.nextId(request.partition, *partition), request.workspace, request.parent, request.budget,
        {}, table.unixTime(now) };
    program.began = now;
    program.oldestRecord = now;
    // While the log is unavailable no other node can know the program, so its owner may use the whole budget.
    const auto whole = program.budget();
    program.begun.reserved = authority.logAvailable ? componentMin(whole, table.settings.reservationChunk) : whole;
    BegunProgram begun { program.id(), {} };
    if (parent != nullptr) {
        if (const auto record = reserveFromParent(now, *parent, program, table.settings.reservationChunk))
            begun.records.emplace_back(*record);
        parent->liveChildren.push_back(program.id());
    }
    program.reservations = { program.begun.reserved };
    begun.records.emplace_back(program.begun);
    ++table.stats.begun;
    table.addProgram(std::move(program), now);
    return begun;
}

EndedPrograms ProgramTable::State::endSubtree(TimePoint now, ProgramId root, EndReason reason)
{
    EndedPrograms ended;
    ended.reason = reason;
    // Children before parents: collect the tree breadth first, then reverse it.
    std::vector<ProgramId> tree { root };
    for (std::size_t index = 0; index < tree.size(); ++index) {
        // An ended child stays in the list until its end is confirmed.
        std::ranges::copy_if(this->programs.at(tree[index]).liveChildren, std::back_inserter(tree),
            [this](ProgramId child) { return !this->programs.at(child).ended.has_value(); });
    }
    std::ranges::reverse(tree);
    for (const auto id : tree) {
        auto& program = this->programs.at(id);
        if (program.running)
            ended.running.emplace_back(id, program.running->call);
        const auto why = id == root ? reason : EndReason::ParentEnded;
        const ProgramEnded record { id, why, program.allocated() };
        this->markEnded(now, program, record);
        ended.records.emplace_back(record);
        ended.programs.push_back(id);
    }
    return ended;
}

Result<EndedPrograms> ProgramTable::end(TimePoint now, ProgramId program, EndReason reason, Authority authority)
{
    auto& table = *this->state;
    if (table.ownedPartition(program) == nullptr)
        return Error { ErrorKind::NotOwner, Outcome::Unknown };
    if (!authority.mayAct)
        return Error { ErrorKind::LeaseLapsed, Outcome::Unknown, {}, retryDelay };
    const auto* found = table.find(program);
    if (found == nullptr)
        return Error { ErrorKind::UnknownProgram, Outcome::Unknown };
    if (found->ended)
        return EndedPrograms { found->ended->reason, {}, {}, {} };
    return table.endSubtree(now, program, reason);
}

std::vector<EndedPrograms> ProgramTable::expire(TimePoint now, std::size_t limit)
{
    auto& table = *this->state;
    std::vector<EndedPrograms> expired;
    for (std::size_t checked = 0; checked < limit; ++checked) {
        if (table.timers.empty() || table.timers.begin()->first > now)
            break;
        auto& program = *table.find(table.timers.begin()->second);
        const auto next = table.nextCheck(program, now);
        if (next > now)
            table.setTimer(program, next);
        else if (program.ended && !program.endConfirmed)
            // The end record must be read back first: it returns the unused budget to the parent.
            table.setTimer(program, now + table.settings.endedRetention);
        else if (program.ended) {
            table.partitions[partitionOf(program.id())].incomplete = true;
            table.removeProgram(program.id());
        } else if (table.ownedPartition(program.id()) == nullptr)
            table.setTimer(program, now + table.settings.idleTimeout);
        else
            expired.push_back(table.endSubtree(
                now, program.id(), now >= program.wallTimeEnd() ? EndReason::WallTime : EndReason::Idle));
    }
    return expired;
}

std::vector<PartitionRecord> ProgramTable::checkpoints(TimePoint now, std::size_t limit)
{
    auto& table = *this->state;
    std::vector<PartitionRecord> records;
    for (std::size_t checked = 0; checked < limit; ++checked) {
        if (table.checkpointTimers.empty() || table.checkpointTimers.begin()->first > now)
            break;
        const auto id = table.checkpointTimers.begin()->second;
        table.checkpointTimers.erase(table.checkpointTimers.begin());
        auto& program = *table.find(id);
        if (program.ended)
            continue;
        program.oldestRecord = now;
        table.checkpointTimers.emplace(now + table.settings.checkpointAge, id);
        if (table.ownedPartition(id) != nullptr)
            records.emplace_back(program.checkpoint(table.unixTime(now)));
    }
    return records;
}

std::optional<WorkspaceId> ProgramTable::workspaceOf(ProgramId program) const
{
    const auto* found = std::as_const(*this->state).find(program);
    return found == nullptr ? std::nullopt : std::optional(found->begun.workspace);
}

const std::vector<Turn>* ProgramTable::history(ProgramId program) const
{
    const auto* found = std::as_const(*this->state).find(program);
    return found == nullptr ? nullptr : &found->turns;
}

namespace {

ProgramRow rowOf(const Program& program)
{
    const auto openClaims = std::ranges::count(program.claims, false, &Claim::closed);
    return { program.id(), program.begun.workspace, program.begun.parent, program.lastTurn(), program.confirmedTurn,
        program.digest(), program.begun.budget, program.allocated(), program.usableReservation(),
        program.running ? program.running->call : CallId {}, static_cast<std::size_t>(openClaims),
        program.claims.size() - static_cast<std::size_t>(openClaims),
        program.ended ? std::optional(program.ended->reason) : std::nullopt };
}

} // namespace

std::optional<ProgramRow> ProgramTable::row(ProgramId program) const
{
    const auto* found = std::as_const(*this->state).find(program);
    return found == nullptr ? std::nullopt : std::optional(rowOf(*found));
}

std::vector<ProgramRow> ProgramTable::rows() const
{
    std::vector<ProgramRow> rows;
    std::ranges::transform(
        this->state->programs, std::back_inserter(rows), [](const auto& entry) { return rowOf(entry.second); });
    std::ranges::sort(rows, {}, &ProgramRow::program);
    return rows;
}

ProgramStats ProgramTable::stats() const { return this->state->stats; }

} // namespace peridotramp
