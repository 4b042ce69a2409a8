#ifndef LAPISHATCH_BENCH_PLACEMENT_POLICIES_H_
#define LAPISHATCH_BENCH_PLACEMENT_POLICIES_H_

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <numeric>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "placement/internal/gang_queue.h"
#include "placement/placement.h"
#include "placement_load.h"

namespace lapishatch::bench {

/// What is compared: the planner, and three ways without guarantees.
enum class Method : std::uint8_t { kPlanner, kFirstFit, kBestFit, kStepWalk };

inline constexpr std::array<const char*, 4> kMethodNames = {
    "planner", "first_fit", "best_fit", "step_walk"};

/// First fit, best fit and the step walk, over the same queue as the planner's
/// but without guarantees, eviction or reservations. A gang fits where its
/// declared accelerators, cores and memory are free.
class Baseline {
 public:
  explicit Baseline(Method method)
      : method_(method),
        queue_(placement::PlannerOptions{}.ageing_after),
        free_(kWorkers) {
    for (int i = 0; i < kWorkers; ++i) {
      const auto spec = MakeWorker(i);
      free_[i] = {spec.accelerators, spec.cores, spec.memory_mb, true};
    }
  }

  void Submit(const placement::Gang& gang) {
    gangs_[gang.job] = {gang, {}};
    queue_.Add(gang);
  }

  void Cancel(const base::JobName& job) {
    queue_.Remove(gangs_.at(job).gang);
    gangs_.erase(job);
  }

  void Ended(const base::JobName& job) {
    Take(gangs_.at(job), -1);
    gangs_.erase(job);
    ++generation_;
  }

  void SetUp(int worker, bool up) {
    free_[worker].up = up;
    ++generation_;
  }

  std::vector<placement::Decision> Decide(base::TimePoint now) {
    std::vector<placement::Decision> decisions;
    queue_.Visit(
        now, generation_,
        [&](const auto& organisation) { return running_[organisation]; },
        [&](const base::JobName& job) {
          auto& it = gangs_.at(job);
          it.workers = Find(it.gang);
          if (it.workers.empty()) return false;
          queue_.Remove(it.gang);
          Take(it, 1);
          placement::GangPlacement placement;
          for (int i = 0; i < it.gang.tasks; ++i) {
            placement.tasks.push_back({i, MakeWorker(it.workers[i]).name, 0});
          }
          decisions.push_back(placement::StartGang{job, placement});
          return true;
        });
    return decisions;
  }

  double Fragmentation(const placement::Shape& shape) const {
    std::vector<placement::WorkerFreeCapacity> workers;
    for (int i = 0; i < kWorkers; ++i) {
      if (!free_[i].up) continue;
      workers.push_back({i / kPerRack, kAccelerators, free_[i].accelerators});
    }
    return placement::ComputeFragmentation(workers, shape);
  }

  int free_accelerators() const {
    int sum = 0;
    for (const auto& it : free_) sum += it.up ? it.accelerators : 0;
    return sum;
  }

 private:
  struct Free {
    int accelerators = 0;
    int cores = 0;
    std::int64_t memory_mb = 0;
    bool up = true;
  };

  struct Placed {
    placement::Gang gang;
    /// Worker of each task; empty while it waits.
    std::vector<int> workers;
  };

  int TasksThatFit(int worker, const placement::TaskNeeds& needs) const {
    const auto& it = free_[worker];
    if (!it.up) return 0;
    std::int64_t n = it.accelerators / std::max(1, needs.accelerators);
    if (needs.cores > 0) n = std::min<std::int64_t>(n, it.cores / needs.cores);
    if (needs.memory_mb > 0) n = std::min(n, it.memory_mb / needs.memory_mb);
    return static_cast<int>(n);
  }

  void Take(const Placed& it, int sign) {
    for (const auto worker : it.workers) {
      free_[worker].accelerators -= sign * it.gang.needs.accelerators;
      free_[worker].cores -= sign * it.gang.needs.cores;
      free_[worker].memory_mb -= sign * it.gang.needs.memory_mb;
    }
    running_[it.gang.organisation] += sign * it.gang.accelerators();
  }

  /// Fills `workers` in the given order.
  std::vector<int> Fill(const placement::Gang& gang,
                        const std::vector<int>& workers) const {
    std::vector<int> placed;
    for (const auto it : workers) {
      const int n = TasksThatFit(it, gang.needs);
      for (int i = 0; i < n && static_cast<int>(placed.size()) < gang.tasks;
           ++i) {
        placed.push_back(it);
      }
    }
    if (static_cast<int>(placed.size()) < gang.tasks) placed.clear();
    return placed;
  }

  /// All workers in the order in which this method looks at them.
  std::vector<int> Order(const placement::Gang& gang) const {
    std::vector<int> order(kWorkers);
    std::iota(order.begin(), order.end(), 0);
    if (method_ == Method::kBestFit) {
      std::stable_sort(order.begin(), order.end(), [&](int a, int b) {
        return free_[a].accelerators < free_[b].accelerators;
      });
    } else if (method_ == Method::kStepWalk) {
      // Primes below the number of workers that don't divide it.
      static const std::vector<int> kSteps = {3,  7,  11, 13, 17, 19, 23,
                                              29, 31, 37, 41, 43, 47};
      const auto hash = std::hash<std::string>()(gang.job.str());
      const int step = kSteps[hash % kSteps.size()];
      int at = static_cast<int>(hash % kWorkers);
      // Bounded: the walk as published never ends when nothing fits.
      for (auto& it : order) {
        it = at;
        at = (at + step) % kWorkers;
      }
    }
    return order;
  }

  std::vector<int> Find(const placement::Gang& gang) const {
    const auto order = Order(gang);
    if (gang.adjacency == placement::Adjacency::kDomain) {
      return Fill(gang, order);
    }
    if (gang.adjacency == placement::Adjacency::kWorker) {
      for (const auto it : order) {
        if (TasksThatFit(it, gang.needs) >= gang.tasks) {
          return std::vector<int>(static_cast<std::size_t>(gang.tasks), it);
        }
      }
      return {};
    }
    std::map<int, std::vector<int>> racks;
    std::vector<int> rack_order;
    for (const auto it : order) {
      auto& rack = racks[it / kPerRack];
      if (rack.empty()) rack_order.push_back(it / kPerRack);
      rack.push_back(it);
    }
    if (method_ == Method::kBestFit) {
      const auto free_in = [&](int rack) {
        int sum = 0;
        for (const auto it : racks[rack]) sum += free_[it].accelerators;
        return sum;
      };
      std::stable_sort(rack_order.begin(), rack_order.end(),
                       [&](int a, int b) { return free_in(a) < free_in(b); });
    }
    for (const auto it : rack_order) {
      auto placed = Fill(gang, racks[it]);
      if (!placed.empty()) return placed;
    }
    return {};
  }

  Method method_;
  placement::internal::GangQueue queue_;
  placement::internal::Generation generation_ = 1;
  std::vector<Free> free_;
  std::unordered_map<base::JobName, Placed> gangs_;
  std::map<base::OrganisationName, double> running_;
};

}  // namespace lapishatch::bench

#endif  // LAPISHATCH_BENCH_PLACEMENT_POLICIES_H_
