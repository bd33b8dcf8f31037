// JSON form of the platform stand-in's faults.
#include "standins/lib/PlatformFaults.h"

#include "peridotquay/version/ConfigReader.h"

#include <boost/outcome/try.hpp>

namespace peridotquay {

namespace {

const char* OutageName(PlatformOutage aOutage)
{
  switch (aOutage) {
    case PlatformOutage::kRefuse:
      return "refuse";
    case PlatformOutage::kSilent:
      return "silent";
    case PlatformOutage::kNone:
      break;
  }
  return "none";
}

Result<PlatformOutage> ReadOutage(const ConfigTable& aTable, PlatformOutage aCurrent)
{
  BOOST_OUTCOME_TRY(text, ReadText(aTable, "outage", 16));
  if (!text) {
    return aCurrent;
  }
  for (const auto outage :
       { PlatformOutage::kNone, PlatformOutage::kRefuse, PlatformOutage::kSilent }) {
    if (*text == OutageName(outage)) {
      return outage;
    }
  }
  return Fail(ErrorCode::kOutOfRange, ErrorSubject(aTable, "outage"), "none, refuse or silent");
}

} // namespace

std::string EncodePlatformFaults(const PlatformFaults& aFaults)
{
  return ConfigJson{
    { "writes_per_second", aFaults.maxWritesPerSecond_ },
    { "reads_per_second", aFaults.maxReadsPerSecond_ },
    { "delay_ms", aFaults.delayMs_ },
    { "outage", OutageName(aFaults.outage_) },
    { "lose_answers", aFaults.lostAnswerFraction_ },
    { "lose_next", aFaults.loseNextAnswers_ }
  }.dump();
}

Result<void> UpdatePlatformFaults(PlatformFaults& aFaults, std::string_view aText)
{
  const auto json = ConfigJson::parse(aText.begin(), aText.end(), nullptr, false);
  if (!json.is_object()) {
    return Fail(ErrorCode::kSyntax, "faults", "a JSON object");
  }
  const ConfigTable table{ &json, "faults", "" };
  BOOST_OUTCOME_TRYV(CheckKeys(table,
                               { "writes_per_second",
                                 "reads_per_second",
                                 "delay_ms",
                                 "outage",
                                 "lose_answers",
                                 "lose_next" }));
  auto faults = aFaults;
  BOOST_OUTCOME_TRY(writes, ReadNumber(table, "writes_per_second", 0, 1e9));
  BOOST_OUTCOME_TRY(reads, ReadNumber(table, "reads_per_second", 0, 1e9));
  BOOST_OUTCOME_TRY(delay, ReadInteger(table, "delay_ms", 0, 600000));
  BOOST_OUTCOME_TRY(outage, ReadOutage(table, faults.outage_));
  BOOST_OUTCOME_TRY(lostAnswerFraction, ReadNumber(table, "lose_answers", 0, 1));
  BOOST_OUTCOME_TRY(loseNext, ReadInteger(table, "lose_next", 0, 1000000));
  faults.maxWritesPerSecond_ = writes.value_or(faults.maxWritesPerSecond_);
  faults.maxReadsPerSecond_ = reads.value_or(faults.maxReadsPerSecond_);
  faults.delayMs_ = static_cast<std::uint32_t>(delay.value_or(faults.delayMs_));
  faults.outage_ = outage;
  faults.lostAnswerFraction_ = lostAnswerFraction.value_or(faults.lostAnswerFraction_);
  faults.loseNextAnswers_ = static_cast<std::uint32_t>(loseNext.value_or(faults.loseNextAnswers_));
  aFaults = faults;
  return Success();
}

} // namespace peridotquay
