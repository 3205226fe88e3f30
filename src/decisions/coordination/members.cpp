#include "peridotramp/coordination.h"

#include <algorithm>

namespace peridotramp {

bool MemberTable::addOrUpdate(const FleetMember& member, TimePoint now)
{
    if (member.name == this->self.name)
        return false;
    auto& peer = this->peers[member.id()];
    peer.announcedAt = now;
    if (peer.member == member)
        return false;
    peer.id = member.id();
    peer.member = member;
    return true;
}

void MemberTable::remove(NodeId id) { this->peers.erase(id); }

bool MemberTable::recordContact(NodeId id, TimePoint at, PeerState state, TimePoint now)
{
    const auto found = this->peers.find(id);
    if (found == this->peers.end())
        return false;
    auto& peer = found->second;
    if (peer.heard && at <= peer.heardAt)
        return false;
    const bool wasReachable = peer.heard && peer.timeSinceHeard(now) <= peerTimeout;
    peer.heard = true;
    peer.heardAt = at;
    peer.state = state;
    return !wasReachable && peer.timeSinceHeard(now) <= peerTimeout;
}

const Peer* MemberTable::find(NodeId id) const
{
    const auto found = this->peers.find(id);
    return found == this->peers.end() ? nullptr : &found->second;
}

std::vector<Peer> MemberTable::all() const
{
    std::vector<Peer> list;
    list.reserve(this->peers.size());
    std::ranges::transform(this->peers, std::back_inserter(list), [](const auto& entry) { return entry.second; });
    return list;
}

std::vector<Peer> MemberTable::reachable(TimePoint now) const
{
    auto list = this->all();
    std::erase_if(list, [&](const Peer& peer) { return !peer.heard || peer.timeSinceHeard(now) > peerTimeout; });
    return list;
}

std::vector<Peer> MemberTable::ofDomain(std::string_view domain) const
{
    auto list = this->all();
    std::erase_if(list, [&](const Peer& peer) { return peer.member.domain != domain; });
    return list;
}

} // namespace peridotramp
