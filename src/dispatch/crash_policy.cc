#include "dispatch/internal/crash_policy.h"

#include <algorithm>
#include <utility>

namespace lapishatch::dispatch::internal {
namespace {

jobs::TaskLosses NoLosses(int member) {
  jobs::TaskLosses out;
  out.member = member;
  return out;
}

auto Find(std::vector<jobs::TaskLosses>& losses, int member) {
  return std::find_if(losses.begin(), losses.end(),
                      [member](const auto& it) { return it.member == member; });
}

/// Counts a run as a retry if enough workers may have crashed before it.
void CountRetry(jobs::TaskLosses& losses) {
  const bool is_limited =
      losses.PossibleCrashes() >= CrashPolicyOptions{}.limited_after;
  if (is_limited) ++losses.retries;
}

/// Returns the losses of a task to which another one is about to be added.
jobs::TaskLosses& BeforeLoss(std::vector<jobs::TaskLosses>& losses,
                             int member) {
  auto it = Find(losses, member);
  if (it == losses.end()) it = losses.insert(losses.end(), NoLosses(member));
  CountRetry(*it);
  return *it;
}

RestartVerdict VerdictOnTask(const jobs::TaskLosses& losses,
                             const CrashPolicyOptions& options) {
  const int possible = losses.PossibleCrashes();
  const bool is_proved = losses.suspicion >= options.max_suspicion ||
                         losses.crashes >= options.max_crashes;
  if (is_proved) return RestartVerdict::kGiveUp;
  const bool has_reached_limit =
      possible > options.limited_after || losses.retries >= options.max_retries;
  if (!has_reached_limit) return RestartVerdict::kAllowed;
  if (!losses.silent.empty()) return RestartVerdict::kDeferred;
  return losses.crashes >= options.min_crashes ? RestartVerdict::kGiveUp
                                               : RestartVerdict::kAllowed;
}

}  // namespace

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

void AddCrash(std::vector<jobs::TaskLosses>& losses, int member,
              int suspicion) {
  auto& it = BeforeLoss(losses, member);
  ++it.crashes;
  it.suspicion += suspicion;
}

void AddUnprovedCrash(std::vector<jobs::TaskLosses>& losses, int member) {
  ++BeforeLoss(losses, member).unproved;
}

void AddSilentWorker(std::vector<jobs::TaskLosses>& losses, int member,
                     jobs::SilentWorker worker) {
  BeforeLoss(losses, member).silent.push_back(std::move(worker));
}

void CountUnsuccessfulRun(std::vector<jobs::TaskLosses>& losses, int member) {
  const auto it = Find(losses, member);
  if (it != losses.end()) CountRetry(*it);
}

bool ResolveSilentWorkers(std::vector<jobs::TaskLosses>& losses,
                          const SilenceEvidence& evidence) {
  bool has_changed = false;
  for (auto& it : losses) {
    std::erase_if(it.silent, [&](const jobs::SilentWorker& worker) {
      const auto result = evidence(worker);
      if (!result) return false;
      has_changed = true;
      if (*result == LossEvidence::kCrash) ++it.crashes;
      if (*result == LossEvidence::kUnproved) ++it.unproved;
      return true;
    });
    if (it.PossibleCrashes() < CrashPolicyOptions{}.limited_after) {
      it.retries = 0;
    }
  }
  std::erase_if(losses,
                [](const auto& it) { return it.PossibleCrashes() == 0; });
  return has_changed;
}

jobs::TaskLosses LossesOf(const std::vector<jobs::TaskLosses>& losses,
                          int member) {
  for (const auto& it : losses) {
    if (it.member == member) return it;
  }
  return NoLosses(member);
}

bool IsSuspect(const std::vector<jobs::TaskLosses>& losses) {
  return std::any_of(losses.begin(), losses.end(),
                     [](const auto& it) { return it.suspicion > 0; });
}

RestartVerdict VerdictOn(const std::vector<jobs::TaskLosses>& losses,
                         const CrashPolicyOptions& options) {
  auto out = RestartVerdict::kAllowed;
  for (const auto& it : losses) {
    out = std::max(out, VerdictOnTask(it, options));
  }
  return out;
}

}  // namespace lapishatch::dispatch::internal
