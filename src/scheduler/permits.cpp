#include "node_p.h"

namespace peridotramp {

namespace {

constexpr Milliseconds loanPeriod { 100 };

PartitionId partitionOf(const Node& node, const BucketKey& bucket)
{
    return node.bucketPartition(bucket.workspace, bucket.domain);
}

void answerTake(Node& node, BucketKey bucket, const TakeResult& result, const Responder& respond);

void resumeTake(Node& node, BucketKey bucket, TicketId ticket, const Responder& respond)
{
    const auto now = RuntimeClock::now();
    const auto result = node.withPartition(partitionOf(node, bucket), [&](PartitionState* state) -> TakeResult {
        if (!state)
            return Error { ErrorKind::NotOwner, Outcome::NotRun };
        return state->grants.resume(now, bucket, ticket);
    });
    answerTake(node, bucket, result, respond);
}

void answerTake(Node& node, BucketKey bucket, const TakeResult& result, const Responder& respond)
{
    if (!result) {
        const auto kind = result.error().kind;
        const bool isNotOwned
            = kind == ErrorKind::NotOwner || kind == ErrorKind::LeaseLapsed || kind == ErrorKind::NotReady;
        // The requester retries only on `NotOwner`; the other two mean that no owner holds a valid lease yet.
        return respond(
            isNotOwned ? notOwner(node, partitionOf(node, bucket)) : ErrorMessage { result.error(), {}, {} }, true);
    }
    if (const auto* permit = std::get_if<Permit>(&result.value()))
        return respond(RatePermitReply { *permit }, true);
    const auto wait = std::get<GrantWait>(result.value());
    const auto delay = std::max<Duration>(wait.resumeAt - RuntimeClock::now(), Milliseconds(1));
    node.runtime.after(
        delay, [&node, bucket, ticket = wait.ticket, respond] { resumeTake(node, bucket, ticket, respond); });
}

void sendLoanRequest(Node& node, const LoanRequest& request)
{
    const auto lender = partitionOf(node, request.bucket);
    const BucketKey borrowingBucket { request.bucket.workspace, request.borrower, request.bucket.kind };
    callOwner(node, lender, request, RuntimeClock::now() + Milliseconds(400),
        [&node, borrowingBucket](Result<Message> answer, bool) {
            const auto* reply = answer ? std::get_if<LoanReply>(&answer.value()) : nullptr;
            if (!reply)
                return;
            node.withPartition(partitionOf(node, borrowingBucket), [&](PartitionState* state) {
                if (state)
                    state->grants.acceptLoan(RuntimeClock::now(), *reply);
            });
        });
}

void tickLoans(Node& node)
{
    std::vector<LoanRequest> requests;
    node.partitions.forEach([&](PartitionMap& map) {
        const auto now = RuntimeClock::now();
        for (auto& [id, state] : map) {
            if (!state.lease->mayAct(now))
                continue;
            auto due = state.grants.tick(now);
            requests.insert(requests.end(), due.begin(), due.end());
        }
    });
    for (const auto& request : requests)
        sendLoanRequest(node, request);
}

} // namespace

void handleRatePermit(Node& node, const RatePermitRequest& request, const Responder& respond)
{
    const auto now = RuntimeClock::now();
    const auto result = node.withPartition(partitionOf(node, request.bucket), [&](PartitionState* state) -> TakeResult {
        if (!state || !state->lease->mayAct(now))
            return Error { ErrorKind::NotOwner, Outcome::NotRun };
        return state->grants.take(now, { request.bucket, request.amount, request.source, now + request.timeLeft });
    });
    answerTake(node, request.bucket, result, respond);
}

void handleRateCorrection(Node& node, const RateCorrection& correction)
{
    node.withPartition(partitionOf(node, correction.permit.bucket), [&](PartitionState* state) {
        if (state)
            state->grants.correct(RuntimeClock::now(), correction.permit, correction.used);
    });
}

LoanReply handleLoan(Node& node, const LoanRequest& request)
{
    const auto now = RuntimeClock::now();
    return node.withPartition(partitionOf(node, request.bucket), [&](PartitionState* state) {
        if (!state || !state->lease->mayAct(now))
            return LoanReply {};
        return state->grants.lend(now, request);
    });
}

void startLoans(Node& node)
{
    node.timers.push_back(node.runtime.every(loanPeriod, [&node] { tickLoans(node); }));
}

} // namespace peridotramp
