// Tests of the ledger of request ids, in part against a reference model.
#include "peridotquay/process/RequestLedger.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <rapidcheck.h>

using namespace peridotquay;

namespace {

const TimePoint kStart{ seconds(5000) };

Answer MakeAnswer(Outcome aOutcome, std::string aBody)
{
  Answer answer;
  answer.outcome_ = aOutcome;
  answer.status_ = 200;
  answer.declaredBodyBytes_ = aBody.size();
  answer.body_ = std::move(aBody);
  return answer;
}

std::uint64_t SequenceOf(const std::string& aId)
{
  return ParseRequestId(aId).assume_value().sequence_;
}

ErrorCode CodeOf(const Result<BeginResult>& aResult)
{
  return aResult.assume_error().code_;
}

/// Expected state of one id, kept by the test.
struct Reference
{
  std::string id_;
  TimePoint issuedAt_{};
  bool mayHaveRun_ = false; ///< It runs, ran, or may have run.
  bool running_ = false;
  std::string digest_;
  std::string body_; ///< Body of the stored answer.
  bool answered_ = false;
};

} // namespace

// Guards against a request that runs twice, for random interleavings of begin, finish, repeat,
// handover and expiry: an id may start only if no earlier attempt under it may have run.
TEST_CASE("an id runs at most once", "[ledger]")
{
  CHECK(rc::check("random interleavings", [] {
    // The first ledger issues the ids, the others are its successors; only the last one may run
    // them.
    std::vector<RequestLedger> ledgers{ MakeLedger({ "host.a" }, 77) };
    std::vector<Reference> ids;
    TimePoint now = kStart;
    const int steps = *rc::gen::inRange(0, 200);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::element(0, 1, 1000, 100000));
      const int action = *rc::gen::inRange(0, 12);
      if (action == 0 || ids.empty()) {
        const auto issued = IssueRequestIds(ledgers.front(), 3, now);
        RC_ASSERT(issued.has_value() == (ledgers.size() == 1));
        if (issued) {
          for (const std::string& id : issued.assume_value()) {
            ids.push_back({ id, now, false, false, "", "", false });
          }
        }
        if (ids.empty()) {
          return;
        }
      }
      Reference& reference = ids[*rc::gen::inRange<std::size_t>(0, ids.size())];
      const std::uint64_t sequence = SequenceOf(reference.id_);
      if (action <= 6) {
        RequestLedger& ledger = ledgers[*rc::gen::inRange<std::size_t>(0, ledgers.size())];
        const bool isLastLedger = &ledger == &ledgers.back();
        const std::string digest = *rc::gen::element<std::string>("one", "one", "one", "two");
        const auto result = BeginRequest(ledger, reference.id_, digest, now);
        if (!result) {
          // "Not run" may be answered only if the request can't have run.
          RC_ASSERT(CodeOf(result) != ErrorCode::kDraining);
          if (isLastLedger && CodeOf(result) == ErrorCode::kBadRequestId) {
            RC_ASSERT(!reference.digest_.empty());
            RC_ASSERT(reference.digest_ != digest);
          }
          continue;
        }
        RC_ASSERT(reference.digest_.empty() || reference.digest_ == digest);
        switch (result.assume_value()) {
          case BeginResult::kRun:
            RC_ASSERT(isLastLedger);
            RC_ASSERT(!reference.mayHaveRun_);
            RC_ASSERT(now - reference.issuedAt_ < kRequestIdRetention);
            reference.mayHaveRun_ = reference.running_ = true;
            reference.digest_ = digest;
            break;
          case BeginResult::kWait:
            RC_ASSERT(reference.running_);
            break;
          case BeginResult::kRepeat: {
            const RequestRecord* record = FindRecord(ledger, sequence);
            RC_ASSERT(record != nullptr);
            RC_ASSERT(record->answer_.has_value());
            RC_ASSERT(!reference.answered_ || record->answer_->body_ == reference.body_);
            RC_ASSERT(reference.answered_ || record->answer_->outcome_ == Outcome::kUnknown);
            break;
          }
        }
      } else if (action <= 9 && reference.running_) {
        const Outcome outcome =
          *rc::gen::element(Outcome::kRan, Outcome::kNotRun, Outcome::kUnknown);
        reference.body_ = std::to_string(i);
        FinishRequest(ledgers.back(), sequence, MakeAnswer(outcome, reference.body_));
        reference.running_ = false;
        reference.mayHaveRun_ = outcome != Outcome::kNotRun;
        reference.answered_ = outcome != Outcome::kNotRun;
      } else if (action == 10) {
        ExpireRecords(ledgers.back(), now);
      } else if (action == 11 && ledgers.size() < 4) {
        const auto batches = ExportRecords(ledgers.back(), now);
        RequestLedger successor;
        for (const RequestHandover& batch : batches) {
          RC_ASSERT(batch.isLastBatch_ == (&batch == &batches.back()));
          RC_ASSERT(ImportRecords(successor, batch, now).has_value());
        }
        ledgers.push_back(successor);
        // Calls still running on the leaving host are lost.
        for (Reference& other : ids) {
          other.running_ = false;
        }
        // A duplicate batch has no effect.
        RC_ASSERT(ImportRecords(ledgers.back(), batches.back(), now).has_value());
      }
    }
  }));
}

