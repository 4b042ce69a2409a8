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

/// A queued gang; ordered by submission time.
struct QueuedGang {
  base::TimePoint submitted;
  base::JobName job;

  friend auto operator<=>(const QueuedGang&, const QueuedGang&) = default;
};

/// Counter that is incremented by each event after which a gang that could not
/// start may be able to start.
using Generation = std::uint64_t;

/// Queued gangs by kind and age.
class GangQueue {
 public:
  using ShareOf = std::function<double(const base::OrganisationName&)>;
  using Visitor = std::function<bool(const base::JobName&)>;

  /// A gang is promoted by one class each time it has waited for `ageing`.
  explicit GangQueue(base::Duration ageing) : ageing_(ageing) {}

  void Add(const Gang& gang);
  void Remove(const Gang& gang);
  std::size_t size() const { return size_; }

  /// Calls `visit` with the oldest gang of each kind, in order of class, share
  /// of the organisation (evaluated again before each call) and age. When
  /// `visit` returns true, it has removed the gang from the queue, and the next
  /// gang of the kind is visited; when it returns false, the kind is skipped
  /// until the generation changes.
  void Visit(base::TimePoint now, Generation generation, const ShareOf& share,
             const Visitor& visit);

  /// Position of a gang in the queue, from 1, counting every gang of each kind.
  /// 0 when it is not queued.
  int PositionOf(const Gang& gang, base::TimePoint now,
                 const ShareOf& share) const;

  /// The oldest gang of each kind.
  std::vector<base::JobName> OldestOfEachKind() const;

  /// All queued gangs, by kind and age.
  std::vector<QueuedGang> All() const;

 private:
  /// Queued gangs of one kind.
  struct KindQueue {
    std::set<QueuedGang> gangs;
    /// Generation in which a gang of this kind last failed to start.
    Generation failed_generation = 0;
  };

  /// Sort key of a kind; the lowest is visited first.
  struct SortKey {
    int work_class = 0;
    double share = 0;
    QueuedGang oldest;
    /// Valid as long as a gang of the kind is queued.
    const GangKind* kind = nullptr;
    KindQueue* kind_queue = nullptr;

    friend bool operator<(const SortKey& a, const SortKey& b) {
      return std::tie(a.work_class, a.share, a.oldest) <
             std::tie(b.work_class, b.share, b.oldest);
    }
  };

  SortKey SortKeyOf(const GangKind& kind, const QueuedGang& queued_gang,
                    base::TimePoint now, const ShareOf& share) const;
  /// Sort key of the oldest gang of a kind.
  SortKey SortKeyOf(const GangKind& kind, KindQueue& kind_queue,
                    base::TimePoint now, const ShareOf& share) const;
  /// Work class of a gang after promotion by age; 0 is urgent.
  int AgedClassOf(base::WorkClass work_class, base::TimePoint submitted,
                  base::TimePoint now) const;

  base::Duration ageing_;
  std::size_t size_ = 0;
  std::map<GangKind, KindQueue> kind_queues_;
  /// While set, kinds are kept even when their last gang is removed.
  bool visiting_ = false;
};

}  // namespace lapishatch::placement::internal

#endif  // LAPISHATCH_PLACEMENT_INTERNAL_GANG_QUEUE_H_
