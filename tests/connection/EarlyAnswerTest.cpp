// Tests of answers without a length that a target sends before it has read the whole request.
#include "peridotquay/connection/TargetClient.h"

#include "tests/connection/RawSocket.h"

#include <catch2/catch.hpp>

#include <functional>
#include <future>
#include <thread>

using namespace peridotquay;
using peridotquay::testing::RawListener;
using peridotquay::testing::RawSocket;

namespace {

// More than the buffers of both sockets hold while the target doesn't read.
constexpr std::size_t kUploadBytes = std::size_t{ 8 } << 20U;

void CloseWithReset(RawSocket& aSocket)
{
  const linger reset{ 1, 0 };
  ::setsockopt(aSocket.Descriptor(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  const RawSocket closed = std::move(aSocket);
}

void EndStream(const RawSocket& aSocket)
{
  ::shutdown(aSocket.Descriptor(), SHUT_WR);
}

/// Sends an upload to a target that answers it early without a length and then ends the connection
/// as aEnd does. With aIsLate, the client first sees all of that together.
TargetRequestStatus UploadStatus(const std::function<void(RawSocket&)>& aEnd, bool aIsLate)
{
  RawListener listener(8192);
  std::promise<void> clientWaits;
  std::promise<void> targetEnded;
  std::thread target([&] {
    RawSocket socket = listener.Accept();
    socket.ReadUntil("\r\n\r\n");
    if (aIsLate) {
      clientWaits.get_future().wait();
    }
    socket.Write("HTTP/1.1 200 OK\r\n\r\npart");
    if (!aIsLate) {
      std::this_thread::sleep_for(milliseconds(2));
    }
    aEnd(socket);
    targetEnded.set_value();
  });
  EventLoop loop;
  TargetClientSettings settings;
  settings.target_ = { "127.0.0.1", listener.Port() };
  settings.allowsCloseDelimited_ = true;
  TargetClient client(loop, settings);
  TargetRequestStatus status = TargetRequestStatus::kNotSent;
  client.Send({ "POST", "/", {}, std::string(kUploadBytes, 'b') },
              [&](const TargetResult& aResult) {
                status = aResult.requestStatus_;
                loop.Stop();
              });
  if (aIsLate) {
    loop.After(milliseconds(50), [&] {
      clientWaits.set_value();
      targetEnded.get_future().wait_for(milliseconds(200));
    });
  }
  loop.Run();
  // The target may still read the upload.
  client.CloseIdleConnections();
  target.join();
  return status;
}

} // namespace

// Guards against a part of an answer that reaches a caller as a complete one: the failed write of
// the upload took the connection's error, and the read then saw an end of stream.
TEST_CASE("an early answer without a length that ends by a reset is truncated", "[target]")
{
  for (const bool isLate : { true, false }) {
    INFO("late " << isLate);
    for (int i = 0; i < 20; ++i) {
      CHECK(UploadStatus(CloseWithReset, isLate) == TargetRequestStatus::kTruncated);
    }
  }
}

// Guards against complete answers that are refused because their request wasn't written to its end.
TEST_CASE("an early answer without a length that ends in order is complete", "[target]")
{
  struct Script
  {
    std::string name_;
    std::function<void(RawSocket&)> end_;
  };
  const std::vector<Script> scripts = { { "the target reads on",
                                          [](RawSocket& aSocket) {
                                            EndStream(aSocket);
                                            aSocket.ReadToEnd();
                                          } },
                                        { "the target doesn't read on",
                                          [](RawSocket& aSocket) {
                                            EndStream(aSocket);
                                            std::this_thread::sleep_for(milliseconds(300));
                                          } },
                                        { "a reset follows the end of the stream",
                                          [](RawSocket& aSocket) {
                                            EndStream(aSocket);
                                            std::this_thread::sleep_for(milliseconds(20));
                                            CloseWithReset(aSocket);
                                          } },
                                        { "the whole request is read first",
                                          [](RawSocket& aSocket) {
                                            aSocket.ReadBytes(kUploadBytes);
                                            EndStream(aSocket);
                                          } } };
  for (const auto& script : scripts) {
    for (const bool isLate : { true, false }) {
      INFO(script.name_ << ", late " << isLate);
      CHECK(UploadStatus(script.end_, isLate) == TargetRequestStatus::kAnswered);
    }
  }
}
