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

WorkerModel::WorkerModel(WorkerModelOptions options)
    : options_(std::move(options)),
      incarnation_(base::MakeUniqueText("worker-")) {}

lifecycle::OrderOutcome WorkerModel::Handle(const lifecycle::WorkerOrder& order,
                                            base::TimePoint now) {
  Advance(now);
  if (order.worker_incarnation != incarnation_) {
    return lifecycle::OtherIncarnation{incarnation_};
  }
  if (!NoteEpoch(order.epoch)) return lifecycle::StaleEpoch{epoch_seen_};
  lifecycle::OrderDone done;
  for (const auto& command : order.commands) {
    done.results.push_back(
        std::visit([this](const auto& it) { return Do(it); }, command));
  }
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
  for (const auto& [key, task] : tasks_) {
    if (task.report.state == TaskState::kRunning &&
        now_ - task.began >= options_.usage_lag) {
      report.used_cores += task.behaviour.use_cores.value_or(task.report.cores);
      report.used_memory_mb +=
          task.behaviour.use_memory_mb.value_or(task.report.memory_mb);
    }
    if (task.changed_at > since) report.tasks.push_back(task.report);
  }
  return report;
}

void WorkerModel::Advance(base::TimePoint now) {
  now_ = std::max(now_, now);
  for (auto& [key, task] : tasks_) AdvanceTask(task);
}

void WorkerModel::AdvanceTask(Task& task) {
  if (!IsHeld(task.report.state)) return;
  if (task.checkpoint_end && *task.checkpoint_end <= now_) {
    task.checkpoint_end.reset();
    task.report.checkpoint = task.checkpoint_object;
    Touch(task);
  }
  const bool running = task.report.state == TaskState::kRunning;
  if (running && task.run_end <= std::min(now_, task.lease_end)) {
    const bool failed = task.behaviour.exit_code != 0;
    task.report.exit_code = task.behaviour.exit_code;
    End(task, failed ? TaskState::kFailed : TaskState::kFinished, {});
    return;
  }
  if (task.lease_end <= now_) End(task, TaskState::kStopped, "lease lapsed");
}

std::optional<base::TimePoint> WorkerModel::NextChange() const {
  std::optional<base::TimePoint> next;
  const auto consider = [&next](base::TimePoint time) {
    if (!next || time < *next) next = time;
  };
  for (const auto& [key, task] : tasks_) {
    if (!IsHeld(task.report.state)) continue;
    consider(task.lease_end);
    if (task.report.state == TaskState::kRunning) consider(task.run_end);
    if (task.checkpoint_end) consider(*task.checkpoint_end);
  }
  return next;
}

void WorkerModel::Restart() {
  tasks_.clear();
  epoch_seen_ = 0;
  sequence_ = 0;
  leaving_ = false;
  incarnation_ = base::Incarnation(base::MakeUniqueText("worker-"));
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
  const auto all = options_.accelerators >= 64
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
  task.run_end = now_ + task.behaviour.run_time;
  task.lease_end = now_ + command.lease;
  ++starts_[command.key.job];
  if (refuses_starts_ || task.behaviour.fail_start) {
    task.report.exit_code = kExitCodeOfFailedStart;
    End(task, TaskState::kFailed, "start failed");
    return;
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
  it->second.behaviour.use_cores = command.cores;
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
  task.report.state = state;
  task.report.detail = std::move(detail);
  task.checkpoint_end.reset();
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
