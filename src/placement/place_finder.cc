#include "placement/internal/place_finder.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace lapishatch::placement::internal {
namespace {

int ChargeAt(const Cell& cell, const std::vector<int>& charges,
             WorkerIndex worker) {
  return charges[cell.at(worker).type];
}

Place OnOneWorker(const Cell& cell, const Gang& gang,
                  const std::vector<int>& charges,
                  const std::vector<Room>& rooms) {
  const Room* best = nullptr;
  for (const auto& it : rooms) {
    const int need = gang.tasks * ChargeAt(cell, charges, it.worker);
    if (it.accelerators < need) continue;
    if (best != nullptr && std::tuple(best->cost, best->accelerators) <=
                               std::tuple(it.cost, it.accelerators)) {
      continue;
    }
    best = &it;
  }
  if (best == nullptr) return {};
  return {{best->worker, gang.tasks, ChargeAt(cell, charges, best->worker)}};
}

/// Spreads the tasks over rooms that together hold them.
Place Spread(const Cell& cell, int tasks, const std::vector<int>& charges,
             std::vector<Room> rooms) {
  std::stable_sort(rooms.begin(), rooms.end(), [](auto& a, auto& b) {
    return std::tuple(a.cost, a.accelerators) <
           std::tuple(b.cost, b.accelerators);
  });
  Place place;
  for (const auto& it : rooms) {
    const int charge = ChargeAt(cell, charges, it.worker);
    const int n = std::min(tasks, it.accelerators / charge);
    if (n == 0) continue;
    place.push_back({it.worker, n, charge});
    tasks -= n;
    if (tasks == 0) return place;
  }
  return {};
}

/// What one rack offers to a gang.
struct RackOffer {
  std::vector<Room> rooms;
  int tasks = 0;
  int accelerators = 0;
  double cost = 0;
};

std::map<RackIndex, RackOffer> ByRack(const Cell& cell,
                                      const std::vector<int>& charges,
                                      const std::vector<Room>& rooms) {
  std::map<RackIndex, RackOffer> offers;
  for (const auto& it : rooms) {
    auto& offer = offers[cell.at(it.worker).rack];
    offer.rooms.push_back(it);
    offer.tasks += it.accelerators / ChargeAt(cell, charges, it.worker);
    offer.accelerators += it.accelerators;
    offer.cost += it.cost;
  }
  return offers;
}

double CostOf(const Place& place, const std::vector<Room>& rooms) {
  double cost = 0;
  for (const auto& slot : place) {
    for (const auto& it : rooms) {
      if (it.worker == slot.worker) cost += it.cost;
    }
  }
  return cost;
}

Place InOneRack(const Cell& cell, const Gang& gang,
                const std::vector<int>& charges,
                const std::vector<Room>& rooms) {
  Place best;
  std::tuple<double, int> best_score;
  for (const auto& [rack, offer] : ByRack(cell, charges, rooms)) {
    if (offer.tasks < gang.tasks) continue;
    auto place = Spread(cell, gang.tasks, charges, offer.rooms);
    const std::tuple score(CostOf(place, offer.rooms), offer.accelerators);
    if (!best.empty() && best_score <= score) continue;
    best = std::move(place);
    best_score = score;
  }
  return best;
}

Place AcrossRacks(const Cell& cell, const Gang& gang,
                  const std::vector<int>& charges,
                  const std::vector<Room>& rooms) {
  auto place = InOneRack(cell, gang, charges, rooms);
  if (!place.empty()) return place;
  return Spread(cell, gang.tasks, charges, rooms);
}

}  // namespace

Place FindPlace(const Cell& cell, const Gang& gang,
                const std::vector<int>& charges,
                const std::vector<Room>& rooms) {
  switch (gang.adjacency) {
    case Adjacency::kWorker:
      return OnOneWorker(cell, gang, charges, rooms);
    case Adjacency::kRack:
      return InOneRack(cell, gang, charges, rooms);
    case Adjacency::kDomain:
      return AcrossRacks(cell, gang, charges, rooms);
  }
  return {};
}

}  // namespace lapishatch::placement::internal
