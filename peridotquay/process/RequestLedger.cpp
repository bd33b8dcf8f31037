// Issues request ids, runs each at most once, and stores, expires and hands over their records.
#include "peridotquay/process/RequestLedger.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cstdlib>

namespace peridotquay {

namespace {

constexpr std::size_t kSecretBytes = 32;
constexpr std::size_t kMacBytes = 16;

/// Maximum length of the host name in an id; limits the work for hostile ids.
constexpr std::size_t kMaxHostNameLength = 255;

/// Maximum estimated size of a batch; the rest of the frame is for the encoding of the message.
constexpr std::size_t kMaxBatchBytes = kMaxFrameBytes / 4 * 3;

/// Estimated encoded size of a record without its strings, in bytes.
constexpr std::size_t kRecordOverhead = 128;

std::string ToHex(const unsigned char* aBytes, std::size_t aCount)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    text.push_back(kDigits[aBytes[i] >> 4U]);
    text.push_back(kDigits[aBytes[i] & 15U]);
  }
  return text;
}

bool ParseNumber(std::string_view aText, std::uint64_t& aNumber)
{
  // Leading zeros would give one record several ids.
  if (aText.empty() || (aText.size() > 1 && aText.front() == '0')) {
    return false;
  }
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), aNumber);
  return error == std::errc{} && end == aText.data() + aText.size();
}

/// Splits off the part after the last dot; false if there is none.
bool SplitLast(std::string_view& aText, std::string_view& aPart)
{
  const std::size_t dot = aText.rfind('.');
  if (dot == std::string_view::npos) {
    return false;
  }
  aPart = aText.substr(dot + 1);
  aText = aText.substr(0, dot);
  return true;
}

/// Returns HOST.INCARNATION.SEQUENCE, the text that the MAC covers.
std::string SignedText(const HostId& aHost, Incarnation aIncarnation, std::uint64_t aSequence)
{
  return aHost.value_ + "." + std::to_string(aIncarnation) + "." + std::to_string(aSequence);
}

std::string Mac(const std::string& aSecret, const std::string& aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  const auto* text = reinterpret_cast<const unsigned char*>(aText.data());
  if (HMAC(EVP_sha256(),
           aSecret.data(),
           static_cast<int>(aSecret.size()),
           text,
           aText.size(),
           digest.data(),
           &size) == nullptr) {
    std::abort();
  }
  return ToHex(digest.data(), kMacBytes);
}

bool IsExpired(const RequestRecord& aRecord, TimePoint aNow)
{
  return aNow - aRecord.issuedAt_ >= kRequestIdRetention;
}

std::size_t StoredBytes(const RequestRecord& aRecord)
{
  return aRecord.answer_ ? aRecord.answer_->body_.size() : 0;
}

/// Replaces the body of an answer with its digest.
void DropBody(Answer& aAnswer)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aAnswer.body_.data()),
         aAnswer.body_.size(),
         digest.data());
  aAnswer.headers_.emplace_back(kBodyDigestHeader, ToHex(digest.data(), digest.size()));
  aAnswer.body_ = {};
  aAnswer.declaredBodyBytes_ = 0;
}

std::size_t EncodedBytes(const HandoverRecord& aRecord)
{
  std::size_t bytes = kRecordOverhead + aRecord.requestDigest_.size();
  if (aRecord.answer_) {
    bytes += aRecord.answer_->body_.size();
    for (const auto& [name, value] : aRecord.answer_->headers_) {
      bytes += name.size() + value.size() + 10;
    }
  }
  return bytes;
}

HandoverRecord ExportRecord(std::uint64_t aSequence, const RequestRecord& aRecord, TimePoint aNow)
{
  HandoverRecord record;
  record.sequence_ = aSequence;
  record.ageMs_ = static_cast<std::uint64_t>(
    std::max<std::int64_t>(0, std::chrono::ceil<milliseconds>(aNow - aRecord.issuedAt_).count()));
  record.done_ = aRecord.state_ != RecordState::kIssued;
  record.requestDigest_ = aRecord.requestDigest_;
  record.answer_ = aRecord.answer_;
  return record;
}

/// Ends a running request with an unknown outcome, so that it never runs again on any host.
void EndUnknown(RequestRecord& aRecord)
{
  aRecord.state_ = RecordState::kDone;
  aRecord.answer_.emplace();
  aRecord.answer_->outcome_ = Outcome::kUnknown;
  aRecord.answer_->error_ = static_cast<std::uint16_t>(ErrorCode::kOutcomeUnknown);
}

} // namespace

RequestLedger MakeLedger(const HostId& aHost, Incarnation aIncarnation)
{
  RequestLedger ledger;
  ledger.host_ = aHost;
  ledger.incarnation_ = aIncarnation;
  std::array<unsigned char, kSecretBytes> secret{};
  // Ids could be forged with a predictable secret.
  if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1) {
    std::abort();
  }
  ledger.secret_.assign(secret.begin(), secret.end());
  return ledger;
}

