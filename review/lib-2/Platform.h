// Stand-ins of the users' platform: the store with its copies, and the start and stop of processes.
#pragma once

#include "review/lib-2/Http.h"

#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <memory>
#include <signal.h>
#include <sstream>
#include <stdexcept>

namespace review {

using Json = nlohmann::json;

/// record.txt: what was sent, answered and run, with the time since the start.
class Record
{
public:
  explicit Record(const std::string& aFile)
    : file_(std::fopen(aFile.c_str(), "w"))
  {
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  ~Record() { std::fclose(file_); }

  __attribute__((format(printf, 2, 3))) void Line(const char* aFormat, ...)
  {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.3f ", Seconds());
    va_list arguments;
    va_start(arguments, aFormat);
    std::vfprintf(file_, aFormat, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }
  double Seconds() const { return std::chrono::duration<double>(Clock::now() - start_).count(); }

private:
  std::mutex mutex_;
  std::FILE* file_;
  Clock::time_point start_ = Clock::now();
};

inline std::string EncodeBase64(const std::string& aBytes)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const std::uint32_t byte =
        i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j]) : 0U;
      group = group << 8U | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > aBytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63U];
    }
  }
  return text;
}

/// The platform's store: tables of versioned rows. It states its era in all its answers.
class Store
{
public:
  explicit Store(const std::string& aIp)
    : server_({ aIp, 0 }, [this](Channel& aChannel, const Message& aRequest) {
      return OnCall(aChannel, aRequest);
    })
  {
  }

  const Endpoint& Address() const { return server_.Address(); }

  /// A write of the operator. Returns once it is acknowledged.
  void Put(const std::string& aTable, const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard lock(mutex_);
    content_.rows_[{ aTable, aKey }] = { EncodeBase64(aValue), ++content_.version_, false };
    changed_.notify_all();
  }

  /// Takes a copy of all rows.
  void TakeCopy()
  {
    const std::lock_guard lock(mutex_);
    copy_ = content_;
  }

  /// The store is away: channels end, and calls get 503.
  void GoAway()
  {
    {
      const std::lock_guard lock(mutex_);
      away_ = true;
      changed_.notify_all();
    }
    server_.ResetChannels();
  }

  /// The store is there again, if aFromCopy with the rows of the copy.
  void ComeBack(bool aFromCopy)
  {
    const std::lock_guard lock(mutex_);
    if (aFromCopy) {
      content_ = copy_;
      ++era_;
    }
    away_ = false;
    changed_.notify_all();
  }

  std::size_t RowCount(const std::string& aTable)
  {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(
      std::count_if(content_.rows_.begin(), content_.rows_.end(), [&](const auto& aEntry) {
        return aEntry.first.first == aTable && !aEntry.second.removed_;
      }));
  }

private:
  struct Row
  {
    std::string value_; ///< Base64.
    std::uint64_t version_ = 0;
    bool removed_ = false;
  };
  struct Content
  {
    std::map<std::pair<std::string, std::string>, Row> rows_; ///< By table and key; part is empty.
    std::uint64_t version_ = 0;
  };

  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    std::istringstream query(aTarget.substr(std::min(aTarget.find('?'), aTarget.size() - 1) + 1));
    for (std::string pair; std::getline(query, pair, '&');) {
      const std::size_t equals = pair.find('=');
      if (equals == std::string::npos || pair.substr(0, equals) != aName) {
        continue;
      }
      std::string value;
      for (std::size_t i = equals + 1; i < pair.size(); ++i) {
        if (pair[i] == '%' && i + 2 < pair.size()) {
          value += static_cast<char>(std::strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          value += pair[i];
        }
      }
      return value;
    }
    return {};
  }

