#include "scheduler/internal/job_board.h"

#include <algorithm>
#include <utility>

namespace lapishatch::scheduler::internal {
namespace {

/// Rows of jobs that are read at once.
constexpr std::size_t kLoadsAtOnce = 32;

/// Pause before a read that failed is tried again, and before a job that cannot
/// be queued yet is offered again.
constexpr base::Duration kLoadRetry{1'000};
constexpr base::Duration kSubmitRetry{5'000};

/// Pause before a stray task is told to stop again.
constexpr base::Duration kStrayRetry{1'000};

/// Between two looks at whether a part of a job's last attempt may still run.
constexpr base::Duration kPartRetry{1'000};
constexpr const char* kPartMayRun =
    "a part of its last attempt may still run on a worker that does not answer";

placement::Gang GangOf(const AcceptedJob& job) {
  const auto& spec = job.spec;
  placement::Gang gang;
  gang.job = job.name;
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
  gang.submitted = job.submitted;
  return gang;
}

placement::GangPlacement PlacementOf(const Intent& intent) {
  placement::GangPlacement placement;
  placement.borrowed = intent.borrowed;
  int task = 0;
  for (const auto& member : intent.members) {
    placement.tasks.push_back({task++, member.worker, member.accelerators});
  }
  return placement;
}

}  // namespace

JobBoard::JobBoard(const OwnerOptions& options, lifecycle::Epoch epoch,
                   BoardPorts ports, std::function<void()> replan)
    : options_(options),
      epoch_(epoch),
      ports_(ports),
      replan_(std::move(replan)),
      random_(options.seed),
      scope_(ports.loop) {
  gang_hooks_.link = [this](const base::WorkerName& worker) {
    return ports_.workers.Find(worker);
  };
  gang_hooks_.record = [this](GangRunner& it) { OnRecordWanted(it); };
  gang_hooks_.running = [this](GangRunner& it) { OnRunning(it); };
  gang_hooks_.partly_finished = [this](GangRunner& it) {
    OnPartlyFinished(it);
  };
  gang_hooks_.ended = [this](GangRunner& it,
                             const lifecycle::GangEnded& ended) {
    OnEnded(it, ended);
  };
}

JobBoard::~JobBoard() = default;

JobBoard::Job* JobBoard::Find(const base::JobName& job) {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? nullptr : &it->second;
}

bool JobBoard::Knows(const base::JobName& job) const {
  return jobs_.contains(job) || over_.contains(job);
}

// Intake.

void JobBoard::Accept(const AcceptedJob& job, bool may_have_run) {
  if (Knows(job.name)) return;
  auto& entry = jobs_[job.name];
  entry.accepted = job;
  entry.may_have_run = may_have_run;
  to_load_.push_back(job.name);
  StartLoads();
}

void JobBoard::StartLoads() {
  while (loading_ < kLoadsAtOnce && !to_load_.empty()) {
    const auto name = to_load_.front();
    to_load_.pop_front();
    ++loading_;
    Load(name);
  }
}

void JobBoard::Load(const base::JobName& name) {
  ports_.table.Read(StatusKey(name),
                    scope_.OnLoop([this, name](const store::ReadResult& it) {
                      OnStatusRead(name, it);
                    }));
}

void JobBoard::OnStatusRead(const base::JobName& name,
                            const store::ReadResult& result) {
  auto* job = Find(name);
  const auto* row = std::get_if<std::optional<store::Row>>(&result);
  if (job == nullptr || row == nullptr) return LoadAgain(name);
  JobVersions versions;
  if (*row) {
    versions.status = (*row)->version;
    const auto status = DecodeStatusRow((*row)->value);
    if (status) job->status = status->status;
  }
  ports_.table.Read(
      IntentKey(name),
      scope_.OnLoop([this, name, versions](const store::ReadResult& it) {
        OnIntentRead(name, versions, it);
      }));
}

void JobBoard::OnIntentRead(const base::JobName& name, JobVersions versions,
                            const store::ReadResult& result) {
  auto* job = Find(name);
  const auto* row = std::get_if<std::optional<store::Row>>(&result);
  if (job == nullptr || row == nullptr) return LoadAgain(name);
  --loading_;
  StartLoads();
  if (*row) versions.intent = (*row)->version;
  ports_.recorder.SetVersions(name, versions);
  const bool none = !row->has_value();
  if (none && config::IsFinal(job->status.phase)) {
    over_.insert(name);
    jobs_.erase(name);
    return;
  }
  if (none) return Submit(*job);
  const auto intent = DecodeIntent((*row)->value);
  if (!intent || intent->cell != options_.cell) {
    // Another cell's attempt, or a row that this version cannot read.
    base::Log(base::events::kForeignIntent, {{"job", name}});
    jobs_.erase(name);
    return;
  }
  FoundAttempt found;
  found.job = name;
  found.accepted = job->accepted;
  found.status = job->status;
  found.intent = *intent;
  found.versions = versions;
  found.members.assign(intent->members.size(), lifecycle::MemberState::kLost);
  Adopt(std::move(found));
}

void JobBoard::LoadAgain(const base::JobName& name) {
  ports_.loop.After(kLoadRetry, scope_.Guard([this, name] {
    --loading_;
    if (Find(name) != nullptr) to_load_.push_back(name);
    StartLoads();
  }));
}

void JobBoard::Submit(Job& job) {
  if (job.cancelled) {
    return Finish(job, nullptr, config::JobPhase::kCancelled, "cancelled");
  }
  const auto reason =
      ports_.planner.Submit(GangOf(job.accepted), ports_.loop.Now());
  if (reason.empty()) {
    job.stage = Stage::kQueued;
    return replan_();
  }
  Do(placement::RefuseGang{job.accepted.name, reason});
}

void JobBoard::SubmitAfter(Job& job, base::Duration delay,
                           const std::string& why) {
  if (handing_over_) return;
  job.waits_for = why;
  const bool must_wait = MayStillRun(job.accepted.name);
  if (delay == base::Duration(0) && !must_wait) return Submit(job);
  job.stage = Stage::kWaiting;
  if (must_wait) delay = std::max(delay, kPartRetry);
  ports_.loop.After(delay, scope_.Guard([this, name = job.accepted.name] {
    auto* found = Find(name);
    if (found == nullptr || found->stage != Stage::kWaiting) return;
    if (!MayStillRun(name)) return Submit(*found);
    SubmitAfter(*found, kPartRetry, kPartMayRun);
  }));
}

void JobBoard::Cancel(const base::JobName& name) {
  auto* job = Find(name);
  if (job == nullptr) {
    over_.erase(name);
    return;
  }
  job->cancelled = true;
  switch (job->stage) {
    case Stage::kLoading:
    case Stage::kEnding:
      return;
    case Stage::kActive: {
      const auto gang = job->gang;
      return gang->Tell(lifecycle::CancelRequested{"cancelled"});
    }
    case Stage::kQueued:
      ports_.planner.Cancel(name);
      replan_();
      [[fallthrough]];
    case Stage::kParked:
    case Stage::kWaiting:
      return Finish(*job, nullptr, config::JobPhase::kCancelled, "cancelled");
  }
}

// Decisions of the planner.

void JobBoard::Carry(const placement::Decision& decision) {
  std::visit([this](const auto& it) { Do(it); }, decision);
}

void JobBoard::Do(const placement::StartGang& decision) {
  auto* job = Find(decision.job);
  if (job == nullptr || job->stage != Stage::kQueued || handing_over_) return;
  const bool needs_record = !job->accepted.spec.idempotent;
  if (needs_record && ports_.recorder.table_out()) {
    job->stage = Stage::kParked;
    ports_.planner.ReportEnded(decision.job, ports_.loop.Now());
    return replan_();
  }
  auto intent = IntentOf(*job, decision.placement);
  if (!intent) {
    ports_.planner.ReportEnded(decision.job, ports_.loop.Now());
    return SubmitAfter(*job, job->retry.Next(random_),
                       "a worker of its place has left");
  }
  Activate(*job, std::move(*intent));
  const auto gang = job->gang;
  gang->Begin();
}

std::optional<Intent> JobBoard::IntentOf(
    const Job& job, const placement::GangPlacement& placement) {
  Intent intent;
  intent.cell = options_.cell;
  intent.epoch = epoch_;
  intent.attempt = base::AttemptId(base::MakeUniqueText("attempt-"));
  intent.attempts = job.status.attempts + 1;
  intent.borrowed = placement.borrowed;
  intent.checkpoint = job.status.checkpoint;
  intent.members.resize(placement.tasks.size());
  for (const auto& task : placement.tasks) {
    const auto* link = ports_.workers.Find(task.worker);
    if (link == nullptr || link->incarnation().empty()) return std::nullopt;
    auto& member = intent.members.at(static_cast<std::size_t>(task.task));
    member.worker = task.worker;
    member.incarnation = link->incarnation();
    member.accelerators = task.accelerators;
  }
  return intent;
}

void JobBoard::Activate(Job& job, Intent intent) {
  job.stage = Stage::kActive;
  job.status.attempts = intent.attempts;
  job.status.checkpoint = intent.checkpoint;
  const auto attempt = intent.attempt;
  job.gang = std::make_shared<GangRunner>(options_, ports_.loop, gang_hooks_,
                                          job.accepted.name, job.accepted.spec,
                                          std::move(intent));
  active_[attempt] = job.gang;
}

void JobBoard::Do(const placement::EvictGang& decision) {
  const auto* job = Find(decision.job);
  if (job == nullptr || job->gang == nullptr) return;
  const auto gang = job->gang;
  gang->Tell(lifecycle::EvictRequested{decision.reason});
}

void JobBoard::Do(const placement::RefuseGang& decision) {
  auto* job = Find(decision.job);
  if (job == nullptr) return;
  // What a worker that was never reached could hold is not known yet.
  if (!ports_.workers.all_known()) {
    ports_.planner.Cancel(decision.job);
    return SubmitAfter(
        *job, kSubmitRetry,
        decision.reason + "; but not every worker has been reached yet");
  }
  base::Log(base::events::kJobUnschedulable,
            {{"job", decision.job}, {"reason", decision.reason}});
  Finish(*job, nullptr, config::JobPhase::kUnschedulable, decision.reason);
}

// What a new owner finds.

void JobBoard::Adopt(FoundAttempt found) {
  auto& job = jobs_[found.job];
  job.accepted.name = found.job;
  job.status = found.status;
  ports_.recorder.SetVersions(found.job, found.versions);
  if (found.accepted) {
    job.accepted = *found.accepted;
  } else {
    job.accepted.spec.tasks = static_cast<int>(found.intent.members.size());
    job.cancelled = true;
  }
  Activate(job, std::move(found.intent));
  HoldPlace(job);
  base::Log(base::events::kGangAdopted, {{"job", found.job}});
  const auto gang = job.gang;
  gang->Adopt(std::move(found.members));
  for (const auto& end : found.ends) gang->OnTask(end);
  if (job.cancelled) gang->Tell(lifecycle::CancelRequested{"cancelled"});
}

void JobBoard::AdoptUnrecorded(const AcceptedJob& accepted, Intent intent,
                               const JobVersions& versions) {
  auto& job = jobs_[accepted.name];
  job.accepted = accepted;
  ports_.recorder.SetVersions(accepted.name, versions);
  std::vector<lifecycle::MemberState> members(intent.members.size(),
                                              lifecycle::MemberState::kRunning);
  Activate(job, std::move(intent));
  HoldPlace(job);
  const auto gang = job.gang;
  gang->Adopt(std::move(members));
  const auto status = StatusOf(job, config::JobPhase::kRunning, "");
  ports_.recorder.Record({accepted.name, status, PutIntent{gang->intent()}},
                         {});
}

void JobBoard::HoldPlace(const Job& job) {
  const auto& intent = job.gang->intent();
  const auto& needs = job.accepted.spec.needs;
  for (const auto& member : intent.members) {
    placement::WorkerSpec least;
    least.name = member.worker;
    least.cores = needs.cores;
    least.memory_mb = needs.memory_mb;
    for (auto bits = member.accelerators; bits != 0; bits >>= 1) {
      ++least.accelerators;
    }
    ports_.workers.Expect(least);
  }
  if (job.cancelled) return;
  ports_.planner.Adopt(GangOf(job.accepted), PlacementOf(intent),
                       ports_.loop.Now());
}

// What workers say.

std::vector<std::shared_ptr<GangRunner>> JobBoard::ActiveGangs() const {
  std::vector<std::shared_ptr<GangRunner>> out;
  out.reserve(active_.size());
  for (const auto& [attempt, gang] : active_) out.push_back(gang);
  return out;
}

void JobBoard::OnReport(WorkerLink& link, const lifecycle::WorkerReport& report,
                        bool first) {
  for (const auto& task : report.tasks) OnTask(link, task);
  if (!first) return;
  ForgetUnlisted(link.name(), report);
  for (const auto& gang : ActiveGangs()) gang->OnWorkerFound(link, report);
}

void JobBoard::OnTask(WorkerLink& link, const lifecycle::TaskReport& report) {
  const auto active = active_.find(report.key.attempt);
  const bool ours =
      active != active_.end() || ending_.contains(report.key.attempt);
  if (lifecycle::HasEnded(report.state)) {
    ForgetAtLarge(report.key);
    if (ours) {
      link.Hold(report.key);
    } else {
      link.Acknowledge(report.key);
    }
  } else if (active == active_.end()) {
    StopStray(link.name(), link.incarnation(), report.key);
  }
  if (active == active_.end()) return;
  const auto gang = active->second;
  gang->OnTask(report);
}

void JobBoard::StopStray(const base::WorkerName& worker,
                         const base::Incarnation& incarnation,
                         const lifecycle::TaskKey& key) {
  auto* link = ports_.workers.Find(worker);
  if (link == nullptr || link->incarnation() != incarnation) return;
  // When it returns, it tells of all of its tasks.
  if (link->lost()) return;
  base::Log(base::events::kStrayTaskStopped,
            {{"job", key.job}, {"worker", worker}});
  link->Command(lifecycle::StopTask{key},
                [this, guard = scope_.Weak(), worker, incarnation, key](
                    CommandEnd end, const std::string&) {
                  if (guard.expired()) return;
                  const bool answered =
                      end == CommandEnd::kDone || end == CommandEnd::kRefused;
                  if (answered) return ForgetAtLarge(key);
                  ports_.loop.After(
                      kStrayRetry,
                      scope_.Guard([this, worker, incarnation, key] {
                        StopStray(worker, incarnation, key);
                      }));
                });
}

void JobBoard::NoteAtLarge(const GangRunner& gang) {
  const auto lease = ports_.recorder.table_out() ? options_.outage_lease
                                                 : options_.running_lease;
  const auto until = ports_.loop.Now() + lease;
  for (const int task : gang.MembersAtLarge()) {
    const auto& member =
        gang.intent().members.at(static_cast<std::size_t>(task));
    const auto key = gang.KeyOf(task);
    at_large_.push_back({key, member.worker, member.incarnation, until});
    StopStray(member.worker, member.incarnation, key);
  }
}

void JobBoard::ForgetAtLarge(const lifecycle::TaskKey& key) {
  std::erase_if(at_large_, [&](const auto& it) { return it.key == key; });
}

void JobBoard::ForgetUnlisted(const base::WorkerName& worker,
                              const lifecycle::WorkerReport& report) {
  std::erase_if(at_large_, [&](const auto& it) {
    return it.worker == worker &&
           std::ranges::none_of(report.tasks, [&](const auto& task) {
             return task.key == it.key;
           });
  });
}

bool JobBoard::MayStillRun(const base::JobName& job) {
  const auto now = ports_.loop.Now();
  std::erase_if(at_large_, [&](const auto& it) {
    const auto* link = ports_.workers.Find(it.worker);
    const bool same_life =
        link != nullptr && link->incarnation() == it.incarnation;
    return now >= it.until || !same_life;
  });
  return std::ranges::any_of(at_large_,
                             [&](const auto& it) { return it.key.job == job; });
}

void JobBoard::OnWorkerLost(const base::WorkerName& worker,
                            const std::string& reason) {
  for (const auto& gang : ActiveGangs()) gang->OnWorkerLost(worker, reason);
}

bool JobBoard::InUse(const base::WorkerName& worker) const {
  const auto on_worker = [&](const auto& it) {
    return it.second->HasMemberOn(worker);
  };
  return std::any_of(active_.begin(), active_.end(), on_worker) ||
         std::any_of(ending_.begin(), ending_.end(), on_worker);
}

bool JobBoard::HasUnconfirmed(const base::WorkerName& worker) const {
  return std::any_of(active_.begin(), active_.end(), [&](const auto& it) {
    return it.second->unconfirmed() && it.second->HasMemberOn(worker);
  });
}

// What the table does.

void JobBoard::OnTableOut() {
  for (const auto& gang : ActiveGangs()) {
    if (gang->spec().idempotent) gang->Tell(lifecycle::IntentRecorded{});
  }
}

void JobBoard::OnTableBack() {
  for (auto& [name, job] : jobs_) {
    if (job.stage != Stage::kParked) continue;
    SubmitAfter(job, base::Duration(1), "the table is back");
  }
}

bool JobBoard::settled() const {
  const bool between_states =
      std::any_of(active_.begin(), active_.end(), [](const auto& it) {
        return it.second->phase() != lifecycle::GangPhase::kRunning;
      });
  return !between_states && ending_.empty() && ports_.recorder.idle();
}

int JobBoard::queued() const {
  return static_cast<int>(jobs_.size() - active_.size());
}

placement::Explanation JobBoard::Explain(const base::JobName& name) const {
  const auto it = jobs_.find(name);
  if (it == jobs_.end()) {
    return ports_.planner.Explain(name, ports_.loop.Now());
  }
  switch (it->second.stage) {
    case Stage::kLoading:
      return {"queued", "its status is being read from the table", 0};
    case Stage::kParked:
      return {"queued",
              "it is non-idempotent and the table is out: it cannot be started "
              "before that can be recorded",
              0};
    case Stage::kWaiting:
      return {"queued", "is tried again soon: " + it->second.waits_for, 0};
    case Stage::kEnding:
      return {"ended", it->second.status.reason, 0};
    case Stage::kQueued:
    case Stage::kActive:
      return ports_.planner.Explain(name, ports_.loop.Now());
  }
  return {};
}

}  // namespace lapishatch::scheduler::internal
