// Log lines for standard output. A reader that stops reading slows nothing: what doesn't fit the
// buffer is dropped and counted.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace peridotquay {

/// Most bytes that wait for the reader.
inline constexpr std::size_t kMaxLogBytes = std::size_t{ 256 } * 1024;

/// May be used from any thread.
class LogOutput
{
public:
  /// Makes the descriptor non-blocking. aHost is named in each line.
  LogOutput(int aDescriptor, std::string aHost);
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;
  ~LogOutput();

  /// Adds "time=... host=..." and the line.
  void Append(std::string_view aLine);
  /// Writes what the reader takes now. Call about every 100 ms.
  void Flush();
  /// Lines that were dropped.
  std::uint64_t Dropped() const;

private:
  int descriptor_;
  std::string host_;
  mutable std::mutex mutex_;
  std::string buffer_; ///< At most kMaxLogBytes.
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0; ///< Dropped lines that a line has told of.
};

/// Where LogEvent writes; null for glog. The output must outlive its use.
void SetLogOutput(LogOutput* aOutput);
LogOutput* CurrentLogOutput();

} // namespace peridotquay
