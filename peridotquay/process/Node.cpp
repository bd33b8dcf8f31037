// Assembles a node and routes peer messages.
#include "peridotquay/process/Node.h"

#include "peridotquay/connection/Datagram.h"
#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/HttpFront.h"
#include "peridotquay/connection/PeerHub.h"
#include "peridotquay/process/DeduplicationTable.h"
#include "peridotquay/process/Dispatcher.h"
#include "peridotquay/process/Events.h"
#include "peridotquay/process/Guard.h"
#include "peridotquay/process/LogOutput.h"
#include "peridotquay/process/Metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <map>
#include <tuple>
#include <utility>

namespace peridotquay {

namespace {

constexpr Duration kPollInterval = seconds(1);
constexpr Duration kHousekeepingInterval = milliseconds(100);
constexpr Duration kDrainCheck = milliseconds(10);

// After announcing 'left' the process stays this long, so that the announcement and the handed-over
// records get out.
constexpr Duration kLeaveDelay = milliseconds(300);

// Ports tried when TCP and UDP don't get the same kernel-chosen one.
constexpr int kPortAttempts = 50;

constexpr std::array<std::string_view, 4> kTargetStates = { "cold", "ready", "draining", "left" };

Incarnation WallMilliseconds()
{
  return static_cast<Incarnation>(
    std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count());
}

// Rank of a host as successor of another; the same at every node.
std::uint64_t Rank(const HostId& aLeaving, const HostId& aCandidate)
{
  std::uint64_t hash = 1469598103934665603ULL;
  for (const char character : aLeaving.value_ + "/" + aCandidate.value_) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
  }
  return hash;
}

} // namespace

struct Node::State
{
  // Where the answer of a peer's call goes.
  struct PeerCall
  {
    std::uint64_t link_ = 0;
    std::uint64_t guardCall_ = 0;
    std::optional<CallKey> callStatus_; ///< Set if the call must run at most once.
  };

  NodeSettings settings_;
  const HttpDialect& dialect_;
  Incarnation incarnation_ = 0;
  EventLoop loop_;
  Metrics metrics_;
  std::unique_ptr<PeerHub> hub_;
  std::unique_ptr<Datagram> datagram_;
  std::unique_ptr<Guard> guard_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::unique_ptr<HttpFront> callers_;
  std::unique_ptr<HttpFront> outbound_;
  std::unique_ptr<HttpFront> admin_;
  std::unique_ptr<ControlPlane> control_;
  DeduplicationTable fates_;
  std::map<std::uint64_t, PeerCall> peerCalls_; ///< By an own number.
  /// Numbers in peerCalls_, by link and call id.
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> byLink_;
  std::uint64_t nextPeerCall_ = 1;
  TimePoint started_{};
  TimePoint drainStarted_{};
  bool draining_ = false;
  bool accepting_ = true; ///< New requests of callers are taken.
  bool leaving_ = false;

  State(const NodeSettings& aSettings, const HttpDialect& aDialect)
    : settings_(aSettings)
    , dialect_(aDialect)
    , incarnation_(WallMilliseconds())
    , started_(Clock::now())
  {
  }

  // --- Start ---

  Result<void> Open()
  {
    PeerLinkSettings links;
    links.ownHello_ = {
      kPeerProtocolVersion, settings_.host_, incarnation_, settings_.dataCentre_
    };
    PeerHubEvents events;
    events.onMessage_ = [this](const PeerSource& aSource, PeerMessage aMessage) {
      OnPeerMessage(aSource, std::move(aMessage));
    };
    events.onCallLost_ = [this](const LostCall& aCall) { dispatcher_->OnCallLost(aCall); };
    events.onLinkEnded_ = [this](std::uint64_t aLink) { OnLinkEnded(aLink); };
    const auto peers = OpenPeers(links, events);
    if (peers.has_error()) {
      return peers.as_failure();
    }
    guard_ = std::make_unique<Guard>(loop_, settings_, metrics_, dialect_);
    dispatcher_ = std::make_unique<Dispatcher>(
      loop_, settings_, incarnation_, *guard_, *hub_, metrics_, dialect_);
    HttpFrontSettings http;
    http.maxBodyBytes_ = settings_.maxBodyBytes_;
    http.maxHeaderBytes_ = settings_.maxHeaderBytes_;
    http.maxConnections_ = settings_.callerConnections_;
    http.readTimeout_ = settings_.readTimeout_;
    const auto open = [&](std::unique_ptr<HttpFront>& aFront,
                          Address& aAddress,
                          HttpFront::Handler aHandler) -> Result<void> {
      http.listen_ = aAddress;
      auto front = HttpFront::Listen(loop_, http, std::move(aHandler));
      if (front.has_error()) {
        return front.as_failure();
      }
      aFront = std::move(front.assume_value());
      aAddress.port_ = aFront->Port();
      return Success();
    };
    using Exchange = std::shared_ptr<HttpExchange>;
    auto opened = open(callers_, settings_.callers_, [this](const Exchange& aExchange) {
      dispatcher_->OnCallerRequest(aExchange);
    });
    if (opened.has_value()) {
      opened = open(outbound_, settings_.outbound_, [this](const Exchange& aExchange) {
        dispatcher_->OnOutboundRequest(aExchange);
      });
    }
    if (opened.has_value()) {
      opened =
        open(admin_, settings_.admin_, [this](const Exchange& aExchange) { OnAdmin(aExchange); });
    }
    return opened;
  }

