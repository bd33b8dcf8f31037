// Tests of the rules by which the requests of a connection begin and are answered.
#include "peridotquay/connection/RequestPipeline.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <rapidcheck.h>
#include <vector>

using namespace peridotquay;

namespace {

constexpr PipelineLimits kLimits{ 4, 1000 };

} // namespace

// Guards against answers out of order, a second closing answer or a request that begins behind one,
// overlap with a request that must run alone, and more requests or answer bytes than permitted.
// Requests complete in random order; the server may begin to close at any moment.
TEST_CASE("any interleaving keeps order, limits and the one closing answer", "[pipeline]")
{
  CHECK(rc::check("random arrivals, completions and ends of a connection", [] {
    RequestPipeline pipeline;
    PipelineConditions conditions;
    std::vector<std::uint64_t> begun;
    std::vector<std::uint64_t> sent;
    std::vector<std::uint64_t> open; // Begun and not answered.
    std::vector<bool> overlaps;
    std::uint64_t closingAnswers = 0;
    bool ended = false;
    for (int step = 0; step < 200 && !ended; ++step) {
      switch (*rc::gen::weightedElement<int>({ { 4, 0 }, { 4, 1 }, { 4, 2 }, { 1, 3 } })) {
        case 0: {
          const bool mayOverlap = *rc::gen::weightedElement<bool>({ { 4, true }, { 1, false } });
          const bool isLast = *rc::gen::weightedElement<bool>({ { 30, false }, { 1, true } });
          if (WaitOf(pipeline, mayOverlap, kLimits, conditions) != PipelineWait::kNone) {
            break;
          }
          RC_ASSERT(closingAnswers == 0U);
          if (!pipeline.requests_.empty()) {
            RC_ASSERT(!conditions.serverCloses_ && mayOverlap && overlaps.back());
            RC_ASSERT(pipeline.answerBytes_ <= kLimits.maxAnswerBytes_);
          }
          begun.push_back(BeginRequest(pipeline, mayOverlap, isLast));
          open.push_back(begun.back());
          overlaps.push_back(mayOverlap);
          RC_ASSERT(pipeline.requests_.size() <= kLimits.maxRequests_);
          break;
        }
        case 1:
          if (!open.empty()) {
            const auto which = *rc::gen::inRange<std::size_t>(0, open.size());
            RC_ASSERT(SetAnswer(pipeline, open[which], *rc::gen::inRange<std::size_t>(1, 900)));
            RC_ASSERT(!SetAnswer(pipeline, open[which], 1));
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(which));
          }
          break;
        case 2:
          if (pipeline.sending_) {
            ended = FinishAnswer(pipeline);
          } else if (const auto next = StartNextAnswer(pipeline, conditions.serverCloses_)) {
            sent.push_back(next->number_);
            closingAnswers += next->closes_ ? 1 : 0;
            RC_ASSERT(!next->closes_ || next->number_ == begun.back());
          }
          break;
        default:
          conditions.serverCloses_ = *rc::gen::weightedElement<bool>({ { 9, false }, { 1, true } });
          break;
      }
      RC_ASSERT(closingAnswers <= 1U);
    }
    RC_ASSERT(sent.size() <= begun.size());
    RC_ASSERT(std::equal(sent.begin(), sent.end(), begun.begin()));
    // An ended connection has answered all that began, with exactly one closing answer.
    RC_ASSERT(!ended || (sent == begun && closingAnswers == 1U));
  }));
}

// Guards against a request that waits forever because of a limit while nothing is outstanding, and
// against the wrong cause of a wait in the counters.
TEST_CASE("a request waits for the stated cause and never without an earlier one", "[pipeline]")
{
  const PipelineConditions none;
  RequestPipeline pipeline;
  CHECK(WaitOf(pipeline, false, kLimits, { true, true }) == PipelineWait::kNone);
  const auto first = BeginRequest(pipeline, true, false);
  CHECK(WaitOf(pipeline, true, kLimits, none) == PipelineWait::kNone);
  CHECK(WaitOf(pipeline, false, kLimits, none) == PipelineWait::kOverlap);
  CHECK(WaitOf(pipeline, true, { 1, 1000 }, none) == PipelineWait::kCount);
  CHECK(WaitOf(pipeline, true, kLimits, { true, false }) == PipelineWait::kClosing);
  CHECK(WaitOf(pipeline, true, kLimits, { false, true }) == PipelineWait::kMemory);
  const auto second = BeginRequest(pipeline, true, false);
  CHECK(SetAnswer(pipeline, second, 1001));
  CHECK(WaitOf(pipeline, true, kLimits, none) == PipelineWait::kAnswerBytes);
  CHECK(SetAnswer(pipeline, first, 1));
  CHECK(StartNextAnswer(pipeline, false) == NextAnswer{ first, false });
  CHECK_FALSE(FinishAnswer(pipeline));
  CHECK(WaitOf(pipeline, true, kLimits, none) == PipelineWait::kAnswerBytes);
  CHECK(StartNextAnswer(pipeline, false) == NextAnswer{ second, false });
  CHECK_FALSE(FinishAnswer(pipeline));
  CHECK(pipeline.answerBytes_ == 0);
  CHECK(WaitOf(pipeline, true, kLimits, none) == PipelineWait::kNone);
}

// Guards against a caller that gets an answer behind a gap, or whose unfinished requests run on,
// after it closed its sending side.
TEST_CASE("only answers that are ready in order are sent to a caller that stopped sending",
          "[pipeline]")
{
  RequestPipeline pipeline;
  for (int i = 0; i < 4; ++i) {
    BeginRequest(pipeline, true, false);
  }
  SetAnswer(pipeline, 0, 10);
  SetAnswer(pipeline, 1, 20);
  SetAnswer(pipeline, 3, 30);
  CHECK(StartNextAnswer(pipeline, false) == NextAnswer{ 0, false });
  const std::size_t kept = CountDeliverable(pipeline);
  CHECK(kept == 2);
  DropRequests(pipeline, kept);
  CHECK(pipeline.answerBytes_ == 30);
  CHECK_FALSE(SetAnswer(pipeline, 2, 1));
  CHECK_FALSE(FinishAnswer(pipeline));
  CHECK(StartNextAnswer(pipeline, false) == NextAnswer{ 1, true });
  CHECK(FinishAnswer(pipeline));
}
