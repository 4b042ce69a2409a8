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

PlaceRequest RequestFor(const StepRun& run, bool accepts_slow) {
  PlaceRequest out;
  out.step = run.step;
  out.tasks = run.TasksPerUnit();
  out.on_worker = &run.on_worker;
  out.accepts_slow = accepts_slow;
  return out;
}

/// An accelerator weighs as much as so many cores, as the users reckon work.
constexpr double kCoresPerAccelerator = 8;

double CoresOf(const jobs::Step& step) {
  constexpr double kMillisPerCore = 1'000;
  return static_cast<double>(step.needs.cpu_millis) / kMillisPerCore +
         kCoresPerAccelerator * static_cast<double>(step.needs.accelerators);
}

double SecondsOf(base::Duration time) {
  return std::chrono::duration<double>(time).count();
}

/// Whether one more failure of the unit is the end of its job.
bool IsLastAttempt(const Unit& unit) {
  const auto& run = *unit.step;
  return !run.step->is_service &&
         unit.failures + 1 >= run.job->job->max_attempts;
}

/// Core-seconds that a unit takes by its estimate.
double WorkOf(const StepRun& run) {
  return CoresOf(*run.step) * run.TasksPerUnit() *
         SecondsOf(run.step->run_time_estimate);
}

/// Core-seconds since a unit's last checkpoint.
double LostBy(const Unit& unit, base::TimePoint now) {
  const auto saved = std::max(unit.started, unit.checkpointed);
  return SecondsOf(now - saved) * CoresOf(*unit.step->step) *
         unit.step->TasksPerUnit();
}

}  // namespace

void TaskPlanner::SetGuarantees(
    std::map<base::OrganisationName, std::int64_t> guarantees) {
  guarantees_ = std::move(guarantees);
}

PlannerDecisions TaskPlanner::Decide(base::TimePoint now, int most_starts) {
  PlannerDecisions out;
  open_.emplace(fleet_);
  boards_.Clear();
  starts_left_ = most_starts;
  quiet_starts_left_ =
      most_starts - static_cast<int>(options_.urgent_starts * most_starts);
  urgent_needs_ = UrgentNeeds();
  UpdateHeadroom(now);
  StartReserved(now, out);
  for (auto* it : ReadyInOrder(now)) {
    if (starts_left_ <= 0) {
      out.is_limited = true;
      break;
    }
    StartReady(*it, now, out);
  }
  boards_.Clear();
  open_.reset();
  return out;
}

/// Work that can be in time goes before work that cannot, urgent work before
/// other, and then whatever has to begin first. Urgent work that is late still
/// goes before what is not urgent: it is short.
std::vector<StepRun*> TaskPlanner::ReadyInOrder(base::TimePoint now) const {
  const auto key = [&](StepRun* it) {
    const auto& job = *it->job;
    const auto status = DeadlineStatusOf(*it, now);
    const bool is_urgent = job.job->priority == kUrgentPriority;
    const auto latest = job.accepted + job.objective - it->tail;
    const std::string_view name = job.job->name.str();
    return std::tuple(status == DeadlineStatus::kPast,
                      status == DeadlineStatus::kLate && !is_urgent,
                      job.job->priority, status, latest, name, it->occurrence,
                      it->number, it);
  };
  std::vector<decltype(key(nullptr))> keys;
  keys.reserve(book_.ready().size());
  for (auto* it : book_.ready()) keys.push_back(key(it));
  std::sort(keys.begin(), keys.end());
  std::vector<StepRun*> out;
  out.reserve(keys.size());
  for (const auto& it : keys) out.push_back(std::get<StepRun*>(it));
  return out;
}

/// Takes stock of the open workers: accelerators that are free, and what is
/// kept for urgent work, which comes in bursts: without it each burst stops the
/// quiet work that has just begun in the room of the last one.
void TaskPlanner::UpdateHeadroom(base::TimePoint now) {
  std::int64_t urgent = 0;
  for (const auto* it : book_.active()) {
    if (it->step->job->job->priority != kUrgentPriority) continue;
    urgent += it->step->step->needs.accelerators * it->step->TasksPerUnit();
  }
  const auto passed = std::max(now - peak_at_, base::Duration(0));
  const double faded = urgent_peak_ * std::exp(-SecondsOf(passed) /
                                               SecondsOf(options_.peak_fades));
  urgent_peak_ = std::max(faded, static_cast<double>(urgent));
  peak_at_ = now;
  const auto all = open_->accelerators();
  free_ = open_->free_accelerators();
  const auto most = options_.most_headroom * static_cast<double>(all);
  const auto wanted = urgent_peak_ - static_cast<double>(urgent);
  headroom_ = static_cast<std::int64_t>(std::min(most, wanted));
  is_half_free_ = 2 * free_ > all;
}

