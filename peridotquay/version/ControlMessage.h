// A message that a control module wants sent.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/version/Ids.h"

namespace peridotquay {

/// One message to one peer address. It may be lost.
struct ControlMessage
{
  Address to_;
  PeerMessage message_;
  bool datagram_ = false; ///< True: UDP; false: a frame over TCP.
  bool operator==(const ControlMessage&) const = default;
};

} // namespace peridotquay
