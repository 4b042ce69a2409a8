#ifndef LAPISHATCH_TESTING_SOAK_SOAK_H_
#define LAPISHATCH_TESTING_SOAK_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace lapishatch::soak {

struct SoakOptions {
  /// The program under test, lapishatch-site.
  std::string program;
  /// Folder for the settings and logs of the processes.
  std::string folder;
  std::uint64_t seed = 1;
  /// How long jobs are submitted and faults begin.
  base::Duration length{15'000};
  int processes = 4;
  int workers = 12;
};

struct SoakReport {
  /// Violated guarantees, in order; empty for a successful run.
  std::vector<std::string> violations;
  int accepted = 0;
  int refused = 0;
  /// Jobs that were neither accepted nor definitely refused.
  int unknown = 0;
  int faults = 0;
};

/// Performs one random run of real processes against the platform's stand-in.
/// Clients submit, poll and cancel jobs under these faults: signals stop,
/// pause, kill and restart processes; relays cut, silence and reset the
/// connections to the store and to workers; the store loses answers, executes
/// writes late, is busy and discards its history; workers hang, fail, leave and
/// crash. Checks these guarantees as seen by clients and workers:
///
/// - no task runs twice at once, after an acknowledged successful end, or
///   beyond the capacity of a worker;
/// - a job never runs if each of its submissions was reported as not executed;
/// - an accepted job is visible to all clients, and ends;
/// - the tasks of a completed job have run, and those of a cancelled one no
///   longer run.
///
/// The same seed gives the same jobs and faults; all else depends on real time.
SoakReport RunSoak(const SoakOptions& options);

}  // namespace lapishatch::soak

#endif  // LAPISHATCH_TESTING_SOAK_SOAK_H_
