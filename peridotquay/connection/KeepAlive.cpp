// Sets the socket options of TCP keep-alive probes and of the time limit for acknowledgements.
#include "peridotquay/connection/KeepAlive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace peridotquay {

namespace {

// Silence before the first probe, interval between probes, and number of unanswered probes that end
// the connection. A silent connection ends after 3 s, so that a new one replaces it within the 3 s
// for which a host counts as disturbed by a failure.
constexpr int kIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kMaxUnansweredProbes = 2;

// Maximum time that sent bytes may stay unacknowledged.
constexpr int kMaxUnacknowledgedMs = 3000;

void SetSocketOption(int aSocket, int aLevel, int aName, int aValue)
{
  // Errors are ignored: without the option, a silent connection only ends later.
  static_cast<void>(setsockopt(aSocket, aLevel, aName, &aValue, sizeof aValue));
}

} // namespace

void SetKeepAlive(int aSocket)
{
  SetSocketOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetSocketOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kIdleSeconds);
  SetSocketOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetSocketOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kMaxUnansweredProbes);
}

void LimitUnacknowledgedTime(int aSocket, bool aLimited)
{
  // 0 is the default of the operating system.
  SetSocketOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, aLimited ? kMaxUnacknowledgedMs : 0);
}

} // namespace peridotquay
