// Tests of the fates of calls that run at most once.
#include "peridotquay/process/DeduplicationTable.h"

#include <catch2/catch.hpp>

using namespace peridotquay;

namespace {

CallKey Key(std::uint64_t aCall, Incarnation aIncarnation = 1)
{
  return { { "h" }, aIncarnation, aCall };
}

Answer Ended(Outcome aOutcome, std::size_t aBytes = 0)
{
  Answer answer;
  answer.outcome_ = aOutcome;
  answer.body_.assign(aBytes, 'x');
  return answer;
}

} // namespace

// Guards against a call that runs after its sender was told that it never arrived.
TEST_CASE("a call that was asked about before it arrived never runs", "[fate]")
{
  DeduplicationTable table;
  const TimePoint now = Clock::now();
  CHECK(QueryCallStatus(table, Key(1), now).fate_ == Fate::kNeverArrived);
  CHECK(QueryCallStatus(table, Key(1), now).fate_ == Fate::kNeverArrived);
  CHECK(RecordArrival(table, Key(1), now) == ArrivalDecision::kRefuse);
  CHECK(RecordArrival(table, Key(1, 2), now) == ArrivalDecision::kRun);
  ExpireCalls(table, now + seconds(60));
  CHECK(RecordArrival(table, Key(1), now + seconds(60)) == ArrivalDecision::kRefuse);
  // Even after the bar is dropped the call must not run.
  ExpireCalls(table, now + seconds(700));
  CHECK(RecordArrival(table, Key(1), now + seconds(700)) == ArrivalDecision::kDrop);
}

// Guards against a wrong fate for calls that did arrive.
TEST_CASE("fates follow the life of a call", "[fate]")
{
  DeduplicationTable table;
  const TimePoint now = Clock::now();
  for (std::uint64_t call = 1; call <= 3; ++call) {
    CHECK(RecordArrival(table, Key(call), now) == ArrivalDecision::kRun);
    CHECK(RecordArrival(table, Key(call), now) == ArrivalDecision::kDrop);
  }
  RecordAnswer(table, Key(1), Ended(Outcome::kRan, 5), now);
  RecordAnswer(table, Key(2), Ended(Outcome::kNotRun), now);
  const CallStatusResult done = QueryCallStatus(table, Key(1), now);
  CHECK(done.fate_ == Fate::kDone);
  REQUIRE(done.answer_.has_value());
  CHECK(done.answer_->body_ == "xxxxx");
  CHECK(QueryCallStatus(table, Key(2), now).fate_ == Fate::kRefused);
  CHECK(QueryCallStatus(table, Key(3), now).fate_ == Fate::kRunning);
  // After it was forgotten nothing may be claimed, above all not "never arrived".
  ExpireCalls(table, now + seconds(31));
  CHECK(QueryCallStatus(table, Key(1), now).fate_ == Fate::kForgotten);
  CHECK(RecordArrival(table, Key(2), now) == ArrivalDecision::kDrop);
  CHECK(QueryCallStatus(table, Key(3), now).fate_ == Fate::kRunning);
  CHECK(table.bytes_ == 0);
}

// Guards against a table that grows without bound or forgets calls that still run.
TEST_CASE("the table is bounded", "[fate]")
{
  DeduplicationTable table;
  TimePoint now = Clock::now();
  CHECK(RecordArrival(table, Key(1), now) == ArrivalDecision::kRun);
  for (std::uint64_t call = 2; call < 3 * kMaxFates; ++call) {
    now += microseconds(500);
    REQUIRE(RecordArrival(table, Key(call), now) == ArrivalDecision::kRun);
    RecordAnswer(table, Key(call), Ended(Outcome::kRan, 4096), now);
    REQUIRE(table.entries_.size() <= kMaxFates);
    REQUIRE(table.bytes_ <= kMaxFateBytes);
  }
  CHECK(QueryCallStatus(table, Key(1), now).fate_ == Fate::kRunning);
  // The body of the last answers found no room: the answer can't be given whole.
  CHECK(QueryCallStatus(table, Key(3 * kMaxFates - 1), now).fate_ == Fate::kForgotten);
}

// Guards against a full table that claims "never arrived" without being able to bar the call.
TEST_CASE("a full table of running calls refuses and claims nothing", "[fate]")
{
  DeduplicationTable table;
  const TimePoint now = Clock::now();
  for (std::uint64_t call = 1; call <= kMaxFates; ++call) {
    REQUIRE(RecordArrival(table, Key(call), now) == ArrivalDecision::kRun);
  }
  CHECK(RecordArrival(table, Key(kMaxFates + 1), now) == ArrivalDecision::kRefuse);
  CHECK(QueryCallStatus(table, Key(kMaxFates + 1), now).fate_ == Fate::kForgotten);
}
