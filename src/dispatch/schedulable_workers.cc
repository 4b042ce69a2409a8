#include "dispatch/schedulable_workers.h"

#include <algorithm>
#include <unordered_map>

namespace lapishatch::dispatch {

SchedulableWorkers::SchedulableWorkers(Fleet& fleet)
    : buckets_(kMaxBucket + 1) {
  all_.reserve(fleet.workers().size());
  std::unordered_map<base::RackName, std::size_t> indices;
  for (auto& [name, worker] : fleet.workers()) {
    if (!worker.is_schedulable) continue;
    all_.push_back(&worker);
    const auto [it, is_new] =
        indices.try_emplace(worker.rack, free_on_rack_.size());
    if (is_new) free_on_rack_.push_back(0);
    worker.rack_index = it->second;
    racks_[worker.rack].push_back(&worker);
    // Negative if the capacity was reduced below what tasks use there.
    const auto free = std::max<std::int64_t>(worker.Free().accelerators, 0);
    free_on_rack_[worker.rack_index] += free;
    buckets_[BucketOf(free)].push_back(&worker);
    total_capacity_ += worker.capacity;
    free_accelerators_ += free;
    has_risky_ = has_risky_ || worker.IsRisky();
    has_safe_ = has_safe_ || !worker.IsRisky();
  }
}

}  // namespace lapishatch::dispatch