  Result<void> OpenPeers(const PeerLinkSettings& aLinks, const PeerHubEvents& aEvents)
  {
    const int attempts = settings_.peers_.port_ == 0 ? kPortAttempts : 1;
    Result<std::uint16_t> port = Fail(ErrorCode::kAddressInUse);
    for (int i = 0; i < attempts; ++i) {
      hub_ = std::make_unique<PeerHub>(loop_, aLinks, aEvents);
      port = hub_->Listen(settings_.peers_);
      if (port.has_error()) {
        return port.as_failure();
      }
      datagram_ =
        std::make_unique<Datagram>(loop_, [this](const Address& aFrom, PeerMessage aMessage) {
          if (control_) {
            control_->OnDatagram(aFrom, std::move(aMessage));
          }
        });
      const Address udp{ settings_.peers_.ip_, port.assume_value() };
      port = datagram_->Listen(udp);
      if (port.has_value()) {
        settings_.peers_.port_ = port.assume_value();
        return Success();
      }
    }
    return port.as_failure();
  }

  DataPlaneCallbacks MakePort()
  {
    DataPlaneCallbacks port;
    port.sendPeer_ = [this](const Address& aPeer, PeerMessage aMessage) {
      loop_.Post([this, aPeer, message = std::move(aMessage)] { hub_->Send(aPeer, message); });
    };
    port.sendDatagram_ = [this](const Address& aPeer, PeerMessage aMessage) {
      loop_.Post([this, aPeer, message = std::move(aMessage)] { datagram_->Send(aPeer, message); });
    };
    port.publishConfig_ = [this](std::shared_ptr<const Config> aConfig) {
      loop_.Post([this, config = std::move(aConfig)] {
        dispatcher_->SetConfig(config);
        // Versions only grow; one that arrives late is in force nowhere.
        if (dispatcher_->ConfigVersion() == config->version_) {
          guard_->SetConfig(config);
        }
      });
    };
    port.publishTargets_ = [this](std::shared_ptr<const TargetView> aTargets) {
      loop_.Post([this, targets = std::move(aTargets)] { dispatcher_->SetTargets(targets); });
    };
    port.publishFreshness_ = [this](TimePoint aFreshness) {
      loop_.Post([this, aFreshness] { dispatcher_->SetFreshness(aFreshness); });
    };
    port.deliverGrant_ = [this](ShareGrant aGrant, TimePoint aAsked) {
      loop_.Post(
        [this, grant = std::move(aGrant), aAsked] { dispatcher_->OnGrant(grant, aAsked); });
    };
    port.setTarget_ = [this](const LocalTarget& aTarget) { guard_->SetTarget(aTarget); };
    port.loop_ = &loop_;
    return port;
  }

  void StartTimers()
  {
    if (dialect_.pollsTarget_) {
      Poll();
    }
    KeepHouse();
  }

  Result<void> WritePortFile() const
  {
    if (settings_.portFile_.empty()) {
      return Success();
    }
    const nlohmann::json json = { { "callers", settings_.callers_.port_ },
                                  { "outbound", settings_.outbound_.port_ },
                                  { "peers", settings_.peers_.port_ },
                                  { "admin", settings_.admin_.port_ } };
    // A reader must never see half a file.
    const std::string temporary = settings_.portFile_ + ".tmp";
    {
      std::ofstream file(temporary);
      file << json.dump() << "\n";
      if (!file.flush()) {
        return Fail(ErrorCode::kFileUnreadable, temporary, "a writable file");
      }
    }
    if (std::rename(temporary.c_str(), settings_.portFile_.c_str()) != 0) {
      return Fail(ErrorCode::kFileUnreadable, settings_.portFile_, "a writable file");
    }
    return Success();
  }

