#ifndef LAPISHATCH_PLACEMENT_INTERNAL_PLANNER_IMPL_H_
#define LAPISHATCH_PLACEMENT_INTERNAL_PLANNER_IMPL_H_

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "placement/internal/cell.h"
#include "placement/internal/gang_queue.h"
#include "placement/internal/gang_state.h"
#include "placement/internal/guarantee_book.h"
#include "placement/planner.h"

namespace lapishatch::placement {

/// What stands behind Planner. Verbs are in planner.cc, the decisions in
/// planner_decide.cc, what is said to people in planner_explain.cc.
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
  void Ended(const base::JobName& job, base::TimePoint now);
  void ReportUsage(const base::WorkerName& worker, int cores,
                   std::int64_t memory_mb);
  std::vector<Decision> Decide(base::TimePoint now);
  std::vector<Shortfall> Shortfalls() const { return book_.Shortfalls(); }
  Explanation Explain(const base::JobName& job, base::TimePoint now) const;
  int free_accelerators() const;
  double Fragmentation(const Shape& shape) const;
  CellFacts Facts() const;

 private:
  /// What an organisation has running, and may have.
  struct Account {
    OrganisationShare share;
    int running = 0;
    int borrowed = 0;
  };

  /// Gangs to evict so that a place is free, and what that loses.
  struct Clearing {
    bool possible = false;
    std::vector<internal::GangState*> victims;
    double lost_work = 0;
  };

  /// A place in an organisation's own guaranteed blocks.
  struct OwnPlace {
    internal::Place place;
    std::vector<internal::BlockUse> uses;
    Clearing clearing;
  };

  internal::GangState* FindGang(const base::JobName& job);
  const internal::GangState* FindGang(const base::JobName& job) const;
  Account& AccountOf(const base::OrganisationName& organisation);

  // Taking and giving back places.
  void HoldPlace(internal::GangState& gang);
  void DropPlace(internal::GangState& gang);
  void ClaimPlace(internal::GangState& gang);
  void DropClaim(internal::GangState& gang);
  void PickMasks(internal::GangState& gang);
  void BackToQueue(internal::GangState& gang);
  bool AdoptIntoBlock(internal::GangState& gang);
  void RepairBook();
  /// Gangs whose guarantee was taken back run on as borrowed, if they can.
  void LeaveRetiringBlocks();

  // Deciding.
  void RelieveWorkers(base::TimePoint now);
  void StartArrivals(base::TimePoint now);
  void RefuseImpossible();
  void PlaceQueued(base::TimePoint now);
  bool TryPlace(internal::GangState& gang, base::TimePoint now);
  bool TryOwn(internal::GangState& gang, base::TimePoint now);
  bool TryBorrow(internal::GangState& gang, base::TimePoint now);
  OwnPlace FindOwnPlace(const internal::GangState& gang,
                        const std::vector<internal::BlockIndex>& blocks,
                        base::TimePoint now);
  std::vector<internal::BlockUse> UsesFor(
      const internal::Place& place,
      const std::vector<internal::BlockIndex>& blocks) const;
  Clearing Clear(const internal::Place& place, base::TimePoint now);
  double LostWork(const internal::GangState& gang, base::TimePoint now) const;
  void Start(internal::GangState& gang, base::TimePoint now);
  void Evict(internal::GangState& gang, const base::JobName& for_job,
             std::string reason);
  bool PhysicallyFree(const internal::Place& place) const;
  bool WithinLimit(const internal::GangState& gang) const;
  double ShareOf(const base::OrganisationName& organisation) const;
  GangPlacement PlacementOf(const internal::GangState& gang) const;

  // Saying why.
  std::string WhyNever(const Gang& gang) const;
  std::string WhyNotOnHardware(const Gang& gang) const;
  std::string WhyNotOwn(const Gang& gang) const;
  std::string WhyWaits(const internal::GangState& gang) const;

  PlannerOptions options_;
  internal::Cell cell_;
  internal::GuaranteeBook book_;
  std::vector<Guarantee> guarantees_;
  internal::GangQueue queue_;
  std::unordered_map<base::JobName, internal::GangState> gangs_;
  /// Running, evicting and arriving gangs with a task on each worker.
  std::vector<std::vector<internal::GangState*>> on_worker_;
  /// Gangs that wait for evictions, in order of arrival.
  std::vector<internal::GangState*> arriving_;
  std::map<base::OrganisationName, Account> accounts_;
  /// Workers over their memory by the last report, and by how much.
  std::map<internal::WorkerIndex, std::int64_t> overfilled_;
  /// The cell's configuration changed: queued gangs may have become impossible.
  bool check_possible_ = false;
  std::vector<Decision> decisions_;
};

}  // namespace lapishatch::placement

#endif  // LAPISHATCH_PLACEMENT_INTERNAL_PLANNER_IMPL_H_
