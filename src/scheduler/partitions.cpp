#include "node_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

constexpr Milliseconds maintainPeriod { 500 };
constexpr std::size_t readLimit = 512;
/// Delay after the start before partitions are taken over, so that membership can discover the other nodes.
constexpr Milliseconds takeoverDelay { 2000 };
constexpr Milliseconds takeoverRetryDelay { 2000 };
/// Keeps the append ids of takeover groups above those of an owner's other groups, which count from 1 in each epoch.
constexpr std::uint64_t takeoverIdBit = std::uint64_t { 1 } << 62;

PartitionState& stateOf(Node& node, PartitionMap& map, PartitionId partition)
{
    const auto found = map.find(partition);
    if (found != map.end())
        return found->second;
    auto& state = map[partition];
    state.id = partition;
    LeaseSettings lease;
    lease.absenceTimeout = node.init.voterAbsenceTimeout;
    state.lease.emplace(partition, node.self, node.incarnation, lease);
    const auto unixNow = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    ProgramSettings programs;
    programs.unixTimeOrigin
        = unixNow - std::chrono::duration_cast<Milliseconds>(RuntimeClock::now().time_since_epoch());
    programs.checkpointAge = std::chrono::duration_cast<Milliseconds>(node.init.logRetention) / 2;
    state.programs = ProgramTable(programs);
    GrantTable::Init grants;
    grants.idSeed = hashBytes(node.init.name, node.incarnation.value ^ partition.value);
    state.grants.initialise(grants);
    return state;
}

AppendLimits appendLimits(const Node& node)
{
    AppendLimits limits;
    limits.appendsPerSecond
        = node.init.appendsPerSecond / static_cast<double>(node.init.partitionsPerDomain * node.init.domains.size());
    return limits;
}

void resolveTickets(PartitionState& state, const std::vector<AppendResolution>& resolutions, Actions& actions)
{
    for (const auto& resolution : resolutions) {
        auto found = state.appendHooks.extract(resolution.ticket);
        if (!found.empty())
            actions.push_back([hook = std::move(found.mapped()), outcome = resolution.state] { hook(outcome); });
    }
}

// Discards the state of a partition that another node has taken over; the log stream is read again from its start.
void discardPartition(Node& node, PartitionMap& map, PartitionId partition, Actions& actions)
{
    auto& state = map.at(partition);
    log(LogLevel::Warning, "partition lost to another node", { { "partition", partition } });
    failCalls(node, state, actions);
    for (auto& [ticket, hook] : state.appendHooks)
        actions.push_back([hook = std::move(hook)] { hook(AppendState::Rejected); });
    map.erase(partition);
    stateOf(node, map, partition);
}

void becomeOwner(Node& node, PartitionState& state, TimePoint now)
{
    log(LogLevel::Info, "partition taken over", { { "partition", state.id }, { "epoch", state.lease->epoch() } });
    state.programs.takeOver(now, state.id, state.lease->epoch(), !state.log.isTruncated());
    state.queue.emplace(state.lease->epoch(), appendLimits(node));
}

void applyRecord(PartitionState& state, const LogRecord& record, TimePoint now, Actions& actions)
{
    auto group = decodeGroup(record.data);
    if (!group)
        log(LogLevel::Warning, "partition record cannot be decoded",
            { { "partition", state.id }, { "offset", record.offset } });
    // A group without a valid epoch has no effect; applying it advances the reader past the undecodable record.
    const auto applied = state.log.apply(record.offset, group ? std::move(group.value()) : RecordGroup {});
    const bool isOwn = state.programs.owns(state.id) && state.queue && applied.epoch == state.queue->epoch();
    for (const auto& valid : applied.records) {
        if (isOwn)
            state.programs.confirm(now, state.id, valid);
        else
            state.programs.replay(now, state.id, valid);
    }
    if (state.queue)
        resolveTickets(state, state.queue->recordApplied(applied), actions);
}