  // --- Periodic work ---

  void Poll()
  {
    guard_->Poll([this](const TargetHealth& aHealth) {
      if (!leaving_) {
        control_->AnnounceTarget(
          draining_ ? TargetState::kDraining : aHealth.state_, aHealth.slots_, aHealth.load_);
      }
    });
    loop_.After(kPollInterval, [this] { Poll(); });
  }

  void KeepHouse()
  {
    dispatcher_->ReturnTokens();
    ExpireCalls(fates_, loop_.Now());
    if (LogOutput* output = CurrentLogOutput()) {
      output->Flush();
    }
    loop_.After(kHousekeepingInterval, [this] { KeepHouse(); });
  }

  // --- Peer messages ---

  void OnPeerMessage(const PeerSource& aSource, PeerMessage aMessage)
  {
    if (auto* call = std::get_if<Call>(&aMessage)) {
      OnCall(aSource, *call);
    } else if (auto* answer = std::get_if<Answer>(&aMessage)) {
      dispatcher_->OnAnswer(std::move(*answer), aSource.link_);
    } else if (const auto* cancel = std::get_if<Cancel>(&aMessage)) {
      OnCancel(aSource.link_, cancel->callId_);
    } else if (const auto* fate = std::get_if<CallStatusQuery>(&aMessage)) {
      OnFate(aSource, *fate);
    } else if (const auto* known = std::get_if<CallStatusReply>(&aMessage)) {
      dispatcher_->OnCallStatusReply(*known, aSource.link_);
    } else if (auto* owner = std::get_if<OwnerCall>(&aMessage)) {
      const std::uint64_t callId = owner->call_.callId_;
      dispatcher_->OnOwnerCall(std::move(*owner),
                               [this, link = aSource.link_, callId](const Answer& aAnswer) {
                                 Answer reply = aAnswer;
                                 reply.callId_ = callId;
                                 hub_->Reply(link, reply);
                               });
    } else if (const auto* handover = std::get_if<RequestHandover>(&aMessage)) {
      dispatcher_->OnHandover(*handover);
    } else {
      control_->OnPeerMessage(aSource.hello_, aSource.address_, std::move(aMessage));
    }
  }

  void OnCall(const PeerSource& aSource, const Call& aCall)
  {
    PeerCall entry;
    entry.link_ = aSource.link_;
    if (!aCall.repeatable_) {
      entry.callStatus_ = { aSource.hello_.host_, aSource.hello_.incarnation_, aCall.callId_ };
      switch (RecordArrival(fates_, *entry.callStatus_, loop_.Now())) {
        case ArrivalDecision::kRun:
          break;
        case ArrivalDecision::kDrop:
          return;
        case ArrivalDecision::kRefuse: {
          Answer refused;
          refused.callId_ = aCall.callId_;
          refused.outcome_ = Outcome::kNotRun;
          refused.error_ = static_cast<std::uint16_t>(ErrorCode::kLimitReached);
          refused.retriesUnused_ = aCall.retries_;
          hub_->Reply(aSource.link_, refused);
          return;
        }
      }
    }
    const std::uint64_t number = nextPeerCall_++;
    peerCalls_[number] = entry;
    byLink_[{ aSource.link_, aCall.callId_ }] = number;
    guard_->Run(
      aCall,
      [this, number](std::uint64_t aGuardCall) { peerCalls_[number].guardCall_ = aGuardCall; },
      [this, number](const Answer& aAnswer) { OnGuardAnswer(number, aAnswer); });
  }

  void OnGuardAnswer(std::uint64_t aNumber, const Answer& aAnswer)
  {
    const auto entry = peerCalls_.find(aNumber);
    if (entry == peerCalls_.end()) {
      return;
    }
    const PeerCall call = entry->second;
    peerCalls_.erase(entry);
    byLink_.erase({ call.link_, aAnswer.callId_ });
    if (call.callStatus_) {
      RecordAnswer(fates_, *call.callStatus_, aAnswer, loop_.Now());
    }
    hub_->Reply(call.link_, aAnswer);
  }

