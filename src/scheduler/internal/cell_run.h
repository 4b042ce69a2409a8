#ifndef LAPISHATCH_SCHEDULER_INTERNAL_CELL_RUN_H_
#define LAPISHATCH_SCHEDULER_INTERNAL_CELL_RUN_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "scheduler/cell_owner.h"
#include "scheduler/internal/job_board.h"
#include "scheduler/internal/recorder.h"
#include "scheduler/internal/recovery.h"
#include "scheduler/internal/worker_pool.h"

namespace lapishatch::scheduler::internal {

/// One period of ownership of a cell, under one epoch. Dropping everything is
/// destroying this.
class CellRun {
 public:
  struct Hooks {
    /// Whether the lease still holds; asked before each send.
    std::function<bool()> may_act;
    /// Another owner has been seen.
    std::function<void(lifecycle::Epoch seen)> deposed;
    /// Whether the table is known to be out, by the lease's own writes.
    std::function<bool()> without_table;
  };

  CellRun(const OwnerOptions& options, OwnerPorts ports,
          const lifecycle::LeaseGranted& grant, Hooks hooks);
  ~CellRun();
  CellRun(const CellRun&) = delete;
  CellRun& operator=(const CellRun&) = delete;

  /// Starts nothing new and calls `settled` once nothing is between two states.
  void HandOver(std::function<void()> settled);

  /// Adds what this knows to a status.
  void Describe(OwnerStatus& status) const;
  placement::Explanation Explain(const base::JobName& job) const;

 private:
  WorkerPool::Hooks PoolHooks();
  Recorder::Hooks RecorderHooks();

  void On(FeedSnapshot event);
  void On(const JobAccepted& event);
  void On(const JobCancelled& event);
  void On(const WorkersChanged& event);
  void On(const ConfigurationChanged& event);

  void OnReport(WorkerLink& link, const lifecycle::WorkerReport& report,
                bool first);
  void OnLost(const WorkerLink& link);
  void OnRestarted(const WorkerLink& link);
  base::Duration RenewalOf(const WorkerLink& link) const;
  void OnRecovered();

  void PlanSoon();
  void Plan();
  void Tick();
  void CheckHandover();

  const OwnerOptions& options_;
  OwnerPorts ports_;
  Hooks hooks_;
  base::TimePoint began_;
  placement::Planner planner_;
  Recorder recorder_;
  WorkerPool workers_;
  JobBoard board_;
  std::optional<Recovery> recovery_;
  bool recovering_ = true;
  bool plan_scheduled_ = false;
  std::function<void()> settled_;
  FeedId feed_ = 0;
  CallbackScope scope_;
};

}  // namespace lapishatch::scheduler::internal

#endif  // LAPISHATCH_SCHEDULER_INTERNAL_CELL_RUN_H_
