/// lapishatchctl: the operators' command line over the resource API.

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>

#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "config/config.h"
#include "ctl/ctl.h"

namespace {

/// Every value that --entry was given; a flag alone would keep the last.
std::vector<std::string>& EntryTexts() {
  static auto& texts = *new std::vector<std::string>;
  return texts;
}

}  // namespace

ABSL_FLAG(std::string, entry, "",
          "IP:port of an entry; repeat it, or separate with commas, to name "
          "several. Otherwise LAPISHATCH_ENTRIES, otherwise --config.")
    .OnUpdate([] {
      const auto text = absl::GetFlag(FLAGS_entry);
      if (!text.empty()) EntryTexts().push_back(text);
    });
// Declared by the frame of the programs whose settings `check` knows; here it
// names a file with [ctl] entries = ["IP:port", ...].
ABSL_DECLARE_FLAG(std::string, config);
ABSL_FLAG(std::string, o, "table", "Output: table for people, or json.");
ABSL_FLAG(bool, dry_run, false, "apply: validate and say what would change.");
ABSL_FLAG(std::int64_t, if_version, 0, "delete: only this version.");
ABSL_FLAG(std::int64_t, since, -1, "watch: continue after this version.");
ABSL_FLAG(bool, wait, false, "submit, cancel: until the job has ended.");
ABSL_FLAG(bool, undo, false, "drain: end the drain.");
ABSL_FLAG(std::string, reason, "", "drain: why, for people.");
ABSL_FLAG(std::string, operator, "",
          "Who makes the change, for people. Otherwise LAPISHATCH_OPERATOR, "
          "otherwise USER.");
ABSL_FLAG(int, call_ms, 10'000, "Longest time of one try, in milliseconds.");
ABSL_FLAG(int, retry_ms, 30'000,
          "Longest time with all tries, in milliseconds.");

namespace lapishatch::ctl {
namespace {

namespace leaf = boost::leaf;

void PrintHelp() {
  std::cout << "lapishatchctl: drives lapishatch through its resource API\n\n"
            << "usage: lapishatchctl [FLAGS] COMMAND ...\n\ncommands:\n";
  for (const auto& it : AllCommands()) {
    std::cout << "  " << it.usage << "\n      " << it.meaning << '\n';
  }
  std::cout << "  check FILE\n      Validates the settings file of a process."
            << "\n\nflags:\n"
            << config::FlagsHelp()
            << "\nexit codes: 0 done, 1 failed, 2 bad usage or settings\n";
}

leaf::result<std::vector<http::Endpoint>> ParseEntries(
    const std::string& text) {
  std::vector<http::Endpoint> out;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    const auto endpoint = config::ParseEndpoint(item);
    if (!endpoint) {
      return leaf::new_error(
          BadUsage{"\"" + item + "\" is not an entry: give IP:port"});
    }
    out.push_back(*endpoint);
  }
  return out;
}

leaf::result<std::vector<http::Endpoint>> EntriesFromFile(
    const std::string& file) {
  CtlSettings options;
  config::Settings settings;
  settings.Add(Describe(options));
  BOOST_LEAF_CHECK(settings.LoadFile(file));
  return std::move(options.entries);
}

leaf::result<std::vector<http::Endpoint>> FindEntries() {
  std::string text;
  for (const auto& it : EntryTexts()) text += (text.empty() ? "" : ",") + it;
  const char* from_environment = std::getenv("LAPISHATCH_ENTRIES");
  if (text.empty() && from_environment != nullptr) text = from_environment;
  if (!text.empty()) return ParseEntries(text);
  const auto file = absl::GetFlag(FLAGS_config);
  if (!file.empty()) return EntriesFromFile(file);
  return leaf::new_error(
      BadUsage{"no entry is known: give --entry IP:port, LAPISHATCH_ENTRIES or "
               "--config"});
}

/// The first of flag and environment that names the operator.
std::string FindOperator() {
  auto from_flag = absl::GetFlag(FLAGS_operator);
  if (!from_flag.empty()) return from_flag;
  for (const auto* name : {"LAPISHATCH_OPERATOR", "USER"}) {
    const char* value = std::getenv(name);
    if (value != nullptr && *value != '\0') return value;
  }
  return {};
}

leaf::result<CommandOptions> OptionsFromFlags() {
  CommandOptions out;
  const auto output = base::ParseEnum<Output>(absl::GetFlag(FLAGS_o));
  if (!output) {
    return leaf::new_error(
        BadUsage{"-o must be one of " + base::AllowedNames<Output>()});
  }
  out.output = *output;
  out.dry_run = absl::GetFlag(FLAGS_dry_run);
  const auto version = absl::GetFlag(FLAGS_if_version);
  if (version > 0) out.version = static_cast<std::uint64_t>(version);
  const auto since = absl::GetFlag(FLAGS_since);
  if (since >= 0) out.since = static_cast<std::uint64_t>(since);
  out.wait = absl::GetFlag(FLAGS_wait);
  out.undo = absl::GetFlag(FLAGS_undo);
  out.reason = absl::GetFlag(FLAGS_reason);
  out.operator_name = FindOperator();
  return out;
}

leaf::result<int> Check(const std::vector<std::string>& words) {
  constexpr std::size_t kWords = 2;
  if (words.size() != kWords) {
    return leaf::new_error(BadUsage{"usage: lapishatchctl check FILE"});
  }
  BOOST_LEAF_AUTO(program, CheckSettings(words[1]));
  std::cout << words[1] << ": good settings of " << base::NameOf(program)
            << '\n';
  return config::kExitDone;
}

leaf::result<int> Run(const std::vector<std::string>& words) {
  if (!words.empty() && words.front() == "check") return Check(words);
  BOOST_LEAF_AUTO(options, OptionsFromFlags());
  BOOST_LEAF_AUTO(entries, FindEntries());
  ApiClientOptions client_options;
  client_options.entries = std::move(entries);
  client_options.call_timeout = base::Duration(absl::GetFlag(FLAGS_call_ms));
  client_options.retry_time = base::Duration(absl::GetFlag(FLAGS_retry_ms));
  ApiClient client(std::move(client_options));
  return RunCommand(client, options, words, std::cin, std::cout, std::cerr);
}

int Main(int argc, const char* const* argv) {
  const auto line = config::ParseCommandLine(argc, argv);
  if (line.help) {
    PrintHelp();
    return config::kExitDone;
  }
  if (line.version) {
    std::cout << "lapishatchctl " << LAPISHATCH_VERSION << '\n';
    return config::kExitDone;
  }
  const auto refuse = [](const std::string& text) {
    std::cerr << "lapishatchctl: " << text << '\n';
    return config::kExitBadUsage;
  };
  if (!line.problem.empty()) return refuse(line.problem);
  return leaf::try_handle_all(
      [&] { return Run(line.positional); },
      [&](const BadUsage& it) { return refuse(TextOf(it)); },
      [&](const config::SettingsProblems& it) {
        std::string text = "the settings have errors";
        for (const auto& problem : it.problems) {
          text += "\n  " + config::TextOf(problem);
        }
        return refuse(text);
      },
      [&] { return refuse("failed for an unknown reason"); });
}

}  // namespace
}  // namespace lapishatch::ctl

int main(int argc, char** argv) { return lapishatch::ctl::Main(argc, argv); }
