// Writes numbered events to the log output or through glog.
#include "peridotquay/process/Events.h"

#include "peridotquay/process/LogOutput.h"

#include <glog/logging.h>

namespace peridotquay {

namespace {

Severity EventSeverity(Event aEvent)
{
  switch (aEvent) {
#define PERIDOTQUAY_EVENT_SEVERITY(aNumber, aName, aSeverity)                                      \
  case Event::k##aName:                                                                            \
    return Severity::aSeverity;
    PERIDOTQUAY_EVENTS(PERIDOTQUAY_EVENT_SEVERITY)
#undef PERIDOTQUAY_EVENT_SEVERITY
  }
  return Severity::kError;
}

std::string FormatValue(const std::string& aValue)
{
  const bool needsQuotes = aValue.empty() || aValue.find_first_of(" \"=") != std::string::npos;
  return needsQuotes ? "\"" + aValue + "\"" : aValue;
}

} // namespace

std::string_view EventName(Event aEvent)
{
  switch (aEvent) {
#define PERIDOTQUAY_EVENT_NAME(aNumber, aName, aSeverity)                                          \
  case Event::k##aName:                                                                            \
    return #aName;
    PERIDOTQUAY_EVENTS(PERIDOTQUAY_EVENT_NAME)
#undef PERIDOTQUAY_EVENT_NAME
  }
  return "UnknownEvent";
}

void LogEvent(Event aEvent, std::initializer_list<EventField> aFields)
{
  std::string line = "event=" + std::to_string(static_cast<int>(aEvent)) + " name=";
  line += EventName(aEvent);
  for (const auto& field : aFields) {
    line += " ";
    line += field.name_;
    line += "=" + FormatValue(field.value_);
  }
  if (LogOutput* output = CurrentLogOutput()) {
    output->Append(line);
    return;
  }
  switch (EventSeverity(aEvent)) {
    case Severity::kInfo:
      LOG(INFO) << line;
      break;
    case Severity::kWarning:
      LOG(WARNING) << line;
      break;
    case Severity::kError:
      LOG(ERROR) << line;
      break;
  }
}

} // namespace peridotquay
