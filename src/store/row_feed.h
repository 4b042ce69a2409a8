#ifndef LAPISHATCH_STORE_ROW_FEED_H_
#define LAPISHATCH_STORE_ROW_FEED_H_

#include <functional>
#include <string>
#include <utility>

#include "base/base.h"
#include "store/feed_follower.h"
#include "store/row_store.h"

namespace lapishatch::store {

/// Callbacks of a RowFeed.
struct RowFeedEvents {
  /// Called for each present, changed or deleted row, in order of version.
  std::function<void(const StoredRow&)> on_row;
  /// Called after `on_row` with the version up to which all rows were passed.
  std::function<void(RowVersion as_of)> on_version;
};

/// Follows the part of a table that has the empty name, row by row. A row that
/// disappeared while changes were missed is passed as deleted.
class RowFeed {
 public:
  /// `clock` is that of confirmed_at; the event loop's if empty.
  RowFeed(base::EventLoop& loop, RowStore& store, std::string table,
          FollowerOptions options, RowFeedEvents events,
          std::function<base::TimePoint()> clock = nullptr);

  void Start() { follower_.Start(); }

  /// Reads all rows again and passes them once more.
  void Reload() { follower_.Reload(); }

  /// See FeedFollower.
  void AskNow(FeedAnswerCallback done) { follower_.AskNow(std::move(done)); }
  base::TimePoint confirmed_at() const { return follower_.confirmed_at(); }

 private:
  FeedFollower follower_;
};

}  // namespace lapishatch::store

#endif  // LAPISHATCH_STORE_ROW_FEED_H_
