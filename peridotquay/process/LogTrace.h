// Finds the log lines of one request.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/process/OperatorReport.h"

#include <string>
#include <string_view>
#include <vector>

namespace peridotquay {

/// Returns the log lines whose field `id` equals the request id, ordered by time. Lines in other
/// formats are ignored.
std::vector<std::string> TraceLines(std::string_view aLog, std::string_view aRequestId);

/// Reports the lines that TraceLines finds in a file with the logs of one or more hosts. Errors:
/// kFileUnreadable, kNotFound (no line has the request id).
OperatorReport TraceCommand(const std::string& aRequestId, const std::string& aFile);

} // namespace peridotquay
