// Implementation of DatagramSocket on Boost.Asio.
#include "peridotquay/connection/DatagramSocket.h"

#include "peridotquay/connection/PeerCodec.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <coroutine>
#include <utility>

namespace peridotquay {

using boost::asio::ip::udp;
using boost::system::error_code;

struct DatagramSocket::State : std::enable_shared_from_this<State>
{
  EventLoop& loop_;
  OnMessage onMessage_;
  udp::socket socket_;
  udp::endpoint sender_;
  std::array<char, kMaxDatagramBytes> buffer_;
  std::uint64_t dropped_ = 0;

  State(EventLoop& aLoop, OnMessage aOnMessage)
    : loop_(aLoop)
    , onMessage_(std::move(aOnMessage))
    , socket_(aLoop.Context())
  {
  }

  void Receive()
  {
    socket_.async_receive_from(
      boost::asio::buffer(buffer_),
      sender_,
      [self = shared_from_this()](const error_code& aError, std::size_t aBytes) {
        if (aError == boost::asio::error::operation_aborted || !self->socket_.is_open()) {
          return;
        }
        // Other errors report that an earlier datagram was sent to a port without a receiver.
        if (!aError) {
          auto message = DecodePeerMessage(std::string_view(self->buffer_.data(), aBytes));
          if (message.has_error()) {
            ++self->dropped_;
          } else {
            self->onMessage_({ self->sender_.address().to_string(), self->sender_.port() },
                             std::move(message.assume_value()));
          }
        }
        self->Receive();
      });
  }
};

DatagramSocket::DatagramSocket(EventLoop& aLoop, OnMessage aOnMessage)
  : state_(std::make_shared<State>(aLoop, std::move(aOnMessage)))
{
}

DatagramSocket::~DatagramSocket()
{
  error_code ignored;
  state_->socket_.close(ignored);
}

Result<std::uint16_t> DatagramSocket::Listen(const Address& aAddress)
{
  const std::string text = aAddress.ip_ + ":" + std::to_string(aAddress.port_);
  error_code error;
  const auto ip = boost::asio::ip::make_address(aAddress.ip_, error);
  if (error) {
    return Fail(ErrorCode::kOutOfRange, text, "IP address");
  }
  const udp::endpoint endpoint(ip, aAddress.port_);
  state_->socket_.open(endpoint.protocol(), error);
  if (!error) {
    state_->socket_.bind(endpoint, error);
  }
  if (!error) {
    state_->socket_.non_blocking(true, error);
  }
  if (error) {
    state_->socket_.close(error);
    return Fail(ErrorCode::kAddressInUse, text, "UDP");
  }
  state_->Receive();
  return state_->socket_.local_endpoint().port();
}

void DatagramSocket::Send(const Address& aPeer, const PeerMessage& aMessage)
{
  const std::string body = EncodePeerMessage(aMessage);
  error_code error;
  const auto ip = boost::asio::ip::make_address(aPeer.ip_, error);
  if (error || body.size() > kMaxDatagramBytes) {
    return;
  }
  state_->socket_.send_to(boost::asio::buffer(body), udp::endpoint(ip, aPeer.port_), 0, error);
}

std::uint64_t DatagramSocket::DroppedDatagrams() const
{
  return state_->dropped_;
}

} // namespace peridotquay
