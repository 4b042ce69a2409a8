#ifndef LAPISHATCH_DISPATCH_SCHEDULABLE_WORKERS_H_
#define LAPISHATCH_DISPATCH_SCHEDULABLE_WORKERS_H_

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
class SchedulableWorkers {
 public:
  using List = std::vector<const FleetWorker*>;

  /// Notes in each open worker which rack is its.
  explicit SchedulableWorkers(Fleet& fleet);

  /// Calls `visit` with each worker on which at least `accelerators` are free,
  /// in no order. Costs one step a worker that has them, or had them when they
  /// were last looked for.
  template <typename Visit>
  void VisitWithFree(std::int64_t accelerators, Visit visit) {
    for (auto i = BucketOf(accelerators); i < buckets_.size(); ++i) {
      auto& bucket = buckets_[i];
      for (std::size_t k = 0; k < bucket.size();) {
        const auto* worker = bucket[k];
        const auto now = BucketOf(worker->Free().accelerators);
        if (now != i) {
          // Room that was taken or given back since: moved to its bucket, to be
          // seen there if that is still to come.
          bucket[k] = bucket.back();
          bucket.pop_back();
          buckets_[now].push_back(worker);
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
  std::int64_t total_accelerators() const { return total_accelerators_; }
  std::int64_t free_accelerators() const { return free_accelerators_; }

  /// Whether any is suspect, and whether any is not.
  bool has_risky() const { return has_risky_; }
  bool has_safe() const { return has_safe_; }

 private:
  /// Workers with more free accelerators share the last bucket.
  static constexpr std::size_t kMaxBucket = 16;

  static std::size_t BucketOf(std::int64_t accelerators) {
    if (accelerators <= 0) return 0;
    const auto bucket = static_cast<std::size_t>(accelerators);
    return bucket < kMaxBucket ? bucket : kMaxBucket;
  }

  List all_;
  std::map<base::RackName, List> racks_;
  std::vector<List> buckets_;
  std::vector<std::int64_t> free_on_rack_;
  std::int64_t total_accelerators_ = 0;
  std::int64_t free_accelerators_ = 0;
  bool has_risky_ = false;
  bool has_safe_ = false;
};

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_SCHEDULABLE_WORKERS_H_