/// Counts the tasks of a unit that is started now; a reserved place was not
/// among what was free.
void TaskPlanner::CountStart(const Unit& unit, bool was_free) {
  const int tasks = unit.step->TasksPerUnit();
  starts_left_ -= tasks;
  quiet_starts_left_ -= tasks;
  if (was_free) free_ -= unit.step->step->needs.accelerators * tasks;
}

/// Whether one more unit of a step would take room that is kept.
bool TaskPlanner::MustLeaveHeadroom(const StepRun& run,
                                    base::TimePoint now) const {
  const auto& job = *run.job;
  if (job.job->priority == kUrgentPriority) return false;
  const auto latest = job.accepted + job.objective - run.tail;
  if (now + options_.headroom_slack > latest) return false;
  const auto takes = run.step->needs.accelerators * run.TasksPerUnit();
  return takes > 0 && free_ - takes < headroom_;
}

DeadlineStatus TaskPlanner::DeadlineStatusOf(const StepRun& run,
                                             base::TimePoint now) const {
  const auto& job = *run.job;
  const auto left = base::Duration(static_cast<std::int64_t>(
      options_.sure_share * static_cast<double>(run.tail.count())));
  const auto begun = run.due_ms > 0 ? run.ready_since : job.accepted;
  if (now + left > begun + options_.past_after * job.objective) {
    return DeadlineStatus::kPast;
  }
  return now + left > begun + job.objective ? DeadlineStatus::kLate
                                            : DeadlineStatus::kInTime;
}

/// Accelerators that the urgent jobs of each organisation need at once, those
/// that run included.
std::map<base::OrganisationName, std::int64_t> TaskPlanner::UrgentNeeds()
    const {
  std::map<base::OrganisationName, std::int64_t> out;
  for (const auto* entry : book_.unfinished()) {
    if (entry->job->priority != kUrgentPriority) continue;
    std::int64_t needs = 0;
    for (const auto& it : entry->job->steps) {
      needs += it.tasks * it.needs.accelerators;
    }
    out[entry->job->organisation] += needs;
  }
  return out;
}

/// Whether it is worth waiting for a place that is not slow.
bool TaskPlanner::CouldFit(StepRun& run, base::TimePoint now) const {
  if (!HasSlowPlaces(*run.step)) return true;
  if (run.could_fit && now - run.fit_checked_at < options_.fit_recheck) {
    return true;
  }
  run.could_fit = CouldEverFit(*open_, RequestFor(run, false));
  run.fit_checked_at = now;
  return run.could_fit;
}

bool TaskPlanner::IsGuaranteed(const JobEntry& job) const {
  if (job.job->priority != kUrgentPriority) return false;
  const auto& organisation = job.job->organisation;
  const auto guarantee = guarantees_.find(organisation);
  const auto needs = urgent_needs_.find(organisation);
  return guarantee != guarantees_.end() && needs != urgent_needs_.end() &&
         needs->second <= guarantee->second;
}

ReservationState TaskPlanner::StateOf(
    const std::vector<base::WorkerName>& places, const Resources& needs) {
  std::map<base::WorkerName, Resources> wanted;
  for (const auto& it : places) wanted[it] += needs;
  bool is_free = true;
  for (const auto& [name, room] : wanted) {
    const auto* worker = fleet_.Find(name);
    if (worker == nullptr || !worker->is_open) return ReservationState::kGone;
    is_free = is_free && worker->Free().Covers(room);
  }
  return is_free ? ReservationState::kFree : ReservationState::kTaken;
}

