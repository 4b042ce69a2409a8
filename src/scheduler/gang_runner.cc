#include "scheduler/internal/gang_runner.h"

#include <algorithm>
#include <utility>

namespace lapishatch::scheduler::internal {
namespace {

/// Pause before a command whose outcome is unknown is given again.
constexpr base::Duration kCommandRetry{300};

/// How long to wait for the report of a member that was stopped when it was not
/// known whether it had begun.
constexpr base::Duration kReportWait{1'000};

/// How long finished members wait for the others before it is recorded that
/// only some have finished.
constexpr base::Duration kPartlyFinishedAfter{1'000};

using lifecycle::MemberState;

}  // namespace

GangRunner::GangRunner(const OwnerOptions& options, base::EventLoop& loop,
                       const Hooks& hooks, base::JobName job,
                       config::JobSpec spec, Intent intent)
    : options_(options),
      loop_(loop),
      hooks_(hooks),
      job_(std::move(job)),
      spec_(std::move(spec)),
      intent_(std::move(intent)),
      machine_(static_cast<int>(intent_.members.size()), spec_.checkpoint,
               options.gang),
      started_(loop.Now()),
      scope_(loop) {}

GangRunner::~GangRunner() { loop_.Cancel(timer_); }

void GangRunner::Begin() { Run(machine_.Begin(loop_.Now())); }

void GangRunner::Adopt(std::vector<MemberState> members) {
  confirmed_ = true;
  Run(machine_.Adopt(std::move(members), loop_.Now()));
}

void GangRunner::Tell(const lifecycle::GangEvent& event) {
  Run(machine_.Handle(event, loop_.Now()));
}

void GangRunner::Run(const std::vector<lifecycle::GangCommand>& commands) {
  Arm();
  for (const auto& command : commands) {
    std::visit([this](const auto& it) { Do(it); }, command);
  }
}

void GangRunner::Arm() {
  loop_.Cancel(timer_);
  const auto at = machine_.wake_at();
  if (!at) return;
  timer_ =
      loop_.After(std::max(*at - loop_.Now(), base::Duration(1)),
                  scope_.Guard([this] { Tell(lifecycle::GangTimerFired{}); }));
}

lifecycle::TaskKey GangRunner::KeyOf(int task) const {
  return {job_, intent_.attempt, task};
}

bool GangRunner::HasMemberOn(const base::WorkerName& worker) const {
  return std::any_of(intent_.members.begin(), intent_.members.end(),
                     [&](const auto& it) { return it.worker == worker; });
}

bool GangRunner::unconfirmed() const { return !confirmed_; }

void GangRunner::Command(int task, lifecycle::WorkerCommand command,
                         void (GangRunner::*end)(int, CommandEnd,
                                                 const std::string&)) {
  const auto& member = intent_.members.at(static_cast<std::size_t>(task));
  auto* link = hooks_.link(member.worker);
  const bool same_life =
      link != nullptr && link->incarnation() == member.incarnation;
  if (!same_life) {
    Tell(lifecycle::MemberLost{
        task, "worker " + member.worker.str() + " has left or restarted"});
    return;
  }
  link->Command(std::move(command),
                [guard = scope_.Weak(), this, task, end](
                    CommandEnd outcome, const std::string& reason) {
                  if (guard.expired()) return;
                  (this->*end)(task, outcome, reason);
                });
}

void GangRunner::Do(const lifecycle::ReserveMembers&) {
  for (int task = 0; task < tasks(); ++task) {
    // A member that is lost at once has already stopped the gang.
    if (phase() != lifecycle::GangPhase::kReserving) return;
    const auto& member = intent_.members.at(static_cast<std::size_t>(task));
    lifecycle::ReserveTask reserve;
    reserve.key = KeyOf(task);
    reserve.accelerators = member.accelerators;
    reserve.cores = spec_.needs.cores;
    reserve.memory_mb = spec_.needs.memory_mb;
    reserve.lease = options_.reservation;
    Command(task, std::move(reserve), &GangRunner::OnReserved);
  }
}

void GangRunner::OnReserved(int task, CommandEnd end,
                            const std::string& reason) {
  if (end == CommandEnd::kDone) {
    return Tell(lifecycle::MemberReserved{task});
  }
  // A reservation that may stand after all lapses or is released; it is not
  // asked for twice, so that a late copy finds nothing to start.
  if (end == CommandEnd::kUnknown) {
    return Tell(lifecycle::MemberLost{task, "reservation unknown: " + reason});
  }
  Tell(lifecycle::MemberRefused{task, reason});
}

void GangRunner::Do(const lifecycle::RecordIntent&) { hooks_.record(*this); }

void GangRunner::Do(const lifecycle::StartMembers&) {
  started_ = loop_.Now();
  for (int task = 0; task < tasks(); ++task) {
    if (phase() != lifecycle::GangPhase::kStarting) return;
    Command(task, StartOf(task), &GangRunner::OnStarted);
  }
}

lifecycle::StartTask GangRunner::StartOf(int task) const {
  lifecycle::StartTask start;
  start.key = KeyOf(task);
  start.lease = options_.start_lease;
  start.payload = spec_.payload;
  if (!intent_.checkpoint.empty()) {
    start.from_checkpoint = intent_.checkpoint + "/" + std::to_string(task);
  }
  return start;
}

void GangRunner::OnStarted(int task, CommandEnd end,
                           const std::string& reason) {
  switch (end) {
    case CommandEnd::kDone:
      return Tell(lifecycle::MemberStarted{task});
    case CommandEnd::kRefused:
    case CommandEnd::kNotDone:
      return Tell(lifecycle::MemberRefused{task, reason});
    case CommandEnd::kUnknown:
      return StartAgain(task);
  }
}

void GangRunner::StartAgain(int task) {
  const bool open = phase() == lifecycle::GangPhase::kStarting &&
                    machine_.member(task) == MemberState::kStartSent;
  if (!open) return;
  Command(task, StartOf(task), &GangRunner::OnStartedAgain);
}

void GangRunner::OnStartedAgain(int task, CommandEnd end, const std::string&) {
  switch (end) {
    case CommandEnd::kDone:
      return Tell(lifecycle::MemberStarted{task});
    case CommandEnd::kRefused:
      // The first start may have run and ended.
      return Tell(lifecycle::MemberGone{task});
    case CommandEnd::kNotDone:
    case CommandEnd::kUnknown:
      loop_.After(kCommandRetry,
                  scope_.Guard([this, task] { StartAgain(task); }));
      return;
  }
}

void GangRunner::Do(const lifecycle::ConfirmMembers&) {
  confirmed_ = true;
  for (int task = 0; task < tasks(); ++task) {
    if (machine_.member(task) != MemberState::kRunning) continue;
    lifecycle::RenewTask renew{KeyOf(task), options_.running_lease};
    Command(task, std::move(renew), &GangRunner::OnRenewed);
  }
  hooks_.running(*this);
}

void GangRunner::OnRenewed(int task, CommandEnd end, const std::string&) {
  // Refused: the task has ended, which its worker's report tells. Otherwise
  // the start lease still runs: once more.
  if (end == CommandEnd::kDone || end == CommandEnd::kRefused) return;
  if (machine_.member(task) != MemberState::kRunning) return;
  lifecycle::RenewTask renew{KeyOf(task), options_.running_lease};
  Command(task, std::move(renew), &GangRunner::OnRenewed);
}

std::string GangRunner::CheckpointPrefix() const {
  return "checkpoints/" + job_.str() + "/" + intent_.attempt.str();
}

std::string GangRunner::CheckpointObject(int task) const {
  return CheckpointPrefix() + "/" + std::to_string(task);
}

void GangRunner::Do(const lifecycle::CheckpointMembers&) {
  for (int task = 0; task < tasks(); ++task) {
    if (machine_.member(task) != MemberState::kRunning) continue;
    lifecycle::CheckpointTask checkpoint{KeyOf(task), CheckpointObject(task)};
    Command(task, std::move(checkpoint), &GangRunner::OnCheckpointAsked);
  }
}

void GangRunner::OnCheckpointAsked(int task, CommandEnd end,
                                   const std::string&) {
  if (end == CommandEnd::kDone || end == CommandEnd::kUnknown) return;
  Tell(lifecycle::CheckpointRefused{task});
}

void GangRunner::Do(const lifecycle::StopMembers&) {
  for (int task = 0; task < tasks(); ++task) StopMember(task);
}

void GangRunner::StopMember(int task) {
  const auto state = machine_.member(task);
  const bool ended =
      state == MemberState::kFinished || state == MemberState::kGone;
  if (ended) return;
  const auto& member = intent_.members.at(static_cast<std::size_t>(task));
  const auto* link = hooks_.link(member.worker);
  const bool same_life =
      link != nullptr && link->incarnation() == member.incarnation;
  if (state == MemberState::kLost && !same_life) return;
  Command(task, lifecycle::StopTask{KeyOf(task)}, &GangRunner::OnStopped);
}

void GangRunner::OnStopped(int task, CommandEnd end, const std::string&) {
  if (end == CommandEnd::kDone || end == CommandEnd::kRefused) {
    // The report tells whether a member whose start was unknown ever began.
    const bool unsure = machine_.member(task) == MemberState::kStartSent;
    if (!unsure) return Tell(lifecycle::MemberGone{task});
    loop_.After(kReportWait, scope_.Guard([this, task] {
      Tell(lifecycle::MemberGone{task});
    }));
    return;
  }
  // Until the worker is reached again or counts as lost.
  loop_.After(kCommandRetry, scope_.Guard([this, task] {
    const auto state = machine_.member(task);
    const bool open = state != MemberState::kLost &&
                      phase() == lifecycle::GangPhase::kStopping;
    if (open) StopMember(task);
  }));
}

void GangRunner::Do(const lifecycle::GangEnded& command) {
  hooks_.ended(*this, command);
}

void GangRunner::OnTask(const lifecycle::TaskReport& report) {
  const int task = report.key.task;
  if (task < 0 || task >= tasks()) return;
  switch (report.state) {
    case lifecycle::TaskState::kReserved:
      return;
    case lifecycle::TaskState::kRunning:
      Tell(lifecycle::MemberStarted{task});
      if (phase() != lifecycle::GangPhase::kCheckpointing) return;
      if (report.checkpoint == CheckpointObject(task)) {
        Tell(lifecycle::MemberCheckpointed{task, report.checkpoint});
      } else if (report.checkpoint_failed) {
        Tell(lifecycle::CheckpointRefused{task});
      }
      return;
    case lifecycle::TaskState::kFinished: {
      intent_.members.at(static_cast<std::size_t>(task)).finished = true;
      Tell(lifecycle::MemberFinished{task});
      const bool goes_on = phase() == lifecycle::GangPhase::kRunning;
      if (!goes_on || partly_finished_told_) return;
      partly_finished_told_ = true;
      loop_.After(kPartlyFinishedAfter, scope_.Guard([this] {
        partly_finished_told_ = false;
        if (phase() == lifecycle::GangPhase::kRunning) {
          hooks_.partly_finished(*this);
        }
      }));
      return;
    }
    case lifecycle::TaskState::kFailed:
      return Tell(lifecycle::MemberFailed{
          task, "task " + std::to_string(task) + " failed with exit code " +
                    std::to_string(report.exit_code) + " " + report.detail});
    case lifecycle::TaskState::kStopped:
      return Tell(lifecycle::MemberGone{task, report.never_started});
  }
}

void GangRunner::OnWorkerLost(const base::WorkerName& worker,
                              const std::string& reason) {
  for (int task = 0; task < tasks(); ++task) {
    const auto& member = intent_.members.at(static_cast<std::size_t>(task));
    if (member.worker != worker) continue;
    Tell(lifecycle::MemberLost{task, reason});
  }
}

void GangRunner::OnWorkerFound(const WorkerLink& link,
                               const lifecycle::WorkerReport& report) {
  for (int task = 0; task < tasks(); ++task) {
    const auto& member = intent_.members.at(static_cast<std::size_t>(task));
    if (member.worker != link.name() || member.finished) continue;
    if (member.incarnation != link.incarnation()) {
      Tell(lifecycle::MemberLost{task, "worker has restarted"});
      continue;
    }
    const auto key = KeyOf(task);
    const bool told =
        std::any_of(report.tasks.begin(), report.tasks.end(),
                    [&](const auto& it) { return it.key == key; });
    if (!told) Tell(lifecycle::MemberGone{task});
  }
}

std::vector<int> GangRunner::MembersAtLarge() const {
  std::vector<int> out;
  for (int task = 0; task < tasks(); ++task) {
    const auto& member = intent_.members.at(static_cast<std::size_t>(task));
    const auto* link = hooks_.link(member.worker);
    const bool same_life =
        link != nullptr && link->incarnation() == member.incarnation;
    const bool lost = machine_.member(task) == MemberState::kLost;
    if (lost && same_life) out.push_back(task);
  }
  return out;
}

void GangRunner::AcknowledgeEnds() {
  for (int task = 0; task < tasks(); ++task) {
    const auto& member = intent_.members.at(static_cast<std::size_t>(task));
    auto* link = hooks_.link(member.worker);
    if (link != nullptr) link->Acknowledge(KeyOf(task));
  }
}

}  // namespace lapishatch::scheduler::internal
