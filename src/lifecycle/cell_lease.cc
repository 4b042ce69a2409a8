#include "lifecycle/cell_lease.h"

#include <algorithm>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <utility>

namespace lapishatch::lifecycle {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

// What the machine sees: conclusions from the rows and the time.
struct LooksExpired {};
struct Doubted {};
struct Unconfirmed {};
struct HolderLives {};
struct Free {};
struct Took {};
struct TakeFailed {};
struct Gone {};
struct StopAsked {};
struct Freed {};

enum class LeasePhase : std::uint8_t {
  kWatching,
  kAsking,
  kTaking,
  kHolding,
  kReleasing,
  kReleased,
};

/// Everything the machine's actions work on.
struct LeaseBook {
  base::Incarnation self;
  std::string endpoint;
  LeaseTiming times;
  base::TimePoint now;
  base::TimePoint last_handled;
  base::TimePoint next_step;
  LeasePhase phase = LeasePhase::kWatching;

  // The row as last read or written.
  HolderRow row;
  std::uint64_t row_version = 0;
  std::uint64_t fence_version = 0;

  // Calls in progress; each has exactly one answer.
  bool reading = false;
  bool writing = false;
  base::TimePoint read_sent;
  HolderRow written;
  base::TimePoint write_sent;

  // As candidate: the row has not changed since then, without a failed read.
  std::optional<base::TimePoint> unchanged_since;
  base::TimePoint last_good_read;
  /// The version whose holder said that it only misses the table.
  std::uint64_t spared_version = 0;
  Epoch highest_epoch_seen = 0;
  HolderSuspicion suspicion = HolderSuspicion::kNone;
  /// The holder is asked before its lease has run out.
  bool asked_on_hint = false;
  /// The row has changed since the holder was asked: it lives.
  bool changed_while_asked = false;
  /// The version whose holder was silent to us, and until when it is not asked
  /// again.
  std::uint64_t silent_version = 0;
  base::TimePoint ask_not_before;
  /// Changes of hands without a release.
  std::optional<base::TimePoint> changed_hands_at;
  base::Duration early_acquire_pause{0};
  AcquireReason acquire_reason = AcquireReason::kFree;
  base::Incarnation previous_holder;

  // As holder.
  Epoch epoch = 0;
  base::TimePoint valid_until;
  /// The table failed under our eyes at this time.
  std::optional<base::TimePoint> table_failed_at;
  bool release_wanted = false;
  std::string lost_reason;

  std::vector<LeaseCommand> out;

  void Read() {
    if (reading) return;
    reading = true;
    read_sent = now;
    out.push_back(ReadRow{});
  }

  void WriteOwnRow(const base::Incarnation& holder, Epoch of, bool acquire) {
    written.holder = holder;
    written.endpoint = endpoint;
    written.epoch = of;
    written.attempt = base::AttemptId(base::MakeUniqueText("lease-"));
    writing = true;
    write_sent = now;
    out.push_back(WriteRow{written, row_version, acquire});
  }

  bool IsOurs(const HolderRow& it) const {
    return it.holder == self && it.epoch == epoch;
  }

  void NoteChangeOfHands() {
    const bool again =
        changed_hands_at &&
        now - *changed_hands_at < times.early_acquire_pause_limit * 2;
    early_acquire_pause = again ? std::min(early_acquire_pause * 2,
                                           times.early_acquire_pause_limit)
                                : times.early_acquire_pause;
    changed_hands_at = now;
  }

  bool MayTakeOnHint() const {
    return !changed_hands_at || now - *changed_hands_at >= early_acquire_pause;
  }

  base::Duration ReadPause() const {
    const bool hurry = suspicion != HolderSuspicion::kNone && MayTakeOnHint();
    return hurry ? std::min(times.suspect_read_interval, times.read_interval)
                 : times.read_interval;
  }
};

struct EmitAsk {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    auto& book = *fsm.book;
    book.changed_while_asked = false;
    book.out.push_back(QueryHolder{book.row.endpoint, book.row.holder});
  }
};

