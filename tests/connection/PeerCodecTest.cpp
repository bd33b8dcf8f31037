// Tests of encoding and decoding peer messages and of splitting a stream into frames.
#include "peridotquay/connection/PeerCodec.h"

#include "peridotquay/connection/FrameReader.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <random>

using namespace peridotquay;

namespace {

MemberEntry SampleMember()
{
  return { { "h1" },
           7,
           MemberState::kSuspect,
           { "127.0.0.1", 4711 },
           { "dc1" },
           { "r1" },
           { "bell" },
           TargetState::kReady,
           50,
           0.25,
           { "h2" } };
}

Call SampleCall()
{
  return { 9,
           { "bell" },
           { "r" },
           "POST",
           "/bells?x=1",
           { { "A", "b" }, { "C", "" } },
           std::string("body\0\xff", 6),
           { "acc" },
           Importance::kCritical,
           1500,
           2,
           false,
           3 };
}

Answer SampleAnswer()
{
  return { 9,
           Outcome::kRan,
           0,
           5,
           201,
           { { "X", "y" } },
           "done",
           4,
           1,
           10,
           50,
           3,
           { Importance::kHigh, 0.5 },
           12,
           250 };
}

// One message of each type.
std::vector<PeerMessage> Samples()
{
  const ConfigChange change{
    4, "op", "id", 123, "sum", { { "account/a", "{}" }, { "key/b", {} } }
  };
  HandoverRecord record{ 3, 1000, true, "digest", SampleAnswer() };
  return { Hello{ 1, { "h1" }, 8, { "dc1" } },
           SampleCall(),
           SampleAnswer(),
           Cancel{ 9 },
           CallStatusQuery{ 8, 9 },
           CallStatusReply{ 9, CallStatus::kRefused },
           OwnerCall{ "h1.8.1.aa", SampleCall() },
           Ping{ ~0ULL },
           Ack{ 2 },
           Probe{ 1, SampleMember(), { SampleMember() } },
           ProbeAck{ 1, SampleMember(), {} },
           ProbeRequest{ 1, SampleMember(), { "h9" }, { "127.0.0.1", 1 }, { SampleMember() } },
           MemberTable{ true, { SampleMember() } },
           SyncRequest{ 1, 2, 1, 5, { { "h3" } } },
           SyncReply{ 1, 2, ~0ULL, { change }, true, 7 },
           VersionPush{ { "h1" }, { change } },
           ShareRequest{ 1, { "acc" }, 2, 0.5, 10 },
           ShareGrant{ 1, { "acc" }, 3, 10, 1000, 0 },
           DataCentreSummary{ { "dc1" }, 2, 100, true, { SampleMember() } },
           RateReports{
             { "h2" },
             { { { "h1" }, 7, 3, { { { "parish" }, 12 } }, LoadReport{ 60, 4, 72, 130, 150 } } } },
           RateLevels{ 7, 3, { { { "parish" }, 12 } } },
           FeedQuery{ 4, { { 0, 5 }, { 0, 6 } } },
           FeedAnswer{ 4, 700, 300, { { 1, 8 }, { 0, 9 }, 2, 12 } },
           FeedRows{ FeedTable::kHosts, 5, 8, { { "h1", std::string("\x80\0", 2), 8 } }, 3 },
           RequestHandover{
             { "h1" }, 8, std::string(32, '\x80'), { record, { 4, 2, false, "", {} } }, true },
           TargetDepartures{ { "h1" }, { "h2" }, { { "i-h1@7", 250 } } },
           RecallQuery{ { "h1" }, { { 1, 8 }, { 0, 9 }, 2, 12 }, true },
           RecallAnswer{ { "h2" }, 12, { { "i-h1@7", 250 } } } };
}

} // namespace

// Guards against fields that are encoded and decoded in different orders, or left out.
TEST_CASE("every message type decodes to the message that was encoded", "[codec]")
{
  REQUIRE(Samples().size() == std::variant_size_v<PeerMessage>);
  for (const auto& message : Samples()) {
    const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
    REQUIRE(decoded.has_value());
    CHECK(decoded.assume_value() == message);
  }
}

