#ifndef LAPISHATCH_STORE_FEED_FOLLOWER_H_
#define LAPISHATCH_STORE_FEED_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"
#include "store/row_store.h"

namespace lapishatch::store {

struct FollowerOptions {
  /// How long one call waits for changes. A dead connection is detected after
  /// this and the store client's own timeout.
  base::Duration wait{1'000};
  /// Pause between an answer with changes and the next call. Gathers changes
  /// that are not urgent into fewer calls.
  base::Duration spacing{0};
  /// Pause between a failed call and the next, with jitter.
  base::Duration retry_first{100};
  base::Duration retry_limit{400};
  /// Time for the answers of the feed, at first and at most. A call over a
  /// connection that became silent takes as long to fail, so the limit is low.
  base::Duration feed_timeout{700};
  base::Duration max_feed_timeout{1'400};
  /// A call that does not wait for changes and has been without an answer for
  /// so long is likely to fail.
  base::Duration suspect_after{500};
};

/// What the store has said of whether a follower has missed changes.
enum class FeedAnswer : std::uint8_t {
  /// Nothing in time.
  kNone,
  /// It cannot tell at present: it refuses calls, or its reads lag behind its
  /// feed.
  kImpaired,
  /// All changes have been passed on.
  kCurrent,
};

using FeedAnswerCallback = std::function<void(FeedAnswer)>;

/// Callbacks of a follower, called on the event loop.
struct FollowerEvents {
  /// A snapshot of the parts, at the start and whenever changes were missed.
  /// Rows that are not in it do not exist.
  std::function<void(std::vector<StoredRow> rows, RowVersion as_of)> on_all;
  /// Rows that changed since, in order, with deletions. Empty if the store has
  /// answered and nothing has changed.
  std::function<void(std::vector<StoredRow> rows, RowVersion as_of)> on_changes;
  /// A call failed. May be null.
  std::function<void(const std::string& detail)> on_failure;
};

/// Follows some parts of a table: reads a snapshot of them, then their changes
/// from one feed. After a failure it continues from the last version; if the
/// store has dropped the history since then, it reads a snapshot again.
/// Versions passed to the callbacks never decrease.
///
/// The feed lists every version of a row, so what was missed grows with time,
/// while a snapshot holds one version of each row. A follower whose link or
/// processor is too slow for the feed of one part therefore reads snapshots:
/// after a call of the feed that was not answered in time, after two that
/// failed otherwise, and after an answer that mostly held versions which later
/// ones in it replace. Such versions are not passed on.
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

  /// Reads a snapshot again.
  void Reload();

  /// Asks the store at once whether rows have changed, and calls `done` with
  /// what it says, after passing on the changes. Ends a call that waits for
  /// changes, or a pause; an answer that is due is shared. Calls `done` at once
  /// if the last call has just failed or the present one is likely to. At most
  /// one call per `retry_first`, however often it is called. Does not call
  /// `done` once the follower is destroyed.
  void AskNow(FeedAnswerCallback done);

  /// Returns a time at which the rows in the store were certainly as last
  /// passed on, or the epoch before the first answer of the feed. Snapshots do
  /// not count, since reads may lag behind.
  base::TimePoint confirmed_at() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::store

#endif  // LAPISHATCH_STORE_FEED_FOLLOWER_H_
