#include "config/watch_hub.h"

#include <utility>

namespace lapishatch::config {
namespace {

/// Hands the entries of a kind to a sink; false when it wants no more.
bool Deliver(const std::vector<LogEntryPtr>& entries, ResourceKind kind,
             const WatchSink& sink) {
  for (const auto& entry : entries) {
    if (entry->resource->ref.kind != kind) continue;
    if (!sink(entry)) return false;
  }
  return true;
}

}  // namespace

std::variant<WatchId, WatchEnd> WatchHub::Open(const LogReplica& replica,
                                               ResourceKind kind,
                                               LogVersion since,
                                               WatchSink sink) {
  if (watches_.size() >= most_) return WatchEnd::kTooMany;
  const auto version = replica.version();
  if (since > version) return WatchEnd::kNotYet;
  const auto missed = replica.After(since);
  if (!missed) return WatchEnd::kTooOld;
  const auto id = ++last_id_;
  const bool wants_more =
      Deliver(*missed, kind, sink) && sink(WatchItem(WatchBookmark{version}));
  if (wants_more) watches_[id] = {kind, std::move(sink)};
  return id;
}

/// A sink may close its own watch, so the map is walked by id.
template <typename Deliver>
void WatchHub::ForEach(LogId log, Deliver deliver) {
  std::vector<WatchId> ids;
  for (const auto& [id, watch] : watches_) {
    if (LogOf(watch.kind) == log) ids.push_back(id);
  }
  for (const auto id : ids) {
    const auto it = watches_.find(id);
    if (it == watches_.end()) continue;
    const auto watch = it->second;
    if (!deliver(watch)) watches_.erase(id);
  }
}

void WatchHub::Tell(LogId log, const std::vector<LogEntryPtr>& entries) {
  ForEach(log, [&](const Watch& watch) {
    return Deliver(entries, watch.kind, watch.sink);
  });
}

void WatchHub::Bookmark(LogId log, LogVersion version) {
  ForEach(log, [&](const Watch& watch) {
    return watch.sink(WatchItem(WatchBookmark{version}));
  });
}

void WatchHub::End(LogId log, WatchEnd why, LogVersion version) {
  ForEach(log, [&](const Watch& watch) {
    watch.sink(WatchItem(WatchEnded{why, version}));
    return false;
  });
}

}  // namespace lapishatch::config
