#ifndef LAPISHATCH_STORE_FEED_FOLLOWER_H_
#define LAPISHATCH_STORE_FEED_FOLLOWER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"
#include "store/row_store.h"

namespace lapishatch::store {

struct FollowerOptions {
  /// How long one call waits for news. A connection that fell silent is noticed
  /// after this and the store client's own timeout.
  base::Duration wait{1'000};
  /// Between an answer with news and the next call: news that need not be heard
  /// at once are so gathered into fewer calls.
  base::Duration spacing{0};
  /// Between a failed call and the next; with jitter.
  base::Duration retry_first{100};
  base::Duration retry_limit{400};
};

/// What a follower tells. All are called on the loop.
struct FollowerEvents {
  /// The parts as a whole, at the start and whenever changes were missed. Rows
  /// that are not in it are gone.
  std::function<void(std::vector<StoredRow> rows, RowVersion as_of)> on_all;
  /// Rows that changed since, in order, with deletions. May be empty: the
  /// follower heard from the store and nothing has changed.
  std::function<void(std::vector<StoredRow> rows, RowVersion as_of)> on_changes;
  /// A call failed; may be left empty.
  std::function<void(const std::string& detail)> on_failure;
};

/// Keeps up with some parts of a table: reads them whole, at once, then follows
/// their changes by one feed. After a failure it goes on where it was; when the
/// store has dropped the history in between, it reads all again. What was
/// told last stays true until something newer is told.
class FeedFollower {
 public:
  /// `clock` is that of confirmed_at; the event loop's if empty.
  FeedFollower(base::EventLoop& loop, RowStore& store, std::string table,
               std::vector<std::string> parts, FollowerOptions options,
               FollowerEvents events,
               std::function<base::TimePoint()> clock = nullptr);
  ~FeedFollower();
  FeedFollower(const FeedFollower&) = delete;
  FeedFollower& operator=(const FeedFollower&) = delete;

  void Start();

  /// Reads all parts whole again.
  void Reload();

  /// Returns a time at which the store's rows were certainly as last told; the
  /// epoch before the first answer of the feed. Only the feed confirms: reads
  /// may lag behind.
  base::TimePoint confirmed_at() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::store

#endif  // LAPISHATCH_STORE_FEED_FOLLOWER_H_
