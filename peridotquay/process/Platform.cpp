// HTTP client of the platform.
#include "peridotquay/process/Platform.h"

#include "peridotquay/process/BlockingHttp.h"
#include "peridotquay/process/PlatformJson.h"

#include <boost/outcome/try.hpp>
#include <openssl/rand.h>

#include <array>
#include <optional>

namespace peridotquay {

namespace {

class PlatformClient : public Platform
{
public:
  explicit PlatformClient(PlatformClientSettings aSettings)
    : settings_(std::move(aSettings))
    , http_(settings_.connectTimeout_, settings_.maxBodyBytes_)
  {
  }

  Result<std::optional<PlatformRow>> ReadRow(std::string_view aKey) override;
  Result<std::vector<PlatformRow>> ReadRange(std::string_view aPrefix,
                                             std::string_view aAfter,
                                             std::uint32_t aLimit) override;
  Result<std::uint64_t> Transact(const PlatformTransaction& aTransaction) override;
  Result<void> PutObject(std::string_view aName, std::string_view aBody) override;
  Result<std::optional<std::string>> GetObject(std::string_view aName) override;

private:
  /// Sends a request to each address in turn until one answers. A request that a server may have
  /// received is sent again only if it is a read.
  Result<BlockingHttpResult> Send(const BlockingHttpRequest& aRequest);

  PlatformClientSettings settings_;
  BlockingHttp http_;
  std::size_t preferred_ = 0; ///< Index of the address that answered last.
};

Result<BlockingHttpResult> PlatformClient::Send(const BlockingHttpRequest& aRequest)
{
  const auto deadline = Clock::now() + settings_.requestTimeout_;
  for (std::size_t i = 0; i < settings_.addresses_.size(); ++i) {
    const auto index = (preferred_ + i) % settings_.addresses_.size();
    auto httpResult = http_.Send(settings_.addresses_[index], aRequest, deadline);
    if (httpResult.progress_ == HttpProgress::kAnswered) {
      preferred_ = index;
      return httpResult;
    }
    if (httpResult.progress_ == HttpProgress::kMaybeSent && aRequest.method_ != "GET") {
      return Fail(ErrorCode::kPlatformUnknown, aRequest.target_, "no answer");
    }
  }
  return Fail(ErrorCode::kPlatformUnavailable, aRequest.target_, "no platform address answered");
}

/// Returns the error for an unexpected HTTP status. 503 and 429 mean that the server did nothing.
auto UnexpectedStatus(const BlockingHttpResult& aResponse, std::string_view aSubject)
{
  const auto status = aResponse.status_;
  const bool refused = status == 503 || status == 429;
  return Fail(refused ? ErrorCode::kPlatformUnavailable : ErrorCode::kPlatformMalformed,
              std::string(aSubject),
              "status " + std::to_string(status));
}

Result<std::optional<PlatformRow>> PlatformClient::ReadRow(std::string_view aKey)
{
  BOOST_OUTCOME_TRY(response, Send({ "GET", "/v1/rows/" + EscapeUrl(aKey), {} }));
  if (response.status_ == 404) {
    return std::optional<PlatformRow>{};
  }
  if (response.status_ != 200) {
    return UnexpectedStatus(response, aKey);
  }
  BOOST_OUTCOME_TRY(row, DecodePlatformRow(response.body_));
  return std::make_optional(std::move(row));
}

Result<std::vector<PlatformRow>> PlatformClient::ReadRange(std::string_view aPrefix,
                                                           std::string_view aAfter,
                                                           std::uint32_t aLimit)
{
  const auto target = "/v1/rows?prefix=" + EscapeUrl(aPrefix) + "&after=" + EscapeUrl(aAfter) +
                      "&limit=" + std::to_string(aLimit);
  BOOST_OUTCOME_TRY(response, Send({ "GET", target, {} }));
  if (response.status_ != 200) {
    return UnexpectedStatus(response, aPrefix);
  }
  return DecodePlatformRows(response.body_);
}

Result<std::uint64_t> PlatformClient::Transact(const PlatformTransaction& aTransaction)
{
  BOOST_OUTCOME_TRY(response,
                    Send({ "POST", "/v1/transactions", EncodePlatformTransaction(aTransaction) }));
  const auto status = response.status_;
  if (status != 200 && status != 409) {
    // After any server error except 503, the transaction may have taken effect.
    if (status >= 500 && status != 503) {
      return Fail(ErrorCode::kPlatformUnknown, "transaction", "status " + std::to_string(status));
    }
    return UnexpectedStatus(response, "transaction");
  }
  BOOST_OUTCOME_TRY(result, DecodePlatformTransactionResult(response.body_));
  if (status == 409) {
    return Fail(ErrorCode::kPlatformConflict, result.key_, std::to_string(result.revision_));
  }
  return result.revision_;
}

Result<void> PlatformClient::PutObject(std::string_view aName, std::string_view aBody)
{
  BOOST_OUTCOME_TRY(response,
                    Send({ "PUT", "/v1/objects/" + EscapeUrl(aName), std::string(aBody) }));
  if (response.status_ != 200) {
    return UnexpectedStatus(response, aName);
  }
  return Success();
}

Result<std::optional<std::string>> PlatformClient::GetObject(std::string_view aName)
{
  BOOST_OUTCOME_TRY(response, Send({ "GET", "/v1/objects/" + EscapeUrl(aName), {} }));
  if (response.status_ == 404) {
    return std::optional<std::string>{};
  }
  if (response.status_ != 200) {
    return UnexpectedStatus(response, aName);
  }
  return std::make_optional(std::move(response.body_));
}

} // namespace

std::unique_ptr<Platform> MakePlatformClient(PlatformClientSettings aSettings)
{
  return std::make_unique<PlatformClient>(std::move(aSettings));
}

std::string NewOperationId()
{
  std::array<unsigned char, 16> bytes{};
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string id;
  for (const auto byte : bytes) {
    id.push_back(kHex[byte >> 4U]);
    id.push_back(kHex[byte & 15U]);
  }
  return id;
}

} // namespace peridotquay
