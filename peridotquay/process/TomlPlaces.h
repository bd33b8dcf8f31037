// Reads TOML files with toml++ and turns its positions and failures into typed errors.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/version/Ids.h"

#include <optional>
#include <string>
#include <string_view>

// toml++ 3.3 asserts that a table header begins with a key, and with NDEBUG it assumes so, although
// hostile files can break it ("[.a]"). Without the assertion its own check reports a syntax error.
// Every file that uses toml++ includes it here, so that all see the same definition.
#pragma push_macro("NDEBUG")
#undef NDEBUG
#define TOML_ASSERT(expr) static_cast<void>(0)
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")

namespace peridotquay {

/// Largest settings or configuration file in bytes.
inline constexpr std::size_t kMaxTomlBytes = std::size_t{ 8 } << 20U;

/// The start of a toml++ region as a place.
SourceLocation PlaceOf(const toml::source_region& aRegion, const std::string& aFile);

/// Reads a file of at most kMaxTomlBytes. Errors: kFileUnreadable, kChangeTooLarge.
Result<std::string> ReadWholeFile(const std::string& aFile);

/// Parses TOML text. Errors: kSyntax with line and column, kChangeTooLarge.
Result<toml::table> ParseToml(std::string_view aText, const std::string& aFile);

/// Parses "ip:port" or "[ip6]:port"; empty for any other text, host names included.
std::optional<Address> ParseAddress(std::string_view aText);

} // namespace peridotquay
