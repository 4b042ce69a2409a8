#include "dispatch/internal/task_planner.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

#include "dispatch/placer.h"

namespace lapishatch::dispatch::internal {
namespace {

using jobs::Room;
using jobs::UnitPhase;

/// Urgent jobs of an organisation are protected by its guarantee.
constexpr int kUrgentPriority = 0;

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

/// Core-seconds that a unit takes by its estimate.
double WorkOf(const StepRun& run) {
  return CoresOf(*run.step) * run.TasksPerUnit() *
         SecondsOf(run.step->estimate);
}

std::map<base::WorkerName, Room> RoomOf(const std::vector<Unit*>& units) {
  std::map<base::WorkerName, Room> out;
  for (const auto* unit : units) {
    const auto needs = CountedNeeds(*unit->step->step);
    for (const auto& it : unit->members) {
      if (it.state != MemberState::kOver) out[it.worker] += needs;
    }
  }
  return out;
}

}  // namespace

void TaskPlanner::SetGuarantees(
    std::map<base::OrganisationName, std::int64_t> guarantees) {
  guarantees_ = std::move(guarantees);
}

std::vector<Unit*> TaskPlanner::Decide(base::TimePoint now) {
  std::vector<Unit*> out;
  urgent_needs_ = UrgentNeeds();
  StartClaimed(now, out);
  std::vector<StepRun*> ready(book_.ready().begin(), book_.ready().end());
  // Work that can be in time goes before work that cannot, urgent work before
  // other, and then whatever has to begin first. Urgent work that is late still
  // goes before what is not urgent: it is short.
  const auto key = [&](const StepRun* it) {
    const auto& job = *it->job;
    const auto outlook = OutlookOf(*it, now);
    const bool is_urgent = job.job->priority == kUrgentPriority;
    const auto latest = job.accepted + job.objective - it->tail;
    return std::tuple(outlook == Outlook::kHopeless,
                      outlook == Outlook::kLate && !is_urgent,
                      job.job->priority, outlook, latest, job.job->name,
                      it->occurrence, it->number);
  };
  std::sort(ready.begin(), ready.end(),
            [&key](const StepRun* a, const StepRun* b) {
              return key(a) < key(b);
            });
  for (auto* it : ready) StartReady(*it, now, out);
  return out;
}

Outlook TaskPlanner::OutlookOf(const StepRun& run, base::TimePoint now) const {
  const auto& job = *run.job;
  const auto left = base::Duration(static_cast<std::int64_t>(
      options_.sure_share * static_cast<double>(run.tail.count())));
  const auto begun = run.due_ms > 0 ? run.ready_since : job.accepted;
  if (now + left > begun + options_.hopeless_after * job.objective) {
    return Outlook::kHopeless;
  }
  return now + left > begun + job.objective ? Outlook::kLate : Outlook::kInTime;
}

/// Accelerators that the urgent jobs of each organisation need at once, those
/// that run included.
std::map<base::OrganisationName, std::int64_t> TaskPlanner::UrgentNeeds()
    const {
  std::map<base::OrganisationName, std::int64_t> out;
  for (const auto& [name, entry] : book_.jobs()) {
    if (entry->job->priority != kUrgentPriority) continue;
    if (IsFinal(entry->state)) continue;
    std::int64_t needs = 0;
    for (const auto& it : entry->job->steps) {
      needs += it.tasks * it.needs.accelerators;
    }
    out[entry->job->organisation] += needs;
  }
  return out;
}

bool TaskPlanner::IsOwed(const JobEntry& job) const {
  if (job.job->priority != kUrgentPriority) return false;
  const auto& organisation = job.job->organisation;
  const auto guarantee = guarantees_.find(organisation);
  const auto needs = urgent_needs_.find(organisation);
  return guarantee != guarantees_.end() && needs != urgent_needs_.end() &&
         needs->second <= guarantee->second;
}

/// Starts units whose claimed places have become free.
void TaskPlanner::StartClaimed(base::TimePoint now, std::vector<Unit*>& out) {
  const std::vector<StepRun*> ready(book_.ready().begin(), book_.ready().end());
  for (auto* run : ready) {
    const auto needs = CountedNeeds(*run->step);
    for (auto& unit : run->units) {
      if (unit.claim.empty()) continue;
      const auto claim = unit.claim;
      book_.DropClaim(unit);
      std::map<base::WorkerName, Room> wanted;
      for (const auto& it : claim) wanted[it] += needs;
      bool is_gone = false;
      bool is_free = true;
      for (const auto& [name, room] : wanted) {
        const auto* worker = fleet_.Find(name);
        is_gone = is_gone || worker == nullptr || !worker->is_open;
        is_free = is_free && !is_gone && worker->Free().Holds(room);
      }
      if (is_gone) continue;
      if (!is_free) {
        book_.SetClaim(unit, claim);
        continue;
      }
      book_.Plan(unit, claim, now);
      out.push_back(&unit);
    }
  }
}

void TaskPlanner::StartReady(StepRun& run, base::TimePoint now,
                             std::vector<Unit*>& out) {
  const bool is_owed = IsOwed(*run.job);
  const bool is_urgent = run.job->job->priority == kUrgentPriority;
  const bool is_late = OutlookOf(run, now) != Outlook::kInTime;
  for (auto& unit : run.units) {
    if (unit.phase != UnitPhase::kWaiting || !unit.claim.empty()) continue;
    const auto waited = now - unit.waiting_since;
    const auto patience = base::Duration(static_cast<std::int64_t>(
        options_.slow_place_after *
        static_cast<double>(run.step->estimate.count())));
    auto request = RequestFor(run, waited >= patience);
    if (is_urgent && is_late) request.accepts_slow = true;
    if (is_owed && waited >= options_.owed_slow_after) {
      request.accepts_slow = true;
    }
    auto places = FindPlaces(fleet_, request);
    if (!places && !request.accepts_slow && !CouldEverFit(fleet_, request)) {
      request.accepts_slow = true;
      places = FindPlaces(fleet_, request);
    }
    if (places) {
      book_.Plan(unit, *places, now);
      out.push_back(&unit);
      continue;
    }
    // What one task of the step does not get, its others do not get either.
    const bool may_reclaim = is_owed || (is_urgent && !is_late);
    if (!may_reclaim || !TryReclaim(unit, is_owed, now)) return;
  }
}

/// What stopping a unit costs, for each accelerator that it frees: the work
/// since its last checkpoint, and more where its job would then be late or it
/// was started again before.
double TaskPlanner::CostOf(const Unit& victim, base::TimePoint now) const {
  const auto& run = *victim.step;
  const auto saved = std::max(victim.started, victim.checkpointed);
  auto lost = SecondsOf(now - saved) * CoresOf(*run.step) *
              run.TasksPerUnit();
  const auto latest = run.job->accepted + run.job->objective - run.tail;
  if (now > latest) lost += WorkOf(run);
  lost += 0.25 * WorkOf(run) * (victim.last_run - 1);
  const auto freed = static_cast<double>(run.step->needs.accelerators) *
                         run.TasksPerUnit() +
                     1;
  return lost / freed;
}

/// Units that may be stopped for `unit`, the cheapest first, those that are
/// being stopped anyway before all: what is not urgent, and for a unit that is
/// owed its place, everything that no guarantee protects.
std::vector<Unit*> TaskPlanner::VictimsFor(const Unit& unit, bool is_owed,
                                           base::TimePoint now) const {
  struct Priced {
    double cost = 0;
    Unit* unit = nullptr;
  };
  std::vector<Priced> priced;
  for (auto* it : book_.active()) {
    const auto& job = *it->step->job;
    if (&job == unit.step->job || it->phase == UnitPhase::kDone) continue;
    const bool is_urgent = job.job->priority == kUrgentPriority;
    if (is_urgent && (!is_owed || IsOwed(job))) continue;
    // Urgent work is stopped for other urgent work only when nothing else does.
    constexpr double kUrgentCost = 1e6;
    const auto cost = it->is_stopping ? -1
                      : is_urgent     ? kUrgentCost + CostOf(*it, now)
                                      : CostOf(*it, now);
    priced.push_back({cost, it});
  }
  std::sort(priced.begin(), priced.end(), [](const Priced& a, const Priced& b) {
    const auto key = [](const Priced& it) {
      return std::tuple(it.cost, it.unit->step->job->job->name,
                        it.unit->step->number, it.unit->first_index);
    };
    return key(a) < key(b);
  });
  std::vector<Unit*> out;
  for (const auto& it : priced) out.push_back(it.unit);
  return out;
}

/// Finds a place for `unit` by stopping the cheapest units that give one.
bool TaskPlanner::TryReclaim(Unit& unit, bool is_owed, base::TimePoint now) {
  const auto victims = VictimsFor(unit, is_owed, now);
  auto request = RequestFor(*unit.step, false);
  request.accepts_slow =
      (is_owed && now - unit.waiting_since >= options_.owed_slow_after) ||
      !CouldEverFit(fleet_, request);
  // The fewest victims, in order of cost, that make room.
  std::size_t least = 0;
  std::size_t most = victims.size();
  std::optional<Places> places;
  const auto try_with = [&](std::size_t n) {
    const auto room = RoomOf({victims.begin(), victims.begin() + static_cast<std::ptrdiff_t>(n)});
    auto with_room = request;
    with_room.could_free = &room;
    return FindPlaces(fleet_, with_room);
  };
  places = try_with(most);
  if (!places) return false;
  while (least < most) {
    const auto middle = (least + most) / 2;
    if (auto found = try_with(middle)) {
      places = std::move(found);
      most = middle;
    } else {
      least = middle + 1;
    }
  }
  std::map<base::WorkerName, Room> wanted;
  const auto needs = CountedNeeds(*unit.step->step);
  for (const auto& it : *places) wanted[it] += needs;
  std::map<base::WorkerName, Room> freed;
  std::vector<Unit*> chosen;
  double waste = 0;
  for (std::size_t i = 0; i < most; ++i) {
    auto* victim = victims[i];
    const bool is_needed = std::any_of(
        victim->members.begin(), victim->members.end(), [&](const Member& it) {
          const auto want = wanted.find(it.worker);
          if (want == wanted.end() || it.state == MemberState::kOver) {
            return false;
          }
          auto room = fleet_.Find(it.worker)->Free();
          room += freed[it.worker];
          return !room.Holds(want->second);
        });
    if (!is_needed) continue;
    for (const auto& it : victim->members) {
      if (it.state != MemberState::kOver) {
        freed[it.worker] += CountedNeeds(*victim->step->step);
      }
    }
    if (victim->is_stopping) continue;
    const auto saved = std::max(victim->started, victim->checkpointed);
    waste += SecondsOf(now - saved) * CoresOf(*victim->step->step) *
             victim->step->TasksPerUnit();
    chosen.push_back(victim);
  }
  if (!is_owed && waste > options_.most_waste * WorkOf(*unit.step)) {
    return false;
  }
  for (auto* it : chosen) book_.Stop(*it);
  book_.SetClaim(unit, *places);
  return true;
}

}  // namespace lapishatch::dispatch::internal
