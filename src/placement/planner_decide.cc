#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "placement/internal/planner_impl.h"

namespace lapishatch::placement {

using internal::BlockIndex;
using internal::BlockUse;
using internal::GangPhase;
using internal::GangState;
using internal::Place;
using internal::Room;

std::vector<Decision> Planner::Impl::Decide(base::TimePoint now) {
  decisions_.clear();
  RefuseImpossible();
  RelieveWorkers(now);
  StartArrivals(now);
  PlaceQueued(now);
  return std::move(decisions_);
}

void Planner::Impl::RefuseImpossible() {
  if (!check_possible_) return;
  check_possible_ = false;
  for (const auto& it : queue_.All()) {
    const auto gang = gangs_.find(it.job);
    auto reason = WhyNever(gang->second.gang);
    if (reason.empty()) continue;
    decisions_.push_back(RefuseGang{it.job, std::move(reason)});
    queue_.Remove(gang->second.gang);
    gangs_.erase(gang);
  }
}

void Planner::Impl::RelieveWorkers(base::TimePoint now) {
  for (const auto& [index, over] : overfilled_) {
    const auto& worker = cell_.at(index);
    // What is being evicted already may be enough; the next report tells.
    if (worker.evicting > 0) continue;
    GangState* victim = nullptr;
    for (auto* it : on_worker_[index]) {
      if (it->phase != GangPhase::kRunning) continue;
      if (!internal::Evictable(it->gang)) continue;
      if (victim != nullptr &&
          std::pair(!victim->borrowed(), LostWork(*victim, now)) <=
              std::pair(!it->borrowed(), LostWork(*it, now))) {
        continue;
      }
      victim = it;
    }
    if (victim == nullptr) continue;
    Evict(*victim, victim->gang.job,
          "worker " + worker.spec.name.str() + " uses " + std::to_string(over) +
              " MB more memory than it has; this gang is moved before the "
              "worker fails");
  }
}

void Planner::Impl::StartArrivals(base::TimePoint now) {
  const auto arriving = arriving_;
  for (auto* it : arriving) {
    if (!PhysicallyFree(it->place)) continue;
    auto uses = std::move(it->uses);
    it->uses.clear();
    DropClaim(*it);
    it->uses = std::move(uses);
    Start(*it, now);
  }
}

bool Planner::Impl::PhysicallyFree(const Place& place) const {
  return std::all_of(place.begin(), place.end(), [&](const auto& it) {
    const auto& worker = cell_.at(it.worker);
    return worker.open() &&
           worker.used + it.total() <= worker.spec.accelerators;
  });
}

void Planner::Impl::Start(GangState& gang, base::TimePoint now) {
  gang.phase = GangPhase::kRunning;
  gang.started = now;
  gang.masks.clear();
  HoldPlace(gang);
  decisions_.push_back(StartGang{gang.gang.job, PlacementOf(gang)});
}

void Planner::Impl::Evict(GangState& gang, const base::JobName& for_job,
                          std::string reason) {
  gang.phase = GangPhase::kEvicting;
  gang.reason = reason;
  for (const auto& it : gang.place) {
    cell_.at(it.worker).evicting += it.total();
  }
  decisions_.push_back(EvictGang{gang.gang.job, for_job, std::move(reason)});
}

bool Planner::Impl::WithinLimit(const GangState& gang) const {
  const auto it = accounts_.find(gang.gang.organisation);
  if (it == accounts_.end()) return true;
  const auto& limit = it->second.share.running_accelerators_limit;
  return !limit.has_value() ||
         it->second.running + gang.gang.accelerators() <= *limit;
}

double Planner::Impl::ShareOf(
    const base::OrganisationName& organisation) const {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end()) return 0;
  return it->second.borrowed / std::max(it->second.share.weight, 1e-9);
}

void Planner::Impl::PlaceQueued(base::TimePoint now) {
  queue_.Visit(
      now, [&](const auto& organisation) { return ShareOf(organisation); },
      [&](const base::JobName& job) {
        auto& gang = *FindGang(job);
        if (!TryPlace(gang, now)) return false;
        queue_.Remove(gang.gang);
        return true;
      });
}

bool Planner::Impl::TryPlace(GangState& gang, base::TimePoint now) {
  if (!WithinLimit(gang)) return false;
  return TryOwn(gang, now) || TryBorrow(gang, now);
}

bool Planner::Impl::TryOwn(GangState& gang, base::TimePoint now) {
  const auto all = book_.Of(gang.gang.organisation);
  std::vector<std::vector<BlockIndex>> choices(1);
  for (const auto it : all) {
    if (book_.blocks()[it].in_use()) choices.front().push_back(it);
  }
  for (const auto it : all) {
    const auto& block = book_.blocks()[it];
    if (!block.in_use() && block.placed()) choices.push_back({it});
  }
  choices.push_back(all);
  for (const auto& it : choices) {
    auto found = FindOwnPlace(gang, it, now);
    if (!found.clearing.possible) continue;
    gang.place = std::move(found.place);
    gang.uses = std::move(found.uses);
    book_.Use(gang.uses);
    for (auto* victim : found.clearing.victims) {
      Evict(*victim, gang.gang.job,
            "its place is guaranteed to organisation " +
                gang.gang.organisation.str() + ", which needs it for job " +
                gang.gang.job.str());
    }
    if (PhysicallyFree(gang.place)) {
      Start(gang, now);
    } else {
      ClaimPlace(gang);
    }
    return true;
  }
  return false;
}

