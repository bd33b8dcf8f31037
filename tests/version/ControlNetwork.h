// In-memory network of the pure control modules, with virtual time, loss, delays, pauses and cuts.
// Every node has its own monotonic clock with a random offset, so that a time that travels
// unchanged between nodes gives nonsense.
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

struct NetworkNode
{
  Membership membership_;
  Dissemination versions_;
  Duration offset_{}; ///< Own clock minus true time.
  TimePoint pausedUntil_{};
  bool stopped_ = false;
  std::uint64_t revision_ = ~std::uint64_t{ 0 };
  Version lastVersion_ = 0;
  std::optional<TimePoint> lastFresh_;
  std::uint64_t messages_ = 0; ///< Sent.
  std::uint64_t life_ = 0;     ///< Distinguishes processes: platform answers reach only the caller.
};

struct NetworkSettings
{
  std::size_t nodes_ = 16;
  std::size_t centres_ = 1;
  double loss_ = 0;
  Duration leastDelay_ = milliseconds(1);
  Duration mostDelay_ = milliseconds(5);
  std::uint64_t seed_ = 1;
};

class ControlNetwork
{
public:
  explicit ControlNetwork(const NetworkSettings& aSettings)
    : settings_(aSettings)
    , random_(aSettings.seed_)
  {
    for (std::size_t i = 0; i < aSettings.nodes_; ++i) {
      nodes_.push_back(Make(i, 1));
      const auto life = nodes_[i].life_;
      At(now_ + Random(milliseconds(100)), [this, i, life] { Step(i, life); });
    }
  }

  std::vector<NetworkNode> nodes_;
  FakePlatform platform_;
  std::set<std::string> platformCut_; ///< Data centres that don't reach the platform.
  std::function<bool(std::size_t, std::size_t)> cut_; ///< True: nothing passes between the two.
  std::vector<TimePoint> accepted_; ///< True time at which version i + 1 was accepted.
  bool violated_ = false; ///< A version decreased, or freshness was claimed later than is true.
  std::string violation_;
  TimePoint now_{ seconds(100000) };

  /// Runs for a length of true time.
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

  /// An operator's change takes effect in the platform now.
  void Accept(std::vector<EntityEdit> aEdits)
  {
    const Version version = accepted_.size() + 1;
    Change change;
    change.version_ = version;
    change.edits_ = std::move(aEdits);
    PlatformTransaction transaction;
    transaction.operationId_ = "change" + std::to_string(version);
    transaction.writes_ = { { std::string(kHeadRowKey), EncodeHead(version) },
                            { ChangeRowKey(version), EncodeChange(change) } };
    if (platform_.Transact(transaction).has_value()) {
      accepted_.push_back(now_);
    }
  }

  void AcceptAccount(int aRate)
  {
    Accept({ { "account/mill", R"({"burst":10,"rate":)" + std::to_string(aRate) + "}" } });
  }

  TimePoint Local(std::size_t aNode) const { return now_ + nodes_[aNode].offset_; }

  void Stop(std::size_t aNode) { nodes_[aNode].stopped_ = true; }

  /// A new process on the same host.
  void Restart(std::size_t aNode, Incarnation aIncarnation)
  {
    nodes_[aNode] = Make(aNode, aIncarnation);
    const auto life = nodes_[aNode].life_;
    At(now_, [this, aNode, life] { Step(aNode, life); });
  }

  void Pause(std::size_t aNode, Duration aLength) { nodes_[aNode].pausedUntil_ = now_ + aLength; }

  std::string CentreOf(std::size_t aNode) const
  {
    return std::string(1, static_cast<char>('a' + aNode % settings_.centres_));
  }

  /// Number of nodes that see the host in this state.
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

  void At(TimePoint aTime, std::function<void()> aAction)
  {
    queue_.push({ aTime, nextEvent_++, std::move(aAction) });
  }

  Duration Random(Duration aBelow)
  {
    return Duration(static_cast<Duration::rep>(
      NextRandom(random_) %
      static_cast<std::uint64_t>(std::max<Duration::rep>(1, aBelow.count()))));
  }

  NetworkNode Make(std::size_t aNode, Incarnation aIncarnation)
  {
    NetworkNode node;
    node.offset_ = Random(seconds(50000));
    node.life_ = ++lives_;
    MemberEntry self;
    self.host_.value_ = "h" + std::to_string(aNode);
    self.incarnation_ = aIncarnation;
    self.peer_ = { "127.0.0.1", static_cast<std::uint16_t>(aNode + 1) };
    self.dataCentre_.value_ = CentreOf(aNode);
    self.service_.value_ = "s";
    self.targetState_ = TargetState::kReady;
    // Seeds: the first node of each data centre.
    std::vector<Address> seeds;
    for (std::size_t i = 0; i < settings_.centres_; ++i) {
      seeds.push_back({ "127.0.0.1", static_cast<std::uint16_t>(i + 1) });
    }
    const auto local = now_ + node.offset_;
    node.versions_ = MakeDissemination({}, self.dataCentre_, NextRandom(random_), local);
    node.membership_ = MakeMembership({}, self, seeds, NextRandom(random_), local);
    return node;
  }

