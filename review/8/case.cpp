// An endpoint leaves while the store is down, and its machine acknowledges that. The machine's
// process is killed and started again. A report that the endpoint sent before arrives late.
#include "review/lib-2/App.h"

using namespace review;

namespace {

std::string Document()
{
  const auto route = [](const char* aPrefix, const char* aKind) {
    return Json{ { "host", "h.example" }, { "prefix", aPrefix },        { "kind", aKind },
                 { "timeout_ms", 1500 },  { "latency_target_ms", 500 }, { "priority", 1 },
                 { "service", "s0" },     { "max_attempts", 2 },        { "public", false } };
  };
  const Json document = {
    { "version", "r1" },
    { "routes",
      { { "r-read", route("/read/", "safe") }, { "r-write", route("/write/", "unsafe") } } },
    { "services", { { "s0", { { "health_path", "/health" }, { "max_connections", 400 } } } } },
    { "limits",
      { { "max_header_bytes", 16384 },
        { "max_body_bytes", 65536 },
        { "header_timeout_ms", 3000 },
        { "idle_timeout_ms", 15000 } } },
    { "tenants", { { "t1", { { "api_keys", { "k1" } }, { "priority", 1 } } } } }
  };
  return document.dump();
}

void Sleep(int aMs)
{
  std::this_thread::sleep_for(Ms(aMs));
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    return 2;
  }
  const std::string folder = aArguments[2];
  const char* trouble = std::getenv("TROUBLE");
  const std::string mode = trouble == nullptr ? "1" : trouble;
  const bool isDown = mode == "1" || mode == "store";
  const bool isKilled = mode == "1" || mode == "kill";
  Record record(aArguments[1]);
  Runs runs;
  Store store("127.0.0.1");
  store.Put("op", "config", Document());

  std::vector<std::unique_ptr<Machine>> machines;
  std::vector<std::unique_ptr<App>> apps;
  const std::string net = "127." + std::to_string(10 + ::getpid() % 200) + ".0.";
  for (int i = 0; i < 4; ++i) {
    machines.push_back(std::make_unique<Machine>("sidecar-" + std::to_string(i),
                                                 i < 2 ? "zone-a" : "zone-b",
                                                 i < 2 ? "region-a" : "region-b",
                                                 "s0",
                                                 net + std::to_string(i + 1),
                                                 store.Address(),
                                                 folder));
    machines.back()->Start();
  }
  for (const auto& machine : machines) {
    apps.push_back(
      std::make_unique<App>(*machine, "i-" + machine->name_, runs, record, Ms(100), 50));
  }
  if (!WaitReady(store, machines)) {
    std::fprintf(stderr, "the machines weren't ready\n");
    return 2;
  }
  Sleep(2000);
  std::vector<std::unique_ptr<Clients>> clients;
  for (const auto& machine : machines) {
    for (int i = 0; i < 4; ++i) {
      clients.push_back(std::make_unique<Clients>(*machine,
                                                  std::to_string(i),
                                                  i % 2 == 0 ? "GET" : "POST",
                                                  i % 2 == 0 ? "/read/1" : "/write/1",
                                                  std::vector<std::string>{ "k1" },
                                                  Ms(50),
                                                  record));
    }
  }
  Sleep(3000);
  Machine& machine = *machines[1];
  std::unique_ptr<App>& leaving = apps[1];
  const std::string id = leaving->Id();
  if (isDown) {
    record.Line("store    goes down");
    store.GoAway();
  }
  Sleep(400);
  const Json lateReport = leaving->MakeReport();
  record.Line("endpoint %s sends a report, which is late", id.c_str());
  Sleep(100);
  const int status = leaving->Leave();
  const auto acknowledged = Clock::now();
  record.Line("endpoint %s leaves; %s answers %d", id.c_str(), machine.name_.c_str(), status);
  Sleep(500);
  if (isKilled) {
    record.Line("platform %s is killed", machine.name_.c_str());
    machine.Program().Kill();
  }
  Sleep(500);
  if (isKilled) {
    machine.Start();
    record.Line("platform %s is started again", machine.name_.c_str());
  }
  Sleep(500);
  if (isDown) {
    store.ComeBack(false);
    record.Line("store    is back");
  }
  const auto inTouchFrom = Clock::now() + Ms(3000);
  Sleep(2000);
  const int lateStatus = leaving->Deliver(lateReport);
  record.Line("endpoint the late report of %s arrives; %s answers %d",
              id.c_str(),
              machine.name_.c_str(),
              lateStatus);
  Sleep(4000);
  const auto ended = Clock::now();
  leaving.reset();
  record.Line("endpoint %s ends", id.c_str());
  Sleep(1000);
  std::map<std::string, Sent> sent;
  std::size_t served = 0;
  for (const auto& client : clients) {
    client->Stop();
    for (const auto& request : client->All()) {
      sent[request.id_] = request;
      served += request.status_ == 200 ? 1 : 0;
    }
  }
  std::size_t broken = 0;
  std::size_t lost = 0;
  for (const auto& run : runs.All()) {
    const auto request = sent.find(run.id_);
    if (request == sent.end() || run.instance_ != id) {
      continue;
    }
    // Both machines are in touch from here on: that of the client, and that of the endpoint.
    const double after = std::chrono::duration<double>(run.at_ - acknowledged).count();
    if (after > 2.5 && request->second.at_ > inTouchFrom) {
      ++broken;
      lost += request->second.status_ != 200 ? 1 : 0;
      record.Line("BROKEN   %s, sent at %s, reached %s %.3f s after the ack; answer %d",
                  run.id_.c_str(),
                  request->second.machine_.c_str(),
                  id.c_str(),
                  after,
                  request->second.status_);
    }
  }
  record.Line("result   %zu requests, %zu served, %zu reached %s too late, %zu of them not served; "
              "it ended %.3f s after the ack",
              sent.size(),
              served,
              broken,
              id.c_str(),
              lost,
              std::chrono::duration<double>(ended - acknowledged).count());
  std::printf(
    "%zu requests, %zu served, %zu broken, %zu of them lost\n", sent.size(), served, broken, lost);
  if (status != 200 || served < sent.size() / 4) {
    return 2;
  }
  return broken > 0 ? 1 : 0;
}
