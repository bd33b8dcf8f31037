// HTTP calls of the row store stand-in, served by the product's HttpServer.
#include "standins/lib/UserStore.h"

#include "platform/StoreClient.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace peridotquay::standins {

namespace {

constexpr Duration kWatchCheckInterval = milliseconds(5);

// Time that GoBack can go back.
constexpr Duration kChangeHistory = seconds(20);

// Number of changes that watches can go back.
constexpr std::size_t kMaxHistory = 10'000;

constexpr const char* kEraHeader = "Store-Era";

std::string QueryValue(const std::string& aPath, const std::string& aName)
{
  const std::string prefix = aName + "=";
  std::size_t position = aPath.find('?');
  while (position != std::string::npos) {
    if (aPath.compare(position + 1, prefix.size(), prefix) == 0) {
      const std::size_t begin = position + 1 + prefix.size();
      return aPath.substr(begin, aPath.find('&', begin) - begin);
    }
    position = aPath.find('&', position + 1);
  }
  return {};
}

std::uint64_t QueryNumber(const std::string& aPath, const std::string& aName)
{
  return ParseNumber(QueryValue(aPath, aName), UINT64_MAX).value_or(0);
}

} // namespace

UserStore::UserStore()
{
  auto server = HttpServer::Listen(
    loop_, {}, [this](const std::shared_ptr<HttpExchange>& aExchange) { OnCall(aExchange); });
  if (server.has_error()) {
    throw std::runtime_error("store stand-in: cannot listen on 127.0.0.1");
  }
  server_ = std::move(server.assume_value());
  AnswerWatches();
  thread_ = std::thread([this] { loop_.Run(); });
}

UserStore::~UserStore()
{
  loop_.Stop();
  thread_.join();
}

std::uint16_t UserStore::Port() const
{
  return server_->Port();
}

void UserStore::Put(const std::string& aTable, const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(mutex_);
  const std::uint64_t previousVersion = version_++;
  SetRow({ aTable, aKey }, { platform::EncodeBase64(aValue), version_, false }, previousVersion);
}

void UserStore::SetRow(const RowKey& aKey, Row aRow, std::uint64_t aPreviousVersion)
{
  const TimePoint now = loop_.Now();
  if (era_ >= 0) {
    const auto known = rows_.find(aKey);
    changes_.push_back({ now,
                         aKey,
                         known == rows_.end() ? std::nullopt : std::optional(known->second),
                         aPreviousVersion });
    while (now - changes_.front().at_ > kChangeHistory) {
      changes_.pop_front();
    }
  }
  history_.emplace_back(aKey, aRow);
  if (history_.size() > kMaxHistory) {
    compactedVersion_ = std::max(compactedVersion_, history_.front().second.version_);
    history_.pop_front();
  }
  rows_[aKey] = std::move(aRow);
}

void UserStore::StateEra(std::uint64_t aEra)
{
  era_ = static_cast<std::int64_t>(aEra);
}

void UserStore::GoBack(Duration aAge)
{
  const std::lock_guard lock(mutex_);
  const TimePoint copiedAt = loop_.Now() - aAge;
  while (!changes_.empty() && changes_.back().at_ > copiedAt) {
    const Change& change = changes_.back();
    if (change.previous_) {
      rows_[change.key_] = *change.previous_;
    } else {
      rows_.erase(change.key_);
    }
    version_ = change.previousVersion_;
    changes_.pop_back();
  }
  std::erase_if(history_, [this](const auto& aEntry) { return aEntry.second.version_ > version_; });
  ++era_;
}

std::string UserStore::Value(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mutex_);
  const auto row = rows_.find({ aTable, aKey });
  return row == rows_.end() || row->second.removed_
           ? std::string()
           : platform::DecodeBase64(row->second.value_).value_or("");
}

void UserStore::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mutex_);
  const std::uint64_t previousVersion = version_++;
  SetRow({ aTable, aKey }, { "", version_, true }, previousVersion);
}

void UserStore::Compact()
{
  const std::lock_guard lock(mutex_);
  compactedVersion_ = ++version_;
}

std::size_t UserStore::RowCount(const std::string& aTable)
{
  const std::lock_guard lock(mutex_);
  std::size_t count = 0;
  for (const auto& [key, row] : rows_) {
    count += key.first == aTable && !row.removed_ ? 1 : 0;
  }
  return count;
}

void UserStore::Respond(const std::shared_ptr<HttpExchange>& aExchange, HttpResponse aResponse)
{
  if (era_ >= 0) {
    aResponse.headers_.emplace_back(kEraHeader, std::to_string(era_));
  }
  aExchange->Respond(aResponse);
}

void UserStore::OnCall(const std::shared_ptr<HttpExchange>& aExchange)
{
  ++calls_;
  const std::string& path = aExchange->request_.path_;
  if (fault_ == UserStoreFault::kUnavailable) {
    Respond(aExchange, { 503, {}, "", std::nullopt });
  } else if (fault_ == UserStoreFault::kSilent) {
    unanswered_.push_back(aExchange);
  } else if (path.starts_with("/-/rows-get?")) {
    Read(aExchange);
  } else if (path.starts_with("/-/rows-feed?")) {
    BeginWatch(aExchange);
  } else if (path == "/-/rows-tx") {
    Transact(aExchange);
  } else {
    Respond(aExchange, { 404, {}, "", std::nullopt });
  }
}

