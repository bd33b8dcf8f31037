// Stand-ins of an application endpoint and of the clients of a machine.
#pragma once

#include "review/lib-2/Platform.h"

namespace review {

/// What an endpoint began to work on.
struct Run
{
  std::string id_;
  std::string tenant_;
  std::string instance_;
  Clock::time_point at_{};
};

/// All runs of all endpoints.
class Runs
{
public:
  void Add(Run aRun)
  {
    const std::lock_guard lock(mutex_);
    runs_.push_back(std::move(aRun));
  }
  std::vector<Run> All()
  {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

private:
  std::mutex mutex_;
  std::vector<Run> runs_;
};

/// An application endpoint beside a machine's process. It reports itself until it ends.
class App
{
public:
  App(const Machine& aMachine, std::string aId, Runs& aRuns, Record& aRecord, Ms aWork, int aSlots)
    : machine_(aMachine)
    , id_(std::move(aId))
    , runs_(aRuns)
    , record_(aRecord)
    , work_(aWork)
    , slots_(aSlots)
    , born_(
        std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count())
    , server_(aMachine.app_,
              [this](Channel& aChannel, const Message& aRequest) {
                return OnRequest(aChannel, aRequest);
              })
    , reporter_([this] { Report(); })
  {
  }
  App(const App&) = delete;
  App& operator=(const App&) = delete;
  ~App()
  {
    stopping_ = true;
    reporter_.join();
  }

  /// Sends a leave message and no more reports. It goes on serving. Returns the status of the ack.
  int Leave()
  {
    left_ = true;
    const Json body = { { "service", machine_.service_ }, { "born", born_ } };
    return Post("/-/Instances.Leave/" + id_, body);
  }
  /// The next report that the endpoint is ready, for a delivery that is late.
  Json MakeReport()
  {
    return { { "service", machine_.service_ },
             { "address", machine_.app_.Text() },
             { "zone", machine_.zone_ },
             { "version", "v1" },
             { "capacity", slots_ },
             { "state", "ready" },
             { "cold_remaining_ms", 0 },
             { "sequence", ++sequence_ },
             { "born", born_ } };
  }
  int Deliver(const Json& aReport) const { return Post("/-/Instances.Heartbeat/" + id_, aReport); }
  const std::string& Id() const { return id_; }

private:
  int Post(const std::string& aTarget, const Json& aBody) const
  {
    return Call(machine_.control_,
                "POST",
                aTarget,
                { { "Content-Type", "application/json" } },
                aBody.dump(),
                Ms(1000))
      .status_;
  }

  bool OnRequest(Channel& aChannel, const Message& aRequest)
  {
    const std::string load = std::to_string(running_) + ",0," + std::to_string(slots_);
    if (aRequest.target_ == "/health") {
      return aChannel.Write(
        Serialize("HTTP/1.1 200 OK", { { "X-Instance-Id", id_ }, { "X-Server-Load", load } }, ""));
    }
    const std::string id = aRequest.Header("x-request-id");
    const std::string expected = aRequest.Header("x-expected-instance");
    if (!expected.empty() && expected != id_) {
      return aChannel.Write(Serialize("HTTP/1.1 421 Misdirected Request",
                                      { { "X-Instance-Id", id_ }, { "X-Request-Id", id } },
                                      ""));
    }
    if (id.empty() || running_ >= slots_) {
      return aChannel.Write(
        Serialize(id.empty() ? "HTTP/1.1 400 Bad Request" : "HTTP/1.1 503 Service Unavailable",
                  { { "X-Not-Executed", "1" }, { "X-Request-Id", id } },
                  ""));
    }
    ++running_;
    runs_.Add({ id, aRequest.Header("x-tenant-id"), id_, Clock::now() });
    record_.Line("run      %s at %s, tenant %s",
                 id.c_str(),
                 id_.c_str(),
                 aRequest.Header("x-tenant-id").c_str());
    std::this_thread::sleep_for(work_);
    --running_;
    return aChannel.Write(Serialize("HTTP/1.1 200 OK",
                                    { { "X-Request-Id", id },
                                      { "X-Response-Signature", id_ + "." + id },
                                      { "X-Server-Load", load } },
                                    "answer to " + id));
  }

