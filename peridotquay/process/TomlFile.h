// Reads TOML files with toml++ and converts its source regions and exceptions to typed errors.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/version/Ids.h"

#include <optional>
#include <string>
#include <string_view>

// toml++ 3.3 asserts that a table header begins with a key, and tells the compiler to assume so if
// NDEBUG is set, although a malformed file can violate it ("[.a]"). Without the assertion, the
// parser's own check reports a syntax error. Every file that uses toml++ includes it through this
// header, so that all see the same definition of TOML_ASSERT.
#pragma push_macro("NDEBUG")
#undef NDEBUG
#define TOML_ASSERT(expr) static_cast<void>(0)
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")

namespace peridotquay {

/// Maximum size of a settings or configuration file in bytes.
inline constexpr std::size_t kMaxTomlBytes = std::size_t{ 8 } << 20U;

/// Returns the start of a toml++ source region as a location in aFile.
SourceLocation SourceLocationOf(const toml::source_region& aRegion, const std::string& aFile);

/// Reads a file of at most kMaxTomlBytes. Errors: kFileUnreadable, kChangeTooLarge.
Result<std::string> ReadWholeFile(const std::string& aFile);

/// Parses TOML text. aFile only names the file in errors. Errors: kSyntax with line and column,
/// kChangeTooLarge.
Result<toml::table> ParseToml(std::string_view aText, const std::string& aFile);

/// Parses "ip:port" or "[ip6]:port". Empty for any other text; host names aren't accepted.
std::optional<Address> ParseAddress(std::string_view aText);

} // namespace peridotquay
