// Describes a request whose connection ended before its answer was complete.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace peridotquay {

/// Why a connection that held a request ended.
enum class CloseReason : std::uint8_t
{
  kCallerClosed, ///< The caller closed its side.
  kCallerReset,  ///< The caller reset the connection, or can't be reached any more.
  kWriteFailed,  ///< The answer couldn't be sent, because the caller had closed or reset.
  kWriteTimeout, ///< The caller didn't read the answer in time.
  kClosing,      ///< The request didn't begin before the answer that ends the connection.
  kServerEnded,  ///< The server ended.
  kMemoryFull    ///< The caller didn't read the answer while memory was needed for others.
};

/// How far a request had come when its connection ended.
enum class RequestStage : std::uint8_t
{
  kPartlyRead, ///< Its last byte hadn't been read, or it waited behind an earlier request.
  kHandled,    ///< It was read and had no answer yet.
  kAnswering   ///< Its answer was being sent, or waited for earlier answers.
};

/// A request whose connection ended before the operating system had accepted its whole answer.
struct UnansweredRequest
{
  std::string id_; ///< Value of the request id header; empty if it isn't known.
  CloseReason reason_ = CloseReason::kServerEnded;
  RequestStage stage_ = RequestStage::kPartlyRead;
  std::uint32_t attempts_ = 0; ///< HttpExchange::attempts_ when it was last known.
  /// Since its last byte was read; if it is partly read, since its first byte or, where it waited
  /// behind an earlier request, since that one was read.
  Duration sinceRead_{};
  std::size_t answerBytes_ = 0;  ///< Size of the answer with its head; 0 without an answer.
  std::size_t writtenBytes_ = 0; ///< Bytes of the answer that the operating system has accepted.
  std::size_t before_ = 0;       ///< Earlier requests of the connection without a complete answer.
  bool operator==(const UnansweredRequest&) const = default;
};

/// Whether the caller ended the connection, as opposed to this process.
bool IsClosedByCaller(CloseReason aReason);
std::string_view CloseReasonName(CloseReason aReason);
std::string_view RequestStageName(RequestStage aStage);

} // namespace peridotquay
