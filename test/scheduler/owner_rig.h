#ifndef LAPISHATCH_TEST_SCHEDULER_OWNER_RIG_H_
#define LAPISHATCH_TEST_SCHEDULER_OWNER_RIG_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/fakes.h"
#include "scheduler/rows.h"
#include "scheduler/scheduler.h"

namespace lapishatch::scheduler {

/// One process that takes part in the cell.
struct RigProcess {
  RigProcess(OwnerOptions options, fakes::VirtualTime& time,
             fakes::FakeTable& table, fakes::FakeWorkers& workers,
             fakes::FakeOwners& owners, fakes::FakeJobFeed& feed)
      : endpoint(options.endpoint),
        loop(time),
        table_view(table, loop),
        workers_view(workers, loop),
        probe(owners, loop),
        owner(std::make_unique<CellOwner>(
            std::move(options),
            OwnerPorts{loop, table_view, workers_view, probe, feed, nullptr,
                       owners.Word()})) {
    owners.Add(endpoint, loop, [this](const base::Incarnation& holder) {
      return owner->AnswerProbe(holder);
    });
  }

  http::Endpoint endpoint;
  fakes::FakeProcess loop;
  fakes::FakeTableView table_view;
  fakes::FakeWorkersView workers_view;
  fakes::FakeOwnerProbe probe;
  std::unique_ptr<CellOwner> owner;
};

struct RigOptions {
  int workers = 4;
  /// Run time of tasks that name none, on the first worker and on the others.
  base::Duration first_worker_run_time{60'000};
  base::Duration run_time{60'000};
  base::Duration checkpoint_time{500};
};

/// A cell in virtual time: workers of 8 accelerators, 4 to a rack, a table, and
/// as many processes as a test starts.
class OwnerRig {
 public:
  explicit OwnerRig(int worker_count) : OwnerRig(RigOptions{worker_count}) {}

  explicit OwnerRig(const RigOptions& options)
      : table(time), workers(time), owners(time), feed(time) {
    std::vector<CellWorker> list;
    list.reserve(static_cast<std::size_t>(options.workers));
    for (int i = 0; i < options.workers; ++i) {
      list.push_back(AddWorker(i, options));
    }
    feed.SetWorkers(list);
    time.RunFor(base::Duration(1));
  }

  static http::Endpoint EndpointOf(int worker) {
    return {"10.0.0.1", static_cast<std::uint16_t>(7'000 + worker)};
  }

  /// Options of a new process.
  OwnerOptions Options() {
    const int n = ++processes_;
    OwnerOptions options;
    options.cell = cell;
    options.domain = base::DomainName("mixco");
    options.incarnation = base::Incarnation("process-" + std::to_string(n));
    options.endpoint = {"10.0.1.1", static_cast<std::uint16_t>(9'000 + n)};
    return options;
  }

  std::unique_ptr<RigProcess> StartProcess() { return StartProcess(Options()); }

  std::unique_ptr<RigProcess> StartProcess(OwnerOptions options) {
    auto process = std::make_unique<RigProcess>(std::move(options), time, table,
                                                workers, owners, feed);
    process->owner->Start();
    return process;
  }

  /// The process dies: its object is gone and nothing of it runs any more.
  void Kill(std::unique_ptr<RigProcess>& process) {
    owners.Remove(process->endpoint);
    process->owner.reset();
    process->loop.Kill();
    // What is under way to it still refers to its fakes.
    dead_.push_back(std::move(process));
  }

  AcceptedJob Job(const std::string& name, int tasks, int accelerators,
                  bool idempotent = true) const {
    AcceptedJob job;
    job.name = base::JobName(name);
    job.spec.organisation = base::OrganisationName("bertolini");
    job.spec.tasks = tasks;
    job.spec.needs = {accelerators, 4, 1'024};
    job.spec.adjacency = placement::Adjacency::kDomain;
    job.spec.idempotent = idempotent;
    // Without a guarantee, it may run only as work that may be lost.
    job.spec.may_be_lost = !idempotent;
    job.spec.payload = R"({"run_ms":60000})";
    return job;
  }

  std::optional<config::JobStatus> StatusOf(const std::string& job) const {
    const auto row = table.Peek(StatusKey(base::JobName(job)));
    if (!row) return std::nullopt;
    const auto status = DecodeStatusRow(row->value);
    if (!status) return std::nullopt;
    return status->status;
  }

  bool HasPhase(const std::string& job, config::JobPhase phase) const {
    const auto status = StatusOf(job);
    return status && status->phase == phase;
  }

  bool RunUntilPhase(const std::string& job, config::JobPhase phase,
                     base::Duration limit) {
    return time.RunUntil([&] { return HasPhase(job, phase); }, limit);
  }

  bool RunUntilOwning(const RigProcess& process, base::Duration limit) {
    return time.RunUntil(
        [&] { return process.owner->Status().phase == OwnerPhase::kOwning; },
        limit);
  }

  std::optional<Intent> IntentOf(const std::string& job) const {
    const auto row = table.Peek(IntentKey(base::JobName(job)));
    return row ? DecodeIntent(row->value) : std::nullopt;
  }

  int RunningTasksOf(const std::string& job) {
    return workers.RunningTasksOf(base::JobName(job));
  }

  /// Starts of tasks of `job` at all workers since the beginning.
  int StartsOf(const std::string& job) {
    int n = 0;
    for (const auto& it : workers.endpoints()) {
      n += workers.model(it).StartsOf(base::JobName(job));
    }
    return n;
  }

  /// The worker of a running job's task.
  http::Endpoint WorkerOf(const std::string& job, std::size_t task) const {
    const auto name = IntentOf(job)->members.at(task).worker.str();
    return EndpointOf(std::stoi(name.substr(1)));
  }

  const base::CellName cell{"mixco-1"};
  fakes::VirtualTime time;
  fakes::FakeTable table;
  fakes::FakeWorkers workers;
  fakes::FakeOwners owners;
  fakes::FakeJobFeed feed;

 private:
  CellWorker AddWorker(int i, const RigOptions& rig) {
    standins::WorkerModelOptions options;
    options.checkpoint_time = rig.checkpoint_time;
    options.default_run_time =
        i == 0 ? rig.first_worker_run_time : rig.run_time;
    options.name = base::WorkerName("w" + std::to_string(i));
    options.rack = base::RackName("r" + std::to_string(i / 4));
    workers.Add(EndpointOf(i), options);
    return {options.name, EndpointOf(i), options.rack, false};
  }

  int processes_ = 0;
  std::vector<std::unique_ptr<RigProcess>> dead_;
};

}  // namespace lapishatch::scheduler

#endif  // LAPISHATCH_TEST_SCHEDULER_OWNER_RIG_H_
