// Reservations for gangs that have waited too long. Declared run times are not
// used: reserved capacity is freed by evicting borrowed work that has run its
// minimum time, unless that work ends earlier.

#include <algorithm>
#include <numeric>
#include <utility>

#include "placement/internal/planner_impl.h"

namespace lapishatch::placement {

using internal::GangState;
using internal::Offers;
using internal::WorkerIndex;

namespace {

/// Accelerator seconds of lost work that are accepted for each accelerator
/// second of waiting.
constexpr double kLossPerWait = 0.1;

/// Weights of a second of waiting of normal and of urgent work. Both are the
/// same fraction of the weight of a lost second, so that a gang waits for work
/// of its own class in proportion to the seconds that this work loses.
constexpr double kNormalWaitWeight = 10.0 / 3;
constexpr double kUrgentWaitWeight = 40.0 / 3;

double WaitWeight(const Gang& gang) {
  switch (gang.work_class) {
    case base::WorkClass::kUrgent:
      return kUrgentWaitWeight;
    case base::WorkClass::kNormal:
      return kNormalWaitWeight;
    case base::WorkClass::kQuiet:
      return 1;
  }
  return 1;
}

/// Minimum run time before a gang may be stopped for a starving one.
constexpr base::Duration kMinimumRunTime{600'000};

/// Interval between searches for a place to reserve: a search is expensive, and
/// a gang starves only after minutes.
constexpr base::Duration kReservationInterval{10'000};

}  // namespace

void Planner::Impl::PlaceStarvingGang(base::TimePoint now) {
  if (!IsReservationValid()) DropReservation();
  GangState* gang = nullptr;
  if (!reservation_.job.empty()) {
    gang = FindGang(reservation_.job);
  } else {
    if (now < next_reservation_) return;
    next_reservation_ = now + kReservationInterval;
    gang = OldestStarving(now);
    if (gang == nullptr || !Reserve(*gang, now)) return;
    next_reservation_ = now;
  }
  const auto finish = [&] {
    queue_.Remove(gang->gang);
    DropReservation();
  };
  if (TryPlace(*gang, now)) {
    finish();
    return;
  }
  const auto eviction_plan =
      PlanEvictions(reservation_.place, Victims::kBorrowed, now);
  if (!eviction_plan.possible) return;
  const bool all_ran_minimum_time =
      std::all_of(eviction_plan.victims.begin(), eviction_plan.victims.end(),
                  [&](const auto* it) { return HasRunMinimumTime(*it, now); });
  if (!all_ran_minimum_time ||
      eviction_plan.lost_work > AcceptedLoss(*gang, now)) {
    return;
  }
  gang->place = reservation_.place;
  StartOrClaim(*gang, eviction_plan,
               "job " + gang->gang.job.str() +
                   " has waited too long for a place of this size",
               now);
  finish();
}

GangState* Planner::Impl::OldestStarving(base::TimePoint now) {
  GangState* oldest = nullptr;
  for (const auto& job : queue_.OldestOfEachKind()) {
    auto* it = FindGang(job);
    if (now - it->queued < options_.starvation_after) continue;
    if (!internal::MayBorrow(it->gang) || !IsWithinLimit(*it)) continue;
    if (oldest != nullptr && std::pair(oldest->queued, oldest->gang.job) <=
                                 std::pair(it->queued, it->gang.job)) {
      continue;
    }
    oldest = it;
  }
  return oldest;
}

bool Planner::Impl::Reserve(GangState& gang, base::TimePoint now) {
  // Racks are examined in rotation; only a gang that may span racks needs all
  // at once.
  std::vector<internal::RackIndex> racks;
  if (gang.gang.adjacency == Adjacency::kDomain) {
    racks.resize(cell_.racks());
    std::iota(racks.begin(), racks.end(), 0);
  } else {
    racks = NextRacks();
  }
  auto place = CheapestPlace(gang, Victims::kBorrowed, racks, now);
  if (place.empty()) return false;
  reservation_ = {gang.gang.job, std::move(place)};
  for (const auto& it : reservation_.place) {
    cell_.at(it.worker).in_reservation = true;
  }
  return true;
}

void Planner::Impl::DropReservation() {
  if (reservation_.job.empty()) return;
  for (const auto& it : reservation_.place) {
    cell_.at(it.worker).in_reservation = false;
  }
  reservation_ = {};
  IncrementGeneration();
}

bool Planner::Impl::IsReservationValid() const {
  if (reservation_.job.empty()) return true;
  const auto* gang = FindGang(reservation_.job);
  if (gang == nullptr || gang->phase != internal::GangPhase::kQueued) {
    return false;
  }
  // Guaranteed work may have been placed on the reserved capacity.
  return std::all_of(
      reservation_.place.begin(), reservation_.place.end(),
      [&](const auto& it) { return ReclaimableOn(it.worker) >= it.total(); });
}

double Planner::Impl::AcceptedLoss(const GangState& gang,
                                   base::TimePoint now) const {
  // As in the ski-rental problem, the accepted loss is proportional to the time
  // waited, independent of declared run times. The factor grows with the wait,
  // so that every wait ends: work that can't be checkpointed loses more the
  // longer it runs, and so the longer it is waited for.
  const double waited =
      std::chrono::duration<double>(now - gang.queued).count();
  const double ageing =
      std::chrono::duration<double>(options_.ageing_after).count();
  const double growth = std::max(1.0, waited / std::max(ageing, 1.0));
  return kLossPerWait * growth * waited * WaitWeight(gang.gang) *
         gang.gang.accelerators();
}

bool Planner::Impl::HasRunMinimumTime(const GangState& gang,
                                      base::TimePoint now) const {
  if (gang.phase == internal::GangPhase::kAwaitingCapacity || gang.backfill) {
    return true;
  }
  // The minimum run time doubles with every eviction, so that each gang
  // eventually runs to its end.
  const int doublings = std::min(gang.evictions, 16);
  const auto minimum = kMinimumRunTime * (1 << doublings);
  return now - gang.started >= minimum;
}

}  // namespace lapishatch::placement
