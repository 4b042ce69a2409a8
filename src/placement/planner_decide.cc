// Order of decisions, and placement of borrowed work.

#include <algorithm>
#include <map>
#include <utility>

#include "placement/internal/planner_impl.h"

namespace lapishatch::placement {

using internal::GangPhase;
using internal::Offers;
using internal::Place;

namespace {

/// Placement cost, in the units of PlaceFinder, of borrowed work on capacity
/// from which it is evicted when the owner needs it.
constexpr double kGuaranteedCapacityCost = 1;
/// The same for work that then starts again from the beginning.
constexpr double kGuaranteedCapacityRestartCost = 8;
/// Whether the gang may use reserved capacity: evicting it must cost little.
bool MayBackfill(const Gang& gang) {
  return gang.checkpointable || gang.work_class == base::WorkClass::kUrgent;
}

/// Placement cost of work on capacity from which it is evicted for a starving
/// gang.
constexpr double kBackfillCost = 100;

}  // namespace

std::vector<Decision> Planner::Impl::Decide(base::TimePoint now) {
  decisions_.clear();
  RefuseImpossible();
  RelieveOverloadedWorkers(now);
  StartClaimed(now);
  PlaceStarvingGang(now);
  PlaceQueued(now);
  Compact(now);
  // Gangs that gave up their guarantee may have freed capacity for other
  // blocks.
  book_.Repair();
  return std::move(decisions_);
}

void Planner::Impl::RefuseImpossible() {
  if (!recheck_feasibility_) return;
  recheck_feasibility_ = false;
  for (const auto& it : queue_.All()) {
    const auto gang = gangs_.find(it.job);
    auto reason = RefusalReason(gang->second.gang);
    if (reason.empty()) continue;
    decisions_.push_back(RefuseGang{it.job, std::move(reason)});
    queue_.Remove(gang->second.gang);
    gangs_.erase(gang);
  }
}

void Planner::Impl::StartClaimed(base::TimePoint now) {
  const auto awaiting_capacity = awaiting_capacity_;
  // Claims are served in order: capacity that an earlier gang waits for is not
  // given to a later one, so that no gang waits longer than its own victims
  // take to stop.
  std::map<internal::WorkerIndex, int> claimed_earlier;
  for (auto* it : awaiting_capacity) {
    const bool free =
        std::all_of(it->place.begin(), it->place.end(), [&](const auto& slot) {
          const auto& worker = cell_.at(slot.worker);
          return worker.used + claimed_earlier[slot.worker] + slot.total() <=
                 worker.capacity;
        });
    if (!free) {
      for (const auto& slot : it->place) {
        claimed_earlier[slot.worker] += slot.total();
      }
      continue;
    }
    // The claim becomes an allocation in the same blocks.
    const auto uses = std::exchange(it->block_uses, {});
    ReleaseClaim(*it);
    it->block_uses = uses;
    Start(*it, now);
  }
}

bool Planner::Impl::IsPhysicallyFree(const Place& place) const {
  return std::all_of(place.begin(), place.end(), [&](const auto& it) {
    const auto& worker = cell_.at(it.worker);
    return worker.schedulable() &&
           worker.used + worker.claimed + it.total() <= worker.capacity;
  });
}

void Planner::Impl::Start(GangState& gang, base::TimePoint now) {
  gang.phase = GangPhase::kRunning;
  gang.started = now;
  gang.last_checkpoint = now;
  gang.accelerator_masks.clear();
  gang.memory_mb.clear();
  gang.usage_reports = 0;
  AllocatePlace(gang);
  decisions_.push_back(StartGang{gang.gang.job, PlacementOf(gang)});
}

void Planner::Impl::StartOrClaim(GangState& gang,
                                 const EvictionPlan& eviction_plan,
                                 const std::string& reason,
                                 base::TimePoint now) {
  for (auto* it : eviction_plan.victims) {
    if (it->phase == GangPhase::kAwaitingCapacity) {
      ReturnToQueue(*it);
    } else {
      Evict(*it, gang.gang.job, reason);
    }
  }
  if (IsPhysicallyFree(gang.place)) {
    Start(gang, now);
  } else {
    ClaimPlace(gang);
  }
}

bool Planner::Impl::IsWithinLimit(const GangState& gang) const {
  const auto it = accounts_.find(gang.gang.organisation);
  if (it == accounts_.end()) return true;
  const auto& limit = it->second.share.running_accelerators_limit;
  return !limit.has_value() ||
         it->second.running + gang.gang.accelerators() <= *limit;
}

double Planner::Impl::ShareOf(
    const base::OrganisationName& organisation) const {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end()) return 0;
  return it->second.borrowed / std::max(it->second.share.weight, 1e-9);
}

