// Selects the gangs to stop to free a place and estimates the work lost.

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "placement/internal/planner_impl.h"

namespace lapishatch::placement {

using internal::GangPhase;
using internal::Place;
using internal::WorkerIndex;

namespace {

/// Consecutive reports with too many cores in use before a gang is evicted: a
/// shortage of cores only slows tasks down, since the worker shares its cores
/// among them.
constexpr int kCoreReports = 3;

/// Seconds that a checkpointed gang loses when it is stopped and continued.
constexpr double kCheckpointSeconds = 30;

/// The checkpoint before an eviction may fail, so this share of the work since
/// the last one counts as lost.
constexpr double kCheckpointFailureShare = 0.02;

/// Weights of a lost second of urgent and of normal work, in seconds of quiet
/// work: crews and brokers wait for these gangs, and they are short, so that a
/// stop costs them a large part of their run time.
constexpr double kUrgentWeight = 40;
constexpr double kNormalWeight = 10;

/// Weight of one lost second of a gang.
double ClassWeight(const Gang& gang) {
  switch (gang.work_class) {
    case base::WorkClass::kUrgent:
      return kUrgentWeight;
    case base::WorkClass::kNormal:
      return kNormalWeight;
    case base::WorkClass::kQuiet:
      return 1;
  }
  return 1;
}

double Seconds(base::Duration span) {
  return std::max(0.0, std::chrono::duration<double>(span).count());
}

}  // namespace

double Planner::Impl::LostWork(const GangState& gang,
                               base::TimePoint now) const {
  if (gang.phase == GangPhase::kAwaitingCapacity) return 0;
  const double ran = Seconds(now - gang.started);
  const double weight = gang.charge() * ClassWeight(gang.gang);
  if (!gang.gang.checkpointable) return (ran + 1) * weight;
  const double unsaved = Seconds(now - gang.last_checkpoint);
  const double lost =
      std::min(ran, kCheckpointSeconds) + kCheckpointFailureShare * unsaved;
  return lost * weight;
}

void Planner::Impl::Evict(GangState& gang, const base::JobName& for_job,
                          std::string reason) {
  if (!gang.borrowed()) MakeBorrowed(gang);
  gang.phase = GangPhase::kEvicting;
  gang.eviction_reason = reason;
  for (const auto& it : gang.place) {
    cell_.at(it.worker).evicting += it.total();
  }
  decisions_.push_back(EvictGang{gang.gang.job, for_job, std::move(reason)});
}

bool Planner::Impl::CanBeVictim(const GangState& gang, Victims victims) {
  if (gang.phase == GangPhase::kAwaitingCapacity) return gang.borrowed();
  if (gang.phase != GangPhase::kRunning) return false;
  return gang.borrowed() ||
         (victims == Victims::kMovable && gang.gang.checkpointable);
}

Planner::Impl::EvictionPlan Planner::Impl::PlanEvictions(
    const Place& place, Victims allowed, base::TimePoint now) const {
  EvictionPlan eviction_plan;
  std::map<WorkerIndex, int> missing;
  for (const auto& it : place) {
    missing[it.worker] = it.total() - cell_.at(it.worker).free_after_pending();
  }
  const auto chosen = [&](const GangState* it) {
    return std::find(eviction_plan.victims.begin(), eviction_plan.victims.end(),
                     it) != eviction_plan.victims.end();
  };
  const auto subtract_from_missing = [&](const GangState& gang, int sign) {
    for (const auto& slot : gang.place) {
      const auto entry = missing.find(slot.worker);
      if (entry != missing.end()) entry->second -= sign * slot.total();
    }
  };
  while (true) {
    // Picks the gang that loses the least work for each accelerator that it
    // frees here.
    GangState* best = nullptr;
    double best_rate = 0;
    for (const auto& [index, count] : missing) {
      if (count <= 0) continue;
      for (auto* it : gangs_by_worker_[index]) {
        if (!CanBeVictim(*it, allowed) || chosen(it)) continue;
        int frees = 0;
        for (const auto& slot : it->place) {
          const auto entry = missing.find(slot.worker);
          if (entry == missing.end()) continue;
          frees += std::min(slot.total(), std::max(0, entry->second));
        }
        const double rate = LostWork(*it, now) / frees;
        if (best != nullptr && best_rate <= rate) continue;
        best = it;
        best_rate = rate;
      }
    }
    if (best == nullptr) break;
    eviction_plan.victims.push_back(best);
    subtract_from_missing(*best, 1);
  }
  eviction_plan.possible =
      std::all_of(missing.begin(), missing.end(),
                  [](const auto& it) { return it.second <= 0; });
  // Drops victims that later choices have made unnecessary.
  auto& victims = eviction_plan.victims;
  for (std::size_t i = 0; i < victims.size();) {
    subtract_from_missing(*victims[i], -1);
    const bool is_unnecessary =
        std::all_of(missing.begin(), missing.end(),
                    [](const auto& it) { return it.second <= 0; });
    if (is_unnecessary) {
      victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(i));
    } else {
      subtract_from_missing(*victims[i], 1);
      ++i;
    }
  }
  for (const auto* it : victims) eviction_plan.lost_work += LostWork(*it, now);
  return eviction_plan;
}

