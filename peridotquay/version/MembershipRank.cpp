// FNV-1a with a final mix, and the splitmix64 generator.
#include "peridotquay/version/MembershipRank.h"

namespace peridotquay {

namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

// FNV-1a over the bytes and a separator, so that ("ab", "c") and ("a", "bc") differ.
std::uint64_t AddBytes(std::uint64_t aHash, std::string_view aBytes)
{
  for (const char c : aBytes) {
    aHash = (aHash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
  return (aHash ^ 0xffU) * kFnvPrime;
}

// Finalizer of splitmix64. FNV-1a alone leaves the high bits of short, similar names correlated.
std::uint64_t Mix(std::uint64_t aValue)
{
  aValue = (aValue ^ (aValue >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  aValue = (aValue ^ (aValue >> 27U)) * 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31U);
}

} // namespace

std::uint64_t RankWeight(std::string_view aRole,
                         const DataCentreId& aDataCentre,
                         const HostId& aHost)
{
  return Mix(AddBytes(AddBytes(AddBytes(kFnvOffset, aRole), aDataCentre.value_), aHost.value_));
}

std::uint64_t NextRandom(std::uint64_t& aState)
{
  aState += 0x9e3779b97f4a7c15ULL;
  return Mix(aState);
}

} // namespace peridotquay
