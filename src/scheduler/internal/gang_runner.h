#ifndef LAPISHATCH_SCHEDULER_INTERNAL_GANG_RUNNER_H_
#define LAPISHATCH_SCHEDULER_INTERNAL_GANG_RUNNER_H_

#include <functional>
#include <string>
#include <vector>

#include "scheduler/internal/callback_scope.h"
#include "scheduler/internal/worker_link.h"
#include "scheduler/owner_options.h"
#include "scheduler/rows.h"

namespace lapishatch::scheduler::internal {

/// Carries out what the machine of one gang asks for, at the workers of its
/// members.
class GangRunner {
 public:
  struct Hooks {
    /// The link to a worker, or null when the cell has no such worker.
    std::function<WorkerLink*(const base::WorkerName&)> link;
    /// Record the intent, then tell IntentRecorded or IntentNotRecorded.
    std::function<void(GangRunner&)> record;
    /// Every member is confirmed.
    std::function<void(GangRunner&)> running;
    /// Some members have finished while others run: record it, so that their
    /// workers may forget them.
    std::function<void(GangRunner&)> partly_finished;
    /// The gang is over; nothing of it runs on a worker that is reached. The
    /// runner may be destroyed, but not in this call.
    std::function<void(GangRunner&, const lifecycle::GangEnded&)> ended;
  };

  /// `intent` names the attempt and its members.
  GangRunner(const OwnerOptions& options, base::EventLoop& loop,
             const Hooks& hooks, base::JobName job, config::JobSpec spec,
             Intent intent);
  ~GangRunner();
  GangRunner(const GangRunner&) = delete;
  GangRunner& operator=(const GangRunner&) = delete;

  void Begin();
  /// Takes over an attempt that an earlier owner began.
  void Adopt(std::vector<lifecycle::MemberState> members);

  void Tell(const lifecycle::GangEvent& event);

  /// What a worker reports of one of the members.
  void OnTask(const lifecycle::TaskReport& report);
  /// The worker is lost or has restarted.
  void OnWorkerLost(const base::WorkerName& worker, const std::string& reason);
  /// The worker's first report of a life does not tell of the members that it
  /// should have.
  void OnWorkerFound(const WorkerLink& link,
                     const lifecycle::WorkerReport& report);

  /// Lets the workers forget the ends of the members.
  void AcknowledgeEnds();

  /// Members that are lost but whose worker lives the same life: they may still
  /// run.
  std::vector<int> MembersAtLarge() const;

  const base::JobName& job() const { return job_; }
  const config::JobSpec& spec() const { return spec_; }
  const Intent& intent() const { return intent_; }
  lifecycle::GangPhase phase() const { return machine_.phase(); }
  base::TimePoint started() const { return started_; }
  lifecycle::TaskKey KeyOf(int task) const;
  /// Of the objects that the members of this attempt write; one per task,
  /// "PREFIX/TASK".
  std::string CheckpointPrefix() const;
  bool HasMemberOn(const base::WorkerName& worker) const;
  /// Whether its members run under the start lease, or not at all.
  bool unconfirmed() const;

 private:
  void Run(const std::vector<lifecycle::GangCommand>& commands);
  void Arm();

  void Do(const lifecycle::ReserveMembers& command);
  void Do(const lifecycle::RecordIntent& command);
  void Do(const lifecycle::StartMembers& command);
  void Do(const lifecycle::ConfirmMembers& command);
  void Do(const lifecycle::CheckpointMembers& command);
  void Do(const lifecycle::StopMembers& command);
  void Do(const lifecycle::GangEnded& command);

  void Command(int task, lifecycle::WorkerCommand command,
               void (GangRunner::*end)(int, CommandEnd, const std::string&));
  void OnReserved(int task, CommandEnd end, const std::string& reason);
  void OnStarted(int task, CommandEnd end, const std::string& reason);
  lifecycle::StartTask StartOf(int task) const;
  /// A start may be given twice: the worker runs a task once, and a member is
  /// never reserved twice under the same attempt.
  void StartAgain(int task);
  void OnStartedAgain(int task, CommandEnd end, const std::string& reason);
  void OnRenewed(int task, CommandEnd end, const std::string& reason);
  void OnCheckpointAsked(int task, CommandEnd end, const std::string& reason);
  void OnStopped(int task, CommandEnd end, const std::string& reason);
  void StopMember(int task);
  std::string CheckpointObject(int task) const;
  int tasks() const { return static_cast<int>(intent_.members.size()); }

  const OwnerOptions& options_;
  base::EventLoop& loop_;
  const Hooks& hooks_;
  const base::JobName job_;
  const config::JobSpec spec_;
  Intent intent_;
  lifecycle::GangStateMachine machine_;
  base::TimePoint started_;
  bool confirmed_ = false;
  bool partly_finished_told_ = false;
  base::TimerId timer_ = 0;
  CallbackScope scope_;
};

}  // namespace lapishatch::scheduler::internal

#endif  // LAPISHATCH_SCHEDULER_INTERNAL_GANG_RUNNER_H_
