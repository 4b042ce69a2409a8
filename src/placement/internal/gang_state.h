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
  /// Has a place, and waits until the gangs evicted for it have ended.
  kArriving,
  kRunning,
  /// Told to stop; holds its place until Ended.
  kEvicting,
};

/// Everything the planner knows of one gang.
struct GangState {
  Gang gang;
  GangPhase phase = GangPhase::kQueued;
  /// Empty while queued.
  Place place;
  std::vector<std::uint64_t> masks;
  /// The room it takes in its organisation's guaranteed blocks; empty while
  /// borrowed.
  std::vector<BlockUse> uses;
  base::TimePoint started;
  /// Why it is evicted.
  std::string reason;

  bool borrowed() const { return uses.empty(); }

  int charge() const {
    int sum = 0;
    for (const auto& it : place) sum += it.total();
    return sum;
  }
};

/// Whether stopping the gang loses nothing for good.
inline bool Evictable(const Gang& gang) {
  return gang.checkpoint || gang.idempotent || gang.may_be_lost;
}

/// Whether the gang may run on capacity that is guaranteed to others.
inline bool MayBorrow(const Gang& gang) {
  return gang.borrow && Evictable(gang);
}

}  // namespace lapishatch::placement::internal

#endif  // LAPISHATCH_PLACEMENT_INTERNAL_GANG_STATE_H_
