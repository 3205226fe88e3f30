#pragma once

#include "peridotramp/codec.h"
#include "peridotramp/nodes.h"

namespace peridotramp {

/// Serializes an enumeration; throws for values that are out of range.
template <typename Archive, typename Enum> void serializeEnum(Archive& archive, Enum& value)
{
    archive(value);
    if (value >= Enum::Count)
        throw cereal::Exception("enumeration value out of range");
}

template <typename Archive> void serialize(Archive& archive, Caller& caller) { archive(caller.key, caller.workspace); }

template <typename Archive> void serialize(Archive& archive, Spending& spending)
{
    archive(spending.tokens, spending.calls);
}

template <typename Archive> void serialize(Archive& archive, Budget& budget)
{
    archive(budget.tokens, budget.calls, budget.wallTime, budget.depth);
}

template <typename Archive> void serialize(Archive& archive, ResentTurn& turn)
{
    archive(turn.turn, turn.call, turn.input, turn.output);
}

template <typename Archive> void serialize(Archive& archive, BeginProgramMessage& message)
{
    archive(message.caller, message.partition, message.parent, message.budget);
}

template <typename Archive> void serialize(Archive& archive, ProgramBegunMessage& message)
{
    archive(message.program, message.budget);
}

template <typename Archive> void serialize(Archive& archive, EndProgramMessage& message)
{
    archive(message.caller, message.program);
}

template <typename Archive> void serialize(Archive& archive, ProgramQueryMessage& message)
{
    archive(message.caller, message.program);
}

template <typename Archive> void serialize(Archive& archive, ProgramStateMessage& message)
{
    archive(message.program, message.turn, message.confirmedTurn, message.digest, message.budget, message.spent,
        message.ended);
}

template <typename Archive> void serialize(Archive& archive, CallMessage& message)
{
    archive(message.caller, message.program, message.call, message.turn, message.previous, message.unconfirmed);
    serializeEnum(archive, message.target);
    archive(message.name, message.input, message.maxTokens, message.timeLeft, message.repeated);
}

template <typename Archive> void serialize(Archive& archive, CallChunkMessage& message) { archive(message.text); }

template <typename Archive> void serialize(Archive& archive, CallEndedMessage& message)
{
    serializeEnum(archive, message.outcome);
    archive(message.turn, message.digest, message.output, message.promptTokens, message.cachedTokens);
    archive(message.completionTokens, message.confirmedTurn);
}

template <typename Archive> void serialize(Archive& archive, ErrorMessage& message)
{
    archive(message.error, message.owner, message.ownerAddress);
    if (message.error.kind >= ErrorKind::Count || message.error.outcome >= Outcome::Count)
        throw cereal::Exception("error value out of range");
}

template <typename Archive> void serialize(Archive& archive, BucketKey& key)
{
    archive(key.workspace, key.domain);
    serializeEnum(archive, key.kind);
}

template <typename Archive> void serialize(Archive& archive, Permit& permit)
{
    archive(permit.bucket, permit.id, permit.epoch, permit.amount);
}

template <typename Archive> void serialize(Archive& archive, RatePermitRequest& message)
{
    archive(message.bucket, message.amount, message.source, message.timeLeft);
}

template <typename Archive> void serialize(Archive& archive, RatePermitReply& message) { archive(message.permit); }

template <typename Archive> void serialize(Archive& archive, RateCorrection& message)
{
    archive(message.permit, message.used);
}

template <typename Archive> void serialize(Archive& archive, TokenUse& use) { archive(use.prefill, use.output); }

template <typename Archive> void serialize(Archive& archive, SlotRequest& message)
{
    archive(message.name);
    serializeEnum(archive, message.target);
    archive(message.team, message.domain, message.call, message.program, message.workspace, message.holder);
    archive(message.incarnation, message.attempt, message.retryable, message.timeLeft, message.attained);
    archive(message.history, message.expected);
}

// Omits the time of the grant: it is a time of the owner's clock, which the holder cannot interpret.
template <typename Archive> void serialize(Archive& archive, EndpointPermit& permit)
{
    archive(permit.permit, permit.endpoint, permit.epoch);
}

template <typename Archive> void serialize(Archive& archive, SlotReply& message)
{
    archive(message.permit, message.address);
}

template <typename Archive> void serialize(Archive& archive, CallReport& report)
{
    serializeEnum(archive, report.result);
    archive(report.firstToken, report.uncachedTokens);
}

template <typename Archive> void serialize(Archive& archive, SlotRelease& message)
{
    archive(message.request, message.permit, message.report, message.actual, message.cachedTokens);
}

template <typename Archive> void serialize(Archive& archive, ProgramsEndedNotice& message)
{
    archive(message.programs, message.domain, message.team, message.name);
}

template <typename Archive> void serialize(Archive& archive, ProgramsAliveQuery& message) { archive(message.programs); }

template <typename Archive> void serialize(Archive& archive, ProgramsAliveReply& message)
{
    archive(message.alive, message.gone);
}

template <typename Archive> void serialize(Archive& archive, LoanRequest& message)
{
    archive(message.bucket, message.borrower, message.loan, message.term, message.rate, message.burst);
}

template <typename Archive> void serialize(Archive& archive, LoanReply& message)
{
    archive(message.bucket, message.lender, message.loan, message.term, message.rate, message.burst, message.level);
    archive(message.spareRate, message.spareBurst);
}

// Omits the time of the request, which only the sender uses.
template <typename Archive> void serialize(Archive& archive, LeaseVoteRequest& message)
{
    serializeEnum(archive, message.kind);
    archive(message.partition, message.voter, message.epoch);
}

template <typename Archive> void serialize(Archive& archive, LeaseVoteReply& message)
{
    archive(message.granted, message.retryAfter);
}

template <typename Archive> void serialize(Archive& archive, MemberAddresses& addresses)
{
    archive(addresses.tcp, addresses.udp, addresses.admin);
}

template <typename Archive> void serialize(Archive& archive, MemberUpdate& update)
{
    archive(update.node, update.incarnation, update.domain, update.addresses);
    serializeEnum(archive, update.state);
}

template <typename Archive> void serialize(Archive& archive, MembershipMessage& message)
{
    serializeEnum(archive, message.kind);
    archive(message.sequence, message.target, message.targetAddress, message.sender, message.configurationVersion);
    archive(message.updates);
}

template <typename Archive> void serialize(Archive& archive, ConfigurationRecord& record)
{
    archive(record.offset, record.payload);
}

template <typename Archive> void serialize(Archive& archive, ConfigurationRead& read)
{
    archive(read.from, read.first, read.next, read.records, read.age);
}

template <typename Archive> void serialize(Archive& archive, SnapshotDocument& document)
{
    archive(document.team, document.version, document.changeId, document.text, document.recordAge, document.refused);
}

template <typename Archive> void serialize(Archive& archive, ConfigurationSnapshot& snapshot)
{
    archive(snapshot.next, snapshot.documents, snapshot.age);
}

template <typename Archive> void serialize(Archive& archive, ConfigurationQuery& message) { archive(message.applied); }

template <typename Archive> void serialize(Archive& archive, ConfigurationReply& message) { archive(message.transfer); }

template <typename Archive> void serialize(Archive&, RoutingTableQuery&) { }

template <typename Archive> void serialize(Archive& archive, PartitionOwner& owner)
{
    archive(owner.partition, owner.node, owner.epoch);
}

template <typename Archive> void serialize(Archive& archive, RoutingTableReply& message)
{
    archive(message.members, message.owners);
}

template <typename Archive> void serialize(Archive&, CancelMessage&) { }

template <typename Archive> void serialize(Archive&, DoneMessage&) { }

template <typename Archive> void serialize(Archive& archive, ConversationTurn& turn)
{
    archive(turn.id, turn.previous, turn.workspace, turn.input, turn.output, turn.program);
}

template <typename Archive> void serialize(Archive& archive, HeldTurn& held) { archive(held.turn, held.isStored); }

template <typename Archive> void serialize(Archive& archive, StoredTurnsRequest& message) { archive(message.turns); }

template <typename Archive> void serialize(Archive& archive, StoredTurnsReply& message) { archive(message.stored); }

template <typename Archive> void serialize(Archive& archive, FleetMember& member)
{
    archive(member.name, member.domain, member.address, member.capacity);
}

template <typename Archive> void serialize(Archive& archive, PeerState& state)
{
    archive(state.storeReachable, state.draining);
}

template <typename Archive> void serialize(Archive& archive, HistoryRequest& message)
{
    archive(message.turn);
    serializeEnum(archive, message.scope);
}

template <typename Archive> void serialize(Archive& archive, HistoryReply& message)
{
    archive(message.turns, message.hasReadPartitions);
    serializeEnum(archive, message.storeAvailability);
}

template <typename Archive> void serialize(Archive& archive, TurnCopy& message)
{
    archive(message.program, message.turn, message.keepFor);
}

template <typename Archive> void serialize(Archive& archive, BeginTurnRequest& message)
{
    archive(message.program, message.workspace, message.hold, message.budget, message.maxTokens);
    archive(message.answerTimeout, message.timeLeft, message.previousTurn);
}

template <typename Archive> void serialize(Archive& archive, BeginTurnReply& message)
{
    serializeEnum(archive, message.stage);
    archive(message.history);
}

template <typename Archive> void serialize(Archive& archive, EndTurnNotice& message)
{
    archive(message.program, message.hold, message.used, message.turn, message.keepFor);
}

template <typename Archive> void serialize(Archive& archive, ReleaseTokensRequest& message)
{
    archive(message.program);
}

template <typename Archive> void serialize(Archive& archive, ReleaseTokensReply& message)
{
    archive(message.allReleased);
}

template <typename Archive> void serialize(Archive& archive, TokenReservation& reservation)
{
    archive(reservation.program, reservation.owner, reservation.reserved, reservation.used, reservation.revision);
}

template <typename Archive> void serialize(Archive& archive, ReservationCopy& message)
{
    archive(message.reservation, message.stored);
}

template <typename Archive> void serialize(Archive& archive, ReservationCopyReply& message)
{
    archive(message.complete, message.reservations);
}

template <typename Archive> void serialize(Archive& archive, HandoverNotice& message)
{
    archive(message.partition, message.reservations);
}

template <typename Archive> void serialize(Archive& archive, ReservationsNotice& message)
{
    archive(message.reservations);
}

template <typename Archive> void serialize(Archive& archive, PartitionRequest& message)
{
    archive(message.partition, message.withTurns);
}

template <typename Archive> void serialize(Archive& archive, PartitionReply& message)
{
    archive(message.complete, message.reservations, message.turns);
}

template <typename Archive> void serialize(Archive& archive, TurnPageRequest& message)
{
    archive(message.partition, message.after);
}

template <typename Archive> void serialize(Archive& archive, TurnPageReply& message)
{
    archive(message.turns, message.more);
}

template <typename Archive> void serialize(Archive& archive, TopicEnds& ends)
{
    archive(ends.operators, ends.endpoints);
}

template <typename Archive> void serialize(Archive& archive, TopicState& state) { archive(state.end, state.records); }

template <typename Archive> void serialize(Archive& archive, StateRequest& message) { archive(message.known); }

template <typename Archive> void serialize(Archive& archive, StateRecord& record) { archive(record.key, record.value); }

template <typename Archive> void serialize(Archive& archive, StateReply& message)
{
    archive(message.hasState, message.operators, message.endpoints);
}

template <typename Archive> void serialize(Archive& archive, AllowanceLease& lease)
{
    archive(lease.number, lease.requests, lease.programs, lease.used, lease.unreported, lease.limit);
}

template <typename Archive> void serialize(Archive& archive, LeaseRequest& message)
{
    serializeEnum(archive, message.stage);
    archive(message.instance, message.workspace, message.leaseSize);
}

template <typename Archive> void serialize(Archive& archive, LeaseReply& message) { archive(message.lease); }

template <typename Archive> void serialize(Archive& archive, QuotaLoan& loan) { archive(loan.requests, loan.programs); }

template <typename Archive> void serialize(Archive& archive, QuotaLoanRequest& message)
{
    serializeEnum(archive, message.stage);
    archive(message.workspace);
}

template <typename Archive> void serialize(Archive& archive, QuotaLoanReply& message) { archive(message.loan); }

template <typename Archive> void serialize(Archive&, MembersRequest&) { }

template <typename Archive> void serialize(Archive& archive, MembersReply& message) { archive(message.members); }

template <typename Archive> void serialize(Archive& archive, StoreCallRequest& message)
{
    archive(message.method, message.target, message.contentType, message.body, message.timeout);
}

template <typename Archive> void serialize(Archive& archive, StoreCallReply& message)
{
    archive(message.status, message.body);
}

template <typename Archive> void serialize(Archive& archive, InstanceUse& use)
{
    archive(use.admitted, use.requested, use.programsStarted, use.inWindow, use.leased);
}

template <typename Archive> void serialize(Archive& archive, AllowanceUse& use)
{
    archive(
        use.inWindow, use.outstanding, use.unreported, use.requested, use.programsStarted, use.programsStartedRecently);
    archive(use.inShortTerm);
    archive(use.hasUnmetRequests, use.hasUnmetPrograms);
}

template <typename Archive> void serialize(Archive& archive, WorkspaceInstanceUse& entry)
{
    archive(entry.workspace, entry.use);
}

template <typename Archive> void serialize(Archive& archive, UseBeforeRestart& entry)
{
    archive(entry.domain, entry.requests);
}

template <typename Archive> void serialize(Archive& archive, WorkspaceUse& entry)
{
    archive(entry.workspace, entry.use, entry.usesBeforeRestart);
}

template <typename Archive> void serialize(Archive& archive, EndpointLoad& load)
{
    archive(load.endpoint, load.outstanding);
}

template <typename Archive> void serialize(Archive& archive, ReceivedLease& lease)
{
    archive(lease.coordinator, lease.number);
}

template <typename Archive> void serialize(Archive& archive, InstanceStatus& status)
{
    archive(status.sender, status.incarnation, status.uptime, status.state, status.leases, status.allowances);
    archive(status.loads, status.topicEnds);
}

template <typename Archive> void serialize(Archive& archive, MemberContact& contact)
{
    archive(contact.id, contact.timeSinceHeard, contact.state);
}

template <typename Archive> void serialize(Archive& archive, DomainContact& contact)
{
    archive(contact.domain, contact.timeSinceHeard, contact.members);
}

template <typename Archive> void serialize(Archive& archive, FleetDigest& digest)
{
    archive(digest.sender, digest.active, digest.members, digest.domains, digest.loads, digest.topicEnds);
}

template <typename Archive> void serialize(Archive& archive, DomainSummary& summary)
{
    archive(summary.sender, summary.standby, summary.incarnation, summary.uptime, summary.members);
    archive(summary.allowances, summary.loads, summary.topicEnds);
}

template <typename Archive> void serialize(Archive& archive, Frame& frame)
{
    archive(frame.correlationId, frame.last, frame.message);
}

} // namespace peridotramp
