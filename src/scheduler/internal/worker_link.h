#ifndef LAPISHATCH_SCHEDULER_INTERNAL_WORKER_LINK_H_
#define LAPISHATCH_SCHEDULER_INTERNAL_WORKER_LINK_H_

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "backends/backends.h"
#include "scheduler/internal/callback_scope.h"
#include "scheduler/job_feed.h"
#include "scheduler/owner_options.h"

namespace lapishatch::scheduler::internal {

/// How one command to a worker ended.
enum class CommandEnd : std::uint8_t {
  kDone,
  /// The worker said no: nothing was done.
  kRefused,
  /// It never reached this life of the worker: nothing was done.
  kNotDone,
  /// It may or may not have been done.
  kUnknown,
};

/// What one owner says to one worker and hears from it. Commands given in one
/// turn of the loop travel in one order; one order is under way at a time, so
/// the worker sees commands as they were given. Reports are long polls, which
/// renew the leases of what runs.
class WorkerLink {
 public:
  using Done = std::function<void(CommandEnd, const std::string& reason)>;

  struct Hooks {
    /// Whether the owner may still act; asked before each send.
    std::function<bool()> may_act;
    /// The worker has seen a later owner.
    std::function<void(lifecycle::Epoch seen)> deposed;
    /// By how much the next report renews; zero for not at all.
    std::function<base::Duration(const WorkerLink&)> renewal;
    /// `first`: the first report of this life, with all of its tasks.
    std::function<void(WorkerLink&, const lifecycle::WorkerReport&, bool first)>
        reported;
    /// Another life of the worker answers: what ran is gone. Comes before the
    /// report of the new life.
    std::function<void(WorkerLink&)> restarted;
    /// Reports fail: nothing new should be placed there.
    std::function<void(WorkerLink&)> unreachable;
    /// Not reached for so long that its tasks count as lost.
    std::function<void(WorkerLink&)> lost;
  };

  WorkerLink(const OwnerOptions& options, lifecycle::Epoch epoch,
             CellWorker worker, base::EventLoop& loop,
             backends::WorkerClient& client, const Hooks& hooks);
  ~WorkerLink();
  WorkerLink(const WorkerLink&) = delete;
  WorkerLink& operator=(const WorkerLink&) = delete;

  /// Installs the epoch and asks for everything.
  void Begin();

  void Command(lifecycle::WorkerCommand command, Done done);

  /// The end of a task is not recorded yet: the worker must go on telling it.
  /// To be called from the reported hook.
  void Hold(const lifecycle::TaskKey& key) { held_.insert(key); }

  /// The end of a task stands in the table: the worker may forget it.
  void Acknowledge(const lifecycle::TaskKey& key);

  void SetWorker(CellWorker worker) { worker_ = std::move(worker); }

  const CellWorker& worker() const { return worker_; }
  const base::WorkerName& name() const { return worker_.name; }
  /// Empty until the first report.
  const base::Incarnation& incarnation() const { return incarnation_; }
  /// The last report came through.
  bool reachable() const { return reachable_; }
  bool lost() const { return lost_; }
  const lifecycle::WorkerReport& last_report() const { return last_report_; }

 private:
  struct Waiting {
    lifecycle::WorkerCommand command;
    Done done;
  };

  void ScheduleFlush();
  void Flush();
  void OnOrder(std::vector<Waiting> sent, const lifecycle::OrderOutcome& it);
  static void EndAll(std::vector<Waiting>& sent, CommandEnd end,
                     const std::string& reason);

  void SchedulePoll(base::Duration delay);
  void Poll();
  void OnReport(const backends::ReportResult& result);
  void OnGoodReport(const lifecycle::WorkerReport& report);
  void OnFailedReport();

  const OwnerOptions& options_;
  const lifecycle::Epoch epoch_;
  CellWorker worker_;
  base::EventLoop& loop_;
  backends::WorkerClient& client_;
  const Hooks& hooks_;
  base::Random random_;
  base::Backoff backoff_;

  base::Incarnation incarnation_;
  lifecycle::WorkerReport last_report_;
  bool reachable_ = false;
  bool lost_ = false;
  int failures_ = 0;
  base::TimePoint last_good_;

  std::vector<Waiting> waiting_;
  bool ordering_ = false;
  bool flush_scheduled_ = false;

  /// Everything up to here has been told, and everything up to `acknowledged_`
  /// may be forgotten by the worker.
  std::uint64_t seen_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::set<lifecycle::TaskKey> held_;
  bool polling_ = false;
  base::TimerId poll_timer_ = 0;
  CallbackScope scope_;
};

}  // namespace lapishatch::scheduler::internal

#endif  // LAPISHATCH_SCHEDULER_INTERNAL_WORKER_LINK_H_
