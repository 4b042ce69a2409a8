#include "placement/internal/gang_queue.h"

#include <algorithm>
#include <utility>

#include "placement/internal/gang_state.h"

namespace lapishatch::placement::internal {

GangKind KindOf(const Gang& gang) {
  return {.organisation = gang.organisation,
          .work_class = gang.work_class,
          .tasks = gang.tasks,
          .accelerators = gang.needs.accelerators,
          .cores = gang.needs.cores,
          .memory_mb = gang.needs.memory_mb,
          .adjacency = gang.adjacency,
          .may_borrow = MayBorrow(gang)};
}

void GangQueue::Add(const Gang& gang) {
  auto& kind_queue = kind_queues_[KindOf(gang)];
  if (!kind_queue.gangs.insert({gang.submitted, gang.job}).second) return;
  ++size_;
}

void GangQueue::Remove(const Gang& gang) {
  const auto it = kind_queues_.find(KindOf(gang));
  if (it == kind_queues_.end()) return;
  size_ -= it->second.gangs.erase({gang.submitted, gang.job});
  if (it->second.gangs.empty() && !visiting_) kind_queues_.erase(it);
}

int GangQueue::AgedClassOf(base::WorkClass work_class,
                           base::TimePoint submitted,
                           base::TimePoint now) const {
  const auto aged = (now - submitted) / std::max(ageing_, base::Duration(1));
  const auto own = static_cast<std::int64_t>(work_class);
  return static_cast<int>(std::max<std::int64_t>(0, own - aged));
}

GangQueue::SortKey GangQueue::SortKeyOf(const GangKind& kind,
                                        const QueuedGang& queued_gang,
                                        base::TimePoint now,
                                        const ShareOf& share) const {
  return {
      .work_class = AgedClassOf(kind.work_class, queued_gang.submitted, now),
      .share = share(kind.organisation),
      .oldest = queued_gang,
      .kind = &kind};
}

GangQueue::SortKey GangQueue::SortKeyOf(const GangKind& kind,
                                        KindQueue& kind_queue,
                                        base::TimePoint now,
                                        const ShareOf& share) const {
  auto key = SortKeyOf(kind, *kind_queue.gangs.begin(), now, share);
  key.kind_queue = &kind_queue;
  return key;
}

void GangQueue::Visit(base::TimePoint now, Generation generation,
                      const ShareOf& share, const Visitor& visit) {
  std::set<SortKey> keys;
  for (auto& [kind, kind_queue] : kind_queues_) {
    if (kind_queue.failed_generation == generation) continue;
    keys.insert(SortKeyOf(kind, kind_queue, now, share));
  }
  std::vector<const GangKind*> emptied;
  visiting_ = true;
  while (!keys.empty()) {
    auto key = std::move(keys.extract(keys.begin()).value());
    const double current_share = share(key.kind->organisation);
    if (current_share != key.share) {
      key.share = current_share;
      keys.insert(std::move(key));
      continue;
    }
    if (!visit(key.oldest.job)) {
      key.kind_queue->failed_generation = generation;
    } else if (key.kind_queue->gangs.empty()) {
      emptied.push_back(key.kind);
    } else {
      keys.insert(SortKeyOf(*key.kind, *key.kind_queue, now, share));
    }
  }
  visiting_ = false;
  for (const auto* it : emptied) {
    const auto kind_queue = kind_queues_.find(*it);
    // A gang of the kind may have been added during the visits.
    if (kind_queue->second.gangs.empty()) kind_queues_.erase(kind_queue);
  }
}

int GangQueue::PositionOf(const Gang& gang, base::TimePoint now,
                          const ShareOf& share) const {
  const auto kind = KindOf(gang);
  const QueuedGang queued_gang{gang.submitted, gang.job};
  const auto own = SortKeyOf(kind, queued_gang, now, share);
  int before = 0;
  for (const auto& [other, kind_queue] : kind_queues_) {
    for (const auto& it : kind_queue.gangs) {
      if (SortKeyOf(other, it, now, share) < own) ++before;
    }
  }
  const auto it = kind_queues_.find(kind);
  if (it == kind_queues_.end() || !it->second.gangs.contains(queued_gang)) {
    return 0;
  }
  return before + 1;
}

std::vector<base::JobName> GangQueue::OldestOfEachKind() const {
  std::vector<base::JobName> heads;
  for (const auto& it : kind_queues_) {
    heads.push_back(it.second.gangs.begin()->job);
  }
  return heads;
}

std::vector<QueuedGang> GangQueue::All() const {
  std::vector<QueuedGang> all;
  for (const auto& it : kind_queues_) {
    all.insert(all.end(), it.second.gangs.begin(), it.second.gangs.end());
  }
  return all;
}

}  // namespace lapishatch::placement::internal