/// Starts units whose reserved places have become free, or that other places
/// have become free for: stops of what is preempted take their time, and tasks
/// end everywhere meanwhile.
void TaskPlanner::StartReserved(base::TimePoint now, PlannerDecisions& out) {
  const std::vector<StepRun*> ready(book_.ready().begin(), book_.ready().end());
  for (auto* run : ready) {
    const auto needs = CountedNeeds(*run->step);
    for (auto& unit : run->units) {
      if (unit.reserved.empty()) continue;
      const auto reserved = unit.reserved;
      book_.DropReservation(unit);
      const auto state = StateOf(reserved, needs);
      if (state == ReservationState::kGone) continue;
      std::optional<Places> places = reserved;
      if (state == ReservationState::kTaken) {
        places = FindSoundPlaces(unit, RequestFor(*run, false), false);
      }
      if (!places) {
        book_.SetReservation(unit, reserved);
        continue;
      }
      book_.Plan(unit, *places, now);
      CountStart(unit, state == ReservationState::kTaken);
      out.starts.push_back(&unit);
    }
  }
}

void TaskPlanner::StartReady(StepRun& run, base::TimePoint now,
                             PlannerDecisions& out) {
  const bool is_guaranteed = IsGuaranteed(*run.job);
  const bool is_urgent = run.job->job->priority == kUrgentPriority;
  const bool is_late = DeadlineStatusOf(run, now) != DeadlineStatus::kInTime;
  for (auto& unit : run.units) {
    if (unit.phase != UnitPhase::kWaiting || !unit.reserved.empty()) continue;
    // Orders beyond what workers answer in time would wait behind each other.
    if ((is_urgent ? starts_left_ : quiet_starts_left_) <= 0) {
      out.is_limited = true;
      return;
    }
    const auto waited = now - unit.waiting_since;
    const bool is_starved = is_half_free_ && waited >= options_.rack_wait_limit;
    if (!is_starved && MustLeaveHeadroom(run, now)) return;
    const auto patience = base::Duration(static_cast<std::int64_t>(
        options_.slow_place_after *
        static_cast<double>(run.step->run_time_estimate.count())));
    auto request = RequestFor(run, waited >= patience);
    const bool is_suspect = IsSuspect(unit.losses);
    request.is_suspect = is_suspect && waited < options_.suspect_wait;
    if (is_urgent && is_late) request.accepts_slow = true;
    if (is_guaranteed && waited >= options_.guaranteed_slow_after) {
      request.accepts_slow = true;
    }
    const bool gives_up_rack =
        is_half_free_ &&
        waited >= options_.rack_wait_limit + options_.preempted_within;
    if (gives_up_rack) request.accepts_slow = true;
    auto places = FindSoundPlaces(unit, request, is_starved);
    if (!places && !request.accepts_slow && !CouldFit(run, now)) {
      request.accepts_slow = true;
      places = FindSoundPlaces(unit, request, is_starved);
    }
    if (places) {
      book_.Plan(unit, *places, now);
      CountStart(unit, true);
      out.starts.push_back(&unit);
      continue;
    }
    // With so much room, whatever is stopped for its rack finds another place.
    const bool is_off_rack_only =
        is_starved && FitsOffRack(unit, request, is_starved);
    const bool may_reclaim =
        is_guaranteed || (is_urgent && !is_late) || is_off_rack_only;
    if (may_reclaim && !is_suspect &&
        TryReclaim(unit, is_guaranteed, now, out)) {
      continue;
    }
    // What one task of the step does not get, its others do not get either,
    // unless it asks for more than they do.
    if (!IsLastAttempt(unit) && !is_suspect) return;
  }
}

/// Places where the unit is not known to fail: not where it has failed, and not
/// on suspect workers, unless it has attempts to spare or has waited long
/// (`is_starved`), and finds no others.
std::optional<Places> TaskPlanner::FindSoundPlaces(const Unit& unit,
                                                   PlaceRequest request,
                                                   bool is_starved) {
  if (!unit.failed_on.empty()) request.avoid = &unit.failed_on;
  request.avoids_suspects = true;
  auto places = FindPlaces(*open_, request);
  if (places) return places;
  // Where all are suspect, the job may be the cause as well as the worker.
  const bool may_risk =
      !IsLastAttempt(unit) || !open_->has_sound() || is_starved;
  if (open_->has_suspects() && may_risk) {
    request.avoids_suspects = false;
    places = FindPlaces(*open_, request);
  }
  if (places || unit.failed_on.empty()) return places;
  request.avoid = nullptr;
  return FindPlaces(*open_, request);
}

/// Whether only its wish for a rack keeps the unit from starting.
bool TaskPlanner::FitsOffRack(const Unit& unit, PlaceRequest request,
                              bool is_starved) {
  if (request.accepts_slow || !HasSlowPlaces(*request.step)) return false;
  request.accepts_slow = true;
  return FindSoundPlaces(unit, request, is_starved).has_value();
}