struct EmitTake {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    auto& book = *fsm.book;
    const auto highest = std::max(book.row.epoch, book.highest_epoch_seen);
    book.WriteOwnRow(book.self, highest + 1, true);
  }
};

struct EmitGranted {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    auto& book = *fsm.book;
    book.out.push_back(LeaseGranted{book.epoch, book.fence_version,
                                    book.acquire_reason, book.previous_holder});
  }
};

struct EmitLost {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    auto& book = *fsm.book;
    book.out.push_back(LeaseLost{book.lost_reason});
  }
};

struct EmitReleased {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    fsm.book->out.push_back(LeaseReleased{});
  }
};

/// A candidate begins to watch anew: what it had observed counts no longer.
struct WatchAnew {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    auto& book = *fsm.book;
    book.unchanged_since.reset();
    book.next_step = book.now + book.times.read_interval;
  }
};

struct LoseAndWatch {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event& event, Fsm& fsm, From& from, To& to) {
    EmitLost()(event, fsm, from, to);
    WatchAnew()(event, fsm, from, to);
  }
};

template <LeasePhase kPhase>
struct InPhase : msm::front::state<> {
  template <typename Event, typename Fsm>
  void on_entry(const Event&, Fsm& fsm) {
    fsm.book->phase = kPhase;
  }
};

struct LeaseDef : msm::front::state_machine_def<LeaseDef> {
  using Watching = InPhase<LeasePhase::kWatching>;
  using Asking = InPhase<LeasePhase::kAsking>;
  using Taking = InPhase<LeasePhase::kTaking>;
  using Holding = InPhase<LeasePhase::kHolding>;
  using Releasing = InPhase<LeasePhase::kReleasing>;
  using Released = InPhase<LeasePhase::kReleased>;
  using initial_state = Watching;

  // clang-format off
  struct transition_table : mpl::vector<  // NOLINT(readability-identifier-naming)
    Row<Watching,  Free,         Taking,    EmitTake,     none>,
    Row<Watching,  LooksExpired, Asking,    EmitAsk,      none>,
    Row<Watching,  Doubted,      Asking,    EmitAsk,      none>,
    Row<Watching,  StopAsked,    Released,  EmitReleased, none>,
    Row<Asking,    Unconfirmed,  Watching,  none,         none>,
    Row<Asking,    HolderLives,  Watching,  WatchAnew,    none>,
    Row<Asking,    Free,         Taking,    EmitTake,     none>,
    Row<Asking,    StopAsked,    Released,  EmitReleased, none>,
    Row<Taking,    Took,         Holding,   EmitGranted,  none>,
    Row<Taking,    TakeFailed,   Watching,  WatchAnew,    none>,
    Row<Holding,   Gone,         Watching,  LoseAndWatch, none>,
    Row<Holding,   StopAsked,    Releasing, none,         none>,
    Row<Releasing, Gone,         Released,  EmitReleased, none>,
    Row<Releasing, Freed,        Released,  EmitReleased, none>
  > {};
  // clang-format on

  template <typename Event, typename Fsm>
  void no_transition(const Event&, Fsm&, int) {}

  LeaseBook* book = nullptr;
};

using Machine = msm::back::state_machine<LeaseDef>;

}  // namespace

struct CellLease::Impl {
  Impl(base::Incarnation self, std::string endpoint, LeaseTiming times) {
    book.self = std::move(self);
    book.endpoint = std::move(endpoint);
    book.times = times;
    machine.book = &book;
    machine.start();
  }

  template <typename Event>
  void Feed(const Event& event) {
    machine.process_event(event);
  }

  bool Is(LeasePhase phase) const { return book.phase == phase; }

  void Lose(std::string reason) {
    book.lost_reason = std::move(reason);
    Feed(Gone{});
  }

  void NoteTableFailure() {
    book.table_failed_at = book.now;
    book.unchanged_since.reset();
    book.next_step = book.now + book.times.read_interval;
  }

