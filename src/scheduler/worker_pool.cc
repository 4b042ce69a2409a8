#include "scheduler/internal/worker_pool.h"

#include <algorithm>
#include <utility>

namespace lapishatch::scheduler::internal {
namespace {

/// Between looks at which quarantined workers may try again.
constexpr base::Duration kReleaseEvery{5'000};

placement::WorkerSpec SpecOf(const CellWorker& worker,
                             const lifecycle::WorkerReport& report) {
  placement::WorkerSpec spec;
  spec.name = worker.name;
  spec.rack = report.rack.empty() ? worker.rack : report.rack;
  spec.accelerators = report.accelerators;
  spec.cores = report.cores;
  spec.memory_mb = report.memory_mb;
  return spec;
}

}  // namespace

WorkerPool::WorkerPool(const OwnerOptions& options, lifecycle::Epoch epoch,
                       base::EventLoop& loop, backends::WorkerClient& client,
                       placement::Planner& planner, Hooks hooks)
    : options_(options),
      epoch_(epoch),
      loop_(loop),
      client_(client),
      planner_(planner),
      hooks_(std::move(hooks)),
      link_hooks_(hooks_.link),
      faults_(options.planner.max_quarantined_share, options.seed),
      scope_(loop) {
  link_hooks_.reported = [this](WorkerLink& link,
                                const lifecycle::WorkerReport& report,
                                bool first) { OnReport(link, report, first); };
  link_hooks_.unreachable = [this](WorkerLink& link) { OnUnreachable(link); };
  ScheduleRelease();
}

WorkerPool::~WorkerPool() = default;

void WorkerPool::SetWorkers(const std::vector<CellWorker>& workers) {
  for (auto& [name, slot] : slots_) slot.listed = false;
  for (const auto& worker : workers) {
    const auto it = slots_.find(worker.name);
    if (it == slots_.end()) {
      Add(worker);
      continue;
    }
    it->second.listed = true;
    it->second.link->SetWorker(worker);
  }
  for (auto& [name, slot] : slots_) TellHealth(slot);
  DropUnlisted();
  hooks_.changed();
}

void WorkerPool::Add(const CellWorker& worker) {
  Slot slot;
  slot.link = std::make_unique<WorkerLink>(options_, epoch_, worker, loop_,
                                           client_, link_hooks_);
  slot.link->Begin();
  slots_.emplace(worker.name, std::move(slot));
}

void WorkerPool::DropUnlisted() {
  for (auto it = slots_.begin(); it != slots_.end();) {
    const auto& slot = it->second;
    if (slot.listed || hooks_.in_use(it->first)) {
      ++it;
      continue;
    }
    if (slot.spec) planner_.RemoveWorker(it->first);
    declared_cores_.erase(it->first);
    it = slots_.erase(it);
  }
}

WorkerLink* WorkerPool::Find(const base::WorkerName& worker) {
  const auto it = slots_.find(worker);
  return it == slots_.end() ? nullptr : it->second.link.get();
}

void WorkerPool::Expect(const placement::WorkerSpec& least) {
  const auto it = slots_.find(least.name);
  if (it == slots_.end() || it->second.known) return;
  auto& slot = it->second;
  auto spec = slot.spec.value_or(least);
  spec.rack = slot.link->worker().rack;
  spec.accelerators = std::max(spec.accelerators, least.accelerators);
  spec.cores = std::max(spec.cores, least.cores);
  spec.memory_mb = std::max(spec.memory_mb, least.memory_mb);
  if (slot.spec == spec) return;
  slot.spec = spec;
  slot.doubtful = true;
  planner_.PutWorker(spec);
  slot.health = placement::WorkerHealth::kHealthy;
  TellHealth(slot);
}

int WorkerPool::reached() const {
  return static_cast<int>(std::count_if(
      slots_.begin(), slots_.end(),
      [](const auto& it) { return it.second.link->reachable(); }));
}

bool WorkerPool::all_known() const {
  return std::all_of(slots_.begin(), slots_.end(),
                     [](const auto& it) { return it.second.known; });
}

void WorkerPool::OnReport(WorkerLink& link,
                          const lifecycle::WorkerReport& report, bool first) {
  const auto it = slots_.find(link.name());
  if (it == slots_.end()) return;
  auto& slot = it->second;
  const auto spec = SpecOf(link.worker(), report);
  const bool news = !slot.spec || *slot.spec != spec || slot.doubtful;
  slot.known = true;
  slot.doubtful = false;
  if (!slot.spec || *slot.spec != spec) {
    planner_.PutWorker(spec);
    slot.spec = spec;
    slot.health = placement::WorkerHealth::kHealthy;
  }
  if (first) declared_cores_.erase(link.name());
  auto& declared = declared_cores_[link.name()];
  for (const auto& task : report.tasks) {
    if (task.state == lifecycle::TaskState::kRunning) {
      declared[task.key] = task.cores;
    } else {
      declared.erase(task.key);
    }
  }
  TellHealth(slot);
  NoteUsage(slot, report);
  hooks_.link.reported(link, report, first);
  if (news) hooks_.changed();
  if (slot.listed) return;
  // Not while the link is on the stack.
  loop_.Post(scope_.Guard([this] { DropUnlisted(); }));
}

void WorkerPool::OnUnreachable(WorkerLink& link) {
  const auto it = slots_.find(link.name());
  if (it == slots_.end()) return;
  it->second.doubtful = true;
  TellHealth(it->second);
  hooks_.link.unreachable(link);
}

placement::WorkerHealth WorkerPool::HealthOf(const Slot& slot) const {
  const auto& link = *slot.link;
  if (slot.doubtful) return placement::WorkerHealth::kUnreachable;
  if (faults_.IsQuarantined(link.name())) {
    return placement::WorkerHealth::kQuarantined;
  }
  const bool leaving =
      !slot.listed || link.worker().leaving || link.last_report().leaving;
  return leaving ? placement::WorkerHealth::kDraining
                 : placement::WorkerHealth::kHealthy;
}

void WorkerPool::TellHealth(Slot& slot) {
  const auto health = HealthOf(slot);
  if (!slot.spec || health == slot.health) return;
  slot.health = health;
  planner_.SetHealth(slot.link->name(), health);
  hooks_.changed();
}

void WorkerPool::NoteUsage(Slot& slot, const lifecycle::WorkerReport& report) {
  const auto& name = slot.link->name();
  const bool over = report.used_cores > report.cores;
  if (!over) {
    slot.throttled_at.reset();
    return planner_.ReportUsage(name, report.used_cores, report.used_memory_mb);
  }
  if (!slot.throttled_at) {
    slot.throttled_at = loop_.Now();
    Throttle(slot);
  }
  const bool in_grace =
      loop_.Now() - *slot.throttled_at < options_.throttle_grace;
  const int cores = in_grace ? report.cores : report.used_cores;
  planner_.ReportUsage(name, cores, report.used_memory_mb);
  hooks_.changed();
}

void WorkerPool::Throttle(Slot& slot) {
  for (const auto& [key, cores] : declared_cores_[slot.link->name()]) {
    slot.link->Command(lifecycle::ThrottleTask{key, cores},
                       [](CommandEnd, const std::string&) {});
  }
}

void WorkerPool::StartFailed(const base::WorkerName& worker,
                             const base::JobName& job) {
  if (!faults_.Failed(worker, job, slots_.size(), loop_.Now())) return;
  base::Log(base::events::kWorkerQuarantined,
            {{"cell", options_.cell}, {"worker", worker}});
  const auto it = slots_.find(worker);
  if (it != slots_.end()) TellHealth(it->second);
}

void WorkerPool::StartSucceeded(const base::WorkerName& worker) {
  faults_.Succeeded(worker);
}

void WorkerPool::ScheduleRelease() {
  loop_.After(kReleaseEvery, scope_.Guard([this] {
    for (const auto& worker : faults_.Release(loop_.Now())) {
      const auto it = slots_.find(worker);
      if (it != slots_.end()) TellHealth(it->second);
    }
    ScheduleRelease();
  }));
}

}  // namespace lapishatch::scheduler::internal
