#ifndef LAPISHATCH_SCHEDULER_INTERNAL_RECOVERY_H_
#define LAPISHATCH_SCHEDULER_INTERNAL_RECOVERY_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "scheduler/internal/job_board.h"

namespace lapishatch::scheduler::internal {

/// How a new owner learns the truth: it reads the intents of its cell from the
/// table and what every worker runs, waits a while for workers that are not
/// reached, and then hands everything to the board: what runs whole is adopted,
/// the rest is stopped, and the other jobs are queued.
class Recovery {
 public:
  struct Ports {
    base::EventLoop& loop;
    store::Table& table;
    WorkerPool& workers;
    JobBoard& board;
  };

  Recovery(const OwnerOptions& options, Ports ports,
           const std::vector<AcceptedJob>& jobs, std::function<void()> done);

  void Begin();

  /// A report of a worker while the recovery goes on.
  void OnReport(WorkerLink& link, const lifecycle::WorkerReport& report);

  /// Changes of the feed while the recovery goes on.
  void Accept(const AcceptedJob& job);
  void Cancel(const base::JobName& job);

 private:
  struct FoundTask {
    base::WorkerName worker;
    base::Incarnation incarnation;
    lifecycle::TaskReport report;
  };
  struct FoundIntent {
    base::JobName job;
    Intent intent;
    store::RowVersion version = store::kAbsent;
  };

  void ScanIntents(const std::string& after);
  void OnIntents(const std::string& after, const store::ScanResult& result);
  void ReadStatuses();
  void ReadStatus(std::size_t index);
  void OnStatus(std::size_t index, const store::ReadResult& result);

  /// Goes on when the rows are read and every worker has answered, or the
  /// window is over.
  void Check();
  void Reconcile();
  /// Whether a worker tells of a task of the job, recorded or not.
  bool IsSeenAtWorkers(const base::JobName& job) const;
  /// The recorded attempt has ended and its job runs again, whole, in an
  /// attempt that an earlier owner could not record. False when it is not so.
  bool AdoptNewerAttempt(const FoundIntent& found, const JobVersions& versions);
  void AdoptIntent(std::size_t index);
  lifecycle::MemberState StateOf(const Intent& intent, int task,
                                 const base::JobName& job,
                                 std::vector<lifecycle::TaskReport>* ends);
  void AdoptUnrecorded();
  /// The attempt as its workers tell it, or nothing when it is not whole.
  std::optional<Intent> WholeAttempt(const AcceptedJob& job,
                                     const std::vector<FoundTask>& tasks) const;

  const OwnerOptions& options_;
  Ports ports_;
  std::function<void()> done_;
  std::unordered_map<base::JobName, AcceptedJob> jobs_;
  /// Cancelled while the recovery goes on.
  std::vector<AcceptedJob> cancelled_;
  std::vector<FoundIntent> intents_;
  std::vector<StatusRow> statuses_;
  std::vector<store::RowVersion> status_versions_;
  std::map<lifecycle::TaskKey, FoundTask> tasks_;
  std::size_t statuses_open_ = 0;
  std::size_t next_status_ = 0;
  bool rows_read_ = false;
  bool window_over_ = false;
  bool finished_ = false;
  CallbackScope scope_;
};

}  // namespace lapishatch::scheduler::internal

#endif  // LAPISHATCH_SCHEDULER_INTERNAL_RECOVERY_H_
