#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "worker/worker.h"

namespace lapishatch::standins {
namespace {

using backends::ReportQuery;
using base::Duration;
using base::TimePoint;
using lifecycle::OrderDone;
using lifecycle::TaskKey;
using lifecycle::TaskState;
using lifecycle::WorkerCommand;

TaskKey Key(int task, const std::string& attempt = "a1") {
  return {base::JobName("job"), base::AttemptId(attempt), task};
}

lifecycle::ReserveTask Reserve(int task, std::uint64_t accelerators = 1) {
  return {Key(task), accelerators, 8, 1'024, Duration(5'000)};
}

lifecycle::StartTask Start(int task, std::string payload = "{}") {
  return {Key(task), Duration(60'000), std::move(payload), ""};
}

/// A worker with a hand-moved clock and the present owner's epoch.
struct Bench {
  explicit Bench(WorkerModelOptions options = {}) : model(std::move(options)) {}

  OrderDone Do(std::vector<WorkerCommand> commands) {
    return std::get<OrderDone>(
        model.Handle({base::CellName("cell"), epoch, model.incarnation(),
                      std::move(commands)},
                     now));
  }

  /// Reserves and starts task 0 with `payload`.
  void Run(const std::string& payload) {
    const auto done = Do({Reserve(0), Start(0, payload)});
    REQUIRE(done.results[0].done);
    REQUIRE(done.results[1].done);
  }

  void Pass(Duration span) {
    now += span;
    model.Advance(now);
  }

  ReportQuery Query(std::uint64_t since) const {
    ReportQuery out;
    out.since = since;
    out.incarnation = model.incarnation();
    out.epoch = epoch;
    return out;
  }

  lifecycle::TaskReport Task0() { return model.Report(0).tasks.at(0); }

  WorkerModel model;
  TimePoint now{Duration(1'000)};
  lifecycle::Epoch epoch = 3;
};

TEST_CASE("a reservation lapses, and nothing ran") {
  Bench it;
  CHECK(it.Do({Reserve(0)}).results[0].done);
  it.Pass(Duration(4'999));
  CHECK(it.Task0().state == TaskState::kReserved);
  it.Pass(Duration(1));
  CHECK(it.Task0().state == TaskState::kStopped);
  CHECK(it.model.StartsOf(base::JobName("job")) == 0);
}

TEST_CASE("a running task stops when its lease lapses, and not when renewed") {
  Bench it;
  it.Run(R"({"run_ms":600000})");
  it.Pass(Duration(59'000));
  CHECK(
      it.Do({lifecycle::RenewTask{Key(0), Duration(60'000)}}).results[0].done);
  it.Pass(Duration(59'999));
  CHECK(it.Task0().state == TaskState::kRunning);
  it.Pass(Duration(1));
  CHECK(it.Task0().state == TaskState::kStopped);
  CHECK(it.Task0().detail == "lease lapsed");
}

TEST_CASE("a report renews the leases of the present owner's tasks only") {
  Bench it;
  it.Run(R"({"run_ms":600000})");
  it.Pass(Duration(59'000));
  auto query = it.Query(0);
  query.renew = Duration(60'000);
  query.epoch = 2;
  it.model.Note(query, it.now);
  it.Pass(Duration(1'000));
  CHECK(it.Task0().state == TaskState::kStopped);
}

TEST_CASE("a lower epoch is refused and changes nothing") {
  Bench it;
  it.Run(R"({"run_ms":600000})");
  const lifecycle::WorkerOrder stale{base::CellName("cell"),
                                     2,
                                     it.model.incarnation(),
                                     {lifecycle::StopTask{Key(0)}}};
  const auto outcome = it.model.Handle(stale, it.now);
  CHECK(std::get<lifecycle::StaleEpoch>(outcome).epoch_seen == 3);
  CHECK(it.Task0().state == TaskState::kRunning);
}

TEST_CASE("a higher epoch is installed by an empty order") {
  Bench it;
  it.epoch = 4;
  CHECK(it.Do({}).results.empty());
  CHECK(it.model.epoch_seen() == 4);
}

TEST_CASE("another incarnation refuses the whole order and keeps its epoch") {
  Bench it;
  it.Run("{}");
  const auto before = it.model.incarnation();
  it.model.Restart();
  CHECK(it.model.incarnation() != before);
  const lifecycle::WorkerOrder order{
      base::CellName("cell"), 9, before, {Reserve(0)}};
  CHECK(std::holds_alternative<lifecycle::IncarnationMismatch>(
      it.model.Handle(order, it.now)));
  CHECK(it.model.epoch_seen() == 0);
  CHECK(it.model.Report(0).tasks.empty());
}

TEST_CASE("commands told twice are carried out once") {
  Bench it;
  const auto done =
      it.Do({Reserve(0), Reserve(0), Start(0), Start(0),
             lifecycle::StopTask{Key(0)}, lifecycle::StopTask{Key(0)}});
  for (const auto& result : done.results) CHECK(result.done);
  CHECK(it.model.StartsOf(base::JobName("job")) == 1);
}

TEST_CASE("late copies of an ended task's orders never run it again") {
  Bench it;
  it.Run(R"({"run_ms":10})");
  it.Pass(Duration(10));
  const auto end = it.model.sequence();
  // Acknowledged, so the worker forgets the task's report.
  CHECK(it.model.Answer(it.Query(end)).tasks.empty());
  CHECK(it.model.Report(0).tasks.empty());
  const auto late = it.Do({Reserve(0), Start(0)});
  CHECK_FALSE(late.results[0].done);
  CHECK_FALSE(late.results[1].done);
  CHECK(it.model.StartsOf(base::JobName("job")) == 1);
}

TEST_CASE("a start without a reservation, or after its lapse, is refused") {
  Bench it;
  CHECK_FALSE(it.Do({Start(0)}).results[0].done);
  CHECK(it.Do({Reserve(1)}).results[0].done);
  it.Pass(Duration(5'000));
  CHECK_FALSE(it.Do({Start(1)}).results[0].done);
  CHECK(it.model.StartsOf(base::JobName("job")) == 0);
}

TEST_CASE("what does not fit is refused") {
  WorkerModelOptions options;
  options.accelerators = 4;
  options.cores = 16;
  options.memory_mb = 2'048;
  Bench it(options);
  CHECK(it.Do({Reserve(0, 0b0011)}).results[0].done);
  CHECK(it.Do({Reserve(1, 0b0010)}).results[0].reason ==
        "accelerators are held");
  CHECK(it.Do({Reserve(1, 0b10000)}).results[0].reason ==
        "no such accelerator");
  auto wide = Reserve(1, 0b0100);
  wide.cores = 9;
  CHECK(it.Do({wide}).results[0].reason == "not enough cores");
  auto large = Reserve(1, 0b0100);
  large.memory_mb = 1'025;
  CHECK(it.Do({large}).results[0].reason == "not enough memory");
  CHECK(it.Do({Reserve(1, 0b0100)}).results[0].done);
}

TEST_CASE("ends are told until acknowledged by the present owner") {
  Bench it;
  it.Run(R"({"run_ms":10,"exit_code":3})");
  it.Pass(Duration(10));
  const auto end = it.model.sequence();
  CHECK(it.Task0().state == TaskState::kFailed);
  CHECK(it.Task0().exit_code == 3);

  // A deposed owner that has seen the end must not make it forgotten.
  auto stale = it.Query(end);
  stale.epoch = 2;
  CHECK(it.model.IsReady(stale));
  CHECK(it.model.Answer(stale).epoch_seen == 3);
  CHECK(it.model.Report(0).tasks.size() == 1);

  CHECK_FALSE(it.model.IsReady(it.Query(end)));
  CHECK(it.model.Answer(it.Query(end)).tasks.empty());
  CHECK(it.model.Report(0).tasks.empty());
}

TEST_CASE("a query of an earlier life is answered at once and in full") {
  Bench it;
  auto query = it.Query(it.model.sequence());
  it.model.Restart();
  it.Run("{}");
  query.since = 1'000;
  CHECK(it.model.IsReady(query));
  CHECK(it.model.Answer(query).tasks.size() == 1);
}

TEST_CASE("leaving is told at once, and refuses new reservations") {
  Bench it;
  const auto since = it.model.sequence();
  CHECK_FALSE(it.model.IsReady(it.Query(since)));
  it.model.SetLeaving(true);
  CHECK(it.model.IsReady(it.Query(since)));
  CHECK(it.model.Answer(it.Query(since)).leaving);
  CHECK(it.Do({Reserve(0)}).results[0].reason == "leaving");
}

TEST_CASE("usage lags behind, at the start and at the end") {
  Bench it;
  it.Run(R"({"run_ms":5000,"use_cores":20,"use_memory_mb":4096})");
  it.Pass(Duration(1'999));
  CHECK(it.model.Report(0).used_cores == 0);
  it.Pass(Duration(1));
  CHECK(it.model.Report(0).used_cores == 20);
  CHECK(it.model.Report(0).used_memory_mb == 4'096);
  it.Pass(Duration(3'000));
  CHECK(it.Task0().state == TaskState::kFinished);
  CHECK(it.model.Report(0).used_cores == 20);
  it.Pass(Duration(2'000));
  CHECK(it.model.Report(0).used_cores == 0);
}

TEST_CASE("an overfull worker ends a waiting report once it shows") {
  Bench it;
  it.Run(R"({"use_cores":65})");
  const auto since = it.model.sequence();
  it.Pass(Duration(1'999));
  CHECK_FALSE(it.model.IsReady(it.Query(since)));
  REQUIRE(it.model.NextChange() == it.now + Duration(1));
  it.Pass(Duration(1));
  CHECK(it.model.IsReady(it.Query(since)));
}

TEST_CASE("a worker out of memory for too long ends the greediest task") {
  WorkerModelOptions options;
  options.memory_mb = 4'096;
  Bench it(options);
  CHECK(it.Do({Reserve(0, 1), Start(0, R"({"use_memory_mb":1100})"),
               Reserve(1, 2), Start(1, R"({"use_memory_mb":3000})")})
            .results[3]
            .done);
  it.Pass(Duration(19'999));
  CHECK(it.model.Running().size() == 2);
  it.Pass(Duration(1));
  REQUIRE(it.model.Running().size() == 1);
  CHECK(it.model.Running()[0].key.task == 0);
  CHECK(it.model.Report(0).tasks[1].detail == "out of memory");
}

TEST_CASE("a throttled task uses less and takes longer") {
  Bench it;
  it.Run(R"({"run_ms":10000,"use_cores":16})");
  it.Pass(Duration(5'000));
  CHECK(it.Do({lifecycle::ThrottleTask{Key(0), 4}}).results[0].done);
  it.Pass(Duration(2'000));
  CHECK(it.model.Report(0).used_cores == 4);
  // Half its work is left, at a quarter of the speed.
  it.Pass(Duration(17'999));
  CHECK(it.Task0().state == TaskState::kRunning);
  it.Pass(Duration(1));
  CHECK(it.Task0().state == TaskState::kFinished);
}

TEST_CASE("starts that fail: by the job's payload, and by the worker") {
  Bench it;
  it.Run(R"({"fail_start":true})");
  CHECK(it.Task0().state == TaskState::kFailed);
  Bench bad;
  bad.model.SetRefusesStarts(true);
  bad.Run("{}");
  CHECK(bad.Task0().state == TaskState::kFailed);
}

TEST_CASE("leases run on while the worker is paused, its tasks do not") {
  Bench it;
  it.Run(R"({"run_ms":30000})");
  it.Pass(Duration(10'000));
  const auto began = it.now;
  it.now += Duration(49'999);
  it.model.Resume(began, it.now);
  CHECK(it.Task0().state == TaskState::kRunning);
  it.Pass(Duration(1));
  CHECK(it.Task0().detail == "lease lapsed");
}

TEST_CASE("a checkpoint is complete once it is stored, and restores progress") {
  WorkerModelOptions options;
  options.external_checkpoints = true;
  Bench it(options);
  it.Run(R"({"run_ms":10000})");
  it.Pass(Duration(3'500));
  CHECK(it.Do({lifecycle::CheckpointTask{Key(0), "o1"}}).results[0].done);
  it.Pass(Duration(500));
  const auto writes = it.model.TakeCheckpointWrites();
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].done == Duration(4'000));
  CHECK(it.Task0().checkpoint.empty());
  it.model.CheckpointWritten(writes[0], false);
  CHECK(it.Task0().checkpoint_failed);
  it.model.CheckpointWritten(writes[0], true);
  CHECK(it.Task0().checkpoint == "o1");
  CHECK_FALSE(it.Task0().checkpoint_failed);

  Bench next(options);
  auto start = Start(0, R"({"run_ms":10000})");
  start.from_checkpoint = "o1";
  CHECK(next.Do({Reserve(0), start}).results[1].done);
  next.Pass(Duration(50));
  const auto reads = next.model.TakeCheckpointReads();
  REQUIRE(reads.size() == 1);
  next.model.CheckpointRestored(reads[0], writes[0].done);
  next.Pass(Duration(5'999));
  CHECK(next.Task0().state == TaskState::kRunning);
  next.Pass(Duration(1));
  CHECK(next.Task0().state == TaskState::kFinished);
}

TEST_CASE("a task whose checkpoint cannot be read fails") {
  WorkerModelOptions options;
  options.external_checkpoints = true;
  Bench it(options);
  auto start = Start(0);
  start.from_checkpoint = "gone";
  CHECK(it.Do({Reserve(0), start}).results[1].done);
  it.model.CheckpointRestored(it.model.TakeCheckpointReads().at(0),
                              std::nullopt);
  CHECK(it.Task0().state == TaskState::kFailed);
}

}  // namespace
}  // namespace lapishatch::standins
