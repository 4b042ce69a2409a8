#ifndef LAPISHATCH_PLACEMENT_INTERNAL_GANG_QUEUE_H_
#define LAPISHATCH_PLACEMENT_INTERNAL_GANG_QUEUE_H_

#include <compare>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "placement/gang.h"

namespace lapishatch::placement::internal {

/// Gangs that any place suits or none: if one of them can't start now, none of
/// them can.
struct GangKind {
  base::OrganisationName organisation;
  base::WorkClass work_class = base::WorkClass::kNormal;
  int tasks = 0;
  int accelerators = 0;
  int cores = 0;
  std::int64_t memory_mb = 0;
  Adjacency adjacency = Adjacency::kRack;
  bool may_borrow = false;

  friend auto operator<=>(const GangKind&, const GangKind&) = default;
};

GangKind KindOf(const Gang& gang);

/// A waiting gang, ordered by age.
struct Waiting {
  base::TimePoint submitted;
  base::JobName job;

  friend auto operator<=>(const Waiting&, const Waiting&) = default;
};

/// What a gang's turn depends on: lower goes first.
struct Turn {
  int work_class = 0;
  double share = 0;
  base::TimePoint submitted;
  base::JobName job;

  friend auto operator<=>(const Turn&, const Turn&) = default;
};

/// The gangs that wait, by kind and age.
class GangQueue {
 public:
  /// After this much waiting a gang counts as of the next better class.
  explicit GangQueue(base::Duration ageing) : ageing_(ageing) {}

  void Add(const Gang& gang);
  void Remove(const Gang& gang);
  bool empty() const { return kinds_.empty(); }
  std::size_t size() const { return size_; }

  /// The class in which a gang waits, aged: 0 is urgent.
  int ClassOf(base::WorkClass work_class, base::TimePoint submitted,
              base::TimePoint now) const;

  /// Calls `visit` with the oldest gang of each kind, in order of class, share
  /// of the organisation (`share`, may change between calls) and age. A visit
  /// that returns true has taken the gang off the queue, and the next one of
  /// its kind follows; false passes over the kind.
  void Visit(base::TimePoint now,
             const std::function<double(const base::OrganisationName&)>& share,
             const std::function<bool(const base::JobName&)>& visit) const;

  /// All waiting gangs, by kind and age.
  std::vector<Waiting> All() const;

  const std::map<GangKind, std::set<Waiting>>& kinds() const { return kinds_; }

 private:
  base::Duration ageing_;
  std::size_t size_ = 0;
  std::map<GangKind, std::set<Waiting>> kinds_;
};

}  // namespace lapishatch::placement::internal

#endif  // LAPISHATCH_PLACEMENT_INTERNAL_GANG_QUEUE_H_