void Planner::Impl::PlaceQueued(base::TimePoint now) {
  queue_.Visit(
      now, generation_,
      [&](const auto& organisation) { return ShareOf(organisation); },
      [&](const base::JobName& job) {
        auto& gang = *FindGang(job);
        if (!IsWithinLimit(gang) || !TryPlace(gang, now)) return false;
        queue_.Remove(gang.gang);
        return true;
      });
}

bool Planner::Impl::TryPlace(GangState& gang, base::TimePoint now) {
  // Placements that evict no gang are tried first.
  return TryGuaranteed(gang, /*may_evict=*/false, now) ||
         TryBorrow(gang, now) || TryGuaranteed(gang, /*may_evict=*/true, now) ||
         TryTakeOverBlock(gang, now);
}

internal::PlaceFinder Planner::Impl::MakeFinder() const {
  return internal::PlaceFinder(cell_, target_shape_);
}

Offers Planner::Impl::OffersToBorrow(const GangState& gang) const {
  const bool holds_reservation = gang.gang.job == reservation_.job;
  const bool may_backfill = holds_reservation || MayBackfill(gang.gang);
  Offers offers(cell_.size());
  for (internal::WorkerIndex it = 0; it < cell_.size(); ++it) {
    const auto& worker = cell_.at(it);
    if (worker.in_reservation && !may_backfill) continue;
    offers[it].accelerators = worker.available();
    if (worker.slack() < worker.available()) {
      offers[it].cost = gang.gang.checkpointable
                            ? kGuaranteedCapacityCost
                            : kGuaranteedCapacityRestartCost;
    }
    if (worker.in_reservation && !holds_reservation) {
      offers[it].cost += kBackfillCost;
    }
  }
  return offers;
}

Planner::Impl::BorrowKey Planner::Impl::BorrowKeyOf(const Gang& gang) {
  const auto& needs = gang.needs;
  return {.tasks = gang.tasks,
          .accelerators = needs.accelerators,
          .cores = needs.cores,
          .memory_mb = needs.memory_mb,
          .adjacency = gang.adjacency,
          .may_backfill = MayBackfill(gang)};
}

bool Planner::Impl::HasFailedToBorrow(const GangState& gang) {
  // Starting gangs only reduces free capacity, so a failure stays valid until
  // the generation changes.
  if (borrow_generation_ != generation_) {
    borrow_generation_ = generation_;
    borrow_failures_.clear();
  }
  return borrow_failures_.contains(BorrowKeyOf(gang.gang));
}

bool Planner::Impl::TryBorrow(GangState& gang, base::TimePoint now) {
  if (!internal::MayBorrow(gang.gang)) return false;
  const bool holds_reservation = gang.gang.job == reservation_.job;
  if (!holds_reservation && HasFailedToBorrow(gang)) return false;
  auto place =
      MakeFinder().Find(gang.gang, gang.gang.adjacency, OffersToBorrow(gang));
  if (place.empty()) {
    if (!holds_reservation) borrow_failures_.insert(BorrowKeyOf(gang.gang));
    return false;
  }
  gang.place = std::move(place);
  gang.backfill =
      !holds_reservation &&
      std::any_of(gang.place.begin(), gang.place.end(), [&](const auto& it) {
        return cell_.at(it.worker).in_reservation;
      });
  Start(gang, now);
  return true;
}

}  // namespace lapishatch::placement
