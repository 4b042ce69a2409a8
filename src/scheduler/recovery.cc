#include "scheduler/internal/recovery.h"

#include <algorithm>
#include <utility>

namespace lapishatch::scheduler::internal {
namespace {

constexpr std::size_t kIntentsAtOnce = 200;
constexpr std::size_t kStatusesAtOnce = 32;
constexpr base::Duration kReadRetry{500};

using lifecycle::MemberState;
using lifecycle::TaskState;

}  // namespace

Recovery::Recovery(const OwnerOptions& options, Ports ports,
                   const std::vector<AcceptedJob>& jobs,
                   std::function<void()> done)
    : options_(options),
      ports_(ports),
      done_(std::move(done)),
      scope_(ports.loop) {
  for (const auto& job : jobs) jobs_.emplace(job.name, job);
}

void Recovery::Begin() {
  ScanIntents("");
  ports_.loop.After(options_.recovery_window, scope_.Guard([this] {
    window_over_ = true;
    Check();
  }));
}

void Recovery::Accept(const AcceptedJob& job) { jobs_.emplace(job.name, job); }

void Recovery::Cancel(const base::JobName& job) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return;
  cancelled_.push_back(it->second);
  jobs_.erase(it);
}

// The table.

void Recovery::ScanIntents(const std::string& after) {
  ports_.table.Scan(std::string(kIntentPrefix), after, kIntentsAtOnce,
                    scope_.OnLoop([this, after](const store::ScanResult& it) {
                      OnIntents(after, it);
                    }));
}

void Recovery::OnIntents(const std::string& after,
                         const store::ScanResult& result) {
  const auto* page = std::get_if<store::RowPage>(&result);
  if (page == nullptr) {
    ports_.loop.After(kReadRetry,
                      scope_.Guard([this, after] { ScanIntents(after); }));
    return;
  }
  for (const auto& row : page->rows) {
    auto intent = DecodeIntent(row.value);
    if (!intent || intent->cell != options_.cell) continue;
    intents_.push_back({base::JobName(row.key.substr(kIntentPrefix.size())),
                        std::move(*intent), row.version});
  }
  if (page->more && !page->rows.empty()) {
    return ScanIntents(page->rows.back().key);
  }
  ReadStatuses();
}

void Recovery::ReadStatuses() {
  statuses_.resize(intents_.size());
  status_versions_.resize(intents_.size());
  statuses_open_ = intents_.size();
  rows_read_ = intents_.empty();
  while (next_status_ < std::min(kStatusesAtOnce, intents_.size())) {
    ReadStatus(next_status_++);
  }
  Check();
}

void Recovery::ReadStatus(std::size_t index) {
  ports_.table.Read(StatusKey(intents_[index].job),
                    scope_.OnLoop([this, index](const store::ReadResult& it) {
                      OnStatus(index, it);
                    }));
}

void Recovery::OnStatus(std::size_t index, const store::ReadResult& result) {
  const auto* row = std::get_if<std::optional<store::Row>>(&result);
  if (row == nullptr) {
    ports_.loop.After(kReadRetry,
                      scope_.Guard([this, index] { ReadStatus(index); }));
    return;
  }
  if (*row) {
    status_versions_[index] = (*row)->version;
    const auto status = DecodeStatusRow((*row)->value);
    if (status) statuses_[index] = *status;
  }
  if (next_status_ < intents_.size()) ReadStatus(next_status_++);
  rows_read_ = --statuses_open_ == 0;
  Check();
}

// The workers.

void Recovery::OnReport(WorkerLink& link,
                        const lifecycle::WorkerReport& report) {
  for (const auto& task : report.tasks) {
    tasks_[task.key] = {link.name(), link.incarnation(), task};
    // Until the board has recorded it, the worker must tell it to a next owner
    // too: what a worker does not know counts as never run.
    if (lifecycle::HasEnded(task.state)) link.Hold(task.key);
  }
  Check();
}

void Recovery::Check() {
  if (finished_ || !rows_read_) return;
  if (!ports_.workers.all_known() && !window_over_) return;
  finished_ = true;
  // Not from within a worker's report.
  ports_.loop.Post(scope_.Guard([this] { Reconcile(); }));
}

void Recovery::Reconcile() {
  for (std::size_t i = 0; i < intents_.size(); ++i) AdoptIntent(i);
  AdoptUnrecorded();
  for (const auto& [name, job] : jobs_) {
    ports_.board.Accept(job, IsSeenAtWorkers(name));
  }
  // Also one that nobody has taken on yet must come to its end.
  for (const auto& job : cancelled_) {
    ports_.board.Accept(job, IsSeenAtWorkers(job.name));
    ports_.board.Cancel(job.name);
  }
  done_();
}

bool Recovery::IsSeenAtWorkers(const base::JobName& job) const {
  const auto it = tasks_.lower_bound({job, base::AttemptId(), 0});
  return it != tasks_.end() && it->first.job == job;
}

