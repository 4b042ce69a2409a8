#ifndef LAPISHATCH_CONFIG_WATCH_HUB_H_
#define LAPISHATCH_CONFIG_WATCH_HUB_H_

#include <cstddef>
#include <map>
#include <variant>
#include <vector>

#include "config/log_replica.h"
#include "config/watch.h"

namespace lapishatch::config {

/// The open watches of one process. Pure: to be used on one loop.
class WatchHub {
 public:
  explicit WatchHub(std::size_t most) : most_(most) {}

  /// Opens a watch on a kind: what came into force after `since` is told at
  /// once, then a bookmark, then what follows. Returns why it cannot begin.
  std::variant<WatchId, WatchEnd> Open(const LogReplica& replica,
                                       ResourceKind kind, LogVersion since,
                                       WatchSink sink);

  void Close(WatchId id) { watches_.erase(id); }

  /// Tells each watch of `log` the entries of its kind.
  void Tell(LogId log, const std::vector<LogEntryPtr>& entries);

  /// Tells each watch of `log` up to where it has been told.
  void Bookmark(LogId log, LogVersion version);

  /// Ends the watches of `log`.
  void End(LogId log, WatchEnd why, LogVersion version);

  std::size_t size() const { return watches_.size(); }

 private:
  struct Watch {
    ResourceKind kind = ResourceKind::kOrganisation;
    WatchSink sink;
  };

  template <typename Deliver>
  void ForEach(LogId log, Deliver deliver);

  std::size_t most_;
  WatchId last_id_ = 0;
  std::map<WatchId, Watch> watches_;
};

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_WATCH_HUB_H_
