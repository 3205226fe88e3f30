#include "node_p.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace peridotramp {

namespace {

/// Approximate size of a token in text, used only for estimates that are corrected with the engine's count.
constexpr std::int64_t bytesPerToken = 4;
constexpr Milliseconds defaultDeadline { 60'000 };

Error notRunError(ErrorKind kind, std::string detail = {}, Milliseconds retryAfter = {})
{
    // A new guard proves that this path has written nothing to an endpoint.
    return notRun(*WriteGuard().proof(), kind, std::move(detail), retryAfter);
}

Message errorReply(Error error) { return ErrorMessage { std::move(error), {}, {} }; }

/// Settings of a call from the configuration.
struct CallSettings {
    TeamId team;
    bool idempotent = true;
    Milliseconds deadline = defaultDeadline;
};

Status checkCaller(const Configuration& configuration, const Caller& caller)
{
    const auto* grant = caller.key.isValid() ? configuration.findKey(caller.key) : nullptr;
    if (!grant)
        return notRunError(ErrorKind::Unauthenticated);
    if (grant->state == KeyEntry::State::Withdrawn)
        return notRunError(ErrorKind::KeyWithdrawn);
    if (grant->workspace != caller.workspace)
        return notRunError(ErrorKind::Forbidden);
    return std::monostate {};
}

Result<CallSettings> callSettings(const Configuration& configuration, const CallMessage& message)
{
    const auto allowed = checkCaller(configuration, message.caller);
    if (!allowed)
        return allowed.error();
    CallSettings settings { configuration.teamOf(message.caller.workspace) };
    if (message.target == CallTarget::Model) {
        if (configuration.enginesFor(settings.team, idFromName<ModelId>(message.name)).empty())
            return notRunError(ErrorKind::UnknownModel, message.name);
        return settings;
    }
    const auto* entry = configuration.findCall(settings.team, message.name);
    if (!entry)
        return notRunError(ErrorKind::UnknownCall, message.name);
    settings.idempotent = entry->idempotent;
    settings.deadline = entry->deadline;
    return settings;
}

std::string promptOf(const PartitionState& state, const CallMessage& message)
{
    std::string prompt;
    const auto* turns = state.programs.history(message.program);
    const auto known = turns ? turns->size() : 0;
    if (turns) {
        for (const auto& turn : *turns)
            prompt += turn.input + turn.output;
    }
    for (const auto& turn : message.unconfirmed) {
        if (turn.turn.value > static_cast<std::int64_t>(known))
            prompt += turn.input + turn.output;
    }
    return prompt + message.input;
}

CallRequest requestOf(const CallMessage& message, const RunningCall& call)
{
    CallRequest request;
    request.program = message.program;
    request.workspace = message.caller.workspace;
    request.call = message.call;
    request.turn = message.turn;
    request.previous = message.previous;
    request.unconfirmed = message.unconfirmed;
    request.input = message.input;
    request.worstCaseTokens
        = message.target == CallTarget::Model ? call.promptTokens + message.maxTokens : TokenCount { 0 };
    request.idempotent = call.idempotent;
    request.repeated = message.repeated;
    request.deadline = call.deadline;
    return request;
}

Message replayReply(const ReplayOutcome& outcome, const ProgramTable& programs, ProgramId program)
{
    if (outcome.outcome != Outcome::Completed)
        return errorReply({ ErrorKind::OutcomeUnknown, outcome.outcome });
    CallEndedMessage ended;
    ended.turn = outcome.turn;
    ended.digest = outcome.digest;
    ended.output = outcome.answer.value_or("");
    const auto row = programs.row(program);
    ended.confirmedTurn = row ? row->confirmedTurn : TurnNumber {};
    return ended;
}

// Abandons a call whose claim has not been read back from the log by the deadline of the call.
void abandonAtDeadline(Node& node, CallKey key, AttemptNumber attempt)
{
    const auto partition = partitionOf(key.program);
    Actions actions;
    node.withPartition(partition, [&](PartitionState* state) {
        const auto found = state ? state->calls.find(key) : std::map<CallKey, RunningCall>::iterator {};
        if (!state || found == state->calls.end() || !found->second.claimPending || found->second.attempt != attempt)
            return;
        const auto now = RuntimeClock::now();
        auto refused = state->programs.abandonClaim(now, key.program, key.call, attempt, node.authorityOf(*state, now));
        if (!refused)
            return;
        static_cast<void>(pushRecords(*state, std::move(refused->records)));
        for (const auto& waiter : found->second.waiters)
            actions.push_back([respond = waiter.respond, error = refused->error] { respond(errorReply(error), true); });
        state->calls.erase(found);
    });
    run(actions);
    sendAppends(node, partition);
}

void resolveClaim(Node& node, CallKey key, AttemptNumber attempt, AppendState outcome)
{
    const auto now = RuntimeClock::now();
    Actions actions;
    node.withPartition(partitionOf(key.program), [&](PartitionState* state) {
        const auto found = state ? state->calls.find(key) : std::map<CallKey, RunningCall>::iterator {};
        // The claim of an earlier attempt can be read back after its call was abandoned and sent again.
        if (!state || found == state->calls.end() || !found->second.claimPending || found->second.attempt != attempt)
            return;
        auto decision
            = state->programs.resolveClaim(now, key.program, key.call, attempt, outcome, node.authorityOf(*state, now));
        if (auto* dispatch = std::get_if<DispatchNow>(&decision)) {
            found->second.claimPending = false;
            static_cast<void>(pushRecords(*state, std::move(dispatch->records)));
            actions.push_back([&node, key, attempt] { dispatchCall(node, { key, attempt }); });
            return;
        }
        // The outcome is not known yet; the call is abandoned at its deadline.
        if (std::holds_alternative<JoinRunning>(decision))
            return;
        auto* refused = std::get_if<RefuseCall>(&decision);
        const auto error = refused ? refused->error : Error { ErrorKind::OutcomeUnknown };
        if (refused)
            static_cast<void>(pushRecords(*state, std::move(refused->records)));
        for (const auto& waiter : found->second.waiters)
            actions.push_back([respond = waiter.respond, error] { respond(errorReply(error), true); });
        state->calls.erase(found);
    });
    run(actions);
}

// Admits a call and acts on the decision. Returns the response if it is already known.
std::optional<Message> admit(
    Node& node, PartitionState& state, RunningCall call, const Waiter& waiter, TimePoint now, Actions& actions)
{
    const CallKey key { call.message.program, call.message.call };
    auto decision = state.programs.admitCall(now, requestOf(call.message, call), node.authorityOf(state, now));
    if (auto* refused = std::get_if<RefuseCall>(&decision)) {
        static_cast<void>(pushRecords(state, std::move(refused->records)));
        return errorReply(refused->error);
    }
    if (const auto* replay = std::get_if<ReplayOutcome>(&decision))
        return replayReply(*replay, state.programs, key.program);
    if (std::holds_alternative<JoinRunning>(decision)) {
        const auto found = state.calls.find(key);
        if (found == state.calls.end())
            return errorReply({ ErrorKind::OutcomeUnknown, Outcome::Unknown });
        found->second.waiters.push_back(waiter);
        return std::nullopt;
    }
    call.waiters.push_back(waiter);
    if (auto* dispatch = std::get_if<DispatchNow>(&decision)) {
        call.attempt = dispatch->attempt;
        static_cast<void>(pushRecords(state, std::move(dispatch->records)));
        actions.push_back(
            [&node, callAttempt = CallAttempt { key, call.attempt }] { dispatchCall(node, callAttempt); });
    } else if (auto* claim = std::get_if<ClaimFirst>(&decision)) {
        call.attempt = claim->attempt;
        call.claimPending = true;
        const auto pushed = pushRecords(state, std::move(claim->records),
            [&node, key, attempt = call.attempt](AppendState outcome) { resolveClaim(node, key, attempt, outcome); });
        if (!pushed) {
            state.programs.abandonClaim(now, key.program, key.call, call.attempt, node.authorityOf(state, now));
            return errorReply(notRunError(ErrorKind::Overloaded, "", Milliseconds(500)));
        }
        node.runtime.after(
            call.deadline - now, [&node, key, attempt = call.attempt] { abandonAtDeadline(node, key, attempt); });
    }
    state.calls.insert_or_assign(key, std::move(call));
    return std::nullopt;
}

std::int64_t estimateTokens(const std::string& text)
{
    return static_cast<std::int64_t>(text.size()) / bytesPerToken + 1;
}

Budget budgetFor(const Configuration& configuration, const BeginProgramMessage& message)
{
    const auto& standard = configuration.budgetOf(message.caller.workspace);
    const auto* named = message.budget.empty()
        ? nullptr
        : configuration.findBudget(configuration.teamOf(message.caller.workspace), message.budget);
    const auto& entry = named ? *named : standard;
    return { entry.tokens, entry.calls, entry.wall, entry.depth };
}

// Checks that the program belongs to the caller's workspace. For other callers it is reported as unknown.
Status checkProgram(const PartitionState& state, const Caller& caller, ProgramId program)
{
    const auto workspace = state.programs.workspaceOf(program);
    if (!workspace || *workspace != caller.workspace)
        return notRunError(ErrorKind::UnknownProgram);
    return std::monostate {};
}

} // namespace

void handleCall(Node& node, CallMessage message, std::uint64_t waiter, Responder respond)
{
    const auto configuration = node.configurationNow();
    if (!configuration)
        return respond(errorReply(notRunError(ErrorKind::NotReady, "", Milliseconds(500))), true);
    const auto settings = callSettings(*configuration, message);
    if (!settings)
        return respond(errorReply(settings.error()), true);
    const auto now = RuntimeClock::now();
    const auto partition = partitionOf(message.program);
    Actions actions;
    bool isNotOwned = false;
    const auto answer = node.withPartition(partition, [&](PartitionState* state) -> std::optional<Message> {
        if (!state || !state->queue || state->handingOver) {
            isNotOwned = true;
            return std::nullopt;
        }
        RunningCall call;
        call.team = settings->team;
        call.idempotent = settings->idempotent;
        const auto left
            = message.timeLeft > Milliseconds(0) ? std::min(message.timeLeft, settings->deadline) : settings->deadline;
        call.deadline = now + left;
        if (message.target == CallTarget::Model)
            call.prompt = promptOf(*state, message);
        call.promptTokens = TokenCount { estimateTokens(call.prompt) };
        call.message = std::move(message);
        return admit(node, *state, std::move(call), { waiter, respond }, now, actions);
    });
    if (isNotOwned)
        return respond(notOwner(node, partition), true);
    run(actions);
    sendAppends(node, partition);
    if (answer)
        respond(*answer, true);
}

void cancelWaiter(Node& node, CallKey key, std::uint64_t waiter)
{
    Actions actions;
    node.withPartition(partitionOf(key.program), [&](PartitionState* state) {
        const auto found = state ? state->calls.find(key) : std::map<CallKey, RunningCall>::iterator {};
        if (!state || found == state->calls.end())
            return;
        auto& call = found->second;
        std::erase_if(call.waiters, [&](const Waiter& other) { return other.id == waiter; });
        // A service call may have side effects, so it is not cancelled and its outcome is recorded.
        if (!call.waiters.empty() || call.message.target == CallTarget::Service || std::exchange(call.cancelled, true))
            return;
        actions.push_back([http = call.http] { http.cancel(); });
    });
    run(actions);
}

void recheckKeys(Node& node)
{
    const auto configuration = node.configurationNow();
    Actions actions;
    node.partitions.forEach([&](PartitionMap& map) {
        for (auto& [id, state] : map) {
            for (auto& [key, call] : state.calls) {
                const auto allowed = checkCaller(*configuration, call.message.caller);
                if (allowed)
                    continue;
                for (const auto& waiter : std::exchange(call.waiters, {}))
                    actions.push_back([respond = waiter.respond, kind = allowed.error().kind] {
                        respond(errorReply({ kind, Outcome::Unknown }), true);
                    });
                if (call.message.target == CallTarget::Model && !std::exchange(call.cancelled, true))
                    actions.push_back([http = call.http] { http.cancel(); });
            }
        }
    });
    run(actions);
}

void failCalls(Node& node, PartitionState& state, Actions& actions)
{
    state.programs.forget(state.id);
    for (auto& [key, call] : state.calls) {
        for (const auto& waiter : call.waiters)
            actions.push_back([respond = waiter.respond] {
                respond(errorReply({ ErrorKind::EpochLost, Outcome::Unknown, "", Milliseconds(100) }), true);
            });
        if (call.message.target == CallTarget::Model)
            actions.push_back([http = call.http] { http.cancel(); });
    }
    actions.push_back([&node] { node.metrics.count("partitions_lost"); });
}

void endPrograms(Node& node, PartitionId partition, const EndedPrograms& ended, Actions& actions, PartitionState& state)
{
    static_cast<void>(pushRecords(state, ended.records));
    for (const auto& [program, callId] : ended.running) {
        auto found = state.calls.extract(CallKey { program, callId });
        if (found.empty())
            continue;
        for (const auto& waiter : found.mapped().waiters)
            actions.push_back([respond = waiter.respond] {
                respond(errorReply({ ErrorKind::ProgramEnded, Outcome::Unknown }), true);
            });
        actions.push_back([http = found.mapped().http] { http.cancel(); });
    }
    actions.push_back(
        [&node, partition, programs = ended.programs] { notifyProgramsEnded(node, partition, programs); });
}

void expirePrograms(Node& node, PartitionId partition)
{
    const auto now = RuntimeClock::now();
    Actions actions;
    node.withPartition(partition, [&](PartitionState* state) {
        if (!state || !state->queue || !state->lease->mayAct(now))
            return;
        for (const auto& ended : state->programs.expire(now))
            endPrograms(node, partition, ended, actions, *state);
        static_cast<void>(pushRecords(*state, state->programs.checkpoints(now)));
    });
    run(actions);
}

void handleBegin(Node& node, const BeginProgramMessage& message, const Responder& respond)
{
    const auto configuration = node.configurationNow();
    if (!configuration)
        return respond(errorReply(notRunError(ErrorKind::NotReady, "", Milliseconds(500))), true);
    const auto allowed = checkCaller(*configuration, message.caller);
    if (!allowed)
        return respond(errorReply(allowed.error()), true);
    if (!node.isDomainIn(*configuration, node.domain) && !message.parent.isValid())
        return respond(errorReply(notRunError(ErrorKind::DomainOutOfService)), true);
    const auto now = RuntimeClock::now();
    const auto begun = node.withPartition(message.partition, [&](PartitionState* state) -> Result<BegunProgram> {
        if (!state || !state->queue || state->handingOver)
            return notRunError(ErrorKind::NotOwner);
        const BeginRequest request { message.partition, message.caller.workspace, message.parent,
            budgetFor(*configuration, message) };
        auto result = state->programs.begin(now, request, node.authorityOf(*state, now));
        if (result)
            static_cast<void>(pushRecords(*state, result->records));
        return result;
    });
    if (!begun) {
        const bool isNotOwned
            = begun.error().kind == ErrorKind::NotOwner || begun.error().kind == ErrorKind::LeaseLapsed;
        return respond(isNotOwned ? notOwner(node, message.partition) : errorReply(begun.error()), true);
    }
    sendAppends(node, message.partition);
    node.metrics.count("programs_begun");
    respond(ProgramBegunMessage { begun->program, budgetFor(*configuration, message) }, true);
}

void handleEnd(Node& node, const EndProgramMessage& message, const Responder& respond)
{
    const auto now = RuntimeClock::now();
    const auto partition = partitionOf(message.program);
    Actions actions;
    bool isNotOwned = false;
    const auto status = node.withPartition(partition, [&](PartitionState* state) -> Status {
        if (!state || !state->queue) {
            isNotOwned = true;
            return std::monostate {};
        }
        auto allowed = checkProgram(*state, message.caller, message.program);
        if (!allowed)
            return allowed;
        const auto ended
            = state->programs.end(now, message.program, EndReason::Finished, node.authorityOf(*state, now));
        if (!ended)
            return ended.error();
        endPrograms(node, partition, *ended, actions, *state);
        return std::monostate {};
    });
    if (isNotOwned)
        return respond(notOwner(node, partition), true);
    run(actions);
    sendAppends(node, partition);
    if (status)
        node.metrics.count("programs_ended");
    respond(status ? Message { DoneMessage {} } : errorReply(status.error()), true);
}

void handleQuery(Node& node, const ProgramQueryMessage& message, const Responder& respond)
{
    const auto partition = partitionOf(message.program);
    const auto answer = node.withPartition(partition, [&](PartitionState* state) -> std::optional<Message> {
        if (!state || !state->queue)
            return std::nullopt;
        const auto allowed = checkProgram(*state, message.caller, message.program);
        const auto row = state->programs.row(message.program);
        if (!allowed || !row)
            return errorReply(notRunError(ErrorKind::UnknownProgram));
        return ProgramStateMessage { row->program, row->turn, row->confirmedTurn, row->digest, row->budget, row->spent,
            row->ended.has_value() };
    });
    respond(answer ? *answer : Message { notOwner(node, partition) }, true);
}

} // namespace peridotramp
