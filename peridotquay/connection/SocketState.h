// What the operating system knows of a TCP connection.
#pragma once

namespace peridotquay {

/// Whether a connection has ended for both sides: it was reset, timed out, or both sides ended
/// their streams. False if only the other side has ended its stream, and if the operating system
/// doesn't tell.
bool IsConnectionClosed(int aSocket);

} // namespace peridotquay
