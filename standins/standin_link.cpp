// Stand-in link process: one LinkRelay. Exits with status 0 on SIGTERM or SIGINT.
#include "standins/lib/LinkRelay.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>

ABSL_FLAG(int, port, 0, "TCP and UDP port on 127.0.0.1; 0: chosen by the kernel");
ABSL_FLAG(int,
          control_port,
          0,
          "port of the HTTP control interface on 127.0.0.1; 0: chosen by the kernel");
ABSL_FLAG(std::string, port_file, "", "JSON file that the bound ports are written to");
ABSL_FLAG(int, remote_port, 0, "port on 127.0.0.1 that connections and datagrams are forwarded to");
ABSL_FLAG(double, delay_ms, 0, "one-way delay in milliseconds");
ABSL_FLAG(uint64_t, bandwidth, 0, "bytes per second in each direction; 0: unlimited");

int main(int aCount, char** aArguments)
{
  using namespace peridotquay;
  using namespace peridotquay::standins;
  absl::ParseCommandLine(aCount, aArguments);
  LinkSettings settings;
  settings.listen_.port_ = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port));
  settings.control_.port_ = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_control_port));
  settings.remote_ = { "127.0.0.1", static_cast<std::uint16_t>(absl::GetFlag(FLAGS_remote_port)) };
  settings.faults_.delay_ = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(absl::GetFlag(FLAGS_delay_ms)));
  settings.faults_.bandwidth_ = absl::GetFlag(FLAGS_bandwidth);

  boost::asio::io_context context(1);
  const auto relay = std::make_shared<LinkRelay>(context, settings);
  const auto started = relay->Start();
  if (!started) {
    std::cerr << Describe(started.assume_error()) << "\n";
    return 1;
  }
  const std::string portFile = absl::GetFlag(FLAGS_port_file);
  if (!portFile.empty()) {
    const std::string temporary = portFile + ".tmp";
    std::ofstream(temporary) << nlohmann::json{ { "port", relay->Port() },
                                                { "control", relay->ControlPort() } }
                             << "\n";
    if (std::rename(temporary.c_str(), portFile.c_str()) != 0) {
      std::cerr << "cannot write the port file " << portFile << "\n";
      return 1;
    }
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto aFailure, int) {
    if (!aFailure) {
      relay->Stop();
      context.stop();
    }
  });
  context.run();
  return 0;
}
