// Tests of membership at single nodes. There is no network: each test passes the messages itself.
#include "peridotquay/version/Membership.h"

#include "peridotquay/version/MembershipRank.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

using namespace peridotquay;

namespace {

const TimePoint kStart{ seconds(1000) };

MemberEntry MakeEntry(const std::string& aHost, const std::string& aCentre = "a")
{
  MemberEntry entry;
  entry.host_.value_ = aHost;
  entry.incarnation_ = 100;
  entry.peer_ = { "127.0.0.1", static_cast<std::uint16_t>(1000 + std::stoi(aHost.substr(1))) };
  entry.dataCentre_.value_ = aCentre;
  entry.service_.value_ = "s";
  entry.targetState_ = TargetState::kReady;
  return entry;
}

Membership MakeTestMembership(const std::string& aHost = "h0")
{
  return MakeMembership({}, MakeEntry(aHost), {}, 7, kStart);
}

void ReceiveEntries(Membership& aState, std::vector<MemberEntry> aEntries, TimePoint aNow = kStart)
{
  MembershipEffects effects;
  HandleMembershipMessage(aState, {}, MemberTable{ false, std::move(aEntries) }, aNow, effects);
}

// Steps every 100 ms without a message from other members.
MembershipEffects RunWithoutAnswers(Membership& aState, TimePoint aFrom, Duration aLength)
{
  MembershipEffects effects;
  for (auto now = aFrom; now <= aFrom + aLength; now += milliseconds(100)) {
    StepMembership(aState, now, effects);
  }
  return effects;
}

} // namespace

// Guards against a restarted member that stays dead because of the tombstone of its earlier
// process.
TEST_CASE("a higher incarnation overrides a tombstone and a lower one doesn't", "[membership]")
{
  auto state = MakeTestMembership();
  auto entry = MakeEntry("h1");
  ReceiveEntries(state, { entry });
  entry.state_ = MemberState::kDead;
  ReceiveEntries(state, { entry });
  CHECK(state.members_.at(entry.host_).entry_.state_ == MemberState::kDead);
  entry.state_ = MemberState::kAlive;
  ReceiveEntries(state, { entry });
  CHECK(state.members_.at(entry.host_).entry_.state_ == MemberState::kDead);
  ++entry.incarnation_;
  ReceiveEntries(state, { entry });
  CHECK(state.members_.at(entry.host_).entry_.state_ == MemberState::kAlive);
}

// Guards against a node that accepts a false suspicion of itself, or that raises its incarnation
// again for a suspicion that it already refuted.
TEST_CASE("a node refutes a suspicion of itself once", "[membership]")
{
  auto state = MakeTestMembership();
  auto entry = MakeEntry("h0");
  entry.state_ = MemberState::kSuspect;
  entry.incarnation_ = 105;
  ReceiveEntries(state, { entry });
  CHECK(state.self_.incarnation_ == 106);
  CHECK(state.self_.state_ == MemberState::kAlive);
  entry.incarnation_ = 105;
  ReceiveEntries(state, { entry });
  CHECK(state.self_.incarnation_ == 106);
}

// Guards against indirect probes, suspicions and declarations of death that are too early or too
// late.
TEST_CASE("a silent member is probed indirectly, suspected and declared dead", "[membership]")
{
  auto state = MakeTestMembership();
  ReceiveEntries(state, { MakeEntry("h1"), MakeEntry("h2"), MakeEntry("h3") });
  MembershipEffects effects;
  StepMembership(state, kStart, effects);
  REQUIRE(state.probe_);
  const auto subject = state.probe_->host_;
  effects = {};
  StepMembership(state, kStart + milliseconds(299), effects);
  CHECK(effects.messages_.empty());
  StepMembership(state, kStart + milliseconds(300), effects);
  CHECK(effects.messages_.size() == 2);
  CHECK(std::holds_alternative<ProbeRequest>(effects.messages_.front().message_));
  StepMembership(state, kStart + milliseconds(650), effects);
  StepMembership(state, kStart + milliseconds(1000), effects);
  CHECK(state.members_.at(subject).entry_.state_ == MemberState::kSuspect);
  // Another member answers, so the node can't be partitioned from the network.
  for (auto now = kStart + milliseconds(1100); now < kStart + milliseconds(4100);
       now += milliseconds(100)) {
    CHECK(state.members_.at(subject).entry_.state_ == MemberState::kSuspect);
    StepMembership(state, now, effects);
    if (state.probe_) {
      const auto& probed = state.members_.at(state.probe_->host_).entry_;
      if (probed.host_ != subject) {
        HandleMembershipMessage(
          state, probed.peer_, ProbeAck{ state.probe_->sequence_, probed, {} }, now, effects);
      }
    }
  }
  StepMembership(state, kStart + milliseconds(4100), effects);
  CHECK(state.members_.at(subject).entry_.state_ == MemberState::kDead);
}

// Guards against a member that is suspected although another member relayed its ack.
TEST_CASE("a relayed ack ends a probe", "[membership]")
{
  auto requester = MakeTestMembership();
  ReceiveEntries(requester, { MakeEntry("h1"), MakeEntry("h2") });
  MembershipEffects effects;
  StepMembership(requester, kStart, effects);
  const auto subject = requester.members_.at(requester.probe_->host_).entry_;
  effects = {};
  StepMembership(requester, kStart + milliseconds(300), effects);
  REQUIRE(effects.messages_.size() == 1);
  const auto request = effects.messages_.front().message_;
  const auto helperName = subject.host_.value_ == "h1" ? "h2" : "h1";
  auto helper = MakeTestMembership(helperName);
  MembershipEffects helperEffects;
  HandleMembershipMessage(helper, requester.self_.peer_, request, kStart, helperEffects);
  REQUIRE(helperEffects.messages_.size() == 1);
  CHECK(helperEffects.messages_.front().to_ == subject.peer_);
  const auto& probe = std::get<Probe>(helperEffects.messages_.front().message_);
  MembershipEffects relayEffects;
  HandleMembershipMessage(
    helper, subject.peer_, ProbeAck{ probe.sequence_, subject, {} }, kStart, relayEffects);
  REQUIRE(relayEffects.messages_.size() == 1);
  CHECK(relayEffects.messages_.front().to_ == requester.self_.peer_);
  HandleMembershipMessage(requester,
                          helper.self_.peer_,
                          relayEffects.messages_.front().message_,
                          kStart + milliseconds(400),
                          effects);
  CHECK(requester.probe_->acked_);
}

