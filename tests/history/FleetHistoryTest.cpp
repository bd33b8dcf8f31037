// Runs of a whole fleet under faults, judged by the executions that the targets recorded.
#include "tests/failure/Process.h"

#include <catch2/catch.hpp>

using namespace peridotquay::testing;

namespace {

// Longest run of a scenario with the start and the end of its fleet.
constexpr int kRunSeconds = 90;

/// Status of quayload: 0 if the history holds, 3 if a property is broken.
int RunScenario(const std::string& aScenario, int aSeed)
{
  Directory directory;
  Process process({ PQ_BINARY_DIR "/quayload",
                    "run",
                    "--scenario=" + aScenario,
                    "--seed=" + std::to_string(aSeed) },
                  directory.File("output"));
  return process.Wait(kRunSeconds);
}

} // namespace

// Guards against a broken property of a history (an id that ran twice, a false "not run", a key at
// a target, a wrong answer, too many attempts) when a host is killed. That the checks can fail is
// shown by the planted faults in tests/standins/HistoryTest.cpp.
TEST_CASE("the history holds when a host is killed", "[fleet]")
{
  CHECK(RunScenario("kill-host", 1) == 0);
}

// Guards against the same when a host is paused beyond its leases and goes on.
TEST_CASE("the history holds when a host is paused and goes on", "[fleet]")
{
  CHECK(RunScenario("freeze-host", 2) == 0);
}

// Guards against a withdrawn key that still works at a connected caller.
TEST_CASE("the history holds when a key is withdrawn", "[fleet]")
{
  CHECK(RunScenario("key-withdrawn", 3) == 0);
}
