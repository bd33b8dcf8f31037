// Records of request ids that this host issued. Each id runs at most once.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotquay {

/// Ids that can be used or repeated this long after they were issued.
inline constexpr Duration kRequestIdRetention = seconds(600);

/// Most records at once; more ids aren't issued.
inline constexpr std::size_t kMaxRequestIds = 65536;

/// Largest stored answer body in bytes; for a longer one a repeat gets only its digest and "ran".
inline constexpr std::size_t kMaxStoredAnswer = 65536;

/// Most bytes of stored answer bodies at once; beyond it answers are stored without their bodies.
inline constexpr std::size_t kMaxStoredBytes = std::size_t{ 16 } << 20U;

/// Header that stands in a stored answer for a body that was too long to keep; its value is the
/// body's SHA-256.
inline constexpr std::string_view kBodyDigestHeader = "Quay-Body-Digest";

/// Parts of a request id. Text form: HOST.INCARNATION.SEQUENCE.MAC
struct RequestIdParts
{
  HostId host_;
  Incarnation incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  std::string mac_; ///< 32 hex digits, HMAC-SHA-256 under a key that the incarnation made at start.
  bool operator==(const RequestIdParts&) const = default;
};

/// Parses the text form without checking the MAC. Errors: kBadRequestId.
Result<RequestIdParts> ParseRequestId(std::string_view aText);

enum class RecordState : std::uint8_t
{
  kIssued,
  kRunning,
  kDone
};

struct RequestRecord
{
  RecordState state_ = RecordState::kIssued;
  TimePoint issued_{};
  std::string requestDigest_; ///< SHA-256 over method, path, account and body; a repeat must match.
  std::optional<Answer> answer_; ///< With kDone.
};

/// Records of one process incarnation, or records handed over by one. Changed only through the
/// functions below.
struct RequestLedger
{
  HostId host_;
  Incarnation incarnation_ = 0;
  std::string secret_; ///< 32 random bytes.
  std::uint64_t nextSequence_ = 1;
  std::map<std::uint64_t, RequestRecord> records_; ///< By sequence; at most kMaxRequestIds.
  std::size_t storedBytes_ = 0;                    ///< Invariant: sum of the bodies in records_.
  bool closed_ = false;   ///< Nothing starts here: handed over, or not wholly received yet.
  bool adopted_ = false;  ///< Received from a leaving host; issues no ids.
  bool complete_ = false; ///< With adopted_: the last batch has arrived.
};

/// An empty ledger with a new secret from a cryptographic generator.
RequestLedger MakeLedger(const HostId& aHost, Incarnation aIncarnation);

/// Issues ids. Errors: kLimitReached, kDraining.
Result<std::vector<std::string>> IssueRequestIds(RequestLedger& aLedger,
                                                 std::uint32_t aCount,
                                                 TimePoint aNow);

enum class BeginResult : std::uint8_t
{
  kRun,   ///< This call must run it now; the record is kRunning.
  kWait,  ///< It runs already; wait for FinishRequest.
  kRepeat ///< It is done; the answer is in the record.
};

/// Starts or repeats a request. Errors: kBadRequestId (bad MAC, or another request under the id),
/// kRequestIdExpired, kOutcomeUnknown (an incarnation that is gone issued it, or the ledger was
/// handed over and its successor may have run it). After the last two a caller must not be told
/// "not run".
Result<BeginResult> BeginRequest(RequestLedger& aLedger,
                                 std::string_view aId,
                                 std::string_view aRequestDigest,
                                 TimePoint aNow);

/// Ends a running request. An answer with Outcome::kNotRun puts the id back to kIssued, so that a
/// repeat may run.
void FinishRequest(RequestLedger& aLedger, std::uint64_t aSequence, const Answer& aAnswer);

/// The record of an id; null if there is none.
const RequestRecord* FindRecord(const RequestLedger& aLedger, std::uint64_t aSequence);

/// Drops records past the retention. Running ones stay.
void ExpireRecords(RequestLedger& aLedger, TimePoint aNow);

/// Whether an answer was stored without its body; a repeat must not pass it on as complete.
bool IsBodyDropped(const Answer& aAnswer);

/// Closes the ledger and returns its records in batches that fit into frames, the last one marked.
/// Requests that still run end with outcome unknown, here and at the successor. Send all batches to
/// one successor only: two would each let an unused id run.
std::vector<RequestHandover> ExportRecords(RequestLedger& aLedger, TimePoint aNow);

/// Adds a batch to a ledger that starts out default-constructed, one for each leaving incarnation.
/// Ids run there once the last batch has arrived. Batches may arrive twice. Errors:
/// kFrameMalformed, kLimitReached.
Result<void> ImportRecords(RequestLedger& aLedger, const RequestHandover& aBatch, TimePoint aNow);

} // namespace peridotquay
