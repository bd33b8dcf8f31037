// Measures the memory, processor time and traffic that the control plane costs one node, by role
// and fleet size, with the real modules and synthetic peers. The tables of docs/CAPACITY.md are
// derived from its output.
#include "peridotquay/connection/PeerCodec.h"
#include "peridotquay/process/MakeControlPlane.h"
#include "peridotquay/process/ShareLease.h"
#include "peridotquay/version/ConfigCompiler.h"
#include "peridotquay/version/Dissemination.h"
#include "peridotquay/version/Membership.h"
#include "peridotquay/version/MembershipRank.h"

#include "tests/version/ControlNetwork.h"

#include <sys/resource.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <map>
#include <new>
#include <string>
#include <thread>
#include <time.h>
#include <unistd.h>
#include <vector>

namespace {

std::atomic<std::size_t> liveBytes{ 0 };

} // namespace

// These operators count the allocated bytes, including the rounding of the allocator.
void* operator new(std::size_t aSize)
{
  void* memory = std::malloc(aSize);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  liveBytes += malloc_usable_size(memory);
  return memory;
}

void operator delete(void* aMemory) noexcept
{
  if (aMemory != nullptr) {
    liveBytes -= malloc_usable_size(aMemory);
  }
  std::free(aMemory);
}

void operator delete(void* aMemory, std::size_t) noexcept
{
  operator delete(aMemory);
}

namespace peridotquay {

namespace {

// Bytes on the wire in addition to a message: IP and UDP headers for a datagram; IP and TCP headers
// with time stamps, and the frame length, for a stream.
constexpr std::size_t kDatagramOverheadBytes = 28;
constexpr std::size_t kFrameOverheadBytes = 56;

double CpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// A fleet whose data centres all have the same size.
struct Fleet
{
  const char* name_;
  std::size_t dataCentres_;
  std::size_t members_; ///< In each data centre.
};

constexpr Fleet kFleets[] = { { "16", 4, 4 }, { "200", 4, 50 }, { "19,000", 13, 1460 } };

MemberEntry MakeEntry(std::size_t aDataCentre, std::size_t aMember)
{
  MemberEntry entry;
  entry.host_.value_ = "dc" + std::to_string(aDataCentre) + "-host-" + std::to_string(aMember);
  entry.incarnation_ = 1764829000000 + aMember;
  entry.peer_ = { "10." + std::to_string(aDataCentre) + "." + std::to_string(aMember / 250) + "." +
                    std::to_string(aMember % 250),
                  7000 };
  entry.dataCentre_.value_ = "dc" + std::to_string(aDataCentre);
  entry.region_.value_ = "region" + std::to_string(aDataCentre % 5);
  entry.service_.value_ = "service-" + std::to_string(aMember % 1500);
  entry.targetState_ = TargetState::kReady;
  entry.slots_ = 50;
  entry.load_ = 0.25;
  return entry;
}

struct Traffic
{
  double messages_ = 0;
  double bytes_ = 0;
};

using TrafficByKind = std::map<std::string, Traffic>;

const char* KindName(const PeerMessage& aMessage)
{
  static constexpr const char* kNames[] = {
    "Hello",       "Call",         "Answer",      "Cancel",      "CallFate",
    "FateReply",   "OwnerCall",    "Ping",        "Ack",         "Probe",
    "ProbeAck",    "ProbeRequest", "MemberTable", "SyncRequest", "SyncReply",
    "VersionPush", "ShareRequest", "ShareGrant",  "Summary",     "RequestHandover"
  };
  return kNames[aMessage.index()];
}

void CountMessage(TrafficByKind& aTraffic, const PeerMessage& aMessage, bool aDatagram)
{
  auto& traffic = aTraffic[KindName(aMessage)];
  ++traffic.messages_;
  traffic.bytes_ += static_cast<double>(EncodePeerMessage(aMessage).size() +
                                        (aDatagram ? kDatagramOverheadBytes : kFrameOverheadBytes));
}

// One real node in the first data centre, with synthetic peers that respond immediately.
class SimulatedNode
{
public:
  SimulatedNode(const Fleet& aFleet, std::size_t aPosition)
    : fleet_(aFleet)
  {
    // Selects the host at position aPosition of the push tree.
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    for (std::size_t i = 0; i < aFleet.members_; ++i) {
      order.emplace_back(~RankWeight(kDelegateRole, { "dc0" }, MakeEntry(0, i).host_), i);
    }
    std::sort(order.begin(), order.end());
    const auto self = order[std::min(aPosition, order.size() - 1)].second;
    const auto before = liveBytes.load();
    membership_ = MakeMembership({}, MakeEntry(0, self), {}, 1, now_);
    std::vector<MemberEntry> entries;
    for (std::size_t i = 0; i < aFleet.members_; ++i) {
      entries.push_back(MakeEntry(0, i));
    }
    // Fills the table up to its maximum with members of other data centres.
    for (std::size_t i = 0; i < aFleet.members_; ++i) {
      for (std::size_t centre = 1; centre < aFleet.dataCentres_; ++centre) {
        if (entries.size() < membership_.settings_.maxMembers_) {
          entries.push_back(MakeEntry(centre, i));
        }
      }
    }
    memberTableBytes_ =
      EncodePeerMessage(MemberTable{ true, entries }).size() + kFrameOverheadBytes;
    antiEntropySeconds_ = std::max(ToSeconds(membership_.settings_.antiEntropyInterval_),
                                   ToSeconds(membership_.settings_.antiEntropyIntervalPerMember_) *
                                     static_cast<double>(entries.size()));
    MembershipEffects ignored;
    HandleMembershipMessage(
      membership_, {}, MemberTable{ false, std::move(entries) }, now_, ignored);
    // Discards the updates of the initial join, as in a fleet where they have already spread.
    membership_.updates_.clear();
    membership_.sendsLeft_.clear();
    entries = {};
    ignored = {};
    memberBytes_ = liveBytes - before;
    const auto beforeRanking = liveBytes.load();
    ranking_ = std::make_shared<const MemberRanking>(MakeMemberRanking(membership_));
    rankingBytes_ = liveBytes - beforeRanking;
    const auto beforeView = liveBytes.load();
    auto view = std::make_shared<const TargetView>(MakeTargetView(membership_));
    viewBytes_ = liveBytes - beforeView;
    dissemination_ = MakeDissemination({}, { "dc0" }, 1, now_);
    SetRanking(dissemination_, ranking_, now_);
    position_ = aPosition;
  }

