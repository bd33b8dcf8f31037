// Checks a history in two passes: over the executions, then over the calls.
#include "standins/lib/HistoryCheck.h"

#include "standins/lib/TargetBody.h"

#include <algorithm>
#include <unordered_map>

namespace peridotquay::standins {

namespace {

// Executions with one tag.
struct TagSummary
{
  std::uint64_t startedExecutions_ = 0; ///< Without refused ones.
  /// Number of executions by path with query, which names the calling execution.
  std::map<std::string, std::uint64_t> attempts_;
};

// Counts a violation and adds it to the examples if there are fewer than kMaxExamples.
void RecordViolation(HistoryResult& aResult, HistoryProperty aProperty, const std::string& aExample)
{
  constexpr std::size_t kMaxExamples = 10;
  ++aResult.violations_[aProperty];
  if (aResult.examples_.size() < kMaxExamples) {
    aResult.examples_.push_back(std::string(HistoryPropertyName(aProperty)) + ": " + aExample);
  }
}

std::uint64_t CountRetries(const TagSummary& aSummary)
{
  std::uint64_t retries = 0;
  for (const auto& [path, attempts] : aSummary.attempts_) {
    retries += attempts - 1;
  }
  return retries;
}

} // namespace

std::string_view HistoryPropertyName(HistoryProperty aProperty)
{
  switch (aProperty) {
    case HistoryProperty::kRunsAtMostOnce:
      return "runs-at-most-once";
    case HistoryProperty::kNotRunIsTrue:
      return "not-run-is-true";
    case HistoryProperty::kUnknownIs504:
      return "unknown-is-504";
    case HistoryProperty::kNoKeySeen:
      return "no-key-seen";
    case HistoryProperty::kOwnAnswer:
      return "own-answer";
    case HistoryProperty::kWithinBudget:
      return "within-budget";
  }
  return "unnamed-property";
}

bool HistoryResult::Holds() const
{
  return std::all_of(
    violations_.begin(), violations_.end(), [](const auto& aEntry) { return aEntry.second == 0; });
}

HistoryResult CheckHistory(const std::vector<HistoryCall>& aCalls,
                           const std::vector<TargetExecution>& aExecutions)
{
  HistoryResult result;
  result.calls_ = aCalls.size();
  result.executions_ = aExecutions.size();
  for (int i = 0; i < kHistoryPropertyCount; ++i) {
    result.violations_[static_cast<HistoryProperty>(i)] = 0;
  }
  std::unordered_map<std::string, TagSummary> tags;
  std::unordered_map<std::string, std::uint64_t> startedById;
  for (const TargetExecution& execution : aExecutions) {
    const std::string tag(QueryValue(execution.path_, "tag"));
    if (!tag.empty()) {
      TagSummary& summary = tags[tag];
      summary.startedExecutions_ += execution.Started() ? 1 : 0;
      ++summary.attempts_[execution.path_];
    }
    if (!execution.requestId_.empty() && execution.Started()) {
      if (++startedById[execution.requestId_] == 2) {
        RecordViolation(result, HistoryProperty::kRunsAtMostOnce, execution.requestId_);
      }
    }
    if (execution.hasKeyHeader_) {
      RecordViolation(result, HistoryProperty::kNoKeySeen, execution.id_);
    }
    if (execution.wrongDeeperAnswers_ > 0) {
      RecordViolation(result, HistoryProperty::kOwnAnswer, execution.id_);
    }
  }
  const TagSummary emptySummary;
  for (const HistoryCall& call : aCalls) {
    const auto found = tags.find(call.tag_);
    const TagSummary& summary = found == tags.end() ? emptySummary : found->second;
    if (call.outcome_ == "not-run" && summary.startedExecutions_ > 0) {
      RecordViolation(result, HistoryProperty::kNotRunIsTrue, call.tag_);
    }
    if ((call.outcome_ == "unknown") != (call.status_ == 504)) {
      RecordViolation(result, HistoryProperty::kUnknownIs504, call.tag_);
    }
    if (call.status_ == 200 && !call.correctBody_) {
      RecordViolation(result, HistoryProperty::kOwnAnswer, call.tag_);
    }
    const std::uint64_t retries = CountRetries(summary);
    result.maxCallTreeRetries_ = std::max(result.maxCallTreeRetries_, retries);
    if (retries > call.retryBudget_) {
      RecordViolation(result,
                      HistoryProperty::kWithinBudget,
                      call.tag_ + " made " + std::to_string(retries) + " retries");
    }
  }
  return result;
}

} // namespace peridotquay::standins
