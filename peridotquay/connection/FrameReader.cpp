// Implementation of FrameReader.
#include "peridotquay/connection/FrameReader.h"

#include "peridotquay/connection/ByteBudget.h"
#include "peridotquay/connection/PeerMessage.h"

namespace peridotquay {

void FrameReader::Add(std::string_view aBytes)
{
  buffer_.erase(0, consumed_);
  consumed_ = 0;
  buffer_.append(aBytes);
}

Result<std::optional<std::string_view>> FrameReader::Next()
{
  const std::string_view rest = std::string_view(buffer_).substr(consumed_);
  unfinishedFrameBytes_ = 0;
  if (rest.empty() && buffer_.capacity() > kUncountedMessageBytes) {
    buffer_.clear();
    consumed_ = 0;
    ShrinkIfEmpty(buffer_);
  }
  if (rest.size() < 4) {
    return std::optional<std::string_view>();
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(rest[i]);
  }
  if (length > kMaxFrameBytes) {
    return Fail(ErrorCode::kFrameTooLarge, "frame", "maximum 1048576 bytes");
  }
  if (length == 0) {
    return Fail(ErrorCode::kFrameMalformed, "frame", "minimum 1 byte");
  }
  if (rest.size() - 4 < length) {
    unfinishedFrameBytes_ = 4 + length;
    return std::optional<std::string_view>();
  }
  consumed_ += 4 + length;
  return std::optional<std::string_view>(rest.substr(4, length));
}

} // namespace peridotquay
