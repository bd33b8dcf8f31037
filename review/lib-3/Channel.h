// A client's channel to a node: a blocking TCP connection with the segment size and the receive
// window of a link outside of the machine.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <unistd.h>

namespace peridotquay::review {

/// What a client got for a request.
struct Got
{
  unsigned status_ = 0;      ///< 0 without a whole head.
  std::size_t declared_ = 0; ///< Bytes of the body by its head.
  std::size_t received_ = 0; ///< Bytes of the body that arrived.
  std::string head_;
  bool IsWhole() const { return status_ != 0 && received_ == declared_; }
  /// Value of a header of the head, whose name must be spelled as it was sent.
  std::string Header(const std::string& aName) const
  {
    const std::size_t at = head_.find("\r\n" + aName + ": ");
    if (at == std::string::npos) {
      return "";
    }
    const std::size_t start = at + aName.size() + 4;
    return head_.substr(start, head_.find("\r\n", start) - start);
  }
};

class Channel
{
public:
  /// aSegmentBytes and aWindowBytes of 0 leave the values to the operating system.
  explicit Channel(std::uint16_t aPort, int aSegmentBytes = 0, int aWindowBytes = 0)
    : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    if (aSegmentBytes > 0) {
      ::setsockopt(descriptor_, IPPROTO_TCP, TCP_MAXSEG, &aSegmentBytes, sizeof(aSegmentBytes));
    }
    if (aWindowBytes > 0) {
      ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &aWindowBytes, sizeof(aWindowBytes));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    isOpen_ =
      ::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel() { ::close(descriptor_); }

  bool IsOpen() const { return isOpen_; }

  void Send(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const auto count =
        ::send(descriptor_, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        isOpen_ = false;
        return;
      }
      sent += static_cast<std::size_t>(count);
    }
  }

  /// Reads one answer, for at most aSeconds without a byte.
  Got Receive(int aSeconds)
  {
    const timeval limit{ aSeconds, 0 };
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    Got got;
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill()) {
        return got;
      }
    }
    const std::string head = buffer_.substr(0, end + 4);
    buffer_.erase(0, end + 4);
    got.status_ = static_cast<unsigned>(std::atoi(head.c_str() + head.find(' ') + 1));
    const std::size_t length = head.find("Content-Length: ");
    got.declared_ =
      length == std::string::npos ? 0 : std::strtoul(head.c_str() + length + 16, nullptr, 10);
    got.head_ = head;
    while (buffer_.size() < got.declared_ && Fill()) {
    }
    got.received_ = std::min(buffer_.size(), got.declared_);
    buffer_.erase(0, got.received_);
    return got;
  }

private:
  bool Fill()
  {
    char bytes[16384];
    const auto count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      isOpen_ = false;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int descriptor_;
  bool isOpen_ = false;
  std::string buffer_;
};

} // namespace peridotquay::review
