// Tests of the departures that hosts hold for each other.
#include "peridotquay/version/TargetDeparture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace peridotquay;

namespace {

const HostId kOwner{ "h1" };
const std::string kStart = "i-h1@5";

/// Hosts that exchange departures over a network that a test controls, with a simulated clock that
/// advances by 100 ms.
struct Hosts
{
  std::map<HostId, TargetDepartureState> states_;
  std::set<HostId> unreachable_;
  std::set<std::string> stored_; ///< Starts that the store shows as departed.
  TimePoint now_{ seconds(1000) };
  std::size_t sent_ = 0;
  std::vector<std::string> restored_; ///< Departures that h1 learned from others.

  explicit Hosts(const std::vector<std::string>& aNames)
  {
    for (const std::string& name : aNames) {
      states_[{ name }].self_ = { name };
    }
  }

  TargetDepartureState& Owner() { return states_[kOwner]; }

  std::vector<HostId> OthersThan(const HostId& aHost) const
  {
    std::vector<HostId> others;
    for (const auto& [host, state] : states_) {
      if (host != aHost) {
        others.push_back(host);
      }
    }
    return others;
  }

  void Deliver(const HostId& aTo, const TargetDepartures& aMessage)
  {
    ++sent_;
    if (unreachable_.contains(aTo)) {
      return;
    }
    if (aMessage.host_ != aTo) {
      const auto confirmation = HoldDepartures(states_[aTo], aMessage, now_);
      Deliver(aMessage.sender_, confirmation);
      return;
    }
    for (auto& start : ApplyHeldDepartures(states_[aTo], aMessage, now_)) {
      restored_.push_back(std::move(start));
    }
  }

  void Tick()
  {
    now_ += milliseconds(100);
    const auto isStored = [this](const HostId& /*aHost*/, std::string_view aStart) {
      return stored_.contains(std::string(aStart));
    };
    for (auto& [host, state] : states_) {
      ChooseHolders(state, OthersThan(host), {});
      if (unreachable_.contains(host)) {
        continue;
      }
      for (const auto& [to, message] : CollectDueDepartures(state, isStored, now_)) {
        Deliver(to, message);
      }
    }
  }

  void TickFor(Duration aTime)
  {
    for (const TimePoint end = now_ + aTime; now_ < end;) {
      Tick();
    }
  }

  /// Replaces the owner's process by one that knows nothing.
  void RestartOwner()
  {
    Owner() = {};
    Owner().self_ = kOwner;
  }
};

} // namespace

// Guards against a departure that ends with the process that acknowledged it.
TEST_CASE("holders name a departure to a restarted host within the recall time", "[departure]")
{
  Hosts hosts({ "h0", "h1", "h2", "h3" });
  RecordDeparture(hosts.Owner(), kStart, true, hosts.now_);
  CHECK_FALSE(HasEnoughCopies(hosts.Owner(), kStart));
  hosts.TickFor(milliseconds(200));
  REQUIRE(HasEnoughCopies(hosts.Owner(), kStart));
  hosts.RestartOwner();
  // One of the holders is gone too.
  hosts.unreachable_ = { { "h2" } };
  hosts.TickFor(kDepartureRecallTime / 2);
  CHECK(hosts.restored_ == std::vector<std::string>{ kStart });
  CHECK(HasDeparted(hosts.Owner(), kStart));
}

// Guards against an acknowledgement that relies on hosts which haven't confirmed.
TEST_CASE("a departure counts as held once two hosts have confirmed it", "[departure]")
{
  Hosts hosts({ "h0", "h1", "h2", "h3" });
  hosts.unreachable_ = { { "h0" }, { "h2" } };
  RecordDeparture(hosts.Owner(), kStart, true, hosts.now_);
  hosts.TickFor(milliseconds(500));
  CHECK(hosts.Owner().own_.at(kStart).holders_ == std::set<HostId>{ { "h3" } });
  CHECK_FALSE(HasEnoughCopies(hosts.Owner(), kStart));
  hosts.unreachable_ = { { "h2" } };
  hosts.TickFor(milliseconds(300));
  CHECK(HasEnoughCopies(hosts.Owner(), kStart));
}

TEST_CASE("a host without live neighbours has no copies", "[departure]")
{
  Hosts hosts({ "h1" });
  RecordDeparture(hosts.Owner(), kStart, true, hosts.now_);
  hosts.TickFor(seconds(1));
  CHECK_FALSE(HasEnoughCopies(hosts.Owner(), kStart));
  CHECK(hosts.sent_ == 0);
}

// Guards against messages for departures that the store shows: with a sound store there are none.
TEST_CASE("nothing is sent while the store shows the departure", "[departure]")
{
  Hosts hosts({ "h0", "h1", "h2", "h3" });
  RecordDeparture(hosts.Owner(), kStart, true, hosts.now_);
  hosts.stored_ = { kStart };
  hosts.TickFor(seconds(2));
  CHECK(hosts.sent_ == 0);
  hosts.stored_ = {};
  hosts.TickFor(milliseconds(300));
  hosts.stored_ = { kStart };
  hosts.sent_ = 0;
  hosts.TickFor(seconds(2));
  CHECK(hosts.sent_ == 0);
}

// Guards against hosts that renew a departure for each other for ever.
TEST_CASE("a departure is forgotten by all hosts after the retention", "[departure]")
{
  Hosts hosts({ "h0", "h1", "h2", "h3" });
  RecordDeparture(hosts.Owner(), kStart, true, hosts.now_);
  hosts.TickFor(seconds(20));
  hosts.RestartOwner();
  hosts.TickFor(seconds(20));
  CHECK(HasDeparted(hosts.Owner(), kStart));
  hosts.TickFor(seconds(21));
  for (const auto& [host, state] : hosts.states_) {
    CHECK(state.own_.empty());
    CHECK(state.held_.empty());
  }
}

// Guards against a new start that is taken for the one that departed.
TEST_CASE("a start without a time isn't given to holders", "[departure]")
{
  Hosts hosts({ "h0", "h1", "h2", "h3" });
  RecordDeparture(hosts.Owner(), "i-h1@0", false, hosts.now_);
  hosts.TickFor(seconds(1));
  CHECK(hosts.sent_ == 0);
}

// Guards against a restarted host that holders can't reach because its address has changed.
TEST_CASE("holders name a departure to a host that asks", "[departure]")
{
  Hosts hosts({ "h0", "h1", "h2", "h3" });
  RecordDeparture(hosts.Owner(), kStart, true, hosts.now_);
  hosts.TickFor(milliseconds(200));
  const auto held = DeparturesHeldFor(hosts.states_[{ "h2" }], kOwner, hosts.now_);
  hosts.RestartOwner();
  CHECK(ApplyHeldDepartures(hosts.Owner(), held, hosts.now_) == std::vector<std::string>{ kStart });
  CHECK(DeparturesHeldFor(hosts.states_[{ "h2" }], { "h3" }, hosts.now_).starts_.empty());
}

TEST_CASE("holders are the next hosts of the data centre and a few elsewhere", "[departure]")
{
  TargetDepartureState state;
  state.self_ = { "h5" };
  const std::vector<HostId> near{ { "h1" }, { "h2" }, { "h6" }, { "h7" } };
  ChooseHolders(state, near, { { "k1" }, { "l1" }, { "m1" } });
  CHECK(state.holders_ == std::vector<HostId>{ { "h6" }, { "h7" }, { "h1" }, { "k1" }, { "l1" } });
  ChooseHolders(state, { { "h1" } }, {});
  CHECK(state.holders_ == std::vector<HostId>{ { "h1" } });
}
