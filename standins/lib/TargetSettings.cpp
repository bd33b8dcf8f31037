// Parsing of the stand-in target's faults.
#include "standins/lib/TargetSettings.h"

#include <nlohmann/json.hpp>

namespace peridotquay::standins {

std::optional<ServiceTimeDistribution> ParseServiceTimeDistribution(std::string_view aText)
{
  if (aText == "fixed") {
    return ServiceTimeDistribution::kFixed;
  }
  if (aText == "exponential") {
    return ServiceTimeDistribution::kExponential;
  }
  if (aText == "lognormal") {
    return ServiceTimeDistribution::kLogNormal;
  }
  return std::nullopt;
}

Result<void> ApplyFaults(TargetFaults& aFaults, std::string_view aJson)
{
  const auto json = nlohmann::json::parse(aJson, nullptr, false);
  if (!json.is_object()) {
    return Fail(ErrorCode::kSyntax, "faults", "a JSON object");
  }
  TargetFaults next = aFaults;
  for (const auto& [name, value] : json.items()) {
    const bool count = value.is_number_integer() && value >= 0;
    if (name == "slow_factor") {
      if (!value.is_number()) {
        return Fail(ErrorCode::kWrongType, name, "a number");
      }
      next.slowFactor_ = value.get<double>();
      if (!(next.slowFactor_ > 0 && next.slowFactor_ <= 1000)) {
        return Fail(ErrorCode::kOutOfRange, name, "above 0, at most 1000");
      }
    } else if (name == "freeze") {
      if (!value.is_boolean()) {
        return Fail(ErrorCode::kWrongType, name, "true or false");
      }
      next.frozen_ = value.get<bool>();
    } else if (name == "drop_answers" || name == "refuse") {
      if (!count) {
        return Fail(ErrorCode::kWrongType, name, "a count");
      }
      (name == "refuse" ? next.refuseRequests_ : next.truncateAnswers_) =
        value.get<std::uint32_t>();
    } else if (name == "outbound_port") {
      if (!count || value > 65535 || value == 0) {
        return Fail(ErrorCode::kOutOfRange, name, "1 to 65535");
      }
      next.outboundPort_ = value.get<std::uint16_t>();
    } else if (name == "state") {
      if (!value.is_string()) {
        return Fail(ErrorCode::kWrongType, name, "a string");
      }
      next.state_ = value.get<std::string>();
      if (!next.state_.empty() && next.state_ != "cold" && next.state_ != "ready" &&
          next.state_ != "draining") {
        return Fail(ErrorCode::kOutOfRange, name, "cold, ready, draining or empty");
      }
    } else if (name == "false_slots" || name == "false_in_use") {
      if (!count && !value.is_null()) {
        return Fail(ErrorCode::kWrongType, name, "a count or null");
      }
      auto& field = name == "false_slots" ? next.falseSlots_ : next.falseInUse_;
      field = value.is_null() ? std::optional<std::uint32_t>() : value.get<std::uint32_t>();
    } else {
      return Fail(ErrorCode::kUnknownSetting, name);
    }
  }
  aFaults = next;
  return Success();
}

} // namespace peridotquay::standins
