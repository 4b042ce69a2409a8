#ifndef LAPISHATCH_ROUTING_ORGANISATION_LIMITS_H_
#define LAPISHATCH_ROUTING_ORGANISATION_LIMITS_H_

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "base/base.h"

namespace lapishatch::routing {

/// Requests in progress by organisation at this entry, in shards that each have
/// their own lock.
class OrganisationLimits {
 public:
  /// Counts one more unless `limit` are in progress.
  bool TryAdd(const base::OrganisationName& name, std::optional<int> limit) {
    auto& shard = ShardOf(name);
    const std::lock_guard lock(shard.mutex);
    auto& n = shard.in_progress[name];
    if (limit && n >= *limit) return false;
    ++n;
    return true;
  }

  void Remove(const base::OrganisationName& name) {
    auto& shard = ShardOf(name);
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.in_progress.find(name);
    if (it == shard.in_progress.end()) return;
    if (--it->second == 0) shard.in_progress.erase(it);
  }

 private:
  static constexpr std::size_t kShards = 16;

  struct Shard {
    std::mutex mutex;
    std::unordered_map<base::OrganisationName, int> in_progress;
  };

  Shard& ShardOf(const base::OrganisationName& name) {
    return shards_[std::hash<base::OrganisationName>()(name) % kShards];
  }

  std::array<Shard, kShards> shards_;
};

}  // namespace lapishatch::routing

#endif  // LAPISHATCH_ROUTING_ORGANISATION_LIMITS_H_
