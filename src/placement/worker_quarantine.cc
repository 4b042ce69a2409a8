#include "placement/worker_quarantine.h"

#include <algorithm>

namespace lapishatch::placement {

bool WorkerQuarantine::Add(const base::WorkerName& worker,
                           std::size_t cell_size, base::TimePoint now) {
  const auto most = std::max<std::size_t>(
      1, static_cast<std::size_t>(options_.max_share *
                                  static_cast<double>(cell_size)));
  if (out_ >= most) return false;
  const auto [it, added] = entries_.try_emplace(
      worker,
      Entry{base::Backoff(options_.first, options_.longest), false, now});
  auto& entry = it->second;
  if (entry.out) return false;
  if (now - entry.when >= options_.forgiven_after) entry.backoff.Reset();
  entry.out = true;
  entry.when = now + entry.backoff.Next(random_);
  ++out_;
  return true;
}

std::vector<base::WorkerName> WorkerQuarantine::Release(base::TimePoint now) {
  std::vector<base::WorkerName> released;
  for (auto it = entries_.begin(); it != entries_.end();) {
    auto& entry = it->second;
    if (entry.out && entry.when <= now) {
      entry.out = false;
      --out_;
      released.push_back(it->first);
    }
    const bool forgiven =
        !entry.out && now - entry.when >= options_.forgiven_after;
    it = forgiven ? entries_.erase(it) : std::next(it);
  }
  return released;
}

void WorkerQuarantine::Remove(const base::WorkerName& worker) {
  const auto it = entries_.find(worker);
  if (it == entries_.end()) return;
  if (it->second.out) --out_;
  entries_.erase(it);
}

bool WorkerQuarantine::Contains(const base::WorkerName& worker) const {
  const auto it = entries_.find(worker);
  return it != entries_.end() && it->second.out;
}

base::TimePoint WorkerQuarantine::NextRelease() const {
  auto next = base::TimePoint::max();
  for (const auto& [worker, entry] : entries_) {
    if (entry.out) next = std::min(next, entry.when);
  }
  return next;
}

}  // namespace lapishatch::placement
