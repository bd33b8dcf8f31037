// Stand-in link process: one relay with HTTP control. Ends on SIGTERM with status 0.
#include "standins/lib/LinkRelay.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>

ABSL_FLAG(int, port, 0, "TCP and UDP port on 127.0.0.1; 0 lets the kernel choose");
ABSL_FLAG(int, control_port, 0, "port of GET and POST /link on 127.0.0.1");
ABSL_FLAG(std::string, port_file, "", "JSON file that gets the bound ports");
ABSL_FLAG(int, remote_port, 0, "port on 127.0.0.1 that everything is passed on to");
ABSL_FLAG(double, delay_ms, 0, "one-way delay in milliseconds");
ABSL_FLAG(uint64_t, bandwidth, 0, "bytes a second in each direction; 0 for unlimited");

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
      std::cerr << "cannot write " << portFile << "\n";
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
