// Finds what hosts logged of one request.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/process/OperatorReport.h"

#include <string>
#include <string_view>
#include <vector>

namespace peridotquay {

/// Lines with field `id` equal to the request id, in order of their time. Lines of other formats
/// are passed over.
std::vector<std::string> TraceLines(std::string_view aLog, std::string_view aRequestId);

/// Report of the lines in a file, which holds the logs of one or more hosts. Errors:
/// kFileUnreadable, kNotFound if no line names the request.
OperatorReport TraceCommand(const std::string& aRequestId, const std::string& aFile);

} // namespace peridotquay
