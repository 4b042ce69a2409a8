/// lapishatch-scenario: plays scenarios with real processes on loopback.

#include <absl/flags/flag.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <boost/leaf/handle_errors.hpp>
#include <filesystem>
#include <iostream>
#include <string>
#include <thread>

#include "config/config.h"
#include "scenario/player.h"
#include "scenario/scenario_reader.h"

ABSL_FLAG(std::string, programs, "",
          "Folder with the programs; empty: the one of this program.");
ABSL_FLAG(bool, keep, false, "Keeps settings and logs of passed scenarios.");
ABSL_FLAG(bool, check, false, "Reads the files and plays nothing.");

namespace lapishatch::scenario {
namespace {

namespace fs = std::filesystem;
namespace leaf = boost::leaf;

std::string MakeFolder() {
  auto name = (fs::temp_directory_path() / "lapishatch-XXXXXX").string();
  return ::mkdtemp(name.data()) == nullptr ? std::string() : name;
}

void PrintTitle(const Scenario& scenario) {
  std::cout << "== " << scenario.title << "\n";
  if (!scenario.story.empty()) std::cout << scenario.story << "\n";
}

void PrintCluster(const ClusterSpec& spec) {
  int vms = 0;
  for (const int n : spec.entry_vms) vms += n;
  std::cout << "   up: " << spec.domains.size() << " failure domains, " << vms
            << " entry VMs (an entry and a scheduler each), per domain "
            << spec.workers << " workers and " << spec.runners
            << " runners of each of " << spec.services.size() << " services\n";
}

leaf::result<void> PlayOn(const Scenario& scenario, const ClusterPlace& place) {
  Caller caller;
  Cluster cluster(scenario.cluster, place, caller);
  BOOST_LEAF_CHECK(cluster.Start());
  PrintCluster(scenario.cluster);
  BOOST_LEAF_CHECK(Player(scenario, cluster, caller, std::cout).Play());
  const auto bad = cluster.Stop();
  for (const auto& it : bad) {
    const auto code = cluster.Find(it)->Ended();
    return leaf::new_error(StepFailed{
        it + (code ? " ended with " + std::to_string(*code) : " did not end") +
        " at the planned stop; see " + cluster.Find(it)->log()});
  }
  return {};
}

/// Whether the scenario passed.
bool Play(const Scenario& scenario, const std::string& programs) {
  PrintTitle(scenario);
  const ClusterPlace place{programs, MakeFolder()};
  const base::SteadyClock clock;
  const auto began = clock.Now();
  std::string problem;
  leaf::try_handle_all([&] { return PlayOn(scenario, place); },
                       [&](const StepFailed& it) { problem = it.text; },
                       [&](const ClusterError& it) { problem = it.text; },
                       [&] { problem = "failed for an unknown reason"; });
  const auto seconds = (clock.Now() - began).count() / 1000;
  if (!problem.empty()) {
    std::cout << "-- FAILED after " << seconds << " s: " << problem
              << "\n   settings and logs: " << place.folder << "\n\n";
    return false;
  }
  std::cout << "-- passed in " << seconds << " s\n\n";
  if (!absl::GetFlag(FLAGS_keep)) fs::remove_all(place.folder);
  return true;
}

int PlayFiles(const std::vector<std::string>& files,
              const std::string& programs) {
  int failed = 0;
  for (const auto& file : files) {
    const auto scenario = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Scenario>> {
          BOOST_LEAF_AUTO(it, ReadScenario(file));
          return std::optional<Scenario>(std::move(it));
        },
        [&](const ScenarioError& it) {
          std::cerr << file << ": " << it.text << '\n';
          return std::optional<Scenario>();
        },
        [] { return std::optional<Scenario>(); });
    if (!scenario) return config::kExitBadUsage;
    if (absl::GetFlag(FLAGS_check)) continue;
    if (!Play(*scenario, programs)) ++failed;
  }
  std::cout << files.size() - static_cast<std::size_t>(failed) << " of "
            << files.size() << " scenarios "
            << (absl::GetFlag(FLAGS_check) ? "read" : "passed") << '\n';
  return failed == 0 ? config::kExitDone : config::kExitFailed;
}

/// Ends the tool, and every process that it started, on SIGINT and SIGTERM.
/// Call before any other thread is there.
void EndOnSignals() {
  ::signal(SIGPIPE, SIG_IGN);
  sigset_t signals;
  ::sigemptyset(&signals);
  ::sigaddset(&signals, SIGINT);
  ::sigaddset(&signals, SIGTERM);
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::thread([signals] {
    int number = 0;
    ::sigwait(&signals, &number);
    KillAllChildren();
    ::_exit(config::kExitFailed);
  }).detach();
}

int Main(int argc, const char* const* argv) {
  const auto line = config::ParseCommandLine(argc, argv);
  if (line.help || line.version) {
    std::cout << "lapishatch-scenario " << LAPISHATCH_VERSION
              << ": plays scenarios with real processes on loopback\n\n"
              << "usage: lapishatch-scenario [FLAGS] FILE...\n\n"
              << config::FlagsHelp();
    return config::kExitDone;
  }
  if (!line.problem.empty() || line.positional.empty()) {
    std::cerr << "lapishatch-scenario: "
              << (line.problem.empty() ? "no file was given" : line.problem)
              << '\n';
    return config::kExitBadUsage;
  }
  EndOnSignals();
  auto programs = absl::GetFlag(FLAGS_programs);
  if (programs.empty()) {
    programs = fs::read_symlink("/proc/self/exe").parent_path().string();
  }
  return PlayFiles(line.positional, programs);
}

}  // namespace
}  // namespace lapishatch::scenario

int main(int argc, char** argv) {
  return lapishatch::scenario::Main(argc, argv);
}
