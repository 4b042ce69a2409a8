#ifndef LAPISHATCH_SCHEDULER_MAIN_STATUS_TAP_H_
#define LAPISHATCH_SCHEDULER_MAIN_STATUS_TAP_H_

#include <functional>
#include <string>

#include "config/config.h"
#include "scheduler/scheduler.h"
#include "store/store.h"

namespace lapishatch::scheduler_main {

/// The table as a cell's owner uses it, with an ear for status rows: whatever
/// the owner writes or reads of them is handed on. An owner reads the rows of
/// all its jobs when it takes a cell, so what its predecessor recorded and had
/// no time to tell is told then.
class StatusTap final : public store::Table {
 public:
  using OnStatus =
      std::function<void(base::JobName, config::JobStatus, store::RowVersion)>;

  /// `table` must outlive it; `on_status` is called on any thread.
  StatusTap(store::Table& table, OnStatus on_status)
      : table_(table), on_status_(std::move(on_status)) {}

  void Commit(store::Transaction transaction,
              std::function<void(store::CommitResult)> done) override;
  void Read(std::string key,
            std::function<void(store::ReadResult)> done) override;
  void Scan(std::string prefix, std::string after, std::size_t limit,
            std::function<void(store::ScanResult)> done) override;

 private:
  store::Table& table_;
  OnStatus on_status_;
};

}  // namespace lapishatch::scheduler_main

#endif  // LAPISHATCH_SCHEDULER_MAIN_STATUS_TAP_H_
