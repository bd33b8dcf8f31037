// Assembles a node, routes peer messages, answers admin requests and drains.
#include "peridotquay/process/Node.h"

#include "peridotquay/connection/DatagramSocket.h"
#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/HttpServer.h"
#include "peridotquay/connection/PeerHub.h"
#include "peridotquay/process/DeduplicationTable.h"
#include "peridotquay/process/Dispatcher.h"
#include "peridotquay/process/Events.h"
#include "peridotquay/process/Guard.h"
#include "peridotquay/process/LogOutput.h"
#include "peridotquay/process/LogThrottle.h"
#include "peridotquay/process/Metrics.h"

#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace peridotquay {

namespace {

constexpr double kMebibyte = 1 << 20;

constexpr Duration kTargetPollInterval = seconds(1);
constexpr Duration kHousekeepingInterval = milliseconds(100);
constexpr Duration kDrainCheckInterval = milliseconds(10);

// The process keeps running for this long after it announced that it left, so that the announcement
// and the handed-over request records are sent.
constexpr Duration kLeaveDelay = milliseconds(300);

// A repeatable call whose link ended goes on for this long, in which its sender can reconnect.
constexpr Duration kReconnectPeriod = milliseconds(300);

// Number of checks, kDrainCheckInterval apart, after which a process ends although callers or peers
// haven't closed their side of a connection. Checks are counted in place of time, so that a process
// that had to wait for a core still handles what has arrived.
constexpr int kMaxCloseChecks = 15;

// Number of these checks when the drain has timed out and little time is left.
constexpr int kCloseChecksAfterTimeout = 5;

// Limit of the log lines of requests whose connection this process ended. Such requests are rare,
// and each of them matters.
constexpr std::uint32_t kMaxUnansweredLinesPerSecond = 100;

// With port 0 the kernel chooses a TCP port; another one is tried if its number is taken for UDP.
constexpr int kMaxPortAttempts = 50;

// Names of TargetState in the status, by value.
constexpr std::array<std::string_view, 4> kTargetStateNames = { "cold",
                                                                "ready",
                                                                "draining",
                                                                "left" };

Incarnation WallClockMs()
{
  return static_cast<Incarnation>(
    std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count());
}

// File descriptors that this process may have.
std::uint64_t DescriptorLimit()
{
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur
                                               : std::numeric_limits<std::uint64_t>::max();
}

// Rendezvous weight of a candidate as successor of a leaving host, by an FNV-1a style hash. It
// depends on the two names only, so all nodes compute the same value.
std::uint64_t SuccessorRank(const HostId& aLeaving, const HostId& aCandidate)
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
  // A peer's call that the guard runs, and the link on which its answer is sent.
  struct PeerCall
  {
    std::uint64_t link_ = 0;
    std::uint64_t guardCall_ = 0; ///< Call number at the guard.
    CallKey callKey_;
    bool runsOnce_ = false; ///< The call must run at most once; callKey_ is in deduplication_.
  };

  NodeSettings settings_;
  const HttpDialect& dialect_;
  Incarnation incarnation_ = 0;
  EventLoop loop_;
  Metrics metrics_;
  std::shared_ptr<ByteBudget> budget_; ///< Of all connections except those of operators.
  std::unique_ptr<PeerHub> hub_;
  std::unique_ptr<DatagramSocket> datagram_;
  std::unique_ptr<Guard> guard_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> outbound_;
  std::unique_ptr<HttpServer> admin_;
  std::unique_ptr<ControlPlane> control_;
  DeduplicationTable deduplication_; ///< What became of peers' calls that must run at most once.
  std::map<std::uint64_t, PeerCall> peerCalls_; ///< By a number from nextPeerCall_.
  /// Keys of peerCalls_ by link and the sender's call id.
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> peerCallNumbers_;
  std::uint64_t nextPeerCall_ = 1;
  TimePoint startedAt_{};
  TimePoint drainStartedAt_{};
  bool draining_ = false;
  bool acceptingRequests_ = true; ///< False once new requests are refused because of a drain.
  bool leaving_ = false;          ///< The departure was announced and the records handed over.
  LogThrottle abandonedThrottle_;
  LogThrottle unansweredThrottle_{ .maxLinesPerSecond_ = kMaxUnansweredLinesPerSecond };
  int closeChecks_ = 0; ///< Checks since the process began to close its connections.

