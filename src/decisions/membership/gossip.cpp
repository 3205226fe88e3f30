#include "membership_p.h"

#include <algorithm>
#include <bit>

namespace peridotramp {

namespace {

// Number of dead or suspect members of the receiver's failure domain in one message, so that they learn of it and can
// refute.
constexpr std::size_t reportsPerMessage = 4;
// Time for which a member counts as new and gets messages filled with table rows, to complete its own table.
constexpr Duration newMemberPeriod = Seconds(10);

} // namespace

void Membership::State::send(Messages& out, MembershipMessageKind kind, std::uint64_t sequence, NodeId target,
    const Row* to, const Address& address, const Address& targetAddress)
{
    MembershipMessage message;
    message.kind = kind;
    message.sequence = sequence;
    message.target = target;
    message.targetAddress = targetAddress;
    message.sender = this->self;
    message.configurationVersion = this->version;
    if (kind != MembershipMessageKind::Announce)
        this->addUpdates(message, to);
    ++this->stats.messagesSent;
    this->stats.bytesSent += static_cast<std::uint64_t>(estimatedSize(message).value);
    out.push_back({ to ? to->member.update.node : NodeId {}, address, std::move(message) });
}

bool Membership::State::addRow(MembershipMessage& message, const Row& row)
{
    const auto& update = row.member.update;
    const auto size = estimatedSize(message) + ByteCount { encodedSize(update) };
    if (size > this->limits.maxMessageSize)
        return false;
    if (std::ranges::find(message.updates, update.node, &MemberUpdate::node) == message.updates.end())
        message.updates.push_back(update);
    return true;
}

void Membership::State::addUpdates(MembershipMessage& message, const Row* to)
{
    // A member can refute only if it learns that it is suspected or declared dead.
    if (to && to->member.update.state != MemberState::Alive)
        this->addRow(message, *to);
    // A relayed acknowledgement carries the target's state as evidence that it is alive, and an indirect probe tells
    // the helper that the target is suspected.
    const bool concernsTarget
        = message.kind == MembershipMessageKind::ProbeAck || message.kind == MembershipMessageKind::IndirectProbe;
    if (auto* target = this->find(message.target); target && concernsTarget)
        this->addRow(message, *target);
    this->addQueuedRows(message);
    if (to && !this->isOwnDomain(*to))
        this->addReportsAbout(to->member.update.domain, message);
    const bool isNew = to && this->lastTick - to->member.since < newMemberPeriod;
    this->addAntiEntropyRows(
        message, isNew ? this->rows.size() : std::min(this->limits.antiEntropyRows, this->rows.size()));
}

void Membership::State::addQueuedRows(MembershipMessage& message)
{
    std::ranges::sort(this->disseminationQueue, {}, [this](NodeId node) {
        const auto* row = this->find(node);
        return row ? row->transmissions : 0;
    });
    const auto maxTransmissions = this->limits.retransmitFactor * std::bit_width(this->rows.size() + 1);
    for (const auto node : this->disseminationQueue) {
        auto* row = this->find(node);
        if (!row)
            continue;
        if (!this->addRow(message, *row))
            break;
        if (++row->transmissions >= maxTransmissions)
            row->queued = false;
    }
    std::erase_if(this->disseminationQueue, [this](NodeId node) {
        const auto* row = this->find(node);
        return !row || !row->queued;
    });
}

void Membership::State::addReportsAbout(DomainId domain, MembershipMessage& message)
{
    const auto reports = this->sample(reportsPerMessage, [domain](const Row& row) {
        const auto& update = row.member.update;
        return update.domain == domain && (update.state == MemberState::Dead || update.state == MemberState::Suspect);
    });
    for (const auto* row : reports)
        this->addRow(message, *row);
}

void Membership::State::addAntiEntropyRows(MembershipMessage& message, std::size_t maxRows)
{
    auto next = this->rows.upper_bound(this->antiEntropyCursor);
    for (std::size_t count = 0; count < maxRows; ++count, ++next) {
        if (next == this->rows.end())
            next = this->rows.begin();
        if (!this->addRow(message, next->second))
            return;
        this->antiEntropyCursor = next->first;
    }
}

void Membership::State::forwardVersion(Messages& out)
{
    const auto lacksVersion = [this](const Row& row) {
        const auto known = row.member.configurationVersion;
        return row.member.update.state == MemberState::Alive && (!known.isValid() || known < this->version);
    };
    for (std::uint32_t count = 0; count < this->limits.forwardFanout; ++count) {
        const bool cross = this->random() % this->limits.crossDomainInterval == 0;
        const auto chosen = this->sample(1, [&](const Row& row) {
            const bool taken = std::ranges::any_of(
                out, [&row](const OutgoingMembership& sent) { return sent.to == row.member.update.node; });
            return !taken && lacksVersion(row) && this->isOwnDomain(row) != cross;
        });
        for (const auto* row : chosen)
            this->send(out, MembershipMessageKind::Announce, 0, {}, row, row->member.update.addresses.udp);
    }
}

} // namespace peridotramp
