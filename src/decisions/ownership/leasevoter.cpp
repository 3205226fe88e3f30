#include "peridotramp/ownership.h"

#include <algorithm>

namespace peridotramp {

namespace {

Milliseconds remaining(TimePoint now, TimePoint until)
{
    return std::max(Milliseconds(1), std::chrono::ceil<Milliseconds>(until - now));
}

} // namespace

// The process may have granted a promise or a release immediately before a restart, so it refuses all requests until
// both would have expired.
LeaseVoter::LeaseVoter(TimePoint startedAt, LeaseSettings settings)
    : votesFrom(startedAt + settings.length + settings.driftMargin)
    , settings(settings)
{
}

LeaseVoteReply LeaseVoter::reply(TimePoint now, const LeaseVoteRequest& request)
{
    if (now < this->votesFrom)
        return { false, remaining(now, this->votesFrom) };
    auto& vote = this->votes[request.partition];
    return request.kind == LeaseVoteKind::Promise ? this->promise(now, request.epoch, vote)
                                                  : this->release(now, request.epoch, vote);
}

LeaseVoteReply LeaseVoter::promise(TimePoint now, Epoch epoch, Vote& vote) const
{
    if (epoch < vote.minEpoch)
        return { false, Milliseconds(0) };
    vote.minEpoch = epoch;
    vote.promisedTo = epoch;
    vote.promisedUntil = now + this->settings.length;
    return { true, Milliseconds(0) };
}

LeaseVoteReply LeaseVoter::release(TimePoint now, Epoch epoch, Vote& vote) const
{
    if (epoch < vote.minEpoch)
        return { false, Milliseconds(0) };
    // From here on, promises to the old owner are not renewed; otherwise its successor could wait indefinitely.
    vote.minEpoch = epoch;
    if (vote.promisedTo < epoch && now <= vote.promisedUntil)
        return { false, remaining(now, vote.promisedUntil) };
    return { true, Milliseconds(0) };
}

} // namespace peridotramp