  State(const NodeSettings& aSettings, const HttpDialect& aDialect)
    : settings_(aSettings)
    , dialect_(aDialect)
    , incarnation_(WallClockMs())
    , budget_(std::make_shared<ByteBudget>(
        loop_,
        static_cast<std::size_t>(kMessageMemoryFraction * aSettings.hostMemoryMb_ * kMebibyte)))
    , startedAt_(Clock::now())
  {
  }

  // --- Start ---

  // Opens all listeners and creates the guard and the dispatcher.
  Result<void> Open()
  {
    PeerLinkSettings links;
    links.budget_ = budget_;
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
    guard_ = std::make_unique<Guard>(loop_, settings_, metrics_, dialect_, budget_);
    dispatcher_ = std::make_unique<Dispatcher>(
      loop_, settings_, incarnation_, *guard_, *hub_, metrics_, dialect_);
    HttpServerSettings http;
    http.maxBodyBytes_ = settings_.maxBodyBytes_;
    http.maxHeaderBytes_ = settings_.maxHeaderBytes_;
    http.maxConnections_ = MaxCallerConnections(settings_, DescriptorLimit());
    http.readTimeout_ = settings_.readTimeout_;
    http.requestIdHeader_ =
      dialect_.echoHeader_.empty() ? "Quay-Request-Id" : std::string(dialect_.echoHeader_);
    http.budget_ = budget_;
    http.maxPipelined_ = settings_.pipelinedRequests_;
    http.mayOverlap_ = [this](const HttpRequest& aRequest) {
      return dispatcher_->MayOverlap(aRequest);
    };
    const auto open = [&](std::unique_ptr<HttpServer>& aServer,
                          Address& aAddress,
                          std::string_view aName,
                          HttpServer::Handler aHandler) -> Result<void> {
      http.listen_ = aAddress;
      auto server = HttpServer::Listen(
        loop_, http, std::move(aHandler), [this, aName](const UnansweredRequest& aRequest) {
          OnUnanswered(aName, aRequest);
        });
      if (server.has_error()) {
        return server.as_failure();
      }
      aServer = std::move(server.assume_value());
      aAddress.port_ = aServer->Port();
      return Success();
    };
    using Exchange = std::shared_ptr<HttpExchange>;
    auto opened = open(callers_, settings_.callers_, "callers", [this](const Exchange& aExchange) {
      dispatcher_->OnCallerRequest(aExchange);
    });
    http.maxPipelined_ = 1;
    http.mayOverlap_ = nullptr;
    if (opened.has_value()) {
      opened = open(outbound_, settings_.outbound_, "outbound", [this](const Exchange& aExchange) {
        dispatcher_->OnOutboundRequest(aExchange);
      });
    }
    // Operators are served even if callers use up the memory for messages.
    http.maxConnections_ = kMaxControlConnections;
    http.budget_ = nullptr;
    if (opened.has_value()) {
      opened = open(admin_, settings_.admin_, "admin", [this](const Exchange& aExchange) {
        OnAdmin(aExchange);
      });
    }
    return opened;
  }

