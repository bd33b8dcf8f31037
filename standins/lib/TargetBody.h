// Answer bodies of the stand-in target, computable from the request alone, and query parameters.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace peridotquay::standins {

/// Largest body that a request can ask for.
inline constexpr std::size_t kMaxTargetBodyBytes = std::size_t{ 512 } * 1024;

/// Body for a request target (path with query) and request body: printable, aLength bytes long. Two
/// different requests get different bodies with near certainty from 16 bytes on.
std::string TargetBody(std::string_view aTarget, std::string_view aBody, std::size_t aLength);

/// Value of a query parameter in a request target; empty if absent. No percent decoding.
std::string_view QueryValue(std::string_view aTarget, std::string_view aName);

/// Length that the request target asks for with "length=N", bounded by kMaxTargetBodyBytes.
std::size_t RequestedBodyLength(std::string_view aTarget, std::size_t aDefault);

/// Adds "name=value" to the query of a request target.
std::string WithQueryParameter(std::string_view aTarget,
                               std::string_view aName,
                               std::string_view aValue);

} // namespace peridotquay::standins
