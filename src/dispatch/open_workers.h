#ifndef LAPISHATCH_DISPATCH_OPEN_WORKERS_H_
#define LAPISHATCH_DISPATCH_OPEN_WORKERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/base.h"
#include "dispatch/fleet.h"

namespace lapishatch::dispatch {

/// The workers of a fleet that may get new tasks, sorted by what is free on
/// them and by rack, so that a search for places looks only at workers that may
/// have them. Made for one round of decisions: which workers are open must not
/// change while it is used, and no worker may be added or removed; what is free
/// on them may.
class OpenWorkers {
 public:
  using List = std::vector<const FleetWorker*>;

  /// Notes in each open worker which rack is its.
  explicit OpenWorkers(Fleet& fleet);

  /// Calls `visit` with each worker on which at least `accelerators` are free,
  /// in no order. Costs one step a worker that has them, or had them when they
  /// were last looked for.
  template <typename Visit>
  void VisitWithFree(std::int64_t accelerators, Visit visit) {
    for (auto i = LevelOf(accelerators); i < by_free_.size(); ++i) {
      auto& level = by_free_[i];
      for (std::size_t k = 0; k < level.size();) {
        const auto* worker = level[k];
        const auto now = LevelOf(worker->Free().accelerators);
        if (now != i) {
          // Room that was taken or given back since: moved to its level, to be
          // seen there if that is still to come.
          level[k] = level.back();
          level.pop_back();
          by_free_[now].push_back(worker);
          if (now < i && worker->Free().accelerators >= accelerators) {
            visit(*worker);
          }
          continue;
        }
        visit(*worker);
        ++k;
      }
    }
  }

  /// By name.
  const List& all() const { return all_; }

  /// By rack, then by name.
  const std::map<base::RackName, List>& racks() const { return racks_; }

  /// Accelerators that were free on a worker's rack when this was made.
  std::int64_t FreeOnRack(const FleetWorker& worker) const {
    return free_on_rack_[worker.rack_index];
  }

  /// Accelerators of all of them, and those that were free when this was made.
  std::int64_t accelerators() const { return accelerators_; }
  std::int64_t free_accelerators() const { return free_accelerators_; }

  /// Whether any is suspect, and whether any is not.
  bool has_suspects() const { return has_doubted_; }
  bool has_sound() const { return has_sound_; }

 private:
  /// Workers with more free accelerators share the last level.
  static constexpr std::size_t kMostLevel = 16;

  static std::size_t LevelOf(std::int64_t accelerators) {
    if (accelerators <= 0) return 0;
    const auto level = static_cast<std::size_t>(accelerators);
    return level < kMostLevel ? level : kMostLevel;
  }

  List all_;
  std::map<base::RackName, List> racks_;
  std::vector<List> by_free_;
  std::vector<std::int64_t> free_on_rack_;
  std::int64_t accelerators_ = 0;
  std::int64_t free_accelerators_ = 0;
  bool has_doubted_ = false;
  bool has_sound_ = false;
};

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_OPEN_WORKERS_H_