// Guards against hosts of different versions that reject each other's messages: a message whose
// added fields have their default values has the form that older hosts send and read.
TEST_CASE("added fields are optional at the end of a message", "[codec]")
{
  Answer answer = SampleAnswer();
  const std::string stated = EncodePeerMessage(answer);
  answer.workPercent_ = 0;
  const std::string old = EncodePeerMessage(answer);
  CHECK(static_cast<unsigned char>(old[2]) == 0x9e);
  CHECK(stated.size() - old.size() == 2);
  CHECK(std::get<Answer>(DecodePeerMessage(old).assume_value()) == answer);

  RateReport report{ { "h1" }, 7, 3, { { { "parish" }, 12 } }, LoadReport{ 60, 4, 72, 130, 0 } };
  const std::string own = EncodePeerMessage(RateReports{ { "h2" }, { report } });
  report.load_->ageMs_ = 150;
  const std::string relayed = EncodePeerMessage(RateReports{ { "h2" }, { report } });
  report.load_.reset();
  const std::string without = EncodePeerMessage(RateReports{ { "h2" }, { report } });
  CHECK(own.size() - without.size() == 6);
  CHECK(relayed.size() - without.size() == 8);
  const auto decoded = DecodePeerMessage(without);
  REQUIRE(decoded.has_value());
  CHECK(std::get<RateReports>(decoded.assume_value()).reports_.front() == report);
}

// Guards against hosts of two releases that reject each other's messages: a new field must be
// accepted if it is missing, and must not be sent while it has its default value.
TEST_CASE("a trailing field may be missing and isn't sent while it has its default value",
          "[codec]")
{
  const auto pack = [](const nlohmann::json& aJson) {
    const auto bytes = nlohmann::json::to_msgpack(aJson);
    return std::string(bytes.begin(), bytes.end());
  };
  const PeerMessage query = FeedQuery{ 4, { { 0, 5 }, { 0, 6 } } };
  const std::string earlier = pack({ query.index(), { 4, { 5, 6 } } });
  CHECK(EncodePeerMessage(query) == earlier);
  CHECK(DecodePeerMessage(earlier).assume_value() == query);
  const PeerMessage raised = FeedQuery{ 4, { { 0, 5 }, { 2, 6 } } };
  CHECK(EncodePeerMessage(raised) == pack({ query.index(), { 4, { 5, 6, 0, 2 } } }));
  CHECK(DecodePeerMessage(pack({ query.index(), { 4, { 5 } } })).has_error());
  CHECK(DecodePeerMessage(pack({ query.index(), { 4, { 5, 6, 0, 2, 2, 2, 2 } } })).has_error());
}

// Guards against calls that older hosts reject, and against new hosts that reject theirs: the array
// of a call without waited time has the 13 fields that older hosts know.
TEST_CASE("the waited time of a call is sent only if there is one", "[codec]")
{
  Call call = SampleCall();
  const std::string without = EncodePeerMessage(call);
  CHECK(without[2] == static_cast<char>(0x9D));
  CHECK(std::get<Call>(DecodePeerMessage(without).assume_value()).waitedMs_ == 0);
  call.waitedMs_ = 700;
  const std::string with = EncodePeerMessage(call);
  CHECK(with[2] == static_cast<char>(0x9E));
  CHECK(std::get<Call>(DecodePeerMessage(with).assume_value()).waitedMs_ == 700);
  CHECK(DecodePeerMessage(without + with.substr(with.size() - 3)).has_error());
}

