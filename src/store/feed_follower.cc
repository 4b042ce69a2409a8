#include "store/feed_follower.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "store/read_window.h"

namespace lapishatch::store {

/// Callbacks hold a weak pointer, so that answers which arrive after the
/// follower was destroyed have no effect.
class FeedFollower::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::EventLoop& loop, RowStore& store, std::string table,
       std::vector<std::string> parts, FollowerOptions options,
       FollowerEvents events, std::function<base::TimePoint()> clock)
      : loop_(loop),
        store_(store),
        table_(std::move(table)),
        parts_(std::move(parts)),
        options_(options),
        events_(std::move(events)),
        clock_(std::move(clock)),
        random_(std::hash<std::string>()(base::MakeUniqueText(table_))),
        backoff_(options.retry_first, options.retry_limit) {}

  base::TimePoint confirmed_at() const { return confirmed_at_; }

  void ReadAll() {
    collected_.clear();
    ++generation_;
    parts_begun_ = 0;
    parts_read_ = 0;
    oldest_ = std::numeric_limits<RowVersion>::max();
    ReadParts();
  }

 private:
  /// Calls `method` with the result, unless the follower was destroyed or has
  /// begun to read another snapshot.
  template <typename Method, typename... Arguments>
  auto Guarded(Method method, Arguments... arguments) {
    return [weak = weak_from_this(), method, generation = generation_,
            ... arguments = std::move(arguments)](auto result) {
      const auto self = weak.lock();
      if (!self || self->generation_ != generation) return;
      ((*self).*method)(arguments..., std::move(result));
    };
  }

  /// Starts reading as many parts as may be read concurrently.
  void ReadParts() {
    while (parts_begun_ < parts_.size() &&
           parts_begun_ - parts_read_ <
               static_cast<std::size_t>(window_.size())) {
      ReadPage(parts_[parts_begun_++], "");
    }
  }

  void ReadPage(const std::string& part, std::string from) {
    store_.Read({table_, part, std::move(from), "", kPageRows},
                Guarded(&Impl::OnPage, part, loop_.Now()));
  }

  /// Pages are of different versions. The feed continues from the oldest one,
  /// so changes between them are passed again and none is missed.
  void OnPage(const std::string& part, base::TimePoint sent,
              RowsReadResult result) {
    if (const auto* failed = std::get_if<ReadFailed>(&result)) {
      ++generation_;
      return Retry(failed->detail, &Impl::ReadAll);
    }
    window_.OnRead(loop_.Now() - sent);
    auto& page = std::get<RowsRead>(result);
    oldest_ = std::min(oldest_, page.as_of);
    const bool has_more = page.has_more && !page.rows.empty();
    const auto next =
        has_more ? KeyAfter(page.rows.back().address.key) : std::string();
    std::move(page.rows.begin(), page.rows.end(),
              std::back_inserter(collected_));
    if (has_more) return ReadPage(part, next);
    if (++parts_read_ == parts_.size()) return OnAllRead();
    ReadParts();
  }

  void OnAllRead() {
    if (oldest_ < as_of_) {
      // Reads lag behind, the feed may not.
      has_answered_ = false;
      return Retry("stale snapshot", &Impl::Follow);
    }
    as_of_ = oldest_;
    has_answered_ = false;
    is_snapshot_unconfirmed_ = true;
    const auto weak = weak_from_this();
    events_.on_all(std::exchange(collected_, {}), as_of_);
    if (const auto self = weak.lock()) Follow();
  }

  /// The first call after a snapshot or a failure does not wait: it shows
  /// whether changes were missed.
  void Follow() {
    const auto wait = has_answered_ ? options_.wait : base::Duration(0);
    store_.Feed(table_, as_of_, wait, Guarded(&Impl::OnFeed, ClockNow(), wait));
  }

  base::TimePoint ClockNow() const { return clock_ ? clock_() : loop_.Now(); }

  /// An answer without rows was given at the end of the wait, one with rows at
  /// any time since the call. A full answer may not hold the latest rows.
  void Confirm(const RowsChanged& changes, base::TimePoint sent,
               base::Duration wait) {
    if (changes.rows.size() >= kPageRows) return;
    const auto waited_until = sent + wait;
    const bool has_waited = changes.rows.empty() && ClockNow() >= waited_until;
    confirmed_at_ = std::max(confirmed_at_, has_waited ? waited_until : sent);
  }

  void OnFeed(base::TimePoint sent, base::Duration wait,
              RowsFeedResult result) {
    if (const auto* failed = std::get_if<ReadFailed>(&result)) {
      has_answered_ = false;
      return Retry(failed->detail, &Impl::Follow);
    }
    if (std::holds_alternative<HistoryGone>(result)) {
      if (!is_snapshot_unconfirmed_) return ReadAll();
      // Reads lag behind: another one at once would give the same answer.
      return Retry("snapshot older than the history", &Impl::ReadAll);
    }
    backoff_.Reset();
    auto& changes = std::get<RowsChanged>(result);
    // Versions passed on must not decrease.
    if (changes.as_of < as_of_) return Retry("stale feed", &Impl::ReadAll);
    as_of_ = changes.as_of;
    Confirm(changes, sent, wait);
    has_answered_ = true;
    is_snapshot_unconfirmed_ = false;
    const bool has_more = changes.rows.size() >= kPageRows;
    std::erase_if(changes.rows, [this](const StoredRow& row) {
      return std::find(parts_.begin(), parts_.end(), row.address.part) ==
             parts_.end();
    });
    const auto weak = weak_from_this();
    const bool has_changes = !changes.rows.empty();
    events_.on_changes(std::move(changes.rows), as_of_);
    const auto self = weak.lock();
    if (!self) return;
    // Spacing out full answers would fall behind a table that changes faster.
    const bool may_wait = has_changes && !has_more;
    if (!may_wait || options_.spacing.count() == 0) return Follow();
    loop_.After(options_.spacing, [weak, generation = generation_] {
      const auto held = weak.lock();
      if (held && held->generation_ == generation) held->Follow();
    });
  }

  void Retry(const std::string& detail, void (Impl::*again)()) {
    const auto weak = weak_from_this();
    if (events_.on_failure) events_.on_failure(detail);
    const auto self = weak.lock();
    if (!self) return;
    loop_.After(backoff_.Next(random_),
                [weak, again, generation = generation_] {
                  const auto held = weak.lock();
                  if (!held || held->generation_ != generation) return;
                  ((*held).*again)();
                });
  }

  /// The store's own limit for one answer.
  static constexpr std::size_t kPageRows = 500;

  base::EventLoop& loop_;
  RowStore& store_;
  const std::string table_;
  const std::vector<std::string> parts_;
  const FollowerOptions options_;
  const FollowerEvents events_;
  const std::function<base::TimePoint()> clock_;
  base::Random random_;
  base::Backoff backoff_;
  RowVersion as_of_ = kAbsent;
  base::TimePoint confirmed_at_{};
  /// Whether the feed has answered since the last snapshot or failure.
  bool has_answered_ = false;
  /// Whether the feed has not answered since the last snapshot.
  bool is_snapshot_unconfirmed_ = false;
  std::vector<StoredRow> collected_;
  /// Number of parts of the current snapshot whose reading has begun or ended.
  std::size_t parts_begun_ = 0;
  std::size_t parts_read_ = 0;
  ReadWindow window_;
  /// Version of the oldest page of the current snapshot.
  RowVersion oldest_ = kAbsent;
  /// Counts the snapshots; answers that belong to an earlier one are dropped.
  int generation_ = 0;
};

FeedFollower::FeedFollower(base::EventLoop& loop, RowStore& store,
                           std::string table, std::vector<std::string> parts,
                           FollowerOptions options, FollowerEvents events,
                           std::function<base::TimePoint()> clock)
    : impl_(std::make_shared<Impl>(loop, store, std::move(table),
                                   std::move(parts), options, std::move(events),
                                   std::move(clock))) {}

FeedFollower::~FeedFollower() = default;

void FeedFollower::Start() { impl_->ReadAll(); }

void FeedFollower::Reload() { impl_->ReadAll(); }

base::TimePoint FeedFollower::confirmed_at() const {
  return impl_->confirmed_at();
}

}  // namespace lapishatch::store
