// Tests of the feed through which one host of a data centre reads the store for the others.
#include "peridotquay/version/StoreFeed.h"

#include <catch2/catch.hpp>

using namespace peridotquay;

namespace {

const HostId kSource{ "h1" };
const RowPositions kHeld{ { 0, 40 }, { 0, 70 } };

/// Host h5, which asks other hosts how fresh its rows are, with a simulated clock that advances by
/// 100 ms.
struct Follower
{
  StoreFeedState state_;
  TimePoint now_{ seconds(1000) };
  Duration suspended_{};
  RowPositions held_ = kHeld;

  std::vector<HostId> others_{ kSource };
  std::vector<HostId> elsewhere_{};
  bool storeAnswersSelf_ = true;

  std::optional<FeedQuery> Tick()
  {
    now_ += milliseconds(100);
    return CollectDueQuery(
      state_, { HostId{ "h5" }, others_, storeAnswersSelf_, elsewhere_ }, held_, now_, suspended_);
  }

  FeedQuery NextQuery()
  {
    for (int i = 0; i < 20; ++i) {
      if (const auto query = Tick()) {
        return *query;
      }
    }
    FAIL("no query is due within 2 s");
    return {};
  }

  FeedAnswerResult ReceiveAnswer(const FeedQuery& aQuery,
                                 std::uint64_t aFreshnessAgeMs,
                                 const RowPositions& aNewest = kHeld,
                                 std::uint64_t aAnswerAgeMs = 10)
  {
    return ApplyFeedAnswer(
      state_, { aQuery.nonce_, aFreshnessAgeMs, aAnswerAgeMs, aNewest }, held_, now_, suspended_);
  }
};

} // namespace

// Guards against a freshness age that counts from when the answer arrived. A withdrawn key would
// then be accepted longer, by the time that the answer took.
TEST_CASE("the freshness age includes the time since the query was sent", "[feed]")
{
  Follower follower;
  const FeedQuery query = follower.NextQuery();
  const TimePoint sentAt = follower.now_;
  follower.now_ += milliseconds(80);
  const FeedAnswerResult result = follower.ReceiveAnswer(query, 300);
  REQUIRE(result.freshAt_);
  CHECK(*result.freshAt_ == sentAt - milliseconds(300));
  CHECK(follower.state_.followingSource_);
}

// Guards against a host that is suspended between query and answer and then takes the old answer
// for a new one, because the monotonic clock stops during suspension.
TEST_CASE("the freshness age includes the time that the host was suspended", "[feed]")
{
  Follower follower;
  const FeedQuery query = follower.NextQuery();
  follower.suspended_ += seconds(4);
  const FeedAnswerResult result = follower.ReceiveAnswer(query, 10);
  REQUIRE(result.freshAt_);
  CHECK(*result.freshAt_ == follower.now_ - milliseconds(4010));
  CHECK_FALSE(follower.state_.followingSource_);
}

// Guards against a follower that misses changes because its source has failed: it must read the
// store itself within 1.2 s.
TEST_CASE("a follower abandons a source that stops answering", "[feed]")
{
  Follower follower;
  follower.ReceiveAnswer(follower.NextQuery(), 10);
  REQUIRE(follower.state_.followingSource_);
  const TimePoint answered = follower.now_;
  while (follower.state_.followingSource_) {
    follower.Tick();
    REQUIRE(follower.now_ - answered <= milliseconds(1200));
  }
  // One lost datagram isn't enough to abandon the source.
  const FeedQuery query = follower.NextQuery();
  follower.ReceiveAnswer(query, 10);
  REQUIRE(follower.state_.followingSource_);
  follower.NextQuery();
  follower.NextQuery();
  CHECK(follower.state_.followingSource_);
}

// Guards against following a source that answers but is disconnected from the store: its followers
// would receive no changes.
TEST_CASE("a follower abandons a source that the store doesn't answer", "[feed]")
{
  Follower follower;
  follower.ReceiveAnswer(follower.NextQuery(), 10);
  REQUIRE(follower.state_.followingSource_);
  follower.ReceiveAnswer(follower.NextQuery(), 10, kHeld, 1600);
  CHECK_FALSE(follower.state_.followingSource_);
  // The largest age comes from a source that the store hasn't answered yet, or from a corrupt
  // counter. It must not overflow.
  follower.ReceiveAnswer(follower.NextQuery(), 10, kHeld, ~std::uint64_t{ 0 });
  CHECK_FALSE(follower.state_.followingSource_);
}

