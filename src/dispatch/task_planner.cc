#include "dispatch/internal/task_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "dispatch/placer.h"

namespace lapishatch::dispatch::internal {
namespace {

using jobs::Room;
using jobs::UnitPhase;

/// Urgent jobs of an organisation are protected by its guarantee.
constexpr int kUrgentPriority = 0;

bool GoesBefore(const StepRun* a, const StepRun* b) {
  const auto key = [](const StepRun* it) {
    return std::tuple(it->job->job->priority, it->job->known_since,
                      it->job->job->name, it->occurrence, it->number);
  };
  return key(a) < key(b);
}

PlaceRequest RequestFor(const StepRun& run, bool accepts_slow) {
  PlaceRequest out;
  out.step = run.step;
  out.tasks = run.TasksPerUnit();
  out.on_worker = &run.on_worker;
  out.accepts_slow = accepts_slow;
  return out;
}

/// What stopping a unit throws away, the cheapest first: what is being stopped
/// anyway, quiet work before other, work that can go on from a checkpoint before work that cannot, young
/// before old.
bool IsCheaper(const Unit* a, const Unit* b) {
  const auto key = [](const Unit* it) {
    return std::tuple(!it->is_stopping, -it->step->job->job->priority,
                      !it->step->step->has_checkpoints, -it->started.time_since_epoch().count(),
                      it->step->job->job->name, it->first_index);
  };
  return key(a) < key(b);
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
  std::sort(ready.begin(), ready.end(), GoesBefore);
  for (auto* it : ready) StartReady(*it, now, out);
  return out;
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
  for (auto& unit : run.units) {
    if (unit.phase != UnitPhase::kWaiting || !unit.claim.empty()) continue;
    const auto waited = now - unit.waiting_since;
    const auto patience = base::Duration(static_cast<std::int64_t>(
        options_.slow_place_after *
        static_cast<double>(run.step->estimate.count())));
    auto request = RequestFor(run, waited >= patience);
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
    if (!is_owed || !TryReclaim(unit, now)) return;
  }
}

/// Units that may be stopped for `unit`: everything that no guarantee protects.
std::vector<Unit*> TaskPlanner::VictimsFor(const Unit& unit) const {
  std::vector<Unit*> out;
  for (auto* it : book_.active()) {
    const auto& job = *it->step->job;
    if (&job == unit.step->job || it->phase == UnitPhase::kDone) continue;
    if (IsOwed(job)) continue;
    out.push_back(it);
  }
  std::sort(out.begin(), out.end(), IsCheaper);
  return out;
}

/// Finds a place for `unit` by stopping the cheapest units that give one.
/// Those that are being stopped already count as free to be.
bool TaskPlanner::TryReclaim(Unit& unit, base::TimePoint now) {
  const auto victims = VictimsFor(unit);
  auto request = RequestFor(*unit.step, false);
  request.accepts_slow =
      now - unit.waiting_since >= options_.owed_slow_after ||
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
    if (!victim->is_stopping) book_.Stop(*victim);
  }
  book_.SetClaim(unit, *places);
  return true;
}

}  // namespace lapishatch::dispatch::internal
