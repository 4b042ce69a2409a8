#ifndef LAPISHATCH_DISPATCH_INTERNAL_OWNED_SERVICE_H_
#define LAPISHATCH_DISPATCH_INTERNAL_OWNED_SERVICE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/base.h"
#include "dispatch/fleet.h"
#include "dispatch/internal/crash_history.h"
#include "dispatch/internal/crash_policy.h"
#include "dispatch/internal/job_indexer.h"
#include "dispatch/internal/job_remover.h"
#include "dispatch/internal/job_tracker.h"
#include "dispatch/internal/recorder.h"
#include "dispatch/internal/service_loader.h"
#include "dispatch/internal/silent_domains.h"
#include "dispatch/internal/start_window.h"
#include "dispatch/internal/stored_job.h"
#include "dispatch/internal/task_planner.h"
#include "dispatch/internal/waiting_count_writer.h"
#include "dispatch/internal/worker_drain.h"
#include "dispatch/internal/worker_health.h"
#include "dispatch/internal/worker_session.h"
#include "dispatch/service_owner.h"
#include "estimation/estimation.h"
#include "store/feed_follower.h"

namespace lapishatch::dispatch::internal {

/// What the lease on the service currently permits its owner to do, and how the
/// owner reports that it has lost the service.
struct OwnerPermissions {
  /// Whether tasks may be started: this process is certain to be the only
  /// owner.
  std::function<bool()> may_start;
  /// Whether the owner may still renew the leases of workers.
  std::function<bool()> may_renew;
  /// Maximum length of a worker's lease, from now on.
  std::function<base::Duration()> max_lease;
  /// Called when another process is found to own the service.
  std::function<void(const std::string& reason)> on_lost;
  /// Called several times a second with what the owner lacks to start work and
  /// whether work waits. Ends the ownership if this VM must hand over.
  std::function<void(OwnerObstacle obstacle, bool has_waiting_work)> on_state;
};

/// Schedules the tasks of one service while this process owns it, from the
/// acquisition of the service's row until the ownership ends. Destroying the
/// object discards its state; callbacks that arrive afterwards have no effect.
///
/// A start is recorded in the store before it is sent to the worker. An end is
/// reported by the worker, recorded in the store and only then acknowledged to
/// the worker. A new owner polls each worker with its own epoch, which makes
/// the worker refuse all orders of former owners, and takes over the tasks that
/// are running there.
class OwnedService : public std::enable_shared_from_this<OwnedService> {
 public:
  OwnedService(const ServiceOwnerDependencies& dependencies,
               base::ServiceName service, Epoch epoch,
               base::Duration former_leases, const ServiceOwnerOptions& options,
               OwnerPermissions permissions);
  ~OwnedService();
  OwnedService(const OwnedService&) = delete;
  OwnedService& operator=(const OwnedService&) = delete;

  void Start();

  /// Adds a worker or updates its registration. Workers of other services are
  /// ignored.
  void PutWorker(const WorkerRegistration& registration);

  /// Handles the removal of a worker's registration. The tasks there are over
  /// only when the worker's lease has expired.
  void RemoveWorker(const base::WorkerName& name);
  void SetGuarantees(std::map<base::OrganisationName, std::int64_t> guarantees);

 private:
  struct PlannedStart {
    jobs::TaskName task;
    int run = 0;
  };

  struct Worker {
    std::unique_ptr<WorkerSession> session;
    bool is_registered = true;
    /// Start time of the incarnation that the tasks there were started on.
    WorkerStartTime started_at_ms;
    /// Registration of the incarnation before, until the present one has
    /// answered. What was lost with a worker was lost at its address.
    std::optional<WorkerRegistration> former_registration;
    /// Jobs with ends that the worker has reported and that may not be recorded
    /// yet. Acknowledging one end acknowledges all ends before it.
    std::set<base::JobName> unrecorded;
    /// The worker gets no new tasks before this time, because it has refused
    /// one.
    base::TimePoint paused_until{};
    /// Another worker registered at its address while its lease was certain to
    /// run: it had crashed.
    bool was_replaced_under_lease = false;
    /// Starts that are sent once the worker answers.
    std::vector<PlannedStart> unverified_starts;
    /// Number of its tasks that were ended because its lease expired, since it
    /// last answered.
    std::size_t tasks_lost_to_silence = 0;
    /// When it was last logged that a report may lack ends.
    base::TimePoint cut_ends_logged_at{};
  };

