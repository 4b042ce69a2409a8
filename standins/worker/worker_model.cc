#include "worker/worker_model.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace lapishatch::standins {
namespace {

namespace json = boost::json;
using lifecycle::CommandResult;
using lifecycle::TaskState;

constexpr int kExitCodeOfFailedStart = 127;
constexpr int kExitCodeOfKill = 137;
constexpr int kAcceleratorBits = 64;

bool IsHeld(TaskState state) {
  return state == TaskState::kReserved || state == TaskState::kRunning;
}

std::optional<std::int64_t> IntegerAt(const json::object& object,
                                      std::string_view key) {
  const auto* value = object.if_contains(key);
  if (value == nullptr || !value->is_int64()) return std::nullopt;
  return value->as_int64();
}

CommandResult Done() { return {true, {}}; }

CommandResult NotDone(std::string reason) { return {false, std::move(reason)}; }

}  // namespace

TaskBehaviour BehaviourOf(const std::string& payload,
                          base::Duration default_run_time) {
  TaskBehaviour behaviour;
  behaviour.run_time = default_run_time;
  boost::system::error_code ec;
  const auto value = json::parse(payload, ec);
  if (ec || !value.is_object()) return behaviour;
  const auto& object = value.as_object();
  if (const auto n = IntegerAt(object, "run_ms")) {
    behaviour.run_time = base::Duration(*n);
  }
  if (const auto n = IntegerAt(object, "exit_code")) {
    behaviour.exit_code = static_cast<int>(*n);
  }
  if (const auto n = IntegerAt(object, "use_cores")) {
    behaviour.use_cores = static_cast<int>(*n);
  }
  behaviour.use_memory_mb = IntegerAt(object, "use_memory_mb");
  const auto* fail = object.if_contains("fail_start");
  behaviour.fail_start = fail != nullptr && fail->is_bool() && fail->as_bool();
  return behaviour;
}

int WorkerModel::Task::WantedCores() const {
  return behaviour.use_cores.value_or(report.cores);
}

int WorkerModel::Task::UsedCores() const {
  return std::min(WantedCores(), throttle.value_or(WantedCores()));
}

std::int64_t WorkerModel::Task::UsedMemory() const {
  return behaviour.use_memory_mb.value_or(report.memory_mb);
}

std::optional<base::TimePoint> WorkerModel::Task::RunEnd() const {
  if (restoring) return std::nullopt;
  const auto left = std::max(behaviour.run_time - done, base::Duration(0));
  if (UsedCores() == WantedCores()) return counted + left;
  if (UsedCores() <= 0) return std::nullopt;
  // A throttled task is slower by the share of cores that it lacks; rounded up,
  // so that it never ends before it is done.
  const auto slowed = left.count() * WantedCores();
  return counted + base::Duration((slowed + UsedCores() - 1) / UsedCores());
}

void WorkerModel::Task::Count(base::TimePoint now) {
  const auto span = std::max(now - counted, base::Duration(0));
  counted = std::max(counted, now);
  if (restoring) return;
  const auto wanted = std::max(WantedCores(), 1);
  const auto used = WantedCores() == 0 ? 1 : UsedCores();
  done += base::Duration(span.count() * used / wanted);
}

WorkerModel::WorkerModel(WorkerModelOptions options)
    : options_(std::move(options)),
      incarnation_(base::MakeUniqueText("worker-")) {}

lifecycle::OrderOutcome WorkerModel::Handle(const lifecycle::WorkerOrder& order,
                                            base::TimePoint now) {
  Advance(now);
  if (order.worker_incarnation != incarnation_) {
    return lifecycle::IncarnationMismatch{incarnation_};
  }
  if (!NoteEpoch(order.epoch)) return lifecycle::StaleEpoch{epoch_seen_};
  lifecycle::OrderDone done;
  for (const auto& command : order.commands) {
    done.results.push_back(
        std::visit([this](const auto& it) { return Do(it); }, command));
  }
  RecordUsage();
  return done;
}

bool WorkerModel::NoteEpoch(lifecycle::Epoch epoch) {
  if (epoch < epoch_seen_) return false;
  epoch_seen_ = epoch;
  return true;
}

void WorkerModel::RenewAll(base::Duration lease, base::TimePoint now) {
  for (auto& [key, task] : tasks_) {
    if (task.report.state != TaskState::kRunning) continue;
    task.lease_end = now + lease;
  }
}

