// The demonstration that `make demo` runs.
#pragma once

#include <cstdint>
#include <string>

namespace peridotquay::standins {

/// Starts a small fleet and sends traffic. Meanwhile changes the configuration, kills a host and
/// withdraws a key. Prints the served and refused requests with reasons, and a table of checks.
/// Returns 0 only if every check passes.
int RunDemo(const std::string& aBinaries, std::uint64_t aSeed);

} // namespace peridotquay::standins
