// In-memory platform for tests. Simulates outages and transactions whose answer is lost after the
// write took effect.
#pragma once

#include "peridotquay/process/Platform.h"
#include "peridotquay/process/PlatformCall.h"

#include <map>
#include <set>
#include <string>

namespace peridotquay {

/// Platform whose contents tests read and change directly.
class FakePlatform : public Platform
{
public:
  std::map<std::string, PlatformRow> rows_;
  std::map<std::string, std::string> objects_;
  std::map<std::string, std::uint64_t> operations_; ///< Revision by operation id.
  std::uint64_t revision_ = 0;
  bool down_ = false;        ///< Every call fails as unavailable.
  bool loseAnswer_ = false;  ///< The next transaction takes effect but fails as unknown.
  std::uint64_t writes_ = 0; ///< Transactions that took effect.
  std::uint64_t reads_ = 0;  ///< Row and range reads.

  Result<std::optional<PlatformRow>> ReadRow(std::string_view aKey) override
  {
    if (down_) {
      return Fail(ErrorCode::kPlatformUnavailable);
    }
    ++reads_;
    const auto found = rows_.find(std::string(aKey));
    return found == rows_.end() ? std::nullopt : std::optional<PlatformRow>(found->second);
  }

  Result<std::vector<PlatformRow>> ReadRange(std::string_view aPrefix,
                                             std::string_view aAfter,
                                             std::uint32_t aLimit) override
  {
    if (down_) {
      return Fail(ErrorCode::kPlatformUnavailable);
    }
    ++reads_;
    std::vector<PlatformRow> rows;
    for (const auto& [key, row] : rows_) {
      if (key.rfind(aPrefix, 0) == 0 && key > aAfter && rows.size() < aLimit) {
        rows.push_back(row);
      }
    }
    return rows;
  }

  Result<std::uint64_t> Transact(const PlatformTransaction& aTransaction) override
  {
    if (down_) {
      return Fail(ErrorCode::kPlatformUnavailable);
    }
    if (const auto done = operations_.find(aTransaction.operationId_); done != operations_.end()) {
      return done->second;
    }
    for (const auto& condition : aTransaction.conditions_) {
      const auto found = rows_.find(condition.key_);
      const auto currentRevision = found == rows_.end() ? 0 : found->second.revision_;
      if (currentRevision != condition.revision_) {
        return Fail(ErrorCode::kPlatformConflict, condition.key_, std::to_string(currentRevision));
      }
    }
    ++writes_;
    ++revision_;
    for (const auto& write : aTransaction.writes_) {
      if (write.value_) {
        rows_[write.key_] = { write.key_, revision_, *write.value_ };
      } else {
        rows_.erase(write.key_);
      }
    }
    operations_[aTransaction.operationId_] = revision_;
    if (loseAnswer_) {
      loseAnswer_ = false;
      return Fail(ErrorCode::kPlatformUnknown);
    }
    return revision_;
  }

  Result<void> PutObject(std::string_view aName, std::string_view aBody) override
  {
    if (down_) {
      return Fail(ErrorCode::kPlatformUnavailable);
    }
    objects_[std::string(aName)] = std::string(aBody);
    return Success();
  }

  Result<std::optional<std::string>> GetObject(std::string_view aName) override
  {
    if (down_) {
      return Fail(ErrorCode::kPlatformUnavailable);
    }
    const auto found = objects_.find(std::string(aName));
    return found == objects_.end() ? std::nullopt : std::optional<std::string>(found->second);
  }
};

} // namespace peridotquay