void WorkerModel::Note(const backends::ReportQuery& query,
                       base::TimePoint now) {
  Advance(now);
  const bool current = NoteEpoch(query.epoch);
  if (!current || query.incarnation != incarnation_) return;
  if (query.renew > base::Duration(0)) RenewAll(query.renew, now);
}

bool WorkerModel::IsReady(const backends::ReportQuery& query) const {
  return query.epoch < epoch_seen_ || query.incarnation != incarnation_ ||
         sequence_ > query.since;
}

lifecycle::WorkerReport WorkerModel::Answer(
    const backends::ReportQuery& query) {
  const bool current =
      query.epoch >= epoch_seen_ && query.incarnation == incarnation_;
  return Report(current ? query.since : 0);
}

lifecycle::WorkerReport WorkerModel::Report(std::uint64_t since) {
  std::erase_if(tasks_, [since](const auto& entry) {
    return !IsHeld(entry.second.report.state) &&
           entry.second.changed_at <= since;
  });
  lifecycle::WorkerReport report;
  report.worker = options_.name;
  report.incarnation = incarnation_;
  report.epoch_seen = epoch_seen_;
  report.rack = options_.rack;
  report.accelerators = options_.accelerators;
  report.cores = options_.cores;
  report.memory_mb = options_.memory_mb;
  report.leaving = leaving_;
  report.sequence = sequence_;
  report.used_cores = usage_.front().cores;
  report.used_memory_mb = usage_.front().memory_mb;
  for (const auto& [key, task] : tasks_) {
    if (task.changed_at > since) report.tasks.push_back(task.report);
  }
  return report;
}

void WorkerModel::Advance(base::TimePoint now) {
  now_ = std::max(now_, now);
  for (auto& [key, task] : tasks_) AdvanceTask(task);
  RecordUsage();
  EndLargestOverMemory();
  ShowUsage();
}

void WorkerModel::AdvanceTask(Task& task) {
  if (!IsHeld(task.report.state)) return;
  if (task.checkpoint_end && *task.checkpoint_end <= now_) {
    CompleteCheckpoint(task);
  }
  const bool running = task.report.state == TaskState::kRunning;
  const auto end = running ? task.RunEnd() : std::nullopt;
  if (end && *end <= std::min(now_, task.lease_end)) {
    const bool failed = task.behaviour.exit_code != 0;
    task.report.exit_code = task.behaviour.exit_code;
    End(task, failed ? TaskState::kFailed : TaskState::kFinished, {});
    return;
  }
  if (task.lease_end <= now_) End(task, TaskState::kStopped, "lease lapsed");
}

void WorkerModel::CompleteCheckpoint(Task& task) {
  const auto end = *task.checkpoint_end;
  task.checkpoint_end.reset();
  if (options_.external_checkpoints) {
    task.Count(end);
    checkpoint_writes_.push_back(
        {task.report.key, task.checkpoint_object, task.done});
    return;
  }
  task.report.checkpoint = task.checkpoint_object;
  task.report.checkpoint_failed = false;
  Touch(task);
}

void WorkerModel::RecordUsage() {
  Usage usage{now_, 0, 0};
  for (const auto& [key, task] : tasks_) {
    if (task.report.state != TaskState::kRunning) continue;
    usage.cores += task.UsedCores();
    usage.memory_mb += task.UsedMemory();
  }
  const auto& last = usage_.back();
  if (usage.cores == last.cores && usage.memory_mb == last.memory_mb) return;
  usage_.push_back(usage);
  if (usage.memory_mb <= options_.memory_mb) {
    over_memory_since_.reset();
  } else if (!over_memory_since_) {
    over_memory_since_ = now_;
  }
}

void WorkerModel::ShowUsage() {
  while (usage_.size() > 1 && usage_[1].since + options_.usage_lag <= now_) {
    const bool was_overfull = IsOverfull(usage_.front());
    usage_.pop_front();
    if (!was_overfull && IsOverfull(usage_.front())) ++sequence_;
  }
}

bool WorkerModel::IsOverfull(const Usage& usage) const {
  return usage.cores > options_.cores || usage.memory_mb > options_.memory_mb;
}

