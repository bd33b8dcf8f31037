// The demonstration of `make demo`.
#pragma once

#include <cstdint>
#include <string>

namespace peridotquay::standins {

/// Starts a small fleet, sends traffic, changes the configuration, kills a host and withdraws a key
/// while it runs, and prints a table of what was served, refused and why. Returns 0 only if every
/// figure of the table holds.
int RunDemo(const std::string& aBinaries, std::uint64_t aSeed);

} // namespace peridotquay::standins