  bool Answer(Channel& aChannel, int aStatus, Json aBody, std::uint64_t aEra)
  {
    aBody["now_ms"] = std::chrono::duration_cast<Ms>(Clock::now().time_since_epoch()).count();
    return aChannel.Write(
      Serialize("HTTP/1.1 " + std::to_string(aStatus) + " Status",
                { { "Content-Type", "application/json" }, { "Store-Era", std::to_string(aEra) } },
                aBody.dump()));
  }

  static Json RowJson(const std::pair<std::string, std::string>& aKey, const Row& aRow)
  {
    Json json = {
      { "table", aKey.first }, { "part", "" }, { "key", aKey.second }, { "ver", aRow.version_ }
    };
    if (aRow.removed_) {
      json["deleted"] = true;
    } else {
      json["value"] = aRow.value_;
    }
    return json;
  }

  bool OnCall(Channel& aChannel, const Message& aRequest)
  {
    std::this_thread::sleep_for(Ms(4));
    const std::string path = aRequest.target_.substr(0, aRequest.target_.find('?'));
    std::unique_lock lock(mutex_);
    if (away_) {
      const auto era = era_;
      lock.unlock();
      return Answer(aChannel, 503, Json::object(), era);
    }
    if (path == "/-/rows-get") {
      return Get(aChannel, aRequest.target_, lock);
    }
    if (path == "/-/rows-feed") {
      return Feed(aChannel, aRequest.target_, lock);
    }
    if (path == "/-/rows-tx") {
      return Transact(aChannel, aRequest.body_, lock);
    }
    const auto era = era_;
    lock.unlock();
    return Answer(aChannel, 404, Json::object(), era);
  }

  bool Get(Channel& aChannel, const std::string& aTarget, std::unique_lock<std::mutex>& aLock)
  {
    const std::string table = Query(aTarget, "table");
    const std::string from = Query(aTarget, "from");
    const std::string end = Query(aTarget, "target");
    const int limit = std::atoi(Query(aTarget, "limit").c_str());
    const std::size_t most = limit > 0 ? static_cast<std::size_t>(limit) : 500;
    Json rows = Json::array();
    bool hasMore = false;
    for (const auto& [key, row] : content_.rows_) {
      if (key.first != table || row.removed_ || key.second < from ||
          (!end.empty() && key.second >= end)) {
        continue;
      }
      if (rows.size() == most) {
        hasMore = true;
        break;
      }
      rows.push_back(RowJson(key, row));
    }
    const Json body = { { "rows", rows }, { "has_more", hasMore }, { "ver", content_.version_ } };
    const auto era = era_;
    aLock.unlock();
    return Answer(aChannel, 200, body, era);
  }

