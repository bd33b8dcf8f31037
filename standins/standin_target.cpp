// Stand-in target process: one TargetServer. Drains on SIGTERM or SIGINT and exits with status 0.
#include "standins/lib/TargetServer.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>

ABSL_FLAG(int, port, 0, "port on 127.0.0.1; 0: chosen by the kernel");
ABSL_FLAG(std::string, port_file, "", "JSON file that the bound port is written to");
ABSL_FLAG(std::string, name, "target", "prefix of the execution ids, unique in the fleet");
ABSL_FLAG(int, slots, 50, "max requests that run at the same time; more wait or are refused");
ABSL_FLAG(int, queue, 0, "max requests that wait for a slot; more are refused");
ABSL_FLAG(int, connections, 400, "max open connections");
ABSL_FLAG(double, service_ms, 10, "mean service time in milliseconds");
ABSL_FLAG(std::string, distribution, "fixed", "service times: fixed, exponential or lognormal");
ABSL_FLAG(uint64_t, seed, 1, "random seed of the service times");
ABSL_FLAG(double, cold_s, 0, "seconds in state cold after the start");
ABSL_FLAG(double, cold_factor, 3, "service time factor at the start; falls to 1 in cold_s");
ABSL_FLAG(int, outbound_port, 0, "port on 127.0.0.1 at which the node takes deeper calls; 0: none");
ABSL_FLAG(std::vector<std::string>,
          deeper,
          {},
          "paths that every request calls through outbound_port");
ABSL_FLAG(bool, parallel, false, "make the deeper calls at the same time");
ABSL_FLAG(double, report_lag_s, 0, "age of what /health and /load report, in seconds");

namespace {

peridotquay::Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<peridotquay::Duration>(std::chrono::duration<double>(aSeconds));
}

// Writes to a temporary file and renames it, so that a reader never sees a partial port file.
bool WritePortFile(const std::string& aFileName, std::uint16_t aPort)
{
  const std::string temporary = aFileName + ".tmp";
  std::ofstream(temporary) << nlohmann::json{ { "port", aPort } } << "\n";
  return std::rename(temporary.c_str(), aFileName.c_str()) == 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  using namespace peridotquay::standins;
  absl::ParseCommandLine(aCount, aArguments);
  TargetSettings settings;
  settings.listen_.port_ = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port));
  settings.name_ = absl::GetFlag(FLAGS_name);
  settings.slots_ = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_slots));
  settings.maxQueueLength_ = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_queue));
  settings.maxConnections_ = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_connections));
  settings.serviceTime_ = FromSeconds(absl::GetFlag(FLAGS_service_ms) / 1000);
  const auto serviceTimes = ParseServiceTimeDistribution(absl::GetFlag(FLAGS_distribution));
  if (!serviceTimes) {
    std::cerr << "--distribution must be fixed, exponential or lognormal\n";
    return 2;
  }
  settings.distribution_ = *serviceTimes;
  settings.seed_ = absl::GetFlag(FLAGS_seed);
  settings.coldPeriod_ = FromSeconds(absl::GetFlag(FLAGS_cold_s));
  settings.coldFactor_ = absl::GetFlag(FLAGS_cold_factor);
  if (absl::GetFlag(FLAGS_outbound_port) != 0) {
    settings.outbound_ = { "127.0.0.1",
                           static_cast<std::uint16_t>(absl::GetFlag(FLAGS_outbound_port)) };
  }
  settings.deeperPaths_ = absl::GetFlag(FLAGS_deeper);
  settings.parallelDeeperCalls_ = absl::GetFlag(FLAGS_parallel);
  settings.reportLag_ = FromSeconds(absl::GetFlag(FLAGS_report_lag_s));

  boost::asio::io_context context(1);
  const auto server = std::make_shared<TargetServer>(context, settings);
  const auto started = server->Start();
  if (!started) {
    std::cerr << peridotquay::Describe(started.assume_error()) << "\n";
    return 1;
  }
  const std::string portFile = absl::GetFlag(FLAGS_port_file);
  if (!portFile.empty() && !WritePortFile(portFile, server->Port())) {
    std::cerr << "cannot write the port file " << portFile << "\n";
    return 1;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto aFailure, int) {
    if (!aFailure) {
      server->Drain();
    }
  });
  // Ends once the server has closed all its sockets.
  context.run();
  return 0;
}
