// Tests of the part of recent answers that are failures.
#include "peridotquay/request/FailureMeter.h"

#include <catch2/catch.hpp>

using namespace peridotquay;

namespace {

const TimePoint kStart{ seconds(100) };

} // namespace

// Guards against a target that is avoided for one failure, and against one that fails part of its
// requests and isn't found.
TEST_CASE("the failed part needs several answers", "[failures]")
{
  FailureMeter meter;
  RecordAnswer(meter, true, kStart);
  CHECK(FailedPercent(meter, kStart) == 0);
  for (int i = 0; i < 9; ++i) {
    RecordAnswer(meter, i % 2 == 0, kStart);
  }
  CHECK(FailedPercent(meter, kStart) == 60);
}

// Guards against old failures that count for a target that has recovered.
TEST_CASE("failures are forgotten", "[failures]")
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
  CHECK(FailedPercent(meter, now) < 20);
  CHECK(FailedPercent(meter, now + seconds(10)) == 0);
}
