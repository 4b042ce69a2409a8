#ifndef LAPISHATCH_SCHEDULER_INTERNAL_JOB_BOARD_H_
#define LAPISHATCH_SCHEDULER_INTERNAL_JOB_BOARD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "placement/placement.h"
#include "scheduler/internal/gang_runner.h"
#include "scheduler/internal/recorder.h"
#include "scheduler/internal/worker_pool.h"
#include "scheduler/job_feed.h"
#include "scheduler/owner_options.h"
#include "store/store.h"

namespace lapishatch::scheduler::internal {

/// What the board works with.
struct BoardPorts {
  base::EventLoop& loop;
  store::Table& table;
  placement::Planner& planner;
  Recorder& recorder;
  WorkerPool& workers;
  base::MetricRegistry* metrics = nullptr;
};

/// A recorded attempt, and what its workers say of it.
struct FoundAttempt {
  base::JobName job;
  /// Nothing when the job was cancelled meanwhile.
  std::optional<AcceptedJob> accepted;
  config::JobStatus status;
  Intent intent;
  JobVersions versions;
  /// By task; kRunning for those whose worker is not reached yet, and for those
  /// whose end stands in `ends`.
  std::vector<lifecycle::MemberState> members;
  /// Members that failed or were stopped.
  std::vector<lifecycle::TaskReport> ends;
};

/// The jobs of the cell, from acceptance to the record of their end: which of
/// them wait, run or are over, and what is written of them.
class JobBoard {
 public:
  /// `replan`: the planner should decide anew.
  JobBoard(const OwnerOptions& options, lifecycle::Epoch epoch,
           BoardPorts ports, std::function<void()> replan);
  ~JobBoard();
  JobBoard(const JobBoard&) = delete;
  JobBoard& operator=(const JobBoard&) = delete;

  /// A job to run. Its status is read before it is queued. `may_have_run`: its
  /// workers tell of an attempt that may not be recorded.
  void Accept(const AcceptedJob& job, bool may_have_run = false);
  void Cancel(const base::JobName& job);
  bool Knows(const base::JobName& job) const;

  /// A recorded attempt that may run, found by a new owner.
  void Adopt(FoundAttempt found);
  /// A whole gang that an owner started without a record while the table was
  /// out. `versions` are those of the rows of an attempt before it, if any.
  void AdoptUnrecorded(const AcceptedJob& accepted, Intent intent,
                       const JobVersions& versions = {});

  /// Carries a decision of the planner out.
  void Carry(const placement::Decision& decision);

  // What happens to workers.
  void OnReport(WorkerLink& link, const lifecycle::WorkerReport& report,
                bool first);
  void OnWorkerLost(const base::WorkerName& worker, const std::string& reason);

  // What happens to the table.
  void OnTableOut();
  void OnTableBack();

  /// Nothing new begins: the owner is about to hand the cell over.
  void BeginHandover() { handing_over_ = true; }
  /// No gang is between two states and nothing waits to be recorded.
  bool settled() const;

  bool InUse(const base::WorkerName& worker) const;
  /// Whether a gang with a member on the worker is not confirmed yet.
  bool HasUnconfirmed(const base::WorkerName& worker) const;

  placement::Explanation Explain(const base::JobName& job) const;
  int queued() const;
  int gangs() const { return static_cast<int>(active_.size()); }

 private:
  enum class Stage : std::uint8_t {
    /// Its rows are being read.
    kLoading,
    kQueued,
    /// Must not start while the table is out.
    kParked,
    /// Waits for its next try.
    kWaiting,
    kActive,
    /// Its end is being recorded.
    kEnding,
  };

