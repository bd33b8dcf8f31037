// Access to a Result in tests, where a failure ends the test with its description.
#pragma once

#include "peridotquay/process/Error.h"

#include <catch2/catch.hpp>

#include <utility>

namespace peridotquay {

/// The value; fails the test with the error's text if there is none.
template<typename T>
T Value(Result<T> aResult)
{
  if (aResult.has_error()) {
    FAIL(Describe(aResult.assume_error()));
  }
  return std::move(aResult).assume_value();
}

/// The error; fails the test if there is a value.
template<typename T>
Error Failure(Result<T> aResult)
{
  if (!aResult.has_error()) {
    FAIL("succeeded where a failure was expected");
  }
  return aResult.assume_error();
}

} // namespace peridotquay
