// Implements the commands of quayctl.
#include "peridotquay/process/OperatorCommands.h"

#include "peridotquay/process/BlockingHttp.h"
#include "peridotquay/process/RolloutStatus.h"
#include "peridotquay/process/TomlFile.h"
#include "peridotquay/version/Config.h"
#include "peridotquay/version/ConfigCompiler.h"
#include "peridotquay/version/ConfigParser.h"
#include "peridotquay/version/Keys.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <chrono>
#include <filesystem>

namespace peridotquay {

namespace {

using Json = nlohmann::json;

/// Maximum number of changes that the report of a conflict lists.
constexpr std::uint32_t kMaxConflictChanges = 256;

std::uint64_t WallClockMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

std::string UtcTime(std::uint64_t aWallMs)
{
  const auto time = static_cast<std::time_t>(aWallMs / 1000);
  std::tm parts{};
  gmtime_r(&time, &parts);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

Json EditsJson(const std::vector<EntityEdit>& aEdits)
{
  auto json = Json::array();
  for (const auto& edit : aEdits) {
    Json entry = { { "name", edit.name_ } };
    entry["json"] = edit.json_ ? Json::parse(*edit.json_, nullptr, false) : Json(nullptr);
    json.push_back(std::move(entry));
  }
  return json;
}

std::string EditsText(const std::vector<EntityEdit>& aEdits)
{
  std::string text;
  for (const auto& edit : aEdits) {
    text += edit.json_ ? "  put    " + edit.name_ + " " + *edit.json_ : "  remove " + edit.name_;
    text += "\n";
  }
  return text;
}

Json ChangeJson(const ConfigChange& aChange)
{
  return { { "version", aChange.version_ },          { "operator", aChange.operatorName_ },
           { "time", UtcTime(aChange.wallTimeMs_) }, { "operation_id", aChange.operationId_ },
           { "summary", aChange.summary_ },          { "edits", EditsJson(aChange.edits_) } };
}

std::string ChangeText(const ConfigChange& aChange)
{
  return "version " + std::to_string(aChange.version_) + " " + UtcTime(aChange.wallTimeMs_) +
         " by " + aChange.operatorName_ + ": " + aChange.summary_ + " (operation " +
         aChange.operationId_ + ")\n" + EditsText(aChange.edits_);
}

/// Reports that a change is based on a version that is no longer the latest, and the changes since
/// that version.
OperatorReport ReportConflict(Platform& aPlatform, const Error& aError, Version aExpectedVersion)
{
  auto report = ReportError(aError);
  report.json_["against"] = aExpectedVersion;
  const auto changes = LoadHistory(aPlatform, aExpectedVersion, kMaxConflictChanges);
  if (changes.has_error()) {
    report.text_ +=
      "the changes since that version can't be read: " + Describe(changes.assume_error()) + "\n";
    return report;
  }
  auto list = Json::array();
  for (const auto& change : changes.assume_value()) {
    list.push_back(ChangeJson(change));
    report.text_ += ChangeText(change);
  }
  if (!changes.assume_value().empty()) {
    report.json_["winner"] = changes.assume_value().back().version_;
  }
  report.json_["changes"] = std::move(list);
  return report;
}

Json RolloutJson(const RolloutStatus& aRollout)
{
  auto json = Json::array();
  for (const auto& dataCentre : aRollout.dataCentres_) {
    json.push_back({ { "data_centre", dataCentre.dataCentre_.value_ },
                     { "reported", dataCentre.reported_ },
                     { "version", dataCentre.version_ },
                     { "in_force", dataCentre.inForce_ },
                     { "lagging", dataCentre.lagging_ },
                     { "unreachable", dataCentre.unreachable_ } });
  }
  return json;
}

std::string JoinNames(const std::vector<std::string>& aNames)
{
  std::string text;
  for (const auto& name : aNames) {
    text += " " + name;
  }
  return text;
}

std::string RolloutText(const RolloutStatus& aRollout)
{
  std::string text;
  for (const auto& dataCentre : aRollout.dataCentres_) {
    text += "  " + dataCentre.dataCentre_.value_ + ": ";
    text += dataCentre.reported_ ? "version " + std::to_string(dataCentre.version_) : "no report";
    text += dataCentre.inForce_ ? ", in force" : ", not in force";
    text += dataCentre.lagging_.empty() ? "" : ", lagging:" + JoinNames(dataCentre.lagging_);
    text +=
      dataCentre.unreachable_.empty() ? "" : ", unreachable:" + JoinNames(dataCentre.unreachable_);
    text += "\n";
  }
  return text;
}

/// Waits until a written change is in force everywhere and adds the result to the report.
void WaitAndReport(Platform& aPlatform,
                   const RolloutWaitSettings& aSettings,
                   OperatorReport& aReport)
{
  const auto waited = WaitUntilInForce(aPlatform, aSettings);
  if (waited.has_error()) {
    aReport.exitCode_ = kExitNotInForce;
    aReport.json_["in_force"] = nullptr;
    aReport.text_ +=
      "written, but the watermarks can't be read: " + Describe(waited.assume_error()) + "\n";
    return;
  }
  const auto& result = waited.assume_value();
  const auto ms = std::chrono::duration_cast<milliseconds>(result.waited_).count();
  aReport.exitCode_ = result.inForce_ ? 0 : kExitNotInForce;
  aReport.json_["in_force"] = result.inForce_;
  aReport.json_["by_freshness_bound"] = result.byFreshnessBound_;
  aReport.json_["waited_ms"] = ms;
  aReport.json_["sites"] = RolloutJson(result.rollout_);
  aReport.text_ += result.inForce_ ? "in force everywhere" : "not in force everywhere";
  aReport.text_ += " after " + std::to_string(ms) + " ms";
  aReport.text_ +=
    result.byFreshnessBound_ ? "; hosts without it have passed the freshness bound\n" : "\n";
  aReport.text_ += RolloutText(result.rollout_);
}

/// A change to be written.
struct PreparedChange
{
  std::vector<EntityEdit> edits_;
  /// The change withdraws or removes a key. A wait for it also succeeds once the freshness bound
  /// has passed, because hosts that can't be reached no longer serve keyed routes then.
  bool revokesKey_ = false;
};

/// Checks the operator's name and the summary. Control characters are refused, because they could
/// forge lines of a printed history.
Result<void> CheckAuditFields(const WriteOptions& aOptions)
{
  const auto printable = [](char aChar) { return aChar >= 0x20 && aChar < 0x7f; };
  const auto& name = aOptions.operator_;
  if (name.empty() || name.size() > 64 || !std::all_of(name.begin(), name.end(), printable)) {
    return Fail(ErrorCode::kOutOfRange, "operator", "1 to 64 printable ASCII characters");
  }
  const auto control = [](char aChar) { return static_cast<unsigned char>(aChar) < 0x20; };
  const auto& summary = aOptions.summary_;
  if (summary.size() > 512 || std::any_of(summary.begin(), summary.end(), control)) {
    return Fail(ErrorCode::kOutOfRange, "summary", "at most 512 bytes without control characters");
  }
  return Success();
}

/// Writes a change and, if the options say so, waits until it is in force.
OperatorReport WriteAndWait(Platform& aPlatform,
                            const StoredConfig& aStored,
                            const PreparedChange& aPrepared,
                            const WriteOptions& aOptions)
{
  if (const auto audit = CheckAuditFields(aOptions); audit.has_error()) {
    return ReportError(audit.assume_error());
  }
  ConfigChange change;
  change.operatorName_ = aOptions.operator_;
  change.summary_ = aOptions.summary_;
  change.operationId_ = NewOperationId();
  change.wallTimeMs_ = WallClockMs();
  change.edits_ = aPrepared.edits_;
  std::optional<Duration> freshnessBound;
  if (aPrepared.revokesKey_) {
    freshnessBound = MaxUsableFreshnessBound(aStored.entities_, WallClockMs());
  }
  const auto version = CommitChange(aPlatform, aStored, change, aOptions.commit_);
  if (version.has_error()) {
    const auto& error = version.assume_error();
    return error.code_ == ErrorCode::kVersionConflict
             ? ReportConflict(aPlatform, error, aStored.version_)
             : ReportError(error);
  }
  OperatorReport report;
  report.json_ = { { "version", version.assume_value() },
                   { "operation_id", change.operationId_ },
                   { "edits", EditsJson(change.edits_) } };
  report.text_ = "version " + std::to_string(version.assume_value()) + " written (operation " +
                 change.operationId_ + ")\n" + EditsText(change.edits_);
  if (IsSnapshotDue(aStored, version.assume_value())) {
    // A failure isn't an error of the command: the next change writes the snapshot, and until then
    // loading the configuration reads more changes.
    if (const auto snapshot = WriteDueSnapshot(aPlatform); snapshot.has_error()) {
      report.json_["snapshot_error"] = Describe(snapshot.assume_error());
    }
  }
  if (aOptions.waitUntilInForce_) {
    auto entities = aStored.entities_;
    static_cast<void>(ApplyChange(entities, change));
    WaitAndReport(aPlatform,
                  { .version_ = version.assume_value(),
                    .dataCentres_ = ConfiguredDataCentres(entities),
                    .timeout_ = aOptions.timeout_,
                    .freshnessBound_ = freshnessBound },
                  report);
  }
  return report;
}

/// Loads the latest version. Fails with kVersionConflict if another one was expected.
Result<StoredConfig> LoadExpectedVersion(Platform& aPlatform, const WriteOptions& aOptions)
{
  BOOST_OUTCOME_TRY(stored, LoadConfig(aPlatform));
  if (aOptions.expectedVersion_ && *aOptions.expectedVersion_ != stored.version_) {
    return Fail(ErrorCode::kVersionConflict,
                "version " + std::to_string(stored.version_),
                "written for version " + std::to_string(*aOptions.expectedVersion_));
  }
  return stored;
}

/// Reports a failure of LoadExpectedVersion.
OperatorReport ReportLoadError(Platform& aPlatform,
                               const Error& aError,
                               const WriteOptions& aOptions)
{
  return aError.code_ == ErrorCode::kVersionConflict
           ? ReportConflict(aPlatform, aError, aOptions.expectedVersion_.value_or(0))
           : ReportError(aError);
}

/// Returns the edits that change the stored configuration to that of a directory.
Result<std::vector<EntityEdit>> DirectoryEdits(const StoredConfig& aStored,
                                               const std::string& aDirectory)
{
  EntityLocations locations;
  BOOST_OUTCOME_TRY(files, ReadConfigDirectory(aDirectory, &locations));
  auto merging = MergeConfigFiles(aStored.entities_, files);
  if (merging.has_error()) {
    auto error = merging.assume_error();
    error.location_ = locations[error.subject_];
    return BOOST_OUTCOME_V2_NAMESPACE::failure(std::move(error));
  }
  auto& merged = merging.assume_value();
  UpdateReplacedFreshnessBound(aStored.entities_, merged, WallClockMs());
  // Keys granted by command may refer to client accounts that are no longer in the files.
  BOOST_OUTCOME_TRYV(CheckEntities(merged));
  return DiffEntities(aStored.entities_, merged);
}

/// Whether edits remove or withdraw a key.
bool RevokesKey(const std::vector<EntityEdit>& aEdits)
{
  return std::any_of(aEdits.begin(), aEdits.end(), [](const EntityEdit& aEdit) {
    const bool key = aEdit.name_.compare(0, 4, "key/") == 0;
    return key && (!aEdit.json_ || aEdit.json_->find("\"withdrawn\":true") != std::string::npos);
  });
}

} // namespace

Result<Entities> ReadConfigDirectory(const std::string& aDirectory, EntityLocations* aLocations)
{
  namespace fs = std::filesystem;
  std::error_code errorCode;
  std::vector<std::string> names;
  for (fs::directory_iterator entry(aDirectory, errorCode), end; !errorCode && entry != end;
       entry.increment(errorCode)) {
    if (entry->path().extension() == ".toml" && entry->path().filename() != "base.toml") {
      names.push_back(entry->path().string());
    }
  }
  if (errorCode) {
    return Fail(ErrorCode::kFileUnreadable, aDirectory, errorCode.message());
  }
  std::sort(names.begin(), names.end());
  ConfigFile base{ (fs::path(aDirectory) / "base.toml").string(), {} };
  BOOST_OUTCOME_TRY(baseText, ReadWholeFile(base.name_));
  base.text_ = std::move(baseText);
  std::vector<ConfigFile> overlays;
  for (const auto& name : names) {
    BOOST_OUTCOME_TRY(text, ReadWholeFile(name));
    overlays.push_back({ name, std::move(text) });
  }
  return ParseConfigFiles(base, overlays, aLocations);
}

OperatorReport CheckCommand(const std::string& aDirectory)
{
  const auto entities = ReadConfigDirectory(aDirectory);
  if (entities.has_error()) {
    return ReportError(entities.assume_error());
  }
  const auto& found = entities.assume_value();
  std::size_t bytes = 0;
  for (const auto& [name, json] : found) {
    bytes += name.size() + json.size();
  }
  if (bytes > kMaxConfigBytes) {
    return ReportError({ ErrorCode::kChangeTooLarge,
                         aDirectory,
                         "at most " + std::to_string(kMaxConfigBytes) + " bytes",
                         {} });
  }
  ConfigChange change;
  change.edits_ = DiffEntities({}, found);
  const bool fitsOneChange = EncodeChange(change).size() <= kMaxChangeBytes;
  OperatorReport report;
  report.json_ = { { "entities", found.size() },
                   { "sites", ConfiguredDataCentres(found).size() },
                   { "bytes", bytes },
                   { "fits_one_change", fitsOneChange } };
  report.text_ = "ok: " + std::to_string(found.size()) + " entities, " +
                 std::to_string(ConfiguredDataCentres(found).size()) + " sites\n";
  if (!fitsOneChange) {
    report.text_ +=
      "too large for one change: apply it in several steps if nothing is stored yet\n";
  }
  return report;
}

OperatorReport DiffCommand(Platform& aPlatform, const std::string& aDirectory)
{
  const auto stored = LoadConfig(aPlatform);
  if (stored.has_error()) {
    return ReportError(stored.assume_error());
  }
  const auto edits = DirectoryEdits(stored.assume_value(), aDirectory);
  if (edits.has_error()) {
    return ReportError(edits.assume_error());
  }
  OperatorReport report;
  report.json_ = { { "against", stored.assume_value().version_ },
                   { "edits", EditsJson(edits.assume_value()) } };
  report.text_ = "against version " + std::to_string(stored.assume_value().version_) + ": " +
                 std::to_string(edits.assume_value().size()) + " edits\n" +
                 EditsText(edits.assume_value());
  return report;
}

OperatorReport ApplyCommand(Platform& aPlatform,
                            const std::string& aDirectory,
                            const WriteOptions& aOptions)
{
  const auto stored = LoadExpectedVersion(aPlatform, aOptions);
  if (stored.has_error()) {
    return ReportLoadError(aPlatform, stored.assume_error(), aOptions);
  }
  const auto edits = DirectoryEdits(stored.assume_value(), aDirectory);
  if (edits.has_error()) {
    return ReportError(edits.assume_error());
  }
  if (edits.assume_value().empty()) {
    OperatorReport report;
    report.json_ = { { "version", stored.assume_value().version_ }, { "edits", Json::array() } };
    report.text_ =
      "nothing to change at version " + std::to_string(stored.assume_value().version_) + "\n";
    return report;
  }
  return WriteAndWait(aPlatform,
                      stored.assume_value(),
                      { edits.assume_value(), RevokesKey(edits.assume_value()) },
                      aOptions);
}

OperatorReport HistoryCommand(Platform& aPlatform,
                              std::uint32_t aLimit,
                              const std::string& aOperationId)
{
  const auto head = aPlatform.ReadRow(kHeadRowKey);
  if (head.has_error()) {
    return ReportError(head.assume_error());
  }
  const auto version = head.assume_value() ? DecodeHead(head.assume_value()->value_) : Version{ 0 };
  if (version.has_error()) {
    return ReportError(version.assume_error());
  }
  const auto last = version.assume_value();
  const auto changes = LoadHistory(aPlatform, last > aLimit ? last - aLimit : 0, aLimit);
  if (changes.has_error()) {
    return ReportError(changes.assume_error());
  }
  OperatorReport report;
  auto list = Json::array();
  for (const auto& change : changes.assume_value()) {
    if (aOperationId.empty() || change.operationId_ == aOperationId) {
      list.push_back(ChangeJson(change));
      report.text_ += ChangeText(change);
    }
  }
  if (list.empty() && !aOperationId.empty()) {
    return ReportError({ ErrorCode::kNotFound,
                         "operation " + aOperationId,
                         "one of the last " + std::to_string(aLimit) + " changes",
                         {} });
  }
  report.json_ = { { "version", last }, { "changes", std::move(list) } };
  return report;
}

OperatorReport GrantKeyCommand(Platform& aPlatform,
                               const std::string& aAccount,
                               const std::string& aLabel,
                               const WriteOptions& aOptions)
{
  const auto stored = LoadExpectedVersion(aPlatform, aOptions);
  if (stored.has_error()) {
    return ReportLoadError(aPlatform, stored.assume_error(), aOptions);
  }
  const auto key = GenerateKey();
  const auto digest = KeyDigest(key);
  const auto edit = GrantKey(stored.assume_value().entities_, { aAccount }, digest, aLabel);
  if (edit.has_error()) {
    return ReportError(edit.assume_error());
  }
  auto report =
    WriteAndWait(aPlatform, stored.assume_value(), { { edit.assume_value() } }, aOptions);
  const bool written = report.exitCode_ == 0 || report.exitCode_ == kExitNotInForce;
  const bool unknown = report.exitCode_ == ExitCode(ErrorCode::kPlatformUnknown);
  if (written || unknown) {
    // If the outcome is unknown, the key may be in force, so the operator must be able to use or
    // withdraw it.
    report.json_["key"] = key;
    report.json_["digest"] = digest;
    report.text_ += "key (shown only now): " + key + "\ndigest: " + digest + "\n";
  }
  return report;
}

OperatorReport WithdrawKeyCommand(Platform& aPlatform,
                                  const std::string& aDigest,
                                  const WriteOptions& aOptions)
{
  const auto stored = LoadExpectedVersion(aPlatform, aOptions);
  if (stored.has_error()) {
    return ReportLoadError(aPlatform, stored.assume_error(), aOptions);
  }
  const auto edit = WithdrawKey(stored.assume_value().entities_, aDigest);
  if (edit.has_error()) {
    return ReportError(edit.assume_error());
  }
  return WriteAndWait(
    aPlatform, stored.assume_value(), { { edit.assume_value() }, true }, aOptions);
}

OperatorReport ListKeysCommand(Platform& aPlatform, const std::string& aAccount)
{
  const auto stored = LoadConfig(aPlatform);
  if (stored.has_error()) {
    return ReportError(stored.assume_error());
  }
  OperatorReport report;
  auto list = Json::array();
  for (const auto& key : ListKeys(stored.assume_value().entities_)) {
    if (!aAccount.empty() && key.clientAccount_.value_ != aAccount) {
      continue;
    }
    list.push_back({ { "digest", key.digest_ },
                     { "account", key.clientAccount_.value_ },
                     { "label", key.label_ },
                     { "source", key.fromFile_ ? "file" : "command" },
                     { "withdrawn", key.withdrawn_ } });
    report.text_ += key.digest_ + " " + key.clientAccount_.value_ +
                    (key.fromFile_ ? " file" : " command") +
                    (key.withdrawn_ ? " withdrawn" : " granted") +
                    (key.label_.empty() ? "" : " " + key.label_) + "\n";
  }
  report.json_ = { { "version", stored.assume_value().version_ }, { "keys", std::move(list) } };
  return report;
}

OperatorReport FleetStatusCommand(Platform& aPlatform)
{
  const auto stored = LoadConfig(aPlatform);
  if (stored.has_error()) {
    return ReportError(stored.assume_error());
  }
  const auto& config = stored.assume_value();
  const auto rollout =
    ReadRolloutStatus(aPlatform, ConfiguredDataCentres(config.entities_), config.version_);
  if (rollout.has_error()) {
    return ReportError(rollout.assume_error());
  }
  OperatorReport report;
  report.json_ = { { "version", config.version_ },
                   { "in_force", rollout.assume_value().InForceEverywhere() },
                   { "sites", RolloutJson(rollout.assume_value()) } };
  report.text_ =
    "version " + std::to_string(config.version_) + "\n" + RolloutText(rollout.assume_value());
  return report;
}

OperatorReport NodeCommand(const Address& aNode,
                           const std::string& aMethod,
                           const std::string& aTarget,
                           Duration aTimeout)
{
  constexpr std::size_t kMaxBodyBytes = std::size_t{ 16 } << 20U;
  const auto node = aNode.ip_ + ":" + std::to_string(aNode.port_);
  BlockingHttp http(aTimeout, kMaxBodyBytes);
  const auto exchange = http.Send(aNode, { aMethod, aTarget, {} }, Clock::now() + aTimeout);
  if (exchange.progress_ == HttpProgress::kNothingSent) {
    return ReportError(
      { ErrorCode::kTargetUnreachable, node, "an admin address that answers", {} });
  }
  if (exchange.progress_ == HttpProgress::kMaybeSent) {
    return ReportError({ ErrorCode::kOutcomeUnknown, node, "an answer in time", {} });
  }
  const auto json = Json::parse(exchange.body_, nullptr, false);
  if (exchange.status_ != 200 && exchange.status_ != 202) {
    auto report = ReportError(
      { ErrorCode::kTargetRefused, node, "status " + std::to_string(exchange.status_), {} });
    report.json_["answer"] = json.is_discarded() ? Json(nullptr) : json;
    return report;
  }
  OperatorReport report;
  report.json_ = { { "node", node }, { "answer", json.is_discarded() ? Json(nullptr) : json } };
  report.text_ = json.is_discarded() ? exchange.body_ + "\n" : json.dump(2) + "\n";
  return report;
}

} // namespace peridotquay
