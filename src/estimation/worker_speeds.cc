#include "estimation/worker_speeds.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

namespace lapishatch::estimation {
namespace {

/// Reorders `values`, which must not be empty.
double MedianOf(std::vector<double>& values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

std::vector<base::WorkerName> WorkerSpeeds::Observe(
    const StepName& step, const base::WorkerName& worker,
    base::Duration full_run_time, double deviation, base::TimePoint now) {
  std::vector<base::WorkerName> out;
  if (!steps_.contains(step) && steps_.size() >= options_.max_steps) {
    EvictOldestStep();
  }
  auto& observed = steps_[step];
  observed.last_observed_at = now;
  auto& runs = observed.runs;
  if (runs.size() >= options_.max_runs_per_step) runs.erase(runs.begin());
  const double log_time =
      std::log(std::chrono::duration<double>(full_run_time).count());
  runs.push_back({worker, log_time, deviation, false});
  // The first runs of a step wait for others to be compared with.
  for (auto& it : runs) {
    double peer_log_time = 0;
    if (it.is_compared || !FindPeerTime(runs, it.worker, peer_log_time)) {
      continue;
    }
    it.is_compared = true;
    Compare(it, peer_log_time, now);
    out.push_back(it.worker);
  }
  return out;
}

void WorkerSpeeds::Compare(const Run& run, double peer_log_time,
                           base::TimePoint now) {
  const bool is_known = workers_.contains(run.worker);
  if (!is_known && workers_.size() >= options_.max_workers) return;
  auto& speed =
      workers_.try_emplace(run.worker, options_.prior_deviation).first->second;
  speed.Age(now, options_.drift_per_second, options_.prior_deviation);
  speed.Observe(peer_log_time - run.log_time,
                std::hypot(options_.task_deviation, run.deviation));
  ++version_;
}

bool WorkerSpeeds::FindPeerTime(const std::vector<Run>& runs,
                                const base::WorkerName& worker,
                                double& log_time) const {
  std::set<base::WorkerName> peers;
  std::vector<double> times;
  for (const auto& it : runs) {
    if (it.worker == worker) continue;
    peers.insert(it.worker);
    const auto speed = workers_.find(it.worker);
    const double log_speed = speed == workers_.end() ? 0 : speed->second.mean();
    times.push_back(it.log_time + log_speed);
  }
  if (peers.size() < options_.min_peers) return false;
  log_time = MedianOf(times);
  return true;
}

void WorkerSpeeds::EvictOldestStep() {
  const auto oldest = std::min_element(
      steps_.begin(), steps_.end(), [](const auto& a, const auto& b) {
        return a.second.last_observed_at < b.second.last_observed_at;
      });
  if (oldest != steps_.end()) steps_.erase(oldest);
}

void WorkerSpeeds::Forget(const base::JobName& job) {
  const auto begin = steps_.lower_bound({job, 0, 0});
  auto end = begin;
  while (end != steps_.end() && end->first.job == job) ++end;
  steps_.erase(begin, end);
}

WorkerSpeed WorkerSpeeds::SpeedOf(const base::WorkerName& worker) const {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return {1, options_.prior_deviation};
  return {std::exp(it->second.mean()), it->second.deviation()};
}

}  // namespace lapishatch::estimation
