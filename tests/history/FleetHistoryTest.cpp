// Runs whole fleets under faults and checks the history of executions that the targets recorded.
#include "tests/failure/Process.h"

#include <catch2/catch.hpp>

using namespace peridotquay::testing;

namespace {

// Includes the start and the shutdown of the fleet.
constexpr int kMaxRunSeconds = 90;

/// Returns the exit code of quayload: 0 if every property holds, 3 if one is violated.
int RunScenario(const std::string& aScenario, int aSeed)
{
  TemporaryDirectory directory;
  Process process({ PQ_BINARY_DIR "/quayload",
                    "run",
                    "--scenario=" + aScenario,
                    "--seed=" + std::to_string(aSeed) },
                  directory.FilePath("output"));
  return process.Wait(kMaxRunSeconds);
}

} // namespace

// Guards against a violated property of the history (an id that ran twice, a false "not run", a key
// that reached a target, a wrong response, too many attempts) when a host is killed.
// tests/standins/HistoryTest.cpp injects violations to show that the checks detect them.
TEST_CASE("every history property holds when a host is killed", "[fleet]")
{
  CHECK(RunScenario("kill-host", 1) == 0);
}

// Guards against a violated property of the history when a host is paused for longer than its
// leases last and then resumes.
TEST_CASE("every history property holds when a host is paused and resumes", "[fleet]")
{
  CHECK(RunScenario("freeze-host", 2) == 0);
}

// Guards against a withdrawn key that is still accepted on an open connection of a caller.
TEST_CASE("every history property holds when a key is withdrawn", "[fleet]")
{
  CHECK(RunScenario("key-withdrawn", 3) == 0);
}