  // Measures aSeconds of simulated time in an idle fleet.
  void Run(std::size_t aSeconds)
  {
    // Excludes the start, when whole tables are compared often and a new delegate sends summaries
    // of all members.
    Advance(5);
    for (auto& [id, centre] : membership_.centres_) {
      centre.pendingMembers_.clear();
      centre.pendingMemberSet_.clear();
    }
    membership_.nextAntiEntropyAt_ = now_ + std::chrono::hours(1);
    sent_.clear();
    received_.clear();
    cpuSeconds_ = 0;
    platformReads_ = 0;
    platformWrites_ = 0;
    Advance(aSeconds);
  }

  void Advance(std::size_t aSeconds)
  {
    simulatedSeconds_ = static_cast<double>(aSeconds);
    for (std::size_t step = 0; step < aSeconds * 10; ++step) {
      now_ += milliseconds(100);
      const auto started = CpuSeconds();
      MembershipEffects effects;
      StepMembership(membership_, now_, effects);
      DisseminationEffects disseminationEffects;
      StepDissemination(dissemination_, now_, 0, disseminationEffects);
      cpuSeconds_ += CpuSeconds() - started;
      HandleEffects(effects);
      HandleEffects(disseminationEffects);
      if (step % 10 == 5) {
        ReceivePeriodicMessages();
      }
    }
  }

  double MeasureRebuildSeconds()
  {
    const auto started = CpuSeconds();
    const auto view = MakeTargetView(membership_);
    const auto ranking = MakeMemberRanking(membership_);
    return CpuSeconds() - started;
  }

  Fleet fleet_;
  TimePoint now_{ seconds(100000) };
  Membership membership_;
  Dissemination dissemination_;
  std::shared_ptr<const MemberRanking> ranking_;
  TrafficByKind sent_;
  TrafficByKind received_;
  std::size_t memberTableBytes_ = 0; ///< One anti-entropy exchange, in each direction.
  double antiEntropySeconds_ = 0;    ///< Interval between two exchanges.
  std::size_t memberBytes_ = 0;
  std::size_t rankingBytes_ = 0;
  std::size_t viewBytes_ = 0;
  std::size_t position_ = 0; ///< In the push tree, from 0 for the root.
  double simulatedSeconds_ = 0;
  double cpuSeconds_ = 0;
  double platformReads_ = 0;
  double platformWrites_ = 0;

private:
  // Counts a message that the node sends and the processor time to encode it.
  void RecordSent(const ControlMessage& aMessage)
  {
    const auto started = CpuSeconds();
    const auto body = EncodePeerMessage(aMessage.message_);
    cpuSeconds_ += CpuSeconds() - started;
    CountMessage(sent_, aMessage.message_, aMessage.datagram_);
  }

