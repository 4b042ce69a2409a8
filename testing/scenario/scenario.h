#ifndef LAPISHATCH_TESTING_SCENARIO_SCENARIO_H_
#define LAPISHATCH_TESTING_SCENARIO_SCENARIO_H_

#include <toml++/toml.h>

#include <array>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "http/http.h"

namespace lapishatch::scenario {

/// The processes that a scenario needs.
struct ClusterSpec {
  std::vector<std::string> domains;
  /// Entry VMs of each domain: one entry and one scheduler each.
  std::vector<int> entry_vms;
  std::vector<std::string> services;
  /// Of each service in each domain.
  int runners = 2;
  int slots = 8;
  int service_ms = 20;
  /// Of each domain.
  int workers = 8;
  int workers_per_rack = 8;
  int accelerators = 8;
  int checkpoint_ms = 100;
  /// Added to the settings files of the programs.
  toml::table entry_settings;
  toml::table scheduler_settings;
};

/// What answers must be like. Empty lists allow everything.
struct Expectation {
  std::vector<int> status;
  /// Values of Lapishatch-Work.
  std::vector<std::string> work;
  std::optional<std::string> body;
  /// How many answers are of status 2xx; nothing: no matter.
  std::optional<int> winners;
};

/// One HTTP request. "{n}" in target, headers and body is its number in a wave.
struct CallSpec {
  http::Request request;
  /// An entry's name, or empty for each in turn.
  std::string at;
};

/// Sends requests, all at once.
struct CallAction {
  std::vector<CallSpec> calls;
  /// When not empty, the answers are awaited by an AnswerAction.
  std::string label;
  Expectation expectation;
  /// What is answered so is sent again until the step's limit: the caller was
  /// told to come back. Not for labelled ones.
  std::vector<int> again_on;
};

/// Awaits the answers of a labelled CallAction.
struct AnswerAction {
  std::string label;
  Expectation expectation;
};

/// In place of an entry's name: every entry that runs.
inline constexpr std::string_view kEveryEntry = "every";

/// Reads a resource until a value in it is one of `is`, or has the text `has`.
struct WaitAction {
  std::string target;
  /// An entry's name, kEveryEntry, or empty for each in turn.
  std::string at;
  std::string path;
  std::vector<std::string> is;
  std::string has;
};

enum class ProcessVerb : std::uint8_t {
  kKill,
  kStop,
  kPause,
  kResume,
  kStart,
  /// A planned stop, and after its end a fresh one in its place until it is
  /// ready.
  kReplace,
};

/// Does something to processes by name.
struct ProcessAction {
  ProcessVerb verb = ProcessVerb::kKill;
  std::vector<std::string> names;
};

/// Awaits the end of a process.
struct ExitAction {
  std::string name;
  int code = 0;
};

/// Posts to a stand-in's fault port.
struct FaultAction {
  std::string at;
  boost::json::value body;
};

enum class LinkMode : std::uint8_t {
  kOpen,
  /// Connections break and new ones are refused.
  kCut,
  /// Nothing passes on any connection; none breaks.
  kSilent,
  /// Nothing passes on the connections open now; new ones work.
  kSilentOpen,
};

/// Changes links of the loopback relays.
struct LinkAction {
  std::vector<std::string> names;
  LinkMode mode = LinkMode::kOpen;
};

enum class Counted : std::uint8_t { kRuns, kStarts };

/// Counts what the stand-ins ran: requests by body, or tasks started by job.
struct CountAction {
  Counted counted = Counted::kRuns;
  std::string key;
  std::uint64_t at_least = 0;
  std::uint64_t at_most = 0;
};

/// Runs lapishatchctl as an operator does.
struct CtlAction {
  std::vector<std::string> arguments;
  std::string input;
  int code = 0;
  /// Texts that its output has.
  std::vector<std::string> says;
  /// When not empty, it goes on running and a SeenAction looks at it.
  std::string label;
};

/// Waits until a labelled lapishatchctl has said all of `says`, in order, each
/// once, then ends it.
struct SeenAction {
  std::string label;
  std::vector<std::string> says;
};

/// Starts callers that send one request after another until a LoadedAction
/// ends them. They go to entries as the platform's balancer does and repeat
/// nothing.
struct LoadAction {
  std::string label;
  std::string service;
  std::string organisation;
  bool is_idempotent = false;
  /// Callers at once.
  int connections = 16;
  /// They are not ended before they have sent so many.
  std::uint64_t least_requests = 0;
  /// How often the balancer looks whether an entry is ready.
  base::Duration ready_period{100};
};

/// Ends a load: every request must have been answered, and have run once.
struct LoadedAction {
  std::string label;
  /// Second runs that are allowed, of idempotent requests only.
  std::uint64_t again_at_most = 0;
};

using Action = std::variant<CallAction, AnswerAction, WaitAction, ProcessAction,
                            ExitAction, FaultAction, LinkAction, CountAction,
                            CtlAction, SeenAction, LoadAction, LoadedAction>;

struct Step {
  /// Line of the file, for messages.
  std::size_t line = 0;
  /// For the transcript, in the users' words.
  std::string say;
  /// Limit of all waiting in the step.
  base::Duration within{30'000};
  Action action;
};

struct Scenario {
  std::string file;
  std::string title;
  std::string story;
  ClusterSpec cluster;
  std::vector<Step> steps;
};

}  // namespace lapishatch::scenario

namespace lapishatch::base {
template <>
struct EnumNames<scenario::ProcessVerb> {
  static constexpr std::array<std::string_view, 6> kNames = {
      "kill", "stop", "pause", "resume", "start", "replace"};
};
template <>
struct EnumNames<scenario::LinkMode> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "open", "cut", "silent", "silent-open"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_TESTING_SCENARIO_SCENARIO_H_
