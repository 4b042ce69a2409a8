// Reservations for gangs that have waited too long. Nothing here looks at a
// declared run time: what is reserved is freed by evicting borrowed work that
// has had its turn, if it does not end before.

#include <algorithm>
#include <numeric>
#include <utility>

#include "placement/internal/planner_impl.h"

namespace lapishatch::placement {

using internal::GangState;
using internal::Rooms;
using internal::WorkerIndex;

namespace {

/// Accelerator seconds of lost work that are accepted for each that was waited.
constexpr double kLossPerWait = 0.1;

/// What a second of waiting counts for in normal and in urgent work, so that a
/// class waits for work of its own as long as its lost seconds weigh.
constexpr double kNormalWait = 10.0 / 3;
constexpr double kUrgentWait = 40.0 / 3;

double WaitWeight(const Gang& gang) {
  switch (gang.work_class) {
    case base::WorkClass::kUrgent:
      return kUrgentWait;
    case base::WorkClass::kNormal:
      return kNormalWait;
    case base::WorkClass::kQuiet:
      return 1;
  }
  return 1;
}

/// A gang is not stopped for a starving one before it has run so long.
constexpr base::Duration kFirstTurn{600'000};

/// Looking for a place to reserve is dear, and starving takes minutes.
constexpr base::Duration kLookEvery{10'000};

}  // namespace

void Planner::Impl::ServeStarving(base::TimePoint now) {
  if (!ReservationStands()) DropReservation();
  GangState* gang = nullptr;
  if (!reservation_.job.empty()) {
    gang = FindGang(reservation_.job);
  } else {
    if (now < next_reservation_) return;
    next_reservation_ = now + kLookEvery;
    gang = OldestStarving(now);
    if (gang == nullptr || !Reserve(*gang, now)) return;
    next_reservation_ = now;
  }
  const auto done = [&] {
    queue_.Remove(gang->gang);
    DropReservation();
  };
  if (TryPlace(*gang, now)) {
    done();
    return;
  }
  const auto clearing = Clear(reservation_.place, Victims::kBorrowed, now);
  if (!clearing.possible) return;
  const bool all_had_their_turn =
      std::all_of(clearing.victims.begin(), clearing.victims.end(),
                  [&](const auto* it) { return HasRunItsTurn(*it, now); });
  if (!all_had_their_turn || clearing.lost_work > AcceptedLoss(*gang, now)) {
    return;
  }
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
  // Every rack has its turn; only what goes across racks needs all at once.
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
  return std::all_of(
      reservation_.place.begin(), reservation_.place.end(),
      [&](const auto& it) { return Stoppable(it.worker) >= it.total(); });
}

double Planner::Impl::AcceptedLoss(const GangState& gang,
                                   base::TimePoint now) const {
  // As in renting until the rent has cost a share of buying: what is lost stays
  // in proportion to what was waited, whatever was declared. The proportion
  // grows, so that no wait is endless: work that can't be checkpointed loses
  // ever more the longer it is waited for.
  const double waited =
      std::chrono::duration<double>(now - gang.queued).count();
  const double patience =
      std::chrono::duration<double>(options_.ageing_after).count();
  const double growth = std::max(1.0, waited / std::max(patience, 1.0));
  return kLossPerWait * growth * waited * WaitWeight(gang.gang) *
         gang.gang.accelerators();
}

bool Planner::Impl::HasRunItsTurn(const GangState& gang,
                                  base::TimePoint now) const {
  if (gang.phase == internal::GangPhase::kArriving || gang.backfill) {
    return true;
  }
  // Twice as long after every eviction, so that each gang runs to its end at
  // last, however long that takes.
  const int doublings = std::min(gang.evictions, 16);
  const auto turn = kFirstTurn * (1 << doublings);
  return now - gang.started >= turn;
}

}  // namespace lapishatch::placement
