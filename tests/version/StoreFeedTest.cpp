// Tests of the feed by which one host of a data centre reads the store for the others.
#include "peridotquay/version/StoreFeed.h"

#include <catch2/catch.hpp>

using namespace peridotquay;

namespace {

const HostId kSource{ "h1" };
const RowVersions kHeld{ 40, 70 };

/// A host that asks h1 and steps of 100 ms.
struct Asker
{
  StoreFeedState state_;
  TimePoint now_{ seconds(1000) };
  Duration suspended_{};
  RowVersions held_ = kHeld;

  std::optional<FeedQuestion> Tick(const std::optional<HostId>& aSource = kSource)
  {
    now_ += milliseconds(100);
    return CollectDueQuestion(state_, aSource, held_, now_, suspended_);
  }

  FeedQuestion NextQuestion()
  {
    for (int i = 0; i < 20; ++i) {
      if (const auto question = Tick()) {
        return *question;
      }
    }
    FAIL("no question is due");
    return {};
  }

  FeedAnswerResult Answer(const FeedQuestion& aQuestion,
                          std::uint64_t aProofAgeMs,
                          const RowVersions& aNewest = kHeld,
                          std::uint64_t aAnswerAgeMs = 10)
  {
    return ApplyFeedAnswer(
      state_, { aQuestion.nonce_, aProofAgeMs, aAnswerAgeMs, aNewest }, held_, now_, suspended_);
  }
};

} // namespace

// Guards against a proof that is counted from when the answer came: a withdrawn key would work on
// for as long as the answer took.
TEST_CASE("a proof is as old as its source says and the answer took", "[feed]")
{
  Asker asker;
  const FeedQuestion question = asker.NextQuestion();
  const TimePoint asked = asker.now_;
  asker.now_ += milliseconds(80);
  const FeedAnswerResult step = asker.Answer(question, 300);
  REQUIRE(step.provedAt_);
  CHECK(*step.provedAt_ == asked - milliseconds(300));
  CHECK(asker.state_.followingSource_);
}

// Guards against a host that was suspended between question and answer and takes the old proof for
// a new one: the monotonic clock stands still meanwhile.
TEST_CASE("time in suspension makes a proof older", "[feed]")
{
  Asker asker;
  const FeedQuestion question = asker.NextQuestion();
  asker.suspended_ += seconds(4);
  const FeedAnswerResult step = asker.Answer(question, 10);
  REQUIRE(step.provedAt_);
  CHECK(*step.provedAt_ == asker.now_ - milliseconds(4010));
  CHECK_FALSE(asker.state_.followingSource_);
}

// Guards against a follower that learns of nothing because its source is gone: within 1.2 s it
// reads the store itself.
TEST_CASE("a source that is silent is given up", "[feed]")
{
  Asker asker;
  asker.Answer(asker.NextQuestion(), 10);
  REQUIRE(asker.state_.followingSource_);
  const TimePoint answered = asker.now_;
  while (asker.state_.followingSource_) {
    asker.Tick();
    REQUIRE(asker.now_ - answered <= milliseconds(1200));
  }
  // One lost datagram is no reason.
  const FeedQuestion question = asker.NextQuestion();
  asker.Answer(question, 10);
  REQUIRE(asker.state_.followingSource_);
  asker.NextQuestion();
  asker.NextQuestion();
  CHECK(asker.state_.followingSource_);
}

// Guards against a source that answers but is cut off from the store: no change would come from it.
TEST_CASE("a source that the store doesn't answer is given up", "[feed]")
{
  Asker asker;
  asker.Answer(asker.NextQuestion(), 10);
  REQUIRE(asker.state_.followingSource_);
  asker.Answer(asker.NextQuestion(), 10, kHeld, 1600);
  CHECK_FALSE(asker.state_.followingSource_);
  // A source that has no answer yet, or whose counter is broken, is none.
  asker.Answer(asker.NextQuestion(), 10, kHeld, ~std::uint64_t{ 0 });
  CHECK_FALSE(asker.state_.followingSource_);
}

// Guards against a proof that is made younger than the source's own, which is older than its last
// answer of the store while other rows change.
TEST_CASE("an old proof stays old, and none is none", "[feed]")
{
  Asker asker;
  const FeedAnswerResult old = asker.Answer(asker.NextQuestion(), 2600);
  REQUIRE(old.provedAt_);
  CHECK(*old.provedAt_ == asker.now_ - milliseconds(2600));
  CHECK(asker.state_.followingSource_);
  CHECK_FALSE(asker.Answer(asker.NextQuestion(), kMaxProofAgeMs + 1).provedAt_);
  CHECK_FALSE(asker.Answer(asker.NextQuestion(), ~std::uint64_t{ 0 }).provedAt_);
}

// Guards against freshness for an old configuration, and against rows that never come because the
// connection that carries them is silent.
TEST_CASE("rows that the source holds and the host lacks are read", "[feed]")
{
  Asker asker;
  const FeedAnswerResult first = asker.Answer(asker.NextQuestion(), 10, { 41, 70 });
  CHECK_FALSE(first.provedAt_);
  CHECK_FALSE(first.readConfig_);
  const FeedAnswerResult second = asker.Answer(asker.NextQuestion(), 10, { 41, 71 });
  CHECK_FALSE(second.provedAt_);
  CHECK(second.readConfig_);
  CHECK(second.readHosts_);
  asker.held_ = { 41, 71 };
  CHECK(asker.Answer(asker.NextQuestion(), 10, { 41, 71 }).provedAt_);
  // A host that holds a newer row than its source has the newest.
  asker.held_ = { 45, 75 };
  CHECK(asker.Answer(asker.NextQuestion(), 10, { 41, 71 }).provedAt_);
}

// Guards against an answer that is late or repeated and counts for another question.
TEST_CASE("only the answer to the last question counts", "[feed]")
{
  Asker asker;
  const FeedQuestion first = asker.NextQuestion();
  const FeedQuestion second = asker.NextQuestion();
  CHECK(asker.Answer(first, 10) == FeedAnswerResult{});
  CHECK(asker.Answer(second, 10).provedAt_);
  CHECK(asker.Answer(second, 10) == FeedAnswerResult{});
}

// Guards against a host that goes on with the proofs of a source that it no longer has.
TEST_CASE("without a source a host reads for itself", "[feed]")
{
  Asker asker;
  asker.Answer(asker.NextQuestion(), 10);
  CHECK_FALSE(asker.Tick(std::nullopt));
  CHECK_FALSE(asker.state_.followingSource_);
  // The next source takes over without a gap, or is given up as any silent one.
  asker.Answer(asker.NextQuestion(), 10);
  asker.Tick(HostId{ "h2" });
  CHECK(asker.state_.followingSource_);
}

// Guards against proofs every 0.7 s at a host that nobody asks: each of them is paid for.
TEST_CASE("a host is a source while it is asked", "[feed]")
{
  StoreFeedState state;
  const TimePoint now{ seconds(50) };
  CHECK_FALSE(IsFeedSource(state, now));
  RecordFeedQuestion(state, now);
  CHECK(IsFeedSource(state, now + milliseconds(1900)));
  CHECK_FALSE(IsFeedSource(state, now + milliseconds(2100)));
}
