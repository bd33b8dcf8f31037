// Table service and object store of the platform stand-in, in memory, without sockets.
#pragma once

#include "peridotquay/process/Platform.h"
#include "peridotquay/process/PlatformJson.h"
#include "peridotquay/process/Time.h"

#include "standins/lib/PlatformFaults.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace peridotquay {

/// One HTTP request as the service sees it.
struct PlatformRequest
{
  std::string method_;
  std::string target_;
  std::string body_;
};

/// Answer of the service.
struct PlatformReply
{
  unsigned status_ = 200;
  std::string body_;
  bool lost_ = false; ///< The connection is closed without sending the answer.
};

/// Counters since the start.
struct PlatformCounts
{
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;  ///< Transactions and objects that took effect or conflicted.
  std::uint64_t refused_ = 0; ///< Over a ceiling or during an outage.
  std::uint64_t lost_ = 0;    ///< Answers lost after the write took effect.
  std::uint64_t bytesIn_ = 0; ///< Bodies.
  std::uint64_t bytesOut_ = 0;
};

/// The stand-in's state. Not thread-safe.
class PlatformService
{
public:
  /// aSeed decides which answers are lost.
  PlatformService(PlatformFaults aFaults, std::uint64_t aSeed);

  /// Handles one request, faults included, except delay and silence, which the server adds.
  PlatformReply Handle(const PlatformRequest& aRequest, TimePoint aNow);

  const PlatformFaults& Faults() const { return faults_; }
  void SetFaults(const PlatformFaults& aFaults) { faults_ = aFaults; }
  const PlatformCounts& Counts() const { return counts_; }

private:
  /// Token bucket of one ceiling, holding at most a tenth of a second of tokens or one.
  struct RateLimit
  {
    double tokens_ = 1;
    TimePoint refilledAt_{};
    bool TryConsume(double aTokensPerSecond, TimePoint aNow);
  };
  struct Operation
  {
    std::uint64_t revision_ = 0;
    TimePoint doneAt_{};
  };

  PlatformReply HandleRows(std::string_view aTarget);
  PlatformReply HandleTransaction(const std::string& aBody, TimePoint aNow);
  PlatformReply HandleObject(const PlatformRequest& aRequest, std::string_view aName);
  PlatformReply HandleFaults(const PlatformRequest& aRequest);
  PlatformReply StatsReply() const;
  bool ShouldRefuse(bool aWrite, TimePoint aNow);
  bool ShouldLoseAnswer();

  PlatformFaults faults_;
  PlatformCounts counts_;
  RateLimit writeLimit_;
  RateLimit readLimit_;
  std::mt19937_64 random_;
  std::uint64_t revision_ = 0;
  std::map<std::string, PlatformRow, std::less<>> rows_;
  std::map<std::string, std::string, std::less<>> objects_;
  std::map<std::string, Operation> operations_; ///< Transactions of the last 10 min, by id.
};

} // namespace peridotquay
