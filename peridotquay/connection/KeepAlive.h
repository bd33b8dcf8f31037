// Socket options that end connections whose other side has become silent.
#pragma once

namespace peridotquay {

/// Makes the operating system probe an idle connection and end it if the other side doesn't answer
/// for about 3 s.
void SetKeepAlive(int aSocket);

/// If aLimited, the operating system ends the connection when sent bytes stay unacknowledged for 3
/// s. That includes bytes for which the other side has no room, so the limit is only for messages
/// that fit its receive buffer: a side that reads slowly isn't silent.
void LimitUnacknowledgedTime(int aSocket, bool aLimited);

} // namespace peridotquay
