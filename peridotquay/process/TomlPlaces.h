// Reads TOML files with toml++ and turns its positions and failures into typed errors.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/version/Ids.h"

#include <toml++/toml.h>

#include <optional>
#include <string>
#include <string_view>

namespace peridotquay {

/// Largest settings or configuration file in bytes.
inline constexpr std::size_t kMaxTomlBytes = std::size_t{ 8 } << 20U;

/// The start of a toml++ region as a place.
SourcePlace PlaceOf(const toml::source_region& aRegion, const std::string& aFile);

/// Reads a file of at most kMaxTomlBytes. Errors: kFileUnreadable, kChangeTooLarge.
Result<std::string> ReadWholeFile(const std::string& aFile);

/// Parses TOML text. Errors: kSyntax with line and column, kChangeTooLarge.
Result<toml::table> ParseToml(std::string_view aText, const std::string& aFile);

/// Parses "ip:port" or "[ip6]:port"; empty for any other text, host names included.
std::optional<Address> ParseAddress(std::string_view aText);

} // namespace peridotquay
