#include "placement/internal/gang_queue.h"

#include <algorithm>

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
  const bool added =
      kinds_[KindOf(gang)].insert({gang.submitted, gang.job}).second;
  if (added) ++size_;
}

void GangQueue::Remove(const Gang& gang) {
  const auto it = kinds_.find(KindOf(gang));
  if (it == kinds_.end()) return;
  size_ -= it->second.erase({gang.submitted, gang.job});
  if (it->second.empty()) kinds_.erase(it);
}

int GangQueue::ClassOf(base::WorkClass work_class, base::TimePoint submitted,
                       base::TimePoint now) const {
  const auto aged = (now - submitted) / std::max(ageing_, base::Duration(1));
  const auto own = static_cast<std::int64_t>(work_class);
  return static_cast<int>(std::max<std::int64_t>(0, own - aged));
}

void GangQueue::Visit(
    base::TimePoint now,
    const std::function<double(const base::OrganisationName&)>& share,
    const std::function<bool(const base::JobName&)>& visit) const {
  struct Head {
    Turn turn;
    GangKind kind;

    auto operator<=>(const Head&) const = default;
  };
  std::set<Head> heads;
  const auto push = [&](const GangKind& kind) {
    const auto it = kinds_.find(kind);
    if (it == kinds_.end()) return;
    const auto& oldest = *it->second.begin();
    heads.insert(
        {{.work_class = ClassOf(kind.work_class, oldest.submitted, now),
          .share = share(kind.organisation),
          .submitted = oldest.submitted,
          .job = oldest.job},
         kind});
  };
  for (const auto& it : kinds_) push(it.first);
  while (!heads.empty()) {
    auto head = *heads.begin();
    heads.erase(heads.begin());
    const double now_share = share(head.kind.organisation);
    if (now_share != head.turn.share) {
      head.turn.share = now_share;
      heads.insert(std::move(head));
      continue;
    }
    if (visit(head.turn.job)) push(head.kind);
  }
}

std::vector<Waiting> GangQueue::All() const {
  std::vector<Waiting> all;
  for (const auto& it : kinds_) {
    all.insert(all.end(), it.second.begin(), it.second.end());
  }
  return all;
}

}  // namespace lapishatch::placement::internal
