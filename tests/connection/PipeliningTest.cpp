// Tests of HttpServer with callers that send further requests before the first is answered.
#include "peridotquay/connection/HttpServer.h"
#include "peridotquay/connection/RequestPipeline.h"

#include "tests/connection/RawSocket.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <rapidcheck.h>
#include <thread>

using namespace peridotquay;
using peridotquay::testing::RawSocket;

namespace {

// A server on its own thread whose requests are answered by the test, with the path as body. Paths
// that begin with "/once" may not overlap with others.
class ManualServer
{
public:
  /// Without a budget if aBudgetBytes is 0.
  explicit ManualServer(std::uint32_t aMaxPipelined = 8, std::size_t aBudgetBytes = 0)
  {
    if (aBudgetBytes > 0) {
      budget_ = std::make_shared<ByteBudget>(loop_, aBudgetBytes);
    }
    HttpServerSettings settings;
    settings.maxPipelined_ = aMaxPipelined;
    settings.budget_ = budget_;
    settings.requestIdHeader_ = "X-Request-Id";
    settings.mayOverlap_ = [this](const HttpRequest& aRequest) { return MayOverlap(aRequest); };
    auto server = HttpServer::Listen(
      loop_,
      settings,
      [this](std::shared_ptr<HttpExchange> aExchange) { OnRequest(std::move(aExchange)); },
      [this](const UnansweredRequest& aRequest) {
        const std::lock_guard lock(mutex_);
        unanswered_.push_back(aRequest);
      });
    REQUIRE(server.has_value());
    server_ = std::move(server.assume_value());
    thread_ = std::thread([this] { loop_.Run(); });
  }
  ManualServer(const ManualServer&) = delete;
  ManualServer& operator=(const ManualServer&) = delete;
  ~ManualServer()
  {
    loop_.Stop();
    thread_.join();
    exchanges_.clear();
    server_.reset();
  }

  std::uint16_t Port() const { return server_->Port(); }

  std::vector<std::string> Begun()
  {
    const std::lock_guard lock(mutex_);
    return begun_;
  }
  std::vector<std::string> Closed()
  {
    const std::lock_guard lock(mutex_);
    return closed_;
  }
  std::vector<UnansweredRequest> Unanswered()
  {
    const std::lock_guard lock(mutex_);
    return unanswered_;
  }

  /// Waits up to 2 s until aCount requests have begun, then 30 ms more for one too many.
  std::vector<std::string> WaitBegun(std::size_t aCount)
  {
    WaitUntil([&] { return Begun().size() >= aCount; });
    std::this_thread::sleep_for(milliseconds(30));
    return Begun();
  }