// Guards against a successor that runs an id before it has all records, and against a late
// duplicate batch that resets a record whose request ran meanwhile.
TEST_CASE("a successor runs ids only after the last batch", "[ledger]")
{
  RequestLedger issuer = MakeLedger({ "a" }, 1);
  const auto ids = IssueRequestIds(issuer, 40, kStart).assume_value();
  for (int i = 0; i < 39; ++i) {
    REQUIRE(BeginRequest(issuer, ids[i], "d", kStart));
    FinishRequest(issuer, SequenceOf(ids[i]), MakeAnswer(Outcome::kRan, std::string(60000, 'x')));
  }
  const auto batches = ExportRecords(issuer, kStart);
  REQUIRE(batches.size() > 1);
  for (const RequestHandover& batch : batches) {
    std::size_t bytes = 0;
    for (const HandoverRecord& record : batch.records_) {
      bytes += record.answer_ ? record.answer_->body_.size() : 0;
    }
    CHECK(bytes < kMaxFrameBytes - 65536);
  }
  CHECK(CodeOf(BeginRequest(issuer, ids[39], "d", kStart)) == ErrorCode::kOutcomeUnknown);

  RequestLedger successor;
  REQUIRE(ImportRecords(successor, batches[0], kStart));
  CHECK(CodeOf(BeginRequest(successor, ids[39], "d", kStart)) == ErrorCode::kOutcomeUnknown);
  for (const RequestHandover& batch : batches) {
    REQUIRE(ImportRecords(successor, batch, kStart));
  }
  CHECK(BeginRequest(successor, ids[0], "d", kStart).assume_value() == BeginResult::kRepeat);
  CHECK(BeginRequest(successor, ids[39], "d", kStart).assume_value() == BeginResult::kRun);
  REQUIRE(ImportRecords(successor, batches.back(), kStart));
  CHECK(BeginRequest(successor, ids[39], "d", kStart).assume_value() == BeginResult::kWait);
  CHECK_FALSE(IssueRequestIds(successor, 1, kStart));

  // Records of another incarnation are rejected.
  RequestHandover other = batches.back();
  other.incarnation_ = 2;
  CHECK_FALSE(ImportRecords(successor, other, kStart));
  CHECK_FALSE(ImportRecords(issuer, batches.back(), kStart));
}

// Guards against forged ids, ids of other incarnations, and several spellings of one id.
TEST_CASE("only issued ids are accepted", "[ledger]")
{
  RequestLedger ledger = MakeLedger({ "host.with.dots" }, 12);
  const std::string id = IssueRequestIds(ledger, 1, kStart).assume_value()[0];
  const auto parts = ParseRequestId(id).assume_value();
  CHECK(parts.host_ == HostId{ "host.with.dots" });
  CHECK(parts.incarnation_ == 12);
  for (std::size_t i = 0; i < id.size(); ++i) {
    std::string forged = id;
    forged[i] = forged[i] == '1' ? '2' : '1';
    const auto result = BeginRequest(ledger, forged, "d", kStart);
    REQUIRE_FALSE(result);
    CHECK(
      (CodeOf(result) == ErrorCode::kBadRequestId || CodeOf(result) == ErrorCode::kOutcomeUnknown));
  }
  RequestLedger restarted = MakeLedger({ "host.with.dots" }, 13);
  CHECK(CodeOf(BeginRequest(restarted, id, "d", kStart)) == ErrorCode::kOutcomeUnknown);
  CHECK_FALSE(ParseRequestId("host.012.1." + std::string(32, 'a')));
  CHECK_FALSE(ParseRequestId("host.12.01." + std::string(32, 'a')));
  CHECK_FALSE(ParseRequestId(".12.1." + std::string(32, 'a')));
  CHECK_FALSE(ParseRequestId("host.12.1." + std::string(32, 'A')));
  CHECK_FALSE(ParseRequestId("host.99999999999999999999.1." + std::string(32, 'a')));
  CHECK(rc::check("hostile text", [](const std::string& aText) {
    const auto parsed = ParseRequestId(aText);
    if (parsed) {
      RC_ASSERT(parsed.assume_value().mac_.size() == 32U);
    }
  }));
}

// Guards against unbounded memory use, and against an answer without its body that is passed on as
// complete.
TEST_CASE("ids and stored answers are bounded", "[ledger]")
{
  RequestLedger ledger = MakeLedger({ "a" }, 1);
  REQUIRE(IssueRequestIds(ledger, kMaxRequestIds - 400, kStart));
  const auto ids = IssueRequestIds(ledger, 400, kStart).assume_value();
  const auto full = IssueRequestIds(ledger, 1, kStart + seconds(599));
  REQUIRE_FALSE(full);
  CHECK(full.assume_error().code_ == ErrorCode::kLimitReached);
  for (std::size_t i = 0; i < ids.size(); ++i) {
    REQUIRE(BeginRequest(ledger, ids[i], "d", kStart));
    const std::size_t size = i == 0 ? kMaxStoredAnswerBytes + 1 : kMaxStoredAnswerBytes;
    FinishRequest(ledger, SequenceOf(ids[i]), MakeAnswer(Outcome::kRan, std::string(size, 'x')));
  }
  CHECK(ledger.storedBytes_ <= kMaxStoredBytes);
  CHECK(IsBodyDropped(*FindRecord(ledger, SequenceOf(ids[0]))->answer_));
  CHECK_FALSE(IsBodyDropped(*FindRecord(ledger, SequenceOf(ids[1]))->answer_));
  CHECK(IsBodyDropped(*FindRecord(ledger, SequenceOf(ids[399]))->answer_));
  CHECK(IssueRequestIds(ledger, 1, kStart + seconds(600)));
  CHECK(ledger.records_.size() == 1);
  CHECK(ledger.storedBytes_ == 0);
  CHECK(CodeOf(BeginRequest(ledger, ids[1], "d", kStart + seconds(600))) ==
        ErrorCode::kRequestIdExpired);
}
