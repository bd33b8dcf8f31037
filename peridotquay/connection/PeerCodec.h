// Encodes and decodes peer messages. A message is a msgpack array of two elements: its number (the
// index in PeerMessage) and the array of its fields.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"

#include <string>
#include <string_view>

namespace peridotquay {

/// Encodes a message as the body of a frame or datagram, without length prefix.
std::string EncodePeerMessage(const PeerMessage& aMessage);

/// Decodes a body. Errors: kFrameMalformed, kFrameNesting, kFrameTooLarge. Malicious input causes
/// an error, never an exception.
Result<PeerMessage> DecodePeerMessage(std::string_view aBody);

/// Encodes a message as a frame: the 4-byte big-endian length of the body, then the body.
std::string FramePeerMessage(const PeerMessage& aMessage);

} // namespace peridotquay