// Guards against freshness that is dated by the store's last answer to the source. The source's
// last freshness check can be older than that answer while other rows change. An age above the
// maximum counts as unknown.
TEST_CASE("a follower isn't fresher than its source", "[feed]")
{
  Follower follower;
  const FeedAnswerResult old = follower.ReceiveAnswer(follower.NextQuery(), 2600);
  REQUIRE(old.freshAt_);
  CHECK(*old.freshAt_ == follower.now_ - milliseconds(2600));
  CHECK(follower.state_.followingSource_);
  CHECK_FALSE(follower.ReceiveAnswer(follower.NextQuery(), kMaxFreshnessAgeMs + 1).freshAt_);
  CHECK_FALSE(follower.ReceiveAnswer(follower.NextQuery(), ~std::uint64_t{ 0 }).freshAt_);
}

// Guards against an old configuration that is considered fresh, and against rows that never arrive
// because the connection that carries them is stalled.
TEST_CASE("a follower reads rows that its source names but that don't arrive", "[feed]")
{
  Follower follower;
  const FeedAnswerResult first =
    follower.ReceiveAnswer(follower.NextQuery(), 10, { { 0, 41 }, { 0, 70 } });
  CHECK_FALSE(first.freshAt_);
  CHECK_FALSE(first.readConfig_);
  const FeedAnswerResult second =
    follower.ReceiveAnswer(follower.NextQuery(), 10, { { 0, 41 }, { 0, 71 } });
  CHECK_FALSE(second.freshAt_);
  CHECK(second.readConfig_);
  CHECK(second.readHosts_);
  follower.held_ = { { 0, 41 }, { 0, 71 } };
  CHECK(follower.ReceiveAnswer(follower.NextQuery(), 10, { { 0, 41 }, { 0, 71 } }).freshAt_);
  // A host with a newer configuration than its source accepts the source's freshness too.
  follower.held_ = { { 0, 45 }, { 0, 75 } };
  CHECK(follower.ReceiveAnswer(follower.NextQuery(), 10, { { 0, 41 }, { 0, 71 } }).freshAt_);
}

// Guards against a late or duplicate answer that is applied to a different query.
TEST_CASE("only the first answer to the last query is applied", "[feed]")
{
  Follower follower;
  const FeedQuery first = follower.NextQuery();
  const FeedQuery second = follower.NextQuery();
  CHECK(follower.ReceiveAnswer(first, 10) == FeedAnswerResult{});
  CHECK(follower.ReceiveAnswer(second, 10).freshAt_);
  CHECK(follower.ReceiveAnswer(second, 10) == FeedAnswerResult{});
}

// Guards against a host that continues to rely on a source after there is none.
TEST_CASE("a host without a source reads the store itself", "[feed]")
{
  Follower follower;
  follower.ReceiveAnswer(follower.NextQuery(), 10);
  follower.others_.clear();
  CHECK_FALSE(follower.Tick());
  CHECK_FALSE(follower.state_.followingSource_);
  // After a change of source the host follows the new one before its first answer.
  follower.others_ = { kSource };
  follower.ReceiveAnswer(follower.NextQuery(), 10);
  follower.others_ = { HostId{ "h2" } };
  follower.Tick();
  CHECK(follower.state_.followingSource_);
}

// Guards against a data centre whose hosts all read the store because it refuses the one host that
// reads for them. Their transfers of the same document fill the link to the store.
TEST_CASE("a follower asks the next host if the store doesn't answer its source", "[feed]")
{
  Follower follower;
  follower.others_ = { kSource, HostId{ "h2" }, HostId{ "h7" } };
  follower.ReceiveAnswer(follower.NextQuery(), 10);
  REQUIRE(follower.state_.followingSource_);
  const TimePoint failedAt = follower.now_;
  while (follower.state_.source_ == kSource) {
    if (const auto query = follower.Tick(); query && follower.state_.source_ == kSource) {
      follower.ReceiveAnswer(*query, 10, kHeld, 1600);
    }
    REQUIRE(follower.now_ - failedAt <= milliseconds(900));
  }
  CHECK(follower.state_.source_ == HostId{ "h2" });
  CHECK(follower.state_.followingSource_);
  // The next host isn't a reader yet; the query makes it one.
  follower.ReceiveAnswer({ follower.state_.nonce_, kHeld }, 10, kHeld, 3500);
  follower.ReceiveAnswer(follower.NextQuery(), 10);
  CHECK(follower.state_.followingSource_);
  for (int i = 0; i < 50; ++i) {
    if (const auto query = follower.Tick()) {
      follower.ReceiveAnswer(*query, 10);
    }
    REQUIRE(follower.state_.source_ == HostId{ "h2" });
    REQUIRE(follower.state_.followingSource_);
  }
  // The preferred host is asked again after its pause.
  follower.now_ += follower.state_.settings_.firstSourcePause_;
  follower.Tick();
  CHECK(follower.state_.source_ == kSource);
}

