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

/// Why a gang could never run in a cell, which is left as it was.
std::string WhyNever(placement::Planner& planner, const placement::Gang& gang) {
  auto reason = planner.Submit(gang, base::TimePoint());
  planner.Cancel(gang.job);
  return reason;
}

bool IsHeldByGuarantee(placement::Planner& planner, placement::Gang gang) {
  gang.allow_borrowing = false;
  return WhyNever(planner, gang).empty();
}

std::int64_t AcceleratorsOf(const std::vector<placement::WorkerSpec>& workers) {
  std::int64_t n = 0;
  for (const auto& it : workers) n += it.accelerators;
  return n;
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
  gang.allow_borrowing = spec.borrow;
  gang.checkpointable = spec.checkpoint;
  gang.idempotent = spec.idempotent;
  gang.may_be_lost = spec.may_be_lost;
  gang.declared_runtime = spec.declared_runtime;
  return gang;
}

void WorkerCapacity::SetWorkers(const base::DomainName& domain,
                                std::vector<placement::WorkerSpec> workers) {
  const std::lock_guard lock(mutex_);
  auto& known = workers_[domain];
  if (known == workers) return;
  known = std::move(workers);
  cells_.erase(domain);
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

placement::Planner& WorkerCapacity::CellOf(const base::DomainName& domain,
                                           const Workers& workers,
                                           const Guarantees& guarantees) const {
  const auto found = cells_.find(domain);
  if (found != cells_.end() && found->second.guarantees == guarantees) {
    return found->second.planner;
  }
  auto planner = EmptyCell(workers);
  planner.ForceGuarantees(guarantees);
  const auto made = cells_.insert_or_assign(
      domain, JudgingCell{guarantees, std::move(planner)});
  return made.first->second.planner;
}

JobVerdict WorkerCapacity::JudgeJob(const JobSpec& job,
                                    const DomainGuarantees& guarantees) const {
  const std::lock_guard lock(mutex_);
  const auto known = NamesOf(workers_);
  if (known.empty()) return HardwareNotKnown{"no worker is known yet"};
  const auto gang = GangOf(base::JobName("job"), job);
  JobFits fits;
  std::string reasons;
  for (const auto& [domain, workers] : workers_) {
    if (workers.empty()) continue;
    if (!job.failure_domain.empty() && domain != job.failure_domain) continue;
    const auto held = guarantees.find(domain);
    auto& planner =
        CellOf(domain, workers,
               held == guarantees.end() ? Guarantees() : held->second);
    const auto reason = WhyNever(planner, gang);
    if (reason.empty()) {
      fits.domains.push_back(
          {domain, AcceleratorsOf(workers), IsHeldByGuarantee(planner, gang)});
      continue;
    }
    if (!reasons.empty()) reasons += "; ";
    reasons += domain.str() + ": " + reason;
  }
  if (!fits.domains.empty()) return fits;
  if (reasons.empty()) {
    reasons = "no worker of failure domain " + job.failure_domain.str() +
              " is known; workers are known in " + known;
  }
  return DoesNotFit{reasons};
}

}  // namespace lapishatch::config
