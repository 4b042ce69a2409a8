#ifndef LAPISHATCH_BENCH_PLACEMENT_RUN_H_
#define LAPISHATCH_BENCH_PLACEMENT_RUN_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "placement/internal/cell.h"
#include "placement_load.h"
#include "placement_policies.h"

namespace lapishatch::bench {

/// What one run showed. Completion ratios are completion time over real run
/// time, at least 1.
struct Outcome {
  std::map<base::WorkClass, std::vector<double>> ratios_by_class;
  std::map<std::string, std::vector<double>> ratios_by_organisation;
  /// Seconds until gangs of 16 accelerators or more first start.
  std::vector<double> large_waits_s;
  /// Accelerator seconds free, and of them useless to the largest guarantee.
  double free = 0;
  double stranded = 0;
  double busy = 0;
  /// Accelerator seconds of work done again, or spent on stopping and
  /// restoring, after evictions.
  double lost_by_eviction = 0;
  double lost_by_failure = 0;
  int evictions = 0;
  int worker_falls = 0;
  int finished = 0;
  int failed = 0;
  int cancelled = 0;
  int refused = 0;
  int unfinished = 0;
  /// Seconds from submission to start of gangs whose organisation had an unused
  /// guaranteed block for them; planner only.
  std::vector<double> owed_waits_s;
  /// Those of them for which something had to be evicted.
  std::vector<double> reclaims_s;
  /// Seconds from submission to start of gangs within their organisation's
  /// guaranteed number of accelerators; all methods.
  std::vector<double> quota_waits_s;
};

/// Plays one load against one method in virtual time.
class Run {
 public:
  Run(const Load& load, Method method, placement::PlannerOptions options);
  Outcome Play();

 private:
  enum class Kind : std::uint8_t {
    kSubmit,
    kFinish,
    kStopped,
    kDown,
    kUp,
    kCancelWave,
    kReport,
  };

  struct Event {
    Kind kind = Kind::kReport;
    int index = 0;
    /// Which run of the job, so that events of earlier runs are passed over.
    int attempt = 0;
  };

  enum class Phase : std::uint8_t { kNew, kQueued, kRunning, kEvicting, kDone };

  struct State {
    Phase phase = Phase::kNew;
    /// Real run time that is left.
    double left_s = 0;
    double started_s = 0;
    double restore_s = 0;
    int attempt = 0;
    bool ever_started = false;
    bool owed = false;
    bool within_quota = false;
    bool evicted_for = false;
    std::vector<int> workers;
  };

  void At(double when, Event event);
  void Handle(const Event& event);
  void Submit(int index, bool first);
  void Finish(int index);
  /// Takes a job off its workers. Returns the seconds of work it loses.
  void Stop(int index, bool saved, double* lost);
  void StopLost(int index);
  void SetUp(int worker, bool up);
  void Cancel(int index);
  void CancelWave();
  void Report();
  void FallOver(int worker);
  void Decide();
  void Start(const placement::StartGang& start);
  bool Owed(const placement::Gang& gang) const;
  bool WithinQuota(const placement::Gang& gang);
  void EndInPolicy(int index);
  base::TimePoint Now() const;
  void Measure(double until);

