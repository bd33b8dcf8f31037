// Splits a byte stream into frames: a 4-byte big-endian length and a body.
#pragma once

#include "peridotquay/process/Error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace peridotquay {

/// Collects bytes of one connection. Holds at most one incomplete frame plus what was added last.
class FrameReader
{
public:
  /// Appends received bytes. Invalidates views that Next returned.
  void Add(std::string_view aBytes);
  /// Body of the next whole frame, or none if more bytes are needed. The view is valid until Add.
  /// Errors: kFrameTooLarge for a length above kMaxFrameBytes, kFrameMalformed for length 0.
  Result<std::optional<std::string_view>> Next();

private:
  std::string buffer_;
  std::size_t consumed_ = 0; ///< Bytes at the front of buffer_ that were returned already.
};

} // namespace peridotquay
