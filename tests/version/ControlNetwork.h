// Simulated network of nodes that run membership and dissemination, in virtual time and with
// message loss, delays, paused processes and network partitions. Each node's clock has a random
// offset, so that tests fail if a node uses a time of another node's clock without conversion.
#pragma once

#include "peridotquay/version/Dissemination.h"
#include "peridotquay/version/Membership.h"
#include "peridotquay/version/MembershipRank.h"

#include "tests/version/FakePlatform.h"

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace peridotquay {

/// One simulated process.
struct NetworkNode
{
  Membership membership_;
  Dissemination dissemination_;
  Duration offset_{}; ///< Clock of the node minus true time.
  TimePoint pausedUntil_{};
  bool stopped_ = false;
  std::uint64_t revision_ = ~std::uint64_t{ 0 }; ///< Membership revision of the last ranking.
  Version lastVersionInForce_ = 0;               ///< Version in force at the last check.
  std::optional<TimePoint> lastFreshUntil_;      ///< Freshness at the last check.
  std::uint64_t messages_ = 0;                   ///< Number of messages sent.
  std::uint64_t processNumber_ = 0; ///< Platform answers reach only the process that called.
};

/// Size of the network and its faults.
struct NetworkSettings
{
  std::size_t nodes_ = 16;
  std::size_t centres_ = 1; ///< Data centres; node i is in data centre i modulo this.
  double loss_ = 0;         ///< Fraction of messages lost.
  Duration minDelay_ = milliseconds(1);
  Duration maxDelay_ = milliseconds(5);
  std::uint64_t seed_ = 1;
};

/// Nodes, a platform and the messages between them. Public members inject faults.
class ControlNetwork
{
public:
  explicit ControlNetwork(const NetworkSettings& aSettings)
    : settings_(aSettings)
    , random_(aSettings.seed_)
  {
    for (std::size_t i = 0; i < aSettings.nodes_; ++i) {
      nodes_.push_back(MakeNode(i, 1));
      const auto processNumber = nodes_[i].processNumber_;
      ScheduleAt(now_ + Random(milliseconds(100)),
                 [this, i, processNumber] { Step(i, processNumber); });
    }
  }

  std::vector<NetworkNode> nodes_;
  FakePlatform platform_;
  /// Data centres without a connection to the platform.
  std::set<std::string> centresWithoutPlatform_;
  /// True if no message passes from the first node to the second.
  std::function<bool(std::size_t, std::size_t)> isPartitioned_;
  std::vector<TimePoint> acceptedAt_; ///< Element i: true time at which version i + 1 was accepted.
  /// A version or freshness decreased, or a node claimed to be fresher than it was.
  bool violated_ = false;
  std::string violation_; ///< Description of the first violation.
  TimePoint now_{ seconds(100000) };

  /// Runs all events of the next aLength of true time.
  void Run(Duration aLength)
  {
    const auto end = now_ + aLength;
    while (!queue_.empty() && queue_.top().time_ <= end) {
      auto event = queue_.top();
      queue_.pop();
      now_ = event.time_;
      event.action_();
    }
    now_ = end;
  }

  /// Writes an operator's change to the platform. It isn't accepted while the platform is down.
  void AcceptChange(std::vector<EntityEdit> aEdits)
  {
    const Version version = acceptedAt_.size() + 1;
    ConfigChange change;
    change.version_ = version;
    change.edits_ = std::move(aEdits);
    PlatformTransaction transaction;
    transaction.operationId_ = "change" + std::to_string(version);
    transaction.writes_ = { { std::string(kHeadRowKey), EncodeHead(version) },
                            { ChangeRowKey(version), EncodeChange(change) } };
    if (platform_.Transact(transaction).has_value()) {
      acceptedAt_.push_back(now_);
    }
  }

  /// Writes a change of the rate of a client account.
  void AcceptRateChange(int aRate)
  {
    AcceptChange({ { "account/mill", R"({"burst":10,"rate":)" + std::to_string(aRate) + "}" } });
  }

  /// Current time on the clock of a node.
  TimePoint Local(std::size_t aNode) const { return now_ + nodes_[aNode].offset_; }

  /// Ends the process without an announcement.
  void Stop(std::size_t aNode) { nodes_[aNode].stopped_ = true; }

  /// Replaces the process on a host by a new one.
  void Restart(std::size_t aNode, Incarnation aIncarnation)
  {
    nodes_[aNode] = MakeNode(aNode, aIncarnation);
    const auto processNumber = nodes_[aNode].processNumber_;
    ScheduleAt(now_, [this, aNode, processNumber] { Step(aNode, processNumber); });
  }

  /// Delays all steps and arrivals at a node, as for a suspended process.
  void Pause(std::size_t aNode, Duration aLength) { nodes_[aNode].pausedUntil_ = now_ + aLength; }

  /// Name of the data centre of a node.
  std::string CentreOf(std::size_t aNode) const
  {
    return std::string(1, static_cast<char>('a' + aNode % settings_.centres_));
  }

  /// Number of running nodes whose table has the host in this state.
  std::size_t CountSeeing(std::size_t aSubject, MemberState aState) const
  {
    std::size_t count = 0;
    for (const auto& node : nodes_) {
      const auto found = node.membership_.members_.find(nodes_[aSubject].membership_.self_.host_);
      if (!node.stopped_ && found != node.membership_.members_.end() &&
          found->second.entry_.state_ == aState) {
        ++count;
      }
    }
    return count;
  }

private:
  struct Event
  {
    TimePoint time_;
    std::uint64_t number_ = 0;
    std::function<void()> action_;
    bool operator<(const Event& aOther) const
    {
      return time_ != aOther.time_ ? time_ > aOther.time_ : number_ > aOther.number_;
    }
  };

  void ScheduleAt(TimePoint aTime, std::function<void()> aAction)
  {
    queue_.push({ aTime, nextEvent_++, std::move(aAction) });
  }

  Duration Random(Duration aBelow)
  {
    return Duration(static_cast<Duration::rep>(
      NextRandom(random_) %
      static_cast<std::uint64_t>(std::max<Duration::rep>(1, aBelow.count()))));
  }

  NetworkNode MakeNode(std::size_t aNode, Incarnation aIncarnation)
  {
    NetworkNode node;
    node.offset_ = Random(seconds(50000));
    node.processNumber_ = ++processCount_;
    MemberEntry self;
    self.host_.value_ = "h" + std::to_string(aNode);
    self.incarnation_ = aIncarnation;
    self.peer_ = { "127.0.0.1", static_cast<std::uint16_t>(aNode + 1) };
    self.dataCentre_.value_ = CentreOf(aNode);
    self.service_.value_ = "s";
    self.targetState_ = TargetState::kReady;
    // The seeds are the first node of each data centre.
    std::vector<Address> seeds;
    for (std::size_t i = 0; i < settings_.centres_; ++i) {
      seeds.push_back({ "127.0.0.1", static_cast<std::uint16_t>(i + 1) });
    }
    const auto local = now_ + node.offset_;
    node.dissemination_ = MakeDissemination({}, self.dataCentre_, NextRandom(random_), local);
    node.membership_ = MakeMembership({}, self, seeds, NextRandom(random_), local);
    return node;
  }

  void Step(std::size_t aNode, std::uint64_t aProcessNumber)
  {
    auto& node = nodes_[aNode];
    if (node.stopped_ || node.processNumber_ != aProcessNumber) {
      return;
    }
    if (node.pausedUntil_ > now_) {
      ScheduleAt(node.pausedUntil_, [=, this] { Step(aNode, aProcessNumber); });
      return;
    }
    ScheduleAt(now_ + milliseconds(100), [=, this] { Step(aNode, aProcessNumber); });
    MembershipEffects effects;
    StepMembership(node.membership_, Local(aNode), effects);
    CarryOut(aNode, effects);
    if (node.revision_ != node.membership_.revision_) {
      node.revision_ = node.membership_.revision_;
      SetRanking(node.dissemination_,
                 std::make_shared<const MemberRanking>(MakeMemberRanking(node.membership_)),
                 Local(aNode));
    }
    DisseminationEffects disseminationEffects;
    StepDissemination(node.dissemination_, Local(aNode), 0, disseminationEffects);
    CarryOut(aNode, disseminationEffects);
  }

  void CarryOut(std::size_t aNode, MembershipEffects& aEffects)
  {
    for (auto& message : aEffects.messages_) {
      Send(aNode, std::move(message));
    }
    for (auto& message : aEffects.summaries_) {
      FillSummary(
        nodes_[aNode].dissemination_, std::get<DataCentreSummary>(message.message_), Local(aNode));
      Send(aNode, std::move(message));
    }
  }

  void CarryOut(std::size_t aNode, DisseminationEffects& aEffects)
  {
    for (auto& message : aEffects.messages_) {
      Send(aNode, std::move(message));
    }
    AddContacts(nodes_[aNode].membership_, aEffects.contacts_);
    if (aEffects.call_) {
      CallPlatform(aNode, std::move(*aEffects.call_));
    }
    CheckInvariants(aNode);
  }

  void Send(std::size_t aFrom, ControlMessage aMessage)
  {
    ++nodes_[aFrom].messages_;
    const std::size_t to = aMessage.to_.port_ - 1U;
    const bool lost =
      static_cast<double>(NextRandom(random_) >> 11U) / 9007199254740992.0 < settings_.loss_;
    if (to >= nodes_.size() || lost || (isPartitioned_ && isPartitioned_(aFrom, to))) {
      return;
    }
    const auto delay = settings_.minDelay_ + Random(settings_.maxDelay_ - settings_.minDelay_);
    const auto host = nodes_[aFrom].membership_.self_;
    ScheduleAt(now_ + delay, [this, to, host, message = std::move(aMessage.message_)] {
      Deliver(to,
              { kPeerProtocolVersion, host.host_, host.incarnation_, host.dataCentre_ },
              host.peer_,
              message);
    });
  }

  void Deliver(std::size_t aNode,
               const Hello& aFrom,
               const Address& aPeer,
               const PeerMessage& aMessage)
  {
    auto& node = nodes_[aNode];
    if (node.stopped_) {
      return;
    }
    if (node.pausedUntil_ > now_) {
      ScheduleAt(node.pausedUntil_, [=, this] { Deliver(aNode, aFrom, aPeer, aMessage); });
      return;
    }
    MembershipEffects effects;
    HandleMembershipMessage(node.membership_, aPeer, aMessage, Local(aNode), effects);
    CarryOut(aNode, effects);
    DisseminationEffects disseminationEffects;
    HandleVersionMessage(
      node.dissemination_, aFrom, aPeer, aMessage, Local(aNode), disseminationEffects);
    CarryOut(aNode, disseminationEffects);
  }

  // Runs a platform call after one random delay and delivers its answer after another.
  void CallPlatform(std::size_t aNode, PlatformCall aCall)
  {
    const auto started = Local(aNode);
    const auto processNumber = nodes_[aNode].processNumber_;
    const auto callDelay = settings_.minDelay_ + Random(settings_.maxDelay_);
    const auto answerDelay = settings_.minDelay_ + Random(settings_.maxDelay_);
    ScheduleAt(now_ + callDelay, [=, this] {
      PlatformAnswer answer;
      if (centresWithoutPlatform_.count(CentreOf(aNode)) != 0) {
        answer.error_ = Error{ ErrorCode::kPlatformUnavailable, {}, {}, {} };
      } else {
        answer = RunPlatformCall(platform_, aCall);
      }
      answer.startedAt_ = started;
      ScheduleAt(now_ + answerDelay, [=, this] { DeliverAnswer(aNode, processNumber, answer); });
    });
  }

  void DeliverAnswer(std::size_t aNode, std::uint64_t aProcessNumber, PlatformAnswer aAnswer)
  {
    auto& node = nodes_[aNode];
    if (node.stopped_ || node.processNumber_ != aProcessNumber) {
      return;
    }
    if (node.pausedUntil_ > now_) {
      ScheduleAt(node.pausedUntil_, [=, this] { DeliverAnswer(aNode, aProcessNumber, aAnswer); });
      return;
    }
    aAnswer.finishedAt_ = Local(aNode);
    DisseminationEffects effects;
    HandlePlatformAnswer(node.dissemination_, aAnswer, Local(aNode), effects);
    CarryOut(aNode, effects);
  }

  // Checks at a node, after each step and message, that versions and freshness never decrease and
  // that all changes accepted by the claimed time are in force.
  void CheckInvariants(std::size_t aNode)
  {
    auto& node = nodes_[aNode];
    const auto& dissemination = node.dissemination_;
    const auto freshUntil = FreshAsOf(dissemination);
    if (dissemination.versionInForce_ < node.lastVersionInForce_ ||
        (node.lastFreshUntil_ && *freshUntil < *node.lastFreshUntil_)) {
      RecordViolation("a version or freshness decreased at node " + std::to_string(aNode));
    }
    node.lastVersionInForce_ = dissemination.versionInForce_;
    node.lastFreshUntil_ = freshUntil;
    if (!freshUntil) {
      return;
    }
    const auto trueTime = *freshUntil - node.offset_;
    Version latest = 0;
    while (latest < acceptedAt_.size() && acceptedAt_[latest] <= trueTime) {
      ++latest;
    }
    if (trueTime > now_ || dissemination.versionInForce_ < latest) {
      RecordViolation("node " + std::to_string(aNode) + " claims freshness with version " +
                      std::to_string(dissemination.versionInForce_) + " when " +
                      std::to_string(latest) + " had been accepted");
    }
  }

  void RecordViolation(const std::string& aText)
  {
    if (!violated_) {
      violated_ = true;
      violation_ = aText;
    }
  }

  NetworkSettings settings_;
  std::uint64_t random_;
  std::uint64_t nextEvent_ = 0;
  std::uint64_t processCount_ = 0;
  std::priority_queue<Event> queue_;
};

} // namespace peridotquay
