#include "dispatch/placer.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lapishatch::dispatch {
namespace {

using jobs::Room;

/// A worker that may take tasks of the step.
struct Candidate {
  const FleetWorker* worker = nullptr;
  Room room;
  /// Tasks of the step that may still be added.
  int tasks_left = 0;
};

Room RoomOf(const FleetWorker& worker, const PlaceRequest& request) {
  auto out = worker.Free();
  if (request.could_free == nullptr) return out;
  const auto it = request.could_free->find(worker.name);
  if (it != request.could_free->end()) out += it->second;
  return out;
}

int TasksLeft(const FleetWorker& worker, const PlaceRequest& request) {
  if (request.step->most_per_worker == 0) return request.tasks;
  int present = 0;
  if (request.on_worker != nullptr) {
    const auto it = request.on_worker->find(worker.name);
    if (it != request.on_worker->end()) present = it->second;
  }
  return request.step->most_per_worker - present;
}

bool IsAllowed(const FleetWorker& worker, const jobs::Step& step) {
  return step.required_label.empty() || worker.HasLabel(step.required_label);
}

std::vector<Candidate> CandidatesOf(const Fleet& fleet,
                                    const PlaceRequest& request) {
  std::vector<Candidate> out;
  const auto needs = CountedNeeds(*request.step);
  for (const auto& [name, worker] : fleet.workers()) {
    if (!worker.is_open || !IsAllowed(worker, *request.step)) continue;
    if (request.avoid != nullptr && request.avoid->contains(name)) continue;
    if (request.avoids_doubted && worker.is_doubted) continue;
    const auto room = RoomOf(worker, request);
    const int left = TasksLeft(worker, request);
    if (left <= 0 || !room.Holds(needs)) continue;
    out.push_back({&worker, room, left});
  }
  return out;
}

/// Less is a better fit: fewer accelerators are left over, then less processor.
auto Leftover(const Candidate& it) {
  return std::tie(it.room.accelerators, it.room.cpu_millis, it.worker->name);
}

bool Fits(const Candidate& it, const Room& needs) {
  return it.tasks_left > 0 && it.room.Holds(needs);
}

/// Puts all tasks on `candidates`, best fit first; nothing where they do not
/// fit.
std::optional<Places> Fill(std::vector<Candidate> candidates,
                           const PlaceRequest& request) {
  const auto needs = CountedNeeds(*request.step);
  Places out;
  while (static_cast<int>(out.size()) < request.tasks) {
    Candidate* best = nullptr;
    for (auto& it : candidates) {
      if (!Fits(it, needs)) continue;
      if (best == nullptr || Leftover(it) < Leftover(*best)) best = &it;
    }
    if (best == nullptr) return std::nullopt;
    while (static_cast<int>(out.size()) < request.tasks && Fits(*best, needs)) {
      out.push_back(best->worker->name);
      best->room -= needs;
      --best->tasks_left;
    }
  }
  return out;
}

std::map<base::RackName, std::vector<Candidate>> ByRack(
    const std::vector<Candidate>& candidates) {
  std::map<base::RackName, std::vector<Candidate>> out;
  for (const auto& it : candidates) out[it.worker->rack].push_back(it);
  return out;
}

/// The rack that the gang fills best: fewest accelerators are left on it.
std::optional<Places> FillOneRack(const std::vector<Candidate>& candidates,
                                  const PlaceRequest& request) {
  std::optional<Places> best;
  std::int64_t best_left = 0;
  for (const auto& [rack, members] : ByRack(candidates)) {
    auto places = Fill(members, request);
    if (!places) continue;
    std::int64_t left = 0;
    for (const auto& it : members) left += it.room.accelerators;
    if (best && left >= best_left) continue;
    best = std::move(places);
    best_left = left;
  }
  return best;
}

std::vector<Candidate> OnRack(const std::vector<Candidate>& candidates,
                              const base::RackName& rack) {
  std::vector<Candidate> out;
  for (const auto& it : candidates) {
    if (it.worker->rack == rack) out.push_back(it);
  }
  return out;
}

std::optional<Places> FindAmong(const std::vector<Candidate>& candidates,
                                const PlaceRequest& request) {
  const auto& step = *request.step;
  if (!step.preferred_rack.empty()) {
    auto places = Fill(OnRack(candidates, step.preferred_rack), request);
    if (places || !request.accepts_slow) return places;
  }
  if (step.is_gang && step.wants_one_rack) {
    auto places = FillOneRack(candidates, request);
    if (places || !request.accepts_slow) return places;
  }
  return Fill(candidates, request);
}

}  // namespace

std::optional<Places> FindPlaces(const Fleet& fleet,
                                 const PlaceRequest& request) {
  return FindAmong(CandidatesOf(fleet, request), request);
}

bool CouldEverFit(const Fleet& fleet, const PlaceRequest& request) {
  std::vector<Candidate> candidates;
  for (const auto& [name, worker] : fleet.workers()) {
    if (!worker.is_open || !IsAllowed(worker, *request.step)) continue;
    auto left = request.tasks;
    if (request.step->most_per_worker > 0) left = request.step->most_per_worker;
    candidates.push_back({&worker, worker.capacity, left});
  }
  auto strict = request;
  strict.accepts_slow = false;
  return FindAmong(candidates, strict).has_value();
}

}  // namespace lapishatch::dispatch