  // Each Note writes one event into the book and feeds what follows from it.

  void Note(const RowRead& event) {
    book.reading = false;
    switch (book.phase) {
      case LeasePhase::kWatching:
        return Observe(event);
      case LeasePhase::kTaking:
        return ResolveTake(event);
      case LeasePhase::kHolding:
        return ResolveRenewal(event);
      case LeasePhase::kReleasing:
        return ResolveRelease(event);
      case LeasePhase::kAsking:
        return WatchWhileAsking(event);
      case LeasePhase::kReleased:
        return;
    }
  }

  void Note(const RowReadFailed&) {
    book.reading = false;
    NoteTableFailure();
    const bool lapsed = book.now - book.write_sent > book.times.duration;
    if (Is(LeasePhase::kTaking) && lapsed) Feed(TakeFailed{});
  }

  void Note(const RowWritten& event) {
    book.writing = false;
    book.table_failed_at.reset();
    switch (book.phase) {
      case LeasePhase::kTaking:
        book.row_version = event.row_version;
        book.fence_version = event.fence_version;
        return Grant();
      case LeasePhase::kHolding:
        book.row = book.written;
        book.row_version = event.row_version;
        return Renewed();
      case LeasePhase::kReleasing:
        // The answer may be that of a renewal sent before the release.
        book.row_version = event.row_version;
        if (!book.written.holder.empty()) return WriteRelease();
        return Feed(Freed{});
      case LeasePhase::kWatching:
      case LeasePhase::kAsking:
      case LeasePhase::kReleased:
        return;
    }
  }

  void Note(const RowWriteConflict&) {
    book.writing = false;
    if (Is(LeasePhase::kTaking)) return Feed(TakeFailed{});
    if (Is(LeasePhase::kHolding) || Is(LeasePhase::kReleasing)) book.Read();
  }

  void Note(const RowWriteFailed&) {
    book.writing = false;
    NoteTableFailure();
    if (Is(LeasePhase::kTaking)) Feed(TakeFailed{});
  }

  void Note(const RowWriteUnknown&) {
    book.writing = false;
    NoteTableFailure();
    if (Is(LeasePhase::kWatching) || Is(LeasePhase::kAsking)) return;
    book.Read();
  }

  void Note(const HolderAnswered& event) {
    if (!Is(LeasePhase::kAsking)) return;
    switch (event.state) {
      case HolderState::kHolding:
        return Feed(HolderLives{});
      case HolderState::kNotHolding:
        return TakeAfterAsking(AcquireReason::kNotHolding);
      case HolderState::kHoldingWithoutTable:
        if (book.asked_on_hint) return Feed(HolderLives{});
        // It renews first when the table has come back. If the row is still
        // unchanged after one more lease, only its own way is cut.
        if (book.spared_version == book.row_version) {
          return TakeAfterAsking(AcquireReason::kExpired);
        }
        book.spared_version = book.row_version;
        return Feed(HolderLives{});
    }
  }

  void Note(const HolderTimedOut&) {
    if (!Is(LeasePhase::kAsking)) return;
    if (book.changed_while_asked) return Feed(HolderLives{});
    if (!book.asked_on_hint) return TakeAfterAsking(AcquireReason::kExpired);
    book.silent_version = book.row_version;
    book.ask_not_before = book.now + book.times.read_interval;
    Feed(Unconfirmed{});
    book.Read();
  }

  void Note(const HolderConnectionRefused&) {
    if (Is(LeasePhase::kAsking))
      TakeAfterAsking(AcquireReason::kConnectionRefused);
  }

  void Note(const EpochRejected& event) {
    book.highest_epoch_seen =
        std::max(book.highest_epoch_seen, event.epoch_seen);
    if (Is(LeasePhase::kHolding)) Lose("a later owner has been seen");
  }

  void Note(const ReleaseRequested&) {
    book.release_wanted = true;
    Feed(StopAsked{});
    if (Is(LeasePhase::kReleasing) && !book.writing) WriteRelease();
  }

