// Implementation of RequestPipeline.
#include "peridotquay/connection/RequestPipeline.h"

#include <algorithm>

namespace peridotquay {

PipelineWait WaitOf(const RequestPipeline& aPipeline,
                    bool aMayOverlap,
                    const PipelineLimits& aLimits,
                    const PipelineConditions& aConditions)
{
  if (aPipeline.closing_) {
    return PipelineWait::kClosing;
  }
  if (aPipeline.requests_.empty()) {
    return PipelineWait::kNone;
  }
  // The last answer before the request closes the connection, unless that answer is already being
  // sent without notice of the close. The request then begins behind it.
  if (aConditions.serverCloses_) {
    return PipelineWait::kClosing;
  }
  if (aPipeline.requests_.size() >= aLimits.maxRequests_) {
    return PipelineWait::kCount;
  }
  if (!aMayOverlap || !aPipeline.requests_.back().mayOverlap_) {
    return PipelineWait::kOverlap;
  }
  if (aPipeline.answerBytes_ > aLimits.maxAnswerBytes_) {
    return PipelineWait::kAnswerBytes;
  }
  return aConditions.memoryIsShort_ ? PipelineWait::kMemory : PipelineWait::kNone;
}

std::uint64_t BeginRequest(RequestPipeline& aPipeline, bool aMayOverlap, bool aIsLast)
{
  aPipeline.requests_.push_back({ aMayOverlap, false, 0 });
  aPipeline.closing_ = aIsLast;
  return aPipeline.firstNumber_ + aPipeline.requests_.size() - 1;
}

std::optional<std::size_t> FindRequest(const RequestPipeline& aPipeline, std::uint64_t aNumber)
{
  if (aNumber < aPipeline.firstNumber_ ||
      aNumber - aPipeline.firstNumber_ >= aPipeline.requests_.size()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(aNumber - aPipeline.firstNumber_);
}

bool SetAnswer(RequestPipeline& aPipeline, std::uint64_t aNumber, std::size_t aBytes)
{
  const auto position = FindRequest(aPipeline, aNumber);
  if (!position || aPipeline.requests_[*position].answered_) {
    return false;
  }
  aPipeline.requests_[*position].answered_ = true;
  aPipeline.requests_[*position].answerBytes_ = aBytes;
  aPipeline.answerBytes_ += aBytes;
  return true;
}

std::optional<NextAnswer> StartNextAnswer(RequestPipeline& aPipeline, bool aServerCloses)
{
  if (aPipeline.sending_ || aPipeline.requests_.empty() || !aPipeline.requests_.front().answered_) {
    return std::nullopt;
  }
  aPipeline.sending_ = true;
  const bool closes = aPipeline.requests_.size() == 1 && (aPipeline.closing_ || aServerCloses);
  aPipeline.closing_ = aPipeline.closing_ || closes;
  return NextAnswer{ aPipeline.firstNumber_, closes };
}

bool FinishAnswer(RequestPipeline& aPipeline)
{
  aPipeline.answerBytes_ -= aPipeline.requests_.front().answerBytes_;
  aPipeline.requests_.erase(aPipeline.requests_.begin());
  ++aPipeline.firstNumber_;
  aPipeline.sending_ = false;
  return aPipeline.closing_ && aPipeline.requests_.empty();
}

std::size_t CountDeliverable(const RequestPipeline& aPipeline)
{
  const auto firstUnanswered =
    std::find_if(aPipeline.requests_.begin(),
                 aPipeline.requests_.end(),
                 [](const PipelinedRequest& aRequest) { return !aRequest.answered_; });
  return static_cast<std::size_t>(firstUnanswered - aPipeline.requests_.begin());
}

void DropRequests(RequestPipeline& aPipeline, std::size_t aKept)
{
  while (aPipeline.requests_.size() > aKept) {
    aPipeline.answerBytes_ -= aPipeline.requests_.back().answerBytes_;
    aPipeline.requests_.pop_back();
  }
  aPipeline.closing_ = true;
}

} // namespace peridotquay
