// What one owner costs: time and memory of a recovery and of steady state,
// bytes of control traffic and table writes, by the number of workers; and how
// long failover, a partial run and an urgent start take. Prints
// `name value unit` lines. Everything but processor time is in virtual time.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "backends/backends.h"
#include "fakes/fakes.h"
#include "scheduler/rows.h"
#include "scheduler/scheduler.h"

namespace lapishatch::scheduler {
namespace {

constexpr base::Duration kMinute{60'000};

/// The size to design for, per worker: 51,000 tasks and 28,000 jobs a day on
/// 8,500 workers.
constexpr int kTasksPerWorker = 6;
constexpr int kTasksPerGang = 8;
constexpr double kJobsPerWorkerAndDay = 28'000.0 / 8'500.0;

double CpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

std::size_t HeapBytes() { return mallinfo2().uordblks; }

void Print(const std::string& name, int workers, double value,
           const char* unit) {
  std::printf("owner.%s{workers=%d} %.3f %s\n", name.c_str(), workers, value,
              unit);
}

/// What the owner has used.
struct Meter {
  double cpu_s = 0;
  std::uint64_t bytes = 0;
  std::uint64_t messages = 0;
};

/// Counts the processor time of every task on the loop.
class MeteredLoop final : public base::EventLoop {
 public:
  MeteredLoop(base::EventLoop& inner, Meter& meter)
      : inner_(inner), meter_(meter) {}

  base::TimePoint Now() const override { return inner_.Now(); }
  void Post(std::function<void()> task) override {
    inner_.Post(Metered(std::move(task)));
  }
  base::TimerId After(base::Duration delay,
                      std::function<void()> task) override {
    return inner_.After(delay, Metered(std::move(task)));
  }
  void Cancel(base::TimerId timer) override { inner_.Cancel(timer); }

 private:
  std::function<void()> Metered(std::function<void()> task) {
    return [&meter = meter_, task = std::move(task)] {
      const double before = CpuSeconds();
      task();
      meter.cpu_s += CpuSeconds() - before;
    };
  }

  base::EventLoop& inner_;
  Meter& meter_;
};

/// Header bytes of one exchange, as the HTTP client and a worker send them.
constexpr std::size_t kRequestHeaders =
    sizeof(
        "GET  HTTP/1.1\r\nHost: 10.0.0.1:7000\r\nContent-Length: 100\r\n"
        "Content-Type: application/json\r\n\r\n") -
    1;
constexpr std::size_t kResponseHeaders =
    sizeof(
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"
        "Content-Type: application/json\r\n\r\n") -
    1;

/// Counts the bytes of every message in its real encoding, and the processor
/// time of the owner's side of the codec.
class MeteredWorkers final : public backends::WorkerClient {
 public:
  MeteredWorkers(backends::WorkerClient& inner, Meter& meter)
      : inner_(inner), meter_(meter) {}

  void Send(const http::Endpoint& worker, lifecycle::WorkerOrder order,
            std::function<void(lifecycle::OrderOutcome)> done) override {
    const auto body = backends::EncodeOrder(order);
    Count(kRequestHeaders + backends::kOrdersPath.size() + body.size());
    inner_.Send(worker, std::move(order),
                [this, done = std::move(done)](lifecycle::OrderOutcome it) {
                  const auto answer = backends::EncodeOrderResponse(it);
                  Count(kResponseHeaders + answer.body.size());
                  done(std::move(it));
                });
  }

  void FetchReport(const http::Endpoint& worker, backends::ReportQuery query,
                   std::function<void(backends::ReportResult)> done) override {
    Count(kRequestHeaders + backends::EncodeReportQuery(query).size());
    inner_.FetchReport(
        worker, query,
        [this, done = std::move(done)](backends::ReportResult it) {
          CountReport(it);
          done(std::move(it));
        });
  }

 private:
  void Count(std::size_t bytes) {
    meter_.bytes += bytes;
    ++meter_.messages;
  }

  void CountReport(const backends::ReportResult& result) {
    const auto* report = std::get_if<lifecycle::WorkerReport>(&result);
    if (report == nullptr) return;
    const auto body = backends::EncodeReport(*report);
    Count(kResponseHeaders + body.size());
    const double before = CpuSeconds();
    const auto decoded = backends::DecodeReport(body);
    meter_.cpu_s += CpuSeconds() - before;
    if (!decoded) std::abort();
  }

  backends::WorkerClient& inner_;
  Meter& meter_;
};

/// One process with its meter.
struct Process {
  Process(int number, fakes::VirtualTime& time, fakes::FakeTable& table,
          fakes::FakeWorkers& workers, fakes::FakeOwners& owners,
          fakes::FakeJobFeed& feed)
      : loop(time),
        metered_loop(loop, meter),
        table_view(table, loop),
        workers_view(workers, loop),
        metered_workers(workers_view, meter),
        probe(owners, loop) {
    OwnerOptions options;
    options.cell = base::CellName("mixco-1");
    options.incarnation =
        base::Incarnation("process-" + std::to_string(number));
    options.endpoint = {"10.0.1.1", static_cast<std::uint16_t>(number)};
    const auto before = HeapBytes();
    owner = std::make_unique<CellOwner>(
        options, OwnerPorts{metered_loop, table_view, metered_workers, probe,
                            feed, nullptr});
    heap_before = before;
    owner->Start();
  }

  /// The process dies. What is under way to it still refers to its fakes.
  void Kill() {
    owner.reset();
    loop.Kill();
  }

  bool Owns() const { return owner->Status().phase == OwnerPhase::kOwning; }

  Meter meter;
  std::size_t heap_before = 0;
  fakes::FakeProcess loop;
  MeteredLoop metered_loop;
  fakes::FakeTableView table_view;
  fakes::FakeWorkersView workers_view;
  MeteredWorkers metered_workers;
  fakes::FakeOwnerProbe probe;
  std::unique_ptr<CellOwner> owner;
};

class Cell {
 public:
  explicit Cell(int worker_count)
      : worker_count_(worker_count),
        table_(time_),
        workers_(time_),
        owners_(time_),
        feed_(time_) {
    std::vector<CellWorker> list;
    for (int i = 0; i < worker_count; ++i) {
      standins::WorkerModelOptions options;
      options.name = base::WorkerName("worker-" + std::to_string(i));
      options.rack = base::RackName("rack-" + std::to_string(i / 8));
      const http::Endpoint endpoint{"10.0.0.1",
                                    static_cast<std::uint16_t>(1'000 + i)};
      workers_.Add(endpoint, options);
      list.push_back({options.name, endpoint, options.rack, false});
    }
    feed_.SetWorkers(list);
  }

  std::unique_ptr<Process> Start() {
    return std::make_unique<Process>(++processes_, time_, table_, workers_,
                                     owners_, feed_);
  }

  void Accept(int tasks, int accelerators, std::int64_t run_ms,
              base::WorkClass work_class = base::WorkClass::kNormal,
              const std::string& organisation = "bertolini") {
    AcceptedJob job;
    job.name = base::JobName("job-" + std::to_string(++jobs_));
    job.spec.organisation = base::OrganisationName(organisation);
    job.spec.work_class = work_class;
    job.spec.tasks = tasks;
    job.spec.needs = {accelerators, 4, 4'096};
    job.spec.adjacency = placement::Adjacency::kDomain;
    job.spec.idempotent = true;
    job.spec.checkpoint = true;
    job.spec.payload = "{\"run_ms\":" + std::to_string(run_ms) + "}";
    feed_.Accept(job);
  }

  /// Runs as many gangs as the size to design for has on these workers.
  void Fill() {
    const int gangs = worker_count_ * kTasksPerWorker / kTasksPerGang;
    for (int i = 0; i < gangs; ++i) {
      Accept(kTasksPerGang, 1, kMinute.count() * 60 * 6);
    }
  }

  int gangs_wanted() const {
    return worker_count_ * kTasksPerWorker / kTasksPerGang;
  }

  bool RunUntilOwning(const Process& process, base::Duration limit) {
    return time_.RunUntil([&] { return process.Owns(); }, limit);
  }

  fakes::VirtualTime& time() { return time_; }
  fakes::FakeTable& table() { return table_; }
  fakes::FakeWorkers& workers() { return workers_; }
  fakes::FakeOwners& owners() { return owners_; }
  fakes::FakeJobFeed& feed() { return feed_; }

 private:
  int worker_count_;
  int processes_ = 0;
  int jobs_ = 0;
  fakes::VirtualTime time_;
  fakes::FakeTable table_;
  fakes::FakeWorkers workers_;
  fakes::FakeOwners owners_;
  fakes::FakeJobFeed feed_;
};

void Require(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "bench_owner: %s\n", what);
  std::exit(1);
}

/// Recovery of a full cell, then ten minutes with arrivals.
void MeasureSize(int n) {
  Cell cell(n);
  auto first = cell.Start();
  Require(cell.RunUntilOwning(*first, kMinute), "no owner");
  cell.Fill();
  const auto full = [&](const Process& process) {
    return process.owner->Status().gangs == cell.gangs_wanted();
  };
  Require(cell.time().RunUntil([&] { return full(*first); }, kMinute * 10),
          "the cell was not filled");
  cell.time().RunFor(kMinute);
  first->Kill();

  auto second = cell.Start();
  const auto heap_before = second->heap_before;
  const auto is_recovering = [&] {
    return second->owner->Status().phase != OwnerPhase::kCandidate;
  };
  Require(cell.time().RunUntil(is_recovering, kMinute), "not taken over");
  const auto began = cell.time().Now();
  second->meter = Meter();
  Require(cell.RunUntilOwning(*second, kMinute), "not recovered");
  Require(full(*second), "not every gang was adopted");
  const auto took = cell.time().Now() - began;
  Print("recovery", n, static_cast<double>(took.count()), "ms_virtual");
  Print("recovery_cpu", n, second->meter.cpu_s * 1e3, "ms");
  Print("recovery_traffic", n, static_cast<double>(second->meter.bytes) / 1e3,
        "KB");

  cell.time().RunFor(kMinute * 2);
  Print("heap", n, static_cast<double>(HeapBytes() - heap_before) / 1e6, "MB");

  second->meter = Meter();
  const auto commits = cell.table().commits();
  const auto reads = cell.table().reads();
  const double seconds = 600;
  const int arrivals = std::max(
      1, static_cast<int>(kJobsPerWorkerAndDay * n * seconds / 86'400));
  for (int i = 0; i < arrivals; ++i) {
    cell.Accept(kTasksPerGang, 1, kMinute.count());
    cell.time().RunFor(base::Duration(600'000 / arrivals));
  }
  const auto& meter = second->meter;
  const auto bytes = static_cast<double>(meter.bytes);
  Print("steady_cpu", n, meter.cpu_s / seconds * 100, "percent_of_core");
  Print("steady_traffic", n, bytes / seconds / 1e3, "KB/s");
  Print("steady_traffic_per_worker", n, bytes / seconds / n, "B/s");
  Print("steady_messages", n, static_cast<double>(meter.messages) / seconds,
        "1/s");
  Print("table_writes", n,
        static_cast<double>(cell.table().commits() - commits) / seconds, "1/s");
  Print("table_reads", n,
        static_cast<double>(cell.table().reads() - reads) / seconds, "1/s");
}

/// The worst of several runs whose faults come at different moments.
template <typename Run>
void PrintWorst(const char* name, int runs, Run run) {
  std::vector<double> all;
  all.reserve(static_cast<std::size_t>(runs));
  for (int i = 0; i < runs; ++i) all.push_back(run(i));
  std::sort(all.begin(), all.end());
  Print(std::string(name) + "_median", 50, all[all.size() / 2], "ms_virtual");
  Print(std::string(name) + "_worst", 50, all.back(), "ms_virtual");
}

double FailoverMs(int i) {
  Cell cell(50);
  auto first = cell.Start();
  Require(cell.RunUntilOwning(*first, kMinute), "no owner");
  const auto second = cell.Start();
  cell.Fill();
  cell.time().RunFor(kMinute + base::Duration(i * 397));
  const auto died = cell.time().Now();
  first->Kill();
  Require(cell.RunUntilOwning(*second, kMinute), "not taken over");
  return static_cast<double>((cell.time().Now() - died).count());
}

/// From the silent death of one member's worker to the stop of all others.
double PartialRunMs(int i) {
  Cell cell(8);
  const auto owner = cell.Start();
  Require(cell.RunUntilOwning(*owner, kMinute), "no owner");
  cell.Accept(8, 8, kMinute.count() * 60);
  const base::JobName job("job-1");
  Require(cell.time().RunUntil(
              [&] { return cell.workers().RunningTasksOf(job) == 8; }, kMinute),
          "not running");
  cell.time().RunFor(kMinute + base::Duration(i * 1'097));
  const auto endpoints = cell.workers().endpoints();
  cell.workers().SetReachable(endpoints.front(), false);
  const auto died = cell.time().Now();
  Require(
      cell.time().RunUntil(
          [&] { return cell.workers().RunningTasksOf(job) <= 1; }, kMinute * 2),
      "not stopped");
  return static_cast<double>((cell.time().Now() - died).count());
}

/// From the acceptance of urgent guaranteed work to its start, with the cell
/// full of borrowed work that writes a checkpoint first.
double UrgentStartMs(int i) {
  Cell cell(50);
  const auto owner = cell.Start();
  CellConfiguration configuration;
  configuration.guarantees.push_back({base::OrganisationName("fianza"),
                                      {8, placement::Adjacency::kWorker},
                                      10});
  cell.feed().SetConfiguration(configuration);
  Require(cell.RunUntilOwning(*owner, kMinute), "no owner");
  for (int k = 0; k < 50; ++k) cell.Accept(8, 1, kMinute.count() * 600);
  cell.time().RunFor(kMinute + base::Duration(i * 131));
  cell.Accept(1, 8, kMinute.count(), base::WorkClass::kUrgent, "fianza");
  const auto accepted = cell.time().Now();
  const base::JobName job("job-51");
  Require(cell.time().RunUntil(
              [&] { return cell.workers().RunningTasksOf(job) == 1; }, kMinute),
          "urgent work did not start");
  return static_cast<double>((cell.time().Now() - accepted).count());
}

}  // namespace
}  // namespace lapishatch::scheduler

int main() {
  using lapishatch::scheduler::MeasureSize;
  for (const int workers : {50, 200, 650}) MeasureSize(workers);
  lapishatch::scheduler::PrintWorst("failover", 20,
                                    lapishatch::scheduler::FailoverMs);
  lapishatch::scheduler::PrintWorst("partial_run", 20,
                                    lapishatch::scheduler::PartialRunMs);
  lapishatch::scheduler::PrintWorst("urgent_start", 20,
                                    lapishatch::scheduler::UrgentStartMs);
}
