#ifndef LAPISHATCH_CONFIG_FLAGS_H_
#define LAPISHATCH_CONFIG_FLAGS_H_

#include <string>
#include <string_view>
#include <vector>

namespace lapishatch::config {

/// Exit codes of every program.
inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadUsage = 2;

/// A command line after its Abseil flags were taken.
struct CommandLine {
  /// What remains, without the program's name.
  std::vector<std::string> positional;
  /// Why the command line is refused; empty when it is good.
  std::string problem;
  bool help = false;
  bool version = false;
};

/// Sets the Abseil flags that the program declares from `--name=value`, `--name
/// value`, `--name` and `--noname`; "--" ends them, and a dash within a name is
/// as good as its underscore. absl::ParseCommandLine does
/// the same but exits by itself, with 1 on bad usage and on --help, where our
/// programs give 2 and 0.
CommandLine ParseCommandLine(int argc, const char* const* argv);

/// The flags that the program declares, one a line, with defaults.
std::string FlagsHelp();

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_FLAGS_H_
