// Tests of the stand-in link in front of a stand-in target, both in the test process.
#include "standins/lib/FleetHttp.h"
#include "standins/lib/LinkRelay.h"
#include "standins/lib/TargetServer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <catch2/catch.hpp>
#include <sys/time.h>

#include <thread>

using namespace peridotquay;
using namespace peridotquay::standins;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// A target behind a link. Both run on one thread until the end of the test.
class LinkedTarget
{
public:
  LinkedTarget()
    : context_(1)
  {
    TargetSettings target;
    target.serviceTime_ = milliseconds(1);
    target_ = std::make_shared<TargetServer>(context_, target);
    REQUIRE(target_->Start().has_value());
    LinkSettings link;
    link.remote_ = { "127.0.0.1", target_->Port() };
    link_ = std::make_shared<LinkRelay>(context_, link);
    REQUIRE(link_->Start().has_value());
    address_ = { "127.0.0.1", link_->Port() };
    control_ = { "127.0.0.1", link_->ControlPort() };
    thread_ = std::thread([this] { context_.run(); });
  }

  ~LinkedTarget()
  {
    asio::post(context_, [this] {
      target_->Stop();
      link_->Stop();
      context_.stop();
    });
    thread_.join();
  }

  void SetFaults(const std::string& aJson) const
  {
    const auto reply = FetchHttp(control_, { "POST", "/link", {}, aJson });
    REQUIRE(reply.has_value());
    REQUIRE(reply.assume_value().status_ == 200);
  }

  Result<FetchResponse> Get(const std::string& aTarget, Duration aTimeout = seconds(5)) const
  {
    FetchRequest fetchRequest{ "GET", aTarget, {}, "" };
    fetchRequest.timeout_ = aTimeout;
    return FetchHttp(address_, fetchRequest);
  }

  Address address_;
  Address control_;

private:
  asio::io_context context_;
  std::shared_ptr<TargetServer> target_;
  std::shared_ptr<LinkRelay> link_;
  std::thread thread_;
};

} // namespace

// Guards against a link that changes bytes or whose delay or bandwidth setting has no effect.
TEST_CASE("a link forwards bytes unchanged and applies delay and bandwidth", "[link]")
{
  LinkedTarget linked;
  const std::string big = "/a?length=100000";
  const auto direct = linked.Get(big).assume_value().body_;
  CHECK(direct.size() == 100000);
  linked.SetFaults(R"({"delay_ms":20})");
  auto before = Clock::now();
  CHECK(linked.Get(big).assume_value().body_ == direct);
  CHECK(Clock::now() - before >= milliseconds(40));
  linked.SetFaults(R"({"delay_ms":0,"bandwidth":500000})");
  before = Clock::now();
  CHECK(linked.Get(big).assume_value().body_ == direct);
  CHECK(Clock::now() - before >= milliseconds(190));
}

// Guards against a cut that lets bytes through or whose end doesn't restore the link.
TEST_CASE("a cut stalls connections until it ends", "[link]")
{
  LinkedTarget linked;
  linked.SetFaults(R"({"cut":true})");
  CHECK_FALSE(linked.Get("/a", milliseconds(100)).has_value());
  linked.SetFaults(R"({"cut":false})");
  CHECK(linked.Get("/a").has_value());
}

// Guards against a one-way cut that lets answers through or whose end doesn't restore the link.
TEST_CASE("a one-way cut holds back answers until it ends", "[link]")
{
  LinkedTarget linked;
  linked.SetFaults(R"({"cut_answers":true})");
  CHECK_FALSE(linked.Get("/a?length=7", milliseconds(200)).has_value());
  linked.SetFaults(R"({"cut_answers":false})");
  CHECK(linked.Get("/a").has_value());
}

// Guards against a reset that leaves open connections intact or also resets later ones.
TEST_CASE("a reset closes open connections and later ones work", "[link]")
{
  LinkedTarget linked;
  HttpSession session(linked.address_);
  REQUIRE(session.Fetch({ "GET", "/a", {}, "" }).has_value());
  REQUIRE(session.Fetch({ "GET", "/b", {}, "" }).has_value());
  linked.SetFaults(R"({"reset_existing":true})");
  CHECK_FALSE(session.Fetch({ "GET", "/c", {}, "" }).has_value());
  CHECK(session.Fetch({ "GET", "/d", {}, "" }).has_value());
}

// Guards against silenced connections that still carry bytes, and against new connections that are
// silenced too.
TEST_CASE("silenced connections carry nothing and later ones work", "[link]")
{
  LinkedTarget linked;
  asio::io_context context;
  asio::ip::tcp::socket existing(context);
  existing.connect({ asio::ip::make_address("127.0.0.1"), linked.address_.port_ });
  http::request<http::string_body> request(http::verb::get, "/a", 11);
  http::response<http::string_body> response;
  boost::beast::flat_buffer buffer;
  http::write(existing, request);
  http::read(existing, buffer, response);
  CHECK(response.result_int() == 200);

  linked.SetFaults(R"({"silence_existing":true})");
  const timeval timeout{ 0, 100'000 };
  ::setsockopt(existing.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  http::write(existing, request);
  char byte = 0;
  CHECK(::recv(existing.native_handle(), &byte, 1, 0) < 0);
  CHECK(errno == EAGAIN);
  CHECK(linked.Get("/a").has_value());
  CHECK(FetchHttp(linked.control_, { "GET", "/link", {}, "" })
          .assume_value()
          .body_.find("\"silent_connections\":1") != std::string::npos);
}

// Guards against datagrams that are lost or can't be answered through the link, and against a cut
// that lets them through.
TEST_CASE("datagrams pass in both directions and are lost during a cut", "[link]")
{
  asio::io_context context;
  using Udp = asio::ip::udp;
  const auto loopback = asio::ip::make_address("127.0.0.1");
  Udp::socket remote(context, Udp::endpoint(loopback, 0));
  Udp::socket sender(context, Udp::endpoint(loopback, 0));
  const timeval timeout{ 1, 0 };
  ::setsockopt(remote.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  ::setsockopt(sender.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);

  LinkSettings settings;
  settings.remote_ = { "127.0.0.1", remote.local_endpoint().port() };
  asio::io_context linkContext(1);
  const auto link = std::make_shared<LinkRelay>(linkContext, settings);
  REQUIRE(link->Start().has_value());
  std::thread thread([&] { linkContext.run(); });
  const Udp::endpoint linkEnd(loopback, link->Port());
  const Address control{ "127.0.0.1", link->ControlPort() };

  char data[16] = {};
  sender.send_to(asio::buffer("ping", 4), linkEnd);
  Udp::endpoint from;
  boost::system::error_code failure;
  REQUIRE(remote.receive_from(asio::buffer(data), from, 0, failure) == 4);
  remote.send_to(asio::buffer("pong!", 5), from);
  CHECK(sender.receive_from(asio::buffer(data), from, 0, failure) == 5);
  CHECK(from == linkEnd);

  REQUIRE(FetchHttp(control, { "POST", "/link", {}, R"({"cut":true})" }).has_value());
  sender.send_to(asio::buffer("lost", 4), linkEnd);
  const auto giveUpAt = Clock::now() + seconds(5);
  std::string report;
  while (report.find("\"lost_datagrams\":1") == std::string::npos) {
    REQUIRE(Clock::now() < giveUpAt);
    report = FetchHttp(control, { "GET", "/link", {}, "" }).assume_value().body_;
  }
  asio::post(linkContext, [&] {
    link->Stop();
    linkContext.stop();
  });
  thread.join();
}
