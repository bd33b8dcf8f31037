// quayctl, the operators' command line tool: checks and applies configuration, manages keys, and
// queries nodes.
#include "peridotquay/process/BlockingHttp.h"
#include "peridotquay/process/LogTrace.h"
#include "peridotquay/process/OperatorCommands.h"
#include "peridotquay/process/TomlFile.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

ABSL_FLAG(std::vector<std::string>, platform, {}, "platform addresses, ip:port, comma-separated");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(std::string, operator, "", "name of the operator for the audit trail");
ABSL_FLAG(std::string, summary, "", "what the change is for");
ABSL_FLAG(std::string, against, "", "version that the change is based on, or latest");
ABSL_FLAG(bool, wait, false, "wait until the change is in force everywhere");
ABSL_FLAG(std::uint32_t,
          timeout_ms,
          15000,
          "timeout of --wait or of a request to a node, in milliseconds");
ABSL_FLAG(std::string, account, "", "client account");
ABSL_FLAG(std::string, label, "", "label of a key");
ABSL_FLAG(std::string, node, "", "admin address of a node, ip:port");
ABSL_FLAG(std::string, path, "", "path of a request");
ABSL_FLAG(std::uint32_t, limit, 20, "number of changes to show");
ABSL_FLAG(std::string, operation, "", "id of the operation to show");

using namespace peridotquay;

namespace {

/// Thrown for wrong arguments; the process then exits with kExitUsage.
struct UsageError
{
  std::string text_;
};

using Arguments = std::vector<std::string>;

struct Command
{
  std::string_view name_; ///< One or two words.
  std::string_view help_;
  std::size_t argumentCount_ = 0; ///< Number of positional arguments after the name.
  std::function<OperatorReport(const Arguments&)> run_;
};

Address ParseAddressOrThrow(const std::string& aText, const char* aFlag)
{
  const auto address = ParseAddress(aText);
  if (!address || address->port_ == 0) {
    throw UsageError{ std::string(aFlag) + " needs ip:port, not \"" + aText + "\"" };
  }
  return *address;
}

std::unique_ptr<Platform> PlatformFromFlags()
{
  PlatformClientSettings settings;
  for (const auto& text : absl::GetFlag(FLAGS_platform)) {
    settings.addresses_.push_back(ParseAddressOrThrow(text, "--platform"));
  }
  if (settings.addresses_.empty()) {
    throw UsageError{ "--platform is required" };
  }
  return MakePlatformClient(std::move(settings));
}

std::string RequiredFlag(const absl::Flag<std::string>& aFlag, const char* aName)
{
  auto value = absl::GetFlag(aFlag);
  if (value.empty()) {
    throw UsageError{ std::string(aName) + " is required" };
  }
  return value;
}

std::optional<Version> ParseExpectedVersion(const std::string& aText)
{
  if (aText == "latest") {
    return std::nullopt;
  }
  Version version = 0;
  const auto* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    throw UsageError{ "--against needs a version or latest" };
  }
  return version;
}

/// Options of a command that writes a new version. aDefaultSummary is used without --summary.
WriteOptions WriteOptionsFromFlags(const std::string& aAgainst, const std::string& aDefaultSummary)
{
  WriteOptions options;
  options.operator_ = RequiredFlag(FLAGS_operator, "--operator");
  options.summary_ = absl::GetFlag(FLAGS_summary);
  if (options.summary_.empty()) {
    options.summary_ = aDefaultSummary;
  }
  options.expectedVersion_ = ParseExpectedVersion(aAgainst);
  options.waitUntilInForce_ = absl::GetFlag(FLAGS_wait);
  options.timeout_ = milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  return options;
}

std::string ExpectedVersionOrLatest()
{
  const auto against = absl::GetFlag(FLAGS_against);
  return against.empty() ? "latest" : against;
}

OperatorReport QueryNode(const std::string& aMethod, const std::string& aPath)
{
  return NodeCommand(ParseAddressOrThrow(RequiredFlag(FLAGS_node, "--node"), "--node"),
                     aMethod,
                     aPath,
                     milliseconds(absl::GetFlag(FLAGS_timeout_ms)));
}

OperatorReport RunApply(const Arguments& aArguments)
{
  const auto options =
    WriteOptionsFromFlags(RequiredFlag(FLAGS_against, "--against"), "apply " + aArguments[0]);
  return ApplyCommand(*PlatformFromFlags(), aArguments[0], options);
}

OperatorReport RunGrant(const Arguments&)
{
  const auto account = RequiredFlag(FLAGS_account, "--account");
  const auto options =
    WriteOptionsFromFlags(ExpectedVersionOrLatest(), "grant a key to " + account);
  return GrantKeyCommand(*PlatformFromFlags(), account, absl::GetFlag(FLAGS_label), options);
}

OperatorReport RunWithdraw(const Arguments& aArguments)
{
  const auto options = WriteOptionsFromFlags(ExpectedVersionOrLatest(), "withdraw a key");
  return WithdrawKeyCommand(*PlatformFromFlags(), aArguments[0], options);
}

OperatorReport RunStatus(const Arguments&)
{
  return absl::GetFlag(FLAGS_node).empty() ? FleetStatusCommand(*PlatformFromFlags())
                                           : QueryNode("GET", "/status");
}

OperatorReport RunExplain(const Arguments&)
{
  const auto path = RequiredFlag(FLAGS_path, "--path");
  return QueryNode("GET",
                   "/explain?path=" + EscapeUrl(path) +
                     "&account=" + EscapeUrl(absl::GetFlag(FLAGS_account)));
}

