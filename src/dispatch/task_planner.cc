#include "dispatch/internal/task_planner.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>
#include <utility>

#include "dispatch/internal/crash_policy.h"
#include "dispatch/internal/reclaim.h"
#include "dispatch/placer.h"

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

/// Weight of an accelerator in cores, as users account for work.
constexpr double kCoresPerAccelerator = 8;

double WeightedCores(const jobs::Step& step) {
  constexpr double kMillisPerCore = 1'000;
  return static_cast<double>(step.needs.cpu_millis) / kMillisPerCore +
         kCoresPerAccelerator * static_cast<double>(step.needs.accelerators);
}

double SecondsOf(base::Duration time) {
  return std::chrono::duration<double>(time).count();
}

/// Whether one more failure of the unit fails its job.
bool IsLastAttempt(const Unit& unit) {
  const auto& run = *unit.step_run;
  return !run.step->is_service &&
         unit.failures + 1 >= run.job->job->max_attempts;
}

/// Returns the estimated work of a unit, in core-seconds.
double EstimatedWork(const StepRun& run) {
  return WeightedCores(*run.step) * run.TasksPerUnit() *
         SecondsOf(run.step->run_time_estimate);
}

/// Returns the work since the unit's last checkpoint, in core-seconds.
double LostWork(const Unit& unit, base::TimePoint now) {
  const auto last_saved_at = std::max(unit.started_at, unit.checkpointed_at);
  return SecondsOf(now - last_saved_at) * WeightedCores(*unit.step_run->step) *
         unit.step_run->TasksPerUnit();
}

/// Returns the accelerators that the tasks of a job use or wait for, without
/// those that are done and those whose turn has not come.
std::int64_t RemainingAccelerators(const JobEntry& job) {
  std::int64_t out = 0;
  for (const auto& runs : job.runs) {
    for (const auto& it : runs) {
      if (it.pending_dependencies > 0 || !it.is_due) continue;
      const auto units =
          static_cast<std::int64_t>(it.units.size()) - it.units_done;
      out += units * it.TasksPerUnit() * it.step->needs.accelerators;
    }
  }
  return out;
}

}  // namespace

void TaskPlanner::SetGuarantees(
    std::map<base::OrganisationName, std::int64_t> guarantees) {
  guarantees_ = std::move(guarantees);
}

TaskPlanner::GuaranteeUse TaskPlanner::GuaranteeUseOf(
    const base::OrganisationName& organisation) const {
  GuaranteeUse out;
  const auto needs = urgent_needs_.find(organisation);
  if (needs != urgent_needs_.end()) out.needed = needs->second;
  const auto guarantee = guarantees_.find(organisation);
  if (guarantee != guarantees_.end()) out.guaranteed = guarantee->second;
  return out;
}

PlannerDecisions TaskPlanner::Decide(base::TimePoint now, int max_starts) {
  PlannerDecisions out;
  workers_.emplace(fleet_);
  candidate_sets_.Clear();
  starts_left_ = max_starts;
  non_urgent_starts_left_ =
      max_starts - static_cast<int>(options_.urgent_start_share * max_starts);
  UpdateGuaranteedJobs();
  UpdateHeadroom(now);
  const auto steps = SortedReadySteps(now);
  StartReserved(steps, now, out);
  for (auto* it : steps) {
    if (starts_left_ <= 0 && !IsGuaranteed(*it->job)) {
      out.reached_start_limit = true;
      break;
    }
    StartReady(*it, now, out);
  }
  candidate_sets_.Clear();
  workers_.reset();
  return out;
}