  /// Whether a worker that fell silent is registered, and since when.
  struct SilentWorkerState {
    bool is_registered = false;
    base::TimePoint since{};
  };

  struct RecentCrash {
    DownWorker worker;
    base::TimePoint at{};
  };

  /// A gauge of this service, and its value when it was last reported.
  struct Gauge {
    std::string_view name;
    std::optional<int> reported{};
  };

  /// Reports the value if it has changed.
  void SetGauge(Gauge& gauge, int value);

  // Loading.
  void OnLoaded(LoadedService loaded);
  void FollowRequests();
  void OnRequestSnapshot(const std::vector<store::StoredRow>& rows);
  void OnRequestRow(const store::StoredRow& row);
  void AddJob(UsableJob stored, store::RowVersion progress_version);
  void AddInvalidJob(const base::JobName& name, const InvalidJob& invalid,
                     store::RowVersion progress_version);
  void OnCancelRequest(const base::JobName& name);

  // Workers.
  void OpenSession(const WorkerRegistration& registration);
  /// Whether the registration is that of an earlier incarnation than the one
  /// that answers.
  bool IsOutdated(const Worker& worker,
                  const WorkerRegistration& registration) const;
  /// Handles a report of another incarnation than the tasks were started on.
  void HandleRestart(const base::WorkerName& name, const WorkerReport& report);
  /// Registration of the incarnation whose tasks are being ended.
  static const WorkerRegistration& LostRegistration(const Worker& worker);
  bool IsInEvacuatedDomain(const Worker& worker) const;
  /// Whether the known evacuations are at least as new as this owner's epoch
  /// and were confirmed recently. An owner whose feed lags behind starts no
  /// tasks.
  bool HasFreshEvacuations() const;
  /// Whether the workers' registrations were read recently enough to rely on
  /// their capacities for a start.
  bool HasFreshRegistrations() const;
  bool MayStart() const {
    return permissions_.may_start() && Obstacle() == OwnerObstacle::kNone;
  }
  OwnerObstacle Obstacle() const;
  bool HasWaitingWork() const;
  /// Whether the tasks that are planned, running, possibly running or being
  /// stopped on a worker fit its capacity.
  bool IsWithinCapacity(const base::WorkerName& name);
  void HandleEvacuationChanges();
  void RecordDeparture(const WorkerRegistration& registration);
  void HandleCapacityChange(const WorkerRegistration& registration);
  void StopUnitsOnDrainingWorkers();
  void OnWorkerReport(const base::WorkerName& name, const WorkerReport& report,
                      base::TimePoint sent);
  void NoteReplacement(const WorkerRegistration& registration);
  void ForgetAddress(const base::WorkerName& name);
  void LogSurvival(const base::WorkerName& name, Worker& worker);
  void OnTaskRunning(const base::WorkerName& name, const RunningTask& task,
                     WorkerTime worker_time, base::TimePoint sent);
  void OnTaskEnded(const base::WorkerName& name, const EndedTask& end);
  static bool MayHaveEndedBefore(const Unit& unit, const Member& member,
                                 const WorkerReport& report);
  void EndUnreportedTasks(const base::WorkerName& name,
                          const WorkerReport& report, base::TimePoint sent);
  /// Tasks as pairs of unit and task index; see JobTracker::MembersOn.
  using Members = std::vector<std::pair<Unit*, int>>;
  /// Marks the members that a report which may lack ends does not list.
  void MarkUnlistedMembers(const base::WorkerName& name,
                           const WorkerReport& report);
  /// Logs, at most once a second for each worker, that a report may lack ends.
  void LogCutEnds(const base::WorkerName& name, const WorkerReport& report,
                  std::size_t missing);
  void LogWorkerGone(const base::WorkerName& name, std::size_t tasks,
                     WorkerLossReason reason, CrashRecord crash);
  void EndAllTasksOn(const base::WorkerName& name, WorkerLossReason reason);
  void EndLostMembers(const base::WorkerName& name, const Members& members,
                      WorkerLossReason reason);
  void ReportLostTask(const Unit& unit, int index,
                      std::ptrdiff_t tasks_of_other_units,
                      WorkerLossReason reason, LossEvidence evidence,
                      const jobs::TaskLosses& losses);
  LossEvidence EvidenceOf(const base::WorkerName& name, const Member& member,
                          WorkerLossReason reason);

