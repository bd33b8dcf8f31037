// Tests of the duplicate suppression for calls that must run at most once.
#include "peridotquay/process/DeduplicationTable.h"

#include <catch2/catch.hpp>

using namespace peridotquay;

namespace {

CallKey Key(std::uint64_t aCall, Incarnation aIncarnation = 1)
{
  return { { "h" }, aIncarnation, aCall };
}

Answer MakeAnswer(Outcome aOutcome, std::size_t aBodyBytes = 0)
{
  Answer answer;
  answer.outcome_ = aOutcome;
  answer.body_.assign(aBodyBytes, 'x');
  return answer;
}

} // namespace

// Guards against running a call after its sender was told that it never arrived: the call was
// delayed in a lost connection and arrives after the status query.
TEST_CASE("a call that was queried before it arrived never runs", "[fate]")
{
  DeduplicationTable table;
  const TimePoint now = Clock::now();
  CHECK(QueryCallStatus(table, Key(1), now).callStatus_ == CallStatus::kNeverArrived);
  CHECK(QueryCallStatus(table, Key(1), now).callStatus_ == CallStatus::kNeverArrived);
  CHECK(RecordArrival(table, Key(1), now) == ArrivalDecision::kRefuse);
  CHECK(RecordArrival(table, Key(1, 2), now) == ArrivalDecision::kRun);
  ExpireCalls(table, now + seconds(60));
  CHECK(RecordArrival(table, Key(1), now + seconds(60)) == ArrivalDecision::kRefuse);
  // The call must not run after its tombstone has expired either.
  ExpireCalls(table, now + seconds(700));
  CHECK(RecordArrival(table, Key(1), now + seconds(700)) == ArrivalDecision::kDrop);
}

// Guards against a wrong status of calls that arrived, which would make a sender repeat a call that
// ran.
TEST_CASE("the status of a call follows its arrival, answer and eviction", "[fate]")
{
  DeduplicationTable table;
  const TimePoint now = Clock::now();
  for (std::uint64_t call = 1; call <= 3; ++call) {
    CHECK(RecordArrival(table, Key(call), now) == ArrivalDecision::kRun);
    CHECK(RecordArrival(table, Key(call), now) == ArrivalDecision::kDrop);
  }
  RecordAnswer(table, Key(1), MakeAnswer(Outcome::kRan, 5), now);
  RecordAnswer(table, Key(2), MakeAnswer(Outcome::kNotRun), now);
  const CallStatusResult done = QueryCallStatus(table, Key(1), now);
  CHECK(done.callStatus_ == CallStatus::kDone);
  REQUIRE(done.answer_.has_value());
  CHECK(done.answer_->body_ == "xxxxx");
  CHECK(QueryCallStatus(table, Key(2), now).callStatus_ == CallStatus::kRefused);
  CHECK(QueryCallStatus(table, Key(3), now).callStatus_ == CallStatus::kRunning);
  // After its eviction the status is unknown; "never arrived" would be false.
  ExpireCalls(table, now + seconds(31));
  CHECK(QueryCallStatus(table, Key(1), now).callStatus_ == CallStatus::kUnknown);
  CHECK(RecordArrival(table, Key(2), now) == ArrivalDecision::kDrop);
  CHECK(QueryCallStatus(table, Key(3), now).callStatus_ == CallStatus::kRunning);
  CHECK(table.answerBytes_ == 0);
}

// Guards against unbounded memory use and against the eviction of calls that still run.
TEST_CASE("the table is bounded and keeps running calls", "[fate]")
{
  DeduplicationTable table;
  TimePoint now = Clock::now();
  CHECK(RecordArrival(table, Key(1), now) == ArrivalDecision::kRun);
  for (std::uint64_t call = 2; call < 3 * kMaxDeduplicationEntries; ++call) {
    now += microseconds(500);
    REQUIRE(RecordArrival(table, Key(call), now) == ArrivalDecision::kRun);
    RecordAnswer(table, Key(call), MakeAnswer(Outcome::kRan, 4096), now);
    REQUIRE(table.entries_.size() <= kMaxDeduplicationEntries);
    REQUIRE(table.answerBytes_ <= kMaxKeptAnswerBytes);
  }
  CHECK(QueryCallStatus(table, Key(1), now).callStatus_ == CallStatus::kRunning);
  // There was no room for the body of the last answer, so no complete answer can be returned.
  CHECK(QueryCallStatus(table, Key(3 * kMaxDeduplicationEntries - 1), now).callStatus_ ==
        CallStatus::kUnknown);
}

// Guards against reporting "never arrived" without room for the tombstone, so that the call could
// still run.
TEST_CASE("a table full of running calls refuses new ones and reports an unknown status", "[fate]")
{
  DeduplicationTable table;
  const TimePoint now = Clock::now();
  for (std::uint64_t call = 1; call <= kMaxDeduplicationEntries; ++call) {
    REQUIRE(RecordArrival(table, Key(call), now) == ArrivalDecision::kRun);
  }
  CHECK(RecordArrival(table, Key(kMaxDeduplicationEntries + 1), now) == ArrivalDecision::kRefuse);
  CHECK(QueryCallStatus(table, Key(kMaxDeduplicationEntries + 1), now).callStatus_ ==
        CallStatus::kUnknown);
}
