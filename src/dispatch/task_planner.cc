#include "dispatch/internal/task_planner.h"

#include <algorithm>
#include <utility>

#include "dispatch/internal/crash_policy.h"
#include "dispatch/internal/start_queue.h"
#include "dispatch/internal/unit_work.h"
#include "dispatch/internal/victims.h"

namespace lapishatch::dispatch::internal {
namespace {

using jobs::Resources;
using jobs::UnitPhase;

PlacementRequest RequestFor(const StepRun& run, bool allows_other_racks) {
  PlacementRequest out;
  out.step = run.step;
  out.tasks = run.TasksPerUnit();
  out.tasks_by_worker = &run.tasks_by_worker;
  out.allows_other_racks = allows_other_racks;
  return out;
}

}  // namespace

PlannerDecisions TaskPlanner::Decide(base::TimePoint now, int max_starts) {
  PlannerDecisions out;
  workers_.emplace(fleet_);
  ClearCandidates();
  starts_left_ = max_starts;
  non_urgent_starts_left_ =
      max_starts - static_cast<int>(options_.urgent_start_share * max_starts);
  guarantees_.Update(tracker_, workers_->total_capacity());
  headroom_.Update(tracker_, *workers_, now);
  const auto steps = SortedReadySteps(tracker_, guarantees_, options_, now);
  StartReserved(steps, now, out);
  for (auto* it : steps) {
    if (starts_left_ <= 0 && !guarantees_.IsGuaranteed(*it->job)) {
      out.reached_start_limit = true;
      break;
    }
    StartReady(*it, now, out);
  }
  ClearCandidates();
  workers_.reset();
  return out;
}

void TaskPlanner::ClearCandidates() {
  for (auto& it : candidates_) it.reset();
}

/// Subtracts the tasks of a unit that is being started from the remaining
/// starts. A reserved placement was not counted as free.
void TaskPlanner::CountStart(const Unit& unit, bool was_free) {
  const int tasks = unit.step_run->TasksPerUnit();
  starts_left_ -= tasks;
  non_urgent_starts_left_ -= tasks;
  if (was_free) headroom_.CountStart(unit);
}

/// Whether waiting for the preferred rack can succeed.
bool TaskPlanner::CouldFit(StepRun& run, base::TimePoint now) const {
  if (!PrefersRack(*run.step)) return true;
  if (run.fits_when_empty &&
      now - run.fit_checked_at < options_.fit_cache_time) {
    return true;
  }
  run.fits_when_empty = FitsWhenEmpty(*workers_, RequestFor(run, false));
  run.fit_checked_at = now;
  return run.fits_when_empty;
}

ReservationState TaskPlanner::GetReservationState(
    const std::vector<base::WorkerName>& placement, const Resources& needs) {
  std::map<base::WorkerName, Resources> wanted;
  for (const auto& it : placement) wanted[it] += needs;
  bool is_free = true;
  for (const auto& [name, resources] : wanted) {
    const auto* worker = fleet_.Find(name);
    if (worker == nullptr || !worker->is_schedulable) {
      return ReservationState::kInvalid;
    }
    is_free = is_free && worker->Free().Covers(resources);
  }
  return is_free ? ReservationState::kFree : ReservationState::kOccupied;
}

/// Starts units whose reserved workers have become free, or for which other
/// workers have become free: stopping preempted units takes time, and other
/// tasks end meanwhile.
void TaskPlanner::StartReserved(const std::vector<StepRun*>& steps,
                                base::TimePoint now, PlannerDecisions& out) {
  for (auto* run : steps) {
    const auto needs = ResourcesPerTask(*run->step);
    for (auto& unit : run->units) {
      if (unit.reserved.empty()) continue;
      const auto reserved = unit.reserved;
      tracker_.DropReservation(unit);
      const auto state = GetReservationState(reserved, needs);
      if (state == ReservationState::kInvalid) continue;
      std::optional<Placement> placement = reserved;
      if (state == ReservationState::kOccupied) {
        placement =
            FindPreferredPlacement(unit, RequestFor(*run, false), false);
      }
      if (!placement) {
        const bool has_new_reservation = guarantees_.IsGuaranteed(*run->job) &&
                                         IsPreemptionOverdue(unit, now) &&
                                         TryReclaim(unit, now, out);
        if (!has_new_reservation) tracker_.SetReservation(unit, reserved);
        continue;
      }
      tracker_.Plan(unit, *placement, now);
      CountStart(unit, state == ReservationState::kOccupied);
      out.starts.push_back(&unit);
    }
  }
}

/// Whether the units that were preempted for `unit` should have ended.
bool TaskPlanner::IsPreemptionOverdue(const Unit& unit,
                                      base::TimePoint now) const {
  return now - unit.reserved_at > options_.max_preemption_time;
}

void TaskPlanner::StartReady(StepRun& run, base::TimePoint now,
                             PlannerDecisions& out) {
  const bool is_guaranteed = guarantees_.IsGuaranteed(*run.job);
  const bool is_urgent = run.job->job->priority == kUrgentPriority;
  const bool is_late =
      DeadlineStatusOf(run, options_, now) != DeadlineStatus::kInTime;
  for (auto& unit : run.units) {
    if (unit.phase != UnitPhase::kWaiting || !unit.reserved.empty()) continue;
    if (VerdictOn(unit.losses, {}) == RestartVerdict::kDeferred) {
      out.deferred.push_back(&unit);
      continue;
    }
    // More start requests than workers answer in time would queue up behind
    // each other.
    const int left = is_urgent ? starts_left_ : non_urgent_starts_left_;
    if (left <= 0 && !is_guaranteed) {
      out.reached_start_limit = true;
      return;
    }
    const auto waited = now - unit.waiting_since;
    const bool is_starved =
        headroom_.is_half_free() && waited >= options_.rack_wait_limit;
    if (!is_starved && headroom_.MustLeaveFree(run, now)) return;
    const auto max_rack_wait = base::Duration(static_cast<std::int64_t>(
        options_.rack_wait_factor *
        static_cast<double>(run.step->run_time_estimate.count())));
    auto request = RequestFor(run, waited >= max_rack_wait);
    const bool is_suspect = IsSuspect(unit.losses);
    const bool has_losses = !unit.losses.empty();
    if (has_losses) request.lost_at = &unit.lost_at;
    if (is_suspect) {
      request.suspect = waited < options_.max_suspect_wait
                            ? SuspectPlacement::kIsolated
                            : SuspectPlacement::kAwayFromCrashes;
    }
    if (is_urgent && is_late) request.allows_other_racks = true;
    if (is_guaranteed && waited >= options_.guaranteed_rack_wait) {
      request.allows_other_racks = true;
    }
    const bool gives_up_rack =
        headroom_.is_half_free() &&
        waited >= options_.rack_wait_limit + options_.max_preemption_time;
    if (gives_up_rack) request.allows_other_racks = true;
    auto placement = FindPreferredPlacement(unit, request, is_starved);
    if (!placement && request.suspect == SuspectPlacement::kAwayFromCrashes) {
      request.suspect = SuspectPlacement::kAnywhere;
      placement = FindPreferredPlacement(unit, request, is_starved);
    }
    if (!placement && has_losses && MayReturnToLosses(unit, request, now)) {
      request.lost_at = nullptr;
      placement = FindPreferredPlacement(unit, request, is_starved);
    }
    if (!placement && !request.allows_other_racks && !CouldFit(run, now)) {
      request.allows_other_racks = true;
      placement = FindPreferredPlacement(unit, request, is_starved);
    }
    if (placement) {
      tracker_.Plan(unit, *placement, now);
      CountStart(unit, true);
      out.starts.push_back(&unit);
      continue;
    }
    // With over half of the accelerators free, units that are preempted on the
    // rack fit elsewhere.
    const bool is_off_rack_only =
        is_starved && FitsOffRack(unit, request, is_starved);
    const bool may_reclaim =
        is_guaranteed || (is_urgent && !is_late) || is_off_rack_only;
    if (may_reclaim && !is_suspect && TryReclaim(unit, now, out)) continue;
    // If one task of the step does not fit, the others do not either, unless
    // this one has stricter requirements.
    if (!IsLastAttempt(unit) && !has_losses) return;
  }
}

/// Whether a unit that lost workers may be placed where it lost them, or where
/// others crash repeatedly: it has waited for long, or would not fit elsewhere.
bool TaskPlanner::MayReturnToLosses(const Unit& unit, PlacementRequest request,
                                    base::TimePoint now) const {
  if (request.suspect == SuspectPlacement::kIsolated) return false;
  if (now - unit.waiting_since >= options_.max_loss_wait) return true;
  request.allows_other_racks = true;
  return !FitsWhenEmpty(*workers_, request);
}

/// Returns a placement on workers where the unit is unlikely to fail: not where
/// it has failed before, and not on risky workers. Falls back to those workers
/// if there are no others; to risky ones only if the unit has attempts to
/// spare, is starved, or no worker is safe.
std::optional<Placement> TaskPlanner::FindPreferredPlacement(
    const Unit& unit, PlacementRequest request, bool is_starved) {
  if (!unit.failed_workers.empty()) {
    request.excluded_workers = &unit.failed_workers;
  }
  request.excludes_risky_workers = true;
  auto placement = FindPlacement(*workers_, request);
  if (placement) return placement;
  // If all workers are risky, the job may be the cause as well as the workers.
  const bool may_use_risky =
      !IsLastAttempt(unit) || !workers_->has_safe() || is_starved;
  if (workers_->has_risky() && may_use_risky) {
    request.excludes_risky_workers = false;
    placement = FindPlacement(*workers_, request);
  }
  if (placement || unit.failed_workers.empty()) return placement;
  request.excluded_workers = nullptr;
  return FindPlacement(*workers_, request);
}

/// Whether only its rack preference keeps the unit from starting.
bool TaskPlanner::FitsOffRack(const Unit& unit, PlacementRequest request,
                              bool is_starved) {
  if (request.allows_other_racks || !PrefersRack(*request.step)) return false;
  request.allows_other_racks = true;
  return FindPreferredPlacement(unit, request, is_starved).has_value();
}

/// Built on the first use in a scheduling round.
ReclaimCandidates& TaskPlanner::Candidates(GuaranteeClass beneficiary,
                                           base::TimePoint now) {
  auto& out = candidates_[static_cast<std::size_t>(beneficiary)];
  if (!out) {
    out.emplace(*workers_,
                FindVictims(tracker_, guarantees_, beneficiary, options_, now));
  }
  return *out;
}

/// Finds the cheapest placement for `unit` on the workers of `scope`, on one
/// rack if it prefers one.
std::optional<ReclaimPlan> TaskPlanner::FindReclaim(const Unit& unit,
                                                    ReclaimScope scope,
                                                    base::TimePoint now) {
  auto& run = *unit.step_run;
  const auto& step = *run.step;
  const bool allows_other_racks =
      (guarantees_.IsGuaranteed(*run.job) &&
       now - unit.waiting_since >= options_.guaranteed_rack_wait) ||
      !CouldFit(run, now);
  const auto& candidates = Candidates(ClassOf(unit), now);
  std::optional<ReclaimPlan> out;
  if (!step.preferred_rack.empty()) {
    out = candidates.FindOnRack(run, step.preferred_rack, scope);
  } else if (step.is_gang && step.prefers_single_rack) {
    out = candidates.FindOnOneRack(run, scope);
  } else {
    out = candidates.FindAnywhere(run, scope);
  }
  if (!out && allows_other_racks && PrefersRack(step)) {
    out = candidates.FindAnywhere(run, scope);
  }
  return out;
}

/// Drops the reservations of units of a lower class than `beneficiary`.
std::vector<TaskPlanner::DroppedReservation> TaskPlanner::DropReservationsBelow(
    GuaranteeClass beneficiary) {
  std::vector<DroppedReservation> out;
  for (auto* run : tracker_.ready()) {
    if (guarantees_.ClassOf(*run->job) <= beneficiary) continue;
    for (auto& unit : run->units) {
      if (unit.reserved.empty()) continue;
      out.push_back({&unit, unit.reserved});
      tracker_.DropReservation(unit);
    }
  }
  return out;
}

/// Restores the reservations that share no worker with `taken`.
void TaskPlanner::RestoreReservations(
    const std::vector<DroppedReservation>& dropped, const Placement& taken) {
  for (const auto& it : dropped) {
    const bool is_taken =
        std::find_first_of(it.workers.begin(), it.workers.end(), taken.begin(),
                           taken.end()) != it.workers.end();
    if (!is_taken) tracker_.SetReservation(*it.unit, it.workers);
  }
}

/// Finds the cheapest placement for `unit`, stops the units in the way and
/// reserves the workers.
bool TaskPlanner::TryReclaim(Unit& unit, base::TimePoint now,
                             PlannerDecisions& out) {
  const bool is_too_soon =
      unit.reclaim_failed_at != base::TimePoint{} &&
      now - unit.reclaim_failed_at < options_.reclaim_retry_interval;
  if (is_too_soon) return false;
  const auto guarantee = ClassOf(unit);
  const bool is_guaranteed = guarantee != GuaranteeClass::kNone;
  auto best = FindReclaim(unit, ReclaimScope::kSafeWorkers, now);
  std::vector<DroppedReservation> dropped;
  if (!best && is_guaranteed) {
    dropped = DropReservationsBelow(guarantee);
    if (!dropped.empty()) {
      best = FindReclaim(unit, ReclaimScope::kSafeWorkers, now);
    }
  }
  if (!best && is_guaranteed && workers_->has_risky()) {
    best = FindReclaim(unit, ReclaimScope::kAllWorkers, now);
  }
  RestoreReservations(dropped, best ? best->placement : Placement{});
  if (!best || WastesTooMuch(*best, unit, guarantee, options_, now)) {
    unit.reclaim_failed_at = now;
    return false;
  }
  for (auto* it : best->victims) {
    if (it->preempted_at < it->started_at) it->preempted_at = now;
    if (it->is_stopping) continue;
    out.preemptions.push_back({it, &unit, is_guaranteed, LostWork(*it, now)});
    tracker_.Stop(*it);
  }
  for (auto& it : candidates_) {
    if (it) it->MarkStopped(*best);
  }
  tracker_.SetReservation(unit, best->placement);
  unit.reserved_at = now;
  return true;
}

}  // namespace lapishatch::dispatch::internal
