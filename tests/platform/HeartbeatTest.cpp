// Tests of what is remembered of targets that left.
#include "platform/Heartbeat.h"

#include <catch2/catch.hpp>

using namespace peridotquay;
using namespace peridotquay::platform;

namespace {

const TimePoint kNow{ seconds(500) };
constexpr std::uint64_t kStarted = 1'700'000'000'000;

Heartbeat HeartbeatOf(const std::string& aId, std::uint64_t aStartedMs)
{
  Heartbeat heartbeat;
  heartbeat.targetId_ = aId;
  heartbeat.startedMs_ = aStartedMs;
  return heartbeat;
}

} // namespace

// Guards against new work for a target whose leave came just after its host was restarted: the host
// didn't know it, and a late heartbeat looked like a start.
TEST_CASE("a late heartbeat of a target that left is ignored", "[heartbeat]")
{
  LeftTargets left;
  NoteLeave(left, "i-1", kStarted, kStarted + 9000, kNow);
  CHECK(HasLeft(left, HeartbeatOf("i-1", kStarted), kNow + seconds(5)));
  CHECK_FALSE(HasLeft(left, HeartbeatOf("i-2", kStarted), kNow + seconds(5)));
  // Without a start in the leave, all that started before it left.
  NoteLeave(left, "i-3", 0, kStarted + 9000, kNow);
  CHECK(HasLeft(left, HeartbeatOf("i-3", kStarted), kNow + seconds(5)));
}

// Guards against a target that never gets work because it uses the id of one that left.
TEST_CASE("a later start may use the id again", "[heartbeat]")
{
  LeftTargets left;
  NoteLeave(left, "i-1", kStarted, kStarted + 9000, kNow);
  CHECK_FALSE(HasLeft(left, HeartbeatOf("i-1", kStarted + 1), kNow));
  NoteLeave(left, "i-3", 0, kStarted + 9000, kNow);
  CHECK_FALSE(HasLeft(left, HeartbeatOf("i-3", kStarted + 9500), kNow));
  CHECK(HasLeft(left, HeartbeatOf("i-3", 0), kNow + seconds(5)));
  CHECK_FALSE(HasLeft(left, HeartbeatOf("i-3", 0), kNow + seconds(11)));
}

// Guards against a leave with a malformed body that isn't taken.
TEST_CASE("a leave states its start or none", "[heartbeat]")
{
  CHECK(StartOfLeave(R"({"born":17})") == 17);
  CHECK(StartOfLeave(R"({"born":"17"})") == 0);
  CHECK(StartOfLeave("") == 0);
  CHECK(StartOfLeave("[1") == 0);
}
