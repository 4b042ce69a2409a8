#include "placement/internal/cell.h"

#include <bit>

namespace lapishatch::placement::internal {
namespace {

std::int64_t DivideUp(std::int64_t value, std::int64_t by) {
  return (value + by - 1) / by;
}

/// Number of accelerators whose share covers `need` of a resource of which the
/// worker has `total`.
std::int64_t AcceleratorsCovering(std::int64_t need, std::int64_t total,
                                  int accelerators) {
  if (need <= 0) return 0;
  if (total <= 0) return accelerators + 1;
  return DivideUp(need * accelerators, total);
}

std::uint64_t LowMask(int count) {
  return count >= 64 ? ~std::uint64_t{0} : (std::uint64_t{1} << count) - 1;
}

std::uint64_t LowestSetBits(std::uint64_t bits, int count) {
  std::uint64_t picked = 0;
  for (int n = 0; n < count && bits != 0; ++n) {
    const auto lowest = bits & (~bits + 1);
    picked |= lowest;
    bits &= ~lowest;
  }
  return picked;
}

bool HaveSameSize(const WorkerSpec& a, const WorkerSpec& b) {
  return a.accelerators == b.accelerators && a.cores == b.cores &&
         a.memory_mb == b.memory_mb;
}

}  // namespace

int ChargeOn(const WorkerSpec& worker, const TaskNeeds& needs) {
  const auto by_cores =
      AcceleratorsCovering(needs.cores, worker.cores, worker.accelerators);
  const auto by_memory = AcceleratorsCovering(needs.memory_mb, worker.memory_mb,
                                              worker.accelerators);
  const auto charge =
      std::max<std::int64_t>({1, needs.accelerators, by_cores, by_memory});
  return static_cast<int>(
      std::min<std::int64_t>(charge, worker.accelerators + 1));
}

std::uint64_t PickAccelerators(std::uint64_t allocated_mask, int accelerators,
                               int count) {
  if (count <= 0) return 0;
  const auto size =
      static_cast<int>(std::bit_ceil(static_cast<unsigned>(count)));
  std::uint64_t best = 0;
  int best_free = 0;
  for (int first = 0; first + size <= accelerators; first += size) {
    const auto group = LowMask(size) << first;
    const auto free = group & ~allocated_mask;
    if (std::popcount(free) < count) continue;
    if (best != 0 && std::popcount(free) >= best_free) continue;
    best = LowestSetBits(free, count);
    best_free = std::popcount(free);
  }
  if (best != 0) return best;
  return LowestSetBits(LowMask(accelerators) & ~allocated_mask, count);
}

WorkerIndex Cell::Put(const WorkerSpec& spec) {
  const auto [it, added] = by_name_.try_emplace(spec.name, size());
  const auto index = it->second;
  if (added) {
    workers_.emplace_back();
    specs_.emplace_back();
  }
  const auto [rack, new_rack] = racks_by_name_.try_emplace(spec.rack, racks());
  if (new_rack) rack_workers_.emplace_back();
  auto& worker = workers_[index];
  if (worker.rack != rack->second) {
    if (worker.rack != kNone) std::erase(rack_workers_[worker.rack], index);
    auto& members = rack_workers_[rack->second];
    members.insert(std::lower_bound(members.begin(), members.end(), index),
                   index);
  }
  specs_[index] = spec;
  worker.rack = rack->second;
  worker.type = FindOrAddType(spec);
  worker.capacity = spec.accelerators;
  worker.present = true;
  return index;
}

int Cell::largest() const {
  int largest = 0;
  for (const auto& it : types_) largest = std::max(largest, it.accelerators);
  return largest;
}

WorkerIndex Cell::Find(const base::WorkerName& name) const {
  const auto it = by_name_.find(name);
  return it == by_name_.end() ? kNone : it->second;
}

std::vector<int> Cell::ChargesByType(const TaskNeeds& needs) const {
  std::vector<int> charges;
  charges.reserve(types_.size());
  for (const auto& it : types_) charges.push_back(ChargeOn(it, needs));
  return charges;
}

int Cell::FindOrAddType(const WorkerSpec& spec) {
  for (std::size_t i = 0; i < types_.size(); ++i) {
    if (HaveSameSize(types_[i], spec)) return static_cast<int>(i);
  }
  types_.push_back(spec);
  return static_cast<int>(types_.size()) - 1;
}

}  // namespace lapishatch::placement::internal
