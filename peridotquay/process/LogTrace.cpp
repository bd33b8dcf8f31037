// Finds the log lines of one request.
#include "peridotquay/process/LogTrace.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace peridotquay {

namespace {

// Value of a field in a line; empty if absent.
std::string_view FieldOf(std::string_view aLine, std::string_view aName)
{
  const std::string prefix = std::string(aName) + "=";
  for (std::size_t position = aLine.find(prefix); position != std::string_view::npos;
       position = aLine.find(prefix, position + 1)) {
    if (position == 0 || aLine[position - 1] == ' ') {
      const std::string_view rest = aLine.substr(position + prefix.size());
      return rest.substr(0, rest.find(' '));
    }
  }
  return {};
}

} // namespace

std::vector<std::string> TraceLines(std::string_view aLog, std::string_view aRequestId)
{
  std::vector<std::string> lines;
  while (!aLog.empty()) {
    const std::size_t end = std::min(aLog.find('\n'), aLog.size());
    const std::string_view line = aLog.substr(0, end);
    aLog.remove_prefix(std::min(end + 1, aLog.size()));
    if (FieldOf(line, "id") == aRequestId) {
      // Removes a prefix that a log collector may have added.
      lines.emplace_back(line.substr(std::min(line.find("time="), line.size())));
    }
  }
  std::stable_sort(
    lines.begin(), lines.end(), [](const std::string& aLeft, const std::string& aRight) {
      return FieldOf(aLeft, "time") < FieldOf(aRight, "time");
    });
  return lines;
}

OperatorReport TraceCommand(const std::string& aRequestId, const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return ReportError({ ErrorCode::kFileUnreadable, aFile, "a readable file", {} });
  }
  const std::string log{ std::istreambuf_iterator<char>(stream), {} };
  const auto lines = TraceLines(log, aRequestId);
  if (lines.empty()) {
    return ReportError({ ErrorCode::kNotFound, aRequestId, "a request id in " + aFile, {} });
  }
  OperatorReport report;
  report.json_["lines"] = lines;
  for (const auto& line : lines) {
    report.text_ += line + "\n";
  }
  return report;
}

} // namespace peridotquay
