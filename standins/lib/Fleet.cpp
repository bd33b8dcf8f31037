// Starts and stops a deployment. Every wait is for a condition and has a timeout.
#include "standins/lib/Fleet.h"

#include "peridotquay/version/Config.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <signal.h>
#include <sstream>
#include <stdlib.h>
#include <thread>
#include <unistd.h>

namespace peridotquay::standins {

namespace {

constexpr Duration kPollInterval = milliseconds(10);

std::string AddressText(const Address& aAddress)
{
  return aAddress.ip_ + ":" + std::to_string(aAddress.port_);
}

// Sends a fault description to a stand-in. Errors: those of FetchHttp, kOutOfRange if it is
// rejected.
Result<void> PostFaults(const Address& aServer, const std::string& aPath, const std::string& aJson)
{
  const auto response = FetchHttp(aServer, { "POST", aPath, {}, aJson });
  if (!response) {
    return BOOST_OUTCOME_V2_NAMESPACE::failure(response.assume_error());
  }
  if (response.assume_value().status_ != 200) {
    return Fail(ErrorCode::kOutOfRange, aPath, response.assume_value().body_);
  }
  return Success();
}

} // namespace

Fleet::Fleet(FleetSettings aSettings)
  : settings_(std::move(aSettings))
{
  std::string name = (std::filesystem::temp_directory_path() / "quayload-XXXXXX").string();
  if (::mkdtemp(name.data()) != nullptr) {
    directory_ = name;
  }
}

Fleet::~Fleet()
{
  Stop();
  std::error_code ignored;
  if (!directory_.empty() && ::getenv("QUAYLOAD_KEEP") == nullptr) {
    std::filesystem::remove_all(directory_, ignored);
  }
}

std::string Fleet::ProgramPath(const std::string& aName) const
{
  return (std::filesystem::path(settings_.binaries_) / aName).string();
}

std::string Fleet::FilePath(const std::string& aName) const
{
  return directory_ + "/" + aName;
}

Result<std::string> Fleet::AwaitFile(const std::string& aName, FleetProcess& aProcess) const
{
  const TimePoint end = Clock::now() + settings_.timeout_;
  while (Clock::now() < end) {
    std::ifstream file(aName);
    std::stringstream text;
    text << file.rdbuf();
    if (nlohmann::json::accept(text.str())) {
      return text.str();
    }
    if (!aProcess.Alive()) {
      return Fail(ErrorCode::kNotFound, aName, "its process ended before writing it");
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return Fail(ErrorCode::kDeadlineExceeded, aName, "not written in time");
}

Result<void> Fleet::StartPlatform()
{
  BOOST_OUTCOME_TRY(process,
                    FleetProcess::Start({ ProgramPath("standin_platform"),
                                          "--port_file=" + FilePath("platform.json"),
                                          "--seed=" + std::to_string(settings_.seed_) },
                                        FilePath("platform.log")));
  platform_ = std::move(process);
  BOOST_OUTCOME_TRY(text, AwaitFile(FilePath("platform.json"), platform_));
  const auto json = nlohmann::json::parse(text);
  platformAddress_ = { "127.0.0.1",
                       json.is_number() ? json.get<std::uint16_t>()
                                        : json.at("port").get<std::uint16_t>() };
  return Success();
}

Result<void> Fleet::StartTarget(FleetHost& aHost)
{
  const FleetProfile& profile = settings_.profile_;
  const FleetService& service = profile.services_[aHost.service_];
  std::vector<std::string> command{
    ProgramPath("standin_target"),
    "--port_file=" + FilePath(aHost.name_ + "-target.json"),
    "--name=" + aHost.name_,
    "--slots=" + std::to_string(service.slots_),
    "--queue=" + std::to_string(service.connections_ - service.slots_),
    "--connections=" + std::to_string(service.connections_),
    "--service_ms=" + std::to_string(service.serviceTimeMs_),
    "--distribution=lognormal",
    "--seed=" + std::to_string(settings_.seed_ * 1000 + hosts_.size())
  };
  if (aHost.service_ + 1 < profile.services_.size()) {
    command.push_back("--deeper=/" + profile.services_[aHost.service_ + 1].name_ + "/work");
  }
  BOOST_OUTCOME_TRY(process, FleetProcess::Start(command, FilePath(aHost.name_ + "-target.log")));
  aHost.targetProcess_ = std::move(process);
  BOOST_OUTCOME_TRY(text, AwaitFile(FilePath(aHost.name_ + "-target.json"), aHost.targetProcess_));
  aHost.target_ = { "127.0.0.1", nlohmann::json::parse(text).at("port").get<std::uint16_t>() };
  if (settings_.links_) {
    BOOST_OUTCOME_TRY(
      link,
      FleetProcess::Start({ ProgramPath("standin_link"),
                            "--port_file=" + FilePath(aHost.name_ + "-link.json"),
                            "--remote_port=" + std::to_string(aHost.target_.port_) },
                          FilePath(aHost.name_ + "-link.log")));
    aHost.link_ = std::move(link);
    BOOST_OUTCOME_TRY(ports, AwaitFile(FilePath(aHost.name_ + "-link.json"), aHost.link_));
    const auto json = nlohmann::json::parse(ports);
    aHost.linkControl_ = { "127.0.0.1", json.at("control").get<std::uint16_t>() };
  }
  return Success();
}

Result<void> Fleet::StartNode(FleetHost& aHost, const std::vector<Address>& aSeeds)
{
  const FleetProfile& profile = settings_.profile_;
  const FleetService& service = profile.services_[aHost.service_];
  Address target = aHost.target_;
  if (settings_.links_) {
    std::ifstream file(FilePath(aHost.name_ + "-link.json"));
    target.port_ = nlohmann::json::parse(file).at("port").get<std::uint16_t>();
  }
  {
    std::ofstream file(FilePath(aHost.name_ + ".toml"));
    file << "host = \"" << aHost.name_ << "\"\ndata_centre = \""
         << profile.sites_[aHost.site_].dataCentre_ << "\"\nregion = \""
         << profile.sites_[aHost.site_].region_ << "\"\nservice = \"" << service.name_
         << "\"\ncallers = \"127.0.0.1:0\"\noutbound = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n"
         << "admin = \"127.0.0.1:0\"\ntarget = \"" << AddressText(target) << "\"\nseeds = [";
    const char* separator = "";
    for (const Address& seed : aSeeds) {
      file << separator << "\"" << AddressText(seed) << "\"";
      separator = ", ";
    }
    file << "]\nplatform = [\"" << AddressText(platformAddress_) << "\"]\nport_file = \""
         << FilePath(aHost.name_ + ".json") << "\"\ntarget_connections = " << service.connections_
         << "\nseed = " << settings_.seed_ + aHost.service_ * 100 + aHost.site_ + 1
         << "\nnaive = " << (settings_.naive_ ? "true" : "false") << "\n";
  }
  BOOST_OUTCOME_TRY(
    process,
    FleetProcess::Start({ ProgramPath("quayd"), "--config=" + FilePath(aHost.name_ + ".toml") },
                        FilePath(aHost.name_ + ".log")));
  aHost.node_ = std::move(process);
  return Success();
}

Result<void> Fleet::ReadNodeAddresses(FleetHost& aHost)
{
  BOOST_OUTCOME_TRY(text, AwaitFile(FilePath(aHost.name_ + ".json"), aHost.node_));
  const auto json = nlohmann::json::parse(text);
  const auto address = [&json](const char* aName) -> Address {
    const auto& value = json.at(aName);
    if (value.is_string()) {
      const auto full = value.get<std::string>();
      return { "127.0.0.1",
               static_cast<std::uint16_t>(std::stoi(full.substr(full.rfind(':') + 1))) };
    }
    return { "127.0.0.1", value.get<std::uint16_t>() };
  };
  aHost.callers_ = address("callers");
  aHost.outbound_ = address("outbound");
  aHost.peers_ = address("peers");
  aHost.admin_ = address("admin");
  return PostFaults(
    aHost.target_, "/faults", nlohmann::json{ { "outbound_port", aHost.outbound_.port_ } }.dump());
}

Result<void> Fleet::Start()
{
  for (const char* program : { "quayd", "quayctl", "standin_platform", "standin_target" }) {
    if (::access(ProgramPath(program).c_str(), X_OK) != 0) {
      return Fail(ErrorCode::kNotFound, ProgramPath(program), "missing or not executable");
    }
  }
  BOOST_OUTCOME_TRYV(StartPlatform());
  const FleetProfile& profile = settings_.profile_;
  for (std::size_t site = 0; site < profile.sites_.size(); ++site) {
    for (std::size_t service = 0; service < profile.services_.size(); ++service) {
      FleetHost host;
      host.name_ = profile.sites_[site].dataCentre_ + "-" + profile.services_[service].name_;
      host.site_ = site;
      host.service_ = service;
      BOOST_OUTCOME_TRYV(StartTarget(host));
      hosts_.push_back(std::move(host));
    }
  }
  // The other hosts of a data centre join through its first host. The first hosts join through the
  // first host of the first data centre.
  const std::size_t perSite = profile.services_.size();
  for (std::size_t i = 0; i < hosts_.size(); i += perSite) {
    BOOST_OUTCOME_TRYV(
      StartNode(hosts_[i], i == 0 ? std::vector<Address>{} : std::vector{ hosts_[0].peers_ }));
    BOOST_OUTCOME_TRYV(ReadNodeAddresses(hosts_[i]));
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (i % perSite != 0) {
      BOOST_OUTCOME_TRYV(StartNode(hosts_[i], { hosts_[i - i % perSite].peers_ }));
    }
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (i % perSite != 0) {
      BOOST_OUTCOME_TRYV(ReadNodeAddresses(hosts_[i]));
    }
  }
  const CommandResult applied = Apply(BaseConfiguration(profile));
  if (applied.status_ != 0) {
    return Fail(ErrorCode::kPlatformUnavailable,
                "quayctl apply, exit status " + std::to_string(applied.status_),
                applied.output_);
  }
  return AwaitServing();
}

Result<void> Fleet::AwaitServing()
{
  const FleetProfile& profile = settings_.profile_;
  const FleetClass* requestClass = nullptr;
  for (const FleetClass& candidate : profile.classes_) {
    if (requestClass == nullptr && candidate.repeatable_) {
      requestClass = &candidate;
    }
  }
  const TimePoint end = Clock::now() + settings_.timeout_;
  for (const FleetHost& host : hosts_) {
    std::string lastFailure;
    for (int successes = 0; successes < 2;) {
      if (Clock::now() > end) {
        return Fail(
          ErrorCode::kDeadlineExceeded, host.name_ + " does not serve requests", lastFailure);
      }
      const std::string requestPath =
        "/" + profile.services_.front().name_ + "/" + requestClass->name_;
      FetchRequest request{ "GET", requestPath, { { "Quay-Key", profile.accounts_[0].key_ } }, "" };
      request.timeout_ = seconds(5);
      const auto response = FetchHttp(host.callers_, request);
      const bool served = response && response.assume_value().status_ == 200;
      successes = served ? successes + 1 : 0;
      if (!served) {
        lastFailure = response ? response.assume_value().body_ : Describe(response.assume_error());
        std::this_thread::sleep_for(kPollInterval);
      }
    }
  }
  return Success();
}

std::size_t Fleet::Stop()
{
  std::size_t cleanExits = 0;
  for (FleetHost& host : hosts_) {
    host.node_.Signal(SIGCONT);
    host.targetProcess_.Signal(SIGCONT);
    host.node_.Signal(SIGTERM);
  }
  const TimePoint end = Clock::now() + seconds(10);
  for (FleetHost& host : hosts_) {
    const auto status = host.node_.Wait(std::max<Duration>(end - Clock::now(), Duration::zero()));
    cleanExits += !host.killed_ && status == 0 ? 1 : 0;
  }
  // The destructors of the processes kill those that still run.
  hosts_.clear();
  platform_ = FleetProcess();
  return cleanExits;
}

void Fleet::KillHost(std::size_t aHost)
{
  FleetHost& host = hosts_[aHost];
  host.killed_ = true;
  host.node_.Signal(SIGKILL);
  host.targetProcess_.Signal(SIGKILL);
  host.node_.Wait(seconds(5));
  host.targetProcess_.Wait(seconds(5));
}

void Fleet::SetHostPaused(std::size_t aHost, bool aPaused)
{
  hosts_[aHost].node_.Signal(aPaused ? SIGSTOP : SIGCONT);
  hosts_[aHost].targetProcess_.Signal(aPaused ? SIGSTOP : SIGCONT);
}

Result<void> Fleet::SetTargetFaults(std::size_t aHost, const std::string& aJson)
{
  return PostFaults(hosts_[aHost].target_, "/faults", aJson);
}

Result<void> Fleet::SetServiceFaults(std::size_t aService, const std::string& aJson)
{
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].service_ == aService && !hosts_[i].killed_) {
      BOOST_OUTCOME_TRYV(SetTargetFaults(i, aJson));
    }
  }
  return Success();
}

