#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fakes.h"
#include "matrix/internal/fault_injector.h"
#include "matrix/internal/gang_jobs.h"
#include "matrix/internal/gang_process.h"
#include "matrix/world.h"
#include "scheduler/scheduler.h"

namespace lapishatch::matrix {
namespace {

using internal::Cell;
using internal::FaultInjector;
using internal::GangProcess;
using internal::GangProcessPtr;
using internal::JobPlan;
using internal::PlannedJobs;
using internal::SeenJob;

constexpr int kWorkers = 4;
constexpr int kWorkersPerRack = 2;
constexpr base::Duration kReplacedAfter{2'000};
/// When the group doubts a process that does not answer (docs/MEMBERSHIP.md).
constexpr base::Duration kSuspectAfter{1'500};
constexpr base::Duration kDeadAfter{4'500};
constexpr base::Duration kSampleEvery{100};
constexpr base::Duration kWholeRun{600'000};
constexpr base::Duration kWorkerLeavesAt{60'000};
constexpr base::Duration kLeavingGrace{5'000};
constexpr base::Duration kPlannedStopAt{120'000};
/// Urgent work of a guarantee starts within this of its acceptance.
constexpr base::Duration kUrgentStart{7'100};
/// What one fault may add to it: its own length, a failover and a lease.
constexpr base::Duration kDelayPerFault{100'000};
/// Longest time a part of a gang may run while its owner lives and its workers
/// are reached: the lease of a start and an order that is not answered.
constexpr base::Duration kPartBound{10'000};
/// The same when the owner dies, is paused or is cut off amid a start or stop:
/// the failover (lease 10 s, margin, the candidate's read, recovery 1 s) and an
/// order that is not answered.
constexpr base::Duration kPartBoundFailover{20'000};
/// The same when a worker is not reached: its running lease, renewed last by
/// an owner that then failed over.
constexpr base::Duration kPartBoundUnreached{75'000};
/// After a planned stop, running gangs are watched for so long.
constexpr base::Duration kAfterPlannedStop{15'000};

http::Endpoint WorkerEndpoint(int i) {
  return {"10.0.1.1", static_cast<std::uint16_t>(7000 + i)};
}

/// Two scheduler processes, one cell of four workers in two racks, the jobs of
/// two organisations, a planned stop and a worker that leaves.
class GangWorld {
 public:
  GangWorld(FaultPlan plan, WorldOptions options)
      : broken_(options.broken),
        trace_(options.trace),
        faults_(plan.faults()),
        table_(time_),
        workers_(time_),
        injector_(time_, table_, std::move(plan)) {
    if (broken_ == Break::kTableIgnoresConditions) table_.IgnoreConditions();
    AddWorkers();
    AddConfiguration();
    BreakWorkers();
  }

  WorldResult Run() {
    for (std::size_t i = 0; i < processes_.size(); ++i) StartProcess(i);
    AcceptJobs();
    time_.After(kWorkerLeavesAt, [this] { WorkerLeaves(); });
    time_.After(kPlannedStopAt, [this] { PlannedStop(); });
    Sample();
    time_.RunFor(kWholeRun);
    CheckEnd();
    return {injector_.done(), std::move(violations_), longest_part_,
            urgent_start_};
  }

 private:
  // --- what there is ---

  void AddWorkers() {
    std::vector<scheduler::CellWorker> list;
    for (int i = 0; i < kWorkers; ++i) {
      standins::WorkerModelOptions options;
      options.name = base::WorkerName("worker-" + std::to_string(i));
      options.rack =
          base::RackName("rack-" + std::to_string(i / kWorkersPerRack));
      options.accelerators = internal::kAcceleratorsPerWorker;
      list.push_back({options.name, WorkerEndpoint(i), options.rack, false});
      workers_.Add(WorkerEndpoint(i), std::move(options));
    }
    feed_.SetWorkers(std::move(list));
  }

  void AddConfiguration() {
    scheduler::CellConfiguration configuration;
    configuration.guarantees.push_back(
        {base::OrganisationName("bertolini"),
         {2 * internal::kAcceleratorsPerWorker, placement::Adjacency::kRack},
         1});
    configuration.shares.push_back({base::OrganisationName("bertolini")});
    configuration.shares.push_back({base::OrganisationName("plateau")});
    feed_.SetConfiguration(std::move(configuration));
  }

  void StartProcess(std::size_t i) {
    auto process =
        std::make_shared<GangProcess>(time_, table_, workers_, owners_);
    process->endpoint = {"10.0.2.1",
                         static_cast<std::uint16_t>(9000 + ++last_port_)};
    process->table.SetCommitFault(
        [this, i](const store::Transaction& it) { return OnCommit(i, it); });
    process->workers.SetFault(
        [this, i](const http::Endpoint& to, const lifecycle::WorkerOrder& it) {
          return OnOrder(i, to, it);
        });
    scheduler::OwnerOptions options;
    options.cell = Cell();
    options.domain = base::DomainName("caxias-hall");
    options.incarnation = process->incarnation;
    options.endpoint = process->endpoint;
    process->owner = std::make_unique<scheduler::CellOwner>(
        options,
        scheduler::OwnerPorts{process->loop, process->table, process->workers,
                              process->probe, feed_, nullptr, owners_.Word()});
    processes_[i] = process;
    owners_.Add(process->endpoint, process->loop,
                [process](const base::Incarnation& holder) {
                  return process->owner ? process->owner->AnswerProbe(holder)
                                        : scheduler::ProbeAnswer();
                });
    process->owner->Start();
  }

  // --- what happens without faults ---

  void AcceptJobs() {
    for (const auto& plan : PlannedJobs()) {
      time_.After(base::Duration(plan.accepted_after_ms),
                  [this, plan] { Accept(plan); });
    }
    time_.After(base::Duration(40'000), [this] { CancelJob("study"); });
  }

  void Accept(const JobPlan& plan) {
    SeenJob job;
    job.accepted = internal::JobOf(plan);
    job.accepted.submitted = time_.Now();
    job.accepted_at = time_.Now();
    feed_.Accept(job.accepted);
    jobs_.emplace(job.accepted.name, std::move(job));
  }

  void CancelJob(const std::string& name) {
    const auto it = jobs_.find(base::JobName(name));
    if (it == jobs_.end() || it->second.cancelled) return;
    it->second.cancelled = true;
    feed_.Cancel(it->first);
  }

  void WorkerLeaves() {
    leaving_since_ = time_.Now();
    if (broken_ == Break::kLeavingIsHidden) return;
    auto list = feed_.workers();
    list.back().leaving = true;
    feed_.SetWorkers(std::move(list));
  }

  /// The holder of the cell gets a planned stop and is replaced.
  void PlannedStop() {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      auto process = processes_[i];
      if (!process->owner || process->paused) continue;
      if (process->owner->Status().phase != scheduler::OwnerPhase::kOwning) {
        continue;
      }
      // A reclaim that is due may rightly end what runs.
      const auto before = AnyJobWaits()
                              ? std::map<lifecycle::TaskKey, base::TimePoint>()
                              : RunningTasks();
      process->owner->Stop([this, i, process, before] {
        if (processes_[i] != process) return;
        if (broken_ == Break::kStopIsAKill) StopEverything();
        time_.After(kAfterPlannedStop,
                    [this, before] { CheckPlannedStop(before); });
        time_.Post([process] { process->owner.reset(); });
        time_.After(kReplacedAfter, [this, i] { StartProcess(i); });
      });
      return;
    }
  }

  void StopEverything() {
    for (int i = 0; i < kWorkers; ++i) {
      workers_.model(WorkerEndpoint(i)).Restart();
    }
  }

  // --- faults ---

  void KillProcess(std::size_t i) {
    owner_fault_ = true;
    auto process = processes_[i];
    process->loop.Kill();
    owners_.Refuse(process->endpoint);
    DoubtLater(process);
    time_.Post([process] { process->owner.reset(); });
    time_.After(kReplacedAfter, [this, i, process] {
      if (processes_[i] == process) StartProcess(i);
    });
  }

  void PauseProcess(std::size_t i) {
    owner_fault_ = true;
    auto process = processes_[i];
    process->paused = true;
    process->loop.Pause();
    DoubtLater(process);
    time_.After(FaultInjector::kPause, [this, process] {
      process->paused = false;
      process->loop.Resume();
      owners_.SetDoubt(process->endpoint, lifecycle::HolderSuspicion::kNone);
    });
  }

  /// What the group of processes says of one that does not answer.
  void DoubtLater(const GangProcessPtr& process) {
    time_.After(kSuspectAfter, [this, process] {
      owners_.SetDoubt(process->endpoint, lifecycle::HolderSuspicion::kSuspect);
    });
    time_.After(kDeadAfter, [this, process] {
      owners_.SetDoubt(process->endpoint, lifecycle::HolderSuspicion::kDead);
    });
  }

  FaultInjector::Hooks HooksOf(std::size_t i) {
    const auto process = processes_[i];
    return {[this, i] { KillProcess(i); }, [this, i] { PauseProcess(i); },
            [this, process](bool cut) {
              owner_fault_ = true;
              process->table.SetCut(cut);
            },
            [this] { CancelJob(racing_job_.str()); }};
  }

  static std::optional<Step> StepOf(const store::Transaction& transaction) {
    const auto starts = [&transaction](std::string_view prefix) {
      return std::any_of(
          transaction.writes.begin(), transaction.writes.end(),
          [prefix](const auto& it) { return it.key.starts_with(prefix); });
    };
    if (starts(scheduler::kIntentPrefix)) return Step::kIntent;
    if (starts("status/")) return Step::kStatus;
    if (!starts(scheduler::CellKey(Cell()))) return std::nullopt;
    if (transaction.writes.size() > 1) return Step::kTakeCell;
    const auto row =
        scheduler::DecodeHolder(transaction.writes.front().value.value_or(""));
    return row && row->holder.empty() ? Step::kReleaseCell : Step::kRenewCell;
  }

  fakes::TableFault OnCommit(std::size_t i,
                             const store::Transaction& transaction) {
    const auto step = StepOf(transaction);
    if (!step) return injector_.TableFaultNow();
    const auto fault = injector_.Reached(*step);
    Trace(i, *step, fault, JobOf(transaction).str());
    if (!fault) return injector_.TableFaultNow();
    racing_job_ = JobOf(transaction);
    return injector_.OnTableStep(*fault, HooksOf(i));
  }

  static base::JobName JobOf(const store::Transaction& transaction) {
    for (const auto& write : transaction.writes) {
      const auto slash = write.key.find('/');
      if (slash == std::string::npos) continue;
      return base::JobName(write.key.substr(slash + 1));
    }
    return {};
  }

  struct StepOfCommand {
    Step operator()(const lifecycle::ReserveTask&) { return Step::kReserve; }
    Step operator()(const lifecycle::StartTask&) { return Step::kStart; }
    Step operator()(const lifecycle::RenewTask&) { return Step::kConfirm; }
    Step operator()(const lifecycle::CheckpointTask&) {
      return Step::kCheckpoint;
    }
    Step operator()(const lifecycle::ThrottleTask&) { return Step::kStop; }
    Step operator()(const lifecycle::StopTask&) { return Step::kStop; }
  };

  fakes::OrderFault OnOrder(std::size_t i, const http::Endpoint& to,
                            const lifecycle::WorkerOrder& order) {
    CheckLeaving(to, order);
    for (const auto& command : order.commands) {
      const auto step = std::visit(StepOfCommand(), command);
      const auto fault = injector_.Reached(step);
      const auto& key = lifecycle::KeyOf(command);
      Trace(i, step, fault,
            key.job.str() + '/' + std::to_string(key.task) + " to " +
                http::TextOf(to));
      if (!fault) continue;
      racing_job_ = lifecycle::KeyOf(command).job;
      return Inject(i, to, *fault);
    }
    return fakes::OrderFault::kNone;
  }

  fakes::OrderFault Inject(std::size_t i, const http::Endpoint& to,
                           Fault fault) {
    switch (fault) {
      case Fault::kDiesBefore:
        KillProcess(i);
        return fakes::OrderFault::kOrderLost;
      case Fault::kDiesAfter:
        KillProcess(i);
        return fakes::OrderFault::kAnswerLost;
      case Fault::kPeerDies:
        worker_fault_ = true;
        workers_.model(to).Restart();
        Silence(to);
        return fakes::OrderFault::kOrderLost;
      case Fault::kSilent:
        worker_fault_ = true;
        Silence(to);
        return fakes::OrderFault::kOrderLost;
      case Fault::kMessageLost:
        return fakes::OrderFault::kOrderLost;
      case Fault::kAnswerLost:
        return fakes::OrderFault::kAnswerLost;
      case Fault::kMessageDoubled:
        return fakes::OrderFault::kDoubled;
      case Fault::kMessageLate:
        return fakes::OrderFault::kLate;
      default:
        injector_.OnOtherStep(fault, HooksOf(i));
        return fakes::OrderFault::kNone;
    }
  }

  void Silence(const http::Endpoint& worker) {
    workers_.SetReachable(worker, false);
    time_.After(FaultInjector::kSilence,
                [this, worker] { workers_.SetReachable(worker, true); });
  }

  void BreakWorkers() {
    using Model = standins::WorkerModel;
    if (broken_ == Break::kWorkersIgnoreFences) {
      workers_.SetOrderChange([](const Model& model, auto& order) {
        order.epoch = std::max(order.epoch, model.epoch_seen());
        order.worker_incarnation = model.incarnation();
      });
    }
    if (broken_ == Break::kWorkersDropLastMember) {
      workers_.SetOrderChange([](const Model& /*model*/, auto& order) {
        std::erase_if(order.commands, [](const auto& it) {
          return std::holds_alternative<lifecycle::StopTask>(it) &&
                 lifecycle::KeyOf(it).task == 0;
        });
      });
    }
    if (broken_ == Break::kWorkersIgnoreStops) {
      workers_.SetOrderChange([](const Model& /*model*/, auto& order) {
        std::erase_if(order.commands, [](const auto& it) {
          return std::holds_alternative<lifecycle::StopTask>(it);
        });
      });
    }
  }

  // --- checks ---

  void CheckLeaving(const http::Endpoint& to,
                    const lifecycle::WorkerOrder& order) {
    if (!leaving_since_ || to != WorkerEndpoint(kWorkers - 1)) return;
    if (time_.Now() < *leaving_since_ + kLeavingGrace + FaultTime()) return;
    for (const auto& command : order.commands) {
      if (!std::holds_alternative<lifecycle::ReserveTask>(command)) continue;
      Note(Invariant::kLeavingGetsNoWork,
           lifecycle::KeyOf(command).job.str() +
               " was reserved on a worker that leaves");
    }
  }

  /// Time that the faults of this cell may add to any delay.
  base::Duration FaultTime() const {
    return kDelayPerFault * static_cast<int>(faults_.size());
  }

  int StartsOf(const base::JobName& job) {
    int n = 0;
    for (int i = 0; i < kWorkers; ++i) {
      n += workers_.model(WorkerEndpoint(i)).StartsOf(job);
    }
    return n;
  }

  void Sample() {
    for (auto& [name, job] : jobs_) SampleJob(name, job);
    time_.After(kSampleEvery, [this] { Sample(); });
  }

  static bool IsOwedUrgently(const SeenJob& job) {
    const auto& spec = job.accepted.spec;
    return spec.work_class == base::WorkClass::kUrgent && !job.cancelled &&
           spec.organisation.str() == "bertolini";
  }

  void SampleJob(const base::JobName& name, SeenJob& job) {
    const int running = workers_.RunningTasksOf(name);
    if (trace_ != nullptr && running != job.running) {
      Trace(name.str() + ": " + std::to_string(running) + " tasks run");
      job.running = running;
    }
    const int tasks = job.accepted.spec.tasks;
    if (running > tasks) {
      Note(Invariant::kNoPartialGang, name.str() + " runs twice at once");
    }
    if (running == tasks && !job.whole_since) {
      job.whole_since = time_.Now();
      if (IsOwedUrgently(job)) urgent_start_ = time_.Now() - job.accepted_at;
    }
    if (running == 0 || running >= tasks) {
      job.partial_since.reset();
      return;
    }
    if (!job.partial_since) job.partial_since = time_.Now();
    const auto alone = time_.Now() - *job.partial_since;
    longest_part_ = std::max(longest_part_, alone);
    if (alone <= PartBound()) return;
    Note(Invariant::kNoPartialGang,
         name.str() + ": " + std::to_string(running) + " of " +
             std::to_string(tasks) + " tasks run alone for too long");
    job.partial_since = time_.Now() + kWholeRun;
  }

  base::Duration PartBound() const {
    // With the owner gone and the table out nobody can take the cell: the
    // running lease ends it.
    if (worker_fault_ || (owner_fault_ && HasTableFault())) {
      return kPartBoundUnreached;
    }
    // Each fault of an owner may cost one failover.
    return owner_fault_ ? kPartBoundFailover * static_cast<int>(faults_.size())
                        : kPartBound;
  }

  bool HasTableFault() const {
    return std::any_of(faults_.begin(), faults_.end(), [](const auto& it) {
      return it.fault == Fault::kTableDown || it.fault == Fault::kTableSlow;
    });
  }

  void CheckEnd() {
    for (auto& [name, job] : jobs_) CheckJob(name, job);
  }

  void CheckJob(const base::JobName& name, const SeenJob& job) {
    const int starts = StartsOf(name);
    const auto& spec = job.accepted.spec;
    if (!spec.idempotent && starts > spec.tasks) {
      Note(Invariant::kAtMostOnce,
           name.str() + " was started " + std::to_string(starts) + " times");
    }
    const auto row = table_.Peek(scheduler::StatusKey(name));
    const auto status =
        row ? scheduler::DecodeStatusRow(row->value) : std::nullopt;
    if (!status || !config::IsFinal(status->status.phase)) {
      Note(Invariant::kNothingHangs,
           name.str() + " is " +
               (status ? std::string(base::NameOf(status->status.phase)) +
                             ": " + status->status.reason
                       : "without a status"));
      return;
    }
    CheckStatus(name, job, status->status, starts);
  }

  void CheckStatus(const base::JobName& name, const SeenJob& job,
                   const config::JobStatus& status, int starts) {
    const auto& spec = job.accepted.spec;
    if (spec.idempotent && !job.cancelled &&
        status.phase != config::JobPhase::kFinished) {
      Note(Invariant::kNothingHangs,
           name.str() + " ended as " + std::string(base::NameOf(status.phase)) +
               ": " + status.reason);
    }
    const bool says_not_run =
        status.attempts == 0 && status.phase != config::JobPhase::kUnknown;
    if (says_not_run && starts > 0) {
      Note(Invariant::kTrueRefusal,
           name.str() + " ran and its status says that it did not");
    }
    if (!IsOwedUrgently(job)) return;
    if (!job.whole_since && status.phase == config::JobPhase::kFinished) return;
    const auto latest = job.accepted_at + kUrgentStart + FaultTime();
    if (job.whole_since && *job.whole_since <= latest) return;
    // A non-idempotent job whose start broke may not be started again.
    if (!spec.idempotent && !faults_.empty() && starts > 0) return;
    Note(Invariant::kGuaranteeReclaimed,
         name.str() + " did not have its guaranteed shape in time; it is " +
             std::string(base::NameOf(status.phase)) + ": " + status.reason);
  }

  /// The tasks that run now, with when each began.
  std::map<lifecycle::TaskKey, base::TimePoint> RunningTasks() {
    std::map<lifecycle::TaskKey, base::TimePoint> out;
    for (int i = 0; i < kWorkers; ++i) {
      for (const auto& it : workers_.model(WorkerEndpoint(i)).Running()) {
        out.emplace(it.key, it.began);
      }
    }
    return out;
  }

  /// What ran when the stop was asked for still runs or has run its time.
  void CheckPlannedStop(
      const std::map<lifecycle::TaskKey, base::TimePoint>& before) {
    // A lost worker, a reclaim that is still due or a cancellation may rightly
    // end what ran.
    if (worker_fault_ || AnyJobWaits()) return;
    const auto after = RunningTasks();
    for (const auto& [key, began] : before) {
      const auto& job = jobs_.at(key.job);
      const auto ends = began + job.accepted.spec.declared_runtime;
      if (job.cancelled || ends <= time_.Now() || after.contains(key)) continue;
      Note(Invariant::kPlannedStopCutsNothing,
           key.job.str() + " was cut by a planned stop");
    }
  }

  bool AnyJobWaits() const {
    return std::any_of(jobs_.begin(), jobs_.end(), [](const auto& entry) {
      return !entry.second.whole_since && !entry.second.cancelled;
    });
  }

  void Trace(std::size_t process, Step step, std::optional<Fault> fault,
             const std::string& what) {
    if (trace_ == nullptr) return;
    Trace("process " + std::to_string(process) + ' ' +
          std::string(base::NameOf(step)) + ' ' + what +
          (fault ? " !" + std::string(base::NameOf(*fault)) : ""));
  }

  void Trace(const std::string& text) {
    if (trace_ == nullptr) return;
    const auto since_start = time_.Now() - start_;
    *trace_ << since_start.count() << " ms " << text << '\n';
  }

  void Note(Invariant invariant, std::string detail) {
    Trace("VIOLATION " + std::string(base::NameOf(invariant)) + ": " + detail);
    violations_.push_back({invariant, std::move(detail)});
  }

  Break broken_;
  std::ostream* trace_;
  std::vector<PlannedFault> faults_;
  fakes::VirtualTime time_;
  fakes::FakeTable table_;
  fakes::FakeWorkers workers_;
  fakes::FakeJobFeed feed_{time_};
  fakes::FakeOwners owners_{time_};
  FaultInjector injector_;
  int last_port_ = 0;
  std::vector<GangProcessPtr> processes_{2};
  std::map<base::JobName, SeenJob> jobs_;
  base::JobName racing_job_;
  bool worker_fault_ = false;
  bool owner_fault_ = false;
  base::Duration longest_part_{0};
  base::Duration urgent_start_{0};
  std::optional<base::TimePoint> leaving_since_;
  base::TimePoint start_ = time_.Now();
  std::vector<Violation> violations_;
};

}  // namespace

WorldResult RunGangWorld(FaultPlan plan, WorldOptions options) {
  return GangWorld(std::move(plan), options).Run();
}

}  // namespace lapishatch::matrix
