// Decides which requests of a connection may begin before earlier ones are answered, in which order
// their answers are sent, and which answer closes the connection. HttpServer drives it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace peridotquay {

/// While the unsent answers of a connection exceed this size, no further request of it begins
/// behind others. A slow first request would otherwise let the answers behind it pile up.
inline constexpr std::size_t kMaxWaitingAnswerBytes = std::size_t{ 256 } * 1024;

/// Limits on the requests of one connection.
struct PipelineLimits
{
  std::uint32_t maxRequests_ = 1; ///< Requests that have begun and whose answers aren't sent yet.
  std::size_t maxAnswerBytes_ = kMaxWaitingAnswerBytes;
};

/// Conditions outside of the connection.
struct PipelineConditions
{
  bool serverCloses_ = false; ///< The server closes each connection after its last answer.
  bool memoryIsShort_ = false;
};

/// A request that has begun and whose answer isn't completely sent.
struct PipelinedRequest
{
  bool mayOverlap_ = false;
  bool answered_ = false;
  std::size_t answerBytes_ = 0; ///< 0 until it is answered.
  bool operator==(const PipelinedRequest&) const = default;
};

/// The requests of one connection that have begun, oldest first. Requests are numbered in order of
/// arrival. If there are several, each of them may overlap, except for a rejected last one.
struct RequestPipeline
{
  std::vector<PipelinedRequest> requests_;
  std::uint64_t firstNumber_ = 0; ///< Number of the first request.
  std::size_t answerBytes_ = 0;   ///< Sum over requests_.
  bool sending_ = false;          ///< The answer of the first request is being sent.
  bool closing_ = false;          ///< The last request was chosen; no further one begins.
};

/// The answer to send now.
struct NextAnswer
{
  std::uint64_t number_ = 0;
  bool closes_ = false; ///< It is the last one of the connection.
  bool operator==(const NextAnswer&) const = default;
};

/// Why a request has to wait.
enum class PipelineWait : std::uint8_t
{
  kNone,        ///< It may begin.
  kClosing,     ///< It never begins, because the connection closes before it.
  kOverlap,     ///< It or one before it may not overlap.
  kCount,       ///< maxRequests_ requests have begun.
  kAnswerBytes, ///< The unsent answers exceed maxAnswerBytes_.
  kMemory       ///< The memory for messages of the process is short.
};

/// Returns what the next request of the connection has to wait for. It begins without regard to
/// limits if all requests before it are answered and these answers are sent.
PipelineWait WaitOf(const RequestPipeline& aPipeline,
                    bool aMayOverlap,
                    const PipelineLimits& aLimits,
                    const PipelineConditions& aConditions);

/// Adds a request that begins and returns its number. aIsLast: it asked to close the connection or
/// was rejected. Not to be called while closing_.
std::uint64_t BeginRequest(RequestPipeline& aPipeline, bool aMayOverlap, bool aIsLast);

/// Returns the position of a request, or none if it was answered completely or dropped.
std::optional<std::size_t> FindRequest(const RequestPipeline& aPipeline, std::uint64_t aNumber);

/// Records the size of a request's answer. Returns false if the request has an answer already or
/// isn't in the pipeline.
bool SetAnswer(RequestPipeline& aPipeline, std::uint64_t aNumber, std::size_t aBytes);

/// Returns the answer to send now and marks it as being sent. Returns none if another one is being
/// sent or the first request isn't answered.
std::optional<NextAnswer> StartNextAnswer(RequestPipeline& aPipeline, bool aServerCloses);

/// Removes the first request, whose answer was sent. Returns true if the connection must be closed
/// now.
bool FinishAnswer(RequestPipeline& aPipeline);

/// The caller has closed its sending side: only answers that are ready in order are still sent. No
/// further request begins. Returns the number of requests to keep; the caller of this function
/// drops the others with DropRequests.
std::size_t CountDeliverable(const RequestPipeline& aPipeline);

/// Drops the requests behind the first aKept ones, and lets the last kept answer be the last of the
/// connection.
void DropRequests(RequestPipeline& aPipeline, std::size_t aKept);

} // namespace peridotquay
