// Tests of the text forms of outcomes and importance classes.
#include "peridotquay/request/Outcome.h"

#include <catch2/catch.hpp>

using namespace peridotquay;

// Guards against an importance name that is written but can't be parsed.
TEST_CASE("every importance name can be parsed", "[outcome]")
{
  for (int i = 0; i < kImportanceClassCount; ++i) {
    const auto importance = static_cast<Importance>(i);
    CHECK(ParseImportance(ImportanceName(importance)) == importance);
  }
  CHECK_FALSE(ParseImportance("Critical").has_value());
}
