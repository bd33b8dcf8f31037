// Text forms of outcomes and importance classes.
#include "peridotquay/request/Outcome.h"

namespace peridotquay {

std::string_view OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kRan:
      return "ran";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ImportanceName(Importance aImportance)
{
  switch (aImportance) {
    case Importance::kCritical:
      return "critical";
    case Importance::kHigh:
      return "high";
    case Importance::kNormal:
      return "normal";
    case Importance::kLow:
      return "low";
  }
  return "low";
}

std::optional<Importance> ParseImportance(std::string_view aText)
{
  for (int i = 0; i < kImportanceClassCount; ++i) {
    const auto importance = static_cast<Importance>(i);
    if (ImportanceName(importance) == aText) {
      return importance;
    }
  }
  return std::nullopt;
}

} // namespace peridotquay
