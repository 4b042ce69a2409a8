#ifndef LAPISHATCH_DISPATCH_INTERNAL_OWNED_SERVICE_H_
#define LAPISHATCH_DISPATCH_INTERNAL_OWNED_SERVICE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"
#include "dispatch/fleet.h"
#include "dispatch/internal/crash_history.h"
#include "dispatch/internal/crash_policy.h"
#include "dispatch/internal/job_book.h"
#include "dispatch/internal/recorder.h"
#include "dispatch/internal/service_loader.h"
#include "dispatch/internal/silent_domains.h"
#include "dispatch/internal/start_window.h"
#include "dispatch/internal/task_planner.h"
#include "dispatch/internal/waiting_counter.h"
#include "dispatch/internal/worker_drain.h"
#include "dispatch/internal/worker_health.h"
#include "dispatch/internal/worker_session.h"
#include "dispatch/service_owner.h"
#include "store/feed_follower.h"

namespace lapishatch::dispatch::internal {

/// What an owner may do at a moment, as its lease says.
struct OwnerRights {
  /// Whether it certainly is the only owner.
  std::function<bool()> may_start;
  /// Whether it may still renew leases at workers, and for how long at most.
  std::function<bool()> may_renew;
  std::function<base::Duration()> longest_lease;
  /// Another process owns the service.
  std::function<void(const std::string& reason)> on_lost;
};

/// One ownership of a service, from the taking of its row to the end.
/// Destroying it forgets everything; nothing of it acts afterwards.
///
/// Order of things: a start is recorded, then sent; an end is listed by the
/// worker, recorded, then acknowledged to the worker. A new owner hears each
/// worker under its own epoch, which ends all orders of former owners there,
/// and takes over what runs.
class OwnedService : public std::enable_shared_from_this<OwnedService> {
 public:
  OwnedService(const ServiceOwnerDependencies& ports, base::ServiceName service,
               Epoch epoch, bool former_is_gone,
               const ServiceOwnerOptions& options, OwnerRights rights);

  void Start();

  void PutWorker(const WorkerRegistration& entry);
  void RemoveWorker(const base::WorkerName& name);
  void SetGuarantees(std::map<base::OrganisationName, std::int64_t> guarantees);

 private:
  struct Worker {
    std::unique_ptr<WorkerSession> session;
    bool is_listed = true;
    /// Jobs of the ends that it has listed and that may not be recorded yet:
    /// acknowledging one end acknowledges all before it.
    std::set<base::JobName> unrecorded;
    /// Refused something lately.
    base::TimePoint closed_until{};
  };

  struct RecentCrash {
    DownWorker worker;
    base::TimePoint at{};
  };

  // Loading.
  void OnLoaded(LoadedService loaded);
  void FollowRequests();
  void OnAllRequests(const std::vector<store::StoredRow>& rows);
  void OnRequest(const store::StoredRow& row);
  void OnCancel(const base::JobName& name);

