// Socket options of keep-alive probes.
#include "peridotquay/connection/KeepAlive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace peridotquay {

namespace {

// Silence in seconds before the first probe, between probes, and probes without an answer. A fresh
// connection takes over within the 3 s in which a host counts as disturbed.
constexpr int kIdleSeconds = 1;
constexpr int kIntervalSeconds = 1;
constexpr int kProbes = 2;

// Longest time in milliseconds that sent bytes may stay unacknowledged.
constexpr int kUnacknowledgedMs = 3000;

void Set(int aSocket, int aLevel, int aName, int aValue)
{
  // Without the option the connection works as well; it only ends later if it goes silent.
  static_cast<void>(setsockopt(aSocket, aLevel, aName, &aValue, sizeof aValue));
}

} // namespace

void SetKeepAlive(int aSocket)
{
  Set(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kIdleSeconds);
  Set(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kIntervalSeconds);
  Set(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  Set(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs);
}

} // namespace peridotquay