/// Sorts guaranteed steps before all others, since only a limited number of
/// tasks may start at once. Then come steps that can be in time before those
/// that cannot, urgent steps before others, and by latest start time. Late
/// urgent steps still go before non-urgent ones, since they are short.
std::vector<StepRun*> TaskPlanner::SortedReadySteps(base::TimePoint now) const {
  const auto key = [&](StepRun* it) {
    const auto& job = *it->job;
    const auto status = DeadlineStatusOf(*it, now);
    const bool is_urgent = job.job->priority == kUrgentPriority;
    const auto latest =
        job.accepted_at + job.latency_objective - it->critical_path;
    const std::string_view name = job.job->name.str();
    return std::tuple(!IsGuaranteed(job), status == DeadlineStatus::kExpired,
                      status == DeadlineStatus::kLate && !is_urgent,
                      job.job->priority, status, latest, name, it->occurrence,
                      it->number, it);
  };
  std::vector<decltype(key(nullptr))> keys;
  keys.reserve(tracker_.ready().size());
  for (auto* it : tracker_.ready()) keys.push_back(key(it));
  std::sort(keys.begin(), keys.end());
  std::vector<StepRun*> out;
  out.reserve(keys.size());
  for (const auto& it : keys) out.push_back(std::get<StepRun*>(it));
  return out;
}

/// Counts the free accelerators of schedulable workers and computes the
/// headroom for urgent work, which arrives in bursts. Without headroom, each
/// burst would preempt non-urgent work that has just started on the resources
/// of the previous burst.
void TaskPlanner::UpdateHeadroom(base::TimePoint now) {
  std::int64_t urgent = 0;
  for (const auto* it : tracker_.active()) {
    if (it->step_run->job->job->priority != kUrgentPriority) continue;
    urgent +=
        it->step_run->step->needs.accelerators * it->step_run->TasksPerUnit();
  }
  const auto elapsed = std::max(now - peak_updated_at_, base::Duration(0));
  const double decayed_peak =
      urgent_peak_ *
      std::exp(-SecondsOf(elapsed) / SecondsOf(options_.peak_decay_time));
  urgent_peak_ = std::max(decayed_peak, static_cast<double>(urgent));
  peak_updated_at_ = now;
  const auto all = workers_->total_accelerators();
  free_accelerators_ = workers_->free_accelerators();
  const auto limit = options_.max_headroom_share * static_cast<double>(all);
  const auto wanted = urgent_peak_ - static_cast<double>(urgent);
  headroom_ = static_cast<std::int64_t>(std::min(limit, wanted));
  is_half_free_ = 2 * free_accelerators_ > all;
}

/// Subtracts the tasks of a unit that is being started from the remaining
/// starts, and their accelerators from the free ones. A reserved placement was
/// not counted as free.
void TaskPlanner::CountStart(const Unit& unit, bool was_free) {
  const int tasks = unit.step_run->TasksPerUnit();
  starts_left_ -= tasks;
  non_urgent_starts_left_ -= tasks;
  if (was_free) {
    free_accelerators_ -= unit.step_run->step->needs.accelerators * tasks;
  }
}

/// Whether starting one more unit of the step would use headroom.
bool TaskPlanner::MustLeaveHeadroom(const StepRun& run,
                                    base::TimePoint now) const {
  const auto& job = *run.job;
  if (job.job->priority == kUrgentPriority) return false;
  const auto latest =
      job.accepted_at + job.latency_objective - run.critical_path;
  if (now + options_.min_slack_for_headroom > latest) return false;
  const auto needed = run.step->needs.accelerators * run.TasksPerUnit();
  return needed > 0 && free_accelerators_ - needed < headroom_;
}

DeadlineStatus TaskPlanner::DeadlineStatusOf(const StepRun& run,
                                             base::TimePoint now) const {
  const auto& job = *run.job;
  const auto left = base::Duration(static_cast<std::int64_t>(
      options_.required_time_share *
      static_cast<double>(run.critical_path.count())));
  const auto begin = run.due_ms > 0 ? run.ready_since : job.accepted_at;
  if (now + left > begin + options_.expiry_factor * job.latency_objective) {
    return DeadlineStatus::kExpired;
  }
  return now + left > begin + job.latency_objective ? DeadlineStatus::kLate
                                                    : DeadlineStatus::kInTime;
}