bool Recovery::AdoptNewerAttempt(const FoundIntent& found,
                                 const JobVersions& versions) {
  const auto job = jobs_.find(found.job);
  if (job == jobs_.end()) return false;
  std::vector<FoundTask> newer;
  for (auto it = tasks_.lower_bound({found.job, base::AttemptId(), 0});
       it != tasks_.end() && it->first.job == found.job; ++it) {
    const bool ended = lifecycle::HasEnded(it->second.report.state);
    if (it->first.attempt != found.intent.attempt) {
      if (!ended) newer.push_back(it->second);
    } else if (!ended) {
      return false;
    }
  }
  const bool is_one_attempt =
      std::all_of(newer.begin(), newer.end(), [&newer](const auto& it) {
        return it.report.key.attempt == newer.front().report.key.attempt;
      });
  if (newer.empty() || !is_one_attempt) return false;
  auto intent = WholeAttempt(job->second, newer);
  if (!intent) return false;
  intent->attempts = found.intent.attempts + 1;
  ports_.board.AdoptUnrecorded(job->second, std::move(*intent), versions);
  return true;
}

void Recovery::AdoptIntent(std::size_t index) {
  auto& found = intents_[index];
  const JobVersions versions{status_versions_[index], found.version};
  if (AdoptNewerAttempt(found, versions)) return;
  FoundAttempt attempt;
  attempt.job = found.job;
  const auto accepted = jobs_.find(found.job);
  if (accepted != jobs_.end()) attempt.accepted = accepted->second;
  attempt.status = statuses_[index].status;
  attempt.versions = versions;
  for (int task = 0; task < static_cast<int>(found.intent.members.size());
       ++task) {
    attempt.members.push_back(
        StateOf(found.intent, task, found.job, &attempt.ends));
  }
  attempt.intent = std::move(found.intent);
  ports_.board.Adopt(std::move(attempt));
}

MemberState Recovery::StateOf(const Intent& intent, int task,
                              const base::JobName& job,
                              std::vector<lifecycle::TaskReport>* ends) {
  const auto& member = intent.members.at(static_cast<std::size_t>(task));
  if (member.finished) return MemberState::kFinished;
  const auto* link = ports_.workers.Find(member.worker);
  if (link == nullptr) return MemberState::kLost;
  // Possibly busy with it, until the worker is reached or counts as lost.
  if (link->incarnation().empty()) return MemberState::kRunning;
  if (link->incarnation() != member.incarnation) return MemberState::kLost;
  const auto it = tasks_.find({job, intent.attempt, task});
  // The epoch is installed, so that an earlier owner's start cannot come any
  // more: the worker has never run it.
  if (it == tasks_.end()) return MemberState::kGone;
  switch (it->second.report.state) {
    case TaskState::kReserved:
      return MemberState::kReserved;
    case TaskState::kRunning:
      return MemberState::kRunning;
    case TaskState::kStopped:
      if (it->second.report.never_started) return MemberState::kGone;
      [[fallthrough]];
    case TaskState::kFinished:
    case TaskState::kFailed:
      ends->push_back(it->second.report);
      return MemberState::kRunning;
  }
  return MemberState::kLost;
}

void Recovery::AdoptUnrecorded() {
  std::map<base::AttemptId, std::vector<FoundTask>> attempts;
  for (const auto& [key, task] : tasks_) {
    attempts[key.attempt].push_back(task);
  }
  for (const auto& [id, tasks] : attempts) {
    const auto& name = tasks.front().report.key.job;
    const auto job = jobs_.find(name);
    if (job == jobs_.end() || ports_.board.Knows(name)) continue;
    auto intent = WholeAttempt(job->second, tasks);
    if (!intent) continue;
    ports_.board.AdoptUnrecorded(job->second, std::move(*intent));
  }
  // What belongs to nobody is stopped.
  for (const auto& [key, task] : tasks_) {
    auto* link = ports_.workers.Find(task.worker);
    if (link == nullptr || link->incarnation() != task.incarnation) continue;
    lifecycle::WorkerReport report;
    report.tasks.push_back(task.report);
    ports_.board.OnReport(*link, report, false);
  }
}

std::optional<Intent> Recovery::WholeAttempt(
    const AcceptedJob& job, const std::vector<FoundTask>& tasks) const {
  const auto wanted = static_cast<std::size_t>(job.spec.tasks);
  if (!job.spec.idempotent || tasks.size() != wanted) return std::nullopt;
  Intent intent;
  intent.cell = options_.cell;
  intent.attempt = tasks.front().report.key.attempt;
  intent.attempts = 1;
  intent.members.resize(wanted);
  for (const auto& task : tasks) {
    const auto index = static_cast<std::size_t>(task.report.key.task);
    if (task.report.state != TaskState::kRunning) return std::nullopt;
    if (index >= wanted) return std::nullopt;
    auto& member = intent.members[index];
    member.worker = task.worker;
    member.incarnation = task.incarnation;
    member.accelerators = task.report.accelerators;
  }
  // Whether it runs on borrowed capacity was never recorded; as borrowed it
  // cannot hold up an owner of a guarantee.
  intent.borrowed = job.spec.borrow;
  return intent;
}

}  // namespace lapishatch::scheduler::internal
