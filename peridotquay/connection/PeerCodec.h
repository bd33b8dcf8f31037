// Encodes and decodes peer messages as msgpack: an array of the message's number in PeerMessage and
// its fields.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"

#include <string>
#include <string_view>

namespace peridotquay {

/// Body of a frame or datagram, without the length prefix.
std::string EncodePeerMessage(const PeerMessage& aMessage);

/// Parses a body. Errors: kFrameMalformed, kFrameNesting, kFrameTooLarge. Never throws on hostile
/// input.
Result<PeerMessage> DecodePeerMessage(std::string_view aBody);

/// A body with its 4-byte big-endian length in front.
std::string FramePeerMessage(const PeerMessage& aMessage);

} // namespace peridotquay