void WorkerModel::EndLargestOverMemory() {
  if (!over_memory_since_) return;
  if (now_ < *over_memory_since_ + options_.memory_grace) return;
  Task* largest = nullptr;
  std::int64_t most = 0;
  for (auto& [key, task] : tasks_) {
    if (task.report.state != TaskState::kRunning) continue;
    const auto excess = task.UsedMemory() - task.report.memory_mb;
    if (excess <= most) continue;
    most = excess;
    largest = &task;
  }
  if (largest == nullptr) return;
  largest->report.exit_code = kExitCodeOfKill;
  End(*largest, TaskState::kFailed, "out of memory");
  over_memory_since_.reset();
  RecordUsage();
}

std::optional<base::TimePoint> WorkerModel::NextChange() const {
  std::optional<base::TimePoint> next;
  const auto consider = [&next](std::optional<base::TimePoint> time) {
    if (time && (!next || *time < *next)) next = time;
  };
  for (const auto& [key, task] : tasks_) {
    if (!IsHeld(task.report.state)) continue;
    consider(task.lease_end);
    if (task.report.state == TaskState::kRunning) consider(task.RunEnd());
    consider(task.checkpoint_end);
  }
  if (usage_.size() > 1) consider(usage_[1].since + options_.usage_lag);
  if (over_memory_since_) {
    consider(*over_memory_since_ + options_.memory_grace);
  }
  return next;
}

void WorkerModel::Restart() {
  tasks_.clear();
  started_.clear();
  usage_.assign(1, Usage{});
  over_memory_since_.reset();
  checkpoint_writes_.clear();
  checkpoint_reads_.clear();
  epoch_seen_ = 0;
  sequence_ = 0;
  leaving_ = false;
  incarnation_ = base::Incarnation(base::MakeUniqueText("worker-"));
}

void WorkerModel::Resume(base::TimePoint began, base::TimePoint now) {
  for (auto& [key, task] : tasks_) {
    if (task.report.state != TaskState::kRunning) continue;
    task.Count(began);
    task.counted = std::max(task.counted, now);
  }
  Advance(now);
}

void WorkerModel::SetLeaving(bool leaving) {
  if (leaving != leaving_) ++sequence_;
  leaving_ = leaving;
}

std::vector<CheckpointWrite> WorkerModel::TakeCheckpointWrites() {
  return std::exchange(checkpoint_writes_, {});
}

std::vector<CheckpointRead> WorkerModel::TakeCheckpointReads() {
  return std::exchange(checkpoint_reads_, {});
}

void WorkerModel::CheckpointWritten(const CheckpointWrite& write,
                                    bool complete) {
  const auto it = tasks_.find(write.key);
  if (it == tasks_.end() || !IsHeld(it->second.report.state)) return;
  auto& task = it->second;
  if (task.checkpoint_object != write.object) return;
  if (complete) task.report.checkpoint = write.object;
  task.report.checkpoint_failed = !complete;
  Touch(task);
}

void WorkerModel::CheckpointRestored(const CheckpointRead& read,
                                     std::optional<base::Duration> done) {
  const auto it = tasks_.find(read.key);
  if (it == tasks_.end() || !it->second.restoring) return;
  auto& task = it->second;
  if (!IsHeld(task.report.state)) return;
  if (!done) {
    task.report.exit_code = kExitCodeOfFailedStart;
    End(task, TaskState::kFailed, "checkpoint cannot be read");
    return;
  }
  task.Count(now_);
  task.restoring = false;
  task.done = *done;
}

std::vector<WorkerModel::RunningTask> WorkerModel::Running() const {
  std::vector<RunningTask> out;
  for (const auto& [key, task] : tasks_) {
    if (task.report.state != TaskState::kRunning) continue;
    out.push_back({key, task.began});
  }
  return out;
}

int WorkerModel::StartsOf(const base::JobName& job) const {
  const auto it = starts_.find(job);
  return it == starts_.end() ? 0 : it->second;
}