  static void WaitUntil(const std::function<bool()>& aCondition)
  {
    for (int i = 0; i < 400 && !aCondition(); ++i) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  /// Runs a function on the server's thread and waits for it.
  void Run(const std::function<void()>& aFunction)
  {
    std::promise<void> done;
    loop_.Post([&] {
      aFunction();
      done.set_value();
    });
    done.get_future().wait();
  }

  /// Answers a request that has begun with its path and aMoreBytes bytes.
  void Answer(const std::string& aPath, std::size_t aMoreBytes = 0)
  {
    Run([&] {
      const auto exchange = exchanges_.at(aPath);
      exchange->Respond({ 200, {}, aPath + std::string(aMoreBytes, 'x'), std::nullopt });
    });
  }

  std::size_t PendingAnswers()
  {
    std::size_t count = 0;
    Run([&] { count = server_->PendingAnswerCount(); });
    return count;
  }

  EventLoop loop_;
  std::shared_ptr<ByteBudget> budget_; ///< Used on the server's thread; may be null.
  std::unique_ptr<HttpServer> server_;
  bool allowsOverlap_ = true; ///< Used on the server's thread.

private:
  bool MayOverlap(const HttpRequest& aRequest) const
  {
    return allowsOverlap_ && !aRequest.path_.starts_with("/once");
  }
  void OnRequest(std::shared_ptr<HttpExchange> aExchange)
  {
    const std::string path = aExchange->request_.path_;
    aExchange->mayOverlap_ = MayOverlap(aExchange->request_);
    aExchange->onClosed_ = [this, path] {
      const std::lock_guard lock(mutex_);
      closed_.push_back(path);
    };
    exchanges_[path] = std::move(aExchange);
    const std::lock_guard lock(mutex_);
    begun_.push_back(path);
  }

  std::map<std::string, std::shared_ptr<HttpExchange>> exchanges_; ///< By path; server's thread.
  std::thread thread_;
  std::mutex mutex_; ///< Guards the members below.
  std::vector<std::string> begun_;
  std::vector<std::string> closed_;
  std::vector<UnansweredRequest> unanswered_;
};

using Paths = std::vector<std::string>;

std::string Get(const std::string& aPath, const std::string& aHeaders = "")
{
  return "GET " + aPath + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + aPath + "\r\n" + aHeaders +
         "\r\n";
}

// An answer as the caller reads it.
struct ReadAnswer
{
  std::string status_;
  std::string body_;
  bool closes_ = false;
};

// Reads the next answer; its status is empty at the end of the stream.
ReadAnswer Next(RawSocket& aSocket)
{
  const std::string head = aSocket.ReadUntil("\r\n\r\n");
  const auto length = head.find("Content-Length: ");
  if (length == std::string::npos) {
    return {};
  }
  return { head.substr(9, 3),
           aSocket.ReadBytes(std::stoul(head.substr(length + 16))),
           head.find("Connection: close") != std::string::npos };
}

// Checks that the next answers are those to aPaths, and that the last closes if aCloses.
void CheckAnswers(RawSocket& aSocket, const Paths& aPaths, bool aCloses)
{
  for (std::size_t i = 0; i < aPaths.size(); ++i) {
    const ReadAnswer answer = Next(aSocket);
    INFO(aPaths[i]);
    CHECK(answer.body_ == aPaths[i]);
    CHECK(answer.closes_ == (aCloses && i + 1 == aPaths.size()));
  }
  if (aCloses) {
    CHECK(aSocket.ReadToEnd().empty());
  }
}

} // namespace

// Guards against answers in the order of their completion, and answers mixed or cut, whatever the
// sizes and the boundaries of the caller's writes.
TEST_CASE("answers keep the order of the requests under random completion times", "[pipelining]")
{
  ManualServer server;
  int connection = 0;
  CHECK(rc::check("random orders, sizes and writes", [&] {
    RawSocket socket(server.Port());
    const std::size_t already = server.Begun().size();
    const auto count = *rc::gen::inRange<std::size_t>(1, 9);
    Paths paths;
    std::string input;
    for (std::size_t i = 0; i < count; ++i) {
      paths.push_back("/" + std::to_string(connection) + "/" + std::to_string(i));
      input += Get(paths.back());
    }
    ++connection;
    const auto cut = *rc::gen::inRange<std::size_t>(0, input.size());
    socket.Write(std::string_view(input).substr(0, cut));
    socket.Write(std::string_view(input).substr(cut));
    ManualServer::WaitUntil([&] { return server.Begun().size() == already + count; });
    RC_ASSERT(server.Begun().size() == already + count);
    std::map<std::string, std::size_t> sizes;
    Paths order = paths;
    while (!order.empty()) {
      const auto which = *rc::gen::inRange<std::size_t>(0, order.size());
      sizes[order[which]] = *rc::gen::element<std::size_t>(0, 10, 20'000);
      server.Answer(order[which], sizes[order[which]]);
      order.erase(order.begin() + static_cast<std::ptrdiff_t>(which));
    }
    for (const std::string& path : paths) {
      RC_ASSERT(Next(socket).body_ == path + std::string(sizes[path], 'x'));
    }
  }));
  ManualServer::WaitUntil([&] { return server.PendingAnswers() == 0; });
  CHECK(server.PendingAnswers() == 0);
}

// Guards against requests that are passed on although their caller counts them as not read, because
// an answer before them closes the connection, and against a close before the last answer.
TEST_CASE("nothing behind a closing answer begins, and only the last answer closes", "[pipelining]")
{
  ManualServer server;
  RawSocket socket(server.Port());
  SECTION("a request asks to close")
  {
    socket.Write(Get("/a") + Get("/b", "Connection: close\r\n") + Get("/c"));
    CHECK(server.WaitBegun(2) == Paths{ "/a", "/b" });
    server.Answer("/b");
    server.Answer("/a");
    CheckAnswers(socket, { "/a", "/b" }, true);
  }
  SECTION("a request is of HTTP/1.0")
  {
    socket.Write(Get("/a") + "GET /b HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + Get("/c"));
    CHECK(server.WaitBegun(1) == Paths{ "/a" });
    server.Answer("/a");
    CHECK(server.WaitBegun(2) == Paths{ "/a", "/b" });
    server.Answer("/b");
    CheckAnswers(socket, { "/a", "/b" }, true);
  }
  SECTION("the server begins to close while requests run and another arrives")
  {
    socket.Write(Get("/a") + Get("/b") + Get("/c").substr(0, 20));
    CHECK(server.WaitBegun(2) == Paths{ "/a", "/b" });
    server.Run([&] { server.server_->CloseAfterAnswers(); });
    socket.Write(Get("/c").substr(20) + Get("/d"));
    CHECK(server.WaitBegun(2) == Paths{ "/a", "/b" });
    server.Answer("/b");
    server.Run([&] {
      CHECK(server.server_->Content().handled_ == 1);
      CHECK(server.server_->PendingAnswerCount() == 1);
      server.server_->Finish();
      CHECK(server.server_->ConnectionCount() == 1);
    });
    server.Answer("/a");
    CheckAnswers(socket, { "/a", "/b" }, true);
  }
  CHECK(server.WaitBegun(2) == Paths{ "/a", "/b" });
  CHECK(server.Closed().empty());
  const auto unanswered = server.Unanswered();
  REQUIRE(unanswered.size() == 1);
  CHECK(unanswered[0].reason_ == CloseReason::kClosing);
  CHECK(unanswered[0].stage_ == RequestStage::kPartlyRead);
}

// Guards against a report of a request that the caller never sent.
TEST_CASE("line ends behind a closing answer aren't reported as a request", "[pipelining]")
{
  ManualServer server;
  RawSocket socket(server.Port());
  socket.Write(Get("/a", "Connection: close\r\n") + "\r\n\r\n");
  server.WaitBegun(1);
  server.Answer("/a");
  CheckAnswers(socket, { "/a" }, true);
  CHECK(server.Unanswered().empty());
}

// Guards against a rejection that overtakes answers, or that drops valid requests before it.
TEST_CASE("valid requests are answered before malformed bytes behind them are rejected",
          "[pipelining]")
{
  ManualServer server;
  RawSocket socket(server.Port());
  socket.Write(Get("/a") + Get("/b") + "nonsense\r\n\r\n" + Get("/c"));
  CHECK(server.WaitBegun(2) == Paths{ "/a", "/b" });
  server.Answer("/b");
  server.Answer("/a");
  CheckAnswers(socket, { "/a", "/b" }, false);
  const ReadAnswer rejection = Next(socket);
  CHECK(rejection.status_ == "400");
  CHECK(rejection.closes_);
  CHECK(socket.ReadToEnd().empty());
  CHECK(server.Begun().size() == 2);
  CHECK(server.Unanswered().empty());
}

// Guards against requests that are made out of the body of another one.
TEST_CASE("a body that looks like a request stays a body", "[pipelining]")
{
  ManualServer server;
  RawSocket socket(server.Port());
  const std::string inner = Get("/inner");
  std::string post = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: ";
  socket.Write(Get("/a") + post + std::to_string(inner.size()) + "\r\n\r\n" + inner +
               "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n" +
               "0\r\n\r\n" + Get("/d"));
  CHECK(server.WaitBegun(4) == Paths{ "/a", "/b", "/c", "/d" });
  for (const char* path : { "/d", "/c", "/b", "/a" }) {
    server.Answer(path);
  }
  CheckAnswers(socket, { "/a", "/b", "/c", "/d" }, false);
}

// Guards against a request that must run once while others of its connection run: a close would
// leave open whether it ran.
TEST_CASE("a request that may not overlap runs alone", "[pipelining]")
{
  ManualServer server;
  RawSocket socket(server.Port());
  socket.Write(Get("/a") + Get("/b") + Get("/once") + Get("/c") + Get("/d"));
  CHECK(server.WaitBegun(2) == Paths{ "/a", "/b" });
  server.Answer("/a");
  CHECK(server.WaitBegun(2) == Paths{ "/a", "/b" });
  server.Answer("/b");
  CHECK(server.WaitBegun(3) == Paths{ "/a", "/b", "/once" });
  server.Answer("/once");
  CHECK(server.WaitBegun(5) == Paths{ "/a", "/b", "/once", "/c", "/d" });
  server.Answer("/d");
  server.Answer("/c");
  CheckAnswers(socket, { "/a", "/b", "/once", "/c", "/d" }, false);
  // "/b" and "/d" began behind others. "/once" waited, and so did "/c" behind it.
  server.Run([&] { CHECK(server.server_->Pipelining() == PipelineCounts{ 2, 1, 2, 0 }); });
}

// Guards against a connection with a slow first request that begins any number of requests or holds
// any number of answers.
TEST_CASE("the number of requests and the bytes of waiting answers are bounded", "[pipelining]")
{
  SECTION("by the setting")
  {
    ManualServer server(2);
    RawSocket socket(server.Port());
    socket.Write(Get("/a") + Get("/b") + Get("/c"));
    CHECK(server.WaitBegun(2) == Paths{ "/a", "/b" });
    server.Answer("/b");
    CHECK(server.WaitBegun(2) == Paths{ "/a", "/b" });
    server.Answer("/a");
    CHECK(server.WaitBegun(3) == Paths{ "/a", "/b", "/c" });
  }
  SECTION("by the bytes of the answers")
  {
    ManualServer server;
    RawSocket socket(server.Port());
    socket.Write(Get("/a") + Get("/b"));
    CHECK(server.WaitBegun(2) == Paths{ "/a", "/b" });
    server.Answer("/b", kMaxWaitingAnswerBytes);
    server.Run([&] { CHECK(server.server_->UnsentAnswerBytes() > kMaxWaitingAnswerBytes); });
    socket.Write(Get("/c"));
    CHECK(server.WaitBegun(2) == Paths{ "/a", "/b" });
    server.Answer("/a");
    CHECK(Next(socket).body_ == "/a");
    CHECK(Next(socket).body_.size() == 2 + kMaxWaitingAnswerBytes);
    CHECK(server.WaitBegun(3) == Paths{ "/a", "/b", "/c" });
    server.Run([&] { CHECK(server.server_->Pipelining().heldForLimit_ == 1); });
  }
}

// Guards against waiting answers that the budget of the process doesn't know, and against bytes
// that are never given back.
TEST_CASE("waiting answers are held in the budget until they are sent", "[pipelining]")
{
  ManualServer server(8, 100'000);
  const auto budget = server.budget_;
  {
    RawSocket socket(server.Port());
    socket.Write(Get("/a") + Get("/b") + Get("/c"));
    server.WaitBegun(3);
    server.Answer("/b", 30'000);
    server.Answer("/c", 30'000);
    server.Run([&] { CHECK(budget->used_ > 60'000); });
    // Half of the budget is kept for answers, so this request waits although the limits of its
    // connection would let it begin.
    socket.Write(Get("/d"));
    CHECK(server.WaitBegun(3).size() == 3);
    server.Answer("/a");
    for (const char* path : { "/a", "/b", "/c" }) {
      CHECK(Next(socket).body_.starts_with(path));
    }
    CHECK(server.WaitBegun(4).size() == 4);
    server.Run([&] { CHECK(budget->used_ == 0); });
    server.Answer("/d", 30'000);
    CHECK(Next(socket).body_.size() == 30'002);
    socket.Write(Get("/e") + Get("/f"));
    server.WaitBegun(6);
    server.Answer("/f", 30'000);
  }
  ManualServer::WaitUntil([&] { return !server.Closed().empty(); });
  server.Run([&] { CHECK(budget->used_ == 0); });
}

// Guards against an unsolicited 503 on a connection whose caller has sent and read everything,
// while its answers wait for one that the server itself still owes.
TEST_CASE("a connection that waits for the server isn't ended to make room", "[pipelining]")
{
  ManualServer server(8, 100'000);
  RawSocket socket(server.Port());
  socket.Write(Get("/a") + Get("/b") + Get("/c"));
  server.WaitBegun(3);
  server.Answer("/a");
  CHECK(Next(socket).body_ == "/a");
  ManualServer::WaitUntil([&] { return server.PendingAnswers() == 0; });
  server.Answer("/c", 30'000);
  std::this_thread::sleep_for(milliseconds(1200));
  RawSocket other(server.Port());
  other.Write("POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n");
  CHECK(Next(other).status_ == "503");
  server.Answer("/b");
  CHECK(Next(socket).body_ == "/b");
  CHECK(Next(socket).body_.size() == 30'002);
  socket.Write(Get("/e"));
  CHECK(server.WaitBegun(4) == Paths{ "/a", "/b", "/c", "/e" });
}

// Guards against a connection that closes but still holds the bytes of a request that never begins,
// and against one that loses its close timer when it is ended to make room.
TEST_CASE("a closing connection holds no partly received body", "[pipelining]")
{
  ManualServer server(8, 100'000);
  RawSocket socket(server.Port());
  socket.Write(Get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n" +
               std::string(1000, 'x'));
  server.WaitBegun(1);
  server.Run([&] {
    CHECK(server.budget_->used_ == 30'000);
    server.server_->CloseAfterAnswers();
  });
  server.Answer("/a");
  CheckAnswers(socket, { "/a" }, true);
  std::optional<HeldBytes> other; // Used on the server's thread.
  server.Run([&] {
    CHECK(server.budget_->used_ == 0);
    CHECK(server.server_->ConnectionCount() == 1);
    other.emplace(server.budget_, [] {});
    other->ReserveAlways(300'000); // Above the excess at which connections are ended at once.
  });
  std::size_t connections = 1;
  ManualServer::WaitUntil([&] {
    server.Run([&] { connections = server.server_->ConnectionCount(); });
    return connections == 0;
  });
  CHECK(connections == 0);
  server.Run([&] { other.reset(); });
}

// Guards against answers that hold all memory while the one before them waits for the same memory:
// neither would ever be sent.
TEST_CASE("a connection whose answers wait is ended when other answers need the room",
          "[pipelining]")
{
  ManualServer server(8, 100'000);
  RawSocket socket(server.Port());
  socket.Write(Get("/a") + Get("/b"));
  server.WaitBegun(2);
  server.Answer("/b", 60'000);
  std::this_thread::sleep_for(milliseconds(1200));
  CHECK(server.Unanswered().empty());
  std::optional<HeldBytes> other; // Used on the server's thread.
  std::atomic<bool> fits{ false };
  server.Run([&] {
    other.emplace(server.budget_, [] {});
    CHECK_FALSE(other->Reserve(40'000));
    CHECK(server.server_->ConnectionCount() == 1);
    CHECK_FALSE(other->ReserveOrWait(50'000, [&] { fits = true; }));
  });
  ManualServer::WaitUntil([&] { return fits.load(); });
  CHECK(fits.load());
  const auto unanswered = server.Unanswered();
  REQUIRE(unanswered.size() == 2);
  for (const UnansweredRequest& request : unanswered) {
    CHECK(request.reason_ == CloseReason::kMemoryFull);
  }
  CHECK(server.Closed() == Paths{ "/a" });
  server.Run([&] {
    CHECK(server.budget_->used_ == 50'000);
    other.reset();
  });
}

// Guards against a refusal of a request without a body because of what was sent behind it.
TEST_CASE("pipelined bytes behind a request aren't reserved for its body", "[pipelining]")
{
  ManualServer server(8, 100'000);
  RawSocket socket(server.Port());
  std::string input = Get("/once") + Get("/b");
  for (int i = 0; i < 25; ++i) {
    input += Get("/once/d", "X-Filler: " + std::string(2000, 'x') + "\r\n");
  }
  socket.Write(input);
  CHECK(server.WaitBegun(1) == Paths{ "/once" });
  server.Answer("/once");
  CHECK(server.WaitBegun(2) == Paths{ "/once", "/b" });
  server.Run([&] { CHECK(server.server_->RejectedRequests() == 0); });
}

// Guards against a request that begins behind others although it must run alone by now, because the
// configuration changed while its body arrived.
TEST_CASE("whether a request may overlap is decided when it begins", "[pipelining]")
{
  ManualServer server;
  RawSocket socket(server.Port());
  socket.Write(Get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx");
  CHECK(server.WaitBegun(1) == Paths{ "/a" });
  server.Run([&] { server.allowsOverlap_ = false; });
  socket.Write("y");
  CHECK(server.WaitBegun(1) == Paths{ "/a" });
  server.Answer("/a");
  CHECK(server.WaitBegun(2) == Paths{ "/a", "/b" });
}

// Guards against work that runs on for a caller that has left, and against a report that leaves out
// one of its requests.
TEST_CASE("all requests of a caller that leaves are ended, and no further one begins",
          "[pipelining]")
{
  ManualServer server(3);
  const auto leave = [&](const std::string& aInput) {
    RawSocket socket(server.Port());
    socket.Write(aInput);
    CHECK(server.WaitBegun(3) == Paths{ "/a", "/b", "/c" });
    server.Answer("/b");
  };
  SECTION("its input has been read")
  {
    leave(Get("/a") + Get("/b") + Get("/c") + Get("/d"));
  }
  SECTION("its input fills the buffer, so that its end isn't read")
  {
    std::string input = Get("/a") + Get("/b") + Get("/c");
    for (int i = 0; i < 25; ++i) {
      input += Get("/d", "X-Filler: " + std::string(2000, 'x') + "\r\n");
    }
    leave(input);
  }
  const TimePoint left = Clock::now();
  ManualServer::WaitUntil([&] { return server.Closed().size() == 2; });
  CHECK(Clock::now() - left < milliseconds(500));
  CHECK(server.Closed() == Paths{ "/a", "/c" });
  CHECK(server.WaitBegun(3).size() == 3);
  const auto unanswered = server.Unanswered();
  REQUIRE(unanswered.size() == 3);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(unanswered[i].id_ == Paths{ "/a", "/b", "/c" }[i]);
    CHECK(unanswered[i].reason_ == CloseReason::kCallerClosed);
    CHECK(unanswered[i].stage_ == (i == 1 ? RequestStage::kAnswering : RequestStage::kHandled));
    CHECK(unanswered[i].before_ == i);
  }
  CHECK(server.PendingAnswers() == 0);
}

// Guards against an interim answer between or inside earlier answers, and against a HEAD answer
// with a body that shifts all later ones.
TEST_CASE("Expect waits for the earlier answers, and HEAD has no body", "[pipelining]")
{
  ManualServer server;
  RawSocket socket(server.Port());
  std::string head = Get("/head");
  head.replace(0, 3, "HEAD");
  socket.Write(Get("/a") + head +
               "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  CHECK(server.WaitBegun(2) == Paths{ "/a", "/head" });
  server.Answer("/head");
  server.Answer("/a");
  CheckAnswers(socket, { "/a" }, false);
  CHECK(socket.ReadUntil("\r\n\r\n").find("Content-Length: 5") != std::string::npos);
  CHECK(socket.ReadUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
  socket.Write("xy" + Get("/c"));
  CHECK(server.WaitBegun(4) == Paths{ "/a", "/head", "/b", "/c" });
  server.Answer("/c");
  server.Answer("/b");
  CheckAnswers(socket, { "/b", "/c" }, false);
}