// Guards against a partitioned node that declares all other members dead, and against a paused node
// that suspects them for the time of its pause.
TEST_CASE("a partitioned node finds others unreachable, and a paused node suspects none",
          "[membership]")
{
  auto partitioned = MakeTestMembership();
  ReceiveEntries(partitioned, { MakeEntry("h1"), MakeEntry("h2"), MakeEntry("h3") });
  RunWithoutAnswers(partitioned, kStart, seconds(20));
  for (const auto& [host, member] : partitioned.members_) {
    CHECK(member.entry_.state_ != MemberState::kAlive);
    CHECK(member.entry_.state_ != MemberState::kDead);
  }
  CHECK(MakeTargetView(partitioned).targets_.at(ServiceId{ "s" }).size() == 1);
  auto paused = MakeTestMembership();
  ReceiveEntries(paused, { MakeEntry("h1"), MakeEntry("h2") });
  MembershipEffects effects;
  StepMembership(paused, kStart, effects);
  StepMembership(paused, kStart + seconds(30), effects);
  for (const auto& [host, member] : paused.members_) {
    CHECK(member.entry_.state_ == MemberState::kAlive);
  }
}

// Guards against calls to targets that are dead or left, and against request ids of a host that
// left being unreachable although it named a successor.
TEST_CASE("the target view holds usable targets and successors", "[membership]")
{
  auto state = MakeTestMembership();
  auto left = MakeEntry("h1");
  left.state_ = MemberState::kLeft;
  left.successor_.value_ = "h2";
  auto dead = MakeEntry("h3");
  dead.state_ = MemberState::kDead;
  auto draining = MakeEntry("h4");
  draining.targetState_ = TargetState::kDraining;
  ReceiveEntries(state, { left, MakeEntry("h2"), dead, draining });
  const auto view = MakeTargetView(state);
  const auto& targets = view.targets_.at(ServiceId{ "s" });
  REQUIRE(targets.size() == 3);
  CHECK(targets[0].host_.value_ == "h0");
  CHECK(targets[1].host_.value_ == "h2");
  CHECK(targets[2].state_ == TargetState::kDraining);
  CHECK(view.hosts_.at(HostId{ "h1" }) == MakeEntry("h2").peer_);
  CHECK(view.hosts_.count(HostId{ "h3" }) == 0);
}

// Guards against a datagram too large for one IP packet, and against a table above maxMembers_ or
// one that drops members of the own data centre.
TEST_CASE("the sizes of datagrams and of the member table are bounded", "[membership]")
{
  auto state = MakeTestMembership();
  state.settings_.maxMembers_ = 50;
  std::vector<MemberEntry> entries;
  for (int i = 1; i < 40; ++i) {
    entries.push_back(MakeEntry("h" + std::to_string(i)));
  }
  for (int i = 40; i < 200; ++i) {
    entries.push_back(MakeEntry("h" + std::to_string(i), "b"));
  }
  ReceiveEntries(state, entries);
  CHECK(state.members_.size() == 50);
  CHECK(state.members_.count(HostId{ "h39" }) == 1);
  const auto effects = RunWithoutAnswers(state, kStart, seconds(3));
  for (const auto& message : effects.messages_) {
    if (const auto* probe = std::get_if<Probe>(&message.message_)) {
      CHECK(probe->updates_.size() <= state.settings_.updatesPerDatagram_ + 1);
    }
  }
}

// Guards against nodes that disagree on a member because the same statements arrived in another
// order.
TEST_CASE("the order of statements about a member doesn't change the result", "[membership]")
{
  CHECK(rc::check([] {
    const auto size = *rc::gen::inRange<std::size_t>(1, 12);
    std::vector<MemberEntry> statements;
    for (std::size_t i = 0; i < size; ++i) {
      auto entry = MakeEntry("h1");
      entry.incarnation_ = 100 + *rc::gen::inRange<std::uint64_t>(0, 4);
      entry.state_ = *rc::gen::element(
        MemberState::kAlive, MemberState::kSuspect, MemberState::kDead, MemberState::kLeft);
      // A node raises its incarnation with each change of slots, so equal incarnations have equal
      // slots.
      entry.slots_ = static_cast<std::uint32_t>(entry.incarnation_);
      statements.push_back(entry);
    }
    const auto apply = [](const std::vector<MemberEntry>& aStatements) {
      auto state = MakeTestMembership();
      ReceiveEntries(state, { MakeEntry("h1") });
      for (const auto& statement : aStatements) {
        ReceiveEntries(state, { statement });
      }
      return state.members_.at(HostId{ "h1" }).entry_;
    };
    auto shuffled = statements;
    std::uint64_t random = *rc::gen::arbitrary<std::uint64_t>();
    for (std::size_t i = shuffled.size(); i > 1; --i) {
      std::swap(shuffled[i - 1], shuffled[NextRandom(random) % i]);
    }
    RC_ASSERT(apply(statements) == apply(shuffled));
  }));
}
