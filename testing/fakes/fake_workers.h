#ifndef LAPISHATCH_TESTING_FAKES_FAKE_WORKERS_H_
#define LAPISHATCH_TESTING_FAKES_FAKE_WORKERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "backends/backends.h"
#include "base/base.h"
#include "fakes/fake_process.h"
#include "fakes/virtual_time.h"
#include "worker/worker_model.h"

namespace lapishatch::fakes {

/// What happens to one order sent to a worker.
enum class OrderFault : std::uint8_t {
  kNone,
  /// Nothing reaches the worker and the sender knows it.
  kNotSent,
  /// The order is lost on its way; the sender cannot tell.
  kOrderLost,
  /// The order is carried out, the answer is lost.
  kAnswerLost,
  /// The order is carried out twice and answered once.
  kDoubled,
  /// The order arrives late, after the sender has given up.
  kLate,
};

/// Workers in virtual time, each a WorkerModel.
class FakeWorkers {
 public:
  using Fault = std::function<OrderFault(const http::Endpoint&,
                                         const lifecycle::WorkerOrder&)>;

  struct Options {
    base::Duration latency{1};
    base::Duration timeout{2'000};
    base::Duration late{4'000};
  };

  explicit FakeWorkers(VirtualTime& time) : FakeWorkers(time, Options()) {}
  FakeWorkers(VirtualTime& time, Options options)
      : time_(time), options_(options) {}

  void Add(const http::Endpoint& endpoint,
           standins::WorkerModelOptions options);

  void SetFault(Fault fault) { fault_ = std::move(fault); }

  /// Breaks a rule of workers on purpose: orders are changed before they are
  /// carried out.
  void SetOrderChange(
      std::function<void(const standins::WorkerModel&, lifecycle::WorkerOrder&)>
          change) {
    change_ = std::move(change);
  }

  /// A dead worker answers nothing; its tasks run on until their leases lapse.
  void SetReachable(const http::Endpoint& endpoint, bool reachable);

  standins::WorkerModel& model(const http::Endpoint& endpoint);

  std::vector<http::Endpoint> endpoints() const;

  /// Tasks of `job` that run now on any worker, brought up to the present time.
  int RunningTasksOf(const base::JobName& job);

 private:
  friend class FakeWorkersView;

  struct Poll {
    backends::ReportQuery query;
    std::function<void(backends::ReportResult)> answer;
    bool answered = false;
  };

  struct Worker {
    std::unique_ptr<standins::WorkerModel> model;
    bool reachable = true;
    std::vector<std::shared_ptr<Poll>> polls;
    base::TimerId wake_up = 0;
  };

  void Carry(Worker& worker, lifecycle::WorkerOrder order,
             const std::function<void(lifecycle::OrderOutcome)>& answer);
  void AnswerPolls(Worker& worker);
  void Arm(Worker& worker);

  VirtualTime& time_;
  Options options_;
  Fault fault_;
  std::function<void(const standins::WorkerModel&, lifecycle::WorkerOrder&)>
      change_;
  std::map<http::Endpoint, Worker> workers_;
};

/// The workers as one process reaches them.
class FakeWorkersView final : public backends::WorkerClient {
 public:
  FakeWorkersView(FakeWorkers& workers, FakeProcess& process)
      : workers_(workers), process_(process) {}

  /// While cut, orders are not sent and reports fail.
  void SetCut(bool cut) { cut_ = cut; }

  /// Chooses the fault of what this process sends; kNone leaves it to the
  /// fault that holds for all.
  void SetFault(FakeWorkers::Fault fault) { fault_ = std::move(fault); }

  void Send(const http::Endpoint& worker, lifecycle::WorkerOrder order,
            std::function<void(lifecycle::OrderOutcome)> done) override;
  void FetchReport(const http::Endpoint& worker, backends::ReportQuery query,
                   std::function<void(backends::ReportResult)> done) override;

 private:
  FakeWorkers& workers_;
  FakeProcess& process_;
  bool cut_ = false;
  FakeWorkers::Fault fault_;
};

}  // namespace lapishatch::fakes

#endif  // LAPISHATCH_TESTING_FAKES_FAKE_WORKERS_H_
