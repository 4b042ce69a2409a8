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

/// A worker as placing sees it.
struct FleetWorker {
  base::WorkerName name;
  base::RackName rack;
  base::DomainName domain;
  std::vector<std::string> labels;
  jobs::Resources capacity;
  /// Of everything that runs there, may run there or is still being stopped.
  jobs::Resources used;
  /// Of what runs there beyond that, as the worker says: tasks that have ended
  /// for the owner, or that it does not know.
  jobs::Resources stray_usage;
  /// Promised to units that wait for others to be stopped.
  jobs::Resources reserved;
  /// Whether anything new may start there.
  bool is_schedulable = false;
  /// Whether it has lately failed a task and ended none well since: what has
  /// another place, or no failure to spare, does not go there.
  bool is_suspect = false;
  /// Number of tasks there that are suspected of crashing workers. Other
  /// suspect tasks are kept apart, and other tasks prefer another worker.
  int suspect_tasks = 0;
  /// Whether a worker at its address crashed recently: a further crash under a
  /// suspect task could be due to either the task or the machine.
  bool has_recent_crash = false;
  /// Of its rack among those with open workers; set by SchedulableWorkers.
  std::size_t rack_index = 0;
  /// Whether its size is known; room is counted on others too, since tasks may
  /// be recorded on a worker before it is heard of.
  bool is_known = false;

  jobs::Resources Free() const {
    auto out = capacity;
    out -= used;
    out -= stray_usage;
    out -= reserved;
    return out;
  }

  bool HasLabel(const std::string& label) const;

  /// Whether tasks should start here only if no other worker is available.
  bool IsRisky() const { return is_suspect || suspect_tasks > 0; }
};

/// What a step takes of a worker: one that fills needs no processor of its own.
jobs::Resources ResourcesPerTask(const jobs::Step& step);

/// The workers of a service and what is taken of each. Pure data: no time, no
/// I/O.
class Fleet {
 public:
  /// Adds a worker or changes its size, rack and labels.
  void Put(const WorkerRegistration& entry);

  /// Takes the worker out. What is taken of it stays counted until it is given
  /// back, also when the worker comes back in between.
  void Remove(const base::WorkerName& name);

  /// Nothing where there is no such worker.
  FleetWorker* Find(const base::WorkerName& name);

  /// By name; the order is the same for the same fleet.
  const std::map<base::WorkerName, FleetWorker>& workers() const {
    return workers_;
  }
  std::map<base::WorkerName, FleetWorker>& workers() { return workers_; }

  /// Takes or gives back room, on workers that are not known as well.
  void Allocate(const base::WorkerName& name, const jobs::Resources& room);
  void Release(const base::WorkerName& name, const jobs::Resources& room);

  /// Adds `n`, which may be negative, to the number of suspect tasks.
  void AddSuspectTasks(const base::WorkerName& name, int n);

 private:
  std::map<base::WorkerName, FleetWorker> workers_;
};

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_FLEET_H_
