// Request handling of the platform stand-in.
#include "standins/lib/PlatformService.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace peridotquay {

namespace {

/// How long a committed transaction is remembered. A repeat with its operation id isn't applied and
/// gets the same revision.
constexpr Duration kOperationLifetime = seconds(600);

constexpr std::uint32_t kMaxRowsPerAnswer = 1000;

PlatformReply ErrorReply(unsigned aStatus, const std::string& aType)
{
  return { aStatus, nlohmann::json{ { "error", { { "type", aType } } } }.dump(), false };
}

/// Decodes percent escapes. Empty optional if one is malformed.
std::optional<std::string> UnescapeUrl(std::string_view aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      text.push_back(aText[i]);
      continue;
    }
    unsigned byte = 0;
    const auto digits = aText.substr(i + 1, 2);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
    if (digits.size() != 2 || parsed.ptr != digits.data() + 2 || parsed.ec != std::errc()) {
      return std::nullopt;
    }
    text.push_back(static_cast<char>(byte));
    i += 2;
  }
  return text;
}

/// Value of a query parameter; empty text if it is absent, empty optional if it is malformed.
std::optional<std::string> QueryValue(std::string_view aQuery, std::string_view aName)
{
  while (!aQuery.empty()) {
    const auto pair = aQuery.substr(0, aQuery.find('&'));
    aQuery.remove_prefix(std::min(pair.size() + 1, aQuery.size()));
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aName) {
      return UnescapeUrl(pair.substr(equals + 1));
    }
  }
  return std::string();
}

bool StartsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

} // namespace

bool PlatformService::RateLimit::TryConsume(double aTokensPerSecond, TimePoint aNow)
{
  if (aTokensPerSecond <= 0) {
    return true;
  }
  const auto maxTokens = std::max(1.0, aTokensPerSecond / 10);
  tokens_ = std::min(maxTokens, tokens_ + ToSeconds(aNow - refilledAt_) * aTokensPerSecond);
  refilledAt_ = aNow;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

PlatformService::PlatformService(PlatformFaults aFaults, std::uint64_t aSeed)
  : faults_(aFaults)
  , random_(aSeed)
{
}

PlatformReply PlatformService::Handle(const PlatformRequest& aRequest, TimePoint aNow)
{
  const std::string_view target = aRequest.target_;
  if (target == "/faults") {
    return HandleFaults(aRequest);
  }
  if (target == "/stats") {
    return StatsReply();
  }
  const bool write = aRequest.method_ != "GET";
  if (ShouldRefuse(write, aNow)) {
    ++counts_.refused_;
    return ErrorReply(503, "unavailable");
  }
  ++(write ? counts_.writes_ : counts_.reads_);
  counts_.bytesIn_ += aRequest.body_.size();
  constexpr std::string_view kObjectsPath = "/v1/objects/";
  auto reply = ErrorReply(404, "not-found");
  if (!write && StartsWith(target, "/v1/rows")) {
    reply = HandleRows(target);
  } else if (aRequest.method_ == "POST" && target == "/v1/transactions") {
    reply = HandleTransaction(aRequest.body_, aNow);
  } else if (StartsWith(target, kObjectsPath)) {
    reply = HandleObject(aRequest, target.substr(kObjectsPath.size()));
  }
  counts_.bytesOut_ += reply.body_.size();
  return reply;
}

bool PlatformService::ShouldRefuse(bool aWrite, TimePoint aNow)
{
  if (faults_.outage_ != PlatformOutage::kNone) {
    return true;
  }
  return aWrite ? !writeLimit_.TryConsume(faults_.maxWritesPerSecond_, aNow)
                : !readLimit_.TryConsume(faults_.maxReadsPerSecond_, aNow);
}

bool PlatformService::ShouldLoseAnswer()
{
  bool lose = std::uniform_real_distribution<double>(0, 1)(random_) < faults_.lostAnswerFraction_;
  if (faults_.loseNextAnswers_ > 0) {
    --faults_.loseNextAnswers_;
    lose = true;
  }
  counts_.lost_ += lose ? 1 : 0;
  return lose;
}

PlatformReply PlatformService::HandleRows(std::string_view aTarget)
{
  constexpr std::string_view kRowPath = "/v1/rows/";
  if (StartsWith(aTarget, kRowPath)) {
    const auto key = UnescapeUrl(aTarget.substr(kRowPath.size()));
    const auto found = key ? rows_.find(*key) : rows_.end();
    return found == rows_.end() ? ErrorReply(404, "not-found")
                                : PlatformReply{ 200, EncodePlatformRow(found->second), false };
  }
  const auto queryStart = aTarget.find('?');
  const auto query = queryStart == std::string_view::npos ? "" : aTarget.substr(queryStart + 1);
  const auto prefix = QueryValue(query, "prefix");
  const auto after = QueryValue(query, "after");
  const auto limitText = QueryValue(query, "limit").value_or("");
  std::uint32_t limit = 100;
  std::from_chars(limitText.data(), limitText.data() + limitText.size(), limit);
  if (!prefix || !after) {
    return ErrorReply(400, "malformed");
  }
  std::vector<PlatformRow> rows;
  auto row = *after < *prefix ? rows_.lower_bound(*prefix) : rows_.upper_bound(*after);
  for (; row != rows_.end() && rows.size() < std::min(limit, kMaxRowsPerAnswer); ++row) {
    if (!StartsWith(row->first, *prefix)) {
      break;
    }
    rows.push_back(row->second);
  }
  return { 200, EncodePlatformRows(rows), false };
}

PlatformReply PlatformService::HandleTransaction(const std::string& aBody, TimePoint aNow)
{
  const auto decoded = DecodePlatformTransaction(aBody);
  if (decoded.has_error() || decoded.assume_value().operationId_.empty()) {
    return ErrorReply(400, "malformed");
  }
  const auto& transaction = decoded.assume_value();
  std::erase_if(operations_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.committedAt_ > kOperationLifetime;
  });
  if (const auto committed = operations_.find(transaction.operationId_);
      committed != operations_.end()) {
    return { 200,
             EncodePlatformTransactionResult({ "", committed->second.revision_ }),
             ShouldLoseAnswer() };
  }
  for (const auto& condition : transaction.conditions_) {
    const auto found = rows_.find(condition.key_);
    const auto revision = found == rows_.end() ? 0 : found->second.revision_;
    if (revision != condition.revision_) {
      return { 409, EncodePlatformTransactionResult({ condition.key_, revision }), false };
    }
  }
  ++revision_;
  for (const auto& write : transaction.writes_) {
    if (write.value_) {
      rows_[write.key_] = { write.key_, revision_, *write.value_ };
    } else {
      rows_.erase(write.key_);
    }
  }
  operations_[transaction.operationId_] = { revision_, aNow };
  return { 200, EncodePlatformTransactionResult({ "", revision_ }), ShouldLoseAnswer() };
}