  void OnCancel(std::uint64_t aLink, std::uint64_t aCallId)
  {
    const auto key = byLink_.find({ aLink, aCallId });
    if (key == byLink_.end()) {
      return;
    }
    const std::uint64_t number = key->second;
    byLink_.erase(key);
    const PeerCall call = peerCalls_.at(number);
    peerCalls_.erase(number);
    if (call.callStatus_) {
      Answer unknown;
      unknown.callId_ = aCallId;
      unknown.error_ = static_cast<std::uint16_t>(ErrorCode::kCancelled);
      RecordAnswer(fates_, *call.callStatus_, unknown, loop_.Now());
    }
    guard_->Cancel(call.guardCall_);
  }

  void OnFate(const PeerSource& aSource, const CallStatusQuery& aFate)
  {
    const CallKey key{ aSource.hello_.host_, aFate.incarnation_, aFate.callId_ };
    CallStatusResult step = QueryCallStatus(fates_, key, loop_.Now());
    hub_->Reply(aSource.link_, CallStatusReply{ aFate.callId_, step.callStatus_ });
    if (step.callStatus_ == CallStatus::kRunning) {
      MoveCall(key, aSource.link_);
    } else if (step.answer_) {
      step.answer_->callId_ = aFate.callId_;
      hub_->Reply(aSource.link_, *step.answer_);
    }
  }

  // Sends the answer of a running call by another link of the same sender.
  void MoveCall(const CallKey& aKey, std::uint64_t aLink)
  {
    const auto entry = std::find_if(peerCalls_.begin(), peerCalls_.end(), [&](const auto& aEntry) {
      const auto& fate = aEntry.second.callStatus_;
      return fate && fate->callId_ == aKey.callId_ && fate->incarnation_ == aKey.incarnation_ &&
             fate->host_ == aKey.host_;
    });
    if (entry == peerCalls_.end()) {
      return;
    }
    byLink_.erase({ entry->second.link_, aKey.callId_ });
    entry->second.link_ = aLink;
    byLink_[{ aLink, aKey.callId_ }] = entry->first;
  }

  // The sender is gone or will come back on another link. Calls that must run at most once run on,
  // because the sender asks for their fate; others are given up.
  void OnLinkEnded(std::uint64_t aLink)
  {
    std::vector<std::uint64_t> given;
    for (auto entry = byLink_.lower_bound({ aLink, 0 });
         entry != byLink_.end() && entry->first.first == aLink;
         ++entry) {
      if (!peerCalls_.at(entry->second).callStatus_) {
        given.push_back(entry->first.second);
      }
    }
    for (const std::uint64_t callId : given) {
      OnCancel(aLink, callId);
    }
  }

  // --- Admin ---

  void OnAdmin(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const HttpRequest& request = aExchange->request_;
    const std::size_t query = std::min(request.path_.find('?'), request.path_.size());
    const std::string_view path = std::string_view(request.path_).substr(0, query);
    if (request.method_ == "GET" && path == "/status") {
      aExchange->Respond(JsonResponse(200, StatusText()));
    } else if (request.method_ == "GET" && path == "/metrics") {
      HttpResponse response{ 200, { { "Content-Type", "text/plain" } }, {}, std::nullopt };
      response.body_ = metrics_.Text(Gauges());
      aExchange->Respond(response);
    } else if (request.method_ == "GET" && path == "/explain") {
      const std::string text = request.path_.substr(std::min(query + 1, request.path_.size()));
      aExchange->Respond(JsonResponse(
        200, dispatcher_->Explain(QueryValue(text, "path"), QueryValue(text, "account"))));
    } else if (request.method_ == "POST" && path == "/drain") {
      Drain();
      aExchange->Respond(JsonResponse(202, R"({"state":"draining"})"));
    } else {
      aExchange->Respond(
        ErrorResponse(ErrorCode::kNotFound, Outcome::kNotRun, "no such admin request"));
    }
  }

  // Value of a query parameter with %XX decoded; empty if absent.
  static std::string QueryValue(std::string_view aQuery, std::string_view aName)
  {
    while (!aQuery.empty()) {
      const std::size_t end = std::min(aQuery.find('&'), aQuery.size());
      const std::string_view pair = aQuery.substr(0, end);
      aQuery.remove_prefix(std::min(end + 1, aQuery.size()));
      const std::size_t equals = pair.find('=');
      if (equals == std::string_view::npos || pair.substr(0, equals) != aName) {
        continue;
      }
      std::string value;
      for (std::size_t i = equals + 1; i < pair.size(); ++i) {
        unsigned int byte = 0;
        if (pair[i] == '%' && i + 2 < pair.size() &&
            std::sscanf(std::string(pair.substr(i + 1, 2)).c_str(), "%2x", &byte) == 1) {
          value.push_back(static_cast<char>(byte));
          i += 2;
        } else {
          value.push_back(pair[i]);
        }
      }
      return value;
    }
    return {};
  }