  bool Feed(Channel& aChannel, const std::string& aTarget, std::unique_lock<std::mutex>& aLock)
  {
    const std::string table = Query(aTarget, "table");
    const std::uint64_t after = std::strtoull(Query(aTarget, "after").c_str(), nullptr, 10);
    const auto end = Clock::now() + Ms(std::atoi(Query(aTarget, "wait_ms").c_str()));
    const auto era = era_;
    Json rows = Json::array();
    while (true) {
      if (away_ || era_ != era) {
        return false; // A channel to a store that went away ends.
      }
      if (after > content_.version_) {
        aLock.unlock();
        return Answer(aChannel, 410, Json::object(), era);
      }
      std::vector<std::pair<std::uint64_t, Json>> changes;
      for (const auto& [key, row] : content_.rows_) {
        if (key.first == table && row.version_ > after) {
          changes.emplace_back(row.version_, RowJson(key, row));
        }
      }
      std::sort(changes.begin(), changes.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.first < aRight.first;
      });
      for (auto& [version, row] : changes) {
        rows.push_back(std::move(row));
      }
      if (!rows.empty() || Clock::now() >= end) {
        break;
      }
      changed_.wait_until(aLock, std::min(end, Clock::now() + Ms(200)));
      if (aChannel.IsClosed()) {
        return false;
      }
    }
    const Json body = { { "rows", rows }, { "ver", content_.version_ } };
    aLock.unlock();
    return Answer(aChannel, 200, body, era);
  }

  bool Transact(Channel& aChannel, const std::string& aBody, std::unique_lock<std::mutex>& aLock)
  {
    const Json call = Json::parse(aBody);
    Json present = Json::array();
    bool holds = true;
    for (const auto& expected : call.value("expected", Json::array())) {
      const std::pair<std::string, std::string> key{ expected.at("table"), expected.at("key") };
      const auto row = content_.rows_.find(key);
      const bool exists = row != content_.rows_.end() && !row->second.removed_;
      holds = holds && (exists ? row->second.version_ : 0) == expected.at("ver");
      if (exists) {
        present.push_back(RowJson(key, row->second));
      }
    }
    const auto era = era_;
    const bool isOwnTable = [&] {
      for (const auto& write : call.value("writes", Json::array())) {
        if (write.at("table") == "op" || write.at("table") == "servers") {
          return false;
        }
      }
      return true;
    }();
    if (!isOwnTable) {
      aLock.unlock();
      return Answer(aChannel, 403, Json::object(), era);
    }
    if (!holds) {
      const Json body = { { "rows", present }, { "ver", content_.version_ } };
      aLock.unlock();
      return Answer(aChannel, 412, body, era);
    }
    ++content_.version_;
    for (const auto& write : call.value("writes", Json::array())) {
      content_.rows_[{ write.at("table"), write.at("key") }] = { write.at("value"),
                                                                 content_.version_,
                                                                 false };
    }
    for (const auto& removed : call.value("remove", Json::array())) {
      content_.rows_[{ removed.at("table"), removed.at("key") }] = { "", content_.version_, true };
    }
    const Json body = { { "ver", content_.version_ } };
    changed_.notify_all();
    aLock.unlock();
    return Answer(aChannel, 200, body, era);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  Content content_;
  Content copy_;
  std::uint64_t era_ = 1;
  bool away_ = false;
  Server server_; // The last member: its threads use the others.
};

/// A child process. Its standard output goes to a file.
class Process
{
public:
  Process(std::vector<std::string> aCommand,
          const std::vector<std::string>& aEnvironment,
          const std::string& aOutput)
  {
    std::vector<std::string> environment = aEnvironment;
    std::vector<char*> arguments;
    std::vector<char*> variables;
    for (auto& argument : aCommand) {
      arguments.push_back(argument.data());
    }
    for (auto& variable : environment) {
      variables.push_back(variable.data());
    }
    arguments.push_back(nullptr);
    variables.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ == 0) {
      // The process ends with the case, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int file = ::open(aOutput.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(file, 1);
      ::dup2(file, 2);
      ::execve(arguments[0], arguments.data(), variables.data());
      ::_exit(127);
    }
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() { Kill(); }

  void Signal(int aSignal) const
  {
    if (pid_ > 0) {
      ::kill(pid_, aSignal);
    }
  }
  void Kill()
  {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  /// Waits until the process has ended; false if it hasn't after aTime.
  bool Wait(Ms aTime)
  {
    const auto end = Clock::now() + aTime;
    while (pid_ > 0 && Clock::now() < end) {
      if (::waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = -1;
        break;
      }
      std::this_thread::sleep_for(Ms(5));
    }
    return pid_ <= 0;
  }
  /// Whether the process has ended by itself.
  bool HasEnded()
  {
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = -1;
    }
    return pid_ <= 0;
  }

private:
  pid_t pid_ = -1;
};

inline std::string ReadText(const std::string& aFile)
{
  std::ifstream stream(aFile);
  return { std::istreambuf_iterator<char>(stream), {} };
}

/// The bounds that the pages name for a small deployment.
inline const std::map<std::string, int>& Bounds()
{
  static const std::map<std::string, int> kBounds = { { "heartbeat_ms", 1500 },
                                                      { "bounds.grace_s", 6 },
                                                      { "bounds.revoke_ms", 5000 },
                                                      { "bounds.config_apply_ms", 2500 } };
  return kBounds;
}

