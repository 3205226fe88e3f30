#include "membership_p.h"

namespace peridotramp {

namespace {

// Sizes in the portable binary encoding: integers at full width, and an 8-byte length before strings and lists.
constexpr std::int64_t integerBytes = 8;
constexpr std::int64_t lengthBytes = 8;
constexpr std::int64_t portBytes = 2;
constexpr std::int64_t enumBytes = 4;
constexpr std::int64_t codecBytes = 16;

std::int64_t sizeOf(const Address& address)
{
    return lengthBytes + static_cast<std::int64_t>(address.host.size()) + portBytes;
}

} // namespace

std::string_view toString(MemberState state)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(MemberState::Count)> names { "alive", "suspect",
        "dead", "left" };
    return names.at(static_cast<std::size_t>(state));
}

std::int64_t encodedSize(const MemberUpdate& update)
{
    const auto addresses = sizeOf(update.addresses.tcp) + sizeOf(update.addresses.udp) + sizeOf(update.addresses.admin);
    return 3 * integerBytes + enumBytes + addresses;
}

ByteCount estimatedSize(const MembershipMessage& message)
{
    auto size = codecBytes + enumBytes + 3 * integerBytes + sizeOf(message.targetAddress) + encodedSize(message.sender);
    size += lengthBytes;
    for (const auto& update : message.updates)
        size += encodedSize(update);
    return { size };
}

} // namespace peridotramp