  void Note(const ReadRequested&) {
    if (Is(LeasePhase::kWatching)) book.Read();
  }

  void Note(const LeaseTimerFired&) {
    if (book.now < book.next_step) return;
    book.next_step = book.now + book.ReadPause();
    if (book.reading || book.writing) return;
    switch (book.phase) {
      case LeasePhase::kWatching:
      case LeasePhase::kAsking:
      case LeasePhase::kTaking:
        return book.Read();
      case LeasePhase::kHolding:
        return book.WriteOwnRow(book.self, book.epoch, false);
      case LeasePhase::kReleasing:
        return WriteRelease();
      case LeasePhase::kReleased:
        return;
    }
  }

  /// A candidate has seen the row.
  void Observe(const RowRead& event) {
    if (event.row_version != book.row_version) book.unchanged_since.reset();
    NoteGoodRead();
    const auto row = event.row.value_or(HolderRow());
    const bool had_other = !book.row.holder.empty() && !row.holder.empty() &&
                           book.row.holder != row.holder;
    if (had_other) book.NoteChangeOfHands();
    book.row = row;
    book.row_version = event.row_version;
    book.suspicion = event.suspicion;
    if (book.writing) return;
    const auto& holder = book.row.holder;
    if (holder.empty() || holder == book.self)
      return Take(AcquireReason::kFree);
    // Unchanged at least until the read was sent.
    const auto unchanged_for = book.read_sent - *book.unchanged_since;
    if (unchanged_for >= book.times.duration + book.times.clock_drift_margin) {
      book.asked_on_hint = false;
      return Feed(LooksExpired{});
    }
    FollowDoubt(unchanged_for);
  }

  /// The row is read on while the holder is asked. A silent one takes up to
  /// 1.5 s to tell; without these reads each question was a gap in the watch,
  /// and under a lease of 2 s the wait began anew for ever.
  void WatchWhileAsking(const RowRead& event) {
    if (event.row_version != book.row_version) {
      book.changed_while_asked = true;
      return;
    }
    NoteGoodRead();
  }

  /// A candidate that has not seen the row for half a lease watches anew.
  void NoteGoodRead() {
    const bool gap = book.now - book.last_good_read > book.times.duration / 2;
    if (gap || !book.unchanged_since) book.unchanged_since = book.now;
    book.last_good_read = book.now;
  }

  /// What the group says of the holder makes a candidate ask it; the answer, or
  /// the row when there is none, decides.
  void FollowDoubt(base::Duration unchanged_for) {
    if (book.suspicion == HolderSuspicion::kNone || !book.MayTakeOnHint())
      return;
    book.next_step = std::min(book.next_step, book.now + book.ReadPause());
    const bool was_silent = book.silent_version == book.row_version;
    if (was_silent && book.suspicion == HolderSuspicion::kDead &&
        unchanged_for >= book.times.unresponsive_after) {
      return Take(AcquireReason::kHolderTimedOut);
    }
    if (was_silent && book.now < book.ask_not_before) return;
    book.asked_on_hint = true;
    Feed(Doubted{});
  }

  void Take(AcquireReason reason) {
    book.acquire_reason = reason;
    book.previous_holder = book.row.holder;
    Feed(Free{});
  }

  /// `reason` when the lease had not run out before the holder was asked.
  void TakeAfterAsking(AcquireReason reason) {
    if (book.changed_while_asked) return Feed(HolderLives{});
    Take(book.asked_on_hint ? reason : AcquireReason::kExpired);
  }

  void ResolveTake(const RowRead& event) {
    const bool ours = event.row && event.row->attempt == book.written.attempt;
    if (!ours) {
      Feed(TakeFailed{});
      return;
    }
    book.row_version = event.row_version;
    book.fence_version = event.fence_version;
    book.table_failed_at.reset();
    Grant();
  }