void UserStore::Read(const std::shared_ptr<HttpExchange>& aExchange)
{
  const std::string& path = aExchange->request_.path_;
  const std::string from = QueryValue(path, "from");
  const std::string end = QueryValue(path, "target");
  documentReads_ += QueryValue(path, "table") == "op" && end.empty() ? 1 : 0;
  const std::lock_guard lock(mutex_);
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [key, row] : rows_) {
    const bool inRange = key.second >= from && (end.empty() || key.second < end);
    if (key.first == QueryValue(path, "table") && inRange && !row.removed_) {
      rows.push_back({ { "key", key.second }, { "value", row.value_ }, { "ver", row.version_ } });
    }
  }
  const nlohmann::json body = { { "rows", rows }, { "has_more", false }, { "ver", version_ } };
  Respond(aExchange, JsonResponse(200, body.dump()));
}

void UserStore::BeginWatch(const std::shared_ptr<HttpExchange>& aExchange)
{
  const std::string& path = aExchange->request_.path_;
  watches_.push_back({ aExchange,
                       QueryValue(path, "table"),
                       QueryNumber(path, "after"),
                       loop_.Now() + milliseconds(QueryNumber(path, "wait_ms")) });
}

void UserStore::Transact(const std::shared_ptr<HttpExchange>& aExchange)
{
  const auto json = nlohmann::json::parse(aExchange->request_.body_, nullptr, false);
  if (!json.is_object()) {
    Respond(aExchange, { 400, {}, "", std::nullopt });
    return;
  }
  const std::lock_guard lock(mutex_);
  nlohmann::json present = nlohmann::json::array();
  bool conditionsHold = true;
  for (const auto& entry : json.value("expected", nlohmann::json::array())) {
    const auto found = rows_.find({ entry.at("table"), entry.at("key") });
    const bool exists = found != rows_.end() && !found->second.removed_;
    const std::uint64_t version = exists ? found->second.version_ : 0;
    conditionsHold = conditionsHold && version == entry.at("ver").get<std::uint64_t>();
    if (exists) {
      present.push_back(
        { { "key", entry.at("key") }, { "value", found->second.value_ }, { "ver", version } });
    }
  }
  if (!conditionsHold) {
    Respond(aExchange,
            JsonResponse(412, nlohmann::json{ { "rows", present }, { "ver", version_ } }.dump()));
    return;
  }
  const bool changesRows = !json.value("writes", nlohmann::json::array()).empty() ||
                           !json.value("remove", nlohmann::json::array()).empty();
  const std::uint64_t previousVersion = version_;
  version_ += changesRows ? 1 : 0;
  for (const auto& entry : json.value("writes", nlohmann::json::array())) {
    SetRow({ entry.at("table"), entry.at("key") },
           { entry.at("value"), version_, false },
           previousVersion);
  }
  for (const auto& entry : json.value("remove", nlohmann::json::array())) {
    SetRow({ entry.at("table"), entry.at("key") }, { "", version_, true }, previousVersion);
  }
  if (fault_ == UserStoreFault::kLoseWriteAnswers) {
    unanswered_.push_back(aExchange);
    return;
  }
  Respond(aExchange, JsonResponse(200, nlohmann::json{ { "ver", version_ } }.dump()));
}

void UserStore::AnswerWatches()
{
  if (fault_ != UserStoreFault::kHoldWatches) {
    const std::lock_guard lock(mutex_);
    std::erase_if(watches_, [this](const Watch& aWatch) {
      const bool isUnknown = era_ >= 0 && aWatch.afterVersion_ > version_;
      if (aWatch.afterVersion_ < compactedVersion_ || isUnknown) {
        Respond(aWatch.exchange_, { 410, {}, "", std::nullopt });
        return true;
      }
      nlohmann::json rows = nlohmann::json::array();
      for (const auto& [key, row] : history_) {
        if (key.first == aWatch.table_ && row.version_ > aWatch.afterVersion_) {
          nlohmann::json entry = { { "key", key.second },
                                   { "value", row.value_ },
                                   { "ver", row.version_ } };
          if (row.removed_) {
            entry["deleted"] = true;
          }
          rows.push_back(std::move(entry));
        }
      }
      if (fault_ == UserStoreFault::kDeafWatches) {
        rows.clear();
      }
      if (rows.empty() && loop_.Now() < aWatch.answerAt_) {
        return false;
      }
      const nlohmann::json body = { { "rows", rows }, { "ver", version_ } };
      Respond(aWatch.exchange_, JsonResponse(200, body.dump()));
      return true;
    });
  }
  loop_.After(kWatchCheckInterval, [this] { AnswerWatches(); });
}

} // namespace peridotquay::standins
