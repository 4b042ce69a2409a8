#include "dispatch/internal/crash_policy.h"

#include <algorithm>

namespace lapishatch::dispatch::internal {

bool HasCommonCause(const DownWorkers& down, const base::RackName& rack,
                    const jobs::TaskName& task,
                    const CrashPolicyOptions& options) {
  int on_rack = 0;
  int total = 0;
  for (const auto& it : down.workers) {
    const auto& tasks = it.tasks;
    if (std::find(tasks.begin(), tasks.end(), task) != tasks.end()) continue;
    ++total;
    if (it.rack == rack) ++on_rack;
  }
  const auto reaches = [total](int min_count, double min_share, int size) {
    return total >= min_count && total >= min_share * size;
  };
  return on_rack >= options.min_rack_failures ||
         reaches(options.min_fleet_failures, options.min_fleet_failure_share,
                 down.fleet_size) ||
         reaches(options.min_suspect_free_failures,
                 options.min_suspect_free_failure_share, down.without_suspects);
}

int SuspicionOf(WorkerLossReason reason, bool is_explained, bool is_alone) {
  if (reason != WorkerLossReason::kRestarted || is_explained) return 0;
  return is_alone ? 2 : 1;
}

void AddLoss(std::vector<jobs::TaskLosses>& losses, int member, int suspicion) {
  auto it = std::find_if(
      losses.begin(), losses.end(),
      [member](const auto& loss) { return loss.member == member; });
  if (it == losses.end()) it = losses.insert(losses.end(), {member, 0, 0});
  ++it->count;
  it->suspicion += suspicion;
}

jobs::TaskLosses LossesOf(const std::vector<jobs::TaskLosses>& losses,
                          int member) {
  for (const auto& it : losses) {
    if (it.member == member) return it;
  }
  return {member, 0, 0};
}

bool IsSuspect(const std::vector<jobs::TaskLosses>& losses) {
  return std::any_of(losses.begin(), losses.end(),
                     [](const auto& it) { return it.suspicion > 0; });
}

bool IsGivenUp(const std::vector<jobs::TaskLosses>& losses,
               const CrashPolicyOptions& options) {
  return std::any_of(losses.begin(), losses.end(), [&](const auto& it) {
    return it.suspicion >= options.max_suspicion ||
           it.count >= options.max_losses;
  });
}

}  // namespace lapishatch::dispatch::internal
