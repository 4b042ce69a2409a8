#ifndef LAPISHATCH_PLACEMENT_WORKER_QUARANTINE_H_
#define LAPISHATCH_PLACEMENT_WORKER_QUARANTINE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/base.h"

namespace lapishatch::placement {

/// Workers kept from new work because they fail what they start: they would
/// else attract it, for they always look free. Each time is longer than the
/// one before, with jitter so that workers which failed together do not come
/// back together, and never more than a share of the cell is out at once. Pure;
/// deterministic for the same seed and history.
class WorkerQuarantine {
 public:
  struct Options {
    /// Most workers out at once, as a share of the cell, rounded down, but one
    /// at least.
    double max_share = 0.2;
    base::Duration initial_duration{60'000};
    base::Duration max_duration{3'600'000};
    /// A worker that has been well for so long starts from `initial_duration`
    /// again.
    base::Duration reset_after{7'200'000};
    std::uint64_t seed = 1;
  };

  explicit WorkerQuarantine(Options options)
      : options_(options), random_(options.seed) {}

  /// Puts a worker of a cell of `cell_size` workers out. False when too many
  /// are out already, or it is out.
  bool Add(const base::WorkerName& worker, std::size_t cell_size,
           base::TimePoint now);

  /// Workers whose time is over; they are in again.
  std::vector<base::WorkerName> ReleaseExpired(base::TimePoint now);

  /// An operator lets a worker in again, or it has left the cell.
  void Remove(const base::WorkerName& worker);

  bool Contains(const base::WorkerName& worker) const;

  std::size_t size() const { return quarantined_count_; }

  /// When the next one is released; the far future when none is out.
  base::TimePoint NextRelease() const;

 private:
  struct Entry {
    base::Backoff backoff;
    bool quarantined = false;
    /// While out: when it is released; while in: since when.
    base::TimePoint changes_at;
  };

  Options options_;
  base::Random random_;
  std::size_t quarantined_count_ = 0;
  std::map<base::WorkerName, Entry> entries_;
};

}  // namespace lapishatch::placement

#endif  // LAPISHATCH_PLACEMENT_WORKER_QUARANTINE_H_
