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
constexpr Duration kMostLease{6'000};
constexpr Duration kGangWait{3'000};

std::string TextOf(const TaskName& task) {
  return task.job.str() + '/' + std::to_string(task.step) + '/' +
         std::to_string(task.index);
}

}  // namespace

struct FakeTaskWorkers::Worker {
  dispatch::WorkerRegistration entry;
  bool is_alive = true;
  struct FormerCapacity {
    jobs::Resources capacity;
    /// End of the grace period in which owners may still rely on it.
    base::TimePoint grace_end;
  };
  std::vector<FormerCapacity> former_capacities;
  bool is_superseded = false;
  /// Its clock began at some other moment than others'.
  WorkerTime clock_offset = 0;
  dispatch::Epoch epoch = 0;
  WorkerTime expires = 0;
  std::vector<Run> running;
  std::vector<EndedTask> ended;
  std::uint64_t last_end = 0;
  /// Ends up to this number came before its lease ran out: they never count as
  /// acknowledged.
  std::uint64_t lapsed_end = 0;
  /// Highest run that ended or was stopped.
  std::map<TaskName, int> over;
  std::optional<Duration> next_start_late;
  bool hangs = false;
  bool fails = false;
  struct Waiting {
    std::uint64_t after = 0;
    std::function<void(PollResult)> answer;
    bool is_answered = false;
  };
  std::vector<std::shared_ptr<Waiting>> waiting;
};

/// Carries orders to workers and answers back, unless they are cut off.
class FakeTaskWorkers::Port final : public dispatch::WorkerClient {
 public:
  Port(FakeTaskWorkers& workers, std::string owner)
      : workers_(workers), owner_(std::move(owner)) {}

  void Start(const dispatch::WorkerAddress& address, StartOrder order,
             Duration timeout, std::function<void(StartResult)> done) override {
    auto* worker = workers_.Find(address.name);
    if (worker != nullptr && worker->next_start_late) {
      const auto late = *std::exchange(worker->next_start_late, std::nullopt);
      workers_.time_.After(late, [this, order, name = address.name] {
        auto* it = workers_.Find(name);
        if (it != nullptr && it->is_alive) workers_.Start(*it, order);
      });
      workers_.time_.After(
          timeout, [done = std::move(done)] { done(NoAnswer{"late"}); });
      return;
    }
    Carry<StartResult>(address.name, timeout, std::move(done),
                       [this, order](Worker& it, auto answer) {
                         answer(workers_.Start(it, order));
                       });
  }

  void Stop(const dispatch::WorkerAddress& address, StopOrder order,
            Duration timeout, std::function<void(StopResult)> done) override {
    Carry<StopResult>(address.name, timeout, std::move(done),
                      [this, order](Worker& it, auto answer) {
                        answer(workers_.Stop(it, order));
                      });
  }

  void Poll(const dispatch::WorkerAddress& address, PollOrder order,
            Duration timeout, std::function<void(PollResult)> done) override {
    Carry<PollResult>(address.name, timeout, std::move(done),
                      [this, order](Worker& it, auto answer) {
                        workers_.Hold(it, order, answer);
                      });
  }

 private:
  template <typename Result, typename Act>
  void Carry(const WorkerName& name, Duration timeout,
             std::function<void(Result)> done, Act act) {
    auto once = std::make_shared<bool>(false);
    const auto finish = [once, done = std::move(done)](Result result) {
      if (std::exchange(*once, true)) return;
      done(std::move(result));
    };
    workers_.time_.After(timeout, [finish] { finish(NoAnswer{"timeout"}); });
    workers_.time_.After(kDelay, [this, name, act, finish] {
      auto* worker = workers_.Find(name);
      if (worker == nullptr || workers_.IsCut(owner_, name)) return;
      if (worker->is_superseded) return finish(dispatch::OtherIncarnation{});
      if (!worker->is_alive) return;
      act(*worker, [this, name, finish](Result result) {
        if (workers_.IsCut(owner_, name)) return;
        workers_.time_.After(
            kDelay, [finish, result = std::move(result)] { finish(result); });
      });
    });
  }

  FakeTaskWorkers& workers_;
  const std::string owner_;
};

FakeTaskWorkers::FakeTaskWorkers(base::EventLoop& time) : time_(time) {}

FakeTaskWorkers::~FakeTaskWorkers() = default;

void FakeTaskWorkers::Add(const dispatch::WorkerRegistration& entry) {
  auto worker = std::make_unique<Worker>();
  worker->entry = entry;
  constexpr WorkerTime kBetweenClocks = 77'000;
  worker->clock_offset =
      static_cast<WorkerTime>(workers_.size()) * kBetweenClocks;
  workers_[entry.name] = std::move(worker);
}

void FakeTaskWorkers::SetCapacity(const WorkerName& name,
                                  const jobs::Resources& capacity,
                                  Duration grace) {
  auto* worker = Find(name);
  worker->former_capacities.push_back(
      {worker->entry.capacity, time_.Now() + grace});
  worker->entry.capacity = capacity;
}

jobs::Resources FakeTaskWorkers::CapacityLimit(const Worker& worker) const {
  auto out = worker.entry.capacity;
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
  constexpr int kThirdCrash = 3;
  for (const auto& it : std::exchange(worker->running, {})) {
    if (++crashes_[it.task] != kThirdCrash) continue;
    starts_at_third_crash_[it.task] = starts_[it.task];
  }
  if (on_crash) on_crash(name);
}

void FakeTaskWorkers::Supersede(const WorkerName& name) {
  Find(name)->is_superseded = true;
}

void FakeTaskWorkers::Cut(const std::string& owner, const WorkerName& name) {
  cuts_.emplace(owner, name);
}

void FakeTaskWorkers::Join(const std::string& owner, const WorkerName& name) {
  cuts_.erase({owner, name});
}

bool FakeTaskWorkers::IsCut(const std::string& owner,
                            const WorkerName& name) const {
  return cuts_.contains({owner, name}) || cuts_.contains({"", name});
}

void FakeTaskWorkers::MakeNextStartLate(const WorkerName& name,
                                        Duration delay) {
  Find(name)->next_start_late = delay;
}

void FakeTaskWorkers::Hang(const WorkerName& name, bool hangs) {
  Find(name)->hangs = hangs;
}

void FakeTaskWorkers::FailAll(const WorkerName& name, bool fails) {
  Find(name)->fails = fails;
}

dispatch::WorkerClient& FakeTaskWorkers::For(const std::string& owner) {
  auto& port = ports_[owner];
  if (!port) port = std::make_unique<Port>(*this, owner);
  return *port;
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
  if (same != worker.running.end()) return dispatch::Started{};
  const auto over = worker.over.find(order.task);
  if (over != worker.over.end() && order.run <= over->second) {
    return Refused{RefusalReason::kStaleRun};
  }
  if (order.expires_at < ClockOf(worker))
    return Refused{RefusalReason::kExpired};
  Extend(worker, order.expires_at);
  const Run run{order.task, order.run, ++last_id_, Duration(0)};
  NoteStart(worker, run);
  worker.running.push_back(run);
  BeginWork(worker, run);
  if (on_start) on_start(worker.entry.name);
  const auto crash = crash_after ? crash_after(order.task) : std::nullopt;
  if (crash) {
    time_.After(*crash, [this, name = worker.entry.name, id = run.id] {
      const auto& running = Find(name)->running;
      const bool is_still_running =
          std::any_of(running.begin(), running.end(),
                      [id](const Run& it) { return it.id == id; });
      if (is_still_running) Crash(name);
    });
  }
  return dispatch::Started{};
}

void FakeTaskWorkers::NoteStart(Worker& worker, const Run& run) {
  ++starts_[run.task];
  CheckRestarts(run.task);
  if (IsRunning(run.task)) Violate("two runs at once: " + TextOf(run.task));
  if (done_.contains(run.task)) {
    Violate("started after its end: " + TextOf(run.task));
  }
  if (!needs) return;
  auto room = CapacityLimit(worker);
  for (const auto& it : worker.running) room -= needs(it.task);
  if (!room.Covers(needs(run.task))) {
    Violate("over capacity: " + TextOf(run.task) + " on " +
            worker.entry.name.str());
  }
}

void FakeTaskWorkers::CheckRestarts(const TaskName& task) {
  const auto it = starts_at_third_crash_.find(task);
  const bool may_crash = crash_after && crash_after(task);
  if (!may_crash || it == starts_at_third_crash_.end()) return;
  constexpr int kExcessRestarts = 3;
  if (starts_[task] - it->second != kExcessRestarts) return;
  Violate("restarted after three crashes: " + TextOf(task));
}

/// A gang's work begins when all its tasks are there.
void FakeTaskWorkers::BeginWork(Worker& worker, const Run& run) {
  const auto name = worker.entry.name;
  const int size = gang_size ? gang_size(run.task) : 1;
  if (size > 1) {
    time_.After(kGangWait, [this, name, run] {
      auto* it = Find(name);
      const bool waits =
          std::any_of(it->running.begin(), it->running.end(),
                      [&](const Run& other) { return other.id == run.id; });
      if (!waits || !it->is_alive) return;
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
      if (present < gang_size(run.task))
        EndRun(*it, run.id, TaskOutcome::kGangIncomplete);
    });
  }
  const auto length = run_time ? run_time(run.task) : kRunTime;
  constexpr Duration kFailTime{50};
  Work(name, run, worker.fails ? kFailTime : length);
}

/// Does the rest of a run's work, a part at a time; a worker that hangs does
/// none.
void FakeTaskWorkers::Work(const WorkerName& name, const Run& run,
                           Duration left) {
  constexpr Duration kPart{50};
  const auto part = std::min(left, kPart);
  time_.After(part, [this, name, run, left, part] {
    auto* it = Find(name);
    const auto present =
        std::find_if(it->running.begin(), it->running.end(),
                     [&run](const Run& other) { return other.id == run.id; });
    if (!it->is_alive || present == it->running.end()) return;
    if (it->hangs) return Work(name, run, left);
    present->done += part;
    if (left > part) return Work(name, run, left - part);
    const auto kind = outcome ? outcome(run.task, run.run) : TaskOutcome::kDone;
    EndRun(*it, run.id, it->fails ? TaskOutcome::kFailed : kind);
  });
}

void FakeTaskWorkers::EndRun(Worker& worker, std::uint64_t id,
                             TaskOutcome kind) {
  const auto it = std::find_if(worker.running.begin(), worker.running.end(),
                               [id](const Run& run) { return run.id == id; });
  if (it == worker.running.end()) return;
  const auto run = *it;
  worker.running.erase(it);
  worker.over[run.task] = std::max(worker.over[run.task], run.run);
  worker.ended.push_back({++worker.last_end, run.task, run.run, kind, ""});
  auto waiting = std::exchange(worker.waiting, {});
  for (const auto& hold : waiting) {
    if (std::exchange(hold->is_answered, true)) continue;
    hold->answer(NewsOf(worker, hold->after));
  }
}

StopResult FakeTaskWorkers::Stop(Worker& worker, const StopOrder& order) {
  if (order.epoch < worker.epoch) return Refused{RefusalReason::kStaleEpoch};
  worker.epoch = order.epoch;
  worker.over[order.task] = std::max(worker.over[order.task], order.run);
  for (const auto& it : worker.running) {
    if (it.task != order.task || it.run > order.run) continue;
    time_.After(kStopTime, [this, name = worker.entry.name, id = it.id] {
      auto* still = Find(name);
      if (still->is_alive) EndRun(*still, id, TaskOutcome::kStopped);
    });
  }
  return dispatch::Stopped{};
}

void FakeTaskWorkers::Hold(Worker& worker, const PollOrder& order,
                           std::function<void(PollResult)> answer) {
  if (order.epoch < worker.epoch)
    return answer(Refused{RefusalReason::kStaleEpoch});
  worker.epoch = order.epoch;
  std::erase_if(worker.ended, [&](const EndedTask& it) {
    if (it.sequence_number > order.last_recorded_end) return false;
    const bool counts = it.sequence_number > worker.lapsed_end;
    if (it.outcome == TaskOutcome::kDone && counts) done_.insert(it.task);
    return true;
  });
  if (order.lease_expires_at) Extend(worker, *order.lease_expires_at);
  if (!worker.ended.empty() || order.max_wait.count() == 0) {
    return answer(NewsOf(worker, order.last_recorded_end));
  }
  auto waiting = std::make_shared<Worker::Waiting>();
  waiting->after = order.last_recorded_end;
  waiting->answer = std::move(answer);
  worker.waiting.push_back(waiting);
  time_.After(order.max_wait, [this, name = worker.entry.name, waiting] {
    if (std::exchange(waiting->is_answered, true)) return;
    auto* it = Find(name);
    if (it->is_alive) waiting->answer(NewsOf(*it, waiting->after));
  });
}

WorkerReport FakeTaskWorkers::NewsOf(Worker& worker, std::uint64_t after) {
  WorkerReport out;
  out.worker_time = ClockOf(worker);
  for (const auto& it : worker.running) {
    const auto length = run_time ? run_time(it.task) : kRunTime;
    constexpr int kWhole = 100;
    const auto percent = kWhole * it.done.count() / length.count();
    out.running.push_back({it.task, it.run, "", static_cast<int>(percent)});
  }
  for (const auto& it : worker.ended) {
    if (it.sequence_number > after) out.ended.push_back(it);
  }
  return out;
}

void FakeTaskWorkers::Extend(Worker& worker, WorkerTime expires) {
  const auto most = ClockOf(worker) + kMostLease.count();
  worker.expires = std::max(worker.expires, std::min(expires, most));
  time_.After(Duration(worker.expires - ClockOf(worker)),
              [this, name = worker.entry.name] { CheckLease(*Find(name)); });
}

void FakeTaskWorkers::CheckLease(Worker& worker) {
  if (!worker.is_alive || ClockOf(worker) < worker.expires) return;
  const auto running = worker.running;
  worker.lapsed_end = worker.last_end;
  for (const auto& it : running)
    EndRun(worker, it.id, TaskOutcome::kLeaseExpired);
}

std::size_t FakeTaskWorkers::running() const {
  std::size_t out = 0;
  for (const auto& [name, it] : workers_) out += it->running.size();
  return out;
}

bool FakeTaskWorkers::IsRunning(const TaskName& task) const {
  return !WhereRuns(task).empty();
}

WorkerName FakeTaskWorkers::WhereRuns(const TaskName& task) const {
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
