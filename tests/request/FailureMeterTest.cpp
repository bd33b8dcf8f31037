// Tests of the failure fraction of recent answers.
#include "peridotquay/request/FailureMeter.h"

#include <catch2/catch.hpp>

using namespace peridotquay;

namespace {

const TimePoint kStart{ seconds(100) };

} // namespace

// Guards against avoiding a target after a single failure, and against not detecting one that fails
// a fraction of its requests.
TEST_CASE("the failure percentage is 0 until there are enough answers", "[failures]")
{
  FailureMeter meter;
  RecordAnswer(meter, true, kStart);
  CHECK(FailurePercent(meter, kStart) == 0);
  for (int i = 0; i < 9; ++i) {
    RecordAnswer(meter, i % 2 == 0, kStart);
  }
  CHECK(FailurePercent(meter, kStart) == 60);
}

// Guards against old failures that still count after the target recovered.
TEST_CASE("old failures stop counting", "[failures]")
{
  FailureMeter meter;
  for (int i = 0; i < 50; ++i) {
    RecordAnswer(meter, true, kStart);
  }
  TimePoint now = kStart;
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(100);
    RecordAnswer(meter, false, now);
  }
  CHECK(FailurePercent(meter, now) < 20);
  CHECK(FailurePercent(meter, now + seconds(10)) == 0);
}