  const Load* load_;
  bool planner_ = false;
  std::variant<placement::Planner, Baseline> policy_;
  std::vector<State> states_;
  std::map<base::JobName, int> index_of_;
  std::multimap<double, Event> events_;
  std::vector<std::int64_t> memory_mb_;
  /// What jobs are declared to need after they brought a worker down.
  std::map<int, std::int64_t> corrected_;
  std::vector<int> over_reports_;
  std::vector<int> down_;
  std::map<std::string, int> running_;
  std::mt19937_64 random_{1};
  double now_s_ = 0;
  double measured_s_ = 0;
  int open_jobs_ = 0;
  Outcome outcome_;
};

inline constexpr double kReportSeconds = 30;
inline constexpr double kRestoreSeconds = 20;
inline constexpr double kPeriodicCheckpointSeconds = 600;
inline constexpr double kLargestStopSeconds = 5;
inline constexpr int kReportsBeforeFall = 3;
inline constexpr double kFallSeconds = 300;
inline constexpr int kLargeGang = 16;
inline constexpr double kGiveUpSeconds = 8 * 24 * 3600.0;

inline Run::Run(const Load& load, Method method,
                placement::PlannerOptions options)
    : load_(&load),
      planner_(method == Method::kPlanner),
      policy_(std::in_place_type<Baseline>, method),
      states_(load.jobs.size()),
      memory_mb_(kWorkers, 0),
      over_reports_(kWorkers, 0),
      down_(kWorkers, 0) {
  if (planner_) {
    auto& planner = policy_.emplace<placement::Planner>(options);
    for (int i = 0; i < kWorkers; ++i) planner.PutWorker(MakeWorker(i));
    planner.SetGuarantees(MakeGuarantees());
  }
  for (std::size_t i = 0; i < load.jobs.size(); ++i) {
    index_of_[load.jobs[i].gang.job] = static_cast<int>(i);
    At(load.jobs[i].submit_s, {Kind::kSubmit, static_cast<int>(i), 0});
  }
  for (std::size_t i = 0; i < load.outages.size(); ++i) {
    for (const auto it : load.outages[i].workers) {
      At(load.outages[i].from_s, {Kind::kDown, it, 0});
      At(load.outages[i].until_s, {Kind::kUp, it, 0});
    }
  }
  for (const auto it : load.cancel_waves_s) At(it, {Kind::kCancelWave, 0, 0});
  At(kReportSeconds, {Kind::kReport, 0, 0});
  open_jobs_ = static_cast<int>(load.jobs.size());
}

inline base::TimePoint Run::Now() const {
  return base::TimePoint(
      base::Duration(1'000'000 + static_cast<std::int64_t>(now_s_ * 1000)));
}

inline void Run::At(double when, Event event) { events_.emplace(when, event); }

inline Outcome Run::Play() {
  while (open_jobs_ > 0 && now_s_ < kGiveUpSeconds) {
    const auto it = events_.begin();
    const auto event = it->second;
    Measure(it->first);
    now_s_ = it->first;
    events_.erase(it);
    Handle(event);
    // All that happens at one moment is decided on at once.
    const bool more = !events_.empty() && events_.begin()->first == now_s_;
    if (!more) Decide();
  }
  outcome_.unfinished = open_jobs_;
  return std::move(outcome_);
}

/// Adds up what was free since the last event, while jobs still arrive.
inline void Run::Measure(double until) {
  const double end = std::min(until, kArrivalSeconds);
  const double span = end - measured_s_;
  if (span <= 0) return;
  measured_s_ = end;
  const auto add = [&](const auto& policy) {
    const double free = policy.free_accelerators() * span;
    outcome_.free += free;
    outcome_.stranded += free * policy.Fragmentation(LargestGuarantee());
  };
  std::visit(add, policy_);
}

inline void Run::Handle(const Event& event) {
  switch (event.kind) {
    case Kind::kSubmit:
      Submit(event.index, true);
      break;
    case Kind::kFinish:
      if (states_[event.index].attempt == event.attempt) Finish(event.index);
      break;
    case Kind::kStopped: {
      auto& state = states_[event.index];
      if (state.attempt != event.attempt || state.phase != Phase::kEvicting) {
        break;
      }
      Stop(event.index, true, &outcome_.lost_by_eviction);
      Submit(event.index, false);
      break;
    }
    case Kind::kDown:
      if (++down_[event.index] == 1) SetUp(event.index, false);
      break;
    case Kind::kUp:
      if (--down_[event.index] == 0) SetUp(event.index, true);
      break;
    case Kind::kCancelWave:
      CancelWave();
      break;
    case Kind::kReport:
      Report();
      At(now_s_ + kReportSeconds, {Kind::kReport, 0, 0});
      break;
  }
}

inline void Run::Submit(int index, bool first) {
  auto& state = states_[index];
  auto gang = load_->jobs[index].gang;
  gang.submitted = base::TimePoint(base::Duration(
      1'000'000 +
      static_cast<std::int64_t>(load_->jobs[index].submit_s * 1000)));
  if (first) {
    state.left_s = load_->jobs[index].run_s;
    state.owed = Owed(gang);
    state.within_quota = WithinQuota(gang);
  }
  const auto corrected = corrected_.find(index);
  if (corrected != corrected_.end()) {
    gang.needs.memory_mb = std::max(gang.needs.memory_mb, corrected->second);
  }
  state.phase = Phase::kQueued;
  if (!planner_) return std::get<Baseline>(policy_).Submit(gang);
  const auto reason = std::get<placement::Planner>(policy_).Submit(gang, Now());
  if (reason.empty()) return;
  state.phase = Phase::kDone;
  --open_jobs_;
  ++outcome_.refused;
}

inline void Run::EndInPolicy(int index) {
  const auto& job = load_->jobs[index].gang.job;
  if (planner_) {
    std::get<placement::Planner>(policy_).ReportEnded(job, Now());
  } else {
    std::get<Baseline>(policy_).Ended(job);
  }
}

inline void Run::Stop(int index, bool saved, double* lost) {
  auto& state = states_[index];
  const auto& job = load_->jobs[index];
  const double ran = now_s_ - state.started_s;
  const double done = std::max(0.0, ran - state.restore_s);
  double kept = 0;
  if (job.gang.checkpointable) {
    kept = saved ? done
                 : std::floor(done / kPeriodicCheckpointSeconds) *
                       kPeriodicCheckpointSeconds;
  }
  state.left_s -= std::min(kept, state.left_s);
  *lost += (ran - kept) * job.gang.accelerators();
  state.restore_s = job.gang.checkpointable ? kRestoreSeconds : 0;
  ++state.attempt;
  for (const auto it : state.workers) memory_mb_[it] -= job.memory_mb;
  state.workers.clear();
  running_[job.gang.organisation.str()] -= job.gang.accelerators();
  EndInPolicy(index);
}

inline void Run::StopLost(int index) {
  const auto& gang = load_->jobs[index].gang;
  Stop(index, false, &outcome_.lost_by_failure);
  if (gang.checkpointable || gang.idempotent) return Submit(index, false);
  states_[index].phase = Phase::kDone;
  --open_jobs_;
  ++outcome_.failed;
}

inline void Run::Finish(int index) {
  auto& state = states_[index];
  const auto& job = load_->jobs[index];
  double nothing = 0;
  Stop(index, true, &nothing);
  state.phase = Phase::kDone;
  --open_jobs_;
  ++outcome_.finished;
  const double ratio = std::max(1.0, (now_s_ - job.submit_s) / job.run_s);
  outcome_.ratios_by_class[job.gang.work_class].push_back(ratio);
  outcome_.ratios_by_organisation[job.gang.organisation.str()].push_back(ratio);
  outcome_.busy += job.run_s * job.gang.accelerators();
}

inline void Run::SetUp(int worker, bool up) {
  if (planner_) {
    std::get<placement::Planner>(policy_).SetHealth(
        MakeWorker(worker).name, up ? placement::WorkerHealth::kHealthy
                                    : placement::WorkerHealth::kUnreachable);
  } else {
    std::get<Baseline>(policy_).SetUp(worker, up);
  }
  if (up) return;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const auto& workers = states_[i].workers;
    if (std::find(workers.begin(), workers.end(), worker) != workers.end()) {
      StopLost(static_cast<int>(i));
    }
  }
}