  std::string StatusText() const
  {
    const ControlStatus control = control_->Status();
    const TargetHealth& health = guard_->Health();
    const AdmissionState& admission = guard_->Admission();
    const nlohmann::json json = {
      { "host", settings_.host_.value_ },
      { "incarnation", incarnation_ },
      { "data_centre", settings_.dataCentre_.value_ },
      { "region", settings_.region_.value_ },
      { "service", settings_.service_.value_ },
      { "state", draining_ ? "draining" : "serving" },
      { "naive", settings_.naive_ },
      { "uptime_ms", std::chrono::duration_cast<milliseconds>(Clock::now() - started_).count() },
      { "version", dispatcher_->ConfigVersion() },
      { "ports",
        { { "callers", settings_.callers_.port_ },
          { "outbound", settings_.outbound_.port_ },
          { "peers", settings_.peers_.port_ },
          { "admin", settings_.admin_.port_ } } },
      { "target",
        { { "state", kTargetStates.at(static_cast<std::size_t>(health.state_)) },
          { "slots", health.slots_ },
          { "load", health.load_ },
          { "connections", guard_->TargetConnections() } } },
      { "admission",
        { { "limit", admission.limit_ },
          { "running", admission.running_ },
          { "queued", admission.queued_ } } },
      { "calls", dispatcher_->ActiveCalls() },
      { "guard_calls", guard_->ActiveCalls() },
      { "targets_in_view", dispatcher_->TargetCount() },
      { "peer_links", hub_->OpenLinkCount() },
      { "control",
        { { "version", control.version_ },
          { "freshness_age_ms", control.freshnessAgeMs_ },
          { "members_alive", control.membersAlive_ },
          { "members_suspect", control.membersSuspect_ },
          { "delegate", control.delegate_ },
          { "share_leader", control.shareLeader_ },
          { "platform_reachable", control.platformReachable_ },
          { "data_centre_least", control.minDataCentreVersion_ } } }
    };
    return json.dump();
  }

  std::vector<std::pair<std::string_view, double>> Gauges() const
  {
    const AdmissionState& admission = guard_->Admission();
    const ControlStatus status = control_->Status();
    return { { "freshness_ms", static_cast<double>(status.freshnessAgeMs_) },
             { "platform_reachable", status.platformReachable_ ? 1.0 : 0.0 },
             { "hosts", static_cast<double>(status.membersAlive_) },
             { "targets", static_cast<double>(dispatcher_->TargetCount()) },
             { "version", static_cast<double>(dispatcher_->ConfigVersion()) },
             { "calls", static_cast<double>(dispatcher_->ActiveCalls()) },
             { "guard_calls", static_cast<double>(guard_->ActiveCalls()) },
             { "admission_limit", admission.limit_ },
             { "admission_running", static_cast<double>(admission.running_) },
             { "admission_queued", static_cast<double>(admission.queued_) },
             { "caller_connections", static_cast<double>(callers_->ConnectionCount()) },
             { "target_connections", static_cast<double>(guard_->TargetConnections()) },
             { "peer_links", static_cast<double>(hub_->OpenLinkCount()) },
             { "http_rejected", static_cast<double>(callers_->RejectedRequests()) },
             { "datagrams_dropped", static_cast<double>(datagram_->DroppedDatagrams()) },
             { "draining", draining_ ? 1.0 : 0.0 } };
  }

  // --- Leaving ---

  void Drain()
  {
    if (draining_) {
      return;
    }
    draining_ = true;
    drainStarted_ = loop_.Now();
    LogEvent(Event::kNodeDraining, { { "host", settings_.host_.value_ } });
    callers_->CloseAfterAnswers();
    control_->AnnounceLeaving();
    if (settings_.acceptWhileDraining_ > Duration::zero()) {
      loop_.After(settings_.acceptWhileDraining_ / 2, [this] { AnnounceDraining(); });
      loop_.After(settings_.acceptWhileDraining_, [this] { StopAccepting(); });
    } else {
      AnnounceDraining();
      StopAccepting();
    }
    CheckDrained();
  }

  void StopAccepting()
  {
    accepting_ = false;
    dispatcher_->SetDraining();
    guard_->SetDraining();
  }

  void AnnounceDraining()
  {
    const TargetHealth& health = guard_->Health();
    control_->AnnounceTarget(TargetState::kDraining, health.slots_, health.load_);
  }

