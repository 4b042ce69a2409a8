#include "dispatch/internal/reclaim.h"

#include <map>
#include <utility>

namespace lapishatch::dispatch::internal {
namespace {

using jobs::Room;

/// A worker with what could be stopped on it, the cheapest last.
struct Site {
  const FleetWorker* worker = nullptr;
  Room room;
  std::vector<const Victim*> victims;
  int tasks_left = 0;
};

/// What it takes to put one more task on a site.
struct Offer {
  Site* site = nullptr;
  double cost = 0;
  std::vector<const Victim*> stops;
};

std::map<base::WorkerName, Site> SitesOf(
    const Fleet& fleet, const StepRun& run, const std::vector<Victim>& victims,
    const std::optional<base::RackName>& rack) {
  std::map<base::WorkerName, Site> out;
  const auto& step = *run.step;
  for (const auto& [name, worker] : fleet.workers()) {
    if (!worker.is_open || (rack && worker.rack != *rack)) continue;
    // Nothing is stopped for a place where the unit may well fail.
    if (worker.is_doubted) continue;
    const auto& label = step.required_label;
    if (!label.empty() && !worker.HasLabel(label)) continue;
    int left = run.TasksPerUnit();
    if (step.most_per_worker > 0) {
      const auto it = run.on_worker.find(name);
      const int present = it == run.on_worker.end() ? 0 : it->second;
      left = step.most_per_worker - present;
    }
    out[name] = {&worker, worker.Free(), {}, left};
  }
  for (auto it = victims.rbegin(); it != victims.rend(); ++it) {
    for (const auto& member : it->unit->members) {
      const auto site = out.find(member.worker);
      if (site == out.end() || member.state == MemberState::kOver) continue;
      auto& present = site->second.victims;
      if (present.empty() || present.back() != &*it) present.push_back(&*it);
    }
  }
  return out;
}

/// Room that stopping `victim` frees on a worker.
Room FreedOn(const Victim& victim, const base::WorkerName& worker) {
  Room out;
  const auto needs = CountedNeeds(*victim.unit->step->step);
  for (const auto& it : victim.unit->members) {
    if (it.worker == worker && it.state != MemberState::kOver) out += needs;
  }
  return out;
}

std::optional<Offer> OfferOf(Site& site, const Room& needs,
                             const std::set<const Unit*>& stopped) {
  if (site.tasks_left <= 0) return std::nullopt;
  Offer out{&site, 0, {}};
  auto room = site.room;
  for (auto it = site.victims.rbegin(); it != site.victims.rend(); ++it) {
    if (room.Holds(needs)) break;
    room += FreedOn(**it, site.worker->name);
    if (!stopped.contains((*it)->unit)) out.cost += (*it)->cost;
    out.stops.push_back(*it);
  }
  if (!room.Holds(needs)) return std::nullopt;
  return out;
}

}  // namespace

std::set<base::RackName> RacksOf(const Fleet& fleet) {
  std::set<base::RackName> out;
  for (const auto& [name, worker] : fleet.workers()) {
    if (worker.is_open) out.insert(worker.rack);
  }
  return out;
}

std::optional<ReclaimPlan> FindReclaim(
    const Fleet& fleet, const StepRun& run, const std::vector<Victim>& victims,
    const std::optional<base::RackName>& rack) {
  auto sites = SitesOf(fleet, run, victims, rack);
  const auto needs = CountedNeeds(*run.step);
  ReclaimPlan out;
  std::set<const Unit*> stopped;
  for (int i = 0; i < run.TasksPerUnit(); ++i) {
    std::optional<Offer> best;
    for (auto& [name, site] : sites) {
      auto offer = OfferOf(site, needs, stopped);
      if (offer && (!best || offer->cost < best->cost)) best = std::move(offer);
    }
    if (!best) return std::nullopt;
    auto& site = *best->site;
    for (const auto* it : best->stops) {
      site.room += FreedOn(*it, site.worker->name);
      site.victims.pop_back();
      if (!stopped.insert(it->unit).second) continue;
      out.victims.push_back(it->unit);
    }
    site.room -= needs;
    --site.tasks_left;
    out.cost += best->cost;
    out.places.push_back(site.worker->name);
  }
  return out;
}

}  // namespace lapishatch::dispatch::internal
