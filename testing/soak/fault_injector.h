#ifndef LAPISHATCH_TESTING_SOAK_FAULT_INJECTOR_H_
#define LAPISHATCH_TESTING_SOAK_FAULT_INJECTOR_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"
#include "fakes/fake_row_store.h"
#include "fakes/fake_task_workers.h"
#include "scenario/relay.h"
#include "scenario/scenario.h"
#include "soak/site_process.h"

namespace lapishatch::soak {

/// One worker of the stand-in and the relay in front of its port.
struct SoakWorker {
  dispatch::WorkerRegistration registration;
  std::shared_ptr<scenario::Relay> relay;
};

/// Targets of the faults. All must outlive the injector.
struct FaultTargets {
  std::vector<std::unique_ptr<SiteProcess>>& processes;
  /// Relays in front of the store, one for each process.
  std::vector<std::unique_ptr<scenario::Relay>>& store_relays;
  std::vector<SoakWorker>& workers;
  fakes::FakeRowStore& rows;
  fakes::FakeTaskWorkers& worker_model;
  /// Removes the worker and adds a replacement. If `stays` is positive, the
  /// worker first announces that it drains and leaves after `stays`.
  std::function<void(std::size_t worker, base::Duration stays)> replace_worker;
};

/// Begins random faults, each of which ends after a random time. Faults may
/// overlap.
class FaultInjector {
 public:
  FaultInjector(base::EventLoop& loop, FaultTargets targets,
                std::uint64_t seed);

  /// Begins one random fault.
  void InjectFault();

  /// Ends all faults and begins no more.
  void EndAllFaults();

  /// Restarts processes that have ended, once their downtime is over.
  void RestartEndedProcesses();

  int faults_begun() const { return faults_begun_; }

 private:
  void SignalProcess();
  void InjectLinkFault(scenario::Relay& relay);
  void InjectStoreFault();
  void InjectWorkerFault();
  int RandomInt(int from, int to);
  std::size_t RandomIndex(std::size_t size);
  base::Duration RandomDuration();
  /// Runs `end` after a random time, or when all faults are ended.
  void ScheduleEnd(std::function<void()> end);

  base::EventLoop& loop_;
  FaultTargets targets_;
  base::Random random_;
  std::vector<std::function<void()>> end_actions_;
  bool is_stopped_ = false;
  int faults_begun_ = 0;
};

}  // namespace lapishatch::soak

#endif  // LAPISHATCH_TESTING_SOAK_FAULT_INJECTOR_H_
