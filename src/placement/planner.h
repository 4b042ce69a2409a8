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

/// Start this queued gang here. The planner holds the place from now on; the
/// caller reports Ended (or StartFailed) when it is free again.
struct StartGang {
  base::JobName job;
  GangPlacement placement;
};

/// Stop this running borrowed gang (checkpoint first when it can) because
/// `for_job` is owed its place, or because its worker must be relieved. The
/// planner starts `for_job` once ReportEnded is reported for every gang it
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

/// An organisation as the queue sees it.
struct OrganisationShare {
  base::OrganisationName organisation;
  /// Weight of its fair share of what is borrowed, 1 is ordinary.
  double weight = 1;
  /// Most accelerators it may have running at once; nothing means no limit.
  std::optional<int> running_accelerators_limit = std::nullopt;
};

/// Why a gang waits or where it runs, for people.
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
  /// A gang that has waited so long gets a reservation: backfill may no longer
  /// take what it waits for.
  base::Duration starvation_after{600'000};
  /// After so much waiting a gang counts as of the next better class.
  base::Duration ageing_after{3'600'000};
  std::uint64_t seed = 1;
};

/// The planner of one cell: which gang runs where, whose capacity it is, and
/// what is evicted for whom. Pure: it takes events and the time and returns
/// decisions; no I/O, clock or threads. Its invariant, after every call: every
/// organisation's unused guaranteed shapes can be placed at once by evicting
/// only borrowed work, except where a Shortfall says that hardware is missing.
class Planner {
 public:
  explicit Planner(PlannerOptions options);
  ~Planner();
  Planner(Planner&&) noexcept;
  Planner& operator=(Planner&&) noexcept;

  /// Adds a worker, or changes one (a change of size or rack is a removal and a
  /// new one).
  void PutWorker(const WorkerSpec& worker);

  /// Forgets a worker; gangs with a task there stay until ReportEnded is
  /// reported for them.
  void RemoveWorker(const base::WorkerName& worker);

  void SetHealth(const base::WorkerName& worker, WorkerHealth health);

  /// Puts the guarantees in force that the given workers of this cell can hold.
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

  /// Takes into account a gang that already runs at this place, found by a new
  /// owner.
  void Adopt(const Gang& gang, const GangPlacement& placement,
             base::TimePoint started);

  /// Removes a queued gang; a running one the caller stops, and then reports
  /// Ended.
  void Cancel(const base::JobName& job);

  /// A started or evicted gang holds its place no longer. An evicted one that
  /// is to run again is submitted again by the caller, with its first
  /// submission time.
  void ReportEnded(const base::JobName& job, base::TimePoint now);

  /// A running gang has a complete checkpoint as of `now`: evicting it loses
  /// only what it did since.
  void ReportCheckpoint(const base::JobName& job, base::TimePoint now);

  /// Late usage reports: what the tasks on a worker really take. The planner
  /// answers with evictions from Decide when the worker is about to be
  /// overfilled.
  void ReportUsage(const base::WorkerName& worker, int cores,
                   std::int64_t memory_mb);

  /// Everything that should happen now. Deterministic for the same history.
  std::vector<Decision> Decide(base::TimePoint now);

  std::vector<Shortfall> Shortfalls() const;

  Explanation Explain(const base::JobName& job, base::TimePoint now) const;

  /// Free accelerators on healthy workers.
  int free_accelerators() const;

  /// Share, from 0 to 1, of the free accelerators that cannot serve `shape`.
  double Fragmentation(const Shape& shape) const;

  /// The invariant, checked from first principles (slow: for tests). Returns
  /// what is broken, or empty.
  std::string CheckInvariant() const;

  /// The cell as plain snapshot, for CheckCellInvariant and for reports.
  CellSnapshot Snapshot() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lapishatch::placement

#endif  // LAPISHATCH_PLACEMENT_PLANNER_H_