  // Workers.
  void OpenSession(const WorkerRegistration& entry);
  bool IsEvacuated(const Worker& worker) const;
  /// Whether the evacuations are known as of the taking of this service, and
  /// were confirmed lately: an owner whose feed lags behind starts nothing.
  bool KnowsEvacuations() const;
  /// Whether the workers' registrations were read recently enough to rely on
  /// their capacities for a start.
  bool HasFreshRegistrations() const;
  bool MayStart() const {
    return rights_.may_start() && KnowsEvacuations() && HasFreshRegistrations();
  }
  /// Whether what is planned, runs, may run or is being stopped on a worker
  /// fits its capacity.
  bool IsWithinCapacity(const base::WorkerName& name);
  void NoteEvacuations();
  void NoteDeparture(const WorkerRegistration& entry);
  void NoteCapacity(const WorkerRegistration& entry);
  void DrainWorkers();
  void OnNews(const base::WorkerName& name, const WorkerReport& news,
              base::TimePoint sent);
  void OnRunning(const base::WorkerName& name, const RunningTask& task,
                 base::TimePoint sent);
  void OnEnded(const base::WorkerName& name, const EndedTask& end);
  void ResolveUnlisted(const base::WorkerName& name, const WorkerReport& news,
                       base::TimePoint sent);
  /// Tasks as pairs of unit and task index; see JobBook::MembersOn.
  using Members = std::vector<std::pair<Unit*, int>>;
  void EndAllOn(const base::WorkerName& name, WorkerLossReason reason);
  void EndLostMembers(const base::WorkerName& name, const Members& members,
                      WorkerLossReason reason);
  void ReportLostTask(const Unit& unit, int index, std::ptrdiff_t others,
                      WorkerLossReason reason, const jobs::TaskLosses& losses);
  bool RunsSuspect(const base::WorkerName& name) const;
  std::vector<jobs::TaskName> TasksOn(const base::WorkerName& name) const;
  DownWorkers FindDownWorkers() const;
  void RecordCrash(const base::WorkerName& name);
  void UpdateOpen();
  void FindSilent();
  void CheckLapsed();
  void CheckStalled();

  // Orders.
  void Pump();
  void Decide();
  /// Calls `done` once what is known now of `jobs` stands in the store.
  void WhenRecorded(const std::set<base::JobName>& jobs,
                    const std::function<void()>& done);
  void SendStarts(const std::vector<Unit*>& units);
  void SendStart(const jobs::TaskName& task, int run);
  void NoteStartTime(const StartResult& result, base::TimePoint sent);
  void OnStarted(const jobs::TaskName& task, int run, StartResult result);
  void SendStops();
  void SendStop(const jobs::TaskName& task, int run,
                const base::WorkerName& name);
  void OnStopped(const jobs::TaskName& task, int run,
                 const base::WorkerName& name, const StopResult& result);

  /// Logs the jobs that have ended since it was called last.
  void LogEnds();
  void LogEnd(const JobEntry& job);
  void Tick();
  void RemoveOld();
  void RemoveOrphans(const std::vector<store::StoredRow>& requests);
  void RemoveRows(const base::JobName& name);
  void RemoveProgress(const base::JobName& name);
  void Lose(const std::string& reason);
  /// The present run of the task's unit, if it is `run`.
  Unit* FindRun(const jobs::TaskName& task, int run);
  Worker* FindWorker(const base::WorkerName& name);

  const ServiceOwnerDependencies& ports_;
  const base::ServiceName service_;
  const Epoch epoch_;
  const bool former_is_gone_;
  const ServiceOwnerOptions& options_;
  const OwnerRights rights_;
  const base::TimePoint taken_at_;

  Fleet fleet_;
  JobBook book_;
  TaskPlanner planner_;
  const SessionOptions session_options_;
  ServiceLoader loader_;
  /// By part; none before the service is loaded.
  std::vector<std::unique_ptr<Recorder>> recorders_;
  std::optional<WaitingCounter> counter_;
  std::map<base::WorkerName, Worker> workers_;
  WorkerHealth health_{{}};
  CrashHistory crashes_{{}};
  /// Workers without suspect tasks whose crash was detected recently.
  std::map<base::WorkerName, RecentCrash> recent_crashes_;
  Departures departures_;
  std::map<base::JobName, store::StoredRow> progress_rows_;
  std::optional<store::FeedFollower> requests_;
  bool is_loaded_ = false;
  bool is_pump_armed_ = false;
  /// The earliest time of the next round of decisions.
  base::TimePoint next_decision_{};
  StartWindow window_{{}};
  /// Failure domains that are cut off from this owner.
  std::set<base::DomainName> silent_;
  /// Evacuated domains as they were logged last.
  std::set<base::DomainName> evacuated_;
  bool knows_evacuations_ = true;
  /// Whether more could start once starts that are under way are answered.
  bool waits_for_answers_ = false;
  std::map<base::JobName, base::TimePoint> ended_at_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_OWNED_SERVICE_H_