  struct Job {
    AcceptedJob accepted;
    config::JobStatus status;
    Stage stage = Stage::kLoading;
    std::shared_ptr<GangRunner> gang;
    base::Backoff retry{base::Duration(500), base::Duration(30'000)};
    int failures = 0;
    /// Why it waits in kWaiting.
    std::string waits_for;
    bool cancelled = false;
    /// An attempt that is not recorded may have run.
    bool may_have_run = false;
    /// The table holds an intent that this owner did not know of.
    bool foreign_intent = false;
  };

  /// A task of an ended attempt on a worker that did not answer: it may run
  /// until its lease lapses.
  struct TaskAtLarge {
    lifecycle::TaskKey key;
    base::WorkerName worker;
    base::Incarnation incarnation;
    base::TimePoint until;
  };

  Job* Find(const base::JobName& job);
  void StartLoads();
  void Load(const base::JobName& job);
  void OnStatusRead(const base::JobName& name, const store::ReadResult& result);
  void OnIntentRead(const base::JobName& name, JobVersions versions,
                    const store::ReadResult& result);
  void LoadAgain(const base::JobName& name);
  void Submit(Job& job);
  /// `why` is told to people until then.
  void SubmitAfter(Job& job, base::Duration delay, const std::string& why);

  void Do(const placement::StartGang& decision);
  void Do(const placement::EvictGang& decision);
  void Do(const placement::RefuseGang& decision);
  /// Nothing when a worker of the placement is not there any more.
  std::optional<Intent> IntentOf(const Job& job,
                                 const placement::GangPlacement& placement);
  void Activate(Job& job, Intent intent);
  /// Tells the planner of a gang that runs already.
  void HoldPlace(const Job& job);

  void OnRecordWanted(GangRunner& gang);
  void OnIntentWritten(const base::JobName& name,
                       const base::AttemptId& attempt, RecordResult result);
  void OnRunning(GangRunner& gang);
  void OnPartlyFinished(GangRunner& gang);
  void OnEnded(GangRunner& gang, const lifecycle::GangEnded& ended);
  void NoteStartOutcome(const GangRunner& gang,
                        const lifecycle::GangEnded& ended);

  /// Decides what becomes of the job after an attempt.
  void Conclude(Job& job, const std::shared_ptr<GangRunner>& gang,
                const lifecycle::GangEnded& ended);
  void Requeue(Job& job, const std::shared_ptr<GangRunner>& gang,
               const std::string& reason, base::Duration delay);
  void Finish(Job& job, const std::shared_ptr<GangRunner>& gang,
              config::JobPhase phase, const std::string& reason);
  config::JobStatus StatusOf(const Job& job, config::JobPhase phase,
                             const std::string& reason) const;
  void OnTask(WorkerLink& link, const lifecycle::TaskReport& report);
  /// Stops a task that belongs to no gang, until its worker has answered.
  void StopStray(const base::WorkerName& worker,
                 const base::Incarnation& incarnation,
                 const lifecycle::TaskKey& key);
  std::vector<std::shared_ptr<GangRunner>> ActiveGangs() const;

  void NoteAtLarge(const GangRunner& gang);
  void ForgetAtLarge(const lifecycle::TaskKey& key);
  /// The first report of a worker lists all of its tasks: the others have
  /// ended.
  void ForgetUnlisted(const base::WorkerName& worker,
                      const lifecycle::WorkerReport& report);
  /// Whether a part of an earlier attempt may still run; until then the job is
  /// not started again, so that it never runs twice at once.
  bool MayStillRun(const base::JobName& job);

  const OwnerOptions& options_;
  const lifecycle::Epoch epoch_;
  BoardPorts ports_;
  std::function<void()> replan_;
  GangRunner::Hooks gang_hooks_;
  base::Random random_;

  std::unordered_map<base::JobName, Job> jobs_;
  /// Jobs whose end stands in the table.
  std::unordered_set<base::JobName> over_;
  std::deque<base::JobName> to_load_;
  std::size_t loading_ = 0;
  /// Attempts that run, by id, and those that are over but not recorded so.
  std::unordered_map<base::AttemptId, std::shared_ptr<GangRunner>> active_;
  std::unordered_map<base::AttemptId, std::shared_ptr<GangRunner>> ending_;
  std::vector<TaskAtLarge> at_large_;
  bool handing_over_ = false;
  CallbackScope scope_;
};

}  // namespace lapishatch::scheduler::internal

#endif  // LAPISHATCH_SCHEDULER_INTERNAL_JOB_BOARD_H_
