// Blocking TCP sockets for tests that control every byte sent.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <atomic>
#include <cstdint>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unistd.h>
#include <utility>

namespace peridotquay::testing {

inline sockaddr_in Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// 0 leaves the size to the operating system.
inline void SetReceiveBuffer(int aDescriptor, int aBytes)
{
  if (aBytes > 0) {
    ::setsockopt(aDescriptor, SOL_SOCKET, SO_RCVBUF, &aBytes, sizeof(aBytes));
  }
}

/// A connected TCP socket. A read fails after 5 s without data.
class RawSocket
{
public:
  /// aReceiveBufferBytes: see SetReceiveBuffer. aSegmentBytes is the maximum segment size, 0 for
  /// that of the loopback device, whose large segments let the other side's send buffer grow.
  explicit RawSocket(std::uint16_t aPort, int aReceiveBufferBytes = 0, int aSegmentBytes = 0)
    : descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
  {
    SetReceiveBuffer(descriptor_, aReceiveBufferBytes);
    if (aSegmentBytes > 0) {
      ::setsockopt(descriptor_, IPPROTO_TCP, TCP_MAXSEG, &aSegmentBytes, sizeof(aSegmentBytes));
    }
    const sockaddr_in address = Loopback(aPort);
    if (::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
      throw std::runtime_error("connect failed");
    }
    SetReadTimeout();
  }
  static RawSocket Adopt(int aDescriptor)
  {
    RawSocket socket;
    socket.descriptor_ = aDescriptor;
    socket.SetReadTimeout();
    return socket;
  }
  RawSocket(RawSocket&& aOther) noexcept
    : descriptor_(std::exchange(aOther.descriptor_, -1))
    , buffer_(std::move(aOther.buffer_))
  {
  }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  ~RawSocket()
  {
    if (descriptor_ >= 0) {
      ::close(descriptor_);
    }
  }

  bool IsOpen() const { return descriptor_ >= 0; }
  int Descriptor() const { return descriptor_; }

  void Write(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      const auto sent = ::send(descriptor_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  }

  /// Returns the bytes up to and including the delimiter, or up to the end of the stream.
  std::string ReadUntil(std::string_view aDelimiter)
  {
    while (true) {
      const auto found = buffer_.find(aDelimiter);
      if (found != std::string::npos) {
        return RemoveFront(found + aDelimiter.size());
      }
      if (!Receive()) {
        return RemoveFront(buffer_.size());
      }
    }
  }
  std::string ReadBytes(std::size_t aCount)
  {
    while (buffer_.size() < aCount && Receive()) {
    }
    return RemoveFront(std::min(aCount, buffer_.size()));
  }
  std::string ReadToEnd()
  {
    while (Receive()) {
    }
    return RemoveFront(buffer_.size());
  }

private:
  RawSocket() = default;
  void SetReadTimeout()
  {
    const timeval limit{ 5, 0 };
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }
  std::string RemoveFront(std::size_t aCount)
  {
    std::string front = buffer_.substr(0, aCount);
    buffer_.erase(0, aCount);
    return front;
  }
  bool Receive()
  {
    char bytes[16384];
    const auto received = ::recv(descriptor_, bytes, sizeof(bytes), 0);
    if (received <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(received));
    return true;
  }

  int descriptor_ = -1;
  std::string buffer_;
};

/// A listening socket on a port that the kernel chooses.
class RawListener
{
public:
  /// aReceiveBufferBytes, for accepted sockets: as for RawSocket.
  explicit RawListener(int aReceiveBufferBytes = 0)
    : descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
  {
    SetReceiveBuffer(descriptor_, aReceiveBufferBytes);
    sockaddr_in address = Loopback(0);
    ::bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    ::listen(descriptor_, 64);
    socklen_t size = sizeof(address);
    ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;
  ~RawListener() { Close(); }

  std::uint16_t Port() const { return port_; }
  RawSocket Accept() { return RawSocket::Adopt(::accept(descriptor_, nullptr, nullptr)); }
  void Close()
  {
    if (descriptor_ >= 0) {
      ::shutdown(descriptor_, SHUT_RDWR);
      ::close(descriptor_);
      descriptor_ = -1;
    }
  }

private:
  int descriptor_ = -1;
  std::uint16_t port_ = 0;
};

/// Range of the ports from FreePort. By default, Linux assigns ports from 32768 upwards to sockets
/// that connect or bind to port 0.
constexpr std::uint16_t kFirstFreePort = 20000;
constexpr std::uint16_t kLastFreePort = 32767;

/// Returns a port of 127.0.0.1 that can be bound now and that the kernel doesn't assign to another
/// socket later, unlike the port of a closed RawListener. Returns each port at most once per
/// process and throws after all have been tried. The search starts at a random port because test
/// programs run in parallel.
inline std::uint16_t FreePort()
{
  constexpr unsigned kPortCount = kLastFreePort - kFirstFreePort + 1;
  static const unsigned firstOffset = std::random_device{}() % kPortCount;
  static std::atomic<unsigned> triedCount{ 0 };
  for (unsigned tried = triedCount++; tried < kPortCount; tried = triedCount++) {
    const auto port =
      static_cast<std::uint16_t>(kFirstFreePort + (firstOffset + tried) % kPortCount);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    // quayd's listeners set this option too. Without it, closed connections would block the port.
    const int reuseAddress = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuseAddress, sizeof(reuseAddress));
    const sockaddr_in address = Loopback(port);
    const bool isFree =
      ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    ::close(descriptor);
    if (isFree) {
      return port;
    }
  }
  throw std::runtime_error("no free port from " + std::to_string(kFirstFreePort) + " to " +
                           std::to_string(kLastFreePort));
}

} // namespace peridotquay::testing
