#include "placement/worker_quarantine.h"

#include <algorithm>

namespace lapishatch::placement {

bool WorkerQuarantine::Add(const base::WorkerName& worker,
                           std::size_t cell_size, base::TimePoint now) {
  const auto max_quarantined = std::max<std::size_t>(
      1, static_cast<std::size_t>(options_.max_share *
                                  static_cast<double>(cell_size)));
  if (quarantined_count_ >= max_quarantined) return false;
  const auto [it, added] = entries_.try_emplace(
      worker,
      Entry{base::Backoff(options_.initial_duration, options_.max_duration),
            false, now});
  auto& entry = it->second;
  if (entry.quarantined) return false;
  if (now - entry.changes_at >= options_.reset_after) entry.backoff.Reset();
  entry.quarantined = true;
  entry.changes_at = now + entry.backoff.Next(random_);
  ++quarantined_count_;
  return true;
}

std::vector<base::WorkerName> WorkerQuarantine::ReleaseExpired(
    base::TimePoint now) {
  std::vector<base::WorkerName> released;
  for (auto it = entries_.begin(); it != entries_.end();) {
    auto& entry = it->second;
    if (entry.quarantined && entry.changes_at <= now) {
      entry.quarantined = false;
      --quarantined_count_;
      released.push_back(it->first);
    }
    const bool expired =
        !entry.quarantined && now - entry.changes_at >= options_.reset_after;
    it = expired ? entries_.erase(it) : std::next(it);
  }
  return released;
}

void WorkerQuarantine::Remove(const base::WorkerName& worker) {
  const auto it = entries_.find(worker);
  if (it == entries_.end()) return;
  if (it->second.quarantined) --quarantined_count_;
  entries_.erase(it);
}

bool WorkerQuarantine::Contains(const base::WorkerName& worker) const {
  const auto it = entries_.find(worker);
  return it != entries_.end() && it->second.quarantined;
}

base::TimePoint WorkerQuarantine::NextRelease() const {
  auto next = base::TimePoint::max();
  for (const auto& [worker, entry] : entries_) {
    if (entry.quarantined) next = std::min(next, entry.changes_at);
  }
  return next;
}

}  // namespace lapishatch::placement
