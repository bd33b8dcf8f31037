// Reads and parses TOML files and network addresses.
#include "peridotquay/process/TomlFile.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <fstream>
#include <iterator>

namespace peridotquay {

SourceLocation SourceLocationOf(const toml::source_region& aRegion, const std::string& aFile)
{
  return { aFile, aRegion.begin.line, aRegion.begin.column };
}

Result<std::string> ReadWholeFile(const std::string& aFile)
{
  std::ifstream stream(aFile, std::ios::binary);
  std::string text;
  char buffer[65536];
  while (stream.read(buffer, sizeof buffer) || stream.gcount() > 0) {
    text.append(buffer, static_cast<std::size_t>(stream.gcount()));
    if (text.size() > kMaxTomlBytes) {
      return Fail(
        ErrorCode::kChangeTooLarge, aFile, "at most " + std::to_string(kMaxTomlBytes) + " bytes");
    }
  }
  // The end isn't reached if the file can't be opened, or if it is a directory.
  if (!stream.eof()) {
    return Fail(ErrorCode::kFileUnreadable, aFile);
  }
  return text;
}

Result<toml::table> ParseToml(std::string_view aText, const std::string& aFile)
{
  if (aText.size() > kMaxTomlBytes) {
    return Fail(
      ErrorCode::kChangeTooLarge, aFile, "at most " + std::to_string(kMaxTomlBytes) + " bytes");
  }
  try {
    return toml::parse(aText, aFile);
  } catch (const toml::parse_error& failure) {
    return BOOST_OUTCOME_V2_NAMESPACE::failure(Error{ ErrorCode::kSyntax,
                                                      "TOML",
                                                      std::string(failure.description()),
                                                      SourceLocationOf(failure.source(), aFile) });
  }
}

std::optional<Address> ParseAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  auto ip = aText.substr(0, colon);
  const auto digits = aText.substr(colon + 1);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  } else if (ip.find(':') != std::string_view::npos) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool isPort = parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
  boost::system::error_code error;
  boost::asio::ip::make_address(std::string(ip), error);
  if (!isPort || digits.empty() || error) {
    return std::nullopt;
  }
  return Address{ std::string(ip), port };
}

} // namespace peridotquay
