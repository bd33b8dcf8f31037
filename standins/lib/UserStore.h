// Stand-in for the store of the users' platform: rows with versions, conditional transactions and
// watches, with faults that can be switched on.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/HttpFront.h"

#include <atomic>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace peridotquay::standins {

/// Faults of the store.
enum class UserStoreFault : std::uint8_t
{
  kNone,
  kUnavailable,      ///< Answers 503; nothing is done.
  kLoseWriteAnswers, ///< Writes are done and not answered.
  kSilent            ///< Nothing is answered.
};

/// Serves on its own thread from construction to destruction.
class UserStore
{
public:
  UserStore();
  UserStore(const UserStore&) = delete;
  UserStore& operator=(const UserStore&) = delete;
  ~UserStore();

  std::uint16_t Port() const;
  /// Writes a row as the operator does.
  void Put(const std::string& aTable, const std::string& aKey, const std::string& aValue);
  void SetFault(UserStoreFault aFault) { fault_ = aFault; }
  /// Drops the history of watches.
  void Compact();
  /// Calls so far.
  std::uint64_t CallCount() const { return calls_; }
  /// Reads of the operator's document so far.
  std::uint64_t DocumentReads() const { return documentReads_; }
  /// Rows of a table that exist.
  std::size_t RowCount(const std::string& aTable);

private:
  struct Row
  {
    std::string value_; ///< Base64.
    std::uint64_t version_ = 0;
    bool removed_ = false;
  };
  struct Watch
  {
    std::shared_ptr<HttpExchange> exchange_;
    std::string table_;
    std::uint64_t afterVersion_ = 0;
    TimePoint answerAt_{};
  };

  void OnCall(const std::shared_ptr<HttpExchange>& aExchange);
  void Read(const std::shared_ptr<HttpExchange>& aExchange);
  void BeginWatch(const std::shared_ptr<HttpExchange>& aExchange);
  void Transact(const std::shared_ptr<HttpExchange>& aExchange);
  void AnswerWatches();

  EventLoop loop_;
  std::unique_ptr<HttpFront> front_;
  std::mutex mutex_;                                        ///< Guards the rows, which tests write.
  std::map<std::pair<std::string, std::string>, Row> rows_; ///< By table and key.
  std::uint64_t version_ = 0;
  std::uint64_t compactedVersion_ = 0; ///< Watches can't begin before this version.
  std::list<Watch> watches_;
  std::list<std::shared_ptr<HttpExchange>> unanswered_;
  std::atomic<UserStoreFault> fault_{ UserStoreFault::kNone };
  std::atomic<std::uint64_t> calls_{ 0 };
  std::atomic<std::uint64_t> documentReads_{ 0 };
  std::thread thread_;
};

} // namespace peridotquay::standins