Result<RequestIdParts> ParseRequestId(std::string_view aText)
{
  RequestIdParts parts;
  std::string_view rest = aText;
  std::string_view mac;
  std::string_view sequence;
  std::string_view incarnation;
  if (!SplitLast(rest, mac) || !SplitLast(rest, sequence) || !SplitLast(rest, incarnation) ||
      rest.empty() || rest.size() > kMaxHostNameLength || mac.size() != 2 * kMacBytes ||
      mac.find_first_not_of("0123456789abcdef") != std::string_view::npos ||
      !ParseNumber(sequence, parts.sequence_) || !ParseNumber(incarnation, parts.incarnation_)) {
    return Fail(ErrorCode::kBadRequestId, "Quay-Request-Id", "HOST.INCARNATION.SEQUENCE.MAC");
  }
  parts.host_.value_ = rest;
  parts.mac_ = mac;
  return parts;
}

Result<std::vector<std::string>> IssueRequestIds(RequestLedger& aLedger,
                                                 std::uint32_t aCount,
                                                 TimePoint aNow)
{
  if (aLedger.closed_ || aLedger.imported_) {
    return Fail(ErrorCode::kDraining, "request ids");
  }
  if (aLedger.records_.size() + aCount > kMaxRequestIds) {
    ExpireRecords(aLedger, aNow);
  }
  if (aLedger.records_.size() + aCount > kMaxRequestIds) {
    return Fail(ErrorCode::kLimitReached, "request ids", std::to_string(kMaxRequestIds));
  }
  std::vector<std::string> ids;
  ids.reserve(aCount);
  for (std::uint32_t i = 0; i < aCount; ++i) {
    const std::uint64_t sequence = aLedger.nextSequence_++;
    aLedger.records_[sequence].issuedAt_ = aNow;
    const std::string text = SignedText(aLedger.host_, aLedger.incarnation_, sequence);
    ids.push_back(text + "." + Mac(aLedger.secret_, text));
  }
  return ids;
}

Result<BeginResult> BeginRequest(RequestLedger& aLedger,
                                 std::string_view aId,
                                 std::string_view aRequestDigest,
                                 TimePoint aNow)
{
  const auto parsed = ParseRequestId(aId);
  if (!parsed) {
    return Fail(
      parsed.assume_error().code_, parsed.assume_error().subject_, parsed.assume_error().allowed_);
  }
  const RequestIdParts& parts = parsed.assume_value();
  if (parts.host_ != aLedger.host_ || parts.incarnation_ != aLedger.incarnation_) {
    return Fail(ErrorCode::kOutcomeUnknown, "Quay-Request-Id");
  }
  const std::string mac =
    Mac(aLedger.secret_, SignedText(parts.host_, parts.incarnation_, parts.sequence_));
  if (CRYPTO_memcmp(mac.data(), parts.mac_.data(), mac.size()) != 0) {
    return Fail(ErrorCode::kBadRequestId, "Quay-Request-Id");
  }
  const auto entry = aLedger.records_.find(parts.sequence_);
  if (entry == aLedger.records_.end()) {
    // A closed ledger may lack records that its successor or predecessor holds.
    return Fail(aLedger.closed_ ? ErrorCode::kOutcomeUnknown : ErrorCode::kRequestIdExpired,
                "Quay-Request-Id");
  }
  RequestRecord& record = entry->second;
  const bool first = record.state_ == RecordState::kIssued && record.requestDigest_.empty();
  if (!first && record.requestDigest_ != aRequestDigest) {
    return Fail(ErrorCode::kBadRequestId, "Quay-Request-Id", "the request it was first used for");
  }
  if (record.state_ == RecordState::kRunning) {
    return BeginResult::kWait;
  }
  if (IsExpired(record, aNow)) {
    return Fail(ErrorCode::kRequestIdExpired, "Quay-Request-Id");
  }
  if (record.state_ == RecordState::kDone) {
    return BeginResult::kRepeat;
  }
  if (aLedger.closed_) {
    // The successor may have run the request, so "not run" could be false.
    return Fail(ErrorCode::kOutcomeUnknown, "Quay-Request-Id");
  }
  record.state_ = RecordState::kRunning;
  record.requestDigest_ = aRequestDigest;
  return BeginResult::kRun;
}