  void HandleReceived(const MemberEntry& aFrom, const PeerMessage& aMessage, bool aDatagram)
  {
    CountMessage(received_, aMessage, aDatagram);
    const auto body = EncodePeerMessage(aMessage);
    const Hello hello{ 1, aFrom.host_, aFrom.incarnation_, aFrom.dataCentre_ };
    const auto started = CpuSeconds();
    const auto decoded = DecodePeerMessage(body);
    MembershipEffects effects;
    HandleMembershipMessage(membership_, aFrom.peer_, decoded.assume_value(), now_, effects);
    DisseminationEffects disseminationEffects;
    HandleVersionMessage(
      dissemination_, hello, aFrom.peer_, decoded.assume_value(), now_, disseminationEffects);
    cpuSeconds_ += CpuSeconds() - started;
    HandleEffects(effects);
    HandleEffects(disseminationEffects);
  }

  void HandleEffects(MembershipEffects& aEffects)
  {
    for (const auto& message : aEffects.messages_) {
      RecordSent(message);
      if (const auto* probe = std::get_if<Probe>(&message.message_)) {
        for (const auto& [host, member] : membership_.members_) {
          if (member.entry_.peer_ == message.to_) {
            const auto entry = member.entry_;
            HandleReceived(entry, ProbeAck{ probe->sequence_, entry, {} }, true);
            break;
          }
        }
      }
    }
    for (auto& message : aEffects.summaries_) {
      FillSummary(dissemination_, std::get<DataCentreSummary>(message.message_), now_);
      RecordSent(message);
    }
  }

  void HandleEffects(DisseminationEffects& aEffects)
  {
    for (const auto& message : aEffects.messages_) {
      RecordSent(message);
      if (const auto* sync = std::get_if<SyncRequest>(&message.message_)) {
        SyncReply reply;
        reply.nonce_ = sync->nonce_;
        reply.version_ = dissemination_.version_;
        reply.ageMs_ = 300;
        HandleReceived(membership_.self_, reply, false);
      }
    }
    if (aEffects.call_) {
      PlatformAnswer answer;
      answer.startedAt_ = now_;
      answer.finishedAt_ = now_;
      std::holds_alternative<TransactCall>(*aEffects.call_) ? ++platformWrites_ : ++platformReads_;
      const auto started = CpuSeconds();
      DisseminationEffects effects;
      HandlePlatformAnswer(dissemination_, answer, now_, effects);
      cpuSeconds_ += CpuSeconds() - started;
      HandleEffects(effects);
    }
  }

