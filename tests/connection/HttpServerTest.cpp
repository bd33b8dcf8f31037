// Tests of HttpServer and TargetClient with raw bytes over loopback.
#include "peridotquay/connection/HttpServer.h"

#include "peridotquay/connection/TargetClient.h"

#include "tests/connection/RawSocket.h"

#include <catch2/catch.hpp>
#include <netinet/tcp.h>

#include <atomic>
#include <mutex>
#include <thread>

using namespace peridotquay;
using peridotquay::testing::FreePort;
using peridotquay::testing::RawListener;
using peridotquay::testing::RawSocket;

namespace {

// An HTTP server on its own thread that answers each request with its method, path and body. It
// never answers /hold, and delays the answer to /slow.
struct EchoServer
{
  EventLoop loop_;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
  std::atomic<int> closedCount_{ 0 };
  std::atomic<int> heldCount_{ 0 };
  std::vector<std::shared_ptr<HttpExchange>> heldExchanges_;
  std::mutex mutex_; ///< Guards unanswered_.
  std::vector<UnansweredRequest> unanswered_;

  explicit EchoServer(HttpServerSettings aSettings = {})
  {
    aSettings.requestIdHeader_ = "X-Request-Id";
    auto server = HttpServer::Listen(
      loop_,
      aSettings,
      [this](std::shared_ptr<HttpExchange> aExchange) {
        if (aExchange->request_.path_ == "/hold") {
          aExchange->attempts_ = 1;
          aExchange->onClosed_ = [this] { ++closedCount_; };
          heldExchanges_.push_back(std::move(aExchange));
          ++heldCount_;
          return;
        }
        // Trailers must not be treated as headers.
        if (FindHeader(aExchange->request_.headers_, "Quay-Key")) {
          aExchange->Respond({ 500, {}, "", std::nullopt });
          return;
        }
        std::string text = aExchange->request_.method_ + " " + aExchange->request_.path_ + " " +
                           aExchange->request_.body_;
        // The delay gives later requests the chance to overtake.
        const Duration delay = milliseconds(aExchange->request_.path_ == "/slow" ? 30 : 0);
        loop_.After(delay, [aExchange, text] {
          aExchange->Respond({ 200, {}, text, std::nullopt });
        });
      },
      [this](const UnansweredRequest& aRequest) {
        const std::lock_guard lock(mutex_);
        unanswered_.push_back(aRequest);
      });
    REQUIRE(server.has_value());
    server_ = std::move(server.assume_value());
    thread_ = std::thread([this] { loop_.Run(); });
  }
  ~EchoServer() { End(); }

  /// Ends the server and its connections.
  void End()
  {
    loop_.Stop();
    if (thread_.joinable()) {
      thread_.join();
    }
    server_.reset();
  }

  /// Waits up to 1 s until a request to /hold was read.
  void WaitHeld() const
  {
    for (int i = 0; i < 200 && heldCount_ == 0; ++i) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    REQUIRE(heldCount_ > 0);
  }

