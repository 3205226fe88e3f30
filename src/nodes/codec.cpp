#include "messages_p.h"

namespace peridotramp {

std::string encodeFrame(const Frame& frame) { return encodeBinary(frame); }

Result<Frame> decodeFrame(std::string_view bytes) { return decodeBinary<Frame>(bytes); }

std::string encodeMembershipDatagram(const MembershipMessage& message) { return encodeBinary(message); }

Result<MembershipMessage> decodeMembershipDatagram(std::string_view bytes)
{
    return decodeBinary<MembershipMessage>(bytes);
}

std::string encodeFleetDatagram(const FleetDatagram& datagram) { return encodeBinary(datagram); }

Result<FleetDatagram> decodeFleetDatagram(std::string_view bytes) { return decodeBinary<FleetDatagram>(bytes); }

std::string encodeTurn(const ConversationTurn& turn) { return encodeBinary(turn); }

std::size_t encodedTurnBytes(const ConversationTurn& turn)
{
    // The encoding of a text is its length, which has a fixed size, and its bytes.
    static const auto emptyTurnBytes = encodeTurn({}).size();
    return emptyTurnBytes + turn.id.size() + turn.previous.size() + turn.workspace.size() + turn.input.size()
        + turn.output.size();
}

Result<ConversationTurn> decodeTurn(std::string_view bytes) { return decodeBinary<ConversationTurn>(bytes); }

std::string encodeReservation(const TokenReservation& reservation) { return encodeBinary(reservation); }

Result<TokenReservation> decodeReservation(std::string_view bytes) { return decodeBinary<TokenReservation>(bytes); }

std::string encodeMember(const FleetMember& member) { return encodeBinary(member); }

Result<FleetMember> decodeMember(std::string_view bytes) { return decodeBinary<FleetMember>(bytes); }

} // namespace peridotramp
