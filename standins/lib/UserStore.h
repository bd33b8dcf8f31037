// Stand-in for the row store of the users' platform, the platform that the product is deployed on:
// versioned rows, conditional transactions and watches, with faults that tests switch on.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/HttpServer.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace peridotquay::standins {

/// Fault of the store; one at a time.
enum class UserStoreFault : std::uint8_t
{
  kNone,
  kUnavailable,      ///< Calls get 503 and have no effect.
  kLoseWriteAnswers, ///< Transactions take effect but get no answer.
  kSilent,           ///< Calls have no effect and get no answer.
  kDeafWatches,      ///< Watches report no change, though their version includes it.
  kHoldWatches       ///< Watches aren't answered while it lasts.
};

/// Serves on a free port of 127.0.0.1, on its own thread, from construction to destruction.
class UserStore
{
public:
  UserStore();
  UserStore(const UserStore&) = delete;
  UserStore& operator=(const UserStore&) = delete;
  ~UserStore();

  /// Bound port.
  std::uint16_t Port() const;
  /// Writes a row unconditionally, as an operator does.
  void Put(const std::string& aTable, const std::string& aKey, const std::string& aValue);
  /// Removes a row unconditionally, as an operator does.
  void Remove(const std::string& aTable, const std::string& aKey);
  void SetFault(UserStoreFault aFault) { fault_ = aFault; }
  /// Makes watches from any earlier version fail with 410, as if the history before were dropped.
  void Compact();
  /// Makes all answers state an era, as a store does that may go back.
  void StateEra(std::uint64_t aEra);
  /// Goes back to the content of some time ago, up to 20 s, and raises the era by one.
  void GoBack(Duration aAge);
  /// Value of a row; empty if there is none.
  std::string Value(const std::string& aTable, const std::string& aKey);
  /// Number of calls received.
  std::uint64_t CallCount() const { return calls_; }
  /// Number of reads of the operator's document, the rows of table "op" without an upper bound.
  std::uint64_t DocumentReads() const { return documentReads_; }
  /// Number of rows in a table, without removed ones.
  std::size_t RowCount(const std::string& aTable);

private:
  struct Row
  {
    std::string value_;         ///< Base64.
    std::uint64_t version_ = 0; ///< Of its last change.
    bool removed_ = false;      ///< Tombstone, which watches report.
  };
  using RowKey = std::pair<std::string, std::string>; ///< Table and key.
  /// A change that GoBack can undo.
  struct Change
  {
    TimePoint at_{};
    RowKey key_;
    std::optional<Row> previous_;
    std::uint64_t previousVersion_ = 0; ///< Of the store.
  };
  /// A call that waits for changes of a table.
  struct Watch
  {
    std::shared_ptr<HttpExchange> exchange_;
    std::string table_;
    std::uint64_t afterVersion_ = 0; ///< Waits for rows that changed after this version.
    TimePoint answerAt_{};           ///< Time of an answer without rows if there is no change.
  };

  /// Writes a row with the store's present version. aPreviousVersion: the store's before the write.
  void SetRow(const RowKey& aKey, Row aRow, std::uint64_t aPreviousVersion);
  /// Sends an answer, with the era if one is stated.
  void Respond(const std::shared_ptr<HttpExchange>& aExchange, HttpResponse aResponse);
  void OnCall(const std::shared_ptr<HttpExchange>& aExchange);
  /// Returns the rows of a table in a key range.
  void Read(const std::shared_ptr<HttpExchange>& aExchange);
  void BeginWatch(const std::shared_ptr<HttpExchange>& aExchange);
  /// Applies the writes if all expected versions match.
  void Transact(const std::shared_ptr<HttpExchange>& aExchange);
  /// Answers the watches that have changes or whose time is up. Called every kWatchCheckInterval.
  void AnswerWatches();

  EventLoop loop_;
  std::unique_ptr<HttpServer> server_;
  std::mutex mutex_; ///< Guards rows_, history_, changes_, version_ and compactedVersion_.
  std::map<RowKey, Row> rows_;
  /// All changes since compactedVersion_, in order. Watches report each one.
  std::deque<std::pair<RowKey, Row>> history_;
  std::deque<Change> changes_;         ///< Of the last 20 s if an era is stated, oldest first.
  std::uint64_t version_ = 0;          ///< Of the last change.
  std::uint64_t compactedVersion_ = 0; ///< Watches from earlier versions fail.
  /// Stated in all answers; none if negative.
  std::atomic<std::int64_t> era_{ -1 };
  std::list<Watch> watches_;
  std::list<std::shared_ptr<HttpExchange>> unanswered_; ///< Kept open without an answer.
  std::atomic<UserStoreFault> fault_{ UserStoreFault::kNone };
  std::atomic<std::uint64_t> calls_{ 0 };
  std::atomic<std::uint64_t> documentReads_{ 0 };
  std::thread thread_;
};

} // namespace peridotquay::standins