  /// Waits up to 1 s for the first request without a complete answer.
  UnansweredRequest FirstUnanswered()
  {
    for (int i = 0; i < 200; ++i) {
      {
        const std::lock_guard lock(mutex_);
        if (!unanswered_.empty()) {
          return unanswered_.front();
        }
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
    FAIL("no unanswered request was reported");
    return {};
  }
};

// Sends one request to a target on this machine and waits for its result.
TargetResult SendOnce(std::uint16_t aPort, const HttpRequest& aRequest)
{
  EventLoop loop;
  TargetClientSettings settings;
  settings.target_ = { "127.0.0.1", aPort };
  TargetClient client(loop, settings);
  TargetResult result;
  client.Send(aRequest, [&](TargetResult aResult) {
    result = std::move(aResult);
    loop.Stop();
  });
  loop.Run();
  return result;
}

// An invalid request and the HTTP status that it must be answered with.
struct BadInput
{
  std::string name_;
  std::string bytes_;
  int status_;
};

} // namespace

// Guards against request smuggling and other misreadings of invalid requests.
TEST_CASE("invalid requests are answered with the matching status and the connection ends",
          "[http]")
{
  HttpServerSettings settings;
  settings.maxBodyBytes_ = 1000;
  settings.maxHeaderBytes_ = 2000;
  settings.readTimeout_ = milliseconds(150);
  EchoServer server(settings);
  const std::string host = "Host: h\r\n";
  const std::vector<BadInput> inputs = {
    { "not HTTP", "hello\r\n\r\n", 400 },
    { "binary", std::string("\x16\x03\x01\x02\x00\x01\r\n\r\n", 10), 400 },
    { "no host", "GET / HTTP/1.1\r\n\r\n", 400 },
    { "two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400 },
    { "two lengths",
      "POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      400 },
    { "two equal lengths",
      "POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
      400 },
    { "length list", "POST / HTTP/1.1\r\n" + host + "Content-Length: 1, 1\r\n\r\na", 400 },
    { "negative length", "POST / HTTP/1.1\r\n" + host + "Content-Length: -1\r\n\r\n", 400 },
    { "signed length", "POST / HTTP/1.1\r\n" + host + "Content-Length: +1\r\n\r\na", 400 },
    { "hex length", "POST / HTTP/1.1\r\n" + host + "Content-Length: 0x1\r\n\r\na", 400 },
    { "huge length",
      "POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999999999999999\r\n\r\na",
      400 },
    { "length and chunked",
      "POST / HTTP/1.1\r\n" + host +
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      400 },
    { "chunked twice",
      "POST / HTTP/1.1\r\n" + host +
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      400 },
    { "unsupported coding before chunked",
      "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      400 },
    { "coding name that only ends in chunked",
      "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
      400 },
    { "chunked in 1.0",
      "POST / HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      400 },
    { "bad chunk size",
      "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
      400 },
    { "key twice", "GET / HTTP/1.1\r\n" + host + "Quay-Key: a\r\nQuay-Key: b\r\n\r\n", 400 },
    { "budget twice",
      "GET / HTTP/1.1\r\n" + host + "quay-retry-budget: 1\r\nQuay-Retry-Budget: 1\r\n\r\n",
      400 },
    { "folded header", "GET / HTTP/1.1\r\n" + host + "A: b\r\n c\r\n\r\n", 400 },
    { "space before colon", "GET / HTTP/1.1\r\n" + host + "Content-Length : 1\r\n\r\n", 400 },
    { "lone LF", "GET / HTTP/1.1\r\n" + host + "A: b\nC: d\r\n\r\n", 400 },
    { "lone CR", "GET / HTTP/1.1\r\n" + host + "A: b\rC: d\r\n\r\n", 400 },
    { "NUL", "GET / HTTP/1.1\r\n" + host + std::string("A: b\0c\r\n\r\n", 10), 400 },
    { "absolute form", "GET http://h/ HTTP/1.1\r\n" + host + "\r\n", 400 },
    { "asterisk", "OPTIONS * HTTP/1.1\r\n" + host + "\r\n", 400 },
    { "connect", "CONNECT h:1 HTTP/1.1\r\n" + host + "\r\n", 400 },
    { "version 2", "GET / HTTP/2.0\r\n" + host + "\r\n", 400 },
    { "unknown expectation", "POST / HTTP/1.1\r\n" + host + "Expect: more\r\n\r\n", 400 },
    { "large body", "POST / HTTP/1.1\r\n" + host + "Content-Length: 1001\r\n\r\n", 413 },
    { "large chunked body",
      "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n" + "3e9\r\n" +
        std::string(1001, 'x') + "\r\n0\r\n\r\n",
      413 },
    { "large headers",
      "GET / HTTP/1.1\r\n" + host + "A: " + std::string(2500, 'x') + "\r\n\r\n",
      431 },
    { "endless headers", "GET / HTTP/1.1\r\n" + host + "A: " + std::string(2500, 'x'), 431 },
    { "slow head", "GET / HTTP/1.1\r\n", 408 },
    { "slow body", "POST / HTTP/1.1\r\n" + host + "Content-Length: 5\r\n\r\nab", 408 },
  };
  for (const auto& input : inputs) {
    INFO(input.name_);
    RawSocket socket(server.server_->Port());
    socket.Write(input.bytes_);
    const std::string answer = socket.ReadToEnd();
    CHECK(answer.substr(0, 12) == "HTTP/1.1 " + std::to_string(input.status_));
    CHECK(answer.find("Quay-Outcome: not-run\r\n") != std::string::npos);
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
  }
}

// Guards against answers in the wrong order, and trailers treated as headers, in pipelined
// requests.
TEST_CASE("pipelined requests are answered in order", "[http]")
{
  EchoServer server;
  RawSocket socket(server.server_->Port());
  socket.Write("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
               "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
               "3\r\nabc\r\n2\r\nde\r\n0\r\nQuay-Key: x\r\n\r\n"
               "POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nConnection: close\r\n\r\nxy");
  const std::string answer = socket.ReadToEnd();
  const auto first = answer.find("\r\n\r\nGET /slow ");
  const auto second = answer.find("\r\n\r\nPOST /b abcde");
  const auto third = answer.find("\r\n\r\nPOST /c xy");
  CHECK(first != std::string::npos);
  CHECK(second != std::string::npos);
  CHECK(third != std::string::npos);
  CHECK(first < second);
  CHECK(second < third);
}

// Guards against a request that keeps running after its caller has disconnected.
TEST_CASE("the handler is told when the caller closes the connection", "[http]")
{
  EchoServer server;
  {
    RawSocket socket(server.server_->Port());
    socket.Write("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(30));
    CHECK(server.closedCount_ == 0);
  }
  for (int i = 0; i < 100 && server.closedCount_ == 0; ++i) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  CHECK(server.closedCount_ == 1);
}

// Guards against requests that end without an answer and leave no trace of who ended them and why.
TEST_CASE("a request that ends without a complete answer is reported with its cause", "[http]")
{
  HttpServerSettings settings;
  settings.writeTimeout_ = milliseconds(200);
  EchoServer server(settings);
  const std::string head = " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n";
  SECTION("the caller closes while the request is handled")
  {
    {
      RawSocket caller(server.server_->Port());
      caller.Write("GET /hold" + head + "\r\n");
      server.WaitHeld();
      std::this_thread::sleep_for(milliseconds(30));
    }
    const auto request = server.FirstUnanswered();
    CHECK(request.id_ == "r1");
    CHECK(request.reason_ == CloseReason::kCallerClosed);
    CHECK(request.stage_ == RequestStage::kHandled);
    CHECK(request.attempts_ == 1);
    CHECK(request.sinceRead_ >= milliseconds(20));
  }
  SECTION("the caller closes while it sends the request")
  {
    RawSocket(server.server_->Port()).Write("POST /x" + head + "Content-Length: 9\r\n\r\nab");
    const auto request = server.FirstUnanswered();
    CHECK(request.reason_ == CloseReason::kCallerClosed);
    CHECK(request.stage_ == RequestStage::kPartlyRead);
    CHECK(request.attempts_ == 0);
  }
  SECTION("the caller doesn't read its answer")
  {
    const std::string body(700'000, 'b');
    RawSocket caller(server.server_->Port(), 4096);
    caller.Write("POST /x" + head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n");
    caller.Write(body);
    // The system buffers of a loopback connection can hold the answer to one request of this size.
    for (int i = 0; i < 8; ++i) {
      caller.Write("POST /x" + head + "Content-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
    }
    const auto request = server.FirstUnanswered();
    CHECK(request.id_ == "r1");
    CHECK(request.reason_ == CloseReason::kWriteTimeout);
    CHECK(request.stage_ == RequestStage::kAnswering);
    CHECK(request.answerBytes_ > body.size());
    CHECK(request.writtenBytes_ < request.answerBytes_);
    CHECK(request.sinceRead_ >= settings.writeTimeout_);
  }
  SECTION("a request waits behind one whose answer ends the connection")
  {
    RawSocket caller(server.server_->Port());
    caller.Write("GET /slow" + head + "Connection: close\r\n\r\nGET /x" + head + "\r\n");
    const auto request = server.FirstUnanswered();
    CHECK(request.reason_ == CloseReason::kClosing);
    CHECK(request.stage_ == RequestStage::kPartlyRead);
  }
  SECTION("the server ends")
  {
    RawSocket caller(server.server_->Port());
    caller.Write("GET /hold" + head + "\r\n");
    server.WaitHeld();
    server.End();
    const auto request = server.FirstUnanswered();
    CHECK(request.id_ == "r1");
    CHECK(request.reason_ == CloseReason::kServerEnded);
    CHECK(request.stage_ == RequestStage::kHandled);
    CHECK(request.attempts_ == 1);
  }
}

// Guards against truncated answers that pass as complete, and against sent requests that are
// reported as not sent.
TEST_CASE("the target client tells complete answers from truncated ones", "[target]")
{
  struct Script
  {
    std::string name_;
    std::string answer_;
    TargetRequestStatus requestStatus_;
  };
  const std::vector<Script> scripts = {
    { "complete",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
      TargetRequestStatus::kAnswered },
    { "chunked",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
      TargetRequestStatus::kAnswered },
    { "interim answer first",
      "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
      TargetRequestStatus::kAnswered },
    { "truncated body",
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
      TargetRequestStatus::kTruncated },
    { "truncated chunks",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
      TargetRequestStatus::kTruncated },
    { "truncated head", "HTTP/1.1 200 OK\r\nContent-Le", TargetRequestStatus::kTruncated },
    { "without length, closed", "HTTP/1.1 200 OK\r\n\r\nok", TargetRequestStatus::kTruncated },
    { "two lengths",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
      TargetRequestStatus::kTruncated },
    { "too large",
      "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n",
      TargetRequestStatus::kTruncated },
    { "no answer", "", TargetRequestStatus::kLost },
  };
  for (const auto& script : scripts) {
    INFO(script.name_);
    RawListener listener;
    std::thread target([&] {
      RawSocket socket = listener.Accept();
      socket.ReadUntil("\r\n\r\n");
      socket.Write(script.answer_);
    });
    EventLoop loop;
    TargetClientSettings settings;
    settings.target_ = { "127.0.0.1", listener.Port() };
    settings.maxBodyBytes_ = 100;
    TargetClient client(loop, settings);
    TargetResult result;
    client.Send({ "GET", "/", {}, "" }, [&](TargetResult aResult) {
      result = std::move(aResult);
      loop.Stop();
    });
    loop.Run();
    target.join();
    CHECK(result.requestStatus_ == script.requestStatus_);
    if (script.requestStatus_ == TargetRequestStatus::kAnswered) {
      CHECK(result.response_.status_ == 200);
      CHECK(result.response_.body_ == "ok");
    }
  }
}

// Guards against a status that HTTP doesn't define (000 was seen) that reaches a caller, and
// against a connection with such an answer that is used again.
TEST_CASE("an answer with an invalid status is damaged and ends its connection", "[target]")
{
  for (const std::string status : { "000", "001", "099", "101", "600", "999" }) {
    INFO(status);
    RawListener listener;
    std::string afterAnswer;
    std::thread target([&] {
      RawSocket socket = listener.Accept();
      socket.ReadUntil("\r\n\r\n");
      socket.Write("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok");
      afterAnswer = socket.ReadUntil("\r\n\r\n");
    });
    EventLoop loop;
    TargetClientSettings settings;
    settings.target_ = { "127.0.0.1", listener.Port() };
    TargetClient client(loop, settings);
    TargetResult result;
    client.Send({ "GET", "/", {}, "" }, [&](TargetResult aResult) {
      result = std::move(aResult);
      loop.Stop();
    });
    loop.Run();
    target.join();
    CHECK(result.requestStatus_ == TargetRequestStatus::kTruncated);
    CHECK(result.response_.body_.empty());
    CHECK(client.ConnectionCount() == 0);
    CHECK(afterAnswer.empty());
  }
}

// Guards against an answer to an earlier request that is matched with the next one, and against a
// reset connection that passes as the regular end of an answer without length.
TEST_CASE("answers with another echo header value or ended by a reset are not accepted", "[target]")
{
  struct Script
  {
    std::string name_;
    std::string answer_;
    bool reset_;
    TargetRequestStatus requestStatus_;
  };
  const std::string matching = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok";
  const std::string earlier = "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 3\r\n\r\nold";
  const std::string withoutLength = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nok";
  const std::vector<Script> scripts = {
    { "matching", matching, false, TargetRequestStatus::kAnswered },
    { "earlier request's answer first", earlier + matching, false, TargetRequestStatus::kAnswered },
    { "earlier request's answer only", earlier, false, TargetRequestStatus::kTruncated },
    { "without length, closed", withoutLength, false, TargetRequestStatus::kAnswered },
    { "status line only", "HTTP/1.1 200 OK\r\n", false, TargetRequestStatus::kTruncated },
    { "head cut after a header",
      "HTTP/1.1 200 OK\r\nX-Id: 7\r\n",
      false,
      TargetRequestStatus::kTruncated },
    { "head cut in its length",
      "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2",
      false,
      TargetRequestStatus::kTruncated },
    { "head cut after an interim answer",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 7\r\n",
      false,
      TargetRequestStatus::kTruncated },
    { "without length, reset", withoutLength, true, TargetRequestStatus::kTruncated }
  };
  for (const auto& script : scripts) {
    INFO(script.name_);
    RawListener listener;
    std::thread target([&] {
      RawSocket socket = listener.Accept();
      socket.ReadUntil("\r\n\r\n");
      socket.Write(script.answer_);
      if (script.reset_) {
        std::this_thread::sleep_for(milliseconds(50));
        const linger reset{ 1, 0 };
        ::setsockopt(socket.Descriptor(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      }
    });
    EventLoop loop;
    TargetClientSettings settings;
    settings.target_ = { "127.0.0.1", listener.Port() };
    settings.echoHeader_ = "X-Id";
    settings.allowsCloseDelimited_ = true;
    TargetClient client(loop, settings);
    TargetResult result;
    client.Send({ "GET", "/", { { "X-Id", "7" } }, "" }, [&](TargetResult aResult) {
      result = std::move(aResult);
      loop.Stop();
    });
    loop.Run();
    target.join();
    CHECK(result.requestStatus_ == script.requestStatus_);
    if (script.requestStatus_ == TargetRequestStatus::kAnswered) {
      CHECK(result.response_.body_ == "ok");
    }
  }
}

// Guards against a target, or a store, whose answer goes on without end where a chunk header or a
// trailer is due: the client stored all of it until the process exceeded its memory.
TEST_CASE("an answer with an endless chunk header or trailer is cut off", "[target]")
{
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  // Far more than the socket buffers of both ends hold.
  constexpr std::size_t kEndlessBytes = std::size_t{ 256 } << 20U;
  for (const std::string& begin : { std::string("2\r\nok\r\n"), std::string("0\r\nX-Trailer: ") }) {
    INFO(begin);
    RawListener listener;
    std::size_t sent = 0;
    std::thread target([&] {
      RawSocket socket = listener.Accept();
      socket.ReadUntil("\r\n\r\n");
      socket.Write(head + begin);
      const std::string block(65536, '0');
      ssize_t written = 0;
      do {
        written = ::send(socket.Descriptor(), block.data(), block.size(), MSG_NOSIGNAL);
        sent += written > 0 ? static_cast<std::size_t>(written) : 0;
      } while (written > 0 && sent < kEndlessBytes);
    });
    const TargetResult result = SendOnce(listener.Port(), { "GET", "/", {}, "" });
    target.join();
    CHECK(result.requestStatus_ == TargetRequestStatus::kTruncated);
    CHECK(sent < kEndlessBytes / 4);
  }
}

// Guards against a process that ends because the last chunk of a message arrives in pieces: an
// assertion of the parser failed on fewer than 5 bytes of it.
TEST_CASE("chunked messages may arrive in pieces of any size", "[http][target]")
{
  const std::vector<std::string> bodies = { "0\r\n\r\n",
                                            "0\r\nX-Trailer: a\r\n\r\n",
                                            "2\r\nok\r\n0\r\n\r\n",
                                            "1\r\no\r\n1\r\nk\r\n000\r\n\r\n" };
  const auto writeInPieces = [](RawSocket& aSocket, const std::string& aBytes, std::size_t aSize) {
    const int noDelay = 1;
    ::setsockopt(aSocket.Descriptor(), IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
    for (std::size_t at = 0; at < aBytes.size(); at += aSize) {
      aSocket.Write(std::string_view(aBytes).substr(at, aSize));
      std::this_thread::sleep_for(milliseconds(1));
    }
  };
  for (const auto& body : bodies) {
    const std::string content = body.front() == '0' ? "" : "ok";
    for (const std::size_t size : { 1, 2, 3, 4, 5 }) {
      INFO(body << " in pieces of " << size);
      EchoServer server;
      RawSocket caller(server.server_->Port());
      caller.Write("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
      writeInPieces(caller, body, size);
      CHECK(caller.ReadUntil("\r\n\r\n").substr(0, 12) == "HTTP/1.1 200");
      CHECK(caller.ReadBytes(8 + content.size()) == "POST /x " + content);

      RawListener listener;
      std::thread target([&] {
        RawSocket socket = listener.Accept();
        socket.ReadUntil("\r\n\r\n");
        socket.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeInPieces(socket, body, size);
      });
      const TargetResult result = SendOnce(listener.Port(), { "GET", "/", {}, "" });
      target.join();
      CHECK(result.requestStatus_ == TargetRequestStatus::kAnswered);
      CHECK(result.response_.body_ == content);
    }
  }
}

// Guards against an answer that is cut because its caller reads slowly: the operating system ended
// the connection when the caller's receive buffer was full for 3 s.
TEST_CASE("a caller that pauses while it reads gets its whole answer", "[http]")
{
  EchoServer server;
  const std::string body(700'000, 'b');
  RawSocket caller(server.server_->Port(), 4096);
  caller.Write("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n");
  caller.Write(body);
  caller.ReadUntil("\r\n\r\n");
  std::this_thread::sleep_for(seconds(5));
  CHECK(caller.ReadBytes(8 + body.size()).size() == 8 + body.size());
}

// Guards against a request that is cut because its target reads slowly, in the same way.
TEST_CASE("a target that pauses while it reads gets the whole request", "[target]")
{
  RawListener listener(4096);
  const std::string body(700'000, 'b');
  std::size_t received = 0;
  std::thread target([&] {
    RawSocket socket = listener.Accept();
    socket.ReadUntil("\r\n\r\n");
    std::this_thread::sleep_for(seconds(5));
    received = socket.ReadBytes(body.size()).size();
    socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  const TargetResult result = SendOnce(listener.Port(), { "POST", "/", {}, body });
  target.join();
  CHECK(result.requestStatus_ == TargetRequestStatus::kAnswered);
  CHECK(received == body.size());
}

// Guards against an earlier answer that the target repeats without a length and that passes as the
// answer to the next request: its caller gets another caller's answer.
TEST_CASE("an earlier answer without a length doesn't answer a later request", "[target]")
{
  struct Script
  {
    std::string answer_;
    TargetRequestStatus requestStatus_;
  };
  const std::vector<Script> scripts = {
    { "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nok", TargetRequestStatus::kAnswered },
    { "HTTP/1.1 200 OK\r\nX-Id: 6\r\n\r\nold", TargetRequestStatus::kTruncated },
    { "HTTP/1.1 200 OK\r\n\r\nold", TargetRequestStatus::kTruncated },
    { "HTTP/1.1 503 Busy\r\nX-Id: 6\r\nX-Not-Executed: 1\r\n\r\n", TargetRequestStatus::kTruncated }
  };
  for (const auto& script : scripts) {
    INFO(script.answer_);
    RawListener listener;
    std::thread target([&] {
      RawSocket socket = listener.Accept();
      socket.ReadUntil("\r\n\r\n");
      socket.Write("HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 3\r\n\r\nold");
      socket.ReadUntil("\r\n\r\n");
      socket.Write(script.answer_);
    });
    EventLoop loop;
    TargetClientSettings settings;
    settings.target_ = { "127.0.0.1", listener.Port() };
    settings.echoHeader_ = "X-Id";
    settings.allowsCloseDelimited_ = true;
    TargetClient client(loop, settings);
    TargetResult result;
    client.Send({ "GET", "/", { { "X-Id", "6" } }, "" }, [&](const TargetResult&) {
      client.Send({ "GET", "/", { { "X-Id", "7" } }, "" }, [&](TargetResult aResult) {
        result = std::move(aResult);
        loop.Stop();
      });
    });
    loop.Run();
    target.join();
    CHECK(result.requestStatus_ == script.requestStatus_);
  }
}

// Guards against a refusal that a target writes once more on a kept connection and that passes as
// the answer to a later request, which the target runs: its caller is told that it didn't run.
TEST_CASE("an earlier refusal that is written again doesn't answer a later request", "[target]")
{
  struct Script
  {
    std::string name_;
    std::string firstId_;
    std::string refusal_;
    TargetRequestStatus requestStatus_; ///< Of the later request, which has id 7.
  };
  const std::string head = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n";
  const std::string end = "Content-Length: 0\r\n\r\n";
  const std::vector<Script> scripts = {
    // The same request comes to the target again, after another one refused it too.
    { "same id", "7", head + "X-Id: 7\r\n" + end, TargetRequestStatus::kAnswered },
    { "other id", "6", head + "X-Id: 6\r\n" + end, TargetRequestStatus::kAnswered },
    { "no id", "6", head + end, TargetRequestStatus::kTruncated }
  };
  for (const auto& script : scripts) {
    INFO(script.name_);
    RawListener listener;
    // The connection of the first request stays open. A later request on it gets the refusal again.
    std::thread target([&] {
      RawSocket kept = listener.Accept();
      kept.ReadUntil("\r\n\r\n");
      kept.Write(script.refusal_);
      std::thread keptThread([&] {
        if (kept.ReadUntil("\r\n\r\n").ends_with("\r\n\r\n")) {
          kept.Write(script.refusal_ + "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok");
        }
      });
      RawSocket other = listener.Accept();
      if (other.ReadUntil("\r\n\r\n").ends_with("\r\n\r\n")) {
        other.Write("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok");
      }
      keptThread.join();
    });
    EventLoop loop;
    TargetClientSettings settings;
    settings.target_ = { "127.0.0.1", listener.Port() };
    settings.echoHeader_ = "X-Id";
    TargetResult result;
    {
      TargetClient client(loop, settings);
      client.Send({ "GET", "/", { { "X-Id", script.firstId_ } }, "" },
                  [&](const TargetResult& aFirst) {
                    CHECK(aFirst.response_.status_ == 503);
                    client.Send({ "GET", "/", { { "X-Id", "7" } }, "" }, [&](TargetResult aResult) {
                      result = std::move(aResult);
                      loop.Stop();
                    });
                  });
      loop.Run();
    }
    // Ends the second accept if the later request used the kept connection.
    {
      const RawSocket closed(listener.Port());
    }
    target.join();
    CHECK(result.requestStatus_ == script.requestStatus_);
    if (script.requestStatus_ == TargetRequestStatus::kAnswered) {
      CHECK(result.response_.status_ == 200);
    }
  }
}

// Guards against sending a request that must run at most once on an idle connection that the target
// may have dropped. The request would be reset without showing whether it ran.
TEST_CASE("a request that must run at most once doesn't reuse a connection idle for long",
          "[target]")
{
  RawListener listener;
  std::thread target([&] {
    std::vector<RawSocket> sockets;
    for (const int requests : { 2, 1 }) {
      sockets.push_back(listener.Accept());
      for (int i = 0; i < requests; ++i) {
        sockets.back().ReadUntil("\r\n\r\n");
        sockets.back().Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      }
    }
  });
  EventLoop loop;
  TargetClientSettings settings;
  settings.target_ = { "127.0.0.1", listener.Port() };
  TargetClient client(loop, settings);
  const auto send = [&](ConnectionReuse aReuse) {
    TargetResult result;
    client.Send(
      { "POST", "/", {}, "" },
      [&](TargetResult aResult) {
        result = std::move(aResult);
        loop.Stop();
      },
      aReuse);
    loop.Run();
    return result;
  };
  CHECK(send(ConnectionReuse::kRecentlyUsed).requestStatus_ == TargetRequestStatus::kAnswered);
  // Immediately afterwards, the connection is reused.
  CHECK(send(ConnectionReuse::kRecentlyUsed).connectTime_ == Duration::zero());
  loop.After(settings.recentlyUsedPeriod_ + milliseconds(50), [&] { loop.Stop(); });
  loop.Run();
  const TargetResult afterIdle = send(ConnectionReuse::kRecentlyUsed);
  CHECK(afterIdle.requestStatus_ == TargetRequestStatus::kAnswered);
  CHECK(afterIdle.connectTime_ > Duration::zero());
  target.join();
}

// Guards against a request that counts as possibly run although the connect failed and no byte was
// sent.
TEST_CASE("a request without a connection is reported as not sent", "[target]")
{
  EventLoop loop;
  TargetClientSettings settings;
  settings.target_ = { "127.0.0.1", FreePort() };
  TargetClient client(loop, settings);
  TargetResult result;
  result.requestStatus_ = TargetRequestStatus::kLost;
  client.Send({ "GET", "/", {}, "" }, [&](TargetResult aResult) {
    result = std::move(aResult);
    loop.Stop();
  });
  loop.Run();
  CHECK(result.requestStatus_ == TargetRequestStatus::kNotSent);
}