// Guards against a search for a source that goes on while no host learns of changes.
TEST_CASE("a host that finds no other source reads the store itself within 0.4 s", "[feed]")
{
  Follower follower;
  follower.others_ = { kSource, HostId{ "h2" }, HostId{ "h3" }, HostId{ "h4" } };
  follower.ReceiveAnswer(follower.NextQuery(), 10);
  const FeedQuery query = follower.NextQuery();
  const TimePoint failedAt = follower.now_;
  follower.ReceiveAnswer(query, 10, kHeld, 1600);
  while (follower.state_.followingSource_) {
    if (const auto next = follower.Tick()) {
      follower.ReceiveAnswer(*next, 10, kHeld, 60'000);
    }
    REQUIRE(follower.now_ - failedAt <= milliseconds(400));
  }
  // When a host is usable again, it is followed again.
  for (int i = 0; i < 10 && !follower.state_.followingSource_; ++i) {
    if (const auto next = follower.Tick()) {
      follower.ReceiveAnswer(*next, 10);
    }
  }
  CHECK(follower.state_.followingSource_);
}

// Guards against a host that the store refuses and that therefore learns of no change, although
// hosts after it in the order read the store.
TEST_CASE("a host asks hosts after itself only if the store doesn't answer it", "[feed]")
{
  Follower follower;
  follower.others_ = { HostId{ "h7" } };
  CHECK_FALSE(follower.Tick());
  CHECK_FALSE(follower.state_.source_);
  follower.storeAnswersSelf_ = false;
  CHECK(follower.Tick());
  CHECK(follower.state_.source_ == HostId{ "h7" });
}

// Guards against a large data centre in which all hosts call the store at once because it doesn't
// answer their source in time; the calls slow it further.
TEST_CASE("few hosts of a data centre read the store when it is slow", "[feed]")
{
  Follower follower;
  follower.others_ = { kSource, HostId{ "h2" }, HostId{ "h3" }, HostId{ "h4" } };
  for (int i = 0; i < 4; ++i) {
    follower.others_.push_back(HostId{ "h4" + std::to_string(i) });
  }
  follower.ReceiveAnswer(follower.NextQuery(), 10);
  for (int i = 0; i < 15; ++i) {
    if (const auto query = follower.Tick()) {
      follower.ReceiveAnswer(*query, 10, kHeld, 1600);
    }
    CHECK(follower.state_.followingSource_);
  }
  CHECK(follower.state_.source_ > HostId{ "h3" });
  // When none of them is answered by the store, this host tries it too.
  for (int i = 0; i < 30; ++i) {
    if (const auto query = follower.Tick()) {
      follower.ReceiveAnswer(*query, 10, kHeld, 1600);
    }
  }
  CHECK_FALSE(follower.state_.followingSource_);
}

// Guards against a data centre that learns of no change because the store answers none of its
// hosts.
TEST_CASE("the first hosts of a data centre that the store doesn't answer ask another one",
          "[feed]")
{
  Follower follower;
  follower.others_ = { kSource, HostId{ "h6" }, HostId{ "h7" } };
  follower.elsewhere_ = { HostId{ "x1" }, HostId{ "y1" } };
  follower.storeAnswersSelf_ = false;
  // Hosts of the own data centre answer that the store doesn't answer them; x1 doesn't answer.
  const TimePoint startedAt = follower.now_;
  while (!follower.state_.followingSource_) {
    if (const auto query = follower.Tick(); query && follower.state_.source_ != HostId{ "x1" }) {
      const bool isReader = follower.state_.source_ == HostId{ "y1" };
      follower.ReceiveAnswer(*query, 700, kHeld, isReader ? 700 : 60'000);
    }
    REQUIRE(follower.now_ - startedAt <= milliseconds(2500));
  }
  CHECK(follower.state_.source_ == HostId{ "y1" });
  CHECK(follower.state_.sourceIsElsewhere_);
  // Its own followers count the age of the answer there.
  follower.now_ += milliseconds(100);
  CHECK(RelayedAnswerAge(follower.state_, follower.now_, follower.suspended_) >= milliseconds(800));
  // Once the store answers it, a relay stops asking elsewhere.
  follower.storeAnswersSelf_ = true;
  follower.Tick();
  CHECK(follower.state_.source_ == kSource);
  CHECK_FALSE(RelayedAnswerAge(follower.state_, follower.now_, follower.suspended_));
}

// Guards against a link between data centres that all hosts of one load with their queries.
TEST_CASE("hosts after the first ones of a data centre ask only hosts of their own", "[feed]")
{
  Follower follower;
  follower.others_ = { kSource, HostId{ "h2" }, HostId{ "h3" }, HostId{ "h6" }, HostId{ "h7" } };
  follower.elsewhere_ = { HostId{ "x1" } };
  follower.storeAnswersSelf_ = false;
  for (int i = 0; i < 100; ++i) {
    if (const auto query = follower.Tick()) {
      REQUIRE(follower.state_.source_ != HostId{ "x1" });
      // The second relay finds a source elsewhere after a while.
      const bool isUsable = i > 30 && follower.state_.source_ == HostId{ "h2" };
      follower.ReceiveAnswer(*query, 10, kHeld, isUsable ? 900 : 60'000);
    }
  }
  CHECK(follower.state_.followingSource_);
  CHECK(follower.state_.source_ == HostId{ "h2" });
}

// Guards against a host that checks freshness every 0.7 s although no other host asks
// it. The platform charges for each of these reads.
TEST_CASE("a host is a source only while other hosts ask it", "[feed]")
{
  StoreFeedState state;
  const TimePoint now{ seconds(50) };
  CHECK_FALSE(IsFeedSource(state, now));
  RecordFeedQuery(state, now);
  CHECK(IsFeedSource(state, now + milliseconds(1900)));
  CHECK_FALSE(IsFeedSource(state, now + milliseconds(2100)));
}

// Guards against rows of the copy that count as older than lost rows of higher versions, and
// against freshness proved by a source that doesn't know that the store went back.
TEST_CASE("a follower of a source in another era lacks rows or isn't fresh", "[feed]")
{
  Follower follower;
  follower.ReceiveAnswer(follower.NextQuery(), 10, { { 1, 30 }, { 1, 50 }, 1 });
  const FeedAnswerResult second =
    follower.ReceiveAnswer(follower.NextQuery(), 10, { { 1, 30 }, { 1, 50 }, 1 });
  CHECK(second == FeedAnswerResult{ std::nullopt, true, true });
  follower.held_ = { { 1, 30 }, { 1, 50 }, 1 };
  CHECK(follower.ReceiveAnswer(follower.NextQuery(), 10, follower.held_).freshAt_);
  const FeedAnswerResult earlier =
    follower.ReceiveAnswer(follower.NextQuery(), 10, { { 0, 40 }, { 0, 70 }, 0 });
  CHECK(earlier == FeedAnswerResult{});
}

// Guards against hosts that keep different documents at one position of the store after a rollback:
// equal positions alone moved nothing, and the older document counted as fresh.
TEST_CASE("documents at an equal position are compared by the operator's version", "[feed]")
{
  const RowPositions older{ { 1, 30 }, { 1, 50 }, 1, 11 };
  const RowPositions newer{ { 1, 30 }, { 1, 50 }, 1, 12 };
  CHECK(NeedsDocument(older, newer));
  CHECK_FALSE(NeedsDocument(newer, older));
  CHECK_FALSE(NeedsDocument(newer, newer));
  Follower follower;
  follower.held_ = older;
  const FeedAnswerResult lacking = follower.ReceiveAnswer(follower.NextQuery(), 10, newer);
  CHECK_FALSE(lacking.freshAt_);
  CHECK_FALSE(lacking.sendDocument_);
  follower.held_ = newer;
  const FeedAnswerResult ahead = follower.ReceiveAnswer(follower.NextQuery(), 10, older);
  CHECK(ahead.freshAt_);
  CHECK(ahead.sendDocument_);
  // In a store that states no era, positions alone decide.
  CHECK_FALSE(NeedsDocument(kHeld, kHeld));
}
