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
  /// Where settings and logs of the processes go.
  std::string folder;
  std::uint64_t seed = 1;
  /// For how long jobs come and faults begin.
  base::Duration length{15'000};
  int processes = 4;
  int workers = 12;
};

struct SoakReport {
  /// Promises that were broken, in order; empty for a good run.
  std::vector<std::string> broken;
  int accepted = 0;
  int refused = 0;
  /// Neither accepted nor refused, as far as their callers were told.
  int unknown = 0;
  int faults = 0;
};

/// Plays one random run of real processes against the platform's stand-in:
/// callers hand in, ask for and cancel jobs while processes are stopped,
/// paused, killed and restarted by signals, their ways to the store and to
/// workers are cut, silenced and reset by relays, the store loses answers,
/// carries writes out late, is busy and forgets its history, and workers hang,
/// fail, leave and crash. Checks what callers and workers see:
///
/// - no task runs twice at once, after an acknowledged good end, or over a
///   worker's room;
/// - a job whose caller was always told that it has not run never runs;
/// - an accepted job is known to whoever asks, and ends;
/// - a completed job's tasks have run, and a cancelled one's are gone.
///
/// The same seed gives the same jobs and faults; real time decides the rest.
SoakReport PlaySoak(const SoakOptions& options);

}  // namespace lapishatch::soak

#endif  // LAPISHATCH_TESTING_SOAK_SOAK_H_
