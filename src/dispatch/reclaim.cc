#include "dispatch/internal/reclaim.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lapishatch::dispatch::internal {
namespace {

using jobs::Resources;

/// What stopping a unit costs now.
double CostOf(const Unit& unit, double cost) {
  return unit.is_stopping ? 0 : cost;
}

}  // namespace

/// One search for placement on some workers.
class ReclaimCandidates::Search {
 public:
  Search(const ReclaimCandidates& board, const StepRun& run,
         const SchedulableWorkers::List& workers)
      : run_(run), needs_(ResourcesPerTask(*run.step)) {
    sites_.reserve(workers.size());
    for (const auto* it : workers) AddSite(board, *it);
    for (auto& it : sites_) UpdateOffer(it);
  }

  std::optional<ReclaimPlan> Run() {
    ReclaimPlan out;
    for (int i = 0; i < run_.TasksPerUnit(); ++i) {
      Site* best = nullptr;
      for (auto& it : sites_) {
        if (!it.is_offered) continue;
        if (best == nullptr || it.cost < best->cost) best = &it;
      }
      if (best == nullptr) return std::nullopt;
      Take(*best, out);
    }
    return out;
  }

 private:
  /// A worker, and what it takes to put one more task there.
  struct Site {
    const FleetWorker* worker = nullptr;
    const Stops* stops = nullptr;
    Resources room;
    int tasks_left = 0;
    /// Stops before this one are made for tasks of the plan.
    std::size_t next = 0;

    // The offer for one more task: stops up to `end` are made.
    bool is_offered = false;
    std::size_t end = 0;
    double cost = 0;
  };

  void AddSite(const ReclaimCandidates& board, const FleetWorker& worker) {
    // Nothing is stopped for a place where the unit may well fail.
    if (worker.IsRisky()) return;
    const auto& step = *run_.step;
    const auto& label = step.required_label;
    if (!label.empty() && !worker.HasLabel(label)) return;
    int left = run_.TasksPerUnit();
    if (step.max_tasks_per_worker > 0) {
      const auto it = run_.tasks_by_worker.find(worker.name);
      const int present = it == run_.tasks_by_worker.end() ? 0 : it->second;
      left = step.max_tasks_per_worker - present;
    }
    Site site;
    site.worker = &worker;
    site.stops = &board.StopsOn(worker.name);
    site.room = worker.Free();
    site.tasks_left = left;
    sites_.push_back(site);
  }

  bool MayStop(const Unit& unit) const {
    return unit.step_run->job != run_.job;
  }

  void UpdateOffer(Site& site) const {
    site.is_offered = false;
    if (site.tasks_left <= 0) return;
    auto room = site.room;
    site.cost = 0;
    site.end = site.next;
    while (!room.Covers(needs_) && site.end < site.stops->size()) {
      const auto& stop = (*site.stops)[site.end++];
      if (!MayStop(*stop.unit)) continue;
      room += stop.frees;
      if (!stopped_.contains(stop.unit)) {
        site.cost += CostOf(*stop.unit, stop.cost);
      }
    }
    site.is_offered = room.Covers(needs_);
  }

  void Take(Site& site, ReclaimPlan& plan) {
    plan.cost += site.cost;
    plan.placement.push_back(site.worker->name);
    bool has_stopped_gang = false;
    for (; site.next < site.end; ++site.next) {
      const auto& stop = (*site.stops)[site.next];
      if (!MayStop(*stop.unit)) continue;
      site.room += stop.frees;
      if (!stopped_.insert(stop.unit).second) continue;
      plan.victims.push_back(stop.unit);
      has_stopped_gang = has_stopped_gang || stop.unit->members.size() > 1;
    }
    site.room -= needs_;
    --site.tasks_left;
    UpdateOffer(site);
    // Its other tasks are stopped as well: their workers became cheaper.
    if (!has_stopped_gang) return;
    for (auto& it : sites_) UpdateOffer(it);
  }

  const StepRun& run_;
  const Resources needs_;
  std::vector<Site> sites_;
  std::set<const Unit*> stopped_;
};

ReclaimCandidates::ReclaimCandidates(const SchedulableWorkers& open,
                                     const std::vector<Victim>& victims)
    : open_(open) {
  for (const auto& victim : victims) {
    const auto needs = ResourcesPerTask(*victim.unit->step_run->step);
    for (const auto& member : victim.unit->members) {
      if (member.state == MemberState::kTerminated) continue;
      auto& stops = stops_[member.worker];
      const bool is_there = !stops.empty() && stops.back().unit == victim.unit;
      if (!is_there) stops.push_back({victim.unit, victim.cost, Resources{}});
      stops.back().frees += needs;
    }
  }
}

std::optional<ReclaimPlan> ReclaimCandidates::FindAnywhere(
    const StepRun& run) const {
  return Search(*this, run, open_.all()).Run();
}

std::optional<ReclaimPlan> ReclaimCandidates::FindOnRack(
    const StepRun& run, const base::RackName& rack) const {
  const auto it = open_.racks().find(rack);
  if (it == open_.racks().end()) return std::nullopt;
  return Search(*this, run, it->second).Run();
}

std::optional<ReclaimPlan> ReclaimCandidates::FindOnOneRack(
    const StepRun& run) const {
  std::optional<ReclaimPlan> best;
  for (const auto& [rack, workers] : open_.racks()) {
    auto plan = Search(*this, run, workers).Run();
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
