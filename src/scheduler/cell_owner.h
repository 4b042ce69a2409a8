#ifndef LAPISHATCH_SCHEDULER_CELL_OWNER_H_
#define LAPISHATCH_SCHEDULER_CELL_OWNER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "backends/backends.h"
#include "base/base.h"
#include "placement/placement.h"
#include "scheduler/job_feed.h"
#include "scheduler/owner_options.h"
#include "scheduler/owner_probe.h"
#include "store/store.h"

namespace lapishatch::scheduler {

/// What an owner works with. All must outlive it.
struct OwnerPorts {
  base::EventLoop& loop;
  store::Table& table;
  backends::WorkerClient& workers;
  OwnerProbe& probe;
  JobFeed& feed;
  /// May be null.
  base::MetricRegistry* metrics = nullptr;
  /// May be empty: then a cell is taken only when its lease has run out.
  GroupWord group = nullptr;
};

/// How far this process is with a cell.
enum class OwnerPhase : std::uint8_t {
  /// Another process holds the cell, or nobody yet.
  kCandidate,
  /// Holds the cell and learns what runs.
  kRecovering,
  /// Holds the cell and places work.
  kOwning,
  /// A planned stop is under way.
  kHandingOver,
  /// The planned stop is complete; the object does nothing any more.
  kStopped,
};

/// For /v1/status.
struct OwnerStatus {
  OwnerPhase phase = OwnerPhase::kCandidate;
  lifecycle::Epoch epoch = 0;
  /// Holder by the row last read or written.
  base::Incarnation holder;
  /// Why this process took the cell, while it holds it.
  std::optional<lifecycle::AcquireReason> taken;
  /// Who held it before, empty when nobody did.
  base::Incarnation taken_from;
  bool table_out = false;
  int workers = 0;
  int workers_reached = 0;
  int queued = 0;
  int gangs = 0;
  std::vector<placement::Shortfall> shortfalls;
};

/// One process's part in one cell: it waits for the cell's lease, and while it
/// holds it runs the cell. All of its logic runs on the loop, and so must its
/// construction and destruction; it may be destroyed at any moment, which is
/// the same to everybody else as the death of the process.
class CellOwner {
 public:
  CellOwner(OwnerOptions options, OwnerPorts ports);
  ~CellOwner();
  CellOwner(const CellOwner&) = delete;
  CellOwner& operator=(const CellOwner&) = delete;

  /// Begins to follow the cell's row.
  void Start();

  /// Planned stop: starts nothing new, brings gangs that are being started to
  /// an end, records, releases the row and calls `done`. Running gangs go on
  /// and are adopted by the next owner. When the table is out, `done` is called
  /// after the lease's length at the latest.
  void Stop(std::function<void()> done);

  /// Looks at the row now: another process says that it has released the cell.
  void CheckNow();

  /// The answer to another candidate's question for `holder`.
  ProbeAnswer AnswerProbe(const base::Incarnation& holder) const;

  OwnerStatus Status() const;

  /// Why a job of this cell waits or where it runs.
  placement::Explanation Explain(const base::JobName& job) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lapishatch::scheduler

namespace lapishatch::base {
template <>
struct EnumNames<scheduler::OwnerPhase> {
  static constexpr std::array<std::string_view, 5> kNames = {
      "candidate", "recovering", "owning", "handing-over", "stopped"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_SCHEDULER_CELL_OWNER_H_
