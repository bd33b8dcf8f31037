// Tests of the evacuations that hosts read from the store and pass on to each other.
#include "platform/EvacuationRows.h"

#include <catch2/catch.hpp>

using namespace peridotquay;
using namespace peridotquay::platform;

namespace {

const TimePoint kNow{ seconds(500) };
using Names = std::set<DataCentreId>;

StoreRows StoreAnswer(std::uint64_t aVersion, std::vector<StoreRow> aRows)
{
  return { std::move(aRows), { 0, aVersion }, false };
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
  CHECK_FALSE(ApplyEvacuationRead(rows, StoreAnswer(7, {}), kNow));
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
  CHECK(countIn(seconds(5), seconds(25)) == 2);
  ApplyEvacuationRead(
    rows, StoreAnswer(7, { { "evacuate/d1", "", { 0, 7 }, false } }), kNow + seconds(25));
  CHECK(countIn(seconds(25), seconds(30)) >= 4);
  CHECK(countIn(seconds(35), seconds(55)) <= 3);
}
