#include "config/log_replica.h"

#include <mutex>
#include <utility>

namespace lapishatch::config {
namespace {

/// An entry for a follower that is told of a difference.
LogEntryPtr Difference(LogVersion version, EntryType type,
                       const ResourcePtr& resource) {
  auto entry = std::make_shared<LogEntry>();
  entry->version = version;
  entry->type = type;
  entry->resource = resource;
  return entry;
}

/// Whether the entries are consecutive up to `version`.
bool EndsAt(const std::vector<LogEntryPtr>& entries, LogVersion version) {
  auto expected = version - entries.size();
  for (const auto& entry : entries) {
    if (entry->version != ++expected) return false;
  }
  return true;
}

}  // namespace

std::vector<ResourceKind> KindsOf(LogId log) {
  std::vector<ResourceKind> kinds;
  for (std::size_t i = 0; i < base::kEnumSize<ResourceKind>; ++i) {
    const auto kind = static_cast<ResourceKind>(i);
    if (LogOf(kind) == log) kinds.push_back(kind);
  }
  return kinds;
}

LogReplica::LogReplica(LogId log, std::size_t history)
    : log_(log), most_history_(history) {}

LogVersion LogReplica::version() const {
  const auto& shard = ShardOf(KindsOf(log_).front());
  const std::shared_lock lock(shard.mutex);
  return shard.version;
}

ResourcePtr LogReplica::Find(const ResourceRef& ref) const {
  const auto& shard = ShardOf(ref.kind);
  const std::shared_lock lock(shard.mutex);
  const auto it = shard.resources.find(ref.name);
  return it == shard.resources.end() ? nullptr : it->second;
}

Listing LogReplica::List(ResourceKind kind) const {
  const auto& shard = ShardOf(kind);
  const std::shared_lock lock(shard.mutex);
  Listing listing{shard.version, {}};
  listing.resources.reserve(shard.resources.size());
  for (const auto& [name, resource] : shard.resources) {
    listing.resources.push_back(resource);
  }
  return listing;
}

Taken LogReplica::Take(const std::vector<LogEntryPtr>& entries) {
  Taken taken;
  for (const auto& entry : entries) {
    const auto have =
        incomplete_.empty() ? version() : incomplete_.back()->version;
    if (entry->version <= have) continue;
    if (entry->version > have + 1) {
      taken.gap = true;
      break;
    }
    incomplete_.push_back(entry);
    if (!entry->more) PutInForce(taken.entries);
  }
  return taken;
}

/// All shards of the log are locked together, in order of kind, so that no
/// reader sees a part of an apply.
template <typename Change>
void LogReplica::Locked(Change change) {
  std::vector<std::unique_lock<std::shared_mutex>> locks;
  for (const auto kind : KindsOf(log_)) {
    locks.emplace_back(ShardOf(kind).mutex);
  }
  change();
}

void LogReplica::PutInForce(std::vector<LogEntryPtr>& taken) {
  const auto entries = std::exchange(incomplete_, {});
  const auto last = entries.back()->version;
  Locked([&] {
    for (const auto& entry : entries) Enforce(entry);
    for (const auto kind : KindsOf(log_)) ShardOf(kind).version = last;
  });
  for (const auto& entry : entries) Remember(entry);
  taken.insert(taken.end(), entries.begin(), entries.end());
}

void LogReplica::Enforce(const LogEntryPtr& entry) {
  const auto& ref = entry->resource->ref;
  auto& resources = ShardOf(ref.kind).resources;
  if (entry->type == EntryType::kPut) {
    resources[ref.name] = entry->resource;
  } else {
    resources.erase(ref.name);
  }
}

void LogReplica::Remember(LogEntryPtr entry) {
  history_.push_back(std::move(entry));
  if (history_.size() > most_history_) history_.pop_front();
}

std::vector<LogEntryPtr> LogReplica::Install(const LogSnapshot& snapshot) {
  if (snapshot.version <= version()) return {};
  incomplete_ = snapshot.pending;
  std::array<std::map<std::string, ResourcePtr, std::less<>>, kKinds> next;
  for (const auto& it : snapshot.resources) {
    next[static_cast<std::size_t>(it->ref.kind)][it->ref.name] = it;
  }
  std::vector<LogEntryPtr> differences;
  Locked([&] {
    for (const auto kind : KindsOf(log_)) {
      auto& shard = ShardOf(kind);
      auto& after = next[static_cast<std::size_t>(kind)];
      for (const auto& [name, resource] : shard.resources) {
        if (after.contains(name)) continue;
        differences.push_back(
            Difference(snapshot.version, EntryType::kDelete, resource));
      }
      for (const auto& [name, resource] : after) {
        const auto it = shard.resources.find(name);
        if (it != shard.resources.end() && *it->second == *resource) continue;
        differences.push_back(
            Difference(snapshot.version, EntryType::kPut, resource));
      }
      shard.resources.swap(after);
      shard.version = snapshot.version;
    }
  });
  history_.clear();
  if (EndsAt(snapshot.recent, snapshot.version)) {
    for (const auto& entry : snapshot.recent) Remember(entry);
  }
  return differences;
}

std::optional<std::vector<LogEntryPtr>> LogReplica::After(
    LogVersion since) const {
  const auto newest = version();
  if (since >= newest) return std::vector<LogEntryPtr>();
  const auto missing = newest - since;
  if (missing > history_.size()) return std::nullopt;
  return std::vector<LogEntryPtr>(
      history_.end() - static_cast<std::ptrdiff_t>(missing), history_.end());
}

LogEntryPtr LogReplica::EntryAt(LogVersion version) const {
  if (history_.empty()) return nullptr;
  const auto first = history_.front()->version;
  if (version < first || version > history_.back()->version) return nullptr;
  return history_[version - first];
}

LogSnapshot LogReplica::Snapshot(std::size_t recent) const {
  LogSnapshot snapshot;
  snapshot.log = log_;
  snapshot.version = version();
  for (const auto kind : KindsOf(log_)) {
    for (auto& it : List(kind).resources) snapshot.resources.push_back(it);
  }
  const auto n = std::min(recent, history_.size());
  for (auto it = history_.end() - static_cast<std::ptrdiff_t>(n);
       it != history_.end(); ++it) {
    snapshot.recent.push_back(*it);
  }
  snapshot.pending = incomplete_;
  return snapshot;
}

}  // namespace lapishatch::config
