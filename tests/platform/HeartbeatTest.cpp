// Tests of leave messages and of late heartbeats from targets that left.
#include "platform/Heartbeat.h"

#include <catch2/catch.hpp>

using namespace peridotquay;
using namespace peridotquay::platform;

namespace {

const TimePoint kNow{ seconds(500) };
constexpr std::uint64_t kStartedMs = 1'700'000'000'000;

Heartbeat HeartbeatOf(const std::string& aId, std::uint64_t aStartedMs)
{
  Heartbeat heartbeat;
  heartbeat.targetId_ = aId;
  heartbeat.startedMs_ = aStartedMs;
  return heartbeat;
}

} // namespace

// Guards against new requests for a target that left. Its host had just restarted and didn't know
// it when the leave message arrived, so a late heartbeat looked like a new start.
TEST_CASE("a late heartbeat of a target that left is ignored", "[heartbeat]")
{
  DepartedTargets departed;
  RecordLeave(departed, "i-1", kStartedMs, kStartedMs + 9000, kNow);
  CHECK(HasLeft(departed, HeartbeatOf("i-1", kStartedMs), kNow + seconds(5)));
  CHECK_FALSE(HasLeft(departed, HeartbeatOf("i-2", kStartedMs), kNow + seconds(5)));
  // A leave message without a start time covers every start before it.
  RecordLeave(departed, "i-3", 0, kStartedMs + 9000, kNow);
  CHECK(HasLeft(departed, HeartbeatOf("i-3", kStartedMs), kNow + seconds(5)));
}

// Guards against a target that never gets requests because it reuses the id of one that left.
TEST_CASE("a later start may reuse the id of a target that left", "[heartbeat]")
{
  DepartedTargets departed;
  RecordLeave(departed, "i-1", kStartedMs, kStartedMs + 9000, kNow);
  CHECK_FALSE(HasLeft(departed, HeartbeatOf("i-1", kStartedMs + 1), kNow));
  RecordLeave(departed, "i-3", 0, kStartedMs + 9000, kNow);
  CHECK_FALSE(HasLeft(departed, HeartbeatOf("i-3", kStartedMs + 9500), kNow));
  CHECK(HasLeft(departed, HeartbeatOf("i-3", 0), kNow + seconds(5)));
  CHECK_FALSE(HasLeft(departed, HeartbeatOf("i-3", 0), kNow + seconds(11)));
}

// Guards against a leave message that has no effect because its body is malformed.
TEST_CASE("a malformed leave message counts as one without a start time", "[heartbeat]")
{
  CHECK(ParseLeaveStart(R"({"born":17})") == 17);
  CHECK(ParseLeaveStart(R"({"born":"17"})") == 0);
  CHECK(ParseLeaveStart("") == 0);
  CHECK(ParseLeaveStart("[1") == 0);
}

// Guards against a cold target that gets its full rate because what it states is lost.
TEST_CASE("a heartbeat states how long its target stays cold", "[heartbeat]")
{
  const auto remaining = [](const std::string& aMs) {
    const auto decoded = DecodeHeartbeat(
      "i-1",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v","capacity":5,)"
      R"("state":"ready","sequence":1,"cold_remaining_ms":)" +
        aMs + "}");
    REQUIRE(decoded.has_value());
    return decoded.assume_value().coldRemaining_;
  };
  CHECK(remaining("0") == Duration::zero());
  CHECK(remaining("2500.5") == milliseconds(2501));
  CHECK(remaining("1e300") == seconds(3600));
}
