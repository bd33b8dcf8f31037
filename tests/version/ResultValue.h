// Access to the value or error of a Result in tests.
#pragma once

#include "peridotquay/process/Error.h"

#include <catch2/catch.hpp>

#include <utility>

namespace peridotquay {

/// Returns the value. If there is an error, fails the test with its description.
template<typename T>
T Value(Result<T> aResult)
{
  if (aResult.has_error()) {
    FAIL(Describe(aResult.assume_error()));
  }
  return std::move(aResult).assume_value();
}

/// Returns the error. If there is a value, fails the test.
template<typename T>
Error Failure(Result<T> aResult)
{
  if (!aResult.has_error()) {
    FAIL("succeeded where a failure was expected");
  }
  return aResult.assume_error();
}

} // namespace peridotquay
