#ifndef LAPISHATCH_PLACEMENT_INTERNAL_GANG_QUEUE_H_
#define LAPISHATCH_PLACEMENT_INTERNAL_GANG_QUEUE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "placement/gang.h"

namespace lapishatch::placement::internal {

/// Equivalence class of gangs with the same requirements: if one of them can't
/// start now, none of them can.
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

/// A waiting gang; ordered by submission time.
struct Waiting {
  base::TimePoint submitted;
  base::JobName job;

  friend auto operator<=>(const Waiting&, const Waiting&) = default;
};

/// Counter that is incremented by each event after which a gang that could not
/// start may be able to.
using Generation = std::uint64_t;

/// The gangs that wait, by kind and age.
class GangQueue {
 public:
  using ShareOf = std::function<double(const base::OrganisationName&)>;
  using Visitor = std::function<bool(const base::JobName&)>;

  /// After this much waiting a gang counts as of the next better class.
  explicit GangQueue(base::Duration ageing) : ageing_(ageing) {}

  void Add(const Gang& gang);
  void Remove(const Gang& gang);
  std::size_t size() const { return size_; }

  /// Calls `visit` with the oldest gang of each kind, in order of class, share
  /// of the organisation (asked again as it changes) and age. A visit that
  /// returns true has taken the gang off the queue, and the next one of its
  /// kind follows; false passes over the kind until the generation changes.
  void Visit(base::TimePoint now, Generation generation, const ShareOf& share,
             const Visitor& visit);

  /// Place of a gang in the queue, from 1; the gangs of one kind count as one
  /// behind the other. 0 when it does not wait.
  int PositionOf(const Gang& gang, base::TimePoint now,
                 const ShareOf& share) const;

  /// The oldest gang of each kind.
  std::vector<base::JobName> Heads() const;

  /// All waiting gangs, by kind and age.
  std::vector<Waiting> All() const;

 private:
  struct Line {
    std::set<Waiting> gangs;
    /// When a gang of this kind last could not start.
    Generation failed = 0;
  };

  /// Sort key of a kind; the lowest is visited first.
  struct Turn {
    int work_class = 0;
    double share = 0;
    Waiting oldest;
    /// Stays as long as a gang of the kind waits.
    const GangKind* kind = nullptr;
    Line* line = nullptr;

    friend bool operator<(const Turn& a, const Turn& b) {
      return std::tie(a.work_class, a.share, a.oldest) <
             std::tie(b.work_class, b.share, b.oldest);
    }
  };

  Turn TurnOf(const GangKind& kind, const Waiting& waiting, base::TimePoint now,
              const ShareOf& share) const;
  /// The same of the oldest gang of a kind.
  Turn TurnOf(const GangKind& kind, Line& line, base::TimePoint now,
              const ShareOf& share) const;
  /// The class in which a gang waits, aged: 0 is urgent.
  int ClassOf(base::WorkClass work_class, base::TimePoint submitted,
              base::TimePoint now) const;

  base::Duration ageing_;
  std::size_t size_ = 0;
  std::map<GangKind, Line> lines_;
  /// While set, kinds are kept even when their last gang is removed.
  bool visiting_ = false;
};

}  // namespace lapishatch::placement::internal

#endif  // LAPISHATCH_PLACEMENT_INTERNAL_GANG_QUEUE_H_
