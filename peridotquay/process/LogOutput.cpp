// Non-blocking log output.
#include "peridotquay/process/LogOutput.h"

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace peridotquay {

namespace {

std::atomic<LogOutput*>& Output()
{
  static std::atomic<LogOutput*> output{ nullptr };
  return output;
}

// Current UTC time in ISO 8601 with milliseconds.
std::string UtcTimestamp()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const std::time_t wholeSeconds = ms / 1000;
  std::tm parts{};
  gmtime_r(&wholeSeconds, &parts);
  std::array<char, 32> date{};
  const std::size_t length = std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(ms % 1000));
  return std::string(date.data(), length) + fraction.data();
}

} // namespace

LogOutput::LogOutput(int aDescriptor, std::string aHost)
  : descriptor_(aDescriptor)
  , host_(std::move(aHost))
{
  const int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    static_cast<void>(fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK));
  }
}

LogOutput::~LogOutput()
{
  Flush();
}

void LogOutput::Append(std::string_view aLine)
{
  std::string line = "time=" + UtcTimestamp() + " host=" + host_ + " ";
  line += aLine;
  line += "\n";
  const std::lock_guard lock(mutex_);
  if (buffer_.size() + line.size() > kMaxLogBytes) {
    ++dropped_;
    return;
  }
  buffer_ += line;
}

void LogOutput::Flush()
{
  const std::lock_guard lock(mutex_);
  std::size_t written = 0;
  while (written < buffer_.size()) {
    const auto count = write(descriptor_, buffer_.data() + written, buffer_.size() - written);
    if (count > 0) {
      written += static_cast<std::size_t>(count);
    } else if (count < 0 && errno == EINTR) {
      continue;
    } else {
      break;
    }
  }
  buffer_.erase(0, written);
  // Once the buffer is empty, a line reports the number of dropped lines.
  if (buffer_.empty() && dropped_ > reportedDropped_) {
    buffer_ =
      "time=" + UtcTimestamp() + " host=" + host_ +
      " event=1007 name=LogLinesDropped count=" + std::to_string(dropped_ - reportedDropped_) +
      "\n";
    reportedDropped_ = dropped_;
  }
}

std::uint64_t LogOutput::Dropped() const
{
  const std::lock_guard lock(mutex_);
  return dropped_;
}

void SetLogOutput(LogOutput* aOutput)
{
  Output() = aOutput;
}

LogOutput* CurrentLogOutput()
{
  return Output();
}

} // namespace peridotquay