  bool IsIdle() const
  {
    return !accepting_ && dispatcher_->ActiveCalls() == 0 && guard_->ActiveCalls() == 0 &&
           callers_->PendingAnswerCount() == 0 && outbound_->PendingAnswerCount() == 0 &&
           admin_->PendingAnswerCount() == 0;
  }

  void CheckDrained()
  {
    const bool late = loop_.Now() - drainStarted_ >= settings_.drainTimeout_;
    if (!IsIdle() && !late) {
      loop_.After(kDrainCheck, [this] { CheckDrained(); });
      return;
    }
    if (!leaving_) {
      leaving_ = true;
      dispatcher_->Abort();
      guard_->Abort();
      control_->AnnounceLeft(HandOver());
    }
    loop_.After(kLeaveDelay, [this] {
      LogEvent(Event::kNodeStopped, { { "reason", "drained" } });
      loop_.Stop();
    });
  }

  // The living host that takes over the request records: of the own data centre if possible.
  // Targets are asked for, because the view's host table also leads from hosts that left to their
  // successors.
  const Target* ChooseSuccessor() const
  {
    const TargetView* view = dispatcher_->CurrentTargets();
    const Target* best = nullptr;
    const auto rank = [this](const Target& aTarget) {
      const bool near = aTarget.dataCentre_ == settings_.dataCentre_;
      const bool stays =
        aTarget.state_ == TargetState::kReady || aTarget.state_ == TargetState::kCold;
      return std::make_tuple(stays, near, Rank(settings_.host_, aTarget.host_));
    };
    if (view != nullptr) {
      for (const auto& [service, targets] : view->targets_) {
        for (const Target& target : targets) {
          const bool better = best == nullptr || rank(target) > rank(*best);
          if (target.host_ != settings_.host_ && better) {
            best = &target;
          }
        }
      }
    }
    return best;
  }

  // Sends the request records to the successor and returns it; empty if there is no other host.
  HostId HandOver()
  {
    const Target* successor = ChooseSuccessor();
    const auto batches = dispatcher_->HandOver();
    if (successor == nullptr) {
      return {};
    }
    for (const auto& batch : batches) {
      hub_->Send(successor->peer_, batch);
    }
    return successor->host_;
  }
};

Result<std::unique_ptr<Node>> Node::Start(const NodeSettings& aSettings,
                                          const ControlFactory& aControl,
                                          const HttpDialect& aDialect)
{
  auto state = std::make_unique<State>(aSettings, aDialect);
  const auto opened = state->Open();
  if (opened.has_error()) {
    return opened.as_failure();
  }
  const auto written = state->WritePortFile();
  if (written.has_error()) {
    return written.as_failure();
  }
  auto control = aControl(state->settings_, state->incarnation_, state->MakePort());
  if (control.has_error()) {
    return control.as_failure();
  }
  state->control_ = std::move(control.assume_value());
  state->dispatcher_->requestTokens_ = [control = state->control_.get()](ShareRequest aRequest) {
    control->RequestTokens(std::move(aRequest));
  };
  state->StartTimers();
  LogEvent(Event::kNodeStarted,
           { { "host", state->settings_.host_.value_ },
             { "callers", std::to_string(state->settings_.callers_.port_) },
             { "peers", std::to_string(state->settings_.peers_.port_) },
             { "admin", std::to_string(state->settings_.admin_.port_) } });
  return std::unique_ptr<Node>(new Node(std::move(state)));
}

Node::Node(std::unique_ptr<State> aState)
  : state_(std::move(aState))
{
}

// The control side goes first: it may call the port until it is gone.
Node::~Node()
{
  state_->dispatcher_->requestTokens_ = nullptr;
  state_->control_.reset();
}

NodePorts Node::Ports() const
{
  return { state_->settings_.callers_.port_,
           state_->settings_.outbound_.port_,
           state_->settings_.peers_.port_,
           state_->settings_.admin_.port_ };
}

Incarnation Node::OwnIncarnation() const
{
  return state_->incarnation_;
}

void Node::Run()
{
  state_->loop_.Run();
}

void Node::Drain()
{
  state_->loop_.Post([this] { state_->Drain(); });
}

void Node::SetPolicy(const Policy& aPolicy)
{
  state_->loop_.Post([this, aPolicy] { state_->control_->SetPolicy(aPolicy); });
}

void Node::Stop()
{
  state_->loop_.Post([this] { state_->loop_.Stop(); });
}

} // namespace peridotquay
