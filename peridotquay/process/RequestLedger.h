// Request ids are idempotency keys that hosts issue: the request under an id runs at most once, and
// a repeat gets the stored answer. The ledger holds one record for each id.
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

/// An id can be used and repeated for this long after it was issued.
inline constexpr Duration kRequestIdRetention = seconds(600);

/// Maximum number of records; further ids aren't issued.
inline constexpr std::size_t kMaxRequestIds = 65536;

/// Maximum size of a stored answer body. For a longer one, a repeat gets only the digest and the
/// outcome "ran".
inline constexpr std::size_t kMaxStoredAnswerBytes = 65536;

/// Maximum total size of stored answer bodies; above it answers are stored without their bodies.
inline constexpr std::size_t kMaxStoredBytes = std::size_t{ 16 } << 20U;

/// Header of a stored answer whose body wasn't kept; its value is the SHA-256 of the body.
inline constexpr std::string_view kBodyDigestHeader = "Quay-Body-Digest";

/// Parts of a request id. Text form: HOST.INCARNATION.SEQUENCE.MAC
struct RequestIdParts
{
  HostId host_;
  Incarnation incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  std::string mac_; ///< 32 hex digits, truncated HMAC-SHA-256 with a key that each incarnation
                    ///< generates at start.
  bool operator==(const RequestIdParts&) const = default;
};

/// Parses the text form without checking the MAC. Errors: kBadRequestId.
Result<RequestIdParts> ParseRequestId(std::string_view aText);

/// State of the request under an id.
enum class RecordState : std::uint8_t
{
  kIssued,
  kRunning,
  kDone
};

/// Record of one id.
struct RequestRecord
{
  RecordState state_ = RecordState::kIssued;
  TimePoint issuedAt_{};
  std::string requestDigest_; ///< SHA-256 over method, path, account and body; a repeat must match.
  std::optional<Answer> answer_; ///< Present in state kDone.
};

/// Records of the ids that one process incarnation issued, held by that incarnation or by its
/// successor. Changed only through the functions below.
struct RequestLedger
{
  HostId host_;
  Incarnation incarnation_ = 0;
  std::string secret_; ///< Key of the MACs; 32 random bytes.
  std::uint64_t nextSequence_ = 1;
  std::map<std::uint64_t, RequestRecord> records_; ///< By sequence; at most kMaxRequestIds.
  std::size_t storedBytes_ = 0; ///< Invariant: total size of the bodies in records_.
  bool closed_ = false;         ///< No request may start: handed over, or not completely received.
  bool imported_ = false;       ///< Received from a leaving host; issues no ids.
  bool complete_ = false;       ///< With imported_: the last batch has arrived.
};

/// Returns an empty ledger with a new secret from a cryptographic generator.
RequestLedger MakeLedger(const HostId& aHost, Incarnation aIncarnation);

/// Issues ids. Errors: kLimitReached, kDraining.
Result<std::vector<std::string>> IssueRequestIds(RequestLedger& aLedger,
                                                 std::uint32_t aCount,
                                                 TimePoint aNow);

/// What the caller of BeginRequest must do.
enum class BeginResult : std::uint8_t
{
  kRun,   ///< The caller must run the request now; the record is kRunning.
  kWait,  ///< The request already runs; wait for its FinishRequest.
  kRepeat ///< The request has ended; return the answer in the record.
};

/// Starts or repeats a request. Errors: kBadRequestId (bad MAC, or another request under the id),
/// kRequestIdExpired, kOutcomeUnknown (another incarnation issued it, or the ledger is closed and
/// another host may have run it). After the last two errors a caller must not be told "not run".
Result<BeginResult> BeginRequest(RequestLedger& aLedger,
                                 std::string_view aId,
                                 std::string_view aRequestDigest,
                                 TimePoint aNow);

/// Ends a running request. An answer with Outcome::kNotRun returns the id to kIssued, so that a
/// repeat may run.
void FinishRequest(RequestLedger& aLedger, std::uint64_t aSequence, const Answer& aAnswer);

/// Returns the record of an id; null if there is none.
const RequestRecord* FindRecord(const RequestLedger& aLedger, std::uint64_t aSequence);

/// Removes records older than kRequestIdRetention, except those of running requests.
void ExpireRecords(RequestLedger& aLedger, TimePoint aNow);

/// Whether an answer was stored without its body; a repeat must not get it as a complete answer.
bool IsBodyDropped(const Answer& aAnswer);

/// Closes the ledger and returns its records in batches that fit into frames; the last one is
/// marked. Requests that still run end with outcome unknown, here and at the successor. All batches
/// must go to a single successor: two successors would each run an unused id.
std::vector<RequestHandover> ExportRecords(RequestLedger& aLedger, TimePoint aNow);

/// Adds a batch to the ledger for a leaving incarnation, which is default-constructed before the
/// first batch. Its ids can run after the last batch. Batches may arrive twice. Errors:
/// kFrameMalformed, kLimitReached.
Result<void> ImportRecords(RequestLedger& aLedger, const RequestHandover& aBatch, TimePoint aNow);

} // namespace peridotquay
