#include "peridotramp/scheduling.h"

#include <algorithm>
#include <cmath>

namespace peridotramp {

FairQueue::FairQueue()
    : FairQueue(Init {})
{
}

FairQueue::FairQueue(Init init)
    : init(std::move(init))
{
}

// A workspace gets no credit for the time in which it was idle, and one that became idle while ahead of the others
// stays ahead.
void FairQueue::raiseToServedCounter(Workspace& state) { state.counter = std::max(state.counter, this->servedCounter); }

void FairQueue::requeue(WorkspaceId workspace, Workspace& state)
{
    if (state.key)
        this->activeWorkspaces.erase(*state.key);
    state.key.reset();
    if (state.calls.empty())
        return;
    const auto quanta = std::floor(state.counter / this->init.policy.fairnessQuantum);
    state.key = WorkspaceKey { quanta, *state.calls.begin(), workspace };
    this->activeWorkspaces.insert(*state.key);
}

Status FairQueue::push(TimePoint now, const QueuedCall& call)
{
    const auto refuse = [this](ErrorKind kind) -> Status {
        ++this->counters.refused;
        return Error { kind, Outcome::NotRun };
    };
    if (this->entries.contains(call.call))
        return refuse(ErrorKind::CallInProgress);
    if (this->entries.size() >= this->init.limits.entries)
        return refuse(ErrorKind::Overloaded);
    if (call.deadline && *call.deadline <= now)
        return refuse(ErrorKind::DeadlineExceeded);
    const QueueKey key { this->init.policy.orderHook(call), this->sequence++, call.call };
    auto& state = this->workspaces[call.workspace];
    if (state.calls.empty())
        this->raiseToServedCounter(state);
    state.calls.insert(key);
    this->entries.emplace(call.call, Entry { call, key });
    if (call.deadline)
        this->deadlines.emplace(*call.deadline, call.call);
    this->expectedTotal.prefill += call.expected.prefill;
    this->expectedTotal.output += call.expected.output;
    if (!state.key || key < state.key->head)
        this->requeue(call.workspace, state);
    ++this->counters.pushed;
    return std::monostate {};
}

QueuedCall FairQueue::removeEntry(std::unordered_map<CallId, Entry>::iterator entry)
{
    const auto call = entry->second.call;
    auto& state = this->workspaces.at(call.workspace);
    state.calls.erase(entry->second.key);
    if (call.deadline)
        this->deadlines.erase({ *call.deadline, call.call });
    this->expectedTotal.prefill -= call.expected.prefill;
    this->expectedTotal.output -= call.expected.output;
    this->entries.erase(entry);
    this->requeue(call.workspace, state);
    return call;
}

std::optional<QueuedCall> FairQueue::pop(TimePoint)
{
    if (this->activeWorkspaces.empty())
        return std::nullopt;
    const auto key = *this->activeWorkspaces.begin();
    auto& state = this->workspaces.at(key.workspace);
    this->servedCounter = std::max(this->servedCounter, key.quanta * this->init.policy.fairnessQuantum);
    const auto call = this->removeEntry(this->entries.find(key.head.call));
    state.counter += this->init.policy.fairnessHook(call.expected) / state.weight;
    this->requeue(key.workspace, state);
    ++this->counters.popped;
    return call;
}

bool FairQueue::cancel(CallId call)
{
    const auto found = this->entries.find(call);
    if (found == this->entries.end())
        return false;
    this->removeEntry(found);
    ++this->counters.cancelled;
    return true;
}

std::vector<QueuedCall> FairQueue::removeExpired(TimePoint now)
{
    std::vector<QueuedCall> expired;
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now)
        expired.push_back(this->removeEntry(this->entries.find(this->deadlines.begin()->second)));
    this->counters.expired += expired.size();
    return expired;
}

void FairQueue::setWeight(WorkspaceId workspace, double weight) { this->workspaces[workspace].weight = weight; }

void FairQueue::correctCharge(WorkspaceId workspace, const TokenUse& expected, const TokenUse& actual)
{
    const auto found = this->workspaces.find(workspace);
    if (found == this->workspaces.end())
        return;
    const auto& charge = this->init.policy.fairnessHook;
    found->second.counter += (charge(actual) - charge(expected)) / found->second.weight;
    this->requeue(workspace, found->second);
}

std::size_t FairQueue::size(WorkspaceId workspace) const
{
    const auto found = this->workspaces.find(workspace);
    return found == this->workspaces.end() ? 0 : found->second.calls.size();
}

double FairQueue::counter(WorkspaceId workspace) const
{
    const auto found = this->workspaces.find(workspace);
    return found == this->workspaces.end() ? 0 : found->second.counter;
}

} // namespace peridotramp
