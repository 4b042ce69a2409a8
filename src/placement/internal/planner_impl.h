#ifndef LAPISHATCH_PLACEMENT_INTERNAL_PLANNER_IMPL_H_
#define LAPISHATCH_PLACEMENT_INTERNAL_PLANNER_IMPL_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "placement/internal/cell.h"
#include "placement/internal/gang_queue.h"
#include "placement/internal/gang_state.h"
#include "placement/internal/guarantee_book.h"
#include "placement/internal/place_finder.h"
#include "placement/planner.h"

namespace lapishatch::placement {

/// Implementation of Planner, by file: planner.cc the public functions,
/// planner_places.cc placement bookkeeping, planner_decide.cc the order of
/// decisions and borrowed work, planner_own.cc guaranteed work,
/// planner_evict.cc selection of victims, planner_starving.cc reservations,
/// planner_compact.cc compaction, planner_explain.cc texts for operators.
class Planner::Impl {
 public:
  explicit Impl(PlannerOptions options);

  void PutWorker(const WorkerSpec& spec);
  void RemoveWorker(const base::WorkerName& name);
  void SetHealth(const base::WorkerName& name, WorkerHealth health);
  std::string SetGuarantees(const std::vector<Guarantee>& guarantees);
  void ForceGuarantees(const std::vector<Guarantee>& guarantees);
  void SetOrganisations(const std::vector<OrganisationShare>& shares);
  std::string Submit(const Gang& gang, base::TimePoint now);
  void Adopt(const Gang& gang, const GangPlacement& placement,
             base::TimePoint started);
  void Cancel(const base::JobName& job);
  void ReportEnded(const base::JobName& job, base::TimePoint now);
  void ReportCheckpoint(const base::JobName& job, base::TimePoint now);
  void ReportUsage(const base::WorkerName& worker, int cores,
                   std::int64_t memory_mb);
  std::vector<Decision> Decide(base::TimePoint now);
  std::vector<Shortfall> Shortfalls() const;
  Explanation Explain(const base::JobName& job, base::TimePoint now) const;
  int free_accelerators() const;
  double Fragmentation(const Shape& shape) const;
  CellSnapshot Snapshot() const;

 private:
  using GangState = internal::GangState;

  /// Usage and limit of one organisation.
  struct Account {
    OrganisationShare share;
    int running = 0;
    int borrowed = 0;
  };

  /// Gangs to stop to free a place, and the work lost by that.
  struct EvictionPlan {
    bool possible = false;
    std::vector<GangState*> victims;
    double lost_work = 0;
  };

  /// Which gangs may be stopped to free a place.
  enum class Victims : std::uint8_t {
    /// Borrowed work.
    kBorrowed,
    /// Also guaranteed work that is checkpointed, and moved elsewhere.
    kMovable,
  };

  /// A place in an organisation's own guaranteed blocks.
  struct OwnPlace {
    internal::Place place;
    std::vector<internal::BlockUse> uses;
    EvictionPlan eviction_plan;
  };

  /// Data kept of an evicted gang until it runs to its end.
  struct GangHistory {
    int evictions = 0;
    /// Memory that a task was seen to need, 0 when nothing is known.
    std::int64_t memory_mb = 0;
  };

  /// A worker that uses more than it has.
  struct Overfill {
    std::int64_t memory_mb = 0;
    int cores = 0;
    /// Reports in a row with too many cores in use.
    int core_reports = 0;
    bool reported = false;
  };

  /// What decides whether a gang finds room to borrow.
  struct BorrowKey {
    int tasks = 0;
    int accelerators = 0;
    int cores = 0;
    std::int64_t memory_mb = 0;
    Adjacency adjacency = Adjacency::kRack;
    bool may_backfill = false;

    friend auto operator<=>(const BorrowKey&, const BorrowKey&) = default;
  };

  /// Capacity held back for one starving gang.
  struct Reservation {
    base::JobName job;
    internal::Place place;
  };

  GangState* FindGang(const base::JobName& job);
  const GangState* FindGang(const base::JobName& job) const;
  Account& AccountOf(const base::OrganisationName& organisation);
  void Changed() { ++generation_; }

