// Encodes and decodes the JSON bodies of the platform's HTTP interface.
#include "peridotquay/process/PlatformJson.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

namespace peridotquay {

namespace {

using Json = nlohmann::json;

std::string Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Json> Parse(std::string_view aText)
{
  auto json = Json::parse(aText.begin(), aText.end(), nullptr, false);
  if (!json.is_object()) {
    return Fail(ErrorCode::kPlatformMalformed, "body", "a JSON object");
  }
  return json;
}

/// Returns a member of an object, or a JSON null if it is absent.
const Json& MemberOrNull(const Json& aObject, const char* aName)
{
  static const Json kNull;
  const auto found = aObject.find(aName);
  return found == aObject.end() ? kNull : *found;
}

Json RowJson(const PlatformRow& aRow)
{
  return { { "key", aRow.key_ }, { "revision", aRow.revision_ }, { "value", aRow.value_ } };
}

Result<PlatformRow> DecodeRow(const Json& aJson)
{
  const bool valid = aJson.is_object() && MemberOrNull(aJson, "key").is_string() &&
                     MemberOrNull(aJson, "revision").is_number_unsigned() &&
                     MemberOrNull(aJson, "value").is_string();
  if (!valid) {
    return Fail(ErrorCode::kPlatformMalformed, "row");
  }
  return PlatformRow{ MemberOrNull(aJson, "key").get<std::string>(),
                      MemberOrNull(aJson, "revision").get<std::uint64_t>(),
                      MemberOrNull(aJson, "value").get<std::string>() };
}

Result<PlatformCondition> DecodeCondition(const Json& aJson)
{
  const bool valid = aJson.is_object() && MemberOrNull(aJson, "key").is_string() &&
                     MemberOrNull(aJson, "revision").is_number_unsigned();
  if (!valid) {
    return Fail(ErrorCode::kPlatformMalformed, "conditions");
  }
  return PlatformCondition{ MemberOrNull(aJson, "key").get<std::string>(),
                            MemberOrNull(aJson, "revision").get<std::uint64_t>() };
}

Result<PlatformWrite> DecodeWrite(const Json& aJson)
{
  const bool valid =
    aJson.is_object() && MemberOrNull(aJson, "key").is_string() && aJson.contains("value") &&
    (MemberOrNull(aJson, "value").is_null() || MemberOrNull(aJson, "value").is_string());
  if (!valid) {
    return Fail(ErrorCode::kPlatformMalformed, "writes");
  }
  PlatformWrite write{ MemberOrNull(aJson, "key").get<std::string>(), std::nullopt };
  if (MemberOrNull(aJson, "value").is_string()) {
    write.value_ = MemberOrNull(aJson, "value").get<std::string>();
  }
  return write;
}

} // namespace

std::string EncodePlatformRow(const PlatformRow& aRow)
{
  return Dump(RowJson(aRow));
}

std::string EncodePlatformRows(const std::vector<PlatformRow>& aRows)
{
  auto rows = Json::array();
  for (const auto& row : aRows) {
    rows.push_back(RowJson(row));
  }
  return Dump(Json{ { "rows", std::move(rows) } });
}

std::string EncodePlatformTransaction(const PlatformTransaction& aTransaction)
{
  auto conditions = Json::array();
  for (const auto& condition : aTransaction.conditions_) {
    conditions.push_back({ { "key", condition.key_ }, { "revision", condition.revision_ } });
  }
  auto writes = Json::array();
  for (const auto& write : aTransaction.writes_) {
    Json json = { { "key", write.key_ } };
    json["value"] = write.value_ ? Json(*write.value_) : Json(nullptr);
    writes.push_back(std::move(json));
  }
  return Dump(Json{ { "operation_id", aTransaction.operationId_ },
                    { "conditions", std::move(conditions) },
                    { "writes", std::move(writes) } });
}

std::string EncodePlatformTransactionResult(const PlatformTransactionResult& aResult)
{
  Json json = { { "revision", aResult.revision_ } };
  if (!aResult.key_.empty()) {
    json["key"] = aResult.key_;
  }
  return Dump(json);
}

Result<PlatformRow> DecodePlatformRow(std::string_view aText)
{
  BOOST_OUTCOME_TRY(json, Parse(aText));
  return DecodeRow(json);
}

Result<std::vector<PlatformRow>> DecodePlatformRows(std::string_view aText)
{
  BOOST_OUTCOME_TRY(json, Parse(aText));
  if (!MemberOrNull(json, "rows").is_array()) {
    return Fail(ErrorCode::kPlatformMalformed, "rows");
  }
  std::vector<PlatformRow> rows;
  for (const auto& element : MemberOrNull(json, "rows")) {
    BOOST_OUTCOME_TRY(row, DecodeRow(element));
    rows.push_back(std::move(row));
  }
  return rows;
}

Result<PlatformTransaction> DecodePlatformTransaction(std::string_view aText)
{
  BOOST_OUTCOME_TRY(json, Parse(aText));
  const bool valid = MemberOrNull(json, "operation_id").is_string() &&
                     MemberOrNull(json, "conditions").is_array() &&
                     MemberOrNull(json, "writes").is_array();
  if (!valid) {
    return Fail(
      ErrorCode::kPlatformMalformed, "transaction", "operation_id, conditions and writes");
  }
  PlatformTransaction transaction;
  transaction.operationId_ = MemberOrNull(json, "operation_id").get<std::string>();
  for (const auto& element : MemberOrNull(json, "conditions")) {
    BOOST_OUTCOME_TRY(condition, DecodeCondition(element));
    transaction.conditions_.push_back(std::move(condition));
  }
  for (const auto& element : MemberOrNull(json, "writes")) {
    BOOST_OUTCOME_TRY(write, DecodeWrite(element));
    transaction.writes_.push_back(std::move(write));
  }
  return transaction;
}

Result<PlatformTransactionResult> DecodePlatformTransactionResult(std::string_view aText)
{
  BOOST_OUTCOME_TRY(json, Parse(aText));
  if (!MemberOrNull(json, "revision").is_number_unsigned()) {
    return Fail(ErrorCode::kPlatformMalformed, "revision");
  }
  PlatformTransactionResult result;
  result.revision_ = MemberOrNull(json, "revision").get<std::uint64_t>();
  if (MemberOrNull(json, "key").is_string()) {
    result.key_ = MemberOrNull(json, "key").get<std::string>();
  }
  return result;
}

} // namespace peridotquay
