#include "planner_simulation.h"

#include <iterator>

#include "cell_builder.h"
#include "packing_oracle.h"

namespace lapishatch::placement {
namespace {

constexpr int kRacks = 3;

const char* const kOrganisations[] = {"antenas", "fianza", "mixco"};

template <typename Map>
typename Map::iterator Nth(Map& map, int n) {
  return std::next(map.begin(), n % static_cast<int>(map.size()));
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Step& it) {
  static const char* const kNames[] = {
      "kSubmit", "kEnd",       "kCancel",       "kWait",  "kConfigure",
      "kUsage",  "kSetHealth", "kToggleWorker", "kForce", "kNewOwner"};
  return out << "{StepKind::" << kNames[static_cast<int>(it.kind)] << ", "
             << it.a << ", " << it.b << ", " << it.c << "}";
}

PlannerSimulation::PlannerSimulation(int per_rack, int accelerators)
    : per_rack_(per_rack), accelerators_(accelerators), planner_({}) {
  for (int i = 0; i < kRacks * per_rack_; ++i) {
    planner_.PutWorker(MakeWorker(i, per_rack_, accelerators_));
  }
}

std::string PlannerSimulation::Apply(const Step& step) {
  switch (step.kind) {
    case StepKind::kSubmit:
      Submit(step);
      break;
    case StepKind::kEnd:
      End(step);
      break;
    case StepKind::kCancel:
      Cancel(step);
      break;
    case StepKind::kWait:
      now_ += base::Duration(1000 * (1 + step.a * 300));
      break;
    case StepKind::kConfigure: {
      const auto wanted = MakeGuarantees(step.a);
      if (planner_.SetGuarantees(wanted).empty()) guarantees_ = wanted;
      break;
    }
    case StepKind::kUsage:
      planner_.ReportUsage(
          MakeWorker(step.a % (kRacks * per_rack_), per_rack_).name, 0,
          step.b % 2 == 0 ? 10'000'000 : 0);
      break;
    case StepKind::kSetHealth:
      SetHealth(step);
      break;
    case StepKind::kToggleWorker:
      ToggleWorker(step);
      break;
    case StepKind::kForce:
      shortfalls_allowed_ = true;
      guarantees_ = MakeGuarantees(step.a);
      planner_.ForceGuarantees(guarantees_);
      break;
    case StepKind::kNewOwner:
      NewOwner();
      break;
  }
  auto problem = Check();
  if (!problem.empty()) return "before deciding: " + problem;
  problem = ApplyDecisions(planner_.Decide(now_));
  if (!problem.empty()) return problem;
  return Check();
}

void PlannerSimulation::Submit(const Step& step) {
  const int size = 1 << (step.b % 4);
  const int tasks = 1 << (step.c % 3);
  auto gang = MakeGang(
      "job" + std::to_string(next_job_++), kOrganisations[step.a % 3], tasks,
      std::min(size, accelerators_), static_cast<Adjacency>(step.c / 3 % 3));
  gang.work_class = static_cast<base::WorkClass>(step.b / 4 % 3);
  gang.checkpointable = step.c / 9 % 3 == 0;
  gang.idempotent = step.c / 9 % 3 == 1;
  gang.allow_borrowing = step.b / 12 % 4 != 0;
  gang.submitted = now_;
  if (planner_.Submit(gang, now_).empty()) queued_[gang.job] = gang;
}

void PlannerSimulation::End(const Step& step) {
  if (running_.empty()) return;
  const auto it = Nth(running_, step.a);
  const auto gang = it->second.gang;
  const bool again = it->second.evicting;
  running_.erase(it);
  planner_.ReportEnded(gang.job, now_);
  if (again && planner_.Submit(gang, now_).empty()) queued_[gang.job] = gang;
}

void PlannerSimulation::Cancel(const Step& step) {
  if (queued_.empty()) return;
  const auto it = Nth(queued_, step.a);
  planner_.Cancel(it->first);
  queued_.erase(it);
}

void PlannerSimulation::SetHealth(const Step& step) {
  const int worker = step.a % (kRacks * per_rack_);
  const auto health = static_cast<WorkerHealth>(step.b % 4);
  if (health != WorkerHealth::kHealthy) shortfalls_allowed_ = true;
  health_[worker] = health;
  planner_.SetHealth(MakeWorker(worker, per_rack_).name, health);
}

void PlannerSimulation::ToggleWorker(const Step& step) {
  const int worker = step.a % (kRacks * per_rack_);
  const auto spec = MakeWorker(worker, per_rack_, accelerators_);
  shortfalls_allowed_ = true;
  removed_[worker] = !removed_[worker];
  if (removed_[worker]) {
    planner_.RemoveWorker(spec.name);
  } else {
    planner_.PutWorker(spec);
  }
}

void PlannerSimulation::NewOwner() {
  // A new owner may place blocks differently, so shortfalls are allowed.
  shortfalls_allowed_ = true;
  planner_ = Planner({});
  for (int i = 0; i < kRacks * per_rack_; ++i) {
    planner_.PutWorker(MakeWorker(i, per_rack_, accelerators_));
  }
  planner_.ForceGuarantees(guarantees_);
  for (const auto& [job, it] : running_) {
    planner_.Adopt(it.gang, it.placement, it.started);
  }
  for (auto& [job, it] : running_) it.evicting = false;
  for (const auto& [worker, health] : health_) {
    planner_.SetHealth(MakeWorker(worker, per_rack_).name, health);
  }
  for (const auto& [worker, removed] : removed_) {
    if (removed) planner_.RemoveWorker(MakeWorker(worker, per_rack_).name);
  }
  for (const auto& [job, gang] : queued_) planner_.Submit(gang, now_);
}

std::vector<Guarantee> PlannerSimulation::MakeGuarantees(int variant) const {
  const int size = accelerators_;
  const int n = 1 + variant / 4 % 3;
  switch (variant % 4) {
    case 0:
      return {MakeGuarantee("antenas", 2 * size, Adjacency::kRack, n),
              MakeGuarantee("fianza", size, Adjacency::kWorker, 1),
              MakeGuarantee("mixco", size / 2, Adjacency::kWorker, n)};
    case 1:
      return {MakeGuarantee("antenas", size, Adjacency::kRack, n),
              MakeGuarantee("fianza", 2 * size, Adjacency::kDomain, 1),
              MakeGuarantee("mixco", std::max(1, size / 4), Adjacency::kWorker,
                            2 * n)};
    case 2:
      return {MakeGuarantee("fianza", per_rack_ * size, Adjacency::kRack, n),
              MakeGuarantee("antenas", size / 2, Adjacency::kRack, 2)};
    default:
      return {};
  }
}

std::string PlannerSimulation::ApplyDecisions(
    const std::vector<Decision>& decisions) {
  for (const auto& it : decisions) {
    if (const auto* start = std::get_if<StartGang>(&it)) {
      const auto gang = queued_.find(start->job);
      if (gang == queued_.end()) return "started a gang that is not queued";
      for (const auto& task : start->placement.tasks) {
        const int worker = std::stoi(task.worker.str().substr(1));
        if (removed_[worker]) return "started on a removed worker";
        if (health_[worker] != WorkerHealth::kHealthy) {
          return "started on a worker that accepts no new tasks";
        }
      }
      running_[start->job] = {gang->second, start->placement, now_};
      queued_.erase(gang);
    } else if (const auto* evict = std::get_if<EvictGang>(&it)) {
      const auto gang = running_.find(evict->job);
      if (gang == running_.end()) return "evicted a gang that is not running";
      if (gang->second.evicting) return "evicted twice";
      const auto& victim = gang->second.gang;
      if (!victim.checkpointable && !victim.idempotent && !victim.may_be_lost) {
        return "evicted a gang that can't be evicted";
      }
      gang->second.evicting = true;
    } else if (const auto* refuse = std::get_if<RefuseGang>(&it)) {
      if (refuse->reason.empty()) return "refused without a reason";
      queued_.erase(refuse->job);
    }
  }
  return {};
}

std::string PlannerSimulation::Check() const {
  auto problem = planner_.CheckInvariant();
  if (!problem.empty()) return problem;
  int missing = 0;
  for (const auto& it : planner_.Snapshot().blocks) {
    if (it.gang_count == 0 && it.parts.empty()) ++missing;
  }
  if (missing == 0) return {};
  if (!shortfalls_allowed_) return "a shortfall although no hardware was lost";
  if (PackingOracle(planner_.Snapshot()).Fits()) {
    return "a shortfall although all guaranteed blocks fit";
  }
  return {};
}

}  // namespace lapishatch::placement
