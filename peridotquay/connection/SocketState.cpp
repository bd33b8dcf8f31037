// Reads the state of a TCP connection.
#include "peridotquay/connection/SocketState.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace peridotquay {

bool IsConnectionClosed(int aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof info;
  return getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
         info.tcpi_state == TCP_CLOSE;
}

} // namespace peridotquay
