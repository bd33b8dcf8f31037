// Minimal blocking HTTP/1.1 for the stand-ins of the review: a server with one thread for each
// connection, and a client.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <mutex>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

struct Endpoint
{
  std::string ip_ = "127.0.0.1";
  std::uint16_t port_ = 0;
  std::string Text() const { return ip_ + ":" + std::to_string(port_); }
};

inline std::string Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return aText;
}

struct Message
{
  std::string first_;  ///< Method of a request; empty for a response.
  std::string target_; ///< Of a request.
  int status_ = 0;     ///< Of a response.
  Headers headers_;    ///< Names in lower case.
  std::string body_;

  std::string Header(const std::string& aName) const
  {
    for (const auto& [name, value] : headers_) {
      if (name == aName) {
        return value;
      }
    }
    return {};
  }
  bool Has(const std::string& aName) const
  {
    return std::any_of(
      headers_.begin(), headers_.end(), [&](const auto& aEntry) { return aEntry.first == aName; });
  }
};

/// A connected socket with a buffer of received bytes.
class Channel
{
public:
  explicit Channel(int aSocket)
    : socket_(aSocket)
  {
    const int on = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel() { ::close(socket_); }

  int Socket() const { return socket_; }

  bool Write(const std::string& aBytes) const
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const auto count = ::send(socket_, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  /// Whether the other side has closed or reset the channel. Doesn't wait.
  bool IsClosed() const
  {
    char byte = 0;
    const auto count = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  /// Reads a whole message until aEnd; empty if the channel ends or the time is up.
  std::optional<Message> Read(Clock::time_point aEnd)
  {
    std::size_t head = std::string::npos;
    while ((head = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadSome(aEnd)) {
        return std::nullopt;
      }
    }
    Message message = ParseHead(buffer_.substr(0, head));
    buffer_.erase(0, head + 4);
    const bool hasLength = message.Has("content-length");
    const bool isRequest = !message.first_.empty();
    if (!hasLength && isRequest) {
      return message;
    }
    const std::size_t length =
      hasLength ? static_cast<std::size_t>(std::stoull(message.Header("content-length"))) : 0;
    while (buffer_.size() < length) {
      if (!ReadSome(aEnd)) {
        return std::nullopt;
      }
    }
    message.body_ = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
  }

private:
  static Message ParseHead(const std::string& aHead)
  {
    Message message;
    std::size_t begin = 0;
    bool isFirst = true;
    while (begin <= aHead.size()) {
      const std::size_t end = std::min(aHead.find("\r\n", begin), aHead.size());
      const std::string line = aHead.substr(begin, end - begin);
      begin = end + 2;
      if (isFirst) {
        isFirst = false;
        const std::size_t space = line.find(' ');
        const std::string word = line.substr(0, space);
        const std::string rest = space == std::string::npos ? "" : line.substr(space + 1);
        if (word.rfind("HTTP/", 0) == 0) {
          message.status_ = std::atoi(rest.c_str());
        } else {
          message.first_ = word;
          message.target_ = rest.substr(0, rest.find(' '));
        }
        continue;
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      const std::size_t value = line.find_first_not_of(" \t", colon + 1);
      message.headers_.emplace_back(Lower(line.substr(0, colon)),
                                    value == std::string::npos ? "" : line.substr(value));
    }
    return message;
  }

  bool ReadSome(Clock::time_point aEnd)
  {
    const auto left = std::chrono::duration_cast<Ms>(aEnd - Clock::now()).count();
    pollfd wait{ socket_, POLLIN, 0 };
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(std::min<long long>(left, 600'000))) <= 0) {
      return false;
    }
    char bytes[16384];
    const auto count = ::recv(socket_, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int socket_;
  std::string buffer_;
};

inline sockaddr_in SocketAddress(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port_);
  ::inet_pton(AF_INET, aEndpoint.ip_.c_str(), &address.sin_addr);
  return address;
}

/// Binds a socket; -1 if the address is in use. With port 0 the kernel chooses one.
inline int Bind(Endpoint& aEndpoint, int aType = SOCK_STREAM)
{
  const int descriptor = ::socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = SocketAddress(aEndpoint);
  socklen_t size = sizeof address;
  if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(descriptor);
    return -1;
  }
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  aEndpoint.port_ = ntohs(address.sin_port);
  return descriptor;
}

inline std::uint16_t FreePort(const std::string& aIp)
{
  Endpoint endpoint{ aIp, 0 };
  const int descriptor = Bind(endpoint);
  ::close(descriptor);
  return endpoint.port_;
}

/// Connects within one second; -1 on failure.
inline int Connect(const Endpoint& aEndpoint)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{ 1, 0 };
  ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  sockaddr_in address = SocketAddress(aEndpoint);
  if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

/// Text of a message with its length.
inline std::string Serialize(const std::string& aFirstLine,
                             const Headers& aHeaders,
                             const std::string& aBody,
                             bool aHasLength = true)
{
  std::string text = aFirstLine + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (aHasLength) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

/// Sends one request on a new channel. Status 0: no complete response.
inline Message Call(const Endpoint& aServer,
                    const std::string& aMethod,
                    const std::string& aTarget,
                    Headers aHeaders,
                    const std::string& aBody,
                    Ms aTimeout)
{
  const auto end = Clock::now() + aTimeout;
  const int descriptor = Connect(aServer);
  if (descriptor < 0) {
    return {};
  }
  Channel channel(descriptor);
  if (std::none_of(aHeaders.begin(), aHeaders.end(), [](const auto& aEntry) {
        return aEntry.first == "Host";
      })) {
    aHeaders.emplace_back("Host", aServer.Text());
  }
  const bool hasBody = aMethod != "GET";
  if (!channel.Write(Serialize(aMethod + " " + aTarget + " HTTP/1.1", aHeaders, aBody, hasBody))) {
    return {};
  }
  return channel.Read(end).value_or(Message{});
}

/// Listens from construction on and serves each connection on a thread of its own.
class Server
{
public:
  /// Serves one request. Returns whether the channel stays open.
  using Handler = std::function<bool(Channel&, const Message&)>;

  Server(Endpoint aAddress, Handler aHandler)
    : address_(std::move(aAddress))
    , handler_(std::move(aHandler))
  {
    listener_ = Bind(address_);
    if (listener_ < 0 || ::listen(listener_, 512) != 0) {
      std::perror("stand-in: listen");
      std::_Exit(2);
    }
    acceptor_ = std::thread([this] { Accept(); });
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server()
  {
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    ResetChannels();
    while (open_ > 0) {
      std::this_thread::sleep_for(Ms(1));
    }
  }

  const Endpoint& Address() const { return address_; }

  /// Ends all open channels.
  void ResetChannels()
  {
    const std::lock_guard lock(mutex_);
    for (const int descriptor : descriptors_) {
      ::shutdown(descriptor, SHUT_RDWR);
    }
  }

private:
  void Accept()
  {
    while (!stopping_) {
      const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) {
        std::this_thread::sleep_for(Ms(1));
        continue;
      }
      ++open_;
      {
        const std::lock_guard lock(mutex_);
        descriptors_.insert(descriptor);
      }
      std::thread([this, descriptor] { Serve(descriptor); }).detach();
    }
  }

  void Serve(int aDescriptor)
  {
    {
      Channel channel(aDescriptor);
      while (!stopping_) {
        const auto request = channel.Read(Clock::now() + std::chrono::seconds(120));
        if (!request || !handler_(channel, *request)) {
          break;
        }
      }
      const std::lock_guard lock(mutex_);
      descriptors_.erase(aDescriptor);
    }
    --open_;
  }

  Endpoint address_;
  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopping_{ false };
  std::atomic<int> open_{ 0 };
  std::mutex mutex_;
  std::set<int> descriptors_;
  std::thread acceptor_;
};

} // namespace review
