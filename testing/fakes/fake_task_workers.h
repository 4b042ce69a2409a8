#ifndef LAPISHATCH_TESTING_FAKES_FAKE_TASK_WORKERS_H_
#define LAPISHATCH_TESTING_FAKES_FAKE_TASK_WORKERS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"
#include "dispatch/worker_client.h"

namespace lapishatch::fakes {

/// Workers in virtual time that run tasks as the protocol says: epochs, leases,
/// capacity that they do not guard, ends that are listed until acknowledged,
/// gangs that wait for each other. They note whatever must never happen.
class FakeTaskWorkers {
 public:
  explicit FakeTaskWorkers(base::EventLoop& time);
  ~FakeTaskWorkers();
  FakeTaskWorkers(const FakeTaskWorkers&) = delete;
  FakeTaskWorkers& operator=(const FakeTaskWorkers&) = delete;

  /// How tasks behave; the defaults run 2 s and end well.
  std::function<base::Duration(const jobs::TaskName&)> run_time;
  std::function<dispatch::TaskOutcome(const jobs::TaskName&, int run)> outcome;
  /// Time from the start of a task until it crashes its worker; nothing if it
  /// does not.
  std::function<std::optional<base::Duration>(const jobs::TaskName&)>
      crash_after;
  /// Called when a task starts on a worker.
  std::function<void(const base::WorkerName&)> on_start;
  /// Called after a worker has crashed.
  std::function<void(const base::WorkerName&)> on_crash;
  /// What a task takes; without it nothing is checked of capacity.
  std::function<jobs::Resources(const jobs::TaskName&)> needs;
  /// Tasks of the gang that a task belongs to; 1 for none.
  std::function<int(const jobs::TaskName&)> gang_size;

  void Add(const dispatch::WorkerRegistration& entry);

  /// Changes the worker's capacity. Starts that exceed a reduced one but fit
  /// the former one are violations only after `grace`.
  void SetCapacity(const base::WorkerName& name,
                   const jobs::Resources& capacity, base::Duration grace);

  /// The worker's process dies with all that it ran, and does not come back.
  void Crash(const base::WorkerName& name);

  /// Makes calls to a crashed worker report that another life answers at its
  /// address.
  void Supersede(const base::WorkerName& name);

  /// Orders and answers between `owner` and the worker are lost until Join.
  /// An empty owner means all.
  void Cut(const std::string& owner, const base::WorkerName& name);
  void Join(const std::string& owner, const base::WorkerName& name);

  /// The next start at the worker has no answer and is carried out after
  /// `delay`.
  void MakeNextStartLate(const base::WorkerName& name, base::Duration delay);

  /// What runs at the worker, or starts there, gets no further until the other
  /// call; the worker answers as before.
  void Hang(const base::WorkerName& name, bool hangs);

  /// What starts at the worker fails at once.
  void FailAll(const base::WorkerName& name, bool fails);

  /// The port of one owner; it outlives this object's use of it.
  dispatch::WorkerClient& For(const std::string& owner);

  /// What must never happen and did, in order.
  const std::vector<std::string>& violations() const { return violations_; }

  /// Tasks that run now, over all workers that live.
  std::size_t running() const;
  bool IsRunning(const jobs::TaskName& task) const;
  /// Where it runs, or an empty name.
  base::WorkerName WhereRuns(const jobs::TaskName& task) const;
  int starts(const jobs::TaskName& task) const;
  /// Number of workers that crashed while running the task.
  int crashes(const jobs::TaskName& task) const;
  /// Ends that are listed and not acknowledged, on workers that live.
  std::size_t unacknowledged() const;

 private:
  struct Run {
    jobs::TaskName task;
    int run = 0;
    std::uint64_t id = 0;
    /// Of its work.
    base::Duration done{0};
  };
  struct Worker;
  class Port;
  friend class Port;

  Worker* Find(const base::WorkerName& name);
  bool IsCut(const std::string& owner, const base::WorkerName& name) const;
  dispatch::StartResult Start(Worker& worker,
                              const dispatch::StartOrder& order);
  dispatch::StopResult Stop(Worker& worker, const dispatch::StopOrder& order);
  void Hold(Worker& worker, const dispatch::PollOrder& order,
            std::function<void(dispatch::PollResult)> answer);
  dispatch::WorkerReport NewsOf(Worker& worker, std::uint64_t after);
  void Extend(Worker& worker, dispatch::WorkerTime expires);
  void CheckLease(Worker& worker);
  void EndRun(Worker& worker, std::uint64_t id, dispatch::TaskOutcome kind);
  void BeginWork(Worker& worker, const Run& run);
  void Work(const base::WorkerName& name, const Run& run, base::Duration left);
  void NoteStart(Worker& worker, const Run& run);
  /// Limit on starts, per dimension: the largest of the worker's capacity and
  /// the former capacities whose grace period has not ended.
  jobs::Resources CapacityLimit(const Worker& worker) const;
  /// Detects a task that crashes its workers and is restarted without limit.
  void CheckRestarts(const jobs::TaskName& task);
  dispatch::WorkerTime ClockOf(const Worker& worker) const;
  void Violate(std::string what) { violations_.push_back(std::move(what)); }

  base::EventLoop& time_;
  std::map<base::WorkerName, std::unique_ptr<Worker>> workers_;
  std::map<std::string, std::unique_ptr<Port>> ports_;
  std::set<std::pair<std::string, base::WorkerName>> cuts_;
  std::map<jobs::TaskName, int> starts_;
  std::map<jobs::TaskName, int> crashes_;
  /// Number of starts of each task at its third crash.
  std::map<jobs::TaskName, int> starts_at_third_crash_;
  /// Ends "done" that were acknowledged.
  std::set<jobs::TaskName> done_;
  std::vector<std::string> violations_;
  std::uint64_t last_id_ = 0;
};

}  // namespace lapishatch::fakes

#endif  // LAPISHATCH_TESTING_FAKES_FAKE_TASK_WORKERS_H_
