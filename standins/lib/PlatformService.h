// Table service and object store of the platform stand-in, held in memory; the HTTP server is
// separate.
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

/// HTTP request to the service.
struct PlatformRequest
{
  std::string method_;
  std::string target_; ///< Path with query.
  std::string body_;
};

/// HTTP answer of the service.
struct PlatformReply
{
  unsigned status_ = 200;
  std::string body_;
  bool lost_ = false; ///< The server closes the connection instead of sending the answer.
};

/// Counters since the start, without requests for /faults and /stats.
struct PlatformCounts
{
  std::uint64_t reads_ = 0;    ///< GET requests that weren't refused.
  std::uint64_t writes_ = 0;   ///< Other requests that weren't refused.
  std::uint64_t refused_ = 0;  ///< Over a rate limit or during an outage.
  std::uint64_t lost_ = 0;     ///< Answers lost after the write took effect.
  std::uint64_t bytesIn_ = 0;  ///< Request bodies.
  std::uint64_t bytesOut_ = 0; ///< Answer bodies.
};

/// Rows, objects and faults of the stand-in. Not thread-safe.
class PlatformService
{
public:
  /// aSeed decides which answers are lost.
  PlatformService(PlatformFaults aFaults, std::uint64_t aSeed);

  /// Handles one request with all faults except delay and silence, which PlatformServer adds.
  PlatformReply Handle(const PlatformRequest& aRequest, TimePoint aNow);

  const PlatformFaults& Faults() const { return faults_; }
  void SetFaults(const PlatformFaults& aFaults) { faults_ = aFaults; }
  const PlatformCounts& Counts() const { return counts_; }

private:
  /// Token bucket that holds the tokens of a tenth of a second, but at least one.
  struct RateLimit
  {
    double tokens_ = 1;
    TimePoint refilledAt_{};
    /// Consumes a token if there is one; true without a limit (aTokensPerSecond 0).
    bool TryConsume(double aTokensPerSecond, TimePoint aNow);
  };
  /// A committed transaction.
  struct Operation
  {
    std::uint64_t revision_ = 0; ///< Revision of the rows that it wrote.
    TimePoint committedAt_{};
  };

  PlatformReply HandleRows(std::string_view aTarget);
  PlatformReply HandleTransaction(const std::string& aBody, TimePoint aNow);
  PlatformReply HandleObject(const PlatformRequest& aRequest, std::string_view aName);
  PlatformReply HandleFaults(const PlatformRequest& aRequest);
  PlatformReply StatsReply() const;
  /// Whether an outage or a rate limit refuses the request.
  bool ShouldRefuse(bool aWrite, TimePoint aNow);
  /// Whether the answer to a write that took effect is lost; counts it if so.
  bool ShouldLoseAnswer();

  PlatformFaults faults_;
  PlatformCounts counts_;
  RateLimit writeLimit_;
  RateLimit readLimit_;
  std::mt19937_64 random_;
  std::uint64_t revision_ = 0;                              ///< Of the last committed transaction.
  std::map<std::string, PlatformRow, std::less<>> rows_;    ///< By key.
  std::map<std::string, std::string, std::less<>> objects_; ///< Contents by name.
  std::map<std::string, Operation> operations_;             ///< Last 10 min, by operation id.
};

} // namespace peridotquay
