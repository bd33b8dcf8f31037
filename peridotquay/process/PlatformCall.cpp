// Runs a PlatformCall on a Platform.
#include "peridotquay/process/PlatformCall.h"

namespace peridotquay {

namespace {

/// Copies the error of a result, if it has one, to the answer. Returns whether it has one.
template<typename T>
bool CopyError(const Result<T>& aResult, PlatformAnswer& aAnswer)
{
  if (aResult.has_error()) {
    aAnswer.error_ = aResult.assume_error();
    return true;
  }
  return false;
}

void Run(Platform& aPlatform, const ReadRowCall& aCall, PlatformAnswer& aAnswer)
{
  auto row = aPlatform.ReadRow(aCall.key_);
  if (!CopyError(row, aAnswer) && row.assume_value()) {
    aAnswer.rows_.push_back(std::move(*row.assume_value()));
  }
}

void Run(Platform& aPlatform, const ReadRangeCall& aCall, PlatformAnswer& aAnswer)
{
  auto rows = aPlatform.ReadRange(aCall.prefix_, aCall.after_, aCall.limit_);
  if (!CopyError(rows, aAnswer)) {
    aAnswer.rows_ = std::move(rows.assume_value());
  }
}

void Run(Platform& aPlatform, const TransactCall& aCall, PlatformAnswer& aAnswer)
{
  const auto revision = aPlatform.Transact(aCall.transaction_);
  if (!CopyError(revision, aAnswer)) {
    aAnswer.revision_ = revision.assume_value();
  }
}

void Run(Platform& aPlatform, const PutObjectCall& aCall, PlatformAnswer& aAnswer)
{
  CopyError(aPlatform.PutObject(aCall.name_, aCall.body_), aAnswer);
}

void Run(Platform& aPlatform, const GetObjectCall& aCall, PlatformAnswer& aAnswer)
{
  auto object = aPlatform.GetObject(aCall.name_);
  if (!CopyError(object, aAnswer)) {
    aAnswer.object_ = std::move(object.assume_value());
  }
}

} // namespace

PlatformAnswer RunPlatformCall(Platform& aPlatform, const PlatformCall& aCall)
{
  PlatformAnswer answer;
  std::visit([&](const auto& aTypedCall) { Run(aPlatform, aTypedCall, answer); }, aCall);
  return answer;
}

} // namespace peridotquay
