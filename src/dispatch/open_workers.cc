#include "dispatch/open_workers.h"

namespace lapishatch::dispatch {

OpenWorkers::OpenWorkers(const Fleet& fleet) : by_free_(kMostLevel + 1) {
  all_.reserve(fleet.workers().size());
  List* rack = nullptr;
  for (const auto& [name, worker] : fleet.workers()) {
    if (!worker.is_open) continue;
    all_.push_back(&worker);
    // Names of one rack often follow each other.
    const bool is_same_rack =
        rack != nullptr && rack->back()->rack == worker.rack;
    if (!is_same_rack) rack = &racks_[worker.rack];
    rack->push_back(&worker);
    const auto free = worker.Free().accelerators;
    by_free_[LevelOf(free)].push_back(&worker);
    accelerators_ += worker.capacity.accelerators;
    free_accelerators_ += free;
    has_doubted_ = has_doubted_ || worker.is_doubted;
    has_sound_ = has_sound_ || !worker.is_doubted;
  }
}

}  // namespace lapishatch::dispatch
