// Whether a version is in force everywhere, by the watermarks of the data centres.
#pragma once

#include "peridotquay/process/Platform.h"
#include "peridotquay/version/ConfigDelta.h"

#include <optional>
#include <string>
#include <vector>

namespace peridotquay {

/// What the watermark of one data centre says of a version.
struct DataCentreRollout
{
  DataCentreId dataCentre_;
  bool reported_ = false; ///< The data centre has a watermark row.
  Version version_ = 0;
  std::vector<std::string> lagging_;
  std::vector<std::string> unreachable_;
  bool inForce_ = false; ///< At the wanted version, without lagging or unreachable hosts.
  bool operator==(const DataCentreRollout&) const = default;
};

/// All data centres of the configuration, sorted.
struct RolloutStatus
{
  std::vector<DataCentreRollout> dataCentres_;
  /// Whether the version is in force at every site; false if there are no sites.
  bool InForceEverywhere() const;
  bool operator==(const RolloutStatus&) const = default;
};

/// Data centres that the configuration names.
std::vector<DataCentreId> ConfiguredDataCentres(const Entities& aEntities);

/// Reads the watermarks of the sites and compares them with a version.
Result<RolloutStatus> ReadRolloutStatus(Platform& aPlatform,
                                        const std::vector<DataCentreId>& aSites,
                                        Version aVersion);

/// Largest freshness bound that any host may still use: that of the configuration, or one that was
/// lowered so recently that a cut-off host can still use it. A host that never heard of a
/// withdrawal stops serving keyed routes this long after it at the latest.
Duration MaxUsableFreshnessBound(const Entities& aEntities, std::uint64_t aWallMs);

/// Carries entity policy/replaced over from the present configuration to the next one, and sets it
/// if the next one lowers the freshness bound.
void UpdateReplacedFreshnessBound(const Entities& aPresent, Entities& aNext, std::uint64_t aWallMs);

/// Settings of a wait.
struct RolloutWaitSettings
{
  Version version_ = 0;
  std::vector<DataCentreId> dataCentres_;
  Duration timeout_ = seconds(15);
  Duration interval_ = milliseconds(100);
  /// For withdrawals: hosts without the version stop serving keyed routes this long after it was
  /// written. Empty for other changes.
  std::optional<Duration> freshnessBound_;
};

/// Result of a wait.
struct RolloutWaitResult
{
  RolloutStatus rollout_;
  bool inForce_ = false;
  bool byFreshnessBound_ = false; ///< Hosts without the version no longer serve keyed routes.
  Duration waited_{};
};

/// Waits until a version is in force, from when it is called. Failures to read are retried until
/// the timeout; the last one is returned only if nothing was read at all.
Result<RolloutWaitResult> WaitUntilInForce(Platform& aPlatform,
                                           const RolloutWaitSettings& aSettings);

} // namespace peridotquay
