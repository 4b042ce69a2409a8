#include "dispatch/internal/reclaim.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lapishatch::dispatch::internal {
namespace {

using jobs::Resources;

/// Returns the cost of stopping a unit now.
double CurrentCost(const Unit& unit, double cost) {
  return unit.is_stopping ? 0 : cost;
}

}  // namespace

/// A search for a placement on the given workers.
class ReclaimCandidates::Search {
 public:
  Search(const ReclaimCandidates& candidates, const StepRun& run,
         const SchedulableWorkers::List& workers, ReclaimScope scope)
      : run_(run), scope_(scope), needs_(ResourcesPerTask(*run.step)) {
    hosts_.reserve(workers.size());
    for (const auto* it : workers) AddHost(candidates, *it);
    for (auto& it : hosts_) UpdateNextStops(it);
  }

  std::optional<ReclaimPlan> Run() {
    ReclaimPlan out;
    for (int i = 0; i < run_.TasksPerUnit(); ++i) {
      Host* best = nullptr;
      for (auto& it : hosts_) {
        if (!it.can_host) continue;
        if (best == nullptr || it.cost < best->cost) best = &it;
      }
      if (best == nullptr) return std::nullopt;
      AssignTask(*best, out);
    }
    return out;
  }

 private:
  /// A worker, and the units to stop there for one more task.
  struct Host {
    const FleetWorker* worker = nullptr;
    const Stops* stops = nullptr;
    Resources free_resources;
    int tasks_left = 0;
    /// Stops before this index are already part of the plan.
    std::size_t next = 0;

    // For one more task: stops before `end` are needed, at `cost`.
    bool can_host = false;
    std::size_t end = 0;
    double cost = 0;
  };

  void AddHost(const ReclaimCandidates& candidates, const FleetWorker& worker) {
    if (scope_ == ReclaimScope::kSafeWorkers && worker.IsRisky()) return;
    const auto& step = *run_.step;
    const auto& label = step.required_label;
    if (!label.empty() && !worker.HasLabel(label)) return;
    int left = run_.TasksPerUnit();
    if (step.max_tasks_per_worker > 0) {
      const auto it = run_.tasks_by_worker.find(worker.name);
      const int present = it == run_.tasks_by_worker.end() ? 0 : it->second;
      left = step.max_tasks_per_worker - present;
    }
    Host host;
    host.worker = &worker;
    host.stops = &candidates.StopsOn(worker.name);
    host.free_resources = worker.Free();
    host.tasks_left = left;
    hosts_.push_back(host);
  }

  bool MayStop(const Unit& unit) const {
    return unit.step_run->job != run_.job;
  }

  void UpdateNextStops(Host& host) const {
    host.can_host = false;
    if (host.tasks_left <= 0) return;
    auto free_resources = host.free_resources;
    host.cost = 0;
    host.end = host.next;
    while (!free_resources.Covers(needs_) && host.end < host.stops->size()) {
      const auto& stop = (*host.stops)[host.end++];
      if (!MayStop(*stop.unit)) continue;
      free_resources += stop.freed;
      if (!stopped_.contains(stop.unit)) {
        host.cost += CurrentCost(*stop.unit, stop.cost);
      }
    }
    host.can_host = free_resources.Covers(needs_);
  }

  void AssignTask(Host& host, ReclaimPlan& plan) {
    plan.cost += host.cost;
    plan.placement.push_back(host.worker->name);
    bool has_stopped_gang = false;
    for (; host.next < host.end; ++host.next) {
      const auto& stop = (*host.stops)[host.next];
      if (!MayStop(*stop.unit)) continue;
      host.free_resources += stop.freed;
      if (!stopped_.insert(stop.unit).second) continue;
      plan.victims.push_back(stop.unit);
      has_stopped_gang = has_stopped_gang || stop.unit->members.size() > 1;
    }
    host.free_resources -= needs_;
    --host.tasks_left;
    UpdateNextStops(host);
    // Stopping a gang stops its tasks on other workers too, which lowers the
    // cost of those workers.
    if (!has_stopped_gang) return;
    for (auto& it : hosts_) UpdateNextStops(it);
  }

  const StepRun& run_;
  const ReclaimScope scope_;
  const Resources needs_;
  std::vector<Host> hosts_;
  std::set<const Unit*> stopped_;
};

ReclaimCandidates::ReclaimCandidates(const SchedulableWorkers& workers,
                                     const std::vector<Victim>& victims)
    : workers_(workers) {
  for (const auto& victim : victims) {
    const auto needs = ResourcesPerTask(*victim.unit->step_run->step);
    for (const auto& member : victim.unit->members) {
      if (member.state == MemberState::kTerminated) continue;
      auto& stops = stops_[member.worker];
      const bool is_listed = !stops.empty() && stops.back().unit == victim.unit;
      if (!is_listed) stops.push_back({victim.unit, victim.cost, Resources{}});
      stops.back().freed += needs;
    }
  }
}

std::optional<ReclaimPlan> ReclaimCandidates::FindAnywhere(
    const StepRun& run, ReclaimScope scope) const {
  return Search(*this, run, workers_.all(), scope).Run();
}

std::optional<ReclaimPlan> ReclaimCandidates::FindOnRack(
    const StepRun& run, const base::RackName& rack, ReclaimScope scope) const {
  const auto it = workers_.racks().find(rack);
  if (it == workers_.racks().end()) return std::nullopt;
  return Search(*this, run, it->second, scope).Run();
}

std::optional<ReclaimPlan> ReclaimCandidates::FindOnOneRack(
    const StepRun& run, ReclaimScope scope) const {
  std::optional<ReclaimPlan> best;
  for (const auto& [rack, workers] : workers_.racks()) {
    auto plan = Search(*this, run, workers, scope).Run();
    if (plan && (!best || plan->cost < best->cost)) best = std::move(plan);
  }
  return best;
}

void ReclaimCandidates::MarkStopped(const ReclaimPlan& plan) {
  for (const auto* unit : plan.victims) {
    for (const auto& member : unit->members) {
      const auto it = stops_.find(member.worker);
      if (it == stops_.end()) continue;
      std::stable_partition(
          it->second.begin(), it->second.end(),
          [](const Stop& stop) { return stop.unit->is_stopping; });
    }
  }
}

const ReclaimCandidates::Stops& ReclaimCandidates::StopsOn(
    const base::WorkerName& worker) const {
  static const Stops kNone;
  const auto it = stops_.find(worker);
  return it == stops_.end() ? kNone : it->second;
}

}  // namespace lapishatch::dispatch::internal