double Planner::Impl::EvictionCost(WorkerIndex index, int need, Victims allowed,
                                   base::TimePoint now) const {
  int missing = need - cell_.at(index).free_after_pending();
  if (missing <= 0) return 0;
  std::vector<std::pair<double, int>> candidates;
  for (const auto* it : gangs_by_worker_[index]) {
    if (!CanBeVictim(*it, allowed)) continue;
    const int frees = it->charge_on(index);
    candidates.emplace_back(LostWork(*it, now) / frees, frees);
  }
  std::sort(candidates.begin(), candidates.end());
  double cost = 0;
  for (const auto& [rate, frees] : candidates) {
    if (missing <= 0) break;
    cost += rate * frees;
    missing -= frees;
  }
  return cost;
}

void Planner::Impl::RelieveOverloadedWorkers(base::TimePoint now) {
  for (auto& entry : overloads_) {
    const auto index = entry.first;
    auto& overload = entry.second;
    // Evicts one gang for each report; the next report shows whether that was
    // enough.
    if (!std::exchange(overload.reported, false)) continue;
    const bool memory = overload.memory_mb > 0;
    if (!memory && overload.core_reports < kCoreReports) continue;
    if (cell_.at(index).evicting > 0) continue;
    // Picks the gang that exceeds its declared memory most; when none does, the
    // one that loses least work.
    GangState* victim = nullptr;
    const auto rank = [&](const GangState& gang) {
      const double excess =
          MemoryOn(gang, index) - DeclaredMemoryOn(gang, index);
      return std::tuple(memory ? -std::max(0.0, excess) : 0.0, !gang.borrowed(),
                        LostWork(gang, now));
    };
    for (auto* it : gangs_by_worker_[index]) {
      if (it->phase != GangPhase::kRunning) continue;
      if (!internal::IsEvictable(it->gang)) continue;
      if (victim != nullptr && rank(*victim) <= rank(*it)) continue;
      victim = it;
    }
    if (victim == nullptr) continue;
    if (memory) RecordMemoryUse(*victim, index);
    const auto& name = cell_.spec(index).name.str();
    Evict(*victim, victim->gang.job,
          memory ? "worker " + name +
                       " is about to run out of memory: its tasks use more "
                       "than they declared, and this gang is moved first"
                 : "worker " + name +
                       " is short of cores: its tasks use more than they "
                       "declared, and this gang is moved first");
  }
}

double Planner::Impl::MemoryOn(const GangState& gang, WorkerIndex index) const {
  for (std::size_t i = 0; i < gang.memory_mb.size(); ++i) {
    if (gang.place[i].worker == index) return gang.memory_mb[i];
  }
  return 0;
}

double Planner::Impl::DeclaredMemoryOn(const GangState& gang,
                                       WorkerIndex index) const {
  for (const auto& it : gang.place) {
    if (it.worker != index) continue;
    return static_cast<double>(it.tasks * gang.gang.needs.memory_mb);
  }
  return 0;
}

void Planner::Impl::AttributeMemory(WorkerIndex index, std::int64_t memory_mb) {
  // Attributes the change since the last report mostly to the newest gangs
  // here: the estimate for a gang with many reports is already accurate, so its
  // weight is small.
  auto change = static_cast<double>(memory_mb);
  double weights = 0;
  const auto weight = [&](const GangState& gang) {
    const double seen = 1.0 + gang.usage_reports;
    return (1 + DeclaredMemoryOn(gang, index)) / (seen * seen * seen);
  };
  for (const auto* it : gangs_by_worker_[index]) {
    if (it->phase == GangPhase::kAwaitingCapacity) continue;
    change -= MemoryOn(*it, index);
    weights += weight(*it);
  }
  for (auto* it : gangs_by_worker_[index]) {
    if (it->phase == GangPhase::kAwaitingCapacity) continue;
    it->memory_mb.resize(it->place.size(), 0);
    const double part = change * weight(*it) / weights;
    for (std::size_t i = 0; i < it->place.size(); ++i) {
      if (it->place[i].worker != index) continue;
      it->memory_mb[i] = std::max(0.0, it->memory_mb[i] + part);
    }
    ++it->usage_reports;
  }
}

void Planner::Impl::RecordMemoryUse(const GangState& gang, WorkerIndex index) {
  const double used = MemoryOn(gang, index);
  const double declared = DeclaredMemoryOn(gang, index);
  if (used <= declared) return;
  const auto per_task =
      static_cast<std::int64_t>(static_cast<double>(gang.gang.needs.memory_mb) *
                                used / std::max(1.0, declared));
  const auto [history, added] = history_.try_emplace(gang.gang.job);
  if (added) history_order_.push_back(gang.gang.job);
  history->second.memory_mb = std::min(per_task, cell_.spec(index).memory_mb);
}

}  // namespace lapishatch::placement
