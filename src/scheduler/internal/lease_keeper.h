#ifndef LAPISHATCH_SCHEDULER_INTERNAL_LEASE_KEEPER_H_
#define LAPISHATCH_SCHEDULER_INTERNAL_LEASE_KEEPER_H_

#include <functional>
#include <string>
#include <vector>

#include "scheduler/internal/callback_scope.h"
#include "scheduler/owner_options.h"
#include "scheduler/owner_probe.h"
#include "store/store.h"

namespace lapishatch::scheduler::internal {

/// Carries out what the machine of a cell's lease asks for: reads and writes
/// the cell's rows, asks the holder, and keeps the time.
class LeaseKeeper {
 public:
  struct Hooks {
    std::function<void(const lifecycle::LeaseGranted&)> granted;
    std::function<void(const lifecycle::LeaseLost&)> lost;
    std::function<void()> released;
  };

  LeaseKeeper(const OwnerOptions& options, base::EventLoop& loop,
              store::Table& table, OwnerProbe& probe, GroupWord group,
              Hooks hooks);
  ~LeaseKeeper();
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  void Begin();
  void Tell(const lifecycle::LeaseEvent& event);

  /// To be asked after the work and before each send. Tells the machine at once
  /// when the lease has lapsed.
  bool MayAct();

  const lifecycle::CellLease& lease() const { return lease_; }

 private:
  void Run(const std::vector<lifecycle::LeaseCommand>& commands);
  void Arm();

  void Do(const lifecycle::ReadRow& command);
  void Do(const lifecycle::WriteRow& command);
  void Do(const lifecycle::QueryHolder& command);
  void Do(const lifecycle::LeaseGranted& command);
  void Do(const lifecycle::LeaseLost& command);
  void Do(const lifecycle::LeaseReleased& command);

  void OnRow(const store::ReadResult& result);
  lifecycle::HolderSuspicion DoubtOf(const lifecycle::HolderRow& row) const;
  void OnFence(lifecycle::RowRead row, const store::ReadResult& result);
  void OnCommit(const store::CommitResult& result);
  void OnProbe(const ProbeResult& result);

  const OwnerOptions& options_;
  base::EventLoop& loop_;
  store::Table& table_;
  OwnerProbe& probe_;
  GroupWord group_;
  Hooks hooks_;
  lifecycle::CellLease lease_;
  base::TimerId timer_ = 0;
  CallbackScope scope_;
};

}  // namespace lapishatch::scheduler::internal

#endif  // LAPISHATCH_SCHEDULER_INTERNAL_LEASE_KEEPER_H_
