// Platform stand-in process: table service and object store over HTTP, in memory, with faults.
#include "peridotquay/process/Error.h"

#include "standins/lib/PlatformServer.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>

ABSL_FLAG(std::string, ip, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(std::uint16_t, port, 0, "port to listen on; 0: chosen by the kernel");
ABSL_FLAG(std::string, port_file, "", "file that the bound port is written to");
ABSL_FLAG(double, writes_per_second, 0, "max writes per second; 0: no limit");
ABSL_FLAG(double, reads_per_second, 0, "max reads per second; 0: no limit");
ABSL_FLAG(std::uint32_t, delay_ms, 0, "delay of each request in milliseconds");
ABSL_FLAG(std::string, outage, "none", "initial outage: none, refuse or silent");
ABSL_FLAG(double, lose_answers, 0, "fraction of writes that take effect and get no answer, 0 to 1");
ABSL_FLAG(std::uint64_t, seed, 1, "random seed that decides which answers are lost");

using namespace peridotquay;

namespace {

/// Writes to a temporary file and renames it, so that a reader never sees a partial port file.
bool WritePortFile(const std::string& aFileName, std::uint16_t aPort)
{
  if (aFileName.empty()) {
    return true;
  }
  const auto temporary = aFileName + ".part";
  std::ofstream(temporary) << aPort << "\n";
  return std::rename(temporary.c_str(), aFileName.c_str()) == 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage("Stand-in of the platform. Faults at run time: POST /faults.");
  absl::ParseCommandLine(aCount, aArguments);
  PlatformServer::Settings settings;
  settings.listen_ = { absl::GetFlag(FLAGS_ip), absl::GetFlag(FLAGS_port) };
  settings.seed_ = absl::GetFlag(FLAGS_seed);
  settings.faults_.maxWritesPerSecond_ = absl::GetFlag(FLAGS_writes_per_second);
  settings.faults_.maxReadsPerSecond_ = absl::GetFlag(FLAGS_reads_per_second);
  settings.faults_.delayMs_ = absl::GetFlag(FLAGS_delay_ms);
  settings.faults_.lostAnswerFraction_ = absl::GetFlag(FLAGS_lose_answers);
  const auto outage = "{\"outage\":\"" + absl::GetFlag(FLAGS_outage) + "\"}";
  const auto updated = UpdatePlatformFaults(settings.faults_, outage);
  if (updated.has_error()) {
    std::cerr << Describe(updated.assume_error()) << "\n";
    return 2;
  }
  // Signals are blocked before the server's thread starts, so that only sigwait receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  auto server = PlatformServer::Start(settings);
  if (server.has_error()) {
    std::cerr << Describe(server.assume_error()) << "\n";
    return 1;
  }
  const auto bound = server.assume_value()->BoundAddress();
  if (!WritePortFile(absl::GetFlag(FLAGS_port_file), bound.port_)) {
    std::cerr << "cannot write the port file " << absl::GetFlag(FLAGS_port_file) << "\n";
    return 1;
  }
  std::cerr << "platform stand-in listens on " << bound.ip_ << ":" << bound.port_ << "\n";
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}
