#include "store/feed_follower.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <string_view>
#include <utility>

#include "store/answer_timeout.h"
#include "store/read_window.h"

namespace lapishatch::store {
namespace {

/// Erases the versions that a later one in `rows` replaces, and returns the sum
/// of their sizes in bytes. A version before a deletion stays, since the
/// deletion has no value.
std::size_t EraseSuperseded(std::vector<StoredRow>& rows) {
  std::map<std::pair<std::string_view, std::string_view>, RowVersion> newest;
  for (const auto& it : rows) {
    if (it.is_deleted) continue;
    newest[{it.address.part, it.address.key}] = it.version;
  }
  std::vector<bool> is_superseded;
  is_superseded.reserve(rows.size());
  for (const auto& it : rows) {
    const auto found = newest.find({it.address.part, it.address.key});
    is_superseded.push_back(found != newest.end() &&
                            it.version < found->second);
  }
  std::size_t out = 0;
  std::vector<StoredRow> kept;
  kept.reserve(rows.size());
  for (std::size_t i = 0; i < rows.size(); ++i) {
    if (is_superseded[i]) {
      out += rows[i].value.size();
    } else {
      kept.push_back(std::move(rows[i]));
    }
  }
  rows = std::move(kept);
  return out;
}

std::size_t SizeOf(const std::vector<StoredRow>& rows) {
  std::size_t out = 0;
  for (const auto& it : rows) out += it.value.size();
  return out;
}

}  // namespace

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
        feed_timeout_(options.feed_timeout, options.max_feed_timeout),
        random_(std::hash<std::string>()(base::MakeUniqueText(table_))),
        backoff_(options.retry_first, options.retry_limit) {}

  base::TimePoint confirmed_at() const { return confirmed_at_; }

  void AskNow(FeedAnswerCallback done) {
    if (IsLikelyToFail()) {
      return done(activity_ == Activity::kPausing ? last_answer_
                                                  : FeedAnswer::kNone);
    }
    asking_.push_back(std::move(done));
    switch (activity_) {
      case Activity::kIdle:
      case Activity::kAsking:
        return;
      case Activity::kWaiting:
        ++generation_;
        has_answered_ = false;
        return Follow();
      case Activity::kPausing:
        ++generation_;
        has_answered_ = false;
        return (this->*after_pause_)();
    }
  }

  void ReadAll() {
    SetActivity(Activity::kAsking);
    collected_.clear();
    ++generation_;
    parts_begun_ = 0;
    parts_read_ = 0;
    oldest_ = std::numeric_limits<RowVersion>::max();
    ReadParts();
  }

