// Small deterministic random generator for routing and admission, seeded by the owner of its state.
#pragma once

#include <cstddef>
#include <cstdint>

namespace peridotquay {

/// Advances the state (splitmix64) and returns 64 random bits.
inline std::uint64_t RandomBits(std::uint64_t& aState)
{
  aState += 0x9E3779B97F4A7C15ULL;
  std::uint64_t bits = aState;
  bits = (bits ^ (bits >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  bits = (bits ^ (bits >> 27U)) * 0x94D049BB133111EBULL;
  return bits ^ (bits >> 31U);
}

/// Uniform number in [0, 1).
inline double RandomFraction(std::uint64_t& aState)
{
  return static_cast<double>(RandomBits(aState) >> 11U) * 0x1.0p-53;
}

/// Uniform index below aCount, which must not be 0.
inline std::size_t RandomIndex(std::uint64_t& aState, std::size_t aCount)
{
  return static_cast<std::size_t>(RandomBits(aState) % aCount);
}

} // namespace peridotquay
