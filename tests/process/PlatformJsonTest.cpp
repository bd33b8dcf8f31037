// Tests of the platform's JSON bodies.
#include "peridotquay/process/PlatformJson.h"

#include "tests/version/Mutate.h"
#include "tests/version/ResultValue.h"

#include <catch2/catch.hpp>

using namespace peridotquay;

// Guards against fields that are lost by encoding and decoding, and against malformed bodies that
// crash the decoders (mutations with seed 4).
TEST_CASE("platform JSON round-trips and mutated bodies don't crash the decoders", "[platform]")
{
  const PlatformRow row{ "share/north", 7, "{\"a\":\"ü\"}" };
  const PlatformTransaction transaction{ "op",
                                         { { "a", 0 }, { "b", 7 } },
                                         { { "a", "1" }, { "b", std::nullopt } } };
  CHECK(Value(DecodePlatformRow(EncodePlatformRow(row))) == row);
  CHECK(Value(DecodePlatformRows(EncodePlatformRows({ row, row }))).size() == 2);
  CHECK(Value(DecodePlatformTransaction(EncodePlatformTransaction(transaction))) == transaction);
  CHECK(Value(DecodePlatformTransactionResult(EncodePlatformTransactionResult({ "k", 5 }))) ==
        PlatformTransactionResult{ "k", 5 });
  std::mt19937_64 random(4);
  for (int i = 0; i < 5000; ++i) {
    static_cast<void>(DecodePlatformRows(Mutate(EncodePlatformRows({ row }), random)));
    static_cast<void>(
      DecodePlatformTransaction(Mutate(EncodePlatformTransaction(transaction), random)));
    static_cast<void>(
      DecodePlatformTransactionResult(Mutate(EncodePlatformTransactionResult({ "k", 5 }), random)));
  }
}
