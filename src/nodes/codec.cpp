#include "messages_p.h"

namespace peridotramp {

std::string encodeFrame(const Frame& frame) { return encodeBinary(frame); }

Result<Frame> decodeFrame(std::string_view bytes) { return decodeBinary<Frame>(bytes); }

std::string encodeDatagram(const MembershipMessage& message) { return encodeBinary(message); }

Result<MembershipMessage> decodeDatagram(std::string_view bytes) { return decodeBinary<MembershipMessage>(bytes); }

} // namespace peridotramp