/// One machine: its addresses, settings and process.
class Machine
{
public:
  Machine(std::string aName,
          std::string aZone,
          std::string aRegion,
          std::string aService,
          std::string aIp,
          const Endpoint& aStore,
          const std::string& aFolder)
    : name_(std::move(aName))
    , zone_(std::move(aZone))
    , region_(std::move(aRegion))
    , service_(std::move(aService))
    , ip_(std::move(aIp))
    , folder_(aFolder)
    , outbound_{ ip_, FreePort(ip_) }
    , ready_{ ip_, FreePort(ip_) }
    , control_{ ip_, FreePort(ip_) }
    , app_{ ip_, FreePort(ip_) }
    , store_(aStore)
  {
    for (const std::uint16_t port : { 7000, 7002, 7015 }) {
      Endpoint address{ ip_, port };
      const int descriptor = Bind(address);
      if (descriptor < 0) {
        std::fprintf(stderr, "port %u of %s is in use\n", port, ip_.c_str());
        std::exit(2);
      }
      ::close(descriptor);
    }
    ChangeSettings({});
  }

  /// Writes the settings file, with other values for some fields of the platform.
  void ChangeSettings(const std::map<std::string, std::string>& aValues) const
  {
    std::ofstream(SettingsFile()) << FillTemplate(aValues);
  }

  /// Starts the process with the command of the deploy file.
  void Start()
  {
    process_ = std::make_unique<Process>(
      std::vector<std::string>{ "target/quayd" },
      std::vector<std::string>{ "PERIDOTQUAY_CONFIG=" + SettingsFile(), "HOME=/tmp", "LANG=C" },
      folder_ + "/" + name_ + ".log");
  }
  int ReadyStatus() const { return Call(ready_, "GET", "/-/ready", {}, "", Ms(500)).status_; }
  Process& Program() { return *process_; }

  const std::string name_;
  const std::string zone_;
  const std::string region_;
  const std::string service_;
  const std::string ip_;
  const std::string folder_;
  const Endpoint outbound_;
  const Endpoint ready_;
  const Endpoint control_;
  const Endpoint app_;
  const Endpoint store_;

private:
  std::string SettingsFile() const { return folder_ + "/" + name_ + ".toml"; }

  std::string FillTemplate(const std::map<std::string, std::string>& aValues) const
  {
    std::map<std::string, std::string> values = { { "node_name", name_ },
                                                  { "zone", zone_ },
                                                  { "region", region_ },
                                                  { "service", service_ },
                                                  { "ip", ip_ },
                                                  { "app_addr", app_.Text() },
                                                  { "port_range.0", "7000" },
                                                  { "port_range.1", "7015" },
                                                  { "listen.outbound", outbound_.Text() },
                                                  { "listen.ready", ready_.Text() },
                                                  { "listen.control", control_.Text() },
                                                  { "platform.address", store_.Text() } };
    for (const auto& [name, value] : Bounds()) {
      values[name] = std::to_string(value);
    }
    for (const auto& [name, value] : aValues) {
      values[name] = value;
    }
    std::istringstream lines(ReadText("deploy/settings.toml.in"));
    std::string text;
    bool skips = false;
    for (std::string line; std::getline(lines, line);) {
      // Sections of the template are those of larger deployments.
      if (line.find("{{#") != std::string::npos) {
        skips = true;
      } else if (line.find("{{/") != std::string::npos) {
        skips = false;
      } else if (!skips) {
        for (const auto& [name, value] : values) {
          const std::string mark = "{{" + name + "}}";
          for (auto at = line.find(mark); at != std::string::npos; at = line.find(mark)) {
            line.replace(at, mark.size(), value);
          }
        }
        text += line + "\n";
      }
    }
    return text;
  }

  std::unique_ptr<Process> process_;
};

} // namespace review