void applyRead(
    Node& node, PartitionMap& map, PartitionId partition, TimePoint readStart, const LogRead& read, Actions& actions)
{
    auto& state = map.at(partition);
    const auto now = RuntimeClock::now();
    for (const auto& record : read.records)
        applyRecord(state, record, now, actions);
    state.lastRead = now;
    state.hasReachedTail = state.hasReachedTail || read.reachedTail();
    state.lease->recordRead(now, readStart, read.reachedTail(), state.log);
    if (state.lease->isOwner() && !state.programs.owns(partition))
        becomeOwner(node, state, now);
    else if (!state.lease->isOwner() && state.queue)
        discardPartition(node, map, partition, actions);
}

void requestVotes(Node& node, PartitionId partition, const std::vector<LeaseVoteRequest>& requests)
{
    for (const auto& request : requests) {
        const auto recordReply = [&node, partition, request](const LeaseVoteReply& reply) {
            node.withPartition(partition, [&](PartitionState* state) {
                if (state)
                    state->lease->recordReply(RuntimeClock::now(), request, reply);
            });
        };
        if (request.voter == node.self) {
            recordReply(handleVoteRequest(node, request));
            continue;
        }
        const auto voter = node.member(request.voter);
        if (!voter)
            continue;
        node.rpc.call(voter->update.addresses.tcp, request, Seconds(1), [recordReply](Result<Message> answer, bool) {
            const auto* reply = answer ? std::get_if<LeaseVoteReply>(&answer.value()) : nullptr;
            if (reply)
                recordReply(*reply);
        });
    }
}

bool isTakeoverDue(Node& node, const PartitionState& state, const std::vector<NodeId>& live, TimePoint now)
{
    if (!state.hasReachedTail || state.lease->isOwner() || now < state.takeoverRetryAt
        || now - node.startedAt < takeoverDelay)
        return false;
    const auto& current = state.log.current();
    if (!current || current->handedOver || current->record.node == node.self)
        return true;
    return std::ranges::find(live, current->record.node) == live.end();
}

void takeOverPartition(Node& node, PartitionId partition, const std::vector<NodeId>& live)
{
    const auto now = RuntimeClock::now();
    const auto epoch = node.withPartition(partition, [&](PartitionState* state) -> std::optional<Epoch> {
        if (!state || !isTakeoverDue(node, *state, live, now))
            return std::nullopt;
        state->takeoverRetryAt = now + takeoverRetryDelay;
        return state->log.epoch();
    });
    if (!epoch)
        return;
    // The shift clears the two highest bits: one is for `takeoverIdBit`, and without the other the id is always valid.
    const RecordGroup group { AppendId { takeoverIdBit | (node.nextSerial() >> 2) }, *epoch,
        { OwnershipRecord { node.self, node.incarnation, live } } };
    node.log.append(streamOf(partition), group.appendId, encodeGroup(group),
        [&node, partition](const Result<Offset>&) { readPartition(node, partition); });
}

void maintain(Node& node, PartitionId partition)
{
    const auto now = RuntimeClock::now();
    auto live = node.liveNodes(domainOf(partition));
    if (node.draining)
        std::erase(live, node.self);
    const auto order = rendezvousOrder(partition.value, live);
    const bool isCandidate = !order.empty() && order.front() == node.self;
    // The candidate for the ownership reads the partition, and so does the next in the order, which becomes the
    // candidate when that one fails.
    const bool isReader = isCandidate || (order.size() > 1 && order[1] == node.self);
    const auto configuration = node.configurationNow();
    const auto requests = node.partitions.with(partition.value, [&](PartitionMap& map) {
        if (!isReader && !map.contains(partition))
            return std::vector<LeaseVoteRequest> {};
        auto& state = stateOf(node, map, partition);
        if (configuration)
            configurePartition(node, state, *configuration, now);
        renewTables(state, now);
        return state.lease->voteRequests(now);
    });
    requestVotes(node, partition, requests);
    readPartition(node, partition);
    if (isCandidate && configuration)
        takeOverPartition(node, partition, live);
    expirePrograms(node, partition);
    sendAppends(node, partition);
}

// Schedules the next append for the time at which the append rate allows it.
void scheduleAppends(Node& node, PartitionId partition, std::optional<TimePoint> at)
{
    if (!at)
        return;
    const auto delay = std::max<Duration>(*at - RuntimeClock::now(), Milliseconds(1));
    node.runtime.after(delay, [&node, partition] { sendAppends(node, partition); });
}

