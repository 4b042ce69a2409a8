// Compaction: gangs for which enough capacity is free but scattered get a place
// by moving other gangs.

#include <algorithm>
#include <utility>

#include "placement/internal/planner_impl.h"

namespace lapishatch::placement {

using internal::Offers;
using internal::Place;
using internal::WorkerIndex;

namespace {

/// Interval between searches for moves: a search is expensive, and searching
/// rarely has no drawback.
constexpr base::Duration kCompactionInterval{10'000};

/// Maximum number of waiting gangs examined in each run.
constexpr std::size_t kMaxGangsExamined = 16;

/// Maximum number of workers examined in each run: in larger cells fewer gangs
/// are examined, and for those only some of the racks, in rotation.
constexpr int kMaxWorkersExamined = 2'600;

/// Maximum number of gangs moved for one waiting gang.
constexpr std::size_t kMaxGangsMoved = 64;

}  // namespace

void Planner::Impl::Compact(base::TimePoint now) {
  if (queue_.size() == 0 || now < next_compaction_) return;
  next_compaction_ = now + kCompactionInterval;
  const int free = free_accelerators();
  std::vector<GangState*> waiting;
  for (const auto& job : queue_.OldestOfEachKind()) {
    auto* it = FindGang(job);
    if (!internal::MayBorrow(it->gang) || !IsWithinLimit(*it)) continue;
    if (it->gang.accelerators() > free || job == reservation_.job) continue;
    waiting.push_back(it);
  }
  // Examines only the oldest gangs, so that a long queue does not slow
  // decisions down.
  const auto most = std::min(
      waiting.size(),
      std::clamp<std::size_t>(kMaxWorkersExamined / std::max(1, cell_.size()),
                              1, kMaxGangsExamined));
  const auto end = waiting.begin() + static_cast<std::ptrdiff_t>(most);
  std::partial_sort(waiting.begin(), end, waiting.end(), [](auto* a, auto* b) {
    return std::pair(a->queued, a->gang.job) <
           std::pair(b->queued, b->gang.job);
  });
  waiting.resize(most);
  const auto racks = NextRacks();
  for (auto* it : waiting) {
    if (!TryCompact(*it, racks, now)) continue;
    queue_.Remove(it->gang);
    return;
  }
}

std::vector<internal::RackIndex> Planner::Impl::NextRacks() {
  std::vector<internal::RackIndex> racks;
  int workers = 0;
  for (int n = 0; n < cell_.racks() && workers < kMaxWorkersExamined; ++n) {
    last_rack_ = (last_rack_ + 1) % cell_.racks();
    racks.push_back(last_rack_);
    workers += static_cast<int>(cell_.InRack(last_rack_).size());
  }
  return racks;
}

bool Planner::Impl::TryCompact(GangState& gang,
                               const std::vector<internal::RackIndex>& racks,
                               base::TimePoint now) {
  auto place = CheapestPlace(gang, Victims::kMovable, racks, now);
  if (place.empty()) return false;
  // A first estimate avoids the expensive search for victims.
  double estimate = 0;
  for (const auto& it : place) {
    estimate += EvictionCost(it.worker, it.total(), Victims::kMovable, now);
  }
  if (estimate > AcceptedLoss(gang, now)) return false;
  const auto eviction_plan = PlanEvictions(place, Victims::kMovable, now);
  if (!eviction_plan.possible ||
      eviction_plan.victims.size() > kMaxGangsMoved) {
    return false;
  }
  if (eviction_plan.lost_work > AcceptedLoss(gang, now)) return false;
  if (!FitElsewhere(eviction_plan.victims, place)) return false;
  gang.place = std::move(place);
  StartOrClaim(gang, eviction_plan,
               "it can run elsewhere, and its place completes one for job " +
                   gang.gang.job.str(),
               now);
  return true;
}

bool Planner::Impl::FitElsewhere(const std::vector<GangState*>& gangs,
                                 const Place& place) const {
  Offers offers(cell_.size());
  for (WorkerIndex it = 0; it < cell_.size(); ++it) {
    if (!cell_.at(it).in_reservation) {
      offers[it].accelerators = cell_.at(it).available();
    }
  }
  for (const auto& it : place) offers[it.worker].accelerators = 0;
  const auto finder = MakeFinder();
  for (const auto* gang : gangs) {
    const auto found = finder.Find(gang->gang, gang->gang.adjacency, offers);
    if (found.empty()) return false;
    for (const auto& it : found) {
      offers[it.worker].accelerators -= it.total();
    }
  }
  return true;
}

int Planner::Impl::ReclaimableOn(WorkerIndex index, Victims allowed) const {
  if (!cell_.at(index).schedulable()) return 0;
  int reclaimable = cell_.at(index).free_after_pending();
  for (const auto* it : gangs_by_worker_[index]) {
    if (CanBeVictim(*it, allowed)) reclaimable += it->charge_on(index);
  }
  return reclaimable;
}

Place Planner::Impl::CheapestPlace(
    const GangState& gang, Victims allowed,
    const std::vector<internal::RackIndex>& racks, base::TimePoint now) const {
  const auto charges = cell_.ChargesByType(gang.gang.needs);
  Offers offers(cell_.size());
  for (const auto rack : racks) {
    for (const auto it : cell_.InRack(rack)) {
      offers[it].accelerators = ReclaimableOn(it, allowed);
      const int need = std::min(offers[it].accelerators,
                                gang.gang.tasks * charges[cell_.at(it).type]);
      offers[it].cost = EvictionCost(it, need, allowed, now);
    }
  }
  return MakeFinder().Find(gang.gang, gang.gang.adjacency, offers);
}

}  // namespace lapishatch::placement
