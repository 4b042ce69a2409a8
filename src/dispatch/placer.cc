#include "dispatch/placer.h"

#include <algorithm>
#include <limits>
#include <string_view>
#include <tuple>
#include <utility>

namespace lapishatch::dispatch {
namespace {

using jobs::Resources;

/// A worker that may run tasks of the step.
struct Candidate {
  const FleetWorker* worker = nullptr;
  Resources free_resources;
  /// How many more tasks of the step it may run.
  int tasks_left = 0;
  /// Free accelerators on its rack.
  std::int64_t rack_free = 0;
};

using Candidates = std::vector<Candidate>;

int TasksLeft(const FleetWorker& worker, const PlacementRequest& request) {
  if (request.step->max_tasks_per_worker == 0) return request.tasks;
  int present = 0;
  if (request.tasks_by_worker != nullptr) {
    const auto it = request.tasks_by_worker->find(worker.name);
    if (it != request.tasks_by_worker->end()) present = it->second;
  }
  return request.step->max_tasks_per_worker - present;
}

/// Whether the unit must keep off the worker because of workers that it lost.
bool IsAvoided(const FleetWorker& worker, const PlacementRequest& request) {
  return request.lost_at != nullptr &&
         (worker.is_unreliable || request.lost_at->contains(worker.address));
}

bool IsAllowed(const FleetWorker& worker, const PlacementRequest& request) {
  if (IsAvoided(worker, request)) return false;
  const auto& label = request.step->required_label;
  if (!label.empty() && !worker.HasLabel(label)) return false;
  if (request.excludes_risky_workers && worker.IsRisky()) return false;
  const bool is_isolated = request.suspect == SuspectPlacement::kIsolated;
  if (is_isolated && worker.suspect_tasks > 0) return false;
  const bool avoids_crashes =
      is_isolated || request.suspect == SuspectPlacement::kAwayFromCrashes;
  if (avoids_crashes && worker.HasRecentCrash()) return false;
  return request.excluded_workers == nullptr ||
         !request.excluded_workers->contains(worker.name);
}

Candidates FindCandidates(SchedulableWorkers& workers,
                          const PlacementRequest& request) {
  Candidates out;
  const auto needs = ResourcesPerTask(*request.step);
  workers.VisitWithFree(needs.accelerators, [&](const FleetWorker& worker) {
    const auto free_resources = worker.Free();
    if (!free_resources.Covers(needs) || !IsAllowed(worker, request)) return;
    const int left = TasksLeft(worker, request);
    if (left > 0) {
      out.push_back(
          {&worker, free_resources, left, workers.FreeOnRack(worker)});
    }
  });
  return out;
}

/// Returns how many tasks of `needs` fit into `free_resources`, up to `most`.
int CountFitting(const Resources& free_resources, const Resources& needs,
                 int most) {
  const auto fit = [](std::int64_t available, std::int64_t needed) {
    return needed > 0 ? available / needed
                      : std::numeric_limits<std::int64_t>::max();
  };
  const auto n =
      std::min({fit(free_resources.cpu_millis, needs.cpu_millis),
                fit(free_resources.memory_mb, needs.memory_mb),
                fit(free_resources.accelerators, needs.accelerators)});
  return static_cast<int>(std::clamp<std::int64_t>(n, 0, most));
}

/// Sort key for best fit, lower is better: fewer free accelerators on the
/// worker, then on its rack, so that whole racks stay free for gangs, then less
/// free CPU.
auto BestFitKey(const Candidate& it) {
  return std::tie(it.free_resources.accelerators, it.rack_free,
                  it.free_resources.cpu_millis, it.worker->name);
}

/// Sort key for suspect tasks: workers without a recent crash first, then the
/// one whose crash is longest ago, then the emptiest, so that a crash affects
/// the fewest other tasks.
auto SuspectKey(const Candidate& it) {
  const std::string_view name = it.worker->name.str();
  return std::tuple(it.worker->last_crash_at, -it.free_resources.accelerators,
                    -it.free_resources.cpu_millis, name);
}

/// Places all tasks on `candidates` by best fit, or on the emptiest first for
/// suspect tasks. Returns nothing if they do not fit. Each candidate is filled
/// before the next, so a heap avoids sorting those that are not needed.
std::optional<Placement> Fill(Candidates candidates,
                              const PlacementRequest& request) {
  const auto needs = ResourcesPerTask(*request.step);
  const auto is_worse = [&request](const Candidate& a, const Candidate& b) {
    if (request.suspect != SuspectPlacement::kNotSuspect) {
      return SuspectKey(b) < SuspectKey(a);
    }
    return BestFitKey(b) < BestFitKey(a);
  };
  std::make_heap(candidates.begin(), candidates.end(), is_worse);
  Placement out;
  const auto tasks = static_cast<std::size_t>(request.tasks);
  out.reserve(tasks);
  while (out.size() < tasks) {
    if (candidates.empty()) return std::nullopt;
    std::pop_heap(candidates.begin(), candidates.end(), is_worse);
    const auto& best = candidates.back();
    const auto wanted = static_cast<int>(tasks - out.size());
    const int n = CountFitting(best.free_resources, needs,
                               std::min(wanted, best.tasks_left));
    out.insert(out.end(), static_cast<std::size_t>(n), best.worker->name);
    candidates.pop_back();
  }
  return out;
}

/// Places the gang on the rack with the fewest free accelerators among those
/// where it fits.
std::optional<Placement> FillOneRack(const Candidates& candidates,
                                     const PlacementRequest& request) {
  struct RackCapacity {
    int tasks = 0;
    std::int64_t accelerators = 0;
  };
  const auto needs = ResourcesPerTask(*request.step);
  std::map<base::RackName, RackCapacity> racks;
  for (const auto& it : candidates) {
    auto& rack = racks[it.worker->rack];
    rack.tasks += CountFitting(it.free_resources, needs, it.tasks_left);
    rack.accelerators += it.free_resources.accelerators;
  }
  const base::RackName* best = nullptr;
  std::int64_t best_free = 0;
  for (const auto& [name, rack] : racks) {
    if (rack.tasks < request.tasks) continue;
    if (best != nullptr && rack.accelerators >= best_free) continue;
    best = &name;
    best_free = rack.accelerators;
  }
  if (best == nullptr) return std::nullopt;
  Candidates members;
  for (const auto& it : candidates) {
    if (it.worker->rack == *best) members.push_back(it);
  }
  return Fill(std::move(members), request);
}

Candidates OnRack(const Candidates& candidates, const base::RackName& rack) {
  Candidates out;
  for (const auto& it : candidates) {
    if (it.worker->rack == rack) out.push_back(it);
  }
  return out;
}

/// Returns how many tasks of the step would fit on `workers` if nothing ran
/// there. Stops counting at the number requested.
int CountFittingWhenEmpty(const SchedulableWorkers::List& workers,
                          const PlacementRequest& request) {
  const auto needs = ResourcesPerTask(*request.step);
  const auto& step = *request.step;
  const int most =
      step.max_tasks_per_worker > 0 ? step.max_tasks_per_worker : request.tasks;
  int out = 0;
  for (const auto* it : workers) {
    const auto& label = step.required_label;
    if (!label.empty() && !it->HasLabel(label)) continue;
    if (IsAvoided(*it, request)) continue;
    out += CountFitting(it->capacity, needs, most);
    if (out >= request.tasks) break;
  }
  return out;
}

}  // namespace

bool PrefersRack(const jobs::Step& step) {
  return !step.preferred_rack.empty() ||
         (step.is_gang && step.prefers_single_rack);
}

std::optional<Placement> FindPlacement(SchedulableWorkers& workers,
                                       const PlacementRequest& request) {
  auto candidates = FindCandidates(workers, request);
  const auto& step = *request.step;
  if (!step.preferred_rack.empty()) {
    auto placement = Fill(OnRack(candidates, step.preferred_rack), request);
    if (placement || !request.allows_other_racks) return placement;
  }
  if (step.is_gang && step.prefers_single_rack) {
    auto placement = FillOneRack(candidates, request);
    if (placement || !request.allows_other_racks) return placement;
  }
  return Fill(std::move(candidates), request);
}

bool FitsWhenEmpty(const SchedulableWorkers& workers,
                   const PlacementRequest& request) {
  const auto& step = *request.step;
  const auto fits = [&request](const SchedulableWorkers::List& list) {
    return CountFittingWhenEmpty(list, request) >= request.tasks;
  };
  if (request.allows_other_racks) return fits(workers.all());
  const auto& racks = workers.racks();
  if (!step.preferred_rack.empty()) {
    const auto it = racks.find(step.preferred_rack);
    return it != racks.end() && fits(it->second);
  }
  if (step.is_gang && step.prefers_single_rack) {
    return std::any_of(racks.begin(), racks.end(),
                       [&fits](const auto& it) { return fits(it.second); });
  }
  return fits(workers.all());
}

}  // namespace lapishatch::dispatch
