/// lapishatch-soak: random faults against real processes on loopback.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <stdlib.h>

#include <filesystem>
#include <iostream>
#include <string>

#include "base/base.h"
#include "soak/soak.h"

ABSL_FLAG(std::string, program, "",
          "The program under test; empty: lapishatch-site beside this one.");
ABSL_FLAG(std::uint64_t, seed, 1,
          "Of the first run; each next one has 1 more.");
ABSL_FLAG(int, runs, 1, "How many runs, one after another.");
ABSL_FLAG(int, seconds, 15, "For how long jobs come and faults begin, a run.");
ABSL_FLAG(int, processes, 4, "Processes under test.");
ABSL_FLAG(int, workers, 12, "Workers of the stand-in.");
ABSL_FLAG(bool, keep, false, "Keeps settings and logs of good runs.");

namespace lapishatch::soak {
namespace {

namespace fs = std::filesystem;

std::string MakeTemporaryFolder() {
  auto name = (fs::temp_directory_path() / "lapishatch-soak-XXXXXX").string();
  return ::mkdtemp(name.data()) == nullptr ? std::string() : name;
}

/// Performs one run and prints its result; returns false if a guarantee was
/// violated.
bool RunOne(const std::string& program, std::uint64_t seed) {
  SoakOptions options;
  options.program = program;
  options.folder = MakeTemporaryFolder();
  options.seed = seed;
  constexpr int kMsPerSecond = 1'000;
  options.length = base::Duration(absl::GetFlag(FLAGS_seconds) * kMsPerSecond);
  options.processes = absl::GetFlag(FLAGS_processes);
  options.workers = absl::GetFlag(FLAGS_workers);
  const auto report = RunSoak(options);
  std::cout << "seed " << seed << ": " << report.faults << " faults, "
            << report.accepted << " jobs accepted, " << report.refused
            << " refused, " << report.unknown << " unknown, "
            << report.violations.size() << " promises broken" << std::endl;
  for (const auto& it : report.violations) std::cout << "  " << it << '\n';
  if (report.violations.empty() && !absl::GetFlag(FLAGS_keep)) {
    fs::remove_all(options.folder);
  } else {
    std::cout << "  settings and logs: " << options.folder << '\n';
  }
  return report.violations.empty();
}

int Main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "plays random faults against real processes of lapishatch-site");
  absl::ParseCommandLine(argc, argv);
  // At lower severities, the log of this tool would only repeat the errors of
  // its clients.
  base::StartBoundedLog("lapishatch-soak", base::Severity::kError);
  auto program = absl::GetFlag(FLAGS_program);
  if (program.empty()) {
    program =
        (fs::read_symlink("/proc/self/exe").parent_path() / "lapishatch-site")
            .string();
  }
  int bad = 0;
  for (int i = 0; i < absl::GetFlag(FLAGS_runs); ++i) {
    const auto seed = absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(i);
    if (!RunOne(program, seed)) ++bad;
  }
  std::cout << absl::GetFlag(FLAGS_runs) << " runs, " << bad << " bad\n";
  return bad == 0 ? 0 : 1;
}

}  // namespace
}  // namespace lapishatch::soak

int main(int argc, char** argv) { return lapishatch::soak::Main(argc, argv); }