  void Report()
  {
    while (!stopping_) {
      if (!left_) {
        Deliver(MakeReport());
      }
      for (int i = 0; i < 150 && !stopping_; ++i) {
        std::this_thread::sleep_for(Ms(10));
      }
    }
  }

  const Machine& machine_;
  std::string id_;
  Runs& runs_;
  Record& record_;
  Ms work_;
  int slots_;
  long long born_;
  std::atomic<int> running_{ 0 };
  std::atomic<int> sequence_{ 0 };
  std::atomic<bool> left_{ false };
  std::atomic<bool> stopping_{ false };
  Server server_;
  std::thread reporter_;
};

/// A request as its client sent it.
struct Sent
{
  std::string id_;
  std::string key_;
  std::string machine_;
  Clock::time_point at_{};
  int status_ = 0; ///< 0: no complete answer.
};

/// Clients of one machine: they send one request after the other, with the keys in turn.
class Clients
{
public:
  /// aName is part of the ids of the requests.
  Clients(const Machine& aMachine,
          std::string aName,
          std::string aMethod,
          std::string aTarget,
          std::vector<std::string> aKeys,
          Ms aPause,
          Record& aRecord)
    : machine_(aMachine)
    , name_(std::move(aName))
    , method_(std::move(aMethod))
    , target_(std::move(aTarget))
    , keys_(std::move(aKeys))
    , pause_(aPause)
    , record_(aRecord)
    , thread_([this] { Send(); })
  {
  }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;
  ~Clients() { Stop(); }

  void Stop()
  {
    stopping_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  /// Valid after Stop.
  const std::vector<Sent>& All() const { return sent_; }

private:
  void Send()
  {
    for (std::size_t i = 0; !stopping_; ++i) {
      Sent sent{ machine_.name_ + "-" + name_ + "-" + std::to_string(i),
                 keys_[i % keys_.size()],
                 machine_.name_,
                 Clock::now(),
                 0 };
      const Message answer = Call(machine_.outbound_,
                                  method_,
                                  target_,
                                  { { "Host", "h.example" },
                                    { "X-Request-Id", sent.id_ },
                                    { "X-Deadline-Ms", "2000" },
                                    { "Authorization", "Token " + sent.key_ } },
                                  "",
                                  Ms(2000));
      sent.status_ = answer.status_;
      record_.Line("sent     %s with %s, %.0f ms ago: %d",
                   sent.id_.c_str(),
                   sent.key_.c_str(),
                   std::chrono::duration<double, std::milli>(Clock::now() - sent.at_).count(),
                   sent.status_);
      sent_.push_back(std::move(sent));
      std::this_thread::sleep_for(pause_);
    }
  }

  const Machine& machine_;
  std::string name_;
  std::string method_;
  std::string target_;
  std::vector<std::string> keys_;
  Ms pause_;
  Record& record_;
  std::atomic<bool> stopping_{ false };
  std::vector<Sent> sent_;
  std::thread thread_;
};

/// Waits until all machines are ready and known to the store; false after 20 s.
inline bool WaitReady(Store& aStore, const std::vector<std::unique_ptr<Machine>>& aMachines)
{
  for (int i = 0; i < 200; ++i) {
    const bool ready = aStore.RowCount("quay_hosts") == aMachines.size() &&
                       std::all_of(aMachines.begin(), aMachines.end(), [](const auto& aMachine) {
                         return aMachine->ReadyStatus() == 200;
                       });
    if (ready) {
      return true;
    }
    std::this_thread::sleep_for(Ms(100));
  }
  return false;
}

} // namespace review
