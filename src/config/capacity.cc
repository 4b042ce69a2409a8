#include "config/capacity.h"

#include <utility>

namespace lapishatch::config {
namespace {

placement::Planner EmptyCell(
    const std::vector<placement::WorkerSpec>& workers) {
  placement::Planner planner{placement::PlannerOptions()};
  for (const auto& worker : workers) planner.PutWorker(worker);
  return planner;
}

std::string NamesOf(
    const std::map<base::DomainName, std::vector<placement::WorkerSpec>>&
        domains) {
  std::string out;
  for (const auto& [name, workers] : domains) {
    if (workers.empty()) continue;
    if (!out.empty()) out += ", ";
    out += name.str();
  }
  return out;
}

}  // namespace

placement::Gang GangOf(const base::JobName& name, const JobSpec& spec) {
  placement::Gang gang;
  gang.job = name;
  gang.organisation = spec.organisation;
  gang.work_class = spec.work_class;
  gang.tasks = spec.tasks;
  gang.needs = spec.needs;
  gang.adjacency = spec.adjacency;
  gang.borrow = spec.borrow;
  gang.checkpoint = spec.checkpoint;
  gang.idempotent = spec.idempotent;
  gang.may_be_lost = spec.may_be_lost;
  gang.declared_runtime = spec.declared_runtime;
  return gang;
}

void WorkerCapacity::SetWorkers(const base::DomainName& domain,
                                std::vector<placement::WorkerSpec> workers) {
  const std::lock_guard lock(mutex_);
  workers_[domain] = std::move(workers);
}

std::map<base::DomainName, WorkerCapacity::Workers> WorkerCapacity::All()
    const {
  const std::lock_guard lock(mutex_);
  return workers_;
}

CapacityVerdict WorkerCapacity::Judge(
    const base::DomainName& domain,
    const std::vector<placement::Guarantee>& guarantees) const {
  const auto all = All();
  const auto known = NamesOf(all);
  if (known.empty()) return HardwareNotKnown{"no worker is known yet"};
  const auto it = all.find(domain);
  if (it == all.end() || it->second.empty()) {
    return DoesNotFit{"no worker of failure domain " + domain.str() +
                      " is known; workers are known in " + known};
  }
  auto planner = EmptyCell(it->second);
  auto reason = planner.SetGuarantees(guarantees);
  if (reason.empty()) return Fits{};
  return DoesNotFit{"failure domain " + domain.str() + ": " + reason};
}

CapacityVerdict WorkerCapacity::JudgeJob(
    const JobSpec& job, const DomainGuarantees& guarantees) const {
  const auto all = All();
  const auto known = NamesOf(all);
  if (known.empty()) return HardwareNotKnown{"no worker is known yet"};
  std::string reasons;
  for (const auto& [domain, workers] : all) {
    if (workers.empty()) continue;
    if (!job.failure_domain.empty() && domain != job.failure_domain) continue;
    auto planner = EmptyCell(workers);
    const auto held = guarantees.find(domain);
    if (held != guarantees.end()) planner.ForceGuarantees(held->second);
    const auto reason =
        planner.Submit(GangOf(base::JobName("job"), job), base::TimePoint());
    if (reason.empty()) return Fits{};
    if (!reasons.empty()) reasons += "; ";
    reasons += domain.str() + ": " + reason;
  }
  if (reasons.empty()) {
    reasons = "no worker of failure domain " + job.failure_domain.str() +
              " is known; workers are known in " + known;
  }
  return DoesNotFit{reasons};
}

}  // namespace lapishatch::config
