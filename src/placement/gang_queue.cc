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
  auto& line = lines_[KindOf(gang)];
  if (!line.gangs.insert({gang.submitted, gang.job}).second) return;
  ++size_;
}

void GangQueue::Remove(const Gang& gang) {
  const auto it = lines_.find(KindOf(gang));
  if (it == lines_.end()) return;
  size_ -= it->second.gangs.erase({gang.submitted, gang.job});
  if (it->second.gangs.empty() && !visiting_) lines_.erase(it);
}

int GangQueue::ClassOf(base::WorkClass work_class, base::TimePoint submitted,
                       base::TimePoint now) const {
  const auto aged = (now - submitted) / std::max(ageing_, base::Duration(1));
  const auto own = static_cast<std::int64_t>(work_class);
  return static_cast<int>(std::max<std::int64_t>(0, own - aged));
}

GangQueue::Turn GangQueue::TurnOf(const GangKind& kind, const Waiting& waiting,
                                  base::TimePoint now,
                                  const ShareOf& share) const {
  return {.work_class = ClassOf(kind.work_class, waiting.submitted, now),
          .share = share(kind.organisation),
          .oldest = waiting,
          .kind = &kind};
}

GangQueue::Turn GangQueue::TurnOf(const GangKind& kind, Line& line,
                                  base::TimePoint now,
                                  const ShareOf& share) const {
  auto turn = TurnOf(kind, *line.gangs.begin(), now, share);
  turn.line = &line;
  return turn;
}

void GangQueue::Visit(base::TimePoint now, Generation generation,
                      const ShareOf& share, const Visitor& visit) {
  std::set<Turn> turns;
  for (auto& [kind, line] : lines_) {
    if (line.failed == generation) continue;
    turns.insert(TurnOf(kind, line, now, share));
  }
  std::vector<const GangKind*> emptied;
  visiting_ = true;
  while (!turns.empty()) {
    auto turn = std::move(turns.extract(turns.begin()).value());
    const double present_share = share(turn.kind->organisation);
    if (present_share != turn.share) {
      turn.share = present_share;
      turns.insert(std::move(turn));
      continue;
    }
    if (!visit(turn.oldest.job)) {
      turn.line->failed = generation;
    } else if (turn.line->gangs.empty()) {
      emptied.push_back(turn.kind);
    } else {
      turns.insert(TurnOf(*turn.kind, *turn.line, now, share));
    }
  }
  visiting_ = false;
  for (const auto* it : emptied) {
    const auto line = lines_.find(*it);
    // A gang of the kind may have come back meanwhile.
    if (line->second.gangs.empty()) lines_.erase(line);
  }
}

int GangQueue::PositionOf(const Gang& gang, base::TimePoint now,
                          const ShareOf& share) const {
  const auto kind = KindOf(gang);
  const Waiting waiting{gang.submitted, gang.job};
  const auto own = TurnOf(kind, waiting, now, share);
  int before = 0;
  for (const auto& [other, line] : lines_) {
    for (const auto& it : line.gangs) {
      if (TurnOf(other, it, now, share) < own) ++before;
    }
  }
  const auto it = lines_.find(kind);
  if (it == lines_.end() || !it->second.gangs.contains(waiting)) return 0;
  return before + 1;
}

std::vector<base::JobName> GangQueue::Heads() const {
  std::vector<base::JobName> heads;
  for (const auto& it : lines_) {
    heads.push_back(it.second.gangs.begin()->job);
  }
  return heads;
}

std::vector<Waiting> GangQueue::All() const {
  std::vector<Waiting> all;
  for (const auto& it : lines_) {
    all.insert(all.end(), it.second.gangs.begin(), it.second.gangs.end());
  }
  return all;
}

}  // namespace lapishatch::placement::internal
