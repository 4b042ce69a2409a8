#ifndef LAPISHATCH_PLACEMENT_PLANNER_H_
#define LAPISHATCH_PLACEMENT_PLANNER_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "placement/cell_snapshot.h"
#include "placement/gang.h"
#include "placement/shape.h"

namespace lapishatch::placement {

/// Start this queued gang here. The place is allocated from now on; the caller
/// calls ReportEnded when it is free again, also when the start has failed.
struct StartGang {
  base::JobName job;
  GangPlacement placement;
};

/// Stop this running borrowed gang (checkpoint first when it can) because
/// `for_job` is entitled to its capacity, or because its worker is overloaded.
/// The planner starts `for_job` once ReportEnded is reported for every gang it
/// evicts for it.
struct EvictGang {
  base::JobName job;
  base::JobName for_job;
  std::string reason;
};

/// This gang can never run in this cell as it is now configured.
struct RefuseGang {
  base::JobName job;
  std::string reason;
};

using Decision = std::variant<StartGang, EvictGang, RefuseGang>;

/// A guarantee that the healthy hardware cannot hold any more (after worker
/// losses).
struct Shortfall {
  base::OrganisationName organisation;
  Shape shape;
  /// Blocks of that shape that cannot be placed even if all borrowed work were
  /// evicted.
  int missing = 0;
};

/// Fair-share weight and limit of an organisation.
struct OrganisationShare {
  base::OrganisationName organisation;
  /// Weight in the fair share of borrowed capacity; 1 is the default.
  double weight = 1;
  /// Most accelerators it may have running at once; nothing means no limit.
  std::optional<int> running_accelerators_limit = std::nullopt;
};

/// State of a gang and the reason for it, as text for operators.
struct Explanation {
  /// "queued", "running", "evicting" or "unknown job".
  std::string state;
  std::string reason;
  /// Position in the queue from 1; 0 when it does not wait.
  int queue_position = 0;
};

struct PlannerOptions {
  /// Most of a cell's workers that may be quarantined at once, as a share of
  /// all.
  double max_quarantined_share = 0.2;
  /// A gang that has waited this long gets a reservation, whose capacity
  /// backfill may no longer take.
  base::Duration starvation_after{600'000};
  /// Waiting time after which a gang is promoted by one class.
  base::Duration ageing_after{3'600'000};
  std::uint64_t seed = 1;
};

/// The planner of one cell: assigns gangs to workers, tracks guaranteed
/// capacity and selects gangs to evict. It takes events and the time and
/// returns decisions, and uses no I/O, clock or threads. Its invariant, after
/// every call: every organisation's unused guaranteed shapes can be placed at
/// once by evicting only borrowed work, except where a Shortfall says that
/// hardware is missing.
class Planner {
 public:
  explicit Planner(PlannerOptions options);
  ~Planner();
  Planner(Planner&&) noexcept;
  Planner& operator=(Planner&&) noexcept;

  /// Adds a worker, or changes one (a change of size or rack is a removal and a
  /// new one).
  void PutWorker(const WorkerSpec& worker);

  /// Removes a worker; gangs with a task there stay until ReportEnded is
  /// reported for them.
  void RemoveWorker(const base::WorkerName& worker);

  void SetHealth(const base::WorkerName& worker, WorkerHealth health);

  /// Applies the guarantees if the workers of this cell can hold them all.
  /// Returns, without changing anything, why they cannot all be placed; empty
  /// when they are in force.
  std::string SetGuarantees(const std::vector<Guarantee>& guarantees);

  /// As SetGuarantees, but keeps what cannot be placed as a Shortfall: for
  /// guarantees accepted before hardware was lost.
  void ForceGuarantees(const std::vector<Guarantee>& guarantees);

  void SetOrganisations(const std::vector<OrganisationShare>& shares);

  /// Puts a gang into the queue. Returns why it can never run here, or an empty
  /// text.
  std::string Submit(const Gang& gang, base::TimePoint now);

  /// Registers a gang that already runs at this placement, found by a new owner
  /// of the cell.
  void Adopt(const Gang& gang, const GangPlacement& placement,
             base::TimePoint started);

  /// Removes a queued gang. The caller stops a running one and then calls
  /// ReportEnded.
  void Cancel(const base::JobName& job);

  /// Reports that a started or evicted gang has released its capacity. An
  /// evicted one that is to run again is submitted again by the caller, with
  /// its first submission time.
  void ReportEnded(const base::JobName& job, base::TimePoint now);

  /// A running gang has a complete checkpoint as of `now`: evicting it loses
  /// only what it did since.
  void ReportCheckpoint(const base::JobName& job, base::TimePoint now);

  /// Reports the measured use of all tasks on a worker, which may lag. Decide
  /// returns evictions when the worker is about to run out of memory or cores.
  void ReportUsage(const base::WorkerName& worker, int cores,
                   std::int64_t memory_mb);

  /// Returns all decisions that are due at `now`. Deterministic for the same
  /// sequence of calls.
  std::vector<Decision> Decide(base::TimePoint now);

  std::vector<Shortfall> Shortfalls() const;

  Explanation Explain(const base::JobName& job, base::TimePoint now) const;

  /// Free accelerators on healthy workers.
  int free_accelerators() const;

  /// Share, from 0 to 1, of the free accelerators that cannot serve `shape`.
  double Fragmentation(const Shape& shape) const;

  /// Checks the invariant without the planner's own counters (slow, for tests).
  /// Returns a description of the violation, or an empty string.
  std::string CheckInvariant() const;

  /// State of the cell as plain data, for CheckCellInvariant and for reports.
  CellSnapshot Snapshot() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lapishatch::placement

#endif  // LAPISHATCH_PLACEMENT_PLANNER_H_