  // Workers that fell silent under a task.
  void ResolveByAnswer(const base::WorkerName& name,
                       const http::Endpoint& endpoint,
                       const WorkerStartTime& started_at_ms);
  void ResolveByReplacement(const base::WorkerName& name);
  void ResolveByRegistrations();
  std::optional<LossEvidence> EvidenceByRegistration(
      const jobs::SilentWorker& worker, const SilentWorkerState& state) const;
  SilentWorkerState StateOf(const jobs::SilentWorker& silent);
  void ResolveSilentWorkers(Unit& unit, const SilenceEvidence& evidence);

  // Causes of crashes.
  bool RunsSuspect(const base::WorkerName& name) const;
  std::vector<jobs::TaskName> TasksOn(const base::WorkerName& name) const;
  /// Workers that crashed recently or do not answer, and on which no suspect
  /// task runs that may be the cause.
  DownWorkers FindDownWorkers() const;
  /// Whether the worker has answered this owner or was given tasks. The
  /// registration of any other may name the address of another worker.
  bool WasInUse(const base::WorkerName& name) const;
  /// Records the crash of a worker for its address, unless the worker was not
  /// in use, was draining, or a suspect task on it may be the cause.
  CrashRecord RecordCrash(const base::WorkerName& name,
                          WorkerLossReason reason);
  void UpdateWorkerStates();
  void UpdateSilentDomains();
  void HandleExpiredLeases();
  void StopStalledUnits();

  // Run times and worker speeds.
  /// Handles the progress of a task in a report with time `worker_time`.
  void ObserveProgress(Unit& unit, Member& member, int percent,
                       WorkerTime worker_time);
  void UpdateSpeed(const base::WorkerName& name);
  void PredictRunTimes(const std::vector<Unit*>& starts);
  /// Logs and counts how the run time of a unit of which a task is done
  /// compares with what was expected.
  void LogRunTime(const Unit& unit);
  void ForgetRunTimes(const base::JobName& job);

  // Starts and stops.
  void ScheduleDecisionRound();
  void RunDecisionRound();
  void LogGuaranteeDemand();
  /// Logs each urgent unit once that has waited for long for its first start.
  void LogDelayedStarts(bool is_permitted);
  /// Calls `done` once the present progress of `jobs` is recorded in the store.
  void WhenRecorded(const std::set<base::JobName>& jobs,
                    const std::function<void()>& done);
  void SendStartsWhenRecorded(const std::vector<Unit*>& units);
  void SendStart(const jobs::TaskName& task, int run);
  bool HasJustAnswered(const WorkerSession& session) const;
  /// Whether the start of a task that may have crashed workers must wait until
  /// its worker has answered again. If so, the worker is polled.
  bool MustVerifyWorker(const Unit& unit, const Member& member, Worker& worker);
  void SendVerifiedStarts(const base::WorkerName& name);
  /// Returns starts to the queue whose workers do not answer.
  void DropUnverifiedStarts();
  void UpdateStartWindow(const StartResult& result, base::TimePoint sent);
  void OnStartResult(const jobs::TaskName& task, int run, StartResult result);
  void SendStops();
  void ReportStops();
  void SendStop(const jobs::TaskName& task, int run,
                const base::WorkerName& name, const StopOrder::Ticket& ticket);
  void OnStopResult(const jobs::TaskName& task, int run,
                    const base::WorkerName& name, const StopResult& result,
                    const StopOrder::Ticket& ticket);

