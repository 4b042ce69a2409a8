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
/// decisions and borrowed work, planner_guaranteed.cc guaranteed work,
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
    /// Also guaranteed work that can be checkpointed and moved elsewhere.
    kMovable,
  };

  /// A place in an organisation's own guaranteed blocks.
  struct GuaranteedPlace {
    internal::Place place;
    std::vector<internal::BlockUse> block_uses;
    EvictionPlan eviction_plan;
  };

  /// Data of an evicted gang, kept until it ends without an eviction.
  struct GangHistory {
    int evictions = 0;
    /// Measured memory use of a task; 0 when unknown.
    std::int64_t memory_mb = 0;
  };

  /// Measured use of a worker beyond its limits.
  struct WorkerOverload {
    std::int64_t memory_mb = 0;
    int cores = 0;
    /// Consecutive reports with too many cores in use.
    int core_reports = 0;
    bool reported = false;
  };

  /// Properties that determine whether a gang can find borrowed capacity.
  struct BorrowKey {
    int tasks = 0;
    int accelerators = 0;
    int cores = 0;
    std::int64_t memory_mb = 0;
    Adjacency adjacency = Adjacency::kRack;
    bool may_backfill = false;

    friend auto operator<=>(const BorrowKey&, const BorrowKey&) = default;
  };

  /// Capacity reserved for one starving gang.
  struct Reservation {
    base::JobName job;
    internal::Place place;
  };

  GangState* FindGang(const base::JobName& job);
  const GangState* FindGang(const base::JobName& job) const;
  Account& AccountOf(const base::OrganisationName& organisation);
  void IncrementGeneration() { ++generation_; }

  // planner_places.cc
  void AllocatePlace(GangState& gang);
  void ReleasePlace(GangState& gang);
  void ClaimPlace(GangState& gang);
  void ReleaseClaim(GangState& gang);
  void AssignAccelerators(GangState& gang);
  void ReturnToQueue(GangState& gang);
  void MakeBorrowed(GangState& gang);
  bool AdoptIntoBlocks(GangState& gang);
  bool CoverWithBlocks(const GangState& gang);
  void RepairBook();
  void VacateBrokenBlocks();
  /// Removes the gangs of a block in use from its guarantee, so that it can be
  /// placed elsewhere: evictable gangs continue as borrowed, others in a
  /// retiring block.
  void VacateBlock(internal::BlockIndex block);
  std::vector<GangState*> GangsIn(internal::BlockIndex block) const;
  std::vector<internal::BlockUse> BlockUsesFor(
      const internal::Place& place,
      const std::vector<internal::BlockIndex>& blocks) const;
  /// Gangs that lose their place in a block when these guarantees take effect:
  /// running ones continue as borrowed, others return to the queue.
  std::vector<GangState*> GangsLosingGuarantee(
      const internal::GuaranteeBook& book);
  std::string InfeasibilityReason(const std::vector<Guarantee>& guarantees);
  GangPlacement PlacementOf(const GangState& gang) const;

  // planner_decide.cc
  void RefuseImpossible();
  void StartClaimed(base::TimePoint now);
  void PlaceQueued(base::TimePoint now);
  bool TryPlace(GangState& gang, base::TimePoint now);
  bool TryBorrow(GangState& gang, base::TimePoint now);
  internal::Offers OffersToBorrow(const GangState& gang) const;
  void Start(GangState& gang, base::TimePoint now);
  void StartOrClaim(GangState& gang, const EvictionPlan& eviction_plan,
                    const std::string& reason, base::TimePoint now);
  /// Whether a place is free now and not claimed by another gang.
  bool IsPhysicallyFree(const internal::Place& place) const;
  bool IsWithinLimit(const GangState& gang) const;
  double ShareOf(const base::OrganisationName& organisation) const;
  internal::PlaceFinder MakeFinder() const;

  static BorrowKey BorrowKeyOf(const Gang& gang);
  /// Whether a gang with the same key failed to borrow in this generation.
  bool HasFailedToBorrow(const GangState& gang);

  // planner_guaranteed.cc
  bool TryGuaranteed(GangState& gang, bool may_evict, base::TimePoint now);
  bool TryTakeOverBlock(GangState& gang, base::TimePoint now);
  void UseGuaranteedPlace(GangState& gang, GuaranteedPlace guaranteed_place,
                          base::TimePoint now);
  /// Unused accelerators in blocks. Most organisations have too few, which is
  /// detected without reading the cell's workers.
  int FreeCapacityIn(const std::vector<internal::BlockIndex>& blocks) const;
  /// Charge of the gang on the worker type with the smallest charge.
  int MinimumCharge(const GangState& gang) const;
  internal::BlockIndex SmallestUnusedBlock(const GangState& gang) const;
  GuaranteedPlace FindGuaranteedPlace(
      const GangState& gang, const std::vector<internal::BlockIndex>& blocks,
      base::TimePoint now);
  GuaranteedPlace MakeGuaranteedPlace(
      internal::Place place, const std::vector<internal::BlockIndex>& blocks,
      base::TimePoint now);
  GuaranteedPlace MoveBlockToFreePlace(const GangState& gang,
                                       internal::BlockIndex block,
                                       base::TimePoint now);
  GuaranteedPlace MoveBlockToCheapestPlace(const GangState& gang,
                                           internal::BlockIndex block,
                                           double limit, base::TimePoint now);
  GuaranteedPlace MoveBlockWithin(const GangState& gang,
                                  internal::BlockIndex block,
                                  internal::Offers offers, base::TimePoint now);

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
  double DeclaredMemoryOn(const GangState& gang,
                          internal::WorkerIndex worker) const;
  void RecordMemoryUse(const GangState& gang, internal::WorkerIndex worker);

  // planner_starving.cc
  void PlaceStarvingGang(base::TimePoint now);
  GangState* OldestStarving(base::TimePoint now);
  bool Reserve(GangState& gang, base::TimePoint now);
  void DropReservation();
  bool IsReservationValid() const;
  /// Accelerator seconds of other gangs' work that may be lost to start the
  /// gang.
  double AcceptedLoss(const GangState& gang, base::TimePoint now) const;
  bool HasRunMinimumTime(const GangState& gang, base::TimePoint now) const;

  // planner_compact.cc
  void Compact(base::TimePoint now);
  /// The racks to examine in this run: all, except in very large cells.
  std::vector<internal::RackIndex> NextRacks();
  bool TryCompact(GangState& gang,
                  const std::vector<internal::RackIndex>& racks,
                  base::TimePoint now);
  bool FitElsewhere(const std::vector<GangState*>& gangs,
                    const internal::Place& place) const;
  /// Accelerators that a gang can get on a worker by evicting others.
  int ReclaimableOn(internal::WorkerIndex worker,
                    Victims allowed = Victims::kBorrowed) const;
  /// The place in one of `racks`, or across them, whose evictions lose the
  /// least work.
  internal::Place CheapestPlace(const GangState& gang, Victims allowed,
                                const std::vector<internal::RackIndex>& racks,
                                base::TimePoint now) const;

  // planner_explain.cc
  std::string RefusalReason(const Gang& gang) const;
  std::string HardwareRefusalReason(const Gang& gang) const;
  std::string GuaranteeRefusalReason(const Gang& gang) const;
  std::string WaitReason(const GangState& gang) const;

  PlannerOptions options_;
  internal::Cell cell_;
  internal::GuaranteeBook book_;
  std::vector<Guarantee> guarantees_;
  /// The largest guaranteed shape, which free capacity should stay able to
  /// serve.
  Shape target_shape_;
  internal::GangQueue queue_;
  std::unordered_map<base::JobName, GangState> gangs_;
  /// Running and evicting gangs, and gangs that wait for capacity, with a task
  /// on each worker.
  std::vector<std::vector<GangState*>> gangs_by_worker_;
  /// Gangs that wait for evictions, in order of arrival.
  std::vector<GangState*> awaiting_capacity_;
  std::unordered_map<base::OrganisationName, Account> accounts_;
  std::map<internal::WorkerIndex, WorkerOverload> overloads_;
  std::unordered_map<base::JobName, GangHistory> history_;
  /// The jobs of `history_`, oldest first, to bound it.
  std::deque<base::JobName> history_order_;
  Reservation reservation_;
  /// Keys of gangs that failed to borrow in `borrow_generation_`.
  std::set<BorrowKey> borrow_failures_;
  internal::Generation borrow_generation_ = 0;
  /// Keys of gangs that are known to fit an empty cell of these workers, so
  /// that few submissions examine all workers.
  mutable std::set<BorrowKey> fits_empty_cell_;
  /// Time of the next search for a place to reserve.
  base::TimePoint next_reservation_{};
  /// Time of the next compaction.
  base::TimePoint next_compaction_{};
  /// The last rack that NextRacks returned.
  internal::RackIndex last_rack_ = 0;
  internal::Generation generation_ = 1;
  /// The cell's configuration changed: queued gangs may have become impossible.
  bool recheck_feasibility_ = false;
  /// A block in use may have a free part on a worker that accepts no new tasks.
  bool has_broken_blocks_ = false;
  std::vector<Decision> decisions_;
};

}  // namespace lapishatch::placement

#endif  // LAPISHATCH_PLACEMENT_INTERNAL_PLANNER_IMPL_H_