CommandResult WorkerModel::Do(const lifecycle::ReserveTask& command) {
  const auto it = tasks_.find(command.key);
  if (it != tasks_.end()) {
    if (it->second.report.state != TaskState::kReserved) {
      return NotDone("the task is past its reservation");
    }
    it->second.lease_end = now_ + command.lease;
    return Done();
  }
  if ((HeldAccelerators() & command.accelerators) != 0) {
    return NotDone("accelerators are held");
  }
  if (started_.contains(command.key)) return NotDone("ran before");
  const auto all = options_.accelerators >= kAcceleratorBits
                       ? ~std::uint64_t{0}
                       : (std::uint64_t{1} << options_.accelerators) - 1;
  if ((command.accelerators & ~all) != 0) return NotDone("no such accelerator");
  if (HeldCores() + command.cores > options_.cores) {
    return NotDone("not enough cores");
  }
  if (HeldMemory() + command.memory_mb > options_.memory_mb) {
    return NotDone("not enough memory");
  }
  if (leaving_) return NotDone("leaving");
  Task& task = tasks_[command.key];
  task.report.key = command.key;
  task.report.accelerators = command.accelerators;
  task.report.cores = command.cores;
  task.report.memory_mb = command.memory_mb;
  task.lease_end = now_ + command.lease;
  Touch(task);
  return Done();
}

CommandResult WorkerModel::Do(const lifecycle::StartTask& command) {
  const auto it = tasks_.find(command.key);
  if (it == tasks_.end()) return NotDone("not reserved");
  auto& task = it->second;
  if (task.report.state == TaskState::kRunning) return Done();
  if (task.report.state != TaskState::kReserved) return NotDone("ended");
  Begin(task, command);
  return Done();
}

void WorkerModel::Begin(Task& task, const lifecycle::StartTask& command) {
  task.behaviour = BehaviourOf(command.payload, options_.default_run_time);
  task.report.state = TaskState::kRunning;
  task.began = now_;
  task.counted = now_;
  task.lease_end = now_ + command.lease;
  started_.insert(command.key);
  ++starts_[command.key.job];
  if (refuses_starts_ || task.behaviour.fail_start) {
    task.report.exit_code = kExitCodeOfFailedStart;
    End(task, TaskState::kFailed, "start failed");
    return;
  }
  if (options_.external_checkpoints && !command.from_checkpoint.empty()) {
    task.restoring = true;
    checkpoint_reads_.push_back({command.key, command.from_checkpoint});
  }
  Touch(task);
}

CommandResult WorkerModel::Do(const lifecycle::RenewTask& command) {
  const auto it = tasks_.find(command.key);
  if (it == tasks_.end() || !IsHeld(it->second.report.state)) {
    return NotDone("no such task");
  }
  it->second.lease_end = now_ + command.lease;
  return Done();
}

CommandResult WorkerModel::Do(const lifecycle::CheckpointTask& command) {
  const auto it = tasks_.find(command.key);
  if (it == tasks_.end() || it->second.report.state != TaskState::kRunning) {
    return NotDone("not running");
  }
  it->second.checkpoint_object = command.object;
  it->second.checkpoint_end = now_ + options_.checkpoint_time;
  return Done();
}

CommandResult WorkerModel::Do(const lifecycle::ThrottleTask& command) {
  const auto it = tasks_.find(command.key);
  if (it == tasks_.end() || it->second.report.state != TaskState::kRunning) {
    return NotDone("not running");
  }
  it->second.Count(now_);
  it->second.throttle = command.cores;
  return Done();
}

CommandResult WorkerModel::Do(const lifecycle::StopTask& command) {
  const auto it = tasks_.find(command.key);
  if (it == tasks_.end()) return Done();
  if (IsHeld(it->second.report.state)) {
    End(it->second, TaskState::kStopped, "stopped");
  }
  return Done();
}

void WorkerModel::End(Task& task, TaskState state, std::string detail) {
  task.report.never_started = task.report.state == TaskState::kReserved;
  task.report.state = state;
  task.report.detail = std::move(detail);
  task.checkpoint_end.reset();
  task.restoring = false;
  Touch(task);
}

void WorkerModel::Touch(Task& task) { task.changed_at = ++sequence_; }

std::uint64_t WorkerModel::HeldAccelerators() const {
  std::uint64_t held = 0;
  for (const auto& [key, task] : tasks_) {
    if (IsHeld(task.report.state)) held |= task.report.accelerators;
  }
  return held;
}

int WorkerModel::HeldCores() const {
  int held = 0;
  for (const auto& [key, task] : tasks_) {
    if (IsHeld(task.report.state)) held += task.report.cores;
  }
  return held;
}

std::int64_t WorkerModel::HeldMemory() const {
  std::int64_t held = 0;
  for (const auto& [key, task] : tasks_) {
    if (IsHeld(task.report.state)) held += task.report.memory_mb;
  }
  return held;
}

}  // namespace lapishatch::standins