 private:
  enum class Activity : std::uint8_t {
    /// Not started.
    kIdle,
    /// A call waits for changes.
    kWaiting,
    /// A call that the store answers at once, or a snapshot, is on its way.
    kAsking,
    kPausing,
  };

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
      LogFailedCall("snapshot", loop_.Now() - sent, failed->detail);
      return Retry(failed->detail, AnswerOf(*failed), &Impl::ReadAll);
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
      return Retry("stale snapshot", FeedAnswer::kImpaired, &Impl::Follow);
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
    FeedCall call;
    call.sent = ClockNow();
    call.sent_on_loop = loop_.Now();
    call.wait = has_answered_ ? options_.wait : base::Duration(0);
    call.timeout = feed_timeout_.value();
    SetActivity(has_answered_ ? Activity::kWaiting : Activity::kAsking);
    store_.Feed({table_, as_of_, call.wait, call.timeout},
                Guarded(&Impl::OnFeed, call));
  }

  /// A call of the feed in flight.
  struct FeedCall {
    base::TimePoint sent;
    base::TimePoint sent_on_loop;
    base::Duration wait{0};
    base::Duration timeout{0};
  };

  base::TimePoint ClockNow() const { return clock_ ? clock_() : loop_.Now(); }

  /// An answer without rows was given at the end of the wait, one with rows at
  /// any time since the call. A full answer may not hold the latest rows.
  void Confirm(const RowsChanged& changes, base::TimePoint sent,
               base::Duration wait) {
    if (changes.may_have_more) return;
    const auto waited_until = sent + wait;
    const bool has_waited = changes.rows.empty() && ClockNow() >= waited_until;
    confirmed_at_ = std::max(confirmed_at_, has_waited ? waited_until : sent);
  }

  void OnFeed(const FeedCall& call, RowsFeedResult result) {
    const auto elapsed = loop_.Now() - call.sent_on_loop;
    if (const auto* failed = std::get_if<ReadFailed>(&result)) {
      has_answered_ = false;
      LogFailedCall("changes", elapsed, failed->detail);
      const bool is_timeout =
          feed_timeout_.OnFailure(elapsed - call.wait, call.timeout);
      return OnFeedFailed(*failed, is_timeout);
    }
    feed_failures_ = 0;
    if (std::holds_alternative<HistoryGone>(result)) {
      if (!is_snapshot_unconfirmed_) return ReadAll();
      // Reads lag behind: another one at once would give the same answer.
      return Retry("snapshot older than the history", FeedAnswer::kImpaired,
                   &Impl::ReadAll);
    }
    backoff_.Reset();
    auto& changes = std::get<RowsChanged>(result);
    // How long an answer with changes took is known only without a wait.
    if (changes.rows.empty() || call.wait == base::Duration(0)) {
      feed_timeout_.OnAnswer(elapsed - call.wait);
    }
    // Versions passed on must not decrease.
    if (changes.as_of < as_of_) {
      return Retry("stale feed", FeedAnswer::kImpaired, &Impl::ReadAll);
    }
    as_of_ = changes.as_of;
    Confirm(changes, call.sent, call.wait);
    has_answered_ = true;
    is_snapshot_unconfirmed_ = false;
    const bool has_more = changes.may_have_more;
    const auto superseded = EraseSuperseded(changes.rows);
    const bool is_behind =
        superseded > kMinSupersededBytes && superseded > SizeOf(changes.rows);
    std::erase_if(changes.rows, [this](const StoredRow& row) {
      return std::find(parts_.begin(), parts_.end(), row.address.part) ==
             parts_.end();
    });
    const auto weak = weak_from_this();
    const bool has_changes = !changes.rows.empty();
    events_.on_changes(std::move(changes.rows), as_of_);
    const auto self = weak.lock();
    if (!self) return;
    if (is_behind && MayResync()) {
      LogResync("superseded");
      ReadAll();
    } else if (has_changes && !has_more && options_.spacing.count() > 0) {
      // Spacing out full answers would fall behind a table that changes faster.
      Pause(options_.spacing, &Impl::Follow);
    } else {
      Follow();
    }
    if (!has_more) Answer(FeedAnswer::kCurrent);
  }

  /// The answer may be too large for the link or for one answer, and a later
  /// one would be larger still.
  void OnFeedFailed(const ReadFailed& failed, bool is_timeout) {
    ++feed_failures_;
    const bool may_be_too_large =
        is_timeout || feed_failures_ >= kFailuresBeforeResync;
    const auto answer = AnswerOf(failed);
    if (!MayResync() || !may_be_too_large) {
      return Retry(failed.detail, answer, &Impl::Follow);
    }
    feed_failures_ = 0;
    LogResync(is_timeout ? "timeout" : "failures");
    if (!is_timeout) return Retry(failed.detail, answer, &Impl::ReadAll);
    const auto weak = weak_from_this();
    if (events_.on_failure) events_.on_failure(failed.detail);
    const auto self = weak.lock();
    if (!self) return;
    ReadAll();
    Answer(answer);
  }

  /// A snapshot of one part costs little more than a call of the feed; one of
  /// many parts would take longer than what was missed.
  bool MayResync() const { return parts_.size() == 1; }

  void LogFailedCall(std::string_view call, base::Duration elapsed,
                     const std::string& detail) const {
    base::Log(base::events::kFeedCallFailed, {{"table", table_},
                                              {"call", call},
                                              {"elapsed_ms", elapsed.count()},
                                              {"detail", detail}});
  }

  void LogResync(std::string_view reason) const {
    base::Log(base::events::kFeedResynced,
              {{"table", table_},
               {"reason", reason},
               {"timeout_ms", feed_timeout_.value().count()}});
  }

  static FeedAnswer AnswerOf(const ReadFailed& failed) {
    return failed.is_unavailable ? FeedAnswer::kImpaired : FeedAnswer::kNone;
  }

  void Retry(const std::string& detail, FeedAnswer answer,
             void (Impl::*again)()) {
    const auto weak = weak_from_this();
    if (events_.on_failure) events_.on_failure(detail);
    const auto self = weak.lock();
    if (!self) return;
    Pause(backoff_.Next(random_), again);
    Answer(answer);
  }

  void Pause(base::Duration delay, void (Impl::*again)()) {
    SetActivity(Activity::kPausing);
    after_pause_ = again;
    loop_.After(delay, [weak = weak_from_this(), generation = generation_] {
      const auto self = weak.lock();
      if (!self || self->generation_ != generation) return;
      ((*self).*(self->after_pause_))();
    });
  }

  void SetActivity(Activity activity) {
    activity_ = activity;
    active_since_ = loop_.Now();
  }

  /// Answers those who have asked.
  void Answer(FeedAnswer answer) {
    last_answer_ = answer;
    for (const auto& it : std::exchange(asking_, {})) it(answer);
  }

  bool IsLikelyToFail() const {
    const auto elapsed = loop_.Now() - active_since_;
    switch (activity_) {
      case Activity::kIdle:
        return true;
      case Activity::kWaiting:
        return false;
      case Activity::kAsking:
        return elapsed > options_.suspect_after;
      case Activity::kPausing:
        return last_answer_ != FeedAnswer::kCurrent &&
               elapsed < options_.retry_first;
    }
    return false;
  }

  /// The store's own limit for one answer.
  static constexpr std::size_t kPageRows = 500;
  /// Calls that fail at once may be refusals, which pass.
  static constexpr int kFailuresBeforeResync = 2;
  /// Below this size, a snapshot takes longer than the superseded versions.
  static constexpr std::size_t kMinSupersededBytes = 64 * std::size_t{1'024};

  base::EventLoop& loop_;
  RowStore& store_;
  const std::string table_;
  const std::vector<std::string> parts_;
  const FollowerOptions options_;
  const FollowerEvents events_;
  const std::function<base::TimePoint()> clock_;
  AnswerTimeout feed_timeout_;
  /// Consecutive calls of the feed that failed.
  int feed_failures_ = 0;
  base::Random random_;
  base::Backoff backoff_;
  Activity activity_ = Activity::kIdle;
  base::TimePoint active_since_{};
  /// What follows a pause.
  void (Impl::*after_pause_)() = nullptr;
  FeedAnswer last_answer_ = FeedAnswer::kNone;
  /// Those who have asked and have no answer yet.
  std::vector<FeedAnswerCallback> asking_;
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

void FeedFollower::AskNow(FeedAnswerCallback done) {
  impl_->AskNow(std::move(done));
}

base::TimePoint FeedFollower::confirmed_at() const {
  return impl_->confirmed_at();
}

}  // namespace lapishatch::store
