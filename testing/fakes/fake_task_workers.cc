#include "fakes/fake_task_workers.h"

#include <algorithm>
#include <utility>

namespace lapishatch::fakes {

using base::Duration;
using base::WorkerName;
using dispatch::EndedTask;
using dispatch::NoAnswer;
using dispatch::PollOrder;
using dispatch::PollResult;
using dispatch::RefusalReason;
using dispatch::Refused;
using dispatch::StartOrder;
using dispatch::StartResult;
using dispatch::StopOrder;
using dispatch::StopResult;
using dispatch::TaskOutcome;
using dispatch::WorkerReport;
using dispatch::WorkerTime;
using jobs::TaskName;

namespace {

constexpr Duration kDelay{1};
constexpr Duration kRunTime{2'000};
constexpr Duration kStopTime{100};
constexpr Duration kMaxLease{6'000};
constexpr Duration kGangTimeout{3'000};

std::string TextOf(const TaskName& task) {
  return task.job.str() + '/' + std::to_string(task.step) + '/' +
         std::to_string(task.index);
}

}  // namespace

struct FakeTaskWorkers::Worker {
  dispatch::WorkerRegistration registration;
  bool is_alive = true;
  bool has_left = false;
  /// Counts the restarts under this name.
  int incarnation = 0;
  struct FormerCapacity {
    jobs::Resources capacity;
    /// End of the grace period in which owners may still rely on it.
    base::TimePoint grace_end;
  };
  std::vector<FormerCapacity> former_capacities;
  bool is_superseded = false;
  /// Workers' clocks differ from each other.
  WorkerTime clock_offset = 0;
  dispatch::Epoch epoch = 0;
  WorkerTime expires = 0;
  std::vector<Run> running;
  std::vector<EndedTask> ended;
  /// Ids of the last run on any worker when each of `ended` ended.
  std::map<std::uint64_t, std::uint64_t> last_run_at_end;
  EndsFault ends_fault = EndsFault::kNone;
  /// What a worker with kRepeated lists, in every report.
  std::vector<EndedTask> repeated;
  std::uint64_t last_end = 0;
  /// Number of the last end before the lease expired. Ends up to this number
  /// never count as acknowledged.
  std::uint64_t last_lapsed_end = 0;
  /// Highest run of each task that ended or was stopped.
  std::map<TaskName, int> highest_ended_run;
  std::optional<Duration> next_start_delay;
  bool is_hanging = false;
  bool is_failing = false;
  struct PendingPoll {
    std::uint64_t after = 0;
    std::function<void(PollResult)> answer;
    bool is_answered = false;
  };
  std::vector<std::shared_ptr<PendingPoll>> pending_polls;
};

/// Delivers orders to workers and returns their answers, unless the owner is
/// disconnected from the worker.
class FakeTaskWorkers::Client final : public dispatch::WorkerClient {
 public:
  Client(FakeTaskWorkers& workers, std::string owner)
      : workers_(workers), owner_(std::move(owner)) {}

  void Start(const dispatch::WorkerAddress& address, StartOrder order,
             Duration timeout, std::function<void(StartResult)> done) override {
    auto* worker = workers_.Find(address.name);
    if (worker != nullptr && worker->next_start_delay) {
      const auto delay = *std::exchange(worker->next_start_delay, std::nullopt);
      workers_.time_.After(delay, [this, order, name = address.name,
                                   incarnation = worker->incarnation] {
        auto* it = workers_.Find(name);
        // An order that a process has received is lost with it.
        const bool can_start =
            it != nullptr && it->is_alive && it->incarnation == incarnation;
        if (can_start) workers_.Start(*it, order);
      });
      workers_.time_.After(
          timeout, [done = std::move(done)] { done(NoAnswer{"late"}); });
      return;
    }
    Deliver<StartResult>(address.name, timeout, std::move(done),
                         [this, order](Worker& it, auto answer) {
                           answer(workers_.Start(it, order));
                         });
  }

  void Stop(const dispatch::WorkerAddress& address, StopOrder order,
            Duration timeout, std::function<void(StopResult)> done) override {
    const auto fault = workers_.stop_fault ? workers_.stop_fault()
                                           : std::optional<StopResult>();
    if (fault) {
      const bool is_answered = !std::holds_alternative<NoAnswer>(*fault);
      workers_.time_.After(is_answered ? kDelay : timeout,
                           [done = std::move(done), fault] { done(*fault); });
      return;
    }
    Deliver<StopResult>(address.name, timeout, std::move(done),
                        [this, order](Worker& it, auto answer) {
                          answer(workers_.Stop(it, order));
                        });
  }

  void Poll(const dispatch::WorkerAddress& address, PollOrder order,
            Duration timeout, std::function<void(PollResult)> done) override {
    Deliver<PollResult>(address.name, timeout, std::move(done),
                        [this, order](Worker& it, auto answer) {
                          workers_.Poll(it, order, answer);
                        });
  }

 private:
  template <typename Result, typename Execute>
  void Deliver(const WorkerName& name, Duration timeout,
               std::function<void(Result)> done, Execute execute) {
    auto is_finished = std::make_shared<bool>(false);
    const auto finish = [is_finished, done = std::move(done)](Result result) {
      if (std::exchange(*is_finished, true)) return;
      done(std::move(result));
    };
    workers_.time_.After(timeout, [finish] { finish(NoAnswer{"timeout"}); });
    const int severances = workers_.severances_[owner_];
    const auto is_cut = [this, name, severances] {
      return workers_.IsDisconnected(owner_, name) ||
             workers_.severances_[owner_] != severances;
    };
    workers_.time_.After(kDelay, [this, name, execute, finish, is_cut] {
      auto* worker = workers_.Find(name);
      if (worker == nullptr || is_cut()) return;
      if (worker->is_superseded) return finish(dispatch::OtherIncarnation{});
      if (!worker->is_alive) return;
      execute(*worker, [this, name, finish, is_cut](Result result) {
        if (is_cut()) return;
        workers_.time_.After(
            kDelay, [this, name, finish, is_cut, result = std::move(result)] {
              if (!is_cut() && !workers_.Find(name)->has_left) finish(result);
            });
      });
    });
  }

  FakeTaskWorkers& workers_;
  const std::string owner_;
};

FakeTaskWorkers::FakeTaskWorkers(base::EventLoop& time) : time_(time) {}

FakeTaskWorkers::~FakeTaskWorkers() = default;

void FakeTaskWorkers::Add(const dispatch::WorkerRegistration& registration) {
  auto worker = std::make_unique<Worker>();
  worker->registration = registration;
  constexpr WorkerTime kClockDistance = 77'000;
  worker->clock_offset =
      static_cast<WorkerTime>(workers_.size()) * kClockDistance;
  workers_[registration.name] = std::move(worker);
}

void FakeTaskWorkers::SetCapacity(const WorkerName& name,
                                  const jobs::Resources& capacity,
                                  Duration grace) {
  auto* worker = Find(name);
  worker->former_capacities.push_back(
      {worker->registration.capacity, time_.Now() + grace});
  worker->registration.capacity = capacity;
}

jobs::Resources FakeTaskWorkers::CapacityLimit(const Worker& worker) const {
  auto out = worker.registration.capacity;
  for (const auto& it : worker.former_capacities) {
    if (it.grace_end <= time_.Now()) continue;
    out.cpu_millis = std::max(out.cpu_millis, it.capacity.cpu_millis);
    out.memory_mb = std::max(out.memory_mb, it.capacity.memory_mb);
    out.accelerators = std::max(out.accelerators, it.capacity.accelerators);
  }
  return out;
}

void FakeTaskWorkers::Crash(const WorkerName& name) {
  auto* worker = Find(name);
  if (!std::exchange(worker->is_alive, false)) return;
  constexpr int kCrashLimit = 3;
  for (const auto& it : std::exchange(worker->running, {})) {
    if (++crashes_[it.task] != kCrashLimit) continue;
    starts_at_third_crash_[it.task] = starts_[it.task];
  }
  if (closes_connections) {
    for (const auto& poll : std::exchange(worker->pending_polls, {})) {
      if (std::exchange(poll->is_answered, true)) continue;
      poll->answer(NoAnswer{"closed", true});
    }
  }
  if (on_crash) on_crash(name);
}

void FakeTaskWorkers::Restart(
    const dispatch::WorkerRegistration& registration) {
  auto& worker = *Find(registration.name);
  for (const auto& it : worker.pending_polls) it->is_answered = true;
  const int incarnation = worker.incarnation + 1;
  worker = Worker();
  worker.incarnation = incarnation;
  worker.registration = registration;
  worker.clock_offset = -time_.Now().time_since_epoch().count();
}

void FakeTaskWorkers::Leave(const WorkerName& name) {
  auto* worker = Find(name);
  if (!std::exchange(worker->is_alive, false)) return;
  worker->has_left = true;
  worker->running.clear();
  for (const auto& it : worker->ended) {
    if (it.outcome == TaskOutcome::kDone) done_.insert(it.task);
  }
}

void FakeTaskWorkers::Supersede(const WorkerName& name) {
  Find(name)->is_superseded = true;
}

void FakeTaskWorkers::Disconnect(const std::string& owner,
                                 const WorkerName& name) {
  disconnected_.emplace(owner, name);
}

void FakeTaskWorkers::Reconnect(const std::string& owner,
                                const WorkerName& name) {
  disconnected_.erase({owner, name});
}

bool FakeTaskWorkers::IsDisconnected(const std::string& owner,
                                     const WorkerName& name) const {
  return disconnected_.contains({owner, name}) ||
         disconnected_.contains({"", name});
}

void FakeTaskWorkers::DelayNextStart(const WorkerName& name, Duration delay) {
  Find(name)->next_start_delay = delay;
}

void FakeTaskWorkers::SetHanging(const WorkerName& name, bool is_hanging) {
  Find(name)->is_hanging = is_hanging;
}

void FakeTaskWorkers::SetFailing(const WorkerName& name, bool is_failing) {
  Find(name)->is_failing = is_failing;
}

dispatch::WorkerClient& FakeTaskWorkers::For(const std::string& owner) {
  auto& client = clients_[owner];
  if (!client) client = std::make_unique<Client>(*this, owner);
  return *client;
}

FakeTaskWorkers::Worker* FakeTaskWorkers::Find(const WorkerName& name) {
  const auto it = workers_.find(name);
  return it == workers_.end() ? nullptr : it->second.get();
}

WorkerTime FakeTaskWorkers::ClockOf(const Worker& worker) const {
  return worker.clock_offset + time_.Now().time_since_epoch().count();
}

StartResult FakeTaskWorkers::Start(Worker& worker, const StartOrder& order) {
  if (order.epoch < worker.epoch) return Refused{RefusalReason::kStaleEpoch};
  worker.epoch = order.epoch;
  const auto same = std::find_if(
      worker.running.begin(), worker.running.end(), [&](const Run& it) {
        return it.task == order.task && it.run == order.run;
      });
  if (same != worker.running.end()) return dispatch::Started{ClockOf(worker)};
  const auto last_ended = worker.highest_ended_run.find(order.task);
  if (last_ended != worker.highest_ended_run.end() &&
      order.run <= last_ended->second) {
    return Refused{RefusalReason::kStaleRun};
  }
  if (order.expires_at < ClockOf(worker)) {
    return Refused{RefusalReason::kExpired};
  }
  ExtendLease(worker, order.expires_at);
  const Run run{order.task, order.run, ++last_run_id_, Duration(0)};
  RecordStart(worker, run);
  worker.running.push_back(run);
  BeginWork(worker, run);
  if (on_start) on_start(worker.registration.name);
  const auto crash = crash_after ? crash_after(order.task) : std::nullopt;
  if (crash) {
    time_.After(*crash, [this, name = worker.registration.name, id = run.id] {
      const auto& running = Find(name)->running;
      const bool is_still_running =
          std::any_of(running.begin(), running.end(),
                      [id](const Run& it) { return it.id == id; });
      if (is_still_running) Crash(name);
    });
  }
  return dispatch::Started{ClockOf(worker)};
}

void FakeTaskWorkers::RecordStart(Worker& worker, const Run& run) {
  ++starts_[run.task];
  last_started_[run.task] = run.id;
  CheckRestarts(run.task);
  if (IsRunning(run.task)) {
    AddViolation("two runs at once: " + TextOf(run.task));
  }
  if (done_.contains(run.task)) {
    AddViolation("started after its end: " + TextOf(run.task));
  }
  if (!needs) return;
  auto free_capacity = CapacityLimit(worker);
  for (const auto& it : worker.running) free_capacity -= needs(it.task);
  if (!free_capacity.Covers(needs(run.task))) {
    AddViolation("over capacity: " + TextOf(run.task) + " on " +
                 worker.registration.name.str());
  }
}

void FakeTaskWorkers::RecordAcknowledgement(const Worker& worker,
                                            const EndedTask& end) {
  const bool counts = end.sequence_number > worker.last_lapsed_end;
  if (end.outcome != TaskOutcome::kDone || !counts) return;
  done_.insert(end.task);
  const auto it = worker.last_run_at_end.find(end.sequence_number);
  if (it != worker.last_run_at_end.end() &&
      last_started_[end.task] > it->second) {
    AddViolation("started after its end, which was acknowledged later: " +
                 TextOf(end.task));
  }
}

void FakeTaskWorkers::SetEndsFault(const WorkerName& name, EndsFault fault) {
  auto& worker = *Find(name);
  worker.ends_fault = fault;
  worker.repeated.clear();
}

void FakeTaskWorkers::CheckRestarts(const TaskName& task) {
  const auto it = starts_at_third_crash_.find(task);
  const bool may_crash = crash_after && crash_after(task);
  if (!may_crash || it == starts_at_third_crash_.end()) return;
  constexpr int kExcessRestarts = 3;
  if (starts_[task] - it->second != kExcessRestarts) return;
  AddViolation("restarted after three crashes: " + TextOf(task));
}

/// Starts the work of a run. The run ends with kAlone if the rest of its gang
/// is not running after kGangTimeout.
void FakeTaskWorkers::BeginWork(Worker& worker, const Run& run) {
  const auto name = worker.registration.name;
  const int size = gang_size ? gang_size(run.task) : 1;
  if (size > 1) {
    time_.After(kGangTimeout, [this, name, run] {
      auto* it = Find(name);
      const bool is_waiting =
          std::any_of(it->running.begin(), it->running.end(),
                      [&](const Run& other) { return other.id == run.id; });
      if (!is_waiting || !it->is_alive) return;
      int present = 0;
      for (const auto& [unused, any] : workers_) {
        if (!any->is_alive) continue;
        for (const auto& other : any->running) {
          const bool is_same = other.task.job == run.task.job &&
                               other.task.step == run.task.step &&
                               other.run == run.run;
          if (is_same) ++present;
        }
      }
      if (present < gang_size(run.task)) {
        EndRun(*it, run.id, TaskOutcome::kGangIncomplete);
      }
    });
  }
  const auto work_time = run_time ? run_time(run.task) : kRunTime;
  constexpr Duration kFailTime{50};
  ContinueWork(name, run, worker.is_failing ? kFailTime : work_time);
}

/// Performs the remaining work of a run in slices; a hanging worker makes no
/// progress.
void FakeTaskWorkers::ContinueWork(const WorkerName& name, const Run& run,
                                   Duration left) {
  constexpr Duration kWorkSlice{50};
  const auto slice = std::min(left, kWorkSlice);
  time_.After(slice, [this, name, run, left, slice] {
    auto* it = Find(name);
    const auto present =
        std::find_if(it->running.begin(), it->running.end(),
                     [&run](const Run& other) { return other.id == run.id; });
    if (!it->is_alive || present == it->running.end()) return;
    if (it->is_hanging) return ContinueWork(name, run, left);
    present->work_done += slice;
    if (left > slice) return ContinueWork(name, run, left - slice);
    const auto kind = outcome ? outcome(run.task, run.run) : TaskOutcome::kDone;
    EndRun(*it, run.id, it->is_failing ? TaskOutcome::kFailed : kind);
  });
}

void FakeTaskWorkers::EndRun(Worker& worker, std::uint64_t id,
                             TaskOutcome kind) {
  const auto it = std::find_if(worker.running.begin(), worker.running.end(),
                               [id](const Run& run) { return run.id == id; });
  if (it == worker.running.end()) return;
  const auto run = *it;
  worker.running.erase(it);
  worker.highest_ended_run[run.task] =
      std::max(worker.highest_ended_run[run.task], run.run);
  worker.ended.push_back({++worker.last_end, run.task, run.run, kind, ""});
  worker.last_run_at_end[worker.last_end] = last_run_id_;
  auto pending_polls = std::exchange(worker.pending_polls, {});
  for (const auto& poll : pending_polls) {
    if (std::exchange(poll->is_answered, true)) continue;
    poll->answer(ReportOf(worker, poll->after));
  }
}

StopResult FakeTaskWorkers::Stop(Worker& worker, const StopOrder& order) {
  if (order.epoch < worker.epoch) return Refused{RefusalReason::kStaleEpoch};
  worker.epoch = order.epoch;
  worker.highest_ended_run[order.task] =
      std::max(worker.highest_ended_run[order.task], order.run);
  for (const auto& it : worker.running) {
    if (it.task != order.task || it.run > order.run) continue;
    time_.After(kStopTime, [this, name = worker.registration.name, id = it.id] {
      auto* found = Find(name);
      if (found->is_alive) EndRun(*found, id, TaskOutcome::kStopped);
    });
  }
  return dispatch::Stopped{};
}

void FakeTaskWorkers::Poll(Worker& worker, const PollOrder& order,
                           std::function<void(PollResult)> answer) {
  if (order.epoch < worker.epoch) {
    return answer(Refused{RefusalReason::kStaleEpoch});
  }
  worker.epoch = order.epoch;
  std::erase_if(worker.ended, [&](const EndedTask& it) {
    if (it.sequence_number > order.last_recorded_end) return false;
    RecordAcknowledgement(worker, it);
    return true;
  });
  if (order.lease_expires_at) ExtendLease(worker, *order.lease_expires_at);
  const bool has_ends = !worker.ended.empty() || !worker.repeated.empty();
  if (has_ends || order.max_wait.count() == 0) {
    return answer(ReportOf(worker, order.last_recorded_end));
  }
  auto poll = std::make_shared<Worker::PendingPoll>();
  poll->after = order.last_recorded_end;
  poll->answer = std::move(answer);
  worker.pending_polls.push_back(poll);
  time_.After(order.max_wait, [this, name = worker.registration.name, poll] {
    if (std::exchange(poll->is_answered, true)) return;
    auto* it = Find(name);
    if (it->is_alive) poll->answer(ReportOf(*it, poll->after));
  });
}

WorkerReport FakeTaskWorkers::ReportOf(Worker& worker, std::uint64_t after) {
  WorkerReport out;
  out.started_at_ms = worker.registration.started_at_ms;
  out.worker_time = ClockOf(worker);
  for (const auto& it : worker.running) {
    const auto work_time = run_time ? run_time(it.task) : kRunTime;
    constexpr int kPercent = 100;
    const auto percent = kPercent * it.work_done.count() / work_time.count();
    out.running.push_back({it.task, it.run, "", static_cast<int>(percent)});
  }
  for (const auto& it : worker.ended) {
    if (out.ended.size() == max_listed_ends) break;
    if (it.sequence_number > after) out.ended.push_back(it);
  }
  if (worker.ends_fault == EndsFault::kRepeated) {
    if (worker.repeated.empty()) worker.repeated = out.ended;
    out.ended = worker.repeated;
  }
  if (worker.ends_fault == EndsFault::kReversed) {
    std::reverse(out.ended.begin(), out.ended.end());
  }
  out.may_have_more_ends = out.ended.size() >= max_listed_ends;
  return out;
}

void FakeTaskWorkers::ExtendLease(Worker& worker, WorkerTime expires) {
  const auto latest = ClockOf(worker) + kMaxLease.count();
  worker.expires = std::max(worker.expires, std::min(expires, latest));
  time_.After(Duration(worker.expires - ClockOf(worker)),
              [this, name = worker.registration.name] {
                EndRunsIfLeaseExpired(*Find(name));
              });
}

void FakeTaskWorkers::EndRunsIfLeaseExpired(Worker& worker) {
  if (!worker.is_alive || ClockOf(worker) < worker.expires) return;
  const auto running = worker.running;
  worker.last_lapsed_end = worker.last_end;
  for (const auto& it : running) {
    EndRun(worker, it.id, TaskOutcome::kLeaseExpired);
  }
}

std::size_t FakeTaskWorkers::running() const {
  std::size_t out = 0;
  for (const auto& [name, it] : workers_) out += it->running.size();
  return out;
}

bool FakeTaskWorkers::IsRunning(const TaskName& task) const {
  return !FindWorkerRunning(task).empty();
}

WorkerName FakeTaskWorkers::FindWorkerRunning(const TaskName& task) const {
  for (const auto& [name, worker] : workers_) {
    for (const auto& it : worker->running) {
      if (it.task == task) return name;
    }
  }
  return WorkerName();
}

int FakeTaskWorkers::starts(const TaskName& task) const {
  const auto it = starts_.find(task);
  return it == starts_.end() ? 0 : it->second;
}

int FakeTaskWorkers::crashes(const TaskName& task) const {
  const auto it = crashes_.find(task);
  return it == crashes_.end() ? 0 : it->second;
}

std::size_t FakeTaskWorkers::unacknowledged() const {
  std::size_t out = 0;
  for (const auto& [name, it] : workers_) {
    if (it->is_alive) out += it->ended.size();
  }
  return out;
}

}  // namespace lapishatch::fakes