const std::vector<Command>& Commands()
{
  static const std::vector<Command> kCommands = {
    { "check",
      "check DIR\n"
      "  Checks DIR/base.toml and all other DIR/*.toml, the overlays. Needs no platform.\n",
      1,
      [](const Arguments& aArguments) { return CheckCommand(aArguments[0]); } },
    { "diff",
      "diff DIR --platform=A\n"
      "  Shows what applying DIR would change, and the latest version.\n",
      1,
      [](const Arguments& aArguments) {
        return DiffCommand(*PlatformFromFlags(), aArguments[0]);
      } },
    { "apply",
      "apply DIR --platform=A --operator=NAME --against=VERSION|latest [--summary=S] [--wait]\n"
      "    [--timeout_ms=N]\n"
      "  Writes DIR as the next version. Fails if the latest version isn't VERSION; then shows "
      "the\n"
      "  latest version and its changes. With --wait, waits until it is in force everywhere.\n",
      1,
      RunApply },
    { "history",
      "history --platform=A [--limit=N] [--operation=ID]\n"
      "  Shows the last N changes (20), or of these the one with an operation id.\n",
      0,
      [](const Arguments&) {
        return HistoryCommand(
          *PlatformFromFlags(), absl::GetFlag(FLAGS_limit), absl::GetFlag(FLAGS_operation));
      } },
    { "keys grant",
      "keys grant --platform=A --operator=NAME --account=ID [--label=L] [--against=VERSION]\n"
      "    [--summary=S] [--wait] [--timeout_ms=N]\n"
      "  Makes a key for a client account and shows it this once. Only its digest is stored.\n",
      0,
      RunGrant },
    { "keys withdraw",
      "keys withdraw DIGEST --platform=A --operator=NAME [--against=VERSION] [--summary=S]\n"
      "    [--wait] [--timeout_ms=N]\n"
      "  Withdraws a key by its digest or at least 8 leading digits of it.\n",
      1,
      RunWithdraw },
    { "keys list",
      "keys list --platform=A [--account=ID]\n"
      "  Lists digests with client account, source and state.\n",
      0,
      [](const Arguments&) {
        return ListKeysCommand(*PlatformFromFlags(), absl::GetFlag(FLAGS_account));
      } },
    { "status",
      "status --platform=A | status --node=ip:port\n"
      "  Shows the latest version and where it is in force, or the status of one node.\n",
      0,
      RunStatus },
    { "explain",
      "explain --node=ip:port --path=P [--account=ID]\n"
      "  Shows what a node would do with a request of a client account.\n",
      0,
      RunExplain },
    { "trace",
      "trace ID FILE\n"
      "  Shows what hosts logged of a request, in order. FILE holds their logs. Needs no "
      "platform.\n",
      2,
      [](const Arguments& aArguments) { return TraceCommand(aArguments[0], aArguments[1]); } },
    { "drain",
      "drain --node=ip:port\n"
      "  Tells a node to finish its calls and leave.\n",
      0,
      [](const Arguments&) { return QueryNode("POST", "/drain"); } },
  };
  return kCommands;
}

constexpr std::string_view kCommonHelp =
  "All commands take --json and --help. Exit codes: docs/OPERATIONS.md.\n";

void PrintHelp(std::ostream& aStream, const Command* aCommand)
{
  for (const auto& command : Commands()) {
    if (aCommand == nullptr || aCommand == &command) {
      aStream << "quayctl " << command.help_;
    }
  }
  aStream << kCommonHelp;
}

/// Finds the command by its name, which is the first one or two words; null if there is none.
const Command* FindCommand(const Arguments& aWords)
{
  for (const auto& command : Commands()) {
    const auto oneWord = aWords.empty() ? "" : aWords[0];
    const auto twoWords = aWords.size() < 2 ? oneWord : oneWord + " " + aWords[1];
    if (command.name_ == oneWord || command.name_ == twoWords) {
      return &command;
    }
  }
  return nullptr;
}

int Print(const OperatorReport& aReport)
{
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << aReport.json_.dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
              << "\n";
  } else {
    (aReport.exitCode_ == 0 || aReport.exitCode_ == kExitNotInForce ? std::cout : std::cerr)
      << aReport.text_;
  }
  std::cout.flush();
  return aReport.exitCode_;
}

int Run(const Arguments& aWords)
{
  const auto* command = FindCommand(aWords);
  if (command == nullptr) {
    PrintHelp(std::cerr, nullptr);
    return kExitUsage;
  }
  const auto nameWordCount = command->name_.find(' ') == std::string_view::npos ? 1U : 2U;
  const Arguments arguments(aWords.begin() + nameWordCount, aWords.end());
  if (arguments.size() != command->argumentCount_) {
    PrintHelp(std::cerr, command);
    return kExitUsage;
  }
  try {
    return Print(command->run_(arguments));
  } catch (const UsageError& error) {
    std::cerr << "error: " << error.text_ << "\n";
    PrintHelp(std::cerr, command);
    return kExitUsage;
  }
}

/// Whether --help or -h is given; aWords receives the other arguments that aren't flags. Called
/// before Abseil parses the flags, because Abseil's own help lists the flags of every library.
bool IsHelpRequested(int aCount, char** aArguments, Arguments& aWords)
{
  bool help = false;
  for (int i = 1; i < aCount; ++i) {
    const std::string_view word = aArguments[i];
    help = help || word == "--help" || word == "-h";
    if (word.substr(0, 1) != "-") {
      aWords.emplace_back(word);
    }
  }
  return help;
}

} // namespace

int main(int aCount, char** aArguments)
{
  Arguments helpWords;
  if (IsHelpRequested(aCount, aArguments, helpWords)) {
    PrintHelp(std::cout, FindCommand(helpWords));
    return 0;
  }
  const auto positional = absl::ParseCommandLine(aCount, aArguments);
  return Run(Arguments(positional.begin() + 1, positional.end()));
}
