#include "scheduler/internal/cell_run.h"

#include <utility>

namespace lapishatch::scheduler::internal {
namespace {

/// Between decisions that only the passing of time calls for.
constexpr base::Duration kPlanEvery{1'000};

/// Between looks whether everything is settled for a handover.
constexpr base::Duration kSettleEvery{20};

}  // namespace

CellRun::CellRun(const OwnerOptions& options, OwnerPorts ports,
                 const lifecycle::LeaseGranted& grant, Hooks hooks)
    : options_(options),
      ports_(std::move(ports)),
      hooks_(std::move(hooks)),
      began_(ports_.loop.Now()),
      planner_(options.planner),
      recorder_(options, ports_.loop, ports_.table, grant.fence_version,
                RecorderHooks()),
      workers_(options, grant.epoch, ports_.loop, ports_.workers, planner_,
               PoolHooks()),
      board_(options, grant.epoch,
             {ports_.loop, ports_.table, planner_, recorder_, workers_,
              ports_.metrics},
             [this] { PlanSoon(); }),
      scope_(ports_.loop) {
  feed_ =
      ports_.feed.Follow(options_.cell, scope_.OnLoop([this](FeedEvent event) {
        std::visit([this](auto& it) { On(std::move(it)); }, event);
      }));
  Tick();
}

CellRun::~CellRun() { ports_.feed.Unfollow(feed_); }

Recorder::Hooks CellRun::RecorderHooks() {
  Recorder::Hooks hooks;
  hooks.may_act = hooks_.may_act;
  // The machine of the lease learns of the deposition by reading its row.
  hooks.deposed = [this] { hooks_.deposed(0); };
  hooks.table_lost = [this] {
    base::Log(base::events::kCellWithoutTable, {{"cell", options_.cell}});
    board_.OnTableOut();
  };
  hooks.table_back = [this] {
    base::Log(base::events::kCellTableBack, {{"cell", options_.cell}});
    board_.OnTableBack();
  };
  return hooks;
}

WorkerPool::Hooks CellRun::PoolHooks() {
  WorkerPool::Hooks hooks;
  hooks.link.may_act = hooks_.may_act;
  hooks.link.deposed = hooks_.deposed;
  hooks.link.renewal = [this](const WorkerLink& link) {
    return RenewalOf(link);
  };
  hooks.link.reported = [this](WorkerLink& link,
                               const lifecycle::WorkerReport& report,
                               bool first) { OnReport(link, report, first); };
  hooks.link.restarted = [this](WorkerLink& link) { OnRestarted(link); };
  hooks.link.unreachable = [](WorkerLink&) {};
  hooks.link.lost = [this](WorkerLink& link) { OnLost(link); };
  hooks.in_use = [this](const base::WorkerName& worker) {
    return board_.InUse(worker);
  };
  hooks.changed = [this] { PlanSoon(); };
  return hooks;
}

// The feed.

void CellRun::On(FeedSnapshot event) {
  if (recovery_) return;
  On(ConfigurationChanged{std::move(event.configuration)});
  recovery_.emplace(
      options_, Recovery::Ports{ports_.loop, ports_.table, workers_, board_},
      event.jobs, [this] { OnRecovered(); });
  workers_.SetWorkers(event.workers);
  recovery_->Begin();
}

void CellRun::On(const JobAccepted& event) {
  if (!recovering_) return board_.Accept(event.job);
  if (recovery_) recovery_->Accept(event.job);
}

void CellRun::On(const JobCancelled& event) {
  if (!recovering_) return board_.Cancel(event.job);
  if (recovery_) recovery_->Cancel(event.job);
}

void CellRun::On(const WorkersChanged& event) {
  workers_.SetWorkers(event.workers);
}

void CellRun::On(const ConfigurationChanged& event) {
  planner_.SetOrganisations(event.configuration.shares);
  planner_.ForceGuarantees(event.configuration.guarantees);
  PlanSoon();
}

// The workers.

void CellRun::OnReport(WorkerLink& link, const lifecycle::WorkerReport& report,
                       bool first) {
  if (!recovering_) return board_.OnReport(link, report, first);
  if (recovery_) recovery_->OnReport(link, report);
}

void CellRun::OnLost(const WorkerLink& link) {
  base::Log(base::events::kWorkerLost,
            {{"cell", options_.cell}, {"worker", link.name()}});
  board_.OnWorkerLost(link.name(),
                      "worker " + link.name().str() + " is not reached");
}

void CellRun::OnRestarted(const WorkerLink& link) {
  base::Log(base::events::kWorkerRestarted,
            {{"cell", options_.cell}, {"worker", link.name()}});
  board_.OnWorkerLost(link.name(),
                      "worker " + link.name().str() + " has restarted");
}

base::Duration CellRun::RenewalOf(const WorkerLink& link) const {
  // A start lease must not be extended before the whole gang is confirmed.
  if (board_.HasUnconfirmed(link.name())) return base::Duration(0);
  return hooks_.without_table() ? options_.outage_lease
                                : options_.running_lease;
}

void CellRun::OnRecovered() {
  recovering_ = false;
  const auto took = ports_.loop.Now() - began_;
  base::Log(base::events::kCellRecovered, {{"cell", options_.cell},
                                           {"gangs", board_.gangs()},
                                           {"workers", workers_.reached()},
                                           {"took_ms", took.count()}});
  PlanSoon();
}

// Planning.

void CellRun::PlanSoon() {
  if (recovering_ || plan_scheduled_) return;
  plan_scheduled_ = true;
  ports_.loop.Post(scope_.Guard([this] {
    plan_scheduled_ = false;
    Plan();
  }));
}

void CellRun::Plan() {
  if (settled_ || !hooks_.may_act()) return;
  for (const auto& decision : planner_.Decide(ports_.loop.Now())) {
    board_.Carry(decision);
  }
}

void CellRun::Tick() {
  ports_.loop.After(kPlanEvery, scope_.Guard([this] {
    PlanSoon();
    Tick();
  }));
}

// Planned stop.

void CellRun::HandOver(std::function<void()> settled) {
  settled_ = std::move(settled);
  board_.BeginHandover();
  CheckHandover();
}

void CellRun::CheckHandover() {
  if (!settled_) return;
  const bool open = !recovering_ && !board_.settled();
  if (!open) return settled_();
  ports_.loop.After(kSettleEvery, scope_.Guard([this] { CheckHandover(); }));
}

void CellRun::Describe(OwnerStatus& status) const {
  status.phase = recovering_ ? OwnerPhase::kRecovering : OwnerPhase::kOwning;
  status.table_out = recorder_.table_out() || hooks_.without_table();
  status.workers = workers_.size();
  status.workers_reached = workers_.reached();
  status.queued = board_.queued();
  status.gangs = board_.gangs();
  status.shortfalls = planner_.Shortfalls();
}

placement::Explanation CellRun::Explain(const base::JobName& job) const {
  return board_.Explain(job);
}

}  // namespace lapishatch::scheduler::internal