/// Determines which urgent jobs are within the guarantee of their organisation:
/// in order of acceptance, each job that fits beside those before it. A job
/// beyond the guarantee does not affect the others.
void TaskPlanner::UpdateGuaranteedJobs() {
  urgent_needs_.clear();
  guaranteed_jobs_.clear();
  std::vector<const JobEntry*> urgent;
  for (const auto* it : tracker_.unfinished()) {
    if (it->job->priority == kUrgentPriority) urgent.push_back(it);
  }
  // Jobs accepted at the same time stay in order of name.
  std::stable_sort(urgent.begin(), urgent.end(),
                   [](const JobEntry* a, const JobEntry* b) {
                     return a->accepted_at < b->accepted_at;
                   });
  std::map<base::OrganisationName, std::int64_t> used;
  for (const auto* it : urgent) {
    const auto& organisation = it->job->organisation;
    const auto needed = RemainingAccelerators(*it);
    urgent_needs_[organisation] += needed;
    const auto guarantee = guarantees_.find(organisation);
    if (guarantee == guarantees_.end()) continue;
    auto& sum = used[organisation];
    if (sum + needed > guarantee->second) continue;
    sum += needed;
    guaranteed_jobs_.insert(it);
  }
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
        const bool has_new_reservation = IsGuaranteed(*run->job) &&
                                         IsPreemptionOverdue(unit, now) &&
                                         TryReclaim(unit, true, now, out);
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
  const bool is_guaranteed = IsGuaranteed(*run.job);
  const bool is_urgent = run.job->job->priority == kUrgentPriority;
  const bool is_late = DeadlineStatusOf(run, now) != DeadlineStatus::kInTime;
  for (auto& unit : run.units) {
    if (unit.phase != UnitPhase::kWaiting || !unit.reserved.empty()) continue;
    // More start requests than workers answer in time would queue up behind
    // each other.
    const int left = is_urgent ? starts_left_ : non_urgent_starts_left_;
    if (left <= 0 && !is_guaranteed) {
      out.reached_start_limit = true;
      return;
    }
    const auto waited = now - unit.waiting_since;
    const bool is_starved = is_half_free_ && waited >= options_.rack_wait_limit;
    if (!is_starved && MustLeaveHeadroom(run, now)) return;
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
        is_half_free_ &&
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
    if (may_reclaim && !is_suspect &&
        TryReclaim(unit, is_guaranteed, now, out)) {
      continue;
    }
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

/// Returns the cost of stopping a unit: the work since its last checkpoint, and
/// more if its job would then be late or it was restarted before.
double TaskPlanner::CostOf(const Unit& victim, base::TimePoint now) const {
  const auto& run = *victim.step_run;
  auto out = LostWork(victim, now);
  const auto latest =
      run.job->accepted_at + run.job->latency_objective - run.critical_path;
  if (now > latest) out += EstimatedWork(run);
  constexpr double kRestartPenalty = 0.25;
  return out + kRestartPenalty * EstimatedWork(run) * (victim.last_run - 1);
}

/// Returns the units that may be preempted, cheapest first. Units that are
/// already being stopped cost nothing. Non-urgent units may be preempted, and
/// for a unit within a guarantee also urgent ones that no guarantee protects.
std::vector<Victim> TaskPlanner::FindVictims(bool is_guaranteed,
                                             base::TimePoint now) const {
  std::vector<Victim> out;
  out.reserve(tracker_.active().size());
  for (auto* it : tracker_.active()) {
    const auto& job = *it->step_run->job;
    if (it->phase == UnitPhase::kDone) continue;
    // Its worker may not have received the stop: others are freed sooner.
    const bool is_stuck = it->is_stopping &&
                          it->preempted_at >= it->started_at &&
                          now - it->preempted_at > options_.max_preemption_time;
    if (is_stuck) continue;
    const bool is_urgent = job.job->priority == kUrgentPriority;
    if (is_urgent && (!is_guaranteed || IsGuaranteed(job))) continue;
    // Urgent work is preempted for other urgent work only as a last resort.
    constexpr double kUrgentCost = 1e6;
    const double extra = is_urgent ? kUrgentCost : 0;
    out.push_back({it, it->is_stopping ? 0 : extra + CostOf(*it, now)});
  }
  std::sort(out.begin(), out.end(), [](const Victim& a, const Victim& b) {
    const auto key = [](const Victim& it) {
      const std::string_view name = it.unit->step_run->job->job->name.str();
      return std::tuple(it.cost, name, it.unit->step_run->number,
                        it.unit->first_index);
    };
    return key(a) < key(b);
  });
  return out;
}

/// Built on the first use in a scheduling round.
ReclaimCandidates& TaskPlanner::Candidates(bool is_guaranteed,
                                           base::TimePoint now) {
  auto& out = is_guaranteed ? candidate_sets_.guaranteed
                            : candidate_sets_.not_guaranteed;
  if (!out) out.emplace(*workers_, FindVictims(is_guaranteed, now));
  return *out;
}

/// Finds the cheapest placement for `unit` on the workers of `scope`, on one
/// rack if it prefers one.
std::optional<ReclaimPlan> TaskPlanner::FindReclaim(const Unit& unit,
                                                    bool is_guaranteed,
                                                    ReclaimScope scope,
                                                    base::TimePoint now) {
  auto& run = *unit.step_run;
  const auto& step = *run.step;
  const bool allows_other_racks =
      (is_guaranteed &&
       now - unit.waiting_since >= options_.guaranteed_rack_wait) ||
      !CouldFit(run, now);
  const auto& candidates = Candidates(is_guaranteed, now);
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

/// Drops the reservations of units that no guarantee protects.
std::vector<TaskPlanner::DroppedReservation>
TaskPlanner::DropUnguaranteedReservations() {
  std::vector<DroppedReservation> out;
  for (auto* run : tracker_.ready()) {
    if (IsGuaranteed(*run->job)) continue;
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
bool TaskPlanner::TryReclaim(Unit& unit, bool is_guaranteed,
                             base::TimePoint now, PlannerDecisions& out) {
  const bool is_too_soon =
      unit.reclaim_failed_at != base::TimePoint{} &&
      now - unit.reclaim_failed_at < options_.reclaim_retry_interval;
  if (is_too_soon) return false;
  auto best = FindReclaim(unit, is_guaranteed, ReclaimScope::kSafeWorkers, now);
  std::vector<DroppedReservation> dropped;
  if (!best && is_guaranteed) {
    dropped = DropUnguaranteedReservations();
    if (!dropped.empty()) {
      best = FindReclaim(unit, is_guaranteed, ReclaimScope::kSafeWorkers, now);
    }
  }
  if (!best && is_guaranteed && workers_->has_risky()) {
    best = FindReclaim(unit, is_guaranteed, ReclaimScope::kAllWorkers, now);
  }
  RestoreReservations(dropped, best ? best->placement : Placement{});
  if (!best || WastesTooMuch(*best, unit, is_guaranteed, now)) {
    unit.reclaim_failed_at = now;
    return false;
  }
  for (auto* it : best->victims) {
    if (it->preempted_at < it->started_at) it->preempted_at = now;
    if (it->is_stopping) continue;
    out.preemptions.push_back({it, &unit, is_guaranteed, LostWork(*it, now)});
    tracker_.Stop(*it);
  }
  for (auto* it :
       {&candidate_sets_.guaranteed, &candidate_sets_.not_guaranteed}) {
    if (*it) (*it)->MarkStopped(*best);
  }
  tracker_.SetReservation(unit, best->placement);
  unit.reserved_at = now;
  return true;
}

bool TaskPlanner::WastesTooMuch(const ReclaimPlan& plan, const Unit& unit,
                                bool is_guaranteed, base::TimePoint now) const {
  if (is_guaranteed) return false;
  double lost_work = 0;
  for (const auto* it : plan.victims) lost_work += LostWork(*it, now);
  return lost_work > options_.max_waste_factor * EstimatedWork(*unit.step_run);
}

}  // namespace lapishatch::dispatch::internal
