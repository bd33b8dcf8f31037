// JSON form of the execution log.
#include "standins/lib/TargetExecution.h"

#include <nlohmann/json.hpp>

namespace peridotquay::standins {

std::string WriteExecutions(const std::vector<TargetExecution>& aExecutions)
{
  auto list = nlohmann::json::array();
  for (const TargetExecution& entry : aExecutions) {
    list.push_back({ { "id", entry.id_ },
                     { "request_id", entry.requestId_ },
                     { "path", entry.path_ },
                     { "client_account", entry.clientAccount_ },
                     { "importance", entry.importance_ },
                     { "retry_budget", entry.retryBudget_ },
                     { "key_seen", entry.hasKeyHeader_ },
                     { "call_seen", entry.hasCallHeader_ },
                     { "wrong_deeper_answers", entry.wrongDeeperAnswers_ },
                     { "end", static_cast<int>(entry.executionStatus_) },
                     { "start_us", entry.startUs_ },
                     { "end_us", entry.endUs_ } });
  }
  return list.dump();
}

Result<std::vector<TargetExecution>> ParseExecutions(std::string_view aJson)
{
  const auto list = nlohmann::json::parse(aJson, nullptr, false);
  if (!list.is_array()) {
    return Fail(ErrorCode::kSyntax, "executions", "a JSON array");
  }
  std::vector<TargetExecution> executions;
  try {
    for (const auto& item : list) {
      TargetExecution entry;
      entry.id_ = item.at("id");
      entry.requestId_ = item.at("request_id");
      entry.path_ = item.at("path");
      entry.clientAccount_ = item.at("client_account");
      entry.importance_ = item.at("importance");
      entry.retryBudget_ = item.at("retry_budget");
      entry.hasKeyHeader_ = item.at("key_seen");
      entry.hasCallHeader_ = item.at("call_seen");
      entry.wrongDeeperAnswers_ = item.at("wrong_deeper_answers");
      entry.executionStatus_ = static_cast<ExecutionStatus>(item.at("end").get<int>());
      entry.startUs_ = item.at("start_us");
      entry.endUs_ = item.at("end_us");
      executions.push_back(std::move(entry));
    }
  } catch (const nlohmann::json::exception& problem) {
    return Fail(ErrorCode::kSyntax, "executions", problem.what());
  }
  return executions;
}

} // namespace peridotquay::standins
