// Whether a version is in force everywhere.
#include "peridotquay/process/RolloutStatus.h"

#include "peridotquay/version/Config.h"
#include "peridotquay/version/ConfigReader.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <map>
#include <thread>

namespace peridotquay {

namespace {

/// The largest bound that a configuration can set, 3,600 s.
constexpr Duration kLongestBound = seconds(3600);

/// A replaced bound counts for this long: twice the longest bound, because the times come from
/// operators' clocks.
constexpr std::uint64_t kReplacedLifetimeMs = 7200000;

/// More rows than sites: those of sites that were removed stay.
constexpr std::uint32_t kMostWatermarks = 1000;

const std::string kPolicyEntity = "policy/default";
const std::string kReplacedEntity = "policy/replaced";

/// The freshness bound of a policy entity; the longest one if the entity is malformed.
Duration BoundOf(const Entities& aEntities, const std::string& aEntity)
{
  const auto entity = aEntities.find(aEntity);
  if (entity == aEntities.end()) {
    return Policy{}.keyFreshnessBound_;
  }
  const auto json = ConfigJson::parse(entity->second, nullptr, false);
  if (!json.is_object()) {
    return kLongestBound;
  }
  const auto found = json.find("key_freshness_bound_ms");
  if (found == json.end() || !found->is_number_integer()) {
    return Policy{}.keyFreshnessBound_;
  }
  return milliseconds(found->get<std::int64_t>());
}

/// The bound that was replaced, or zero if there is none or no host can use it any more.
Duration ReplacedBound(const Entities& aEntities, std::uint64_t aWallMs)
{
  const auto entity = aEntities.find(kReplacedEntity);
  if (entity == aEntities.end()) {
    return Duration::zero();
  }
  const auto json = ConfigJson::parse(entity->second, nullptr, false);
  const bool valid =
    json.is_object() && json.contains("until_ms") && json["until_ms"].is_number_unsigned();
  const bool over = valid && json["until_ms"].get<std::uint64_t>() <= aWallMs;
  return over ? Duration::zero() : BoundOf(aEntities, kReplacedEntity);
}

DataCentreRollout Judge(const DataCentreId& aSite, const Watermark* aMark, Version aVersion)
{
  DataCentreRollout force;
  force.dataCentre_ = aSite;
  if (aMark != nullptr) {
    force.reported_ = true;
    force.version_ = aMark->version_;
    force.unreachable_ = aMark->unreachable_;
    // The row keeps hosts that lag behind a later version too; they don't matter here.
    if (aMark->version_ < aVersion) {
      force.lagging_ = aMark->lagging_;
    }
    force.inForce_ = aMark->version_ >= aVersion && aMark->unreachable_.empty();
  }
  return force;
}

} // namespace

bool RolloutStatus::InForceEverywhere() const
{
  return !dataCentres_.empty() &&
         std::all_of(dataCentres_.begin(), dataCentres_.end(), [](const DataCentreRollout& aSite) {
           return aSite.inForce_;
         });
}

std::vector<DataCentreId> ConfiguredDataCentres(const Entities& aEntities)
{
  constexpr std::string_view kPrefix = "site/";
  std::vector<DataCentreId> sites;
  for (auto entry = aEntities.lower_bound(std::string(kPrefix));
       entry != aEntities.end() && entry->first.compare(0, kPrefix.size(), kPrefix) == 0;
       ++entry) {
    sites.push_back({ entry->first.substr(kPrefix.size()) });
  }
  return sites;
}

Result<RolloutStatus> ReadRolloutStatus(Platform& aPlatform,
                                        const std::vector<DataCentreId>& aSites,
                                        Version aVersion)
{
  // One read for all sites, because many operators may wait at once.
  BOOST_OUTCOME_TRY(rows, aPlatform.ReadRange(WatermarkRowKey({}), "", kMostWatermarks));
  std::map<DataCentreId, Watermark> marks;
  for (const auto& row : rows) {
    BOOST_OUTCOME_TRY(mark, DecodeWatermark(row.value_));
    marks[mark.dataCentre_] = std::move(mark);
  }
  RolloutStatus view;
  for (const auto& site : aSites) {
    const auto mark = marks.find(site);
    view.dataCentres_.push_back(
      Judge(site, mark == marks.end() ? nullptr : &mark->second, aVersion));
  }
  return view;
}

Duration MaxUsableFreshnessBound(const Entities& aEntities, std::uint64_t aWallMs)
{
  return std::max(BoundOf(aEntities, kPolicyEntity), ReplacedBound(aEntities, aWallMs));
}

void UpdateReplacedFreshnessBound(const Entities& aPresent, Entities& aNext, std::uint64_t aWallMs)
{
  if (const auto kept = aPresent.find(kReplacedEntity); kept != aPresent.end()) {
    aNext[kReplacedEntity] = kept->second;
  }
  // Before the first version no host serves a keyed route, so nothing is replaced.
  const bool lowered =
    !aPresent.empty() && BoundOf(aPresent, kPolicyEntity) > BoundOf(aNext, kPolicyEntity);
  if (!lowered) {
    return;
  }
  const auto bound = MaxUsableFreshnessBound(aPresent, aWallMs);
  const ConfigJson json = { { "key_freshness_bound_ms",
                              std::chrono::duration_cast<milliseconds>(bound).count() },
                            { "until_ms", aWallMs + kReplacedLifetimeMs } };
  aNext[kReplacedEntity] = json.dump();
}

Result<RolloutWaitResult> WaitUntilInForce(Platform& aPlatform,
                                           const RolloutWaitSettings& aSettings)
{
  const auto start = Clock::now();
  RolloutWaitResult result;
  std::optional<Error> failure;
  bool read = false;
  for (;;) {
    auto view = ReadRolloutStatus(aPlatform, aSettings.dataCentres_, aSettings.version_);
    result.waited_ = Clock::now() - start;
    if (view.has_value()) {
      read = true;
      result.rollout_ = std::move(view).assume_value();
    } else {
      failure = view.assume_error();
    }
    result.inForce_ = read && result.rollout_.InForceEverywhere();
    result.byFreshnessBound_ =
      !result.inForce_ && aSettings.freshnessBound_ && result.waited_ >= *aSettings.freshnessBound_;
    result.inForce_ = result.inForce_ || result.byFreshnessBound_;
    if (result.inForce_ || result.waited_ >= aSettings.timeout_) {
      break;
    }
    std::this_thread::sleep_for(std::min(aSettings.interval_, aSettings.timeout_ - result.waited_));
  }
  if (!read && !result.inForce_ && failure) {
    return BOOST_OUTCOME_V2_NAMESPACE::failure(*failure);
  }
  return result;
}

} // namespace peridotquay
