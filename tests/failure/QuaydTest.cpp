// Tests of the quayd program as a process.
#include "tests/connection/RawSocket.h"
#include "tests/failure/Process.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace peridotquay::testing;

namespace {

const std::string kProgram = std::string(PQ_BINARY_DIR) + "/quayd";
const std::string kValid = "host = \"h1\"\ndata_centre = \"dc1\"\nregion = \"r1\"\n"
                           "service = \"bell\"\ntarget = \"127.0.0.1:9\"\n";

struct Failure
{
  std::string text_;
  int exit_;
};

} // namespace

// Guards against two causes of failing to start that operators can't tell apart, and against a
// check that accepts what the start refuses.
TEST_CASE("each cause of failing to start has its exit code", "[quayd]")
{
  Directory directory;
  const std::string output = directory.File("output");
  RawListener taken;
  const std::vector<Failure> failures = {
    { kValid + "host = ", 4 },
    { kValid + "hots = \"x\"\n", 5 },
    { kValid + "seed = \"x\"\n", 6 },
    { kValid + "target_connections = 0\n", 7 },
    { "host = \"h1\"\n", 8 },
    { kValid + "callers = \"127.0.0.1:8\"\nadmin = \"127.0.0.1:8\"\n", 9 },
  };
  const std::string file = directory.File("settings.toml");
  for (const auto& failure : failures) {
    INFO(failure.text_);
    std::ofstream(file) << failure.text_;
    CHECK(Process({ kProgram, "--config", file, "--check-config" }, output).Wait() ==
          failure.exit_);
    CHECK(ReadFile(output).find(file) != std::string::npos);
    CHECK(Process({ kProgram, "--config", file }, output).Wait() == failure.exit_);
  }
  CHECK(Process({ kProgram }, output).Wait() == 1);
  CHECK(Process({ kProgram, "--config", file + ".absent" }, output).Wait() == 3);
  std::ofstream(file) << kValid << "peers = \"127.0.0.1:" << taken.Port() << "\"\n";
  CHECK(Process({ kProgram, "--config", file, "--check-config" }, output).Wait() == 0);
  CHECK(Process({ kProgram, "--config", file }, output).Wait() == 10);
  std::ofstream(file) << kValid << "port_file = \"/tmp/absent-directory/ports\"\n";
  CHECK(Process({ kProgram, "--config", file }, output).Wait() == 11);
}

// Guards against a process that ends with another status than 0 after a drain, or not at all.
TEST_CASE("SIGTERM drains and ends with status 0", "[quayd]")
{
  Directory directory;
  const std::string output = directory.File("output");
  const std::string ports = directory.File("ports");
  directory.File("ports.tmp");
  const std::string file =
    directory.Write("settings.toml", kValid + "port_file = \"" + ports + "\"\n");
  Process process({ kProgram, "--config", file }, output);
  for (int i = 0; i < 500 && ReadFile(ports).empty(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  const auto json = nlohmann::json::parse(ReadFile(ports));
  RawSocket admin(json["admin"].get<std::uint16_t>());
  admin.Write("GET /status HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(admin.ReadUntil("\r\n\r\n").substr(0, 12) == "HTTP/1.1 200");
  process.Signal(SIGTERM);
  CHECK(process.Wait() == 0);
  CHECK(ReadFile(output).find("NodeStopped reason=drained") != std::string::npos);
}
