#pragma once

#include "peridotramp/ownership.h"
#include "peridotramp/programs.h"

namespace peridotramp::fuzz {

/// A call that a host dispatches to an endpoint; the simulation decides when it runs.
struct Dispatch {
    ProgramId program;
    CallId call;
    AttemptNumber attempt;
};

/// Answer to a caller for a call that the host does not run.
struct Answer {
    ProgramId program;
    CallId call;
    Outcome outcome = Outcome::Unknown;
    ErrorKind kind = ErrorKind::None;
    ReplayOutcome replay {};
};

struct HostEvents {
    std::vector<Dispatch> dispatches;
    std::vector<Answer> answers;
};

/// State of one partition at one node, composed of the decision classes as in a process.
class PartitionHost {
public:
    PartitionHost(PartitionId partition, NodeId node, Incarnation incarnation, ProgramSettings programs = {},
        AppendLimits appends = {}, LeaseSettings lease = {})
        : lease(partition, node, incarnation, lease)
        , table(programs)
        , partition(partition)
        , node(node)
        , incarnation(incarnation)
        , appends(appends)
    {
    }

    /// Returns the group whose append makes this host the owner of the partition.
    RecordGroup takeover(const std::vector<NodeId>& electorate, AppendId appendId) const
    {
        return { appendId, this->log.epoch(), { OwnershipRecord { this->node, this->incarnation, electorate } } };
    }

    /// Applies the groups that were added to the stream since the last read.
    HostEvents read(TimePoint now, const std::vector<RecordGroup>& stream, Authority authority)
    {
        HostEvents events;
        while (this->log.next().value < stream.size()) {
            const auto offset = this->log.next();
            const auto applied = this->log.apply(offset, stream[offset.value]);
            if (!applied.records.empty() && std::holds_alternative<OwnershipRecord>(applied.records.front()))
                this->changeOwner(now, stream, events);
            else
                this->applyRecords(now, applied);
            if (this->queue)
                this->resolve(now, this->queue->recordApplied(applied), authority, events);
        }
        return events;
    }

    /// Handles a call request and adds its records to the append queue.
    HostEvents request(TimePoint now, const CallRequest& request, Authority authority)
    {
        HostEvents events;
        this->decide(request.program, request.call, this->table.admitCall(now, request, authority), events);
        return events;
    }

    /// Abandons all calls that wait for the confirmation of a claim.
    HostEvents abandon(TimePoint now, Authority authority)
    {
        HostEvents events;
        const auto waiting = std::exchange(this->claims, {});
        for (const auto& [ticket, dispatch] : waiting) {
            auto refusal = this->table.abandonClaim(now, dispatch.program, dispatch.call, dispatch.attempt, authority);
            if (refusal)
                this->decide(dispatch.program, dispatch.call, *refusal, events);
        }
        return events;
    }

    std::vector<AppendTicket> push(std::vector<PartitionRecord> records)
    {
        if (records.empty() || !this->queue)
            return {};
        auto tickets = this->queue->push(std::move(records));
        return tickets ? *tickets : std::vector<AppendTicket> {};
    }

    std::optional<FinishedCall> finish(
        TimePoint now, const Dispatch& dispatch, const CallResult& result, Authority authority)
    {
        auto finished
            = this->table.finishCall(now, dispatch.program, dispatch.call, dispatch.attempt, result, authority);
        if (!finished)
            return std::nullopt;
        this->push(finished->records);
        return *finished;
    }

    PartitionLog log;
    PartitionLease lease;
    ProgramTable table;
    std::optional<AppendQueue> queue;
    std::map<AppendTicket, Dispatch> claims;

private:
    void changeOwner(TimePoint now, const std::vector<RecordGroup>& stream, HostEvents& events)
    {
        const auto& owner = this->log.current()->record;
        const bool isOwn = owner.node == this->node && owner.incarnation == this->incarnation;
        const auto epoch = this->log.epoch();
        if (this->table.owns(this->partition) && isOwn) {
            this->table.renew(this->partition, epoch);
            return;
        }
        if (this->table.owns(this->partition))
            this->loseOwnership(now, stream, events);
        if (!isOwn)
            return;
        this->table.takeOver(now, this->partition, epoch, !this->log.isTruncated());
        this->queue.emplace(epoch, this->appends);
    }

    void loseOwnership(TimePoint now, const std::vector<RecordGroup>& stream, HostEvents& events)
    {
        for (const auto& [program, call] : this->table.forget(this->partition))
            events.answers.push_back({ program, call, Outcome::Unknown, ErrorKind::EpochLost });
        this->queue.reset();
        this->claims.clear();
        PartitionLog replayed;
        for (std::uint64_t offset = 0; offset < this->log.next().value; ++offset)
            this->applyRecords(now, replayed.apply(Offset { offset }, stream[offset]));
    }

    void applyRecords(TimePoint now, const AppliedGroup& applied)
    {
        for (const auto& record : applied.records) {
            if (this->table.owns(this->partition))
                this->table.confirm(now, this->partition, record);
            else
                this->table.replay(now, this->partition, record);
        }
    }

    void resolve(TimePoint now, const std::vector<AppendResolution>& resolved, Authority authority, HostEvents& events)
    {
        for (const auto& each : resolved) {
            const auto claim = this->claims.extract(each.ticket);
            if (claim.empty())
                continue;
            const auto& call = claim.mapped();
            this->decide(call.program, call.call,
                this->table.resolveClaim(now, call.program, call.call, call.attempt, each.state, authority), events);
        }
    }

    void decide(ProgramId program, CallId call, CallDecision decision, HostEvents& events)
    {
        if (auto* now = std::get_if<DispatchNow>(&decision)) {
            this->push(std::move(now->records));
            events.dispatches.push_back({ program, call, now->attempt });
        } else if (auto* first = std::get_if<ClaimFirst>(&decision)) {
            const auto tickets = this->push(std::move(first->records));
            if (!tickets.empty())
                this->claims[tickets.back()] = { program, call, first->attempt };
        } else if (const auto* replay = std::get_if<ReplayOutcome>(&decision))
            events.answers.push_back({ program, call, replay->outcome, ErrorKind::None, *replay });
        else if (auto* refusal = std::get_if<RefuseCall>(&decision)) {
            this->push(std::move(refusal->records));
            events.answers.push_back({ program, call, refusal->error.outcome, refusal->error.kind });
        }
    }

    PartitionId partition;
    NodeId node;
    Incarnation incarnation;
    AppendLimits appends;
};

} // namespace peridotramp::fuzz
