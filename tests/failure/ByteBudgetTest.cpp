// Tests of the memory that a quayd process takes when many of its connections hold unfinished
// messages at once.
#include "tests/failure/UserFleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>

using namespace peridotquay;
using namespace peridotquay::testing;

namespace {

// Memory that a process may take without host_memory_mb in its settings.
constexpr std::size_t kHostMemoryKb = std::size_t{ 160 } * 1024;

// Bytes declared and sent of each unfinished message.
constexpr std::size_t kDeclaredBytes = 768'000;
constexpr std::size_t kSentBytes = 700'000;

// Value of a line of /proc/PID/status in KiB; 0 if the process has ended.
std::size_t StatusKb(const Process& aProcess, std::string_view aName)
{
  std::istringstream status(ReadFile("/proc/" + std::to_string(aProcess.Id()) + "/status"));
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(std::string(aName) + ":")) {
      return std::stoul(line.substr(aName.size() + 1));
    }
  }
  return 0;
}

// Clients that send small requests to one host, one after the other, until they are stopped.
class SoundClients
{
public:
  SoundClients(UserFleet& aFleet, std::size_t aHost, const std::string& aPath, int aClients)
  {
    for (int client = 0; client < aClients; ++client) {
      threads_.emplace_back([this, &aFleet, aHost, aPath, client] {
        for (int i = 0; !stopping_; ++i) {
          const std::string id = "sound-" + std::to_string(client) + "-" + std::to_string(i);
          const unsigned status = aFleet.SendRequest(aHost, aPath, id).status_;
          const std::lock_guard lock(mutex_);
          ++statuses_[status];
        }
      });
    }
  }
  SoundClients(const SoundClients&) = delete;
  SoundClients& operator=(const SoundClients&) = delete;
  ~SoundClients() { Stop(); }

  // Number of answers by status; status 0 counts requests without an answer.
  std::map<unsigned, int> Stop()
  {
    stopping_ = true;
    for (auto& thread : threads_) {
      thread.join();
    }
    threads_.clear();
    return statuses_;
  }

private:
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_; ///< Guards statuses_.
  std::map<unsigned, int> statuses_;
  std::vector<std::thread> threads_;
};

