// Numbered log events, catalogued in docs/events.md; tools/check_events.py checks that both agree.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace peridotquay {

/// Severity of a log event.
enum class Severity : std::uint8_t
{
  kInfo,
  kWarning,
  kError
};

// Each line: number, name, severity. 1xxx process, 2xxx calls, 3xxx membership, 4xxx versions and
// keys, 5xxx shares, 6xxx connections, 7xxx stand-ins and tools. Numbers are never reused.
// clang-format off
#define PERIDOTQUAY_EVENTS(X) \
  X(1001, NodeStarted, kInfo) \
  X(1002, NodeDraining, kInfo) \
  X(1003, NodeStopped, kInfo) \
  X(1004, SettingsRejected, kError) \
  X(1005, ListenFailed, kError) \
  X(1006, SettingsReloaded, kInfo) \
  X(1007, LogLinesDropped, kWarning) \
  X(1008, ContentAtEnd, kInfo) \
  X(2001, AnswerDropped, kWarning) \
  X(2002, OutcomeUnknown, kWarning) \
  X(2003, TargetRefusing, kWarning) \
  X(2004, RequestEnded, kInfo) \
  X(2005, RequestRefused, kInfo) \
  X(2006, CallEnded, kInfo) \
  X(2007, CallRepeated, kInfo) \
  X(2008, RunsLimited, kInfo) \
  X(2009, TargetRateStated, kInfo) \
  X(2010, CapacityScheduling, kInfo) \
  X(2011, ReturnScheduled, kInfo) \
  X(2012, TargetCold, kInfo) \
  X(2013, CallWhileDraining, kInfo) \
  X(2020, DistributionChanged, kInfo) \
  X(3001, MemberJoined, kInfo) \
  X(3002, MemberSuspected, kWarning) \
  X(3003, MemberDead, kWarning) \
  X(3004, MemberRefuted, kInfo) \
  X(3005, DataCentreUnreachable, kWarning) \
  X(3006, DataCentreReachable, kInfo) \
  X(3007, TargetSeen, kInfo) \
  X(3008, TargetStarted, kInfo) \
  X(3009, TargetDraining, kInfo) \
  X(3010, TargetLapsed, kWarning) \
  X(3011, HeartbeatRejected, kWarning) \
  X(3012, HostRecordRejected, kWarning) \
  X(3013, HostLost, kWarning) \
  X(3014, DataCentreEvacuated, kWarning) \
  X(3015, DataCentreReturned, kInfo) \
  X(3016, DepartureNotAcknowledged, kWarning) \
  X(4001, VersionInForce, kInfo) \
  X(4002, VersionRejected, kError) \
  X(4003, FreshnessLost, kWarning) \
  X(4004, FreshnessRegained, kInfo) \
  X(4005, PlatformUnreachable, kWarning) \
  X(4006, PlatformReachable, kInfo) \
  X(4007, StoreReadAlone, kInfo) \
  X(4008, StoreFeedFollowed, kInfo) \
  X(4009, StoreSourceChanged, kInfo) \
  X(4010, StoreWentBack, kWarning) \
  X(5001, ShareLeaseTaken, kInfo) \
  X(5002, ShareLeaseLost, kWarning) \
  X(6001, PeerConnected, kInfo) \
  X(6002, PeerDisconnected, kWarning) \
  X(6003, PeerFrameRejected, kError) \
  X(6004, PeerConnectionSilent, kWarning) \
  X(6005, RequestAbandoned, kInfo) \
  X(6006, RequestUnanswered, kWarning) \
  X(6007, RequestNotBegun, kInfo) \
  X(6010, MessageMemoryFull, kWarning)
// clang-format on

/// Identifies a log event; the value is its number.
enum class Event : std::uint16_t
{
#define PERIDOTQUAY_EVENT_ENUM(aNumber, aName, aSeverity) k##aName = aNumber,
  PERIDOTQUAY_EVENTS(PERIDOTQUAY_EVENT_ENUM)
#undef PERIDOTQUAY_EVENT_ENUM
};

/// One key=value pair of a log line. Empty values and values with spaces, quotes or "=" are quoted.
struct EventField
{
  std::string_view name_;
  std::string value_;
};

/// Writes one structured line (event number, name, fields) to the log output, or through glog if
/// there is none. A field must never contain a caller's key.
void LogEvent(Event aEvent, std::initializer_list<EventField> aFields = {});

/// Name of an event in the catalogue.
std::string_view EventName(Event aEvent);

} // namespace peridotquay
