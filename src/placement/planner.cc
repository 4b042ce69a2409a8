#include "placement/planner.h"

#include <algorithm>
#include <utility>

#include "placement/internal/planner_impl.h"

namespace lapishatch::placement {

using internal::GangPhase;
using internal::GangState;
using internal::kNone;

namespace {

/// A gang is evicted when its worker uses more than this share of its memory:
/// reports lag, so a worker that is reported full has already exceeded its
/// memory.
constexpr double kMemoryLimit = 0.95;

/// Maximum number of jobs whose history is kept.
constexpr std::size_t kMaxHistory = 4096;

}  // namespace

Planner::Impl::Impl(PlannerOptions options)
    : options_(options), book_(cell_), queue_(options.ageing_after) {}

void Planner::Impl::PutWorker(const WorkerSpec& spec) {
  const auto known = cell_.Find(spec.name);
  if (known != kNone && cell_.at(known).present && cell_.spec(known) == spec) {
    return;
  }
  cell_.Put(spec);
  gangs_by_worker_.resize(cell_.size());
  recheck_feasibility_ = true;
  fits_empty_cell_.clear();
  book_.MarkWorkersChanged();
  RepairBook();
}

void Planner::Impl::RemoveWorker(const base::WorkerName& name) {
  const auto worker = cell_.Find(name);
  if (worker == kNone || !cell_.at(worker).present) return;
  cell_.Remove(worker);
  overloads_.erase(worker);
  recheck_feasibility_ = true;
  fits_empty_cell_.clear();
  has_broken_blocks_ = true;
  book_.MarkWorkersChanged();
  RepairBook();
}

void Planner::Impl::SetHealth(const base::WorkerName& name,
                              WorkerHealth health) {
  const auto worker = cell_.Find(name);
  if (worker == kNone || cell_.at(worker).health == health) return;
  cell_.at(worker).health = health;
  has_broken_blocks_ = true;
  book_.MarkWorkersChanged();
  RepairBook();
}

std::string Planner::Impl::SetGuarantees(
    const std::vector<Guarantee>& guarantees) {
  auto reason = InfeasibilityReason(guarantees);
  if (reason.empty()) ForceGuarantees(guarantees);
  return reason;
}

void Planner::Impl::ForceGuarantees(const std::vector<Guarantee>& guarantees) {
  guarantees_ = guarantees;
  book_.SetGuarantees(guarantees);
  for (auto* it : GangsLosingGuarantee(book_)) {
    if (it->phase == GangPhase::kAwaitingCapacity) {
      ReturnToQueue(*it);
    } else {
      MakeBorrowed(*it);
    }
  }
  target_shape_ = book_.largest_shape();
  recheck_feasibility_ = true;
  RepairBook();
}

void Planner::Impl::SetOrganisations(
    const std::vector<OrganisationShare>& shares) {
  for (auto& [name, account] : accounts_) {
    account.share = OrganisationShare();
    account.share.organisation = name;
  }
  for (const auto& it : shares) AccountOf(it.organisation).share = it;
  recheck_feasibility_ = true;
  IncrementGeneration();
}

std::string Planner::Impl::Submit(const Gang& gang, base::TimePoint now) {
  if (FindGang(gang.job) != nullptr) return {};
  GangState state;
  state.gang = gang;
  state.gang.submitted = std::min(gang.submitted, now);
  if (state.gang.submitted == base::TimePoint{}) state.gang.submitted = now;
  state.queued = now;
  const auto history = history_.find(gang.job);
  if (history != history_.end()) {
    state.evictions = history->second.evictions;
    // A quiet gang that was evicted queues behind those that have not run yet.
    if (state.evictions > 0 && gang.work_class == base::WorkClass::kQuiet) {
      state.gang.submitted = now;
    }
    state.gang.needs.memory_mb =
        std::max(gang.needs.memory_mb, history->second.memory_mb);
  }
  auto reason = RefusalReason(state.gang);
  if (!reason.empty()) {
    if (state.gang.needs.memory_mb > gang.needs.memory_mb) {
      reason = "in its last run a task used " +
               std::to_string(state.gang.needs.memory_mb) + " MB, not the " +
               std::to_string(gang.needs.memory_mb) + " MB declared: " + reason;
    }
    return reason;
  }
  queue_.Add(state.gang);
  gangs_.emplace(gang.job, std::move(state));
  return {};
}

void Planner::Impl::Adopt(const Gang& gang, const GangPlacement& placement,
                          base::TimePoint started) {
  Cancel(gang.job);
  if (FindGang(gang.job) != nullptr) return;
  auto& state = gangs_[gang.job];
  state.gang = gang;
  state.started = started;
  state.last_checkpoint = started;
  state.queued = started;
  state.phase = GangPhase::kRunning;
  auto tasks = placement.tasks;
  std::stable_sort(tasks.begin(), tasks.end(),
                   [](auto& a, auto& b) { return a.worker < b.worker; });
  for (const auto& task : tasks) {
    const auto worker = cell_.Find(task.worker);
    if (worker == kNone) continue;
    state.accelerator_masks.push_back(task.accelerators);
    if (!state.place.empty() && state.place.back().worker == worker) {
      ++state.place.back().tasks;
      continue;
    }
    const int charge = internal::ChargeOn(cell_.spec(worker), gang.needs);
    state.place.push_back({worker, 1, charge});
  }
  AllocatePlace(state);
  if (placement.borrowed && internal::IsEvictable(gang)) return;
  if (AdoptIntoBlocks(state) || internal::IsEvictable(gang)) {
    return RepairBook();
  }
  // The gang can't be evicted and no guarantee covers it, so no guarantee can
  // use its place until it ends.
  for (const auto it : book_.ConflictingBlocksInUse(state.place)) {
    VacateBlock(it);
  }
  if (AdoptIntoBlocks(state)) return RepairBook();
  const auto block = book_.AddRetiring(gang.organisation, state.place);
  for (const auto& it : state.place) {
    state.block_uses.push_back({block, it.worker, it.total()});
  }
  book_.Allocate(state.block_uses);
  AccountOf(gang.organisation).borrowed -= state.charge();
  book_.MarkWorkersChanged();
  RepairBook();
}

void Planner::Impl::Cancel(const base::JobName& job) {
  history_.erase(job);
  auto* gang = FindGang(job);
  if (gang == nullptr) return;
  if (gang->phase == GangPhase::kQueued) {
    queue_.Remove(gang->gang);
    gangs_.erase(job);
  } else if (gang->phase == GangPhase::kAwaitingCapacity) {
    ReleaseClaim(*gang);
    gangs_.erase(job);
    RepairBook();
  }
}

void Planner::Impl::ReportEnded(const base::JobName& job, base::TimePoint) {
  auto* gang = FindGang(job);
  if (gang == nullptr) return;
  if (gang->phase == GangPhase::kQueued ||
      gang->phase == GangPhase::kAwaitingCapacity) {
    return;
  }
  if (gang->phase == GangPhase::kEvicting) {
    const auto [history, added] = history_.try_emplace(job);
    history->second.evictions = gang->evictions + 1;
    if (added) history_order_.push_back(job);
    while (history_order_.size() > kMaxHistory) {
      history_.erase(history_order_.front());
      history_order_.pop_front();
    }
  } else {
    history_.erase(job);
  }
  ReleasePlace(*gang);
  gangs_.erase(job);
  RepairBook();
}

void Planner::Impl::ReportCheckpoint(const base::JobName& job,
                                     base::TimePoint now) {
  auto* gang = FindGang(job);
  if (gang != nullptr) {
    gang->last_checkpoint = std::max(gang->last_checkpoint, now);
  }
}

void Planner::Impl::ReportUsage(const base::WorkerName& name, int cores,
                                std::int64_t memory_mb) {
  const auto worker = cell_.Find(name);
  if (worker == kNone) return;
  const auto& spec = cell_.spec(worker);
  const auto limit = static_cast<std::int64_t>(
      kMemoryLimit * static_cast<double>(spec.memory_mb));
  AttributeMemory(worker, memory_mb);
  const auto over_memory = std::max<std::int64_t>(0, memory_mb - limit);
  const int over_cores = std::max(0, cores - spec.cores);
  if (over_memory == 0 && over_cores == 0) {
    overloads_.erase(worker);
    return;
  }
  auto& overload = overloads_[worker];
  overload.memory_mb = over_memory;
  overload.cores = over_cores;
  overload.core_reports = over_cores > 0 ? overload.core_reports + 1 : 0;
  overload.reported = true;
}

GangState* Planner::Impl::FindGang(const base::JobName& job) {
  const auto it = gangs_.find(job);
  return it == gangs_.end() ? nullptr : &it->second;
}

const GangState* Planner::Impl::FindGang(const base::JobName& job) const {
  const auto it = gangs_.find(job);
  return it == gangs_.end() ? nullptr : &it->second;
}

Planner::Impl::Account& Planner::Impl::AccountOf(
    const base::OrganisationName& organisation) {
  auto [it, added] = accounts_.try_emplace(organisation);
  if (added) it->second.share.organisation = organisation;
  return it->second;
}

Planner::Planner(PlannerOptions options)
    : impl_(std::make_unique<Impl>(options)) {}
Planner::~Planner() = default;
Planner::Planner(Planner&&) noexcept = default;
Planner& Planner::operator=(Planner&&) noexcept = default;

void Planner::PutWorker(const WorkerSpec& worker) { impl_->PutWorker(worker); }
void Planner::RemoveWorker(const base::WorkerName& worker) {
  impl_->RemoveWorker(worker);
}
void Planner::SetHealth(const base::WorkerName& worker, WorkerHealth health) {
  impl_->SetHealth(worker, health);
}
std::string Planner::SetGuarantees(const std::vector<Guarantee>& guarantees) {
  return impl_->SetGuarantees(guarantees);
}
void Planner::ForceGuarantees(const std::vector<Guarantee>& guarantees) {
  impl_->ForceGuarantees(guarantees);
}
void Planner::SetOrganisations(const std::vector<OrganisationShare>& shares) {
  impl_->SetOrganisations(shares);
}
std::string Planner::Submit(const Gang& gang, base::TimePoint now) {
  return impl_->Submit(gang, now);
}
void Planner::Adopt(const Gang& gang, const GangPlacement& placement,
                    base::TimePoint started) {
  impl_->Adopt(gang, placement, started);
}
void Planner::Cancel(const base::JobName& job) { impl_->Cancel(job); }
void Planner::ReportEnded(const base::JobName& job, base::TimePoint now) {
  impl_->ReportEnded(job, now);
}
void Planner::ReportCheckpoint(const base::JobName& job, base::TimePoint now) {
  impl_->ReportCheckpoint(job, now);
}
void Planner::ReportUsage(const base::WorkerName& worker, int cores,
                          std::int64_t memory_mb) {
  impl_->ReportUsage(worker, cores, memory_mb);
}
std::vector<Decision> Planner::Decide(base::TimePoint now) {
  return impl_->Decide(now);
}
std::vector<Shortfall> Planner::Shortfalls() const {
  return impl_->Shortfalls();
}
Explanation Planner::Explain(const base::JobName& job,
                             base::TimePoint now) const {
  return impl_->Explain(job, now);
}
int Planner::free_accelerators() const { return impl_->free_accelerators(); }
double Planner::Fragmentation(const Shape& shape) const {
  return impl_->Fragmentation(shape);
}
std::string Planner::CheckInvariant() const {
  return CheckCellInvariant(Snapshot());
}
CellSnapshot Planner::Snapshot() const { return impl_->Snapshot(); }

}  // namespace lapishatch::placement
