// Parsing of link faults, and arrival times from delay and bandwidth.
#include "standins/lib/LinkSettings.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace peridotquay::standins {

Result<void> ApplyLinkFaults(LinkFaults& aFaults, std::string_view aJson)
{
  const auto json = nlohmann::json::parse(aJson, nullptr, false);
  if (!json.is_object()) {
    return Fail(ErrorCode::kSyntax, "link", "a JSON object");
  }
  LinkFaults next = aFaults;
  for (const auto& [name, value] : json.items()) {
    if (name == "delay_ms" || name == "bandwidth") {
      if (!value.is_number()) {
        return Fail(ErrorCode::kWrongType, name, "a number");
      }
      const auto number = value.get<double>();
      if (!(number >= 0 && number <= 1e12)) {
        return Fail(ErrorCode::kOutOfRange, name, "0 to 1e12");
      }
      if (name == "bandwidth") {
        next.bandwidth_ = static_cast<std::uint64_t>(number);
      } else {
        next.delay_ =
          std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(number));
      }
    } else if (name == "cut" || name == "cut_answers" || name == "silence_existing" ||
               name == "reset_existing") {
      if (!value.is_boolean()) {
        return Fail(ErrorCode::kWrongType, name, "true or false");
      }
      const bool flag = value.get<bool>();
      if (name == "cut") {
        next.cut_ = flag;
      } else if (name == "cut_answers") {
        next.cutFromRemote_ = flag;
      } else if (name == "silence_existing") {
        next.silenceGeneration_ += flag ? 1 : 0;
      } else {
        next.resetGeneration_ += flag ? 1 : 0;
      }
    } else {
      return Fail(ErrorCode::kUnknownSetting, name);
    }
  }
  aFaults = next;
  return Success();
}

TimePoint ArrivalTime(const LinkFaults& aFaults,
                      std::size_t aByteCount,
                      TimePoint& aFreeAt,
                      TimePoint aNow)
{
  aFreeAt = std::max(aFreeAt, aNow);
  if (aFaults.bandwidth_ > 0) {
    const double transmissionSeconds =
      static_cast<double>(aByteCount) / static_cast<double>(aFaults.bandwidth_);
    aFreeAt +=
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(transmissionSeconds));
  }
  return aFreeAt + aFaults.delay_;
}

} // namespace peridotquay::standins