// Guards against a malformed body that crashes the process or makes it read outside the frame.
TEST_CASE("decoding a mutated body returns an error or a valid message and never throws", "[codec]")
{
  std::mt19937_64 random(20260104);
  std::size_t rejected = 0;
  for (int round = 0; round < 20000; ++round) {
    const auto samples = Samples();
    std::string body = EncodePeerMessage(samples[random() % samples.size()]);
    const int edits = 1 + static_cast<int>(random() % 4);
    for (int i = 0; i < edits && !body.empty(); ++i) {
      switch (random() % 4) {
        case 0:
          body[random() % body.size()] = static_cast<char>(random());
          break;
        case 1:
          body.resize(random() % body.size());
          break;
        case 2:
          body.insert(random() % body.size(), 1 + random() % 5, static_cast<char>(random()));
          break;
        default:
          body.erase(random() % body.size(), 1 + random() % 3);
          break;
      }
    }
    const auto decoded = DecodePeerMessage(body);
    if (decoded.has_error()) {
      ++rejected;
    } else {
      CHECK(DecodePeerMessage(EncodePeerMessage(decoded.assume_value())).assume_value() ==
            decoded.assume_value());
    }
  }
  CHECK(rejected > 10000);
}

// Guards against stack exhaustion by deep nesting and memory exhaustion by large array lengths.
TEST_CASE("bodies that are nested too deeply or state too large sizes are rejected", "[codec]")
{
  CHECK(DecodePeerMessage(std::string(1000, '\x91')).assume_error().code_ ==
        ErrorCode::kFrameNesting);
  CHECK(DecodePeerMessage(std::string(kMaxFrameBytes + 1, 'x')).assume_error().code_ ==
        ErrorCode::kFrameTooLarge);
  // An array header with a length of 2^32 - 1 elements.
  CHECK(DecodePeerMessage("\xdd\xff\xff\xff\xff").assume_error().code_ ==
        ErrorCode::kFrameTooLarge);
  CHECK(DecodePeerMessage("").has_error());
  const std::string body = EncodePeerMessage(Ping{ 1 });
  CHECK(DecodePeerMessage(body + "x").assume_error().code_ == ErrorCode::kFrameMalformed);
}

// Guards against NaN and infinity, which would corrupt averages and comparisons at the receiver.
TEST_CASE("NaN and infinity are rejected", "[codec]")
{
  ShareRequest request;
  request.used_ = std::numeric_limits<double>::quiet_NaN();
  CHECK(DecodePeerMessage(EncodePeerMessage(request)).has_error());
  request.used_ = std::numeric_limits<double>::infinity();
  CHECK(DecodePeerMessage(EncodePeerMessage(request)).has_error());
}

// Guards against frames that are cut or merged when the stream arrives in other chunks than it was
// sent in.
TEST_CASE("frames are read correctly however the stream is split", "[frames]")
{
  std::string stream;
  const auto samples = Samples();
  for (const auto& message : samples) {
    stream += FramePeerMessage(message);
  }
  std::mt19937_64 random(7);
  for (int round = 0; round < 50; ++round) {
    FrameReader reader;
    std::vector<PeerMessage> read;
    for (std::size_t offset = 0; offset < stream.size();) {
      const std::size_t size = 1 + random() % (round == 0 ? 1 : 300);
      reader.Add(std::string_view(stream).substr(offset, size));
      offset += size;
      while (true) {
        const auto body = reader.Next();
        REQUIRE(body.has_value());
        if (!body.assume_value()) {
          break;
        }
        read.push_back(DecodePeerMessage(*body.assume_value()).assume_value());
      }
    }
    CHECK(read == samples);
  }
}

// Guards against a peer that announces a frame of gigabytes and makes the receiver buffer it.
TEST_CASE("too large and empty frames are rejected once their length is read", "[frames]")
{
  FrameReader large;
  large.Add(std::string_view("\x00\x10\x00\x01", 4));
  CHECK(large.Next().assume_error().code_ == ErrorCode::kFrameTooLarge);
  FrameReader empty;
  empty.Add(std::string_view("\x00\x00\x00\x00", 4));
  CHECK(empty.Next().assume_error().code_ == ErrorCode::kFrameMalformed);
}