Planner::Impl::OwnPlace Planner::Impl::FindOwnPlace(
    const GangState& gang, const std::vector<BlockIndex>& blocks,
    base::TimePoint now) {
  std::vector<Room> rooms;
  for (const auto index : blocks) {
    const auto& block = book_.blocks()[index];
    if (block.retiring) continue;
    for (const auto& piece : block.pieces) {
      if (!cell_.at(piece.worker).open()) continue;
      const auto same = std::find_if(
          rooms.begin(), rooms.end(),
          [&](const auto& room) { return room.worker == piece.worker; });
      const int left = piece.count - piece.in_use;
      if (same != rooms.end()) {
        same->accelerators += left;
      } else {
        rooms.push_back({piece.worker, left, 0});
      }
    }
  }
  std::sort(rooms.begin(), rooms.end(),
            [](auto& a, auto& b) { return a.worker < b.worker; });
  OwnPlace found;
  found.place = internal::FindPlace(cell_, gang.gang,
                                    cell_.ChargesOf(gang.gang.needs), rooms);
  if (found.place.empty()) return found;
  found.uses = UsesFor(found.place, blocks);
  found.clearing = Clear(found.place, now);
  return found;
}

std::vector<BlockUse> Planner::Impl::UsesFor(
    const Place& place, const std::vector<BlockIndex>& blocks) const {
  std::vector<BlockUse> uses;
  std::map<std::pair<BlockIndex, int>, int> taken;
  for (const auto& slot : place) {
    int need = slot.total();
    for (const auto index : blocks) {
      const auto& block = book_.blocks()[index];
      if (block.retiring) continue;
      for (const auto& piece : block.pieces) {
        if (piece.worker != slot.worker) continue;
        auto& used = taken[{index, slot.worker}];
        const int n = std::min(need, piece.count - piece.in_use - used);
        if (n <= 0) continue;
        uses.push_back({index, slot.worker, n});
        used += n;
        need -= n;
      }
    }
    if (need > 0) return {};
  }
  return uses;
}

Planner::Impl::Clearing Planner::Impl::Clear(const Place& place,
                                             base::TimePoint now) {
  Clearing clearing;
  std::map<int, int> missing;
  for (const auto& it : place) {
    const auto& worker = cell_.at(it.worker);
    const int left = worker.spec.accelerators - worker.used + worker.evicting -
                     worker.arriving;
    if (left < it.total()) missing[it.worker] = it.total() - left;
  }
  while (true) {
    GangState* best = nullptr;
    double best_rate = 0;
    for (const auto& [index, count] : missing) {
      if (count <= 0) continue;
      for (auto* it : on_worker_[index]) {
        if (it->phase != GangPhase::kRunning || !it->borrowed()) continue;
        if (std::find(clearing.victims.begin(), clearing.victims.end(), it) !=
            clearing.victims.end()) {
          continue;
        }
        int frees = 0;
        for (const auto& slot : it->place) {
          const auto entry = missing.find(slot.worker);
          if (entry == missing.end()) continue;
          frees += std::clamp(slot.total(), 0, std::max(0, entry->second));
        }
        const double rate = LostWork(*it, now) / frees;
        if (best != nullptr && best_rate <= rate) continue;
        best = it;
        best_rate = rate;
      }
    }
    if (best == nullptr) break;
    clearing.victims.push_back(best);
    clearing.lost_work += LostWork(*best, now);
    for (const auto& slot : best->place) {
      const auto entry = missing.find(slot.worker);
      if (entry != missing.end()) entry->second -= slot.total();
    }
  }
  clearing.possible =
      std::all_of(missing.begin(), missing.end(),
                  [](const auto& it) { return it.second <= 0; });
  return clearing;
}

double Planner::Impl::LostWork(const GangState& gang,
                               base::TimePoint now) const {
  // A checkpoint is taken on the way out, so what is lost is the stop itself.
  constexpr double kCheckpointSeconds = 5;
  const double ran = std::chrono::duration<double>(now - gang.started).count();
  const double seconds =
      gang.gang.checkpoint ? std::min(ran, kCheckpointSeconds) : ran;
  return seconds * gang.charge();
}

bool Planner::Impl::TryBorrow(GangState& gang, base::TimePoint now) {
  if (!internal::MayBorrow(gang.gang)) return false;
  std::vector<Room> rooms;
  for (internal::WorkerIndex it = 0; it < cell_.size(); ++it) {
    const auto& worker = cell_.at(it);
    if (worker.held) continue;
    const int available = worker.available();
    if (available <= 0) continue;
    const double under_guarantee =
        std::max(0, available - std::max(0, worker.slack()));
    rooms.push_back({it, available, under_guarantee > 0 ? 1.0 : 0.0});
  }
  gang.place = internal::FindPlace(cell_, gang.gang,
                                   cell_.ChargesOf(gang.gang.needs), rooms);
  if (gang.place.empty()) return false;
  Start(gang, now);
  return true;
}

GangPlacement Planner::Impl::PlacementOf(const GangState& gang) const {
  GangPlacement placement;
  placement.borrowed = gang.borrowed();
  int task = 0;
  for (const auto& slot : gang.place) {
    for (int n = 0; n < slot.tasks; ++n, ++task) {
      const auto mask = gang.masks.empty() ? 0 : gang.masks[task];
      placement.tasks.push_back({task, cell_.at(slot.worker).spec.name, mask});
    }
  }
  return placement;
}

}  // namespace lapishatch::placement