Result<void> Fleet::SetPlatformFaults(const std::string& aJson)
{
  return PostFaults(platformAddress_, "/faults", aJson);
}

Result<void> Fleet::SetLinkFaults(const std::string& aJson)
{
  for (const FleetHost& host : hosts_) {
    BOOST_OUTCOME_TRYV(PostFaults(host.linkControl_, "/link", aJson));
  }
  return Success();
}

CommandResult Fleet::RunQuayctl(std::vector<std::string> aArguments, Duration aTimeout)
{
  aArguments.insert(aArguments.begin(), ProgramPath("quayctl"));
  aArguments.push_back("--platform=" + AddressText(platformAddress_));
  const std::string output = FilePath("quayctl-" + std::to_string(++commandCount_) + ".log");
  CommandResult result;
  const TimePoint before = Clock::now();
  auto process = FleetProcess::Start(aArguments, output);
  if (!process) {
    result.output_ = Describe(process.assume_error());
    return result;
  }
  result.status_ = process.assume_value().Wait(aTimeout).value_or(-1);
  result.runSeconds_ = ToSeconds(Clock::now() - before);
  std::ifstream file(output);
  std::stringstream text;
  text << file.rdbuf();
  result.output_ = text.str();
  return result;
}

CommandResult Fleet::Apply(const std::string& aBase, bool aWait)
{
  const std::string folder = FilePath("configuration");
  std::filesystem::create_directories(folder);
  std::ofstream(folder + "/base.toml") << aBase;
  for (const FleetSite& site : settings_.profile_.sites_) {
    std::ofstream(folder + "/" + site.dataCentre_ + ".toml")
      << "data_centre = \"" << site.dataCentre_ << "\"\n";
  }
  std::vector<std::string> arguments{ "apply", folder, "--operator=quayload", "--against=latest" };
  if (aWait) {
    arguments.push_back("--wait");
  }
  return RunQuayctl(std::move(arguments));
}

CommandResult Fleet::WithdrawKey(const std::string& aKey)
{
  return RunQuayctl({ "keys", "withdraw", KeyDigest(aKey), "--operator=quayload", "--wait" });
}

std::vector<TargetExecution> Fleet::Executions() const
{
  std::vector<TargetExecution> all;
  for (const FleetHost& host : hosts_) {
    if (host.killed_) {
      continue;
    }
    FetchRequest request{ "GET", "/executions", {}, "" };
    request.timeout_ = seconds(20);
    const auto response = FetchHttp(host.target_, request);
    if (!response) {
      continue;
    }
    auto log = ParseExecutions(response.assume_value().body_);
    if (log) {
      all.insert(all.end(), log.assume_value().begin(), log.assume_value().end());
    }
  }
  return all;
}

std::string Fleet::Status(std::size_t aHost) const
{
  const auto response = FetchHttp(hosts_[aHost].admin_, { "GET", "/status", {}, "" });
  return response && response.assume_value().status_ == 200 ? response.assume_value().body_
                                                            : std::string();
}

} // namespace peridotquay::standins