inline void Run::CancelWave() {
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const auto phase = states_[i].phase;
    if (phase == Phase::kNew || phase == Phase::kDone) continue;
    // The same jobs for every method, as far as they are still there.
    if (std::hash<std::string>()(load_->jobs[i].gang.job.str()) % 100 >= 15) {
      continue;
    }
    Cancel(static_cast<int>(i));
  }
}

inline void Run::Cancel(int index) {
  auto& state = states_[index];
  if (state.phase == Phase::kQueued) {
    const auto& job = load_->jobs[index].gang.job;
    std::visit([&](auto& policy) { policy.Cancel(job); }, policy_);
  } else {
    double nothing = 0;
    Stop(index, true, &nothing);
  }
  state.phase = Phase::kDone;
  --open_jobs_;
  ++outcome_.cancelled;
}

inline void Run::Report() {
  for (int i = 0; i < kWorkers; ++i) {
    const auto capacity = kShareMb * kAccelerators;
    if (planner_ && down_[i] == 0) {
      std::get<placement::Planner>(policy_).ReportUsage(MakeWorker(i).name, 0,
                                                        memory_mb_[i]);
    }
    over_reports_[i] = memory_mb_[i] > capacity ? over_reports_[i] + 1 : 0;
    if (over_reports_[i] >= kReportsBeforeFall) FallOver(i);
  }
}

