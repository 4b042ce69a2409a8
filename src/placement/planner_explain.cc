#include <algorithm>
#include <string>
#include <utility>

#include "placement/fragmentation.h"
#include "placement/internal/planner_impl.h"

namespace lapishatch::placement {

using internal::GangPhase;

namespace {

/// Maximum number of cached keys of gangs that fit: declared memory is part of
/// the key, so every gang may have a different one.
constexpr std::size_t kMaxCachedShapes = 4096;

std::string Plural(int n, const std::string& noun) {
  return std::to_string(n) + " " + noun + (n == 1 ? "" : "s");
}

std::string AdjacencyText(Adjacency adjacency) {
  switch (adjacency) {
    case Adjacency::kWorker:
      return "on one worker";
    case Adjacency::kRack:
      return "in one rack";
    case Adjacency::kDomain:
      return "in this failure domain";
  }
  return {};
}

std::string NeedText(const Gang& gang) {
  return Plural(gang.tasks, "task") + " with " +
         Plural(gang.needs.accelerators, "accelerator") + ", " +
         Plural(gang.needs.cores, "core") + " and " +
         std::to_string(gang.needs.memory_mb) + " MB each, " +
         AdjacencyText(gang.adjacency);
}

}  // namespace

std::string Planner::Impl::RefusalReason(const Gang& gang) const {
  if (gang.tasks < 1) return "a gang needs at least one task";
  auto reason = HardwareRefusalReason(gang);
  if (!reason.empty()) return reason;
  const auto it = accounts_.find(gang.organisation);
  if (it != accounts_.end()) {
    const auto& limit = it->second.share.running_accelerators_limit;
    if (limit.has_value() && gang.accelerators() > *limit) {
      return "needs " + Plural(gang.accelerators(), "accelerator") +
             " at once, but organisation " + gang.organisation.str() +
             " may have only " + std::to_string(*limit) + " running";
    }
  }
  if (internal::MayBorrow(gang)) return {};
  return GuaranteeRefusalReason(gang);
}

std::string Planner::Impl::HardwareRefusalReason(const Gang& gang) const {
  const auto key = BorrowKeyOf(gang);
  if (fits_empty_cell_.contains(key)) return {};
  const auto charges = cell_.ChargesByType(gang.needs);
  internal::Offers offers(cell_.size());
  const WorkerSpec* largest = nullptr;
  bool task_fits = false;
  int workers = 0;
  for (internal::WorkerIndex it = 0; it < cell_.size(); ++it) {
    const auto& worker = cell_.at(it);
    if (!worker.present) continue;
    ++workers;
    offers[it].accelerators = worker.capacity;
    task_fits |= charges[worker.type] <= worker.capacity;
    if (largest == nullptr || worker.capacity > largest->accelerators) {
      largest = &cell_.spec(it);
    }
  }
  if (largest == nullptr) return "this cell has no workers";
  if (!task_fits) {
    return "one task needs " + Plural(gang.needs.accelerators, "accelerator") +
           ", " + Plural(gang.needs.cores, "core") + " and " +
           std::to_string(gang.needs.memory_mb) +
           " MB, but the largest worker has " +
           Plural(largest->accelerators, "accelerator") + ", " +
           Plural(largest->cores, "core") + " and " +
           std::to_string(largest->memory_mb) + " MB";
  }
  if (!MakeFinder().Find(gang, gang.adjacency, offers).empty()) {
    if (fits_empty_cell_.size() >= kMaxCachedShapes) fits_empty_cell_.clear();
    fits_empty_cell_.insert(key);
    return {};
  }
  return "needs " + NeedText(gang) +
         ", and even without any other work there is no room for that: the "
         "cell has " +
         Plural(workers, "worker") + " in " + Plural(cell_.racks(), "rack");
}

std::string Planner::Impl::GuaranteeRefusalReason(const Gang& gang) const {
  const std::string no_borrowing_reason =
      gang.allow_borrowing
          ? "its work can neither be checkpointed nor run again, so it "
            "may not run on capacity that others can reclaim (unless "
            "it is submitted as work that may be lost)"
          : "it is submitted with borrow = false";
  int largest = 0;
  int total = 0;
  for (const auto& it : guarantees_) {
    if (it.organisation != gang.organisation || it.count <= 0) continue;
    if (internal::ShapeHolds(cell_, it.shape, gang)) return {};
    largest = std::max(largest, it.shape.accelerators);
    total += it.shape.accelerators * it.count;
  }
  if (largest == 0) {
    return "organisation " + gang.organisation.str() +
           " has no guarantee here, and " + no_borrowing_reason;
  }
  // Several blocks together can hold a gang that need not be close together.
  const Shape together{total, Adjacency::kDomain};
  if (gang.adjacency == Adjacency::kDomain &&
      internal::ShapeHolds(cell_, together, gang)) {
    return {};
  }
  return "needs " + NeedText(gang) + ", which no guarantee of organisation " +
         gang.organisation.str() + " holds (its largest is of " +
         Plural(largest, "accelerator") + "), and " + no_borrowing_reason;
}

Explanation Planner::Impl::Explain(const base::JobName& job,
                                   base::TimePoint now) const {
  const auto* gang = FindGang(job);
  if (gang == nullptr) {
    return {"unknown job", "this cell does not know the job", 0};
  }
  if (gang->phase == GangPhase::kEvicting) {
    return {"evicting", gang->eviction_reason, 0};
  }
  if (gang->phase == GangPhase::kRunning) {
    return {"running",
            gang->borrowed()
                ? "on borrowed capacity: it is checkpointed or stopped when "
                  "the capacity's owner needs it"
                : "on its organisation's guaranteed capacity",
            0};
  }
  if (gang->phase == GangPhase::kAwaitingCapacity) {
    return {"queued",
            "has its place, and starts when the borrowed work there has "
            "stopped",
            0};
  }
  const int position = queue_.PositionOf(
      gang->gang, now,
      [&](const auto& organisation) { return ShareOf(organisation); });
  return {"queued", WaitReason(*gang), position};
}

std::string Planner::Impl::WaitReason(const GangState& gang) const {
  if (!IsWithinLimit(gang)) {
    const auto& account = accounts_.at(gang.gang.organisation);
    return "organisation " + gang.gang.organisation.str() + " has " +
           std::to_string(account.running) + " of at most " +
           std::to_string(*account.share.running_accelerators_limit) +
           " accelerators running";
  }
  std::string reason = "needs " + NeedText(gang.gang) + "; " +
                       std::to_string(free_accelerators()) +
                       " accelerators are free, but no such group";
  if (!internal::MayBorrow(gang.gang)) {
    reason += " within its organisation's own guarantee, and it may not borrow";
  }
  return reason;
}

int Planner::Impl::free_accelerators() const {
  int sum = 0;
  for (const auto& it : cell_.workers()) {
    if (it.schedulable()) sum += it.capacity - it.used;
  }
  return sum;
}

double Planner::Impl::Fragmentation(const Shape& shape) const {
  std::vector<WorkerFreeCapacity> workers;
  for (const auto& it : cell_.workers()) {
    if (!it.schedulable()) continue;
    workers.push_back({.rack = it.rack,
                       .accelerators = it.capacity,
                       .free = it.capacity - it.used});
  }
  return ComputeFragmentation(workers, shape);
}

CellSnapshot Planner::Impl::Snapshot() const {
  CellSnapshot snapshot;
  for (internal::WorkerIndex it = 0; it < cell_.size(); ++it) {
    const auto& worker = cell_.at(it);
    snapshot.workers.push_back({cell_.spec(it), worker.health, worker.present});
  }
  snapshot.guarantees = guarantees_;
  for (const auto& [job, gang] : gangs_) {
    if (gang.phase == GangPhase::kQueued) continue;
    snapshot.gangs.push_back(
        {.gang = gang.gang,
         .placement = PlacementOf(gang),
         .evicting = gang.phase == GangPhase::kEvicting,
         .awaiting_capacity = gang.phase == GangPhase::kAwaitingCapacity});
  }
  std::sort(snapshot.gangs.begin(), snapshot.gangs.end(),
            [](auto& a, auto& b) { return a.gang.job < b.gang.job; });
  for (const auto& it : book_.blocks()) {
    if (it.vacant) continue;
    BlockSnapshot block{.organisation = it.organisation,
                        .shape = it.shape,
                        .guaranteed = !it.retiring,
                        .intact = it.placed() && book_.IsIntact(it),
                        .gang_count = it.gang_count};
    for (const auto& part : it.parts) {
      block.parts.push_back({cell_.spec(part.worker).name, part.count});
    }
    snapshot.blocks.push_back(std::move(block));
  }
  return snapshot;
}

}  // namespace lapishatch::placement