PlatformReply PlatformService::HandleObject(const PlatformRequest& aRequest, std::string_view aName)
{
  const auto name = UnescapeUrl(aName);
  if (!name || name->empty()) {
    return ErrorReply(400, "malformed");
  }
  if (aRequest.method_ == "PUT") {
    objects_[*name] = aRequest.body_;
    return { 200, "{}", ShouldLoseAnswer() };
  }
  const auto found = objects_.find(*name);
  if (aRequest.method_ != "GET") {
    return ErrorReply(405, "method");
  }
  return found == objects_.end() ? ErrorReply(404, "not-found")
                                 : PlatformReply{ 200, found->second, false };
}

PlatformReply PlatformService::HandleFaults(const PlatformRequest& aRequest)
{
  if (aRequest.method_ == "POST") {
    const auto updated = UpdatePlatformFaults(faults_, aRequest.body_);
    if (updated.has_error()) {
      return ErrorReply(400, Describe(updated.assume_error()));
    }
  }
  return { 200, EncodePlatformFaults(faults_), false };
}

PlatformReply PlatformService::StatsReply() const
{
  const auto json =
    nlohmann::json{ { "reads", counts_.reads_ },      { "writes", counts_.writes_ },
                    { "refused", counts_.refused_ },  { "lost", counts_.lost_ },
                    { "bytes_in", counts_.bytesIn_ }, { "bytes_out", counts_.bytesOut_ },
                    { "rows", rows_.size() },         { "objects", objects_.size() } };
  return { 200, json.dump(), false };
}

} // namespace peridotquay
