// Tests of the decisions that depend on the store having gone back to an older copy.
#include "peridotquay/version/StorePosition.h"

#include <catch2/catch.hpp>

using namespace peridotquay;

// Guards against content of the copy that counts as older than lost content of a higher version.
TEST_CASE("a position of a later era comes after every position of an earlier one", "[store]")
{
  CHECK(StorePosition{ 1, 80 } > StorePosition{ 0, 100 });
  CHECK(StorePosition{ 1, 80 } < StorePosition{ 1, 81 });
  CHECK(Describe({ 0, 412 }) == "412");
  CHECK(Describe({ 2, 412 }) == "2:412");
}

// Guards against a late answer that is applied after the store went back, and against a store that
// states no era being treated as one that did.
TEST_CASE("an answer of an earlier era is outdated and one without an era keeps it", "[store]")
{
  StoreEra era;
  CHECK(ObserveEra(era, std::nullopt) == EraChange::kNone);
  CHECK(era == StoreEra{});
  CHECK(ObserveEra(era, 0) == EraChange::kNone);
  CHECK(era.stated_);
  CHECK(ObserveEra(era, 2) == EraChange::kRaised);
  CHECK(ObserveEra(era, 1) == EraChange::kOutdated);
  CHECK(ObserveEra(era, std::nullopt) == EraChange::kNone);
  CHECK(era == StoreEra{ 2, true });
}

// Guards against a write whose condition holds by chance because its version was issued again.
TEST_CASE("the condition of a write is of the present era", "[store]")
{
  CHECK(WriteCondition({ 1, 70 }, 1) == 70);
  CHECK(WriteCondition({ 0, 70 }, 1) == 0);
}

// Guards against a withdrawn key that is accepted again while the store has the older document, and
// against an operator's repeated document that isn't put in force.
TEST_CASE("a lower operator's version never replaces a higher one", "[store]")
{
  CHECK(ChooseDocument(std::nullopt, 11, { 1, 80 }) == DocumentChoice{ true, true });
  CHECK(ChooseDocument(12, 11, { 1, 80 }) == DocumentChoice{ false, false });
  CHECK(ChooseDocument(12, 12, { 1, 80 }) == DocumentChoice{ true, true });
  CHECK(ChooseDocument(12, 13, { 1, 80 }) == DocumentChoice{ true, true });
  // As before in a store that never went back: the text that is passed on is that of the store.
  CHECK(ChooseDocument(12, 11, { 0, 110 }) == DocumentChoice{ false, true });
}