// Opens connections to a host and sends a part of a request on each, with a length or in chunks by
// turns, until the part is sent or the host has closed the connection.
std::vector<RawSocket> SendUnfinishedRequests(UserFleet& aFleet, std::size_t aHost, int aCount)
{
  constexpr int kThreads = 6;
  const std::string head = "POST /write/1 HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 2000\r\n"
                           "Authorization: Token k1\r\nX-Request-Id: unfinished\r\n";
  const std::string body(kSentBytes, '.');
  const std::string withLength =
    head + "Content-Length: " + std::to_string(kDeclaredBytes) + "\r\n\r\n" + body;
  // The chunk's size is kDeclaredBytes.
  const std::string inChunks = head + "Transfer-Encoding: chunked\r\n\r\nBB800\r\n" + body;
  std::mutex mutex;
  std::vector<RawSocket> sockets;
  std::vector<std::thread> threads;
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      for (int i = thread; i < aCount; i += kThreads) {
        RawSocket socket(aFleet.CallersAddress(aHost).port_);
        socket.Write(i % 2 == 0 ? withLength : inChunks);
        const std::lock_guard lock(mutex);
        sockets.push_back(std::move(socket));
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  return sockets;
}

// Opens connections as a peer does and sends a part of a frame on each.
std::vector<RawSocket> SendUnfinishedFrames(UserFleet& aFleet, std::size_t aHost, int aCount)
{
  // The frame's length is 1,000,000.
  const std::string frame = std::string("\x00\x0f\x42\x40", 4) + std::string(900'000, '.');
  std::vector<RawSocket> sockets;
  for (int i = 0; i < aCount; ++i) {
    sockets.emplace_back(aFleet.PeersPort(aHost));
    sockets.back().Write(frame);
  }
  return sockets;
}

std::string Text(const std::map<unsigned, int>& aStatuses)
{
  std::string text;
  for (const auto& [status, count] : aStatuses) {
    text += std::to_string(status) + ": " + std::to_string(count) + " ";
  }
  return text;
}

} // namespace

// Guards against callers that each send a part of a permitted request, fall silent and together
// take the process over the memory of its host, so that the requests of others are lost with it.
TEST_CASE("unfinished requests of many callers don't exhaust the memory", "[users][budget]")
{
  UserFleet fleet(2);
  REQUIRE(fleet.WaitReady());
  SoundClients clients(fleet, 0, "/read/1", 4);
  std::this_thread::sleep_for(milliseconds(500));
  {
    const auto sockets = SendUnfinishedRequests(fleet, 0, 600);
    std::this_thread::sleep_for(seconds(2));
  }
  std::this_thread::sleep_for(milliseconds(1500));
  const auto statuses = clients.Stop();
  const std::size_t peakKb = StatusKb(fleet.ProcessOf(0), "VmHWM");
  const std::size_t restKb = StatusKb(fleet.ProcessOf(0), "VmRSS");
  WARN("peak " << peakKb << " KiB, afterwards " << restKb << " KiB, sound " << Text(statuses));
  CHECK(fleet.ProcessOf(0).HowEnded().empty());
  CHECK(peakKb > 0);
  CHECK(peakKb < kHostMemoryKb);
  // The memory of the messages goes back to the system.
  CHECK(restKb < kHostMemoryKb / 2);
  CHECK(statuses.size() == 1);
  CHECK(statuses.contains(200));
}

// Guards against targets that each send a part of a permitted answer, fall silent and together take
// the process beside them over the memory of its host.
TEST_CASE("unfinished answers of a target don't exhaust the memory", "[users][budget]")
{
  UserFleet fleet(2);
  REQUIRE(fleet.WaitReady());
  fleet.TargetOf(0).SetSlots(400);
  // The guard starts many calls at once only after the target has answered some.
  for (int i = 0; i < 100; ++i) {
    REQUIRE(fleet.SendRequest(0, "/read/1", "w" + std::to_string(i)).status_ == 200);
  }
  SoundClients clients(fleet, 0, "/call/1", 4);
  {
    std::vector<std::thread> threads;
    for (int thread = 0; thread < 400; ++thread) {
      threads.emplace_back([&, thread] {
        for (int i = 0; i < 2; ++i) {
          fleet.SendRequest(
            0, "/read/unfinished", "u" + std::to_string(thread) + "-" + std::to_string(i));
        }
      });
    }
    for (auto& thread : threads) {
      thread.join();
    }
  }
  std::this_thread::sleep_for(milliseconds(500));
  const auto statuses = clients.Stop();
  const std::size_t peakKb = StatusKb(fleet.ProcessOf(0), "VmHWM");
  const std::size_t restKb = StatusKb(fleet.ProcessOf(0), "VmRSS");
  WARN("peak " << peakKb << " KiB, afterwards " << restKb << " KiB, sound " << Text(statuses)
               << ", run " << fleet.TargetOf(0).StartedRequests().size());
  CHECK(fleet.ProcessOf(0).HowEnded().empty());
  CHECK(peakKb > 0);
  CHECK(peakKb < kHostMemoryKb);
  CHECK(restKb < kHostMemoryKb / 2);
  CHECK(statuses.size() == 1);
  CHECK(statuses.contains(200));
}

// Guards against answers of requests that ran which are cut because their callers pause while they
// read, although the process has much memory left.
TEST_CASE("answers aren't cut while their callers pause and there is memory", "[users][budget]")
{
  constexpr int kCallers = 56;
  constexpr int kReceiveBufferBytes = 4096;
  constexpr int kSegmentBytes = 536;
  UserFleet fleet(2);
  REQUIRE(fleet.WaitReady());
  std::atomic<int> whole{ 0 };
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      std::this_thread::sleep_for(milliseconds(20 * i));
      RawSocket socket(fleet.CallersAddress(0).port_, kReceiveBufferBytes, kSegmentBytes);
      socket.Write("POST /write/large HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: paused-" +
                   std::to_string(i) +
                   "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token k1\r\n\r\n");
      std::this_thread::sleep_for(milliseconds(2500));
      const bool answered = socket.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 200");
      const std::size_t size = socket.ReadBytes(standins::kLargeAnswerBytes).size();
      whole += answered && size == standins::kLargeAnswerBytes ? 1 : 0;
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  const std::size_t peakKb = StatusKb(fleet.ProcessOf(0), "VmHWM");
  WARN("peak " << peakKb << " KiB");
  CHECK(whole == kCallers);
  CHECK(peakKb < kHostMemoryKb);
}

// Guards against connections that each send a part of a frame and together take the process over
// the memory of its host.
TEST_CASE("unfinished frames of many peers don't exhaust the memory", "[users][budget]")
{
  UserFleet fleet(2);
  REQUIRE(fleet.WaitReady());
  SoundClients clients(fleet, 0, "/call/1", 4);
  {
    std::mutex mutex;
    std::vector<std::vector<RawSocket>> sockets;
    std::vector<std::thread> threads;
    for (int thread = 0; thread < 8; ++thread) {
      threads.emplace_back([&] {
        auto opened = SendUnfinishedFrames(fleet, 0, 50);
        const std::lock_guard lock(mutex);
        sockets.push_back(std::move(opened));
      });
    }
    for (auto& thread : threads) {
      thread.join();
    }
    std::this_thread::sleep_for(milliseconds(500));
  }
  std::this_thread::sleep_for(milliseconds(1000));
  const auto statuses = clients.Stop();
  const std::size_t peakKb = StatusKb(fleet.ProcessOf(0), "VmHWM");
  const std::size_t restKb = StatusKb(fleet.ProcessOf(0), "VmRSS");
  WARN("peak " << peakKb << " KiB, afterwards " << restKb << " KiB, sound " << Text(statuses));
  CHECK(fleet.ProcessOf(0).HowEnded().empty());
  CHECK(peakKb > 0);
  CHECK(peakKb < kHostMemoryKb);
  CHECK(restKb < kHostMemoryKb / 2);
  CHECK(statuses.size() == 1);
  CHECK(statuses.contains(200));
}
