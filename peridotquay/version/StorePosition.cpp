// Decisions about content that the store has lost by going back to an older copy.
#include "peridotquay/version/StorePosition.h"

namespace peridotquay {

std::string Describe(const StorePosition& aPosition)
{
  const std::string version = std::to_string(aPosition.version_);
  return aPosition.era_ == 0 ? version : std::to_string(aPosition.era_) + ":" + version;
}

EraChange ObserveEra(StoreEra& aKnown, std::optional<std::uint64_t> aStated)
{
  if (!aStated) {
    return EraChange::kNone;
  }
  aKnown.stated_ = true;
  if (*aStated == aKnown.era_) {
    return EraChange::kNone;
  }
  if (*aStated < aKnown.era_) {
    return EraChange::kOutdated;
  }
  aKnown.era_ = *aStated;
  return EraChange::kRaised;
}

std::uint64_t WriteCondition(const StorePosition& aExpected, std::uint64_t aEra)
{
  return aExpected.era_ == aEra ? aExpected.version_ : 0;
}

DocumentChoice ChooseDocument(std::optional<std::uint64_t> aHeldVersion,
                              std::uint64_t aReadVersion,
                              const StorePosition& aReadAt)
{
  const bool isLower = aHeldVersion && aReadVersion < *aHeldVersion;
  // In a store that never went back, the text that is passed on is always the one in the store.
  return { !isLower, !isLower || aReadAt.era_ == 0 };
}

} // namespace peridotquay
