// Reads the watermarks, waits for a rollout and keeps track of replaced freshness bounds.
#include "peridotquay/process/RolloutStatus.h"

#include "peridotquay/version/Config.h"
#include "peridotquay/version/ConfigReader.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <map>
#include <thread>

namespace peridotquay {

namespace {

/// Maximum freshness bound that a configuration can set.
constexpr Duration kMaxFreshnessBound = seconds(3600);

/// Time for which a replaced bound is taken into account: twice the maximum bound, because the
/// times come from the clocks of operators' machines.
constexpr std::uint64_t kReplacedBoundLifetimeMs = 7200000;

/// Maximum number of watermark rows in one read. Rows of removed data centres remain.
constexpr std::uint32_t kMaxWatermarkRows = 1000;

const std::string kPolicyEntity = "policy/default";
const std::string kReplacedEntity = "policy/replaced";

/// Freshness bound of a policy entity: the default if the entity or an integer bound is absent, the
/// maximum if the entity is malformed.
Duration FreshnessBoundIn(const Entities& aEntities, const std::string& aEntity)
{
  const auto entity = aEntities.find(aEntity);
  if (entity == aEntities.end()) {
    return Policy{}.keyFreshnessBound_;
  }
  const auto json = ConfigJson::parse(entity->second, nullptr, false);
  if (!json.is_object()) {
    return kMaxFreshnessBound;
  }
  const auto found = json.find("key_freshness_bound_ms");
  if (found == json.end() || !found->is_number_integer()) {
    return Policy{}.keyFreshnessBound_;
  }
  return milliseconds(found->get<std::int64_t>());
}

/// Replaced freshness bound; zero if there is none or if no host can use it any more.
Duration ReplacedFreshnessBound(const Entities& aEntities, std::uint64_t aWallMs)
{
  const auto entity = aEntities.find(kReplacedEntity);
  if (entity == aEntities.end()) {
    return Duration::zero();
  }
  const auto json = ConfigJson::parse(entity->second, nullptr, false);
  const bool valid =
    json.is_object() && json.contains("until_ms") && json["until_ms"].is_number_unsigned();
  const bool expired = valid && json["until_ms"].get<std::uint64_t>() <= aWallMs;
  return expired ? Duration::zero() : FreshnessBoundIn(aEntities, kReplacedEntity);
}

DataCentreRollout EvaluateWatermark(const DataCentreId& aDataCentre,
                                    const Watermark* aWatermark,
                                    Version aVersion)
{
  DataCentreRollout rollout;
  rollout.dataCentre_ = aDataCentre;
  if (aWatermark != nullptr) {
    rollout.reported_ = true;
    rollout.version_ = aWatermark->version_;
    rollout.unreachable_ = aWatermark->unreachable_;
    // If the watermark has reached aVersion, its lagging hosts lag behind a later version.
    if (aWatermark->version_ < aVersion) {
      rollout.lagging_ = aWatermark->lagging_;
    }
    rollout.inForce_ = aWatermark->version_ >= aVersion && aWatermark->unreachable_.empty();
  }
  return rollout;
}

} // namespace

bool RolloutStatus::InForceEverywhere() const
{
  return !dataCentres_.empty() &&
         std::all_of(dataCentres_.begin(),
                     dataCentres_.end(),
                     [](const DataCentreRollout& aDataCentre) { return aDataCentre.inForce_; });
}

std::vector<DataCentreId> ConfiguredDataCentres(const Entities& aEntities)
{
  constexpr std::string_view kPrefix = "site/";
  std::vector<DataCentreId> dataCentres;
  for (auto entry = aEntities.lower_bound(std::string(kPrefix));
       entry != aEntities.end() && entry->first.compare(0, kPrefix.size(), kPrefix) == 0;
       ++entry) {
    dataCentres.push_back({ entry->first.substr(kPrefix.size()) });
  }
  return dataCentres;
}

Result<RolloutStatus> ReadRolloutStatus(Platform& aPlatform,
                                        const std::vector<DataCentreId>& aDataCentres,
                                        Version aVersion)
{
  // One read for all data centres, because many operators may wait at the same time.
  BOOST_OUTCOME_TRY(rows, aPlatform.ReadRange(WatermarkRowKey({}), "", kMaxWatermarkRows));
  std::map<DataCentreId, Watermark> watermarks;
  for (const auto& row : rows) {
    BOOST_OUTCOME_TRY(watermark, DecodeWatermark(row.value_));
    watermarks[watermark.dataCentre_] = std::move(watermark);
  }
  RolloutStatus status;
  for (const auto& dataCentre : aDataCentres) {
    const auto watermark = watermarks.find(dataCentre);
    status.dataCentres_.push_back(EvaluateWatermark(
      dataCentre, watermark == watermarks.end() ? nullptr : &watermark->second, aVersion));
  }
  return status;
}

Duration MaxUsableFreshnessBound(const Entities& aEntities, std::uint64_t aWallMs)
{
  return std::max(FreshnessBoundIn(aEntities, kPolicyEntity),
                  ReplacedFreshnessBound(aEntities, aWallMs));
}

void UpdateReplacedFreshnessBound(const Entities& aCurrent, Entities& aNext, std::uint64_t aWallMs)
{
  if (const auto kept = aCurrent.find(kReplacedEntity); kept != aCurrent.end()) {
    aNext[kReplacedEntity] = kept->second;
  }
  // Before the first version no host serves a keyed route, so there is no bound to replace.
  const bool lowered = !aCurrent.empty() && FreshnessBoundIn(aCurrent, kPolicyEntity) >
                                              FreshnessBoundIn(aNext, kPolicyEntity);
  if (!lowered) {
    return;
  }
  const auto bound = MaxUsableFreshnessBound(aCurrent, aWallMs);
  const ConfigJson json = { { "key_freshness_bound_ms",
                              std::chrono::duration_cast<milliseconds>(bound).count() },
                            { "until_ms", aWallMs + kReplacedBoundLifetimeMs } };
  aNext[kReplacedEntity] = json.dump();
}

Result<RolloutWaitResult> WaitUntilInForce(Platform& aPlatform,
                                           const RolloutWaitSettings& aSettings)
{
  const auto start = Clock::now();
  RolloutWaitResult result;
  std::optional<Error> failure;
  bool anyRead = false;
  for (;;) {
    auto status = ReadRolloutStatus(aPlatform, aSettings.dataCentres_, aSettings.version_);
    result.waited_ = Clock::now() - start;
    if (status.has_value()) {
      anyRead = true;
      result.rollout_ = std::move(status).assume_value();
    } else {
      failure = status.assume_error();
    }
    result.inForce_ = anyRead && result.rollout_.InForceEverywhere();
    result.byFreshnessBound_ =
      !result.inForce_ && aSettings.freshnessBound_ && result.waited_ >= *aSettings.freshnessBound_;
    result.inForce_ = result.inForce_ || result.byFreshnessBound_;
    if (result.inForce_ || result.waited_ >= aSettings.timeout_) {
      break;
    }
    std::this_thread::sleep_for(
      std::min(aSettings.readInterval_, aSettings.timeout_ - result.waited_));
  }
  if (!anyRead && !result.inForce_ && failure) {
    return BOOST_OUTCOME_V2_NAMESPACE::failure(*failure);
  }
  return result;
}

} // namespace peridotquay