  // Opens the TCP and UDP sockets for peers on the same port number.
  Result<void> OpenPeers(const PeerLinkSettings& aLinks, const PeerHubEvents& aEvents)
  {
    const int attempts = settings_.peers_.port_ == 0 ? kMaxPortAttempts : 1;
    Result<std::uint16_t> port = Fail(ErrorCode::kAddressInUse);
    for (int i = 0; i < attempts; ++i) {
      hub_ = std::make_unique<PeerHub>(loop_, aLinks, aEvents);
      port = hub_->Listen(settings_.peers_);
      if (port.has_error()) {
        return port.as_failure();
      }
      datagram_ =
        std::make_unique<DatagramSocket>(loop_, [this](const Address& aFrom, PeerMessage aMessage) {
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

  // The functions that the control plane calls; most post to the socket thread.
  DataPlaneCallbacks MakeCallbacks()
  {
    DataPlaneCallbacks callbacks;
    callbacks.sendPeer_ = [this](const Address& aPeer, PeerMessage aMessage) {
      loop_.Post([this, aPeer, message = std::move(aMessage)] { hub_->Send(aPeer, message); });
    };
    callbacks.sendDatagram_ = [this](const Address& aPeer, PeerMessage aMessage) {
      loop_.Post([this, aPeer, message = std::move(aMessage)] { datagram_->Send(aPeer, message); });
    };
    callbacks.publishConfig_ = [this](std::shared_ptr<const Config> aConfig) {
      loop_.Post([this, config = std::move(aConfig)] {
        dispatcher_->SetConfig(config);
        // The dispatcher ignores a configuration older than its own; the guard must do the same.
        if (dispatcher_->ConfigVersion() == config->version_) {
          guard_->SetConfig(config);
        }
      });
    };
    callbacks.publishTargets_ = [this](std::shared_ptr<const TargetView> aTargets) {
      loop_.Post([this, targets = std::move(aTargets)] { dispatcher_->SetTargets(targets); });
    };
    callbacks.publishFreshness_ = [this](TimePoint aFreshAsOf) {
      loop_.Post([this, aFreshAsOf] { dispatcher_->SetFreshness(aFreshAsOf); });
    };
    callbacks.deliverGrant_ = [this](ShareGrant aGrant, TimePoint aRequestedAt) {
      loop_.Post([this, grant = std::move(aGrant), aRequestedAt] {
        dispatcher_->OnGrant(grant, aRequestedAt);
      });
    };
    callbacks.setTarget_ = [this](const LocalTarget& aTarget) { guard_->SetTarget(aTarget); };
    callbacks.statedLoad_ = [this] { return guard_->StatedLoad(); };
    callbacks.deliverLoads_ = [this](const std::vector<ReceivedLoad>& aLoads) {
      dispatcher_->OnLoads(aLoads);
    };
    callbacks.loop_ = &loop_;
    return callbacks;
  }

  void StartTimers()
  {
    if (dialect_.pollsTarget_) {
      PollTarget();
    }
    DoHousekeeping();
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
    // The file is renamed into place, so that a reader never sees a partly written one.
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

  // Queries the local target's health, announces it, and schedules the next poll.
  void PollTarget()
  {
    guard_->Poll([this](const TargetHealth& aHealth) {
      if (!leaving_) {
        control_->AnnounceTarget(
          draining_ ? TargetState::kDraining : aHealth.state_, aHealth.slots_, aHealth.load_);
      }
    });
    loop_.After(kTargetPollInterval, [this] { PollTarget(); });
  }

  void DoHousekeeping()
  {
    dispatcher_->ReturnTokens();
    ExpireCalls(deduplication_, loop_.Now());
    if (LogOutput* output = CurrentLogOutput()) {
      output->Flush();
    }
    loop_.After(kHousekeepingInterval, [this] { DoHousekeeping(); });
  }

  // --- Unanswered requests ---

  void OnUnanswered(std::string_view aListener, const UnansweredRequest& aRequest)
  {
    const bool abandoned = IsClosedByCaller(aRequest.reason_);
    const bool notBegun = aRequest.reason_ == CloseReason::kClosing;
    metrics_.Add(abandoned  ? Counter::kRequestsAbandoned
                 : notBegun ? Counter::kRequestsNotBegun
                            : Counter::kRequestsUnanswered);
    metrics_.Add(Counter::kAnswersCut, aRequest.writtenBytes_ > 0 ? 1 : 0);
    std::uint64_t skipped = 0;
    if (!(abandoned || notBegun ? abandonedThrottle_ : unansweredThrottle_)
           .Allow(loop_.Now(), skipped)) {
      return;
    }
    const auto readMs = std::chrono::duration_cast<milliseconds>(aRequest.sinceRead_).count();
    LogEvent(abandoned  ? Event::kRequestAbandoned
             : notBegun ? Event::kRequestNotBegun
                        : Event::kRequestUnanswered,
             { { "id", aRequest.id_ },
               { "listener", std::string(aListener) },
               { "reason", std::string(CloseReasonName(aRequest.reason_)) },
               { "stage", std::string(RequestStageName(aRequest.stage_)) },
               { "attempts", std::to_string(aRequest.attempts_) },
               { "read_ms", std::to_string(readMs) },
               { "answer_bytes", std::to_string(aRequest.answerBytes_) },
               { "written_bytes", std::to_string(aRequest.writtenBytes_) },
               { "before", std::to_string(aRequest.before_) },
               { "skipped", std::to_string(skipped) } });
  }

  void LogContentAtEnd() const
  {
    const HttpServerContent callers = callers_->Content();
    const HttpServerContent outbound = outbound_->Content();
    LogEvent(Event::kContentAtEnd,
             { { "connections", std::to_string(callers.connections_ + outbound.connections_) },
               { "partly_read", std::to_string(callers.partlyRead_ + outbound.partlyRead_) },
               { "handled", std::to_string(callers.handled_ + outbound.handled_) },
               { "answering", std::to_string(callers.answering_ + outbound.answering_) },
               { "unread_bytes", std::to_string(callers.unreadBytes_ + outbound.unreadBytes_) },
               { "links", std::to_string(hub_->OpenLinkCount()) },
               { "links_unflushed", std::to_string(hub_->UnflushedLinkCount()) },
               { "calls", std::to_string(dispatcher_->ActiveCalls()) },
               { "guard_calls", std::to_string(guard_->ActiveCalls()) },
               { "checks", std::to_string(closeChecks_) } });
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
    } else if (const auto* statusQuery = std::get_if<CallStatusQuery>(&aMessage)) {
      OnCallStatusQuery(aSource, *statusQuery);
    } else if (const auto* statusReply = std::get_if<CallStatusReply>(&aMessage)) {
      dispatcher_->OnCallStatusReply(*statusReply, aSource.link_);
    } else if (auto* owner = std::get_if<OwnerCall>(&aMessage)) {
      const std::uint64_t callId = owner->call_.callId_;
      dispatcher_->OnOwnerCall(std::move(*owner),
                               [this, link = aSource.link_, callId](const Answer& aAnswer) {
                                 Answer reply = aAnswer;
                                 reply.callId_ = callId;
                                 SendAnswer(link, reply);
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
    entry.callKey_ = { aSource.hello_.host_, aSource.hello_.incarnation_, aCall.callId_ };
    entry.runsOnce_ = !aCall.repeatable_;
    if (entry.runsOnce_) {
      switch (RecordArrival(deduplication_, entry.callKey_, loop_.Now())) {
        case ArrivalDecision::kRun:
          break;
        case ArrivalDecision::kDrop:
          return;
        case ArrivalDecision::kRefuse:
          hub_->Reply(aSource.link_, RefusedAnswer(aCall, ErrorCode::kLimitReached));
          return;
      }
    }
    const std::uint64_t number = nextPeerCall_++;
    peerCalls_[number] = entry;
    peerCallNumbers_[{ aSource.link_, aCall.callId_ }] = number;
    // Another host has the time to run it, and its caller isn't told of this host's end.
    if (draining_ && guard_->MayOutlast(aCall, DrainEndsAt())) {
      metrics_.Add(Counter::kRefusedDraining);
      OnGuardAnswer(number, RefusedAnswer(aCall, ErrorCode::kDraining));
      return;
    }
    guard_->Run(
      aCall,
      [this, number](std::uint64_t aGuardCall) { peerCalls_[number].guardCall_ = aGuardCall; },
      [this, number](const Answer& aAnswer) { OnGuardAnswer(number, aAnswer); });
  }

  static Answer RefusedAnswer(const Call& aCall, ErrorCode aCode)
  {
    Answer answer;
    answer.callId_ = aCall.callId_;
    answer.outcome_ = Outcome::kNotRun;
    answer.error_ = static_cast<std::uint16_t>(aCode);
    answer.retriesUnused_ = aCall.retries_;
    return answer;
  }

  void OnGuardAnswer(std::uint64_t aNumber, const Answer& aAnswer)
  {
    const auto entry = peerCalls_.find(aNumber);
    if (entry == peerCalls_.end()) {
      return;
    }
    const PeerCall call = entry->second;
    peerCalls_.erase(entry);
    peerCallNumbers_.erase({ call.link_, aAnswer.callId_ });
    if (call.runsOnce_) {
      RecordAnswer(deduplication_, call.callKey_, aAnswer, loop_.Now());
    }
    SendAnswer(call.link_, aAnswer);
  }

  // Sends an answer to the host that sent the call. If it doesn't fit into a frame or the link's
  // queue, a short one takes its place: without any, that host would wait until the deadline.
  void SendAnswer(std::uint64_t aLink, const Answer& aAnswer)
  {
    if (hub_->Reply(aLink, aAnswer)) {
      return;
    }
    Answer replacement = aAnswer;
    replacement.headers_.clear();
    replacement.body_.clear();
    replacement.declaredBodyBytes_ = 0;
    if (aAnswer.outcome_ != Outcome::kNotRun) {
      replacement.outcome_ = Outcome::kUnknown;
      replacement.status_ = 0;
      replacement.error_ = static_cast<std::uint16_t>(ErrorCode::kOutcomeUnknown);
    }
    // Fails only if the link has ended or its reserve for short frames is used up too.
    hub_->Reply(aLink, replacement);
  }

  // Cancels a call. One that must run at most once is recorded as ended with an unknown outcome.
  void OnCancel(std::uint64_t aLink, std::uint64_t aCallId)
  {
    const auto key = peerCallNumbers_.find({ aLink, aCallId });
    if (key == peerCallNumbers_.end()) {
      return;
    }
    const std::uint64_t number = key->second;
    peerCallNumbers_.erase(key);
    const PeerCall call = peerCalls_.at(number);
    peerCalls_.erase(number);
    if (call.runsOnce_) {
      Answer unknown;
      unknown.callId_ = aCallId;
      unknown.error_ = static_cast<std::uint16_t>(ErrorCode::kCancelled);
      RecordAnswer(deduplication_, call.callKey_, unknown, loop_.Now());
    }
    guard_->Cancel(call.guardCall_);
  }

  // Replies with the status of a call, and with its answer if that is kept. The answer of a running
  // call will be sent on this link.
  void OnCallStatusQuery(const PeerSource& aSource, const CallStatusQuery& aQuery)
  {
    const CallKey key{ aSource.hello_.host_, aQuery.incarnation_, aQuery.callId_ };
    if (RedirectAnswer(key, aSource.link_)) {
      hub_->Reply(aSource.link_, CallStatusReply{ aQuery.callId_, CallStatus::kRunning });
      return;
    }
    CallStatusResult status = QueryCallStatus(deduplication_, key, loop_.Now());
    hub_->Reply(aSource.link_, CallStatusReply{ aQuery.callId_, status.callStatus_ });
    if (status.answer_) {
      status.answer_->callId_ = aQuery.callId_;
      SendAnswer(aSource.link_, *status.answer_);
    }
  }

  // Redirects the answer of a running call to another link of the same sender. Returns false if the
  // call isn't running.
  bool RedirectAnswer(const CallKey& aKey, std::uint64_t aLink)
  {
    const auto entry = std::find_if(peerCalls_.begin(), peerCalls_.end(), [&](const auto& aEntry) {
      const CallKey& callKey = aEntry.second.callKey_;
      return callKey.callId_ == aKey.callId_ && callKey.incarnation_ == aKey.incarnation_ &&
             callKey.host_ == aKey.host_;
    });
    if (entry == peerCalls_.end()) {
      return false;
    }
    peerCallNumbers_.erase({ entry->second.link_, aKey.callId_ });
    entry->second.link_ = aLink;
    peerCallNumbers_[{ aLink, aKey.callId_ }] = entry->first;
    return true;
  }

  // The sender has stopped or will reconnect and query the status of its calls. Those that must run
  // at most once continue; all others are cancelled unless it does so soon.
  void OnLinkEnded(std::uint64_t aLink)
  {
    loop_.After(kReconnectPeriod, [this, aLink] { CancelAbandoned(aLink); });
  }

  // Cancels the repeatable calls whose answers no link of their sender awaits.
  void CancelAbandoned(std::uint64_t aLink)
  {
    std::vector<std::uint64_t> abandoned;
    for (auto entry = peerCallNumbers_.lower_bound({ aLink, 0 });
         entry != peerCallNumbers_.end() && entry->first.first == aLink;
         ++entry) {
      if (!peerCalls_.at(entry->second).runsOnce_) {
        abandoned.push_back(entry->first.second);
      }
    }
    for (const std::uint64_t callId : abandoned) {
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
      aExchange->Respond(JsonResponse(200, StatusJson()));
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

  // Returns the percent-decoded value of a query parameter; empty if it is absent.
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

  std::string StatusJson() const
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
      { "uptime_ms", std::chrono::duration_cast<milliseconds>(Clock::now() - startedAt_).count() },
      { "version", dispatcher_->ConfigVersion() },
      { "ports",
        { { "callers", settings_.callers_.port_ },
          { "outbound", settings_.outbound_.port_ },
          { "peers", settings_.peers_.port_ },
          { "admin", settings_.admin_.port_ } } },
      { "target",
        { { "state", kTargetStateNames.at(static_cast<std::size_t>(health.state_)) },
          { "slots", health.slots_ },
          { "load", health.load_ },
          { "evacuated", guard_->IsEvacuated() },
          { "cold_per_s", guard_->ColdPerSecond() },
          { "connections", guard_->TargetConnections() } } },
      { "admission",
        { { "limit", admission.limit_ },
          { "running", admission.running_ },
          { "queued", admission.queued_ },
          { "capacity_scheduling", admission.settings_.capacityScheduling_ },
          { "booked_returns", guard_->BookedReturns() } } },
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
          { "store_era", control.storeEra_ },
          { "evacuated", control.evacuated_ },
          { "data_centre_least", control.minDataCentreVersion_ } } }
    };
    return json.dump();
  }

  std::vector<std::pair<std::string_view, double>> Gauges() const
  {
    const AdmissionState& admission = guard_->Admission();
    const ControlStatus status = control_->Status();
    const PipelineCounts pipelining = callers_->Pipelining();
    return { { "freshness_ms", static_cast<double>(status.freshnessAgeMs_) },
             { "platform_reachable", status.platformReachable_ ? 1.0 : 0.0 },
             { "store_era", static_cast<double>(status.storeEra_) },
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
             { "pipelined_begun", static_cast<double>(pipelining.begunBehind_) },
             { "pipelined_answers_waited", static_cast<double>(pipelining.waitedAnswers_) },
             { "pipelined_held_for_order", static_cast<double>(pipelining.heldForOrder_) },
             { "pipelined_held_for_limit", static_cast<double>(pipelining.heldForLimit_) },
             { "answer_bytes_unsent", static_cast<double>(callers_->UnsentAnswerBytes()) },
             { "message_bytes", static_cast<double>(budget_->used_) },
             { "messages_refused", static_cast<double>(budget_->refusedMessages_) },
             { "messages_ended", static_cast<double>(budget_->endedMessages_) },
             { "datagrams_dropped", static_cast<double>(datagram_->DroppedDatagrams()) },
             { "draining", draining_ ? 1.0 : 0.0 } };
  }

  // --- Drain ---

  void Drain()
  {
    if (draining_) {
      return;
    }
    draining_ = true;
    drainStartedAt_ = loop_.Now();
    LogEvent(Event::kNodeDraining, { { "host", settings_.host_.value_ } });
    callers_->CloseAfterAnswers();
    control_->AnnounceLeaving();
    if (settings_.drainAcceptPeriod_ > Duration::zero()) {
      loop_.After(settings_.drainAcceptPeriod_ / 2, [this] { AnnounceDraining(); });
      loop_.After(settings_.drainAcceptPeriod_, [this] { StopAcceptingRequests(); });
    } else {
      AnnounceDraining();
      StopAcceptingRequests();
    }
    CheckDrained();
  }

  // When calls in flight are ended. Valid once draining_.
  TimePoint DrainEndsAt() const { return drainStartedAt_ + settings_.drainTimeout_; }

  void StopAcceptingRequests()
  {
    acceptingRequests_ = false;
    dispatcher_->SetDraining(DrainEndsAt());
    guard_->SetDraining();
  }

  void AnnounceDraining()
  {
    const TargetHealth& health = guard_->Health();
    control_->AnnounceTarget(TargetState::kDraining, health.slots_, health.load_);
  }

  // Whether new requests are refused, no call is in flight, no request is partly received and every
  // answer has been sent.
  bool IsDrained() const
  {
    return !acceptingRequests_ && dispatcher_->ActiveCalls() == 0 && guard_->ActiveCalls() == 0 &&
           callers_->UnfinishedRequestCount() == 0 && callers_->PendingAnswerCount() == 0 &&
           outbound_->PendingAnswerCount() == 0 && admin_->PendingAnswerCount() == 0 &&
           hub_->IsFlushed();
  }

  // Leaves once the drain is complete or timed out; otherwise checks again after an interval.
  void CheckDrained()
  {
    const bool timedOut = loop_.Now() >= DrainEndsAt();
    if (!IsDrained() && !timedOut) {
      loop_.After(kDrainCheckInterval, [this] { CheckDrained(); });
      return;
    }
    if (!leaving_) {
      leaving_ = true;
      dispatcher_->Abort();
      guard_->Abort();
      control_->AnnounceLeft(HandOver());
    }
    if (timedOut) {
      closeChecks_ = kMaxCloseChecks - kCloseChecksAfterTimeout;
    }
    loop_.After(kLeaveDelay, [this] { CloseConnections(); });
  }

  // Refuses the requests that have arrived since, closes all connections and stops. Checks again
  // after an interval until callers and peers have closed them too.
  void CloseConnections()
  {
    callers_->Finish();
    outbound_->Finish();
    const bool callersClosed =
      callers_->ConnectionCount() == 0 && outbound_->ConnectionCount() == 0;
    // Until then, calls of other hosts that arrive are still refused, so that they run elsewhere.
    if (callersClosed || closeChecks_ >= kMaxCloseChecks / 2) {
      hub_->CloseAfterSending();
    }
    const bool closed = callersClosed && hub_->OpenLinkCount() == 0;
    if (!closed && ++closeChecks_ < kMaxCloseChecks) {
      loop_.After(kDrainCheckInterval, [this] { CloseConnections(); });
      return;
    }
    LogContentAtEnd();
    LogEvent(Event::kNodeStopped, { { "reason", "drained" } });
    loop_.Stop();
  }

  // Returns the host that takes over the request records, or null if there is none. Prefers hosts
  // that aren't leaving, then hosts of the own data centre, then the largest SuccessorRank. Only
  // hosts of targets are considered, because the view's host table also maps hosts that left to
  // their successors.
  const Target* ChooseSuccessor() const
  {
    const TargetView* view = dispatcher_->CurrentTargets();
    const Target* best = nullptr;
    const auto rank = [this](const Target& aTarget) {
      const bool inOwnDataCentre = aTarget.dataCentre_ == settings_.dataCentre_;
      const bool remains =
        aTarget.state_ == TargetState::kReady || aTarget.state_ == TargetState::kCold;
      return std::make_tuple(
        remains, inOwnDataCentre, SuccessorRank(settings_.host_, aTarget.host_));
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

  // Sends the request records to the successor and returns its id; empty if there is no other host.
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
                                          const ControlFactory& aMakeControl,
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
  auto control = aMakeControl(state->settings_, state->incarnation_, state->MakeCallbacks());
  if (control.has_error()) {
    return control.as_failure();
  }
  state->control_ = std::move(control.assume_value());
  state->guard_->onTargetLeaving_ = [control = state->control_.get()](const std::string& aId) {
    control->AnnounceTargetLeaving(aId);
  };
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

// The control plane is destroyed first, because it may call the data plane until then.
Node::~Node()
{
  state_->dispatcher_->requestTokens_ = nullptr;
  state_->guard_->onTargetLeaving_ = nullptr;
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
