#ifndef LAPISHATCH_TESTING_SOAK_FAULT_PLAYER_H_
#define LAPISHATCH_TESTING_SOAK_FAULT_PLAYER_H_

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

/// One worker of the stand-in, with the relay before its port.
struct SoakWorker {
  dispatch::WorkerRegistration entry;
  std::shared_ptr<scenario::Relay> relay;
};

/// What faults are done to. All must outlive the player.
struct FaultTargets {
  std::vector<std::unique_ptr<SiteProcess>>& processes;
  /// Before the store, by process.
  std::vector<std::unique_ptr<scenario::Relay>>& store_relays;
  std::vector<SoakWorker>& workers;
  fakes::FakeRowStore& rows;
  fakes::FakeTaskWorkers& worker_model;
  /// The worker says that it leaves after so long, or is gone at once, and
  /// another one comes.
  std::function<void(std::size_t worker, base::Duration stays)> replace_worker;
};

/// Begins a random fault from time to time, which ends by itself. Faults
/// overlap.
class FaultPlayer {
 public:
  FaultPlayer(base::EventLoop& loop, FaultTargets targets, std::uint64_t seed);

  /// Begins one fault.
  void Play();

  /// Ends all faults and begins none any more.
  void Heal();

  /// Starts processes that have ended, when their time is over.
  void KeepProcesses();

  int played() const { return played_; }

 private:
  void SignalProcess();
  void ChangeLink(scenario::Relay& relay);
  void DisturbStore();
  void DisturbWorker();
  int Draw(int from, int to);
  std::size_t DrawIndex(std::size_t size);
  base::Duration DrawLength();
  /// Runs `end` after a random while, or when all is healed.
  void EndLater(std::function<void()> end);

  base::EventLoop& loop_;
  FaultTargets targets_;
  base::Random random_;
  std::vector<std::function<void()>> ends_;
  bool is_healed_ = false;
  int played_ = 0;
};

}  // namespace lapishatch::soak

#endif  // LAPISHATCH_TESTING_SOAK_FAULT_PLAYER_H_
