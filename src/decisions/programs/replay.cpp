#include "programs_p.h"

#include <algorithm>

namespace peridotramp {

void ProgramTable::replay(TimePoint now, PartitionId partition, const PartitionRecord& record)
{
    if (this->owns(partition))
        return;
    std::visit([&](const auto& each) { this->state->replayRecord(now, each); }, record);
}

void ProgramTable::State::replayRecord(TimePoint now, const ProgramBegun& record)
{
    if (this->programs.contains(record.program))
        return;
    Program program;
    program.begun = record;
    program.began = this->fromUnix(record.began);
    program.oldestRecord = program.began;
    program.reservations = { record.reserved };
    this->addProgram(std::move(program), now);
}

void ProgramTable::State::replayRecord(TimePoint, const TurnCommitted& record)
{
    auto* program = this->find(record.program);
    if (program == nullptr)
        return;
    // A replay of the whole stream also contains the turns that a checkpoint includes.
    if (record.turn <= program->lastTurn())
        return;
    const auto digest = turnDigest(program->digest(), record.program, record.turn, record.input, record.output);
    if (record.turn.value != program->lastTurn().value + 1 || digest != record.digest) {
        ++this->stats.mismatches;
        return;
    }
    program->commit({ record.call, record.input, record.output }, digest);
    ++this->stats.turns;
}

void ProgramTable::State::replayRecord(TimePoint, const CallClaimed& record)
{
    auto* program = this->find(record.program);
    if (program == nullptr || program->findTurn(record.call) != nullptr)
        return;
    auto* claim = program->findClaim(record.call);
    if (claim == nullptr)
        program->claims.push_back({ record.call, record.attempt, false });
    else if (!claim->closed)
        claim->attempt = record.attempt;
}

void ProgramTable::State::replayRecord(TimePoint, const CallFinished& record)
{
    auto* program = this->find(record.program);
    auto* claim = program == nullptr ? nullptr : program->findClaim(record.call);
    // A record of an earlier attempt does not apply to a later claim.
    if (claim == nullptr || claim->attempt != record.attempt)
        return;
    if (record.outcome == Outcome::NotRun)
        program->removeClaim(record.call);
    else
        claim->closed = true;
}

void ProgramTable::State::replayRecord(TimePoint, const BudgetReserved& record)
{
    if (auto* program = this->find(record.program))
        program->reservations = { record.reserved };
}

void ProgramTable::State::replayRecord(TimePoint now, const ProgramEnded& record)
{
    auto* program = this->find(record.program);
    if (program == nullptr || program->ended)
        return;
    this->markEnded(now, *program, record);
    program->endConfirmed = true;
}

void ProgramTable::State::replayRecord(TimePoint now, const ProgramCheckpoint& record)
{
    Program program;
    program.begun = record.begun;
    program.began = this->fromUnix(record.begun.began);
    program.oldestRecord = this->fromUnix(record.written);
    program.claims = record.claims;
    program.reservations = { record.begun.reserved };
    for (const auto& turn : record.turns) {
        const TurnNumber number { program.lastTurn().value + 1 };
        const auto digest = turnDigest(program.digest(), program.id(), number, turn.input, turn.output);
        program.turns.push_back(turn);
        program.digests.push_back(digest);
    }
    if (program.digest() != record.digest) {
        ++this->stats.mismatches;
        return;
    }
    if (this->programs.contains(program.id()))
        this->removeProgram(program.id());
    this->addProgram(std::move(program), now);
    if (record.ended)
        this->replayRecord(now, *record.ended);
}

void ProgramTable::takeOver(TimePoint now, PartitionId partition, Epoch epoch, bool complete)
{
    auto& table = *this->state;
    auto& owned = table.partitions[partition];
    owned.epoch = epoch;
    owned.owned = true;
    owned.handoverStarted = false;
    owned.idCounter = 0;
    owned.incomplete = owned.incomplete || !complete;
    for (auto& [id, program] : table.programs) {
        if (partitionOf(id) != partition)
            continue;
        program.inherited = true;
        program.acceptsResentTurns = true;
        program.beginConfirmed = true;
        program.confirmedTurn = program.lastTurn();
        program.lastActive = now;
        // A claim without an outcome may have been dispatched by the earlier owner.
        std::ranges::for_each(program.claims, [](Claim& claim) { claim.closed = true; });
        auto* parent = program.ended ? nullptr : table.find(program.begun.parent);
        if (parent != nullptr && !parent->ended) {
            parent->childBudgets += program.budget();
            parent->liveChildren.push_back(id);
        }
    }
    // The whole reservation of the earlier owner counts as spent, except for the budgets of live children.
    for (auto& [id, program] : table.programs) {
        if (partitionOf(id) == partition && !program.ended)
            program.spent = componentMax(program.usableReservation() - program.childBudgets, {});
    }
}

void ProgramTable::renew(PartitionId partition, Epoch epoch)
{
    auto& owned = this->state->partitions[partition];
    owned.epoch = epoch;
    owned.idCounter = 0;
}

void ProgramTable::confirm(TimePoint, PartitionId partition, const PartitionRecord& record)
{
    if (!this->owns(partition))
        return;
    std::visit([&](const auto& each) { this->state->confirmRecord(each); }, record);
}

void ProgramTable::State::confirmRecord(const ProgramBegun& record)
{
    if (auto* program = this->find(record.program))
        program->beginConfirmed = true;
}

void ProgramTable::State::confirmRecord(const TurnCommitted& record)
{
    if (auto* program = this->find(record.program))
        program->confirmedTurn = std::max(program->confirmedTurn, record.turn);
}

void ProgramTable::State::confirmRecord(const BudgetReserved& record)
{
    auto* program = this->find(record.program);
    if (program == nullptr || program->reservations.size() < 2)
        return;
    const auto pending = program->reservations.begin() + 1;
    const auto found = std::find(pending, program->reservations.end(), record.reserved);
    if (found != program->reservations.end())
        program->reservations.erase(program->reservations.begin(), found);
}

// The child's unused budget returns to the parent only now. If the parent used it before this record is in the log, a
// successor would grant it to the child as well.
void ProgramTable::State::confirmRecord(const ProgramEnded& record)
{
    auto* child = this->find(record.program);
    if (child != nullptr)
        child->endConfirmed = true;
    auto* parent = child == nullptr ? nullptr : this->find(child->begun.parent);
    if (parent == nullptr || parent->ended)
        return;
    if (std::erase(parent->liveChildren, record.program) == 0)
        return;
    parent->childBudgets -= child->budget();
    parent->spent += record.spent;
}

std::vector<std::pair<ProgramId, CallId>> ProgramTable::forget(PartitionId partition)
{
    auto& table = *this->state;
    std::vector<std::pair<ProgramId, CallId>> running;
    std::vector<ProgramId> gone;
    for (const auto& [id, program] : table.programs) {
        if (partitionOf(id) != partition)
            continue;
        gone.push_back(id);
        if (program.running)
            running.emplace_back(id, program.running->call);
    }
    for (const auto id : gone)
        table.removeProgram(id);
    table.partitions.erase(partition);
    return running;
}

std::vector<PartitionRecord> ProgramTable::handOver(PartitionId partition)
{
    auto& table = *this->state;
    table.partitions[partition].handoverStarted = true;
    std::vector<PartitionRecord> records;
    for (auto& [id, program] : table.programs) {
        const bool hasUnusedReservation = !program.ended && program.allocated() != program.reservations.back();
        if (partitionOf(id) != partition || !hasUnusedReservation)
            continue;
        program.reservations.push_back(program.allocated());
        records.emplace_back(BudgetReserved { id, program.allocated() });
    }
    return records;
}

bool ProgramTable::owns(PartitionId partition) const
{
    const auto found = this->state->partitions.find(partition);
    return found != this->state->partitions.end() && found->second.owned;
}

} // namespace peridotramp
