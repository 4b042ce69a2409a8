#ifndef LAPISHATCH_SCHEDULER_MAIN_CELL_HOST_H_
#define LAPISHATCH_SCHEDULER_MAIN_CELL_HOST_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "scheduler/scheduler.h"
#include "store/store.h"

namespace lapishatch::scheduler_main {

/// What all cells of a process share. All must outlive them.
struct CellPorts {
  store::Table& table;
  backends::WorkerClient& workers;
  scheduler::OwnerProbe& probe;
  scheduler::JobFeed& feed;
  base::MetricRegistry* metrics = nullptr;
  scheduler::GroupWord group = nullptr;
};

/// One cell's owner on an event loop of its own, so that cells of one process
/// run side by side. Safe from any thread; callbacks come on the cell's loop.
class CellHost {
 public:
  /// `io` must outlive it. Destroy it when `io` runs no more.
  CellHost(boost::asio::io_context& io, scheduler::OwnerOptions options,
           CellPorts ports);
  ~CellHost();
  CellHost(const CellHost&) = delete;
  CellHost& operator=(const CellHost&) = delete;

  const base::CellName& cell() const { return options_.cell; }

  void Start();

  /// Planned stop, see CellOwner::Stop.
  void Stop(std::function<void()> done);

  void CheckNow();
  void AnswerProbe(base::Incarnation holder,
                   std::function<void(scheduler::ProbeAnswer)> done);
  void Status(std::function<void(scheduler::OwnerStatus)> done);
  void Explain(base::JobName job,
               std::function<void(placement::Explanation)> done);

 private:
  template <typename Task>
  void Post(Task task);

  scheduler::OwnerOptions options_;
  CellPorts ports_;
  std::unique_ptr<base::EventLoop> loop_;
  /// Made and used on the loop.
  std::unique_ptr<scheduler::CellOwner> owner_;
};

}  // namespace lapishatch::scheduler_main

#endif  // LAPISHATCH_SCHEDULER_MAIN_CELL_HOST_H_
