// Answer bodies of the stand-in target, which clients can compute from the request to check
// answers, and functions for query parameters. A request target is a path with query.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace peridotquay::standins {

/// Largest answer body that a request can ask for.
inline constexpr std::size_t kMaxTargetBodyBytes = std::size_t{ 512 } * 1024;

/// Answer body for a request target and a request body: printable, aLength bytes long, but at most
/// kMaxTargetBodyBytes. From 16 bytes on, different requests almost certainly get different bodies.
std::string TargetBody(std::string_view aRequestTarget,
                       std::string_view aBody,
                       std::size_t aLength);

/// Value of a query parameter in a request target, without percent decoding; empty if absent.
std::string_view QueryValue(std::string_view aRequestTarget, std::string_view aName);

/// Body length that a request target asks for with "length=N", or aDefault without that parameter;
/// at most kMaxTargetBodyBytes.
std::size_t RequestedBodyLength(std::string_view aRequestTarget, std::size_t aDefault);

/// Returns the request target with "name=value" added to its query.
std::string WithQueryParameter(std::string_view aRequestTarget,
                               std::string_view aName,
                               std::string_view aValue);

} // namespace peridotquay::standins
