// Actor system of the control side and the ControlPlane in front of it.
#include "peridotquay/process/MakeControlPlane.h"

#include "peridotquay/process/ControlActor.h"
#include "peridotquay/version/MembershipRank.h"

#include <caf/actor_system_config.hpp>
#include <caf/all.hpp>

#include <random>

namespace peridotquay {

namespace {

// Two threads suffice: the actors run for microseconds at a time, and only the platform actors,
// which have their own threads, block.
constexpr std::size_t kControlThreads = 2;

// Policy "sharing": idle workers wait on a condition variable, while those of "stealing" poll.
struct ControlSystemConfig : caf::actor_system_config
{
  ControlSystemConfig()
  {
    set("scheduler.policy", caf::atom("sharing"));
    set("scheduler.max-threads", kControlThreads);
  }
};

std::uint64_t FirstRandom(const NodeSettings& aSettings)
{
  if (aSettings.randomSeed_ != 0) {
    // Mixed with the host, so that nodes with the same seed choose differently.
    return aSettings.randomSeed_ ^ RankWeight("seed", aSettings.dataCentre_, aSettings.host_);
  }
  std::random_device device;
  return (std::uint64_t{ device() } << 32U) ^ device();
}

MemberEntry SelfEntry(const NodeSettings& aSettings, Incarnation aIncarnation)
{
  MemberEntry entry;
  entry.host_ = aSettings.host_;
  entry.incarnation_ = aIncarnation;
  entry.peer_ = aSettings.peers_;
  entry.dataCentre_ = aSettings.dataCentre_;
  entry.region_ = aSettings.region_;
  entry.service_ = aSettings.service_;
  entry.targetState_ = TargetState::kCold;
  return entry;
}

std::shared_ptr<Platform> MakeClient(const NodeSettings& aSettings)
{
  PlatformClientSettings settings;
  settings.addresses_ = aSettings.platform_;
  return MakePlatformClient(std::move(settings));
}

class ActorControlPlane : public ControlPlane
{
public:
  ActorControlPlane(const NodeSettings& aSettings,
                    Incarnation aIncarnation,
                    DataPlaneCallbacks aPort)
    : system_(config_)
  {
    auto random = FirstRandom(aSettings);
    const auto now = system_.clock().now();
    const ControlContext context{ std::move(aPort), status_ };
    // Versions and shares have a platform client each, so that a slow read of changes doesn't delay
    // the renewal of the lease.
    versionPlatform_ = SpawnPlatformActor(system_, MakeClient(aSettings));
    sharePlatform_ = SpawnPlatformActor(system_, MakeClient(aSettings));
    shares_ = SpawnShareActor(
      system_,
      context,
      MakeShareLease(
        {}, aSettings.host_, aIncarnation, aSettings.dataCentre_, NextRandom(random), now),
      sharePlatform_);
    versions_ =
      SpawnVersionActor(system_,
                        context,
                        MakeDissemination({}, aSettings.dataCentre_, NextRandom(random), now),
                        versionPlatform_,
                        shares_);
    membership_ = SpawnMembershipActor(
      system_,
      context,
      MakeMembership(
        {}, SelfEntry(aSettings, aIncarnation), aSettings.seeds_, NextRandom(random), now),
      versions_,
      shares_);
    caf::anon_send(versions_, membership_);
  }

  // The actors end first; the actor system's destructor waits for them.
  ~ActorControlPlane() override
  {
    for (const auto& actor :
         { membership_, versions_, shares_, versionPlatform_, sharePlatform_ }) {
      caf::anon_send_exit(actor, caf::exit_reason::user_shutdown);
    }
    system_.await_all_actors_done();
  }

  void OnPeerMessage(const Hello& aFrom, const Address& aPeer, PeerMessage aMessage) override
  {
    const bool summary = std::holds_alternative<DataCentreSummary>(aMessage);
    if (summary || std::holds_alternative<MemberTable>(aMessage)) {
      caf::anon_send(membership_, PeerArrival{ aFrom, aPeer, aMessage });
    }
    if (std::holds_alternative<ShareRequest>(aMessage) ||
        std::holds_alternative<ShareGrant>(aMessage)) {
      caf::anon_send(shares_, PeerArrival{ aFrom, aPeer, std::move(aMessage) });
    } else if (summary || std::holds_alternative<SyncRequest>(aMessage) ||
               std::holds_alternative<SyncReply>(aMessage) ||
               std::holds_alternative<VersionPush>(aMessage)) {
      caf::anon_send(versions_, PeerArrival{ aFrom, aPeer, std::move(aMessage) });
    }
  }

  void OnDatagram(const Address& aFrom, PeerMessage aMessage) override
  {
    caf::anon_send(membership_, PeerArrival{ {}, aFrom, std::move(aMessage) });
  }

  void RequestTokens(ShareRequest aRequest) override
  {
    caf::anon_send(shares_, TokenAsk{ std::move(aRequest), system_.clock().now() });
  }

  void AnnounceTarget(TargetState aState, std::uint32_t aSlots, double aLoad) override
  {
    caf::anon_send(membership_, TargetNews{ aState, aSlots, aLoad });
  }

  void AnnounceLeft(const HostId& aSuccessor) override
  {
    caf::anon_send(membership_, DepartureNews{ aSuccessor });
  }

  ControlStatus Status() const override
  {
    ControlStatus status;
    if (const auto versions = status_->versions_.load()) {
      status = *versions;
    }
    if (const auto membership = status_->membership_.load()) {
      status.membersAlive_ = membership->membersAlive_;
      status.membersSuspect_ = membership->membersSuspect_;
    }
    if (const auto shares = status_->shares_.load()) {
      status.shareLeader_ = shares->shareLeader_;
    }
    return status;
  }

private:
  ControlSystemConfig config_;
  caf::actor_system system_;
  std::shared_ptr<ControlStatusSlots> status_ = std::make_shared<ControlStatusSlots>();
  caf::actor versionPlatform_;
  caf::actor sharePlatform_;
  caf::actor shares_;
  caf::actor versions_;
  caf::actor membership_;
};

} // namespace

std::unique_ptr<ControlPlane> MakeControlPlane(const NodeSettings& aSettings,
                                               Incarnation aIncarnation,
                                               DataPlaneCallbacks aPort)
{
  return std::make_unique<ActorControlPlane>(aSettings, aIncarnation, std::move(aPort));
}

} // namespace peridotquay
