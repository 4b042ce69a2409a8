#ifndef LAPISHATCH_DISPATCH_FLEET_H_
#define LAPISHATCH_DISPATCH_FLEET_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/base.h"
#include "dispatch/worker_client.h"
#include "jobs/job.h"

namespace lapishatch::dispatch {

/// The state of a worker that task placement depends on.
struct FleetWorker {
  base::WorkerName name;
  base::RackName rack;
  base::DomainName domain;
  http::Endpoint address;
  std::vector<std::string> labels;
  jobs::Resources capacity;
  /// Resources of all tasks that run there, may run there or are still being
  /// stopped.
  jobs::Resources used;
  /// Resources of stray tasks that the worker reports in addition: tasks that
  /// have ended for the owner, or that the owner has no record of.
  jobs::Resources stray_usage;
  /// Resources reserved for units that wait for other tasks to be stopped.
  jobs::Resources reserved;
  /// Whether new tasks may start there.
  bool is_schedulable = false;
  /// Whether a task failed there recently and none has succeeded since. Units
  /// that fit elsewhere, or whose next failure would be the last, are not
  /// placed there.
  bool is_suspect = false;
  /// Number of tasks there that are suspected of crashing workers. Other
  /// suspect tasks are kept apart, and other tasks prefer another worker.
  int suspect_tasks = 0;
  /// When a worker at its address crashed, if that was recently, otherwise the
  /// epoch. A further crash under a suspect task could be due to either the
  /// task or the machine.
  base::TimePoint last_crash_at{};
  /// Whether workers at its address crash repeatedly, whatever they run.
  bool is_unreliable = false;
  /// Speed relative to the median of the fleet: a task takes the inverse of it
  /// as long as on a worker with speed 1. 1 while it is not known.
  double speed = 1;
  /// Index of its rack among the racks with schedulable workers; set by
  /// SchedulableWorkers.
  std::size_t rack_index = 0;
  /// Whether its capacity is known. Used resources are also counted on other
  /// workers, since tasks may be recorded on a worker before it registers.
  bool is_known = false;

  jobs::Resources Free() const {
    auto out = capacity;
    out -= used;
    out -= stray_usage;
    out -= reserved;
    return out;
  }

  bool HasLabel(const std::string& label) const;

  bool HasRecentCrash() const { return last_crash_at != base::TimePoint{}; }

  /// Whether tasks take over a third longer here than on the median worker.
  bool IsSlow() const {
    constexpr double kSlowSpeed = 0.75;
    return speed < kSlowSpeed;
  }

  /// Whether tasks should start here only if no other worker is available.
  bool IsRisky() const { return is_suspect || suspect_tasks > 0; }
};

/// Returns the resources that one task of the step is allocated on a worker. A
/// step that uses only spare CPU is allocated no CPU.
jobs::Resources ResourcesPerTask(const jobs::Step& step);

/// The workers of a service and the resources allocated on each. Has no clock
/// and does no I/O.
class Fleet {
 public:
  /// Adds a worker or updates its capacity, rack and labels.
  void Put(const WorkerRegistration& registration);

  /// Removes the worker. Its allocated resources stay counted until they are
  /// released, even if the worker is added again in the meantime.
  void Remove(const base::WorkerName& name);

  /// Returns null if there is no such worker.
  FleetWorker* Find(const base::WorkerName& name);

  /// Sorted by name, so that iteration over the same fleet is deterministic.
  const std::map<base::WorkerName, FleetWorker>& workers() const {
    return workers_;
  }
  std::map<base::WorkerName, FleetWorker>& workers() { return workers_; }

  /// Allocates or releases resources, also on workers whose capacity is
  /// unknown.
  void Allocate(const base::WorkerName& name, const jobs::Resources& resources);
  void Release(const base::WorkerName& name, const jobs::Resources& resources);

  /// Adds `n`, which may be negative, to the number of suspect tasks on the
  /// worker.
  void AddSuspectTasks(const base::WorkerName& name, int n);

 private:
  std::map<base::WorkerName, FleetWorker> workers_;
};

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_FLEET_H_
