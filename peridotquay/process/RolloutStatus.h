// Tells how far a configuration version has rolled out. The delegates of each data centre write a
// watermark row to the platform: the lowest version in force at its reachable hosts, some of the
// hosts that lag behind, and the hosts that can't be reached.
#pragma once

#include "peridotquay/process/Platform.h"
#include "peridotquay/version/ConfigDelta.h"

#include <optional>
#include <string>
#include <vector>

namespace peridotquay {

/// Rollout of a version in one data centre, according to its watermark row.
struct DataCentreRollout
{
  DataCentreId dataCentre_;
  bool reported_ = false;                ///< The data centre has a watermark row.
  Version version_ = 0;                  ///< Version of the watermark.
  std::vector<std::string> lagging_;     ///< Some of the hosts without the queried version.
  std::vector<std::string> unreachable_; ///< Hosts that can't be reached.
  bool inForce_ = false; ///< The queried version is in force at every host, and all are reachable.
  bool operator==(const DataCentreRollout&) const = default;
};

/// Rollout of a version in all data centres of the configuration, sorted by data centre.
struct RolloutStatus
{
  std::vector<DataCentreRollout> dataCentres_;
  /// True if the version is in force in every data centre; false if there are none.
  bool InForceEverywhere() const;
  bool operator==(const RolloutStatus&) const = default;
};

/// Data centres that a configuration names, sorted.
std::vector<DataCentreId> ConfiguredDataCentres(const Entities& aEntities);

/// Reads the watermarks of the data centres and compares them with a version.
Result<RolloutStatus> ReadRolloutStatus(Platform& aPlatform,
                                        const std::vector<DataCentreId>& aDataCentres,
                                        Version aVersion);

/// Largest freshness bound that any host may still use: that of the configuration, or a larger one
/// that was replaced so recently that a disconnected host may still use it. A host that doesn't
/// receive the withdrawal of a key stops serving keyed routes at most this long after it.
Duration MaxUsableFreshnessBound(const Entities& aEntities, std::uint64_t aWallMs);

/// Copies the entity policy/replaced, which holds the replaced freshness bound, from the current
/// configuration to the next one, and updates it if the next one lowers the freshness bound.
void UpdateReplacedFreshnessBound(const Entities& aCurrent, Entities& aNext, std::uint64_t aWallMs);

/// Settings of WaitUntilInForce.
struct RolloutWaitSettings
{
  Version version_ = 0;
  std::vector<DataCentreId> dataCentres_;
  Duration timeout_ = seconds(15);
  Duration readInterval_ = milliseconds(100);
  /// For withdrawals of keys: hosts without the version stop serving keyed routes this long after
  /// it was written, so the wait ends this long after the call. Empty for other changes.
  std::optional<Duration> freshnessBound_;
};

/// Result of WaitUntilInForce.
struct RolloutWaitResult
{
  RolloutStatus rollout_;
  bool inForce_ = false;          ///< True also if byFreshnessBound_.
  bool byFreshnessBound_ = false; ///< Hosts without the version no longer serve keyed routes.
  Duration waited_{};
};

/// Waits until a version is in force everywhere. The timeout counts from the call. Failed reads are
/// retried until the timeout; the last error is returned only if no read succeeded.
Result<RolloutWaitResult> WaitUntilInForce(Platform& aPlatform,
                                           const RolloutWaitSettings& aSettings);

} // namespace peridotquay