  // Delivers the messages that a node receives every second: a probe, sync requests of its children
  // in the push tree and, to delegates, summaries of the other data centres.
  void ReceivePeriodicMessages()
  {
    const auto& members = ranking_->members_;
    if (members.size() > 1) {
      const auto prober = membership_.members_.begin()->second.entry_;
      HandleReceived(prober, Probe{ 1, prober, {} }, true);
    }
    for (const auto child : TreeChildren(position_, members.size(), 8)) {
      auto entry = membership_.self_;
      entry.host_ = members[child].host_;
      HandleReceived(
        entry, SyncRequest{ 1, dissemination_.version_, dissemination_.version_, 8, {} }, false);
    }
    if (position_ < 2) {
      for (std::size_t centre = 1; centre < fleet_.dataCentres_; ++centre) {
        DataCentreSummary summary;
        summary.dataCentre_.value_ = "dc" + std::to_string(centre);
        summary.platformReachable_ = true;
        summary.members_ = { MakeEntry(centre, 0), MakeEntry(centre, 1), MakeEntry(centre, 2) };
        HandleReceived(MakeEntry(centre, 0), summary, false);
      }
    }
  }
};

void PrintTraffic(const char* aDirection, const TrafficByKind& aTraffic, double aSeconds)
{
  double messages = 0;
  double bytes = 0;
  for (const auto& [kind, traffic] : aTraffic) {
    std::printf("    %-8s %-13s %8.3f messages/s %9.1f bytes/s\n",
                aDirection,
                kind.c_str(),
                traffic.messages_ / aSeconds,
                traffic.bytes_ / aSeconds);
    messages += traffic.messages_ / aSeconds;
    bytes += traffic.bytes_ / aSeconds;
  }
  std::printf(
    "    %-8s %-13s %8.3f messages/s %9.1f bytes/s\n", aDirection, "all", messages, bytes);
}

void MeasureRoles()
{
  constexpr std::size_t kSeconds = 60;
  struct Role
  {
    const char* name_;
    std::size_t position_;
  };
  constexpr Role kRoles[] = { { "first delegate (root)", 0 },
                              { "second delegate", 1 },
                              { "inner node", 2 },
                              { "leaf", 1'000'000 } };
  std::printf("== quiet node by role, %zu simulated seconds\n", kSeconds);
  for (const auto& fleet : kFleets) {
    for (const auto& role : kRoles) {
      SimulatedNode simulatedNode(fleet, std::min(role.position_, fleet.members_ - 1));
      simulatedNode.Run(kSeconds);
      std::printf("  fleet %s, %s: membership %zu B for %zu members, ranking %zu B, view %zu B; "
                  "modules and codec %.4f %% of a core; view and ranking rebuilt in %.3f ms; "
                  "platform reads %.2f/s writes %.2f/s; a table comparison of %zu B each way "
                  "every %.0f s\n",
                  fleet.name_,
                  role.name_,
                  simulatedNode.memberBytes_,
                  simulatedNode.membership_.members_.size(),
                  simulatedNode.rankingBytes_,
                  simulatedNode.viewBytes_,
                  simulatedNode.cpuSeconds_ / simulatedNode.simulatedSeconds_ * 100,
                  simulatedNode.MeasureRebuildSeconds() * 1000,
                  simulatedNode.platformReads_ / simulatedNode.simulatedSeconds_,
                  simulatedNode.platformWrites_ / simulatedNode.simulatedSeconds_,
                  simulatedNode.memberTableBytes_,
                  simulatedNode.antiEntropySeconds_);
      PrintTraffic("sent", simulatedNode.sent_, simulatedNode.simulatedSeconds_);
      PrintTraffic("received", simulatedNode.received_, simulatedNode.simulatedSeconds_);
    }
  }
}

Entities MakeEntities(std::size_t aAccounts, std::size_t aRoutes)
{
  Entities entities;
  for (std::size_t i = 0; i < aAccounts; ++i) {
    const auto id = "account-" + std::to_string(i);
    entities["account/" + id] = R"({"burst":20,"rate":10})";
    char digest[65];
    std::snprintf(digest, sizeof digest, "%064zx", i + 1);
    entities[std::string("key/") + digest] = R"({"account":")" + id + "\"}";
  }
  for (std::size_t i = 0; i < aRoutes; ++i) {
    const auto id = std::to_string(i);
    entities["service/service-" + id] = "{}";
    entities["route/route-" + id] =
      R"({"prefix":"/s)" + id + R"(","service":"service-)" + id + "\"}";
  }
  return entities;
}

void MeasureChanges()
{
  std::printf("== configuration: one change applied and compiled\n");
  constexpr std::size_t kSizes[][2] = { { 8, 4 }, { 200, 50 }, { 1000, 375 }, { 4096, 1500 } };
  for (const auto& size : kSizes) {
    const auto before = liveBytes.load();
    auto entities = MakeEntities(size[0], size[1]);
    const auto entityBytes = liveBytes - before;
    std::size_t textBytes = 0;
    for (const auto& [name, json] : entities) {
      textBytes += name.size() + json.size();
    }
    const auto beforeConfig = liveBytes.load();
    ConfigCache cache;
    auto config = CompileConfig(cache, entities, { "dc0" }, 1);
    const auto configBytes = liveBytes - beforeConfig;
    if (config.has_error()) {
      std::printf("  compile failed: %s\n", Describe(config.assume_error()).c_str());
      continue;
    }
    constexpr int kChangeCount = 20;
    const auto started = CpuSeconds();
    for (int i = 0; i < kChangeCount; ++i) {
      ConfigChange change;
      change.version_ = static_cast<Version>(i) + 2;
      change.edits_ = { { "account/account-0",
                          R"({"burst":20,"rate":)" + std::to_string(10 + i) + "}" } };
      static_cast<void>(ApplyChange(entities, change));
      MarkEntitiesChanged(cache, change.edits_);
      config = CompileConfig(cache, entities, { "dc0" }, change.version_);
    }
    const auto secondsPerChange = (CpuSeconds() - started) / kChangeCount;
    std::printf("  %zu accounts, %zu routes: %zu entities, %zu B of text, %zu B as entities, %zu B "
                "compiled; %.3f ms for each change, %.3f us for each entity; at 1.16 changes/s "
                "%.3f %% of a core\n",
                size[0],
                size[1],
                entities.size(),
                textBytes,
                entityBytes,
                configBytes,
                secondsPerChange * 1000,
                secondsPerChange * 1e6 / static_cast<double>(entities.size()),
                secondsPerChange * 1.16 * 100);
  }
}