  void Step(std::size_t aNode, std::uint64_t aLife)
  {
    auto& node = nodes_[aNode];
    if (node.stopped_ || node.life_ != aLife) {
      return;
    }
    if (node.pausedUntil_ > now_) {
      At(node.pausedUntil_, [=, this] { Step(aNode, aLife); });
      return;
    }
    At(now_ + milliseconds(100), [=, this] { Step(aNode, aLife); });
    MembershipEffects effects;
    StepMembership(node.membership_, Local(aNode), effects);
    CarryOut(aNode, effects);
    if (node.revision_ != node.membership_.revision_) {
      node.revision_ = node.membership_.revision_;
      SetRanking(node.versions_,
                 std::make_shared<const MemberRanking>(MakeMemberRanking(node.membership_)),
                 Local(aNode));
    }
    DisseminationEffects versions;
    StepDissemination(node.versions_, Local(aNode), 0, versions);
    CarryOut(aNode, versions);
  }

  void CarryOut(std::size_t aNode, MembershipEffects& aEffects)
  {
    for (auto& message : aEffects.messages_) {
      Send(aNode, std::move(message));
    }
    for (auto& message : aEffects.summaries_) {
      FillSummary(nodes_[aNode].versions_, std::get<Summary>(message.message_), Local(aNode));
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
    Check(aNode);
  }

  void Send(std::size_t aFrom, ControlMessage aMessage)
  {
    ++nodes_[aFrom].messages_;
    const std::size_t to = aMessage.to_.port_ - 1U;
    const bool lost =
      static_cast<double>(NextRandom(random_) >> 11U) / 9007199254740992.0 < settings_.loss_;
    if (to >= nodes_.size() || lost || (cut_ && cut_(aFrom, to))) {
      return;
    }
    const auto delay = settings_.leastDelay_ + Random(settings_.mostDelay_ - settings_.leastDelay_);
    const auto host = nodes_[aFrom].membership_.self_;
    At(now_ + delay, [this, to, host, message = std::move(aMessage.message_)] {
      Arrive(to,
             { kPeerProtocolVersion, host.host_, host.incarnation_, host.dataCentre_ },
             host.peer_,
             message);
    });
  }

  void Arrive(std::size_t aNode,
              const Hello& aFrom,
              const Address& aPeer,
              const PeerMessage& aMessage)
  {
    auto& node = nodes_[aNode];
    if (node.stopped_) {
      return;
    }
    if (node.pausedUntil_ > now_) {
      At(node.pausedUntil_, [=, this] { Arrive(aNode, aFrom, aPeer, aMessage); });
      return;
    }
    MembershipEffects effects;
    HandleMembershipMessage(node.membership_, aPeer, aMessage, Local(aNode), effects);
    CarryOut(aNode, effects);
    DisseminationEffects versions;
    HandleVersionMessage(node.versions_, aFrom, aPeer, aMessage, Local(aNode), versions);
    CarryOut(aNode, versions);
  }

  // The platform runs the call after one delay and the answer arrives after another.
  void CallPlatform(std::size_t aNode, PlatformCall aCall)
  {
    const auto started = Local(aNode);
    const auto life = nodes_[aNode].life_;
    const auto there = settings_.leastDelay_ + Random(settings_.mostDelay_);
    const auto back = settings_.leastDelay_ + Random(settings_.mostDelay_);
    At(now_ + there, [=, this] {
      PlatformAnswer answer;
      if (platformCut_.count(CentreOf(aNode)) != 0) {
        answer.error_ = Error{ ErrorCode::kPlatformUnavailable, {}, {}, {} };
      } else {
        answer = RunPlatformCall(platform_, aCall);
      }
      answer.startedAt_ = started;
      At(now_ + back, [=, this] { Answer(aNode, life, answer); });
    });
  }

  void Answer(std::size_t aNode, std::uint64_t aLife, PlatformAnswer aAnswer)
  {
    auto& node = nodes_[aNode];
    if (node.stopped_ || node.life_ != aLife) {
      return;
    }
    if (node.pausedUntil_ > now_) {
      At(node.pausedUntil_, [=, this] { Answer(aNode, aLife, aAnswer); });
      return;
    }
    aAnswer.finishedAt_ = Local(aNode);
    DisseminationEffects effects;
    HandleVersionAnswer(node.versions_, aAnswer, Local(aNode), effects);
    CarryOut(aNode, effects);
  }

  // What must hold at each node after each step.
  void Check(std::size_t aNode)
  {
    auto& node = nodes_[aNode];
    const auto& versions = node.versions_;
    const auto fresh = FreshUntil(versions);
    if (versions.inForce_ < node.lastVersion_ || (node.lastFresh_ && *fresh < *node.lastFresh_)) {
      Violate("a version or freshness decreased at node " + std::to_string(aNode));
    }
    node.lastVersion_ = versions.inForce_;
    node.lastFresh_ = fresh;
    if (!fresh) {
      return;
    }
    const auto trueTime = *fresh - node.offset_;
    Version latest = 0;
    while (latest < accepted_.size() && accepted_[latest] <= trueTime) {
      ++latest;
    }
    if (trueTime > now_ || versions.inForce_ < latest) {
      Violate("node " + std::to_string(aNode) + " claims freshness with version " +
              std::to_string(versions.inForce_) + " when " + std::to_string(latest) +
              " had been accepted");
    }
  }

  void Violate(const std::string& aText)
  {
    if (!violated_) {
      violated_ = true;
      violation_ = aText;
    }
  }

  NetworkSettings settings_;
  std::uint64_t random_;
  std::uint64_t nextEvent_ = 0;
  std::uint64_t lives_ = 0;
  std::priority_queue<Event> queue_;
};

} // namespace peridotquay
