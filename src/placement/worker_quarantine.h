#ifndef LAPISHATCH_PLACEMENT_WORKER_QUARANTINE_H_
#define LAPISHATCH_PLACEMENT_WORKER_QUARANTINE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/base.h"

namespace lapishatch::placement {

/// Keeps workers that fail the tasks they start from getting new work, which
/// they would otherwise attract because they always look free. Each quarantine
/// is longer than the previous one, with jitter so that workers which failed
/// together are not released together. The share of the cell in quarantine is
/// bounded. Free of I/O; deterministic for the same seed and calls.
class WorkerQuarantine {
 public:
  struct Options {
    /// Maximum share of the cell's workers in quarantine, rounded down, but at
    /// least one worker.
    double max_share = 0.2;
    base::Duration initial_duration{60'000};
    base::Duration max_duration{3'600'000};
    /// A worker that has been out of quarantine for this long starts from
    /// `initial_duration` again.
    base::Duration reset_after{7'200'000};
    std::uint64_t seed = 1;
  };

  explicit WorkerQuarantine(Options options)
      : options_(options), random_(options.seed) {}

  /// Quarantines a worker of a cell of `cell_size` workers. Returns false when
  /// too many workers are in quarantine, or this one already is.
  bool Add(const base::WorkerName& worker, std::size_t cell_size,
           base::TimePoint now);

  /// Ends the quarantines that have expired and returns their workers.
  std::vector<base::WorkerName> ReleaseExpired(base::TimePoint now);

  /// Ends a worker's quarantine and discards its history, when an operator
  /// releases it or it has left the cell.
  void Remove(const base::WorkerName& worker);

  bool Contains(const base::WorkerName& worker) const;

  std::size_t size() const { return quarantined_count_; }

  /// Time of the next release; TimePoint::max() when no worker is in
  /// quarantine.
  base::TimePoint NextRelease() const;

 private:
  struct Entry {
    base::Backoff backoff;
    bool quarantined = false;
    /// Time of release while in quarantine, otherwise the time of the last
    /// release.
    base::TimePoint changes_at;
  };

  Options options_;
  base::Random random_;
  std::size_t quarantined_count_ = 0;
  std::map<base::WorkerName, Entry> entries_;
};

}  // namespace lapishatch::placement

#endif  // LAPISHATCH_PLACEMENT_WORKER_QUARANTINE_H_