/// What stopping a unit costs: the work since its last checkpoint, and more
/// where its job would then be late or it was started again before.
double TaskPlanner::CostOf(const Unit& victim, base::TimePoint now) const {
  const auto& run = *victim.step;
  auto out = LostBy(victim, now);
  const auto latest = run.job->accepted + run.job->objective - run.tail;
  if (now > latest) out += WorkOf(run);
  constexpr double kAgain = 0.25;
  return out + kAgain * WorkOf(run) * (victim.last_run - 1);
}

/// Units that may be stopped, the cheapest first; those that are being stopped
/// anyway cost nothing: what is not urgent, and for a unit that is guaranteed
/// its place, everything that no guarantee protects.
std::vector<Victim> TaskPlanner::Victims(bool is_guaranteed,
                                         base::TimePoint now) const {
  std::vector<Victim> out;
  out.reserve(book_.active().size());
  for (auto* it : book_.active()) {
    const auto& job = *it->step->job;
    if (it->phase == UnitPhase::kDone) continue;
    const bool is_urgent = job.job->priority == kUrgentPriority;
    if (is_urgent && (!is_guaranteed || IsGuaranteed(job))) continue;
    // Urgent work is stopped for other urgent work only when nothing else does.
    constexpr double kUrgentCost = 1e6;
    const double extra = is_urgent ? kUrgentCost : 0;
    out.push_back({it, it->is_stopping ? 0 : extra + CostOf(*it, now)});
  }
  std::sort(out.begin(), out.end(), [](const Victim& a, const Victim& b) {
    const auto key = [](const Victim& it) {
      const std::string_view name = it.unit->step->job->job->name.str();
      return std::tuple(it.cost, name, it.unit->step->number,
                        it.unit->first_index);
    };
    return key(a) < key(b);
  });
  return out;
}

/// Made when the first unit of the round asks for it.
ReclaimBoard& TaskPlanner::Board(bool is_guaranteed, base::TimePoint now) {
  auto& out = is_guaranteed ? boards_.guaranteed : boards_.not_guaranteed;
  if (!out) out.emplace(*open_, Victims(is_guaranteed, now));
  return *out;
}

/// Finds the places for `unit` that cost least, on one rack if it wants one,
/// stops what is in the way and reserves them.
bool TaskPlanner::TryReclaim(Unit& unit, bool is_guaranteed,
                             base::TimePoint now, PlannerDecisions& out) {
  const bool is_too_soon =
      unit.reclaim_failed_at != base::TimePoint{} &&
      now - unit.reclaim_failed_at < options_.reclaim_again;
  if (is_too_soon) return false;
  const auto& step = *unit.step->step;
  const bool accepts_slow =
      (is_guaranteed &&
       now - unit.waiting_since >= options_.guaranteed_slow_after) ||
      !CouldFit(*unit.step, now);
  const auto& board = Board(is_guaranteed, now);
  std::optional<ReclaimPlan> best;
  if (!step.preferred_rack.empty()) {
    best = board.FindOn(*unit.step, step.preferred_rack);
  } else if (step.is_gang && step.prefers_single_rack) {
    best = board.FindOnOneRack(*unit.step);
  } else {
    best = board.FindAnywhere(*unit.step);
  }
  if (!best && accepts_slow && HasSlowPlaces(step)) {
    best = board.FindAnywhere(*unit.step);
  }
  if (!best || ThrowsAwayTooMuch(*best, unit, is_guaranteed, now)) {
    unit.reclaim_failed_at = now;
    return false;
  }
  for (auto* it : best->victims) {
    if (it->is_stopping) continue;
    out.preempted.push_back({it, &unit, is_guaranteed, LostBy(*it, now)});
    book_.Stop(*it);
  }
  for (auto* it : {&boards_.guaranteed, &boards_.not_guaranteed}) {
    if (*it) (*it)->NoteStopped(*best);
  }
  book_.SetReservation(unit, best->places);
  return true;
}

bool TaskPlanner::ThrowsAwayTooMuch(const ReclaimPlan& plan, const Unit& unit,
                                    bool is_guaranteed,
                                    base::TimePoint now) const {
  if (is_guaranteed) return false;
  double waste = 0;
  for (const auto* it : plan.victims) waste += LostBy(*it, now);
  return waste > options_.most_waste * WorkOf(*unit.step);
}

}  // namespace lapishatch::dispatch::internal