void queueHandover(Node& node, PartitionState& state)
{
    if (state.handoverQueued || !state.calls.empty() || !state.queue)
        return;
    state.handoverQueued = true;
    auto records = state.programs.handOver(state.id);
    records.emplace_back(HandoverRecord { node.self, {} });
    const auto partition = state.id;
    const auto status = pushRecords(state, std::move(records), [&node, partition](AppendState) {
        node.partitions.with(partition.value, [&](PartitionMap& map) { map.erase(partition); });
    });
    state.handoverQueued = status.hasValue();
}

} // namespace

Status pushRecords(
    PartitionState& state, std::vector<PartitionRecord> records, std::function<void(AppendState)> onResolved)
{
    if (records.empty())
        return std::monostate {};
    if (!state.queue)
        return Error { ErrorKind::NotOwner, Outcome::NotRun };
    const auto tickets = state.queue->push(std::move(records));
    if (!tickets)
        return tickets.error();
    if (onResolved)
        state.appendHooks[tickets->back()] = std::move(onResolved);
    return std::monostate {};
}

void sendAppends(Node& node, PartitionId partition)
{
    const auto now = RuntimeClock::now();
    std::optional<TimePoint> next;
    const auto group = node.withPartition(partition, [&](PartitionState* state) -> std::optional<RecordGroup> {
        if (!state || !state->queue)
            return std::nullopt;
        auto due = state->queue->poll(now);
        if (!due)
            next = state->queue->nextPoll(now);
        return due;
    });
    if (!group)
        return scheduleAppends(node, partition, next);
    node.metrics.count("log_appends");
    const auto data = encodeGroup(*group);
    node.metrics.count("log_append_bytes", static_cast<double>(data.size()));
    node.log.append(streamOf(partition), group->appendId, data,
        [&node, partition, id = group->appendId](const Result<Offset>& offset) {
            if (offset)
                return readPartition(node, partition);
            node.metrics.count("log_append_failures");
            node.withPartition(partition, [&](PartitionState* state) {
                if (state && state->queue)
                    state->queue->recordFailure(RuntimeClock::now(), id);
            });
            node.runtime.after(Milliseconds(200), [&node, partition] { sendAppends(node, partition); });
        });
}

void readPartition(Node& node, PartitionId partition)
{
    const auto from = node.withPartition(partition, [](PartitionState* state) -> std::optional<Offset> {
        if (!state || std::exchange(state->reading, true))
            return std::nullopt;
        return state->log.next();
    });
    if (!from)
        return;
    const auto readStart = RuntimeClock::now();
    node.log.read(streamOf(partition), *from, readLimit, [&node, partition, readStart](const Result<LogRead>& read) {
        Actions actions;
        node.partitions.with(partition.value, [&](PartitionMap& map) {
            const auto found = map.find(partition);
            if (found == map.end())
                return;
            found->second.reading = false;
            if (read)
                applyRead(node, map, partition, readStart, *read, actions);
        });
        run(actions);
        sendAppends(node, partition);
        if (read && !read->reachedTail())
            readPartition(node, partition);
    });
}

LeaseVoteReply handleVoteRequest(Node& node, const LeaseVoteRequest& request)
{
    return node.voter.with(0, [&](std::optional<LeaseVoter>& voter) {
        if (!voter)
            voter.emplace(node.startedAt);
        return voter->reply(RuntimeClock::now(), request);
    });
}

void handOverAll(Node& node, std::function<void()> done)
{
    std::vector<PartitionId> owned;
    node.partitions.forEach([&](PartitionMap& map) {
        for (auto& [id, state] : map) {
            if (!state.queue)
                continue;
            state.handingOver = true;
            queueHandover(node, state);
            owned.push_back(id);
        }
    });
    if (owned.empty())
        return done();
    for (const auto partition : owned)
        sendAppends(node, partition);
    node.runtime.after(Milliseconds(50), [&node, done = std::move(done)] { handOverAll(node, done); });
}

void startPartitions(Node& node)
{
    for (const auto partition : node.partitionsOf(node.domain))
        node.timers.push_back(node.runtime.every(maintainPeriod, [&node, partition] { maintain(node, partition); }));
}

} // namespace peridotramp
