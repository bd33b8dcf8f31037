// Feeds the bytes that a connection receives to a Beast parser, for requests and answers alike.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace peridotquay {

/// How far the bytes received so far take a message.
enum class ParseStatus : std::uint8_t
{
  kComplete,     ///< The message is complete. Bytes after it stay in the buffer.
  kNeedsMore,    ///< The message goes on in bytes that haven't arrived yet.
  kBodyTooLarge, ///< The body is larger than the parser's limit.
  kMalformed     ///< The bytes are no HTTP message, or a part of it without a body is too long.
};

/// Size of the shortest end of a chunked body, "0" and two line ends. From the start of a chunk
/// header to the end of its message there are never fewer bytes. Beast 1.74 asserts this for the
/// last chunk header, even if the rest of it is still to arrive.
inline constexpr std::size_t kMinChunkedEndBytes = 5;

/// Passes the bytes in aBuffer to aParser and removes those that it takes. The parser takes no byte
/// of an incomplete head, chunk header or trailer; one that is longer than aMaxUnparsedBytes makes
/// the message malformed, so the buffer can't grow without bound.
template<bool kIsRequest>
ParseStatus ParseBytes(boost::beast::http::basic_parser<kIsRequest>& aParser,
                       std::string& aBuffer,
                       std::size_t aMaxUnparsedBytes)
{
  namespace http = boost::beast::http;
  if (aParser.is_header_done() && !aParser.is_done() && aParser.chunked() &&
      aBuffer.size() < kMinChunkedEndBytes) {
    return ParseStatus::kNeedsMore;
  }
  std::size_t offset = 0;
  boost::system::error_code error;
  while (!aParser.is_done() && offset < aBuffer.size() && !error) {
    const std::size_t parsed =
      aParser.put(boost::asio::buffer(aBuffer.data() + offset, aBuffer.size() - offset), error);
    offset += parsed;
    if (parsed == 0) {
      break;
    }
  }
  aBuffer.erase(0, offset);
  if (error == http::error::body_limit) {
    return ParseStatus::kBodyTooLarge;
  }
  if (error && error != http::error::need_more) {
    return ParseStatus::kMalformed;
  }
  if (aParser.is_done()) {
    return ParseStatus::kComplete;
  }
  return aBuffer.size() > aMaxUnparsedBytes ? ParseStatus::kMalformed : ParseStatus::kNeedsMore;
}

} // namespace peridotquay