  /// Logs the jobs that have ended since the last call.
  void LogEndedJobs();
  void LogEndedJob(const JobEntry& job);
  void LogFailure(const JobEntry& job);
  /// Does the periodic work and schedules its next call.
  void Tick();
  /// See JobRemover::Callbacks.
  bool MayRemove(const base::JobName& name);
  const Recorder& RecorderOf(const base::JobName& name) const;
  void FindOrphanedProgress(const std::vector<store::StoredRow>& requests);
  void GiveUpOwnership(const std::string& reason);
  /// The unit of the task if `run` is its present run and the task is not over
  /// in it; otherwise null.
  Unit* FindUnitOfRun(const jobs::TaskName& task, int run);
  Worker* FindWorker(const base::WorkerName& name);

  const ServiceOwnerDependencies& dependencies_;
  const base::ServiceName service_;
  const Epoch epoch_;
  /// See OwnerLeaseCallbacks::on_acquired.
  const base::Duration former_leases_;
  const ServiceOwnerOptions& options_;
  const OwnerPermissions permissions_;
  const base::TimePoint acquired_at_;

  Fleet fleet_;
  JobTracker tracker_;
  TaskPlanner planner_;
  const SessionOptions session_options_;
  const DrainOptions drain_options_;
  ServiceLoader loader_;
  JobIndexer indexer_;
  JobRemover remover_;
  /// By partition; empty before the service is loaded.
  std::vector<std::unique_ptr<Recorder>> recorders_;
  std::optional<WaitingCountWriter> waiting_counter_;
  std::map<base::WorkerName, Worker> workers_;
  WorkerHealth worker_health_{{}};
  estimation::RunTimeModel run_times_;
  base::TimePoint run_time_logged_at_{};
  CrashHistory crash_history_{{}};
  /// Workers that ran no suspect task and whose crash was detected recently.
  std::map<base::WorkerName, RecentCrash> recent_crashes_;
  Departures departures_;
  /// Workers that fell silent under a task and may live.
  std::map<base::WorkerName, SilentWorkerState> silent_workers_;
  base::TimePoint registrations_checked_at_{};
  /// Latest worker that has registered at each address.
  std::map<http::Endpoint, base::WorkerName> latest_at_;
  std::map<base::JobName, store::StoredRow> progress_rows_;
  std::optional<store::FeedFollower> request_follower_;
  bool is_loaded_ = false;
  bool is_decision_round_scheduled_ = false;
  /// The next decision round does not start before this time.
  base::TimePoint earliest_next_decision_{};
  StartWindow start_window_{{}};
  /// Failure domains whose workers do not answer this owner.
  std::set<base::DomainName> silent_domains_;
  /// Evacuated domains when they were last logged.
  std::set<base::DomainName> logged_evacuated_domains_;
  /// Result of HasFreshEvacuations when it was last logged.
  bool had_fresh_evacuations_ = true;
  /// Whether the guarantees were overcommitted when that was last logged.
  bool was_overcommitted_ = false;
  base::TimePoint overcommitment_logged_at_{};
  /// Bounds the log of workers that end unused.
  base::LogGate unused_worker_log_{base::Duration(10'000)};
  /// Tasks that have to stop and may still run.
  Gauge stopping_gauge_{"lapishatch_tasks_stopping"};
  /// Jobs that cannot be run and are not cancelled.
  Gauge held_gauge_{"lapishatch_jobs_held"};
  base::TimePoint next_stop_log_at_{};
  /// Whether the last decision round held back starts until starts in flight
  /// are answered.
  bool is_limited_by_start_window_ = false;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_OWNED_SERVICE_H_
