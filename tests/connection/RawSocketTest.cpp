// Tests of the socket helpers that other tests rely on.
#include "tests/connection/RawSocket.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <set>
#include <vector>

using peridotquay::testing::FreePort;
using peridotquay::testing::Loopback;

// Guards against a port that another socket gets before the tested program binds it: one that the
// kernel assigns by itself, or one that is returned twice.
TEST_CASE("free ports are distinct, outside the kernel's range and can be bound", "[socket]")
{
  unsigned kernelFirst = 0;
  unsigned kernelLast = 0;
  std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
  REQUIRE(range >> kernelFirst >> kernelLast);
  constexpr std::size_t kPorts = 200;
  std::set<std::uint16_t> ports;
  std::vector<int> listeners;
  for (std::size_t i = 0; i < kPorts; ++i) {
    const std::uint16_t port = FreePort();
    INFO(port);
    CHECK(ports.insert(port).second);
    CHECK((port < kernelFirst || port > kernelLast));
    listeners.push_back(::socket(AF_INET, SOCK_STREAM, 0));
    const int reuseAddress = 1;
    ::setsockopt(listeners.back(), SOL_SOCKET, SO_REUSEADDR, &reuseAddress, sizeof(reuseAddress));
    const sockaddr_in address = Loopback(port);
    CHECK(::bind(listeners.back(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) ==
          0);
    CHECK(::listen(listeners.back(), 1) == 0);
  }
  for (const int listener : listeners) {
    ::close(listener);
  }
}
