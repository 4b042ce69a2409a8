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

/// Simulates workers in virtual time. They follow the worker protocol: epochs,
/// leases, ended runs that are reported until acknowledged, and gangs whose
/// tasks wait for each other. They do not enforce their capacity, but record
/// every violation of the scheduler's invariants.
class FakeTaskWorkers {
 public:
  explicit FakeTaskWorkers(base::EventLoop& time);
  ~FakeTaskWorkers();
  FakeTaskWorkers(const FakeTaskWorkers&) = delete;
  FakeTaskWorkers& operator=(const FakeTaskWorkers&) = delete;

  /// Behaviour of tasks; by default each runs for 2 s and succeeds.
  std::function<base::Duration(const jobs::TaskName&)> run_time;
  std::function<dispatch::TaskOutcome(const jobs::TaskName&, int run)> outcome;
  /// Time from the start of a task until it crashes its worker; nullopt if it
  /// does not.
  std::function<std::optional<base::Duration>(const jobs::TaskName&)>
      crash_after;
  /// Answer of a worker to a stop order that it does not carry out; nullopt for
  /// one that it does. A NoAnswer is given after the caller's timeout.
  std::function<std::optional<dispatch::StopResult>()> stop_fault;
  /// Called when a task starts on a worker.
  std::function<void(const base::WorkerName&)> on_start;
  /// Called after a worker has crashed.
  std::function<void(const base::WorkerName&)> on_crash;
  /// Resources that a task uses; if unset, capacity is not checked.
  std::function<jobs::Resources(const jobs::TaskName&)> needs;
  /// Number of tasks in the gang of a task; 1 if it belongs to no gang.
  std::function<int(const jobs::TaskName&)> gang_size;

  void Add(const dispatch::WorkerRegistration& registration);

  /// Changes the worker's capacity. Starts that exceed a reduced one but fit
  /// the former one are violations only after `grace`.
  void SetCapacity(const base::WorkerName& name,
                   const jobs::Resources& capacity, base::Duration grace);

  /// Whether a crash closes the worker's connections, as the end of a process
  /// does; otherwise it falls silent, as a host that loses power.
  bool closes_connections = false;

  /// Terminates the worker's process with all its tasks; it does not restart.
  void Crash(const base::WorkerName& name);

  /// Ends the worker's process as announced, with all its tasks. Answers that
  /// have not arrived are lost; an end in one of them counts as acknowledged.
  void Leave(const base::WorkerName& name);

  /// Starts a crashed worker again under its own name. It holds and knows
  /// nothing of its earlier incarnation, and its clock and its ends count anew.
  void Restart(const dispatch::WorkerRegistration& registration);

  /// Makes calls to a crashed worker return OtherIncarnation: a later process
  /// answers at its address.
  void Supersede(const base::WorkerName& name);

  /// Drops orders and answers between `owner` and the worker until Reconnect
  /// is called with the same arguments. An empty owner means all owners.
  void Disconnect(const std::string& owner, const base::WorkerName& name);
  void Reconnect(const std::string& owner, const base::WorkerName& name);

  /// Makes all connections of `owner` silent: its orders on their way are lost,
  /// and so are the answers to the others. Later orders use new connections.
  void Sever(const std::string& owner) { ++severances_[owner]; }

  /// Executes the next start order to the worker only after `delay` and never
  /// answers it.
  void DelayNextStart(const base::WorkerName& name, base::Duration delay);

  /// While `is_hanging` is set, tasks on the worker make no progress; the
  /// worker still answers calls.
  void SetHanging(const base::WorkerName& name, bool is_hanging);

  /// While `is_failing` is set, runs that finish their work on the worker fail,
  /// and runs that start there finish after 50 ms.
  void SetFailing(const base::WorkerName& name, bool is_failing);

  /// Maximum number of ended runs in one report.
  std::size_t max_listed_ends = 500;

