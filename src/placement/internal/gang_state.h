#ifndef LAPISHATCH_PLACEMENT_INTERNAL_GANG_STATE_H_
#define LAPISHATCH_PLACEMENT_INTERNAL_GANG_STATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "placement/gang.h"
#include "placement/internal/guarantee_book.h"
#include "placement/internal/place_finder.h"

namespace lapishatch::placement::internal {

enum class GangPhase : std::uint8_t {
  /// In the queue.
  kQueued,
  /// Has claimed a place and waits until the gangs evicted for it have ended.
  kAwaitingCapacity,
  kRunning,
  /// Ordered to stop; keeps its place until ReportEnded.
  kEvicting,
};

/// The planner's state of one gang.
struct GangState {
  /// As submitted, except that needs are raised to the measured use.
  Gang gang;
  GangPhase phase = GangPhase::kQueued;
  /// Empty while queued.
  Place place;
  /// The accelerators of each task, in order of `place`; empty until it starts.
  std::vector<std::uint64_t> accelerator_masks;
  /// Its allocation in its organisation's guaranteed blocks; empty while
  /// borrowed.
  std::vector<BlockUse> block_uses;
  /// Time at which it last entered the queue.
  base::TimePoint queued;
  base::TimePoint started;
  /// Time of its last complete checkpoint; `started` when it has none.
  base::TimePoint last_checkpoint;
  /// Runs on capacity that is reserved for a starving gang.
  bool backfill = false;
  /// How often it was evicted before.
  int evictions = 0;
  /// Estimated memory use of its tasks on each worker of `place`, derived from
  /// per-worker reports, and the number of reports used.
  std::vector<double> memory_mb = {};
  int usage_reports = 0;
  /// Reason for its eviction.
  std::string eviction_reason;

  bool borrowed() const { return block_uses.empty(); }

  int charge() const {
    int sum = 0;
    for (const auto& it : place) sum += it.total();
    return sum;
  }

  int charge_on(WorkerIndex worker) const {
    for (const auto& it : place) {
      if (it.worker == worker) return it.total();
    }
    return 0;
  }
};

/// Whether the gang can be evicted: its work can be continued or repeated, or
/// may be lost.
inline bool IsEvictable(const Gang& gang) {
  return gang.checkpointable || gang.idempotent || gang.may_be_lost;
}

/// Whether the gang may run on capacity that is guaranteed to others.
inline bool MayBorrow(const Gang& gang) {
  return gang.allow_borrowing && IsEvictable(gang);
}

}  // namespace lapishatch::placement::internal

#endif  // LAPISHATCH_PLACEMENT_INTERNAL_GANG_STATE_H_
