// The guard before the local target: admits calls, runs them, keeps their contexts.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/connection/TargetClient.h"
#include "peridotquay/process/HttpDialect.h"
#include "peridotquay/process/LogThrottle.h"
#include "peridotquay/process/Metrics.h"
#include "peridotquay/process/RequestLog.h"
#include "peridotquay/process/Settings.h"
#include "peridotquay/request/Admission.h"
#include "peridotquay/request/CallContext.h"
#include "peridotquay/request/FailureMeter.h"
#include "peridotquay/version/Config.h"
#include "peridotquay/version/TargetView.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace peridotquay {

/// What the guard knows of its target.
struct TargetHealth
{
  TargetState state_ = TargetState::kCold;
  std::uint32_t slots_ = 0;
  double load_ = 0;
  std::uint32_t failedPolls_ = 0; ///< In a row.
  bool operator==(const TargetHealth&) const = default;
};

/// What the control side says of the local target, where the target announces itself.
struct LocalTarget
{
  std::string id_; ///< Incarnation; empty if none is known.
  TargetState state_ = TargetState::kCold;
  std::uint32_t slots_ = 0;
  bool operator==(const LocalTarget&) const = default;
};

/// Used on the socket thread only.
class Guard
{
public:
  /// Takes the answer of a call. May be called from within Run.
  using Done = std::function<void(Answer)>;

  Guard(EventLoop& aLoop,
        const NodeSettings& aSettings,
        Metrics& aMetrics,
        const HttpDialect& aDialect = QuayDialect());
  Guard(const Guard&) = delete;
  Guard& operator=(const Guard&) = delete;
  ~Guard();

  /// Runs a call, or refuses it. aDone is called once, unless Cancel comes first. The number for
  /// Cancel is passed to aStarted before anything else happens.
  void Run(const Call& aCall, const std::function<void(std::uint64_t)>& aStarted, Done aDone);
  /// Gives up a call: out of the queue, or by closing the connection to the target.
  void Cancel(std::uint64_t aCall);
  /// Ends all calls that still run with outcome unknown.
  void Abort();

  void SetConfig(std::shared_ptr<const Config> aConfig);
  /// From now on new calls are refused with kDraining.
  void SetDraining();
  /// Takes what the target announced. While it drains or is gone, calls are refused with kDraining,
  /// those that wait included.
  void SetTarget(const LocalTarget& aTarget);
  /// Asks the target's health and load endpoints; calls aDone with what is known after that.
  void Poll(std::function<void(const TargetHealth&)> aDone);

  /// The context of a running call; null for unknown tokens.
  CallContext* Context(std::string_view aToken);
  /// Calls that wait or run.
  std::size_t ActiveCalls() const;
  const AdmissionState& Admission() const;
  const TargetHealth& Health() const;
  std::size_t TargetConnections() const;

  /// Called when the context of a call ends; its deeper calls have no use any more.
  std::function<void(const std::string&)> onContextClosed_;

private:
  struct Running
  {
    Call call_;
    Done done_;
    TimePoint arrived_{};
    TimePoint started_{};
    TimePoint deadline_{};
    std::string token_;         ///< Context; empty while waiting.
    std::uint64_t request_ = 0; ///< At the target client.
    std::uint64_t timer_ = 0;
  };

  void Apply(const AdmissionStep& aStep);
  void Start(std::uint64_t aCall);
  void OnTarget(std::uint64_t aCall, TargetResult aResult);
  void OnDeadline(std::uint64_t aCall);
  void Refuse(std::uint64_t aCall, ErrorCode aCode, std::uint32_t aRetryAfterMs);
  /// Ends a started call: frees its slot, closes its context and delivers the answer.
  void Finish(std::uint64_t aCall, CallEnd aEnd, Answer aAnswer);
  void NoteTargetOutcome(CallEnd aEnd, const Answer& aAnswer);
  void FillLoad(Answer& aAnswer);
  void LogEnd(const Running& aRunning, const Answer& aAnswer);
  void WatchQueue();
  void WatchSilence();
  /// Asks the target's health on a kept connection and on a fresh one. If only the fresh one
  /// answers, open connections have gone silent: they are given up.
  void ProbeConnections();
  void GiveUpSilent(TimePoint aBefore);
  HttpRequest TargetRequest(const Running& aRunning) const;
  void ReadLoad(const TargetResult& aResult);
  void SetSlots(std::uint32_t aSlots);
  void RefuseWaiting(ErrorCode aCode);
  bool TargetLeaves() const;

  EventLoop& loop_;
  const NodeSettings& settings_;
  Metrics& metrics_;
  const HttpDialect& dialect_;
  std::optional<LocalTarget> target_; ///< Empty where the target doesn't announce itself.
  TargetClient client_;
  TargetClient freshClient_; ///< Never keeps a connection.
  TargetClient pollClient_;  ///< Own connections, so that polls work when all others are in use.
  std::shared_ptr<const Config> config_;
  AdmissionState admission_;
  ContextTable contexts_;
  FailureMeter failures_; ///< Of the present target.
  std::map<std::uint64_t, Running> calls_;
  std::uint64_t next_ = 1;
  TargetHealth health_;
  LogThrottle refusalLog_;
  RequestLogState requestLog_;
  bool draining_ = false;
  bool watchingQueue_ = false;
  bool watchingSilence_ = false;
  bool probing_ = false;
};

} // namespace peridotquay