  /// How a worker deviates from the protocol when it lists ended runs.
  enum class EndsFault {
    kNone,
    /// It lists the first ones again although they were acknowledged.
    kRepeated,
    /// It lists them in reverse order.
    kReversed,
  };
  void SetEndsFault(const base::WorkerName& name, EndsFault fault);

  /// Returns the client of one owner, valid as long as this object.
  dispatch::WorkerClient& For(const std::string& owner);

  /// Violated invariants, in the order in which they were detected.
  const std::vector<std::string>& violations() const { return violations_; }

  /// Number of tasks that run now on all workers.
  std::size_t running() const;
  bool IsRunning(const jobs::TaskName& task) const;
  /// Returns the worker that runs the task, or an empty name.
  base::WorkerName FindWorkerRunning(const jobs::TaskName& task) const;
  /// Number of times that the task was started.
  int starts(const jobs::TaskName& task) const;
  /// Number of workers that crashed while running the task.
  int crashes(const jobs::TaskName& task) const;
  /// Number of unacknowledged ended runs on workers that have not crashed.
  std::size_t unacknowledged() const;

 private:
  struct Run {
    jobs::TaskName task;
    int run = 0;
    std::uint64_t id = 0;
    /// Duration of the work done so far.
    base::Duration work_done{0};
  };
  struct Worker;
  class Client;
  friend class Client;

  Worker* Find(const base::WorkerName& name);
  bool IsDisconnected(const std::string& owner,
                      const base::WorkerName& name) const;
  dispatch::StartResult Start(Worker& worker,
                              const dispatch::StartOrder& order);
  dispatch::StopResult Stop(Worker& worker, const dispatch::StopOrder& order);
  void Poll(Worker& worker, const dispatch::PollOrder& order,
            std::function<void(dispatch::PollResult)> answer);
  dispatch::WorkerReport ReportOf(Worker& worker, std::uint64_t after);
  void ExtendLease(Worker& worker, dispatch::WorkerTime expires);
  void EndRunsIfLeaseExpired(Worker& worker);
  void EndRun(Worker& worker, std::uint64_t id, dispatch::TaskOutcome kind);
  void BeginWork(Worker& worker, const Run& run);
  void ContinueWork(const base::WorkerName& name, const Run& run,
                    base::Duration left);
  void RecordStart(Worker& worker, const Run& run);
  /// Handles the acknowledgement of an ended run.
  void RecordAcknowledgement(const Worker& worker,
                             const dispatch::EndedTask& end);
  /// Limit on starts, per dimension: the largest of the worker's capacity and
  /// the former capacities whose grace period has not ended.
  jobs::Resources CapacityLimit(const Worker& worker) const;
  /// Records a violation when a task that crashes its workers is started three
  /// more times after its third crash.
  void CheckRestarts(const jobs::TaskName& task);
  dispatch::WorkerTime ClockOf(const Worker& worker) const;
  void AddViolation(std::string what) {
    violations_.push_back(std::move(what));
  }

  base::EventLoop& time_;
  std::map<base::WorkerName, std::unique_ptr<Worker>> workers_;
  std::map<std::string, std::unique_ptr<Client>> clients_;
  std::set<std::pair<std::string, base::WorkerName>> disconnected_;
  /// Number of times that the connections of each owner became silent.
  std::map<std::string, int> severances_;
  std::map<jobs::TaskName, int> starts_;
  /// Id of the last run of each task.
  std::map<jobs::TaskName, std::uint64_t> last_started_;
  std::map<jobs::TaskName, int> crashes_;
  /// Number of starts of each task at its third crash.
  std::map<jobs::TaskName, int> starts_at_third_crash_;
  /// Tasks whose end with kDone was acknowledged, or was reported by a worker
  /// that has left.
  std::set<jobs::TaskName> done_;
  std::vector<std::string> violations_;
  std::uint64_t last_run_id_ = 0;
};

}  // namespace lapishatch::fakes

#endif  // LAPISHATCH_TESTING_FAKES_FAKE_TASK_WORKERS_H_
