#include "peridotramp/coordination.h"

#include <algorithm>
#include <cmath>

namespace peridotramp {

std::vector<FleetMember> coordinatorOrder(std::vector<FleetMember> members)
{
    std::ranges::sort(members, {}, [](const FleetMember& member) {
        return std::tuple(-member.capacity, hashBytes(member.name), std::string_view(member.name));
    });
    return members;
}

void CoordinatorElection::recordDigest(NodeId coordinator, bool active, TimePoint now)
{
    auto& contact = this->contacts[coordinator];
    contact.heard = true;
    contact.heardAt = now;
    contact.active = active;
}

void CoordinatorElection::recordAlive(NodeId instance) { this->contacts[instance].probed = false; }

bool CoordinatorElection::isFresh(const Contact& contact, TimePoint now) const
{
    return contact.heard && now - contact.heardAt <= this->init.digestTimeout;
}

bool CoordinatorElection::isInStartupWait(TimePoint now) const
{
    return !this->startedAt || now - *this->startedAt <= this->init.digestTimeout;
}

bool CoordinatorElection::probeIfDue(Contact& contact, TimePoint now)
{
    const bool due = !contact.probed || this->isInStartupWait(now) || now - contact.probedAt >= this->init.probePeriod;
    if (due) {
        contact.probed = true;
        contact.probedAt = now;
    }
    return due;
}

std::vector<NodeId> CoordinatorElection::elect(const std::vector<FleetMember>& order, TimePoint now)
{
    if (!this->startedAt)
        this->startedAt = now;
    this->elected.clear();
    std::vector<NodeId> reported;
    for (const auto& member : order) {
        if (this->elected.size() == this->init.coordinators)
            break;
        const auto id = member.id();
        if (id == this->init.self || this->isFresh(this->contacts[id], now)) {
            this->elected.push_back(id);
            reported.push_back(id);
        } else if (this->probeIfDue(this->contacts[id], now))
            reported.push_back(id);
    }
    return reported;
}

bool CoordinatorElection::isCoordinator() const
{
    return std::ranges::find(this->elected, this->init.self) != this->elected.end();
}

NodeId CoordinatorElection::active(TimePoint now) const
{
    for (const auto id : this->elected) {
        if (id == this->init.self) {
            if (this->elected.front() == id && !this->isInStartupWait(now))
                return id;
            continue;
        }
        const auto& contact = this->contacts.at(id);
        if (contact.active && this->isFresh(contact, now))
            return id;
    }
    return {};
}

std::vector<FleetMember> weightedRendezvousOrder(std::vector<FleetMember> members, std::uint64_t key)
{
    const auto score = [&](const FleetMember& member) {
        // The upper 53 bits give a uniformly distributed number in (0, 1].
        const auto unit = (static_cast<double>(hashBytes(member.name, key) >> 11) + 1) * 0x1.0p-53;
        return std::log(unit) / std::max(member.capacity, 1e-3);
    };
    std::vector<std::pair<double, FleetMember>> scored;
    scored.reserve(members.size());
    for (auto& member : members)
        scored.emplace_back(score(member), std::move(member));
    std::ranges::sort(scored, std::greater<>(), [](const auto& entry) { return entry.first; });
    std::ranges::transform(scored, members.begin(), [](auto& entry) { return std::move(entry.second); });
    return members;
}

} // namespace peridotramp
