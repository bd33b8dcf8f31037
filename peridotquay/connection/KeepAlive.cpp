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
constexpr int kProbeIntervalSeconds = 1;
constexpr int kMaxUnansweredProbes = 2;

// Longest time in milliseconds that sent bytes may stay unacknowledged.
constexpr int kMaxUnacknowledgedMs = 3000;

void SetSocketOption(int aSocket, int aLevel, int aName, int aValue)
{
  // Without the option the connection works as well; it only ends later if it goes silent.
  static_cast<void>(setsockopt(aSocket, aLevel, aName, &aValue, sizeof aValue));
}

} // namespace

void SetKeepAlive(int aSocket)
{
  SetSocketOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetSocketOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kIdleSeconds);
  SetSocketOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetSocketOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kMaxUnansweredProbes);
  SetSocketOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kMaxUnacknowledgedMs);
}

} // namespace peridotquay
