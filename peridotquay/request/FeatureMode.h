// When an optional part of the data path is in effect.
#pragma once

#include <cstdint>

namespace peridotquay {

/// When the part that a setting controls is in effect for a service or at a guard.
enum class FeatureMode : std::uint8_t
{
  kStated, ///< While the targets state the data that it needs.
  kAlways,
  kOff
};

} // namespace peridotquay
