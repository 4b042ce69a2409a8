#ifndef LAPISHATCH_CONFIG_LOG_REPLICA_H_
#define LAPISHATCH_CONFIG_LOG_REPLICA_H_

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <shared_mutex>
#include <string>
#include <vector>

#include "config/log_entry.h"

namespace lapishatch::config {

/// What came of entries that were taken in.
struct Taken {
  /// Now in force, in order.
  std::vector<LogEntryPtr> entries;
  /// Entries are missing before the first of those given.
  bool gap = false;
};

/// All resources of a kind at one version.
struct Listing {
  LogVersion version = 0;
  std::vector<ResourcePtr> resources;
};

/// What one process has of one log: the resources in force, in a shard per kind
/// with its own lock, and the last entries. Entries come into force in order of
/// version, without gaps, and those of one apply all at once; the version never
/// goes back. Pure but for the locks: changed by one thread, read by any.
class LogReplica {
 public:
  LogReplica(LogId log, std::size_t history);

  LogId log() const { return log_; }

  /// Version in force. Any thread.
  LogVersion version() const;

  /// Any thread.
  ResourcePtr Find(const ResourceRef& ref) const;
  Listing List(ResourceKind kind) const;

  /// Takes consecutive entries; those known already are left out.
  Taken Take(const std::vector<LogEntryPtr>& entries);

  /// Replaces everything by a snapshot that is newer than what is in force.
  /// Returns what differs, for those who only follow; its versions are not in
  /// order. Empty when the snapshot is not newer.
  std::vector<LogEntryPtr> Install(const LogSnapshot& snapshot);

  /// The entries after `since`, or nothing when they are no longer remembered.
  /// With `since` above the version, empty.
  std::optional<std::vector<LogEntryPtr>> After(LogVersion since) const;

  /// The entry of a version, if it is remembered.
  LogEntryPtr EntryAt(LogVersion version) const;

  /// Everything, with the last entries, at most `recent`.
  LogSnapshot Snapshot(std::size_t recent) const;

 private:
  struct Shard {
    mutable std::shared_mutex mutex;
    LogVersion version = 0;
    std::map<std::string, ResourcePtr, std::less<>> resources;
  };

  static constexpr std::size_t kKinds = base::kEnumSize<ResourceKind>;

  Shard& ShardOf(ResourceKind kind) {
    return shards_[static_cast<std::size_t>(kind)];
  }
  const Shard& ShardOf(ResourceKind kind) const {
    return shards_[static_cast<std::size_t>(kind)];
  }

  template <typename Change>
  void Locked(Change change);

  void PutInForce(std::vector<LogEntryPtr>& taken);
  void Enforce(const LogEntryPtr& entry);
  void Remember(LogEntryPtr entry);

  LogId log_;
  std::size_t most_history_;
  /// Only those of the log's kinds are used.
  std::array<Shard, kKinds> shards_;
  /// Consecutive, the last of the version in force.
  std::deque<LogEntryPtr> history_;
  /// Of an apply whose last entry has not come yet.
  std::vector<LogEntryPtr> incomplete_;
};

/// The kinds that a log holds.
std::vector<ResourceKind> KindsOf(LogId log);

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_LOG_REPLICA_H_
