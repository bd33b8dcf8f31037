// Control plane on an actor system: actors for membership, configuration versions and token shares.
#include "peridotquay/process/MakeControlPlane.h"

#include "peridotquay/process/ControlActor.h"
#include "peridotquay/version/MembershipRank.h"

#include <caf/actor_system_config.hpp>
#include <caf/all.hpp>

#include <random>

namespace peridotquay {

namespace {

// Two threads suffice: the actors run for microseconds at a time. Only the platform actors block,
// and each of them has its own thread.
constexpr std::size_t kSchedulerThreads = 2;

// Uses the scheduler policy "sharing", whose idle threads wait on a condition variable, instead of
// "stealing", whose idle threads poll.
struct ControlSystemConfig : caf::actor_system_config
{
  ControlSystemConfig()
  {
    set("scheduler.policy", caf::atom("sharing"));
    set("scheduler.max-threads", kSchedulerThreads);
  }
};

std::uint64_t InitialRandomState(const NodeSettings& aSettings)
{
  if (aSettings.randomSeed_ != 0) {
    // The seed is mixed with the host, so that nodes with the same seed make different choices.
    return aSettings.randomSeed_ ^ RankWeight("seed", aSettings.dataCentre_, aSettings.host_);
  }
  std::random_device device;
  return (std::uint64_t{ device() } << 32U) ^ device();
}

MemberEntry OwnMemberEntry(const NodeSettings& aSettings, Incarnation aIncarnation)
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

std::shared_ptr<Platform> MakePlatform(const NodeSettings& aSettings)
{
  PlatformClientSettings settings;
  settings.addresses_ = aSettings.platformAddresses_;
  return MakePlatformClient(std::move(settings));
}

class ActorControlPlane : public ControlPlane
{
public:
  ActorControlPlane(const NodeSettings& aSettings,
                    Incarnation aIncarnation,
                    DataPlaneCallbacks aCallbacks)
    : system_(config_)
  {
    auto random = InitialRandomState(aSettings);
    const auto now = system_.clock().now();
    const ControlContext context{ std::move(aCallbacks), status_ };
    // Versions and shares use separate platform clients, so that a slow read of configuration
    // changes doesn't delay the renewal of the share lease.
    versionPlatform_ = SpawnPlatformActor(system_, MakePlatform(aSettings));
    sharePlatform_ = SpawnPlatformActor(system_, MakePlatform(aSettings));
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
        {}, OwnMemberEntry(aSettings, aIncarnation), aSettings.seedPeers_, NextRandom(random), now),
      versions_,
      shares_);
    caf::anon_send(versions_, membership_);
  }

  // Stops the actors and waits for them before the members that they use are destroyed.
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
    const bool isSummary = std::holds_alternative<DataCentreSummary>(aMessage);
    if (isSummary || std::holds_alternative<MemberTable>(aMessage)) {
      caf::anon_send(membership_, ReceivedPeerMessage{ aFrom, aPeer, aMessage });
    }
    if (std::holds_alternative<ShareRequest>(aMessage) ||
        std::holds_alternative<ShareGrant>(aMessage)) {
      caf::anon_send(shares_, ReceivedPeerMessage{ aFrom, aPeer, std::move(aMessage) });
    } else if (isSummary || std::holds_alternative<SyncRequest>(aMessage) ||
               std::holds_alternative<SyncReply>(aMessage) ||
               std::holds_alternative<VersionPush>(aMessage)) {
      caf::anon_send(versions_, ReceivedPeerMessage{ aFrom, aPeer, std::move(aMessage) });
    }
  }

  void OnDatagram(const Address& aFrom, PeerMessage aMessage) override
  {
    caf::anon_send(membership_, ReceivedPeerMessage{ {}, aFrom, std::move(aMessage) });
  }

  void RequestTokens(ShareRequest aRequest) override
  {
    caf::anon_send(shares_, TokenRequest{ std::move(aRequest), system_.clock().now() });
  }

  void AnnounceTarget(TargetState aState, std::uint32_t aSlots, double aLoad) override
  {
    caf::anon_send(membership_, TargetAnnouncement{ aState, aSlots, aLoad });
  }

  void AnnounceLeft(const HostId& aSuccessor) override
  {
    caf::anon_send(membership_, DepartureAnnouncement{ aSuccessor });
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
                                               DataPlaneCallbacks aCallbacks)
{
  return std::make_unique<ActorControlPlane>(aSettings, aIncarnation, std::move(aCallbacks));
}

} // namespace peridotquay