  // planner_places.cc
  void HoldPlace(GangState& gang);
  void DropPlace(GangState& gang);
  void ClaimPlace(GangState& gang);
  void DropClaim(GangState& gang);
  void PickMasks(GangState& gang);
  void BackToQueue(GangState& gang);
  void MakeBorrowed(GangState& gang);
  bool AdoptIntoBlocks(GangState& gang);
  bool CoverWithBlocks(const GangState& gang);
  void RepairBook();
  void DetachFromBroken();
  /// Takes the gangs of a block in use off its guarantee, so that it can be
  /// placed elsewhere: they run on as borrowed, or in a block of their own.
  void VacateBlock(internal::BlockIndex block);
  std::vector<GangState*> GangsIn(internal::BlockIndex block) const;
  std::vector<internal::BlockUse> UsesFor(
      const internal::Place& place,
      const std::vector<internal::BlockIndex>& blocks) const;
  /// Gangs that have to run on as borrowed when these guarantees come in force.
  std::vector<GangState*> GangsLosingGuarantee(
      const internal::GuaranteeBook& book);
  std::string WhyInfeasible(const std::vector<Guarantee>& guarantees);
  GangPlacement PlacementOf(const GangState& gang) const;

  // planner_decide.cc
  void RefuseImpossible();
  void StartClaimed(base::TimePoint now);
  void PlaceQueued(base::TimePoint now);
  bool TryPlace(GangState& gang, base::TimePoint now);
  bool TryBorrow(GangState& gang, base::TimePoint now);
  internal::Rooms RoomsToBorrow(const GangState& gang) const;
  void Start(GangState& gang, base::TimePoint now);
  void StartOrClaim(GangState& gang, const EvictionPlan& eviction_plan,
                    const std::string& reason, base::TimePoint now);
  /// Whether a place is free now and not claimed by another gang.
  bool PhysicallyFree(const internal::Place& place) const;
  bool WithinLimit(const GangState& gang) const;
  double ShareOf(const base::OrganisationName& organisation) const;
  internal::PlaceFinder Finder() const;

  static BorrowKey BorrowKeyOf(const Gang& gang);
  /// Whether a gang like this found no room since the last change.
  bool FailedBefore(const GangState& gang);

  // planner_own.cc
  bool TryOwn(GangState& gang, bool may_evict, base::TimePoint now);
  bool TryDemote(GangState& gang, base::TimePoint now);
  void TakeOwn(GangState& gang, OwnPlace own, base::TimePoint now);
  /// What is left in blocks: most organisations have too little, which is seen
  /// without a look at the cell.
  int RoomIn(const std::vector<internal::BlockIndex>& blocks) const;
  /// What the gang is charged where it is charged least.
  int ChargeOf(const GangState& gang) const;
  internal::BlockIndex SmallestUnused(const GangState& gang) const;
  OwnPlace FindOwnPlace(const GangState& gang,
                        const std::vector<internal::BlockIndex>& blocks,
                        base::TimePoint now);
  OwnPlace OwnPlaceAt(internal::Place place,
                      const std::vector<internal::BlockIndex>& blocks,
                      base::TimePoint now);
  OwnPlace MoveWhereFree(const GangState& gang, internal::BlockIndex block,
                         base::TimePoint now);
  OwnPlace MoveWhereCheapest(const GangState& gang, internal::BlockIndex block,
                             double limit, base::TimePoint now);
  OwnPlace MoveTo(const GangState& gang, internal::BlockIndex block,
                  internal::Rooms rooms, base::TimePoint now);

