// Tests of the evacuations that hosts read from the store and pass on to each other.
#include "platform/EvacuationRows.h"

#include <catch2/catch.hpp>

using namespace peridotquay;
using namespace peridotquay::platform;

namespace {

const TimePoint kNow{ seconds(500) };
using Names = std::set<DataCentreId>;

StoreRows StoreAnswer(std::uint64_t aVersion, std::vector<StoreRow> aRows, std::uint64_t aEra = 0)
{
  return { std::move(aRows), { aEra, aVersion }, false };
}

} // namespace

// Guards against an order that is missed or stays in force, and one that an older answer undoes.
TEST_CASE("evacuations follow the rows of the store", "[evacuation]")
{
  EvacuationRows rows;
  const StoreRow document{ "config", "{}", { 0, 3 }, false };
  CHECK_FALSE(
    ApplyEvacuationChanges(rows, StoreAnswer(5, { { "evacuate/d1", "", { 0, 5 }, false } }), kNow));
  CHECK_FALSE(rows.isKnown_);
  CHECK(ApplyEvacuationRead(
    rows, StoreAnswer(6, { document, { "evacuate/d1", "x", { 0, 5 }, false } }), kNow));
  CHECK(rows.dataCentres_ == Names{ { "d1" } });
  CHECK_FALSE(ApplyEvacuationChanges(rows, StoreAnswer(9, { document }), kNow));
  CHECK(rows.position_ == StorePosition{ 0, 6 });
  CHECK(ApplyEvacuationChanges(
    rows,
    StoreAnswer(9,
                { { "evacuate/d1", "", { 0, 8 }, true }, { "evacuate/d2", "", { 0, 7 }, false } }),
    kNow));
  CHECK(rows.dataCentres_ == Names{ { "d2" } });
  CHECK_FALSE(ApplyEvacuationRead(rows, StoreAnswer(5, {}), kNow));
  // A read that doesn't cover the change leaves it in force.
  CHECK_FALSE(ApplyEvacuationRead(
    rows,
    StoreAnswer(
      7, { { "evacuate/d1", "x", { 0, 5 }, false }, { "evacuate/d2", "", { 0, 7 }, false } }),
    kNow));
  CHECK_FALSE(ApplyEvacuationRead(rows, { {}, { 0, 12 }, true }, kNow));
  CHECK(rows.dataCentres_ == Names{ { "d2" } });
  CHECK(ApplyEvacuationRead(rows, StoreAnswer(12, {}), kNow));
  CHECK(rows.dataCentres_.empty());
}

// Guards against hosts that don't read the store and keep sending requests to an evacuated data
// centre, or never send any after its return.
TEST_CASE("evacuations and their end pass between hosts", "[evacuation]")
{
  EvacuationRows source;
  ApplyEvacuationRead(source, StoreAnswer(6, { { "evacuate/d1", "", { 0, 5 }, false } }), kNow);
  EvacuationRows follower;
  const FeedRows older = EvacuationFeed(source);
  CHECK(ApplyEvacuationFeed(follower, older, kNow));
  CHECK(follower.dataCentres_ == source.dataCentres_);
  ApplyEvacuationChanges(source, StoreAnswer(8, { { "evacuate/d1", "", { 0, 8 }, true } }), kNow);
  CHECK(ApplyEvacuationFeed(follower, EvacuationFeed(source), kNow));
  CHECK(follower.dataCentres_.empty());
  CHECK_FALSE(ApplyEvacuationFeed(follower, older, kNow));
  CHECK_FALSE(IsEvacuationFeed({ FeedTable::kConfig, 0, 9, { { "", "{}", 9 } } }));
  // A host that doesn't know these rows ignores those with the version of no document.
  for (const FeedRow& row : older.rows_) {
    CHECK(row.version_ == 0);
  }
}

// Guards against a host that never learns of an order because a watch reported only a later one:
// the read that finds both has the position of the later one.
TEST_CASE("a row that a watch lacks passes between hosts after the next read", "[evacuation]")
{
  const StoreRow first{ "evacuate/d1", "", { 0, 7 }, false };
  const StoreRow second{ "evacuate/d2", "", { 0, 8 }, false };
  EvacuationRows source;
  EvacuationRows follower;
  ApplyEvacuationRead(source, StoreAnswer(6, {}), kNow);
  const FeedRows empty = EvacuationFeed(source);
  ApplyEvacuationFeed(follower, empty, kNow);
  CHECK(ApplyEvacuationChanges(source, StoreAnswer(8, { second }), kNow));
  CHECK(ApplyEvacuationFeed(follower, EvacuationFeed(source), kNow));
  CHECK(follower.dataCentres_ == Names{ { "d2" } });
  CHECK_FALSE(ApplyEvacuationFeed(follower, empty, kNow));
  CHECK(ApplyEvacuationRead(source, StoreAnswer(8, { first, second }), kNow));
  CHECK(ApplyEvacuationFeed(follower, EvacuationFeed(source), kNow));
  CHECK(follower.dataCentres_ == Names{ { "d1" }, { "d2" } });
  // Of two complete sets with the same position, the later one counts.
  EvacuationRows other;
  ApplyEvacuationRead(other, StoreAnswer(8, { second }), kNow);
  CHECK(ApplyEvacuationFeed(other, EvacuationFeed(source), kNow));
  CHECK(other.dataCentres_ == source.dataCentres_);
}

