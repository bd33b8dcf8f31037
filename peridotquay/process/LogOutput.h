// Non-blocking log output. If its reader stops, lines that don't fit the buffer are dropped and
// counted instead of blocking the process.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace peridotquay {

/// Maximum size of the buffer of unwritten lines.
inline constexpr std::size_t kMaxLogBytes = std::size_t{ 256 } * 1024;

/// Buffers log lines and writes them to a descriptor. Thread-safe.
class LogOutput
{
public:
  /// Makes the descriptor non-blocking. aHost is written in each line.
  LogOutput(int aDescriptor, std::string aHost);
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;
  ~LogOutput();

  /// Appends the line, prefixed with "time=... host=...".
  void Append(std::string_view aLine);
  /// Writes as much as the descriptor accepts without blocking. Called every 100 ms.
  void Flush();
  /// Number of lines that were dropped.
  std::uint64_t Dropped() const;

private:
  int descriptor_;
  std::string host_;
  mutable std::mutex mutex_;
  std::string buffer_; ///< At most kMaxLogBytes.
  std::uint64_t dropped_ = 0;
  std::uint64_t reportedDropped_ = 0; ///< Dropped lines already reported in a log line.
};

/// Sets where LogEvent writes; null for glog. The output must outlive its use.
void SetLogOutput(LogOutput* aOutput);
LogOutput* CurrentLogOutput();

} // namespace peridotquay
