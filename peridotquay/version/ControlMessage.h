// A message that a control module (membership or dissemination) asks its owner to send.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/version/Ids.h"

namespace peridotquay {

/// One message to one peer address. Delivery isn't guaranteed.
struct ControlMessage
{
  Address to_;
  PeerMessage message_;
  bool datagram_ = false; ///< True: as a UDP datagram; false: as a frame over TCP.
  bool operator==(const ControlMessage&) const = default;
};

} // namespace peridotquay
