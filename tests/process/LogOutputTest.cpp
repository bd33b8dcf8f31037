// Tests of the log output, the sampling of request lines, and traces.
#include "peridotquay/process/LogOutput.h"

#include "peridotquay/process/LogTrace.h"
#include "peridotquay/process/RequestLog.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <unistd.h>

using namespace peridotquay;

// Guards against a process that blocks because the reader of its log stopped reading.
TEST_CASE("a log reader that stops doesn't block the process", "[log]")
{
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  LogOutput output(ends[1], "h1");
  const std::string line(1000, 'x');
  const TimePoint start = Clock::now();
  for (int i = 0; i < 2000; ++i) {
    output.Append(line);
    output.Flush();
  }
  CHECK(Clock::now() - start < seconds(2));
  CHECK(output.Dropped() > 1000);
  // Once the reader continues, a line reports the number of dropped lines.
  std::string read;
  std::string chunk(65536, '\0');
  for (int i = 0; i < 100; ++i) {
    output.Flush();
    if (read.find("LogLinesDropped count=") != std::string::npos) {
      break;
    }
    const auto count = ::read(ends[0], chunk.data(), chunk.size());
    REQUIRE(count > 0);
    read.append(chunk, 0, static_cast<std::size_t>(count));
  }
  CHECK(read.find("host=h1 event=1007 name=LogLinesDropped count=") != std::string::npos);
  close(ends[0]);
  close(ends[1]);
}

// Guards against log volume that grows with the load, and against failures crowded out by
// successes.
TEST_CASE("request lines are limited and successes don't crowd out failures", "[log]")
{
  RequestLogState state;
  TimePoint now{ seconds(1000) };
  std::uint64_t leftOut = 0;
  std::size_t failures = 0;
  std::size_t successes = 0;
  std::uint64_t reported = 0;
  for (int second = 0; second < 10; ++second) {
    for (int i = 0; i < 1000; ++i) {
      now += milliseconds(1);
      const bool failed = i % 20 == 0;
      if (AllowRequestLine(state, std::to_string(second * 1000 + i), failed, now, leftOut)) {
        (failed ? failures : successes) += 1;
        reported += leftOut;
      }
    }
  }
  CHECK(failures == 500);
  CHECK(successes <= 10 * 2 * state.settings_.successesPerSecond_);
  CHECK(successes >= 100);
  CHECK(failures + successes + reported + state.leftOut_ == 10'000);
}

// Guards against hosts that sample different requests: a trace would then miss hosts on the path.
TEST_CASE("a busy host logs a subset of the requests that a quiet host logs", "[log]")
{
  RequestLogState busy;
  RequestLogState quiet;
  busy.hashThreshold_ = UINT32_MAX / 8;
  quiet.hashThreshold_ = UINT32_MAX / 2;
  const TimePoint now{ seconds(1000) };
  busy.secondStartedAt_ = now;
  quiet.secondStartedAt_ = now;
  busy.settings_.successesPerSecond_ = 1000;
  quiet.settings_.successesPerSecond_ = 1000;
  std::uint64_t leftOut = 0;
  std::size_t kept = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "request-" + std::to_string(i);
    const bool atBusy = AllowRequestLine(busy, id, false, now, leftOut);
    const bool atQuiet = AllowRequestLine(quiet, id, false, now, leftOut);
    CHECK((!atBusy || atQuiet));
    kept += atBusy ? 1 : 0;
  }
  CHECK(kept > 60);
}

// Guards against a trace with lines of other requests or in the wrong order.
TEST_CASE("a trace holds the lines of one request in order", "[log]")
{
  const std::string log = "collector> time=2026-01-01T00:00:02Z host=b event=2004 id=r1 ms=3\n"
                          "time=2026-01-01T00:00:01Z host=a event=2006 id=r1 ms=1\n"
                          "time=2026-01-01T00:00:00Z host=a event=2006 id=r10 ms=1\n"
                          "time=2026-01-01T00:00:00Z host=a event=3007 target=id=r1\n"
                          "no structure";
  CHECK(TraceLines(log, "r1") ==
        std::vector<std::string>{ "time=2026-01-01T00:00:01Z host=a event=2006 id=r1 ms=1",
                                  "time=2026-01-01T00:00:02Z host=b event=2004 id=r1 ms=3" });
  CHECK(TraceLines(log, "r2").empty());
}
