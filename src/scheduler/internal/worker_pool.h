#ifndef LAPISHATCH_SCHEDULER_INTERNAL_WORKER_POOL_H_
#define LAPISHATCH_SCHEDULER_INTERNAL_WORKER_POOL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "placement/placement.h"
#include "scheduler/internal/worker_faults.h"
#include "scheduler/internal/worker_link.h"
#include "scheduler/owner_options.h"

namespace lapishatch::scheduler::internal {

/// The workers of the cell as one owner knows them: a link to each, and what
/// the planner is told of them.
class WorkerPool {
 public:
  struct Hooks {
    WorkerLink::Hooks link;
    /// Whether anything of the cell's gangs is on the worker.
    std::function<bool(const base::WorkerName&)> in_use;
    /// The planner should decide anew.
    std::function<void()> changed;
  };

  WorkerPool(const OwnerOptions& options, lifecycle::Epoch epoch,
             base::EventLoop& loop, backends::WorkerClient& client,
             placement::Planner& planner, Hooks hooks);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// All workers of the cell from now on. One that is no longer listed gets
  /// nothing new and stays until nothing of it is in use.
  void SetWorkers(const std::vector<CellWorker>& workers);

  WorkerLink* Find(const base::WorkerName& worker);

  /// Makes the planner hold at least `least` for a worker that has not been
  /// reached, so that what may run there has a place.
  void Expect(const placement::WorkerSpec& least);

  void StartFailed(const base::WorkerName& worker, const base::JobName& job);
  void StartSucceeded(const base::WorkerName& worker);

  int size() const { return static_cast<int>(slots_.size()); }
  int reached() const;
  /// Every worker has been reached at least once.
  bool all_known() const;

 private:
  struct Slot {
    std::unique_ptr<WorkerLink> link;
    /// As told to the planner.
    std::optional<placement::WorkerSpec> spec;
    placement::WorkerHealth health = placement::WorkerHealth::kHealthy;
    bool known = false;
    bool doubtful = false;
    bool listed = true;
    std::optional<base::TimePoint> throttled_at;
  };

  void Add(const CellWorker& worker);
  void OnReport(WorkerLink& link, const lifecycle::WorkerReport& report,
                bool first);
  void OnUnreachable(WorkerLink& link);
  void NoteUsage(Slot& slot, const lifecycle::WorkerReport& report);
  void Throttle(Slot& slot);
  void TellHealth(Slot& slot);
  placement::WorkerHealth HealthOf(const Slot& slot) const;
  void DropUnlisted();
  void ScheduleRelease();

  const OwnerOptions& options_;
  const lifecycle::Epoch epoch_;
  base::EventLoop& loop_;
  backends::WorkerClient& client_;
  placement::Planner& planner_;
  Hooks hooks_;
  WorkerLink::Hooks link_hooks_;
  WorkerFaults faults_;
  std::map<base::WorkerName, Slot> slots_;
  /// Running tasks with the cores they declared, by worker: what throttling
  /// brings them down to.
  std::map<base::WorkerName, std::map<lifecycle::TaskKey, int>> declared_cores_;
  CallbackScope scope_;
};

}  // namespace lapishatch::scheduler::internal

#endif  // LAPISHATCH_SCHEDULER_INTERNAL_WORKER_POOL_H_