inline void Run::FallOver(int worker) {
  ++outcome_.worker_falls;
  // Whoever submitted the jobs corrects what they declare.
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const auto& workers = states_[i].workers;
    if (std::find(workers.begin(), workers.end(), worker) == workers.end()) {
      continue;
    }
    corrected_[static_cast<int>(i)] = load_->jobs[i].memory_mb;
  }
  over_reports_[worker] = 0;
  At(now_s_ + kFallSeconds, {Kind::kUp, worker, 0});
  if (++down_[worker] == 1) SetUp(worker, false);
}

inline void Run::Decide() {
  const auto decisions =
      std::visit([&](auto& policy) { return policy.Decide(Now()); }, policy_);
  for (const auto& it : decisions) {
    if (const auto* start = std::get_if<placement::StartGang>(&it)) {
      Start(*start);
    } else if (const auto* evict = std::get_if<placement::EvictGang>(&it)) {
      const int index = index_of_.at(evict->job);
      const bool checkpoint = load_->jobs[index].gang.checkpointable;
      const double stop = checkpoint ? std::uniform_real_distribution<double>(
                                           1, kLargestStopSeconds)(random_)
                                     : 0.5;
      states_[index].phase = Phase::kEvicting;
      ++outcome_.evictions;
      At(now_s_ + stop, {Kind::kStopped, index, states_[index].attempt});
      const auto for_job = index_of_.find(evict->for_job);
      if (for_job != index_of_.end() && for_job->second != index) {
        states_[for_job->second].evicted_for = true;
      }
    } else if (const auto* refuse = std::get_if<placement::RefuseGang>(&it)) {
      states_[index_of_.at(refuse->job)].phase = Phase::kDone;
      --open_jobs_;
      ++outcome_.refused;
    }
  }
}

inline void Run::Start(const placement::StartGang& start) {
  const int index = index_of_.at(start.job);
  auto& state = states_[index];
  const auto& job = load_->jobs[index];
  state.phase = Phase::kRunning;
  state.started_s = now_s_;
  for (const auto& it : start.placement.tasks) {
    const int worker = std::stoi(it.worker.str().substr(1));
    state.workers.push_back(worker);
    memory_mb_[worker] += job.memory_mb;
  }
  running_[job.gang.organisation.str()] += job.gang.accelerators();
  At(now_s_ + state.restore_s + state.left_s,
     {Kind::kFinish, index, state.attempt});
  if (std::exchange(state.ever_started, true)) return;
  const double waited = now_s_ - job.submit_s;
  if (job.gang.accelerators() >= kLargeGang) {
    outcome_.large_waits_s.push_back(waited);
  }
  if (state.within_quota) outcome_.quota_waits_s.push_back(waited);
  if (!state.owed) return;
  outcome_.owed_waits_s.push_back(waited);
  if (state.evicted_for) outcome_.reclaims_s.push_back(waited);
}

inline bool Run::WithinQuota(const placement::Gang& gang) {
  int guaranteed = 0;
  for (const auto& it : MakeGuarantees()) {
    if (it.organisation != gang.organisation) continue;
    guaranteed += it.shape.accelerators * it.count;
  }
  return running_[gang.organisation.str()] + gang.accelerators() <= guaranteed;
}

/// Whether the organisation has an unused guaranteed block that holds the gang.
inline bool Run::Owed(const placement::Gang& gang) const {
  if (!planner_) return false;
  const int charge = placement::internal::ChargeOn(MakeWorker(0), gang.needs);
  const auto holds = [&](const placement::Shape& shape) {
    const int total = gang.tasks * charge;
    if (total <= std::min(shape.accelerators, kAccelerators)) return true;
    if (shape.adjacency > gang.adjacency) return false;
    if (gang.adjacency == placement::Adjacency::kWorker) return false;
    return shape.accelerators / kAccelerators * (kAccelerators / charge) >=
           gang.tasks;
  };
  const auto snapshot = std::get<placement::Planner>(policy_).Snapshot();
  return std::any_of(
      snapshot.blocks.begin(), snapshot.blocks.end(), [&](const auto& it) {
        return it.organisation == gang.organisation && it.gang_count == 0 &&
               !it.parts.empty() && holds(it.shape);
      });
}

}  // namespace lapishatch::bench

#endif  // LAPISHATCH_BENCH_PLACEMENT_RUN_H_