  void Grant() {
    if (!book.row.holder.empty() && book.row.holder != book.self) {
      book.NoteChangeOfHands();
    }
    book.row = book.written;
    book.epoch = book.written.epoch;
    book.valid_until = book.write_sent + book.times.duration;
    if (book.now >= book.valid_until) return Feed(TakeFailed{});
    book.next_step = book.write_sent + book.times.renew_interval;
    Feed(Took{});
    if (!book.release_wanted) return;
    Feed(StopAsked{});
    WriteRelease();
  }

  void Renewed() {
    book.valid_until = book.write_sent + book.times.duration;
    book.table_failed_at.reset();
    book.next_step = book.write_sent + book.times.renew_interval;
  }

  void ResolveRenewal(const RowRead& event) {
    if (!event.row || !book.IsOurs(*event.row)) {
      return Lose("another process has taken the cell");
    }
    book.row_version = event.row_version;
    if (event.row->attempt == book.written.attempt) return Renewed();
    book.WriteOwnRow(book.self, book.epoch, false);
  }

  void ResolveRelease(const RowRead& event) {
    if (!event.row || !book.IsOurs(*event.row)) return Feed(Freed{});
    book.row_version = event.row_version;
    WriteRelease();
  }

  void WriteRelease() {
    book.WriteOwnRow(base::Incarnation(), book.epoch, false);
  }

  bool MayAct(base::TimePoint now) const {
    if (!Is(LeasePhase::kHolding)) return false;
    if (now - book.last_handled > book.times.duration) return false;
    if (now < book.valid_until) return true;
    return book.table_failed_at &&
           now - *book.table_failed_at <= book.times.duration;
  }

  /// A holder that was paused, or whose calls hang, finds out first of all.
  void CheckLapse() {
    const bool holds = Is(LeasePhase::kHolding);
    if (holds && !MayAct(book.now)) return Lose("the lease has lapsed");
    const bool releasing = Is(LeasePhase::kReleasing);
    if (releasing && book.now >= book.valid_until) Feed(Freed{});
  }

  std::vector<LeaseCommand> Handle(const LeaseEvent& event,
                                   base::TimePoint now) {
    book.now = now;
    CheckLapse();
    book.last_handled = now;
    std::visit([this](const auto& it) { Note(it); }, event);
    return std::exchange(book.out, {});
  }

  LeaseBook book;
  Machine machine;
};

CellLease::CellLease(base::Incarnation self, std::string endpoint,
                     LeaseTiming times)
    : impl_(std::make_unique<Impl>(std::move(self), std::move(endpoint),
                                   times)) {}
CellLease::~CellLease() = default;
CellLease::CellLease(CellLease&&) noexcept = default;
CellLease& CellLease::operator=(CellLease&&) noexcept = default;

std::vector<LeaseCommand> CellLease::Begin(base::TimePoint now) {
  impl_->book.next_step = now;
  return impl_->Handle(LeaseTimerFired{}, now);
}

std::vector<LeaseCommand> CellLease::Handle(const LeaseEvent& event,
                                            base::TimePoint now) {
  return impl_->Handle(event, now);
}

base::TimePoint CellLease::wake_at() const { return impl_->book.next_step; }

bool CellLease::MayAct(base::TimePoint now) const { return impl_->MayAct(now); }

bool CellLease::HoldsWithoutTable(base::TimePoint now) const {
  return impl_->MayAct(now) && impl_->book.table_failed_at.has_value();
}

HolderState CellLease::state(base::TimePoint now) const {
  if (!impl_->MayAct(now)) return HolderState::kNotHolding;
  return HoldsWithoutTable(now) ? HolderState::kHoldingWithoutTable
                                : HolderState::kHolding;
}

Epoch CellLease::epoch() const { return impl_->book.epoch; }

const base::Incarnation& CellLease::holder() const {
  return impl_->book.row.holder;
}

AcquireReason CellLease::acquire_reason() const {
  return impl_->book.acquire_reason;
}

}  // namespace lapishatch::lifecycle