  // planner_evict.cc
  void RelieveOverloadedWorkers(base::TimePoint now);
  void Evict(GangState& gang, const base::JobName& for_job, std::string reason);
  EvictionPlan PlanEvictions(const internal::Place& place, Victims allowed,
                             base::TimePoint now) const;
  static bool CanBeVictim(const GangState& gang, Victims allowed);
  double EvictionCost(internal::WorkerIndex worker, int need, Victims allowed,
                      base::TimePoint now) const;
  double LostWork(const GangState& gang, base::TimePoint now) const;
  /// Distributes the reported memory use of a worker among its gangs.
  void AttributeMemory(internal::WorkerIndex worker, std::int64_t memory_mb);
  double MemoryOn(const GangState& gang, internal::WorkerIndex worker) const;
  double DeclaredOn(const GangState& gang, internal::WorkerIndex worker) const;
  void LearnMemory(const GangState& gang, internal::WorkerIndex worker);

  // planner_starving.cc
  void ServeStarving(base::TimePoint now);
  GangState* OldestStarving(base::TimePoint now);
  bool Reserve(GangState& gang, base::TimePoint now);
  void DropReservation();
  bool IsReservationValid() const;
  /// Accelerator seconds that may be lost by others to end the gang's wait.
  double AcceptedLoss(const GangState& gang, base::TimePoint now) const;
  bool HasRunMinimumTime(const GangState& gang, base::TimePoint now) const;

  // planner_compact.cc
  void Compact(base::TimePoint now);
  /// The racks to look at this time: all in cells of ordinary size.
  std::vector<internal::RackIndex> NextRacks();
  bool TryCompact(GangState& gang,
                  const std::vector<internal::RackIndex>& racks,
                  base::TimePoint now);
  bool FitElsewhere(const std::vector<GangState*>& gangs,
                    const internal::Place& place) const;
  /// What a gang could have of a worker by stopping others.
  int Stoppable(internal::WorkerIndex worker,
                Victims allowed = Victims::kBorrowed) const;
  /// The place in one of `racks`, or across them, that loses least.
  internal::Place CheapestPlace(const GangState& gang, Victims allowed,
                                const std::vector<internal::RackIndex>& racks,
                                base::TimePoint now) const;

  // planner_explain.cc
  std::string WhyNever(const Gang& gang) const;
  std::string WhyNotOnHardware(const Gang& gang) const;
  std::string WhyNotOwn(const Gang& gang) const;
  std::string WhyWaits(const GangState& gang) const;

  PlannerOptions options_;
  internal::Cell cell_;
  internal::GuaranteeBook book_;
  std::vector<Guarantee> guarantees_;
  /// The largest guaranteed shape, which free capacity should stay able to
  /// serve.
  Shape target_shape_;
  internal::GangQueue queue_;
  std::unordered_map<base::JobName, GangState> gangs_;
  /// Running, evicting gangs, and gangs that wait for capacity, with a task on
  /// each worker.
  std::vector<std::vector<GangState*>> on_worker_;
  /// Gangs that wait for evictions, in order of arrival.
  std::vector<GangState*> awaiting_capacity_;
  std::unordered_map<base::OrganisationName, Account> accounts_;
  std::map<internal::WorkerIndex, Overfill> overfilled_;
  std::unordered_map<base::JobName, GangHistory> history_;
  /// The jobs of `history_`, oldest first, to bound it.
  std::deque<base::JobName> history_order_;
  Reservation reservation_;
  /// Gangs for which nothing to borrow was free, since `borrow_generation_`.
  std::set<BorrowKey> borrow_failures_;
  internal::Generation borrow_generation_ = 0;
  /// What an empty cell of these workers is known to hold, so that a submission
  /// seldom looks at all of them.
  mutable std::set<BorrowKey> fits_empty_cell_;
  /// When a starving gang that no place was found for is next looked at.
  base::TimePoint next_reservation_{};
  /// When gangs are next looked at that would fit if others moved.
  base::TimePoint next_compaction_{};
  /// The rack up to which gangs were last looked at for compaction.
  internal::RackIndex next_rack_ = 0;
  internal::Generation generation_ = 1;
  /// The cell's configuration changed: queued gangs may have become impossible.
  bool check_possible_ = false;
  /// A block in use has a free part on a worker that takes nothing new.
  bool has_broken_blocks_ = false;
  std::vector<Decision> decisions_;
};

}  // namespace lapishatch::placement

#endif  // LAPISHATCH_PLACEMENT_INTERNAL_PLANNER_IMPL_H_
