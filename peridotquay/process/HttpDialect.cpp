// The product's own HTTP dialect.
#include "peridotquay/process/HttpDialect.h"

namespace peridotquay {

namespace {

constexpr std::uint32_t kMaxRetryAfterMs = 60'000;

void QuayToGuard(HeaderList& aHeaders, const ServiceId& /*aOwnService*/)
{
  RemoveHeadersWithPrefix(aHeaders, "Quay-");
}

void QuayToTarget(HeaderList& aHeaders, const TargetCall& aCall)
{
  const Call& call = aCall.call_;
  const auto requestId = FindHeader(aHeaders, "Quay-Request-Id");
  const std::string idText = requestId ? std::string(*requestId) : std::string();
  // Also removes a caller's key in case another host forwarded one.
  RemoveHeadersWithPrefix(aHeaders, "Quay-");
  aHeaders.emplace_back("Quay-Call", aCall.contextToken_);
  aHeaders.emplace_back("Quay-Deadline-Ms", std::to_string(aCall.leftMs_));
  if (!call.clientAccount_.value_.empty()) {
    aHeaders.emplace_back("Quay-Client-Account", call.clientAccount_.value_);
  }
  aHeaders.emplace_back("Quay-Importance", ImportanceName(call.importance_));
  if (!idText.empty()) {
    aHeaders.emplace_back("Quay-Request-Id", idText);
  }
}

void QuayToCaller(HeaderList& aHeaders)
{
  RemoveHeadersWithPrefix(aHeaders, "Quay-");
}

std::optional<std::uint32_t> QuayRefusal(const HttpResponse& aResponse)
{
  if (aResponse.status_ != 503 ||
      FindHeader(aResponse.headers_, "Quay-Outcome") != OutcomeName(Outcome::kNotRun)) {
    return std::nullopt;
  }
  const auto hint = FindHeader(aResponse.headers_, "Quay-Retry-After-Ms");
  return static_cast<std::uint32_t>(hint ? ParseNumber(*hint, kMaxRetryAfterMs).value_or(0) : 0);
}

std::optional<TargetLoad> QuayLoad(const HttpResponse& /*aResponse*/)
{
  return std::nullopt;
}

} // namespace

const HttpDialect& QuayDialect()
{
  static const HttpDialect kDialect{ .keyHeader_ = "Quay-Key",
                                     .keyScheme_ = "",
                                     .deadlineHeader_ = "Quay-Deadline-Ms",
                                     .echoHeader_ = "",
                                     .rewriteForGuard_ = &QuayToGuard,
                                     .rewriteForTarget_ = &QuayToTarget,
                                     .rewriteForCaller_ = &QuayToCaller,
                                     .refusal_ = &QuayRefusal,
                                     .load_ = &QuayLoad,
                                     .failure_ = &ErrorResponse };
  return kDialect;
}

} // namespace peridotquay
