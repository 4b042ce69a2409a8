#ifndef LAPISHATCH_DISPATCH_SCHEDULABLE_WORKERS_H_
#define LAPISHATCH_DISPATCH_SCHEDULABLE_WORKERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/base.h"
#include "dispatch/fleet.h"

namespace lapishatch::dispatch {

/// The workers of a fleet that accept new tasks, indexed by rack and by free
/// accelerators, so that a search for a placement visits only workers that may
/// have room. Built for one scheduling round: while it is used, workers must
/// not be added, removed or change whether they are schedulable. Their free
/// resources may change.
class SchedulableWorkers {
 public:
  using List = std::vector<const FleetWorker*>;

  /// Sets `rack_index` of each schedulable worker.
  explicit SchedulableWorkers(Fleet& fleet);

  /// Calls `visit` with each worker that has at least `accelerators` free, in
  /// no particular order. Takes linear time in the number of workers in the
  /// buckets visited; workers whose free accelerators have changed since the
  /// last visit are moved to their current bucket.
  template <typename Visit>
  void VisitWithFree(std::int64_t accelerators, Visit visit) {
    for (auto i = BucketOf(accelerators); i < buckets_.size(); ++i) {
      auto& bucket = buckets_[i];
      for (std::size_t k = 0; k < bucket.size();) {
        const auto* worker = bucket[k];
        const auto now = BucketOf(worker->Free().accelerators);
        if (now != i) {
          // The number of free accelerators has changed since the last visit.
          // Moves the worker to its current bucket, where it is visited if that
          // bucket is still to come.
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

  /// Sorted by name.
  const List& all() const { return all_; }

  /// Grouped by rack, and sorted by name within each rack.
  const std::map<base::RackName, List>& racks() const { return racks_; }

  /// Returns the accelerators that were free on the worker's rack when this
  /// object was built.
  std::int64_t FreeOnRack(const FleetWorker& worker) const {
    return free_on_rack_[worker.rack_index];
  }

  /// Total capacity of these workers.
  const jobs::Resources& total_capacity() const { return total_capacity_; }
  std::int64_t total_accelerators() const {
    return total_capacity_.accelerators;
  }

  /// Accelerators that were free when this object was built.
  std::int64_t free_accelerators() const { return free_accelerators_; }

  /// Whether any worker is risky, and whether any is not.
  bool has_risky() const { return has_risky_; }
  bool has_safe() const { return has_safe_; }

 private:
  /// Workers with this many free accelerators or more share the last bucket.
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
  jobs::Resources total_capacity_;
  std::int64_t free_accelerators_ = 0;
  bool has_risky_ = false;
  bool has_safe_ = false;
};

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_SCHEDULABLE_WORKERS_H_