void MeasurePush()
{
  std::printf("== push tree\n");
  VersionPush push{ { "dc0-host-1" }, { {} } };
  push.changes_[0].edits_ = { { "account/account-0", R"({"burst":20,"rate":10})" } };
  push.changes_[0].operationId_ = std::string(32, 'a');
  push.changes_[0].operatorName_ = "operator";
  const auto bytes = EncodePeerMessage(push).size() + kFrameOverheadBytes;
  for (const auto& fleet : kFleets) {
    std::size_t depth = 0;
    for (std::size_t position = fleet.members_ - 1; position > 0; position = (position - 1) / 8) {
      ++depth;
    }
    MemberRanking ranking;
    for (std::size_t i = 0; i < fleet.members_; ++i) {
      ranking.members_.push_back({ MakeEntry(0, i).host_, {} });
    }
    const auto started = CpuSeconds();
    constexpr int kOrderCount = 50;
    std::size_t sum = 0;
    for (int i = 0; i < kOrderCount; ++i) {
      sum += PushOrder(ranking, static_cast<Version>(i), 8).size();
    }
    const auto secondsPerOrder = (CpuSeconds() - started) / kOrderCount;
    std::printf("  %zu members: depth %zu hops, %zu B for a push with one edit, order computed in "
                "%.1f us (%zu)\n",
                fleet.members_,
                depth,
                bytes,
                secondsPerOrder * 1e6,
                sum / kOrderCount);
  }
}

void MeasureShares()
{
  std::printf("== shares\n");
  const auto now = TimePoint{ seconds(100000) };
  for (const std::size_t accounts : { std::size_t{ 8 }, std::size_t{ 200 }, std::size_t{ 4096 } }) {
    const auto before = liveBytes.load();
    ShareLedger ledger;
    std::vector<ClientAccountId> ids;
    for (std::size_t i = 0; i < accounts; ++i) {
      ids.push_back({ "account-" + std::to_string(i) });
    }
    const auto beforeLedger = liveBytes.load();
    for (const auto& id : ids) {
      SetShareLimit(ledger, id, { 1000, 1000 }, now);
    }
    const auto ledgerBytes = liveBytes - beforeLedger;
    SharePool pool;
    const auto beforePool = liveBytes.load();
    for (const auto& id : ids) {
      PoolEntry entry{ 13, 192, 7, {} };
      for (std::size_t centre = 0; centre < 13; ++centre) {
        entry.shares_[{ "dc" + std::to_string(centre) }] = { 192, 576 };
      }
      entry.free_ = kShareUnits - 13 * 768;
      pool[id] = entry;
    }
    const auto poolBytes = liveBytes - beforePool;
    const auto started = CpuSeconds();
    const auto row = EncodeSharePool(pool);
    const auto decoded = DecodeSharePool(row);
    const auto rowSeconds = CpuSeconds() - started;
    constexpr int kRequestCount = 200'000;
    auto requestTime = now + seconds(2);
    const auto grantsStarted = CpuSeconds();
    std::uint64_t lastGrantId = 0;
    for (int i = 0; i < kRequestCount; ++i) {
      requestTime += microseconds(20);
      const auto& id = ids[static_cast<std::size_t>(i) % accounts];
      lastGrantId =
        GrantTokens(ledger, { "h" }, { 1, id, 0, 0, 3 }, kMaxGrantLifetime, requestTime).grant_;
    }
    const auto grantSeconds = (CpuSeconds() - grantsStarted) / kRequestCount;
    std::printf(
      "  %zu accounts: ledger %zu B, pool %zu B in memory, row %zu B, row written and read "
      "in %.2f ms, %.2f us for each request (last grant %llu, %zu B)\n",
      accounts,
      ledgerBytes,
      poolBytes,
      row.size(),
      rowSeconds * 1000,
      grantSeconds * 1e6,
      static_cast<unsigned long long>(lastGrantId),
      liveBytes - before);
  }
  const ShareRequest request{ 1ULL << 60U, { "account-1000" }, 123456, 4, 5 };
  const ShareGrant grant{ 1ULL << 60U, { "account-1000" }, 123457, 5, 1000, 0 };
  constexpr int kCodecRounds = 100'000;
  const auto started = CpuSeconds();
  std::size_t bytes = 0;
  for (int i = 0; i < kCodecRounds; ++i) {
    bytes += EncodePeerMessage(request).size();
    bytes += DecodePeerMessage(EncodePeerMessage(grant)).has_value() ? 1U : 0U;
  }
  std::printf(
    "  request %zu B and grant %zu B on the wire, %.2f us to encode and decode both (%zu)\n",
    EncodePeerMessage(request).size() + kFrameOverheadBytes,
    EncodePeerMessage(grant).size() + kFrameOverheadBytes,
    (CpuSeconds() - started) / kCodecRounds * 1e6,
    bytes);
}

double ProcessCpuSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto sum = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) + static_cast<double>(aTime.tv_usec) * 1e-6;
  };
  return sum(usage.ru_utime) + sum(usage.ru_stime);
}

std::size_t ResidentBytes()
{
  std::size_t pages = 0;
  std::size_t resident = 0;
  std::FILE* file = std::fopen("/proc/self/statm", "r");
  if (file != nullptr) {
    if (std::fscanf(file, "%zu %zu", &pages, &resident) != 2) {
      resident = 0;
    }
    std::fclose(file);
  }
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

// Measures one control plane with its actors and timers, without peers or platform, in real time.
void MeasureIdle()
{
  const auto residentBefore = ResidentBytes();
  DataPlaneCallbacks callbacks;
  callbacks.sendPeer_ = [](const Address&, PeerMessage) {};
  callbacks.sendDatagram_ = [](const Address&, PeerMessage) {};
  callbacks.publishConfig_ = [](std::shared_ptr<const Config>) {};
  callbacks.publishTargets_ = [](std::shared_ptr<const TargetView>) {};
  callbacks.publishFreshness_ = [](TimePoint) {};
  callbacks.deliverGrant_ = [](ShareGrant, TimePoint) {};
  NodeSettings settings;
  settings.host_.value_ = "host";
  settings.dataCentre_.value_ = "dc0";
  settings.peers_ = { "127.0.0.1", 7000 };
  const auto controlPlane = MakeControlPlane(settings, 1, callbacks);
  std::this_thread::sleep_for(seconds(1));
  const auto started = ProcessCpuSeconds();
  std::this_thread::sleep_for(seconds(10));
  std::printf("== idle control plane: %.3f %% of a core, %zu B resident more than before\n",
              (ProcessCpuSeconds() - started) / 10 * 100,
              ResidentBytes() - residentBefore);
}

// Measures the seconds until no running node lists any of the stopped nodes as usable.
void MeasureDetection()
{
  std::printf("== detection in a simulated data centre\n");
  for (const auto& [nodes, stopped] :
       { std::pair<std::size_t, std::size_t>{ 16, 1 }, { 200, 1 }, { 200, 40 } }) {
    ControlNetwork network({ nodes, 1 });
    network.AcceptRateChange(5);
    network.Run(seconds(60));
    for (std::size_t i = 0; i < stopped; ++i) {
      network.Stop(nodes - 1 - i);
    }
    double firstDeathSeconds = 0;
    double allKnownSeconds = 0;
    for (int tick = 1; tick <= 1200 && allKnownSeconds == 0; ++tick) {
      network.Run(milliseconds(100));
      std::size_t updatedNodes = 0;
      for (const auto& node : network.nodes_) {
        if (!node.stopped_ && MakeTargetView(node.membership_).hosts_.size() == nodes - stopped) {
          ++updatedNodes;
        }
      }
      if (firstDeathSeconds == 0 && network.CountSeeing(nodes - 1, MemberState::kDead) > 0) {
        firstDeathSeconds = tick / 10.0;
      }
      if (updatedNodes == nodes - stopped) {
        allKnownSeconds = tick / 10.0;
      }
    }
    std::printf(
      "  %zu of %zu hosts stop: first death declared after %.1f s, all known at all after "
      "%.1f s\n",
      stopped,
      nodes,
      firstDeathSeconds,
      allKnownSeconds);
  }
}

} // namespace

} // namespace peridotquay

int main()
{
  peridotquay::MeasureIdle();
  peridotquay::MeasureRoles();
  peridotquay::MeasureChanges();
  peridotquay::MeasurePush();
  peridotquay::MeasureShares();
  peridotquay::MeasureDetection();
  return 0;
}
