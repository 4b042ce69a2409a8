#include "placement/planner.h"

#include <algorithm>
#include <utility>

#include "placement/internal/planner_impl.h"

namespace lapishatch::placement {

using internal::GangPhase;
using internal::GangState;
using internal::kNone;

namespace {

/// After this much waiting, in units of the starvation time, a gang counts as
/// of the next better class.
constexpr int kAgeingFactor = 6;

}  // namespace

Planner::Impl::Impl(PlannerOptions options)
    : options_(options),
      book_(cell_),
      queue_(options.starvation_after * kAgeingFactor) {}

void Planner::Impl::PutWorker(const WorkerSpec& spec) {
  const auto known = cell_.Find(spec.name);
  if (known != kNone && cell_.at(known).present &&
      cell_.at(known).spec == spec) {
    return;
  }
  cell_.Put(spec);
  on_worker_.resize(cell_.size());
  check_possible_ = true;
  RepairBook();
}

void Planner::Impl::RemoveWorker(const base::WorkerName& name) {
  const auto worker = cell_.Find(name);
  if (worker == kNone) return;
  cell_.Remove(worker);
  overfilled_.erase(worker);
  check_possible_ = true;
  RepairBook();
}

void Planner::Impl::SetHealth(const base::WorkerName& name,
                              WorkerHealth health) {
  const auto worker = cell_.Find(name);
  if (worker == kNone || cell_.at(worker).health == health) return;
  cell_.at(worker).health = health;
  RepairBook();
}

std::string Planner::Impl::SetGuarantees(
    const std::vector<Guarantee>& guarantees) {
  const auto before = guarantees_;
  ForceGuarantees(guarantees);
  const auto short_of = Shortfalls();
  if (short_of.empty()) return {};
  const auto& first = short_of.front();
  auto reason = "organisation " + first.organisation.str() + ": " +
                std::to_string(first.missing) + " of the blocks of " +
                std::to_string(first.shape.accelerators) +
                " accelerators (adjacency " +
                std::string(base::NameOf(first.shape.adjacency)) +
                ") cannot be placed on the healthy workers together with all "
                "other guarantees";
  ForceGuarantees(before);
  return reason;
}

void Planner::Impl::ForceGuarantees(const std::vector<Guarantee>& guarantees) {
  guarantees_ = guarantees;
  book_.Set(guarantees);
  check_possible_ = true;
  LeaveRetiringBlocks();
  RepairBook();
}

void Planner::Impl::LeaveRetiringBlocks() {
  std::vector<GangState*> leaving;
  for (auto& [job, gang] : gangs_) {
    const bool retiring = std::any_of(
        gang.uses.begin(), gang.uses.end(),
        [&](const auto& it) { return book_.blocks()[it.block].retiring; });
    if (retiring && internal::Evictable(gang.gang)) leaving.push_back(&gang);
  }
  for (auto* it : leaving) {
    if (it->phase == GangPhase::kArriving) {
      BackToQueue(*it);
      continue;
    }
    book_.Release(it->uses);
    it->uses.clear();
    AccountOf(it->gang.organisation).borrowed += it->charge();
  }
}

void Planner::Impl::SetOrganisations(
    const std::vector<OrganisationShare>& shares) {
  for (auto& [name, account] : accounts_) {
    account.share = {.organisation = name};
  }
  for (const auto& it : shares) AccountOf(it.organisation).share = it;
  check_possible_ = true;
}

std::string Planner::Impl::Submit(const Gang& gang, base::TimePoint now) {
  if (FindGang(gang.job) != nullptr) return {};
  auto reason = WhyNever(gang);
  if (!reason.empty()) return reason;
  auto& state = gangs_[gang.job];
  state.gang = gang;
  state.gang.submitted = std::min(gang.submitted, now);
  queue_.Add(state.gang);
  return {};
}

void Planner::Impl::Adopt(const Gang& gang, const GangPlacement& placement,
                          base::TimePoint started) {
  Cancel(gang.job);
  if (FindGang(gang.job) != nullptr) return;
  auto& state = gangs_[gang.job];
  state.gang = gang;
  state.started = started;
  state.phase = GangPhase::kRunning;
  auto tasks = placement.tasks;
  std::stable_sort(tasks.begin(), tasks.end(),
                   [](auto& a, auto& b) { return a.worker < b.worker; });
  for (const auto& task : tasks) {
    const auto worker = cell_.Find(task.worker);
    if (worker == kNone) continue;
    state.masks.push_back(task.accelerators);
    if (!state.place.empty() && state.place.back().worker == worker) {
      ++state.place.back().tasks;
      continue;
    }
    const int charge = internal::ChargeOn(cell_.at(worker).spec, gang.needs);
    state.place.push_back({worker, 1, charge});
  }
  HoldPlace(state);
  if (placement.borrowed && internal::Evictable(gang)) return;
  if (AdoptIntoBlock(state) || internal::Evictable(gang)) return;
  // It can't be evicted, and no guarantee covers it: its place is out of reach
  // of all guarantees until it ends.
  std::vector<internal::Piece> pieces;
  for (const auto& it : state.place) {
    pieces.push_back({.worker = it.worker, .count = it.total()});
  }
  const auto block = book_.AddRetiring(gang.organisation, pieces);
  for (const auto& it : state.place) {
    state.uses.push_back({block, it.worker, it.total()});
  }
  book_.Use(state.uses);
  AccountOf(gang.organisation).borrowed -= state.charge();
  RepairBook();
}

bool Planner::Impl::AdoptIntoBlock(GangState& gang) {
  std::vector<internal::Piece> wanted;
  int total = 0;
  for (const auto& it : gang.place) {
    total += it.total();
    wanted.push_back({.worker = it.worker, .count = it.total()});
  }
  const auto blocks = book_.Of(gang.gang.organisation);
  auto uses = UsesFor(gang.place, blocks);
  for (const auto index : blocks) {
    if (!uses.empty()) break;
    const auto& block = book_.blocks()[index];
    if (block.in_use() || block.shape.accelerators != total) continue;
    if (!book_.Move(index, wanted)) continue;
    uses = UsesFor(gang.place, {index});
  }
  if (uses.empty()) return false;
  gang.uses = std::move(uses);
  book_.Use(gang.uses);
  AccountOf(gang.gang.organisation).borrowed -= gang.charge();
  return true;
}

void Planner::Impl::Cancel(const base::JobName& job) {
  auto* gang = FindGang(job);
  if (gang == nullptr) return;
  if (gang->phase == GangPhase::kQueued) {
    queue_.Remove(gang->gang);
    gangs_.erase(job);
  } else if (gang->phase == GangPhase::kArriving) {
    DropClaim(*gang);
    gangs_.erase(job);
    RepairBook();
  }
}

void Planner::Impl::Ended(const base::JobName& job, base::TimePoint) {
  auto* gang = FindGang(job);
  if (gang == nullptr) return;
  if (gang->phase == GangPhase::kQueued ||
      gang->phase == GangPhase::kArriving) {
    return;
  }
  DropPlace(*gang);
  gangs_.erase(job);
  RepairBook();
}

void Planner::Impl::ReportUsage(const base::WorkerName& name, int,
                                std::int64_t memory_mb) {
  const auto worker = cell_.Find(name);
  if (worker == kNone) return;
  const auto over = memory_mb - cell_.at(worker).spec.memory_mb;
  if (over > 0) {
    overfilled_[worker] = over;
  } else {
    overfilled_.erase(worker);
  }
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

void Planner::Impl::HoldPlace(GangState& gang) {
  for (std::size_t i = 0; i < gang.place.size(); ++i) {
    const auto& slot = gang.place[i];
    cell_.at(slot.worker).used += slot.total();
    auto& here = on_worker_[slot.worker];
    if (std::find(here.begin(), here.end(), &gang) == here.end()) {
      here.push_back(&gang);
    }
  }
  PickMasks(gang);
  auto& account = AccountOf(gang.gang.organisation);
  account.running += gang.charge();
  if (gang.borrowed()) account.borrowed += gang.charge();
}

void Planner::Impl::PickMasks(GangState& gang) {
  const bool given = !gang.masks.empty();
  std::size_t task = 0;
  for (const auto& slot : gang.place) {
    auto& worker = cell_.at(slot.worker);
    for (int n = 0; n < slot.tasks; ++n, ++task) {
      if (given) {
        worker.taken |= gang.masks[task];
        continue;
      }
      const auto mask = internal::PickAccelerators(
          worker.taken, worker.spec.accelerators, gang.gang.needs.accelerators);
      worker.taken |= mask;
      gang.masks.push_back(mask);
    }
  }
}

void Planner::Impl::DropPlace(GangState& gang) {
  std::size_t task = 0;
  for (const auto& slot : gang.place) {
    auto& worker = cell_.at(slot.worker);
    worker.used -= slot.total();
    if (gang.phase == GangPhase::kEvicting) worker.evicting -= slot.total();
    for (int n = 0; n < slot.tasks; ++n) worker.taken &= ~gang.masks[task++];
    std::erase(on_worker_[slot.worker], &gang);
  }
  auto& account = AccountOf(gang.gang.organisation);
  account.running -= gang.charge();
  if (gang.borrowed()) account.borrowed -= gang.charge();
  book_.Release(gang.uses);
  gang.uses.clear();
}

void Planner::Impl::ClaimPlace(GangState& gang) {
  gang.phase = GangPhase::kArriving;
  for (const auto& it : gang.place) {
    cell_.at(it.worker).arriving += it.total();
  }
  AccountOf(gang.gang.organisation).running += gang.charge();
  arriving_.push_back(&gang);
}

void Planner::Impl::DropClaim(GangState& gang) {
  for (const auto& it : gang.place) {
    cell_.at(it.worker).arriving -= it.total();
  }
  AccountOf(gang.gang.organisation).running -= gang.charge();
  std::erase(arriving_, &gang);
  book_.Release(gang.uses);
  gang.uses.clear();
}

void Planner::Impl::BackToQueue(GangState& gang) {
  DropClaim(gang);
  gang.place.clear();
  gang.phase = GangPhase::kQueued;
  queue_.Add(gang.gang);
}

void Planner::Impl::RepairBook() {
  // An arrival whose worker was lost on the way waits again.
  const auto arriving = arriving_;
  for (auto* it : arriving) {
    const bool lost = std::any_of(
        it->place.begin(), it->place.end(),
        [&](const auto& slot) { return !cell_.at(slot.worker).open(); });
    if (lost) BackToQueue(*it);
  }
  book_.Repair();
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
void Planner::Ended(const base::JobName& job, base::TimePoint now) {
  impl_->Ended(job, now);
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
std::string Planner::CheckInvariant() const { return CheckCell(Facts()); }
CellFacts Planner::Facts() const { return impl_->Facts(); }

}  // namespace lapishatch::placement
