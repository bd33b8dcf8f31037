// Splits a byte stream into frames. A frame is a 4-byte big-endian body length and the body.
#pragma once

#include "peridotquay/process/Error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace peridotquay {

/// Buffers the received bytes of one connection: at most one incomplete frame and the bytes of the
/// last Add.
class FrameReader
{
public:
  /// Appends received bytes.
  void Add(std::string_view aBytes);
  /// Returns the body of the next complete frame, or none if more bytes are needed. The view is
  /// valid until the next call. Errors: kFrameTooLarge for a length above kMaxFrameBytes,
  /// kFrameMalformed for length 0.
  Result<std::optional<std::string_view>> Next();
  /// Bytes of the frame that is partly received, once its length is known; 0 if there is none.
  /// Valid after Next returned none.
  std::size_t UnfinishedFrameBytes() const { return unfinishedFrameBytes_; }

private:
  std::string buffer_;
  std::size_t consumed_ = 0; ///< Bytes at the front of buffer_ that Next has returned.
  std::size_t unfinishedFrameBytes_ = 0;
};

} // namespace peridotquay
