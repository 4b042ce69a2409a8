// Reservations for gangs that have waited too long. Nothing here looks at a
// declared run time: what is reserved is freed by evicting borrowed work that
// has had its turn, if it does not end before.

#include <algorithm>
#include <utility>

#include "placement/internal/planner_impl.h"

namespace lapishatch::placement {

using internal::GangState;
using internal::Rooms;
using internal::WorkerIndex;

void Planner::Impl::ServeStarving(base::TimePoint now) {
  if (!ReservationStands()) DropReservation();
  GangState* gang = nullptr;
  if (!reservation_.job.empty()) {
    gang = FindGang(reservation_.job);
  } else {
    gang = OldestStarving(now);
    if (gang == nullptr || !Reserve(*gang, now)) return;
  }
  const auto done = [&] {
    queue_.Remove(gang->gang);
    DropReservation();
  };
  if (TryPlace(*gang, now)) return done();
  const auto clearing = Clear(reservation_.place, now);
  if (!clearing.possible) return;
  const bool all_had_their_turn =
      std::all_of(clearing.victims.begin(), clearing.victims.end(),
                  [&](const auto* it) { return HasRunItsTurn(*it, now); });
  if (!all_had_their_turn) return;
  gang->place = reservation_.place;
  StartOrClaim(*gang, clearing,
               "job " + gang->gang.job.str() +
                   " has waited too long for a place of this size",
               now);
  done();
}

GangState* Planner::Impl::OldestStarving(base::TimePoint now) {
  GangState* oldest = nullptr;
  for (const auto& job : queue_.Heads()) {
    auto* it = FindGang(job);
    if (now - it->queued < options_.starvation_after) continue;
    if (!internal::MayBorrow(it->gang) || !WithinLimit(*it)) continue;
    if (oldest != nullptr && std::pair(oldest->queued, oldest->gang.job) <=
                                 std::pair(it->queued, it->gang.job)) {
      continue;
    }
    oldest = it;
  }
  return oldest;
}

bool Planner::Impl::Reserve(GangState& gang, base::TimePoint now) {
  const auto charges = cell_.ChargesOf(gang.gang.needs);
  Rooms rooms(cell_.size());
  for (WorkerIndex it = 0; it < cell_.size(); ++it) {
    const auto& worker = cell_.at(it);
    int room = worker.open() ? worker.left() : 0;
    if (worker.open()) {
      for (const auto* other : on_worker_[it]) {
        const bool can_stop =
            other->borrowed() && other->phase == internal::GangPhase::kRunning;
        if (can_stop) room += other->charge_on(it);
      }
    }
    rooms[it].accelerators = std::min(room, worker.unpinned());
    const int need = std::min(rooms[it].accelerators,
                              gang.gang.tasks * charges[worker.type]);
    rooms[it].cost = ClearingCost(it, need, now);
  }
  auto place = Finder().Find(gang.gang, gang.gang.adjacency, rooms);
  if (place.empty()) return false;
  reservation_ = {gang.gang.job, std::move(place)};
  for (const auto& it : reservation_.place) cell_.at(it.worker).held = true;
  return true;
}

void Planner::Impl::DropReservation() {
  if (reservation_.job.empty()) return;
  for (const auto& it : reservation_.place) cell_.at(it.worker).held = false;
  reservation_ = {};
  Changed();
}

bool Planner::Impl::ReservationStands() const {
  if (reservation_.job.empty()) return true;
  const auto* gang = FindGang(reservation_.job);
  if (gang == nullptr || gang->phase != internal::GangPhase::kQueued) {
    return false;
  }
  // Guaranteed work may have taken what was reserved.
  return std::all_of(reservation_.place.begin(), reservation_.place.end(),
                     [&](const auto& it) {
                       return cell_.at(it.worker).unpinned() >= it.total();
                     });
}

bool Planner::Impl::HasRunItsTurn(const GangState& gang,
                                  base::TimePoint now) const {
  if (gang.phase == internal::GangPhase::kArriving) return true;
  // Twice as long after every eviction, so that each gang runs to its end at
  // last, however long that takes.
  const int doublings = std::min(gang.evictions, 16);
  const auto turn = options_.starvation_after * (1 << doublings);
  return now - gang.started >= turn;
}

}  // namespace lapishatch::placement