// Guards against a host that ignores the rows of a store that went back to an older copy, whose
// versions are lower: a row that comes back is an order, and a lost one is withdrawn.
TEST_CASE("the rows of an older copy of the store are in force", "[evacuation]")
{
  EvacuationRows source;
  EvacuationRows follower;
  ApplyEvacuationRead(source, StoreAnswer(20, {}), kNow);
  ApplyEvacuationChanges(
    source, StoreAnswer(21, { { "evacuate/d2", "", { 0, 21 }, false } }), kNow);
  ApplyEvacuationFeed(follower, EvacuationFeed(source), kNow);
  CHECK(follower.dataCentres_ == Names{ { "d2" } });
  const StoreRow returned{ "evacuate/d1", "", { 1, 5 }, false };
  CHECK(ApplyEvacuationRead(source, StoreAnswer(9, { returned }, 1), kNow));
  CHECK(source.dataCentres_ == Names{ { "d1" } });
  CHECK(ApplyEvacuationFeed(follower, EvacuationFeed(source), kNow));
  CHECK(follower.dataCentres_ == source.dataCentres_);
  CHECK_FALSE(ApplyEvacuationRead(source, StoreAnswer(22, {}), kNow));
}

// Guards against a host that misses an order because the host that it follows is of an earlier
// release and sends no rows, and against reads of the store while the followed host sends them.
TEST_CASE("a host reads the rows if the followed one doesn't send them", "[evacuation]")
{
  EvacuationRows rows;
  EvacuationSender sender;
  CHECK(MustReadEvacuations(rows, sender, { "h1" }, 3, kNow));
  sender = { { "h1" }, 3, kNow };
  ApplyEvacuationRead(rows, StoreAnswer(6, {}), kNow);
  // An empty set that has never changed isn't repeated.
  CHECK_FALSE(MustReadEvacuations(rows, sender, { "h1" }, 3, kNow + seconds(60)));
  CHECK(MustReadEvacuations(rows, sender, { "h2" }, 3, kNow));
  // The same host after a restart, perhaps with an earlier release.
  CHECK(MustReadEvacuations(rows, sender, { "h1" }, 4, kNow));
  ApplyEvacuationRead(rows, StoreAnswer(7, { { "evacuate/d1", "", { 0, 7 }, false } }), kNow);
  CHECK_FALSE(MustReadEvacuations(rows, sender, { "h1" }, 3, kNow + seconds(11)));
  CHECK(MustReadEvacuations(rows, sender, { "h1" }, 3, kNow + seconds(12)));
}

// Guards against a change that a lost frame keeps from a host for longer than 5 s, and against
// frames with every query.
TEST_CASE("evacuations are sent again, often only after a change", "[evacuation]")
{
  EvacuationRows rows;
  EvacuationFeedTimes times;
  const Address host{ "10.0.0.1", 7000 };
  const auto countIn = [&](Duration aFrom, Duration aTo) {
    int sent = 0;
    for (Duration at = aFrom; at < aTo; at += milliseconds(500)) {
      sent += IsEvacuationFeedDue(times, rows, host, kNow + at) ? 1 : 0;
    }
    return sent;
  };
  CHECK(countIn({}, seconds(5)) == 0);
  ApplyEvacuationRead(rows, StoreAnswer(6, {}), kNow);
  CHECK(countIn(seconds(5), seconds(7)) == 2);
  CHECK(countIn(seconds(7), seconds(60)) == 0);
  ApplyEvacuationRead(
    rows, StoreAnswer(7, { { "evacuate/d1", "", { 0, 7 }, false } }), kNow + seconds(60));
  CHECK(countIn(seconds(60), seconds(65)) >= 4);
  CHECK(countIn(seconds(70), seconds(90)) >= 1);
  CHECK(countIn(seconds(70), seconds(90)) <= 3);
}