void FinishRequest(RequestLedger& aLedger, std::uint64_t aSequence, const Answer& aAnswer)
{
  const auto entry = aLedger.records_.find(aSequence);
  if (entry == aLedger.records_.end() || entry->second.state_ != RecordState::kRunning) {
    return;
  }
  RequestRecord& record = entry->second;
  if (aAnswer.outcome_ == Outcome::kNotRun) {
    record.state_ = RecordState::kIssued;
    return;
  }
  record.state_ = RecordState::kDone;
  record.answer_ = aAnswer;
  if (aAnswer.body_.size() > kMaxStoredAnswerBytes ||
      aLedger.storedBytes_ + aAnswer.body_.size() > kMaxStoredBytes) {
    DropBody(*record.answer_);
  }
  aLedger.storedBytes_ += StoredBytes(record);
}

const RequestRecord* FindRecord(const RequestLedger& aLedger, std::uint64_t aSequence)
{
  const auto entry = aLedger.records_.find(aSequence);
  return entry == aLedger.records_.end() ? nullptr : &entry->second;
}

void ExpireRecords(RequestLedger& aLedger, TimePoint aNow)
{
  std::erase_if(aLedger.records_, [&aLedger, aNow](const auto& aEntry) {
    const RequestRecord& record = aEntry.second;
    if (record.state_ == RecordState::kRunning || !IsExpired(record, aNow)) {
      return false;
    }
    aLedger.storedBytes_ -= StoredBytes(record);
    return true;
  });
}

bool IsBodyDropped(const Answer& aAnswer)
{
  return std::any_of(aAnswer.headers_.begin(), aAnswer.headers_.end(), [](const auto& aHeader) {
    return aHeader.first == kBodyDigestHeader;
  });
}

std::vector<RequestHandover> ExportRecords(RequestLedger& aLedger, TimePoint aNow)
{
  aLedger.closed_ = true;
  ExpireRecords(aLedger, aNow);
  std::vector<RequestHandover> batches;
  std::size_t bytes = 0;
  const auto addBatch = [&] {
    batches.push_back({ aLedger.host_, aLedger.incarnation_, aLedger.secret_, {}, false });
    bytes = 0;
  };
  addBatch();
  for (auto& [sequence, record] : aLedger.records_) {
    if (record.state_ == RecordState::kRunning) {
      EndUnknown(record);
    }
    HandoverRecord exported = ExportRecord(sequence, record, aNow);
    const std::size_t size = EncodedBytes(exported);
    if (bytes + size > kMaxBatchBytes && !batches.back().records_.empty()) {
      addBatch();
    }
    bytes += size;
    batches.back().records_.push_back(std::move(exported));
  }
  batches.back().isLastBatch_ = true;
  return batches;
}

Result<void> ImportRecords(RequestLedger& aLedger, const RequestHandover& aBatch, TimePoint aNow)
{
  if (aBatch.secret_.size() != kSecretBytes) {
    return Fail(ErrorCode::kFrameMalformed, "secret", std::to_string(kSecretBytes) + " bytes");
  }
  if (!aLedger.imported_) {
    if (!aLedger.secret_.empty()) {
      return Fail(ErrorCode::kFrameMalformed, aBatch.host_.value_, "a ledger for handovers");
    }
    aLedger.host_ = aBatch.host_;
    aLedger.incarnation_ = aBatch.incarnation_;
    aLedger.secret_ = aBatch.secret_;
    aLedger.imported_ = true;
    aLedger.closed_ = true;
  }
  if (aLedger.host_ != aBatch.host_ || aLedger.incarnation_ != aBatch.incarnation_ ||
      aLedger.secret_ != aBatch.secret_) {
    return Fail(ErrorCode::kFrameMalformed, aBatch.host_.value_, aLedger.host_.value_);
  }
  for (const HandoverRecord& imported : aBatch.records_) {
    // Older records have expired, and their age could underflow the clock.
    const auto retentionMs = std::chrono::ceil<milliseconds>(kRequestIdRetention).count();
    if (imported.ageMs_ >= static_cast<std::uint64_t>(retentionMs)) {
      continue;
    }
    if (aLedger.records_.size() >= kMaxRequestIds) {
      return Fail(ErrorCode::kLimitReached, "request ids", std::to_string(kMaxRequestIds));
    }
    // A duplicate batch must not reset a record whose request ran here after the first one.
    const auto [entry, isNew] = aLedger.records_.try_emplace(imported.sequence_);
    if (!isNew) {
      continue;
    }
    RequestRecord& record = entry->second;
    record.state_ = imported.done_ ? RecordState::kDone : RecordState::kIssued;
    record.issuedAt_ = aNow - milliseconds(imported.ageMs_);
    record.requestDigest_ = imported.requestDigest_;
    if (imported.done_) {
      record.answer_ = imported.answer_.value_or(Answer{});
      aLedger.storedBytes_ += StoredBytes(record);
    }
  }
  if (aBatch.isLastBatch_ && !aLedger.complete_) {
    aLedger.complete_ = true;
    aLedger.closed_ = false;
  }
  return Success();
}

} // namespace peridotquay
