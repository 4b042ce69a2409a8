#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "../test/config/config_world.h"

// Changes a second, lost races, time until a change is in force everywhere, and
// reads of the table, in virtual time against a table that answers after 5 ms.
// The processor time of the logic itself is not in these figures.

namespace lapishatch::config {
namespace {

constexpr int kWriters = 8;

double At(std::vector<double> sorted, double share) {
  if (sorted.empty()) return 0;
  std::sort(sorted.begin(), sorted.end());
  const auto i =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[i];
}

void Print(const std::string& name, double value, const char* unit) {
  std::cout << name << ' ' << value << ' ' << unit << '\n';
}

double Ms(base::Duration time) { return static_cast<double>(time.count()); }

ConfigWorld& Loaded(ConfigWorld& world) {
  world.RunUntil([&] {
    return std::all_of(world.processes.begin(), world.processes.end(),
                       [](const auto& it) { return it->IsLoaded(); });
  });
  return world;
}

/// Submits jobs at every writer, `per_second` in all, for `seconds`; each is a
/// new resource, so that only the head is contended.
struct Load {
  int per_second = 100;
  int seconds = 10;
  WriterOptions writer;
  /// Jobs and organisations in turn, in place of jobs only.
  bool both_logs = false;
};

void MeasureWriters(const std::string& name, const Load& load) {
  ConfigWorld world;
  world.peers_talk = true;
  for (int i = 0; i < kWriters; ++i) world.Add({}, load.writer);
  Loaded(world);
  world.processes[0]->Change(Put(Organisation("o"), 0, Weight(1)));
  world.time.RunFor(base::Duration(3'000));
  const auto begin_commits = world.table.commits();
  std::vector<double> latencies;
  int open = 0;
  int refused = 0;
  const int total = load.per_second * load.seconds;
  const auto start = world.time.Now();
  for (int i = 0; i < total; ++i) {
    const base::Duration due(std::int64_t{1'000} * i / load.per_second);
    world.time.RunFor(due - (world.time.Now() - start));
    auto& at = *world.processes[static_cast<std::size_t>(i % kWriters)];
    const auto submitted = world.time.Now();
    const auto text = std::to_string(i);
    auto set = load.both_logs && i % 2 == 0
                   ? Put(Organisation("o" + text), 0, Weight(1))
                   : Put(Job("j" + text), 0, JobOf("o"));
    ++open;
    at.writer.Submit(std::move(set), [&, submitted](const ChangeOutcome& it) {
      --open;
      if (!IsAccepted(it)) {
        ++refused;
        return;
      }
      latencies.push_back(Ms(world.time.Now() - submitted));
    });
  }
  world.RunUntil([&] { return open == 0; });
  std::uint64_t conflicts = 0;
  for (const auto& it : world.processes) conflicts += it->writer.conflicts();
  const auto commits =
      static_cast<double>(world.table.commits() - begin_commits);
  const auto took = Ms(world.time.Now() - start) / 1'000;
  Print(name + "_accepted_per_s", static_cast<double>(latencies.size()) / took,
        "changes/s");
  Print(name + "_not_accepted", refused, "changes");
  Print(name + "_table_transactions_per_s", commits / took, "transactions/s");
  Print(name + "_lost_races_per_s", static_cast<double>(conflicts) / took,
        "transactions/s");
  Print(name + "_accept_p50", At(latencies, 0.5), "ms");
  Print(name + "_accept_p99", At(latencies, 0.99), "ms");
}

/// Time from the acceptance of a change until it is in force on every mirror,
/// and what following costs the table.
void MeasureSpread(const std::string& name, int processes, bool peers_talk,
                   bool one_reader) {
  ConfigWorld world;
  world.peers_talk = peers_talk;
  MirrorOptions options;
  if (one_reader) options.poll = options.poll_when_led;
  for (int i = 0; i < processes; ++i) {
    world.Add(i % 8 == 0 ? MirrorOptions() : options);
  }
  Loaded(world);
  const auto reads = world.table.reads();
  const auto start = world.time.Now();
  std::vector<double> times;
  LogVersion version = 0;
  for (int i = 0; i < 200; ++i) {
    auto& writer =
        *world.processes[static_cast<std::size_t>(i) % world.processes.size()];
    const auto outcome =
        writer.Change(Put(Organisation("o"), version, Weight(1.0 + i)));
    if (!IsAccepted(outcome)) continue;
    version = std::get<ChangesAccepted>(outcome).versions[0];
    const auto accepted = world.time.Now();
    world.RunUntil([&] {
      return std::all_of(world.processes.begin(), world.processes.end(),
                         [&](const auto& it) {
                           return it->mirror.version(LogId::kConfig) >= version;
                         });
    });
    times.push_back(Ms(world.time.Now() - accepted));
    // Off the step of the polls.
    world.time.RunFor(base::Duration(137 + i));
  }
  const auto took = Ms(world.time.Now() - start) / 1'000;
  Print(name + "_in_force_p50", At(times, 0.5), "ms");
  Print(name + "_in_force_p99", At(times, 0.99), "ms");
  Print(name + "_table_reads_per_s",
        static_cast<double>(world.table.reads() - reads) / took, "reads/s");
}

void MeasureAll() {
  Load load;
  MeasureWriters("config_8_writers_100_per_s", load);
  load.per_second = 400;
  MeasureWriters("config_8_writers_400_per_s", load);
  load.per_second = 1'600;
  load.seconds = 5;
  MeasureWriters("config_8_writers_1600_per_s", load);
  load.per_second = 400;
  load.seconds = 10;
  load.both_logs = true;
  MeasureWriters("config_8_writers_400_per_s_both_logs", load);
  load.both_logs = false;
  load.writer.group = 1;
  load.per_second = 100;
  MeasureWriters("config_8_writers_100_per_s_no_group", load);
  load.per_second = 400;
  MeasureWriters("config_8_writers_400_per_s_no_group", load);
  MeasureSpread("config_24_polling", 24, false, false);
  MeasureSpread("config_24_told_by_peers", 24, true, false);
  MeasureSpread("config_24_told_one_reader", 24, true, true);
}

}  // namespace
}  // namespace lapishatch::config

int main() {
  lapishatch::config::MeasureAll();
  return 0;
}
