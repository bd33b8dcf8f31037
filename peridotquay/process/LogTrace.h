// Finds the log lines of one request.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/process/OperatorReport.h"

#include <string>
#include <string_view>
#include <vector>

namespace peridotquay {

/// Returns the lines whose field `id` equals the request id, ordered by time. Lines in other
/// formats are ignored.
std::vector<std::string> TraceLines(std::string_view aLog, std::string_view aRequestId);

/// Reports these lines of a file that holds the logs of one or more hosts. Errors:
/// kFileUnreadable, kNotFound if no line names the request.
OperatorReport TraceCommand(const std::string& aRequestId, const std::string& aFile);

} // namespace peridotquay
